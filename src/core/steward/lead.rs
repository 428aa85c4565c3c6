//! Leading a group: probes, confirmations, acknowledgements and leases under one term.

use super::handover::Handover;
use super::{Steward, Verdict};
use crate::clock::{Span, Time};
use crate::config::Durability;
use crate::core::acknowledge::{Acknowledgements, Progress, Waiting};
use crate::core::database::{Order, Refusal, Reply, State};
use crate::core::detect::Detector;
use crate::core::holder::{Job, Role};
use crate::core::lineage::Lineage;
use crate::core::message::{
    Ask, Controlled, Fresh, Grant, Leased, Message, Primary, Probe, Report, Revoke,
};
use crate::core::request::{Done, Outcome};
use crate::core::session::Sessions;
use crate::core::term::{Confirmations, DRIFT_PERCENT};
use crate::core::world::Turn;
use crate::types::{DatabaseId, GroupId, Offset, Position, RequestId, Term, VmId};
use serde::Serialize;
use std::collections::BTreeMap;

/// Probes of one database whose reports are still taken. A report of an older one proves less
/// than a window by then.
const ROUNDS_KEPT: usize = 8;

/// What a steward keeps while it leads.
#[derive(Debug)]
pub(crate) struct Lead {
    pub(super) leader: Primary,
    pub(super) confirmations: Confirmations,
    /// Watches the primary by its own answers.
    pub(super) primary_watch: Detector,
    pub(super) primary_log: Option<Log>,
    primary_asked: Option<(RequestId, Time)>,
    pub(super) replicas: BTreeMap<DatabaseId, Replica>,
    pub(super) acks: Acknowledgements,
    pub(super) sessions: Sessions,
    lineage: Lineage,
    pub(super) probe_at: Time,
    pub(super) handover: Option<Handover>,
    pub(super) doubt: Option<Doubt>,
    served: bool,
}

/// The primary's log as it was found.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Log {
    pub end: Position,
    /// When the primary was asked.
    asked: Time,
}

/// A replica as its reports show it.
#[derive(Debug, Default)]
pub(crate) struct Replica {
    rounds: BTreeMap<RequestId, Time>,
    /// The last report's round, and when it arrived.
    report: Option<(RequestId, Time)>,
    /// The end of its log.
    pub end: Position,
    /// It was found in a higher term.
    higher: bool,
    /// The order to tell when the log has reached a position, while it is under way.
    reach: Option<Reach>,
}

#[derive(Debug)]
struct Reach {
    request: RequestId,
    wanted: Offset,
    until: Time,
}

/// The primary is silent here: others are asked whether they reach it.
#[derive(Debug)]
pub(crate) struct Doubt {
    pub asked: BTreeMap<RequestId, VmId>,
    pub until: Time,
}

/// A lead's state for `dump`.
#[derive(Debug, Serialize)]
pub(crate) struct Dump<'a> {
    leader: &'a Primary,
    confirmations: &'a Confirmations,
    primary_log: Option<Log>,
    acknowledgements: Progress<'a>,
    sessions: usize,
    horizon: Position,
    lineage: &'a Lineage,
    handover: &'a Option<Handover>,
}

impl Lead {
    pub fn primary(&self) -> &DatabaseId {
        &self.leader.database
    }

    pub fn role(&self) -> Role {
        let term = self.leader.term;
        match &self.handover {
            None => Role::Primary(term),
            Some(handover) if handover.frozen => Role::Frozen(term),
            Some(_) => Role::Draining(term),
        }
    }

    pub fn dump(&self) -> Dump<'_> {
        Dump {
            leader: &self.leader,
            confirmations: &self.confirmations,
            primary_log: self.primary_log,
            acknowledgements: self.acks.progress(),
            sessions: self.sessions.len(),
            horizon: self.sessions.horizon(),
            lineage: &self.lineage,
            handover: &self.handover,
        }
    }

    /// Whether writes are acknowledged just now.
    pub fn serves(&self, now: Time) -> bool {
        self.confirmations.hold(now) && !self.primary_watch.suspects(now)
    }

    pub fn wake(&self) -> Time {
        let doubt = self.doubt.as_ref().map(|doubt| doubt.until);
        doubt.unwrap_or(self.probe_at).min(self.probe_at)
    }

    /// Ends the lead; what still waits for its acknowledgement is returned.
    pub fn end(mut self) -> Vec<Waiting> {
        self.acks.abandon()
    }
}

