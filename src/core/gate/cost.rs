//! How long statements of each class take at one database.

use crate::clock::Span;
use crate::core::request::Class;
use serde::Serialize;

/// Taken for a class before its first statement ended: what an index read and a commit take
/// within a failure domain, on the safe side.
const UNKNOWN: Span = Span::from_millis(5);

/// Taken for long work before the first of it ended. Too low a guess lets in more than can be
/// served only until then.
const UNKNOWN_LONG: Span = Span::from_millis(200);

/// Inverse weight of a new time in the mean: some tens of statements, a fraction of a second of a
/// busy slot, so that a database that slows down is known as slow within its queue's length.
const MEMORY: u64 = 32;

/// Times are kept with this many parts of a microsecond, so that small changes add up.
const PARTS: u64 = 256;

/// The mean time of statements by class.
#[derive(Debug, Clone, Serialize)]
pub struct Costs {
    parts: [u64; CLASSES],
    short: u64,
}

/// How many classes there are.
pub const CLASSES: usize = 4;

/// The classes, most urgent first.
pub const BY_URGENCY: [Class; CLASSES] = [Class::Confirm, Class::Session, Class::Aged, Class::Long];

impl Default for Costs {
    fn default() -> Self {
        let parts = BY_URGENCY.map(|class| match class {
            Class::Long => UNKNOWN_LONG.0 * PARTS,
            _ => UNKNOWN.0 * PARTS,
        });
        Self {
            parts,
            short: UNKNOWN.0 * PARTS,
        }
    }
}

impl Costs {
    /// The mean time of `class`.
    pub fn mean(&self, class: Class) -> Span {
        Span(self.parts[class as usize] / PARTS)
    }

    /// The mean time of all classes but long work.
    pub fn short(&self) -> Span {
        Span(self.short / PARTS)
    }

    /// A statement of `class` took `took`.
    pub fn record(&mut self, class: Class, took: Span) {
        follow(&mut self.parts[class as usize], took);
        if class != Class::Long {
            follow(&mut self.short, took);
        }
    }
}

fn follow(mean: &mut u64, took: Span) {
    let sample = took.0.saturating_mul(PARTS);
    *mean = *mean - *mean / MEMORY + sample / MEMORY;
}
