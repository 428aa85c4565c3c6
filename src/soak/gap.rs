//! For how long groups were without an acknowledged write, by kind of trouble.

use crate::direct::control::rows::lead_row;
use crate::soak::report::{Gap, Split};
use crate::soak::story::{Story, Struck};
use crate::soak::tally::{SETTLES, histogram};
use crate::standin::direct::journal::{Failover, Ordered, Run};
use crate::standin::direct::said::Said;
use crate::types::GroupId;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// How long after a trouble its gaps are looked at.
const AFTER: Duration = Duration::from_secs(25);

/// What gaps between troubles are counted as.
const CALM: &str = "(calm)";

/// What happened in a group.
#[derive(Debug, Default)]
struct Course {
    /// When writes were acknowledged.
    writes: BTreeSet<Instant>,
    /// When the lead's row was written.
    rows: BTreeSet<Instant>,
    /// When a promotion was ordered.
    orders: BTreeSet<Instant>,
    /// When a primary took over.
    reigns: BTreeSet<Instant>,
}

/// The gaps of one kind of trouble.
#[derive(Debug)]
struct Row {
    alone: Histogram<u64>,
    together: Histogram<u64>,
    parts: [Histogram<u64>; 4],
    /// The longest gap, its group, and since when.
    worst: (Duration, GroupId, Instant),
}

/// The gaps.
#[derive(Debug)]
pub struct Gaps {
    started: Instant,
    groups: BTreeMap<GroupId, Course>,
    rows: BTreeMap<Box<str>, Row>,
    calms: BTreeSet<Instant>,
}

impl Gaps {
    /// Nothing noted yet.
    pub fn new(groups: Vec<GroupId>, started: Instant) -> Self {
        let groups = groups.into_iter().map(|group| (group, Course::default()));
        Self {
            started,
            groups: groups.collect(),
            rows: BTreeMap::new(),
            calms: BTreeSet::new(),
        }
    }

    /// Notes acknowledged writes.
    pub fn acknowledged(&mut self, said: &[Said], runs: &[Run]) {
        let writes = runs.iter().filter(|run| run.commit.is_some());
        let writes: BTreeMap<&str, &Run> = writes.map(|run| (&*run.signature, run)).collect();
        for said in said {
            let run = said.signature().and_then(|s| writes.get(s));
            if let (Some(run), Some(at)) = (run, said.acknowledged()) {
                self.course(&run.group).writes.insert(at);
            }
        }
    }

    /// Notes an order.
    pub fn ordered(&mut self, order: &Ordered) {
        self.course(&order.group).orders.insert(order.at);
    }

    /// Notes that a primary took over.
    pub fn reigns(&mut self, reign: &Failover) {
        self.course(&reign.group).reigns.insert(reign.at);
    }

    /// Notes that a lead's row was written.
    pub fn written(&mut self, at: Instant, key: &str) {
        for (group, course) in &mut self.groups {
            if &*lead_row(group).key == key {
                course.rows.insert(at);
            }
        }
    }

    fn course(&mut self, group: &GroupId) -> &mut Course {
        self.groups.entry(group.clone()).or_default()
    }

    /// Counts the gaps of all troubles and calms that are over for long enough.
    pub fn count(&mut self, story: &mut Story, settled: Instant, last: bool) {
        let all = story.struck.clone();
        for struck in &mut story.struck {
            if struck.counted || !(last || struck.end + AFTER < settled) {
                continue;
            }
            struck.counted = true;
            let alone = !all.iter().any(|other| overlaps(struck, other));
            for group in &struck.groups {
                self.note(
                    &struck.kind,
                    alone,
                    group,
                    struck.begin,
                    struck.end,
                    settled,
                );
            }
        }
        for calm in &story.calms {
            let Some(end) = calm.end.filter(|end| last || *end < settled) else {
                continue;
            };
            let begin = calm.begin + SETTLES;
            if begin < end && self.calms.insert(calm.begin) {
                let groups: Vec<_> = self.groups.keys().cloned().collect();
                for group in groups {
                    self.note(CALM, true, &group, begin, end, settled);
                }
            }
        }
    }

