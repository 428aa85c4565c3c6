//! Which database of a group serves a read.
//!
//! **Pattern answered.** A replica that is slow, busy or far behind beside one that is not, and
//! sessions that read what they have just written.
//! **Without it** round robin gives a slow replica as many reads as a fast one, and half of all
//! callers wait; stickiness by time sends every read of a session that wrote lately to the primary,
//! although the replicas have had the write for long, and takes slots from the writes.
//!
//! Two replicas are drawn by their shares (see [`crate::core::ramp`]), and the one
//! with less expected time is taken: two choices keep entries that all see the same figures from
//! running to the same replica, and are nearly as good as the best of all. What a read needs is
//! judged by what the replica was last seen to have, and by the speed at which it moved; the
//! holder has the last word, so a wrong guess costs a retry and never a stale read. The primary
//! comes last, unless no replica will do or the replicas' queues are long.

mod seen;

use crate::clock::{Span, Time};
use crate::core::message::Hint;
use crate::core::ramp::Share;
use crate::types::DatabaseId;
pub use seen::Need;
use seen::{Rank, Seen, UNKNOWN};
use serde::Serialize;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Replicas' queues longer than this may spill reads to the primary: above the scatter of
/// a queue that empties, so that in ordinary load the primary keeps its slots for writes.
const SPILL_WAIT: Span = Span::from_millis(25);

/// The primary takes spilled reads only while its own queue is this part of the replicas'.
const SPILL_PERCENT: u64 = 25;

/// A far replica's time before it was measured: a round trip between regions.
const FAR: Span = Span::from_millis(20);

/// The second draw is taken only if its time is below this part of the first one's. All entries
/// see the same small differences; if these counted, one of two equal replicas would get three
/// quarters of the reads.
const CLEARLY_PERCENT: u64 = 75;

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

/// How a router chooses; [`Policy::naive`] is the baseline of measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Policy {
    /// Whether replicas are chosen by what is known of them; else they take turns.
    pub informed: bool,
    /// Whether a database's share moves slowly; else the better one gets all at once.
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

/// What an entry has learned of a group's databases from their answers.
#[derive(Debug, Clone, Serialize)]
pub struct Router {
    policy: Policy,
    seed: u64,
    turn: u64,
    seen: BTreeMap<DatabaseId, Seen>,
}

impl Default for Router {
    fn default() -> Self {
        Self::with(Policy::full(), 0)
    }
}

/// A replica with what decides about it.
struct Choice {
    database: DatabaseId,
    cost: u64,
    share: f64,
    rank: Rank,
}

impl Router {
    /// A router of a stated policy. Entries with different seeds draw differently.
    pub fn with(policy: Policy, seed: u64) -> Self {
        Self {
            policy,
            seed,
            turn: 0,
            seen: BTreeMap::new(),
        }
    }

    /// The databases to try for a read, best first; the primary is among them if it is a
    /// candidate, as the last resort or where no replica will do.
    pub fn order(&mut self, now: Time, need: &Need, candidates: &[Candidate]) -> Vec<DatabaseId> {
        self.turn += 1;
        if !self.policy.informed {
            return self.take_turns(candidates);
        }
        self.move_shares(now, candidates);
        let primary = candidates.iter().find(|candidate| candidate.primary);
        let mut choices: Vec<Choice> = candidates
            .iter()
            .filter(|candidate| !candidate.primary)
            .map(|candidate| self.choice(now, need, candidate))
            .collect();
        choices.sort_by_key(|choice| (choice.rank, choice.cost));
        let best = choices.first().map_or(Rank::Failing, |choice| choice.rank);
        let fit = match best {
            Rank::Fit | Rank::Unheard => choices.iter().filter(|c| c.rank == best).count(),
            Rank::Behind | Rank::Failing => 0,
        };
        self.draw_first(&mut choices[..fit]);
        let spills = fit == 0 || self.spills(now, primary, &choices[0]);
        let mut order: Vec<DatabaseId> =
            choices.into_iter().map(|choice| choice.database).collect();
        if let Some(primary) = primary {
            let place = if spills { 0 } else { order.len() };
            order.insert(place, primary.database.clone());
        }
        order
    }

    /// A read was sent to `database`.
    pub fn sent(&mut self, now: Time, database: &DatabaseId) {
        self.entry(now, database).sent(now);
    }

    /// `database` answered after `took`, and told `hint` in passing.
    pub fn answered(&mut self, now: Time, database: &DatabaseId, took: Span, hint: &Hint) {
        self.entry(now, database).answered(now, took, hint);
    }

    /// `database` could not be reached, or broke off.
    pub fn failed(&mut self, now: Time, database: &DatabaseId) {
        self.entry(now, database).failed(now);
    }

    /// `database` ran a read and failed: some of its answers are errors though it is well otherwise.
    /// It is left at once and returned to as slowly as a slow one.
    pub fn erred(&mut self, now: Time, database: &DatabaseId) {
        self.entry(now, database).erred(now);
    }

    /// The holder of `database` refused a read: it was not new enough, or too busy for this
    /// caller. That says nothing about its health; counted as a failure, one greedy caller's
    /// refusals would send everyone's reads to the primary.
    pub fn refused(&mut self, now: Time, database: &DatabaseId, hint: &Hint) {
        self.entry(now, database).refused(now, hint);
    }

    /// `database` is not the one any more that was learned of.
    pub fn forget(&mut self, database: &DatabaseId) {
        self.seen.remove(database);
    }

    /// The share of its fair load that `database` gets, between 0 and 1.
    pub fn share(&self, database: &DatabaseId) -> f64 {
        self.seen.get(database).map_or(1.0, |seen| seen.share.get())
    }

    fn entry(&mut self, now: Time, database: &DatabaseId) -> &mut Seen {
        self.seen
            .entry(database.clone())
            .or_insert_with(|| Seen::new(now))
    }

    fn take_turns(&self, candidates: &[Candidate]) -> Vec<DatabaseId> {
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

    fn choice(&self, now: Time, need: &Need, candidate: &Candidate) -> Choice {
        let database = candidate.database.clone();
        let Some(seen) = self.seen.get(&database) else {
            return Choice {
                database,
                cost: if candidate.near { UNKNOWN.0 } else { FAR.0 },
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

    /// Moves each replica's share towards how it compares with the fastest.
    fn move_shares(&mut self, now: Time, candidates: &[Candidate]) {
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

    /// Puts the first of two that were drawn by share in front, or the second if it is clearly
    /// better; the others stay in order.
    fn draw_first(&self, fit: &mut [Choice]) {
        if fit.len() < 2 {
            return;
        }
        let total: f64 = fit.iter().map(|choice| choice.share).sum();
        let first = draw(fit, self.random(1) * total);
        let second = draw(fit, self.random(2) * total);
        let better = fit[second].cost < fit[first].cost * CLEARLY_PERCENT / 100;
        let index = if better { second } else { first };
        fit[..=index].rotate_right(1);
    }

    /// A number from 0 to 1, the same for the same seed and turn.
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
        replicas > SPILL_WAIT && spare < replicas.percent(SPILL_PERCENT)
    }
}

/// The index of the choice at `point` of the shares laid end to end.
fn draw(choices: &[Choice], mut point: f64) -> usize {
    for (index, choice) in choices.iter().enumerate() {
        point -= choice.share;
        if point <= 0.0 {
            return index;
        }
    }
    choices.len() - 1
}
