//! The holder of one database: the VM that owns the database's queue and connections, and tracks
//! how far its log is applied.

mod connection;
mod queue;

use crate::clock::{Span, Time};
use crate::config::Database;
use crate::core::age::Proofs;
use crate::core::database::{Command, Order, State};
use crate::core::gate::Gate;
use crate::core::job::{Ended, Job};
use crate::core::lineage::Relation;
use crate::core::message::{Hint, Primary, Work};
use crate::core::pool::Pool;
use crate::core::request::Kind;
use crate::core::role::Role;
use crate::core::world::{Purpose, Turn};
use crate::types::{ConnId, DatabaseId, GroupId, Link, Position, RequestId, Term, VmId};
use connection::{Connection, Transaction};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Interval at which a replica's state is read while reads wait for it to catch up.
const REFRESH_INTERVAL: Span = Span::from_millis(10);

/// The holder's state of one database.
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

/// A read that waits for its replica to catch up.
#[derive(Debug)]
struct Lagging {
    job: Job,
    until: Time,
}

/// Whether a database can serve work now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fit {
    Ready,
    /// Not yet, but probably soon.
    Soon,
    Behind,
    Lost,
}

/// The state of a holder for `dump`.
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

    /// Applies a changed configuration.
    pub fn configure(&mut self, settings: &Database) {
        self.address = settings.address;
        self.gate.resize(settings.slots);
    }

    /// Returns the jobs that have ended since the last call.
    pub fn take_ended(&mut self) -> Vec<Ended> {
        std::mem::take(&mut self.ended)
    }

    /// Whether no job waits or runs and no transaction is open.
    pub fn is_quiet(&self) -> bool {
        self.jobs.is_empty() && self.lagging.is_empty() && self.transactions.is_empty()
    }

    /// Whether no transaction is open.
    pub fn has_no_transaction(&self) -> bool {
        self.transactions.is_empty()
    }

    /// Whether no job waits or runs.
    pub fn has_no_job(&self) -> bool {
        self.jobs.is_empty() && self.lagging.is_empty()
    }

    /// Whether no job, transaction or connection is left.
    pub fn is_empty(&self) -> bool {
        self.is_quiet() && self.connections.is_empty()
    }

    /// Whether a tick may have something to do.
    pub fn is_busy(&self) -> bool {
        !self.is_quiet() || !self.connections.is_empty() && self.pool.wake().is_some()
    }

    /// Changes the role of the database on this VM. Work that the new role forbids ends.
    pub fn set_role(&mut self, turn: &mut Turn, role: Role) {
        if self.role == role {
            return;
        }
        let previous = std::mem::replace(&mut self.role, role);
        self.refresh_at = Time::default();
        if previous != Role::Replica && role.term() != previous.term() {
            self.end_primary_role(turn);
        }
        self.refresh(turn);
    }

    /// The database's state for an entry that knows the leader of term `known`; the leader is
    /// included only if it is newer.
    pub fn hint(&self, now: Time, leader: Option<&Primary>, known: Option<Term>) -> Hint {
        let primary = leader.filter(|leader| known.is_none_or(|known| leader.term > known));
        Hint {
            position: self.applied().unwrap_or_default(),
            age: self.age(now),
            wait: self.gate.wait(now),
            run: self.gate.run_time(),
            primary: primary.cloned(),
        }
    }

    /// Handles the result of reading the database's state.
    pub fn observe(&mut self, turn: &mut Turn, state: Option<State>) {
        if state.is_some() {
            self.state = state;
        }
        self.refreshing = false;
        self.refresh_at = turn.now + REFRESH_INTERVAL;
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

    /// Updates the applied position from an answer. An answer from a later term than the known
    /// lineage makes the state unknown.
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

    /// Whether the database can serve `work`, by its last known state.
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
            match state.lineage.relation(floor) {
                Relation::Lost => return Fit::Lost,
                Relation::Ahead => return Fit::Soon,
                Relation::Kept if state.applied.offset < floor.offset => return Fit::Soon,
                Relation::Kept => {}
            }
        }
        // A primary's answer is passed on only while its term is confirmed, so its data has no age.
        let Some(max_age) = work.max_age.filter(|_| self.role == Role::Replica) else {
            return Fit::Ready;
        };
        if self.age(now).is_some_and(|age| age < max_age) {
            Fit::Ready
        } else {
            Fit::Behind
        }
    }

    /// Whether the database can run a session's write.
    ///
    /// If an earlier write of the session was lost in a failover, this write would overwrite the
    /// session's floor and the loss would never be reported. The floor is therefore first checked
    /// against the lineage of the term that runs the write.
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
            Some(state) if state.lineage.relation(floor) == Relation::Lost => Fit::Lost,
            Some(_) => Fit::Ready,
        }
    }

    /// Reads the database's state, unless a read is in flight or was done a moment ago.
    fn refresh(&mut self, turn: &mut Turn) {
        if self.refreshing || turn.now < self.refresh_at {
            return;
        }
        let purpose = Purpose::Refresh(self.database.clone());
        self.refreshing = turn.order(&self.database, Order::Report, purpose);
    }
}

/// Closes a connection at once.
fn close(turn: &mut Turn, conn: ConnId) {
    turn.database(Command::Close { conn });
}
