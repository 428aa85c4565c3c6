//! The queue that an owner keeps in front of a database, by policy.

use crate::admission::Rank;
use crate::admission::queue::{self, Queue};
use crate::clock::{Span, Time};
use crate::experiment::overload::Policy;
use std::collections::{BTreeMap, VecDeque};

/// The assumed time of a statement before the first answer.
const INITIAL_TIME: Span = Span::from_millis(15);

/// A new sample has the weight `1 / AVERAGE_WEIGHT` in the average time of a statement.
const AVERAGE_WEIGHT: u64 = 8;

/// The factor by which a refusal lowers the limit.
const DECREASE_FACTOR: f64 = 0.5;

/// Refusals closer together than this lower the limit only once.
const MIN_DECREASE_INTERVAL: Span = Span::from_millis(50);

/// How long single statements may wait, as a part of their objective in percent (`direct::job`).
const QUEUE_PERCENT: u64 = 18;

/// The shortest time to retry.
const MIN_RETRY: Span = Span::from_millis(20);

/// A statement that is to be run.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Its id.
    pub id: u64,
    /// Index of its organisation.
    pub organisation: usize,
    /// Its rank.
    pub rank: Rank,
    /// When it arrived at the VM that its caller is connected to.
    pub sent_at: Time,
    /// Its objective.
    pub objective: Span,
}

/// What happens to a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It is sent to the database.
    Start(u64),
    /// It is refused, and may be tried again after this time.
    Refuse(u64, Span),
}

/// The queue of one owner.
#[derive(Debug)]
pub enum Gate {
    /// First come, first served; only the slots limit what runs.
    Naive(Fifo),
    /// The rules of [`crate::direct::gate`] before [`crate::admission`].
    Former(Strict),
    /// [`crate::admission::queue`].
    Full(Box<Limited>),
}

impl Gate {
    /// The queue in front of a database with this many slots.
    pub fn new(policy: Policy, slots: u32) -> Self {
        match policy {
            Policy::Naive => Self::Naive(Fifo::new(slots)),
            Policy::Former => Self::Former(Strict::new(slots)),
            Policy::Full => Self::Full(Box::new(Limited::new(slots))),
        }
    }

    /// Takes in a statement.
    pub fn offer(&mut self, work: Work, now: Time) -> Vec<Step> {
        match self {
            Self::Naive(fifo) => fifo.offer(work.id),
            Self::Former(strict) => strict.offer(work, now),
            Self::Full(limited) => limited.offer(work, now),
        }
    }

    /// Records that a statement was answered `took` after it was sent to the database.
    pub fn answered(&mut self, id: u64, took: Span, now: Time) -> Vec<Step> {
        match self {
            Self::Naive(fifo) => fifo.ended(),
            Self::Former(strict) => strict.answered(took),
            Self::Full(limited) => limited.answered(id, took, now),
        }
    }

    /// Records that the database refused a statement because it is busy; returns the time to retry.
    pub fn refused(&mut self, id: u64, now: Time) -> (Span, Vec<Step>) {
        match self {
            Self::Naive(fifo) => (MIN_RETRY, fifo.ended()),
            Self::Former(strict) => (strict.refused(now), strict.start()),
            Self::Full(limited) => limited.refused(id, now),
        }
    }

    /// Refuses what has waited for too long.
    pub fn advance(&mut self, now: Time) -> Vec<Step> {
        match self {
            Self::Naive(_) => Vec::new(),
            Self::Former(strict) => strict.expire(now),
            Self::Full(limited) => steps(limited.queue.advance(now)),
        }
    }

    /// Records that the caller of a statement has left.
    pub fn remove(&mut self, id: u64, now: Time) -> Vec<Step> {
        match self {
            // A statement whose caller has left keeps its place.
            Self::Naive(_) | Self::Former(_) => Vec::new(),
            Self::Full(limited) => steps(limited.queue.remove(id, now)),
        }
    }

    /// When to call `advance` next.
    pub fn wake(&self) -> Option<Time> {
        match self {
            Self::Naive(_) => None,
            Self::Former(strict) => strict.wake(),
            Self::Full(limited) => limited.queue.wake(),
        }
    }
}

fn steps(steps: Vec<queue::Step>) -> Vec<Step> {
    let step = |step| match step {
        queue::Step::Start(id) => Step::Start(id),
        queue::Step::Refuse(id, retry) => Step::Refuse(id, retry),
    };
    steps.into_iter().map(step).collect()
}

/// The limit on running statements: it halves when the database refuses one, and grows by one for each full
/// round of answers.
#[derive(Debug)]
struct Limit {
    slots: f64,
    current: f64,
    decreased_at: Time,
}

impl Limit {
    fn new(slots: u32) -> Self {
        Self {
            slots: f64::from(slots),
            current: f64::from(slots),
            decreased_at: Time::default(),
        }
    }

    fn raise(&mut self) {
        self.current = (self.current + 1.0 / self.current.max(1.0)).min(self.slots);
    }

