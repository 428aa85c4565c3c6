//! Measurements of what a proxy's roles cost, from which `docs/CAPACITY.md` is worked out.

pub mod fleet;
pub mod report;
