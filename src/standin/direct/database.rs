//! One database of a group: its log, its role and its active faults.

use crate::direct::config;
use crate::standin::direct::log::Log;
use crate::standin::direct::network::Node;
use crate::types::{Birth, DatabaseId, Domain, GroupId, Position};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};

/// The fixed properties of a database.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Its id.
    pub id: DatabaseId,
    /// Its group.
    pub group: GroupId,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// How many statements run at once.
    pub slots: u32,
    /// How many statements may wait for a slot.
    pub queue: u32,
    /// How many connections may be open.
    pub connections: u32,
    /// How long a new connection occupies a slot.
    pub cold: Duration,
    /// How long a statement takes.
    pub work: Duration,
    /// How long a replica takes to apply what it received.
    pub lag: Duration,
}

/// The changing state of a database.
#[derive(Debug)]
pub struct State {
    /// Whether it runs.
    pub up: bool,
    /// The number of the current run: rises with each start.
    pub life: u64,
    /// Rises with each start that begins without any earlier data.
    pub birth: u64,
    /// Whether it is being decommissioned.
    pub leaving: bool,
    /// Whether it considers itself the primary.
    pub primary: bool,
    /// Its term.
    pub term: u64,
    /// The log entries that it has received.
    pub log: Log,
    /// How many log entries are applied and so visible to reads.
    pub applied: usize,
    /// How many sessions are open.
    pub connections: u32,
    /// How many statements wait for a slot.
    pub waiting: u32,
}

/// The active faults of a database.
#[derive(Debug, Default)]
pub struct Faults {
    /// Whether it receives no log entries.
    pub deaf: Cell<bool>,
    /// The additional delay before received entries are applied.
    pub lag: Cell<Duration>,
    /// The additional time that a statement takes.
    pub slow: Cell<Duration>,
    /// How many of the next answers are lost after the statement took effect.
    pub losing: Cell<u32>,
    /// How many of the next statements fail after they ran.
    pub failing: Cell<u32>,
    /// How many of a hundred statements fail after they ran.
    pub grey: Cell<u32>,
    /// Counts statements modulo 100, to spread the failures of `grey` evenly.
    pub counted: Cell<u32>,
    /// Whether it crashes and restarts repeatedly.
    pub flapping: Cell<bool>,
}

/// A simulated database.
#[derive(Debug)]
pub struct Database {
    /// Its fixed properties.
    pub spec: Spec,
    /// The changing state of a database.
    pub state: RefCell<State>,
    /// The active faults of a database.
    pub faults: Faults,
    /// The slots in which statements run.
    pub slots: Semaphore,
    /// Signals a change of state.
    pub changed: Notify,
}

impl Database {
    /// Creates a running database.
    pub fn new(spec: Spec, primary: bool, term: u64, log: Log) -> Rc<Self> {
        let slots = Semaphore::new(spec.slots as usize);
        let applied = log.len();
        let state = State {
            up: true,
            life: 1,
            birth: 1,
            leaving: false,
            primary,
            term,
            log,
            applied,
            connections: 0,
            waiting: 0,
        };
        Rc::new(Self {
            spec,
            state: RefCell::new(state),
            faults: Faults::default(),
            slots,
            changed: Notify::new(),
        })
    }

    /// Its node in the network.
    pub fn node(&self) -> Node {
        Node::Database(self.spec.id.clone())
    }

    /// Its entry in the register of databases.
    pub fn entry(&self) -> config::Database {
        let state = self.state.borrow();
        config::Database {
            id: self.spec.id.clone(),
            born: Some(Birth(state.birth)),
            group: self.spec.group.clone(),
            address: self.spec.address,
            domain: self.spec.domain.clone(),
            slots: self.spec.slots,
            leaving: state.leaving,
            primary: state.primary,
        }
    }

    /// The number of its current run; `None` while it is down.
    pub fn life(&self) -> Option<u64> {
        let state = self.state.borrow();
        state.up.then_some(state.life)
    }

    /// Stops the database at once, or starts it again with its log.
    pub fn set_running(&self, up: bool) {
        let mut state = self.state.borrow_mut();
        if state.up == up {
            return;
        }
        state.up = up;
        if up {
            state.life += 1;
            state.applied = state.log.len();
        } else {
            state.connections = 0;
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Discards its log, term and role, as a new installation under the same id.
    pub fn forget(&self) {
        let mut state = self.state.borrow_mut();
        state.birth += 1;
        state.primary = false;
        state.leaving = false;
        state.term = 0;
        state.log = Log::default();
        state.applied = 0;
    }

    /// Completes once the run numbered `life` has ended.
    pub async fn ended(&self, life: u64) {
        loop {
            let changed = self.changed.notified();
            if self.life() != Some(life) {
                return;
            }
            changed.await;
        }
    }

    /// The position up to which entries are applied and visible to reads.
    pub fn position(&self) -> Position {
        let state = self.state.borrow();
        state.log.position(state.applied)
    }

    /// The position of the last entry received.
    pub fn received(&self) -> Position {
        let state = self.state.borrow();
        state.log.position(state.log.len())
    }

    /// Whether the entry at a position is applied and visible to reads.
    pub fn has(&self, position: Position) -> bool {
        let state = self.state.borrow();
        position.offset.0 <= state.applied as u64 && state.log.contains(position)
    }

    /// Whether it has received the entry at a position.
    pub fn has_received(&self, position: Position) -> bool {
        self.state.borrow().log.contains(position)
    }

    /// Appends an entry to the primary's log; it is visible to reads at once.
    pub fn append(&self) -> Position {
        let mut state = self.state.borrow_mut();
        let term = state.term;
        state.log.append(term);
        state.applied = state.log.len();
        state.log.position(state.applied)
    }

    /// Becomes primary of a new term and applies all that it received.
    pub fn lead(&self, term: u64) {
        let mut state = self.state.borrow_mut();
        state.primary = true;
        state.term = term;
        state.applied = state.log.len();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Steps down as primary if its term is lower than `term`. Returns whether it did.
    pub fn step_down(&self, term: u64) -> bool {
        let mut state = self.state.borrow_mut();
        let steps = state.primary && state.term < term;
        state.primary &= !steps;
        drop(state);
        self.changed.notify_waiters();
        steps
    }

    /// Receives the first `count` entries of the primary of `term`. Entries beyond them from an
    /// earlier term are rolled back. Returns whether this demoted a primary.
    pub fn receive(&self, log: &Log, term: u64, count: usize) -> bool {
        let mut state = self.state.borrow_mut();
        if state.term > term {
            return false;
        }
        let demoted = state.primary && state.term < term;
        if state.term < term {
            let log = log.first(count);
            let same = state.log.shared(&log);
            state.term = term;
            state.primary = false;
            state.log = log;
            state.applied = state.applied.min(same);
        } else if state.log.len() < count {
            state.log = log.first(count);
        }
        drop(state);
        self.changed.notify_waiters();
        demoted
    }

    /// Makes the first `count` entries visible to reads, if they were received in `term`.
    pub fn apply(&self, term: u64, count: usize) {
        let mut state = self.state.borrow_mut();
        if state.term == term && state.applied < count && count <= state.log.len() {
            state.applied = count;
        }
    }
}
