//! Fair queueing: equal shares of slot time by caller, and the order of classes within a caller's
//! work.
//!
//! This handles a few callers that take most of the load, such as a broker's program that fans out
//! or an authority's script in a loop, and confirmations that arrive among reads. Without it each
//! caller waits for the whole queue, which belongs to the caller that sends most: a clerk with one
//! request waits behind a thousand of a script. With classes in strict order above the callers'
//! shares, a script that sends confirmations stops all reads of the other callers: measured, a
//! quiet caller's aged reads took 37 times as long beside it.
//!
//! This is start-time fair queueing: each caller has a tag, the slot time that it was given, and
//! the caller with the lowest tag goes next. Shares are by time, not by count, as a caller with
//! slow statements takes more of the slots than its count shows. A caller that returns from
//! idleness starts at the current virtual time, so it can't save up a share and then take all
//! slots. Urgency is a head start: less urgent work is ordered as if its caller had been given a
//! little more time. So a confirmation passes the reads that came shortly before it, but a flood of
//! confirmations does not pass work that has waited for long. Within one caller's work the most
//! urgent class goes first, except for the starts guaranteed to the other classes. A choice costs
//! O(log callers).

use crate::clock::Span;
use crate::core::gate::cost::{BY_URGENCY, CLASSES, Costs};
use crate::core::request::Class;
use crate::types::{CallerId, RequestId};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// By class, most urgent first: while work of the class waits, it gets at least one of this many
/// starts of its caller. Session reads have a user waiting at a screen; aged reads were promised
/// only an age. The guaranteed shares add up to 7/16, so confirmations always keep more than half.
const GUARANTEED_ONE_IN: [u32; CLASSES] = [1, 4, 8, 16];

/// The head start of a class over the next less urgent one, in statements of the latter. Each
/// active caller can pass with that many, so it has to stay small; two are what a caller with a
/// page to fill has in its queue.
const HEAD_START_STATEMENTS: u64 = 2;

/// Maximum number of callers kept while they have no work waiting. An evicted caller starts at the
/// current virtual time again, which at most returns the share that it had used up.
const MAX_IDLE: usize = 4_096;

/// A caller's sort key: the slot time that it was given, in microseconds, plus the head start of
/// more urgent classes; ties are broken by insertion order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct Key {
    at: u64,
    order: u64,
}

/// A caller's waiting requests, and the slot time that it was given.
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

    /// The next class to serve: the most urgent one that has been passed over up to its guarantee,
    /// or else the most urgent one that waits.
    fn choose(&self) -> Option<Class> {
        let waits = |class: &Class| !self.queues[*class as usize].is_empty();
        let mut waiting = BY_URGENCY.into_iter().filter(waits);
        let first = waiting.next();
        waiting
            .find(|&class| self.passed[class as usize] + 1 >= GUARANTEED_ONE_IN[class as usize])
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

/// A request taken from the queue, and the time that its caller was charged for it.
#[derive(Debug, Clone, Copy)]
pub struct Taken {
    /// The request.
    pub request: RequestId,
    /// The time charged.
    pub paid: Span,
}

impl Fair {
    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// The number of requests served before the next one of `caller` in `class`, by fair shares.
    pub fn ahead(&self, class: Class, caller: &CallerId) -> usize {
        let Some(lane) = self.lanes.get(caller) else {
            return self.ahead_of_newcomer(class);
        };
        let urgent = BY_URGENCY.into_iter().filter(|&other| other <= class);
        let own: usize = urgent.map(|other| lane.queues[other as usize].len()).sum();
        let others = self.active.len() - usize::from(lane.waiting > 0);
        let max_others = self.waiting - lane.waiting;
        own + (others * (own + statements_passing(class))).min(max_others)
    }

    /// The number of requests served before one of a caller that has none waiting.
    pub fn ahead_of_newcomer(&self, class: Class) -> usize {
        (self.active.len() * statements_passing(class)).min(self.waiting)
    }

    /// Adds a request to the end of its caller's queue.
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
        let first_of_class = lane.waiting == 1 || lane.queues[class as usize].len() == 1;
        if first_of_class {
            self.reposition(caller, costs);
        }
    }

    /// Takes the next request, and charges its caller the mean time of its class.
    pub fn pop(&mut self, costs: &Costs) -> Option<Taken> {
        let (_, caller) = self.active.first()?.clone();
        let lane = self.lanes.get_mut(&caller)?;
        let class = lane.choose()?;
        let request = lane.pop(class)?;
        let paid = costs.mean(class);
        self.waiting -= 1;
        self.clock = self.clock.max(lane.given);
        lane.given = lane.given.saturating_add(paid.0);
        self.reposition(&caller, costs);
        Some(Taken { request, paid })
    }

    /// Removes one request of `caller`.
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
        self.reposition(caller, costs);
    }

    /// Corrects the charge of `caller` from the expected time `paid` to the actual time `took`.
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
        self.reposition(caller, costs);
    }

    /// Updates a caller's position after its requests or its time have changed.
    fn reposition(&mut self, caller: &CallerId, costs: &Costs) {
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
            at: lane.given + class.map_or(0, |class| head_start_over(class, costs)),
            order: self.order,
        };
        entry.0 = lane.key;
        if class.is_some() {
            self.active.insert(entry);
        } else {
            self.idle.insert(entry);
            self.evict_idle();
        }
    }

    /// Evicts idle callers that have used no more than their share, and, above the maximum, the
    /// least charged ones.
    fn evict_idle(&mut self) {
        while let Some((key, _)) = self.idle.first() {
            if key.at > self.clock && self.idle.len() <= MAX_IDLE {
                return;
            }
            if let Some((_, caller)) = self.idle.pop_first() {
                self.lanes.remove(&caller);
            }
        }
    }
}

/// The number of statements by which another caller can pass the first request of a caller in
/// `class`.
fn statements_passing(class: Class) -> usize {
    1 + HEAD_START_STATEMENTS as usize * class as usize
}

/// The head start of the most urgent class over `class`, in microseconds.
fn head_start_over(class: Class, costs: &Costs) -> u64 {
    HEAD_START_STATEMENTS * class as u64 * costs.mean(class).0
}
