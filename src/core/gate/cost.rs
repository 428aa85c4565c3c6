//! Mean run times of statements by class at one database.

use crate::admission::fair::{self, RANKS};
use crate::clock::Span;
use crate::core::request::Class;
use serde::Serialize;

/// The assumed mean of a class before its first statement ended: a safe estimate for an index read
/// and a commit within a failure domain.
const INITIAL_MEAN: Span = Span::from_millis(5);

/// The assumed mean of long work before its first statement ended. If it is too low, more work is
/// accepted than can be served, but only until then.
const INITIAL_LONG_MEAN: Span = Span::from_millis(200);

/// Inverse weight of a new sample in the mean: a few tens of statements, a fraction of a second of
/// a busy slot, so that a database that slows down is measured as slow within the length of its
/// queue.
const MEAN_DIVISOR: u64 = 32;

/// Fractions of a microsecond in which means are kept, so that small changes add up.
const PARTS_PER_MICROSECOND: u64 = 256;

/// The mean time of statements by class.
#[derive(Debug, Clone, Serialize)]
pub struct Costs {
    parts: [u64; RANKS],
    short: u64,
}

impl fair::Level for Class {
    const ALL: [Class; RANKS] = [Class::Confirm, Class::Session, Class::Aged, Class::Long];

    fn index(self) -> usize {
        self as usize
    }
}

impl fair::Costs<Class> for Costs {
    fn mean(&self, class: Class) -> Span {
        Costs::mean(self, class)
    }
}

impl Default for Costs {
    fn default() -> Self {
        let parts = <Class as fair::Level>::ALL.map(|class| match class {
            Class::Long => INITIAL_LONG_MEAN.0 * PARTS_PER_MICROSECOND,
            _ => INITIAL_MEAN.0 * PARTS_PER_MICROSECOND,
        });
        Self {
            parts,
            short: INITIAL_MEAN.0 * PARTS_PER_MICROSECOND,
        }
    }
}

impl Costs {
    /// The mean time of `class`.
    pub fn mean(&self, class: Class) -> Span {
        Span(self.parts[class as usize] / PARTS_PER_MICROSECOND)
    }

    /// The mean time of all classes but long work.
    pub fn short(&self) -> Span {
        Span(self.short / PARTS_PER_MICROSECOND)
    }

    /// Records that a statement of `class` took `took`.
    pub fn record(&mut self, class: Class, took: Span) {
        update_mean(&mut self.parts[class as usize], took);
        if class != Class::Long {
            update_mean(&mut self.short, took);
        }
    }
}

fn update_mean(mean: &mut u64, took: Span) {
    let sample = took.0.saturating_mul(PARTS_PER_MICROSECOND);
    *mean = *mean - *mean / MEAN_DIVISOR + sample / MEAN_DIVISOR;
}
