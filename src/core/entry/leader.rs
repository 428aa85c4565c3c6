//! Tracks each group's leader, and queues requests while a group has none.

use super::{Entry, LeaseRequest, Pending};
use crate::clock::{Span, Time};
use crate::core::message::{FloorRequest, Message, Primary};
use crate::core::request::{Cause, Kind, Unknown};
use crate::core::world::Turn;
use crate::types::{GroupId, Link, RequestId, Term, VmId};
use std::collections::VecDeque;

/// Maximum number of requests of one group that wait for a leader at one entry: the statements that
/// reach one entry for a busy group in a second. Further requests are rejected with a time to
/// retry.
const MAX_WAITING: usize = 1_024;

/// After this many typical failover durations without a leader the failover has failed, and the
/// group's requests are rejected at once.
const FAILOVER_TIMEOUT_FACTOR: u64 = 3;

/// The requests that wait for a group's leader.
#[derive(Debug, Default)]
pub(super) struct Wait {
    requests: VecDeque<Pending>,
    /// The leader of this term did not serve. It is not used until it is reported again.
    suspected: Option<Term>,
    /// When the leader was first found missing.
    since: Option<Time>,
    /// When a holder may be asked again.
    ask_at: Time,
    /// How many times a holder was asked; selects the next one.
    asked: usize,
}

impl Wait {
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Removes and returns the request of `link`.
    pub fn forget(&mut self, link: Link) -> Option<Pending> {
        let mine = |pending: &Pending| pending.request.link == link;
        let index = self.requests.iter().position(mine)?;
        self.requests.remove(index)
    }
}

impl Entry {
    /// The group's leader, unless it is suspected.
    pub(super) fn leader(&self, turn: &Turn, group: &GroupId) -> Option<Primary> {
        let leader = turn.world.leaders.get(group)?;
        let suspected = self.groups.get(group).and_then(|view| view.wait.suspected);
        if suspected.is_some_and(|term| term >= leader.term) {
            return None;
        }
        Some(leader.clone())
    }

    /// Sends a request to the group's primary through its steward.
    pub(super) fn send_to_primary(&mut self, turn: &mut Turn, mut pending: Pending) {
        match self.leader(turn, &pending.request.group) {
            Some(leader) => {
                // A read that returns here because the primary is suspected chooses among the
                // databases again.
                pending.untried = None;
                self.send(turn, pending, leader.steward, leader.database, true);
            }
            None => self.wait_for_leader(turn, pending),
        }
    }

    /// Marks the known leader as suspected, so that another one is looked for.
    pub(super) fn suspect_leader(&mut self, turn: &mut Turn, group: &GroupId) {
        let Some(leader) = turn.world.leaders.get(group) else {
            return;
        };
        let term = leader.term;
        let view = self.groups.entry(group.clone()).or_default();
        view.wait.suspected = Some(term);
        view.wait.since.get_or_insert(turn.now);
    }

    /// Queues a request until the group has a leader.
    ///
    /// When a primary is lost, all its callers arrive at once. They should neither be rejected
    /// during a short failover nor wait for a leader that never comes. The queue is therefore
    /// bounded by length, by each request's deadline, and by the time after which a failover counts
    /// as failed.
    pub(super) fn wait_for_leader(&mut self, turn: &mut Turn, pending: Pending) {
        let failover_time = typical_failover(turn);
        let group = pending.request.group.clone();
        let view = self.groups.entry(group.clone()).or_default();
        let wait = &mut view.wait;
        let since = *wait.since.get_or_insert(turn.now);
        let failover_failed = turn.now >= since + Span(failover_time.0 * FAILOVER_TIMEOUT_FACTOR);
        if failover_failed || wait.len() >= MAX_WAITING {
            self.ask_leader(turn, &group);
            return self.not_run(turn, pending, Cause::NoPrimary, failover_time);
        }
        wait.requests.push_back(pending);
        self.ask_leader(turn, &group);
    }

    /// Asks one holder of the group's databases for the leader, and another one the next time.
    fn ask_leader(&mut self, turn: &mut Turn, group: &GroupId) {
        let now = turn.now;
        let Some(view) = self.groups.get_mut(group) else {
            return;
        };
        if view.wait.ask_at > now {
            return;
        }
        let wait = &mut view.wait;
        wait.ask_at = now + turn.timing().probe;
        wait.asked = wait.asked.wrapping_add(1);
        let databases = turn.world.group(group).map(|found| &found.databases);
        let Some(databases) = databases.filter(|databases| !databases.is_empty()) else {
            return;
        };
        let index = wait.asked % databases.len();
        let Some(database) = databases.keys().nth(index).cloned() else {
            return;
        };
        let vm = turn.world.holder(now, &database);
        let request = turn.id();
        let ask = FloorRequest {
            request,
            group: group.clone(),
            session: None,
        };
        turn.send(&vm, Message::FloorRequest(ask));
    }

