//! The results of a run, as a table or JSON.

use crate::core::request::Class;
use crate::experiment::Trial;
use crate::experiment::pattern::seconds;
use crate::experiment::stats::{Count, Stats};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt;

/// Figures of one kind of request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The class.
    pub class: Class,
    /// The common prefix of the callers' names.
    pub callers: Box<str>,
    /// Requests sent per second.
    pub offered: f64,
    /// Requests answered in time, per second.
    pub goodput: f64,
    /// Median from sending to answer, in milliseconds.
    pub answer_p50: f64,
    /// 99th percentile from sending to answer, in milliseconds.
    pub answer_p99: f64,
    /// Median of the same without the statement's own time, in milliseconds.
    pub wait_p50: f64,
    /// 99th percentile of the same without the statement's own time, in milliseconds.
    pub wait_p99: f64,
    /// Share answered "not run", in percent.
    pub not_run: f64,
    /// 99th percentile of the time until the answer "not run", in milliseconds.
    pub refusal_p99: f64,
    /// Share answered after the caller's timeout, in percent.
    pub late: f64,
    /// Share whose outcome is unknown, in percent.
    pub unknown: f64,
    /// Share of the answered requests that replicas served, in percent.
    pub replica: f64,
    /// Number of answers that lacked the session's own write.
    pub stale: u64,
}

/// Figures of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The parameters of the run.
    pub trial: Box<str>,
    /// By kind of request.
    pub rows: Vec<Row>,
    /// Requests of all kinds answered in time, per second.
    pub goodput: f64,
    /// Jain's index over callers of the requests served against their max-min fair share.
    pub fairness: f64,
}

const MICROS_PER_MILLI: f64 = 1e3;

impl Report {
    /// Summarises a trial's counts.
    pub fn new(trial: &Trial, stats: &Stats) -> Self {
        let length = seconds(trial.length);
        let rows: Vec<Row> = stats
            .kinds
            .iter()
            .map(|(kind, count)| Row {
                class: kind.class,
                callers: kind.prefix.into(),
                offered: count.offered() as f64 / length,
                goodput: count.done as f64 / length,
                answer_p50: quantile(&count.answer, 0.5),
                answer_p99: quantile(&count.answer, 0.99),
                wait_p50: quantile(&count.wait, 0.5),
                wait_p99: quantile(&count.wait, 0.99),
                not_run: percent(count.not_run, count),
                refusal_p99: quantile(&count.refusal, 0.99),
                late: percent(count.late, count),
                unknown: percent(count.unknown, count),
                replica: 100.0 * count.replica as f64 / count.done.max(1) as f64,
                stale: count.stale,
            })
            .collect();
        Self {
            trial: trial.to_string().into(),
            goodput: rows.iter().map(|row| row.goodput).sum(),
            fairness: stats.fairness(),
            rows,
        }
    }

    /// The row of a class for the ordinary callers.
    pub fn row(&self, class: Class) -> Option<&Row> {
        self.rows
            .iter()
            .find(|row| row.class == class && &*row.callers == "caller")
    }
}

/// The value at a quantile of a histogram of microseconds, in milliseconds.
pub fn quantile(histogram: &Histogram<u64>, at: f64) -> f64 {
    histogram.value_at_quantile(at) as f64 / MICROS_PER_MILLI
}

fn percent(part: u64, count: &Count) -> f64 {
    100.0 * part as f64 / count.offered().max(1) as f64
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: goodput {:.0}/s, fairness {:.3}",
            self.trial, self.goodput, self.fairness
        )?;
        writeln!(
            f,
            "  {:<15} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>7} {:>8} {:>6} {:>6} {:>7} {:>6}",
            "class",
            "offered",
            "goodput",
            "p50 ms",
            "p99 ms",
            "wait50",
            "wait99",
            "notrun%",
            "told99",
            "late%",
            "unkn%",
            "replic%",
            "stale"
        )?;
        for row in &self.rows {
            let class = format!("{:?} {}", row.class, row.callers).to_lowercase();
            writeln!(
                f,
                "  {:<15} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>7.2} {:>8.1} {:>6.2} {:>6.2} {:>7.1} {:>6}",
                class,
                row.offered,
                row.goodput,
                row.answer_p50,
                row.answer_p99,
                row.wait_p50,
                row.wait_p99,
                row.not_run,
                row.refusal_p99,
                row.late,
                row.unknown,
                row.replica,
                row.stale
            )?;
        }
        Ok(())
    }
}
