//! A TCP connection to a database: login, messages and cancel requests.

use crate::core::request::Status;
use crate::net::dialect::{self, Invalid, Mark};
use crate::net::frame::{Fields, Frame, Malformed, encode, kind, put_raw, take};
use crate::types::{DatabaseId, Position};
use bytes::{Buf, BytesMut};
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{SecretKey, Startup};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// How long a connection may take to open and log in. A new one takes about 10 ms.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest answer that is kept, in bytes. Longer ones are read to their end but dropped.
pub(super) const ANSWER_LIMIT: usize = 16 * 1024 * 1024;
const READ_SIZE: usize = 8 * 1024;
const AUTHENTICATED: u32 = 0;

/// The two ends of a connection.
#[derive(Debug, Clone)]
pub(super) struct Endpoints {
    /// The local address.
    pub source: IpAddr,
    /// The address that the database listens at.
    pub address: SocketAddr,
    /// The database's id.
    pub database: DatabaseId,
}

/// The key that a cancel request has to contain.
#[derive(Debug, Clone, Copy)]
pub(super) struct Key {
    process: u32,
    secret: u32,
}

/// Why a connection is no longer usable.
#[derive(Debug, thiserror::Error)]
pub(super) enum Broken {
    /// A network error.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// The database closed it.
    #[error("the database closed the connection")]
    Closed,
    /// The received bytes are not valid messages.
    #[error("{0}")]
    Malformed(#[from] Malformed),
    /// A position or state could not be parsed.
    #[error("{0}")]
    Invalid(#[from] Invalid),
    /// A deadline passed.
    #[error("the database did not answer in time")]
    Timeout,
    /// The login was refused.
    #[error("the database refused the login with SQLSTATE {0}: check its users and limits")]
    Login(Box<str>),
    /// The database requires a password.
    #[error("the database wants a password: let the proxy's addresses log in without one")]
    Password,
    /// A statement of the proxy itself failed.
    #[error("the database failed a statement of the proxy with SQLSTATE {0}")]
    Internal(Box<str>),
}

impl From<tokio::time::error::Elapsed> for Broken {
    fn from(_: tokio::time::error::Elapsed) -> Self {
        Self::Timeout
    }
}

/// An answer up to ReadyForQuery.
#[derive(Debug, Default)]
pub(super) struct Answer {
    /// The messages for the caller.
    pub frames: Vec<Frame>,
    /// Whether the answer was too long and `frames` holds only its start.
    pub cut: bool,
    /// The transaction status from ReadyForQuery.
    pub status: Option<Status>,
    /// How far the database had applied its log, if it reported that.
    pub applied: Option<Position>,
    /// The log position at the end of the committed write.
    pub wrote: Option<Position>,
    size: usize,
}

/// The fields of an ErrorResponse that are used here.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct Error {
    /// The SQLSTATE.
    pub code: Box<str>,
    /// The DETAIL field.
    pub detail: Option<Box<str>>,
}

impl Error {
    /// Reads an ErrorResponse.
    pub fn read(mut fields: Fields<'_>) -> Result<Self, Malformed> {
        let mut error = Self::default();
        loop {
            match fields.byte()? {
                0 => return Ok(error),
                b'C' => error.code = fields.text()?.into(),
                b'D' => error.detail = Some(fields.text()?.into()),
                _ => {
                    fields.text()?;
                }
            }
        }
    }
}

impl Answer {
    /// The error in the answer, if there is one.
    pub fn error(&self) -> Result<Option<Error>, Malformed> {
        let error = self.frames.iter().find(|frame| frame.kind() == kind::ERROR);
        error.map(|frame| Error::read(frame.fields())).transpose()
    }

    /// Adds a message to the answer; true if it was ReadyForQuery.
    pub fn take(&mut self, frame: Frame) -> Result<bool, Broken> {
        match frame.kind() {
            kind::READY => {
                self.status = Some(status(frame.fields().byte()?)?);
                return Ok(true);
            }
            kind::PARAMETER => self.record_position(frame.fields())?,
            kind::NOTIFICATION => {}
            _ => {
                self.size += frame.bytes().len() + size_of::<Frame>();
                self.cut |= self.size > ANSWER_LIMIT;
                if !self.cut {
                    self.frames.push(frame);
                }
            }
        }
        Ok(false)
    }

    fn record_position(&mut self, mut fields: Fields<'_>) -> Result<(), Broken> {
        let name = fields.text()?;
        match Mark::read(name, fields.text()?)? {
            Some(Mark::Applied(position)) => self.applied = Some(position),
            Some(Mark::Wrote(position)) => self.wrote = Some(position),
            None => {}
        }
        Ok(())
    }
}

fn status(byte: u8) -> Result<Status, Malformed> {
    match byte {
        b'I' => Ok(Status::Idle),
        b'T' => Ok(Status::Open),
        b'E' => Ok(Status::Failed),
        _ => Err(Malformed::Field),
    }
}

/// A logged-in connection.
#[derive(Debug)]
pub(super) struct Wire {
    stream: TcpStream,
    buffer: BytesMut,
    /// Bytes still to be sent.
    outbox: BytesMut,
    /// How many bytes of an oversized message are still to be dropped.
    skip: usize,
    /// Whether an oversized message was dropped since the last answer.
    dropped: bool,
    /// The key for cancel requests, if the database sent one.
    pub key: Option<Key>,
}

impl Wire {
    /// Connects and logs in as `user`.
    pub async fn open(endpoints: &Endpoints, user: &str) -> Result<Self, Broken> {
        timeout(CONNECT_TIMEOUT, Self::login(endpoints, user)).await?
    }

