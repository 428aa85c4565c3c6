//! The steward's own connections to databases: whether one runs, how it stands, and the order to
//! step down.

use crate::clock::Span;
use crate::direct::adapter::{Adapter, Stream, Wire};
use crate::direct::config::Database;
use crate::direct::control::evidence::Attempt;
use crate::direct::control::promotion::Word;
use crate::direct::statement::{Answer, Code, End, Order};
use bytes::BytesMut;
use std::fmt;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// How long an answer may take. A round trip takes 24 ms and a new connection 12 ms; a database
/// that is five times as slow still answers within this.
pub const PATIENCE: Span = Span::from_millis(350);

/// The question takes a slot. A database whose slots are all taken says so at once, and one is
/// free again within some milliseconds: the gap in service ends sooner if it is asked again soon.
const BUSY_TRIES: u32 = 10;
const BUSY_PAUSE: Duration = Duration::from_millis(5);

/// A session of the steward's own at a database.
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

/// How opening a session ended.
#[derive(Debug)]
pub enum Opened {
    /// It is open.
    Link(Link),
    /// The database runs and takes no session now.
    Full,
    /// Nothing listens there, or another database does.
    Refused,
    /// No answer.
    Silent,
}

impl Opened {
    /// What this says of the database.
    pub fn attempt(&self) -> Attempt {
        match self {
            Self::Link(_) | Self::Full => Attempt::Answered,
            Self::Refused => Attempt::Refused,
            Self::Silent => Attempt::Silent,
        }
    }
}

/// Opens a session at a database, which has to be the one that is registered there.
pub async fn open(adapter: &Adapter, database: &Database) -> Opened {
    let opened = tokio::time::timeout(Duration::from(PATIENCE), start(adapter, database)).await;
    match opened {
        Ok(Ok(opened)) => opened,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Opened::Refused,
        Ok(Err(_)) | Err(_) => Opened::Silent,
    }
}

async fn start(adapter: &Adapter, database: &Database) -> io::Result<Opened> {
    let stream = (adapter.connect)(database.address, PATIENCE).await?;
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
    /// Gives an order; no answer, or a broken one, is none.
    pub async fn ask(&mut self, order: &Order) -> Option<Answer> {
        let asked = self.exchange(order);
        let answer = tokio::time::timeout(Duration::from(PATIENCE), asked).await;
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

/// Asks a database how it stands, by a session that is open already or a new one, which is kept
/// for the next time if it still works.
pub async fn standing(adapter: &Adapter, database: &Database, link: &mut Option<Link>) -> Word {
    let mut open = match link.take() {
        Some(open) => open,
        None => match self::open(adapter, database).await {
            Opened::Link(open) => open,
            Opened::Refused => return Word::Absent,
            Opened::Full | Opened::Silent => return Word::Pending,
        },
    };
    for _ in 0..BUSY_TRIES {
        let Some(answer) = open.ask(&Order::Status).await else {
            return Word::Pending;
        };
        if let Some(standing) = (adapter.wire.read_status)(&answer) {
            *link = Some(open);
            return Word::Stands(standing);
        }
        tokio::time::sleep(BUSY_PAUSE).await;
    }
    *link = Some(open);
    Word::Pending
}
