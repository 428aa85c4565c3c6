//! The queue in front of one database: what runs next, what may wait, and what is refused at once.
//!
//! This handles bursts, slow databases, callers that leave, and one organisation that sends most of the
//! load. Without it statements wait inside the database, first come, first served: a flood by one
//! organisation delays all others, and statements are run whose answers are of no more use.
//!
//! The order is fair by flow and slot time ([`super::fair`]), with rank as a head start. Statements of open
//! transactions go first, since each holds a connection and perhaps locks while it waits. Within one flow,
//! work runs in order of its latest start. Work is refused when it is offered if its estimated wait exceeds
//! its latest start, and later as soon as work that goes before it makes it late.
//!
//! In [`Order::Priority`] the order is by rank and then by arrival, without regard to flows, and work that
//! waits stays until its latest start. That is the rule where a configuration has neither organisations nor
//! routes of different priorities.

use crate::admission::Rank;
use crate::admission::fair::{self, Fair, RANKS, Taken};
use crate::clock::{Span, Time};
use crate::core::gate::admit;
use crate::types::RequestId;
use std::collections::{BTreeMap, BTreeSet};

/// The assumed time of a statement before the first answer: that of a usual short statement.
const INITIAL_TIME: Span = Span::from_millis(15);

/// A new sample has the weight `1 / AVERAGE_WEIGHT` in the average time: a database that became slow is
/// detected after about ten answers.
const AVERAGE_WEIGHT: u64 = 8;

/// The most work that waits in one queue, whatever its latest start: 30 MB at about 240 bytes each.
pub const MAX_WAITING: usize = 1 << 17;

/// How much of a flow's work is checked when a statement of that flow starts. Work behind that is checked
/// when it has moved up.
const CHECKED: usize = 32;

/// Work that asks to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work<F> {
    /// Its number, which no other work of this queue has.
    pub id: u64,
    /// Whose work it is: an organisation, or a caller.
    pub flow: F,
    /// Its rank.
    pub rank: Rank,
    /// Whether it is the next statement of an open transaction.
    pub open: bool,
    /// Its latest start if it has to wait.
    pub until: Time,
}

/// What happens to work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It runs now.
    Start(u64),
    /// It does not run; it may be tried again after this time.
    Refuse(u64, Span),
}

impl Step {
    /// The work's number.
    pub fn id(self) -> u64 {
        match self {
            Step::Start(id) | Step::Refuse(id, _) => id,
        }
    }
}

/// How much work a database has at one VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Running statements.
    pub running: u32,
    /// Waiting statements.
    pub waiting: u32,
}

/// The order in which work runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Fair by flow, with rank as a head start.
    Fair,
    /// By rank and then by arrival, whoever sends it.
    Priority,
}

/// The position of the rank among those that [`Fair`] distinguishes; the least urgent ones count as one.
impl fair::Level for Rank {
    const ALL: [Rank; RANKS] = [Rank(0), Rank(1), Rank(2), Rank(3)];

    fn index(self) -> usize {
        usize::from(self.0).min(RANKS - 1)
    }
}

/// Work in the fair queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Entry {
    until: Time,
    id: u64,
}

impl fair::Entry for Entry {
    fn start_by(&self) -> Option<Time> {
        Some(self.until)
    }
}

/// Work that waits.
#[derive(Debug, Clone)]
struct Waiting<F> {
    work: Work<F>,
    arrived: Time,
    order: u64,
}

/// Work that runs.
#[derive(Debug, Clone)]
struct Running<F> {
    flow: F,
    started: Time,
    /// The time that its flow was charged at its start, if it was.
    paid: Option<Span>,
}

/// The position of work in [`Order::Priority`], and of open transactions in both orders.
type Position = (bool, Rank, u64);

