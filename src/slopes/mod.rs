//! Measurements of what a proxy's roles cost, from which `docs/CAPACITY.md` is worked out.

mod base;
pub mod callers;
pub mod cost;
pub mod deployment;
pub mod fleet;
pub mod path;
pub mod report;
pub mod state;
pub mod streams;
