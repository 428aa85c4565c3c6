//! Fair queueing: equal shares of slot time by flow, and the order of ranks within a flow's work.
//!
//! This handles a few callers or organisations that take most of the load, such as a broker's program
//! that fans out or an authority's script in a loop, and urgent work that arrives among other work.
//! Without it each caller waits for the whole queue, which belongs to the caller that sends most: a
//! clerk with one request waits behind a thousand of a script. With ranks in strict order above the
//! shares, a script that sends confirmations stops all reads of the other callers: measured, a quiet
//! caller's aged reads took 37 times as long beside it.
//!
//! This is start-time fair queueing: each flow (a caller, or an organisation) has a tag, the slot time
//! that it was given, and the flow with the lowest tag goes next. Shares are by time, not by count, as a
//! flow with slow statements takes more of the slots than its count shows. A flow that returns from
//! idleness starts at the current virtual time, so it can't save up a share and then take all slots.
//! Urgency is a head start: less urgent work is ordered as if its flow had been given a little more
//! time. So an urgent request passes those that came shortly before it, but a flood of urgent ones does
//! not pass work that has waited for long. A choice costs O(log flows).
//!
//! Within one flow, work that has no latest start runs by rank, most urgent first, except for the starts
//! guaranteed to the other ranks. Work that has one runs in order of that, with the same head start.

use crate::clock::{Span, Time};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The number of ranks that are distinguished.
pub const RANKS: usize = 4;

/// By rank, most urgent first: while work of the rank waits, it gets at least one of this many
/// starts of its flow. Session reads have a user waiting at a screen; aged reads were promised
/// only an age. The guaranteed shares add up to 7/16, so the most urgent work always keeps more than
/// half.
const GUARANTEED_ONE_IN: [u32; RANKS] = [1, 4, 8, 16];

/// The head start of a rank over the next less urgent one, in statements of the latter. Each
/// active flow can pass with that many, so it has to stay small; two are what a caller with a
/// page to fill has in its queue.
const HEAD_START_STATEMENTS: u64 = 2;

/// Maximum number of flows kept while they have no work waiting. An evicted flow starts at the
/// current virtual time again, which at most returns the share that it had used up.
const MAX_IDLE: usize = 4_096;

/// Maximum number of flows that are looked at to estimate how much work is served before a request. With
/// more flows than this the wait of each is long enough that the rest counts as one request each.
const MAX_COUNTED: usize = 128;

/// The number of classes of flows by their waiting requests: class `n` has from `2^n` to `2^(n+1) - 1`.
const DEPTHS: usize = 24;

/// The rank of work in a fair queue.
pub trait Level: Copy {
    /// All ranks, most urgent first.
    const ALL: [Self; RANKS];

    /// The position of the rank in [`Level::ALL`].
    fn index(self) -> usize;
}

/// The mean slot time of work by rank.
pub trait Costs<R> {
    /// The mean slot time of work of `rank`.
    fn mean(&self, rank: R) -> Span;
}

/// The same mean time for all ranks.
impl<R> Costs<R> for Span {
    fn mean(&self, _rank: R) -> Span {
        *self
    }
}

/// Work in a fair queue.
pub trait Entry: Copy + PartialEq {
    /// Its latest start, if work of one flow is ordered by that.
    fn start_by(&self) -> Option<Time> {
        None
    }
}

/// A flow's sort key: the slot time that it was given, in microseconds, plus the head start of
/// more urgent ranks; ties are broken by insertion order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct Key {
    at: u64,
    order: u64,
}

/// A flow's waiting work, and the slot time that it was given.
#[derive(Debug, Clone, Serialize)]
struct Lane<E> {
    queues: [VecDeque<E>; RANKS],
    passed: [u32; RANKS],
    waiting: usize,
    given: u64,
    key: Key,
}

impl<E: Entry> Lane<E> {
    fn new(given: u64) -> Self {
        Self {
            queues: Default::default(),
            passed: [0; RANKS],
            waiting: 0,
            given,
            key: Key {
                at: given,
                order: 0,
            },
        }
    }

