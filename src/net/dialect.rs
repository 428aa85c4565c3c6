//! Encoding of terms, orders and positions on a database connection.
//!
//! Only this module defines the encoding. It holds both directions, so that the stand-in
//! database writes what the proxy reads. Everything is sent in the PostgreSQL protocol, version 3.
//!
//! Requirements on a database:
//!
//! * **Users.** Work connections log in as [`WORK_USER`], control connections as
//!   [`CONTROL_USER`]. Control connections do not count against the connection limit, as
//!   PostgreSQL's reserved connections do not. A work connection above the limit is refused at
//!   startup with [`Refusal::Full`].
//! * **Orders.** An [`Order`] is the text of a simple query, such as `LENTIL RAISE 4` (see
//!   [`Statement`]). Its answer is one row of one text column, [`STATE_COLUMN`], that holds the
//!   [`State`] after the order as JSON ([`encode_state`]), or an error that [`Fault`] describes.
//!   `LENTIL REACH` answers once the log holds the position, or after a timeout of the database's
//!   choice with the state at that time; until then the connection takes no other order.
//! * **Declared terms.** `LENTIL TERM 4` declares that all further work on this connection is of
//!   term 4; `LENTIL TERM NONE` clears the declaration, which is the initial state. The
//!   declaration always succeeds (command tag [`TAG`]), so it can be sent ahead of the work
//!   without waiting. While the declared term is not the database's own, each statement is
//!   refused with [`Refusal::Term`] before any of it runs, `COMMIT` included; an open
//!   transaction is then aborted as after any error, and can only be rolled back.
//! * **Writes.** A statement that writes, on a database that is not open for writes, is refused
//!   with [`Refusal::ReadOnly`] before any of it runs.
//! * **Positions.** Before each ReadyForQuery of a work connection comes a ParameterStatus
//!   [`APPLIED`] with the position that the database has applied; and, if the work since the
//!   last ReadyForQuery committed a write, [`WROTE`] with the end of that write, as `TERM/OFFSET`.
//! * **Request keys.** The table [`REQUESTS_DDL`] exists. A second transaction that inserts the
//!   same key waits for the first to end, and then fails with [`DUPLICATE_KEY`]; if the database
//!   stops waiting before that, it fails with [`LOCK_BUSY`].

use crate::core::database::{Order, Refusal, State};
use crate::types::{Position, Term};
use std::fmt;
use std::str::FromStr;

/// The user name of connections that run callers' work.
pub const WORK_USER: &str = "lentilspoke";
/// The user name of connections that carry orders.
pub const CONTROL_USER: &str = "lentilspoke_control";
/// The command tag of an answered [`Statement`].
pub const TAG: &str = "LENTIL";
/// The column of the row that answers an order.
pub const STATE_COLUMN: &str = "state";
/// The parameter that reports how far a database has applied its log.
pub const APPLIED: &str = "lentil.applied";
/// The parameter that reports the log position at the end of a committed write.
pub const WROTE: &str = "lentil.wrote";
/// SQLSTATE of [`Refusal::Term`]; the DETAIL field holds the database's term as a number.
pub const WRONG_TERM: &str = "LT001";
/// SQLSTATE of [`Refusal::ReadOnly`], PostgreSQL's `read_only_sql_transaction`.
pub const READ_ONLY: &str = "25006";
/// SQLSTATE of [`Refusal::Full`], PostgreSQL's `too_many_connections`.
pub const FULL: &str = "53300";
/// SQLSTATE of [`Refusal::KeyBusy`], PostgreSQL's `lock_not_available`. It counts as a refusal
/// only in answer to the insert of a request key.
pub const LOCK_BUSY: &str = "55P03";
/// SQLSTATE of an insert whose key exists already, PostgreSQL's `unique_violation`.
pub const DUPLICATE_KEY: &str = "23505";
/// Creates the table of request keys in the group's own databases. `work` is a fingerprint of the
/// work that ran under the key, `answer` the backend messages of its answer in base64.
pub const REQUESTS_DDL: &str = "CREATE TABLE IF NOT EXISTS lentilspoke_requests (\
     caller text NOT NULL, request_key text NOT NULL, work text NOT NULL, answer text, \
     PRIMARY KEY (caller, request_key))";

/// Why a received text could not be parsed.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Invalid {
    /// The query is not a [`Statement`] of this module: it is work.
    #[error("`{0}` is not an order: send it as work")]
    Statement(Box<str>),
    /// The answer to an order could not be read.
    #[error("the state could not be read ({0}): check that the database's version is supported")]
    State(Box<str>),
    /// A position could not be read.
    #[error("`{0}` is not a position: check that the database's version is supported")]
    Position(Box<str>),
}

