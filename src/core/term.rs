//! Terms: which steward may acknowledge writes, and how a group moves to its next term.
//!
//! A term is a ballot number that the group's own databases vote on. It belongs to the one steward
//! that raised it, because a database accepts only a strictly higher term. The store is not used.

use crate::clock::{Span, Time};
use crate::types::{DatabaseId, Position, Term};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// How much faster one VM's clock may run than another's, in percent. NTP slews at most 0.05 %,
/// but virtual machines were observed to drift by 1 % for a while after a migration.
pub const DRIFT_PERCENT: u64 = 2;

/// The number of databases that form a majority of `members`.
pub fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// Whether a database in term `current` accepts an order to raise its term to `wanted`.
///
/// An equal term is refused, because two stewards that raise the same one would both own it.
pub fn may_raise(current: Term, wanted: Term) -> bool {
    wanted > current
}

/// The position that a majority must hold before the steward of `term` may acknowledge `position`,
/// which its primary's log holds.
///
/// `position` may be a write of a former term that was found by its request key. A majority that
/// holds it without the start of `term` does not protect it: the next promotion could choose a
/// database with a shorter log of a term in between. A log that holds a position of `term` holds
/// the start of `term` and everything before, and goes further than any log of a term in between.
pub fn required_position(term: Term, position: Position) -> Position {
    Position::new(term.max(position.term), position.offset)
}

/// Confirmations by databases that a term is still the current one. They determine until when its
/// steward may acknowledge writes and grant leases on floors.
///
/// A replaced primary or a paused steward may go on answering. It must neither acknowledge a write
/// that the new term does not hold, nor grant a floor that the new term's steward has raised
/// since. The primary and the others counted here are a majority, so every majority raised to a
/// higher term includes one of them, which then stops confirming. The new term opens a whole
/// window after its last raise, when that confirmation has expired.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct Confirmations {
    term: Term,
    primary: DatabaseId,
    members: usize,
    lapses: BTreeMap<DatabaseId, Time>,
}

impl Confirmations {
    /// Starts without confirmations, for a term whose primary is one of `members` databases.
    pub fn new(term: Term, primary: DatabaseId, members: usize) -> Self {
        Self {
            term,
            primary,
            members,
            lapses: BTreeMap::new(),
        }
    }

    /// The confirmed term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The primary of the term.
    pub fn primary(&self) -> &DatabaseId {
        &self.primary
    }

    /// Records that `database` answered a probe or ran a statement of this term, sent at `sent`.
    /// The primary must confirm too: that it refuses statements in a higher term does not stop an
    /// answer that it gave before, nor a floor that is granted without asking it.
    pub fn confirm(&mut self, database: &DatabaseId, sent: Time, window: Span) {
        let lapse = self.lapses.entry(database.clone()).or_default();
        *lapse = (*lapse).max(sent + window);
    }

    /// Removes the confirmation of `database`, which answered in a higher term.
    pub fn withdraw(&mut self, database: &DatabaseId) {
        self.lapses.remove(database);
    }

    /// Until when (exclusive) writes may be acknowledged; zero if too few databases have confirmed.
    pub fn deadline(&self) -> Time {
        let own = self.lapses.get(&self.primary).copied().unwrap_or_default();
        let mut others: Vec<Time> = self
            .lapses
            .iter()
            .filter(|(database, _)| **database != self.primary)
            .map(|(_, lapse)| *lapse)
            .collect();
        others.sort_unstable_by(|a, b| b.cmp(a));
        match majority(self.members) - 1 {
            0 => own,
            needed => own.min(others.get(needed - 1).copied().unwrap_or_default()),
        }
    }

    /// Whether a received answer of the primary may be sent now. `now` must be read from the clock
    /// after the answer was received.
    pub fn hold(&self, now: Time) -> bool {
        now < self.deadline()
    }
}

/// One attempt of a steward to move a group to a new term.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct Promotion {
    term: Term,
    members: BTreeSet<DatabaseId>,
    raised: BTreeMap<DatabaseId, Position>,
    /// When the raise that completed the majority was answered.
    settled: Option<Time>,
    /// Until when the former term's confirmations may be valid, once `settled` is known.
    opens: Option<Time>,
    /// The database that was ordered to open.
    ordered: Option<DatabaseId>,
    /// A primary that is cut off from the others.
    left_out: Option<DatabaseId>,
}

