//! Who leads a group, and until when this VM may act on it.
//!
//! **Failure answered.** A primary is replaced while this VM is cut off, frozen or slow and still
//! talks to the old one, which goes on answering.
//! **Symptom without it.** A write that the old primary took is acknowledged and vanishes; a read
//! of it misses what the new one acknowledged.
//! **Why it suffices.** The group's row in the store says who leads. A reading of it that was
//! *asked* at t is believed until t + [`TERM`], and from there up to t + [`LEASE`] only for
//! [`TERM`] since enough other VMs were asked who vouch that they have not dropped the epoch. Who
//! replaces a primary first writes that it will, and then waits until every VM that may hold a
//! lease has said that it dropped it. With more than [`UNHEARD`] VMs that have not, it waits for
//! [`LEASE`] since they could last have asked; with no more than that, for [`TERM`] since the last
//! of the others said so: an extension needs more VMs than have not been heard, so one of its
//! vouchers was asked before it dropped the epoch. The lease is looked at again after the
//! database's answer was read, on a clock that counts pauses.

use crate::clock::{Span, Time};
use crate::types::{Birth, DatabaseId, GroupId};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// How long a reading of the lead rows is believed at most: longer than an outage of the store
/// usually lasts (4 to 6 s), so that one stops no writes.
pub const LEASE: Span = Span::from_secs(8);

/// How long it is believed without the word of other VMs, and how long their word counts from when
/// they were asked. It is waited out for a VM that fell silent just before a primary was lost. The
/// steward reads each second and is asked each half second, so readings are 1.6 s old at most.
pub const TERM: Span = Span::from_millis(2_500);

/// How many VMs may not have been heard for a replacement to wait for [`TERM`] only.
pub const UNHEARD: usize = 2;

/// How many VMs, the one with the lease among them, have to stand by it beyond [`TERM`]: one more
/// than may be unheard, so that one of them gave its word to whoever replaces the primary. A majority
/// is not needed for that, and would stop the writes of all VMs on the lesser side of a cut.
pub const QUORUM: usize = UNHEARD + 1;

/// Which change of primary a group has come to.
pub type Epoch = u64;

/// Who leads one group, as the store has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lead {
    /// Rises with each change.
    pub epoch: Epoch,
    /// The primary; while `changing`, the one that is being replaced.
    pub primary: DatabaseId,
    /// When the primary had started. One that started again under its id has lost its log, and
    /// leads by no right of its life before.
    pub born: Option<Birth>,
    /// Whether a replacement is under way: nobody may act on the primary.
    pub changing: bool,
    /// The epoch before, if nothing changed but the store's era: what started on it goes on.
    #[serde(default)]
    pub continues: Option<Epoch>,
}

/// Stands for what a reading shows of who leads, to tell whether two VMs have the same. Epochs only
/// rise, so what was the same once and is the same again was the same all the while.
pub fn digest<'a>(leads: impl IntoIterator<Item = (&'a GroupId, &'a Lead)>) -> u64 {
    let leads: Vec<_> = leads.into_iter().collect();
    // Plain structs of names and numbers always have an encoding.
    xxh3_64(&postcard::to_stdvec(&leads).unwrap_or_default())
}

/// A lease on a group's primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// Of which epoch.
    pub epoch: Epoch,
    /// The primary.
    pub primary: DatabaseId,
    /// When that had started.
    pub born: Option<Birth>,
    /// Until when it may be acted on.
    pub until: Time,
}

#[derive(Debug, Clone)]
struct Known {
    lead: Lead,
    asked: Time,
    /// When a quorum was last asked that vouched for this epoch.
    vouched: Option<Time>,
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
    /// What stands for who leads, unless a lead has changed since.
    digest: Cell<Option<u64>>,
}

impl Book {
    /// Learns what a reading asked at `asked` showed. An older epoch is never gone back to.
    pub fn learn(&mut self, group: &GroupId, lead: Lead, asked: Time) {
        let known = self.groups.get(group);
        if known.is_none_or(|known| known.lead != lead) {
            self.digest.set(None);
        }
        match self.groups.get_mut(group) {
            None => {
                let known = Known {
                    lead,
                    asked,
                    vouched: None,
                };
                self.groups.insert(group.clone(), known);
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
            born: known.lead.born,
            until: known.until(),
        })
    }

