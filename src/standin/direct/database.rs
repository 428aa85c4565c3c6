//! One database of a group: its log, its role and its troubles.

use crate::direct::config;
use crate::standin::direct::log::Log;
use crate::standin::direct::network::Node;
use crate::types::{Birth, DatabaseId, Domain, GroupId, Position};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};

/// What a database is made of.
#[derive(Debug, Clone)]
pub struct Make {
    /// Its id.
    pub id: DatabaseId,
    /// Its group.
    pub group: GroupId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Statements that run at once.
    pub slots: u32,
    /// Statements that may wait for a slot.
    pub queue: u32,
    /// Connections.
    pub connections: u32,
    /// How long a new connection takes a slot.
    pub cold: Duration,
    /// How long a statement takes.
    pub work: Duration,
    /// How long a replica takes to apply what it received.
    pub lag: Duration,
}

/// What changes.
#[derive(Debug)]
pub struct State {
    /// Whether it runs.
    pub up: bool,
    /// Rises with each start.
    pub life: u64,
    /// Rises with each start that finds nothing of before.
    pub born: u64,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Whether it takes itself for the primary.
    pub primary: bool,
    /// Its term.
    pub term: u64,
    /// What it received.
    pub log: Log,
    /// How many entries of it readers see.
    pub applied: usize,
    /// Sessions that are open.
    pub connections: u32,
    /// Statements that wait for a slot.
    pub waiting: u32,
}

/// Its troubles.
#[derive(Debug, Default)]
pub struct Trouble {
    /// Whether it receives nothing.
    pub deaf: Cell<bool>,
    /// How much longer it takes to apply.
    pub lag: Cell<Duration>,
    /// How much longer a statement takes.
    pub slow: Cell<Duration>,
    /// How many answers are lost, after their effect.
    pub losing: Cell<u32>,
    /// How many statements fail after they ran.
    pub failing: Cell<u32>,
    /// How many of a hundred statements fail after they ran.
    pub grey: Cell<u32>,
    /// How many statements came while some fail.
    pub counted: Cell<u32>,
    /// Whether it goes down and up by turns.
    pub flapping: Cell<bool>,
}

/// A database.
#[derive(Debug)]
pub struct Database {
    /// What it is made of.
    pub make: Make,
    /// What changes.
    pub state: RefCell<State>,
    /// Its troubles.
    pub trouble: Trouble,
    /// Its slots.
    pub slots: Semaphore,
    /// Wakes whoever waits for a change of it.
    pub changed: Notify,
}

impl Database {
    /// A database that runs.
    pub fn new(make: Make, primary: bool, term: u64, log: Log) -> Rc<Self> {
        let slots = Semaphore::new(make.slots as usize);
        let applied = log.len();
        let state = State {
            up: true,
            life: 1,
            born: 1,
            leaving: false,
            primary,
            term,
            log,
            applied,
            connections: 0,
            waiting: 0,
        };
        Rc::new(Self {
            make,
            state: RefCell::new(state),
            trouble: Trouble::default(),
            slots,
            changed: Notify::new(),
        })
    }

    /// Its machine.
    pub fn node(&self) -> Node {
        Node::Database(self.make.id.clone())
    }

    /// Its entry in the register.
    pub fn entry(&self) -> config::Database {
        let state = self.state.borrow();
        config::Database {
            id: self.make.id.clone(),
            born: Some(Birth(state.born)),
            group: self.make.group.clone(),
            address: self.make.address,
            domain: self.make.domain.clone(),
            slots: self.make.slots,
            leaving: state.leaving,
            primary: state.primary,
        }
    }

    /// Whether it runs, and in which life.
    pub fn life(&self) -> Option<u64> {
        let state = self.state.borrow();
        state.up.then_some(state.life)
    }

    /// Ends at once, or starts again with its log.
    pub fn set_up(&self, up: bool) {
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

    /// Loses all that it holds and knows.
    pub fn forget(&self) {
        let mut state = self.state.borrow_mut();
        state.born += 1;
        state.primary = false;
        state.leaving = false;
        state.term = 0;
        state.log = Log::default();
        state.applied = 0;
    }

    /// Completes once this life is over.
    pub async fn ended(&self, life: u64) {
        loop {
            let changed = self.changed.notified();
            if self.life() != Some(life) {
                return;
            }
            changed.await;
        }
    }

    /// How far readers see.
    pub fn position(&self) -> Position {
        let state = self.state.borrow();
        state.log.position(state.applied)
    }

    /// How far it received.
    pub fn received(&self) -> Position {
        let state = self.state.borrow();
        state.log.position(state.log.len())
    }

    /// Whether readers see a position.
    pub fn has(&self, position: Position) -> bool {
        let state = self.state.borrow();
        let offset = usize::try_from(position.offset.0).unwrap_or(usize::MAX);
        match offset.checked_sub(1) {
            None => true,
            Some(_) if offset > state.applied => false,
            Some(_) => state.log.term_at(offset) == Some(position.term.0),
        }
    }

    /// A primary adds an entry, which its readers see at once.
    pub fn append(&self) -> Position {
        let mut state = self.state.borrow_mut();
        let term = state.term;
        state.log.append(term);
        state.applied = state.log.len();
        state.log.position(state.applied)
    }

    /// Leads a new term with what it received.
    pub fn lead(&self, term: u64) {
        let mut state = self.state.borrow_mut();
        state.primary = true;
        state.term = term;
        state.applied = state.log.len();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Ceases to lead, if its term is lower.
    pub fn step_down(&self, term: u64) -> bool {
        let mut state = self.state.borrow_mut();
        let steps = state.primary && state.term < term;
        state.primary &= !steps;
        drop(state);
        self.changed.notify_waiters();
        steps
    }

    /// Receives the first `count` entries of the primary of `term`; what it has beyond them from
    /// an earlier term is rolled back. Tells whether its role changed.
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

    /// Lets readers see the first `count` entries, as received in `term`.
    pub fn apply(&self, term: u64, count: usize) {
        let mut state = self.state.borrow_mut();
        if state.term == term && state.applied < count && count <= state.log.len() {
            state.applied = count;
        }
    }
}
