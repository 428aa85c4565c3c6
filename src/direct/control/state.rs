//! What one VM's control path knows, beside what it shares with the sessions.

use crate::clock::Time;
use crate::direct::control::enroll::Waiting;
use crate::direct::control::evidence::Tried;
use crate::direct::control::nudge::Nudge;
use crate::direct::control::register::Register;
use crate::direct::control::rows::{MemberId, Reading};
use crate::direct::control::takeover::{Hearing, Watch};
use crate::direct::history::History;
use crate::direct::lead::{self, Lead};
use crate::direct::parts::{Changes, Gathering};
use crate::direct::table::{RowId, Version};
use crate::direct::tenure::HEARTBEAT_AGE;
use crate::direct::view::Report;
use crate::types::{DatabaseId, GroupId, Life, Version as ConfigVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// What the control path knows.
#[derive(Debug, Default)]
pub(super) struct State {
    /// The newest reading of the rows.
    pub reading: Option<Reading>,
    /// Who leads by that reading, as it is told to other VMs.
    pub leads: Shown,
    /// Whether there were more rows than a VM that starts reads.
    pub many_rows: bool,
    /// Whether another VM has a register that this one was not told.
    pub lacks_register: bool,
    /// When a register that was told to differ was last read here.
    pub register_read: Option<Time>,
    /// How many entries of what is long were told, since when.
    pub told_long: (Time, usize),
    /// What changed of the configuration of late.
    pub config_changes: Changes,
    /// What has come of a newer configuration.
    pub gathering: Gathering,
    /// VMs whose rows are to be written together.
    pub waiting: Vec<Waiting>,
    /// When this VM's row was last written, by whomever: readings from before say nothing of it.
    pub enrolled: Option<Time>,
    /// When the steward, or a VM that reads for others, last told this one who leads.
    pub told: Option<Time>,
    /// The newest configuration that another VM said there is, and where that VM listens.
    pub newest: ConfigVersion,
    pub newest_at: Option<SocketAddr>,
    /// When the rows were last read here for want of a steward's word.
    pub looked: Option<Time>,
    /// When they were last read here although others read for this VM.
    pub read_at: Option<Time>,
    /// The databases.
    pub register: Register,
    /// Entries of the register that are not understood, and why.
    pub unread: BTreeMap<RowId, Box<str>>,
    /// Since when the duty's row is what it is.
    pub watch: Watch,
    /// The steward that is followed.
    pub post: Option<Post>,
    /// The duty, while it is held here.
    pub held: Option<Held>,
    /// When all VMs were asked to beat.
    pub nudge: Nudge,
    /// Whether most of the VMs were heard, as counted last.
    pub hears_most: (Time, bool),
    /// What VMs told the steward.
    pub heard: BTreeMap<MemberId, Beaten>,
    /// VMs that a reading showed as evicted: the row's version, and when that was seen first.
    pub evicted: BTreeMap<MemberId, (Version, Time)>,
    /// The steward's last attempts to reach databases.
    pub tried: BTreeMap<DatabaseId, Tried>,
    /// Since when a group's row has had its epoch, as far as this VM saw.
    pub epochs: BTreeMap<GroupId, (u64, Time)>,
    /// What the steward's tasks are about.
    pub busy: BTreeSet<Topic>,
    /// Whether the control path has ended.
    pub stopped: bool,
}

/// Who leads by the newest reading: what stands for it, and what changed of late.
#[derive(Debug, Default)]
pub(super) struct Shown {
    /// What stands for it.
    pub digest: u64,
    /// Its last changes.
    pub history: History<GroupId>,
}

impl Shown {
    /// The reading has changed, as far as who leads goes, in these groups.
    fn change(&mut self, reading: &Reading, changed: Vec<GroupId>) {
        let leads = reading.leads.iter();
        let digest = lead::digest(leads.map(|(group, (lead, _))| (group, lead)));
        if digest != self.digest {
            self.history.note(self.digest, changed);
            self.digest = digest;
        }
    }
}

/// A steward that is followed.
#[derive(Debug, Clone)]
pub(super) struct Post {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its fencing token.
    pub token: u64,
    /// How it is heard.
    pub hearing: Hearing,
}

/// The duty, held here.
#[derive(Debug, Clone)]
pub(super) struct Held {
    /// The fencing token.
    pub token: u64,
    /// The row's version.
    pub version: Version,
    /// The renewal's number.
    pub number: u64,
    /// Since when it is held.
    pub since: Time,
    /// Whether it is being handed over: nothing is ordered.
    pub handing: bool,
    /// Orders that are under way.
    pub ordering: u32,
    /// Only renewals asked from here on allow an order: a VM that was offered the duty may have
    /// taken it, and its answer was late.
    pub valid: Time,
}

/// What a VM told the steward.
#[derive(Debug, Clone)]
pub(super) struct Beaten {
    /// Its life.
    pub life: Life,
    /// When.
    pub at: Time,
    /// How databases answered it.
    pub reports: BTreeMap<DatabaseId, Report>,
}

/// What one of the steward's tasks is about; each has one task at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// A group's lead row.
    Group(GroupId),
    /// An attempt to reach a database.
    Database(DatabaseId),
    /// An order to step down.
    StepDown(DatabaseId),
    /// A VM that is silent.
    Member(MemberId),
}

