//! The report of a soak, printed as tables or JSON.

use crate::clock::Span;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// Statements on one kind of route by their outcome.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Outcomes {
    /// All statements.
    pub all: u64,
    /// Done.
    pub done: u64,
    /// Done within the route's objective.
    pub in_objective: u64,
    /// The median time to the answer of a statement that was done, in milliseconds.
    pub answer_ms: u64,
    /// The longest such time, in milliseconds.
    pub answer_worst_ms: u64,
    /// Refused: the answer says that no effect is kept.
    pub refused: u64,
    /// The median time to a refusal, in milliseconds.
    pub refusal_ms: u64,
    /// The longest such time, in milliseconds.
    pub refusal_worst_ms: u64,
    /// Failed by the database.
    pub failed: u64,
    /// Of unknown outcome: it may have run.
    pub unknown: u64,
    /// Without any answer.
    pub untold: u64,
    /// The number of each error, by its code's name in lower case.
    pub errors: BTreeMap<Box<str>, u64>,
    /// Reads in calms, and how many replicas served.
    pub calm: Replicas,
}

/// Reads, and how many replicas served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Replicas {
    /// Reads that were done.
    pub reads: u64,
    /// Reads served by replicas.
    pub by_replicas: u64,
}

/// Gaps without an acknowledged write in the groups that a kind of trouble affected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// Number of gaps while no other trouble affected the group.
    pub alone: u64,
    /// Their median, in milliseconds.
    pub alone_ms: u64,
    /// The longest of them, in milliseconds.
    pub alone_worst_ms: u64,
    /// Number of gaps while another trouble affected the group.
    pub together: u64,
    /// Their median, in milliseconds.
    pub together_ms: u64,
    /// The longest of them, in milliseconds.
    pub together_worst_ms: u64,
    /// The group with the longest gap of all.
    pub worst_group: Box<str>,
    /// The begin of that gap, in milliseconds since the start.
    pub worst_since_ms: u64,
    /// The parts of the gaps.
    pub split: Split,
}

/// The median parts of gaps with a change of primary, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Split {
    /// Number of such gaps.
    pub promotions: u64,
    /// Until the lead's row was written.
    pub detected_ms: u64,
    /// Until leases were released and the promotion was ordered.
    pub given_up_ms: u64,
    /// Until the promotion took effect.
    pub promoted_ms: u64,
    /// Until a write was acknowledged.
    pub published_ms: u64,
}

/// A property that was broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// When it was found, in milliseconds since the start; the text has the statement's own time.
    pub judged_ms: u64,
    /// The description.
    pub text: Box<str>,
}

/// The report of a soak.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The name of the profile.
    pub profile: Box<str>,
    /// The seed.
    pub seed: u64,
    /// The time in which troubles were played.
    pub length: Span,
    /// Number of VMs.
    pub vms: usize,
    /// Number of groups.
    pub groups: usize,
    /// Number of callers.
    pub callers: usize,
    /// Intended statements per second.
    pub rate: u32,
    /// Number of troubles played, by kind.
    pub played: BTreeMap<Box<str>, u64>,
    /// Statements by kind of route.
    pub routes: BTreeMap<Box<str>, Outcomes>,
    /// Gaps by kind of trouble.
    pub gaps: BTreeMap<Box<str>, Gap>,
    /// Number of broken properties.
    pub count: u64,
    /// The first broken properties.
    pub broken: Vec<Broken>,
    /// The last events before the first broken property was found.
    pub events: Vec<Box<str>>,
}

/// Formats a share as a percentage with two decimals.
fn percent(part: u64, all: u64) -> String {
    let share = part * 10_000 / all.max(1);
    format!("{}.{:02} %", share / 100, share % 100)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (profile, seed, length) = (&self.profile, self.seed, self.length);
        let (vms, groups, callers, rate) = (self.vms, self.groups, self.callers, self.rate);
        writeln!(
            f,
            "{profile}, seed {seed}: {length} with {vms} VMs, {groups} groups, {callers} callers, \
             {rate} statements a second meant"
        )?;
        self.write_routes(f)?;
        self.write_errors(f)?;
        self.write_gaps(f)?;
        writeln!(f, "\n{} properties broken", self.count)?;
        for broken in &self.broken {
            writeln!(f, "BROKEN at {} ms: {}", broken.judged_ms, broken.text)?;
        }
        if self.count > 0 {
            writeln!(f, "the last events before the first:")?;
        }
        self.events
            .iter()
            .try_for_each(|event| writeln!(f, "    {event}"))
    }
}

impl Report {
    fn write_routes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<8} {:>9} {:>9} {:>9} {:>12} {:>8} {:>12} {:>7} {:>8} {:>7} {:>14}",
            "route",
            "all",
            "served",
            "in aim",
            "ms (worst)",
            "refused",
            "ms (worst)",
            "failed",
            "unknown",
            "untold",
            "by replicas"
        )?;
        for (name, outcomes) in &self.routes {
            let calm = outcomes.calm;
            writeln!(
                f,
                "{name:<8} {:>9} {:>9} {:>9} {:>12} {:>8} {:>12} {:>7} {:>8} {:>7} {:>14}",
                outcomes.all,
                percent(outcomes.done, outcomes.all),
                percent(outcomes.in_objective, outcomes.all),
                format!("{} ({})", outcomes.answer_ms, outcomes.answer_worst_ms),
                outcomes.refused,
                format!("{} ({})", outcomes.refusal_ms, outcomes.refusal_worst_ms),
                outcomes.failed,
                outcomes.unknown,
                outcomes.untold,
                percent(calm.by_replicas, calm.reads),
            )?;
        }
        Ok(())
    }

    fn write_errors(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, outcomes) in &self.routes {
            let errors = outcomes.errors.iter();
            let errors: Vec<_> = errors.map(|(code, n)| format!("{code} {n}")).collect();
            writeln!(f, "errors of {name}: {}", errors.join(", "))?;
        }
        Ok(())
    }

    fn write_gaps(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\nms without an acknowledged write in a group that was hit, by kind of trouble:\n\
             {:<22} {:>6} {:>6} {:>14} {:>8} {:>14} {:>5} {:>7} {:>8} {:>8} {:>9}  worst in, since ms",
            "kind",
            "played",
            "alone",
            "median, worst",
            "together",
            "median, worst",
            "prom.",
            "detect",
            "given up",
            "promoted",
            "published"
        )?;
        for (kind, gap) in &self.gaps {
            let split = gap.split;
            writeln!(
                f,
                "{kind:<22} {:>6} {:>6} {:>14} {:>8} {:>14} {:>5} {:>7} {:>8} {:>8} {:>9}  {}, {}",
                self.played.get(kind).copied().unwrap_or_default(),
                gap.alone,
                format!("{}, {}", gap.alone_ms, gap.alone_worst_ms),
                gap.together,
                format!("{}, {}", gap.together_ms, gap.together_worst_ms),
                split.promotions,
                split.detected_ms,
                split.given_up_ms,
                split.promoted_ms,
                split.published_ms,
                gap.worst_group,
                gap.worst_since_ms,
            )?;
        }
        Ok(())
    }
}