    async fn login(endpoints: &Endpoints, user: &str) -> Result<Self, Broken> {
        let mut wire = Self {
            stream: dial(endpoints.source, endpoints.address).await?,
            buffer: BytesMut::new(),
            outbox: BytesMut::new(),
            skip: 0,
            dropped: false,
            key: None,
        };
        let mut startup = Startup::new();
        let parameters = [
            ("user", user),
            ("database", endpoints.database.as_str()),
            ("application_name", "lentilspoke"),
            ("client_encoding", "UTF8"),
        ];
        for (name, value) in parameters {
            startup.parameters.insert(name.to_owned(), value.to_owned());
        }
        wire.send(&encode(&startup));
        loop {
            let frame = wire.frame().await?;
            let mut fields = frame.fields();
            match frame.kind() {
                kind::READY => return Ok(wire),
                kind::ERROR => return Err(Broken::Login(Error::read(fields)?.code)),
                kind::AUTHENTICATION if fields.long()? != AUTHENTICATED => {
                    return Err(Broken::Password);
                }
                kind::KEY_DATA => {
                    wire.key = Some(Key {
                        process: fields.long()?,
                        secret: fields.long()?,
                    });
                }
                kind::AUTHENTICATION | kind::PARAMETER | kind::NOTICE => {}
                _ => return Err(Malformed::Order.into()),
            }
        }
    }

    /// Queues bytes; they are written while messages are received.
    ///
    /// Writing a long pipeline before reading its answers would deadlock, with both sides waiting
    /// for the other to read. So every write here runs together with a read.
    pub fn send(&mut self, bytes: &[u8]) {
        self.outbox.extend_from_slice(bytes);
    }

    /// Receives the next message. Cancel safe: no bytes are lost if the future is dropped.
    pub async fn frame(&mut self) -> Result<Frame, Broken> {
        loop {
            if let Some(frame) = self.take()? {
                return Ok(frame);
            }
            self.buffer.reserve(READ_SIZE);
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                read = reader.read_buf(&mut self.buffer) => {
                    if read? == 0 {
                        return Err(Broken::Closed);
                    }
                }
                sent = writer.write_buf(&mut self.outbox), if !self.outbox.is_empty() => {
                    sent?;
                }
            }
        }
    }

    /// Removes a message from the received bytes. An oversized one is dropped while it arrives, so
    /// that the connection stays in sync without buffering it.
    fn take(&mut self) -> Result<Option<Frame>, Broken> {
        let skipped = self.skip.min(self.buffer.len());
        self.buffer.advance(skipped);
        self.skip -= skipped;
        if self.skip > 0 {
            return Ok(None);
        }
        match take(&mut self.buffer, ANSWER_LIMIT) {
            Err(Malformed::Long(stated)) => {
                self.skip = stated + 1;
                self.dropped = true;
                self.take()
            }
            other => Ok(other?),
        }
    }

    /// Receives an answer up to ReadyForQuery.
    pub async fn answer(&mut self) -> Result<Answer, Broken> {
        let mut answer = Answer::default();
        loop {
            if answer.take(self.frame().await?)? {
                answer.cut |= std::mem::take(&mut self.dropped);
                return Ok(answer);
            }
        }
    }

    /// Whether both buffers are empty, as they must be after an answer.
    pub fn is_drained(&self) -> bool {
        self.buffer.is_empty() && self.outbox.is_empty()
    }

    /// Frees the buffers if they are empty, to save memory while the connection is idle.
    pub fn release_buffers(&mut self) {
        if self.is_drained() {
            self.buffer = BytesMut::new();
            self.outbox = BytesMut::new();
        }
    }
}

/// Appends a simple query.
pub(super) fn query(out: &mut BytesMut, text: &str) {
    put_raw(out, kind::QUERY, &[text.as_bytes(), &[0]]);
}

async fn dial(source: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Asks a database to cancel a connection's running statement. The result shows in that
/// connection's own answer.
pub(super) async fn cancel(source: IpAddr, address: SocketAddr, key: Key) {
    let secret = SecretKey::I32(key.secret.cast_signed());
    let request = encode(&CancelRequest::new(key.process.cast_signed(), secret));
    let sent = timeout(CONNECT_TIMEOUT, async {
        let mut stream = dial(source, address).await?;
        stream.write_all(&request).await?;
        stream.read_u8().await.map(|_| ())
    });
    if let Err(error) = sent.await {
        log::debug!(error:%, address:%; "a cancel request was not taken");
    }
}

/// Whether a login was refused because the database's connection limit is reached.
pub(super) fn is_full(broken: &Broken) -> bool {
    matches!(broken, Broken::Login(code) if **code == *dialect::FULL)
}
