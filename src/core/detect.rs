//! When a leader counts as lost, and how soon a group may change its primary again.

use crate::clock::{Span, Time};
use serde::Serialize;

/// Watches one thing that should be heard from: a primary by its steward, or a steward by the
/// holders of its group's databases.
#[derive(Debug, Clone, Serialize)]
pub struct Detector {
    heard: Time,
    suspicion: Span,
}

impl Detector {
    /// Counts silence from `now` on and suspects after `suspicion`.
    pub fn new(now: Time, suspicion: Span) -> Self {
        Self {
            heard: now,
            suspicion,
        }
    }

    /// A sign of life that was asked for at `sent`.
    pub fn heard(&mut self, sent: Time) {
        self.heard = self.heard.max(sent);
    }

    /// When silence becomes suspicious.
    pub fn suspects_at(&self) -> Time {
        self.heard + self.suspicion
    }

    /// Whether it is suspicious now.
    pub fn suspects(&self, now: Time) -> bool {
        now >= self.suspects_at()
    }
}

/// Keeps promotions of a group apart.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Damper {
    again: Time,
}

impl Damper {
    /// The group changed its primary at `now`; another change has to wait `damping`.
    pub fn promoted(&mut self, now: Time, damping: Span) {
        self.again = self.again.max(now + damping);
    }

    /// When the next change may start.
    pub fn allows_at(&self) -> Time {
        self.again
    }
}
