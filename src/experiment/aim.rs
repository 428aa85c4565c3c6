//! The goals that the routing and admission decisions must reach, checked against simulation runs.

use crate::clock::Span;
use crate::core::request::Class;
use crate::experiment::Trial;
use crate::experiment::deployment::Deployment;
use crate::experiment::overload;
use crate::experiment::pattern::Pattern;
use crate::experiment::policy::{Policy, Rule};
use crate::experiment::report::Report;
use serde::Serialize;
use std::fmt;

/// Minimum goodput at four times the slots' rate, as a multiple of that at the rate itself.
const MIN_SATURATED_GOODPUT: f64 = 0.95;

/// Maximum p99 of quiet callers beside greedy ones, as a multiple of their p99 alone.
const MAX_QUIET_P99: f64 = 2.0;

/// Maximum p99 of short work beside long work, as a multiple of its p99 alone.
const MAX_SHORT_P99: f64 = 3.0;

/// Minimum share of aged reads served by replicas, in percent.
const MIN_AGED_BY_REPLICAS: f64 = 95.0;

/// Minimum share of session reads served by replicas, as a multiple of that under time-based stickiness.
const MIN_SESSION_BY_REPLICAS: f64 = 1.3;

/// A goal and whether a run reached it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Verdict {
    /// The compared figures.
    pub aim: Box<str>,
    /// The measured figure.
    pub found: f64,
    /// The bound on the measured figure.
    pub bound: f64,
    /// The same figure under the naive policy, where it exists.
    pub naive: Option<f64>,
    /// The same figure under the decisions before [`crate::admission`], where a run has them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub former: Option<f64>,
    /// Whether the goal was reached.
    pub met: bool,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.met { "met   " } else { "MISSED" };
        write!(
            f,
            "{verdict} {}: {:.2}, aim {}",
            self.aim, self.found, self.bound
        )?;
        match (self.naive, self.former) {
            (Some(naive), Some(former)) => {
                write!(f, " (naive {naive:.2}, former {former:.2})")
            }
            (Some(naive), None) => write!(f, " (naive {naive:.2})"),
            _ => Ok(()),
        }
    }
}

/// All results of an experiment.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Findings {
    /// The runs.
    pub reports: Vec<Report>,
    /// The runs of patterns of overload.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub overload: Vec<overload::report::Report>,
    /// The goals.
    pub verdicts: Vec<Verdict>,
}

/// The parameters of an experiment.
#[derive(Debug, Clone)]
pub struct Setting {
    /// The sizes of the deployment.
    pub deployment: Deployment,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The span over which requests are counted.
    pub length: Span,
    /// Rules that the full policy omits.
    pub without: Vec<Rule>,
}

/// Runs of the same requests under the full policy and under the naive one.
struct Pair {
    full: Report,
    naive: Report,
}

impl Pair {
    fn compare(&self, other: &Pair, figure: impl Fn(&Report) -> Option<f64>) -> Option<Ratio> {
        let ratio = |one: &Report, other: &Report| Some(figure(one)? / figure(other)?);
        Some(Ratio {
            full: ratio(&self.full, &other.full)?,
            naive: ratio(&self.naive, &other.naive),
        })
    }
}

struct Ratio {
    full: f64,
    naive: Option<f64>,
}

impl Setting {
    /// Runs `pattern` under both policies, and its variants where a goal compares them.
    pub fn findings(&self, pattern: Pattern) -> Findings {
        let mut findings = Findings::default();
        match pattern {
            Pattern::Saturation => self.saturation(&mut findings),
            Pattern::Greedy => {
                self.compare_with_alone(&mut findings, pattern, "quiet callers' p99", MAX_QUIET_P99)
            }
            Pattern::Long => {
                self.compare_with_alone(&mut findings, pattern, "short work's p99", MAX_SHORT_P99)
            }
            Pattern::Calm => self.calm(&mut findings),
            _ => {
                self.pair(&mut findings, pattern, 1.0, false);
            }
        }
        findings
    }

    fn trial(&self, pattern: Pattern, load: f64, alone: bool, policy: Policy) -> Trial {
        Trial {
            deployment: self.deployment,
            pattern,
            load,
            alone,
            policy,
            seed: self.seed,
            length: self.length,
        }
    }

