//! The core protocol as small specifications, searched exhaustively.
//!
//! Each specification runs the real transition functions of `core` between processes that may
//! stop, restart and lose messages at any point. Each of its safeguards can be taken out; the
//! search then has to find how the property breaks.

pub mod floors;
pub mod leads;
pub mod outcomes;
pub mod search;
pub mod suite;
pub mod terms;
pub mod vouch;
