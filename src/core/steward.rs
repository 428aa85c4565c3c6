//! One VM's part in leading a group: it watches the group's steward, takes over when the
//! holders of a majority miss it, and leads until a higher term is met.

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

/// Entries that are told of the next leader as soon as there is one. An entry beyond these asks
/// again by itself.
const CURIOUS_LIMIT: usize = 1_024;

/// One VM's part in leading one group.
#[derive(Debug)]
pub(crate) struct Steward {
    pub group: GroupId,
    members: BTreeSet<DatabaseId>,
    /// Watches the group's steward by its probes.
    watch: Detector,
    damper: Damper,
    /// The highest term heard of.
    term: Term,
    /// When the group was last known to be served.
    served: Time,
    phase: Phase,
    /// No takeover is tried before this.
    patience: Time,
    curious: BTreeMap<VmId, RequestId>,
    verdicts: Vec<Verdict>,
}

#[derive(Debug)]
enum Phase {
    Follow,
    Gather(Evidence),
    Raise(Raising),
    Open(Opening),
    Lead(Box<Lead>),
}

/// What the holders of a group's databases say of its steward.
#[derive(Debug)]
struct Evidence {
    silent: BTreeSet<DatabaseId>,
    /// Other VMs that miss the steward too.
    witnesses: usize,
    asked: BTreeMap<RequestId, VmId>,
    until: Time,
}

/// A promotion whose raises are under way or answered.
#[derive(Debug)]
struct Raising {
    promotion: Promotion,
    asked: BTreeMap<RequestId, DatabaseId>,
    /// The term whose steward has stopped for good, if it was handed over.
    yielded: Option<Term>,
    /// Refused before for a stale idea of the term, which costs no more than another try.
    tries: u32,
    /// Databases that have not answered are waited for until then, once a majority has.
    choose_at: Time,
    until: Time,
}

/// The chosen primary is being opened.
#[derive(Debug)]
struct Opening {
    term: Term,
    primary: DatabaseId,
    base: Position,
    request: RequestId,
    again: Time,
    until: Time,
}

/// What becomes of a primary's answer.
#[derive(Debug)]
pub(crate) struct Verdict {
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

/// What a steward has to know of the primary's holder, which is on the same VM.
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
            patience: Time::default(),
            curious: BTreeMap::new(),
            verdicts: Vec::new(),
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

    /// What the primary is to this VM, if this VM leads.
    pub fn role(&self) -> Option<(&DatabaseId, Role)> {
        match &self.phase {
            Phase::Lead(lead) => Some((lead.primary(), lead.role())),
            _ => None,
        }
    }

    pub fn take_verdicts(&mut self) -> Vec<Verdict> {
        std::mem::take(&mut self.verdicts)
    }

    /// Whether this VM leads, or is about to.
    pub fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Follow)
    }

    pub fn leads(&self) -> bool {
        matches!(self.phase, Phase::Lead(_))
    }

    /// When it next wants a tick.
    pub fn wake(&self) -> Time {
        match &self.phase {
            Phase::Follow => self.watch.suspects_at().max(self.patience),
            Phase::Gather(evidence) => evidence.until,
            Phase::Raise(raising) => raising.wake(),
            Phase::Open(opening) => opening.again.min(opening.until),
            Phase::Lead(lead) => lead.wake(),
        }
    }

    /// The configuration changed: the group may have other databases.
    ///
    /// A group's majority is that of the document in force. A change that adds or removes more
    /// than one database at once may leave old and new majorities that do not meet; a checker of
    /// documents has to refuse it.
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

    /// A steward's probe arrived: it lives, and says whether it serves.
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
        // A steward that waits out the damping of promotions is not to be replaced for it.
        if probe.serving || turn.now < self.damper.allows_at() {
            self.watch.heard(turn.now);
        }
        if probe.serving {
            self.served = turn.now;
            self.tell_curious(turn);
        }
    }

    /// A database was raised to `term` by way of this VM: somebody is taking the group over.
    ///
    /// Failure: a VM waits out the former term's window after its raise, and another one, still
    /// without a sign of life, raises again. Symptom: terms rise without end and nobody leads.
    /// Enough, because a raise counts as a sign of life for as long as the wait takes, and a
    /// raiser that dies meanwhile costs no more than that.
    pub fn saw_raise(&mut self, turn: &Turn, term: Term) {
        if term <= self.term {
            return;
        }
        if matches!(self.phase, Phase::Follow | Phase::Gather(_)) {
            self.term = term;
            self.phase = Phase::Follow;
            self.watch.heard(turn.now + turn.timing().window);
        }
    }

    /// Another holder asks whether the steward was heard; a steward asks whether its primary
    /// can be reached from here, which `reached` answers.
    pub fn suspected(
        &mut self,
        turn: &mut Turn,
        from: &VmId,
        suspect: Suspect,
        reached: Option<bool>,
    ) {
        let heard = match &self.phase {
            Phase::Lead(lead) => lead.serves(turn.now),
            Phase::Raise(_) | Phase::Open(_) => true,
            _ => !self.watch.suspects(turn.now),
        };
        let answer = Suspected {
            request: suspect.request,
            primary: turn.world.leaders.get(&self.group).cloned(),
            group: suspect.group,
            heard,
            reached,
        };
        turn.send(from, Message::Suspected(answer));
    }

    /// Tells an entry who leads; one that is told nothing hears as soon as that is known.
    pub(super) fn inform(&mut self, turn: &mut Turn, from: &VmId, request: RequestId) {
        let known = turn.world.leaders.get(&self.group).cloned();
        let live = match &self.phase {
            Phase::Lead(_) => true,
            Phase::Follow => !self.watch.suspects(turn.now),
            _ => false,
        };
        let primary = known.filter(|_| live);
        if primary.is_none() && self.curious.len() < CURIOUS_LIMIT {
            self.curious.insert(from.clone(), request);
        }
        let grant = Grant {
            request,
            group: self.group.clone(),
            floor: None,
            primary,
        };
        turn.send(from, Message::Grant(grant));
    }

    fn tell_curious(&mut self, turn: &mut Turn) {
        if self.curious.is_empty() {
            return;
        }
        let primary = turn.world.leaders.get(&self.group).cloned();
        for (vm, request) in std::mem::take(&mut self.curious) {
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
    /// Failure: a replaced primary has answered, and the answer is here. Symptom: a write is
    /// acknowledged that no later primary holds. Enough, because whatever waited is told as
    /// unknown now, and nothing of this term is passed on once the phase has changed.
    fn step_down(&mut self, turn: &mut Turn) {
        let Phase::Lead(lead) = std::mem::replace(&mut self.phase, Phase::Follow) else {
            return;
        };
        for waiting in lead.end() {
            self.verdicts.push(Verdict {
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
