//! Limits how often the steward pings all VMs, that is, asks them to send a heartbeat at once.
//!
//! The steward does so when it has an update for all: a group's first primary, a replaced one, or
//! itself as the new steward. At a first start this happens for each group in turn, some ten
//! milliseconds apart. Without the limit, 68 groups and 99 VMs make 6,700 pings and as many
//! heartbeats within a second, of which a steward with an eighth of a core can answer only a part
//! in time. A VM that gets no answer reads the store itself and connects anew, which is more work
//! for the steward than an answer. The first ping is sent at once, because VMs wait for a replaced
//! primary. Those that follow within [`MIN_INTERVAL`] are merged into one at its end, which is half
//! the interval between heartbeats.

use crate::clock::{Span, Time};

/// The minimum interval between pings of all VMs.
const MIN_INTERVAL: Span = Span::from_millis(250);

/// The minimum interval for each VM to be pinged: 400 pings and heartbeats a second are a quarter
/// of what an eighth of a core answers.
const INTERVAL_PER_VM: Span = Span(2_500);

/// Limits the rate of a steward's pings.
#[derive(Debug, Default)]
pub struct Throttle {
    last: Option<Time>,
}

impl Throttle {
    /// Requests a ping of `vms` VMs at `now`. Returns when to send it, or none if a scheduled ping
    /// will cover it.
    pub fn request(&mut self, now: Time, vms: usize) -> Option<Time> {
        let interval = MIN_INTERVAL.max(Span(INTERVAL_PER_VM.0 * vms as u64));
        let at = self.last.map_or(now, |last| now.max(last + interval));
        if self.last.is_some_and(|last| last > now) {
            return None;
        }
        self.last = Some(at);
        Some(at)
    }
}
