//! The holder of a database in an experiment: the real gate and pool, before a simulated target.

use crate::clock::Time;
use crate::core::gate::{self, Gate, Item};
use crate::core::pool::{self, Demand, Pool};
use crate::core::request::NotRun;
use crate::experiment::deployment::Size;
use crate::experiment::policy::Policy;
use crate::experiment::target::Target;
use crate::types::RequestId;
use std::collections::VecDeque;

/// One database and its holder.
#[derive(Debug)]
pub struct Holder {
    /// The failure domain of the database and its holder.
    pub domain: usize,
    /// The database.
    pub target: Target,
    /// Admission to the database.
    pub gate: Gate,
    /// The holder's life, counted up at each loss; events of an earlier life are ignored.
    pub life: u64,
    /// The earliest scheduled wake-up.
    pub wakes_at: Option<Time>,
    pool: Pool,
    ready: VecDeque<Item>,
    idle: u32,
    busy: u32,
    opening: u32,
}

/// The actions that follow from a change of a holder's state.
#[derive(Debug, Default)]
pub struct Effects {
    /// Work to start on a connection.
    pub start: Vec<Item>,
    /// Work whose deadline passed in the queue.
    pub late: Vec<Item>,
    /// Number of connections to open.
    pub open: u32,
}

impl Holder {
    /// Creates the holder of database `index` of group `group`.
    pub fn new(size: &Size, policy: &Policy, group: usize, index: usize) -> Self {
        Self {
            domain: (group + index) % size.databases,
            target: Target::new(size.slots, index),
            gate: new_gate(size, policy.gate),
            life: 0,
            wakes_at: None,
            pool: Pool::with(size.connections, policy.pool),
            ready: VecDeque::new(),
            idle: 0,
            busy: 0,
            opening: 0,
        }
    }

    /// Offers arriving work to the gate.
    pub fn offer(&mut self, now: Time, item: Item) -> Result<(), NotRun> {
        self.gate.offer(now, item)
    }

    /// Returns the work to start, the expired work and the number of connections to open now.
    pub fn advance(&mut self, now: Time) -> Effects {
        let mut effects = Effects {
            late: self.gate.expire(now),
            ..Effects::default()
        };
        while let Some(item) = self.gate.next(now) {
            self.ready.push_back(item);
        }
        while self.idle > 0 {
            let Some(item) = self.ready.pop_front() else {
                break;
            };
            self.idle -= 1;
            self.busy += 1;
            effects.start.push(item);
        }
        let demand = self.demand();
        self.idle -= self.pool.shrink(now, demand).min(self.idle);
        effects.open = self.pool.grow(now, self.demand());
        self.opening += effects.open;
        effects
    }

    /// Records that a connection was opened.
    pub fn connected(&mut self, now: Time) {
        self.opening -= 1;
        self.idle += 1;
        self.pool.opened(now);
    }

    /// Records that a statement ended.
    pub fn ended(&mut self, now: Time, request: RequestId) {
        self.busy -= 1;
        self.idle += 1;
        self.gate.finish(now, request);
    }

    /// Loses the domain; the holder's next life starts with an empty queue and no connections.
    pub fn lose(&mut self, size: &Size, policy: &Policy) {
        self.target.lose();
        self.life += 1;
        self.gate = new_gate(size, policy.gate);
        self.pool = Pool::with(size.connections, policy.pool);
        self.ready.clear();
        (self.idle, self.busy, self.opening) = (0, 0, 0);
        self.wakes_at = None;
    }

    fn demand(&self) -> Demand {
        Demand {
            waiting: self.ready.len() as u32,
            idle: self.idle,
            busy: self.busy,
            opening: self.opening,
        }
    }
}

/// Under the naive policy, which has no limit, only the connections bound the statements in flight.
fn new_gate(size: &Size, policy: gate::Policy) -> Gate {
    let in_flight = if policy == gate::Policy::naive() {
        size.connections
    } else {
        size.slots
    };
    Gate::with(in_flight, policy)
}

/// The pool policy for a deployment's sizes.
pub fn full_pool(size: &Size) -> pool::Policy {
    pool::Policy::for_slots(size.slots)
}
