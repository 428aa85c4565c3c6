//! Decides what the steward (the VM elected to coordinate promotions) has to do, given its state.

use crate::clock::{Span, Time};
use crate::core::detect::Damper;
use crate::direct::config::{Config, Database};
use crate::direct::control::evidence::{Attempt, Observation, Probe, Verdict, Votes, count, judge};
use crate::direct::control::revocation::lapsed_at;
use crate::direct::control::rows::{MemberId, Reading};
use crate::direct::control::state::Topic;
use crate::direct::lead::{LEASE, Lead};
use crate::direct::table::Version;
use crate::direct::view::Report;
use crate::types::{DatabaseId, GroupId, Life};
use std::collections::BTreeMap;

/// How long a VM may send no heartbeat before the steward pings it. Unless its row is marked as
/// evicted in time, the next replacement has to wait for its lease to expire.
const MEMBER_TIMEOUT: Span = Span::from_millis(1_200);

/// How long a life that registered again after its eviction is not evicted again. It runs and reaches
/// the store, so it would register again at once.
const EVICTION_INTERVAL: Span = LEASE;

/// The pause between two attempts to reach a database that is reported to fail, and the pause after
/// an attempt that it answered. Each attempt takes a connection for 12 ms.
const TRY_INTERVAL: Span = Span::from_millis(150);
const TRY_INTERVAL_ANSWERED: Span = Span::from_millis(600);

/// How long a primary has to be registered as a replica before the steward acts on it: a promotion
/// takes up to a second, and its report to the register another two.
const UNLED_DELAY: Span = Span::from_secs(5);

/// How long a VM has to know the register before it treats an entry that it never had as gone:
/// entries that expired in a store outage are back within 2 s of its end, and a VM may start just
/// then.
const REGISTER_DELAY: Span = Span::from_millis(2_500);

/// How long a steward waits for a primary to appear in a group without a lead row before it assigns
/// any database of that group.
const NO_PRIMARY_DELAY: Span = Span::from_secs(6);

/// How soon the steward checks again while a primary is suspected.
const RECHECK_INTERVAL: Span = Span::from_millis(50);

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
    /// It reports that it is a replica, and no other database leads.
    Unled,
    /// It restarted under the same id and lost its data.
    Reborn,
    /// An earlier steward began to replace it and did not finish.
    Unfinished,
}

impl Cause {
    /// Whether work under way on the old primary is given time to end, and the old primary is
    /// excluded from the candidates.
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Leaving | Self::Split)
    }

    /// Whether the old primary is no candidate, although it may run. After an unfinished
    /// replacement it is none because the earlier steward may have ordered the promotion of another
    /// database, which takes effect whatever the old primary reports now.
    pub fn excludes_old_primary(self) -> bool {
        self.is_planned() || self == Self::Unfinished
    }
}

/// A task for the steward.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write a new group's first lead row.
    Create(GroupId, DatabaseId),
    /// Replace a group's primary.
    Change(GroupId, Cause),
    /// Try to reach a database.
    Try(DatabaseId),
    /// Order a database to step down because another one leads.
    StepDown(GroupId, DatabaseId),
    /// Ping a VM that is silent, and evict it if it does not answer.
    Ping(MemberId),
    /// Remove the row of a VM that can no longer hold a lease.
    Remove(MemberId, Version),
}

impl Action {
    /// The group, database or VM that the task concerns. One task at a time runs for each topic.
    pub fn topic(&self) -> Topic {
        match self {
            Self::Create(group, _) | Self::Change(group, _) => Topic::Group(group.clone()),
            Self::Try(database) => Topic::Database(database.clone()),
            Self::StepDown(_, database) => Topic::StepDown(database.clone()),
            Self::Ping(member) | Self::Remove(member, _) => Topic::Member(member.clone()),
        }
    }
}

/// The last heartbeat of a VM, as far as [`plan`] needs it.
#[derive(Debug, Clone)]
pub struct Status<'a> {
    /// The incarnation of its process.
    pub life: Life,
    /// When it arrived.
    pub at: Time,
    /// How databases answered the VM.
    pub reports: &'a BTreeMap<DatabaseId, Report>,
}

