//! One TCP connection to a database: login, messages, cancel.

use crate::core::request::Status;
use crate::net::dialect::{self, Garbled, Mark};
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
pub(super) const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// The longest answer that is kept, in bytes.
pub(super) const ANSWER_LIMIT: usize = 16 * 1024 * 1024;
const READ: usize = 8 * 1024;
const AUTHENTICATED: u32 = 0;

/// Both ends of a connection.
#[derive(Debug, Clone)]
pub(super) struct End {
    /// The address it comes from.
    pub source: IpAddr,
    /// Where the database listens.
    pub address: SocketAddr,
    /// The database.
    pub database: DatabaseId,
}

/// What a cancel request has to show.
#[derive(Debug, Clone, Copy)]
pub(super) struct Key {
    process: u32,
    secret: u32,
}

/// Why a connection can't be used any more.
#[derive(Debug, thiserror::Error)]
pub(super) enum Broken {
    /// The network's failure.
    #[error("the connection broke: {0}")]
    Io(#[from] io::Error),
    /// It was closed by the other side.
    #[error("the database closed the connection")]
    Closed,
    /// The bytes are no messages.
    #[error("{0}")]
    Malformed(#[from] Malformed),
    /// A position could not be read.
    #[error("{0}")]
    Garbled(#[from] Garbled),
    /// It took too long.
    #[error("the database did not answer in time")]
    Late,
    /// The login was refused.
    #[error("the database refused the login with SQLSTATE {0}: check its users and limits")]
    Login(Box<str>),
    /// The database wants a password.
    #[error("the database wants a password: let the proxy's addresses log in without one")]
    Password,
    /// A statement of the proxy's own failed.
    #[error("the database failed a statement of the proxy with SQLSTATE {0}")]
    Own(Box<str>),
}

impl From<tokio::time::error::Elapsed> for Broken {
    fn from(_: tokio::time::error::Elapsed) -> Self {
        Self::Late
    }
}

/// An answer up to ReadyForQuery.
#[derive(Debug, Default)]
pub(super) struct Answer {
    /// The messages for the caller.
    pub frames: Vec<Frame>,
    /// Whether the answer was too long and `frames` holds only its start.
    pub cut: bool,
    /// What ReadyForQuery said.
    pub status: Option<Status>,
    /// How far the database had applied its log, if it said so.
    pub applied: Option<Position>,
    /// The end of the write that was committed.
    pub wrote: Option<Position>,
    size: usize,
}

/// An error message's fields that matter here.
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

    /// Takes in a message; true if it was ReadyForQuery.
    pub fn take(&mut self, frame: Frame) -> Result<bool, Broken> {
        match frame.kind() {
            kind::READY => {
                self.status = Some(status(frame.fields().byte()?)?);
                return Ok(true);
            }
            kind::PARAMETER => self.mark(frame.fields())?,
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

    fn mark(&mut self, mut fields: Fields<'_>) -> Result<(), Broken> {
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
    /// What is still to be sent.
    outbox: BytesMut,
    /// How much of a message that is too long is still to be dropped.
    skip: usize,
    /// A message that was too long has been dropped.
    dropped: bool,
    /// What a cancel request has to show, if the database told.
    pub key: Option<Key>,
}

impl Wire {
    /// Connects and logs in as `user`.
    pub async fn open(end: &End, user: &str) -> Result<Self, Broken> {
        timeout(CONNECT_LIMIT, Self::login(end, user)).await?
    }

    async fn login(end: &End, user: &str) -> Result<Self, Broken> {
        let mut wire = Self {
            stream: dial(end.source, end.address).await?,
            buffer: BytesMut::new(),
            outbox: BytesMut::new(),
            skip: 0,
            dropped: false,
            key: None,
        };
        let mut startup = Startup::new();
        let parameters = [
            ("user", user),
            ("database", end.database.as_str()),
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

    /// Sends bytes, as far as they go while messages are received.
    ///
    /// Failure: a long pipeline is sent whole before its answers are read. Symptom: both sides
    /// wait for the other to read, for good. Enough, because nothing here writes without reading.
    pub fn send(&mut self, bytes: &[u8]) {
        self.outbox.extend_from_slice(bytes);
    }

    /// Receives the next message. Nothing is lost if the future is dropped.
    pub async fn frame(&mut self) -> Result<Frame, Broken> {
        loop {
            if let Some(frame) = self.take()? {
                return Ok(frame);
            }
            self.buffer.reserve(READ);
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

    /// Takes a message out of what has arrived. One that is too long is dropped as it arrives,
    /// so that the connection stays in sync without the memory.
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

    /// Whether nothing is left over after an answer.
    pub fn clear(&self) -> bool {
        self.buffer.is_empty() && self.outbox.is_empty()
    }

    /// Gives up memory while the connection is idle.
    pub fn rest(&mut self) {
        if self.clear() {
            self.buffer = BytesMut::new();
            self.outbox = BytesMut::new();
        }
    }
}

/// A simple query.
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

/// Asks a database to cancel what a connection runs. Nothing is told of the result: the
/// connection's own answer tells.
pub(super) async fn cancel(source: IpAddr, address: SocketAddr, key: Key) {
    let secret = SecretKey::I32(key.secret.cast_signed());
    let request = encode(&CancelRequest::new(key.process.cast_signed(), secret));
    let sent = timeout(CONNECT_LIMIT, async {
        let mut stream = dial(source, address).await?;
        stream.write_all(&request).await?;
        stream.read_u8().await.map(|_| ())
    });
    if let Err(error) = sent.await {
        log::debug!(error:%, address:%; "a cancel request was not taken");
    }
}

/// Whether a login was refused for want of connections.
pub(super) fn full(broken: &Broken) -> bool {
    matches!(broken, Broken::Login(code) if **code == *dialect::FULL)
}
