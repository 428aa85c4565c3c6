//! The platform's services: the table with compare-and-set, the object store, the VM list.
//!
//! Only this module calls them; `standin::platform` implements them for tests and demos. Each call has
//! a deadline. After an error, a write may or may not have taken effect.

pub mod apply;
pub mod watch;

use crate::clock::Span;
use crate::config::{Accepted, Damaged};
use crate::core::member::Member;
use crate::net::rpc;
use crate::types::{ApplyId, Version};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

/// How long one call may take. The platform answers in a few milliseconds; a call that takes longer
/// than this is better sent to another address.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The row that names the configuration in force.
pub const CONFIG_ROW: &str = "config";

/// How many accepted versions the row records, to find the outcome of a write whose answer was lost. At
/// 1,200 changes a day, 64 cover an hour, longer than anyone waits for an answer.
pub const MAX_PAST_VERSIONS: usize = 64;

/// A request to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Reads a row, unless its version is the known one.
    Read {
        /// The key of the row.
        key: Box<str>,
        /// The version that the caller has.
        known: Version,
    },
    /// Writes a row if its version is the expected one (0: there is none).
    Write {
        /// The key of the row.
        key: Box<str>,
        /// The version that it must have.
        expected: Version,
        /// Its new value; the version increases by one.
        value: Bytes,
    },
    /// Reads an object.
    Fetch(Box<str>),
    /// Writes an object.
    Store {
        /// Its name.
        name: Box<str>,
        /// Its value.
        bytes: Bytes,
    },
    /// Removes an object.
    Remove(Box<str>),
    /// Reads the list of VMs, unless its version is the known one.
    List(Version),
}

/// The platform's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The version is still the known one.
    Unchanged,
    /// The current row, as the result of a read or of a write that expected another version.
    Row(Row),
    /// The row was written and has this version.
    Written(Version),
    /// The object, if there is one.
    Object(Option<Bytes>),
    /// The object was written or removed.
    Done,
    /// The list of VMs.
    Members(Listed),
}

/// A row of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// 0 if the row does not exist.
    pub version: Version,
    /// Its value.
    pub value: Bytes,
}

/// The platform's list of VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Increases with each change of the list.
    pub version: Version,
    /// The VMs, live and leaving.
    pub members: Vec<Member>,
}

/// The value of [`CONFIG_ROW`]: the accepted attempts, the one in force last.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Head {
    past: Vec<Past>,
}

/// One accepted version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Past {
    /// The version.
    pub version: Version,
    /// The attempt that was accepted as this version; its document is the object `config/ID`.
    pub apply: ApplyId,
}

impl Past {
    fn object(&self) -> Box<str> {
        format!("config/{}", self.apply).into()
    }
}

impl Head {
    /// The attempt in force; `None` before the first document.
    pub fn last(&self) -> Option<Past> {
        self.past.last().copied()
    }

    /// The version in force.
    pub fn version(&self) -> Version {
        self.last().map(|past| past.version).unwrap_or_default()
    }

    fn read(row: &Row) -> Result<Self, Error> {
        if row.version == Version(0) {
            return Ok(Self::default());
        }
        serde_json::from_slice(&row.value).map_err(|error| Error::Garbled(error.to_string().into()))
    }
}

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No answer. A write may have taken effect.
    #[error("the platform does not answer ({0}): ask again once it does")]
    Unavailable(Box<str>),
    /// The answer could not be parsed, or is of the wrong kind.
    #[error("the platform's answer is not understood ({0}): check that the versions fit")]
    Garbled(Box<str>),
    /// A stored document is damaged.
    #[error(transparent)]
    Damaged(#[from] Damaged),
}

impl From<Status> for Error {
    fn from(status: Status) -> Self {
        match status.code() {
            Code::InvalidArgument | Code::Unimplemented => Self::Garbled(status.message().into()),
            _ => Self::Unavailable(status.message().into()),
        }
    }
}

