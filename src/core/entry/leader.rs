//! Finding a group's leader, and the requests that wait for one.

use super::{Asking, Entry, Pending};
use crate::clock::{Span, Time};
use crate::core::message::{Ask, Message, Primary};
use crate::core::request::{Cause, Kind, Unknown};
use crate::core::world::Turn;
use crate::types::{GroupId, Link, RequestId, Term, VmId};
use std::collections::VecDeque;

/// Requests of one group that may wait for a leader at one entry: the statements that an
/// entry's share of a busy group brings in a second. Those beyond are told to come back.
const WAITING_LIMIT: usize = 1_024;

/// A group without a leader for this many times the usual length of a failover gives no hope:
/// its requests are turned away at once.
const HOPE_GAPS: u64 = 3;

/// Requests that wait for a group's leader.
#[derive(Debug, Default)]
pub(super) struct Wait {
    requests: VecDeque<Pending>,
    /// The leader of this term did not serve; it is not used until it is heard of again.
    doubted: Option<Term>,
    /// When the leader was missed first.
    since: Option<Time>,
    ask_at: Time,
    turn: usize,
}

impl Wait {
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Takes out what `link` has waiting.
    pub fn forget(&mut self, link: Link) -> Option<Pending> {
        let mine = |pending: &Pending| pending.request.link == link;
        let index = self.requests.iter().position(mine)?;
        self.requests.remove(index)
    }
}

impl Entry {
    /// The group's leader, unless it is in doubt.
    pub(super) fn leader(&self, turn: &Turn, group: &GroupId) -> Option<Primary> {
        let leader = turn.world.leaders.get(group)?;
        let doubted = self.groups.get(group).and_then(|view| view.wait.doubted);
        if doubted.is_some_and(|term| term >= leader.term) {
            return None;
        }
        Some(leader.clone())
    }

    /// Sends a request to the group's primary, by way of its steward.
    pub(super) fn send_to_primary(&mut self, turn: &mut Turn, mut pending: Pending) {
        match self.leader(turn, &pending.request.group) {
            Some(leader) => {
                // Reads come back here when the primary is in doubt, and choose again then.
                pending.left = None;
                self.send(turn, pending, leader.steward, leader.database, true);
            }
            None => self.wait_for_leader(turn, pending),
        }
    }

    /// The leader known did not serve: another is looked for.
    pub(super) fn doubt(&mut self, turn: &mut Turn, group: &GroupId) {
        let Some(leader) = turn.world.leaders.get(group) else {
            return;
        };
        let term = leader.term;
        let view = self.groups.entry(group.clone()).or_default();
        view.wait.doubted = Some(term);
        view.wait.since.get_or_insert(turn.now);
    }

    /// Lets a request wait for a leader while there is hope of one before its deadline.
    ///
    /// Failure: a primary is lost and all callers come at once. Symptom: they are turned away
    /// for a gap that is over in a moment, or held for a leader that never comes. Enough,
    /// because the queue is bounded by number, by each caller's deadline, and by the time after
    /// which a failover has failed.
    pub(super) fn wait_for_leader(&mut self, turn: &mut Turn, pending: Pending) {
        let gap = usual_gap(turn);
        let group = pending.request.group.clone();
        let view = self.groups.entry(group.clone()).or_default();
        let wait = &mut view.wait;
        let since = *wait.since.get_or_insert(turn.now);
        let hopeless = turn.now >= since + Span(gap.0 * HOPE_GAPS);
        if hopeless || wait.len() >= WAITING_LIMIT {
            self.ask_leader(turn, &group);
            return self.not_run(turn, pending, Cause::NoPrimary, gap);
        }
        wait.requests.push_back(pending);
        self.ask_leader(turn, &group);
    }

