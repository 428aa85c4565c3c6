//! lentilspoke: a database proxy with session consistency for groups of lagging replicas.
//!
//! `admission` decides which work waits, is refused or goes where under load; `core` makes decisions without
//! I/O; `net` connects it to sockets and timers; `standin` simulates the external systems for tests and the
//! demo; `cmd` has a module for each subcommand.

pub mod admission;
pub mod clock;
pub mod cmd;
pub mod config;
pub mod core;
pub mod direct;
pub mod experiment;
pub mod explain;
pub mod jsonc;
pub mod load;
pub mod logs;
pub mod model;
pub mod net;
pub mod process;
pub mod schedule;
pub mod settings;
pub mod slopes;
pub mod soak;
pub mod sql;
pub mod standin;
pub mod token;
pub mod types;
pub mod util;
