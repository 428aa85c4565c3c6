//! The gate of one database: admission control, the queue, and the slots for running work.
//!
//! Each part handles one pattern of load: [`admit`] bursts and saturation, [`queue`] long work
//! beside short work, [`crate::admission::fair`] callers that take most of the load and classes of different urgency,
//! [`slot`] long work that takes all slots. `core::limit` handles a database that others use too.

pub mod admit;
pub mod cost;
pub mod queue;
pub mod slot;

use crate::admission::fair::Taken;
use crate::clock::{Span, Time};
use crate::core::gate::cost::Costs;
use crate::core::gate::queue::{Charge, Queue};
use crate::core::gate::slot::Slots;
use crate::core::request::{Cause, Class, NotRun};
use crate::types::{CallerId, RequestId};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Work that asks for a slot of a database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Item {
    /// The holder's own number for the work.
    pub request: RequestId,
    /// The caller that the work belongs to.
    pub caller: CallerId,
    /// Its priority class.
    pub class: Class,
    /// The time after which its caller does not use the result.
    pub deadline: Time,
}

/// The rules of a gate. Each can be set to its naive form for a measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Policy {
    /// Whether work that can't be served in time is rejected when it is offered, and waiting work
    /// is dropped as soon as it can't end in time.
    pub bounded: bool,
    /// Whether a queue under sustained load is kept short.
    pub short: bool,
    /// Whether urgent classes go first and callers get equal shares; otherwise first come, first
    /// served.
    pub fair: bool,
    /// Whether some slots are reserved for short work.
    pub reserve: bool,
    /// Whether the limit on running work adapts to the database's response times.
    pub adaptive: bool,
}

impl Policy {
    /// All rules.
    pub fn full() -> Self {
        Self {
            bounded: true,
            short: true,
            fair: true,
            reserve: true,
            adaptive: true,
        }
    }

    /// First come, first served, whatever the wait. This is the baseline of measurements.
    pub fn naive() -> Self {
        Self {
            bounded: false,
            short: false,
            fair: false,
            reserve: false,
            adaptive: false,
        }
    }
}

/// Work in the queue.
#[derive(Debug, Clone, Serialize)]
struct Waiting {
    item: Item,
    start_by: Time,
}

/// The queue and slots of one database.
#[derive(Debug, Clone, Serialize)]
pub struct Gate {
    policy: Policy,
    queue: Queue,
    waiting: BTreeMap<RequestId, Waiting>,
    expiry: BTreeSet<(Time, RequestId)>,
    lapsed: Vec<Item>,
    slots: Slots,
    costs: Costs,
    idle_at: Time,
}

impl Gate {
    /// A gate to a database that runs `slots` statements at once.
    pub fn new(slots: u32) -> Self {
        Self::with(slots, Policy::full())
    }

    /// A gate of a stated policy.
    pub fn with(slots: u32, policy: Policy) -> Self {
        Self {
            policy,
            queue: Queue::new(policy.fair),
            waiting: BTreeMap::new(),
            expiry: BTreeSet::new(),
            lapsed: Vec::new(),
            slots: Slots::new(slots, policy),
            costs: Costs::default(),
            idle_at: Time::default(),
        }
    }

