//! Tenure: how long an allocator may grant after it was last shown as registered, and how much of its share.
//!
//! In a network partition an allocator and its successor may both receive requests. An allocator grants its
//! whole share for [`TERM`] after it asked for a proof: a reading of the store that shows this VM as
//! registered, or the answer of a steward that receives heartbeats from a majority. After that, up to
//! [`LEASE`] after the last such reading, it grants half. A steward that evicts a VM also has a majority, and
//! no VM returns to an older steward, so that the last such answer is at most [`HEARTBEAT_AGE`] old at an
//! eviction. A successor, which knows of the eviction, grants nothing for [`SUCCESSION`], and half until the
//! tenure of its predecessor has ended and the tokens that this granted in advance have expired.

use crate::admission::bucket::TOKEN_VALIDITY;
use crate::clock::{Span, Time};
use crate::direct::lead::{LEASE, TERM};

/// The greatest age of a VM's last heartbeat with which the steward counts it towards its majority.
pub const HEARTBEAT_AGE: Span = Span::from_secs(1);

/// How long after its eviction a VM may still grant its whole share.
pub const SUCCESSION: Span = Span(TERM.0 + HEARTBEAT_AGE.0);

/// How long after a VM's eviction tokens that it granted may be spent. A reading from after the eviction
/// shows it as evicted, so that it grants until [`LEASE`] after the eviction at most.
const TENURE_END: Span = Span(LEASE.0 + TOKEN_VALIDITY.0);

/// How much of its share an allocator may grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fraction {
    /// Half of it: another VM may grant the other half.
    Half,
    /// All of it.
    Whole,
}

/// The period in which a VM may grant from its shares, and until when it may grant them whole.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tenure {
    since: Time,
    whole_until: Time,
    until: Time,
}

impl Tenure {
    /// Records that a reading requested at `asked` shows this VM as registered; returns whether a new tenure
    /// begins with it.
    pub fn read(&mut self, asked: Time, now: Time) -> bool {
        let begins = self.until <= now && now < asked + LEASE;
        if begins {
            self.since = now;
        }
        self.until = self.until.max(asked + LEASE);
        self.whole_until = self.whole_until.max(asked + TERM);
        begins
    }

    /// Records that a steward that receives heartbeats from a majority answered a request made at `asked`.
    pub fn confirm(&mut self, asked: Time) {
        self.whole_until = self.whole_until.max(asked + TERM);
    }

    /// When the tenure that is valid at `now` began; `None` if there is none.
    pub fn since(&self, now: Time) -> Option<Time> {
        (now < self.until).then_some(self.since)
    }

    /// How much of a share may be granted at `now`; `None` for nothing.
    pub fn fraction(&self, now: Time) -> Option<Fraction> {
        self.since(now)?;
        Some(if now < self.whole_until {
            Fraction::Whole
        } else {
            Fraction::Half
        })
    }
}

/// From when on a new allocator grants, and from when on its whole share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// When it begins to grant.
    pub begins: Time,
    /// When it no longer leaves half to its predecessor.
    pub whole_from: Time,
}

impl Entry {
    /// The entry of a VM that has no predecessor, or whose predecessor's tenure has ended.
    pub fn first(since: Time) -> Self {
        Self {
            begins: since,
            whole_from: since,
        }
    }

    /// The entry of the successor of a VM whose eviction has been known since `since`. `evicted` of all `vms`
    /// are evicted.
    pub fn successor(since: Time, evicted: usize, vms: usize) -> Self {
        let whole_from = since + TENURE_END;
        // With half of the VMs evicted, a majority may follow another steward.
        let begins = if evicted * 2 >= vms {
            whole_from
        } else {
            since + SUCCESSION
        };
        Self { begins, whole_from }
    }

    /// How much of a share may be granted at `now`, limited by the tenure; `None` for nothing.
    pub fn fraction(&self, tenure: &Tenure, now: Time) -> Option<Fraction> {
        let fraction = tenure.fraction(now)?;
        Some(if now < self.whole_from {
            Fraction::Half
        } else {
            fraction
        })
    }
}
