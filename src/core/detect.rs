//! Failure detection for leaders, and the minimum time between two changes of primary.
//!
//! A slow or flapping primary or network path must not be treated as a lost one. Otherwise a
//! primary that answers a second late is replaced by a replica that is no faster under the same
//! load and is replaced in turn; each change interrupts callers and rolls back open transactions.
//!
//! The suspicion span comes from the configuration (`timing.suspicion`, 800 ms: four probes of
//! 200 ms, so that three may be lost in a row). It counts from the time at which the answered
//! probe was sent, because a late answer only proves that the peer was alive after that time.

use crate::clock::{Span, Time};
use serde::Serialize;

/// Suspects a peer that has not responded for a while: a primary, watched by its steward, or a
/// steward, watched by the holders of its group's databases.
#[derive(Debug, Clone, Serialize)]
pub struct Detector {
    heard: Time,
    suspicion: Span,
}

impl Detector {
    /// Counts silence from `now` and suspects after `suspicion`.
    pub fn new(now: Time, suspicion: Span) -> Self {
        Self {
            heard: now,
            suspicion,
        }
    }

    /// Records a response to a probe that was sent at `sent`.
    pub fn responded(&mut self, sent: Time) {
        self.heard = self.heard.max(sent);
    }

    /// When the peer becomes suspected if it does not respond before.
    pub fn suspects_at(&self) -> Time {
        self.heard + self.suspicion
    }

    /// Whether the peer is suspected at `now`.
    pub fn suspects(&self, now: Time) -> bool {
        now >= self.suspects_at()
    }
}

/// Detects that the log of a responding primary no longer reaches its replicas.
///
/// A primary that is cut off from its replicas, but not from its steward and callers, keeps
/// responding. Without this check it is never replaced, and no write is acknowledged until the
/// connection returns. Any progress of a log restarts the timeout, so replicas that are only
/// behind under load never cause a replacement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Stall {
    /// The sum of the replicas' log ends when the timeout started.
    progress: u64,
    /// When the timeout ends; `None` while no write waits.
    suspicious: Option<Time>,
}

impl Stall {
    /// Updates the state: whether writes wait for the replicas, and the sum of their log ends.
    /// Returns whether writes have waited for `suspicion` without any progress.
    pub fn update(&mut self, now: Time, waiting: bool, progress: u64, suspicion: Span) -> bool {
        if !waiting {
            self.suspicious = None;
            return false;
        }
        if self.suspicious.is_none() || self.progress != progress {
            self.progress = progress;
            self.suspicious = Some(now + suspicion);
        }
        self.suspicious.is_some_and(|suspicious| suspicious <= now)
    }
}

/// Consecutive changes of primary that do not double the damping span. A failed rack switch may
/// take down a primary and its successor; a third change in a row is flapping.
const MAX_UNDAMPED_CHANGES: u32 = 2;

/// The damping span is doubled at most this often: to 40 s with the default of 10 s.
const MAX_DOUBLINGS: u32 = 2;

/// The count of changes is reset after this many damping spans without one.
const RESET_SPANS: u64 = 6;

/// Enforces a minimum time between promotions of a group, which grows with recent promotions.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Damper {
    again: Time,
    calm_at: Time,
    changes: u32,
}

impl Damper {
    /// Records a change of primary at `now`. The next one must wait for `damping`, or for a
    /// multiple of it if changes keep following each other.
    pub fn promoted(&mut self, now: Time, damping: Span) {
        if now >= self.calm_at {
            self.changes = 0;
        }
        self.changes += 1;
        let doublings = self
            .changes
            .saturating_sub(MAX_UNDAMPED_CHANGES)
            .min(MAX_DOUBLINGS);
        let wait = Span(damping.0.saturating_mul(1 << doublings));
        self.again = self.again.max(now + wait);
        self.calm_at = now + Span(damping.0.saturating_mul(RESET_SPANS));
    }

    /// When the next change may start.
    pub fn allows_at(&self) -> Time {
        self.again
    }
}