impl Steward {
    /// The primary is open in a term that this VM raised.
    pub(super) fn take_lead(
        &mut self,
        turn: &mut Turn,
        leader: Primary,
        base: Position,
        state: State,
    ) {
        let timing = turn.timing();
        let others = self.members.iter().filter(|id| **id != leader.database);
        let replicas = others.map(|id| (id.clone(), Replica::default())).collect();
        let members = self.members.len();
        self.term = leader.term;
        self.damper.promoted(turn.now, timing.damping);
        let lead = Lead {
            confirmations: Confirmations::new(leader.term, leader.database.clone(), members),
            primary_watch: Detector::new(turn.now, timing.suspicion),
            primary_log: None,
            primary_asked: None,
            replicas,
            acks: Acknowledgements::new(members),
            sessions: Sessions::new(base),
            lineage: state.lineage,
            probe_at: turn.now,
            handover: None,
            doubt: None,
            served: false,
            leader,
        };
        turn.world.learn(&self.group, &lead.leader);
        turn.world.counters.promotions += 1;
        self.phase = super::Phase::Lead(Box::new(lead));
        self.tell_curious(turn);
        self.probe(turn);
    }

    pub(super) fn lead(&mut self) -> Option<&mut Lead> {
        match &mut self.phase {
            super::Phase::Lead(lead) => Some(lead),
            _ => None,
        }
    }

    /// Probes every database of the group.
    pub(super) fn probe(&mut self, turn: &mut Turn) {
        let group = self.group.clone();
        let now = turn.now;
        let me = turn.world.me.vm.clone();
        let Some(lead) = self.lead() else {
            return;
        };
        lead.probe_at = now + turn.timing().probe;
        let asked = turn.id();
        lead.primary_asked = Some((asked, now));
        let control = crate::core::message::Control {
            request: asked,
            database: lead.leader.database.clone(),
            order: Order::Report,
        };
        turn.send(&me, Message::Control(control));
        let serving = lead.serves(now);
        for (id, replica) in &mut lead.replicas {
            let round = turn.id();
            let probe = Probe {
                group: group.clone(),
                database: id.clone(),
                round,
                primary: lead.leader.clone(),
                serving,
                fresh: replica.fresh(lead.primary_log),
                version: turn.version(),
            };
            replica.asked(round, now);
            turn.world.counters.probes += 1;
            let holder = turn.world.holder(now, id);
            turn.send(&holder, Message::Probe(probe));
        }
    }

    /// What a probe found.
    pub fn reported(&mut self, turn: &mut Turn, report: Report) {
        let window = turn.timing().window;
        let now = turn.now;
        let Some(lead) = self.lead() else {
            return;
        };
        let term = lead.leader.term;
        let Some(replica) = lead.replicas.get_mut(&report.database) else {
            return;
        };
        let Some(sent) = replica.rounds.remove(&report.round) else {
            return;
        };
        replica.report = Some((report.round, now));
        let Some(found) = report.found else {
            return;
        };
        replica.end = found.position;
        replica.higher = found.term > term;
        if found.term == term {
            lead.confirmations.confirm(&report.database, sent, window);
            // An entry of this term was written by its one primary, so the log up to it is ours.
            if found.position.term == term {
                lead.acks.reached(&report.database, found.position.offset);
            }
        } else if found.term > term {
            lead.confirmations.withdraw(&report.database);
            self.term = self.term.max(found.term);
        } else {
            self.order(turn, &report.database, Order::Raise(term));
        }
        self.note_service(turn);
        self.flush(turn);
    }