    /// Whether what started on `epoch` of a group may still be acted on at `now`.
    ///
    /// That a replacement has begun does not end it: who replaces waits for this VM until it has
    /// given the epoch up, or its last reading from before has lapsed.
    pub fn holds(&self, group: &GroupId, epoch: Epoch, now: Time) -> bool {
        let dropped = self.dropped.get(group).copied().unwrap_or_default();
        self.groups.get(group).is_some_and(|known| {
            let leads = known.lead.epoch == epoch || known.lead.continues == Some(epoch);
            leads && known.lead.epoch > dropped && now < known.until()
        })
    }

    /// Whether another primary is on its way, as far as is known: a replacement has begun.
    pub fn is_changing(&self, group: &GroupId) -> bool {
        let ended = |of: &BTreeMap<GroupId, Epoch>| of.get(group).copied().unwrap_or_default();
        let given_up = ended(&self.dropped).max(ended(&self.closed));
        self.groups
            .get(group)
            .is_some_and(|known| known.lead.changing || known.lead.epoch <= given_up)
    }

    /// The epochs that this VM vouches for to others: neither given up, nor closed, nor being
    /// replaced, by a reading of its own that is younger than [`LEASE`]. A VM whose row is gone
    /// has no such reading, so whoever replaces a primary need not know of it.
    pub fn vouches(&self, now: Time) -> Vec<(GroupId, Epoch)> {
        let open = |(group, known): &(&GroupId, &Known)| {
            let ended = |of: &BTreeMap<GroupId, Epoch>| {
                let epoch = of.get(*group).copied().unwrap_or_default();
                known.lead.epoch <= epoch
            };
            let given_up = ended(&self.dropped) || ended(&self.closed);
            !given_up && !known.lead.changing && now < known.asked + LEASE
        };
        let open = self.groups.iter().filter(open);
        open.map(|(group, known)| (group.clone(), known.lead.epoch))
            .collect()
    }

    /// Learns that a quorum, asked at `asked`, vouched for an epoch of a group; returns whether
    /// this makes the lease longer.
    pub fn vouch(&mut self, group: &GroupId, epoch: Epoch, asked: Time) -> bool {
        let Some(known) = self.groups.get_mut(group) else {
            return false;
        };
        if known.lead.epoch != epoch || known.lead.changing {
            return false;
        }
        let until = known.until();
        known.vouched = known.vouched.max(Some(asked));
        known.until() > until
    }

    /// Until when a group's epoch may be held, unless it is given up.
    pub fn until(&self, group: &GroupId) -> Option<Time> {
        Some(self.groups.get(group)?.until())
    }

    /// What the newest reading of a group showed, and when it was asked.
    pub fn known(&self, group: &GroupId) -> Option<(&Lead, Time)> {
        let known = self.groups.get(group)?;
        Some((&known.lead, known.asked))
    }

    /// Stands for who leads, as far as is known.
    pub fn digest(&self) -> u64 {
        if let Some(known) = self.digest.get() {
            return known;
        }
        let leads = self.groups.iter();
        let digest = digest(leads.map(|(group, known)| (group, &known.lead)));
        self.digest.set(Some(digest));
        digest
    }

    /// Who leads, if that is just what a reading of this digest showed.
    pub fn shown(&self, by: u64) -> Option<Vec<(GroupId, Lead)>> {
        let leads = self.groups.iter();
        let leads = || leads.map(|(group, known)| (group.clone(), known.lead.clone()));
        (self.digest() == by).then(|| leads().collect())
    }

    /// All groups that are known.
    pub fn groups(&self) -> impl Iterator<Item = &GroupId> {
        self.groups.keys()
    }
}

impl Known {
    fn until(&self) -> Time {
        let extended = self.vouched.unwrap_or_default() + TERM;
        (self.asked + TERM).max(extended.min(self.asked + LEASE))
    }

    fn learn(&mut self, lead: Lead, asked: Time) {
        if (lead.epoch, lead.changing) < (self.lead.epoch, self.lead.changing) {
            return;
        }
        if lead.epoch > self.lead.epoch {
            self.vouched = None;
        }
        // A reading that shows a change under way is no lease: it must not lengthen the one that
        // stems from a reading before the change.
        if !lead.changing || lead.epoch > self.lead.epoch {
            self.asked = self.asked.max(asked);
        }
        self.lead = lead;
    }
}