    /// The configuration changed the number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.slots.resize(slots);
    }

    /// Queues `item`, or rejects it at once with a time to retry.
    ///
    /// # Errors
    ///
    /// `Cause::Expired` if its deadline has passed, `Cause::Busy` if it would wait too long or the
    /// queue is full, and `Cause::Refused` if its request already waits or runs.
    pub fn offer(&mut self, now: Time, item: Item) -> Result<(), NotRun> {
        let request = item.request;
        if self.waiting.contains_key(&request) || self.slots.contains(request) {
            return Err(NotRun {
                cause: Cause::Refused,
                retry_after: admit::MIN_RETRY_DELAY,
            });
        }
        let start_by = self.admit(now, &item)?;
        self.queue
            .push(item.class, &item.caller, request, &self.costs);
        self.expiry.insert((start_by, request));
        self.waiting.insert(request, Waiting { item, start_by });
        Ok(())
    }

    fn admit(&mut self, now: Time, item: &Item) -> Result<Time, NotRun> {
        if item.deadline <= now {
            return Err(NotRun {
                cause: Cause::Expired,
                retry_after: Span::ZERO,
            });
        }
        if !self.policy.bounded {
            return Ok(item.deadline);
        }
        if self.queue.is_empty() && self.slots.free() {
            self.idle_at = now;
        }
        let left = item.deadline.since(now);
        let start_by = now + admit::latest_start(left, self.costs.mean(item.class));
        let sustained = self.policy.short && admit::is_sustained(now, self.idle_at);
        let max_wait = admit::max_wait(start_by.since(now), sustained);
        let wait = self.wait_of(item.class, &item.caller);
        if wait > max_wait || self.queue.len() >= admit::MAX_WAITING {
            return Err(NotRun {
                cause: Cause::Busy,
                retry_after: admit::retry_after(wait, item.request),
            });
        }
        Ok(start_by)
    }

    /// Takes the next work to run, if a slot is free for it; it then counts as running.
    ///
    /// Work past its latest start is skipped; the next [`Gate::expire`] returns it.
    pub fn next(&mut self, now: Time) -> Option<Item> {
        while self.slots.free() {
            let long = self.slots.free_for_long();
            let Taken {
                entry: request,
                paid,
            } = self.queue.pop(long, &self.costs)?;
            let waiting = self.waiting.remove(&request)?;
            self.expiry.remove(&(waiting.start_by, request));
            if waiting.start_by <= now {
                let not_run = Charge {
                    took: Span::ZERO,
                    paid,
                };
                self.charge(&waiting.item, not_run);
                self.lapsed.push(waiting.item);
                continue;
            }
            self.slots.start(now, waiting.item.clone(), paid);
            return Some(waiting.item);
        }
        None
    }

    /// Frees the slot of `request` at `now`, with or without an answer.
    pub fn finish(&mut self, now: Time, request: RequestId) {
        let Some(ended) = self.slots.finish(now, request) else {
            return;
        };
        self.charge(&ended.item, ended.charge);
        self.costs.record(ended.item.class, ended.charge.took);
        if self.queue.is_empty() {
            self.idle_at = now;
        }
    }

    fn charge(&mut self, item: &Item, charge: Charge) {
        self.queue
            .charge(item.class, &item.caller, charge, &self.costs);
    }

    /// Removes and returns waiting work whose deadline has passed, or that can't be served in time.
    pub fn expire(&mut self, now: Time) -> Vec<Item> {
        let mut late = std::mem::take(&mut self.lapsed);
        while let Some(&(start_by, request)) = self.expiry.first() {
            if start_by > now {
                break;
            }
            match self.remove(request) {
                Some(item) => late.push(item),
                None => {
                    self.expiry.pop_first();
                }
            }
        }
        late
    }

    /// Removes and returns waiting work that is no longer wanted.
    pub fn remove(&mut self, request: RequestId) -> Option<Item> {
        let Some(waiting) = self.waiting.remove(&request) else {
            let index = self
                .lapsed
                .iter()
                .position(|item| item.request == request)?;
            return Some(self.lapsed.swap_remove(index));
        };
        self.expiry.remove(&(waiting.start_by, request));
        let item = waiting.item;
        self.queue
            .remove(item.class, &item.caller, request, &self.costs);
        Some(item)
    }

    /// How long a read of a new caller would wait if it were offered now.
    pub fn wait(&self, _now: Time) -> Span {
        let ahead = self.queue.ahead_of_newcomer(Class::Session, &self.costs);
        self.slots.wait(ahead, Class::Session, &self.costs)
    }

    /// The recent mean time that short work runs, without its wait for a slot.
    pub fn run_time(&self) -> Span {
        self.costs.short()
    }

    fn wait_of(&self, class: Class, caller: &CallerId) -> Span {
        let ahead = self.queue.ahead(class, caller, &self.costs);
        self.slots.wait(ahead, class, &self.costs)
    }

    /// When the earliest waiting work expires.
    pub fn wake(&self) -> Option<Time> {
        if !self.lapsed.is_empty() {
            return Some(Time::default());
        }
        self.expiry.first().map(|(start_by, _)| *start_by)
    }

    /// The number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The number of running requests.
    pub fn running(&self) -> usize {
        self.slots.running()
    }
}