/// A statement to the database's term control, sent as the text of a simple query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Statement {
    /// An order about terms.
    Order(Order),
    /// Declares the term of the connection's work.
    Term(Option<Term>),
}

const PREFIX: &str = "LENTIL ";
const NO_TERM: &str = "NONE";
const QUOTED_LIMIT: usize = 40;

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(PREFIX)?;
        match self {
            Self::Order(Order::Report) => f.write_str("REPORT"),
            Self::Order(Order::Raise(term)) => write!(f, "RAISE {term}"),
            Self::Order(Order::Open(term)) => write!(f, "OPEN {term}"),
            Self::Order(Order::Reach(position)) => write!(f, "REACH {position}"),
            Self::Term(Some(term)) => write!(f, "TERM {term}"),
            Self::Term(None) => write!(f, "TERM {NO_TERM}"),
        }
    }
}

impl FromStr for Statement {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        read_statement(text)
            .ok_or_else(|| Invalid::Statement(text.chars().take(QUOTED_LIMIT).collect()))
    }
}

fn read_statement(text: &str) -> Option<Statement> {
    let rest = text.strip_prefix(PREFIX)?;
    let (verb, argument) = rest.split_once(' ').unwrap_or((rest, ""));
    let statement = match (verb, argument) {
        ("REPORT", "") => Statement::Order(Order::Report),
        ("RAISE", term) => Statement::Order(Order::Raise(term.parse().ok()?)),
        ("OPEN", term) => Statement::Order(Order::Open(term.parse().ok()?)),
        ("REACH", position) => Statement::Order(Order::Reach(position.parse().ok()?)),
        ("TERM", NO_TERM) => Statement::Term(None),
        ("TERM", term) => Statement::Term(Some(term.parse().ok()?)),
        _ => return None,
    };
    Some(statement)
}

/// The text of [`STATE_COLUMN`].
pub fn encode_state(state: &State) -> String {
    serde_json::to_string(state).unwrap_or_default()
}

/// Reads the text of [`STATE_COLUMN`].
pub fn decode_state(text: &str) -> Result<State, Invalid> {
    serde_json::from_str(text).map_err(|error| Invalid::State(error.to_string().into()))
}

/// The fields of the ErrorResponse that carries a refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The SQLSTATE.
    pub code: &'static str,
    /// The primary message, for people.
    pub message: Box<str>,
    /// The DETAIL field, which the proxy reads.
    pub detail: Option<Box<str>>,
}

/// Encodes `refusal` as a database sends it.
pub fn encode_refusal(refusal: Refusal) -> Fault {
    let (code, detail) = match refusal {
        Refusal::Term(term) => (WRONG_TERM, Some(term.to_string().into())),
        Refusal::ReadOnly => (READ_ONLY, None),
        Refusal::Full => (FULL, None),
        Refusal::KeyBusy => (LOCK_BUSY, None),
    };
    Fault {
        code,
        message: refusal.to_string().into(),
        detail,
    }
}

/// Decodes the refusal from an ErrorResponse's SQLSTATE and DETAIL; `None` for other errors.
pub fn decode_refusal(code: &str, detail: Option<&str>) -> Option<Refusal> {
    match code {
        WRONG_TERM => detail?.parse().ok().map(Refusal::Term),
        READ_ONLY => Some(Refusal::ReadOnly),
        FULL => Some(Refusal::Full),
        LOCK_BUSY => Some(Refusal::KeyBusy),
        _ => None,
    }
}

/// A log position that a database reports with an answer, as a ParameterStatus.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mark {
    /// How far the database has applied its log.
    Applied(Position),
    /// The end of the write that the work committed.
    Wrote(Position),
}

impl Mark {
    /// The name and the value of the ParameterStatus.
    pub fn parameter(self) -> (&'static str, String) {
        match self {
            Self::Applied(position) => (APPLIED, position.to_string()),
            Self::Wrote(position) => (WROTE, position.to_string()),
        }
    }

    /// Reads a ParameterStatus; `None` if it is about something else.
    pub fn read(name: &str, value: &str) -> Result<Option<Self>, Invalid> {
        let mark = match name {
            APPLIED => Self::Applied,
            WROTE => Self::Wrote,
            _ => return Ok(None),
        };
        let position = value
            .parse()
            .map_err(|_| Invalid::Position(value.chars().take(QUOTED_LIMIT).collect()))?;
        Ok(Some(mark(position)))
    }
}
