//! The holder of one database: its queue, its connections, and what is known of its log.

mod connection;
mod queue;

use crate::clock::{Span, Time};
use crate::config::Database;
use crate::core::age::Proofs;
use crate::core::database::{Command, Order, State};
use crate::core::gate::Gate;
use crate::core::job::{Ended, Job};
use crate::core::lineage::Standing;
use crate::core::message::{Hint, Primary, Work};
use crate::core::pool::Pool;
use crate::core::request::Kind;
use crate::core::role::Role;
use crate::core::world::{Errand, Turn};
use crate::types::{ConnId, DatabaseId, GroupId, Link, Position, RequestId, Term, VmId};
use connection::{Connection, Transaction};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// How often a replica is asked for its state while reads wait for it to catch up.
const REFRESH: Span = Span::from_millis(10);

/// One database as its holder has it.
#[derive(Debug)]
pub(crate) struct Holder {
    pub database: DatabaseId,
    pub group: GroupId,
    pub proofs: Proofs,
    pub role: Role,
    address: SocketAddr,
    gate: Gate,
    pool: Pool,
    jobs: BTreeMap<RequestId, Job>,
    /// Jobs that have a slot and wait for a connection.
    starved: VecDeque<RequestId>,
    lagging: Vec<Lagging>,
    connections: BTreeMap<ConnId, Connection>,
    idle: Vec<ConnId>,
    transactions: BTreeMap<(VmId, Link), Transaction>,
    state: Option<State>,
    refreshing: bool,
    refresh_at: Time,
    ended: Vec<Ended>,
}

/// A read that waits for its replica.
#[derive(Debug)]
struct Lagging {
    job: Job,
    until: Time,
}

/// Whether a database may serve a read now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fit {
    Ready,
    /// It may be soon.
    Soon,
    Behind,
    Lost,
}

/// A holder's state for `dump`.
#[derive(Debug, Serialize)]
pub(crate) struct Dump<'a> {
    group: &'a GroupId,
    role: Role,
    gate: &'a Gate,
    pool: &'a Pool,
    jobs: usize,
    starved: usize,
    lagging: usize,
    connections: usize,
    idle: usize,
    transactions: usize,
    state: &'a Option<State>,
    proofs: &'a Proofs,
}

impl Holder {
    pub fn new(database: DatabaseId, group: GroupId, settings: &Database) -> Self {
        Self {
            database,
            group,
            proofs: Proofs::default(),
            role: Role::Replica,
            address: settings.address,
            gate: Gate::new(settings.slots),
            pool: Pool::new(settings.connections, settings.slots),
            jobs: BTreeMap::new(),
            starved: VecDeque::new(),
            lagging: Vec::new(),
            connections: BTreeMap::new(),
            idle: Vec::new(),
            transactions: BTreeMap::new(),
            state: None,
            refreshing: false,
            refresh_at: Time::default(),
            ended: Vec::new(),
        }
    }

