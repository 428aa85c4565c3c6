//! Counts what callers were told, for each kind of route.

use crate::direct::statement::Code;
use crate::soak::Plan;
use crate::soak::report::{Replicas, Told};
use crate::soak::story::Story;
use crate::standin::direct::check::is_read;
use crate::standin::direct::journal::Run;
use crate::standin::direct::said::Said;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// How long after troubles reads count as those of a calm.
pub const SETTLES: Duration = Duration::from_secs(5);

/// A statement may be under way for this long, and does not count if its calm ends meanwhile.
const UNDER_WAY: Duration = Duration::from_secs(3);

/// Of how many callers nine of ten have to be served in a calm, for it to be judged.
const ENOUGH: u64 = 20;

/// What is counted for one kind of route.
#[derive(Debug)]
struct Row {
    objective: Duration,
    told: Told,
    took: Histogram<u64>,
    refused: Histogram<u64>,
    calm: Replicas,
}

/// Statements of a calm, once the system had its time to recover.
#[derive(Debug, Clone, Copy, Default)]
struct Served {
    all: u64,
    done: u64,
}

/// The counts.
#[derive(Debug)]
pub struct Tally {
    rows: BTreeMap<Box<str>, Row>,
    recovery: Duration,
    calms: BTreeMap<Instant, Served>,
}

/// The longest time that is told apart, in milliseconds.
const HOUR: u64 = 3_600_000;

/// A histogram of milliseconds.
pub fn histogram() -> Histogram<u64> {
    // The bounds are constants that the library takes.
    Histogram::new_with_bounds(1, HOUR, 3).unwrap_or_else(|_| unreachable!("valid bounds"))
}

impl Tally {
    /// Nothing counted yet.
    pub fn new(plan: &Plan) -> Self {
        let manners = plan.profile.manners();
        let rows = manners.into_iter().map(|manner| {
            let row = Row {
                objective: manner.objective.into(),
                told: Told::default(),
                took: histogram(),
                refused: histogram(),
                calm: Replicas::default(),
            };
            (manner.name, row)
        });
        Self {
            rows: rows.collect(),
            recovery: plan.profile.recovery.into(),
            calms: BTreeMap::new(),
        }
    }

    /// Counts a window.
    pub fn count(&mut self, said: &[Said], runs: &[Run], story: &Story) {
        let replicas = runs.iter().filter(|run| !run.primary);
        let replicas: BTreeSet<&str> = replicas.map(|run| &*run.signature).collect();
        for said in said {
            let kind = said.route.trim_end_matches(|c: char| c.is_ascii_digit());
            if let Some(row) = self.rows.get_mut(kind) {
                row.count(said);
                let calm = is_read(said) && story.is_calm(said.sent, SETTLES);
                if let Some(signature) = said.signature().filter(|_| calm) {
                    row.calm.reads += 1;
                    row.calm.by_replicas += u64::from(replicas.contains(signature));
                }
            }
            if story.is_calm(said.sent, self.recovery)
                && let Some(calm) = story.calm_at(said.sent)
                && calm.end.is_none_or(|end| said.sent + UNDER_WAY < end)
            {
                let served = self.calms.entry(calm.begin).or_default();
                served.all += 1;
                served.done += u64::from(said.is_done());
            }
        }
    }

    /// Calms that are over in which too few were served.
    pub fn unserved(&mut self, story: &Story, settled: Instant, last: bool) -> Vec<Box<str>> {
        let over = |begin: &Instant| {
            let mut calms = story.calms.iter();
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
        let few = judged.filter(|calm| calm.all >= ENOUGH && calm.done * 10 < calm.all * 9);
        few.map(|Served { all, done }| format!("{done} of {all} served in a calm").into())
            .collect()
    }

    /// The counts for the report.
    pub fn rows(&self) -> BTreeMap<Box<str>, Told> {
        let rows = self.rows.iter().map(|(name, row)| {
            let told = Told {
                answer_ms: row.took.value_at_quantile(0.5),
                answer_worst_ms: row.took.max(),
                refusal_ms: row.refused.value_at_quantile(0.5),
                refusal_worst_ms: row.refused.max(),
                calm: row.calm,
                ..row.told.clone()
            };
            (name.clone(), told)
        });
        rows.collect()
    }
}

impl Row {
    fn count(&mut self, said: &Said) {
        let told = &mut self.told;
        told.all += 1;
        let Some((at, _)) = &said.told else {
            told.untold += 1;
            return;
        };
        if let Some(code) = said.code() {
            let name = format!("{code:?}").to_lowercase();
            *told.errors.entry(name.into()).or_default() += 1;
        }
        let took = *at - said.sent;
        let millis = took.as_millis() as u64;
        if said.is_done() {
            told.done += 1;
            told.in_objective += u64::from(took <= self.objective);
            self.took.saturating_record(millis);
        } else if said.is_not_run() {
            told.refused += 1;
            self.refused.saturating_record(millis);
        } else if said.code() == Some(Code::Failed) {
            told.failed += 1;
        } else {
            told.unknown += 1;
        }
    }
}
