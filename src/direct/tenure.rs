//! How much this VM may grant of what it keeps for others, such as its share of an allowance.
//!
//! In a network partition a keeper and its successor may both be asked. A keeper grants its whole share
//! for [`TERM`] after a proof was asked for: a reading that shows this VM as registered, or the word of a
//! steward that hears a majority. From then on, up to [`LEASE`] after the last such reading, it grants
//! half. Whoever evicts a VM hears a majority too, and no VM returns to an older steward, so that word is
//! at most [`HEARD`] old at an eviction. A successor knows of the eviction: it grants nothing for
//! [`SUCCESSION`], and half until the former keeper's time is over.

use crate::clock::{Span, Time};
use crate::direct::lead::{LEASE, TERM};

/// Within what time a VM has to have sent a heartbeat to count as heard.
pub const HEARD: Span = Span::from_secs(1);

/// How long after an eviction the VM that was evicted may hand out all that it keeps.
pub const SUCCESSION: Span = Span(TERM.0 + HEARD.0);

/// How long after an eviction the VM that was evicted may hand out anything.
const OVER: Span = Span(LEASE.0 + HEARD.0);

/// How much a keeper may hand out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// Half of it: another VM may hand out as much.
    Half,
    /// All of it.
    Whole,
}

/// Since when, and until when, a VM may hand out what it keeps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tenure {
    since: Time,
    whole_until: Time,
    until: Time,
}

impl Tenure {
    /// A reading asked at `asked` shows this VM as registered; whether a tenure begins with it.
    pub fn read(&mut self, asked: Time, now: Time) -> bool {
        let begins = self.until <= now && now < asked + LEASE;
        if begins {
            self.since = now;
        }
        self.until = self.until.max(asked + LEASE);
        self.whole_until = self.whole_until.max(asked + TERM);
        begins
    }

    /// A steward that hears most of the VMs answered what it was asked at `asked`.
    pub fn heard(&mut self, asked: Time) {
        self.whole_until = self.whole_until.max(asked + TERM);
    }

    /// Since when it has gone on without a gap, if it does at `now`.
    pub fn since(&self, now: Time) -> Option<Time> {
        (now < self.until).then_some(self.since)
    }

    /// How much may be handed out, if anything.
    pub fn part(&self, now: Time) -> Option<Part> {
        self.since(now)?;
        Some(if now < self.whole_until {
            Part::Whole
        } else {
            Part::Half
        })
    }
}

/// From when on a keeper hands out, and from when on all of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// When it begins.
    pub begins: Time,
    /// When it need not leave half to the keeper before.
    pub whole_from: Time,
}

impl Entry {
    /// That of a VM whose place nobody else had, or whose predecessor has ended.
    pub fn of_first(since: Time) -> Self {
        Self {
            begins: since,
            whole_from: since,
        }
    }

    /// That of the successor of a VM whose eviction has been known since `since`, with so many VMs of all
    /// evicted.
    pub fn of_successor(since: Time, evicted: usize, vms: usize) -> Self {
        let whole_from = since + OVER;
        // Most of the VMs may hear another steward.
        let begins = if evicted * 2 >= vms {
            whole_from
        } else {
            since + SUCCESSION
        };
        Self { begins, whole_from }
    }

    /// How much may be handed out at `now`, if its tenure allows that.
    pub fn part(&self, tenure: &Tenure, now: Time) -> Option<Part> {
        let part = tenure.part(now)?;
        Some(if now < self.whole_from {
            Part::Half
        } else {
            part
        })
    }
}
