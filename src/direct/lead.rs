//! Which database leads each group, and this VM's leases on the primaries.
//!
//! A primary can be replaced while this VM is cut off, frozen or slow and still uses the old one. A
//! write acknowledged by the old primary would be lost, and a read from it would miss newer commits.
//!
//! The group's row in the store names its primary. A read of that row *requested* at t gives a lease
//! until t + [`TERM`]. A quorum of other VMs that have not released the epoch extends it to [`TERM`]
//! after they were asked, but never beyond t + [`LEASE`].
//!
//! To replace a primary, the steward first records that it is changing and then waits until every VM
//! that may hold a lease has released it. If more than [`MAX_SILENT`] VMs don't confirm that, it waits
//! for [`LEASE`] from their last possible request; otherwise for [`TERM`] from the last confirmation
//! of the others. The shorter wait is safe because an extension needs more VMs than are unconfirmed,
//! so at least one of them was asked before it released the epoch. The lease is checked again after
//! the database's answer was read, on a clock that includes pauses of the process.

use crate::clock::{Span, Time};
use crate::types::{Birth, DatabaseId, GroupId};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The longest time that one read of the lead rows is valid. It exceeds a usual outage of the store
/// (4 to 6 s), so that such an outage stops no writes.
pub const LEASE: Span = Span::from_secs(8);

/// How long a read is valid without confirmation by other VMs, and how long a confirmation is valid
/// from when it was requested. A replacement waits this long for a VM that stopped responding just
/// before the primary was lost. The steward reads every second and is polled every half second, so
/// reads are at most 1.6 s old.
pub const TERM: Span = Span::from_millis(2_500);

/// The most VMs that may fail to confirm a release for a replacement to wait for [`TERM`] only.
pub const MAX_SILENT: usize = 2;

/// How many VMs, including the lease's holder, must confirm an epoch to extend a lease beyond
/// [`TERM`]. It is one more than [`MAX_SILENT`], so that at least one of them also confirmed its release
/// to the steward. Requiring a majority would stop all writes on the smaller side of a partition.
pub const QUORUM: usize = MAX_SILENT + 1;

/// The number of a group's current primary: rises with each change of primary.
pub type Epoch = u64;

/// The record in the store of which database leads a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lead {
    /// Rises with each change of primary.
    pub epoch: Epoch,
    /// The primary; while `changing`, the one being replaced.
    pub primary: DatabaseId,
    /// When the primary's process started. One that restarted under the same id has lost its log
    /// and does not lead.
    pub born: Option<Birth>,
    /// Whether a replacement is in progress, during which no new work may start on the primary.
    pub changing: bool,
    /// The previous epoch, if only the store's era changed: work started in it may continue.
    #[serde(default)]
    pub continues: Option<Epoch>,
}

/// Digest of a set of leads, to compare the leads of two VMs. Epochs only rise, so two equal digests
/// at different times mean that nothing changed in between.
pub fn digest<'a>(leads: impl IntoIterator<Item = (&'a GroupId, &'a Lead)>) -> u64 {
    let leads: Vec<_> = leads.into_iter().collect();
    // Serialising plain structs of names and numbers can't fail.
    xxh3_64(&postcard::to_stdvec(&leads).unwrap_or_default())
}

/// A lease on a group's primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The epoch that it is valid for.
    pub epoch: Epoch,
    /// The primary.
    pub primary: DatabaseId,
    /// When the primary's process started.
    pub born: Option<Birth>,
    /// When the lease expires.
    pub until: Time,
}

#[derive(Debug, Clone)]
struct Record {
    lead: Lead,
    asked: Time,
    /// When the quorum that last confirmed this epoch was asked.
    confirmed: Option<Time>,
}

/// This VM's leads and leases, by group.
#[derive(Debug, Clone, Default)]
pub struct Leases {
    groups: BTreeMap<GroupId, Record>,
    /// Epochs up to this one were released. Also kept for groups that no read has returned yet: a
    /// read in flight may still return the released epoch.
    dropped: BTreeMap<GroupId, Epoch>,
    /// Up to this epoch no new work may start; work in progress may still finish.
    closed: BTreeMap<GroupId, Epoch>,
    /// The cached digest of all leads; none after a lead has changed.
    digest: Cell<Option<u64>>,
}

impl Leases {
    /// Records the lead returned by a read requested at `asked`. Older epochs are ignored.
    pub fn learn(&mut self, group: &GroupId, lead: Lead, asked: Time) {
        let record = self.groups.get(group);
        if record.is_none_or(|record| record.lead != lead) {
            self.digest.set(None);
        }
        match self.groups.get_mut(group) {
            None => {
                let record = Record {
                    lead,
                    asked,
                    confirmed: None,
                };
                self.groups.insert(group.clone(), record);
            }
            Some(record) => record.learn(lead, asked),
        }
    }

    /// Releases `epoch` of a group and all before it: nothing more is acknowledged in them.
    pub fn drop_epoch(&mut self, group: &GroupId, epoch: Epoch) {
        let dropped = self.dropped.entry(group.clone()).or_default();
        *dropped = epoch.max(*dropped);
    }

    /// Starts no new work in `epoch` of a group and all before it. Work in progress keeps its lease
    /// until the epoch is released.
    pub fn close_epoch(&mut self, group: &GroupId, epoch: Epoch) {
        let closed = self.closed.entry(group.clone()).or_default();
        *closed = epoch.max(*closed);
    }

