//! Direct access: each VM connects to every database itself, and a row in the platform's store records who
//! leads a group.
//!
//! The alternative in `core::node` has one holder for each database and makes terms in the databases. Here
//! the platform makes a term when it is ordered to, and the databases don't fence VMs: leases on who leads do
//! ([`lead`]). docs/PLATFORM.md gives the reasons.
//!
//! Everything that depends on the platform is passed in as an [`adapter::Adapter`]: plain functions, and
//! closures for I/O. Decisions take the time as a parameter, from a clock that also advances while the VM is
//! paused, which the system's monotonic clock does not.

pub mod adapter;
pub mod attempt;
pub mod caller;
pub mod config;
pub mod connection;
pub mod control;
pub mod departure;
pub mod exchange;
pub mod fresh;
pub mod front;
pub mod gate;
pub mod hash;
pub mod history;
pub mod identity;
pub mod job;
pub mod lead;
pub mod line;
pub mod mesh;
pub mod meter;
pub mod outcome;
pub mod owner;
pub mod parts;
pub mod pool;
pub mod quota;
pub mod relay;
pub mod run;
pub mod session;
pub mod share;
pub mod statement;
pub mod table;
pub mod targets;
pub mod tenure;
pub mod trace;
pub mod transaction;
pub mod view;
pub mod watermark;
