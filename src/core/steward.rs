//! One VM's part in leading a group. It watches the group's steward, takes over when the holders
//! of a majority of its databases no longer receive its probes, and leads until it finds a higher
//! term.

mod election;
mod handover;
mod lead;
mod lease;
mod pass;

use crate::clock::Time;
use crate::core::detect::{Damper, Detector};
use crate::core::job::Job;
use crate::core::message::{Grant, Message, Primary, Probe, Suspect, Suspected};
use crate::core::request::{Outcome, Unknown};
use crate::core::role::Role;
use crate::core::term::Promotion;
use crate::core::world::Turn;
use crate::types::{DatabaseId, GroupId, Position, RequestId, Term, VmId};
use lead::Lead;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// The number of entries that are notified as soon as there is a leader. Further entries ask again
/// by themselves.
const MAX_WAITING_ENTRIES: usize = 1_024;

/// One VM's part in leading one group: the VM that leads it is the group's steward.
#[derive(Debug)]
pub(crate) struct Steward {
    pub group: GroupId,
    members: BTreeSet<DatabaseId>,
    /// Suspects the group's steward when its probes stop.
    watch: Detector,
    damper: Damper,
    /// The highest known term.
    term: Term,
    /// When the group was last known to be served.
    served: Time,
    phase: Phase,
    /// The earliest time of the next takeover.
    takeover_after: Time,
    waiting_entries: BTreeMap<VmId, RequestId>,
    completions: Vec<Completion>,
}

#[derive(Debug)]
enum Phase {
    Follow,
    Gather(Evidence),
    Raise(Raising),
    Open(Opening),
    Lead(Box<Lead>),
}

/// Evidence of the holders of a group's databases about its steward.
#[derive(Debug)]
struct Evidence {
    silent: BTreeSet<DatabaseId>,
    /// The number of other VMs that suspect the steward too.
    witnesses: usize,
    asked: BTreeMap<RequestId, VmId>,
    until: Time,
}

/// A promotion whose raises are under way or answered.
#[derive(Debug)]
struct Raising {
    promotion: Promotion,
    asked: BTreeMap<RequestId, DatabaseId>,
    /// The term that was handed over, whose steward acknowledges nothing more.
    yielded: Option<Term>,
    /// The number of earlier raises that were refused because a database was in a higher term.
    tries: u32,
    /// Until when to wait for the other databases once a majority has answered.
    choose_at: Time,
    until: Time,
}

/// The chosen primary, while it is being opened.
#[derive(Debug)]
struct Opening {
    term: Term,
    primary: DatabaseId,
    base: Position,
    request: RequestId,
    retry_at: Time,
    until: Time,
}

/// A job whose answer the steward has decided on.
#[derive(Debug)]
pub(crate) struct Completion {
    pub job: Job,
    pub outcome: Outcome,
    /// The end of the lease that the entry may go on using.
    pub lease: Option<Time>,
}

/// A steward's state for `dump`.
#[derive(Debug, Serialize)]
pub(crate) struct Dump<'a> {
    phase: &'static str,
    term: Term,
    watch: &'a Detector,
    damper: &'a Damper,
    promotion: Option<&'a Promotion>,
    lead: Option<lead::Dump<'a>>,
}

/// The state of the primary's holder, which is on the same VM: whether it has no open transaction
/// and no work.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Quiet {
    pub transactions: bool,
    pub work: bool,
}

impl Steward {
    pub fn new(turn: &Turn, group: GroupId) -> Self {
        let found = turn.world.group(&group);
        let members = found.map(|found| found.databases.keys().cloned().collect());
        Self {
            members: members.unwrap_or_default(),
            watch: Detector::new(turn.now, turn.timing().suspicion),
            damper: Damper::default(),
            term: Term::default(),
            served: turn.now,
            phase: Phase::Follow,
            takeover_after: Time::default(),
            waiting_entries: BTreeMap::new(),
            completions: Vec::new(),
            group,
        }
    }

