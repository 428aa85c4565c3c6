//! What callers got in a run.

use crate::admission::Rank;
use crate::clock::{Span, Time};
use crate::experiment::engine::WARM_UP_END;
use crate::experiment::overload::load::{Arrival, Organisation, Plan, RANKS};
use crate::experiment::pattern::seconds;
use crate::experiment::stats::{Stats, histogram};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

/// The span in which the bound of an allowance is checked.
const BOUND_SPAN: Span = Span::from_secs(5);

/// The span in which the worst moment of a row is looked for.
const WINDOW: Span = Span::from_secs(1);

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Answered within its objective.
    InTime,
    /// Answered after its objective.
    Late,
    /// Refused on its last try.
    Refused,
    /// Its caller has left before.
    Left,
}

/// A refused try, as its caller sees it.
#[derive(Debug, Clone, Copy)]
pub struct Refused {
    /// How long the refusal took.
    pub took: Span,
    /// The time to retry that it named.
    pub named: Span,
    /// Whether the caller had returned at the time that an earlier refusal named.
    pub returned: bool,
    /// Whether the request's database had a free slot.
    pub free: bool,
}

/// Requests sent within one window, and those of them that were served in time.
#[derive(Debug, Default, Clone, Copy)]
pub struct Window {
    /// Requests sent, without those whose callers left.
    pub offered: u32,
    /// Requests served in time.
    pub in_time: u32,
}

/// Counts of one row: a group of callers and a rank.
#[derive(Debug)]
pub struct Count {
    /// Requests by how they ended.
    pub in_time: u64,
    /// Requests answered after their objective.
    pub late: u64,
    /// Requests refused on their last try.
    pub refused: u64,
    /// Requests whose callers left.
    pub left: u64,
    /// Time from sending a try to its answer without the statement's own time, in microseconds.
    pub wait: Histogram<u64>,
    /// How long refusals took, in microseconds.
    pub refusal: Histogram<u64>,
    /// The times to retry that they named, in microseconds.
    pub named: Histogram<u64>,
    /// Tries by callers that returned at the time that a refusal named.
    pub returned: u64,
    /// Those of them that were refused again.
    pub refused_again: u64,
    /// Refused tries of operations within the allowance, while their databases had free slots.
    pub refused_within: u64,
    /// The longest time in which an organisation's operations were refused in this way and none was served.
    pub longest_refusal: Span,
    /// By time of sending.
    pub windows: BTreeMap<u64, Window>,
}

impl Count {
    fn new() -> Option<Self> {
        Some(Self {
            in_time: 0,
            late: 0,
            refused: 0,
            left: 0,
            wait: histogram().ok()?,
            refusal: histogram().ok()?,
            named: histogram().ok()?,
            returned: 0,
            refused_again: 0,
            refused_within: 0,
            longest_refusal: Span::ZERO,
            windows: BTreeMap::new(),
        })
    }

    /// Requests whose callers did not leave.
    pub fn stayed(&self) -> u64 {
        self.in_time + self.late + self.refused
    }
}

/// A token bucket of a whole allowance, against which offered operations are checked.
#[derive(Debug, Clone, Copy, Default)]
struct Level {
    tokens: f64,
    updated: Time,
}

impl Level {
    /// Takes a token for an offered operation, if there is one. A more urgent operation also takes what is left
    /// of one, so that none is left to less urgent ranks where more urgent ones offer the whole allowance.
    fn take(&mut self, organisation: &Organisation, more_urgent: bool, now: Time) -> bool {
        let allowance = organisation.allowance;
        let accrued = allowance.rate.0 as f64 / 1e3 * seconds(now.since(self.updated));
        self.tokens = (self.tokens + accrued).min(f64::from(allowance.burst));
        self.updated = now;
        let taken = self.tokens >= 1.0;
        if taken || more_urgent {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
        taken
    }
}

/// Counts of one run. Only requests sent between the warm-up and the end are counted.
#[derive(Debug)]
pub struct Record {
    ends: Time,
    organisations: Vec<Organisation>,
    /// By group of callers and rank.
    pub rows: BTreeMap<(&'static str, Rank), Count>,
    /// By organisation.
    pub shares: Stats,
    /// Statements run for callers that had left.
    pub in_vain: u64,
    /// By organisation and rank: the allowance less what was offered in this rank and more urgent ones.
    levels: Vec<[Level; RANKS]>,
    refused_since: BTreeMap<(usize, Rank), Time>,
    /// By organisation, when each operation was let through.
    spent: Vec<Vec<Time>>,
}

impl Record {
    /// No counts yet.
    pub fn new(plan: &Plan) -> Self {
        let organisations = plan.organisations.clone();
        Self {
            ends: plan.ends,
            rows: BTreeMap::new(),
            shares: Stats::default(),
            in_vain: 0,
            levels: vec![Default::default(); organisations.len()],
            refused_since: BTreeMap::new(),
            spent: vec![Vec::new(); organisations.len()],
            organisations,
        }
    }

