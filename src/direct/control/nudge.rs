//! When all VMs are asked to send a heartbeat at once.
//!
//! **Pattern answered.** The steward has news for all: a group's first primary, a replaced one,
//! itself. At a first start that is so for each group in turn, some ten milliseconds apart.
//! **Without it** 68 groups and 99 VMs are 6,700 nudges and as many heartbeats within a second. A
//! steward of an eighth of a core is busy with these for seconds, answers no heartbeat in time, and
//! all VMs read the store for themselves and open new connections to it, which keeps it busy.
//! **Thresholds.** The first nudge goes out at once, as a replaced primary is waited for. Those
//! that follow within [`APART`] go out as one at its end: half of what a heartbeat waits anyway.

use crate::clock::{Span, Time};

/// How far apart nudges are.
const APART: Span = Span::from_millis(250);

/// The nudges of a steward.
#[derive(Debug, Default)]
pub struct Nudge {
    last: Option<Time>,
}

impl Nudge {
    /// There is news at `now`: when to nudge all, unless a nudge that is still to come tells it.
    pub fn ask(&mut self, now: Time) -> Option<Time> {
        let at = self.last.map_or(now, |last| now.max(last + APART));
        if self.last.is_some_and(|last| last > now) {
            return None;
        }
        self.last = Some(at);
        Some(at)
    }
}
