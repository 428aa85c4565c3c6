//! What the steward has to do, by what it knows.

use crate::clock::{Span, Time};
use crate::core::detect::Damper;
use crate::direct::config::{Config, Database};
use crate::direct::control::evidence::{Attempt, Tried, Verdict, Votes, Witness, count, judge};
use crate::direct::control::promotion::lapsed_at;
use crate::direct::control::rows::{MemberId, Reading};
use crate::direct::control::state::Topic;
use crate::direct::lead::Lead;
use crate::direct::table::Version;
use crate::direct::view::Report;
use crate::types::{DatabaseId, GroupId, Life};
use std::collections::BTreeMap;

/// How long a VM may be silent before the steward finds out why: its row costs the next
/// replacement a wait of a lease, unless it is marked before.
const MEMBER_SILENT: Span = Span::from_millis(1_200);

/// The pause between two attempts to reach a database that is said to fail, and after one that it
/// answered: each takes a connection for 12 ms.
const TRY_EVERY: Span = Span::from_millis(150);
const TRY_ANSWERED: Span = Span::from_millis(600);

/// How long a primary may be registered as a replica before it is believed: a promotion takes up
/// to a second, and its report to the register another two.
const UNLED: Span = Span::from_secs(5);

/// How long a VM has to know the register before an entry that it never had counts as gone: those
/// that expired in an outage are back within 2 s of its end, and a VM may start just then.
const ENTERED: Span = Span::from_millis(2_500);

/// How long a group without a lead row may have no database that takes itself for the primary.
const HEADLESS: Span = Span::from_secs(6);

/// How soon the steward looks again while anything is suspicious.
const AGAIN: Span = Span::from_millis(50);

/// Why a primary is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It does not answer.
    Lost,
    /// It is not registered any more.
    Gone,
    /// It is about to end.
    Leaving,
    /// Many VMs do not reach it, others do.
    Split,
    /// It takes itself for a replica, and nobody leads.
    Unled,
    /// It started again under its id, and has nothing of what it had.
    Reborn,
    /// A steward before began to replace it.
    Unfinished,
}

impl Cause {
    /// Whether work on the old primary may end, and the old primary is no candidate.
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Leaving | Self::Split)
    }
}

/// Something to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Errand {
    /// Write a new group's first lead row.
    Create(GroupId, DatabaseId),
    /// Replace a group's primary.
    Change(GroupId, Cause),
    /// Try to reach a database.
    Try(DatabaseId),
    /// Tell a database that another one leads.
    StepDown(GroupId, DatabaseId),
    /// Find out about a VM that is silent.
    Call(MemberId),
    /// Remove the row of a VM that can hold no lease.
    Remove(MemberId, Version),
}

impl Errand {
    /// What it is about.
    pub fn topic(&self) -> Topic {
        match self {
            Self::Create(group, _) | Self::Change(group, _) => Topic::Group(group.clone()),
            Self::Try(database) => Topic::Database(database.clone()),
            Self::StepDown(_, database) => Topic::StepDown(database.clone()),
            Self::Call(member) | Self::Remove(member, _) => Topic::Member(member.clone()),
        }
    }
}

/// What a VM told, as the survey needs it.
#[derive(Debug, Clone)]
pub struct Told<'a> {
    /// Its life.
    pub life: Life,
    /// When.
    pub at: Time,
    /// How databases answered it.
    pub reports: &'a BTreeMap<DatabaseId, Report>,
}

