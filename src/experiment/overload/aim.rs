//! The requirements of docs/design/hard-load.md, checked against runs under overload.

use crate::clock::Span;
use crate::experiment::aim::{Findings, Verdict};
use crate::experiment::overload::load::Load;
use crate::experiment::overload::report::{Report, Row};
use crate::experiment::overload::{Policy, Trial};

/// The longest time in seconds for which callers within the allowance may be refused beside free capacity.
const MAX_REFUSAL: f64 = 1.0;

/// The most operations in five seconds, as a multiple of what an allowance permits. The tolerance of the users'
/// check is not relied on.
const MAX_BOUND: f64 = 1.0;

/// The largest share of callers, in percent, that are refused again when they return at the named time.
const MAX_REFUSED_AGAIN: f64 = 0.0;

/// How many standard errors a less urgent rank may be served better: the draws alone explain so much.
const STANDARD_ERRORS: f64 = 3.0;

/// The parameters of an experiment.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// The seed of the random number generator.
    pub seed: u64,
    /// The span over which requests are counted.
    pub length: Span,
}

impl Setting {
    /// Runs a pattern under all policies, and checks the full one.
    pub fn findings(&self, load: Load) -> Findings {
        let run = |policy| {
            let trial = Trial {
                load,
                policy,
                seed: self.seed,
                length: self.length,
            };
            trial.run()
        };
        let overload: Vec<Report> = Policy::ALL.into_iter().map(run).collect();
        Findings {
            verdicts: verdicts(load, &overload),
            overload,
            ..Findings::default()
        }
    }
}

/// Checks the requirements.
fn verdicts(load: Load, reports: &[Report]) -> Vec<Verdict> {
    let Some(judged) = find(reports, Policy::Full) else {
        return Vec::new();
    };
    let verdict = |aim: &str, bound: f64, figure: &dyn Fn(&Report) -> f64| {
        let of = |policy| find(reports, policy).map(figure);
        let found = figure(judged);
        Verdict {
            aim: format!("{load}: {aim}").into(),
            found,
            bound,
            naive: of(Policy::Naive),
            former: of(Policy::Former),
            met: found <= bound,
        }
    };
    vec![
        verdict(
            "a less urgent rank is served better, standard errors",
            STANDARD_ERRORS,
            &|report| inversion(report),
        ),
        verdict(
            "refused within the allowance beside free slots, seconds",
            MAX_REFUSAL,
            &|report| report.longest_refusal(),
        ),
        verdict(
            "refused again at the named time, per cent",
            MAX_REFUSED_AGAIN,
            &|report| refused_again(report),
        ),
        verdict(
            "operations in 5 s against the allowance",
            MAX_BOUND,
            &|report| report.bound,
        ),
    ]
}

fn find(reports: &[Report], policy: Policy) -> Option<&Report> {
    reports.iter().find(|report| report.policy == policy)
}

/// How much better a less urgent rank of the same callers is served at most, in standard errors of the
/// difference of their shares in time; zero or less if none is.
fn inversion(report: &Report) -> f64 {
    let pairs = report.rows.iter().flat_map(|urgent| {
        let others = report.rows.iter();
        let others =
            others.filter(|other| other.callers == urgent.callers && other.rank > urgent.rank);
        others.map(|other| difference(urgent, other))
    });
    pairs.fold(0.0, f64::max)
}

fn difference(urgent: &Row, other: &Row) -> f64 {
    let (requests, in_time) = (
        [urgent.requests as f64, other.requests as f64],
        [urgent.in_time / 100.0, other.in_time / 100.0],
    );
    let pooled = (requests[0] * in_time[0] + requests[1] * in_time[1])
        / (requests[0] + requests[1]).max(1.0);
    let variance = pooled * (1.0 - pooled) * (1.0 / requests[0] + 1.0 / requests[1]);
    match variance > 0.0 {
        true => (in_time[1] - in_time[0]) / variance.sqrt(),
        false => 0.0,
    }
}

/// The share of callers that were refused again when they returned at the named time.
fn refused_again(report: &Report) -> f64 {
    let returned: u64 = report.rows.iter().map(|row| row.returned).sum();
    let again = |row: &Row| row.refused_again * row.returned as f64;
    let again: f64 = report.rows.iter().map(again).sum();
    again / returned.max(1) as f64
}
