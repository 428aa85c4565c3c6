//! When all VMs are asked to send a heartbeat at once.
//!
//! **Pattern answered.** The steward has news for all: a group's first primary, a replaced one,
//! itself. At a first start that is so for each group in turn, some ten milliseconds apart.
//! **Without it** 68 groups and 99 VMs are 6,700 nudges and as many heartbeats within a second, of
//! which a steward with an eighth of a core can answer a part in time. A VM that is not answered
//! reads the store for itself and connects anew, which is more work for the steward than an answer.
//! **Thresholds.** The first nudge goes out at once, as a replaced primary is waited for. Those
//! that follow within [`APART`] go out as one at its end: half of what a heartbeat waits anyway.

use crate::clock::{Span, Time};

/// How far apart nudges are.
const APART: Span = Span::from_millis(250);

/// How far apart they are for each VM: 400 nudges and heartbeats a second are
/// a quarter of what an eighth of a core answers.
const EACH: Span = Span(2_500);

/// The nudges of a steward.
#[derive(Debug, Default)]
pub struct Nudge {
    last: Option<Time>,
}

impl Nudge {
    /// There is news at `now` for so many VMs: when to nudge all, unless a nudge that is still to come tells it.
    pub fn ask(&mut self, now: Time, vms: usize) -> Option<Time> {
        let apart = APART.max(Span(EACH.0 * vms as u64));
        let at = self.last.map_or(now, |last| now.max(last + apart));
        if self.last.is_some_and(|last| last > now) {
            return None;
        }
        self.last = Some(at);
        Some(at)
    }
}