    /// The first confirmed moment of a term ends the failover gap.
    fn note_service(&mut self, turn: &mut Turn) {
        let (now, since) = (turn.now, self.served);
        let Some(lead) = self.lead() else {
            return;
        };
        if !lead.serves(now) {
            return;
        }
        if !std::mem::replace(&mut lead.served, true) {
            turn.world.counters.failover_gap_micros = now.since(since).0;
        }
        self.served = now;
    }

    /// A database answered an order given while leading.
    pub(super) fn lead_controlled(&mut self, turn: &mut Turn, controlled: Controlled) {
        let Some(lead) = self.lead() else {
            return;
        };
        if controlled.database == lead.leader.database {
            return self.primary_controlled(turn, controlled);
        }
        let term = lead.leader.term;
        let Some(replica) = lead.replicas.get_mut(&controlled.database) else {
            return;
        };
        let asked = replica.reach.as_ref().map(|reach| reach.request);
        if asked != Some(controlled.request) {
            return;
        }
        let Some(reach) = replica.reach.take() else {
            return;
        };
        match controlled.result {
            Some(Ok(state)) => {
                let wanted = Position::new(term, reach.wanted);
                if state.lineage.holds(state.position, wanted) {
                    lead.acks.reached(&controlled.database, reach.wanted);
                }
            }
            // Asked again with the next round of probes, not at once: it can't be reached.
            _ => {
                replica.reach = Some(Reach {
                    until: turn.now + turn.timing().probe,
                    ..reach
                })
            }
        }
        self.flush(turn);
    }

    fn primary_controlled(&mut self, turn: &mut Turn, controlled: Controlled) {
        let window = turn.timing().window;
        let Some(lead) = self.lead() else {
            return;
        };
        let Some((request, asked)) = lead.primary_asked else {
            return;
        };
        if request != controlled.request {
            return;
        }
        match controlled.result {
            Some(Ok(state)) if state.term == lead.leader.term && state.open => {
                lead.primary_watch.heard(asked);
                lead.confirmations
                    .confirm(&controlled.database, asked, window);
                lead.doubt = None;
                lead.primary_log = Some(Log {
                    end: state.position,
                    asked,
                });
                self.note_service(turn);
                self.flush(turn);
            }
            Some(Ok(state)) => {
                self.term = self.term.max(state.term);
                self.step_down(turn);
            }
            Some(Err(Refusal::Term(higher))) => {
                self.term = self.term.max(higher);
                self.step_down(turn);
            }
            _ => {}
        }
    }

    /// The primary refused work for its term.
    pub fn refused(&mut self, turn: &mut Turn, higher: Term) {
        if self.lead().is_some_and(|lead| lead.leader.term < higher) {
            self.term = self.term.max(higher);
            self.step_down(turn);
        }
    }

    /// The primary answered `job`, which ran under `term`.
    pub fn answered(&mut self, turn: &mut Turn, term: Term, job: Job, reply: Reply) {
        let now = turn.now;
        let durability = turn.world.pool(&job.work.pool).map(|pool| pool.durability);
        let group = self.group.clone();
        let Some(lead) = self.lead().filter(|lead| lead.leader.term == term) else {
            self.verdicts.push(Verdict::unconfirmed(job));
            return;
        };
        let mut waiting = Waiting {
            job,
            reply,
            durable: None,
            leases: Vec::new(),
        };
        if let Some(wrote) = waiting.reply.wrote {
            if durability != Some(Durability::Primary) {
                waiting.durable = Some(wrote.offset);
            }
            if let Some(session) = &waiting.job.work.session {
                let vm = &waiting.job.origin;
                waiting.leases = lead.sessions.wrote(session, vm, wrote, now);
                revoke(turn, &group, session, wrote, &waiting);
            }
        }
        lead.acks.push(waiting);
        self.flush(turn);
    }

    /// An entry gave a lease up.
    pub fn released(&mut self, turn: &mut Turn, from: &VmId, revoke: &Revoke) {
        let Some(lead) = self.lead() else {
            return;
        };
        lead.sessions.released(&revoke.session, from);
        lead.acks.released(&revoke.session, from);
        self.flush(turn);
    }