    /// The rank to serve next.
    fn choose<R: Level>(&self, costs: &impl Costs<R>) -> Option<R> {
        let waits = |rank: &R| !self.queues[rank.index()].is_empty();
        let mut waiting = R::ALL.into_iter().filter(waits);
        let first = waiting.next()?;
        if self.queues[first.index()].front()?.start_by().is_some() {
            return self.choose_by_time([0; RANKS], costs);
        }
        // The most urgent one that has been passed over up to its guarantee, or else the most urgent one.
        waiting
            .find(|rank| self.passed[rank.index()] + 1 >= GUARANTEED_ONE_IN[rank.index()])
            .or(Some(first))
    }

    /// The rank with the earliest latest start, after the first `skipped` entries of each rank.
    fn choose_by_time<R: Level>(
        &self,
        skipped: [usize; RANKS],
        costs: &impl Costs<R>,
    ) -> Option<R> {
        let place = |rank: &R| {
            let entry = self.queues[rank.index()].get(skipped[rank.index()])?;
            Some(place(entry, *rank, costs))
        };
        let waiting = R::ALL.into_iter();
        let placed = waiting.filter_map(|rank| Some((place(&rank)?, rank)));
        placed.min_by_key(|(place, _)| *place).map(|(_, rank)| rank)
    }

    /// Puts work behind that of its rank which has to start as early; returns its index.
    fn insert(&mut self, index: usize, entry: E) -> usize {
        let queue = &mut self.queues[index];
        let at = match entry.start_by() {
            None => queue.len(),
            by => queue.partition_point(|other| other.start_by() <= by),
        };
        queue.insert(at, entry);
        self.waiting += 1;
        at
    }

    /// Whether work of another rank waits.
    fn has_other(&self, rank: impl Level) -> bool {
        self.queues[rank.index()].len() < self.waiting
    }

    fn pop<R: Level>(&mut self, rank: R) -> Option<E> {
        for (index, passed) in self.passed.iter_mut().enumerate() {
            if index == rank.index() || self.queues[index].is_empty() {
                *passed = 0;
            } else {
                *passed += 1;
            }
        }
        self.waiting -= 1;
        self.queues[rank.index()].pop_front()
    }

    /// The number of waiting requests that are served before one with this latest start.
    fn before<R: Level>(&self, rank: R, by: Time, costs: &impl Costs<R>) -> usize {
        let own = by + Span(head_start_over(rank, costs));
        let count = |other: R| {
            self.queues[other.index()].partition_point(|entry| place(entry, other, costs) <= own)
        };
        R::ALL.into_iter().map(count).sum()
    }
}

/// The position of work in its flow: its latest start, later by the head start of more urgent ranks.
fn place<R: Level>(entry: &impl Entry, rank: R, costs: &impl Costs<R>) -> Time {
    entry.start_by().unwrap_or_default() + Span(head_start_over(rank, costs))
}

/// How many flows have how many requests waiting, for estimates that don't look at each flow.
#[derive(Debug, Clone, Default)]
struct Depths([usize; DEPTHS]);

impl Depths {
    fn class(waiting: usize) -> Option<usize> {
        let class = waiting.checked_ilog2()?;
        Some((class as usize).min(DEPTHS - 1))
    }

    fn change(&mut self, from: usize, to: usize) {
        let (from, to) = (Self::class(from), Self::class(to));
        if from == to {
            return;
        }
        if let Some(from) = from {
            self.0[from] -= 1;
        }
        if let Some(to) = to {
            self.0[to] += 1;
        }
    }

    /// The requests that are served if each flow but one that has `except` is given at most `turns`. Of the
    /// requests that a flow has waiting, `size` says how many are counted for its class.
    fn served(&self, turns: usize, except: usize, size: impl Fn(usize) -> usize) -> usize {
        let except = Self::class(except);
        let flows = self.0.iter().enumerate();
        let served = flows.map(|(class, flows)| {
            let flows = flows - usize::from(except == Some(class));
            flows.saturating_mul(turns.min(size(class)))
        });
        served.sum()
    }

    fn at_most(&self, turns: usize, except: usize) -> usize {
        self.served(turns, except, |class| (2 << class) - 1)
    }

    fn at_least(&self, turns: usize, except: usize) -> usize {
        self.served(turns, except, |class| 1 << class)
    }
}

/// The waiting work of all flows `F`.
#[derive(Debug, Clone, Serialize)]
pub struct Fair<F: Ord, E> {
    lanes: BTreeMap<F, Lane<E>>,
    active: BTreeSet<(Key, F)>,
    idle: BTreeSet<(Key, F)>,
    clock: u64,
    order: u64,
    waiting: usize,
    #[serde(skip)]
    depths: Depths,
}