/// The steward's state, on which it decides.
#[derive(Debug)]
pub struct Snapshot<'a> {
    /// The time.
    pub now: Time,
    /// When this VM became the steward.
    pub steward_since: Time,
    /// This VM.
    pub own: &'a MemberId,
    /// The rows read from the store.
    pub reading: &'a Reading,
    /// The databases.
    pub databases: &'a BTreeMap<DatabaseId, Database>,
    /// The configuration. A group that it does not name gets no primary, because anyone can write
    /// an entry for a group into the register.
    pub config: Option<&'a Config>,
    /// When the first reading of the register that this VM has was requested.
    pub register_since: Option<Time>,
    /// Since when the store has answered every call.
    pub store_up_since: Option<Time>,
    /// The last heartbeat of each VM, including this one.
    pub statuses: &'a BTreeMap<MemberId, Status<'a>>,
    /// The last attempts to reach databases.
    pub tried: &'a BTreeMap<DatabaseId, Probe>,
    /// When evicted VMs were first seen as such, by the version of their rows.
    pub evicted: &'a BTreeMap<MemberId, (Version, Time)>,
    /// The lives that this steward evicted, and when it last did.
    pub evictions: &'a BTreeMap<MemberId, (Life, Time)>,
    /// Each group's epoch, and since when it has had it.
    pub epochs: &'a BTreeMap<GroupId, (u64, Time)>,
    /// Limits how often a group's primary is replaced while it still runs.
    pub dampers: &'a BTreeMap<GroupId, Damper>,
    /// How much longer than usual a VM may be silent, because this VM is itself scheduled late.
    pub margin: Span,
}

/// Returns what to do now, and when to check again if nothing happens before.
pub fn plan(snapshot: &Snapshot) -> (Vec<Action>, Option<Time>) {
    let planner = Planner::new(snapshot);
    let mut actions = Vec::new();
    let mut suspected = false;
    for (group, (lead, _)) in &snapshot.reading.leads {
        suspected |= planner.check_group(group, lead, &mut actions);
    }
    planner.find_new_groups(&mut actions);
    snapshot.check_members(&mut actions);
    (actions, suspected.then(|| snapshot.now + RECHECK_INTERVAL))
}

/// A snapshot indexed by group and by database.
///
/// It is built once for each heartbeat that reports something new. With hundreds of groups and VMs,
/// a search through all databases and VMs for each group would keep a steward with an eighth of a
/// core from answering heartbeats.
struct Planner<'a> {
    snapshot: &'a Snapshot<'a>,
    groups: BTreeMap<&'a GroupId, Vec<&'a Database>>,
    observations: BTreeMap<&'a DatabaseId, Vec<Observation>>,
}

impl<'a> Planner<'a> {
    fn new(snapshot: &'a Snapshot<'a>) -> Self {
        let mut groups = BTreeMap::<_, Vec<_>>::new();
        for database in snapshot.databases.values() {
            groups.entry(&database.group).or_default().push(database);
        }
        let mut observations = BTreeMap::<_, Vec<_>>::new();
        for status in snapshot.statuses.values() {
            // A VM that never tried to reach a database has no vote on it.
            for (database, report) in status.reports {
                let observation = Observation {
                    received: status.at,
                    report: *report,
                };
                observations.entry(database).or_default().push(observation);
            }
        }
        Self {
            snapshot,
            groups,
            observations,
        }
    }

