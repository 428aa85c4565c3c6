//! How fast load moves away from a database and back to it.
//!
//! **Pattern answered.** A database turns slow, and later fast again; a failure domain is lost
//! and comes back with cold caches while every entry has its work waiting.
//! **Without it** all entries see the same slow answers and move everything to the other replica
//! at once, which then is the slow one, and back again. After a return the whole load meets
//! a cold database in the same instant; it answers slowly and is left again.
//!
//! A [`Share`] is the part of its fair load that an entry gives a database. It falls fast, since
//! each statement sent to a slow database is a caller that waits, and rises slowly, since nothing
//! is lost by a late return but a little capacity.

use crate::clock::{Span, Time};
use serde::Serialize;

/// A share falls from all to nothing in this time: longer than a few round trips and answers, so
/// that one late answer moves a few per cent only; shorter than a caller's patience.
const FALL: Span = Span::from_millis(500);

/// A share rises from nothing to all in this time: caches of a returned database fill within
/// seconds, and eight entries that shift together don't overtake its answers.
const RISE: Span = Span::from_secs(8);

/// The least share. At hundreds of reads a second this still is a few probes a second, enough to
/// see that a database has recovered, and one caller in fifty at the most who meets it slow.
const LEAST: f64 = 0.02;

/// The share of a database that has just come back: enough to fill caches, too little for
/// its slowness to reach the p95 of callers.
const RETURN: f64 = 0.05;

/// The part of its fair load that a database gets, between `LEAST` and 1.
#[derive(Debug, Clone, Serialize)]
pub struct Share {
    value: f64,
    at: Time,
}

impl Share {
    /// All of it, for a database of which nothing bad is known.
    pub fn full(now: Time) -> Self {
        Self {
            value: 1.0,
            at: now,
        }
    }

    /// What a database gets that has just come back.
    pub fn returned(now: Time) -> Self {
        Self {
            value: RETURN,
            at: now,
        }
    }

    /// The share now.
    pub fn get(&self) -> f64 {
        self.value
    }

    /// Falls to `part` of what it was, at once.
    pub fn cut(&mut self, now: Time, part: f64) {
        self.value = (self.value * part).max(LEAST);
        self.at = now.max(self.at);
    }

    /// Moves towards `target`, as far as the time since the last move allows.
    pub fn move_to(&mut self, now: Time, target: f64) {
        let target = target.clamp(LEAST, 1.0);
        let passed = now.since(self.at).0 as f64;
        self.at = now.max(self.at);
        self.value = if target < self.value {
            (self.value - passed / FALL.0 as f64).max(target)
        } else {
            (self.value + passed / RISE.0 as f64).min(target)
        };
    }
}
