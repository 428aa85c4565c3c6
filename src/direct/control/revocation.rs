//! Decides which VMs the replacement of a primary waits for, and for how long.

use crate::clock::{Span, Time};
use crate::direct::control::rows::MemberId;
use crate::direct::lead::{LEASE, MAX_SILENT, TERM};
use std::collections::BTreeMap;

/// Allows for clocks that run at different rates.
const MARGIN: Span = Span::from_millis(250);

/// Tracks the VMs that may still hold a lease of the old epoch, and until when to wait for them.
///
/// A VM that is frozen or cut off would otherwise go on acting on the old primary and acknowledge
/// writes that the new primary lacks. Every reading that shows the old lead was requested before
/// the intent was written, so its lease expires within [`LEASE`] of the intent. For an evicted VM
/// the same holds from its eviction on, because later readings grant it no lease. The wait ends
/// sooner if the VM releases the epoch or has ended.
///
/// Once no more than [`MAX_SILENT`] VMs are left, [`TERM`] from then on is enough. More than [`TERM`]
/// after the intent, a lease is only extended if a VM outside that set confirms it. Such a VM has
/// released the epoch, has ended, or has no recent reading, so the confirmation was requested
/// before. A VM that was not registered any more when the rows were read had stopped confirming by
/// then.
#[derive(Debug, Default)]
pub struct Revocation {
    pending: BTreeMap<MemberId, Time>,
    /// When few enough VMs were left.
    few_since: Option<Time>,
}

impl Revocation {
    /// Waits for the given VMs. Each comes with the time at which the intent was written, or of its
    /// eviction if that was earlier. The reading that listed them was requested after the intent
    /// and was complete at `read`.
    pub fn new(members: impl IntoIterator<Item = (MemberId, Time)>, read: Time) -> Self {
        let members = members.into_iter();
        let mut revocation = Self {
            pending: members.map(|(id, since)| (id, lapsed_at(since))).collect(),
            few_since: None,
        };
        revocation.count(read);
        revocation
    }

    /// Records at `now` that a VM released the epoch, has ended, or that its lease has expired.
    pub fn done(&mut self, member: &MemberId, now: Time) {
        self.pending.remove(member);
        self.count(now);
    }

    /// Until when to wait for a VM if the others do not answer either.
    pub fn until(&self, member: &MemberId) -> Option<Time> {
        self.pending.get(member).copied()
    }

    /// Until when to wait for any VM.
    pub fn end(&self) -> Option<Time> {
        let last = self.pending.values().max().copied()?;
        let short = self.few_since.map(|few_since| few_since + TERM + MARGIN);
        Some(short.map_or(last, |short| short.min(last)))
    }

    /// The VMs that have not answered yet.
    pub fn pending(&self) -> impl Iterator<Item = &MemberId> {
        self.pending.keys()
    }

    fn count(&mut self, now: Time) {
        if self.pending.len() <= MAX_SILENT {
            self.few_since.get_or_insert(now);
        }
    }
}

/// When a VM that a reading complete at `seen` showed as evicted no longer holds a lease.
pub fn lapsed_at(seen: Time) -> Time {
    seen + LEASE + MARGIN
}
