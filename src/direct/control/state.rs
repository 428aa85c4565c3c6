//! The state of one VM's control path, other than what it shares with the sessions.

use crate::clock::Time;
use crate::direct::control::enroll::Waiting;
use crate::direct::control::evidence::Probe;
use crate::direct::control::ping::Throttle;
use crate::direct::control::register::Register;
use crate::direct::control::rows::{MemberId, Reading};
use crate::direct::control::takeover::{Contact, Watch};
use crate::direct::history::History;
use crate::direct::lead::{self, Epoch, Lead};
use crate::direct::parts::{Changes, Gathering};
use crate::direct::table::{RowId, Version};
use crate::direct::tenure::HEARTBEAT_AGE;
use crate::direct::view::Report;
use crate::types::{DatabaseId, GroupId, Life, Position, Version as ConfigVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The state of the control path.
#[derive(Debug, Default)]
pub(super) struct State {
    /// The newest reading of the control rows.
    pub reading: Option<Reading>,
    /// The digest and last changes of the leads in that reading, for updates to other VMs.
    pub leads: LeadHistory,
    /// Whether the table had more rows than a starting VM reads.
    pub many_rows: bool,
    /// Whether another VM has a different register whose content this VM has not received.
    pub lacks_register: bool,
    /// When the newest register was read from the store that another VM has told of, whether this VM
    /// has received its content or not.
    pub register_told: Option<Time>,
    /// Whether the steward's last reading of the register came by way of another VM.
    pub register_relayed: bool,
    /// When the register was last fetched because another VM's differed.
    pub register_read: Option<Time>,
    /// The start of the current interval for long lists, and how many of their entries were sent in
    /// it.
    pub long_sent: (Time, usize),
    /// Recent changes of the configuration.
    pub config_changes: Changes,
    /// The parts received of a newer configuration.
    pub gathering: Gathering,
    /// VMs whose rows are queued to be written together.
    pub waiting: Vec<Waiting>,
    /// When this VM's row was last written, by itself or another VM. Earlier readings do not show
    /// it.
    pub enrolled: Option<Time>,
    /// When the steward, or a VM that reads for others, last sent this VM the leads.
    pub updated: Option<Time>,
    /// The newest configuration version that another VM reported, and that VM's address.
    pub newest: ConfigVersion,
    pub newest_at: Option<SocketAddr>,
    /// When this VM last refreshed the rows because it had no update from a steward.
    pub refreshed: Option<Time>,
    /// When this VM last read the rows although others read for it.
    pub read_at: Option<Time>,
    /// The registered databases.
    pub register: Register,
    /// For databases that started again without their data: when the register first showed it, and
    /// a position that their group's primary had after that. What a former life had received is
    /// in each log that reaches this position.
    pub reborn: BTreeMap<DatabaseId, (Time, Position)>,
    /// Entries of the register that failed to parse, and why.
    pub unparsed: BTreeMap<RowId, Box<str>>,
    /// Since when the duty's row has had its version.
    pub watch: Watch,
    /// The steward that this VM follows.
    pub followed: Option<FollowedSteward>,
    /// The duty, while this VM holds it.
    pub held: Option<Held>,
    /// Limits how often all VMs are asked for a heartbeat.
    pub pings: Throttle,
    /// When the VMs with a recent heartbeat were last counted, and whether they were more than
    /// half.
    pub majority: (Time, bool),
    /// The last heartbeat of each VM, kept by the steward.
    pub heartbeats: BTreeMap<MemberId, LastHeartbeat>,
    /// VMs that a reading showed as evicted: the row's version, and when it was first seen.
    pub evicted: BTreeMap<MemberId, (Version, Time)>,
    /// The lives that this VM evicted as the steward, and when it last did.
    pub evictions: BTreeMap<MemberId, (Life, Time)>,
    /// The steward's last attempts to connect to databases.
    pub tried: BTreeMap<DatabaseId, Probe>,
    /// The newest epoch seen of each group, and when this VM first saw it.
    pub epochs: BTreeMap<GroupId, (u64, Time)>,
    /// The epochs of groups whose planned replacement was put off.
    pub deferred: BTreeMap<GroupId, Epoch>,
    /// The subjects of the steward's running tasks.
    pub running: BTreeSet<Topic>,
    /// Whether the control path has stopped.
    pub stopped: bool,
}

/// The digest of the leads in the newest reading, and how they last changed.
#[derive(Debug, Default)]
pub(super) struct LeadHistory {
    /// The digest of all leads.
    pub digest: u64,
    /// The last changes, by group.
    pub history: History<GroupId>,
}

impl LeadHistory {
    /// Records that the leads of these groups have changed.
    fn record(&mut self, reading: &Reading, changed: Vec<GroupId>) {
        let leads = reading.leads.iter();
        let digest = lead::digest(leads.map(|(group, (lead, _))| (group, lead)));
        if digest != self.digest {
            self.history.note(self.digest, changed);
            self.digest = digest;
        }
    }
}

/// The steward that this VM follows.
#[derive(Debug, Clone)]
pub(super) struct FollowedSteward {
    /// The address on which it listens for other VMs.
    pub address: SocketAddr,
    /// Its fencing token.
    pub token: u64,
    /// The life of its process, once it has answered.
    pub life: Option<Life>,
    /// When it last answered, and how many calls it has missed.
    pub contact: Contact,
}

/// The duty as held by this VM.
#[derive(Debug, Clone)]
pub(super) struct Held {
    /// The fencing token.
    pub token: u64,
    /// The row's version.
    pub version: Version,
    /// The number of the last renewal.
    pub number: u64,
    /// Since when it is held.
    pub since: Time,
    /// Whether it is being handed over: no order is sent then.
    pub handing_over: bool,
    /// The number of orders in progress.
    pub running_orders: u32,
    /// Only a renewal requested at or after this time allows an order: a VM that was offered the
    /// duty may have taken it although its answer was late.
    pub orders_from: Time,
}

/// The last heartbeat that the steward received from a VM.
#[derive(Debug, Clone)]
pub(super) struct LastHeartbeat {
    /// The life of the VM.
    pub life: Life,
    /// When it was received.
    pub at: Time,
    /// When the VM last read the store's rows itself, if that was recent.
    pub read: Option<Time>,
    /// The VM's reports on databases.
    pub reports: BTreeMap<DatabaseId, Report>,
}

/// The subject of one of the steward's tasks. Each subject has at most one task at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// A group's lead row.
    Group(GroupId),
    /// An attempt to connect to a database.
    Database(DatabaseId),
    /// An order to step down.
    StepDown(DatabaseId),
    /// A VM that is silent.
    Member(MemberId),
}

