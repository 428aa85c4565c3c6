//! Equal shares of slot time by caller, and the order of classes within.
//!
//! **Pattern answered.** A few callers that take most of the load: a broker's program that
//! fans out, an authority's script in a loop; and confirmations that arrive among reads.
//! **Without it** each caller's wait is that of the whole queue, and the queue belongs to
//! whoever sends most; a clerk with one request waits behind a thousand of a script. With classes
//! in strict order above the callers' shares, a script that sends confirmations stops all reads of
//! everyone else: measured, a quiet caller's aged reads took 37 times as long beside it.
//!
//! This is start-time fair queueing: each caller has a tag, the slot time that it has been given,
//! and the one with the least tag goes next. Shares are by time, not by count, as a caller
//! with slow statements takes more of the slots than its count tells. A caller that comes back
//! from idleness starts at the clock, so that it can't save up a share and then take all slots.
//! Urgency is a head start: less urgent work stands as if its caller had been given a little
//! more. So a confirmation passes the reads that came shortly before it, but nobody's flood
//! of confirmations passes what others have waited with for long. Within one caller's work the
//! most urgent goes first, but for what the others are owed. A choice costs O(log callers).

use crate::clock::Span;
use crate::core::gate::cost::{BY_URGENCY, CLASSES, Costs};
use crate::core::request::Class;
use crate::types::{CallerId, RequestId};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Of how many starts of one caller each of its classes is owed one while it waits, by
/// urgency. Sessions have people who look at a screen; aged reads were promised only an age.
/// The shares owed add up to 7/16: confirmations keep more than half in any case.
const OWED_ONE_IN: [u32; CLASSES] = [1, 4, 8, 16];

/// The head start of a class before the next less urgent one, in statements of the latter.
/// Each active caller can pass with so many, so it has to stay a few; two are what a
/// caller with a page to fill has in its queue.
const HEAD_START: u64 = 2;

/// The most callers that are remembered while they have nothing waiting. A forgotten one starts at
/// the clock again, which at the most gives it the share that it had used up before.
const MOST_IDLE: usize = 4_096;

/// Where a caller stands in the order: slot time given, in microseconds, with the head starts
/// of others counted in; then who came first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct Key {
    at: u64,
    order: u64,
}

/// A caller's waiting requests, and the time that it has been given.
#[derive(Debug, Clone, Serialize)]
struct Lane {
    queues: [VecDeque<RequestId>; CLASSES],
    passed: [u32; CLASSES],
    waiting: usize,
    given: u64,
    key: Key,
}

impl Lane {
    fn new(given: u64) -> Self {
        Self {
            queues: Default::default(),
            passed: [0; CLASSES],
            waiting: 0,
            given,
            key: Key {
                at: given,
                order: 0,
            },
        }
    }

    /// The class that was passed over as often as it may be, the most urgent of several; else the
    /// most urgent that waits.
    fn choose(&self) -> Option<Class> {
        let waits = |class: &Class| !self.queues[*class as usize].is_empty();
        let mut waiting = BY_URGENCY.into_iter().filter(waits);
        let first = waiting.next();
        waiting
            .find(|&class| self.passed[class as usize] + 1 >= OWED_ONE_IN[class as usize])
            .or(first)
    }

    fn pop(&mut self, class: Class) -> Option<RequestId> {
        for other in BY_URGENCY {
            let index = other as usize;
            if other == class || self.queues[index].is_empty() {
                self.passed[index] = 0;
            } else {
                self.passed[index] += 1;
            }
        }
        self.waiting -= 1;
        self.queues[class as usize].pop_front()
    }
}

/// The waiting requests of all callers.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Fair {
    lanes: BTreeMap<CallerId, Lane>,
    active: BTreeSet<(Key, CallerId)>,
    idle: BTreeSet<(Key, CallerId)>,
    clock: u64,
    order: u64,
    waiting: usize,
}

/// A request that was taken, and what its caller was charged for it.
#[derive(Debug, Clone, Copy)]
pub struct Taken {
    /// The request.
    pub request: RequestId,
    /// The time charged.
    pub paid: Span,
}