impl State {
    /// Takes over a reading: never an older version of a row.
    pub fn merge(&mut self, mut reading: Reading) {
        if let Some(known) = &self.reading {
            for (group, (lead, version)) in &known.leads {
                let read = reading.leads.get(group).map(|(_, version)| *version);
                if read.is_some_and(|read| read < *version) {
                    reading
                        .leads
                        .insert(group.clone(), (lead.clone(), *version));
                }
            }
        }
        let version = reading
            .duty
            .as_ref()
            .map_or(Version::NONE, |(_, version)| *version);
        self.watch.note(version, reading.answered);
        self.note_evicted(&reading);
        self.note_epochs(&reading);
        if self
            .reading
            .as_ref()
            .is_none_or(|known| known.asked <= reading.asked)
        {
            self.show(&reading);
            self.reading = Some(reading);
        }
    }

    /// Notes what a reading that takes the place of the one before changes of who leads.
    fn show(&mut self, reading: &Reading) {
        let none = BTreeMap::new();
        let before = self.reading.as_ref().map_or(&none, |known| &known.leads);
        let lead = |leads: &BTreeMap<GroupId, (Lead, Version)>, group| {
            leads.get(group).map(|(lead, _)| lead.clone())
        };
        let groups = before.keys().chain(reading.leads.keys());
        let changed = groups.filter(|group| lead(before, group) != lead(&reading.leads, group));
        let changed: BTreeSet<GroupId> = changed.cloned().collect();
        if !changed.is_empty() {
            self.leads.change(reading, changed.into_iter().collect());
        }
    }

    /// Whether this VM and those that have sent it a heartbeat within [`HEARTBEAT_AGE`] of `until` are more than half of
    /// those that are registered.
    pub fn count_heard(&self, own: &MemberId, until: Time) -> bool {
        let Some(reading) = &self.reading else {
            return false;
        };
        let beaten = |id: &MemberId| {
            let beaten = self.heard.get(id);
            beaten.is_some_and(|beaten| until < beaten.at + HEARTBEAT_AGE)
        };
        let members = reading.members.keys();
        let heard = members.filter(|id| *id == own || beaten(id)).count();
        heard * 2 > reading.members.len()
    }

    /// A row of a group that was written here.
    pub fn note_written(&mut self, group: &GroupId, lead: Lead, version: Version) {
        if let Some(reading) = &mut self.reading {
            reading.leads.insert(group.clone(), (lead, version));
            self.leads.change(reading, vec![group.clone()]);
        }
    }

    fn note_evicted(&mut self, reading: &Reading) {
        let marked = |id: &MemberId, version: Version| {
            let member = reading.members.get(id);
            member.is_some_and(|(member, known)| member.evicted && *known == version)
        };
        self.evicted.retain(|id, (version, _)| marked(id, *version));
        for (id, (member, version)) in &reading.members {
            if member.evicted {
                let first = (*version, reading.answered);
                self.evicted.entry(id.clone()).or_insert(first);
            }
        }
    }

    fn note_epochs(&mut self, reading: &Reading) {
        for (group, (lead, _)) in &reading.leads {
            let known = self.epochs.get(group).map(|(epoch, _)| *epoch);
            if known.is_none_or(|known| known < lead.epoch) {
                let first = (lead.epoch, reading.answered);
                self.epochs.insert(group.clone(), first);
            }
        }
    }

    /// Follows a steward, unless a newer one is followed already.
    pub fn follow(&mut self, address: SocketAddr, token: u64, now: Time) -> bool {
        if self.post.as_ref().is_some_and(|post| post.token >= token) {
            return false;
        }
        self.post = Some(Post {
            address,
            token,
            hearing: Hearing::new(now),
        });
        true
    }

    /// The duty with this token, if it is still held here.
    pub fn held(&mut self, token: u64) -> Option<&mut Held> {
        self.held.as_mut().filter(|held| held.token == token)
    }
}
