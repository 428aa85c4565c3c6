//! The databases of one group: their terms, the replication between them, and injected faults.
//!
//! Everything here is synchronous; the current time is passed in.

use super::store::{Failure, Store};
use super::{Lag, Spec};
use crate::clock::Span;
use crate::config::FIRST_TERM;
use crate::core::database::{Order, Refusal, State};
use crate::core::lineage::Lineage;
use crate::core::term::may_raise;
use crate::types::{DatabaseId, Domain, Position, Term};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;
use tokio::sync::{Mutex, Semaphore};
use tokio::time::Instant;

/// The databases of a group and the partitions between them.
#[derive(Debug)]
pub(super) struct World {
    pub(super) nodes: BTreeMap<DatabaseId, Node>,
    /// Pairs of databases that can't reach each other.
    split: BTreeSet<(DatabaseId, DatabaseId)>,
}

/// The state of one database.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) store: Store,
    pub(super) domain: Domain,
    pub(super) term: Term,
    pub(super) open: bool,
    pub(super) lineage: Lineage,
    /// Incremented whenever the writing transaction is rolled back from outside its session.
    pub(super) epoch: u64,
    /// Locked by the one transaction that writes.
    pub(super) writer: Arc<Mutex<()>>,
    pub(super) slots: Arc<Semaphore>,
    /// The number of open connections, without control connections.
    pub(super) connections: u32,
    pub(super) connection_limit: u32,
    pub(super) faults: Faults,
    pub(super) lag: Lag,
    pub(super) service: Span,
    pub(super) connect: Span,
}

/// The faults that are active on a database.
#[derive(Debug, Default)]
pub(super) struct Faults {
    /// Peers whose packets are lost in both directions.
    pub(super) cut: BTreeSet<IpAddr>,
    /// Whether the process is paused.
    pub(super) frozen: bool,
    /// Whether the process has ended.
    pub(super) down: bool,
    /// Counts the ends of the process; connections accepted in an earlier life are closed.
    pub(super) life: u64,
    /// Connections with a lower sequence number are silent permanently.
    pub(super) silent_below: u64,
    /// How many more answers to committed writes are dropped, and their connections closed.
    pub(super) lost_answers: u32,
}

impl World {
    /// Returns all databases in the first term, with the first one open.
    pub(super) fn new(spec: &Spec) -> Result<Self, Failure> {
        let mut nodes = BTreeMap::new();
        for (id, database) in &spec.group.databases {
            let mut lineage = Lineage::default();
            lineage.open(FIRST_TERM, Position::default());
            let node = Node {
                store: Store::new(&spec.schema)?,
                domain: database.domain.clone(),
                term: FIRST_TERM,
                open: nodes.is_empty(),
                lineage,
                epoch: 0,
                writer: Arc::default(),
                slots: Arc::new(Semaphore::new(database.slots as usize)),
                connections: 0,
                connection_limit: database.connections,
                faults: Faults::default(),
                lag: spec.lag,
                service: spec.service,
                connect: spec.connect,
            };
            nodes.insert(id.clone(), node);
        }
        Ok(Self {
            nodes,
            split: BTreeSet::new(),
        })
    }

    /// Disconnects two databases from each other, or reconnects them.
    pub(super) fn split(&mut self, a: &DatabaseId, b: &DatabaseId, cut: bool) {
        for pair in [(a, b), (b, a)] {
            let pair = (pair.0.clone(), pair.1.clone());
            if cut {
                self.split.insert(pair);
            } else {
                self.split.remove(&pair);
            }
        }
    }

    /// Replicates all entries that are due to every replica. Returns when the next one is due.
    pub(super) fn replicate(&mut self, now: Instant) -> Option<Instant> {
        let ids: Vec<DatabaseId> = self.nodes.keys().cloned().collect();
        let mut next: Option<Instant> = None;
        for id in ids {
            if let Some(source) = self.source(&id) {
                self.adopt_log(&id, &source);
                next = earlier(next, self.receive_due(&id, &source, now));
            }
            if let Some(node) = self.nodes.get_mut(&id) {
                next = earlier(next, node.apply_due(now));
            }
        }
        next
    }

    /// Returns the open database with the highest term that `id` can reach. Its term must not be
    /// below that of `id`: a database in a newer term must not apply the log of an older primary.
    fn source(&self, id: &DatabaseId) -> Option<DatabaseId> {
        let node = self.nodes.get(id).filter(|node| node.is_running())?;
        let candidates = self.nodes.iter().filter(|(other, candidate)| {
            *other != id
                && candidate.open
                && candidate.is_running()
                && candidate.term >= node.term
                && !(node.open && candidate.term == node.term)
                && !self.split.contains(&(id.clone(), (*other).clone()))
        });
        candidates
            .max_by_key(|(_, candidate)| candidate.term)
            .map(|(other, _)| other.clone())
    }

