//! Leases on sessions' floors: granted to entries, renewed and revoked.

use super::Steward;
use super::lead::Lead;
use crate::clock::{Span, Time};
use crate::core::acknowledge::Waiting;
use crate::core::message::{FloorRequest, Grant, Leased, Message, Revoke};
use crate::core::term::DRIFT_PERCENT;
use crate::core::world::Turn;
use crate::types::{GroupId, Position, SessionId, VmId};

/// The longest lease. In a group of one database, which needs no confirmations, it bounds how long
/// a write waits for an unreachable entry to release its lease.
const LEASE_LIMIT: Span = Span::from_secs(1);

impl Steward {
    /// Answers an entry that asks for a lease on a session's floor, or only for the leader.
    ///
    /// A lease ends with the confirmations that allow it, and the entry counts it from when it
    /// asked, so no lease outlives its term. Otherwise two stewards, or one that was paused,
    /// could grant different floors, and a session would not see its write.
    pub fn ask(&mut self, turn: &mut Turn, from: &VmId, ask: FloorRequest) {
        let now = turn.now;
        let session = ask.session;
        let granted = match (self.lead(), &session) {
            (Some(lead), Some(session)) => lead.lease_end(now).map(|until| Leased {
                floor: lead
                    .sessions
                    .grant(session, from, now, with_drift(now, until)),
                span: until.since(now),
                lineage: lead.lineage.clone(),
            }),
            _ => None,
        };
        if granted.is_none() {
            turn.world.counters.grants_refused += u64::from(session.is_some());
            return self.send_leader(turn, from, ask.request);
        }
        turn.world.counters.grants += 1;
        let grant = Grant {
            request: ask.request,
            group: self.group.clone(),
            floor: granted,
            primary: self.leader(turn),
        };
        turn.send(from, Message::Grant(grant));
    }

    /// Handles an entry's release of a lease.
    pub fn released(&mut self, turn: &mut Turn, from: &VmId, revoke: &Revoke) {
        let Some(lead) = self.lead() else {
            return;
        };
        lead.sessions.released(&revoke.session, from, revoke.floor);
        lead.acks.released(&revoke.session, from, revoke.floor);
        self.flush(turn);
    }
}

impl Lead {
    /// Until when a lease granted now may be used; `None` if none may be granted.
    pub(super) fn lease_end(&self, now: Time) -> Option<Time> {
        let end = self.confirmations.deadline();
        if self.handover.is_some() || end <= now {
            return None;
        }
        Some(end.min(now + LEASE_LIMIT))
    }

    /// Renews the lease of the entry that sent a write, with the new floor.
    ///
    /// Only the session's last write renews a lease. A later write by way of another entry has
    /// already revoked this entry's lease, which would otherwise read on under the earlier floor.
    pub(super) fn renew(&mut self, waiting: &Waiting, now: Time, until: Time) -> Option<Time> {
        let session = waiting.job.work.session.as_ref()?;
        if self.sessions.floor(session) != waiting.reply.wrote {
            return None;
        }
        let vm = &waiting.job.origin;
        self.sessions
            .grant(session, vm, now, with_drift(now, until));
        Some(until)
    }
}

/// When a lease until `until` has expired at the entry even if the entry's clock is slow.
fn with_drift(now: Time, until: Time) -> Time {
    now + until.since(now).percent(100 + DRIFT_PERCENT)
}

/// Revokes the leases that a write waits for.
pub(super) fn revoke(
    turn: &mut Turn,
    group: &GroupId,
    session: &SessionId,
    floor: Position,
    waiting: &Waiting,
) {
    for vm in waiting.leases.iter().filter_map(|lease| lease.vm.as_ref()) {
        turn.world.counters.revokes += 1;
        let revoke = Revoke {
            group: group.clone(),
            session: session.clone(),
            floor,
        };
        turn.send(vm, Message::Revoke(revoke));
    }
}
