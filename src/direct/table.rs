//! The platform's store as the product uses it: rows that change by compare-and-set.

use crate::clock::Span;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::fmt;

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

/// The version of a row or of the store: one counter, which rises with each transaction. 0 is
/// the version of a row that does not exist.
pub type Version = u64;

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
