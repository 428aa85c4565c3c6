//! Errors that the proxy itself sends to callers, each with an SQLSTATE, a cause and a remedy.
//!
//! The proxy's own SQLSTATEs are of class `LS`. The third character states whether the request
//! was run, so that a program can decide by it alone:
//!
//! | SQLSTATE | the request | cause |
//! | --- | --- | --- |
//! | `LS101` to `LS108` | was **not run** and may be sent again | busy, no primary, behind, expired, stopping, no pool, refused, rolled back |
//! | `LS201` to `LS205` | has an **unknown outcome** | connection broke, primary replaced, too few replicas, proxy lost, key in use |
//! | `LS301` | was not run; an earlier write of the session is **lost** | failover |
//!
//! The message holds the cause and the remedy, DETAIL whether the request was run, and HINT when
//! to retry. Other errors use PostgreSQL's own codes.

use crate::clock::Span;
use crate::core::request::{Cause, NotRun, Unknown};
use crate::net::frame::Malformed;
use crate::sql::Refused;
use crate::token;
use pgwire::error::ErrorInfo;
use pgwire::messages::response::ErrorResponse;

/// Why the proxy answers with an error of its own.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The core did not run the request.
    #[error("{}", .0.cause)]
    NotRun(NotRun),
    /// The core does not know whether the request was run.
    #[error("{0}")]
    Unknown(Unknown),
    /// The statement is not allowed on a pooled connection.
    #[error("{0}")]
    Refused(Refused),
    /// The bytes are not a valid message of the protocol.
    #[error("{0}")]
    Malformed(Malformed),
    /// The value is not valid for the setting.
    #[error("{setting}: {reason}")]
    Value {
        /// The setting.
        setting: Box<str>,
        /// What is wrong with the value, and the remedy.
        reason: Box<str>,
    },
    /// The session token was not issued under this proxy's key.
    #[error("{0}")]
    Token(token::Invalid),
    /// A `SET lentilspoke...` among other statements of one query.
    #[error("the proxy's settings can't be mixed with other statements: send them by themselves")]
    Mixed,
    /// A request key was used with a transaction, but it covers only one statement.
    #[error(
        "a request key covers one statement or query outside a transaction: RESET lentilspoke.request first"
    )]
    KeyInTransaction,
    /// A message names a prepared statement that was never prepared.
    #[error("prepared statement \"{0}\" does not exist: prepare it first")]
    NoStatement(Box<str>),
    /// The caller has too many prepared statements.
    #[error("too many prepared statements on this connection: close some")]
    Statements,
    /// A Flush inside an implicit transaction.
    #[error("Flush after Execute is not supported outside a transaction: use Sync, or BEGIN")]
    Flush,
    /// The caller's transaction has failed.
    #[error("current transaction is aborted: roll it back, and run it again from its start")]
    Aborted,
    /// One caller sent too large a batch.
    #[error("too much was sent at once: send smaller batches")]
    TooLarge,
    /// The buffers of all callers together are full.
    #[error("this proxy is short of memory: send the request again later")]
    Memory,
    /// The maximum number of callers is connected.
    #[error("this proxy has too many callers: connect again later, or to another proxy")]
    Callers,
    /// The proxy is stopping.
    #[error("this proxy is stopping: connect again")]
    Dismissed,
    /// The protocol version is not supported.
    #[error("protocol {major}.{minor} is not supported: use protocol 3.0")]
    Protocol {
        /// The major version.
        major: u16,
        /// The minor version.
        minor: u16,
    },
    /// A field of the startup message is missing or invalid.
    #[error("startup: {0}")]
    Startup(Box<str>),
    /// No pool serves the caller's user and database.
    #[error(
        "no pool serves this user and database: check the names, and the configuration's pools"
    )]
    NoPool,
}

impl Fault {
    /// The SQLSTATE.
    pub fn code(&self) -> &'static str {
        match self {
            Self::NotRun(not_run) => not_run_code(not_run.cause),
            Self::Unknown(unknown) => unknown_code(*unknown),
            Self::Refused(refused) => refused.code(),
            Self::Malformed(_) => "08P01",
            Self::Value { .. } => "22023",
            Self::Token(_) => "28000",
            Self::Mixed | Self::Flush | Self::KeyInTransaction | Self::Protocol { .. } => "0A000",
            Self::NoStatement(_) => "26000",
            Self::Statements | Self::TooLarge => "54000",
            Self::Aborted => "25P02",
            Self::Memory => "53200",
            Self::Callers => "53300",
            Self::Dismissed => "57P01",
            Self::Startup(_) => "08P01",
            Self::NoPool => not_run_code(Cause::NoPool),
        }
    }

    fn detail(&self) -> Option<&'static str> {
        match self {
            Self::NotRun(_) | Self::NoPool | Self::Memory => Some("Nothing was run."),
            Self::Unknown(_) => Some("The work may or may not have been run."),
            _ => None,
        }
    }

    fn hint(&self) -> Option<String> {
        match self {
            Self::NotRun(not_run) if not_run.retry_after > Span::ZERO => {
                Some(format!("Retry after {}.", not_run.retry_after))
            }
            Self::NotRun(_) => Some("Retry at once.".to_owned()),
            _ => None,
        }
    }

    /// The message for the caller, with severity FATAL if the connection is closed after it.
    pub fn response(&self, fatal: bool) -> ErrorResponse {
        let severity = if fatal { "FATAL" } else { "ERROR" };
        let mut info = ErrorInfo::new(severity.into(), self.code().into(), self.to_string());
        info.detail = self.detail().map(str::to_owned);
        info.hint = self.hint();
        info.into()
    }
}

impl From<Malformed> for Fault {
    fn from(malformed: Malformed) -> Self {
        Self::Malformed(malformed)
    }
}

fn not_run_code(cause: Cause) -> &'static str {
    match cause {
        Cause::Busy => "LS101",
        Cause::NoPrimary => "LS102",
        Cause::Behind => "LS103",
        Cause::Expired => "LS104",
        Cause::Stopping => "LS105",
        Cause::NoPool => "LS106",
        Cause::Refused => "LS107",
        Cause::RolledBack => "LS108",
        Cause::Lost => "LS301",
    }
}

fn unknown_code(unknown: Unknown) -> &'static str {
    match unknown {
        Unknown::Broken => "LS201",
        Unknown::Unconfirmed => "LS202",
        Unknown::Unreplicated => "LS203",
        Unknown::PeerLost => "LS204",
        Unknown::KeyBusy => "LS205",
    }
}
