//! What a database is to this VM, and what that forbids.

use crate::core::message::Work;
use crate::core::request::{Cause, Kind};
use crate::types::Term;
use serde::Serialize;

/// What the database is to this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Role {
    /// It serves reads that it is new enough for.
    Replica,
    /// This VM is the steward and it is the primary of this term.
    Primary(Term),
    /// As before, but the group is about to be handed over: no transaction starts.
    Draining(Term),
    /// As before, and nothing starts.
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
    /// Failure: a read without a floor is sent to a steward that was replaced meanwhile.
    /// Symptom: it is answered from an old primary as if from a replica, and its session does
    /// not see its write. Enough, because work for a primary is refused by every other role.
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
