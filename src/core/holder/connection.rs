//! A holder's connections to its database: opening, use, assignment to transactions, and closing.

use super::{Holder, close};
use crate::clock::Time;
use crate::core::database::{Command, Event, Refusal, Reply, Run};
use crate::core::job::End;
use crate::core::lineage::Relation;
use crate::core::pool::Demand;
use crate::core::request::{Cause, Status, Unknown};
use crate::core::role::Role;
use crate::core::world::Turn;
use crate::types::{ConnId, Link, Position, RequestId, VmId};
use serde::Serialize;

/// One connection to the database.
#[derive(Debug, Serialize)]
pub(super) struct Connection {
    usage: Usage,
    /// Whether a cancel request was sent for its work.
    cancelled: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
enum Usage {
    Opening { until: Time },
    Idle,
    Running { job: RequestId, until: Time },
    Held,
}

/// A transaction that a caller has open.
#[derive(Debug, Serialize)]
pub(super) struct Transaction {
    pub conn: ConnId,
    /// Whether a statement of it is queued or runs.
    pub running: bool,
    /// When it is rolled back if no statement follows.
    until: Time,
}

impl Holder {
    pub(super) fn is_running(&self, id: RequestId) -> bool {
        self.conn_of(id).is_some()
    }

    fn conn_of(&self, id: RequestId) -> Option<ConnId> {
        let runs = |c: &Connection| matches!(c.usage, Usage::Running { job, .. } if job == id);
        let found = self.connections.iter().find(|(_, c)| runs(c));
        found.map(|(conn, _)| *conn)
    }

    /// Opens as many connections as the pool's policy allows.
    pub(super) fn grow(&mut self, turn: &mut Turn) {
        if self.starved.is_empty() {
            return;
        }
        for _ in 0..self.pool.grow(turn.now, self.demand()) {
            let conn = ConnId(turn.world.id());
            let until = turn.now + turn.timing().answer;
            let usage = Usage::Opening { until };
            self.connections.insert(conn, Connection::new(usage));
            turn.connect(conn, &self.database, self.address);
        }
        if self.connections.is_empty() {
            self.fail_starved(turn);
        }
    }

    fn demand(&self) -> Demand {
        let opening = |c: &&Connection| matches!(c.usage, Usage::Opening { .. });
        let opening = self.connections.values().filter(opening).count();
        let idle = self.idle.len();
        Demand {
            waiting: self.starved.len() as u32,
            idle: idle as u32,
            busy: (self.connections.len() - idle - opening) as u32,
            opening: opening as u32,
        }
    }

    /// Runs a job on a connection that is idle or belongs to the job's transaction.
    pub(super) fn run(&mut self, turn: &mut Turn, id: RequestId, conn: ConnId) {
        let timing = turn.timing();
        let (Some(job), Some(connection)) = (self.jobs.get(&id), self.connections.get_mut(&conn))
        else {
            return self.gate.finish(turn.now, id);
        };
        connection.usage = Usage::Running {
            job: id,
            until: job.silent_at(turn.now, timing),
        };
        let run = Run {
            request: id,
            term: job.term,
            caller: job.work.caller.clone(),
            key: job.work.key.clone(),
            body: job.work.body.clone(),
        };
        turn.database(Command::Run { conn, run });
    }

    /// Handles an event on a connection to this database.
    pub fn event(&mut self, turn: &mut Turn, event: Event) {
        match event {
            Event::Connected { conn } => self.connected(turn, conn),
            Event::ConnectFailed { conn, .. } => self.connect_failed(turn, conn),
            Event::Answered { conn, reply } => self.answered(turn, conn, reply),
            Event::Refused {
                conn,
                request,
                refusal,
            } => self.refused(turn, conn, request, refusal),
            Event::Closed { conn } => self.closed(turn, conn),
            Event::Controlled { .. } => {}
        }
        self.pump(turn);
    }

    fn connected(&mut self, turn: &mut Turn, conn: ConnId) {
        self.pool.opened(turn.now);
        self.set_idle(turn, conn);
    }

