//! The interface to the platform's store: rows of tables, changed by compare-and-set.

use crate::clock::Span;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Identifies a row by its table and key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowId {
    /// The table.
    pub table: Box<str>,
    /// The key.
    pub key: Box<str>,
}

impl RowId {
    /// Builds an id.
    pub fn new(table: impl Into<Box<str>>, key: impl Into<Box<str>>) -> Self {
        Self {
            table: table.into(),
            key: key.into(),
        }
    }
}

impl fmt::Display for RowId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.table, self.key)
    }
}

/// The store's era. It rises by one each time the store is restored from an older copy and has lost later
/// writes; 0 where the platform's store has no such number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Era {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// The version of a row or of the store. Numbers rise with each transaction within an era and are reused in
/// the next one, so only the pair shows which of two versions is newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// The era in which the store assigned it.
    pub era: Era,
    /// The store's counter.
    pub number: u64,
}

impl Version {
    /// The version of a row that does not exist.
    pub const NONE: Self = Self {
        era: Era(0),
        number: 0,
    };

    /// The version with this number in an era.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Whether this is the version of a row that does not exist.
    pub fn is_none(self) -> bool {
        self.number == 0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// A row of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its table and key.
    pub id: RowId,
    /// Its value; `None` if it was removed.
    pub value: Option<Bytes>,
    /// Its version.
    pub version: Version,
}

impl Row {
    /// The size of its key and value in bytes.
    pub fn size(&self) -> usize {
        self.id.key.len() + self.value.as_ref().map_or(0, |value| value.len())
    }
}

/// The version of a row in `rows`, or [`Version::NONE`].
pub fn version_in(rows: &[Row], id: &RowId) -> Version {
    let found = rows.iter().find(|row| row.id == *id);
    found.map_or(Version::NONE, |row| row.version)
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// All rows of a table.
    Read(Box<str>),
    /// Some rows of a table, in order of their keys.
    Range {
        /// The table.
        table: Box<str>,
        /// The first key; empty for the first one of the table.
        from: Box<str>,
        /// The most rows to return.
        limit: u32,
    },
    /// The changes to a table after a version, as soon as there are any, or none once `wait` has passed.
    Follow {
        /// The table.
        table: Box<str>,
        /// The version after which changes are returned.
        after: Version,
        /// How long the store may wait for a change.
        wait: Span,
    },
    /// Changes rows atomically.
    Write(Change),
}

/// A change that is made only if rows have the expected versions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Rows and the version that each must have.
    pub expect: Vec<(RowId, Version)>,
    /// Rows to write.
    pub writes: Vec<(RowId, Bytes)>,
    /// Rows to remove.
    pub remove: Vec<RowId>,
}

/// The store's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Rows, as of the store's version.
    Rows {
        /// The rows that were requested or have changed.
        rows: Vec<Row>,
        /// The store's version when they were read.
        version: Version,
    },
    /// The change was made; the new version of the rows written.
    Written(Version),
    /// The change was not made; the current rows of those with an expected version.
    Conflict(Vec<Row>),
    /// The requested history is no longer stored; the whole table has to be read.
    Forgotten,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Fault {
    /// The call had no effect.
    #[error("the store did not take the call: {0}; ask again later")]
    Refused(Box<str>),
    /// The call may have taken effect, or may do so within some seconds.
    #[error("the store's answer was lost: {0}; read before asking again")]
    Unknown(Box<str>),
}