    /// Asks a holder of the group who leads it; another holder the next time.
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
        wait.turn = wait.turn.wrapping_add(1);
        let databases = turn.world.group(group).map(|found| &found.databases);
        let Some(databases) = databases.filter(|databases| !databases.is_empty()) else {
            return;
        };
        let index = wait.turn % databases.len();
        let Some(database) = databases.keys().nth(index).cloned() else {
            return;
        };
        let vm = turn.world.holder(now, &database);
        let request = turn.id();
        let ask = Ask {
            request,
            group: group.clone(),
            session: None,
        };
        turn.send(&vm, Message::Ask(ask));
    }

    /// Somebody told who leads a group. A leader in doubt counts again once it is told anew by
    /// one that hears it.
    pub(super) fn learn(&mut self, turn: &mut Turn, group: &GroupId, primary: Option<&Primary>) {
        let Some(primary) = primary else {
            return;
        };
        turn.world.learn(group, primary);
        let Some(view) = self.groups.get_mut(group) else {
            return;
        };
        let current = turn.world.leaders.get(group).map(|leader| leader.term);
        if current.is_some_and(|term| term > primary.term) {
            return;
        }
        view.wait.doubted = None;
        view.wait.since = None;
        for pending in std::mem::take(&mut view.wait.requests) {
            self.dispatch(turn, pending);
        }
    }

    /// Who leads a group was told in passing by one that serves it.
    pub fn heard_leader(&mut self, turn: &mut Turn, group: &GroupId) {
        let Some(view) = self.groups.get(group) else {
            return;
        };
        let leader = turn.world.leaders.get(group).cloned();
        let news = leader
            .as_ref()
            .is_some_and(|l| view.wait.doubted < Some(l.term));
        if news && view.wait.len() > 0 {
            self.learn(turn, group, leader.as_ref());
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
        let gap = usual_gap(turn);
        let Some(view) = self.groups.get_mut(group) else {
            return;
        };
        let hopeless = view
            .wait
            .since
            .is_some_and(|since| now >= since + Span(gap.0 * HOPE_GAPS));
        let over = |pending: &Pending| hopeless || pending.request.deadline <= now;
        let (late, rest) = view.wait.requests.drain(..).partition(over);
        view.wait.requests = rest;
        for pending in late as VecDeque<Pending> {
            self.not_run(turn, pending, Cause::NoPrimary, gap);
        }
    }

    /// Questions that were not answered in time: the steward asked is in doubt.
    pub(super) fn tick_asks(&mut self, turn: &mut Turn) {
        let now = turn.now;
        let late = self.asks.extract_if(|_, asking| asking.until <= now);
        let mut late: Vec<(RequestId, Asking)> = late.collect();
        late.sort_unstable_by_key(|(id, _)| *id);
        for (_, asking) in late {
            self.ask_failed(turn, asking);
        }
    }

    pub(super) fn ask_failed(&mut self, turn: &mut Turn, asking: Asking) {
        let group = asking.pending.request.group.clone();
        let still = turn.world.leaders.get(&group).map(|leader| &leader.steward);
        if still == Some(&asking.vm) {
            self.doubt(turn, &group);
        }
        self.dispatch(turn, asking.pending);
    }

    /// A stream broke.
    ///
    /// Failure: the VM that ran the work is lost. Symptom: a booking is made twice, or its
    /// caller hangs. Enough, because only reads, writes under a key, and what never left this
    /// VM are sent again; the rest is told as unknown at once.
    pub fn peer_down(&mut self, turn: &mut Turn, vm: &VmId, left: bool) {
        let asks = self.asks.extract_if(|_, asking| asking.vm == *vm);
        let mut asks: Vec<(RequestId, Asking)> = asks.collect();
        asks.sort_unstable_by_key(|(id, _)| *id);
        for (_, asking) in asks {
            self.ask_failed(turn, asking);
        }
        for caller in self.links.values_mut() {
            let gone = caller.transaction.as_ref().is_some_and(|b| b.vm == *vm);
            if gone && !caller.under_way {
                caller.transaction = None;
            }
        }
        let sent = self.sent.extract_if(|_, sent| sent.vm == *vm);
        let mut sent: Vec<(RequestId, super::Sent)> = sent.collect();
        sent.sort_unstable_by_key(|(id, _)| *id);
        for (_, sent) in sent {
            if sent.primary {
                let group = sent.pending.request.group.clone();
                self.doubt(turn, &group);
            }
            self.lost(turn, sent, left);
        }
    }

    fn lost(&mut self, turn: &mut Turn, sent: super::Sent, left: bool) {
        let continues = sent.pending.request.kind == Kind::Continue;
        if continues {
            self.release(turn, &sent.pending.request, &sent.vm);
        }
        match (left, continues) {
            (true, _) => self.unknown(turn, sent, Unknown::PeerLost),
            (false, true) => self.not_run(turn, sent.pending, Cause::RolledBack, Span::ZERO),
            (false, false) => self.dispatch(turn, sent.pending),
        }
    }
}

/// How long a change of primary takes as a rule: detection, the acknowledgement window, and a
/// round of probes.
fn usual_gap(turn: &Turn) -> Span {
    let timing = turn.timing();
    timing.suspicion + timing.window + timing.probe
}
