//! The slots of one database, and the work that runs in them.
//!
//! This handles long work among short work, such as a nightly reconciliation or a report. Without
//! it two or three long statements take all slots of a database, and every short statement waits
//! for as long as the long ones run, a thousand times its own time.
//!
//! Long work may take half of the slots, rounded down, but always at least one. With the usual 2 or
//! 3 slots that is one, and short work keeps the rest. [`super::queue`] decides when long work may
//! take its slot while short work waits.

use crate::clock::{Span, Time};
use crate::core::gate::cost::Costs;
use crate::core::gate::queue::Charge;
use crate::core::gate::{Item, Policy};
use crate::core::limit::Limit;
use crate::core::request::Class;
use crate::types::RequestId;
use serde::Serialize;
use std::collections::BTreeMap;

/// Long work gets the number of slots divided by this.
const LONG_DIVISOR: usize = 2;

/// Work that runs in a slot.
#[derive(Debug, Clone, Serialize)]
struct Running {
    item: Item,
    started: Time,
    paid: Span,
}

/// Work that has left its slot.
#[derive(Debug, Clone)]
pub struct Ended {
    /// The work.
    pub item: Item,
    /// How long it held the slot, and the time charged for it at its start.
    pub charge: Charge,
}

/// The slots of one database.
#[derive(Debug, Clone, Serialize)]
pub struct Slots {
    count: u32,
    reserve: bool,
    adaptive: bool,
    limit: Limit,
    running: BTreeMap<RequestId, Running>,
    long: usize,
}

impl Slots {
    /// `count` free slots.
    pub fn new(count: u32, policy: Policy) -> Self {
        Self {
            count,
            reserve: policy.reserve,
            adaptive: policy.adaptive,
            limit: Limit::new(count),
            running: BTreeMap::new(),
            long: 0,
        }
    }

    /// The configuration changed the number of slots.
    pub fn resize(&mut self, count: u32) {
        self.count = count;
        self.limit.resize(count);
    }

    /// Whether work that is not long may start. If long work holds all that the adaptive limit
    /// allows, one more slot is free: short work must not wait for long work.
    pub fn free(&self) -> bool {
        let running = self.running.len();
        let all_long = running == self.long && running < self.count as usize;
        running < self.allowed() || (self.reserve && all_long)
    }

    /// Whether long work may start.
    pub fn free_for_long(&self) -> bool {
        self.running.len() < self.allowed() && self.long < self.allowed_long()
    }

    fn allowed(&self) -> usize {
        if self.adaptive {
            return self.limit.get();
        }
        self.count as usize
    }

    fn allowed_long(&self) -> usize {
        if self.reserve {
            return (self.allowed() / LONG_DIVISOR).max(1);
        }
        self.allowed()
    }

    /// Whether `request` is running.
    pub fn contains(&self, request: RequestId) -> bool {
        self.running.contains_key(&request)
    }

    /// The number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Starts work in a slot; its caller was charged `paid` for it.
    pub fn start(&mut self, now: Time, item: Item, paid: Span) {
        self.long += usize::from(item.class == Class::Long);
        let running = Running {
            started: now,
            paid,
            item,
        };
        self.running.insert(running.item.request, running);
    }

    /// Ends work and frees its slot.
    pub fn finish(&mut self, now: Time, request: RequestId) -> Option<Ended> {
        let full = self.running.len() >= self.allowed();
        let running = self.running.remove(&request)?;
        let took = now.since(running.started);
        if running.item.class == Class::Long {
            self.long -= 1;
        } else {
            self.limit.record(now, took, full);
        }
        Some(Ended {
            item: running.item,
            charge: Charge {
                took,
                paid: running.paid,
            },
        })
    }

    /// How long work of `class` waits behind work of `ahead` slot time.
    pub fn wait(&self, ahead: Span, class: Class, costs: &Costs) -> Span {
        let open = match class {
            Class::Long => self.free_for_long(),
            _ => self.free(),
        };
        if open && ahead == Span::ZERO {
            return Span::ZERO;
        }
        let slots = match class {
            Class::Long => self.allowed_long(),
            _ => self.allowed().saturating_sub(self.long),
        };
        let until_free = costs.mean(class).0;
        Span((ahead.0 + until_free) / slots.max(1) as u64)
    }
}
