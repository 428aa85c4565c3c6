//! When this VM takes the duty of promotions.
//!
//! **Failure answered.** A steward that is replaced is frozen, cut off or slow, and orders a
//! promotion after its successor did.
//! **Symptom without it.** Two databases are made primary in turn, and the platform sees a fencing
//! token that is lower than one before.
//! **Why it suffices.** A steward renews its row before each order and orders within
//! [`ORDER_WITHIN`] of when it asked for that. A row that has had one version since it was read
//! allows no order from [`ORDER_WITHIN`] after that reading on; the take-over is written under the
//! condition that the version is still that one. A steward that has ended, or that handed over,
//! sends nothing, so nothing is waited for.

use crate::clock::{Span, Time};
use crate::direct::table::Version;

/// How long after a renewal was asked an order may be sent, and arrive.
pub const ORDER_WITHIN: Span = Span::from_millis(1_500);

/// For clocks that run unlike, and for what an order needs to arrive.
const MARGIN: Span = Span::from_millis(300);

/// How long the duty's row has to be unchanged before no order can be under way.
pub const ORDERS_END: Span = Span(ORDER_WITHIN.0 + MARGIN.0);

/// A steward that has not answered for this long, to several calls, is replaced.
pub const SILENT: Span = Span::from_secs(1);

/// Calls in a row without an answer before silence counts: a VM that was itself paused has been
/// told nothing for long, and has to ask once before it blames the steward.
const CALLS: u32 = 2;

/// How long each VM waits for the one before it in rank: what a write in the store takes, and
/// the nudge after it. Only the first [`IN_TURN`] wait for each other; see [`turn`].
const TURN: Span = Span::from_millis(150);
const IN_TURN: u64 = 4;

/// How far apart those of a higher rank try: a third of what a write takes, so that two or three of
/// them may be on their way at once, and how many such places there are.
const STEP: Span = Span::from_millis(5);
const STEPS: u64 = 80;

/// The steward as this VM hears it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hearing {
    /// When it last answered, or when this VM began to call it.
    pub since: Time,
    /// Calls without an answer since then.
    pub missed: u32,
    /// Since when it is known to have ended, or to have handed over.
    pub ended: Option<Time>,
}

impl Hearing {
    /// A steward that has not been called yet.
    pub fn new(now: Time) -> Self {
        Self {
            since: now,
            missed: 0,
            ended: None,
        }
    }

    /// It answered a call asked at `asked`.
    pub fn answered(&mut self, asked: Time) {
        self.since = self.since.max(asked);
        self.missed = 0;
    }

    /// It is known since `now` that it has ended.
    pub fn end(&mut self, now: Time) {
        self.ended.get_or_insert(now);
    }

    /// Whether it counts as silent.
    pub fn is_silent(&self, now: Time) -> bool {
        self.ended.is_some() || (self.missed >= CALLS && now >= self.since + SILENT)
    }
}

/// Since when the duty's row has had the version that it has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Watch {
    version: Version,
    since: Option<Time>,
}

impl Watch {
    /// A reading that was there at `answered` showed this version, or that there is no row that counts.
    pub fn note(&mut self, version: Version, answered: Time) {
        if self.since.is_none() || self.version != version {
            *self = Self {
                version,
                since: Some(answered),
            };
        }
    }

    /// The version noted, under whose condition the duty is taken.
    pub fn version(&self) -> Version {
        self.version
    }

    /// From when the duty may be taken by the VM of this rank (0 is first), under the condition
    /// that the row still has the version noted. None: not for now.
    pub fn takes_at(&self, hearing: Option<&Hearing>, rank: usize, now: Time) -> Option<Time> {
        let turn = turn(rank as u64);
        let since = self.since?;
        if self.version.is_none() {
            return Some(since + turn);
        }
        let hearing = hearing?;
        if let Some(ended) = hearing.ended {
            return Some(since.max(ended) + turn);
        }
        let silent = hearing.is_silent(now);
        silent.then(|| (since + ORDERS_END).max(hearing.since + SILENT) + turn)
    }
}

/// How long the VM of a rank leaves the duty to those before it.
///
/// **Failure answered.** Half of 63 VMs end with the steward, or a whole region is cut off: those
/// that are first in rank are not there. **Symptom without it.** The first one that is there waits
/// 150 ms for each of them, up to 9 s, and nobody replaces a primary meanwhile. **Why it suffices.**
/// From the fifth on all try within 0.4 s, so the duty is taken within a second by whoever is
/// there. Those that try together lose a write each: only one of them meets the row's version.
fn turn(rank: u64) -> Span {
    if rank < IN_TURN {
        return Span(TURN.0 * rank);
    }
    Span(TURN.0 * IN_TURN + STEP.0 * ((rank - IN_TURN) % STEPS))
}
