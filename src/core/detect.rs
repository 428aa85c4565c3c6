//! When a leader counts as lost, and how soon a group may change its primary again.
//!
//! **Pattern answered.** A primary or a path that is slow or comes and goes, beside one that is
//! really lost.
//! **Without it** a primary that answers a second late is replaced by a replica that is no better
//! under the same load, and that one is replaced in turn; each change costs callers a gap, and
//! every open transaction is rolled back.
//!
//! The suspicion span comes from the configuration (`timing.suspicion`, 800 ms: four probes of
//! 200 ms, so that three may be lost in a row). It is counted from when the answered probe was
//! **sent**, so that a slow answer proves no more than it should.

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

/// Watches whether the log of a primary that answers still reaches its replicas.
///
/// **Pattern answered.** A primary that is cut off from its replicas, but neither from its steward
/// nor from callers.
/// **Without it** the primary is never silent, so it is never replaced, and no write is
/// acknowledged for as long as the cut lasts. A replica that is far behind but receives the log
/// is no such case: any progress starts the watch anew, so that load alone replaces nobody.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Stall {
    /// The sum of the replicas' log ends when the watch began.
    progress: u64,
    /// When writes that wait without progress become suspicious.
    suspicious: Option<Time>,
}

impl Stall {
    /// Looks at the replicas now: whether writes wait for them, and the sum of their log ends.
    /// Returns whether they have waited for `suspicion` while no log moved.
    pub fn look(&mut self, now: Time, waiting: bool, progress: u64, suspicion: Span) -> bool {
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

/// Changes of primary that are within the damping span once, without doubling it. A rack switch
/// may take a primary and its successor; a third change in a row is flapping.
const FREE_CHANGES: u32 = 2;

/// The damping span is doubled this often at most: to 40 s with the default of 10 s.
const MOST_DOUBLINGS: u32 = 2;

/// A group that was calm for this many damping spans starts afresh.
const CALM_SPANS: u64 = 6;

/// Keeps promotions of a group apart, the more so the more of them there were lately.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Damper {
    again: Time,
    calm_at: Time,
    changes: u32,
}

impl Damper {
    /// The group changed its primary at `now`; another change has to wait `damping`, or a
    /// multiple of it if the group keeps changing.
    pub fn promoted(&mut self, now: Time, damping: Span) {
        if now >= self.calm_at {
            self.changes = 0;
        }
        self.changes += 1;
        let doublings = self
            .changes
            .saturating_sub(FREE_CHANGES)
            .min(MOST_DOUBLINGS);
        let wait = Span(damping.0.saturating_mul(1 << doublings));
        self.again = self.again.max(now + wait);
        self.calm_at = now + Span(damping.0.saturating_mul(CALM_SPANS));
    }

    /// When the next change may start.
    pub fn allows_at(&self) -> Time {
        self.again
    }
}
