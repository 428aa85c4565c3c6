//! The choice of the database that serves a read.
//!
//! This handles a replica that is slow, busy or far behind beside one that is not, and sessions
//! that read what they have just written. Without it round robin gives a slow replica as many reads
//! as a fast one, and half of all callers wait; and routing by time since the last write sends
//! every read of a session that wrote recently to the primary, although the replicas have long had
//! the write, and takes slots from the writes.
//!
//! Two replicas are drawn at random by their shares (see [`crate::core::ramp`]), and the one with
//! the lower expected time is taken: two choices keep entries that all see the same figures from
//! choosing the same replica, and are nearly as good as the best of all. Whether a replica meets a
//! read's needs is estimated from its last reported position and the speed at which that advanced.
//! The holder makes the final check, so a wrong estimate costs a retry and never a stale read. The
//! primary comes last, unless no replica is suitable or the replicas' queues are long.

mod seen;

use crate::clock::{Span, Time};
use crate::core::message::Hint;
use crate::core::ramp::Share;
use crate::types::DatabaseId;
pub use seen::Need;
use seen::{INITIAL_TIME, Rank, Stats};
use serde::Serialize;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum wait in the replicas' queues before reads may spill to the primary: above the scatter of
/// a queue that empties, so that in ordinary load the primary keeps its slots for writes.
const MIN_SPILL_WAIT: Span = Span::from_millis(25);

/// The primary takes spilled reads only while its own wait is less than this part of the replicas',
/// in percent.
const MAX_PRIMARY_WAIT_PERCENT: u64 = 25;

/// The assumed time of a replica in another region before it was measured: a round trip between
/// regions.
const INITIAL_REMOTE_TIME: Span = Span::from_millis(20);

/// The second replica drawn is taken only if its expected time is below this part of the first
/// one's, in percent. All entries see the same small differences; if these counted, one of two
/// equal replicas would get three quarters of the reads.
const CLEARLY_BETTER_PERCENT: u64 = 75;

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

/// The rules of a router; [`Policy::naive`] is the baseline of measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Policy {
    /// Whether replicas are chosen by their statistics; otherwise round robin.
    pub informed: bool,
    /// Whether a database's share changes slowly; otherwise the better one gets everything at once.
    pub ramped: bool,
    /// Whether reads spill to the primary when replicas' queues are long.
    pub spills: bool,
}

impl Policy {
    /// All rules.
    pub fn full() -> Self {
        Self {
            informed: true,
            ramped: true,
            spills: true,
        }
    }

    /// Round robin over the replicas.
    pub fn naive() -> Self {
        Self {
            informed: false,
            ramped: false,
            spills: false,
        }
    }
}

/// An entry's statistics of a group's databases, collected from their answers.
#[derive(Debug, Clone, Serialize)]
pub struct Router {
    policy: Policy,
    seed: u64,
    turn: u64,
    seen: BTreeMap<DatabaseId, Stats>,
}

impl Default for Router {
    fn default() -> Self {
        Self::with(Policy::full(), 0)
    }
}

/// A replica with the values by which it is chosen.
struct Choice {
    database: DatabaseId,
    cost: u64,
    share: f64,
    rank: Rank,
}

impl Router {
    /// A router with the given policy. Routers with different seeds draw differently.
    pub fn with(policy: Policy, seed: u64) -> Self {
        Self {
            policy,
            seed,
            turn: 0,
            seen: BTreeMap::new(),
        }
    }

    /// The databases to try for a read, best first. The primary, if it is a candidate, comes last,
    /// or first if no replica is suitable or reads spill to it.
    pub fn order(&mut self, now: Time, need: &Need, candidates: &[Candidate]) -> Vec<DatabaseId> {
        self.turn += 1;
        if !self.policy.informed {
            return self.round_robin(candidates);
        }
        self.update_shares(now, candidates);
        let primary = candidates.iter().find(|candidate| candidate.primary);
        let mut choices: Vec<Choice> = candidates
            .iter()
            .filter(|candidate| !candidate.primary)
            .map(|candidate| self.evaluate(now, need, candidate))
            .collect();
        choices.sort_by_key(|choice| (choice.rank, choice.cost));
        let best = choices.first().map_or(Rank::Failing, |choice| choice.rank);
        let fit = match best {
            Rank::Fit | Rank::Outdated => choices.iter().filter(|c| c.rank == best).count(),
            Rank::Behind | Rank::Failing => 0,
        };
        self.pick_first(&mut choices[..fit]);
        let spills = fit == 0 || self.spills(now, primary, &choices[0]);
        let mut order: Vec<DatabaseId> =
            choices.into_iter().map(|choice| choice.database).collect();
        if let Some(primary) = primary {
            let place = if spills { 0 } else { order.len() };
            order.insert(place, primary.database.clone());
        }
        order
    }

    /// Records that a read was sent to `database`.
    pub fn sent(&mut self, now: Time, database: &DatabaseId) {
        self.entry(now, database).sent(now);
    }

    /// Records that `database` answered after `took`, with `hint` in its answer.
    pub fn answered(&mut self, now: Time, database: &DatabaseId, took: Span, hint: &Hint) {
        self.entry(now, database).answered(now, took, hint);
    }

