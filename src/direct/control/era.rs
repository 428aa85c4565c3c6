//! The store's present era, and the row that names it.
//!
//! When the store is restored from a copy some seconds old, its versions go back and are used
//! again. A condition on a version could then hold for another value, or a write that was requested
//! in one era could be done in the next. Therefore the row that names the era is the first one
//! written in it, which gives that row a new version, and every write of the control path is also
//! conditional on that version.

use crate::clock::Time;
use crate::direct::control::revocation::lapsed_at;
use crate::direct::control::rows::{era_row, named_era, quiet_row};
use crate::direct::table::{Change, Era, Row, Version};

/// What this VM knows of the store's eras.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Eras {
    /// The newest era of any answer of the store, or known to another VM.
    newest: Option<Era>,
    /// Since when it is known.
    since: Option<Time>,
    /// The version of the row that names it, if known.
    row_version: Option<Version>,
    /// Whether a row records that no lease of an earlier era can be left.
    quiet: bool,
}

impl Eras {
    /// Returns the newest era; 0 where the store has no such number, or has not answered yet.
    pub fn newest(&self) -> Era {
        self.newest.unwrap_or_default()
    }

    /// Returns the newest era; `None` if neither an answer nor another VM has named one.
    pub fn known(&self) -> Option<Era> {
        self.newest
    }

    /// Returns since when this or another VM has known it; `None` where the store has no eras.
    pub fn since(&self) -> Option<Time> {
        self.since.filter(|_| self.newest() > Era::default())
    }

    /// Returns until when VMs may hold leases that registered in an earlier era and have no row in
    /// this one. `None` if a steward of this era recorded that this time is over, or the store has
    /// no eras.
    pub fn unlisted_until(&self) -> Option<Time> {
        let since = self.since().filter(|_| !self.quiet);
        since.map(lapsed_at)
    }

    /// Returns whether that time is over at `now` and no row records it yet.
    pub fn is_quiet_unrecorded(&self, now: Time) -> bool {
        self.unlisted_until().is_some_and(|until| until <= now)
    }

    /// Records the era of an answer received at `now`; returns whether it is the newest one.
    pub fn record(&mut self, era: Era, now: Time) -> bool {
        if self.newest.is_some_and(|newest| era < newest) {
            return false;
        }
        if self.newest != Some(era) {
            *self = Self {
                newest: Some(era),
                since: Some(now),
                row_version: None,
                quiet: false,
            };
        }
        true
    }

    /// Records that another VM has known of an era since `since`.
    pub fn record_known(&mut self, era: Era, since: Time) {
        if era > Era::default() && self.record(era, since) {
            self.since = self.since.min(Some(since));
        }
    }

    /// Records rows that were read in an era; returns the version of the row that names it, if it
    /// is among them.
    pub fn record_rows(&mut self, rows: &[Row], era: Era) -> Option<Version> {
        if era == Era::default() {
            return Some(Version::NONE);
        }
        let names = |id| {
            let mut rows = rows.iter().filter(move |row| row.id == id);
            rows.find(|row| named_era(row) == Some(era))
        };
        let row_version = names(era_row())?.version;
        self.row_version = Some(row_version);
        self.quiet |= names(quiet_row()).is_some_and(|row| row.version > row_version);
        self.row_version
    }

    /// Returns the version of the row that names an era, if it is the newest era and the version is
    /// known.
    pub fn row_version(&self, era: Era) -> Option<Version> {
        match era == Era::default() {
            true => Some(Version::NONE),
            false => self
                .row_version
                .filter(|row_version| row_version.era == era),
        }
    }

    /// Returns the version of the era's row on which a change has to be conditional; `None` if that
    /// is not known. A change without a condition from any era, by a VM that has read nothing, gets
    /// no such condition.
    pub fn condition(&self, change: &Change) -> Option<Version> {
        let newest_expected = change.expect.iter().map(|(_, version)| version.era).max();
        let newest_expected = newest_expected.unwrap_or_default();
        let era = self.newest().max(newest_expected);
        if newest_expected > Era::default() && newest_expected < era {
            return None;
        }
        self.row_version(era)
    }
}