    /// Releases all epochs.
    pub fn drop_all(&mut self) {
        let record = self.groups.iter();
        let epochs: Vec<_> = record.map(|(g, k)| (g.clone(), k.lead.epoch)).collect();
        for (group, epoch) in epochs {
            self.drop_epoch(&group, epoch);
        }
    }

    /// The lease on a group's primary under which new work may start at `now`.
    pub fn lease(&self, group: &GroupId, now: Time) -> Option<Lease> {
        let record = self.groups.get(group)?;
        let closed = self.closed.get(group).copied().unwrap_or_default();
        let open = !record.lead.changing && record.lead.epoch > closed;
        let usable = open && self.holds(group, record.lead.epoch, now);
        usable.then(|| Lease {
            epoch: record.lead.epoch,
            primary: record.lead.primary.clone(),
            born: record.lead.born,
            until: record.until(),
        })
    }

    /// Whether work that started in `epoch` of a group may still continue at `now`.
    ///
    /// The start of a replacement does not end the lease: the steward waits until this VM has
    /// released the epoch, or until the lease from its last read before that has expired.
    pub fn holds(&self, group: &GroupId, epoch: Epoch, now: Time) -> bool {
        let dropped = self.dropped.get(group).copied().unwrap_or_default();
        self.groups.get(group).is_some_and(|record| {
            let leads = record.lead.epoch == epoch || record.lead.continues == Some(epoch);
            leads && record.lead.epoch > dropped && now < record.until()
        })
    }

    /// Whether a replacement of the primary is known to have begun.
    pub fn is_changing(&self, group: &GroupId) -> bool {
        let ended = |of: &BTreeMap<GroupId, Epoch>| of.get(group).copied().unwrap_or_default();
        let released = ended(&self.dropped).max(ended(&self.closed));
        self.groups
            .get(group)
            .is_some_and(|record| record.lead.changing || record.lead.epoch <= released)
    }

    /// The epochs that this VM confirms to others: neither released, nor closed, nor being replaced
    /// in its own latest read, which must be younger than [`LEASE`]. A VM whose row was removed has no
    /// such read, so a replacement need not wait for it.
    pub fn extendable(&self, now: Time) -> Vec<(GroupId, Epoch)> {
        let open = |(group, record): &(&GroupId, &Record)| {
            let ended = |of: &BTreeMap<GroupId, Epoch>| {
                let epoch = of.get(*group).copied().unwrap_or_default();
                record.lead.epoch <= epoch
            };
            let released = ended(&self.dropped) || ended(&self.closed);
            !released && !record.lead.changing && now < record.asked + LEASE
        };
        let open = self.groups.iter().filter(open);
        open.map(|(group, record)| (group.clone(), record.lead.epoch))
            .collect()
    }

    /// Extends the lease on a group's epoch that a quorum, asked at `asked`, has confirmed. Returns
    /// whether the lease became longer.
    pub fn extend(&mut self, group: &GroupId, epoch: Epoch, asked: Time) -> bool {
        let Some(record) = self.groups.get_mut(group) else {
            return false;
        };
        if record.lead.epoch != epoch || record.lead.changing {
            return false;
        }
        let until = record.until();
        record.confirmed = record.confirmed.max(Some(asked));
        record.until() > until
    }

    /// When the lease on a group's epoch expires, unless it is released before.
    pub fn until(&self, group: &GroupId) -> Option<Time> {
        Some(self.groups.get(group)?.until())
    }

    /// The latest known lead of a group, and when its read was requested.
    pub fn known(&self, group: &GroupId) -> Option<(&Lead, Time)> {
        let record = self.groups.get(group)?;
        Some((&record.lead, record.asked))
    }

    /// Digest of all known leads.
    pub fn digest(&self) -> u64 {
        if let Some(digest) = self.digest.get() {
            return digest;
        }
        let leads = self.groups.iter();
        let digest = digest(leads.map(|(group, record)| (group, &record.lead)));
        self.digest.set(Some(digest));
        digest
    }

    /// All known leads, if their digest is `by`.
    pub fn shown(&self, by: u64) -> Option<Vec<(GroupId, Lead)>> {
        let leads = self.groups.iter();
        let leads = || leads.map(|(group, record)| (group.clone(), record.lead.clone()));
        (self.digest() == by).then(|| leads().collect())
    }

    /// All known groups.
    pub fn groups(&self) -> impl Iterator<Item = &GroupId> {
        self.groups.keys()
    }
}

impl Record {
    fn until(&self) -> Time {
        let extended = self.confirmed.unwrap_or_default() + TERM;
        (self.asked + TERM).max(extended.min(self.asked + LEASE))
    }

    fn learn(&mut self, lead: Lead, asked: Time) {
        if (lead.epoch, lead.changing) < (self.lead.epoch, self.lead.changing) {
            return;
        }
        if lead.epoch > self.lead.epoch {
            self.confirmed = None;
        }
        // A read that shows a change in progress gives no lease: it must not extend the lease from
        // a read before the change.
        if !lead.changing || lead.epoch > self.lead.epoch {
            self.asked = self.asked.max(asked);
        }
        self.lead = lead;
    }
}
