//! A holder's connections: opened, used, kept by a transaction, and closed in doubt.

use super::{Holder, close};
use crate::clock::Time;
use crate::core::database::{Command, Event, Refusal, Reply, Run};
use crate::core::job::End;
use crate::core::lineage::Standing;
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
    /// Asked to cancel what it runs.
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
    /// A statement of it is queued or runs.
    pub running: bool,
    /// When it is rolled back if nothing more comes.
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

    /// Opens connections as the pool's growth says.
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
            self.give_up_starved(turn);
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

    /// Hands a job to a connection that is idle or belongs to its transaction.
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

    /// A connection of this database did something.
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
        // A cancel request may still be on its way and would hit the next caller's work.
        if connection.cancelled {
            return self.close(turn, conn);
        }
        connection.usage = Usage::Idle;
        self.idle.push(conn);
    }

    fn connect_failed(&mut self, turn: &mut Turn, conn: ConnId) {
        self.connections.remove(&conn);
        // A database that is down is not to be asked in a tight loop either.
        self.pool.refused(turn.now);
    }

    /// Failure: no connection can be opened. Symptom: work waits for one until its deadline and
    /// its caller is told late. Enough, because without any connection open or opening nothing
    /// has been run, so all that waits ends at once and can be tried elsewhere.
    fn give_up_starved(&mut self, turn: &mut Turn) {
        let cause = match self.role {
            Role::Replica => Cause::Refused,
            _ => Cause::NoPrimary,
        };
        while let Some(id) = self.starved.pop_front() {
            self.drop_job(turn, id, cause, None);
        }
    }

    /// Failure: an answer arrives for other work than the connection runs. Symptom: a caller
    /// gets another's rows. Enough, because the connection is closed and the answer dropped.
    fn running(&mut self, turn: &mut Turn, conn: ConnId, request: RequestId) -> bool {
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
        if !self.running(turn, conn, reply.request) {
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
        if self.shows_too_little(job.work.floor, &reply) {
            self.roll_back(turn, &job.owner());
            return self.end(turn, job, End::Unknown(Unknown::Unconfirmed));
        }
        self.end(turn, job, End::Answered(reply));
    }

    /// Failure: a replica was restarted or replaced since it showed its position. Symptom: a
    /// session does not see its own write. Enough, because the answer itself tells how far the
    /// log was applied, and one that tells less than the floor is not passed on.
    fn shows_too_little(&self, floor: Option<Position>, reply: &Reply) -> bool {
        let Some(floor) = floor else {
            return false;
        };
        let Some(state) = &self.state else {
            return true;
        };
        state.lineage.standing(floor) != Standing::Kept || reply.applied.offset < floor.offset
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
        if !self.running(turn, conn, request) {
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

    /// A connection is gone by itself.
    fn closed(&mut self, turn: &mut Turn, conn: ConnId) {
        let Some(connection) = self.connections.remove(&conn) else {
            return;
        };
        self.idle.retain(|idle| *idle != conn);
        self.transactions.retain(|_, t| t.conn != conn);
        if let Usage::Running { job, .. } = connection.usage {
            self.lose(turn, job);
        }
    }

    fn close(&mut self, turn: &mut Turn, conn: ConnId) {
        if self.connections.remove(&conn).is_some() {
            self.idle.retain(|idle| *idle != conn);
            close(turn, conn);
        }
    }

    /// Failure: something between the two ends has lost a connection; new ones work. Symptom:
    /// a caller hangs. Enough, because each wait for a connection has its own deadline.
    pub(super) fn tick_connections(&mut self, turn: &mut Turn) {
        let now = turn.now;
        let silent = |usage: &Usage| match usage {
            Usage::Opening { until } | Usage::Running { until, .. } => *until <= now,
            Usage::Idle | Usage::Held => false,
        };
        let silent = self.connections.iter().filter(|(_, c)| silent(&c.usage));
        let silent: Vec<ConnId> = silent.map(|(conn, _)| *conn).collect();
        // Whatever lost track of one has as likely lost track of those that were idle beside it;
        // each would cost the next caller its whole patience.
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

    /// Closes every idle connection: another VM holds the database, or it is leaving.
    pub fn close_idle(&mut self, turn: &mut Turn) {
        while !self.idle.is_empty() {
            self.close_one_idle(turn);
        }
    }

    /// Failure: a caller, its entry or its patience is gone in the middle of a transaction.
    /// Symptom: locks stay, or the next caller's work joins the transaction. Enough, because
    /// the connection is closed, which ends the database's session, and never used again.
    pub(super) fn roll_back(&mut self, turn: &mut Turn, owner: &(VmId, Link)) {
        if let Some(transaction) = self.transactions.remove(owner) {
            turn.world.counters.rollbacks += 1;
            self.close(turn, transaction.conn);
        }
    }

    /// Rolls back the transactions that run nothing just now.
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