/// The queue in front of one database.
#[derive(Debug, Clone)]
pub struct Queue<F: Ord> {
    order: Order,
    limit: f64,
    typical: Span,
    /// Whether only [`Queue::answered`] tells the times of statements.
    is_told: bool,
    sequence: u64,
    waiting: BTreeMap<u64, Waiting<F>>,
    running: BTreeMap<u64, Running<F>>,
    /// All waiting work in [`Order::Priority`], and that of open transactions in [`Order::Fair`].
    line: BTreeMap<Position, u64>,
    fair: Fair<F, Entry>,
    expiry: BTreeSet<(Time, u64)>,
}

impl<F: Ord + Clone> Queue<F> {
    /// An empty queue before a database that runs `slots` statements at once.
    pub fn new(slots: u32) -> Self {
        Self::ordered(slots, Order::Fair)
    }

    /// An empty queue with this order.
    pub fn ordered(slots: u32, order: Order) -> Self {
        Self {
            order,
            limit: f64::from(slots),
            typical: INITIAL_TIME,
            is_told: false,
            sequence: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            line: BTreeMap::new(),
            fair: Fair::default(),
            expiry: BTreeSet::new(),
        }
    }

    /// The same queue, in which only [`Queue::answered`] tells the times of statements.
    pub fn with_told_times(mut self) -> Self {
        self.is_told = true;
        self
    }

    /// Changes the order; waiting work keeps its order of arrival where the new one has no other.
    pub fn set_order(&mut self, order: Order, now: Time) -> Vec<Step> {
        if self.order == order {
            return Vec::new();
        }
        self.order = order;
        self.line.clear();
        self.fair = Fair::default();
        let mut waiting: Vec<(u64, u64)> = self
            .waiting
            .values()
            .map(|one| (one.order, one.work.id))
            .collect();
        waiting.sort_unstable();
        for (_, id) in waiting {
            self.place(id);
        }
        self.advance(now)
    }

    /// The order.
    pub fn order(&self) -> Order {
        self.order
    }

    /// Whether work is ordered fairly by flow.
    pub fn is_fair(&self) -> bool {
        self.order == Order::Fair
    }

    /// Starts work, queues it or refuses it. Work that need not wait starts whatever its latest start.
    pub fn offer(&mut self, work: Work<F>, now: Time) -> Vec<Step> {
        let id = work.id;
        let mut steps = Vec::new();
        if self.is_fair() {
            self.expire(now, &mut steps);
        }
        if !(self.waiting.is_empty() && self.has_room()) {
            let wait = self.wait_of(&work);
            if wait > work.until.since(now) || self.waiting.len() >= MAX_WAITING {
                steps.push(Step::Refuse(id, self.retry(id, wait)));
                return steps;
            }
        } else if !self.is_fair() {
            self.run(id, work.flow, None, now);
            return vec![Step::Start(id)];
        }
        self.sequence += 1;
        let flow = work.flow.clone();
        let waiting = Waiting {
            work,
            arrived: now,
            order: self.sequence,
        };
        self.expiry.insert((waiting.work.until, id));
        self.waiting.insert(id, waiting);
        let passes = self.place(id);
        if self.is_fair() {
            self.start_next(now, &mut steps);
        }
        if passes {
            self.refuse_late(&flow, now, &mut steps);
        }
        steps
    }

    /// Ends work that was running.
    pub fn finish(&mut self, id: u64, now: Time) -> Vec<Step> {
        let Some(ended) = self.running.remove(&id) else {
            return Vec::new();
        };
        let took = now.since(ended.started);
        if !self.is_told {
            self.average(took);
        }
        if let Some(paid) = ended.paid
            && self.is_fair()
        {
            self.fair
                .charge::<Rank>(&ended.flow, took, paid, &self.typical);
        }
        let mut steps = Vec::new();
        if self.is_fair() {
            self.expire(now, &mut steps);
        }
        self.start_next(now, &mut steps);
        steps
    }

    /// Removes work whose caller has left; if it runs, its slot is in use until [`Queue::finish`].
    pub fn remove(&mut self, id: u64, now: Time) -> Vec<Step> {
        if self.take_out(id).is_none() || !self.is_fair() {
            return Vec::new();
        }
        self.advance(now)
    }

