//! The results of a run under overload, as a table or JSON.

use crate::admission::Rank;
use crate::experiment::overload::load::{Load, RANKS};
use crate::experiment::overload::record::{Count, Record, Window};
use crate::experiment::overload::{Policy, Trial};
use crate::experiment::pattern::seconds;
use crate::experiment::report::quantile;
use serde::Serialize;
use std::fmt;

/// Windows with fewer requests are passed over in the search for the worst one: a single request would decide.
const MIN_WINDOW_REQUESTS: u32 = 10;

/// Figures of one group of callers and one rank. Shares are of the requests whose callers did not leave, in
/// percent; times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The callers: those of the organisation that floods, or the usual ones.
    pub callers: Box<str>,
    /// The rank.
    pub rank: Rank,
    /// Requests whose callers did not leave.
    pub requests: u64,
    /// The same per second.
    pub offered: f64,
    /// Share served within the objective.
    pub in_time: f64,
    /// Share answered after the objective.
    pub late: f64,
    /// Share refused on the last try.
    pub refused: f64,
    /// Requests whose callers left, per second.
    pub left: f64,
    /// Median time from sending to the answer without the statement's own time.
    pub wait_p50: f64,
    /// 99th percentile of the same.
    pub wait_p99: f64,
    /// Median time that a refusal took.
    pub refusal_p50: f64,
    /// Median time to retry that a refusal named.
    pub named_p50: f64,
    /// Tries by callers that returned at the time that a refusal named.
    pub returned: u64,
    /// Share of them that was refused again.
    pub refused_again: f64,
    /// Share served within the objective in the worst second.
    pub worst_second: f64,
    /// Refused tries of operations within the allowance, while their databases had free slots.
    pub refused_within: u64,
    /// The longest time in which an organisation's operations were refused in this way and none was served, in
    /// seconds.
    pub longest_refusal: f64,
    /// Share served within the objective, by the second of sending.
    pub by_second: Vec<(u64, f64)>,
}

/// Figures of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The pattern.
    pub pattern: Load,
    /// The decisions.
    pub policy: Policy,
    /// By callers and rank.
    pub rows: Vec<Row>,
    /// Requests served within their objectives, per second.
    pub goodput: f64,
    /// Share of the least urgent rank in them, in percent.
    pub least_urgent: f64,
    /// Jain's index over organisations of the requests served against their max-min fair share.
    pub fairness: f64,
    /// Refused tries of operations within the allowance, while their databases had free slots.
    pub refused_within: u64,
    /// The most operations of an organisation in any five seconds, as a multiple of what its allowance permits.
    pub bound: f64,
    /// Statements run for callers that had left.
    pub in_vain: u64,
}

impl Row {
    fn new(callers: &str, rank: Rank, count: &Count, length: f64) -> Self {
        let stayed = count.stayed();
        let windows = count.windows.values();
        let worst = windows
            .filter(|window| window.offered >= MIN_WINDOW_REQUESTS)
            .map(served_percent)
            .fold(100.0, f64::min);
        let by_second = count.windows.iter();
        Self {
            callers: callers.into(),
            rank,
            requests: stayed,
            offered: stayed as f64 / length,
            in_time: percent(count.in_time, stayed),
            late: percent(count.late, stayed),
            refused: percent(count.refused, stayed),
            left: count.left as f64 / length,
            wait_p50: quantile(&count.wait, 0.5),
            wait_p99: quantile(&count.wait, 0.99),
            refusal_p50: quantile(&count.refusal, 0.5),
            named_p50: quantile(&count.named, 0.5),
            returned: count.returned,
            refused_again: percent(count.refused_again, count.returned),
            worst_second: worst,
            refused_within: count.refused_within,
            longest_refusal: seconds(count.longest_refusal),
            by_second: by_second
                .map(|(second, window)| (*second, served_percent(window)))
                .collect(),
        }
    }
}

impl Report {
    /// Summarises a trial's counts.
    pub fn new(trial: &Trial, record: &Record) -> Self {
        let length = seconds(trial.length);
        let rows = record.rows.iter();
        let rows: Vec<Row> = rows
            .map(|((callers, rank), count)| Row::new(callers, *rank, count, length))
            .collect();
        let in_time = |least: usize| -> u64 {
            let rows = record.rows.iter();
            let counted = rows.filter(|((_, rank), _)| usize::from(rank.0) >= least);
            counted.map(|(_, count)| count.in_time).sum()
        };
        Self {
            pattern: trial.load,
            policy: trial.policy,
            goodput: in_time(0) as f64 / length,
            least_urgent: percent(in_time(RANKS - 1), in_time(0)),
            fairness: record.shares.fairness(),
            refused_within: rows.iter().map(|row| row.refused_within).sum(),
            bound: record.bound(),
            in_vain: record.in_vain,
            rows,
        }
    }

    /// The longest time in which operations within the allowance were refused, of all rows, in seconds.
    pub fn longest_refusal(&self) -> f64 {
        let rows = self.rows.iter();
        rows.map(|row| row.longest_refusal).fold(0.0, f64::max)
    }

    /// The row of a group of callers and a rank.
    pub fn row(&self, callers: &str, rank: u8) -> Option<&Row> {
        let mut rows = self.rows.iter();
        rows.find(|row| &*row.callers == callers && row.rank == Rank(rank))
    }
}

fn served_percent(window: &Window) -> f64 {
    percent(window.in_time.into(), window.offered.into())
}

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}, {}: in time {:.0}/s, least urgent {:.1}%, fairness {:.3}, refused within allowance {}, \
             bound {:.2}, in vain {}",
            self.pattern,
            self.policy,
            self.goodput,
            self.least_urgent,
            self.fairness,
            self.refused_within,
            self.bound,
            self.in_vain
        )?;
        writeln!(
            f,
            "  {:<8} {:>8} {:>8} {:>6} {:>8} {:>6} {:>8} {:>8} {:>7} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7}",
            "callers",
            "offered",
            "in time%",
            "late%",
            "refused%",
            "left",
            "wait50",
            "wait99",
            "told50",
            "named50",
            "returned",
            "again%",
            "worst1s",
            "within",
            "longest"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "  {:<8} {:>8.1} {:>8.2} {:>6.2} {:>8.2} {:>6.1} {:>8.1} {:>8.1} {:>7.1} {:>8.1} {:>8} {:>7.2} \
                 {:>7.1} {:>7} {:>7.2}",
                format!("{} {}", row.callers, row.rank),
                row.offered,
                row.in_time,
                row.late,
                row.refused,
                row.left,
                row.wait_p50,
                row.wait_p99,
                row.refusal_p50,
                row.named_p50,
                row.returned,
                row.refused_again,
                row.worst_second,
                row.refused_within,
                row.longest_refusal
            )?;
        }
        Ok(())
    }
}
