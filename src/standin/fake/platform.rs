//! The simulated platform: its delayed list of VMs, and its store with the configuration.

use super::System;
use crate::clock::Span;
use crate::config::{Accepted, Document};
use crate::core::member::Member;
use crate::types::{Version, VmId};
use std::sync::Arc;

/// The platform's store.
#[derive(Debug)]
pub(super) struct Store {
    pub(super) accepted: Arc<Accepted>,
    pub(super) down: bool,
    /// How many of the next answers are lost after the write has taken effect.
    lose_answers: u32,
}

/// The result of an operator's configuration change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// It is accepted as this version.
    Accepted(Version),
    /// Another change was accepted before, as this version.
    Lost(Version),
    /// The store did not answer, and nothing was accepted.
    Refused,
    /// The store's answer was lost, and it can't be read back now.
    Unknown,
}

impl Store {
    /// Returns a store that has accepted `document` as its first version.
    pub(super) fn new(document: Document) -> Self {
        let version = Version(1);
        Self {
            accepted: Arc::new(Accepted { version, document }),
            down: false,
            lose_answers: 0,
        }
    }
}

impl System {
    /// Lists a VM as leaving.
    pub fn leave(&mut self, vm: &VmId) {
        let mut members = self.members();
        for member in members.iter_mut().filter(|member| member.vm == *vm) {
            member.leaving = true;
        }
        self.list.push((self.now, members));
    }

    /// Sets the delay of the platform's list.
    pub fn lag_list(&mut self, lag: Span) {
        self.list_lag = lag;
    }

    /// Makes the store unavailable, or available again.
    pub fn store_down(&mut self, down: bool) {
        self.store.down = down;
    }

    /// Loses one more answer to a write after the write has taken effect.
    pub fn store_loses_answer(&mut self) {
        self.store.lose_answers += 1;
    }

    /// Applies an operator's change to the configuration of version `base`.
    pub fn apply(&mut self, base: Version, change: impl FnOnce(&mut Document)) -> Applied {
        if self.store.down {
            return Applied::Refused;
        }
        let current = &self.store.accepted;
        if current.version != base {
            return Applied::Lost(current.version);
        }
        let mut document = current.document.clone();
        change(&mut document);
        let version = base.next();
        self.store.accepted = Arc::new(Accepted { version, document });
        if self.store.lose_answers > 0 {
            self.store.lose_answers -= 1;
            return Applied::Unknown;
        }
        Applied::Accepted(version)
    }

    /// Returns the configuration version in the store.
    pub fn stored(&self) -> Version {
        self.store.accepted.version
    }

    pub(super) fn members(&self) -> Vec<Member> {
        self.list.last().map(|(_, m)| m.clone()).unwrap_or_default()
    }

    /// Returns the list of VMs as the platform currently shows it, with its delay.
    pub(super) fn listed(&self) -> Vec<Member> {
        let visible_since = self.now - self.list_lag;
        let mut known = self.list.iter().rev();
        let found = known.find(|(from, _)| *from <= visible_since);
        found.map(|(_, m)| m.clone()).unwrap_or_default()
    }
}
