//! What an entry has seen of one database, and what that says about a read.

use crate::clock::{Span, Time};
use crate::core::message::Hint;
use crate::core::ramp::Share;
use crate::types::Position;
use serde::Serialize;

/// The least time of a read rises by this part of itself with each answer, so that it follows a path
/// that has become longer within a hundred reads.
const RISE_PART: u64 = 64;

/// A database's time before its first answer, and what it is forgotten towards.
pub(super) const UNKNOWN: Span = Span::from_millis(5);

/// A replica that was sent reads and has answered nothing for this long is passed over: long before
/// the stream to it is known to be broken, and well over a read's time on a slow database.
const SILENT: Span = Span::from_millis(250);

/// A time that was not confirmed for this long counts half: a replica that was slow and is
/// no longer asked is asked again within a few such spans.
const FORGET: Span = Span::from_secs(2);

/// A hint older than this says nothing of the queue, the age or the position: four probe rounds. A
/// replica that was behind is asked again then; with few reads its speed is never learned, and it
/// would be passed over until the next change of primary.
const HINT_LIFE: Span = Span::from_millis(1_000);

/// How much longer than the position alone tells a read's floor is taken to need. The
/// holder waits for a replica that is nearly there, so a tight guess is worth trying.
const CATCH_UP: Span = Span::from_millis(50);

/// Failures in a row after which a replica comes after all others.
const MOST_FAILURES: u32 = 3;

/// How long a replica that failed so often, or is silent, is left out before one read tries it again: as long as
/// a lost connection takes to be noticed and opened again, several times over.
const LEFT_OUT: Span = Span::from_millis(500);

/// What remains of a replica's share after an error: below what a copy near by needs to go first,
/// for two seconds.
const ERRED_SHARE: f64 = 0.25;

/// What a read needs of its database.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Need {
    /// The log position that has to be applied.
    pub floor: Option<Position>,
    /// The age that must not be exceeded.
    pub max_age: Option<Span>,
}

/// What is known of one database.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Seen {
    /// The least time of a read of late, in microseconds: the way there and back.
    least: u64,
    /// Reads sent since the last hint, which does not count them in.
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

/// How well a replica fits; the better one first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    Fit,
    /// It was behind when last heard of, which is too long ago to tell anything.
    Unheard,
    Behind,
    Failing,
}

impl Seen {
    pub fn new(now: Time) -> Self {
        Self {
            least: UNKNOWN.0,
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
        if self.unseen == 0 || now.since(self.unseen_since) > SILENT + LEFT_OUT {
            self.unseen_since = now;
        }
        self.unseen += 1;
    }

    pub fn answered(&mut self, now: Time, took: Span, hint: &Hint) {
        self.failures = 0;
        self.least = took.0.min(self.least + self.least / RISE_PART + 1);
        self.learn(now, hint);
    }

    pub fn failed(&mut self, now: Time) {
        self.unseen = 0;
        self.failures = self.failures.saturating_add(1);
        if self.failures >= MOST_FAILURES {
            self.left_out_until = now + LEFT_OUT;
            self.share = Share::returned(now);
        }
    }

    pub fn erred(&mut self, now: Time) {
        self.unseen = 0;
        self.share.cut(now, ERRED_SHARE);
    }

    pub fn refused(&mut self, now: Time, hint: &Hint) {
        self.failures = 0;
        self.learn(now, hint);
    }

    fn learn(&mut self, now: Time, hint: &Hint) {
        let passed = now.since(self.hint_at).0;
        let moved = hint
            .position
            .offset
            .0
            .saturating_sub(self.hint.position.offset.0);
        if self.hint_at > Time::default() && passed > 0 && passed < HINT_LIFE.0 {
            let weight = passed as f64 / HINT_LIFE.0 as f64;
            let speed = moved as f64 / passed as f64;
            self.speed += (speed - self.speed) * weight;
        }
        self.hint = hint.clone();
        self.hint_at = now;
        self.unseen = 0;
    }

    /// What a read takes there without waiting, forgotten towards [`UNKNOWN`] while nothing is heard.
    pub fn time(&self, now: Time) -> u64 {
        let halvings = now.since(self.hint_at).0 / FORGET.0;
        let known = self.least + self.hint.run.0;
        let over = known.saturating_sub(UNKNOWN.0);
        known - over + over.checked_shr(halvings as u32).unwrap_or(0)
    }

    /// How long newly queued work would wait, as last heard.
    pub fn wait(&self, now: Time) -> Span {
        if now.since(self.hint_at) > HINT_LIFE {
            return Span::ZERO;
        }
        self.hint.wait
    }

    /// The expected time of one more read.
    pub fn cost(&self, now: Time) -> u64 {
        self.time(now) + self.hint.run.0 * self.unseen + self.wait(now).0
    }

    pub fn rank(&self, now: Time, need: &Need) -> Rank {
        let failing = self.failures >= MOST_FAILURES && now < self.left_out_until;
        let quiet = now.since(self.unseen_since);
        let silent = self.unseen > 0 && quiet > SILENT && quiet <= SILENT + LEFT_OUT;
        if failing || silent {
            return Rank::Failing;
        }
        if !self.is_behind(now, need) {
            return Rank::Fit;
        }
        match now.since(self.hint_at) > HINT_LIFE {
            true => Rank::Unheard,
            false => Rank::Behind,
        }
    }

    fn is_behind(&self, now: Time, need: &Need) -> bool {
        if self.hint_at == Time::default() {
            return false;
        }
        let fresh = now.since(self.hint_at) <= HINT_LIFE;
        let too_old = match (need.max_age, self.hint.age) {
            (Some(most), Some(age)) => fresh && age > most,
            (Some(_), None) => fresh,
            (None, _) => false,
        };
        too_old || need.floor.is_some_and(|floor| self.misses(now, floor))
    }

    /// Whether the database is expected not to have `floor` within [`CATCH_UP`].
    fn misses(&self, now: Time, floor: Position) -> bool {
        let seen = self.hint.position;
        if seen >= floor || seen.term != floor.term {
            return false;
        }
        let ahead = now.since(self.hint_at).0 + CATCH_UP.0;
        let reached = seen.offset.0 as f64 + self.speed * ahead as f64;
        reached < floor.offset.0 as f64
    }
}
