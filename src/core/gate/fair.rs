//! Equal shares of one class's slot time, by caller.
//!
//! **Pattern answered.** A few callers that take most of the load: a broker's program that
//! fans out, an authority's script in a loop.
//! **Without it** each caller's wait is that of the whole queue, and the queue belongs to
//! whoever sends most; a clerk with one request waits behind a thousand of a script.
//!
//! This is start-time fair queueing: each caller has a tag, the slot time that it has been given,
//! and the one with the least tag goes next. Shares are by time, not by count, as a caller
//! with slow statements takes more of the slots than its count tells. A caller that comes back
//! from idleness starts at the clock, so that it can't save up a share and then take all slots.
//! A choice costs O(log callers).

use crate::clock::Span;
use crate::types::{CallerId, RequestId};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The most callers that are remembered while they have nothing waiting. A forgotten one starts at
/// the clock again, which at the most gives it the share that it had used up before.
const MOST_IDLE: usize = 4_096;

/// A caller's waiting requests, and the time that it has been given.
#[derive(Debug, Clone, Serialize)]
struct Lane {
    queue: VecDeque<RequestId>,
    tag: Tag,
}

/// Where a lane stands: slot time given, in microseconds, then who came first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct Tag {
    given: u64,
    order: u64,
}

/// The waiting requests of one class.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Fair {
    lanes: BTreeMap<CallerId, Lane>,
    active: BTreeSet<(Tag, CallerId)>,
    idle: BTreeSet<(Tag, CallerId)>,
    clock: u64,
    order: u64,
    waiting: usize,
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

    /// How many requests are served before the next one of `caller`, by fair shares.
    pub fn ahead(&self, caller: &CallerId) -> usize {
        let own = self.lanes.get(caller).map_or(0, |lane| lane.queue.len());
        let others = self.active.len() - usize::from(own > 0);
        let rounds = own + 1;
        (own + rounds.saturating_mul(others)).min(self.waiting)
    }

    /// How many requests are served before one of a caller that has none waiting.
    pub fn ahead_of_newcomer(&self) -> usize {
        self.active.len().min(self.waiting)
    }

    /// Adds a request to the end of its caller's.
    pub fn push(&mut self, caller: &CallerId, request: RequestId) {
        self.waiting += 1;
        self.order += 1;
        let fresh = Tag {
            given: self.clock,
            order: self.order,
        };
        match self.lanes.get_mut(caller) {
            None => {
                let queue = VecDeque::from([request]);
                self.lanes
                    .insert(caller.clone(), Lane { queue, tag: fresh });
                self.active.insert((fresh, caller.clone()));
            }
            Some(lane) if lane.queue.is_empty() => {
                let key = (lane.tag, caller.clone());
                self.idle.remove(&key);
                lane.tag = lane.tag.max(fresh);
                lane.queue.push_back(request);
                self.active.insert((lane.tag, key.1));
            }
            Some(lane) => lane.queue.push_back(request),
        }
    }

    /// Takes the request that is to be served next, and charges its caller `cost` for it.
    pub fn pop(&mut self, cost: Span) -> Option<RequestId> {
        let (tag, caller) = self.active.pop_first()?;
        let lane = self.lanes.get_mut(&caller)?;
        let request = lane.queue.pop_front()?;
        self.waiting -= 1;
        self.clock = self.clock.max(tag.given);
        self.order += 1;
        lane.tag = Tag {
            given: tag.given.saturating_add(cost.0),
            order: self.order,
        };
        let key = (lane.tag, caller);
        if lane.queue.is_empty() {
            self.idle.insert(key);
        } else {
            self.active.insert(key);
        }
        self.forget();
        Some(request)
    }

    /// Takes out one request of `caller`.
    pub fn remove(&mut self, caller: &CallerId, request: RequestId) -> bool {
        let Some(lane) = self.lanes.get_mut(caller) else {
            return false;
        };
        let Some(index) = lane.queue.iter().position(|&waiting| waiting == request) else {
            return false;
        };
        lane.queue.remove(index);
        self.waiting -= 1;
        if lane.queue.is_empty() {
            let key = (lane.tag, caller.clone());
            self.active.remove(&key);
            self.idle.insert(key);
            self.forget();
        }
        true
    }

    /// Corrects what `caller` was charged: its work took `took`, and it had paid `paid`.
    pub fn charge(&mut self, caller: &CallerId, took: Span, paid: Span) {
        if took == paid {
            return;
        }
        let Some(lane) = self.lanes.get_mut(caller) else {
            self.remember(caller, took, paid);
            return;
        };
        let set = if lane.queue.is_empty() {
            &mut self.idle
        } else {
            &mut self.active
        };
        let mut key = (lane.tag, caller.clone());
        set.remove(&key);
        let given = lane.tag.given.saturating_add(took.0);
        lane.tag.given = given.saturating_sub(paid.0);
        key.0 = lane.tag;
        set.insert(key);
        self.forget();
    }

    fn remember(&mut self, caller: &CallerId, took: Span, paid: Span) {
        if took <= paid {
            return;
        }
        let tag = Tag {
            given: self.clock + (took.0 - paid.0),
            order: self.order,
        };
        let queue = VecDeque::new();
        self.lanes.insert(caller.clone(), Lane { queue, tag });
        self.idle.insert((tag, caller.clone()));
        self.forget();
    }

    /// Forgets idle callers that have no more than their share, and the least charged of too many.
    fn forget(&mut self) {
        while let Some((tag, _)) = self.idle.first() {
            if tag.given > self.clock && self.idle.len() <= MOST_IDLE {
                return;
            }
            if let Some((_, caller)) = self.idle.pop_first() {
                self.lanes.remove(&caller);
            }
        }
    }
}
