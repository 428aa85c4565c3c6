//! Measurements of what a proxy's roles cost, from which `docs/CAPACITY.md` is worked out.

pub mod callers;
pub mod deployment;
pub mod fleet;
pub mod path;
pub mod report;
pub mod state;
pub mod streams;
