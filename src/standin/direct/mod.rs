//! Simulated platform for direct access, where primaries are replaced by order, on virtual time and
//! without sockets: its [`store`], its [`database`]s, and a [`world`] of VMs in failure domains
//! with callers whose every answer is checked.
//!
//! Everything runs on one thread in one `LocalSet` under a paused clock, so that a simulated day
//! takes only as long as its computations. Each VM is a `LocalSet` of its own within ([`host`]),
//! which can be frozen and killed at any moment. Anything in transit outside a VM continues
//! meanwhile.

pub mod caller;
pub mod check;
pub mod database;
pub mod fault;
pub mod group;
pub mod host;
pub mod journal;
pub mod known;
pub mod link;
pub mod log;
pub mod machine;
pub mod network;
pub mod orders;
pub mod program;
mod reach;
pub mod said;
pub mod session;
pub mod setup;
pub mod store;
pub mod wire;
pub mod world;
