//! What came of a soak, as a table and as JSON.

use crate::clock::Span;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// What callers of one kind of route were told.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Told {
    /// Statements.
    pub all: u64,
    /// Done.
    pub done: u64,
    /// Done within the route's objective.
    pub in_objective: u64,
    /// The median until an answer, in milliseconds.
    pub answer_ms: u64,
    /// The longest.
    pub answer_worst_ms: u64,
    /// Told that nothing is kept.
    pub refused: u64,
    /// The median until that.
    pub refusal_ms: u64,
    /// The longest.
    pub refusal_worst_ms: u64,
    /// Told that the database failed it.
    pub failed: u64,
    /// Told that it may have run.
    pub unknown: u64,
    /// Told nothing.
    pub untold: u64,
    /// The errors that were told, by their names in the code.
    pub errors: BTreeMap<Box<str>, u64>,
    /// Who served reads while all was calm.
    pub calm: Replicas,
}

/// Who served reads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Replicas {
    /// All that were done.
    pub reads: u64,
    /// Those by replicas.
    pub by_replicas: u64,
}

/// Gaps without an acknowledged write, in each group that a kind of trouble hit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// Gaps while no other trouble hit the group.
    pub alone: u64,
    /// Their median.
    pub alone_ms: u64,
    /// Their longest.
    pub alone_worst_ms: u64,
    /// Gaps while another one did.
    pub together: u64,
    /// Their median.
    pub together_ms: u64,
    /// Their longest.
    pub together_worst_ms: u64,
    /// In which group the longest of all was.
    pub worst_group: Box<str>,
    /// Since when, in milliseconds since the world began.
    pub worst_since_ms: u64,
    /// What they were made of.
    pub split: Split,
}

/// The medians of the parts of gaps in which a primary took over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Split {
    /// How many gaps.
    pub promotions: u64,
    /// Until the change was written down.
    pub detected_ms: u64,
    /// Until leases were given up and the promotion was ordered.
    pub given_up_ms: u64,
    /// Until it took effect.
    pub promoted_ms: u64,
    /// Until a write was acknowledged.
    pub published_ms: u64,
}

/// A property that was broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// When it was found, since the world began; the text has the statement's own moment.
    pub judged_ms: u64,
    /// What was found.
    pub text: Box<str>,
}

/// What came of a soak.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The profile.
    pub profile: Box<str>,
    /// The seed.
    pub seed: u64,
    /// How long it was.
    pub length: Span,
    /// VMs.
    pub vms: usize,
    /// Groups.
    pub groups: usize,
    /// Callers.
    pub callers: usize,
    /// Statements a second that were meant.
    pub rate: u32,
    /// How often each kind of trouble was played.
    pub played: BTreeMap<Box<str>, u64>,
    /// What callers were told, by kind of route.
    pub routes: BTreeMap<Box<str>, Told>,
    /// Gaps by kind of trouble.
    pub gaps: BTreeMap<Box<str>, Gap>,
    /// How many properties were broken.
    pub count: u64,
    /// The first ones.
    pub broken: Vec<Broken>,
    /// The last events before the first of them was found.
    pub events: Vec<Box<str>>,
}

/// A share in hundredths of a percent, as text.
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
        for (name, told) in &self.routes {
            let calm = told.calm;
            writeln!(
                f,
                "{name:<8} {:>9} {:>9} {:>9} {:>12} {:>8} {:>12} {:>7} {:>8} {:>7} {:>14}",
                told.all,
                percent(told.done, told.all),
                percent(told.in_objective, told.all),
                format!("{} ({})", told.answer_ms, told.answer_worst_ms),
                told.refused,
                format!("{} ({})", told.refusal_ms, told.refusal_worst_ms),
                told.failed,
                told.unknown,
                told.untold,
                percent(calm.by_replicas, calm.reads),
            )?;
        }
        Ok(())
    }

    fn write_errors(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, told) in &self.routes {
            let errors = told.errors.iter();
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
