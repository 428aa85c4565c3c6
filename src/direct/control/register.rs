//! Which databases there are, and when one counts as gone.
//!
//! **Pattern answered.** A database's entry expires while it is silent towards the store: because
//! it ended, or because the store was down and took no beats.
//! **Without it** an outage of the store removes every database, or one that ended is kept for
//! ever. **Thresholds.** Entries that expired in an outage are back within 2 s of its end;
//! [`SETTLED`] adds what a slow answer takes. The store may turn a database away and answer this
//! VM all along, so an entry has to stay away for [`MISSING`] too; `drain_ms` is 7 s or more.

use crate::clock::{Span, Time};
use crate::direct::config::Database;
use crate::direct::history::History;
use crate::direct::mesh::Content;
use crate::types::DatabaseId;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// How long the store has to have answered before a missing entry tells anything.
const SETTLED: Span = Span::from_millis(2_500);

/// How long the entry of a database that did not say that it leaves has to be missing: an outage's
/// 2 s and two readings.
const MISSING: Span = Span::from_secs(4);

/// Up to this many databases the register is told in full, some 10 KB. A longer one is had from the store
/// by each VM that has none: its link is far wider than that of whoever tells.
const SHORT: usize = 128;

/// The register as this VM knows it.
#[derive(Debug, Default)]
pub struct Register {
    databases: BTreeMap<DatabaseId, Database>,
    /// Entries that were there and are not: when the first reading without them was asked.
    missing: BTreeMap<DatabaseId, Time>,
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
    /// Databases that started again under their ids.
    pub reborn: Vec<DatabaseId>,
    /// Databases that take themselves for primaries and did not before, or the reverse.
    pub role: Vec<DatabaseId>,
    /// Whether anything changed at all.
    pub any: bool,
}

impl Register {
    /// The databases that count as registered.
    pub fn databases(&self) -> &BTreeMap<DatabaseId, Database> {
        &self.databases
    }

    /// When the first reading was asked that is known here. A VM that starts while entries are
    /// missing never had them, and can't keep them.
    pub fn began(&self) -> Option<Time> {
        self.began
    }

    /// When the newest reading was asked.
    pub fn asked(&self) -> Option<Time> {
        self.asked
    }

    /// Stands for the content, to tell whether two VMs have the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// What a VM is told whose register `known` stands for: what changed since, all of a short one, or,
    /// of a long one, that it differs. `whole` asks for all of it however long it is.
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
        let told = whole || self.databases.len() <= SHORT;
        told.then(|| Content::All(self.databases.values().cloned().collect()))
    }

    /// The databases that the content tells, if it is about this register.
    pub fn with(&self, content: Content, digest: u64) -> Option<BTreeMap<DatabaseId, Database>> {
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

    /// The store showed `found`, asked at `asked`; it has answered each call since `up`. An entry
    /// that is missing is kept while that may be the mark of an outage.
    pub fn read(
        &mut self,
        mut found: BTreeMap<DatabaseId, Database>,
        asked: Time,
        up: Option<Time>,
    ) -> Changes {
        let settled = up.is_some_and(|up| asked >= up + SETTLED);
        self.missing.retain(|id, _| !found.contains_key(id));
        for (id, database) in &self.databases {
            if found.contains_key(id) {
                continue;
            }
            let since = *self.missing.entry(id.clone()).or_insert(asked);
            let told = database.leaving || asked >= since + MISSING;
            if !settled || !told {
                found.insert(id.clone(), database.clone());
            }
        }
        self.told(found, asked)
    }

    /// Another VM told what it knows, of a reading asked at `asked`. An older one changes nothing.
    pub fn told(&mut self, found: BTreeMap<DatabaseId, Database>, asked: Time) -> Changes {
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
        // Also of an empty list, so that two VMs that know the same tell each other nothing.
        if changes.any || first {
            self.digest = digest(&found);
            self.databases = found;
        }
        changes
    }
}

/// The databases that two registers show differently.
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
    // Plain structs of names and numbers always have an encoding.
    xxh3_64(&postcard::to_stdvec(&list).unwrap_or_default())
}