    fn set_idle(&mut self, turn: &mut Turn, conn: ConnId) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        // A cancel request may still be in flight and would cancel the next caller's work.
        if connection.cancelled {
            return self.close(turn, conn);
        }
        connection.usage = Usage::Idle;
        self.idle.push(conn);
    }

    fn connect_failed(&mut self, turn: &mut Turn, conn: ConnId) {
        self.connections.remove(&conn);
        // A database that is down must not be asked in a tight loop either.
        self.pool.refused(turn.now);
    }

    /// Ends all jobs that wait for a connection while none is open or opening. They have not been
    /// run, so their callers can try another database now instead of waiting until their deadlines.
    fn fail_starved(&mut self, turn: &mut Turn) {
        let cause = match self.role {
            Role::Replica => Cause::Refused,
            _ => Cause::NoPrimary,
        };
        while let Some(id) = self.starved.pop_front() {
            self.drop_job(turn, id, cause, None);
        }
    }

    /// Whether `conn` runs `request`. If it runs something else, the answer would reach another
    /// caller, so the connection is closed and the answer dropped.
    fn verify_running(&mut self, turn: &mut Turn, conn: ConnId, request: RequestId) -> bool {
        match self.connections.get(&conn).map(|c| &c.usage) {
            Some(Usage::Running { job, .. }) if *job == request => true,
            Some(_) => {
                turn.world.counters.nonsense += 1;
                self.closed(turn, conn);
                close(turn, conn);
                false
            }
            None => false,
        }
    }

    fn answered(&mut self, turn: &mut Turn, conn: ConnId, reply: Reply) {
        if !self.verify_running(turn, conn, reply.request) {
            return;
        }
        let Some(job) = self.release(turn.now, reply.request) else {
            return;
        };
        self.advance(reply.applied);
        let owner = job.owner();
        if reply.status == Status::Idle || job.abandoned {
            self.transactions.remove(&owner);
            if reply.status == Status::Idle {
                self.set_idle(turn, conn);
            } else {
                self.close(turn, conn);
            }
        } else {
            self.hold(turn, owner, conn);
        }
        if self.is_below_floor(job.work.floor, &reply) {
            self.roll_back(turn, &job.owner());
            return self.end(turn, job, End::Unknown(Unknown::Unconfirmed));
        }
        self.end(turn, job, End::Answered(reply));
    }

    /// Whether an answer comes from a log that does not include the session's floor.
    ///
    /// A replica may have been restarted or replaced since its position was read, and the session
    /// would not see its own write. Each answer therefore carries the applied position, and an
    /// answer below the floor is not passed on.
    fn is_below_floor(&self, floor: Option<Position>, reply: &Reply) -> bool {
        let Some(floor) = floor else {
            return false;
        };
        let Some(state) = &self.state else {
            return true;
        };
        state.lineage.relation(floor) != Relation::Kept || reply.applied.offset < floor.offset
    }

