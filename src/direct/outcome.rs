//! What a caller is told of a statement whose answer is not passed on.
//!
//! **Failure answered.** A connection breaks, falls silent, or its database is replaced, after a
//! statement was sent and before its answer may be passed on.
//! **Symptom without it.** A caller is promised that nothing is kept and books again, and both
//! bookings stand; or it is told nothing certain where it could have tried again.
//! **Why it suffices.** Only a write of its own, and the commit of a transaction that wrote, can
//! be kept. All else is rolled back with its connection, which is closed.

use crate::direct::job::{Job, Part};
use crate::direct::statement::Code;
use serde::{Deserialize, Serialize};

/// Why an answer is not passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// The connection broke, or what came was no answer.
    Broken,
    /// No answer came until the statement's deadline.
    Silent,
    /// The lease under which it was sent no longer held.
    Lapsed,
}

/// What to tell of a statement that was sent; `wrote` tells whether its transaction had written.
pub fn lost(job: &Job<'_>, wrote: bool, why: Why) -> (Code, &'static str) {
    let kept = match job.part {
        Part::Single => job.writes,
        Part::First { .. } => false,
        Part::Next => job.commit && wrote,
    };
    match (why, kept) {
        (Why::Silent, _) => (Code::Late, "the route's timeout is over"),
        (Why::Broken, true) => (Code::Unknown, "the answer was lost"),
        (Why::Lapsed, true) => (Code::Unknown, "the primary was replaced meanwhile"),
        (Why::Broken, false) => (Code::RolledBack, "the connection to the database broke"),
        (Why::Lapsed, false) => (Code::RolledBack, "the primary was replaced"),
    }
}

/// Whether another copy, or the same a little later, may do what a database refused to run.
pub fn may_do_elsewhere(code: Code) -> bool {
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
