//! Answers of a primary that wait until its steward may pass them on.

use crate::clock::Time;
use crate::core::database::Reply;
use crate::core::job::Job;
use crate::core::request::Unknown;
use crate::core::session::Holding;
use crate::core::term::{Confirmations, majority};
use crate::types::{DatabaseId, Link, Offset, Position, SessionId, VmId};
use serde::Serialize;
use std::collections::BTreeMap;

/// The answers under one term that are not passed on yet, and how far each replica's log has
/// come in that term.
#[derive(Debug)]
pub(crate) struct Acknowledgements {
    members: usize,
    waiting: Vec<Waiting>,
    reached: BTreeMap<DatabaseId, Offset>,
    /// The end of the furthest write that was passed on.
    passed: Offset,
}

/// One answer that waits.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub job: Job,
    pub reply: Reply,
    /// A majority's logs have to hold this.
    pub durable: Option<Offset>,
    /// Other entries' leases on the session's floor.
    pub leases: Vec<Holding>,
}

/// How far the replicas are, for `dump`.
#[derive(Debug, Serialize)]
pub(crate) struct Progress<'a> {
    waiting: usize,
    reached: &'a BTreeMap<DatabaseId, Offset>,
}

impl Acknowledgements {
    /// Nothing waits yet, in a group of `members` databases.
    pub fn new(members: usize) -> Self {
        Self {
            members,
            waiting: Vec::new(),
            reached: BTreeMap::new(),
            passed: Offset::default(),
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

    /// `database`, which is not the primary, holds the term's log up to `offset`.
    pub fn reached(&mut self, database: &DatabaseId, offset: Offset) {
        match self.reached.get_mut(database) {
            Some(reached) => *reached = offset.max(*reached),
            None => {
                self.reached.insert(database.clone(), offset);
            }
        }
    }

    /// The offset that `database` has yet to reach for all that waits, if any.
    pub fn wanted(&self, database: &DatabaseId) -> Option<Offset> {
        let furthest = self.waiting.iter().filter_map(|w| w.durable).max()?;
        let reached = self.reached.get(database).copied().unwrap_or_default();
        (reached < furthest).then_some(furthest)
    }

    /// Whether any answer waits for replicas that lack its write.
    pub fn is_short(&self) -> bool {
        let held = self.majority_holds();
        let mut durable = self.waiting.iter().filter_map(|waiting| waiting.durable);
        durable.any(|offset| offset > held)
    }

    /// Whether a write was passed on that only the primary is known to have, as callers may who
    /// ask for no majority: a majority without the primary would lose it.
    pub fn has_unshared(&self) -> bool {
        self.passed > self.majority_holds()
    }

    /// The entry `vm` is gone, or with a `link` one of its callers: nobody is to be told.
    pub fn depart(&mut self, vm: &VmId, link: Option<Link>) {
        self.waiting.retain(|waiting| {
            let job = &waiting.job;
            job.origin != *vm || link.is_some_and(|link| link != job.work.link)
        });
    }

    /// `vm` gave up the lease on `session` that a write up to `floor` revoked.
    pub fn released(&mut self, session: &SessionId, vm: &VmId, floor: Position) {
        for waiting in &mut self.waiting {
            if waiting.job.work.session.as_ref() == Some(session) {
                waiting.leases.retain(|lease| !lease.ends_by(vm, floor));
            }
        }
    }

    /// Takes out what may be passed on now.
    ///
    /// `now` was read after the input that carried the primary's answer arrived. A process that
    /// was paused handles an old event with the time of its waking, finds the confirmations
    /// lapsed, and keeps the answer back.
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
        self.passed = wrote.map(|end| end.offset).fold(self.passed, Offset::max);
        ready
    }

    /// Takes out what nobody has a use for any more, with what its caller is to be told.
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

    /// Takes everything out: the term is over.
    pub fn abandon(&mut self) -> Vec<Waiting> {
        std::mem::take(&mut self.waiting)
    }

    /// The offset that the primary and enough others hold to be a majority.
    ///
    /// Failure: the primary dies right after it answered. Symptom: an acknowledged write is
    /// gone. Enough, because any majority raised to a later term shares a database with the
    /// majority counted here, and the furthest log of those raised is the one that is opened.
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
