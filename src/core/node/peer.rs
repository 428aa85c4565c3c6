//! Handling of messages from other proxies and from this proxy to itself.

use super::Node;
use crate::clock::Span;
use crate::core::database::{Event, Order, Refusal, State};
use crate::core::message::{
    Answer, Control, Controlled, FloorRequest, Grant, Hello, Hint, Message, Observation, Probe,
    Report, Suspect, Suspected, Work,
};
use crate::core::output::Output;
use crate::core::request::{Cause, NotRun, Outcome};
use crate::core::spread;
use crate::core::world::Purpose;
use crate::types::{DatabaseId, Link, Term, VmId};
use bytes::Bytes;
use std::sync::Arc;

impl Node {
    pub(super) fn message(&mut self, from: VmId, message: Message, out: &mut Vec<Output>) {
        let (mut turn, parts) = self.turn(out);
        match message {
            Message::Work(work) => self.work(from, work, out),
            Message::Answer(answer) => parts.entry.answered(&mut turn, &from, answer),
            Message::Cancel(request) => {
                self.each_holder(out, |holder, turn| holder.cancel(turn, &from, request));
            }
            Message::Depart(link) => self.departed(&from, Some(link), out),
            Message::FloorRequest(ask) => self.ask(&from, ask, out),
            Message::Grant(grant) => parts.entry.granted(&mut turn, &from, grant),
            Message::Revoke(revoke) => parts.entry.revoked(&mut turn, &from, revoke),
            Message::Revoked(revoke) => {
                let group = revoke.group.clone();
                self.with_steward(&group, out, |steward, turn| {
                    steward.released(turn, &from, &revoke);
                });
            }
            Message::Probe(probe) => self.probe(from, probe, out),
            Message::Report(report) => self.reported(&from, report, out),
            Message::Control(control) => self.control(from, control, out),
            Message::Controlled(controlled) => {
                let Some(group) = turn.world.group_of(&controlled.database).cloned() else {
                    return;
                };
                self.with_steward(&group, out, |steward, turn| {
                    steward.controlled(turn, controlled);
                });
            }
            Message::Yield(handover) => {
                let group = handover.group.clone();
                self.join_steward(&group, out, |steward, turn| {
                    steward.yielded(turn, &from, handover);
                });
            }
            Message::Suspect(suspect) => self.suspect(from, suspect, out),
            Message::Suspected(suspected) => self.suspected(&from, suspected, out),
            Message::Hello(hello) => self.hello(from, hello, out),
            Message::Fetch(version) => parts.spread.send_document(&mut turn, &from, version),
            Message::Document(packed) => self.document(&packed, out),
        }
    }

    /// Handles an entry's request for a session's floor. Without a steward here, the answer is empty.
    fn ask(&mut self, from: &VmId, ask: FloorRequest, out: &mut Vec<Output>) {
        let (group, request) = (ask.group.clone(), ask.request);
        if self.with_steward(&group, out, |steward, turn| steward.ask(turn, from, ask)) {
            return;
        }
        let grant = Grant {
            request,
            group,
            floor: None,
            primary: None,
        };
        self.turn(out).0.send(from, Message::Grant(grant));
    }

    fn reported(&mut self, from: &VmId, report: Report, out: &mut Vec<Output>) {
        let (mut turn, parts) = self.turn(out);
        parts
            .spread
            .version_reported(&mut turn, from, report.version);
        parts.spread.reply_if_newer(&mut turn, from, report.version);
        let group = report.group.clone();
        self.with_steward(&group, out, |steward, turn| steward.reported(turn, report));
    }

    fn suspected(&mut self, from: &VmId, suspected: Suspected, out: &mut Vec<Output>) {
        let group = suspected.group.clone();
        if let Some(primary) = &suspected.primary {
            self.world.record_leader(&group, primary);
        }
        self.with_steward(&group, out, |steward, turn| {
            steward.evidence(turn, from, suspected);
        });
    }

    fn document(&mut self, packed: &Bytes, out: &mut Vec<Output>) {
        let Some(accepted) = spread::unpack(packed) else {
            self.world.counters.nonsense += 1;
            return;
        };
        let (mut turn, parts) = self.turn(out);
        let settled = parts.spread.offered(&mut turn, Arc::new(accepted));
        self.put_in_force(settled, out);
    }

