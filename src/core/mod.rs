//! The proxy's decisions, without sockets, files or timers.
//!
//! Everything here is driven by typed inputs with the time handed in, and answers with
//! typed outputs, so that scenarios and the model checker run the code that serves callers.

mod acknowledge;
mod age;
pub mod counters;
pub mod database;
pub mod detect;
pub mod gate;
pub mod limit;
pub mod lineage;
pub mod member;
pub mod message;
pub mod node;
pub mod pool;
pub mod ramp;
pub mod request;
pub mod retry;
pub mod route;
pub mod term;
mod entry;
mod holder;
mod recent;
mod session;
mod spread;
mod steward;
mod world;
