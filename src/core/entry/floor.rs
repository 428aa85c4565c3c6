//! Floors at the entry: what a session has to see, and the leases that vouch for it.

use super::{Asking, Entry, Lease, Pending};
use crate::clock::{Span, Time};
use crate::core::lineage::Standing;
use crate::core::message::{Ask, Grant, Leased, Message, Revoke};
use crate::core::request::{Cause, Request};
use crate::core::world::Turn;
use crate::types::{GroupId, Position, SessionId, VmId};

impl Entry {
    /// The floor of a connection that is a session of its own, and of what it showed.
    pub(super) fn own_floor(&self, request: &Request) -> Option<Position> {
        let caller = self.links.get(&request.link)?;
        let own = caller
            .floors
            .iter()
            .find(|(group, _)| *group == request.group);
        highest(own.map(|(_, floor)| *floor), request.shown)
    }

    /// The floor that a caller is shown with its answer.
    pub(super) fn shown_floor(&self, request: &Request) -> Option<Position> {
        let Some(session) = &request.session else {
            return self.own_floor(request);
        };
        let key = (request.group.clone(), session.clone());
        self.leases.get(&key).map(|lease| lease.floor)
    }

    /// The session of `request` wrote up to `position`; its lease was renewed until `until`.
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

    /// The highest floor known of the session of `request`, whether or not anybody vouches for
    /// it now.
    pub(super) fn known_floor(&self, request: &Request) -> Option<Position> {
        let Some(session) = &request.session else {
            return self.own_floor(request);
        };
        let key = (request.group.clone(), session.clone());
        let lease = self.leases.get(&key).map(|lease| lease.floor);
        highest(lease, request.shown)
    }

    /// A write of the session of `request` is not in the log any more. That is told once; the
    /// floor goes on from what the database that noticed has applied, which is never too low.
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

    /// Sends a named session's read under a lease on its floor, which is asked for first where
    /// there is none.
    ///
    /// Failure: the session also writes by way of another proxy. Symptom: it reads here what
    /// was before its write. Enough, because the other write is acknowledged only when this
    /// lease was given back or has lapsed.
    pub(super) fn under_lease(
        &mut self,
        turn: &mut Turn,
        mut pending: Pending,
        session: SessionId,
    ) {
        let key = (pending.request.group.clone(), session);
        let live = self.leases.get(&key).filter(|lease| lease.until > turn.now);
        if let Some(lease) = live {
            pending.floor = highest(Some(lease.floor), pending.request.shown);
            return self.send_to_replica(turn, pending);
        }
        let Some(leader) = self.leader(turn, &pending.request.group) else {
            return self.wait_for_leader(turn, pending);
        };
        let request = turn.id();
        let ask = Ask {
            request,
            group: key.0,
            session: Some(key.1.clone()),
        };
        let asking = Asking {
            pending,
            session: key.1,
            vm: leader.steward.clone(),
            at: turn.now,
            until: turn.now + turn.timing().probe,
        };
        self.asks.insert(request, asking);
        turn.send(&leader.steward, Message::Ask(ask));
    }

    /// A steward answered a question for a floor, or told who leads.
    pub fn granted(&mut self, turn: &mut Turn, from: &VmId, grant: Grant) {
        self.learn(turn, &grant.group, grant.primary.as_ref());
        if self
            .asks
            .get(&grant.request)
            .is_none_or(|asking| asking.vm != *from)
        {
            return;
        }
        let Some(asking) = self.asks.remove(&grant.request) else {
            return;
        };
        match grant.floor {
            Some(leased) => self.use_lease(turn, asking, leased),
            // Whoever leads can't vouch for the floor now. The primary's own answer needs no
            // floor, since it is passed on only while its term is confirmed.
            None => self.send_to_primary(turn, asking.pending),
        }
    }

    fn use_lease(&mut self, turn: &mut Turn, asking: Asking, leased: Leased) {
        let mut pending = asking.pending;
        let key = (pending.request.group.clone(), asking.session);
        let shown = pending.request.shown;
        let lease = self.lease(&key);
        let known = highest(Some(lease.floor), shown);
        let lost = known.is_some_and(|floor| leased.lineage.standing(floor) == Standing::Lost);
        lease.floor = leased.floor;
        lease.until = asking.at + leased.span;
        if lost {
            return self.not_run(turn, pending, Cause::Lost, Span::ZERO);
        }
        pending.floor = highest(Some(leased.floor), shown);
        self.send_to_replica(turn, pending);
    }

    /// A steward takes a lease back: the session wrote elsewhere.
    pub fn revoked(&mut self, turn: &mut Turn, from: &VmId, revoke: Revoke) {
        let key = (revoke.group.clone(), revoke.session.clone());
        if let Some(lease) = self.leases.get_mut(&key) {
            lease.until = Time::default();
        }
        // A grant that is still under way was given before the write and must not be used.
        let same = |asking: &Asking| {
            asking.session == revoke.session && asking.pending.request.group == revoke.group
        };
        let mut stale: Vec<_> = self.asks.extract_if(|_, asking| same(asking)).collect();
        stale.sort_unstable_by_key(|(id, _)| *id);
        turn.send(from, Message::Revoked(revoke));
        for (_, asking) in stale {
            self.dispatch(turn, asking.pending);
        }
    }
}

/// The floor that goes further. A floor that a caller showed only ever raises.
fn highest(known: Option<Position>, shown: Option<Position>) -> Option<Position> {
    match (known, shown) {
        (Some(known), Some(shown)) if shown.offset > known.offset => Some(shown),
        (None, shown) => shown,
        (known, _) => known,
    }
}
