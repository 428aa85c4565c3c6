//! Terms: who may acknowledge writes, and how a group moves to its next term.
//!
//! A term is a ballot over a group's own databases. It belongs to the one steward that raised
//! it, because a database takes only a strictly higher term. Nothing here needs the store.

use crate::clock::{Span, Time};
use crate::types::{DatabaseId, Position, Term};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// How much faster one VM's clock may run than another's, in percent. NTP slews at most 0.05 %;
/// virtual machines have been seen to drift by 1 % for a while after a migration.
pub const DRIFT_PERCENT: u64 = 2;

/// The number of members that decide for a group of `members`.
pub fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// Whether a database in term `current` takes an order to raise its term to `wanted`.
///
/// Equal is refused: two stewards that raise to the same term would otherwise both own it.
pub fn may_raise(current: Term, wanted: Term) -> bool {
    wanted > current
}

/// The position that has to be held by a majority before the steward of `term` vouches for
/// `position`, which its primary's log holds.
///
/// Failure: a write of a former term, found by its request key, is held by a majority, but no
/// database of that majority has the start of this term. Symptom: a database with a shorter
/// log of a term in between is chosen by the next promotion, and the write is gone after it
/// was acknowledged. Enough, because a log that holds a position of `term` holds the start of
/// `term` and all before it, and goes further than any log of a term in between.
pub fn binding(term: Term, position: Position) -> Position {
    Position::new(term.max(position.term), position.offset)
}

/// Confirmations that a term is still the current one, and until when they allow its steward
/// to acknowledge writes and to vouch for floors.
///
/// Failure: a replaced primary, or a paused steward, goes on answering. Symptom: a write is
/// acknowledged that the new term does not hold, or a session's floor is vouched for that the
/// new term's steward has raised since. Enough, because the primary and the others counted here
/// are a majority together, every majority raised to a higher term meets one of them, which
/// then stops confirming, and the new term opens only a whole window after its last raise, when
/// that one's confirmation has lapsed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct Confirmations {
    term: Term,
    primary: DatabaseId,
    members: usize,
    lapses: BTreeMap<DatabaseId, Time>,
}

impl Confirmations {
    /// None yet, for a term whose primary is one of `members` databases.
    pub fn new(term: Term, primary: DatabaseId, members: usize) -> Self {
        Self {
            term,
            primary,
            members,
            lapses: BTreeMap::new(),
        }
    }

    /// The term confirmed.
    pub fn term(&self) -> Term {
        self.term
    }

    /// The primary of the term.
    pub fn primary(&self) -> &DatabaseId {
        &self.primary
    }

    /// `database` answered a probe or ran a statement of this term, sent at `sent`. The
    /// primary's answers are needed too: its refusal of statements alone does not stop an
    /// answer that it gave before, nor a floor that is granted without asking it.
    pub fn confirm(&mut self, database: &DatabaseId, sent: Time, window: Span) {
        let lapse = self.lapses.entry(database.clone()).or_default();
        *lapse = (*lapse).max(sent + window);
    }

    /// `database` answered in a higher term: its confirmation counts no more.
    pub fn withdraw(&mut self, database: &DatabaseId) {
        self.lapses.remove(database);
    }

    /// Until when, exclusively, writes may be acknowledged. Zero if too few have confirmed.
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

    /// Whether an answer of the primary that has been read already may be passed on now.
    /// `now` has to be read from the clock after the answer was.
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
    /// When the majority's last raise was answered, once it was.
    settled: Option<Time>,
    /// Until when the former term's confirmations may count, once `settled` is known.
    opens: Option<Time>,
    /// The database that was ordered to open, once one was.
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

    /// The term attempted.
    pub fn term(&self) -> Term {
        self.term
    }

    /// `database` answered at `now` that it was raised and that its log ends at `end`: the
    /// term that its log was opened in last, whether or not anything was written in it, and the
    /// offset.
    ///
    /// Failure: the former steward still holds fresh confirmations when the new primary opens.
    /// Symptom: both acknowledge. Enough, because every confirmation from a raised database was
    /// probed before its raise was answered, so all lapse within a window of the last answer;
    /// the drift covers a former steward whose clock runs slower.
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

    /// The steward of `former` has stopped for good: it acknowledges nothing more in its term
    /// and no lease that it granted is left, so there is nothing to wait out. Called after the
    /// majority was raised.
    ///
    /// Failure: the handover is late, and `former` was replaced already. Symptom: the steward
    /// of a term in between still acknowledges when this one opens. Enough, because between
    /// `former` and the very next term there is none.
    pub fn yielded(&mut self, former: Term) {
        if let Some(settled) = self.settled.filter(|_| former.next() == self.term) {
            self.opens = Some(settled);
        }
    }

    /// When the majority's last raise was answered.
    pub fn settled(&self) -> Option<Time> {
        self.settled
    }

    /// Whether every database has been raised, so that there is nobody left to hear from.
    pub fn complete(&self) -> bool {
        self.raised.len() == self.members.len()
    }

    /// Leaves `database`, whose log does not reach the others, out of the choice where a
    /// majority is raised without it.
    ///
    /// Failure: a primary is cut off from its replicas and goes on writing, so that its log goes
    /// furthest. Symptom: it is chosen again, and no write is acknowledged for as long as the
    /// cut lasts. Enough, because a majority without it holds all that a majority ever held;
    /// what it has beyond that was acknowledged to nobody who asked for a majority.
    pub fn leave_out(&mut self, database: DatabaseId) {
        self.left_out = Some(database);
    }

    /// The database that is left out of the choice.
    pub fn left_out(&self) -> Option<&DatabaseId> {
        self.left_out.as_ref()
    }

    /// The database to open: the one of those raised whose log goes furthest, by term and then
    /// offset. `None` before a majority has been raised.
    ///
    /// Failure: a database that lacks a majority-held write is opened. Symptom: an acknowledged
    /// write is gone. Enough, because any two majorities share a database that has the write,
    /// and a log that ends higher holds all of it.
    pub fn choice(&self) -> Option<(&DatabaseId, Position)> {
        self.choice_with(|_| false)
    }

    /// As [`choice`](Self::choice); of logs that go equally far, one whose database is not to
    /// be avoided comes first.
    pub fn choice_with(
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

    /// The database to order to open at `now`, if it is time; the same one ever after.
    ///
    /// Failure: the order to open is lost on its way back, a further database is raised, and
    /// its log goes further. Symptom: two databases are open in one term. Enough, because the
    /// choice is kept; if that database is lost, a higher term is needed.
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