    /// Records that a request is sent for the first time; returns whether it is within the allowance. It is if
    /// the allowance suffices for all that its organisation offered in this rank and more urgent ones.
    pub fn sent(&mut self, arrival: &Arrival, now: Time) -> bool {
        let index = arrival.organisation;
        let own = usize::from(arrival.rank.0);
        let mut within = false;
        for rank in own..RANKS {
            let taken = self.levels[index][rank].take(&self.organisations[index], rank > own, now);
            within |= rank == own && taken;
        }
        within
    }

    /// Records that an operation of an organisation was let through by its allowance.
    pub fn spent(&mut self, organisation: usize, now: Time) {
        self.spent[organisation].push(now);
    }

    /// Records a refused try of a request that is or is not `within` the allowance.
    pub fn refused(&mut self, arrival: &Arrival, refused: Refused, within: bool, now: Time) {
        if !self.counts(arrival) {
            return;
        }
        let lasted = (within && refused.free).then(|| {
            let key = (arrival.organisation, arrival.rank);
            let since = *self.refused_since.entry(key).or_insert(now);
            now.since(since)
        });
        if let Some(count) = self.count(arrival) {
            if let Some(lasted) = lasted {
                count.refused_within += 1;
                count.longest_refusal = count.longest_refusal.max(lasted);
            }
            count.refusal.saturating_record(refused.took.0);
            count.named.saturating_record(refused.named.0);
            count.refused_again += u64::from(refused.returned);
        }
    }

    /// Records that a caller returned at the time that a refusal named.
    pub fn returned(&mut self, arrival: &Arrival) {
        if self.counts(arrival)
            && let Some(count) = self.count(arrival)
        {
            count.returned += 1;
        }
    }

    /// Records that a try was answered after this wait.
    pub fn answered(&mut self, arrival: &Arrival, wait: Span) {
        let key = (arrival.organisation, arrival.rank);
        self.refused_since.remove(&key);
        if self.counts(arrival)
            && let Some(count) = self.count(arrival)
        {
            count.wait.saturating_record(wait.0);
        }
    }

    /// Records how a request ended.
    pub fn ended(&mut self, arrival: &Arrival, end: End) {
        if !self.counts(arrival) {
            return;
        }
        let in_time = end == End::InTime;
        if end != End::Left {
            let name = self.organisations[arrival.organisation].name.clone();
            let share = self.shares.callers.entry(name).or_default();
            share.offered += 1;
            share.done += u64::from(in_time);
        }
        let Some(count) = self.count(arrival) else {
            return;
        };
        match end {
            End::InTime => count.in_time += 1,
            End::Late => count.late += 1,
            End::Refused => count.refused += 1,
            End::Left => {
                count.left += 1;
                return;
            }
        }
        let index = arrival.sent_at.since(WARM_UP_END).0 / WINDOW.0;
        let window = count.windows.entry(index).or_default();
        window.offered += 1;
        window.in_time += u32::from(in_time);
    }

    fn counts(&self, arrival: &Arrival) -> bool {
        WARM_UP_END <= arrival.sent_at && arrival.sent_at < self.ends
    }

    fn count(&mut self, arrival: &Arrival) -> Option<&mut Count> {
        let callers = self.organisations[arrival.organisation].callers;
        match self.rows.entry((callers, arrival.rank)) {
            Entry::Occupied(entry) => Some(entry.into_mut()),
            Entry::Vacant(entry) => Some(entry.insert(Count::new()?)),
        }
    }

    /// The most operations of an organisation in any span of five seconds, as a multiple of what its allowance
    /// permits in it.
    pub fn bound(&self) -> f64 {
        let ratios = self.spent.iter().zip(&self.organisations);
        let ratios = ratios.map(|(spent, organisation)| {
            let allowance = organisation.allowance;
            let permitted = allowance.rate.0 as f64 / 1e3 * seconds(BOUND_SPAN);
            most_within(spent) as f64 / (permitted + f64::from(allowance.burst))
        });
        ratios.fold(0.0, f64::max)
    }
}

/// The most of these times that are within one [`BOUND_SPAN`].
fn most_within(times: &[Time]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, time) in times.iter().enumerate() {
        while time.since(times[first]) > BOUND_SPAN {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}