    /// Handles a report of a group's leader. A suspected leader is used again once a VM that is in
    /// contact with it reports it.
    pub(super) fn update_leader(
        &mut self,
        turn: &mut Turn,
        group: &GroupId,
        primary: Option<&Primary>,
    ) {
        let Some(primary) = primary else {
            return;
        };
        turn.world.record_leader(group, primary);
        let Some(view) = self.groups.get_mut(group) else {
            return;
        };
        let current = turn.world.leaders.get(group).map(|leader| leader.term);
        if current.is_some_and(|term| term > primary.term) {
            return;
        }
        view.wait.suspected = None;
        view.wait.since = None;
        for pending in std::mem::take(&mut view.wait.requests) {
            self.dispatch(turn, pending);
        }
    }

    /// Handles the leader that a VM serving the group named in another answer.
    pub fn leader_reported(&mut self, turn: &mut Turn, group: &GroupId) {
        let Some(view) = self.groups.get(group) else {
            return;
        };
        let leader = turn.world.leaders.get(group).cloned();
        let is_newer = leader
            .as_ref()
            .is_some_and(|l| view.wait.suspected < Some(l.term));
        if is_newer && view.wait.len() > 0 {
            self.update_leader(turn, group, leader.as_ref());
        }
    }

    pub(super) fn tick_waiting(&mut self, turn: &mut Turn) {
        let waiting = self.groups.iter().filter(|(_, view)| view.wait.len() > 0);
        let mut groups: Vec<GroupId> = waiting.map(|(id, _)| id.clone()).collect();
        groups.sort_unstable();
        for group in groups {
            self.expire_waiting(turn, &group);
            self.ask_leader(turn, &group);
        }
    }

    fn expire_waiting(&mut self, turn: &mut Turn, group: &GroupId) {
        let now = turn.now;
        let failover_time = typical_failover(turn);
        let Some(view) = self.groups.get_mut(group) else {
            return;
        };
        let failover_failed = view
            .wait
            .since
            .is_some_and(|since| now >= since + Span(failover_time.0 * FAILOVER_TIMEOUT_FACTOR));
        let over = |pending: &Pending| failover_failed || pending.request.deadline <= now;
        let (late, rest) = view.wait.requests.drain(..).partition(over);
        view.wait.requests = rest;
        for pending in late as VecDeque<Pending> {
            self.not_run(turn, pending, Cause::NoPrimary, failover_time);
        }
    }

    /// Handles lease requests without an answer in time: the steward that was asked becomes
    /// suspected.
    pub(super) fn tick_asks(&mut self, turn: &mut Turn) {
        let now = turn.now;
        let late = self
            .asks
            .extract_if(|_, lease_request| lease_request.until <= now);
        let mut late: Vec<(RequestId, LeaseRequest)> = late.collect();
        late.sort_unstable_by_key(|(id, _)| *id);
        for (_, lease_request) in late {
            self.ask_failed(turn, lease_request);
        }
    }

    pub(super) fn ask_failed(&mut self, turn: &mut Turn, lease_request: LeaseRequest) {
        let group = lease_request.pending.request.group.clone();
        let still = turn.world.leaders.get(&group).map(|leader| &leader.steward);
        if still == Some(&lease_request.vm) {
            self.suspect_leader(turn, &group);
        }
        self.dispatch(turn, lease_request.pending);
    }

    /// Handles a broken stream to another VM. If it never was open (`was_open` is false), nothing
    /// sent on it has left this VM.
    ///
    /// If the VM that ran the work is lost, a write must neither run twice nor leave its caller
    /// waiting. Only reads, keyed writes and requests that never left this VM are sent again; the
    /// others end as unknown at once.
    pub fn peer_down(&mut self, turn: &mut Turn, vm: &VmId, was_open: bool) {
        let asks = self
            .asks
            .extract_if(|_, lease_request| lease_request.vm == *vm);
        let mut asks: Vec<(RequestId, LeaseRequest)> = asks.collect();
        asks.sort_unstable_by_key(|(id, _)| *id);
        for (_, lease_request) in asks {
            self.ask_failed(turn, lease_request);
        }
        for caller in self.links.values_mut() {
            let gone = caller.transaction.as_ref().is_some_and(|b| b.vm == *vm);
            if gone && !caller.in_flight {
                caller.transaction = None;
            }
        }
        let sent = self.sent.extract_if(|_, sent| sent.vm == *vm);
        let mut sent: Vec<(RequestId, super::Sent)> = sent.collect();
        sent.sort_unstable_by_key(|(id, _)| *id);
        for (_, sent) in sent {
            if sent.primary {
                let group = sent.pending.request.group.clone();
                self.suspect_leader(turn, &group);
            }
            self.resend_or_end(turn, sent, was_open);
        }
    }

    fn resend_or_end(&mut self, turn: &mut Turn, sent: super::Sent, was_open: bool) {
        let continues = sent.pending.request.kind == Kind::Continue;
        if continues {
            self.release(turn, &sent.pending.request, &sent.vm);
        }
        match (was_open, continues) {
            (true, _) => self.unknown(turn, sent, Unknown::PeerLost),
            (false, true) => self.not_run(turn, sent.pending, Cause::RolledBack, Span::ZERO),
            (false, false) => self.dispatch(turn, sent.pending),
        }
    }
}

/// The typical duration of a change of primary: detection, the acknowledgement window, and a round
/// of probes.
fn typical_failover(turn: &Turn) -> Span {
    let timing = turn.timing();
    timing.suspicion + timing.window + timing.probe
}