impl State {
    /// Merges a reading; a lead's row is never replaced by an older version.
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
        self.record_evicted(&reading);
        self.record_epochs(&reading);
        if self
            .reading
            .as_ref()
            .is_none_or(|known| known.asked <= reading.asked)
        {
            self.record_leads(&reading);
            self.reading = Some(reading);
        }
    }

    /// Records how the leads change when a reading replaces the one before.
    fn record_leads(&mut self, reading: &Reading) {
        let none = BTreeMap::new();
        let before = self.reading.as_ref().map_or(&none, |known| &known.leads);
        let lead = |leads: &BTreeMap<GroupId, (Lead, Version)>, group| {
            leads.get(group).map(|(lead, _)| lead.clone())
        };
        let groups = before.keys().chain(reading.leads.keys());
        let changed = groups.filter(|group| lead(before, group) != lead(&reading.leads, group));
        let changed: BTreeSet<GroupId> = changed.cloned().collect();
        if !changed.is_empty() {
            self.leads.record(reading, changed.into_iter().collect());
        }
    }

    /// Returns whether this VM and those whose last heartbeat is less than [`HEARTBEAT_AGE`] before
    /// `until` are more than half of the registered VMs.
    pub fn has_majority(&self, own: &MemberId, until: Time) -> bool {
        let Some(reading) = &self.reading else {
            return false;
        };
        let has_recent = |id: &MemberId| {
            let last = self.heartbeats.get(id);
            last.is_some_and(|last| until < last.at + HEARTBEAT_AGE)
        };
        let members = reading.members.keys();
        let heard = members.filter(|id| *id == own || has_recent(id)).count();
        heard * 2 > reading.members.len()
    }

    /// Records the row of a lead that this VM wrote.
    pub fn record_written(&mut self, group: &GroupId, lead: Lead, version: Version) {
        if let Some(reading) = &mut self.reading {
            reading.leads.insert(group.clone(), (lead, version));
            self.leads.record(reading, vec![group.clone()]);
        }
    }

    fn record_evicted(&mut self, reading: &Reading) {
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

    fn record_epochs(&mut self, reading: &Reading) {
        for (group, (lead, _)) in &reading.leads {
            let known = self.epochs.get(group).map(|(epoch, _)| *epoch);
            if known.is_none_or(|known| known < lead.epoch) {
                let first = (lead.epoch, reading.answered);
                self.epochs.insert(group.clone(), first);
            }
        }
    }

    /// Follows a steward, unless this VM already follows it or a newer one. Returns whether it does
    /// now.
    pub fn follow(&mut self, address: SocketAddr, token: u64, now: Time) -> bool {
        if self
            .followed
            .as_ref()
            .is_some_and(|followed| followed.token >= token)
        {
            return false;
        }
        self.followed = Some(FollowedSteward {
            address,
            token,
            life: None,
            contact: Contact::new(now),
        });
        true
    }

    /// Returns the duty with this token, if this VM still holds it.
    pub fn held(&mut self, token: u64) -> Option<&mut Held> {
        self.held.as_mut().filter(|held| held.token == token)
    }
}
