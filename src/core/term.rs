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

/// Confirmations that a term is still the current one, and until when they allow its steward
/// to acknowledge writes and to vouch for floors.
///
/// Failure: a replaced primary, or a paused steward, goes on answering. Symptom: a write is
/// acknowledged that the new term does not hold. Enough, because a raise to a higher term
/// needs a majority, every majority meets the primary (which then refuses) or a database that
/// confirmed here (which then stops confirming), and the new term opens only a whole window
/// after its last raise, when every confirmation counted here has lapsed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize)]
pub struct Confirmations {
    term: Term,
    primary: DatabaseId,
    members: usize,
    lapses: BTreeMap<DatabaseId, Time>,
    /// When the primary's own confirmation lapses.
    own: Time,
}

impl Confirmations {
    /// None yet, for a term whose primary is one of `members` databases.
    pub fn new(term: Term, primary: DatabaseId, members: usize) -> Self {
        Self {
            term,
            primary,
            members,
            lapses: BTreeMap::new(),
            own: Time::default(),
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

    /// `database` answered a probe, sent at `sent`, that its term is still this one. The
    /// primary's own answer says nothing of what the others were told; it counts for floors
    /// alone.
    pub fn confirm(&mut self, database: &DatabaseId, sent: Time, window: Span) {
        if *database == self.primary {
            self.own = self.own.max(sent + window);
            return;
        }
        let lapse = self.lapses.entry(database.clone()).or_default();
        *lapse = (*lapse).max(sent + window);
    }

    /// `database` answered in a higher term: its confirmation counts no more.
    pub fn withdraw(&mut self, database: &DatabaseId) {
        self.lapses.remove(database);
    }

    /// Until when, exclusively, writes may be acknowledged. Zero if too few have confirmed.
    pub fn deadline(&self) -> Time {
        let others = majority(self.members) - 1;
        if others == 0 {
            return Time(u64::MAX);
        }
        let mut lapses: Vec<Time> = self.lapses.values().copied().collect();
        lapses.sort_unstable_by(|a, b| b.cmp(a));
        lapses.get(others - 1).copied().unwrap_or_default()
    }

    /// Until when, exclusively, the sessions' floors may be vouched for.
    ///
    /// Failure: the primary was raised to the next term, and the steward is cut from it but not
    /// from the others, which still confirm. No write is acknowledged here any more, since the
    /// primary refuses them, but others are, in the next term. Symptom: a session reads under a
    /// floor that lacks its newest write. Enough, because the primary has to confirm as well,
    /// and every majority that is raised meets it or one of the others counted.
    pub fn floor_deadline(&self) -> Time {
        self.deadline().min(self.own)
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
        }
    }

    /// The term attempted.
    pub fn term(&self) -> Term {
        self.term
    }

    /// `database` answered at `now` that it was raised and that its log ends at `end`.
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

    /// The former steward has stopped for good: it will acknowledge nothing more in its term,
    /// so there is nothing to wait out.
    pub fn yielded(&mut self) {
        if let Some(settled) = self.settled {
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
        let best = self
            .raised
            .iter()
            .max_by_key(|(id, end)| (**end, rank(*id)))?;
        Some((best.0, *best.1))
    }

    /// When the chosen database may be opened for writes.
    pub fn opens(&self) -> Option<Time> {
        self.opens
    }
}
