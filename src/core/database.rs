//! What the proxy orders of a database, and what it hears back.
//!
//! The dialect in which these travel is known to `net::dialect` alone.

use crate::core::lineage::Lineage;
use crate::core::request::Status;
use crate::types::{CallerId, ConnId, DatabaseId, Position, RequestId, RequestKey, Term};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An order to the connections of one database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Open a connection for work.
    Connect {
        /// The new connection's id.
        conn: ConnId,
        /// The database.
        database: DatabaseId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Run work on an open connection that has nothing else under way.
    Run {
        /// The connection.
        conn: ConnId,
        /// The work.
        run: Run,
    },
    /// Ask the database to cancel what a connection runs; its answer comes as ever.
    Cancel {
        /// The connection.
        conn: ConnId,
    },
    /// Close a connection at once; the database ends whatever it had open.
    Close {
        /// The connection.
        conn: ConnId,
    },
    /// Carry out an order about terms, on a connection apart from those for work. It is always
    /// answered by one `Event::Controlled`, after `timing.answer` at the latest.
    Control {
        /// Names the answer; never used twice in a process's life.
        id: RequestId,
        /// The database.
        database: DatabaseId,
        /// Where it listens.
        address: SocketAddr,
        /// What is ordered.
        order: Order,
    },
}

/// Work for one connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The request it belongs to.
    pub request: RequestId,
    /// The term under which it may run: a database of another term refuses it unrun. Reads on
    /// replicas carry none.
    pub term: Option<Term>,
    /// The caller, within whose work `key` is unique.
    pub caller: CallerId,
    /// Written in the same transaction as the work, with its result; work whose key is there
    /// already is not run, and gets the first result.
    pub key: Option<RequestKey>,
    /// The frontend messages.
    pub body: Bytes,
}

/// An order about terms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Report the state; changes nothing.
    Report,
    /// Raise the term to this strictly higher one, refuse lower terms, apply no older log.
    Raise(Term),
    /// Take writes in this term, which must be the database's own.
    Open(Term),
    /// Report as soon as the log holds this position, or when the database tires of waiting.
    Reach(Position),
}

/// What a database reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct State {
    /// The term that it was raised to.
    pub term: Term,
    /// The end of its log, whether applied or not: what it would bring to a promotion.
    pub position: Position,
    /// How far it has applied its log: what its readers see.
    pub applied: Position,
    /// Whether it takes writes in `term`.
    pub open: bool,
    /// The terms that its log went through.
    pub lineage: Lineage,
}

impl State {
    /// What the log would bring to a promotion: the term that it was opened in last, also where
    /// nothing has been written since, and its length.
    pub fn end(&self) -> Position {
        let opened = self.lineage.last().unwrap_or_default();
        Position::new(opened.max(self.position.term), self.position.offset)
    }
}

/// Why a database did not do what it was told. Nothing was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// Its term is another one.
    #[error("the database is in term {0}: order again with a higher one")]
    Term(Term),
    /// It is not open for writes, and the work writes.
    #[error("the database takes no writes: send the work to the primary")]
    ReadOnly,
    /// It has no connection left.
    #[error("the database has no connection left: wait for one")]
    Full,
    /// Another run under the same key has not ended.
    #[error("the request with this key is still running: ask again later")]
    KeyBusy,
}

/// What a database or its connection did.
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
        /// The database said no, for want of connections.
        full: bool,
    },
    /// Work ended with a whole answer.
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
    /// A connection is gone; what it ran last may or may not have taken effect.
    Closed {
        /// The connection.
        conn: ConnId,
    },
    /// A control order was answered.
    Controlled {
        /// The order's id.
        id: RequestId,
        /// What the database said; `None` if it could not be reached or did not answer.
        result: Option<Result<State, Refusal>>,
    },
}

/// A whole answer to work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The request that it answers.
    pub request: RequestId,
    /// The backend messages, without the closing ReadyForQuery.
    pub body: Bytes,
    /// What ReadyForQuery said.
    pub status: Status,
    /// How far the database had applied its log when it answered.
    pub applied: Position,
    /// The end of the write, if the work committed one.
    pub wrote: Option<Position>,
}
