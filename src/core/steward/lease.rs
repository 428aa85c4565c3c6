//! Leases on sessions' floors, given to entries and taken back.

use super::Steward;
use super::lead::Lead;
use crate::clock::{Span, Time};
use crate::core::acknowledge::Waiting;
use crate::core::message::{Ask, Grant, Leased, Message, Revoke};
use crate::core::term::DRIFT_PERCENT;
use crate::core::world::Turn;
use crate::types::{GroupId, Position, SessionId, VmId};

/// The longest lease. It bounds how long a write waits for an entry that can't be reached to
/// give the lease up, where a group of one database needs no confirmations.
const LEASE_LIMIT: Span = Span::from_secs(1);

impl Steward {
    /// An entry asks for a session's floor, or only for the leader.
    ///
    /// Failure: two stewards, or one that was paused, both vouch for floors. Symptom: a session
    /// does not see its write. Enough, because a lease ends with the confirmations that allow
    /// it, counted from a time before the entry's question left, so none outlives its term.
    pub fn ask(&mut self, turn: &mut Turn, from: &VmId, ask: Ask) {
        let now = turn.now;
        let session = ask.session;
        let granted = match (self.lead(), &session) {
            (Some(lead), Some(session)) => lead.lease_end(now).map(|until| Leased {
                floor: lead.sessions.grant(session, from, now, guarded(now, until)),
                span: until.since(now),
                lineage: lead.lineage.clone(),
            }),
            _ => None,
        };
        if granted.is_none() {
            turn.world.counters.grants_refused += u64::from(session.is_some());
            return self.inform(turn, from, ask.request);
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

    /// An entry gave a lease up.
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
    /// Until when a lease given now may be used; `None` if none may be given.
    pub(super) fn lease_end(&self, now: Time) -> Option<Time> {
        let end = self.confirmations.deadline();
        if self.handover.is_some() || end <= now {
            return None;
        }
        Some(end.min(now + LEASE_LIMIT))
    }

    /// Lets the entry that sent a write go on under its new floor.
    ///
    /// Failure: the session wrote by way of another entry too, and that write has taken this
    /// entry's lease back already. Symptom: the entry reads on under the earlier of the two
    /// floors. Enough, because only the session's last write renews a lease.
    pub(super) fn renew(&mut self, waiting: &Waiting, now: Time, until: Time) -> Option<Time> {
        let session = waiting.job.work.session.as_ref()?;
        if self.sessions.floor(session) != waiting.reply.wrote {
            return None;
        }
        let vm = &waiting.job.origin;
        self.sessions.grant(session, vm, now, guarded(now, until));
        Some(until)
    }
}

/// When a lease that the entry counts until `until` has surely lapsed, if its clock is slow.
fn guarded(now: Time, until: Time) -> Time {
    now + until.since(now).percent(100 + DRIFT_PERCENT)
}

/// Takes back the leases that a write waits for.
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
