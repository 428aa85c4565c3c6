//! Limits the statements that this VM has in flight at one database, and queues the others.
//!
//! A database runs few statements at once and serves all VMs. Without a limit, a burst would queue
//! inside the database, which knows neither organisations, priorities nor latency objectives, and late
//! answers are worth nothing. [`crate::admission::queue`] decides what runs next and what is refused; this
//! module connects it to the tasks that wait.
//!
//! The limit is at most the database's slots. A refusal because the database is busy means that other
//! VMs use the slots: the limit halves, and grows by one per full round of answers, as in congestion
//! control. Where the order is fair, the limit falls before that because of rising latency
//! ([`crate::core::limit`]).

use crate::admission::queue::{Order, Queue, Step, Work};
use crate::admission::share::Load;
use crate::admission::{Rank, Ranks};
use crate::clock::{Span, Time};
use crate::core::gate::admit::MIN_RETRY_DELAY;
use crate::core::limit::Limit;
use crate::types::OrganisationId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The factor by which a refusal lowers the limit.
const DECREASE_FACTOR: f64 = 0.5;

/// Refusals closer together than this have the same cause and lower the limit only once.
const MIN_DECREASE_INTERVAL: Span = Span::from_millis(50);

/// The position of work in the queue: lower values go first.
pub type Urgency = u8;

/// The urgency of statements of an open transaction, which holds a connection while it waits.
pub const OPEN_TRANSACTION: Urgency = 0;

/// Why a statement was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its estimated wait was too long when it arrived.
    Wait,
    /// It could no longer start in time after it had waited.
    Late,
}

/// A statement that was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// After what time to retry.
    pub retry: Span,
}

type Outcome = Result<Permit, Refusal>;

#[derive(Debug)]
struct Inner {
    slots: u32,
    /// The limit by the database's refusals.
    limit: f64,
    /// The limit by its latency.
    latency: Limit,
    /// The part of the slots that this VM may use, if it shares them with other owners.
    part: Option<u32>,
    ranks: Ranks,
    queue: Queue<Option<OrganisationId>>,
    waiting: BTreeMap<u64, oneshot::Sender<Outcome>>,
    sequence: u64,
    decreased_at: Time,
    created: Instant,
}

/// The limiter of one database.
#[derive(Debug, Clone)]
pub struct Gate(Rc<RefCell<Inner>>);

/// Permission to have one statement in flight; returned when dropped.
#[derive(Debug)]
pub struct Permit {
    gate: Gate,
    id: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let id = self.id;
        self.gate.update(|queue, now| queue.finish(id, now));
    }
}

/// The place of a task that waits, which is freed when dropped.
#[derive(Debug)]
struct Place<'a> {
    gate: &'a Gate,
    id: u64,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let id = self.id;
        let waits = self.gate.0.borrow_mut().waiting.remove(&id);
        if waits.is_some() {
            self.gate.update(|queue, now| queue.remove(id, now));
        }
    }
}

impl Gate {
    /// Creates the gate of a database that runs `slots` statements at once.
    pub fn new(slots: u32) -> Self {
        let slots = slots.max(1);
        Self(Rc::new(RefCell::new(Inner {
            slots,
            limit: f64::from(slots),
            latency: Limit::new(slots),
            part: None,
            ranks: Ranks::default(),
            queue: Queue::ordered(slots, Order::Priority).with_told_times(),
            waiting: BTreeMap::new(),
            sequence: 0,
            decreased_at: Time::default(),
            created: Instant::now(),
        })))
    }

    /// Sets the number of slots that the register states.
    pub fn resize(&self, slots: u32) {
        let slots = slots.max(1);
        if self.0.borrow().slots == slots {
            return;
        }
        {
            let mut inner = self.0.borrow_mut();
            inner.slots = slots;
            inner.limit = f64::from(slots);
            inner.latency.resize(slots);
        }
        self.apply_limit();
    }

    /// Sets the order of the queue, and the ranks of priorities in it.
    pub fn arrange(&self, order: Order, ranks: &Ranks) {
        {
            let mut inner = self.0.borrow_mut();
            if inner.ranks != *ranks {
                inner.ranks = ranks.clone();
            }
            if inner.queue.is_fair() == (order == Order::Fair) {
                return;
            }
        }
        self.update(|queue, now| queue.set_order(order, now));
        self.apply_limit();
    }

    /// Sets the part of the slots that this VM may use; `None` for all of them.
    pub fn set_part(&self, part: Option<u32>) {
        if self.0.borrow().part == part {
            return;
        }
        self.0.borrow_mut().part = part;
        self.apply_limit();
    }

    /// A permit within `max_wait`, or the reason why there is none. If the future is dropped, its place in
    /// the queue is freed at once.
    pub async fn enter(
        &self,
        urgency: Urgency,
        organisation: Option<&OrganisationId>,
        max_wait: Span,
    ) -> Result<Permit, Refusal> {
        let (id, waiting) = match self.offer(urgency, organisation, max_wait) {
            Ok(waiting) => waiting,
            Err(decided) => return decided,
        };
        let place = Place { gate: self, id };
        let mut outcome = waiting;
        match tokio::time::timeout(max_wait.into(), &mut outcome).await {
            Ok(Ok(decided)) => return decided,
            _ => self.update(|queue, now| queue.lapse(id, now)),
        }
        let decided = outcome.try_recv();
        drop(place);
        decided.unwrap_or_else(|_| {
            Err(Refusal {
                reason: Reason::Late,
                retry: self.retry(),
            })
        })
    }

