//! The platform: its late list of VMs, and its store with the configuration.

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
    /// The next answers that are lost after the write took effect.
    lose: u32,
}

/// What an operator hears of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// It is accepted as this version.
    Accepted(Version),
    /// Another version came first.
    Lost(Version),
    /// The store did not answer, and nothing was accepted.
    Refused,
    /// The store's answer was lost, and it can't be read back now.
    Unknown,
}

impl Store {
    /// A store that has accepted `document` as its first version.
    pub(super) fn new(document: Document) -> Self {
        let version = Version(1);
        Self {
            accepted: Arc::new(Accepted { version, document }),
            down: false,
            lose: 0,
        }
    }
}

impl System {
    /// The platform lists a VM as leaving.
    pub fn leave(&mut self, vm: &VmId) {
        let mut members = self.members();
        for member in members.iter_mut().filter(|member| member.vm == *vm) {
            member.leaving = true;
        }
        self.list.push((self.now, members));
    }

    /// The platform's list is late by `lag` from now on.
    pub fn lag_list(&mut self, lag: Span) {
        self.list_lag = lag;
    }

    /// The store is down, or up again.
    pub fn store_down(&mut self, down: bool) {
        self.store.down = down;
    }

    /// The store's next answer to a write is lost after the write took effect.
    pub fn store_loses_answer(&mut self) {
        self.store.lose += 1;
    }

    /// An operator changes the configuration that was in force as version `base`.
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
        if self.store.lose > 0 {
            self.store.lose -= 1;
            return Applied::Unknown;
        }
        Applied::Accepted(version)
    }

    /// The version that the store holds.
    pub fn stored(&self) -> Version {
        self.store.accepted.version
    }

    pub(super) fn members(&self) -> Vec<Member> {
        self.list.last().map(|(_, m)| m.clone()).unwrap_or_default()
    }

    /// The list as the platform shows it now.
    pub(super) fn listed(&self) -> Vec<Member> {
        let shown = self.now - self.list_lag;
        let mut known = self.list.iter().rev();
        let found = known.find(|(from, _)| *from <= shown);
        found.map(|(_, m)| m.clone()).unwrap_or_default()
    }
}