    pub fn dump(&self) -> Dump<'_> {
        Dump {
            group: &self.group,
            role: self.role,
            gate: &self.gate,
            pool: &self.pool,
            jobs: self.jobs.len(),
            starved: self.starved.len(),
            lagging: self.lagging.len(),
            connections: self.connections.len(),
            idle: self.idle.len(),
            transactions: self.transactions.len(),
            state: &self.state,
            proofs: &self.proofs,
        }
    }

    /// The configuration changed.
    pub fn configure(&mut self, settings: &Database) {
        self.address = settings.address;
        self.gate.resize(settings.slots);
    }

    /// Takes the jobs that have left since the last call.
    pub fn take_ended(&mut self) -> Vec<Ended> {
        std::mem::take(&mut self.ended)
    }

    /// Nothing waits, runs or holds a transaction.
    pub fn is_quiet(&self) -> bool {
        self.jobs.is_empty() && self.lagging.is_empty() && self.transactions.is_empty()
    }

    /// No transaction is open.
    pub fn has_no_transaction(&self) -> bool {
        self.transactions.is_empty()
    }

    /// Nothing waits or runs.
    pub fn has_no_job(&self) -> bool {
        self.jobs.is_empty() && self.lagging.is_empty()
    }

    /// Nothing is left of it.
    pub fn is_empty(&self) -> bool {
        self.is_quiet() && self.connections.is_empty()
    }

    /// Whether a tick may have something to do.
    pub fn is_busy(&self) -> bool {
        !self.is_quiet() || !self.connections.is_empty() && self.pool.wake().is_some()
    }

    /// Changes what the database is to this VM. Work that the new role forbids ends.
    pub fn become_role(&mut self, turn: &mut Turn, role: Role) {
        if self.role == role {
            return;
        }
        let was = std::mem::replace(&mut self.role, role);
        self.refresh_at = Time::default();
        if was != Role::Replica && role.term() != was.term() {
            self.depose(turn);
        }
        self.refresh(turn);
    }

    /// What is known of the database, for an entry that knows of the leader of term `known`.
    pub fn hint(&self, now: Time, leader: Option<&Primary>, known: Option<Term>) -> Hint {
        let primary = leader.filter(|leader| known.is_none_or(|known| leader.term > known));
        Hint {
            position: self.applied().unwrap_or_default(),
            age: self.age(now),
            wait: self.gate.wait(now),
            run: self.gate.run(),
            primary: primary.cloned(),
        }
    }

    /// The database's state was read.
    pub fn observe(&mut self, turn: &mut Turn, state: Option<State>) {
        if state.is_some() {
            self.state = state;
        }
        self.refreshing = false;
        self.refresh_at = turn.now + REFRESH;
        self.recheck(turn);
        self.pump(turn);
    }

    fn applied(&self) -> Option<Position> {
        self.state.as_ref().map(|state| state.applied)
    }

    fn age(&self, now: Time) -> Option<Span> {
        let state = self.state.as_ref()?;
        self.proofs.age(now, &state.lineage, state.applied)
    }

    /// An answer told how far the database had applied its log.
    fn advance(&mut self, applied: Position) {
        let Some(state) = &mut self.state else {
            return;
        };
        if state.lineage.last().is_none_or(|last| last < applied.term) {
            self.state = None;
        } else if applied.offset > state.applied.offset {
            state.applied = applied;
        }
    }

    /// Whether the database may serve `work` as far as it has shown.
    fn fit(&self, now: Time, work: &Work) -> Fit {
        if matches!(work.kind, Kind::Write | Kind::Begin) {
            return self.fit_write(work);
        }
        let Some(state) = &self.state else {
            return match (work.floor, work.max_age) {
                (None, None) => Fit::Ready,
                _ => Fit::Soon,
            };
        };
        if let Some(floor) = work.floor {
            match state.lineage.standing(floor) {
                Standing::Lost => return Fit::Lost,
                Standing::Ahead => return Fit::Soon,
                Standing::Kept if state.applied.offset < floor.offset => return Fit::Soon,
                Standing::Kept => {}
            }
        }
        // A primary's answer is passed on only under confirmations, so its data has no age.
        let Some(max_age) = work.max_age.filter(|_| self.role == Role::Replica) else {
            return Fit::Ready;
        };
        if self.age(now).is_some_and(|age| age < max_age) {
            Fit::Ready
        } else {
            Fit::Behind
        }
    }

    /// Failure: a session's write was lost in a failover, and the session writes on. Symptom:
    /// its floor is overwritten and it never hears of the loss. Enough, because the lineage of
    /// the term that runs the write is looked at first.
    fn fit_write(&self, work: &Work) -> Fit {
        let Some(floor) = work
            .floor
            .filter(|floor| Some(floor.term) != self.role.term())
        else {
            return Fit::Ready;
        };
        let current = |state: &&State| state.lineage.last() >= self.role.term();
        match self.state.as_ref().filter(current) {
            None => Fit::Soon,
            Some(state) if state.lineage.standing(floor) == Standing::Lost => Fit::Lost,
            Some(_) => Fit::Ready,
        }
    }

    /// Asks the database for its state, unless that is under way or was done just now.
    fn refresh(&mut self, turn: &mut Turn) {
        if self.refreshing || turn.now < self.refresh_at {
            return;
        }
        let errand = Errand::Refresh(self.database.clone());
        self.refreshing = turn.order(&self.database, Order::Report, errand);
    }
}

/// Closes a connection at once.
fn close(turn: &mut Turn, conn: ConnId) {
    turn.database(Command::Close { conn });
}
