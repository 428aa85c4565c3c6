//! Which database of a group serves a read.

use crate::clock::{Span, Time};
use crate::core::message::Hint;
use crate::types::{DatabaseId, Position};
use serde::Serialize;
use std::collections::BTreeMap;

/// What a read needs of its database.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Need {
    /// The log position that has to be applied.
    pub floor: Option<Position>,
    /// The age that must not be exceeded.
    pub max_age: Option<Span>,
}

/// A database that might serve a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The database.
    pub database: DatabaseId,
    /// Whether it is the primary.
    pub primary: bool,
    /// Whether its holder is in this proxy's region or nearer.
    pub near: bool,
}

/// What an entry has learned of a group's databases from their answers.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Router {
    seen: BTreeMap<DatabaseId, Hint>,
    turn: usize,
}

impl Router {
    /// The databases to try for a read, best first; the primary is among them if it is a
    /// candidate, as the last resort or where no replica will do.
    pub fn order(&mut self, _now: Time, _need: &Need, candidates: &[Candidate]) -> Vec<DatabaseId> {
        let (primary, mut replicas): (Vec<_>, Vec<_>) =
            candidates.iter().partition(|candidate| candidate.primary);
        if !replicas.is_empty() {
            self.turn = (self.turn + 1) % replicas.len();
            replicas.rotate_left(self.turn);
        }
        replicas
            .iter()
            .chain(primary.iter())
            .map(|candidate| candidate.database.clone())
            .collect()
    }

    /// A read was sent to `database`.
    pub fn sent(&mut self, _now: Time, _database: &DatabaseId) {}

    /// `database` answered after `took`, and told `hint` in passing.
    pub fn answered(&mut self, _now: Time, database: &DatabaseId, _took: Span, hint: &Hint) {
        self.seen.insert(database.clone(), hint.clone());
    }

    /// `database` turned a read away, was not new enough, or could not be reached.
    pub fn failed(&mut self, _now: Time, _database: &DatabaseId) {}
}
