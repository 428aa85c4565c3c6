//! Sockets, streams and timers: the I/O around the core.

pub mod admin;
pub mod codec;
pub mod dialect;
pub mod direct;
pub mod frame;
pub mod http;
pub mod mesh;
pub mod metrics;
pub mod peer;
pub mod pg;
pub mod platform;
pub mod proxy;
pub mod rpc;
pub mod shell;
pub mod splice;
pub mod system;
pub mod target;
