//! Commands that the proxy sends to a database, and the events that come back.
//!
//! Only `net::dialect` knows their encoding on the wire.

use crate::core::lineage::Lineage;
use crate::core::request::Status;
use crate::types::{CallerId, ConnId, DatabaseId, Position, RequestId, RequestKey, Term};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A command to the connections of one database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Opens a connection for work.
    Connect {
        /// The new connection's id.
        conn: ConnId,
        /// The database.
        database: DatabaseId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Runs work on an open, idle connection.
    Run {
        /// The connection.
        conn: ConnId,
        /// The work.
        run: Run,
    },
    /// Asks the database to cancel what a connection runs. The work is still answered.
    Cancel {
        /// The connection.
        conn: ConnId,
    },
    /// Closes a connection at once. The database rolls back its open transaction.
    Close {
        /// The connection.
        conn: ConnId,
    },
    /// Carries out an order about terms on a separate connection. It is always answered by one
    /// `Event::Controlled`, after `timing.answer` at the latest.
    Control {
        /// Identifies the answer; unique within a process's life.
        id: RequestId,
        /// The database.
        database: DatabaseId,
        /// Where it listens.
        address: SocketAddr,
        /// The order.
        order: Order,
    },
}

/// Work for one connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The request it belongs to.
    pub request: RequestId,
    /// The term under which it may run; a database in another term refuses it without running
    /// it. `None` for reads on replicas.
    pub term: Option<Term>,
    /// The caller; `key` is unique per caller.
    pub caller: CallerId,
    /// Stored with the result in the same transaction as the work. Work whose key is already
    /// stored is not run again and gets the first result.
    pub key: Option<RequestKey>,
    /// The frontend messages.
    pub body: Bytes,
}

/// An order about terms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Report the state without changing it.
    Report,
    /// Raise the term to this strictly higher one, refuse lower terms, apply no older log.
    Raise(Term),
    /// Take writes in this term, which must be the database's own.
    Open(Term),
    /// Report as soon as the log holds this position, or when the database stops waiting.
    Reach(Position),
}

/// The state that a database reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct State {
    /// The term that it was raised to.
    pub term: Term,
    /// The end of its log, applied or not.
    pub position: Position,
    /// How far it has applied its log, which is what its readers see.
    pub applied: Position,
    /// Whether it takes writes in `term`.
    pub open: bool,
    /// The terms in which its log was written.
    pub lineage: Lineage,
}

impl State {
    /// The position by which promotions compare logs: the last term that the log was opened in,
    /// even if nothing has been written since, and the log's length.
    pub fn end(&self) -> Position {
        let opened = self.lineage.last().unwrap_or_default();
        Position::new(opened.max(self.position.term), self.position.offset)
    }
}

/// Why a database refused a command. Nothing was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// It is in another term.
    #[error("the database is in term {0}: order again with a higher one")]
    Term(Term),
    /// The work writes, and it is not open for writes.
    #[error("the database takes no writes: send the work to the primary")]
    ReadOnly,
    /// It has no connection left.
    #[error("the database has no connection left: wait for one")]
    Full,
    /// Another run under the same key has not ended.
    #[error("the request with this key is still running: ask again later")]
    KeyBusy,
}

/// An event of a database or one of its connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A connection is ready for work.
    Connected {
        /// The connection.
        conn: ConnId,
    },
    /// A connection could not be opened.
    ConnectFailed {
        /// The connection.
        conn: ConnId,
        /// The database refused because it has no connection left.
        full: bool,
    },
    /// Work ended with a complete answer.
    Answered {
        /// The connection.
        conn: ConnId,
        /// The answer.
        reply: Reply,
    },
    /// The database refused work before running any of it.
    Refused {
        /// The connection, in sync again.
        conn: ConnId,
        /// The request.
        request: RequestId,
        /// Why.
        refusal: Refusal,
    },
    /// A connection was closed; its last work may or may not have taken effect.
    Closed {
        /// The connection.
        conn: ConnId,
    },
    /// A control order was answered.
    Controlled {
        /// The order's id.
        id: RequestId,
        /// The database's answer; `None` if it could not be reached or did not answer.
        result: Option<Result<State, Refusal>>,
    },
}

/// A complete answer to work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The request that it answers.
    pub request: RequestId,
    /// The backend messages, without the closing ReadyForQuery.
    pub body: Bytes,
    /// The transaction status of ReadyForQuery.
    pub status: Status,
    /// How far the database had applied its log when it answered.
    pub applied: Position,
    /// The end of the write, if the work committed one.
    pub wrote: Option<Position>,
}
