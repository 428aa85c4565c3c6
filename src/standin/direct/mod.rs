//! Stand-ins for a platform that replaces primaries by order, in the product's own words, on
//! virtual time and without sockets: its [`store`], its [`database`]s, and a [`world`] of VMs in
//! failure domains with callers whose every answer is checked.
//!
//! All runs on one thread in one `LocalSet` under a paused clock, so that a day of failures takes
//! as long as its work. A VM is a `LocalSet` of its own within ([`host`]), which can be frozen
//! and killed at any moment. What is under way outside a VM goes on meanwhile.

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