impl Promotion {
    /// An attempt at `term` over all of a group's databases.
    pub fn new(term: Term, members: BTreeSet<DatabaseId>) -> Self {
        Self {
            term,
            members,
            raised: BTreeMap::new(),
            settled: None,
            opens: None,
            ordered: None,
            left_out: None,
        }
    }

    /// The term of this attempt.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Records that `database` answered at `now` that it was raised and that its log ends at `end`:
    /// the last term that its log was opened in, even if nothing was written in it, and the offset.
    ///
    /// The new primary opens a window after the majority's last answer, or the former steward
    /// could still have valid confirmations, and both would acknowledge. Every confirmation of a
    /// raised database was probed before its raise was answered, so all expire within that
    /// window; the drift covers a former steward whose clock is slower.
    pub fn raised(&mut self, database: &DatabaseId, end: Position, now: Time, window: Span) {
        if !self.members.contains(database) {
            return;
        }
        let first = self.raised.insert(database.clone(), end).is_none();
        let majority = majority(self.members.len());
        if first && self.raised.len() == majority {
            self.settled = Some(now);
            self.opens = Some(now + window.percent(100 + DRIFT_PERCENT));
        }
    }

    /// Skips the wait, because the steward of `former` acknowledges nothing more in its term and
    /// all leases that it granted have ended. Called after the majority was raised.
    ///
    /// Applies only if this is the very next term after `former`. If the handover is late, a
    /// steward of a term in between could still acknowledge when this one opens.
    pub fn yielded(&mut self, former: Term) {
        if let Some(settled) = self.settled.filter(|_| former.next() == self.term) {
            self.opens = Some(settled);
        }
    }

    /// When the raise that completed the majority was answered.
    pub fn settled(&self) -> Option<Time> {
        self.settled
    }

    /// Whether every database has been raised.
    pub fn complete(&self) -> bool {
        self.raised.len() == self.members.len()
    }

    /// Excludes `database`, whose log does not reach the others, from the choice if a majority is
    /// raised without it.
    ///
    /// A primary that is cut off from its replicas goes on writing, so its log goes furthest and
    /// it would be chosen again, without any write being acknowledged until the connection
    /// returns. A majority without it holds everything that a majority ever held; what it has
    /// beyond that was not acknowledged to any caller with majority durability.
    pub fn leave_out(&mut self, database: DatabaseId) {
        self.left_out = Some(database);
    }

    /// The database that is excluded from the choice.
    pub fn left_out(&self) -> Option<&DatabaseId> {
        self.left_out.as_ref()
    }

    /// The database to open: the raised one whose log goes furthest, by term and then by offset.
    /// `None` before a majority has been raised.
    ///
    /// This keeps every acknowledged write: any two majorities share a database that has the
    /// write, and a log that ends higher holds all of that database's log.
    pub fn choice(&self) -> Option<(&DatabaseId, Position)> {
        self.choice_avoiding(|_| false)
    }

    /// Like [`choice`](Self::choice), but among logs that go equally far it prefers a database that
    /// is not to be avoided.
    pub fn choice_avoiding(
        &self,
        avoid: impl Fn(&DatabaseId) -> bool,
    ) -> Option<(&DatabaseId, Position)> {
        self.settled?;
        let rank = |id| (!avoid(id), std::cmp::Reverse(id));
        let others = || {
            let left_out = self.left_out.as_ref();
            self.raised
                .iter()
                .filter(move |(id, _)| Some(*id) != left_out)
        };
        let best = if others().count() >= majority(self.members.len()) {
            others().max_by_key(|(id, end)| (**end, rank(*id)))?
        } else {
            self.raised
                .iter()
                .max_by_key(|(id, end)| (**end, rank(*id)))?
        };
        Some((best.0, *best.1))
    }

    /// The database to open, if it may be opened at `now`. Later calls return the same one.
    ///
    /// The answer to the order may be lost, and another database with a longer log raised
    /// afterwards. Keeping the choice prevents two open databases in one term; if the chosen
    /// database is lost, a higher term is needed.
    pub fn order(&mut self, now: Time) -> Option<&DatabaseId> {
        if self.ordered.is_none() && self.opens? <= now {
            self.ordered = self.choice().map(|(database, _)| database.clone());
        }
        self.ordered.as_ref()
    }

    /// When the chosen database may be opened for writes.
    pub fn opens(&self) -> Option<Time> {
        self.opens
    }
}
