//! How many lines a second are let through.
//!
//! **Load pattern.** Overload, or a lost dependency: each request of thousands a second fails for
//! one reason, and each has a line.
//! **Without it.** The lines take the processor time that the requests lack, and what matters is
//! lost among them, or dropped from a full queue together with them.
//! **Thresholds.** Each target has its own allowance, so that a storm of refusals leaves the lines
//! on changes of belief alone. Every line up to the rate is let through.

use crate::clock::{Span, Time};
use std::collections::BTreeMap;

/// The allowance starts anew each second.
const WINDOW: Span = Span::from_secs(1);

/// What becomes of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is written.
    Admit,
    /// It is written after a line that says how many of its target were dropped.
    AdmitAfter(u64),
    /// It is dropped and counted.
    Drop,
}

#[derive(Debug, Clone, Copy)]
struct Used {
    end: Time,
    lines: u32,
    dropped: u64,
}

/// Lines let through, by target.
#[derive(Debug, Clone)]
pub struct Budget {
    rate: u32,
    used: BTreeMap<Box<str>, Used>,
}

impl Budget {
    /// Lets `rate` lines a second through, of each target.
    pub fn new(rate: u32) -> Self {
        Self {
            rate,
            used: BTreeMap::new(),
        }
    }

    /// Decides on a line of `target`. Targets are modules, so their number is bounded.
    pub fn admit(&mut self, target: &str, now: Time) -> Verdict {
        let Some(used) = self.used.get_mut(target) else {
            let used = Used {
                end: now + WINDOW,
                lines: 1,
                dropped: 0,
            };
            self.used.insert(target.into(), used);
            return Verdict::Admit;
        };
        if now >= used.end {
            (used.end, used.lines) = (now + WINDOW, 0);
        }
        if used.lines >= self.rate {
            used.dropped += 1;
            return Verdict::Drop;
        }
        used.lines += 1;
        match std::mem::take(&mut used.dropped) {
            0 => Verdict::Admit,
            dropped => Verdict::AdmitAfter(dropped),
        }
    }
}
