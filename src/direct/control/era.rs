//! Which era the store is in, and the row that names it.
//!
//! **Failure answered.** The store comes back from a copy some seconds old: versions go back and are given out again.
//! **Symptom without it.** A condition that names a version holds for another value; a write that was asked in one
//! era lands in the next. **Why it suffices.** The row that names an era is the first that is written in it, and has
//! another version from then on. Each write of ours is under its condition as well.

use crate::clock::Time;
use crate::direct::control::promotion::lapsed_at;
use crate::direct::control::rows::{era_row, named_era, quiet_row};
use crate::direct::table::{Change, Era, Row, Version};

/// What is known of the store's eras.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Eras {
    /// The newest era that an answer or another VM told.
    newest: Option<Era>,
    /// Since when that is known.
    since: Option<Time>,
    /// The version of the row that names it.
    settled: Option<Version>,
    /// Whether a row says that no lease of an earlier era can be left.
    quiet: bool,
}

impl Eras {
    /// The newest era; 0 where the store has no such number, or has not answered yet.
    pub fn newest(&self) -> Era {
        self.newest.unwrap_or_default()
    }

    /// The newest era, if any answer or VM has told one.
    pub fn known(&self) -> Option<Era> {
        self.newest
    }

    /// Since when it is known, here or at a VM that told; none where the store has no eras.
    pub fn since(&self) -> Option<Time> {
        self.since.filter(|_| self.newest() > Era::default())
    }

    /// Until when VMs may hold leases that registered in an earlier era and are in no row of this one. None if that is
    /// over, as a steward of this era wrote, or the store has no eras.
    pub fn strangers_until(&self) -> Option<Time> {
        let since = self.since().filter(|_| !self.quiet);
        since.map(lapsed_at)
    }

    /// Whether it is over at `now`, and no row says so yet.
    pub fn is_quiet_unsaid(&self, now: Time) -> bool {
        self.strangers_until().is_some_and(|until| until <= now)
    }

    /// An answer of an era came at `now`; whether it is of the newest one.
    pub fn told(&mut self, era: Era, now: Time) -> bool {
        if self.newest.is_some_and(|newest| era < newest) {
            return false;
        }
        if self.newest != Some(era) {
            *self = Self {
                newest: Some(era),
                since: Some(now),
                settled: None,
                quiet: false,
            };
        }
        true
    }

    /// Another VM has known of an era since a moment.
    pub fn hear(&mut self, era: Era, since: Time) {
        if era > Era::default() && self.told(era, since) {
            self.since = self.since.min(Some(since));
        }
    }

    /// These rows were read in an era: the version of the row that names it, if it is there.
    pub fn read(&mut self, rows: &[Row], era: Era) -> Option<Version> {
        if era == Era::default() {
            return Some(Version::NONE);
        }
        let names = |id| {
            let mut rows = rows.iter().filter(move |row| row.id == id);
            rows.find(|row| named_era(row) == Some(era))
        };
        let settled = names(era_row())?.version;
        self.settled = Some(settled);
        self.quiet |= names(quiet_row()).is_some_and(|row| row.version > settled);
        self.settled
    }

    /// The version of the row that names an era, if it is the newest one and that is known.
    pub fn settled(&self, era: Era) -> Option<Version> {
        match era == Era::default() {
            true => Some(Version::NONE),
            false => self.settled.filter(|settled| settled.era == era),
        }
    }

    /// The version that the row of the era must have for a change to be made; none if that is not known. A change
    /// that rests on no era, by a VM that has read nothing, is made as it is.
    pub fn condition(&self, change: &Change) -> Option<Version> {
        let rests = change.expect.iter().map(|(_, version)| version.era).max();
        let rests = rests.unwrap_or_default();
        let era = self.newest().max(rests);
        if rests > Era::default() && rests < era {
            return None;
        }
        self.settled(era)
    }
}