    fn pair(&self, findings: &mut Findings, pattern: Pattern, load: f64, alone: bool) -> Pair {
        let mut full = Policy::full(&self.deployment.size());
        for &rule in &self.without {
            full = full.without(rule);
        }
        let pair = Pair {
            full: self.trial(pattern, load, alone, full).run(),
            naive: self.trial(pattern, load, alone, Policy::naive()).run(),
        };
        findings.reports.push(pair.full.clone());
        findings.reports.push(pair.naive.clone());
        pair
    }

    fn saturation(&self, findings: &mut Findings) {
        let once = self.pair(findings, Pattern::Saturation, 1.0, false);
        self.pair(findings, Pattern::Saturation, 2.0, false);
        let four = self.pair(findings, Pattern::Saturation, 4.0, false);
        let ratio = four.compare(&once, |report| Some(report.goodput));
        let aim = format!("{}: goodput at 4x against 1x", self.deployment);
        findings.at_least(aim, ratio, MIN_SATURATED_GOODPUT);
    }

    fn compare_with_alone(
        &self,
        findings: &mut Findings,
        pattern: Pattern,
        what: &str,
        bound: f64,
    ) {
        let alone = self.pair(findings, pattern, 1.0, true);
        let compare_with_alone = self.pair(findings, pattern, 1.0, false);
        for class in [Class::Confirm, Class::Session, Class::Aged] {
            let p99 = |report: &Report| {
                let row = report.row(class).filter(|row| row.goodput > 0.0)?;
                Some(row.answer_p99)
            };
            let ratio = compare_with_alone.compare(&alone, p99);
            let name = format!("{class:?}").to_lowercase();
            let aim = format!("{}: {what} beside against alone, {name}", self.deployment);
            findings.at_most(aim, ratio, bound);
        }
    }

    fn calm(&self, findings: &mut Findings) {
        let pair = self.pair(findings, Pattern::Calm, 1.0, false);
        let by_replicas = |report: &Report, class| report.row(class).map(|row| row.replica);
        let aged = by_replicas(&pair.full, Class::Aged).map(|full| Ratio {
            full,
            naive: by_replicas(&pair.naive, Class::Aged),
        });
        let aim = format!("{}: aged reads by replicas, per cent", self.deployment);
        findings.at_least(aim, aged, MIN_AGED_BY_REPLICAS);
        let session = |report| by_replicas(report, Class::Session);
        let ratio = session(&pair.full)
            .zip(session(&pair.naive))
            .map(|(full, naive)| Ratio {
                full: full / naive,
                naive: None,
            });
        let aim = format!(
            "{}: session reads by replicas against stickiness by time",
            self.deployment
        );
        findings.at_least(aim, ratio, MIN_SESSION_BY_REPLICAS);
    }
}

impl Findings {
    /// Whether all goals were reached.
    pub fn met(&self) -> bool {
        self.verdicts.iter().all(|verdict| verdict.met)
    }

    /// Appends the findings of another pattern.
    pub fn extend(&mut self, other: Findings) {
        self.reports.extend(other.reports);
        self.overload.extend(other.overload);
        self.verdicts.extend(other.verdicts);
    }

    fn at_least(&mut self, aim: String, ratio: Option<Ratio>, bound: f64) {
        self.add_verdict(aim, ratio, bound, |found| found >= bound);
    }

    fn at_most(&mut self, aim: String, ratio: Option<Ratio>, bound: f64) {
        self.add_verdict(aim, ratio, bound, |found| found <= bound);
    }

    /// Records a verdict. A figure that is not available counts as a miss.
    fn add_verdict(
        &mut self,
        aim: String,
        ratio: Option<Ratio>,
        bound: f64,
        met: impl Fn(f64) -> bool,
    ) {
        let found = ratio.as_ref().map_or(f64::NAN, |ratio| ratio.full);
        self.verdicts.push(Verdict {
            aim: aim.into(),
            found,
            bound,
            naive: ratio.and_then(|ratio| ratio.naive),
            former: None,
            met: met(found),
        });
    }
}