    fn members(&self, group: &GroupId) -> impl Iterator<Item = &'a Database> {
        let members = self.groups.get(group);
        members.into_iter().flatten().copied()
    }

    fn votes(&self, database: &DatabaseId) -> Votes {
        let observations = self.observations.get(database);
        count(
            observations.into_iter().flatten().copied(),
            self.snapshot.now,
        )
    }

    /// Adds what has to be done for a group; returns whether its primary is suspected.
    fn check_group(&self, group: &GroupId, lead: &Lead, actions: &mut Vec<Action>) -> bool {
        if lead.changing {
            actions.push(Action::Change(group.clone(), Cause::Unfinished));
            return false;
        }
        self.find_old_primaries(group, lead, actions);
        let Some(primary) = self.snapshot.databases.get(&lead.primary) else {
            // A VM that knew the entry keeps it until the entry counts as gone, so only a new VM
            // lacks it.
            let settled = self
                .snapshot
                .register_since
                .is_some_and(|at| at + REGISTER_DELAY <= self.snapshot.now);
            if settled && self.groups.contains_key(group) {
                actions.push(Action::Change(group.clone(), Cause::Gone));
            }
            return !settled;
        };
        if primary.born != lead.born {
            actions.push(Action::Change(group.clone(), Cause::Reborn));
            return false;
        }
        let votes = self.votes(&primary.id);
        let tried = self.snapshot.tried.get(&primary.id).copied();
        let verdict = judge(&votes, tried, self.snapshot.now);
        let cause = match verdict {
            Verdict::Lost => Some(Cause::Lost),
            Verdict::Split if self.may_split(group, primary) => Some(Cause::Split),
            _ if primary.leaving && self.has_successor(primary) => Some(Cause::Leaving),
            _ if self.is_unled(group, primary) => Some(Cause::Unled),
            _ => None,
        };
        if let Some(cause) = cause {
            actions.push(Action::Change(group.clone(), cause));
            return false;
        }
        let suspected = verdict != Verdict::Fine;
        let may_try = tried.is_none_or(|tried| {
            let answered = tried.attempt == Attempt::Answered;
            let interval = if answered {
                TRY_INTERVAL_ANSWERED
            } else {
                TRY_INTERVAL
            };
            tried.ended + interval <= self.snapshot.now
        });
        if suspected && may_try {
            actions.push(Action::Try(primary.id.clone()));
        }
        suspected
    }

    /// A primary that some VMs reach is replaced only if a larger share of VMs reaches another
    /// database, and at most once per damping interval.
    fn may_split(&self, group: &GroupId, primary: &Database) -> bool {
        let damper = self.snapshot.dampers.get(group);
        if damper.is_some_and(|damper| self.snapshot.now < damper.allows_at()) {
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
        let settled = |at: Time| at + UNLED_DELAY <= self.snapshot.now;
        let epoch = self
            .snapshot
            .reading
            .leads
            .get(group)
            .map(|(lead, _)| lead.epoch);
        let known = self.snapshot.epochs.get(group);
        let known = known.is_some_and(|(known, at)| Some(*known) == epoch && settled(*at));
        !primary.primary
            && known
            && settled(self.snapshot.steward_since)
            && self.snapshot.store_up_since.is_some_and(settled)
    }

    /// Finds databases that still report that they are primary although another one leads: they
    /// were unreachable, or did not learn of the promotion.
    fn find_old_primaries(&self, group: &GroupId, lead: &Lead, actions: &mut Vec<Action>) {
        for old in self
            .members(group)
            .filter(|d| d.primary && d.id != lead.primary)
        {
            actions.push(Action::StepDown(group.clone(), old.id.clone()));
        }
    }

    fn find_new_groups(&self, actions: &mut Vec<Action>) {
        let snapshot = self.snapshot;
        let named = |group| {
            snapshot
                .config
                .is_some_and(|config| config.groups.contains_key(group))
        };
        for (group, members) in &self.groups {
            if !named(*group) || snapshot.reading.leads.contains_key(*group) {
                continue;
            }
            // A group that never had a leader gets any of its databases, which is then replaced as
            // unled. If it had one in an earlier era of the store, that one is used.
            let was_led = snapshot.reading.former.leads.contains_key(*group);
            let may_assign = was_led || snapshot.steward_since + NO_PRIMARY_DELAY <= snapshot.now;
            let any = members.first().filter(|_| may_assign);
            let primary = members.iter().find(|d| d.primary).or(any);
            if let Some(primary) = primary {
                actions.push(Action::Create((*group).clone(), primary.id.clone()));
            }
        }
    }
}

impl Snapshot<'_> {
    fn check_members(&self, actions: &mut Vec<Action>) {
        for (id, (member, version)) in &self.reading.members {
            if id == self.own {
                continue;
            }
            if member.evicted {
                let seen = self.evicted.get(id).filter(|(known, _)| known == version);
                if seen.is_some_and(|(_, seen)| lapsed_at(*seen) <= self.now) {
                    actions.push(Action::Remove(id.clone(), *version));
                }
                continue;
            }
            let status = self
                .statuses
                .get(id)
                .filter(|status| status.life == member.life);
            let heard = status.map_or(self.steward_since, |status| status.at);
            let again = self.evictions.get(id).is_some_and(|(life, at)| {
                *life == member.life && self.now < *at + EVICTION_INTERVAL
            });
            if !again && heard + MEMBER_TIMEOUT + self.margin <= self.now {
                actions.push(Action::Ping(id.clone()));
            }
        }
    }
}
