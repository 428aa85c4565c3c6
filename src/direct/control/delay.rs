//! The scheduling delay of this VM: how late it does what is due.
//!
//! A steward with more work than its processor can do reads heartbeats seconds after they arrived.
//! It would treat their VMs as silent and evict dozens at once; each has to register again, which
//! changes the list of VMs that is sent to all, so that the steward's delay grows. A delay of its
//! own shows in its timers, which wait in the same queue as the heartbeats. Each VM may therefore
//! be silent for longer, by a multiple of the delay, before it is pinged, and may take as much
//! longer to answer.

use crate::clock::{Span, Time};
use std::cell::Cell;

/// The percentage of a delay that is kept at each measurement: a long delay stays effective for
/// some measurements, because heartbeats that it held up are still to come.
const KEPT_PERCENT: u64 = 80;

/// The factor from this VM's delay to the additional time that another VM may be silent.
const MARGIN_FACTOR: u64 = 4;

/// This VM's scheduling delay, which decays over later measurements.
#[derive(Debug, Default)]
pub struct Delay(Cell<Span>);

impl Delay {
    /// Records that something due at `due` is done at `now`.
    pub fn record(&self, due: Time, now: Time) {
        let before = self.0.get().percent(KEPT_PERCENT);
        self.0.set(now.since(due).max(before));
    }

    /// How much longer than usual to wait for another VM.
    pub fn margin(&self) -> Span {
        Span(self.0.get().0.saturating_mul(MARGIN_FACTOR))
    }
}
