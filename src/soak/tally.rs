//! Counts the outcomes of statements, for each kind of route.

use crate::direct::statement::Code;
use crate::soak::Plan;
use crate::soak::history::History;
use crate::soak::report::{Outcomes, Replicas};
use crate::standin::direct::check::is_read;
use crate::standin::direct::journal::Run;
use crate::standin::direct::said::Said;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Time after the begin of a calm from which reads count as reads of the calm.
pub const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Time for which a statement may be in progress; one whose calm ends within it does not count.
const MAX_IN_PROGRESS: Duration = Duration::from_secs(3);

/// Number of statements from which a calm is checked: nine of ten of them must be served.
const MIN_STATEMENTS: u64 = 20;

/// The counts of one kind of route.
#[derive(Debug)]
struct Row {
    objective: Duration,
    outcomes: Outcomes,
    latency: Histogram<u64>,
    refused: Histogram<u64>,
    calm: Replicas,
}

/// Statements of a calm that were sent after the recovery time.
#[derive(Debug, Clone, Copy, Default)]
struct Served {
    all: u64,
    done: u64,
}

/// The counts of a soak, by kind of route and by calm.
#[derive(Debug)]
pub struct Tally {
    rows: BTreeMap<Box<str>, Row>,
    recovery: Duration,
    calms: BTreeMap<Instant, Served>,
}

/// Largest time that a histogram distinguishes: one hour, in milliseconds.
const MAX_MILLIS: u64 = 3_600_000;

/// Creates a histogram of milliseconds.
pub fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, MAX_MILLIS, 3).unwrap_or_else(|_| unreachable!("valid bounds"))
}

impl Tally {
    /// Creates empty counts.
    pub fn new(plan: &Plan) -> Self {
        let route_kinds = plan.profile.route_kinds();
        let rows = route_kinds.into_iter().map(|route_kind| {
            let row = Row {
                objective: route_kind.objective.into(),
                outcomes: Outcomes::default(),
                latency: histogram(),
                refused: histogram(),
                calm: Replicas::default(),
            };
            (route_kind.name, row)
        });
        Self {
            rows: rows.collect(),
            recovery: plan.profile.recovery.into(),
            calms: BTreeMap::new(),
        }
    }

    /// Counts the statements of a window.
    pub fn count(&mut self, statements: &[Said], runs: &[Run], history: &History) {
        let replicas = runs.iter().filter(|run| !run.primary);
        let replicas: BTreeSet<&str> = replicas.map(|run| &*run.signature).collect();
        for statement in statements {
            let kind = statement
                .route
                .trim_end_matches(|c: char| c.is_ascii_digit());
            if let Some(row) = self.rows.get_mut(kind) {
                row.count(statement);
                let calm = is_read(statement) && history.is_calm(statement.sent, SETTLE_TIME);
                if let Some(signature) = statement.signature().filter(|_| calm) {
                    row.calm.reads += 1;
                    row.calm.by_replicas += u64::from(replicas.contains(signature));
                }
            }
            if history.is_calm(statement.sent, self.recovery)
                && let Some(calm) = history.calm_at(statement.sent)
                && calm
                    .end
                    .is_none_or(|end| statement.sent + MAX_IN_PROGRESS < end)
            {
                let served = self.calms.entry(calm.begin).or_default();
                served.all += 1;
                served.done += u64::from(statement.is_done());
            }
        }
    }

    /// Removes the calms that are over, and describes those in which too few statements were served.
    pub fn unserved(&mut self, history: &History, settled: Instant, last: bool) -> Vec<Box<str>> {
        let over = |begin: &Instant| {
            let mut calms = history.calms.iter();
            let calm = calms.find(|calm| calm.begin == *begin);
            last || calm.is_none_or(|calm| calm.end.is_some_and(|end| end < settled))
        };
        let judged: Vec<_> = self
            .calms
            .keys()
            .filter(|begin| over(begin))
            .copied()
            .collect();
        let judged = judged
            .into_iter()
            .filter_map(|begin| self.calms.remove(&begin));
        let few = judged.filter(|calm| calm.all >= MIN_STATEMENTS && calm.done * 10 < calm.all * 9);
        few.map(|Served { all, done }| format!("{done} of {all} served in a calm").into())
            .collect()
    }

    /// Returns the counts for the report.
    pub fn rows(&self) -> BTreeMap<Box<str>, Outcomes> {
        let rows = self.rows.iter().map(|(name, row)| {
            let outcomes = Outcomes {
                answer_ms: row.latency.value_at_quantile(0.5),
                answer_worst_ms: row.latency.max(),
                refusal_ms: row.refused.value_at_quantile(0.5),
                refusal_worst_ms: row.refused.max(),
                calm: row.calm,
                ..row.outcomes.clone()
            };
            (name.clone(), outcomes)
        });
        rows.collect()
    }
}

impl Row {
    fn count(&mut self, statement: &Said) {
        let outcomes = &mut self.outcomes;
        outcomes.all += 1;
        let Some((at, _)) = &statement.told else {
            outcomes.untold += 1;
            return;
        };
        if let Some(code) = statement.code() {
            let name = format!("{code:?}").to_lowercase();
            *outcomes.errors.entry(name.into()).or_default() += 1;
        }
        let latency = *at - statement.sent;
        let millis = latency.as_millis() as u64;
        if statement.is_done() {
            outcomes.done += 1;
            outcomes.in_objective += u64::from(latency <= self.objective);
            self.latency.saturating_record(millis);
        } else if statement.is_not_run() {
            outcomes.refused += 1;
            self.refused.saturating_record(millis);
        } else if statement.code() == Some(Code::Failed) {
            outcomes.failed += 1;
        } else {
            outcomes.unknown += 1;
        }
    }
}