    fn each_holder(
        &mut self,
        out: &mut Vec<Output>,
        mut act: impl FnMut(&mut crate::core::holder::Holder, &mut crate::core::world::Turn),
    ) {
        let databases: Vec<DatabaseId> = self.holders.keys().cloned().collect();
        for database in databases {
            self.with_holder(&database, out, &mut act);
        }
    }

    /// Drops the work here of a VM, or of one of its callers, that disconnected.
    fn departed(&mut self, vm: &VmId, link: Option<Link>, out: &mut Vec<Output>) {
        for steward in self.stewards.values_mut() {
            steward.departed(vm, link);
        }
        self.each_holder(out, |holder, turn| holder.depart(turn, vm, link));
    }

    fn work(&mut self, from: VmId, work: Work, out: &mut Vec<Output>) {
        let (database, request) = (work.database.clone(), work.request);
        let to = from.clone();
        let known = self.with_holder(&database, out, |holder, turn| {
            holder.offer(turn, from, work);
        });
        if known {
            return;
        }
        let (mut turn, _) = self.turn(out);
        let not_run = NotRun {
            cause: Cause::Refused,
            retry_after: Span::ZERO,
        };
        let answer = Answer {
            request,
            outcome: Outcome::NotRun(not_run),
            refused: None,
            lease: None,
            hint: Hint::default(),
        };
        turn.send(&to, Message::Answer(answer));
    }

    /// Handles a steward's probe of a database whose holder should be this VM.
    fn probe(&mut self, from: VmId, probe: Probe, out: &mut Vec<Output>) {
        let (mut turn, parts) = self.turn(out);
        parts
            .spread
            .version_reported(&mut turn, &from, probe.version);
        parts.spread.reply_if_newer(&mut turn, &from, probe.version);
        let changed = turn.world.record_leader(&probe.group, &probe.primary);
        let (group, database) = (probe.group.clone(), probe.database.clone());
        if changed {
            parts.entry.leader_reported(&mut turn, &group);
        }
        let current = turn.world.leaders.get(&group) == Some(&probe.primary);
        self.join_steward(&group, out, |steward, turn| steward.probed(turn, &probe));
        self.with_holder(&database, out, |holder, turn| {
            if changed {
                holder.proofs.clear();
            }
            if let Some(sample) = probe.sample.as_ref().filter(|_| current) {
                holder.proofs.add(sample);
            }
            turn.order(&database, Order::Report, Purpose::Probe { from, probe });
        });
    }

    fn control(&mut self, from: VmId, control: Control, out: &mut Vec<Output>) {
        let (mut turn, _) = self.turn(out);
        let (request, database) = (control.request, control.database.clone());
        let purpose = Purpose::Relay {
            from: from.clone(),
            control: control.clone(),
        };
        if turn.order(&database, control.order, purpose) {
            return;
        }
        let controlled = Controlled {
            request,
            database,
            result: None,
        };
        turn.send(&from, Message::Controlled(controlled));
    }

    /// Handles a question about a group's leader. If the leader itself asks about its primary, this
    /// VM first tries to reach that primary.
    fn suspect(&mut self, from: VmId, suspect: Suspect, out: &mut Vec<Output>) {
        let leader = suspect
            .primary
            .as_ref()
            .filter(|leader| leader.steward == from);
        if let Some(leader) = leader {
            let database = leader.database.clone();
            let purpose = Purpose::Reach {
                from: from.clone(),
                suspect: suspect.clone(),
            };
            let (mut turn, _) = self.turn(out);
            if turn.order(&database, Order::Report, purpose) {
                return;
            }
        }
        let group = suspect.group.clone();
        self.join_steward(&group, out, |steward, turn| {
            steward.suspected(turn, &from, suspect, None);
        });
    }