    fn hold(&mut self, turn: &mut Turn, owner: (VmId, Link), conn: ConnId) {
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.usage = Usage::Held;
        }
        let until = turn.now + turn.timing().idle_transaction;
        let transaction = Transaction {
            conn,
            running: false,
            until,
        };
        self.transactions.insert(owner, transaction);
    }

    fn refused(&mut self, turn: &mut Turn, conn: ConnId, request: RequestId, refusal: Refusal) {
        if !self.verify_running(turn, conn, request) {
            return;
        }
        let Some(job) = self.release(turn.now, request) else {
            return;
        };
        if !job.continues() {
            self.set_idle(turn, conn);
        }
        let cause = match refusal {
            Refusal::Term(_) => Cause::NoPrimary,
            Refusal::ReadOnly | Refusal::KeyBusy => Cause::Refused,
            Refusal::Full => Cause::Busy,
        };
        self.end_not_run(turn, job, cause, Some(refusal));
    }

    /// Handles a connection that closed by itself.
    fn closed(&mut self, turn: &mut Turn, conn: ConnId) {
        let Some(connection) = self.connections.remove(&conn) else {
            return;
        };
        self.idle.retain(|idle| *idle != conn);
        self.transactions.retain(|_, t| t.conn != conn);
        if let Usage::Running { job, .. } = connection.usage {
            self.end_unknown(turn, job);
        }
    }

    fn close(&mut self, turn: &mut Turn, conn: ConnId) {
        if self.connections.remove(&conn).is_some() {
            self.idle.retain(|idle| *idle != conn);
            close(turn, conn);
        }
    }

    /// Closes connections that stopped answering, rolls back transactions whose idle time is over,
    /// and closes surplus idle connections.
    ///
    /// The network between proxy and database can lose an open connection silently while new ones
    /// work, and a caller would wait for ever. Each wait for a connection therefore has its own
    /// deadline.
    pub(super) fn tick_connections(&mut self, turn: &mut Turn) {
        let now = turn.now;
        let silent = |usage: &Usage| match usage {
            Usage::Opening { until } | Usage::Running { until, .. } => *until <= now,
            Usage::Idle | Usage::Held => false,
        };
        let silent = self.connections.iter().filter(|(_, c)| silent(&c.usage));
        let silent: Vec<ConnId> = silent.map(|(conn, _)| *conn).collect();
        // What lost this connection has probably lost those that were idle at the same time; each
        // of them would cost the next caller its whole timeout.
        if !silent.is_empty() {
            self.close_idle(turn);
        }
        for conn in silent {
            turn.world.counters.silent_connections += 1;
            close(turn, conn);
            self.closed(turn, conn);
        }
        let stale = |t: &&Transaction| !t.running && t.until <= now;
        let stale = self.transactions.iter().filter(|(_, t)| stale(t));
        let stale: Vec<(VmId, Link)> = stale.map(|(owner, _)| owner.clone()).collect();
        for owner in stale {
            self.roll_back(turn, &owner);
        }
        for _ in 0..self.pool.shrink(now, self.demand()) {
            self.close_one_idle(turn);
        }
    }

    fn close_one_idle(&mut self, turn: &mut Turn) {
        if let Some(conn) = self.idle.first().copied() {
            self.close(turn, conn);
        }
    }

    /// Closes every idle connection. Used when another VM holds the database, or it is being
    /// removed.
    pub fn close_idle(&mut self, turn: &mut Turn) {
        while !self.idle.is_empty() {
            self.close_one_idle(turn);
        }
    }

    /// Rolls back an open transaction by closing its connection.
    ///
    /// When a caller or its entry is gone or its time is over, locks must not stay held and the
    /// next caller's work must not join the transaction. Closing the connection ends the database
    /// session, and the connection is never used again.
    pub(super) fn roll_back(&mut self, turn: &mut Turn, owner: &(VmId, Link)) {
        if let Some(transaction) = self.transactions.remove(owner) {
            turn.world.counters.rollbacks += 1;
            self.close(turn, transaction.conn);
        }
    }

    /// Rolls back the transactions that have no statement queued or running.
    pub(super) fn roll_back_idle(&mut self, turn: &mut Turn) {
        let idle = self.transactions.iter().filter(|(_, t)| !t.running);
        let idle: Vec<(VmId, Link)> = idle.map(|(owner, _)| owner.clone()).collect();
        for owner in idle {
            self.roll_back(turn, &owner);
        }
    }

    pub(super) fn roll_back_departed(&mut self, turn: &mut Turn, vm: &VmId, link: Option<Link>) {
        let gone = |owner: &(VmId, Link)| owner.0 == *vm && link.is_none_or(|l| l == owner.1);
        let idle = |t: &Transaction| !t.running;
        let found = self.transactions.iter();
        let found = found.filter(|(owner, t)| gone(owner) && idle(t));
        let found: Vec<(VmId, Link)> = found.map(|(owner, _)| owner.clone()).collect();
        for owner in found {
            self.roll_back(turn, &owner);
        }
    }

    pub(super) fn cancel_running(&mut self, turn: &mut Turn, id: RequestId) {
        let Some(conn) = self.conn_of(id) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.cancelled = true;
        }
        turn.database(Command::Cancel { conn });
    }
}

impl Connection {
    fn new(usage: Usage) -> Self {
        Self {
            usage,
            cancelled: false,
        }
    }
}