    fn lower(&mut self, now: Time) {
        if now.since(self.decreased_at) >= MIN_DECREASE_INTERVAL {
            self.decreased_at = now;
            self.current = (self.current * DECREASE_FACTOR).max(1.0);
        }
    }
}

/// The queue of [`crate::admission`] with a limit.
#[derive(Debug)]
pub struct Limited {
    queue: Queue<usize>,
    limit: Limit,
}

impl Limited {
    fn new(slots: u32) -> Self {
        Self {
            queue: Queue::new(slots).with_told_times(),
            limit: Limit::new(slots),
        }
    }

    fn offer(&mut self, work: Work, now: Time) -> Vec<Step> {
        let latest_start = work.sent_at + (work.objective - self.queue.typical());
        let work = queue::Work {
            id: work.id,
            flow: work.organisation,
            rank: work.rank,
            open: false,
            until: latest_start,
        };
        steps(self.queue.offer(work, now))
    }

    fn answered(&mut self, id: u64, took: Span, now: Time) -> Vec<Step> {
        self.limit.raise();
        self.queue.answered(took);
        self.ended(id, now)
    }

    fn refused(&mut self, id: u64, now: Time) -> (Span, Vec<Step>) {
        self.limit.lower(now);
        let steps = self.ended(id, now);
        let wait = self.queue.wait(None, Rank(u8::MAX), false);
        (wait.max(MIN_RETRY), steps)
    }

    fn ended(&mut self, id: u64, now: Time) -> Vec<Step> {
        let mut all = self.queue.adjust(self.limit.current, now);
        all.extend(self.queue.finish(id, now));
        steps(all)
    }
}

/// First come, first served.
#[derive(Debug)]
pub struct Fifo {
    slots: u32,
    running: u32,
    waiting: VecDeque<u64>,
}

impl Fifo {
    fn new(slots: u32) -> Self {
        Self {
            slots,
            running: 0,
            waiting: VecDeque::new(),
        }
    }

    fn offer(&mut self, id: u64) -> Vec<Step> {
        self.waiting.push_back(id);
        self.start()
    }

    fn ended(&mut self) -> Vec<Step> {
        self.running = self.running.saturating_sub(1);
        self.start()
    }

    fn start(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        while self.running < self.slots
            && let Some(id) = self.waiting.pop_front()
        {
            self.running += 1;
            steps.push(Step::Start(id));
        }
        steps
    }
}

/// Strict priority, and first come, first served within it; one limit, which halves when the database refuses.
#[derive(Debug)]
pub struct Strict {
    limit: Limit,
    running: u32,
    sequence: u64,
    waiting: BTreeMap<(Rank, u64), (u64, Time)>,
    typical: Span,
}

impl Strict {
    fn new(slots: u32) -> Self {
        Self {
            limit: Limit::new(slots),
            running: 0,
            sequence: 0,
            waiting: BTreeMap::new(),
            typical: INITIAL_TIME,
        }
    }

    fn offer(&mut self, work: Work, now: Time) -> Vec<Step> {
        let until = work.sent_at + work.objective.percent(QUEUE_PERCENT);
        if self.wait(work.rank) > until.since(now) {
            return vec![Step::Refuse(work.id, self.retry())];
        }
        self.sequence += 1;
        let key = (work.rank, self.sequence);
        self.waiting.insert(key, (work.id, until));
        self.start()
    }

    fn answered(&mut self, took: Span) -> Vec<Step> {
        self.running = self.running.saturating_sub(1);
        self.typical = Span((self.typical.0 * (AVERAGE_WEIGHT - 1) + took.0) / AVERAGE_WEIGHT);
        self.limit.raise();
        self.start()
    }

    fn refused(&mut self, now: Time) -> Span {
        self.running = self.running.saturating_sub(1);
        self.limit.lower(now);
        self.retry()
    }

    fn expire(&mut self, now: Time) -> Vec<Step> {
        let retry = self.retry();
        let mut steps = Vec::new();
        self.waiting.retain(|_, (id, until)| {
            let expired = *until <= now;
            if expired {
                steps.push(Step::Refuse(*id, retry));
            }
            !expired
        });
        steps
    }

    fn wake(&self) -> Option<Time> {
        self.waiting.values().map(|(_, until)| *until).min()
    }

    fn start(&mut self) -> Vec<Step> {
        let mut steps = Vec::new();
        while self.has_room()
            && let Some((_, (id, _))) = self.waiting.pop_first()
        {
            self.running += 1;
            steps.push(Step::Start(id));
        }
        steps
    }

    fn wait(&self, rank: Rank) -> Span {
        if self.waiting.is_empty() && self.has_room() {
            return Span::ZERO;
        }
        let before = self.waiting.range(..=(rank, u64::MAX)).count() as f64 + 1.0;
        Span((self.typical.0 as f64 * before / self.limit.current.max(1.0)) as u64)
    }

    fn retry(&self) -> Span {
        self.wait(Rank(u8::MAX)).max(MIN_RETRY)
    }

    fn has_room(&self) -> bool {
        f64::from(self.running) + 1.0 <= self.limit.current.max(1.0).round()
    }
}
