//! The proxy's decisions, without sockets, files or timers.
//!
//! Everything here is driven by typed inputs with the time handed in, and answers with
//! typed outputs, so that scenarios and the model checker run the code that serves callers.
//!
//! `node` hands each input to the roles of a proxy: `entry`, `holder`, `steward`, `spread`. These
//! share `world` and know nothing of `node`. What one has for another goes by `message`, also on
//! one VM, or is carried over by `node::settle`. The other modules are what they decide by.

mod acknowledge;
mod age;
pub mod counters;
pub mod database;
pub mod detect;
mod entry;
pub mod gate;
mod holder;
mod job;
pub mod limit;
pub mod lineage;
pub mod member;
pub mod message;
pub mod node;
pub mod output;
pub mod pool;
pub mod ramp;
mod recent;
pub mod request;
pub mod retry;
mod role;
pub mod route;
pub(crate) mod session;
mod spread;
mod steward;
pub mod term;
mod world;
