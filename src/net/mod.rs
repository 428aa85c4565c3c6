//! Sockets, streams and timers round the core.

pub mod codec;
pub mod peer;
pub mod rpc;
