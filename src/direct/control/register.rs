//! The register of databases, and when a database counts as removed.
//!
//! A database's entry expires while the store receives no heartbeats from it: because the database
//! ended, or because the store was down. If a missing entry always counted as a removal, an outage
//! of the store would remove every database; if it never did, a database that ended would stay for
//! ever. Entries that expired in an outage are back within 2 s of its end; [`MIN_UPTIME`] adds the
//! time of a slow answer. The store may also refuse a database's calls while it answers this VM, so
//! an entry has to be missing for [`MIN_MISSING`] too; `drain_ms` is 7 s or more.

use crate::clock::{Span, Time};
use crate::direct::config::Database;
use crate::direct::history::History;
use crate::direct::mesh::Content;
use crate::types::{Birth, DatabaseId, GroupId};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// How long the store must have answered every call before a missing entry counts.
const MIN_UPTIME: Span = Span::from_millis(2_500);

/// How long the entry of a database that did not announce its leaving must be missing: an outage's
/// 2 s and two readings.
const MIN_MISSING: Span = Span::from_secs(4);

/// Up to this many databases the whole register is sent in an update, some 10 KB. A VM that lacks a
/// longer one reads it from the store, whose link is far wider than that of a VM.
const MAX_SHORT: usize = 128;

/// How many databases that are gone are remembered by their births.
const MAX_FORMER: usize = 1_024;

/// The register of databases as this VM has it.
#[derive(Debug, Default)]
pub struct Register {
    databases: BTreeMap<DatabaseId, Database>,
    /// Entries that are missing from the store: when the first reading without them was requested.
    missing: BTreeMap<DatabaseId, Time>,
    /// Databases that left, whose log no other one has taken over yet, and when the first reading
    /// without them was requested.
    departed: BTreeMap<DatabaseId, (Database, Time)>,
    /// The last known birth of each database, also of some that are gone.
    births: BTreeMap<DatabaseId, Birth>,
    /// Databases that started again without their data, and when the first reading that showed it
    /// was requested.
    reborn: BTreeMap<DatabaseId, Time>,
    began: Option<Time>,
    asked: Option<Time>,
    digest: u64,
    history: History<DatabaseId>,
}

/// What a reading changed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Databases that are new.
    pub came: Vec<DatabaseId>,
    /// Databases that are gone.
    pub gone: Vec<DatabaseId>,
    /// Databases that began to leave.
    pub leaving: Vec<DatabaseId>,
    /// Databases that started again with the same id.
    pub reborn: Vec<DatabaseId>,
    /// Databases whose own view of whether they are primaries has changed.
    pub role: Vec<DatabaseId>,
    /// Whether anything changed at all.
    pub any: bool,
}

impl Register {
    /// Returns the databases that count as registered.
    pub fn databases(&self) -> &BTreeMap<DatabaseId, Database> {
        &self.databases
    }

    /// Returns the databases of a group that left a moment ago, before another one has registered at
    /// the same address. That one will have the log of the one that left.
    pub fn departed<'a>(&'a self, group: &'a GroupId) -> impl Iterator<Item = &'a Database> {
        let departed = self.departed.values().map(|(database, _)| database);
        departed.filter(move |d| d.group == *group)
    }

    /// Returns the registered databases that started again without their data while this VM had the
    /// register, each with the time of the first reading that showed it.
    pub fn reborn(&self) -> impl Iterator<Item = (&Database, Time)> {
        let reborn = self.reborn.iter();
        reborn.filter_map(|(id, at)| Some((self.databases.get(id)?, *at)))
    }

    /// Returns when the first reading known here was requested. A VM that starts while entries are
    /// missing never had them, and can't keep them.
    pub fn began(&self) -> Option<Time> {
        self.began
    }

    /// Returns when the newest reading was requested.
    pub fn asked(&self) -> Option<Time> {
        self.asked
    }

    /// Returns a digest of the content, by which two VMs compare theirs.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the content to send to a VM whose register has the digest `known`: the changes since
    /// then, if they are still known, or all of a short register. `None` for a long one, unless
    /// `whole` asks for all of it.
    pub fn content_for(&self, known: u64, whole: bool) -> Option<Content> {
        if let Some(changed) = self.history.since(known) {
            let came = changed.iter().filter_map(|id| self.databases.get(id));
            let came = came.cloned().collect();
            let mut gone: Vec<DatabaseId> = changed.into_iter().collect();
            gone.retain(|id| !self.databases.contains_key(id));
            return Some(Content::Changes {
                removed: gone,
                added: came,
            });
        }
        let included = whole || self.databases.len() <= MAX_SHORT;
        included.then(|| Content::All(self.databases.values().cloned().collect()))
    }

