//! The owners' part of the simulation: they queue statements and run them at databases.

use super::{Event, OWNER_TIME, Statement, Wake, World};
use crate::clock::Span;
use crate::experiment::overload::gate::{Step, Work};
use crate::experiment::target;
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many statements a database lets wait for each of its slots.
const QUEUED_PER_SLOT: usize = 1;

impl World {
    /// Sends an operation to the owner that serves its organisation.
    pub(super) fn send(&mut self, id: u64) {
        let Some(request) = self.ops.get(&id).map(|op| op.request) else {
            return;
        };
        let arrival = self.arrival(request);
        let (vm, database) = (arrival.vm, arrival.database);
        let name = &self.plan.organisations[arrival.organisation].name;
        let hash = xxh3_64_with_seed(name.as_bytes(), database as u64);
        let owner = (hash % self.owners[database].len().max(1) as u64) as usize;
        let delay = self.delay(vm, self.owners[database][owner]);
        if let Some(op) = self.ops.get_mut(&id) {
            op.owner = Some(owner);
        }
        self.schedule(self.now + delay, Event::AtOwner(id));
    }

    /// The database and the owner that an operation was sent to.
    fn place(&self, id: u64) -> Option<(usize, usize)> {
        let op = self.ops.get(&id)?;
        Some((self.arrival(op.request).database, op.owner?))
    }

    pub(super) fn at_owner(&mut self, id: u64) {
        if let Some((database, owner)) = self.place(id) {
            let vm = self.owners[database][owner];
            self.process(vm, OWNER_TIME, Event::Offer(id));
        }
    }

    pub(super) fn offer(&mut self, id: u64) {
        let Some(op) = self.ops.get(&id) else {
            return;
        };
        if op.gone && self.policy.notices_leaving() {
            self.ops.remove(&id);
            return;
        }
        let Some((database, owner)) = self.place(id) else {
            return;
        };
        let arrival = self.arrival(op.request);
        let work = Work {
            id,
            organisation: arrival.organisation,
            rank: arrival.rank,
            sent_at: op.sent_at,
            objective: op.until.since(op.sent_at),
        };
        let steps = self.gates[database][owner].offer(work, self.now);
        self.carry_out(database, owner, steps);
    }

    pub(super) fn cancel(&mut self, id: u64) {
        let Some((database, owner)) = self.place(id) else {
            return;
        };
        if self.statements.contains_key(&id) {
            return;
        }
        let steps = self.gates[database][owner].remove(id, self.now);
        self.ops.remove(&id);
        self.carry_out(database, owner, steps);
    }

    pub(super) fn advance_gate(&mut self, database: usize, owner: usize) {
        let steps = self.gates[database][owner].advance(self.now);
        self.carry_out(database, owner, steps);
    }

    fn carry_out(&mut self, database: usize, owner: usize, steps: Vec<Step>) {
        let mut steps = VecDeque::from(steps);
        while let Some(step) = steps.pop_front() {
            match step {
                Step::Start(id) => steps.extend(self.start_statement(database, owner, id)),
                Step::Refuse(id, retry) => self.tell_refusal(database, owner, id, retry),
            }
        }
        let at = self.gates[database][owner].wake();
        self.wake_at(at, Wake::Gate(database, owner));
    }

    fn tell_refusal(&mut self, database: usize, owner: usize, id: u64, retry: Span) {
        let Some(op) = self.ops.get(&id) else {
            return;
        };
        let vm = self.arrival(op.request).vm;
        let at = self.now + self.delay(vm, self.owners[database][owner]);
        self.schedule(at, Event::Refused(id, retry));
    }

    /// Sends a statement to the database, which refuses it if too many wait there.
    fn start_statement(&mut self, database: usize, owner: usize, id: u64) -> Vec<Step> {
        let slots = self.slots as usize;
        let target = &mut self.targets[database];
        if !target.has_free_slot() && target.waiting() >= slots * QUEUED_PER_SLOT {
            let (retry, steps) = self.gates[database][owner].refused(id, self.now);
            self.tell_refusal(database, owner, id, retry);
            return steps;
        }
        let Some(op) = self.ops.get(&id) else {
            return Vec::new();
        };
        let arrival = &self.plan.arrivals[op.request];
        let new = self
            .connected
            .insert((database, owner, arrival.organisation));
        let connect = if new { self.connect } else { Span::ZERO };
        let statement = target::Statement {
            work: id,
            service: arrival.service + connect,
        };
        let runs = target.start(self.now, statement);
        let started = self.now;
        self.statements.insert(id, Statement { owner, started });
        if let Some(span) = runs {
            self.schedule(self.now + span, Event::Ended(database, id));
        }
        Vec::new()
    }

    pub(super) fn ended(&mut self, database: usize, id: u64) {
        if let Some((next, span)) = self.targets[database].end(self.now) {
            self.schedule(self.now + span, Event::Ended(database, next.work));
        }
        let Some(statement) = self.statements.remove(&id) else {
            return;
        };
        if id < self.first_op {
            return;
        }
        let owner = statement.owner;
        if let Some(op) = self.ops.get(&id) {
            let vm = self.arrival(op.request).vm;
            let at = self.now + self.delay(vm, self.owners[database][owner]);
            self.schedule(at, Event::Done(id));
        }
        let took = self.now.since(statement.started);
        let steps = self.gates[database][owner].answered(id, took, self.now);
        self.carry_out(database, owner, steps);
    }
}