    /// Records that `database` could not be reached, or broke off its answer.
    pub fn failed(&mut self, now: Time, database: &DatabaseId) {
        self.entry(now, database).failed(now);
    }

    /// Records that `database` ran a read and failed: some of its answers are errors although it
    /// works otherwise. Its share falls at once and rises again as slowly as a slow database's.
    pub fn returned_error(&mut self, now: Time, database: &DatabaseId) {
        self.entry(now, database).returned_error(now);
    }

    /// Records that the holder of `database` refused a read because the database was not new
    /// enough, or too busy for this caller. That is no sign of bad health; if it counted as a
    /// failure, one greedy caller's refusals would send all callers' reads to the primary.
    pub fn refused(&mut self, now: Time, database: &DatabaseId, hint: &Hint) {
        self.entry(now, database).refused(now, hint);
    }

    /// Drops the statistics of `database` after it was replaced.
    pub fn forget(&mut self, database: &DatabaseId) {
        self.seen.remove(database);
    }

    /// The share of its fair load that `database` gets, between 0 and 1.
    pub fn share(&self, database: &DatabaseId) -> f64 {
        self.seen.get(database).map_or(1.0, |seen| seen.share.get())
    }

    fn entry(&mut self, now: Time, database: &DatabaseId) -> &mut Stats {
        self.seen
            .entry(database.clone())
            .or_insert_with(|| Stats::new(now))
    }

    fn round_robin(&self, candidates: &[Candidate]) -> Vec<DatabaseId> {
        let (primary, mut replicas): (Vec<_>, Vec<_>) =
            candidates.iter().partition(|candidate| candidate.primary);
        if !replicas.is_empty() {
            let turn = self.turn as usize % replicas.len();
            replicas.rotate_left(turn);
        }
        replicas
            .iter()
            .chain(primary.iter())
            .map(|candidate| candidate.database.clone())
            .collect()
    }

    fn evaluate(&self, now: Time, need: &Need, candidate: &Candidate) -> Choice {
        let database = candidate.database.clone();
        let Some(seen) = self.seen.get(&database) else {
            return Choice {
                database,
                cost: if candidate.near {
                    INITIAL_TIME.0
                } else {
                    INITIAL_REMOTE_TIME.0
                },
                share: 1.0,
                rank: Rank::Fit,
            };
        };
        Choice {
            database,
            cost: seen.cost(now),
            share: seen.share.get(),
            rank: seen.rank(now, need),
        }
    }

    /// Moves each replica's share towards the ratio of the fastest replica's time to its own.
    fn update_shares(&mut self, now: Time, candidates: &[Candidate]) {
        let replicas = candidates.iter().filter(|candidate| !candidate.primary);
        let times: Vec<(&DatabaseId, u64)> = replicas
            .filter_map(|candidate| {
                let seen = self.seen.get(&candidate.database)?;
                Some((&candidate.database, seen.time(now).max(1)))
            })
            .collect();
        let Some(best) = times.iter().map(|(_, time)| *time).min() else {
            return;
        };
        let ramped = self.policy.ramped;
        for (database, time) in times {
            let Some(seen) = self.seen.get_mut(database) else {
                continue;
            };
            let target = best as f64 / time as f64;
            if ramped {
                seen.share.move_to(now, target);
            } else {
                seen.share = Share::full(now);
            }
        }
    }

    /// Draws two replicas by share and puts the first in front, or the second if it is clearly
    /// better; the others stay in order.
    fn pick_first(&self, fit: &mut [Choice]) {
        if fit.len() < 2 {
            return;
        }
        let total: f64 = fit.iter().map(|choice| choice.share).sum();
        let first = draw(fit, self.random(1) * total);
        let second = draw(fit, self.random(2) * total);
        let better = fit[second].cost < fit[first].cost * CLEARLY_BETTER_PERCENT / 100;
        let index = if better { second } else { first };
        fit[..=index].rotate_right(1);
    }

    /// A pseudorandom number from 0 to 1, the same for the same seed and turn.
    fn random(&self, salt: u64) -> f64 {
        let hash = xxh3_64_with_seed(&self.turn.to_le_bytes(), self.seed ^ (salt << 32));
        hash as f64 / u64::MAX as f64
    }

    fn spills(&self, now: Time, primary: Option<&Candidate>, first: &Choice) -> bool {
        if !self.policy.spills {
            return false;
        }
        let wait = |database: &DatabaseId| self.seen.get(database).map(|seen| seen.wait(now));
        let replicas = wait(&first.database).unwrap_or(Span::ZERO);
        let spare = primary.and_then(|primary| wait(&primary.database));
        let spare = spare.unwrap_or(Span::ZERO);
        replicas > MIN_SPILL_WAIT && spare < replicas.percent(MAX_PRIMARY_WAIT_PERCENT)
    }
}

/// The index of the choice at `point` when the shares are laid end to end.
fn draw(choices: &[Choice], mut point: f64) -> usize {
    for (index, choice) in choices.iter().enumerate() {
        point -= choice.share;
        if point <= 0.0 {
            return index;
        }
    }
    choices.len() - 1
}