    pub fn dump(&self) -> Dump<'_> {
        let (phase, promotion, lead) = match &self.phase {
            Phase::Follow => ("follow", None, None),
            Phase::Gather(_) => ("gather", None, None),
            Phase::Raise(raising) => ("raise", Some(&raising.promotion), None),
            Phase::Open(_) => ("open", None, None),
            Phase::Lead(lead) => ("lead", None, Some(lead.dump())),
        };
        Dump {
            phase,
            term: self.term,
            watch: &self.watch,
            damper: &self.damper,
            promotion,
            lead,
        }
    }

    /// The primary and its role, if this VM leads.
    pub fn role(&self) -> Option<(&DatabaseId, Role)> {
        match &self.phase {
            Phase::Lead(lead) => Some((lead.primary(), lead.role())),
            _ => None,
        }
    }

    pub fn take_completions(&mut self) -> Vec<Completion> {
        std::mem::take(&mut self.completions)
    }

    /// Whether this VM leads, or is about to.
    pub fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Follow)
    }

    pub fn leads(&self) -> bool {
        matches!(self.phase, Phase::Lead(_))
    }

    /// When the next tick is due.
    pub fn wake(&self) -> Time {
        match &self.phase {
            Phase::Follow => self.watch.suspects_at().max(self.takeover_after),
            Phase::Gather(evidence) => evidence.until,
            Phase::Raise(raising) => raising.wake(),
            Phase::Open(opening) => opening.retry_at.min(opening.until),
            Phase::Lead(lead) => lead.wake(),
        }
    }

    /// Applies a changed configuration, in which the group may have other databases.
    ///
    /// A group's majority is that of the document in force. A change that adds or removes more
    /// than one database at once may leave an old and a new majority without a common database,
    /// so validation of documents must refuse it.
    pub fn configure(&mut self, turn: &mut Turn) {
        let found = turn.world.group(&self.group);
        let members: BTreeSet<DatabaseId> = found
            .map(|found| found.databases.keys().cloned().collect())
            .unwrap_or_default();
        if members == self.members {
            return;
        }
        self.members = members;
        match &self.phase {
            Phase::Follow => {}
            Phase::Lead(_) => self.step_down(turn),
            _ => self.phase = Phase::Follow,
        }
    }

    pub fn tick(&mut self, turn: &mut Turn, quiet: Quiet) {
        match &self.phase {
            Phase::Follow => self.watch_steward(turn),
            Phase::Gather(evidence) if evidence.until <= turn.now => self.decide_alone(turn),
            Phase::Gather(_) => {}
            Phase::Raise(_) => self.tick_raise(turn),
            Phase::Open(_) => self.tick_open(turn),
            Phase::Lead(_) => self.tick_lead(turn, quiet),
        }
    }

    /// Handles a steward's probe, which shows that it is alive and whether it serves.
    pub fn probed(&mut self, turn: &mut Turn, probe: &Probe) {
        let term = probe.primary.term;
        if term < self.term {
            return;
        }
        if term > self.term {
            self.term = term;
            let damping = turn.timing().damping;
            self.damper.promoted(turn.now, damping);
            if self.leads() {
                self.step_down(turn);
            }
            self.phase = Phase::Follow;
        }
        // A steward that waits for the damping of promotions must not be replaced for that.
        if probe.serving || turn.now < self.damper.allows_at() {
            self.watch.responded(turn.now);
        }
        if probe.serving {
            self.served = turn.now;
            self.notify_waiting(turn);
        }
    }

    /// Records that another VM raised a database to `term` by way of this VM, to take over the group.
    ///
    /// The raising VM waits for a window before it leads. The raise counts as a response for that
    /// long; otherwise VMs that have received no probe would raise again, so that terms rise
    /// without end and no VM leads. If the raising VM fails, this costs one window.
    pub fn raise_reported(&mut self, turn: &Turn, term: Term) {
        if term <= self.term {
            return;
        }
        if matches!(self.phase, Phase::Follow | Phase::Gather(_)) {
            self.term = term;
            self.phase = Phase::Follow;
            self.watch.responded(turn.now + turn.timing().window);
        }
    }

    /// Answers another holder that asks whether the steward responds, or a steward that asks
    /// whether its primary can be reached from here, which is `reached`.
    pub fn suspected(
        &mut self,
        turn: &mut Turn,
        from: &VmId,
        suspect: Suspect,
        reached: Option<bool>,
    ) {
        let steward_responds = match &self.phase {
            Phase::Lead(lead) => lead.serves(turn.now),
            Phase::Raise(_) | Phase::Open(_) => true,
            _ => !self.watch.suspects(turn.now),
        };
        let answer = Suspected {
            request: suspect.request,
            primary: turn.world.leaders.get(&self.group).cloned(),
            group: suspect.group,
            steward_responds,
            reached,
        };
        turn.send(from, Message::Suspected(answer));
    }

    /// Sends the leader to an entry. If there is none, the entry is notified once there is one.
    pub(super) fn send_leader(&mut self, turn: &mut Turn, from: &VmId, request: RequestId) {
        let known = turn.world.leaders.get(&self.group).cloned();
        let live = match &self.phase {
            Phase::Lead(_) => true,
            Phase::Follow => !self.watch.suspects(turn.now),
            _ => false,
        };
        let primary = known.filter(|_| live);
        if primary.is_none() && self.waiting_entries.len() < MAX_WAITING_ENTRIES {
            self.waiting_entries.insert(from.clone(), request);
        }
        let grant = Grant {
            request,
            group: self.group.clone(),
            floor: None,
            primary,
        };
        turn.send(from, Message::Grant(grant));
    }

    fn notify_waiting(&mut self, turn: &mut Turn) {
        if self.waiting_entries.is_empty() {
            return;
        }
        let primary = turn.world.leaders.get(&self.group).cloned();
        for (vm, request) in std::mem::take(&mut self.waiting_entries) {
            let grant = Grant {
                request,
                group: self.group.clone(),
                floor: None,
                primary: primary.clone(),
            };
            turn.send(&vm, Message::Grant(grant));
        }
    }

    /// Ends this VM's lead.
    ///
    /// Waiting answers are reported as unknown now, and no answer of this term is sent afterwards;
    /// otherwise a replaced primary's write could be acknowledged that no later primary holds.
    fn step_down(&mut self, turn: &mut Turn) {
        let Phase::Lead(lead) = std::mem::replace(&mut self.phase, Phase::Follow) else {
            return;
        };
        for waiting in lead.end() {
            self.completions.push(Completion {
                job: waiting.job,
                outcome: Outcome::Unknown(Unknown::Unconfirmed),
                lease: None,
            });
        }
        self.watch = Detector::new(turn.now, turn.timing().suspicion);
    }

    fn leader(&self, turn: &Turn) -> Option<Primary> {
        turn.world.leaders.get(&self.group).cloned()
    }
}
