//! What connects the core to sockets: callers, databases, other proxies.

pub mod dialect;