impl Fair {
    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether none wait.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// How many requests are served before the next one of `caller` in `class`, by fair shares.
    pub fn ahead(&self, class: Class, caller: &CallerId) -> usize {
        let Some(lane) = self.lanes.get(caller) else {
            return self.ahead_of_newcomer(class);
        };
        let urgent = BY_URGENCY.into_iter().filter(|&other| other <= class);
        let own: usize = urgent.map(|other| lane.queues[other as usize].len()).sum();
        let others = self.active.len() - usize::from(lane.waiting > 0);
        let most = self.waiting - lane.waiting;
        own + (others * (own + passing(class))).min(most)
    }

    /// How many requests are served before one of a caller that has none waiting.
    pub fn ahead_of_newcomer(&self, class: Class) -> usize {
        (self.active.len() * passing(class)).min(self.waiting)
    }

    /// Adds a request to the end of its caller's.
    pub fn push(&mut self, class: Class, caller: &CallerId, request: RequestId, costs: &Costs) {
        self.waiting += 1;
        let clock = self.clock;
        let lane = match self.lanes.get_mut(caller) {
            Some(lane) => lane,
            None => self
                .lanes
                .entry(caller.clone())
                .or_insert_with(|| Lane::new(clock)),
        };
        lane.queues[class as usize].push_back(request);
        lane.waiting += 1;
        if lane.waiting == 1 {
            lane.given = lane.given.max(clock);
        }
        let most_urgent = lane.waiting == 1 || lane.queues[class as usize].len() == 1;
        if most_urgent {
            self.place(caller, costs);
        }
    }

    /// Takes the request that is to be served next, and charges its caller for it.
    pub fn pop(&mut self, costs: &Costs) -> Option<Taken> {
        let (_, caller) = self.active.first()?.clone();
        let lane = self.lanes.get_mut(&caller)?;
        let class = lane.choose()?;
        let request = lane.pop(class)?;
        let paid = costs.mean(class);
        self.waiting -= 1;
        self.clock = self.clock.max(lane.given);
        lane.given = lane.given.saturating_add(paid.0);
        self.place(&caller, costs);
        Some(Taken { request, paid })
    }

    /// Takes out one request of `caller`.
    pub fn remove(&mut self, class: Class, caller: &CallerId, request: RequestId, costs: &Costs) {
        let Some(lane) = self.lanes.get_mut(caller) else {
            return;
        };
        let queue = &mut lane.queues[class as usize];
        let Some(index) = queue.iter().position(|&waiting| waiting == request) else {
            return;
        };
        queue.remove(index);
        lane.waiting -= 1;
        self.waiting -= 1;
        self.place(caller, costs);
    }

    /// Corrects what `caller` was charged: its work took `took`, and it had paid `paid`.
    pub fn charge(&mut self, caller: &CallerId, took: Span, paid: Span, costs: &Costs) {
        if !self.lanes.contains_key(caller) {
            if took <= paid {
                return;
            }
            self.lanes.insert(caller.clone(), Lane::new(self.clock));
        }
        if let Some(lane) = self.lanes.get_mut(caller) {
            lane.given = lane.given.saturating_add(took.0).saturating_sub(paid.0);
        }
        self.place(caller, costs);
    }

    /// Puts a caller where it belongs after its requests or its time have changed.
    fn place(&mut self, caller: &CallerId, costs: &Costs) {
        let Some(lane) = self.lanes.get_mut(caller) else {
            return;
        };
        let mut entry = (lane.key, caller.clone());
        if !self.active.remove(&entry) {
            self.idle.remove(&entry);
        }
        self.order += 1;
        let class = lane.choose();
        lane.key = Key {
            at: lane.given + class.map_or(0, |class| behind(class, costs)),
            order: self.order,
        };
        entry.0 = lane.key;
        if class.is_some() {
            self.active.insert(entry);
        } else {
            self.idle.insert(entry);
            self.forget();
        }
    }

    /// Forgets idle callers that have no more than their share, and the least charged of too many.
    fn forget(&mut self) {
        while let Some((key, _)) = self.idle.first() {
            if key.at > self.clock && self.idle.len() <= MOST_IDLE {
                return;
            }
            if let Some((_, caller)) = self.idle.pop_first() {
                self.lanes.remove(&caller);
            }
        }
    }
}

/// How many statements of another caller pass a request of `class` that is first of its caller.
fn passing(class: Class) -> usize {
    1 + HEAD_START as usize * class as usize
}

/// By how much work of `class` stands behind the most urgent.
fn behind(class: Class, costs: &Costs) -> u64 {
    HEAD_START * class as u64 * costs.mean(class).0
}
