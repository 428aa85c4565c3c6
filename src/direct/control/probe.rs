//! The steward's own connections to databases, by which it finds out whether one runs, asks for its
//! state, and orders it to step down.

use crate::clock::Span;
use crate::direct::adapter::{Adapter, Stream, Wire};
use crate::direct::config::Database;
use crate::direct::control::evidence::Attempt;
use crate::direct::control::promotion::Reply;
use crate::direct::statement::{Answer, Code, End, Order};
use bytes::BytesMut;
use std::fmt;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// How long an answer may take. A round trip takes 24 ms and a new connection 12 ms, so a database
/// that is five times as slow still answers in time.
pub const ANSWER_TIMEOUT: Span = Span::from_millis(350);

/// The number of tries, and the delay between them, while all slots of a database are taken. It
/// refuses the question at once, and a slot is free again within some milliseconds: a short delay
/// shortens the gap in service.
const MAX_BUSY_TRIES: u32 = 10;
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(5);

/// A session of the steward at a database.
pub struct Link {
    stream: Box<dyn Stream>,
    input: BytesMut,
    wire: Wire,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link").finish_non_exhaustive()
    }
}

/// The result of opening a session.
#[derive(Debug)]
pub enum Opened {
    /// It is open.
    Link(Link),
    /// The database runs but accepts no session at present.
    Full,
    /// Nothing listens there, or another database does.
    Refused,
    /// No answer.
    Silent,
}

impl Opened {
    /// The result as evidence on the database.
    pub fn attempt(&self) -> Attempt {
        match self {
            Self::Link(_) | Self::Full => Attempt::Answered,
            Self::Refused => Attempt::Refused,
            Self::Silent => Attempt::Silent,
        }
    }
}

/// Opens a session at a database, and checks that it is the one registered at this address.
pub async fn open(adapter: &Adapter, database: &Database) -> Opened {
    let opened =
        tokio::time::timeout(Duration::from(ANSWER_TIMEOUT), start(adapter, database)).await;
    match opened {
        Ok(Ok(opened)) => opened,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Opened::Refused,
        Ok(Err(_)) | Err(_) => Opened::Silent,
    }
}

async fn start(adapter: &Adapter, database: &Database) -> io::Result<Opened> {
    let stream = (adapter.connect)(database.address, ANSWER_TIMEOUT).await?;
    let mut link = Link {
        stream,
        input: BytesMut::new(),
        wire: adapter.wire,
    };
    let mut output = BytesMut::new();
    (adapter.wire.write_start)(&mut output, &database.group, &database.id, None);
    link.stream.write_all(&output).await?;
    let answer = link.read(true).await?;
    Ok(match answer.end {
        End::Done(_) => Opened::Link(link),
        End::Error {
            code: Code::OtherDatabase,
            ..
        } => Opened::Refused,
        End::Error { .. } => Opened::Full,
    })
}

impl Link {
    /// Sends an order. Returns none if there is no answer, or a malformed one.
    pub async fn ask(&mut self, order: &Order) -> Option<Answer> {
        let exchange = self.exchange(order);
        let answer = tokio::time::timeout(Duration::from(ANSWER_TIMEOUT), exchange).await;
        answer.ok()?.ok()
    }

    async fn exchange(&mut self, order: &Order) -> io::Result<Answer> {
        let mut output = BytesMut::new();
        (self.wire.write_order)(&mut output, order);
        self.stream.write_all(&output).await?;
        self.read(false).await
    }

    async fn read(&mut self, starting: bool) -> io::Result<Answer> {
        loop {
            let read = (self.wire.read_answer)(&mut self.input, starting);
            if let Some(answer) = read.map_err(io::Error::other)? {
                return Ok(answer);
            }
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Asks a database for its state, by an open session or a new one. The session is kept in `link` if
/// it still works.
pub async fn standing(adapter: &Adapter, database: &Database, link: &mut Option<Link>) -> Reply {
    let mut open = match link.take() {
        Some(open) => open,
        None => match self::open(adapter, database).await {
            Opened::Link(open) => open,
            Opened::Refused => return Reply::Absent,
            Opened::Full | Opened::Silent => return Reply::Pending,
        },
    };
    for _ in 0..MAX_BUSY_TRIES {
        let Some(answer) = open.ask(&Order::Status).await else {
            return Reply::Pending;
        };
        if let Some(standing) = (adapter.wire.read_status)(&answer) {
            *link = Some(open);
            return Reply::Stands(standing);
        }
        tokio::time::sleep(BUSY_RETRY_DELAY).await;
    }
    *link = Some(open);
    Reply::Pending
}
