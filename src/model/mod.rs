//! Model checking of the core protocol: small specifications, searched exhaustively.
//!
//! Each specification runs the production transition functions between simulated processes that may
//! stop, restart and lose messages at any point. Each safeguard of the protocol can be disabled; the
//! search then has to find how a property breaks.

pub mod ages;
pub mod allowance;
pub mod floors;
pub mod leads;
pub mod outcomes;
pub mod search;
pub mod suite;
pub mod terms;
pub mod vouch;