/// Work taken from the queue, and the time that its flow was charged for it.
#[derive(Debug, Clone, Copy)]
pub struct Taken<E> {
    /// The work.
    pub entry: E,
    /// The time charged.
    pub paid: Span,
}

impl<F: Ord, E> Default for Fair<F, E> {
    fn default() -> Self {
        Self {
            lanes: BTreeMap::new(),
            active: BTreeSet::new(),
            idle: BTreeSet::new(),
            clock: 0,
            order: 0,
            waiting: 0,
            depths: Depths::default(),
        }
    }
}

impl<F: Ord + Clone, E: Entry> Fair<F, E> {
    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// The number of requests served before the next one of `flow` in `rank`, by fair shares.
    pub fn ahead<R: Level>(&self, rank: R, flow: &F) -> usize {
        let Some(lane) = self.lanes.get(flow) else {
            return self.ahead_of_newcomer(rank);
        };
        let urgent = &lane.queues[..=rank.index()];
        let own: usize = urgent.iter().map(VecDeque::len).sum();
        let others = self.active.len() - usize::from(lane.waiting > 0);
        let max_others = self.waiting - lane.waiting;
        own + (others * (own + statements_passing(rank))).min(max_others)
    }

    /// The number of requests served before one of a flow that has none waiting.
    pub fn ahead_of_newcomer<R: Level>(&self, rank: R) -> usize {
        (self.active.len() * statements_passing(rank)).min(self.waiting)
    }

    /// The number of requests served before one of `flow` that has to start by `by`; without a flow, of
    /// one that has had nothing.
    ///
    /// Counts what each other flow is given until the request's turn, so that urgent work is not refused
    /// for the sake of less urgent work that it passes.
    pub fn ahead_in_time<R: Level>(
        &self,
        rank: R,
        flow: Option<&F>,
        by: Time,
        costs: &impl Costs<R>,
    ) -> usize {
        let lane = flow.and_then(|flow| self.lanes.get(flow));
        let own = lane.map_or(0, |lane| lane.before(rank, by, costs));
        let own_waiting = lane.map_or(0, |lane| lane.waiting);
        let mean = costs.mean(rank).0.max(1);
        let given = lane.map_or(0, |lane| lane.given).max(self.clock);
        let turn = given
            .saturating_add(mean.saturating_mul(own as u64))
            .saturating_add(head_start_over(rank, costs));
        let turns_of = |key: &Key| 1 + ((turn - key.at) / mean) as usize;
        let mut counted = 0;
        let mut others = 0;
        for (key, other) in self.active.iter().take(MAX_COUNTED) {
            if key.at > turn {
                break;
            }
            counted += 1;
            if Some(other) != flow {
                others += turns_of(key);
            }
        }
        if counted == MAX_COUNTED {
            others += self.active.len() - counted;
        }
        let first = self.active.first().filter(|(key, _)| key.at <= turn);
        let most_turns = first.map_or(0, |(key, _)| turns_of(key));
        let at_most = self.depths.at_most(most_turns, own_waiting);
        own + others.min(at_most).min(self.waiting - own_waiting)
    }

    /// The work of `flow` that is known to start too late, among the first `count` in its order: even if
    /// each other flow is given one turn less than this one until then. `wait` is the wait behind so many
    /// requests.
    pub fn too_late<R: Level>(
        &self,
        flow: &F,
        count: usize,
        now: Time,
        costs: &impl Costs<R>,
        wait: impl Fn(usize) -> Span,
    ) -> Vec<E> {
        let mut late = Vec::new();
        let Some(lane) = self.lanes.get(flow) else {
            return late;
        };
        let mut seen = [0; RANKS];
        let mut before = 0_usize;
        for _ in 0..count.min(lane.waiting) {
            let Some(rank) = lane.choose_by_time(seen, costs) else {
                return late;
            };
            let entry = lane.queues[rank.index()][seen[rank.index()]];
            seen[rank.index()] += 1;
            let others = self.depths.at_least(before.saturating_sub(1), lane.waiting);
            if entry
                .start_by()
                .is_some_and(|by| now + wait(before + others) > by)
            {
                late.push(entry);
            } else {
                before += 1;
            }
        }
        late
    }

