//! Direct access: each VM connects to every database itself, and who leads a group is a row in
//! the platform's store.
//!
//! The other way, of `core::node`, has one holder a database and makes terms in the databases.
//! Here a term is made by an order to the platform, and nothing at a database fences us: leases on
//! who leads do ([`lead`]). docs/PLATFORM.md gives the reasons.
//!
//! What varies with the platform is handed in as an [`adapter::Adapter`]: plain functions, and
//! closures for what does I/O. The decisions take the time as a parameter; it is a clock that
//! counts a pause of the VM, which the steady clock of the system does not.

pub mod adapter;
pub mod attempt;
pub mod caller;
pub mod config;
pub mod connection;
pub mod control;
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
pub mod reached;
pub mod relay;
pub mod run;
pub mod session;
pub mod statement;
pub mod table;
pub mod targets;
pub mod tenure;
pub mod trace;
pub mod transaction;
pub mod view;
