//! How many statements may be in flight at one database.
//!
//! **Pattern answered.** A database that serves fewer statements at once than its settings say:
//! for a moment two holders share it (the list of VMs lags), or something else uses it up.
//! **Without it** each of two holders sends as many statements as there are slots. Half of them
//! wait inside the database, first come first served, where neither the order of classes nor
//! the fair shares of callers reach them, and every statement takes twice as long.
//!
//! The limit compares the typical time of late with the best typical time of the last while, as
//! delay-based congestion control does. Time that rises at a full gate means that work waits
//! inside the database. The limit never rises above the slots: what is not run waits better here.

use crate::clock::{Span, Time};
use serde::Serialize;

/// Weight of a new sample in the typical time. Logarithms of exponential times scatter by 1.28, so
/// the typical time scatters by 6%: the best of many windows is about 20% below the mean, and
/// [`CROWDED`] is seven such deviations off. With 1/64 the limit fell without cause once in a few
/// seconds. A busy database has 256 samples in half a second.
const SAMPLE_WEIGHT: f64 = 1.0 / 256.0;

/// As many samples as [`SAMPLE_WEIGHT`] averages over. Until then the typical time is the plain
/// mean: one very short first statement would pass for the best time, and the limit would fall.
const FULL_MEMORY: u32 = 256;

/// Samples between two changes of the limit, so that a change shows before the next is made.
const STEP_SAMPLES: u32 = 128;

/// The limit falls when the typical time is this many times the best one: two holders at full
/// load double it, and the scatter of a steady database stays below 1.5.
const CROWDED: f64 = 1.8;

/// The limit rises again below this multiple. The space between the two keeps it from swinging.
const CALM: f64 = 1.4;

/// What is left of the limit when it falls: one step for 2 or 3 slots.
const CUT: f64 = 0.67;

/// Added to the limit when it rises: two calm steps for one more statement.
const RAISE: f64 = 0.5;

/// How long a best time counts. A database that has become slow for good has its full
/// limit back after two such windows; a holder's stay beside another is shorter than one.
const WINDOW: Span = Span::from_secs(10);

/// The limit of one database, between half of its slots (at least 1) and all of them.
#[derive(Debug, Clone, Serialize)]
pub struct Limit {
    slots: u32,
    allowed: f64,
    samples: u32,
    seen: u32,
    typical: f64,
    best: f64,
    former: f64,
    window_ends: Time,
}

impl Limit {
    /// Starts at all of `slots`.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            allowed: f64::from(slots),
            samples: 0,
            seen: 0,
            typical: 0.0,
            best: f64::INFINITY,
            former: f64::INFINITY,
            window_ends: Time::default(),
        }
    }

    /// The configuration changed the number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots;
        self.allowed = f64::from(slots);
    }

    /// How many statements may be in flight now.
    pub fn get(&self) -> usize {
        self.allowed.round() as usize
    }

    /// A statement took `took`; `full` tells whether as many were in flight as the limit allows.
    pub fn record(&mut self, now: Time, took: Span, full: bool) {
        // The mean of logarithms: a few statements that run a hundred times longer than the rest
        // don't move it the way that a crowded database does.
        let sample = (took.0.max(1) as f64).ln();
        self.seen = (self.seen + 1).min(FULL_MEMORY);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.seen));
        self.typical += (sample - self.typical) * weight;
        self.samples += 1;
        if self.samples < STEP_SAMPLES || self.seen < FULL_MEMORY {
            return;
        }
        self.samples = 0;
        self.turn_window(now);
        self.step(full);
    }

    fn turn_window(&mut self, now: Time) {
        if now >= self.window_ends {
            self.former = self.best;
            self.best = self.typical;
            self.window_ends = now + WINDOW;
        }
        self.best = self.best.min(self.typical);
    }

    fn step(&mut self, full: bool) {
        let ratio = (self.typical - self.best.min(self.former)).exp();
        if ratio > CROWDED && full {
            self.allowed = (self.allowed * CUT).max(self.least());
        } else if ratio < CALM {
            self.allowed = (self.allowed + RAISE).min(f64::from(self.slots));
        }
    }

    fn least(&self) -> f64 {
        f64::from(self.slots.div_ceil(2).min(self.slots))
    }
}
