//! Statements of one VM that another VM runs on its connections, as one of a database's owners.
//!
//! A session between two VMs is a stream of requests and replies, one at a time ([`line`] asks,
//! [`serve`] answers). Whoever asks keeps all that is decided: the lease, the position that a read
//! needs, what its caller is told. The owner passes on, and knows no routes.
//!
//! **Failure answered.** A stream breaks after a request was sent, and it is not known how far the
//! statement came. **Symptom without it.** A write is sent again by way of another owner and takes
//! effect twice. **Why it suffices.** A request is written once; what follows a broken stream is
//! decided as for a broken connection to the database. The owner rolls back what is open.

pub mod line;
pub mod serve;

use crate::clock::Span;
use crate::direct::adapter::Stream;
use crate::direct::gate::Urgency;
use crate::direct::outcome::Loss;
use crate::direct::quota::bucket::Grant;
use crate::direct::session::{Shape, Values};
use crate::direct::statement::{Answer, Code};
use crate::types::{DatabaseId, OrganisationId, Position};
use bytes::{Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The longest request or reply: a database's longest answer and what stands around it.
const LIMIT: usize = 16 << 20;

/// Room made for each reading; a usual message fits.
const READ_SIZE: usize = 1024;

/// What one VM asks of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Run a statement that stands alone or opens a transaction.
    Start(Start),
    /// Run the next statement of the transaction that is open.
    Next(Ask),
    /// Roll back the transaction that is open.
    End,
    /// Grant a part of an organisation's allowance.
    Spend(Spend),
}

/// What is asked of a keeper of allowances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spend {
    /// Whose allowance.
    pub organisation: OrganisationId,
    /// Operations that wait for it.
    pub need: u32,
    /// Operations that are likely to come soon.
    pub spare: u32,
}

/// A first statement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The database.
    pub database: DatabaseId,
    /// The transaction that it opens.
    pub begin: Option<Opening>,
    /// A position that the log must have.
    pub after: Option<Position>,
    /// The statement.
    pub ask: Ask,
}

/// How a transaction is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opening {
    /// Whether it may only read.
    pub read: bool,
}

/// A statement. Its spans count from when it arrives: no clock of another VM is trusted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The caller's message, as it came.
    pub query: Bytes,
    /// The prepared statement that it runs.
    pub shape: Option<Shape>,
    /// The session's values.
    pub values: Values,
    /// On whose behalf it is asked.
    pub organisation: Option<OrganisationId>,
    /// Its place among others that wait.
    pub urgency: Urgency,
    /// How long it may wait for a busy database.
    pub patience: Span,
    /// How long it may take in all.
    pub within: Span,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// How it ended.
    pub reply: Reply,
    /// How long a next statement would wait for the database.
    pub wait: Span,
    /// How far the database's log was, as the owner last heard.
    pub position: Option<Position>,
}

impl Told {
    /// A reply that tells nothing of a database.
    fn only(reply: Reply) -> Self {
        Self {
            reply,
            wait: Span::ZERO,
            position: None,
        }
    }
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The database answered.
    Answered(Answer),
    /// It has not run.
    NotRun(Code),
    /// It has not run: the database was not reached.
    Unreached,
    /// It has not run: the owner knows of no such database.
    Unknown,
    /// It has not run: the owner is about to stop.
    Away,
    /// It may have run.
    Lost(Loss),
    /// To a request for a part of an allowance.
    Granted(Grant),
}

/// One end of a stream of messages, each after its length.
struct Channel {
    stream: Box<dyn Stream>,
    codec: LengthDelimitedCodec,
    input: BytesMut,
}

impl Channel {
    fn new(stream: Box<dyn Stream>) -> Self {
        let mut builder = LengthDelimitedCodec::builder();
        Self {
            stream,
            codec: builder.max_frame_length(LIMIT).new_codec(),
            input: BytesMut::new(),
        }
    }

    async fn send<T: Serialize>(&mut self, message: &T) -> io::Result<()> {
        let bytes = postcard::to_stdvec(message).map_err(io::Error::other)?;
        let mut output = BytesMut::new();
        self.codec.encode(Bytes::from(bytes), &mut output)?;
        self.stream.write_all(&output).await?;
        self.stream.flush().await
    }

    /// The next message; none at the end of the stream.
    async fn receive<T: DeserializeOwned>(&mut self) -> io::Result<Option<T>> {
        loop {
            if let Some(frame) = self.codec.decode(&mut self.input)? {
                let message = postcard::from_bytes(&frame).map_err(io::Error::other)?;
                return Ok(Some(message));
            }
            self.input.reserve(READ_SIZE);
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }
}
