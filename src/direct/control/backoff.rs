//! Delays between retries of failed store calls.

use crate::clock::Span;
use std::time::Duration;

const MIN_DELAY: Span = Span::from_millis(100);
const MAX_DELAY: Span = Span::from_millis(800);

/// A delay that doubles from 100 ms to 800 ms, each time up to a quarter longer or shorter at
/// random, so that VMs which lost the store at the same moment do not retry at the same moment.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    next: Span,
    max: Span,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::up_to(MAX_DELAY)
    }
}

impl Backoff {
    /// Makes delays that double up to `last`.
    pub fn up_to(max: Span) -> Self {
        Self {
            next: MIN_DELAY,
            max,
        }
    }

    /// Resets the delay after an answered call.
    pub fn reset(&mut self) {
        self.next = MIN_DELAY;
    }

    /// Returns the next delay; `chance` is a random number from 0 to below 1.
    pub fn step(&mut self, chance: f64) -> Span {
        let wait = self.next;
        self.next = self.max.min(wait.percent(200));
        wait.percent(75 + (chance * 50.0) as u64)
    }

    /// Sleeps for the next delay; `chance` is a random number from 0 to below 1.
    pub async fn wait(&mut self, chance: f64) {
        let wait = self.step(chance);
        tokio::time::sleep(Duration::from(wait)).await;
    }
}