    /// Refuses work whose latest start has passed, if it still waits.
    pub fn lapse(&mut self, id: u64, now: Time) -> Vec<Step> {
        let mut steps = Vec::new();
        self.refuse(id, &mut steps);
        if self.is_fair() {
            steps.extend(self.advance(now));
        }
        steps
    }

    /// Refuses work that can no longer start in time, and starts what may run.
    pub fn advance(&mut self, now: Time) -> Vec<Step> {
        let mut steps = Vec::new();
        self.expire(now, &mut steps);
        if self.is_fair() {
            self.start_next(now, &mut steps);
        }
        steps
    }

    /// Sets how many statements may run at once.
    pub fn set_limit(&mut self, limit: u32, now: Time) -> Vec<Step> {
        self.adjust(f64::from(limit), now)
    }

    /// Sets how many statements may run at once, rounded; estimates of waits use the fraction.
    ///
    /// In [`Order::Priority`] work that waits starts with the next end of a statement.
    pub fn adjust(&mut self, limit: f64, now: Time) -> Vec<Step> {
        self.limit = limit;
        match self.is_fair() {
            true => self.advance(now),
            false => Vec::new(),
        }
    }

    /// Records that a statement was answered after `took`. Unless [`Queue::with_told_times`] is used, the
    /// time between the start and the end of work counts too.
    pub fn answered(&mut self, took: Span) {
        self.average(took);
    }

    /// The moving average of recent statement times.
    pub fn typical(&self) -> Span {
        self.typical
    }

    /// How much work there is.
    pub fn load(&self) -> Load {
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        Load {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
        }
    }

    /// When the work arrived that has waited longest.
    pub fn oldest(&self) -> Option<Time> {
        self.waiting.values().map(|one| one.arrived).min()
    }

    /// When to call [`Queue::advance`] next.
    pub fn wake(&self) -> Option<Time> {
        self.expiry.first().map(|(until, _)| *until)
    }

    /// Whether work waits.
    pub fn contains(&self, id: u64) -> bool {
        self.waiting.contains_key(&id)
    }

    /// The estimated wait of new work of this rank; without a flow, of one that has nothing waiting.
    pub fn wait(&self, flow: Option<&F>, rank: Rank, open: bool) -> Span {
        if self.waiting.is_empty() && self.has_room() {
            return Span::ZERO;
        }
        let far = Time(u64::MAX);
        self.wait_behind(self.ahead(flow, rank, open, far))
    }

    fn wait_of(&self, work: &Work<F>) -> Span {
        self.wait_behind(self.ahead(Some(&work.flow), work.rank, work.open, work.until))
    }

    /// The number of waiting requests that start before one.
    fn ahead(&self, flow: Option<&F>, rank: Rank, open: bool, until: Time) -> usize {
        match self.order {
            Order::Priority => self.line.range(..=(!open, rank, u64::MAX)).count(),
            Order::Fair if open => self.line.len(),
            Order::Fair => {
                let fair = self.fair.ahead_in_time(rank, flow, until, &self.typical);
                self.line.len() + fair
            }
        }
    }

    /// The estimated wait behind `ahead` requests: one more statement has to end, since all slots are taken.
    fn wait_behind(&self, ahead: usize) -> Span {
        let before = ahead as f64 + 1.0;
        Span((self.typical.0 as f64 * before / self.limit.max(1.0)) as u64)
    }

    /// The time to retry of work that would wait for `wait`, spread so that the callers that were refused in
    /// a burst don't come back as the next one.
    fn retry(&self, id: u64, wait: Span) -> Span {
        match self.order {
            Order::Fair => admit::retry_after(wait, RequestId(id)),
            Order::Priority => self
                .wait(None, Rank(u8::MAX), false)
                .max(admit::MIN_RETRY_DELAY),
        }
    }

    fn has_room(&self) -> bool {
        self.running.len() as f64 + 1.0 <= self.limit.max(1.0).round()
    }

