//! Counts and latencies of a run.

use super::client::Outcome;
use super::record::Fault;
use crate::clock::Span;
use crate::types::GroupId;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// A kind of operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A write.
    Write,
    /// A read that must see the session's own writes.
    SessionRead,
    /// A read with a maximum age.
    AgedRead,
}

/// Outcomes of one kind of operation.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) done: u64,
    pub(super) not_run: u64,
    pub(super) unknown: u64,
    pub(super) failed: u64,
    pub(super) declared_lost: u64,
    /// Latencies of operations done, in microseconds.
    pub(super) latency: Option<Histogram<u64>>,
}

/// All counts of a run.
#[derive(Debug)]
pub(super) struct Stats {
    start: Instant,
    pub(super) elapsed: Duration,
    pub(super) kinds: BTreeMap<Kind, Tally>,
    /// Session reads that missed their own write.
    pub(super) stale: u64,
    /// Aged reads that missed an own write older than the maximum age.
    pub(super) too_old: u64,
    /// Faults found by reads during the run, apart from missing writes.
    pub(super) read_faults: Fault,
    acknowledged: BTreeMap<GroupId, Instant>,
    /// The longest time without an acknowledged write, per group.
    pub(super) gaps: BTreeMap<GroupId, Span>,
}

/// The highest latency in the histograms, in microseconds: ten minutes.
const MAX_LATENCY_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

impl Stats {
    pub(super) fn new(start: Instant) -> Self {
        Self {
            start,
            elapsed: Duration::ZERO,
            kinds: BTreeMap::new(),
            stale: 0,
            too_old: 0,
            read_faults: Fault::default(),
            acknowledged: BTreeMap::new(),
            gaps: BTreeMap::new(),
        }
    }

    /// When the run began.
    pub(super) fn start(&self) -> Instant {
        self.start
    }

    /// Counts one operation.
    pub(super) fn count(&mut self, kind: Kind, outcome: Outcome, latency: Duration) {
        let tally = self.kinds.entry(kind).or_default();
        match outcome {
            Outcome::Done => {
                tally.done += 1;
                let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                if tally.latency.is_none() {
                    tally.latency =
                        Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS).ok();
                }
                if let Some(histogram) = &mut tally.latency {
                    histogram.saturating_record(micros);
                }
            }
            Outcome::NotRun(_) => tally.not_run += 1,
            Outcome::Unknown => tally.unknown += 1,
            Outcome::Failed => tally.failed += 1,
            Outcome::DeclaredLost => tally.declared_lost += 1,
        }
    }

    /// Records that a write of `group` was acknowledged.
    pub(super) fn acknowledged(&mut self, group: &GroupId, at: Instant) {
        let last = self.acknowledged.insert(group.clone(), at);
        self.gap(group, at.duration_since(last.unwrap_or(self.start)));
    }

    /// Ends the run. The time since the last acknowledged write counts as a gap, too.
    pub(super) fn end(&mut self, at: Instant, groups: &[GroupId]) {
        self.elapsed = at.duration_since(self.start);
        if !self.kinds.contains_key(&Kind::Write) {
            return;
        }
        for group in groups {
            let last = self.acknowledged.get(group).copied().unwrap_or(self.start);
            self.gap(group, at.duration_since(last));
        }
    }

    fn gap(&mut self, group: &GroupId, gap: Duration) {
        let longest = self.gaps.entry(group.clone()).or_default();
        *longest = (*longest).max(gap.into());
    }

    /// One line of text about the run so far.
    pub(super) fn line(&self) -> String {
        let sum = |of: fn(&Tally) -> u64| self.kinds.values().map(of).sum::<u64>();
        format!(
            "{:>4}s  done {}, not run {}, unknown {}, failed {}, stale {}",
            self.start.elapsed().as_secs(),
            sum(|tally| tally.done),
            sum(|tally| tally.not_run),
            sum(|tally| tally.unknown),
            sum(|tally| tally.failed),
            self.stale + self.too_old,
        )
    }
}
