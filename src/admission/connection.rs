//! How many connections a VM opens to a database, and which work gets one.
//!
//! This handles a database whose connections are used up: a connection serves one organisation only, several VMs
//! share the database, and it counts the connections of a lost VM for some seconds. Without bounds each VM learns
//! from refusals that the database is full, and pauses; VMs that reach no owner open connections all at once
//! (2,261 refusals at four databases and 1,345 reset connections in one day), and one organisation's idle
//! connections keep out another organisation's work.

use crate::clock::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The percentage of a database's connections that its owners together keep open between statements.
pub const KEPT_PERCENT: u32 = 66;

/// The percentage of a database's connections that its owners leave to other VMs: to those that reach no owner,
/// to the steward, and to the successors of a lost owner, whose connections still count.
pub const RESERVED_PERCENT: u32 = 15;

/// How long after its last use an organisation keeps an idle connection against another one that has its share:
/// several times as long as it takes to open a connection anew (12 ms of a slot and a round trip).
const RECENT: Span = Span::from_millis(100);

/// What a VM is for a database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// One of this many owners.
    Owner(u32),
    /// One of this many substitutes, through which VMs go that reach no owner.
    Substitute(u32),
    /// It reaches the database through others, and connects itself only if it reaches none of them.
    Other,
}

/// How many connections a VM may open to a database that accepts this number; at least one.
///
/// What owners keep and what substitutes may open is together no more than the database accepts. When all of them
/// use all that they may, the database refuses some.
pub fn bound(connections: u32, role: Role) -> u32 {
    let part = |percent: u32, of: u32| {
        let connections = u64::from(connections) * u64::from(percent) / 100;
        u32::try_from(connections).unwrap_or(u32::MAX) / of.max(1)
    };
    let bound = match role {
        Role::Owner(owners) => part(100 - RESERVED_PERCENT, owners),
        Role::Substitute(substitutes) => part(100 - KEPT_PERCENT, substitutes),
        Role::Other => 1,
    };
    bound.max(1)
}

/// The expected wait for a connection: `before` pieces of work wait for one of `held` connections, each of which
/// is usually held for `typical`. If none was returned for `stalled` although work waited, that is estimated to go
/// on for as long again.
pub fn wait(typical: Span, held: u32, before: usize, stalled: Span) -> Span {
    let rounds = before as u64 + 1;
    Span(typical.0.saturating_mul(rounds) / u64::from(held.max(1))).max(stalled)
}

/// What work does for which no idle connection fits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It opens a connection.
    Open,
    /// It opens one in place of the idle one at this index, which is closed.
    Replace(usize),
    /// It waits until a connection is returned.
    Wait,
}

/// The key of work that waits: its urgency, where lower values go first, and its arrival.
pub type Key = (u8, u64);

/// The connections of one VM to one database. O is the organisation.
#[derive(Debug, Clone, Copy)]
pub struct Connections<'a, O> {
    /// How many may be open.
    pub bound: u32,
    /// How many are in use or being opened, by organisation.
    pub held: &'a BTreeMap<O, u32>,
    /// The idle ones, and when each was last used.
    pub idle: &'a [(O, Time)],
    /// The organisations of the work that waits.
    pub waiting: &'a BTreeMap<Key, O>,
}

impl<O: Ord> Connections<'_, O> {
    /// What work of `organisation` does.
    ///
    /// While other organisations wait, and there are not enough connections for all, an organisation that has its
    /// share opens no further one.
    pub fn decide(&self, organisation: &O, now: Time) -> Decision {
        let others = self.waiting.values().filter(|other| *other != organisation);
        let others = others.count() as u32;
        let scarce = others > 0 && self.open() + others >= self.bound;
        let has_share = self.count(organisation) >= self.share(organisation);
        if scarce && has_share {
            return Decision::Wait;
        }
        if self.open() < self.bound {
            return Decision::Open;
        }
        let recent = has_share.then_some(now - RECENT);
        match self.surplus(organisation, recent) {
            Some(index) => Decision::Replace(index),
            None => Decision::Wait,
        }
    }

    /// Which waiting work gets a connection that `returned` has returned: the most urgent of the organisations that
    /// have less than their shares, or of all if there is none.
    ///
    /// An organisation with its share gets none from one within its share, which may need it again at once. Without
    /// this rule, a flood that always waits gets each connection that another organisation returns.
    pub fn next(&self, returned: &O) -> Option<Key> {
        let (first_key, first) = self.waiting.first_key_value()?;
        // All that wait have the same share.
        let share = self.share(first);
        let mut has_share = BTreeSet::new();
        for (key, organisation) in self.waiting {
            if has_share.contains(organisation) {
                continue;
            }
            if self.count(organisation) < share {
                return Some(*key);
            }
            has_share.insert(organisation);
        }
        let within = first != returned && self.count(returned) < self.share(returned);
        (!within).then_some(*first_key)
    }

    /// How many are open or being opened.
    pub fn open(&self) -> u32 {
        self.held.values().sum::<u32>() + self.idle.len() as u32
    }

    /// The idle connection to close: the one that was idle longest, of organisations above their shares first. Those
    /// of others must not have been used since `recent`.
    fn surplus(&self, organisation: &O, recent: Option<Time>) -> Option<usize> {
        let share = self.share(organisation);
        let idle = self.idle.iter().enumerate();
        let keys = idle.map(|(index, (of, used))| (self.count(of) <= share, *used, index));
        let (within, used, index) = keys.min()?;
        let kept = within && recent.is_some_and(|recent| used >= recent);
        (!kept).then_some(index)
    }

    /// The equal share of each organisation that has a connection or waits for one, counting `organisation`.
    fn share(&self, organisation: &O) -> u32 {
        let mut sharers: BTreeSet<&O> = self.held.keys().collect();
        sharers.extend(self.idle.iter().map(|(of, _)| of));
        sharers.extend(self.waiting.values());
        sharers.insert(organisation);
        (self.bound / sharers.len() as u32).max(1)
    }

    /// How many an organisation has.
    fn count(&self, organisation: &O) -> u32 {
        let idle = self.idle.iter().filter(|(of, _)| of == organisation);
        self.held.get(organisation).copied().unwrap_or(0) + idle.count() as u32
    }
}
