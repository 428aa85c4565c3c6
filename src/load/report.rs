//! The results of a run, as text and JSON.

use super::Plan;
use super::readback::Findings;
use super::stats::{Kind, Stats, Tally};
use crate::clock::Span;
use crate::types::GroupId;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// The results of a run.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Report {
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Operations done per second.
    pub throughput: f64,
    /// The counts by kind of operation.
    pub kinds: BTreeMap<Kind, Line>,
    /// The share of reads served by replicas, as counted by the proxies; absent without admin
    /// addresses.
    pub replica_share: Option<f64>,
    /// The longest time without an acknowledged write, per group.
    pub longest_gap: BTreeMap<GroupId, Span>,
    /// Acknowledged writes that were missing at the end.
    pub lost: u64,
    /// Writes that were applied more than once.
    pub doubled: u64,
    /// Session reads that missed their own write, and aged reads that were too old.
    pub stale: u64,
    /// Writes that were answered "not run" but are present.
    pub not_run_but_there: u64,
    /// Entries that no caller wrote.
    pub foreign: u64,
    /// Rows that could not be read back.
    pub unread: u64,
}

/// The counts and latencies of one kind of operation.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct Line {
    /// Operations that were answered.
    pub done: u64,
    /// Operations answered "not run".
    pub not_run: u64,
    /// Operations answered "outcome unknown", or without an answer.
    pub unknown: u64,
    /// Operations answered with the loss of an earlier write.
    pub declared_lost: u64,
    /// Operations that failed in the database.
    pub failed: u64,
    /// The median latency of answered operations.
    pub p50: Span,
    /// The 99th percentile of the latency of answered operations.
    pub p99: Span,
    /// The 99.9th percentile of the latency of answered operations, 999 of 1,000.
    pub p999: Span,
}

impl Report {
    /// Whether all answers to callers agree with the data.
    pub fn is_clean(&self) -> bool {
        let faults = [
            self.lost,
            self.doubled,
            self.stale,
            self.not_run_but_there,
            self.foreign,
            self.unread,
        ];
        faults.iter().all(|count| *count == 0)
    }
}

pub(super) fn build(plan: &Plan, stats: &Stats, share: Option<f64>, findings: Findings) -> Report {
    let done: u64 = stats.kinds.values().map(|tally| tally.done).sum();
    let seconds = stats.elapsed.as_secs_f64();
    log::debug!(callers = plan.callers; "load is over");
    Report {
        seconds,
        throughput: done as f64 / seconds.max(f64::MIN_POSITIVE),
        kinds: stats
            .kinds
            .iter()
            .map(|(kind, tally)| (*kind, line(tally)))
            .collect(),
        replica_share: share,
        longest_gap: stats.gaps.clone(),
        lost: findings.fault.missing,
        doubled: findings.fault.doubled.max(stats.read_faults.doubled),
        stale: stats.stale + stats.too_old,
        not_run_but_there: findings
            .fault
            .not_run_but_there
            .max(stats.read_faults.not_run_but_there),
        foreign: findings.fault.foreign.max(stats.read_faults.foreign),
        unread: findings.unread,
    }
}

fn line(tally: &Tally) -> Line {
    let quantile = |quantile| {
        let latency = tally.latency.as_ref();
        Span(latency.map_or(0, |latency| latency.value_at_quantile(quantile)))
    };
    Line {
        done: tally.done,
        not_run: tally.not_run,
        unknown: tally.unknown,
        declared_lost: tally.declared_lost,
        failed: tally.failed,
        p50: quantile(0.5),
        p99: quantile(0.99),
        p999: quantile(0.999),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:.1} s, {:.0} operations done a second",
            self.seconds, self.throughput
        )?;
        writeln!(
            f,
            "{:<13} {:>8} {:>8} {:>8} {:>8} {:>10} {:>10} {:>10}",
            "", "done", "not run", "unknown", "failed", "p50", "p99", "p99.9"
        )?;
        for (kind, line) in &self.kinds {
            let name = match kind {
                Kind::Write => "writes",
                Kind::SessionRead => "session reads",
                Kind::AgedRead => "aged reads",
            };
            writeln!(
                f,
                "{name:<13} {:>8} {:>8} {:>8} {:>8} {:>8.1}ms {:>8.1}ms {:>8.1}ms",
                line.done,
                line.not_run + line.declared_lost,
                line.unknown,
                line.failed,
                millis(line.p50),
                millis(line.p99),
                millis(line.p999),
            )?;
        }
        match self.replica_share {
            Some(share) => writeln!(f, "reads by replicas: {:.1} %", share * 100.0)?,
            None => writeln!(f, "reads by replicas: not known without --admin")?,
        }
        for (group, gap) in &self.longest_gap {
            writeln!(
                f,
                "longest time without a write in {group}: {:.0} ms",
                millis(*gap)
            )?;
        }
        write!(
            f,
            "lost {}, doubled {}, stale {}, not run but there {}, foreign {}, rows not read back {}",
            self.lost, self.doubled, self.stale, self.not_run_but_there, self.foreign, self.unread
        )
    }
}

fn millis(span: Span) -> f64 {
    const MICROS_PER_MILLI: f64 = 1_000.0;
    span.0 as f64 / MICROS_PER_MILLI
}
