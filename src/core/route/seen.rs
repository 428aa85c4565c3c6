//! An entry's statistics of one database, and whether it can serve a read by them.

use crate::clock::{Span, Time};
use crate::core::message::Hint;
use crate::core::ramp::Share;
use crate::types::Position;
use serde::Serialize;

/// The minimum read time rises by this fraction of itself with each answer, so that it follows a
/// network path that has become longer within a hundred reads.
const RISE_DIVISOR: u64 = 64;

/// The assumed time of a database before its first answer, towards which a measured time decays.
pub(super) const INITIAL_TIME: Span = Span::from_millis(5);

/// A replica that was sent reads and has answered nothing for this long is skipped: long before the
/// stream to it is known to be broken, and well over a read's time on a slow database.
const SILENCE_TIMEOUT: Span = Span::from_millis(250);

/// The half-life of a measured time that is not confirmed: a replica that was slow and gets no more
/// reads is tried again within a few half-lives.
const TIME_HALF_LIFE: Span = Span::from_secs(2);

/// Maximum age at which a hint is used for the queue, the age or the position: four probe rounds. A
/// replica that was behind is tried again after that; with few reads its speed is never measured,
/// and it would be skipped until the next change of primary.
const MAX_HINT_AGE: Span = Span::from_millis(1_000);

/// Time that a replica gets to reach a read's floor beyond its estimated position. The holder waits
/// for a replica that is nearly there, so a close estimate is worth trying.
const CATCH_UP_TIME: Span = Span::from_millis(50);

/// Consecutive failures after which a replica is ranked after all others.
const MAX_FAILURES: u32 = 3;

/// How long a replica that failed that often, or stopped answering, is excluded before one read
/// tries it again: several times as long as a lost connection takes to be detected and reopened.
const EXCLUSION_TIME: Span = Span::from_millis(500);

/// Factor on a replica's share after an error: for two seconds the share is below what a replica
/// near by needs to go first.
const ERROR_SHARE_FACTOR: f64 = 0.25;

/// The requirements of a read on its database.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Need {
    /// The log position that must be applied.
    pub floor: Option<Position>,
    /// The age that must not be exceeded.
    pub max_age: Option<Span>,
}

/// The statistics of one database.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Stats {
    /// The recent minimum time from sending a read to its answer, in microseconds: an estimate of
    /// the network round trip.
    least: u64,
    /// Reads sent since the last hint, which does not include them.
    unseen: u64,
    /// When the first of those was sent.
    unseen_since: Time,
    failures: u32,
    left_out_until: Time,
    pub share: Share,
    hint: Hint,
    hint_at: Time,
    /// Log entries applied per microsecond.
    speed: f64,
}

/// How suitable a replica is, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    Fit,
    /// It was behind by its last hint, which is too old to count.
    Outdated,
    Behind,
    Failing,
}

impl Stats {
    pub fn new(now: Time) -> Self {
        Self {
            least: INITIAL_TIME.0,
            unseen: 0,
            unseen_since: now,
            failures: 0,
            left_out_until: Time::default(),
            share: Share::full(now),
            hint: Hint::default(),
            hint_at: Time::default(),
            speed: 0.0,
        }
    }

    pub fn sent(&mut self, now: Time) {
        if self.unseen == 0 || now.since(self.unseen_since) > SILENCE_TIMEOUT + EXCLUSION_TIME {
            self.unseen_since = now;
        }
        self.unseen += 1;
    }

    pub fn answered(&mut self, now: Time, took: Span, hint: &Hint) {
        self.failures = 0;
        self.least = took.0.min(self.least + self.least / RISE_DIVISOR + 1);
        self.record_hint(now, hint);
    }

    pub fn failed(&mut self, now: Time) {
        self.unseen = 0;
        self.failures = self.failures.saturating_add(1);
        if self.failures >= MAX_FAILURES {
            self.left_out_until = now + EXCLUSION_TIME;
            self.share = Share::returned(now);
        }
    }

    pub fn returned_error(&mut self, now: Time) {
        self.unseen = 0;
        self.share.scale(now, ERROR_SHARE_FACTOR);
    }

    pub fn refused(&mut self, now: Time, hint: &Hint) {
        self.failures = 0;
        self.record_hint(now, hint);
    }

    fn record_hint(&mut self, now: Time, hint: &Hint) {
        let passed = now.since(self.hint_at).0;
        let moved = hint
            .position
            .offset
            .0
            .saturating_sub(self.hint.position.offset.0);
        if self.hint_at > Time::default() && passed > 0 && passed < MAX_HINT_AGE.0 {
            let weight = passed as f64 / MAX_HINT_AGE.0 as f64;
            let speed = moved as f64 / passed as f64;
            self.speed += (speed - self.speed) * weight;
        }
        self.hint = hint.clone();
        self.hint_at = now;
        self.unseen = 0;
    }

    /// The time of a read without waiting, which decays towards [`INITIAL_TIME`] while no hint
    /// arrives.
    pub fn time(&self, now: Time) -> u64 {
        let halvings = now.since(self.hint_at).0 / TIME_HALF_LIFE.0;
        let known = self.least + self.hint.run.0;
        let over = known.saturating_sub(INITIAL_TIME.0);
        known - over + over.checked_shr(halvings as u32).unwrap_or(0)
    }

    /// How long newly queued work would wait, by the last hint.
    pub fn wait(&self, now: Time) -> Span {
        if now.since(self.hint_at) > MAX_HINT_AGE {
            return Span::ZERO;
        }
        self.hint.wait
    }

    /// The expected time of one more read.
    pub fn cost(&self, now: Time) -> u64 {
        self.time(now) + self.hint.run.0 * self.unseen + self.wait(now).0
    }

    pub fn rank(&self, now: Time, need: &Need) -> Rank {
        let failing = self.failures >= MAX_FAILURES && now < self.left_out_until;
        let unanswered = now.since(self.unseen_since);
        let silent = self.unseen > 0
            && unanswered > SILENCE_TIMEOUT
            && unanswered <= SILENCE_TIMEOUT + EXCLUSION_TIME;
        if failing || silent {
            return Rank::Failing;
        }
        if !self.is_behind(now, need) {
            return Rank::Fit;
        }
        match now.since(self.hint_at) > MAX_HINT_AGE {
            true => Rank::Outdated,
            false => Rank::Behind,
        }
    }

    fn is_behind(&self, now: Time, need: &Need) -> bool {
        if self.hint_at == Time::default() {
            return false;
        }
        let fresh = now.since(self.hint_at) <= MAX_HINT_AGE;
        let too_old = match (need.max_age, self.hint.age) {
            (Some(max), Some(age)) => fresh && age > max,
            (Some(_), None) => fresh,
            (None, _) => false,
        };
        too_old || need.floor.is_some_and(|floor| self.lacks(now, floor))
    }

    /// Whether the database is expected not to reach `floor` within [`CATCH_UP_TIME`].
    fn lacks(&self, now: Time, floor: Position) -> bool {
        let seen = self.hint.position;
        if seen >= floor || seen.term != floor.term {
            return false;
        }
        let ahead = now.since(self.hint_at).0 + CATCH_UP_TIME.0;
        let reached = seen.offset.0 as f64 + self.speed * ahead as f64;
        reached < floor.offset.0 as f64
    }
}