    /// Adopts the term and lineage of `source` and truncates the log where the two diverge.
    fn adopt_log(&mut self, id: &DatabaseId, source: &DatabaseId) {
        let Some(primary) = self.nodes.get(source) else {
            return;
        };
        let (term, lineage) = (primary.term, primary.lineage.clone());
        let Some(node) = self.nodes.get(id) else {
            return;
        };
        let common = common_length(node, primary);
        let diverged = node.store.log().len() > common;
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        if node.term < term {
            node.enter_term(term);
        }
        node.lineage = lineage;
        if diverged && let Err(failure) = node.store.truncate(common) {
            node.stop(&failure);
        }
    }

    fn receive_due(
        &mut self,
        id: &DatabaseId,
        source: &DatabaseId,
        now: Instant,
    ) -> Option<Instant> {
        let delay = std::time::Duration::from(self.nodes.get(id)?.lag.receive);
        let start = self.nodes.get(id)?.store.log().len();
        let mut arrived = Vec::new();
        let mut next = None;
        for entry in self.nodes.get(source)?.store.log().iter().skip(start) {
            if entry.at + delay > now {
                next = Some(entry.at + delay);
                break;
            }
            arrived.push(entry.clone());
        }
        let node = self.nodes.get_mut(id)?;
        for entry in arrived {
            node.store.receive(entry);
        }
        next
    }
}

/// Returns the length of the common prefix of two logs. Each term has one primary, so entries at
/// the same position are equal, and so are all entries before them.
fn common_length(node: &Node, primary: &Node) -> usize {
    let (own, others) = (node.store.log(), primary.store.log());
    let mut length = own.len().min(others.len());
    while length > 0 && own[length - 1].position != others[length - 1].position {
        length -= 1;
    }
    length
}

fn earlier(a: Option<Instant>, b: Option<Instant>) -> Option<Instant> {
    match (a, b) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

impl Node {
    /// Whether the process is running and not paused.
    pub(super) fn is_running(&self) -> bool {
        !self.faults.down && !self.faults.frozen
    }

    /// Returns the state that the database reports.
    pub(super) fn state(&self) -> State {
        State {
            term: self.term,
            position: self.store.end(),
            applied: self.store.applied(),
            open: self.open,
            lineage: self.lineage.clone(),
        }
    }

    /// Carries out an order. `Reach` only returns the state; the caller waits for the position.
    pub(super) fn order(&mut self, order: Order) -> Result<State, Refusal> {
        match order {
            Order::Report | Order::Reach(_) => {}
            Order::Raise(term) if may_raise(self.term, term) => self.enter_term(term),
            Order::Open(term) if self.term == term => self.open_term(),
            Order::Raise(_) | Order::Open(_) => return Err(Refusal::Term(self.term)),
        }
        Ok(self.state())
    }

    /// Whether the log holds `position`.
    pub(super) fn holds(&self, position: Position) -> bool {
        self.lineage.holds(self.store.end(), position)
    }

    fn enter_term(&mut self, term: Term) {
        self.term = term;
        self.open = false;
        self.abort();
    }

    fn open_term(&mut self) {
        if self.open {
            return;
        }
        self.apply_all();
        self.lineage.open(self.term, self.store.end());
        self.open = true;
    }

    /// Rolls back the writing transaction of `epoch` on behalf of its own session.
    pub(super) fn rollback(&mut self, epoch: u64) {
        if self.epoch == epoch
            && let Err(failure) = self.store.rollback()
        {
            self.stop(&failure);
        }
    }

    /// Rolls back the writing transaction from outside; its session detects this by the new epoch.
    pub(super) fn abort(&mut self) {
        self.epoch += 1;
        self.writer = Arc::default();
        if let Err(failure) = self.store.rollback() {
            self.stop(&failure);
        }
    }

    fn apply_due(&mut self, now: Instant) -> Option<Instant> {
        if !self.is_running() {
            return None;
        }
        let delay = std::time::Duration::from(self.lag.receive + self.lag.apply);
        while let Some(entry) = self.store.next_unapplied() {
            let due = entry.at + delay;
            if due > now {
                return Some(due);
            }
            if let Err(failure) = self.store.apply_next() {
                self.stop(&failure);
                return None;
            }
        }
        None
    }

    fn apply_all(&mut self) {
        while self.store.next_unapplied().is_some() {
            if let Err(failure) = self.store.apply_next() {
                self.stop(&failure);
                return;
            }
        }
    }

    /// Stops the database, which can't continue after an error in its tables or log.
    fn stop(&mut self, failure: &Failure) {
        log::error!(error = &*failure.message; "stand-in database stops: its log can't be applied");
        self.faults.down = true;
        self.faults.life += 1;
    }
}
