//! The platform's store as the product uses it: rows that change by compare-and-set.

use crate::clock::Span;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Which row: its table and key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowId {
    /// The table.
    pub table: Box<str>,
    /// The key.
    pub key: Box<str>,
}

impl RowId {
    /// Names a row.
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

/// Which copy of itself the store runs on. It rises by one each time the store comes back from an older copy and
/// has lost what was written since; 0 where the platform's store has no such number.
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

/// The version of a row or of the store. Numbers rise with each transaction of an era, and are given out again in the
/// next one, so that only the pair tells which of two is newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// The era in which the store told it.
    pub era: Era,
    /// The store's counter.
    pub number: u64,
}

impl Version {
    /// That of a row that does not exist.
    pub const NONE: Self = Self {
        era: Era(0),
        number: 0,
    };

    /// A number as told in an era.
    pub const fn new(era: Era, number: u64) -> Self {
        Self { era, number }
    }

    /// Whether it is that of a row that does not exist.
    pub fn is_none(self) -> bool {
        self.number == 0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

/// A row as the store has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Which one.
    pub id: RowId,
    /// Its value; none once it was removed.
    pub value: Option<Bytes>,
    /// Its version.
    pub version: Version,
}

impl Row {
    /// The bytes of its key and value.
    pub fn size(&self) -> usize {
        self.id.key.len() + self.value.as_ref().map_or(0, |value| value.len())
    }
}

/// The version that a row has among these.
pub fn version_in(rows: &[Row], id: &RowId) -> Version {
    let found = rows.iter().find(|row| row.id == *id);
    found.map_or(Version::NONE, |row| row.version)
}

/// A call of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// All rows of a table.
    Read(Box<str>),
    /// Some rows of a table, in order of their keys.
    Range {
        /// The table.
        table: Box<str>,
        /// The first key; empty for the first one of the table.
        from: Box<str>,
        /// How many rows at most.
        most: u32,
    },
    /// What changed in a table after a version, as soon as there is something, or nothing once
    /// `wait` is over.
    Follow {
        /// The table.
        table: Box<str>,
        /// The version that is known.
        after: Version,
        /// How long the store may wait.
        wait: Span,
    },
    /// Changes rows, all or none.
    Write(Change),
}

/// A change under conditions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Rows, with the version that each must have.
    pub expect: Vec<(RowId, Version)>,
    /// Rows to write.
    pub writes: Vec<(RowId, Bytes)>,
    /// Rows to remove.
    pub remove: Vec<RowId>,
}

/// What the store answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Told {
    /// Rows, as of the store's version.
    Rows {
        /// The rows asked for, or changed.
        rows: Vec<Row>,
        /// The store's version then.
        version: Version,
    },
    /// Changed; the version that the rows written have.
    Written(Version),
    /// Not changed: the rows under condition as they are.
    Conflict(Vec<Row>),
    /// The history asked for is gone; the table has to be read.
    Forgotten,
}

/// Why the store gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Fault {
    /// Nothing was done.
    #[error("the store did not take the call: {0}; ask again later")]
    Refused(Box<str>),
    /// It may have been done, or be done in some seconds.
    #[error("the store's answer was lost: {0}; read before asking again")]
    Unknown(Box<str>),
}