    /// Offers a statement to the queue; returns the outcome if there is one at once.
    fn offer(
        &self,
        urgency: Urgency,
        organisation: Option<&OrganisationId>,
        max_wait: Span,
    ) -> Result<(u64, oneshot::Receiver<Outcome>), Outcome> {
        let mut inner = self.0.borrow_mut();
        let now = inner.now();
        inner.sequence += 1;
        let id = inner.sequence;
        let (rank, open) = inner.rank(urgency);
        let flow = organisation.filter(|_| inner.queue.is_fair()).cloned();
        let mut steps = inner.queue.offer(
            Work {
                id,
                flow,
                rank,
                open,
                until: now + max_wait,
            },
            now,
        );
        let own = steps.iter().position(|step| step.id() == id);
        let own = own.map(|index| steps.remove(index));
        let outcome = match own {
            None => {
                let (sender, receiver) = oneshot::channel();
                inner.waiting.insert(id, sender);
                Ok((id, receiver))
            }
            Some(Step::Start(_)) => Err(Ok(self.permit(id))),
            Some(Step::Refuse(_, retry)) => Err(Err(Refusal {
                reason: Reason::Wait,
                retry,
            })),
        };
        drop(inner);
        self.perform(steps);
        outcome
    }

    fn permit(&self, id: u64) -> Permit {
        Permit {
            gate: self.clone(),
            id,
        }
    }

    /// The estimated wait of new work of this urgency.
    pub fn wait(&self, urgency: Urgency) -> Span {
        let inner = self.0.borrow();
        let (rank, open) = inner.rank(urgency);
        inner.queue.wait(None, rank, open)
    }

    /// The moving average of recent statement times.
    pub fn typical(&self) -> Span {
        self.0.borrow().queue.typical()
    }

    /// After what time work of the least urgency that is refused now should be retried.
    pub fn retry(&self) -> Span {
        self.wait(Urgency::MAX).max(MIN_RETRY_DELAY)
    }

    /// Whether the order is fair by organisation.
    pub fn is_fair(&self) -> bool {
        self.0.borrow().queue.is_fair()
    }

    /// The rank of an urgency; none for that of open transactions.
    pub fn rank(&self, urgency: Urgency) -> Option<Rank> {
        let (rank, open) = self.0.borrow().rank(urgency);
        (!open).then_some(rank)
    }

    /// How much work runs and waits.
    pub fn load(&self) -> Load {
        self.0.borrow().queue.load()
    }

    /// How many statements may be in flight now.
    pub fn limit(&self) -> u32 {
        self.0.borrow().effective_limit().round() as u32
    }

    /// Whether as many are in flight as may be.
    pub fn is_full(&self) -> bool {
        self.load().running >= self.limit().max(1)
    }

    /// The number of slots that the register states.
    pub fn slots(&self) -> u32 {
        self.0.borrow().slots
    }

    /// How long the statement has waited that has waited longest; zero if none waits.
    pub fn oldest_wait(&self) -> Span {
        let inner = self.0.borrow();
        let oldest = inner.queue.oldest();
        oldest.map_or(Span::ZERO, |arrived| inner.now().since(arrived))
    }

    /// Records that a statement was answered after `took`.
    pub fn answered(&self, took: Span) {
        {
            let mut inner = self.0.borrow_mut();
            inner.queue.answered(took);
            let raised = inner.limit + 1.0 / inner.limit.max(1.0);
            inner.limit = raised.min(f64::from(inner.slots));
            let now = inner.now();
            // The statement itself has left its slot already.
            let running = inner.queue.load().running as usize + 1;
            let full = running >= inner.latency.get();
            inner.latency.record(now, took, full);
        }
        self.apply_limit();
    }

    /// Records that the database refused a statement because it is busy.
    pub fn refused(&self, now: Time) {
        {
            let mut inner = self.0.borrow_mut();
            if now.since(inner.decreased_at) < MIN_DECREASE_INTERVAL {
                return;
            }
            inner.decreased_at = now;
            inner.limit = (inner.limit * DECREASE_FACTOR).max(1.0);
        }
        self.apply_limit();
    }

    fn apply_limit(&self) {
        let limit = self.0.borrow().effective_limit();
        self.update(|queue, now| queue.adjust(limit, now));
    }

    fn update(&self, change: impl FnOnce(&mut Queue<Option<OrganisationId>>, Time) -> Vec<Step>) {
        let steps = {
            let mut inner = self.0.borrow_mut();
            let now = inner.now();
            change(&mut inner.queue, now)
        };
        self.perform(steps);
    }

    /// Informs the tasks that wait. Must not be called while the state is borrowed: a permit that no task
    /// takes is returned at once.
    fn perform(&self, steps: Vec<Step>) {
        for step in steps {
            let sender = self.0.borrow_mut().waiting.remove(&step.id());
            let outcome = match step {
                Step::Start(id) => Ok(self.permit(id)),
                Step::Refuse(_, retry) => Err(Refusal {
                    reason: Reason::Late,
                    retry,
                }),
            };
            if let Some(sender) = sender {
                let _ = sender.send(outcome);
            }
        }
    }
}

impl Inner {
    fn now(&self) -> Time {
        Time::default() + self.created.elapsed().into()
    }

    /// The rank of an urgency, and whether it is that of open transactions.
    fn rank(&self, urgency: Urgency) -> (Rank, bool) {
        match urgency.checked_sub(1) {
            None => (Rank::default(), true),
            Some(priority) => (self.ranks.rank(priority), false),
        }
    }

    fn effective_limit(&self) -> f64 {
        let shared = self
            .part
            .map_or(self.limit, |part| self.limit.min(f64::from(part)));
        match self.queue.is_fair() {
            true => shared.min(self.latency.get() as f64),
            false => shared,
        }
    }
}