/// What the steward knows.
#[derive(Debug)]
pub struct Scene<'a> {
    /// The time.
    pub now: Time,
    /// Since when this VM is the steward.
    pub since: Time,
    /// This VM.
    pub own: &'a MemberId,
    /// The rows.
    pub reading: &'a Reading,
    /// The databases.
    pub databases: &'a BTreeMap<DatabaseId, Database>,
    /// The configuration: a group that it does not name gets no primary, as anybody may write an
    /// entry of one into the register.
    pub config: Option<&'a Config>,
    /// When the first reading of the register was asked that is known here.
    pub began: Option<Time>,
    /// Since when the store answers each call.
    pub up: Option<Time>,
    /// What VMs told, this one too.
    pub told: &'a BTreeMap<MemberId, Told<'a>>,
    /// The last attempts to reach databases.
    pub tried: &'a BTreeMap<DatabaseId, Tried>,
    /// When evicted VMs were first seen as such, by the version of their rows.
    pub evicted: &'a BTreeMap<MemberId, (Version, Time)>,
    /// Since when groups have had their epochs.
    pub epochs: &'a BTreeMap<GroupId, (u64, Time)>,
    /// What keeps replacements of one group apart where the primary still runs.
    pub dampers: &'a BTreeMap<GroupId, Damper>,
    /// How much longer than usual a VM may be silent, as this one is late itself.
    pub margin: Span,
}

/// What to do now, and when to look again if nothing happens before.
pub fn survey(scene: &Scene) -> (Vec<Errand>, Option<Time>) {
    let survey = Survey::new(scene);
    let mut errands = Vec::new();
    let mut suspicious = false;
    for (group, (lead, _)) in &scene.reading.leads {
        suspicious |= survey.look_at_group(group, lead, &mut errands);
    }
    survey.look_for_new_groups(&mut errands);
    scene.look_at_members(&mut errands);
    (errands, suspicious.then(|| scene.now + AGAIN))
}

/// A scene with its databases by group, and what was told by database.
///
/// **Pattern answered.** Hundreds of groups and VMs, and a survey with each heartbeat that tells of
/// something new. **Without it** each group goes through all databases and all VMs, and a steward with an
/// eighth of a core answers no heartbeat meanwhile.
struct Survey<'a> {
    scene: &'a Scene<'a>,
    groups: BTreeMap<&'a GroupId, Vec<&'a Database>>,
    witnesses: BTreeMap<&'a DatabaseId, Vec<Witness>>,
}

impl<'a> Survey<'a> {
    fn new(scene: &'a Scene<'a>) -> Self {
        let mut groups = BTreeMap::<_, Vec<_>>::new();
        for database in scene.databases.values() {
            groups.entry(&database.group).or_default().push(database);
        }
        let mut witnesses = BTreeMap::<_, Vec<_>>::new();
        for told in scene.told.values() {
            // A VM that never tried has no opinion.
            for (database, report) in told.reports {
                let witness = Witness {
                    heard: told.at,
                    report: *report,
                };
                witnesses.entry(database).or_default().push(witness);
            }
        }
        Self {
            scene,
            groups,
            witnesses,
        }
    }

