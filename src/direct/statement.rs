//! Statements of callers and answers of databases, independent of the wire protocol.
//!
//! A statement keeps its original text, because the database must be sent the same bytes.

use crate::direct::identity::Key;
use crate::types::Position;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A message from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Opens the session.
    Start {
        /// The database that the caller names: the host of a route.
        database: Box<str>,
        /// The key that the caller presents.
        key: Key,
    },
    /// Asks for a statement to be run.
    Query(Query),
    /// Ends the session.
    Bye,
}

/// A statement from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The caller's id for it, which is sent to the database with it.
    pub id: Box<str>,
    /// Its text, unchanged.
    pub text: Box<str>,
    /// What it does.
    pub statement: Statement,
}

/// What a statement does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether it may only read.
        read: bool,
    },
    /// Ends a transaction and keeps what it wrote.
    Commit,
    /// Ends a transaction and keeps nothing.
    Rollback,
    /// Reads an item.
    Read,
    /// Writes an item.
    Write,
    /// Sets a session value.
    Set {
        /// The value's name.
        name: Box<str>,
        /// The value.
        value: Box<str>,
    },
    /// Prepares a statement under a name.
    Prepare {
        /// The caller's name for it.
        name: Box<str>,
        /// Whether it writes.
        writes: bool,
        /// The rest of its text.
        shape: Box<str>,
    },
    /// Runs a prepared statement.
    Execute {
        /// The caller's name for it.
        name: Box<str>,
        /// The item and, for a write, the data.
        rest: Box<str>,
    },
    /// Discards a prepared statement.
    Deallocate {
        /// The caller's name for it.
        name: Box<str>,
    },
    /// Not recognised.
    Unknown,
}

/// The transaction state of a connection after an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Not in a transaction.
    #[default]
    Idle,
    /// In a transaction.
    Open,
    /// In a failed transaction; ending it rolls it back.
    Failed,
}

/// Why a statement was not done. All codes before `Failed` guarantee that nothing of it is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Code {
    /// Not run: overloaded.
    Busy,
    /// Not kept: the transaction was rolled back.
    RolledBack,
    /// Not run: the database's log has not reached the required position.
    Behind,
    /// Not run: the database is not the primary.
    NotPrimary,
    /// Not run: another database listens at the address.
    OtherDatabase,
    /// Not run: no connection is left.
    Full,
    /// Not run: no statement is prepared under that name.
    NoStatement,
    /// Not run: no route has that name.
    NoDatabase,
    /// Not run: the caller's key is not in the configuration.
    NoKey,
    /// Not run: not understood, or not allowed in this state.
    Malformed,
    /// Ran, and failed.
    Failed,
    /// May have run: not answered in time.
    Late,
    /// May have run: the answer was lost.
    Unknown,
}

impl Code {
    /// Whether this guarantees that nothing was run.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::Failed | Self::Late | Self::Unknown)
    }
}

/// How an answer ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Done, with the database's signature, or none if the proxy answered by itself.
    Done(Option<Box<str>>),
    /// Not done.
    Error {
        /// The reason.
        code: Code,
        /// A description for people.
        text: Box<str>,
    },
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The rows, each as received.
    pub rows: Vec<Bytes>,
    /// How it ended.
    pub end: End,
    /// The transaction state of the connection after it.
    pub state: State,
    /// The position of the database's log, if it reported one.
    pub position: Option<Position>,
}

/// The status that a database reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// Whether it considers itself the primary.
    pub primary: bool,
    /// The newest term that it knows of; a primary's is its own.
    pub term: crate::types::Term,
    /// The log position that it has received.
    pub received: Position,
}

/// A statement that the proxy sends by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Opens a transaction.
    Begin {
        /// Whether it may only read.
        read: bool,
        /// A position that the database's log must have reached.
        after: Option<Position>,
    },
    /// Rolls back the open transaction.
    Rollback,
    /// Sets a session value.
    Set {
        /// The value's name.
        name: Box<str>,
        /// The value.
        value: Box<str>,
    },
    /// Prepares a statement.
    Prepare {
        /// The name on this connection.
        name: Box<str>,
        /// Whether it writes.
        writes: bool,
        /// The rest of its text.
        shape: Box<str>,
    },
    /// Discards all session values and prepared statements.
    Reset,
    /// Asks for the database's status.
    Status,
    /// Makes the database a replica if it is primary of a lower term.
    StepDown(crate::types::Term),
}
