//! The interface to a platform, as plain functions and closures.

use crate::clock::{Span, Time};
use crate::direct::config::{Config, Database};
use crate::direct::statement::{Answer, Message, Order, Query, Standing};
use crate::direct::table::{Command, Fault, Response, RowId};
use crate::types::{DatabaseId, GroupId, OrganisationId, Position, VmId};
use bytes::BytesMut;
use futures_util::future::LocalBoxFuture;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};

/// A connection to a database, or of a caller.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// Why a message could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Garbled {
    /// Longer than a message may be.
    #[error("a message is longer than {0} bytes: send less at once")]
    Long(usize),
    /// Not a valid message.
    #[error("not a message: {0}")]
    Unclear(Box<str>),
}

/// The platform's wire protocol to callers and databases. The readers remove one complete message from the
/// front of `input`, or leave it unchanged and return `None`.
#[derive(Debug, Clone, Copy)]
pub struct Wire {
    /// Reads a caller's next message. A garbled message is removed too.
    pub read_message: fn(input: &mut BytesMut) -> Result<Option<Message>, Garbled>,
    /// Writes an answer to a caller: to a statement if `started`, otherwise to the start of the session.
    pub write_answer: fn(output: &mut BytesMut, answer: &Answer, started: bool),
    /// Writes the start of a session at a database, which must be of this group and have this id, on behalf
    /// of an organisation if there is one.
    pub write_start: fn(
        output: &mut BytesMut,
        group: &GroupId,
        database: &DatabaseId,
        organisation: Option<&OrganisationId>,
    ),
    /// Writes a caller's statement; `name` replaces a prepared statement's name, and the database's log must
    /// have reached `after`.
    pub write_query:
        fn(output: &mut BytesMut, query: &Query, name: Option<&str>, after: Option<Position>),
    /// Writes a statement of the proxy itself.
    pub write_order: fn(output: &mut BytesMut, order: &Order),
    /// Writes the end of a session at a database.
    pub write_bye: fn(output: &mut BytesMut),
    /// Reads a database's complete answer: to the start of the session if `starting` (which ends explicitly
    /// only with an error), otherwise to a statement.
    pub read_answer: fn(input: &mut BytesMut, starting: bool) -> Result<Option<Answer>, Garbled>,
    /// Reads the rows that answer [`Order::Status`].
    pub read_status: fn(answer: &Answer) -> Option<Standing>,
}

/// Where the platform stores its configuration and register, and how to decode them.
#[derive(Debug, Clone)]
pub struct Documents {
    /// The row of the configuration.
    pub config: RowId,
    /// The table in which databases register.
    pub register: Box<str>,
    /// Decodes the configuration.
    pub read_config: fn(value: &[u8]) -> Result<Config, Box<str>>,
    /// Decodes a database's entry, registered under `key`.
    pub read_database: fn(key: &str, value: &[u8]) -> Result<Database, Box<str>>,
}

/// An order to the platform to make a database the primary of its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promotion {
    /// The group.
    pub group: GroupId,
    /// The database to promote.
    pub database: DatabaseId,
    /// The VM that gives the order.
    pub holder: VmId,
    /// The fencing token of the holder's duty.
    pub token: u64,
    /// When to reset the connection, as the order must not arrive later.
    pub deadline: Time,
}

/// The outcome of a promotion order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Promoted {
    /// The database leads, or will within a moment.
    Done,
    /// The database is not running: choose another.
    NotRunning,
    /// The order had no effect: ask again later.
    Refused,
    /// The order may have taken effect: ask again for the same database.
    Unknown,
}

/// A future on this thread.
pub type LocalFuture<T> = LocalBoxFuture<'static, T>;
/// Calls the store. An answer that has not begun to arrive after the span, or stops arriving, counts as lost;
/// one that arrives may take longer, depending on its length and the link.
pub type CallStore = Rc<dyn Fn(Command, Span) -> LocalFuture<Result<Response, Fault>>>;
/// Orders a promotion.
pub type Promote = Rc<dyn Fn(Promotion) -> LocalFuture<Promoted>>;
/// Connects to an address within the span.
pub type Connect = Rc<dyn Fn(SocketAddr, Span) -> LocalFuture<std::io::Result<Box<dyn Stream>>>>;
/// Reads the clock, which also advances while the VM is paused.
pub type Clock = Rc<dyn Fn() -> Time>;

/// The environment from which a platform's adapter is built: the platform's addresses, and system functions.
#[derive(Clone)]
pub struct Environment {
    /// The store's address.
    pub store: SocketAddr,
    /// The address for promotion orders.
    pub orders: SocketAddr,
    /// Opens connections.
    pub connect: Connect,
    /// Opens connections that are reset when closed, so that nothing arrives later.
    pub connect_with_reset: Connect,
    /// The clock.
    pub clock: Clock,
}

impl fmt::Debug for Environment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Environment").finish_non_exhaustive()
    }
}

/// Builds a platform's adapter.
pub type Build = fn(Environment) -> Adapter;

/// The adapter to a platform: everything that depends on it.
#[derive(Clone)]
pub struct Adapter {
    /// The wire protocol of callers and databases.
    pub wire: Wire,
    /// The configuration and the register.
    pub documents: Documents,
    /// Calls the store.
    pub store: CallStore,
    /// Orders a promotion.
    pub promote: Promote,
    /// Opens connections to databases and other VMs.
    pub connect: Connect,
    /// The clock.
    pub clock: Clock,
}

impl fmt::Debug for Adapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Adapter").finish_non_exhaustive()
    }
}
