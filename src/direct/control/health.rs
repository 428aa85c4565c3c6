//! What a VM concludes from how the store has answered: whether it is up, and how long a write may take.

use crate::clock::{Span, Time};

/// Since when the store has answered every call, or failed every call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Health {
    /// The first answer since the last fault.
    pub up: Option<Time>,
    /// The first fault since the last answer.
    pub down: Option<Time>,
    /// When the last answered call was sent.
    pub answered: Option<Time>,
}

impl Health {
    /// Records the result of a call sent at `asked`; returns whether the store's state has changed.
    pub fn record(&mut self, good: bool, asked: Time, now: Time) -> bool {
        if good {
            self.up.get_or_insert(asked);
            self.answered = self.answered.max(Some(asked));
            return self.down.take().is_some();
        }
        self.up = None;
        let first = self.down.is_none();
        self.down.get_or_insert(now);
        first
    }
}

/// The timeout of writes, adapted to how long recent answers took.
///
/// The store at times loses one answer in three for some seconds, or is sixty times as slow as
/// usual: a write takes 16 ms normally and 720 ms then. With a fixed long timeout each lost answer
/// would add 1.5 s to the gap in service while a primary is replaced; with a fixed short one no
/// write to a slow store would ever succeed. The timeout is a multiple of what the last answer
/// took, between [`MIN_WRITE_TIMEOUT`] and [`MAX_WRITE_TIMEOUT`], and doubles once [`MAX_MISSES`]
/// answers in a row were lost, which is rare in a store that loses one in three. A retried write
/// has the same version as its condition, so only one of the two succeeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriteTimeout {
    span: Span,
    missed: u32,
}

const MIN_WRITE_TIMEOUT: Span = Span::from_millis(300);
const MAX_WRITE_TIMEOUT: Span = Span::from_millis(1_500);
const MAX_MISSES: u32 = 4;

/// A write takes this many times as long as a read.
const WRITE_TO_READ: u64 = 3;

impl Default for WriteTimeout {
    fn default() -> Self {
        Self {
            span: MIN_WRITE_TIMEOUT,
            missed: 0,
        }
    }
}

impl WriteTimeout {
    /// Returns the current timeout.
    pub fn span(self) -> Span {
        self.span
    }

    /// Records how long a write took.
    pub fn written(&mut self, took: Span) {
        self.missed = 0;
        self.span = Span(took.0.saturating_mul(4)).clamp(MIN_WRITE_TIMEOUT, MAX_WRITE_TIMEOUT);
    }

    /// Records how long a read took.
    pub fn read(&mut self, took: Span) {
        let write = Span(took.0.saturating_mul(WRITE_TO_READ * 2));
        self.span = self.span.max(write.min(MAX_WRITE_TIMEOUT));
    }

    /// Records that a write's answer was lost or late.
    pub fn missed(&mut self) {
        self.missed += 1;
        if self.missed >= MAX_MISSES {
            self.span = self.span.percent(200).min(MAX_WRITE_TIMEOUT);
        }
    }
}