    fn average(&mut self, took: Span) {
        self.typical = Span((self.typical.0 * (AVERAGE_WEIGHT - 1) + took.0) / AVERAGE_WEIGHT);
    }

    /// Puts waiting work into the order; returns whether it passes other work of its flow.
    fn place(&mut self, id: u64) -> bool {
        let Some(Waiting { work, order, .. }) = self.waiting.get(&id) else {
            return false;
        };
        if self.order == Order::Priority || work.open {
            self.line.insert((!work.open, work.rank, *order), id);
            return false;
        }
        let entry = Entry {
            until: work.until,
            id,
        };
        self.fair.push(work.rank, &work.flow, entry, &self.typical)
    }

    /// Removes waiting work from everything but the order.
    fn forget(&mut self, id: u64) -> Option<Waiting<F>> {
        let waiting = self.waiting.remove(&id)?;
        self.expiry.remove(&(waiting.work.until, id));
        Some(waiting)
    }

    fn take_out(&mut self, id: u64) -> Option<Work<F>> {
        let Waiting { work, order, .. } = self.forget(id)?;
        if self.order == Order::Priority || work.open {
            self.line.remove(&(!work.open, work.rank, order));
            return Some(work);
        }
        let entry = Entry {
            until: work.until,
            id,
        };
        self.fair
            .remove(work.rank, &work.flow, entry, &self.typical);
        Some(work)
    }

    fn refuse(&mut self, id: u64, steps: &mut Vec<Step>) {
        if let Some(work) = self.take_out(id) {
            let wait = self.wait(Some(&work.flow), work.rank, work.open);
            steps.push(Step::Refuse(id, self.retry(id, wait)));
        }
    }

    fn expire(&mut self, now: Time, steps: &mut Vec<Step>) {
        while let Some(&(until, id)) = self.expiry.first() {
            if until > now {
                return;
            }
            self.refuse(id, steps);
        }
    }

    /// Refuses work of a flow that would start too late, among what starts next.
    fn refuse_late(&mut self, flow: &F, now: Time, steps: &mut Vec<Step>) {
        let first = self.line.len();
        let wait = |ahead: usize| self.wait_behind(first + ahead);
        let late = self
            .fair
            .too_late::<Rank>(flow, CHECKED, now, &self.typical, wait);
        for entry in late {
            self.refuse(entry.id, steps);
        }
    }

    fn start_next(&mut self, now: Time, steps: &mut Vec<Step>) {
        while self.has_room() {
            let Some((id, paid)) = self.next() else {
                return;
            };
            let Some(Waiting { work, .. }) = self.forget(id) else {
                continue;
            };
            let flow = work.flow;
            let paid = match (self.order, paid) {
                (Order::Priority, _) => None,
                (Order::Fair, None) => {
                    self.charge_start(&flow);
                    Some(self.typical)
                }
                (Order::Fair, paid) => paid,
            };
            self.run(id, flow.clone(), paid, now);
            steps.push(Step::Start(id));
            if self.is_fair() {
                self.refuse_late(&flow, now, steps);
            }
        }
    }

    /// Takes the next work to run out of the order, and the time that its flow was charged.
    fn next(&mut self) -> Option<(u64, Option<Span>)> {
        if let Some((_, id)) = self.line.pop_first() {
            return Some((id, None));
        }
        let Taken { entry, paid } = self.fair.pop::<Rank>(&self.typical)?;
        Some((entry.id, Some(paid)))
    }

    fn run(&mut self, id: u64, flow: F, paid: Option<Span>, now: Time) {
        let running = Running {
            flow,
            started: now,
            paid,
        };
        self.running.insert(id, running);
    }

    /// Charges a flow for work that starts without having been in the fair queue.
    fn charge_start(&mut self, flow: &F) {
        if self.is_fair() {
            let typical = self.typical;
            self.fair
                .charge::<Rank>(flow, typical, Span::ZERO, &typical);
        }
    }
}