    fn members(&self, group: &GroupId) -> impl Iterator<Item = &'a Database> {
        let members = self.groups.get(group);
        members.into_iter().flatten().copied()
    }

    fn votes(&self, database: &DatabaseId) -> Votes {
        let witnesses = self.witnesses.get(database);
        count(witnesses.into_iter().flatten().copied(), self.scene.now)
    }

    /// Returns whether something is suspicious.
    fn look_at_group(&self, group: &GroupId, lead: &Lead, errands: &mut Vec<Errand>) -> bool {
        if lead.changing {
            errands.push(Errand::Change(group.clone(), Cause::Unfinished));
            return false;
        }
        self.look_for_old_primaries(group, lead, errands);
        let Some(primary) = self.scene.databases.get(&lead.primary) else {
            // A register that had the entry keeps it until it is believed to be gone.
            let settled = self
                .scene
                .began
                .is_some_and(|at| at + ENTERED <= self.scene.now);
            if settled && self.groups.contains_key(group) {
                errands.push(Errand::Change(group.clone(), Cause::Gone));
            }
            return !settled;
        };
        if primary.born != lead.born {
            errands.push(Errand::Change(group.clone(), Cause::Reborn));
            return false;
        }
        let votes = self.votes(&primary.id);
        let tried = self.scene.tried.get(&primary.id).copied();
        let verdict = judge(&votes, tried, self.scene.now);
        let cause = match verdict {
            Verdict::Lost => Some(Cause::Lost),
            Verdict::Split if self.may_split(group, primary) => Some(Cause::Split),
            _ if primary.leaving && self.has_successor(primary) => Some(Cause::Leaving),
            _ if self.is_unled(group, primary) => Some(Cause::Unled),
            _ => None,
        };
        if let Some(cause) = cause {
            errands.push(Errand::Change(group.clone(), cause));
            return false;
        }
        let suspicious = verdict != Verdict::Fine;
        let rested = tried.is_none_or(|tried| {
            let answered = tried.attempt == Attempt::Answered;
            let rest = if answered { TRY_ANSWERED } else { TRY_EVERY };
            tried.ended + rest <= self.scene.now
        });
        if suspicious && rested {
            errands.push(Errand::Try(primary.id.clone()));
        }
        suspicious
    }

    /// A primary that some VMs reach is replaced only by one that more of them reach, and seldom.
    fn may_split(&self, group: &GroupId, primary: &Database) -> bool {
        let damper = self.scene.dampers.get(group);
        if damper.is_some_and(|damper| self.scene.now < damper.allows_at()) {
            return false;
        }
        let failing = self.votes(&primary.id);
        let mut others = self
            .members(group)
            .filter(|d| d.id != primary.id && !d.leaving);
        others.any(|d| self.votes(&d.id).fails_less(&failing))
    }

    fn has_successor(&self, primary: &Database) -> bool {
        let mut others = self.members(&primary.group);
        others.any(|d| d.id != primary.id && !d.leaving)
    }

    fn is_unled(&self, group: &GroupId, primary: &Database) -> bool {
        let settled = |at: Time| at + UNLED <= self.scene.now;
        let epoch = self
            .scene
            .reading
            .leads
            .get(group)
            .map(|(lead, _)| lead.epoch);
        let known = self.scene.epochs.get(group);
        let known = known.is_some_and(|(known, at)| Some(*known) == epoch && settled(*at));
        !primary.primary && known && settled(self.scene.since) && self.scene.up.is_some_and(settled)
    }

    /// One that came back, or never heard that another was promoted, still takes itself for the
    /// primary.
    fn look_for_old_primaries(&self, group: &GroupId, lead: &Lead, errands: &mut Vec<Errand>) {
        for old in self
            .members(group)
            .filter(|d| d.primary && d.id != lead.primary)
        {
            errands.push(Errand::StepDown(group.clone(), old.id.clone()));
        }
    }

    fn look_for_new_groups(&self, errands: &mut Vec<Errand>) {
        let scene = self.scene;
        let named = |group| {
            scene
                .config
                .is_some_and(|config| config.groups.contains_key(group))
        };
        for (group, members) in &self.groups {
            if !named(*group) || scene.reading.leads.contains_key(*group) {
                continue;
            }
            // Where nobody leads and nobody ever did, any of them is named, and replaced as unled. Where somebody
            // did in an earlier era of the store, that one counts.
            let was_led = scene.reading.former.leads.contains_key(*group);
            let headless = was_led || scene.since + HEADLESS <= scene.now;
            let any = members.first().filter(|_| headless);
            let primary = members.iter().find(|d| d.primary).or(any);
            if let Some(primary) = primary {
                errands.push(Errand::Create((*group).clone(), primary.id.clone()));
            }
        }
    }
}

impl Scene<'_> {
    fn look_at_members(&self, errands: &mut Vec<Errand>) {
        for (id, (member, version)) in &self.reading.members {
            if id == self.own {
                continue;
            }
            if member.evicted {
                let seen = self.evicted.get(id).filter(|(known, _)| known == version);
                if seen.is_some_and(|(_, seen)| lapsed_at(*seen) <= self.now) {
                    errands.push(Errand::Remove(id.clone(), *version));
                }
                continue;
            }
            let told = self.told.get(id).filter(|told| told.life == member.life);
            let heard = told.map_or(self.since, |told| told.at);
            if heard + MEMBER_SILENT + self.margin <= self.now {
                errands.push(Errand::Call(id.clone()));
            }
        }
    }
}
