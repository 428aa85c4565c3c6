//! Measurements of the cost of a proxy's roles, from which `docs/CAPACITY.md` is derived.

mod backend;
pub mod callers;
pub mod cost;
pub mod deployment;
pub mod fleet;
pub mod path;
pub mod report;
pub mod state;
pub mod streams;
