//! How long to wait after a call of the store that brought nothing.

use crate::clock::Span;
use std::time::Duration;

const FIRST: Span = Span::from_millis(100);
const LAST: Span = Span::from_millis(800);

/// Waits that double from 100 ms to 800 ms, each up to a quarter longer or shorter by chance, so
/// that VMs which lost the store at one moment do not come back at one moment.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    next: Span,
    last: Span,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::up_to(LAST)
    }
}

impl Backoff {
    /// Waits that double to `last`.
    pub fn up_to(last: Span) -> Self {
        Self { next: FIRST, last }
    }

    /// A call was answered.
    pub fn reset(&mut self) {
        self.next = FIRST;
    }

    /// How long to wait now; `chance` lies between 0 and 1.
    pub fn step(&mut self, chance: f64) -> Span {
        let wait = self.next;
        self.next = self.last.min(wait.percent(200));
        wait.percent(75 + (chance * 50.0) as u64)
    }

    /// Waits; `chance` lies between 0 and 1.
    pub async fn wait(&mut self, chance: f64) {
        let wait = self.step(chance);
        tokio::time::sleep(Duration::from(wait)).await;
    }
}