/// A client of the platform's services.
#[derive(Debug)]
pub struct Client {
    addresses: Box<[SocketAddr]>,
    current: Cell<usize>,
    channel: RefCell<Option<Channel>>,
}

impl Client {
    /// Creates a client that calls the first address, and moves to the next one after each failed call.
    pub fn new(addresses: impl Into<Box<[SocketAddr]>>) -> Self {
        Self {
            addresses: addresses.into(),
            current: Cell::new(0),
            channel: RefCell::new(None),
        }
    }

    /// Makes one call, in at most [`CALL_TIMEOUT`].
    pub async fn call(&self, call: Call) -> Result<Answer, Error> {
        let channel = self.channel()?;
        let answer = tokio::time::timeout(CALL_TIMEOUT, rpc::call(channel, call)).await;
        let answer = answer.unwrap_or_else(|_| Err(Status::unavailable("no answer in time")));
        answer.map_err(|status| {
            self.switch_address();
            status.into()
        })
    }

    /// The configuration in force, unless its version is `known`.
    pub async fn config(&self, known: Version) -> Result<Option<Accepted>, Error> {
        let Some(head) = self.head(known).await? else {
            return Ok(None);
        };
        match head.last() {
            Some(past) if past.version > known => self.document(past).await.map(Some),
            _ => Ok(None),
        }
    }

    /// The VM list, unless its version is `known`.
    pub async fn members(&self, known: Version) -> Result<Option<Listed>, Error> {
        match self.call(Call::List(known)).await? {
            Answer::Unchanged => Ok(None),
            Answer::Members(listed) => Ok(Some(listed)),
            other => Err(unexpected(&other)),
        }
    }

    async fn head(&self, known: Version) -> Result<Option<Head>, Error> {
        let key = CONFIG_ROW.into();
        match self.call(Call::Read { key, known }).await? {
            Answer::Unchanged => Ok(None),
            Answer::Row(row) => Head::read(&row).map(Some),
            other => Err(unexpected(&other)),
        }
    }

    async fn document(&self, past: Past) -> Result<Accepted, Error> {
        match self.call(Call::Fetch(past.object())).await? {
            Answer::Object(Some(bytes)) => {
                let mut accepted = Accepted::unpack(&bytes)?;
                accepted.version = past.version;
                Ok(accepted)
            }
            other => Err(unexpected(&other)),
        }
    }

    fn channel(&self) -> Result<Channel, Error> {
        let mut channel = self.channel.borrow_mut();
        if let Some(channel) = channel.as_ref() {
            return Ok(channel.clone());
        }
        let address = self.addresses.get(self.current.get());
        let address = address.ok_or_else(|| Error::Unavailable("it has no address".into()))?;
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| Error::Unavailable(error.to_string().into()))?;
        let new = endpoint
            .tcp_nodelay(true)
            .connect_timeout(CALL_TIMEOUT)
            .connect_lazy();
        *channel = Some(new.clone());
        Ok(new)
    }

    /// Drops the connection, which may have gone silent for good, and moves to the next address.
    fn switch_address(&self) {
        let next = (self.current.get() + 1) % self.addresses.len().max(1);
        self.current.set(next);
        *self.channel.borrow_mut() = None;
    }
}

fn unexpected(answer: &Answer) -> Error {
    let kind = match answer {
        Answer::Unchanged => "nothing changed",
        Answer::Row(_) => "a row",
        Answer::Written(_) => "a write",
        Answer::Object(None) => "the object is missing",
        Answer::Object(Some(_)) => "an object",
        Answer::Done => "done",
        Answer::Members(_) => "a list",
    };
    Error::Garbled(kind.into())
}

/// Returns `span` with a random jitter of up to a quarter, so that VMs don't call at the same time.
fn jittered(span: Span) -> Duration {
    const JITTER: f64 = 0.25;
    let factor = 1.0 - JITTER + 2.0 * JITTER * rand::random::<f64>();
    Duration::from(span).mul_f64(factor)
}
