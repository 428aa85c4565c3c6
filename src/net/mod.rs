//! Sockets, streams and timers round the core.

pub mod codec;
pub mod dialect;
pub mod http;
pub mod peer;
pub mod platform;
pub mod rpc;
