//! Counts of the outcomes for callers.

use crate::clock::{Span, Time};
use crate::experiment::pattern::Kind;
use hdrhistogram::{CreationError, Histogram};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// How one request ended, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Answered in time.
    Done,
    /// Answered after the caller's timeout.
    Late,
    /// Refused or expired before it ran, and answered "not run".
    NotRun,
    /// Lost with a database while it ran, so that its outcome is unknown.
    Unknown,
}

/// A request that ended.
#[derive(Debug, Clone)]
pub struct Ended<'a> {
    /// The kind of request.
    pub kind: Kind,
    /// The caller that sent it.
    pub caller: &'a str,
    /// The outcome.
    pub end: End,
    /// When it was first sent.
    pub sent_at: Time,
    /// When its caller received the answer.
    pub received: Time,
    /// Its execution time on a warm database.
    pub service: Span,
    /// Whether a replica answered.
    pub replica: bool,
    /// Whether the answer lacked the session's own write.
    pub stale: bool,
}

/// Highest time in the histograms, in microseconds; longer ones are recorded as this.
const HIGHEST: u64 = 120_000_000;

/// An empty histogram of times in microseconds.
pub fn histogram() -> Result<Histogram<u64>, CreationError> {
    Histogram::new_with_max(HIGHEST, 3)
}

/// Counts of one kind of request.
#[derive(Debug)]
pub struct Count {
    /// Requests answered in time.
    pub done: u64,
    /// Requests answered after the caller's timeout.
    pub late: u64,
    /// Requests answered "not run".
    pub not_run: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Requests answered in time by a replica.
    pub replica: u64,
    /// Requests answered in time without the session's own writes.
    pub stale: u64,
    /// Time from sending to answer, in microseconds, of those answered in time.
    pub answer: Histogram<u64>,
    /// The same without the statement's own time.
    pub wait: Histogram<u64>,
    /// Time from sending to the answer "not run", in microseconds.
    pub refusal: Histogram<u64>,
}

impl Count {
    fn new() -> Result<Self, CreationError> {
        Ok(Self {
            done: 0,
            late: 0,
            not_run: 0,
            unknown: 0,
            replica: 0,
            stale: 0,
            answer: histogram()?,
            wait: histogram()?,
            refusal: histogram()?,
        })
    }

    /// All requests.
    pub fn offered(&self) -> u64 {
        self.done + self.late + self.not_run + self.unknown
    }
}

/// Counts of one run.
#[derive(Debug, Default)]
pub struct Stats {
    /// By kind of request.
    pub kinds: BTreeMap<Kind, Count>,
    /// By caller: requests sent, and requests answered in time.
    pub callers: BTreeMap<Box<str>, Share>,
}

/// The requests of one caller.
#[derive(Debug, Default, Clone, Copy)]
pub struct Share {
    /// Requests sent.
    pub offered: u64,
    /// Requests answered in time.
    pub done: u64,
}

impl Stats {
    /// Counts one request.
    pub fn record(&mut self, ended: &Ended) {
        if !self.callers.contains_key(ended.caller) {
            self.callers.insert(ended.caller.into(), Share::default());
        }
        if let Some(share) = self.callers.get_mut(ended.caller) {
            share.offered += 1;
            share.done += u64::from(ended.end == End::Done);
        }
        let count = match self.kinds.entry(ended.kind) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => match Count::new() {
                Ok(count) => entry.insert(count),
                Err(_) => return,
            },
        };
        let took = ended.received.since(ended.sent_at);
        match ended.end {
            End::Done => {
                count.done += 1;
                count.replica += u64::from(ended.replica);
                count.stale += u64::from(ended.stale);
                count.answer.saturating_record(took.0);
                let wait = took.0.saturating_sub(ended.service.0);
                count.wait.saturating_record(wait);
            }
            End::Late => count.late += 1,
            End::NotRun => {
                count.not_run += 1;
                count.refusal.saturating_record(took.0);
            }
            End::Unknown => count.unknown += 1,
        }
    }

    /// Jain's index of the requests served against each caller's max-min fair share: 1 if each got
    /// its demand or an equal share, 1/n if one of n got all.
    pub fn fairness(&self) -> f64 {
        let fair = self.fair_share();
        let parts: Vec<f64> = self
            .callers
            .values()
            .filter(|share| share.offered > 0 && fair > 0.0)
            .map(|share| share.done as f64 / fair.min(share.offered as f64))
            .collect();
        let sum: f64 = parts.iter().sum();
        let squares: f64 = parts.iter().map(|part| part * part).sum();
        if squares == 0.0 {
            return 0.0;
        }
        sum * sum / (parts.len() as f64 * squares)
    }

    /// The max-min fair share: the level up to which each caller's demand is met.
    fn fair_share(&self) -> f64 {
        let mut offered: Vec<u64> = self.callers.values().map(|share| share.offered).collect();
        offered.sort_unstable();
        let mut rest: f64 = self.callers.values().map(|share| share.done as f64).sum();
        let mut level = 0.0;
        let count = offered.len();
        for (index, demand) in offered.into_iter().enumerate() {
            let equal = rest / (count - index) as f64;
            if (demand as f64) > equal {
                return equal;
            }
            level = demand as f64;
            rest -= demand as f64;
        }
        level
    }
}
