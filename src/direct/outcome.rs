//! The error for a statement that was sent but whose answer can't be returned to the caller.
//!
//! A connection may break or stop responding, or its database may be replaced, after the statement was
//! sent. Reporting that nothing was kept must be right, or the caller repeats its write and both take
//! effect; reporting an unknown outcome needlessly prevents a safe retry. Only a write outside a
//! transaction, and the commit of a transaction that wrote, can be kept. Everything else is rolled back
//! when its connection is closed.

use crate::direct::job::{Job, Part};
use crate::direct::statement::Code;
use serde::{Deserialize, Serialize};

/// Why an answer is not returned to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Loss {
    /// The connection broke, or the input was no valid answer.
    Broken,
    /// No answer arrived before the statement's deadline.
    Silent,
    /// The lease under which it was sent was no longer valid.
    Lapsed,
}

/// The error for a statement that was sent; `wrote` is whether its transaction has written before.
pub fn lost(job: &Job<'_>, wrote: bool, loss: Loss) -> (Code, &'static str) {
    let kept = match job.part {
        Part::Single => job.writes,
        Part::First { .. } => false,
        Part::Next => job.commit && wrote,
    };
    match (loss, kept) {
        (Loss::Silent, _) => (Code::Late, "the route's timeout is over"),
        (Loss::Broken, true) => (Code::Unknown, "the answer was lost"),
        (Loss::Lapsed, true) => (Code::Unknown, "the primary was replaced meanwhile"),
        (Loss::Broken, false) => (Code::RolledBack, "the connection to the database broke"),
        (Loss::Lapsed, false) => (Code::RolledBack, "the primary was replaced"),
    }
}

/// Whether a statement refused with `code` may succeed on another copy, or on the same one later.
pub fn may_succeed_elsewhere(code: Code) -> bool {
    match code {
        Code::Busy
        | Code::Behind
        | Code::NotPrimary
        | Code::OtherDatabase
        | Code::Full
        | Code::NoStatement => true,
        Code::RolledBack
        | Code::NoDatabase
        | Code::NoKey
        | Code::Malformed
        | Code::Failed
        | Code::Late
        | Code::Unknown => false,
    }
}
