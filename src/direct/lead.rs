//! Who leads a group, and until when this VM may act on it.
//!
//! **Failure answered.** A primary is replaced while this VM is cut off, frozen or slow and still
//! talks to the old one, which goes on answering.
//! **Symptom without it.** A write that the old primary took is acknowledged and vanishes; a read
//! of it misses what the new one acknowledged.
//! **Why it suffices.** The group's row in the store says who leads. A reading of it that was
//! *asked* at t is believed until t + [`LEASE`]. Who replaces a primary first writes that it will,
//! and then waits until every VM that may hold a lease has said that it dropped it, or for longer
//! than [`LEASE`] since that VM could last have asked. The lease is looked at again after the
//! database's answer was read, on a clock that counts pauses.

use crate::clock::{Span, Time};
use crate::types::{DatabaseId, GroupId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How long a reading of the lead rows is believed: longer than an outage of the store usually
/// lasts (4 to 6 s), so that one stops no writes. It is waited out only for a VM that fell silent
/// in the last so many seconds before a primary was lost.
pub const LEASE: Span = Span::from_secs(8);

/// Which change of primary a group has come to.
pub type Epoch = u64;

/// Who leads one group, as the store has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lead {
    /// Rises with each change.
    pub epoch: Epoch,
    /// The primary; while `changing`, the one that is being replaced.
    pub primary: DatabaseId,
    /// Whether a replacement is under way: nobody may act on the primary.
    pub changing: bool,
}

/// A lease on a group's primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// Of which epoch.
    pub epoch: Epoch,
    /// The primary.
    pub primary: DatabaseId,
    /// Until when it may be acted on.
    pub until: Time,
}

#[derive(Debug, Clone)]
struct Known {
    lead: Lead,
    asked: Time,
}

/// What this VM knows of who leads.
#[derive(Debug, Clone, Default)]
pub struct Book {
    groups: BTreeMap<GroupId, Known>,
    /// Epochs up to this one were given up on somebody's word. Kept also for groups that no
    /// reading has shown yet: one that is on its way may still show the epoch that was given up.
    dropped: BTreeMap<GroupId, Epoch>,
    /// Up to this epoch nothing new may start; what is under way may still end.
    closed: BTreeMap<GroupId, Epoch>,
}

impl Book {
    /// Learns what a reading asked at `asked` showed. An older epoch is never gone back to.
    pub fn learn(&mut self, group: &GroupId, lead: Lead, asked: Time) {
        match self.groups.get_mut(group) {
            None => {
                self.groups.insert(group.clone(), Known { lead, asked });
            }
            Some(known) => known.learn(lead, asked),
        }
    }

    /// Gives up `epoch` of a group and all before it: from now on nothing is acknowledged on it.
    pub fn drop_epoch(&mut self, group: &GroupId, epoch: Epoch) {
        let dropped = self.dropped.entry(group.clone()).or_default();
        *dropped = epoch.max(*dropped);
    }

    /// Lets nothing new start on `epoch` of a group and all before it. What is under way still
    /// holds its lease, until the epoch is given up.
    pub fn close_epoch(&mut self, group: &GroupId, epoch: Epoch) {
        let closed = self.closed.entry(group.clone()).or_default();
        *closed = epoch.max(*closed);
    }

    /// Gives up every epoch that is known.
    pub fn drop_all(&mut self) {
        let known = self.groups.iter();
        let epochs: Vec<_> = known.map(|(g, k)| (g.clone(), k.lead.epoch)).collect();
        for (group, epoch) in epochs {
            self.drop_epoch(&group, epoch);
        }
    }

    /// The lease on a group's primary on which something may start at `now`.
    pub fn lease(&self, group: &GroupId, now: Time) -> Option<Lease> {
        let known = self.groups.get(group)?;
        let closed = self.closed.get(group).copied().unwrap_or_default();
        let open = !known.lead.changing && known.lead.epoch > closed;
        let usable = open && self.holds(group, known.lead.epoch, now);
        usable.then(|| Lease {
            epoch: known.lead.epoch,
            primary: known.lead.primary.clone(),
            until: known.asked + LEASE,
        })
    }

    /// Whether what started on `epoch` of a group may still be acted on at `now`.
    ///
    /// That a replacement has begun does not end it: who replaces waits for this VM until it has
    /// given the epoch up, or its last reading from before has lapsed.
    pub fn holds(&self, group: &GroupId, epoch: Epoch, now: Time) -> bool {
        let dropped = self.dropped.get(group).copied().unwrap_or_default();
        self.groups.get(group).is_some_and(|known| {
            known.lead.epoch == epoch && epoch > dropped && now < known.asked + LEASE
        })
    }

    /// What the newest reading of a group showed, and when it was asked.
    pub fn known(&self, group: &GroupId) -> Option<(&Lead, Time)> {
        let known = self.groups.get(group)?;
        Some((&known.lead, known.asked))
    }

    /// All groups that are known.
    pub fn groups(&self) -> impl Iterator<Item = &GroupId> {
        self.groups.keys()
    }
}

impl Known {
    fn learn(&mut self, lead: Lead, asked: Time) {
        if (lead.epoch, lead.changing) < (self.lead.epoch, self.lead.changing) {
            return;
        }
        // A reading that shows a change under way is no lease: it must not lengthen the one that
        // stems from a reading before the change.
        if !lead.changing || lead.epoch > self.lead.epoch {
            self.asked = self.asked.max(asked);
        }
        self.lead = lead;
    }
}
