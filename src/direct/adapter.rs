//! What varies with the platform, as functions and closures.

use crate::clock::{Span, Time};
use crate::direct::config::{Config, Database};
use crate::direct::statement::{Answer, Message, Order, Query, Status};
use crate::direct::table::{Ask, Fault, RowId, Told};
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
    /// Not a message.
    #[error("not a message: {0}")]
    Unclear(Box<str>),
}

/// The platform's way of speaking to callers and databases. Readers take a whole message off the
/// front of `input`, or leave it as it is and return none.
#[derive(Debug, Clone, Copy)]
pub struct Wire {
    /// Reads a caller's next message. One that is garbled is taken off too.
    pub read_message: fn(input: &mut BytesMut) -> Result<Option<Message>, Garbled>,
    /// Writes an answer to a caller; without `query` it answers the start of the session.
    pub write_answer: fn(output: &mut BytesMut, answer: &Answer, started: bool),
    /// Writes the start of a session at a database of this group, which must have this id, on behalf
    /// of an organisation or of nobody in particular.
    pub write_start: fn(
        output: &mut BytesMut,
        group: &GroupId,
        database: &DatabaseId,
        organisation: Option<&OrganisationId>,
    ),
    /// Writes a caller's statement; `name` takes the place of a prepared statement's name, and the
    /// log must have `after`.
    pub write_query:
        fn(output: &mut BytesMut, query: &Query, name: Option<&str>, after: Option<Position>),
    /// Writes a statement of our own.
    pub write_order: fn(output: &mut BytesMut, order: &Order),
    /// Writes the end of a session at a database.
    pub write_bye: fn(output: &mut BytesMut),
    /// Reads a database's whole answer: to the start of the session (which has no end of its
    /// own but an error's) if `starting`, else to a statement.
    pub read_answer: fn(input: &mut BytesMut, starting: bool) -> Result<Option<Answer>, Garbled>,
    /// Reads the rows that answer [`Order::Status`].
    pub read_status: fn(answer: &Answer) -> Option<Status>,
}

/// Where the platform keeps what it tells us, and how to read it.
#[derive(Debug, Clone)]
pub struct Documents {
    /// The row of the configuration.
    pub config: RowId,
    /// The table in which databases register.
    pub register: Box<str>,
    /// Reads the configuration.
    pub read_config: fn(value: &[u8]) -> Result<Config, Box<str>>,
    /// Reads a database's entry, registered under `key`.
    pub read_database: fn(key: &str, value: &[u8]) -> Result<Database, Box<str>>,
}

/// An order that the platform makes a database the primary of its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promotion {
    /// The group.
    pub group: GroupId,
    /// The database that shall lead.
    pub database: DatabaseId,
    /// Who gives the order.
    pub holder: VmId,
    /// The fencing token of the holder's duty.
    pub token: u64,
    /// When to break the connection off, as the order must not arrive later.
    pub deadline: Time,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Promoted {
    /// The database leads, now or within a moment.
    Done,
    /// It is not running: choose another.
    NotRunning,
    /// Not done: ask again later.
    Refused,
    /// It may be done: ask again for the same database.
    Unknown,
}

/// A future on this thread.
pub type Later<T> = LocalBoxFuture<'static, T>;
/// Calls the store; an answer that has not begun to come after the span, or stops coming, counts as lost. How long
/// one takes that comes depends on its length and the link.
pub type CallStore = Rc<dyn Fn(Ask, Span) -> Later<Result<Told, Fault>>>;
/// Orders a promotion.
pub type Promote = Rc<dyn Fn(Promotion) -> Later<Promoted>>;
/// Connects to an address within the span.
pub type Connect = Rc<dyn Fn(SocketAddr, Span) -> Later<std::io::Result<Box<dyn Stream>>>>;
/// Reads the clock that counts pauses.
pub type Clock = Rc<dyn Fn() -> Time>;

/// What a platform's adapter is built from: where the platform is, and what the system gives.
#[derive(Clone)]
pub struct Outside {
    /// The store's address.
    pub store: SocketAddr,
    /// Where orders go.
    pub orders: SocketAddr,
    /// Opens connections.
    pub connect: Connect,
    /// Opens connections that are reset as they are closed, so that nothing arrives later.
    pub abrupt: Connect,
    /// The time.
    pub clock: Clock,
}

impl fmt::Debug for Outside {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Outside").finish_non_exhaustive()
    }
}

/// Builds a platform's adapter.
pub type Build = fn(Outside) -> Adapter;

/// All that the product needs of its platform.
#[derive(Clone)]
pub struct Adapter {
    /// How callers and databases speak.
    pub wire: Wire,
    /// What the platform tells.
    pub documents: Documents,
    /// The store.
    pub store: CallStore,
    /// The order to promote.
    pub promote: Promote,
    /// Connections to databases.
    pub connect: Connect,
    /// The time.
    pub clock: Clock,
}

impl fmt::Debug for Adapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Adapter").finish_non_exhaustive()
    }
}
