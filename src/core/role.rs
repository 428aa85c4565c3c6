//! The role of a database on this VM, and the work that it forbids.

use crate::core::message::Work;
use crate::core::request::{Cause, Kind};
use crate::types::Term;
use serde::Serialize;

/// The role of a database on this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Role {
    /// It serves the reads for which it is new enough.
    Replica,
    /// This VM is the group's steward, and the database is its primary in this term.
    Primary(Term),
    /// As `Primary`, but the group is about to be handed over: no transaction starts.
    Draining(Term),
    /// As `Draining`, and no work starts.
    Frozen(Term),
}

impl Role {
    /// The term in which the database is this steward's primary.
    pub fn term(self) -> Option<Term> {
        match self {
            Role::Replica => None,
            Role::Primary(term) | Role::Draining(term) | Role::Frozen(term) => Some(term),
        }
    }

    /// Why `work` may not start, if so.
    ///
    /// A read without a floor may be sent to a steward that was replaced meanwhile. An old primary
    /// would answer it as if it were a replica, and the session would not see its own write. Work
    /// for a primary is therefore refused in every other role.
    pub fn forbids(self, work: &Work) -> Option<Cause> {
        let begins = matches!(work.kind, Kind::Begin | Kind::BeginRead);
        match self {
            Role::Replica if work.primary => Some(Cause::NoPrimary),
            Role::Draining(_) if begins => Some(Cause::NoPrimary),
            Role::Frozen(_) => Some(Cause::NoPrimary),
            _ => None,
        }
    }
}
