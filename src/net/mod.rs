//! Sockets, streams and timers round the core.

pub mod codec;
pub mod dialect;
pub mod frame;
pub mod http;
pub mod peer;
pub mod pg;
pub mod platform;
pub mod rpc;
pub mod splice;