    /// Passes on what may be, ends what waited too long, and asks the replicas for the rest.
    pub(super) fn flush(&mut self, turn: &mut Turn) {
        let now = turn.now;
        let Some(lead) = self.lead() else {
            return;
        };
        if lead.acks.is_empty() {
            return;
        }
        let ready = lead.acks.ready(now, &lead.confirmations);
        let late = lead.acks.expire(now, &lead.confirmations);
        let until = lead.lease_end(now);
        let mut verdicts = Vec::with_capacity(ready.len() + late.len());
        for waiting in ready {
            let lease = until.filter(|_| waiting.reply.wrote.is_some());
            let lease = lease.and_then(|until| lead.renew(&waiting.job, now, until));
            verdicts.push(Verdict::done(waiting, lease));
        }
        verdicts.extend(late.into_iter().map(|(waiting, cause)| Verdict {
            job: waiting.job,
            outcome: Outcome::Unknown(cause),
            lease: None,
        }));
        self.verdicts.append(&mut verdicts);
        self.ask_replicas(turn);
    }

    /// Asks each replica to tell when it holds all that waits, one order at a time.
    fn ask_replicas(&mut self, turn: &mut Turn) {
        let now = turn.now;
        let Some(lead) = self.lead() else {
            return;
        };
        let term = lead.leader.term;
        let patience = turn.timing().answer;
        for (id, replica) in &mut lead.replicas {
            if replica
                .reach
                .as_ref()
                .is_some_and(|reach| reach.until > now)
            {
                continue;
            }
            let Some(wanted) = lead.acks.wanted(id) else {
                replica.reach = None;
                continue;
            };
            let request = turn.id();
            replica.reach = Some(Reach {
                request,
                wanted,
                until: now + patience,
            });
            let control = crate::core::message::Control {
                request,
                database: id.clone(),
                order: Order::Reach(Position::new(term, wanted)),
            };
            let holder = turn.world.holder(now, id);
            turn.send(&holder, Message::Control(control));
        }
    }

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
}

impl Lead {
    /// Until when a lease given now may be used; `None` if none may be given.
    fn lease_end(&self, now: Time) -> Option<Time> {
        if self.handover.is_some() || !self.confirmations.hold(now) {
            return None;
        }
        let end = self.confirmations.deadline();
        Some(end.min(now + LEASE_LIMIT))
    }

    fn renew(&mut self, job: &Job, now: Time, until: Time) -> Option<Time> {
        let session = job.work.session.as_ref()?;
        self.sessions
            .grant(session, &job.origin, now, guarded(now, until));
        Some(until)
    }
}

/// The longest lease. It bounds how long a write waits for an entry that can't be reached to
/// give the lease up, where a group of one database needs no confirmations.
const LEASE_LIMIT: Span = Span::from_secs(1);

/// When a lease that the entry counts until `until` has surely lapsed, if its clock is slow.
fn guarded(now: Time, until: Time) -> Time {
    now + until.since(now).percent(100 + DRIFT_PERCENT)
}

fn revoke(
    turn: &mut Turn,
    group: &GroupId,
    session: &crate::types::SessionId,
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

impl Replica {
    fn asked(&mut self, round: RequestId, now: Time) {
        if self.rounds.len() == ROUNDS_KEPT {
            self.rounds.pop_first();
        }
        self.rounds.insert(round, now);
    }

    /// The primary's log, placed on the clock of this replica's holder by its last report.
    fn fresh(&self, log: Option<Log>) -> Option<Fresh> {
        let log = log?;
        let (round, arrived) = self.report?;
        Some(Fresh {
            position: log.end,
            round,
            before: arrived.since(log.asked),
        })
    }
}

impl Verdict {
    fn done(waiting: Waiting, lease: Option<Time>) -> Self {
        let reply = waiting.reply;
        let done = Done {
            body: reply.body,
            status: reply.status,
            wrote: reply.wrote,
            replica: false,
        };
        Self {
            job: waiting.job,
            outcome: Outcome::Done(done),
            lease,
        }
    }

    fn unconfirmed(job: Job) -> Self {
        Self {
            job,
            outcome: Outcome::Unknown(crate::core::request::Unknown::Unconfirmed),
            lease: None,
        }
    }
}