    /// Handles a database's answer to an order.
    pub(super) fn controlled(&mut self, event: Event, out: &mut Vec<Output>) {
        let Event::Controlled { id, result } = event else {
            return;
        };
        let Some(purpose) = self.world.pending_orders.remove(&id) else {
            return;
        };
        let state = result
            .as_ref()
            .and_then(|result| result.as_ref().ok())
            .cloned();
        match purpose {
            Purpose::Refresh(database) => self.observe(&database, state, out),
            Purpose::Probe { from, probe } => self.report(from, probe, state, out),
            Purpose::Relay { from, control } => self.relay(from, control, result, state, out),
            Purpose::Reach { from, suspect } => {
                let leads = |state: &State| {
                    state.open
                        && suspect
                            .primary
                            .as_ref()
                            .is_some_and(|p| p.term == state.term)
                };
                let reached = state.as_ref().is_some_and(leads);
                let group = suspect.group.clone();
                self.join_steward(&group, out, |steward, turn| {
                    steward.suspected(turn, &from, suspect, Some(reached));
                });
            }
        }
    }

    fn observe(&mut self, database: &DatabaseId, state: Option<State>, out: &mut Vec<Output>) {
        self.with_holder(database, out, |holder, turn| holder.observe(turn, state));
    }

    fn report(&mut self, from: VmId, probe: Probe, state: Option<State>, out: &mut Vec<Output>) {
        let observation = state.as_ref().map(|state| Observation {
            term: state.term,
            position: state.position,
            open: state.open,
        });
        self.with_holder(&probe.database, out, |holder, turn| {
            holder.observe(turn, state);
            holder.proofs.report_sent(probe.round, turn.now);
        });
        let (mut turn, _) = self.turn(out);
        let report = Report {
            group: probe.group,
            database: probe.database,
            round: probe.round,
            observation,
            version: turn.version(),
        };
        turn.send(&from, Message::Report(report));
    }

    fn raise_reported(&mut self, database: &DatabaseId, term: Term, out: &mut Vec<Output>) {
        if let Some(group) = self.world.group_of(database).cloned() {
            self.with_steward(&group, out, |steward, turn| {
                steward.raise_reported(turn, term)
            });
        }
    }

    fn relay(
        &mut self,
        from: VmId,
        control: Control,
        result: Option<Result<State, Refusal>>,
        state: Option<State>,
        out: &mut Vec<Output>,
    ) {
        if self.holders.contains_key(&control.database) {
            self.observe(&control.database, state, out);
        }
        if let (Order::Raise(term), Some(Ok(_))) = (control.order, &result) {
            self.raise_reported(&control.database, term, out);
        }
        let (mut turn, _) = self.turn(out);
        let controlled = Controlled {
            request: control.request,
            database: control.database,
            result,
        };
        turn.send(&from, Message::Controlled(controlled));
    }

    /// Handles another VM's announcement of its state.
    ///
    /// A VM may be replaced by one of the same name before its stream is seen to break. A changed
    /// life therefore ends everything that the former process had here; otherwise its transactions
    /// would stay open and receive statements of the new process.
    fn hello(&mut self, from: VmId, hello: Hello, out: &mut Vec<Output>) {
        let peer = self.world.peers.entry(from.clone()).or_default();
        let replaced = peer.life.is_some_and(|life| life != hello.life);
        peer.life = Some(hello.life);
        peer.stopping = hello.stopping;
        if replaced {
            self.peer_lost(&from, true, out);
        }
        let (mut turn, parts) = self.turn(out);
        parts.spread.peer_answered();
        parts
            .spread
            .version_reported(&mut turn, &from, hello.version);
        parts.spread.reply_if_newer(&mut turn, &from, hello.version);
        let settled = parts.spread.settle(&mut turn);
        self.put_in_force(settled, out);
    }

    pub(super) fn peer_down(&mut self, vm: &VmId, out: &mut Vec<Output>) {
        let left = self.world.peer_down(self.now, vm);
        self.peer_lost(vm, left, out);
    }

    fn peer_lost(&mut self, vm: &VmId, left: bool, out: &mut Vec<Output>) {
        let (mut turn, parts) = self.turn(out);
        parts.entry.peer_down(&mut turn, vm, left);
        self.departed(vm, None, out);
        let groups: Vec<_> = self.stewards.keys().cloned().collect();
        for group in groups {
            self.with_steward(&group, out, |steward, turn| steward.peer_down(turn, vm));
        }
    }
}
