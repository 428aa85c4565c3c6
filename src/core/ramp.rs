//! How fast load moves away from a database and back to it.
//!
//! This handles a database that turns slow and later fast again, and a failure domain that is lost
//! and returns with cold caches while every entry has work waiting for it. Without it all entries
//! see the same slow answers and move everything to the other replica at once, which then becomes
//! the slow one, and back again. After a return the whole load reaches a cold database at the same
//! time; it answers slowly and is abandoned again.
//!
//! A [`Share`] is the part of its fair load that an entry sends to a database. It falls fast, since
//! each statement sent to a slow database makes a caller wait, and rises slowly, since a late
//! return costs only a little capacity.

use crate::clock::{Span, Time};
use serde::Serialize;

/// Time in which a share falls from all to nothing: longer than a few round trips and answers, so
/// that one late answer changes it by a few per cent only; shorter than a caller's timeout.
const FALL_TIME: Span = Span::from_millis(500);

/// Time in which a share rises from nothing to all: a returned database fills its caches within
/// seconds, and eight entries that shift together don't overtake its answers.
const RISE_TIME: Span = Span::from_secs(8);

/// The minimum share. At hundreds of reads a second it still is a few probes a second, enough to
/// detect that a database has recovered, and at most one caller in fifty reaches it while it is
/// slow.
const MIN_SHARE: f64 = 0.02;

/// The share of a database that has just returned: enough to fill caches, too little for its
/// slowness to affect the p95 of callers.
const RETURN_SHARE: f64 = 0.05;

/// The part of its fair load that a database gets, between `MIN_SHARE` and 1.
#[derive(Debug, Clone, Serialize)]
pub struct Share {
    value: f64,
    at: Time,
}

impl Share {
    /// The full share, for a database without known problems.
    pub fn full(now: Time) -> Self {
        Self {
            value: 1.0,
            at: now,
        }
    }

    /// The share of a database that has just returned.
    pub fn returned(now: Time) -> Self {
        Self {
            value: RETURN_SHARE,
            at: now,
        }
    }

    /// The share now.
    pub fn get(&self) -> f64 {
        self.value
    }

    /// Multiplies the share by `part`, down to `MIN_SHARE`.
    pub fn scale(&mut self, now: Time, part: f64) {
        self.value = (self.value * part).max(MIN_SHARE);
        self.at = now.max(self.at);
    }

    /// Moves towards `target`, as far as the time since the last change allows.
    pub fn move_to(&mut self, now: Time, target: f64) {
        let target = target.clamp(MIN_SHARE, 1.0);
        let passed = now.since(self.at).0 as f64;
        self.at = now.max(self.at);
        self.value = if target < self.value {
            (self.value - passed / FALL_TIME.0 as f64).max(target)
        } else {
            (self.value + passed / RISE_TIME.0 as f64).min(target)
        };
    }
}
