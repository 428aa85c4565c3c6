//! Measures how long groups were without an acknowledged write, by kind of trouble.

use crate::direct::control::rows::lead_row;
use crate::soak::history::{History, Incident};
use crate::soak::report::{Gap, Split};
use crate::soak::tally::{SETTLE_TIME, histogram};
use crate::standin::direct::journal::{Failover, Ordered, Run};
use crate::standin::direct::said::Said;
use crate::types::GroupId;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Time after a trouble until its gaps are measured.
const MEASURE_DELAY: Duration = Duration::from_secs(25);

/// The kind under which gaps without a trouble are counted.
const CALM: &str = "(calm)";

/// The times of the events of a group.
#[derive(Debug, Default)]
struct Timeline {
    /// Acknowledged writes.
    writes: BTreeSet<Instant>,
    /// Writes of the row that records the group's lead.
    rows: BTreeSet<Instant>,
    /// Promotion orders.
    orders: BTreeSet<Instant>,
    /// Changes of primary.
    takeovers: BTreeSet<Instant>,
}

/// The gaps of one kind of trouble.
#[derive(Debug)]
struct Row {
    alone: Histogram<u64>,
    together: Histogram<u64>,
    parts: [Histogram<u64>; 4],
    /// The longest gap, its group and its begin.
    worst: (Duration, GroupId, Instant),
}

/// Collects the events of all groups and the gaps found in them.
#[derive(Debug)]
pub struct Gaps {
    started: Instant,
    groups: BTreeMap<GroupId, Timeline>,
    rows: BTreeMap<Box<str>, Row>,
    calms: BTreeSet<Instant>,
}

impl Gaps {
    /// Creates one without events or gaps.
    pub fn new(groups: Vec<GroupId>, started: Instant) -> Self {
        let groups = groups.into_iter().map(|group| (group, Timeline::default()));
        Self {
            started,
            groups: groups.collect(),
            rows: BTreeMap::new(),
            calms: BTreeSet::new(),
        }
    }

    /// Records acknowledged writes.
    pub fn record_writes(&mut self, statements: &[Said], runs: &[Run]) {
        let writes = runs.iter().filter(|run| run.commit.is_some());
        let writes: BTreeMap<&str, &Run> = writes.map(|run| (&*run.signature, run)).collect();
        for statement in statements {
            let run = statement.signature().and_then(|s| writes.get(s));
            if let (Some(run), Some(at)) = (run, statement.acknowledged()) {
                self.timeline(&run.group).writes.insert(at);
            }
        }
    }

    /// Records a promotion order.
    pub fn record_order(&mut self, order: &Ordered) {
        self.timeline(&order.group).orders.insert(order.at);
    }

    /// Records a change of primary.
    pub fn record_takeover(&mut self, failover: &Failover) {
        self.timeline(&failover.group).takeovers.insert(failover.at);
    }

    /// Records a write to the store, if `key` is that of a group's lead row.
    pub fn record_row(&mut self, at: Instant, key: &str) {
        for (group, timeline) in &mut self.groups {
            if &*lead_row(group).key == key {
                timeline.rows.insert(at);
            }
        }
    }

    fn timeline(&mut self, group: &GroupId) -> &mut Timeline {
        self.groups.entry(group.clone()).or_default()
    }

    /// Counts the gaps of all troubles and calms that ended long enough ago, or of all when `last` is set.
    pub fn count(&mut self, history: &mut History, settled: Instant, last: bool) {
        let all = history.incidents.clone();
        for incident in &mut history.incidents {
            if incident.counted || !(last || incident.end + MEASURE_DELAY < settled) {
                continue;
            }
            incident.counted = true;
            let alone = !all.iter().any(|other| overlaps(incident, other));
            for group in &incident.groups {
                self.record_gap(
                    &incident.kind,
                    alone,
                    group,
                    incident.begin,
                    incident.end,
                    settled,
                );
            }
        }
        for calm in &history.calms {
            let Some(end) = calm.end.filter(|end| last || *end < settled) else {
                continue;
            };
            let begin = calm.begin + SETTLE_TIME;
            if begin < end && self.calms.insert(calm.begin) {
                let groups: Vec<_> = self.groups.keys().cloned().collect();
                for group in groups {
                    self.record_gap(CALM, true, &group, begin, end, settled);
                }
            }
        }
    }

    /// Counts the longest gap of a group that ends after `begin`.
    fn record_gap(
        &mut self,
        kind: &str,
        alone: bool,
        group: &GroupId,
        begin: Instant,
        end: Instant,
        settled: Instant,
    ) {
        let timeline = self.groups.entry(group.clone()).or_default();
        let Some((from, to)) = timeline.gap(begin, end, kind == CALM, settled) else {
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
        if let Some(parts) = timeline.parts(from, to) {
            for (histogram, part) in row.parts.iter_mut().zip(parts) {
                histogram.saturating_record(part.as_millis() as u64);
            }
        }
    }

    /// Discards events before the given time.
    pub fn forget(&mut self, before: Instant) {
        for timeline in self.groups.values_mut() {
            for moments in [
                &mut timeline.writes,
                &mut timeline.rows,
                &mut timeline.orders,
                &mut timeline.takeovers,
            ] {
                *moments = moments.split_off(&before);
            }
        }
        self.calms = self.calms.split_off(&(before - Duration::from_secs(1)));
    }

    /// Returns the gaps for the report.
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

impl Timeline {
    /// The longest gap between two writes that overlaps an interval. With `within`, for calms, it must also
    /// end in the interval: a gap that goes on after a calm belongs to the trouble that ended the calm.
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

    /// The parts of a gap with a change of primary: until the lead's row was written, until the promotion
    /// was ordered, until it took effect, and until a write was acknowledged.
    fn parts(&self, from: Instant, to: Instant) -> Option<[Duration; 4]> {
        let failover = *self.takeovers.range(from..to).next_back()?;
        let order = *self.orders.range(from..failover).next_back()?;
        let row = *self.rows.range(from..=order).next()?;
        Some([row - from, order - row, failover - order, to - failover])
    }
}

/// Whether another trouble affected one of the same groups at the same time.
fn overlaps(incident: &Incident, other: &Incident) -> bool {
    let is_same = incident.begin == other.begin && incident.kind == other.kind;
    let overlap = other.begin < incident.end && incident.begin < other.end;
    let mut groups = incident.groups.iter();
    !is_same && overlap && groups.any(|group| other.groups.contains(group))
}
