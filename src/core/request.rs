//! Callers' requests, and their three possible outcomes.

use crate::clock::{Span, Time};
use crate::types::{CallerId, GroupId, Link, PoolId, Position, RequestKey, SessionId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A batch of protocol messages from one caller, up to the point where it waits for an answer.
#[derive(Debug, Clone)]
pub struct Request {
    /// The caller's connection; it has at most one request in flight.
    pub link: Link,
    /// The session whose writes its reads must see; `None` if the connection is a session of its
    /// own, which no other proxy serves.
    pub session: Option<SessionId>,
    /// The caller that sent it.
    pub caller: CallerId,
    /// The pool selected by its user name and group.
    pub pool: PoolId,
    /// The group addressed.
    pub group: GroupId,
    /// What the batch does.
    pub kind: Kind,
    /// The age that the caller accepts for this read, or its pool's if the caller sets none; `None`
    /// if its session's floor decides.
    pub max_age: Option<Span>,
    /// A key with which the outcome of a write can be queried again.
    pub key: Option<RequestKey>,
    /// A floor from a valid token that the caller sent.
    pub token_floor: Option<Position>,
    /// The time after which the caller does not use an answer.
    pub deadline: Time,
    /// The frontend messages to send to the database.
    pub body: Bytes,
}

/// What a batch does, as far as its text shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// It only reads; any database that is new enough can run it.
    Read,
    /// It may write; the primary runs it.
    Write,
    /// It opens a transaction that only reads.
    BeginRead,
    /// It opens a transaction that may write.
    Begin,
    /// It belongs to the transaction that the connection has open.
    Continue,
}

/// Priority classes, in the order in which they are served when a database is busy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Bookings, submissions, amendments, and transactions that may write.
    Confirm,
    /// Reads that must see the session's own writes.
    Session,
    /// Reads of a stated age.
    Aged,
    /// Long-running work.
    Long,
}

/// The outcome that a caller gets for a request, exactly once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The database's whole answer.
    Done(Done),
    /// Nothing was run: the request can be sent again.
    NotRun(NotRun),
    /// It may or may not have been run.
    Unknown(Unknown),
}

/// A database's whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Done {
    /// The backend messages, without the closing ReadyForQuery.
    pub body: Bytes,
    /// The transaction status from ReadyForQuery.
    pub status: Status,
    /// The log position at the end of the session's own write, if it wrote.
    pub wrote: Option<Position>,
    /// Whether a replica answered.
    pub replica: bool,
}

/// The state of a database connection's transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and has failed.
    Failed,
}

/// Why a request was not run, and when to retry it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct NotRun {
    /// The cause.
    pub cause: Cause,
    /// The delay before a retry is useful.
    pub retry_after: Span,
}

/// Causes of "not run". The message states the remedy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The queue's wait would be longer than the caller's deadline.
    #[error("the database is busy: send the request again after the stated time")]
    Busy,
    /// The group has no primary open for writes at the moment.
    #[error("the group is changing its primary: send the request again after the stated time")]
    NoPrimary,
    /// No database that is new enough could be reached.
    #[error("no database is new enough for this read: send it again, or accept a greater age")]
    Behind,
    /// The deadline passed before it was started.
    #[error("the request's time ran out before it was started: send it again")]
    Expired,
    /// The proxy is stopping.
    #[error("this proxy is stopping: connect again and send the request again")]
    Stopping,
    /// No such group, or no pool of it serves this caller.
    #[error("no pool serves this caller and database: check the configuration's pools")]
    NoPool,
    /// The database refused it before running it.
    #[error("the database refused the statement unrun: send it again")]
    Refused,
    /// The transaction's connection or primary was lost; the transaction is rolled back.
    #[error("the transaction was rolled back: run it again from its start")]
    RolledBack,
    /// A write of this session was lost in a failover. Reported once.
    #[error(
        "a write of this session was lost when the primary was replaced: check what the session wrote and write it again"
    )]
    Lost,
}

/// Why an outcome is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Unknown {
    /// The connection broke or stopped answering after the work was sent.
    #[error(
        "the connection to the database broke while the work ran: read back, or ask with the request key"
    )]
    Broken,
    /// The primary answered but may have been replaced by then.
    #[error(
        "the primary may have been replaced when it answered: read back, or ask with the request key"
    )]
    Unconfirmed,
    /// Too few databases received the write in time.
    #[error("too few replicas had the write in time: read back, or ask with the request key")]
    Unreplicated,
    /// The proxy that ran it could not be reached any more.
    #[error("the proxy that ran the work was lost: read back, or ask with the request key")]
    PeerLost,
    /// An earlier request under the same key has not ended.
    #[error("an earlier request with this key is still running: ask again with the key")]
    KeyBusy,
}
