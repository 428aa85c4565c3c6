//! What one database lets in: admission, the queue, and its slots.
//!
//! The parts answer one pattern of load each: [`admit`] bursts and saturation, [`queue`] work of
//! different urgency, [`fair`] callers that take most of the load, [`slot`] long work among
//! short. `core::limit` answers a database that is used by others too.

pub mod admit;
pub mod cost;
pub mod fair;
pub mod queue;
pub mod slot;

use crate::clock::{Span, Time};
use crate::core::gate::cost::Costs;
use crate::core::gate::fair::Taken;
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
    /// Whose it is.
    pub caller: CallerId,
    /// Its place among other work.
    pub class: Class,
    /// When its caller has no more use for it.
    pub deadline: Time,
}

/// Which rules a gate follows. Each can be set back to its naive form for a measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Policy {
    /// Whether work that can't be served in time is turned away when it is offered, and waiting
    /// work is given up as soon as it can't end in time any more.
    pub bounded: bool,
    /// Whether a queue that does not empty is kept short.
    pub short: bool,
    /// Whether urgent classes go first and callers get equal shares; else first come, first
    /// served.
    pub fair: bool,
    /// Whether long work leaves slots to short work.
    pub reserve: bool,
    /// Whether the limit of work in flight adapts to the database.
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

    /// First come, first served, whatever the wait: the baseline of measurements.
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

/// Work that waits.
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

    /// Lets `item` wait, or turns it away at once and says when to come back.
    ///
    /// An item whose request already waits or runs is refused as `Cause::Refused`.
    pub fn offer(&mut self, now: Time, item: Item) -> Result<(), NotRun> {
        let request = item.request;
        if self.waiting.contains_key(&request) || self.slots.contains(request) {
            return Err(NotRun {
                cause: Cause::Refused,
                retry_after: admit::LEAST_RETRY,
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
        let standing = self.policy.short && admit::is_standing(now, self.idle_at);
        let bound = admit::bound(start_by.since(now), standing);
        let wait = self.wait_of(item.class, &item.caller);
        if wait > bound || self.queue.len() >= admit::MOST_WAITING {
            return Err(NotRun {
                cause: Cause::Busy,
                retry_after: admit::retry_after(wait, item.request),
            });
        }
        Ok(start_by)
    }

    /// Takes the work that is to run next, if a slot is free for it; it then counts as running.
    ///
    /// Work past its latest start is passed over; the next [`Gate::expire`] returns it.
    pub fn next(&mut self, now: Time) -> Option<Item> {
        while self.slots.free() {
            let long = self.slots.free_for_long();
            let Taken { request, paid } = self.queue.pop(long, &self.costs)?;
            let waiting = self.waiting.remove(&request)?;
            self.expiry.remove(&(waiting.start_by, request));
            if waiting.start_by <= now {
                let unrun = Charge {
                    took: Span::ZERO,
                    paid,
                };
                self.charge(&waiting.item, unrun);
                self.lapsed.push(waiting.item);
                continue;
            }
            self.slots.start(now, waiting.item.clone(), paid);
            return Some(waiting.item);
        }
        None
    }

    /// `request` left its slot at `now`, with or without an answer.
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

    /// Takes out waiting work whose deadline has passed, or that will not be served in time.
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

    /// Takes out waiting work that nobody wants any more.
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

    /// What short work takes of late, once it has a slot.
    pub fn run(&self) -> Span {
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

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// How many run.
    pub fn running(&self) -> usize {
        self.slots.running()
    }
}