    /// Returns the databases that the content describes, unless it holds changes of another
    /// register.
    pub fn resolve(&self, content: Content, digest: u64) -> Option<BTreeMap<DatabaseId, Database>> {
        let mut found = match &content {
            Content::All(_) => BTreeMap::new(),
            Content::Changes { .. } => self.databases.clone(),
        };
        let (Content::All(came) | Content::Changes { added: came, .. }) = &content;
        if let Content::Changes { removed: gone, .. } = &content {
            found.retain(|id, _| !gone.contains(id));
        }
        found.extend(came.iter().map(|d| (d.id.clone(), d.clone())));
        let whole = matches!(content, Content::All(_));
        (whole || self::digest(&found) == digest).then_some(found)
    }

    /// Records that a reading requested at `asked` found what is known here.
    pub fn confirm(&mut self, asked: Time) {
        self.asked = self.asked.max(Some(asked));
    }

    /// Applies the entries `found` by a reading requested at `asked`; the store has answered each
    /// call since `up`. A missing entry is kept while an outage may be the reason.
    pub fn apply_reading(
        &mut self,
        mut found: BTreeMap<DatabaseId, Database>,
        asked: Time,
        up: Option<Time>,
    ) -> Changes {
        let is_up = up.is_some_and(|up| asked >= up + MIN_UPTIME);
        self.missing.retain(|id, _| !found.contains_key(id));
        for (id, database) in &self.databases {
            if found.contains_key(id) {
                continue;
            }
            let since = *self.missing.entry(id.clone()).or_insert(asked);
            let is_gone = database.leaving || asked >= since + MIN_MISSING;
            if !is_up || !is_gone {
                found.insert(id.clone(), database.clone());
            } else if database.leaving {
                self.departed.insert(id.clone(), (database.clone(), since));
            }
        }
        self.departed.retain(|_, (departed, since)| {
            let is_successor =
                |d: &Database| d.group == departed.group && d.address == departed.address;
            asked < *since + MIN_MISSING && !found.values().any(is_successor)
        });
        self.apply(found, asked)
    }

    /// Applies the databases of a reading requested at `asked`. One older than the newest known
    /// changes nothing.
    pub fn apply(&mut self, found: BTreeMap<DatabaseId, Database>, asked: Time) -> Changes {
        if self.asked.is_some_and(|known| known > asked) {
            return Changes::default();
        }
        self.began.get_or_insert(asked);
        let first = self.asked.is_none();
        self.asked = Some(asked);
        let changes = compare(&self.databases, &found);
        if changes.any {
            let changed = differing(&self.databases, &found);
            self.history.note(self.digest, changed);
        }
        self.record_births(&found, asked);
        // The digest of an empty list is computed too, so that two VMs with empty registers compare
        // as equal.
        if changes.any || first {
            self.digest = digest(&found);
            self.databases = found;
        }
        changes
    }
}

impl Register {
    /// Records the births of the databases `found`. An entry that was missing for a while may come
    /// back with another birth.
    fn record_births(&mut self, found: &BTreeMap<DatabaseId, Database>, asked: Time) {
        if self.births.len() > found.len() + MAX_FORMER {
            self.births.retain(|id, _| found.contains_key(id));
            self.reborn.retain(|id, _| found.contains_key(id));
        }
        for (id, database) in found {
            let Some(born) = database.born else { continue };
            let known = self.births.insert(id.clone(), born);
            if known.is_some_and(|known| known != born) {
                self.reborn.insert(id.clone(), asked);
            }
        }
    }
}

/// Returns the databases that differ between two registers.
fn differing(
    before: &BTreeMap<DatabaseId, Database>,
    after: &BTreeMap<DatabaseId, Database>,
) -> Vec<DatabaseId> {
    let gone = before.keys().filter(|id| !after.contains_key(*id));
    let came = after
        .iter()
        .filter(|(id, one)| before.get(*id) != Some(*one));
    gone.chain(came.map(|(id, _)| id)).cloned().collect()
}

fn compare(
    before: &BTreeMap<DatabaseId, Database>,
    after: &BTreeMap<DatabaseId, Database>,
) -> Changes {
    let mut changes = Changes {
        any: before != after,
        ..Changes::default()
    };
    let missing = before.keys().filter(|id| !after.contains_key(*id));
    changes.gone.extend(missing.cloned());
    for (id, database) in after {
        let known = before.get(id);
        if known.is_none() {
            changes.came.push(id.clone());
        }
        if database.leaving && known.is_none_or(|known| !known.leaving) {
            changes.leaving.push(id.clone());
        }
        if known.is_some_and(|known| known.born != database.born) {
            changes.reborn.push(id.clone());
        }
        if known.is_some_and(|known| known.primary != database.primary) {
            changes.role.push(id.clone());
        }
    }
    changes
}

fn digest(databases: &BTreeMap<DatabaseId, Database>) -> u64 {
    let list: Vec<&Database> = databases.values().collect();
    // Plain structs of names and numbers always serialize.
    xxh3_64(&postcard::to_stdvec(&list).unwrap_or_default())
}
