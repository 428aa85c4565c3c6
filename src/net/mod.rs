//! What connects the core to sockets: callers, databases, other proxies.

pub mod dialect;
pub mod frame;
pub mod pg;
pub mod splice;