    /// Counts the longest gap of a group that is not over before a while begins.
    fn note(
        &mut self,
        kind: &str,
        alone: bool,
        group: &GroupId,
        begin: Instant,
        end: Instant,
        settled: Instant,
    ) {
        let course = self.groups.entry(group.clone()).or_default();
        let Some((from, to)) = course.gap(begin, end, kind == CALM, settled) else {
            return;
        };
        let row = self.rows.entry(kind.into()).or_insert_with(|| Row {
            alone: histogram(),
            together: histogram(),
            parts: [histogram(), histogram(), histogram(), histogram()],
            worst: (Duration::ZERO, group.clone(), from),
        });
        if to - from > row.worst.0 {
            row.worst = (to - from, group.clone(), from);
        }
        let gap = (to - from).as_millis() as u64;
        match alone {
            true => row.alone.saturating_record(gap),
            false => row.together.saturating_record(gap),
        }
        if let Some(parts) = course.parts(from, to) {
            for (histogram, part) in row.parts.iter_mut().zip(parts) {
                histogram.saturating_record(part.as_millis() as u64);
            }
        }
    }

    /// Forgets what was before a moment.
    pub fn forget(&mut self, before: Instant) {
        for course in self.groups.values_mut() {
            for moments in [
                &mut course.writes,
                &mut course.rows,
                &mut course.orders,
                &mut course.reigns,
            ] {
                *moments = moments.split_off(&before);
            }
        }
        self.calms = self.calms.split_off(&(before - Duration::from_secs(1)));
    }

    /// The gaps for the report.
    pub fn rows(&self) -> BTreeMap<Box<str>, Gap> {
        let rows = self.rows.iter().map(|(kind, row)| {
            let median = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.5);
            let [detected, given_up, promoted, published] = &row.parts;
            let gap = Gap {
                alone: row.alone.len(),
                alone_ms: median(&row.alone),
                alone_worst_ms: row.alone.max(),
                together: row.together.len(),
                together_ms: median(&row.together),
                together_worst_ms: row.together.max(),
                worst_group: row.worst.1.as_str().into(),
                worst_since_ms: (row.worst.2 - self.started).as_millis() as u64,
                split: Split {
                    promotions: detected.len(),
                    detected_ms: median(detected),
                    given_up_ms: median(given_up),
                    promoted_ms: median(promoted),
                    published_ms: median(published),
                },
            };
            (kind.clone(), gap)
        });
        rows.collect()
    }
}

impl Course {
    /// The longest gap between two writes that overlaps a while, or that ends within it: a gap that goes
    /// on beyond a calm is that of the trouble which ended it.
    fn gap(
        &self,
        begin: Instant,
        end: Instant,
        within: bool,
        settled: Instant,
    ) -> Option<(Instant, Instant)> {
        let mut last = self.writes.range(..begin).next_back().copied()?;
        let mut longest = (last, last);
        for next in self.writes.range(begin..).copied().chain([settled]) {
            if within && next > end {
                break;
            }
            if next - last > longest.1 - longest.0 {
                longest = (last, next);
            }
            last = next;
            if next > end {
                break;
            }
        }
        Some(longest)
    }

    /// A gap's parts, if a primary took over in it: until the change was written down, until a
    /// promotion was ordered, until it took effect, and until a write was acknowledged.
    fn parts(&self, from: Instant, to: Instant) -> Option<[Duration; 4]> {
        let reign = *self.reigns.range(from..to).next_back()?;
        let order = *self.orders.range(from..reign).next_back()?;
        let row = *self.rows.range(from..=order).next()?;
        Some([row - from, order - row, reign - order, to - reign])
    }
}

/// Whether another trouble hit one of the same groups meanwhile.
fn overlaps(struck: &Struck, other: &Struck) -> bool {
    let same = struck.begin == other.begin && struck.kind == other.kind;
    let meanwhile = other.begin < struck.end && struck.begin < other.end;
    let mut groups = struck.groups.iter();
    !same && meanwhile && groups.any(|group| other.groups.contains(group))
}
