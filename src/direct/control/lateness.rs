//! How late this VM does what is due, as far as it can tell.
//!
//! **Failure answered.** A steward has more to do than its processor can, and reads heartbeats seconds after
//! they came. **Symptom without it.** It takes their VMs for silent and evicts dozens at once; each has to
//! register anew, which changes the list of VMs that all are told, so that the steward is later still.
//! **Why it suffices.** What is late by its own fault shows in its timers: they wait for the same turn as
//! the heartbeats do. A VM is silent for longer, by some times that, before it is asked why, and may take
//! as much longer to answer.

use crate::clock::{Span, Time};
use std::cell::Cell;

/// What is left of a lateness with each look at it, in percent: one that was long is remembered for
/// some looks, as heartbeats that it held up are still to come.
const KEPT_PERCENT: u64 = 80;

/// How much longer a VM may be silent for each span that this one is late.
const TIMES: u64 = 4;

/// How late this VM is.
#[derive(Debug, Default)]
pub struct Lateness(Cell<Span>);

impl Lateness {
    /// Something that was due at `due` is done at `now`.
    pub fn note(&self, due: Time, now: Time) {
        let before = self.0.get().percent(KEPT_PERCENT);
        self.0.set(now.since(due).max(before));
    }

    /// How much longer than usual to wait for another VM.
    pub fn margin(&self) -> Span {
        Span(self.0.get().0.saturating_mul(TIMES))
    }
}
