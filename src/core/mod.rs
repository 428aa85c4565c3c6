//! The proxy's decisions, without sockets, files or timers.
//!
//! Typed inputs and the current time go in, and typed outputs come out, so that scenarios and
//! the model checker run the same code that serves callers.
//!
//! `node` passes each input to the roles of a proxy: `entry`, `holder`, `steward` and `spread`.
//! The roles share `world` and do not depend on `node`. They communicate by `message`, also on
//! the same VM, or through `node::settle`. The other modules hold the rules that they apply.

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
