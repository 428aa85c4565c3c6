//! What callers ask and databases answer, in the product's own words.
//!
//! A statement keeps its text as it came: a database has to be sent the same bytes.

use crate::direct::identity::Key;
use crate::types::Position;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One message of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Opens the session.
    Start {
        /// The database that the caller names; a route's host.
        database: Box<str>,
        /// The key that it shows.
        key: Key,
    },
    /// Asks for a statement to be run.
    Query(Query),
    /// Ends the session.
    Bye,
}

/// One statement of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The caller's id of it, which travels with it to the database.
    pub id: Box<str>,
    /// Its text, unchanged.
    pub text: Box<str>,
    /// What it does.
    pub statement: Statement,
}

/// What a statement does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction, `read` only or not.
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
    /// Forgets a prepared statement.
    Deallocate {
        /// The caller's name for it.
        name: Box<str>,
    },
    /// Nothing that is known.
    Unknown,
}

/// Where a connection stands after an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// In no transaction.
    #[default]
    Idle,
    /// In a transaction.
    Open,
    /// In a transaction that failed; ending it rolls back.
    Failed,
}

/// Why a statement was not done. The first group are promises: nothing of it is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Code {
    /// Not run: too much to do.
    Busy,
    /// Not kept: the transaction was rolled back.
    RolledBack,
    /// Not run: the log is not far enough.
    Behind,
    /// Not run: the database does not lead.
    NotPrimary,
    /// Not run: another database listens there.
    OtherDatabase,
    /// Not run: no connection is left.
    Full,
    /// Not run: the prepared name is not known.
    NoStatement,
    /// Not run: no route has that name.
    NoDatabase,
    /// Not run: nobody holds the caller's key.
    NoKey,
    /// Not run: not understood, or not allowed in this state.
    Malformed,
    /// Ran and failed.
    Failed,
    /// May have run: not answered in time.
    Late,
    /// May have run: the answer was lost.
    Unknown,
}

impl Code {
    /// Whether this tells that nothing was run.
    pub fn is_not_run(self) -> bool {
        !matches!(self, Self::Failed | Self::Late | Self::Unknown)
    }
}

/// How an answer ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Done, with the database's signature, or none for what the proxy did itself.
    Done(Option<Box<str>>),
    /// Not done.
    Error {
        /// Why.
        code: Code,
        /// More about it, for people.
        text: Box<str>,
    },
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The rows, each as it came.
    pub rows: Vec<Bytes>,
    /// How it ended.
    pub end: End,
    /// Where the connection stands now.
    pub state: State,
    /// How far the database's log was, if it said so.
    pub position: Option<Position>,
}

/// What a database says of itself when asked for its standing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// Whether it takes itself for the primary.
    pub primary: bool,
    /// The newest term that it knows of; a primary's is its own.
    pub term: crate::types::Term,
    /// How far it has received the log.
    pub received: Position,
}

/// A statement of the proxy's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Opens a transaction.
    Begin {
        /// Whether it may only read.
        read: bool,
        /// A position that the log must have.
        after: Option<Position>,
    },
    /// Rolls the open transaction back.
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
    /// Forgets values and prepared names.
    Reset,
    /// Asks how the database stands.
    Standing,
    /// Makes a primary of a lower term a replica.
    StepDown(crate::types::Term),
}
