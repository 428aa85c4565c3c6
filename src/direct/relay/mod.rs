//! The relay: runs statements of one VM on the connections of another, which is one of the database's owners.
//!
//! A session between two VMs is a stream of requests and replies, one at a time: [`line`] sends requests,
//! [`serve`] replies. The asking VM makes all decisions: the lease, the position that a read needs, the
//! answer to its caller. The owner only forwards statements, and knows no routes.
//!
//! If a stream breaks after a request was sent, it is unknown whether the statement ran; repeating a write
//! through another owner could apply it twice. So each request is sent once, and a broken stream is treated
//! like a broken connection to the database. The owner rolls back the open transaction.

pub mod line;
pub mod serve;

use crate::admission::Rank;
use crate::admission::bucket::{Grant, TOKEN_VALIDITY};
use crate::clock::Span;
use crate::direct::adapter::Stream;
use crate::direct::gate::Urgency;
use crate::direct::outcome::Loss;
use crate::direct::session::{Shape, Values};
use crate::direct::statement::{Answer, Code};
use crate::types::{DatabaseId, OrganisationId, Position};
use bytes::{Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The longest request or reply in bytes: a database's longest answer and its envelope.
const MAX_MESSAGE_SIZE: usize = 16 << 20;

/// Bytes reserved for each read; a typical message fits.
const READ_SIZE: usize = 1024;

/// A request of one VM to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Run a single statement, or one that opens a transaction.
    Start(Start),
    /// Run the next statement of the open transaction.
    Next(Execute),
    /// Roll back the open transaction.
    End,
    /// Grant tokens of an organisation's allowance.
    Spend(Spend),
}

/// A request for tokens, sent to an allocator of an organisation's allowance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spend {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Operations that wait for tokens.
    pub need: u32,
    /// Operations that are likely to follow soon.
    pub prefetch: u32,
}

/// The longest wait that a [`Trailer`] may state: a token that was requested that long ago has expired.
const MAX_WAIT: Span = TOKEN_VALIDITY;

/// Follows an encoded [`Request::Spend`] in its message. VMs of older versions neither send nor read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trailer {
    /// The rank of the operation.
    pub rank: Rank,
    /// How long it may wait for a token; zero if it is to be answered at once.
    pub wait: Span,
}

/// The error for a trailer that can't be decoded, or states an impossible wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a rank and a wait of at most {MAX_WAIT}: check the version of the asking VM")]
pub struct InvalidTrailer;

impl Trailer {
    /// Reads the trailer of a request for tokens from the bytes behind it, if there is one.
    pub fn read(bytes: &[u8]) -> Result<Option<Self>, InvalidTrailer> {
        if bytes.is_empty() {
            return Ok(None);
        }
        // Later versions may append to it.
        let read = postcard::take_from_bytes(bytes);
        let (trailer, _): (Self, _) = read.map_err(|_| InvalidTrailer)?;
        match trailer.wait <= MAX_WAIT {
            true => Ok(Some(trailer)),
            false => Err(InvalidTrailer),
        }
    }
}

/// The first statement of a transaction, or a single one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The database.
    pub database: DatabaseId,
    /// The transaction that it opens.
    pub begin: Option<Opening>,
    /// A position that the database's log must have reached.
    pub after: Option<Position>,
    /// The statement.
    pub statement: Execute,
}

/// How a transaction is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Opening {
    /// Whether it may only read.
    pub read: bool,
}

/// A statement. Its timeouts count from its arrival, so that clocks of other VMs don't matter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execute {
    /// The caller's message, unchanged.
    pub query: Bytes,
    /// The prepared statement that it runs.
    pub shape: Option<Shape>,
    /// The session's settings.
    pub values: Values,
    /// The organisation on whose behalf it runs.
    pub organisation: Option<OrganisationId>,
    /// Its priority among waiting statements.
    pub urgency: Urgency,
    /// How long it may wait for a busy database.
    pub queue_timeout: Span,
    /// How long it may take in all.
    pub timeout: Span,
}

/// The owner's answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// The outcome.
    pub reply: Reply,
    /// How long a further statement would wait for the database. In a refusal of tokens to a request with a
    /// [`Trailer`], when the caller of a further such request would be told to retry; otherwise zero.
    pub wait: Span,
    /// The database's log position, as the owner last received it.
    pub position: Option<Position>,
}

impl Response {
    /// A reply without information on a database.
    fn bare(reply: Reply) -> Self {
        Self {
            reply,
            wait: Span::ZERO,
            position: None,
        }
    }
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The database answered.
    Answered(Answer),
    /// It did not run.
    NotRun(Code),
    /// It did not run: the database was not reached.
    Unreached,
    /// It did not run: the owner does not know the database.
    Unknown,
    /// It did not run: the owner is stopping.
    Stopping,
    /// It may have run.
    Lost(Loss),
    /// To a request for tokens.
    Granted(Grant),
}

/// One end of a stream of length-prefixed messages.
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
            codec: builder.max_frame_length(MAX_MESSAGE_SIZE).new_codec(),
            input: BytesMut::new(),
        }
    }

    async fn send<T: Serialize>(&mut self, message: &T) -> io::Result<()> {
        let bytes = postcard::to_stdvec(message).map_err(io::Error::other)?;
        self.send_bytes(bytes).await
    }

    async fn send_with_trailer(&mut self, request: &Request, trailer: Trailer) -> io::Result<()> {
        let bytes = postcard::to_stdvec(request).map_err(io::Error::other)?;
        let bytes = postcard::to_extend(&trailer, bytes).map_err(io::Error::other)?;
        self.send_bytes(bytes).await
    }

    async fn send_bytes(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let mut output = BytesMut::new();
        self.codec.encode(Bytes::from(bytes), &mut output)?;
        self.stream.write_all(&output).await?;
        self.stream.flush().await
    }

    /// Reads the next message; `None` at the end of the stream.
    async fn receive<T: DeserializeOwned>(&mut self) -> io::Result<Option<T>> {
        let received = self.receive_with_rest().await?;
        Ok(received.map(|(message, _)| message))
    }

    /// Reads the next message and the bytes behind it; `None` at the end of the stream.
    async fn receive_with_rest<T: DeserializeOwned>(&mut self) -> io::Result<Option<(T, Bytes)>> {
        loop {
            if let Some(frame) = self.codec.decode(&mut self.input)? {
                let frame = frame.freeze();
                let (message, rest) =
                    postcard::take_from_bytes(&frame).map_err(io::Error::other)?;
                return Ok(Some((message, frame.slice_ref(rest))));
            }
            self.input.reserve(READ_SIZE);
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Completes when the other end closes the stream while it waits for a reply. If it sends something
    /// instead, that stays to be read, and this never completes.
    async fn closed(&mut self) {
        if self.input.is_empty() {
            self.input.reserve(READ_SIZE);
            let read = self.stream.read_buf(&mut self.input).await;
            if matches!(read, Ok(0) | Err(_)) {
                return;
            }
        }
        std::future::pending().await
    }
}
