//! A rate limit for log lines.
//!
//! Under overload, or when a dependency is lost, thousands of requests a second may fail for one
//! reason, each with a line. Without a limit, these lines take processor time that the requests need,
//! and important lines are lost among them or dropped with them from a full queue. Each log target
//! has its own limit, so that a flood of refusals does not affect the lines on changes of state. All
//! lines up to the rate are written.

use crate::clock::{Span, Time};
use std::collections::BTreeMap;

/// The interval in which the lines of a target are counted.
const WINDOW: Span = Span::from_secs(1);

/// What to do with a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is written.
    Admit,
    /// It is written after a line with the number of dropped lines of its target.
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

/// The lines admitted in the current window, by log target.
#[derive(Debug, Clone)]
pub struct Budget {
    rate: u32,
    used: BTreeMap<Box<str>, Used>,
}

impl Budget {
    /// Admits `rate` lines a second of each target.
    pub fn new(rate: u32) -> Self {
        Self {
            rate,
            used: BTreeMap::new(),
        }
    }

    /// Decides on a line of `target`. Targets are modules, so there is a bounded number of them.
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
