//! The databases of one group: terms, replication between them, and the faults set on them.
//!
//! Everything here is synchronous; time is passed in.

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

/// The databases of a group.
#[derive(Debug)]
pub(super) struct World {
    pub(super) nodes: BTreeMap<DatabaseId, Node>,
    /// Pairs of databases that do not reach each other.
    split: BTreeSet<(DatabaseId, DatabaseId)>,
}

/// One database.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) store: Store,
    pub(super) domain: Domain,
    pub(super) term: Term,
    pub(super) open: bool,
    pub(super) lineage: Lineage,
    /// Raised whenever the writing transaction was undone from outside.
    pub(super) epoch: u64,
    /// Held by the one transaction that writes.
    pub(super) writer: Arc<Mutex<()>>,
    pub(super) slots: Arc<Semaphore>,
    /// Work connections that count against the limit.
    pub(super) connections: u32,
    pub(super) connection_limit: u32,
    pub(super) faults: Faults,
    pub(super) lag: Lag,
    pub(super) service: Span,
    pub(super) connect: Span,
}

/// What is wrong with a database just now.
#[derive(Debug, Default)]
pub(super) struct Faults {
    /// Peers whose packets are lost in both directions.
    pub(super) cut: BTreeSet<IpAddr>,
    /// Nothing moves.
    pub(super) frozen: bool,
    /// The process is gone.
    pub(super) down: bool,
    /// Counts kills: a connection of an earlier life is gone.
    pub(super) life: u64,
    /// Connections below this number are silent for good.
    pub(super) silent_below: u64,
    /// So many answers to committed writes are lost, with their connections.
    pub(super) lost_answers: u32,
}

impl World {
    /// All databases in the first term, the first one open.
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

    /// Cuts or restores the way between two databases.
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

    /// Moves the log on to every replica as far as it is due, and says when more is due.
    pub(super) fn replicate(&mut self, now: Instant) -> Option<Instant> {
        let ids: Vec<DatabaseId> = self.nodes.keys().cloned().collect();
        let mut next: Option<Instant> = None;
        for id in ids {
            if let Some(source) = self.source(&id) {
                self.follow(&id, &source);
                next = earlier(next, self.receive(&id, &source, now));
            }
            if let Some(node) = self.nodes.get_mut(&id) {
                next = earlier(next, node.apply(now));
            }
        }
        next
    }

    /// The open database of the highest term that `id` can reach and whose term is not below
    /// its own: a raised database applies no log of an older primary.
    fn source(&self, id: &DatabaseId) -> Option<DatabaseId> {
        let node = self.nodes.get(id).filter(|node| node.moves())?;
        let candidates = self.nodes.iter().filter(|(other, candidate)| {
            *other != id
                && candidate.open
                && candidate.moves()
                && candidate.term >= node.term
                && !(node.open && candidate.term == node.term)
                && !self.split.contains(&(id.clone(), (*other).clone()))
        });
        candidates
            .max_by_key(|(_, candidate)| candidate.term)
            .map(|(other, _)| other.clone())
    }

    /// Takes over the term of `source` and cuts back what its log does not hold.
    fn follow(&mut self, id: &DatabaseId, source: &DatabaseId) {
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
            node.take_term(term);
        }
        node.lineage = lineage;
        if diverged && let Err(failure) = node.store.truncate(common) {
            node.fail(&failure);
        }
    }

    fn receive(&mut self, id: &DatabaseId, source: &DatabaseId, now: Instant) -> Option<Instant> {
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

/// The length of the log that both hold. A term has one primary, so entries of one position
/// are the same entry, and so is all before them.
fn common_length(node: &Node, primary: &Node) -> usize {
    let (ours, theirs) = (node.store.log(), primary.store.log());
    let mut length = ours.len().min(theirs.len());
    while length > 0 && ours[length - 1].position != theirs[length - 1].position {
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
    /// Whether it does anything at all.
    pub(super) fn moves(&self) -> bool {
        !self.faults.down && !self.faults.frozen
    }

    /// What it reports.
    pub(super) fn state(&self) -> State {
        State {
            term: self.term,
            position: self.store.end(),
            applied: self.store.applied(),
            open: self.open,
            lineage: self.lineage.clone(),
        }
    }

    /// Carries out an order; `Reach` only reports, and whoever asks waits.
    pub(super) fn order(&mut self, order: Order) -> Result<State, Refusal> {
        match order {
            Order::Report | Order::Reach(_) => {}
            Order::Raise(term) if may_raise(self.term, term) => self.take_term(term),
            Order::Open(term) if self.term == term => self.open_term(),
            Order::Raise(_) | Order::Open(_) => return Err(Refusal::Term(self.term)),
        }
        Ok(self.state())
    }

    /// Whether the log holds `position`.
    pub(super) fn holds(&self, position: Position) -> bool {
        self.lineage.holds(self.store.end(), position)
    }

    fn take_term(&mut self, term: Term) {
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

    /// Undoes the writing transaction of `epoch`, for its own session.
    pub(super) fn undo(&mut self, epoch: u64) {
        if self.epoch == epoch
            && let Err(failure) = self.store.rollback()
        {
            self.fail(&failure);
        }
    }

    /// Undoes the writing transaction; its session finds out by the epoch.
    pub(super) fn abort(&mut self) {
        self.epoch += 1;
        self.writer = Arc::default();
        if let Err(failure) = self.store.rollback() {
            self.fail(&failure);
        }
    }

    fn apply(&mut self, now: Instant) -> Option<Instant> {
        if !self.moves() {
            return None;
        }
        let delay = std::time::Duration::from(self.lag.receive + self.lag.apply);
        while let Some(entry) = self.store.next_unapplied() {
            let due = entry.at + delay;
            if due > now {
                return Some(due);
            }
            if let Err(failure) = self.store.apply_next() {
                self.fail(&failure);
                return None;
            }
        }
        None
    }

    fn apply_all(&mut self) {
        while self.store.next_unapplied().is_some() {
            if let Err(failure) = self.store.apply_next() {
                self.fail(&failure);
                return;
            }
        }
    }

    /// A database whose log can't be applied is of no more use.
    fn fail(&mut self, failure: &Failure) {
        log::error!(error = &*failure.message; "stand-in database stops: its log can't be applied");
        self.faults.down = true;
        self.faults.life += 1;
    }
}
