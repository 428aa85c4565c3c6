//! What the decisions are to reach, checked against runs.

use crate::clock::Span;
use crate::core::request::Class;
use crate::experiment::Trial;
use crate::experiment::deployment::Deployment;
use crate::experiment::pattern::Pattern;
use crate::experiment::policy::{Policy, Rule};
use crate::experiment::report::Report;
use serde::Serialize;
use std::fmt;

/// Goodput at four times the slots' rate, against that at once the rate.
const SATURATED: f64 = 0.95;

/// A quiet caller's p99 beside greedy ones, against its p99 alone.
const QUIET: f64 = 2.0;

/// Short work's p99 beside long work, against its p99 alone.
const BESIDE_LONG: f64 = 3.0;

/// Aged reads served by replicas, in per cent.
const BY_REPLICAS: f64 = 95.0;

/// Session reads by replicas, against stickiness by time.
const STICKINESS: f64 = 1.3;

/// One aim and whether it was reached.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Verdict {
    /// What was compared.
    pub aim: Box<str>,
    /// What was found.
    pub found: f64,
    /// What it had to be.
    pub bound: f64,
    /// The same figure under the naive rules, where it exists.
    pub naive: Option<f64>,
    /// Whether the aim was reached.
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
        match self.naive {
            Some(naive) => write!(f, " (naive {naive:.2})"),
            None => Ok(()),
        }
    }
}

/// Everything that an experiment found.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Findings {
    /// The runs.
    pub reports: Vec<Report>,
    /// The aims.
    pub verdicts: Vec<Verdict>,
}

/// What an experiment is about.
#[derive(Debug, Clone)]
pub struct Setting {
    /// The sizes.
    pub deployment: Deployment,
    /// What the draws start from.
    pub seed: u64,
    /// How long requests are counted.
    pub length: Span,
    /// Rules to leave out.
    pub without: Vec<Rule>,
}

/// One run under the proxy's rules and one under the naive ones, of the same requests.
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
    /// Runs `pattern` under both policies, and under variants of itself where an aim compares those.
    pub fn findings(&self, pattern: Pattern) -> Findings {
        let mut findings = Findings::default();
        match pattern {
            Pattern::Saturation => self.saturation(&mut findings),
            Pattern::Greedy => self.beside(&mut findings, pattern, "quiet callers' p99", QUIET),
            Pattern::Long => self.beside(&mut findings, pattern, "short work's p99", BESIDE_LONG),
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
        findings.at_least(aim, ratio, SATURATED);
    }

    fn beside(&self, findings: &mut Findings, pattern: Pattern, what: &str, bound: f64) {
        let alone = self.pair(findings, pattern, 1.0, true);
        let beside = self.pair(findings, pattern, 1.0, false);
        for class in [Class::Confirm, Class::Session, Class::Aged] {
            let p99 = |report: &Report| {
                let row = report.row(class).filter(|row| row.goodput > 0.0)?;
                Some(row.answer_p99)
            };
            let ratio = beside.compare(&alone, p99);
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
        findings.at_least(aim, aged, BY_REPLICAS);
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
        findings.at_least(aim, ratio, STICKINESS);
    }
}

impl Findings {
    /// Whether all aims were reached.
    pub fn met(&self) -> bool {
        self.verdicts.iter().all(|verdict| verdict.met)
    }

    /// Takes in another pattern's findings.
    pub fn extend(&mut self, other: Findings) {
        self.reports.extend(other.reports);
        self.verdicts.extend(other.verdicts);
    }

    fn at_least(&mut self, aim: String, ratio: Option<Ratio>, bound: f64) {
        self.judge(aim, ratio, bound, |found| found >= bound);
    }

    fn at_most(&mut self, aim: String, ratio: Option<Ratio>, bound: f64) {
        self.judge(aim, ratio, bound, |found| found <= bound);
    }

    /// A figure that could not be had counts as a miss.
    fn judge(&mut self, aim: String, ratio: Option<Ratio>, bound: f64, met: impl Fn(f64) -> bool) {
        let found = ratio.as_ref().map_or(f64::NAN, |ratio| ratio.full);
        self.verdicts.push(Verdict {
            aim: aim.into(),
            found,
            bound,
            naive: ratio.and_then(|ratio| ratio.naive),
            met: met(found),
        });
    }
}
