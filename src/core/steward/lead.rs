//! Leading a group: probes, confirmations, acknowledgements and leases under one term.

use super::Steward;
use super::handover::Handover;
use crate::clock::{Span, Time};
use crate::core::acknowledge::{Acknowledgements, Progress, Waiting};
use crate::core::database::{Order, Refusal, State};
use crate::core::detect::{Detector, Stall};
use crate::core::lineage::Lineage;
use crate::core::message::{Control, Controlled, Message, Primary, Probe, Report, Sample};
use crate::core::role::Role;
use crate::core::session::Sessions;
use crate::core::term::Confirmations;
use crate::core::world::Turn;
use crate::types::{DatabaseId, Offset, Position, RequestId, Term, VmId};
use serde::Serialize;
use std::collections::BTreeMap;

/// The number of latest probes of one database whose reports are accepted. By then, the report of
/// an older one proves less than a window.
const MAX_ROUNDS: usize = 8;

/// The state of a steward while it leads: who leads the group, and under which term.
#[derive(Debug)]
pub(crate) struct Lead {
    pub(super) leader: Primary,
    pub(super) confirmations: Confirmations,
    /// Suspects the primary when it stops answering.
    pub(super) primary_watch: Detector,
    pub(super) primary_log: Option<Log>,
    primary_asked: Option<(RequestId, Time)>,
    pub(super) replicas: BTreeMap<DatabaseId, Replica>,
    pub(super) acks: Acknowledgements,
    pub(super) sessions: Sessions,
    pub(super) lineage: Lineage,
    pub(super) probe_at: Time,
    pub(super) handover: Option<Handover>,
    pub(super) inquiry: Option<Inquiry>,
    pub(super) stall: Stall,
    served: bool,
}

/// The end of the primary's log when it was last read.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Log {
    pub end: Position,
    /// When the primary was asked.
    asked: Time,
}

/// The state of a replica according to its reports.
#[derive(Debug, Default)]
pub(crate) struct Replica {
    rounds: BTreeMap<RequestId, Time>,
    /// The round of the last report, and when that report arrived.
    report: Option<(RequestId, Time)>,
    /// When its database last answered a probe.
    answered: Time,
    /// The end of its log.
    pub end: Position,
    /// Since when it has been in a higher term than this one.
    pub(super) higher: Option<Time>,
    /// The `Order::Reach` that is under way, if any.
    pub(super) reach: Option<Reach>,
}

#[derive(Debug)]
pub(super) struct Reach {
    pub request: RequestId,
    pub wanted: Offset,
    pub until: Time,
}

/// Questions to other VMs on whether they reach a primary that does not respond here.
#[derive(Debug)]
pub(crate) struct Inquiry {
    pub asked: BTreeMap<RequestId, VmId>,
    pub until: Time,
}

/// The state of a lead for `dump`.
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

    /// Whether a database has been in a higher term for `duration` while this one serves.
    pub(super) fn has_higher_term(&self, now: Time, duration: Span) -> bool {
        let mut higher = self.replicas.values().filter_map(|replica| replica.higher);
        self.serves(now) && higher.any(|since| since + duration <= now)
    }

    /// Whether writes are currently acknowledged.
    pub fn serves(&self, now: Time) -> bool {
        now < self.confirmations.deadline() && !self.primary_watch.suspects(now)
    }

    pub fn wake(&self) -> Time {
        let inquiry = self.inquiry.as_ref().map(|inquiry| inquiry.until);
        inquiry.unwrap_or(self.probe_at).min(self.probe_at)
    }

    /// Ends the lead and returns the answers that still wait to be acknowledged.
    pub fn end(mut self) -> Vec<Waiting> {
        self.acks.abandon()
    }
}

impl Steward {
    /// Starts to lead with a primary that was opened in a term that this VM raised.
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
        // A first term and another steward for the same primary are not changes of primary.
        let former = turn.world.leaders.get(&self.group);
        if former.is_some_and(|former| former.database != leader.database) {
            self.damper.promoted(turn.now, timing.damping);
        }
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
            inquiry: None,
            stall: Stall::default(),
            served: false,
            leader,
        };
        turn.world.record_leader(&self.group, &lead.leader);
        turn.world.counters.promotions += 1;
        self.phase = super::Phase::Lead(Box::new(lead));
        self.notify_waiting(turn);
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
        let control = Control {
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
                sample: replica.sample(lead.primary_log),
                version: turn.version(),
            };
            replica.asked(round, now);
            turn.world.counters.probes += 1;
            let holder = turn.world.holder(now, id);
            turn.send(&holder, Message::Probe(probe));
        }
    }

    /// Handles the report of a probe.
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
        let Some(observation) = report.observation else {
            return;
        };
        replica.answered = now;
        replica.end = observation.position;
        replica.higher = (observation.term > term).then(|| replica.higher.unwrap_or(now));
        if observation.term == term {
            lead.confirmations.confirm(&report.database, sent, window);
            // Only this term's primary writes entries of this term, so the log up to here is its log.
            if observation.position.term == term {
                lead.acks
                    .reached(&report.database, observation.position.offset);
            }
        } else if observation.term > term {
            lead.confirmations.withdraw(&report.database);
            self.term = self.term.max(observation.term);
        } else {
            self.order(turn, &report.database, Order::Raise(term));
        }
        self.record_service(turn);
        self.flush(turn);
    }

    /// Records that the group is served. The first time in a term ends the failover gap.
    fn record_service(&mut self, turn: &mut Turn) {
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

    /// Handles a database's answer to an order that was sent while leading.
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
        let wanted = Position::new(term, reach.wanted);
        let holds = |state: &State| state.lineage.holds(state.position, wanted);
        if controlled
            .result
            .is_some_and(|result| result.as_ref().is_ok_and(holds))
        {
            lead.acks.reached(&controlled.database, reach.wanted);
        } else {
            // Retried with the next round of probes: a database that is unreachable, or answers
            // before it has the position, would otherwise be asked in a busy loop.
            replica.reach = Some(Reach {
                until: turn.now + turn.timing().probe,
                ..reach
            });
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
                lead.primary_watch.responded(asked);
                let primary = lead.leader.database.clone();
                lead.confirmations.confirm(&primary, asked, window);
                lead.inquiry = None;
                lead.primary_log = Some(Log {
                    end: state.position,
                    asked,
                });
                self.record_service(turn);
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

    /// Handles a primary's refusal of work because it is in a higher term.
    pub fn refused(&mut self, turn: &mut Turn, higher: Term) {
        if self.lead().is_some_and(|lead| lead.leader.term < higher) {
            self.term = self.term.max(higher);
            self.step_down(turn);
        }
    }
}

impl Replica {
    /// Whether its database answered a probe at `time` or later.
    pub(super) fn answered_since(&self, time: Time) -> bool {
        self.answered >= time
    }

    fn asked(&mut self, round: RequestId, now: Time) {
        if self.rounds.len() == MAX_ROUNDS {
            self.rounds.pop_first();
        }
        self.rounds.insert(round, now);
    }

    /// The end of the primary's log, timed relative to the last report of this replica's holder.
    fn sample(&self, log: Option<Log>) -> Option<Sample> {
        let log = log?;
        let (round, arrived) = self.report?;
        Some(Sample {
            position: log.end,
            round,
            before: arrived.since(log.asked),
        })
    }
}