    /// Adds a request to its flow's queue; returns whether it passes other work of the flow.
    pub fn push<R: Level>(&mut self, rank: R, flow: &F, entry: E, costs: &impl Costs<R>) -> bool {
        self.waiting += 1;
        let clock = self.clock;
        let lane = match self.lanes.get_mut(flow) {
            Some(lane) => lane,
            None => self
                .lanes
                .entry(flow.clone())
                .or_insert_with(|| Lane::new(clock)),
        };
        let at = lane.insert(rank.index(), entry);
        if lane.waiting == 1 {
            lane.given = lane.given.max(clock);
        }
        let passes = at + 1 < lane.queues[rank.index()].len() || lane.has_other(rank);
        self.depths.change(lane.waiting - 1, lane.waiting);
        if at == 0 {
            self.reposition(flow, costs);
        }
        passes
    }

    /// Takes the next request, and charges its flow the mean time of its rank.
    pub fn pop<R: Level>(&mut self, costs: &impl Costs<R>) -> Option<Taken<E>> {
        let (_, flow) = self.active.first()?.clone();
        let lane = self.lanes.get_mut(&flow)?;
        let rank = lane.choose(costs)?;
        let entry = lane.pop(rank)?;
        let paid = costs.mean(rank);
        self.waiting -= 1;
        self.depths.change(lane.waiting + 1, lane.waiting);
        self.clock = self.clock.max(lane.given);
        lane.given = lane.given.saturating_add(paid.0);
        self.reposition(&flow, costs);
        Some(Taken { entry, paid })
    }

    /// Removes one request of `flow`.
    pub fn remove<R: Level>(&mut self, rank: R, flow: &F, entry: E, costs: &impl Costs<R>) {
        let Some(lane) = self.lanes.get_mut(flow) else {
            return;
        };
        let queue = &mut lane.queues[rank.index()];
        let Some(index) = queue.iter().position(|&waiting| waiting == entry) else {
            return;
        };
        queue.remove(index);
        lane.waiting -= 1;
        self.waiting -= 1;
        self.depths.change(lane.waiting + 1, lane.waiting);
        self.reposition(flow, costs);
    }

    /// Corrects the charge of `flow` from the expected time `paid` to the actual time `took`.
    pub fn charge<R: Level>(&mut self, flow: &F, took: Span, paid: Span, costs: &impl Costs<R>) {
        if !self.lanes.contains_key(flow) {
            if took <= paid {
                return;
            }
            self.lanes.insert(flow.clone(), Lane::new(self.clock));
        }
        if let Some(lane) = self.lanes.get_mut(flow) {
            lane.given = lane.given.saturating_add(took.0).saturating_sub(paid.0);
        }
        self.reposition(flow, costs);
    }

    /// Updates a flow's position after its requests or its time have changed.
    fn reposition<R: Level>(&mut self, flow: &F, costs: &impl Costs<R>) {
        let Some(lane) = self.lanes.get_mut(flow) else {
            return;
        };
        let mut entry = (lane.key, flow.clone());
        if !self.active.remove(&entry) {
            self.idle.remove(&entry);
        }
        self.order += 1;
        let rank = lane.choose(costs);
        lane.key = Key {
            at: lane.given + rank.map_or(0, |rank| head_start_over(rank, costs)),
            order: self.order,
        };
        entry.0 = lane.key;
        if rank.is_some() {
            self.active.insert(entry);
        } else {
            self.idle.insert(entry);
            self.evict_idle();
        }
    }

    /// Evicts idle flows that have used no more than their share, and, above the maximum, the
    /// least charged ones.
    fn evict_idle(&mut self) {
        while let Some((key, _)) = self.idle.first() {
            if key.at > self.clock && self.idle.len() <= MAX_IDLE {
                return;
            }
            if let Some((_, flow)) = self.idle.pop_first() {
                self.lanes.remove(&flow);
            }
        }
    }
}

/// The number of statements by which another flow can pass the first request of a flow in
/// `rank`.
fn statements_passing(rank: impl Level) -> usize {
    1 + HEAD_START_STATEMENTS as usize * rank.index()
}

/// The head start of the most urgent rank over `rank`, in microseconds.
fn head_start_over<R: Level>(rank: R, costs: &impl Costs<R>) -> u64 {
    HEAD_START_STATEMENTS * rank.index() as u64 * costs.mean(rank).0
}
