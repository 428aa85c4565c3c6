//! Answers of a primary that its steward holds back until they may be sent to the entries.

use crate::clock::Time;
use crate::core::database::Reply;
use crate::core::job::Job;
use crate::core::request::Unknown;
use crate::core::session::Lease;
use crate::core::term::{Confirmations, majority};
use crate::types::{DatabaseId, Link, Offset, Position, SessionId, VmId};
use serde::Serialize;
use std::collections::BTreeMap;

/// The answers of one term that have not been sent yet, and the log offset that each replica
/// has reached in that term.
#[derive(Debug)]
pub(crate) struct Acknowledgements {
    members: usize,
    waiting: Vec<Waiting>,
    reached: BTreeMap<DatabaseId, Offset>,
    /// The highest end of a write whose answer was sent.
    acknowledged: Offset,
}

/// One answer that is held back.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub job: Job,
    pub reply: Reply,
    /// The offset that the logs of a majority must hold first.
    pub durable: Option<Offset>,
    /// Other entries' leases on the session's floor, which must end first.
    pub leases: Vec<Lease>,
}

/// The number of waiting answers and the replicas' offsets, for `dump`.
#[derive(Debug, Serialize)]
pub(crate) struct Progress<'a> {
    waiting: usize,
    reached: &'a BTreeMap<DatabaseId, Offset>,
}

impl Acknowledgements {
    /// Creates an empty set for a group of `members` databases.
    pub fn new(members: usize) -> Self {
        Self {
            members,
            waiting: Vec::new(),
            reached: BTreeMap::new(),
            acknowledged: Offset::default(),
        }
    }

    pub fn progress(&self) -> Progress<'_> {
        Progress {
            waiting: self.waiting.len(),
            reached: &self.reached,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn push(&mut self, waiting: Waiting) {
        self.waiting.push(waiting);
    }

    /// Records that `database`, which is not the primary, holds the term's log up to `offset`.
    pub fn reached(&mut self, database: &DatabaseId, offset: Offset) {
        match self.reached.get_mut(database) {
            Some(reached) => *reached = offset.max(*reached),
            None => {
                self.reached.insert(database.clone(), offset);
            }
        }
    }

    /// The offset that `database` must still reach for all waiting answers, if it has not.
    pub fn wanted(&self, database: &DatabaseId) -> Option<Offset> {
        let furthest = self.waiting.iter().filter_map(|w| w.durable).max()?;
        let reached = self.reached.get(database).copied().unwrap_or_default();
        (reached < furthest).then_some(furthest)
    }

    /// Whether any answer waits for its write to reach a majority.
    pub fn is_short(&self) -> bool {
        let held = self.majority_holds();
        let mut durable = self.waiting.iter().filter_map(|waiting| waiting.durable);
        durable.any(|offset| offset > held)
    }

    /// Whether a write was acknowledged that is not known to be on a majority, which pools without
    /// majority durability allow. A majority without the primary would lose it.
    pub fn has_unshared(&self) -> bool {
        self.acknowledged > self.majority_holds()
    }

    /// Drops the answers for the entry `vm`, or only for its caller `link`, which disconnected.
    pub fn depart(&mut self, vm: &VmId, link: Option<Link>) {
        self.waiting.retain(|waiting| {
            let job = &waiting.job;
            job.origin != *vm || link.is_some_and(|link| link != job.work.link)
        });
    }

    /// Records that `vm` released the lease on `session` that a write up to `floor` revoked.
    pub fn released(&mut self, session: &SessionId, vm: &VmId, floor: Position) {
        for waiting in &mut self.waiting {
            if waiting.job.work.session.as_ref() == Some(session) {
                waiting.leases.retain(|lease| !lease.ends_by(vm, floor));
            }
        }
    }

    /// Removes and returns the answers that may be sent now.
    ///
    /// `now` must be read after the primary's answer arrived. A process that was paused then
    /// handles old answers with the current time, finds the confirmations expired, and holds the
    /// answers back.
    pub fn ready(&mut self, now: Time, confirmations: &Confirmations) -> Vec<Waiting> {
        if self.waiting.is_empty() || !confirmations.hold(now) {
            return Vec::new();
        }
        let held = self.majority_holds();
        let passes = |waiting: &mut Waiting| {
            let durable = waiting.durable.is_none_or(|offset| offset <= held);
            durable && waiting.leases.iter().all(|lease| lease.until <= now)
        };
        let ready: Vec<Waiting> = self.waiting.extract_if(.., passes).collect();
        let wrote = ready.iter().filter_map(|waiting| waiting.reply.wrote);
        self.acknowledged = wrote
            .map(|end| end.offset)
            .fold(self.acknowledged, Offset::max);
        ready
    }

    /// Removes the answers whose deadline has passed and returns them with the cause to report.
    pub fn expire(&mut self, now: Time, confirmations: &Confirmations) -> Vec<(Waiting, Unknown)> {
        let held = self.majority_holds();
        let holds = confirmations.hold(now);
        let late = self
            .waiting
            .extract_if(.., |waiting| waiting.job.deadline <= now);
        late.map(|waiting| {
            let short = waiting.durable.is_some_and(|offset| offset > held);
            let cause = if holds && short {
                Unknown::Unreplicated
            } else {
                Unknown::Unconfirmed
            };
            (waiting, cause)
        })
        .collect()
    }

    /// Removes and returns all answers, because the term has ended.
    pub fn abandon(&mut self) -> Vec<Waiting> {
        std::mem::take(&mut self.waiting)
    }

    /// The highest offset that a majority, including the primary, holds.
    ///
    /// A write up to it survives the loss of the primary: any majority raised to a later term
    /// shares a database with this one, and the furthest log of those raised is opened.
    fn majority_holds(&self) -> Offset {
        let others = majority(self.members) - 1;
        if others == 0 {
            return Offset(u64::MAX);
        }
        let mut reached: Vec<Offset> = self.reached.values().copied().collect();
        reached.sort_unstable_by(|a, b| b.cmp(a));
        reached.get(others - 1).copied().unwrap_or_default()
    }
}
