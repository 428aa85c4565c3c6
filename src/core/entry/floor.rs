//! Session floors at the entry, and the leases that guarantee them. A floor is the lowest log
//! position that a session's reads must see.

use super::{Entry, Lease, LeaseRequest, Pending};
use crate::clock::{Span, Time};
use crate::core::lineage::Relation;
use crate::core::message::{FloorRequest, Grant, Leased, Message, Revoke};
use crate::core::request::{Cause, Request};
use crate::core::world::Turn;
use crate::types::{GroupId, Position, SessionId, VmId};

impl Entry {
    /// The floor of a connection that is a session of its own, including the position in its token.
    pub(super) fn own_floor(&self, request: &Request) -> Option<Position> {
        let caller = self.links.get(&request.link)?;
        let own = caller
            .floors
            .iter()
            .find(|(group, _)| *group == request.group);
        highest(own.map(|(_, floor)| *floor), request.token_floor)
    }

    /// The floor sent to a caller with its answer.
    pub(super) fn reported_floor(&self, request: &Request) -> Option<Position> {
        let Some(session) = &request.session else {
            return self.own_floor(request);
        };
        let key = (request.group.clone(), session.clone());
        self.leases.get(&key).map(|lease| lease.floor)
    }

    /// Raises the floor of the session of `request` to `position`, up to which it wrote; its lease
    /// was extended until `until`.
    pub(super) fn raise_floor(&mut self, request: &Request, position: Position, until: Time) {
        let Some(session) = &request.session else {
            return self.set_own_floor(request, position);
        };
        let key = (request.group.clone(), session.clone());
        let lease = self.lease(&key);
        // Answers to two connections of one session may arrive in either order.
        if position > lease.floor {
            lease.floor = position;
        }
        lease.until = lease.until.max(until);
    }

    /// The highest known floor of the session of `request`, whether or not a lease on it is valid.
    pub(super) fn known_floor(&self, request: &Request) -> Option<Position> {
        let Some(session) = &request.session else {
            return self.own_floor(request);
        };
        let key = (request.group.clone(), session.clone());
        let lease = self.leases.get(&key).map(|lease| lease.floor);
        highest(lease, request.token_floor)
    }

    /// Resets the floor of the session of `request` after a write of it was lost from the log. The
    /// loss is reported once. The new floor is the position that the database which detected the
    /// loss has applied, which is never too low.
    pub(super) fn forget_floor(&mut self, request: &Request, applied: Position) {
        let Some(session) = &request.session else {
            return self.set_own_floor(request, applied);
        };
        let key = (request.group.clone(), session.clone());
        let lease = self.lease(&key);
        lease.floor = applied;
        lease.until = Time::default();
    }

    pub(super) fn set_own_floor(&mut self, request: &Request, position: Position) {
        let Some(caller) = self.links.get_mut(&request.link) else {
            return;
        };
        let mut known = caller.floors.iter_mut();
        match known.find(|(group, _)| *group == request.group) {
            Some((_, floor)) => *floor = position,
            None => caller.floors.push((request.group.clone(), position)),
        }
    }

    fn lease(&mut self, key: &(GroupId, SessionId)) -> &mut Lease {
        let make = || Lease {
            floor: Position::default(),
            until: Time::default(),
        };
        self.leases.touch(key, make).0
    }

    /// Sends a named session's read under a lease on its floor, and requests a lease first if none
    /// is valid.
    ///
    /// The session may also write through another proxy, and its reads here would miss that write.
    /// The other write is therefore acknowledged only after this lease was released or has expired.
    pub(super) fn send_under_lease(
        &mut self,
        turn: &mut Turn,
        mut pending: Pending,
        session: SessionId,
    ) {
        let key = (pending.request.group.clone(), session);
        let live = self.leases.get(&key).filter(|lease| lease.until > turn.now);
        if let Some(lease) = live {
            pending.floor = highest(Some(lease.floor), pending.request.token_floor);
            return self.send_to_replica(turn, pending);
        }
        let Some(leader) = self.leader(turn, &pending.request.group) else {
            return self.wait_for_leader(turn, pending);
        };
        let request = turn.id();
        let ask = FloorRequest {
            request,
            group: key.0,
            session: Some(key.1.clone()),
        };
        let lease_request = LeaseRequest {
            pending,
            session: key.1,
            vm: leader.steward.clone(),
            at: turn.now,
            until: turn.now + turn.timing().probe,
        };
        self.asks.insert(request, lease_request);
        turn.send(&leader.steward, Message::FloorRequest(ask));
    }

    /// Handles a steward's answer to a request for a floor, or its report of a group's leader.
    pub fn granted(&mut self, turn: &mut Turn, from: &VmId, grant: Grant) {
        self.update_leader(turn, &grant.group, grant.primary.as_ref());
        if self
            .asks
            .get(&grant.request)
            .is_none_or(|lease_request| lease_request.vm != *from)
        {
            return;
        }
        let Some(lease_request) = self.asks.remove(&grant.request) else {
            return;
        };
        match grant.floor {
            Some(leased) => self.use_lease(turn, lease_request, leased),
            // The steward can't guarantee the floor now. The primary's own answer needs no floor,
            // since it is passed on only while the primary's term is confirmed.
            None => self.send_to_primary(turn, lease_request.pending),
        }
    }

    fn use_lease(&mut self, turn: &mut Turn, lease_request: LeaseRequest, leased: Leased) {
        let mut pending = lease_request.pending;
        let key = (pending.request.group.clone(), lease_request.session);
        let token_floor = pending.request.token_floor;
        let lease = self.lease(&key);
        let known = highest(Some(lease.floor), token_floor);
        let lost = known.is_some_and(|floor| leased.lineage.relation(floor) == Relation::Lost);
        lease.floor = leased.floor;
        lease.until = lease_request.at + leased.span;
        if lost {
            return self.not_run(turn, pending, Cause::Lost, Span::ZERO);
        }
        pending.floor = highest(Some(leased.floor), token_floor);
        self.send_to_replica(turn, pending);
    }

    /// Revokes a lease because the session wrote through another proxy.
    pub fn revoked(&mut self, turn: &mut Turn, from: &VmId, revoke: Revoke) {
        let key = (revoke.group.clone(), revoke.session.clone());
        if let Some(lease) = self.leases.get_mut(&key) {
            lease.until = Time::default();
        }
        // A grant still in flight was issued before the write and must not be used.
        let same = |lease_request: &LeaseRequest| {
            lease_request.session == revoke.session
                && lease_request.pending.request.group == revoke.group
        };
        let mut stale: Vec<_> = self
            .asks
            .extract_if(|_, lease_request| same(lease_request))
            .collect();
        stale.sort_unstable_by_key(|(id, _)| *id);
        turn.send(from, Message::Revoked(revoke));
        for (_, lease_request) in stale {
            self.dispatch(turn, lease_request.pending);
        }
    }
}

/// The higher of two floors. A floor from a caller's token can only raise the known one.
fn highest(known: Option<Position>, token_floor: Option<Position>) -> Option<Position> {
    match (known, token_floor) {
        (Some(known), Some(token_floor)) if token_floor.offset > known.offset => Some(token_floor),
        (None, token_floor) => token_floor,
        (known, _) => known,
    }
}
