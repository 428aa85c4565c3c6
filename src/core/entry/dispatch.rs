//! Dispatches requests: to the primary, or to one replica after the other.

use super::{Entry, Pending, Sent};
use crate::clock::Span;
use crate::core::message::{Message, Work};
use crate::core::request::{Cause, Class, Kind, Request};
use crate::core::route::{Candidate, Need};
use crate::core::world::Turn;
use crate::types::{DatabaseId, VmId};

/// The part of the remaining time, in percent, that a holder does not get, so that its "not run"
/// arrives before the entry has to report an unknown outcome.
const DEADLINE_MARGIN_PERCENT: u64 = 5;

impl Entry {
    /// Sends a request to a database that may run it, or queues it until a leader or a lease is
    /// available.
    pub(super) fn dispatch(&mut self, turn: &mut Turn, mut pending: Pending) {
        if pending.request.deadline <= turn.now {
            return self.not_run(turn, pending, Cause::Expired, Span::ZERO);
        }
        match pending.request.kind {
            Kind::Write | Kind::Begin | Kind::Continue => {
                pending.floor = self.known_floor(&pending.request);
                self.send_to_primary(turn, pending);
            }
            Kind::Read | Kind::BeginRead => {
                let Some(session) = pending.request.session.clone() else {
                    pending.floor = self.own_floor(&pending.request);
                    return self.send_to_replica(turn, pending);
                };
                self.send_under_lease(turn, pending, session);
            }
        }
    }

    /// Sends a read to the best database that was not tried yet, or to the primary if none is left.
    pub(super) fn send_to_replica(&mut self, turn: &mut Turn, mut pending: Pending) {
        if pending.untried.is_none() {
            pending.untried = Some(self.rank_databases(turn, &pending));
        }
        let leader = turn.world.leaders.get(&pending.request.group);
        let primary = leader.map(|leader| leader.database.clone());
        let next = pending.untried.as_mut().and_then(Vec::pop);
        match next {
            Some(database) if Some(&database) != primary.as_ref() => {
                let vm = turn.world.holder(turn.now, &database);
                self.send(turn, pending, vm, database, false);
            }
            _ => self.send_to_primary(turn, pending),
        }
    }

    /// The databases for a read, worst first.
    fn rank_databases(&mut self, turn: &mut Turn, pending: &Pending) -> Vec<DatabaseId> {
        let group = &pending.request.group;
        let leader = turn.world.leaders.get(group);
        let primary = leader.map(|leader| &leader.database);
        let Some(found) = turn.world.group(group) else {
            return Vec::new();
        };
        let remaining = found
            .databases
            .iter()
            .filter(|(_, settings)| !settings.leaving);
        let candidates: Vec<Candidate> = remaining
            .map(|(id, settings)| Candidate {
                database: id.clone(),
                primary: primary == Some(id),
                near: settings.domain == turn.world.me.domain,
            })
            .collect();
        let need = Need {
            floor: pending.floor,
            max_age: pending.request.max_age,
        };
        let view = self.groups.entry(group.clone()).or_default();
        let mut order = view.router.order(turn.now, &need, &candidates);
        order.reverse();
        order
    }

    /// Sends work to a database's holder and records it until it is answered.
    pub(super) fn send(
        &mut self,
        turn: &mut Turn,
        mut pending: Pending,
        vm: VmId,
        database: DatabaseId,
        primary: bool,
    ) {
        let id = turn.id();
        pending.tries += 1;
        let request = &pending.request;
        let left = request.deadline.since(turn.now);
        let leader = turn.world.leaders.get(&request.group);
        let work = Work {
            request: id,
            link: request.link,
            session: request.session.clone(),
            caller: request.caller.clone(),
            pool: request.pool.clone(),
            group: request.group.clone(),
            database: database.clone(),
            kind: request.kind,
            primary,
            class: class(turn, request),
            floor: pending.floor,
            max_age: request.max_age,
            key: request.key.clone(),
            timeout: left.percent(100 - DEADLINE_MARGIN_PERCENT),
            leader: leader.map(|leader| leader.term),
            body: request.body.clone(),
        };
        if let Some(view) = self.groups.get_mut(&request.group) {
            view.router.sent(turn.now, &database);
        }
        turn.send(&vm, Message::Work(work));
        let sent = Sent {
            pending,
            vm,
            database,
            at: turn.now,
            primary,
        };
        self.sent.insert(id, sent);
    }
}

/// The priority class of a request.
fn class(turn: &Turn, request: &Request) -> Class {
    if turn.world.pool(&request.pool).is_some_and(|pool| pool.long) {
        return Class::Long;
    }
    match request.kind {
        Kind::Write | Kind::Begin | Kind::Continue => Class::Confirm,
        Kind::Read | Kind::BeginRead if request.max_age.is_some() => Class::Aged,
        Kind::Read | Kind::BeginRead => Class::Session,
    }
}
