//! An adaptive limit on the statements in flight at one database.
//!
//! This handles a database that serves fewer statements at once than its settings state: for a
//! moment two holders share it (the list of VMs lags), or something else uses its capacity. Without
//! the limit each of two holders sends as many statements as there are slots. Half of them wait
//! inside the database, first come, first served, where neither the order of classes nor the fair
//! shares of callers apply, and every statement takes twice as long.
//!
//! The limit compares the typical recent time with the best typical time of the last windows, as
//! delay-based congestion control does. If the time rises while the gate is full, work waits inside
//! the database. The limit never exceeds the slots, since waiting work is better kept in the
//! proxy's queue.

use crate::clock::{Span, Time};
use serde::Serialize;

/// Weight of a new sample in the typical time. Logarithms of exponential times have a deviation of
/// 1.28, so the typical time deviates by 6%: the best of many windows is about 20% below the mean,
/// and [`FALL_RATIO`] is seven such deviations away. With 1/64 the limit fell without cause once in
/// a few seconds. A busy database has 256 samples in half a second.
const SAMPLE_WEIGHT: f64 = 1.0 / 256.0;

/// The number of samples that [`SAMPLE_WEIGHT`] averages over. Up to then the typical time is the
/// plain mean: otherwise one very short first statement would count as the best time, and the limit
/// would fall.
const MIN_SAMPLES: u32 = 256;

/// Samples between two changes of the limit, so that the effect of a change shows before the next
/// one.
const STEP_SAMPLES: u32 = 128;

/// The limit falls when the typical time is more than this many times the best one: two holders at
/// full load double it, and the scatter of a steady database stays below 1.5.
const FALL_RATIO: f64 = 1.8;

/// The limit rises below this multiple of the best time. The distance to [`FALL_RATIO`] keeps it
/// from oscillating.
const RISE_RATIO: f64 = 1.4;

/// Factor by which the limit falls: one statement for 2 or 3 slots.
const FALL_FACTOR: f64 = 0.67;

/// Amount by which the limit rises: two rises add one statement.
const RISE_STEP: f64 = 0.5;

/// How long a best time is valid. A database that has become slow permanently has its full limit
/// back after two windows; two holders share a database for less than one.
const BASELINE_WINDOW: Span = Span::from_secs(10);

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

    /// Records that a statement took `took`; `full` is whether as many were in flight as the limit
    /// allows.
    pub fn record(&mut self, now: Time, took: Span, full: bool) {
        // The mean of logarithms: a few statements that run a hundred times longer than the rest
        // hardly change it, while a crowded database does.
        let sample = (took.0.max(1) as f64).ln();
        self.seen = (self.seen + 1).min(MIN_SAMPLES);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.seen));
        self.typical += (sample - self.typical) * weight;
        self.samples += 1;
        if self.samples < STEP_SAMPLES || self.seen < MIN_SAMPLES {
            return;
        }
        self.samples = 0;
        self.advance_window(now);
        self.step(full);
    }

    fn advance_window(&mut self, now: Time) {
        if now >= self.window_ends {
            self.former = self.best;
            self.best = self.typical;
            self.window_ends = now + BASELINE_WINDOW;
        }
        self.best = self.best.min(self.typical);
    }

    fn step(&mut self, full: bool) {
        let ratio = (self.typical - self.best.min(self.former)).exp();
        if ratio > FALL_RATIO && full {
            self.allowed = (self.allowed * FALL_FACTOR).max(self.lower_bound());
        } else if ratio < RISE_RATIO {
            self.allowed = (self.allowed + RISE_STEP).min(f64::from(self.slots));
        }
    }

    fn lower_bound(&self) -> f64 {
        f64::from(self.slots.div_ceil(2).min(self.slots))
    }
}
