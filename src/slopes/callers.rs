//! Resident memory of a process per connected, idle caller.
//!
//! Connections are only added during the measurement, because memory that the allocator keeps from
//! closed ones would hide growth. The callers' ends are plain sockets of this process.

use crate::clock::Span;
use crate::process;
use crate::slopes::path::ideal;
use crate::slopes::report::{Fit, Level, level};
use crate::standin::demo;
use bytes::BytesMut;
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::Startup;
use pgwire::messages::{Message, PgWireFrontendMessage};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long to wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// The first byte of ReadyForQuery, the message that ends each answer; the message is six bytes long.
const READY: u8 = b'Z';
const READY_LENGTH: usize = 6;

/// Why a measurement ended early.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The deployment did not start.
    #[error(transparent)]
    Demo(#[from] demo::Error),
    /// A connection failed.
    #[error("a caller's connection failed: {0}; check the limit on open files")]
    Connection(#[from] std::io::Error),
    /// A message could not be encoded.
    #[error(transparent)]
    Message(#[from] pgwire::error::PgWireError),
}

/// The parameters of a measurement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Numbers of connections, in rising order.
    pub counts: Vec<usize>,
    /// How long memory settles before it is read.
    pub settle: Span,
}

/// Measures idle callers and passes each row of the report to `print`. Calls `then` while they are
/// still connected, so that its measurement can't reuse memory that they freed.
pub async fn run(plan: &Plan, print: impl Fn(String), then: impl FnOnce()) -> Result<(), Error> {
    let demo = ideal(1).await?;
    let measured = match demo.callers().first() {
        Some(address) => measure(*address, plan, print, then).await,
        None => Ok(()),
    };
    demo.stop();
    measured
}

async fn measure(
    address: SocketAddr,
    plan: &Plan,
    print: impl Fn(String),
    then: impl FnOnce(),
) -> Result<(), Error> {
    print("idle callers        | resident bytes (spread of 5 readings)".into());
    let mut open = Vec::new();
    let mut connected = Vec::new();
    connected.push(read(0, plan.settle).await);
    for &count in &plan.counts {
        while open.len() < count {
            open.push(connect(address).await?);
        }
        connected.push(read(count, plan.settle).await);
    }
    show("0 statements each", &connected, &print);
    let mut queried = 0;
    let mut used = vec![read(0, plan.settle).await];
    for &count in &plan.counts {
        for stream in open.iter_mut().take(count).skip(queried) {
            run_query(stream).await?;
        }
        queried = count;
        used.push(read(count, plan.settle).await);
    }
    show("1 statement, added", &used, &print);
    then();
    Ok(())
}

/// Prints the readings and the line fitted through them.
pub fn show(name: &str, levels: &[Level], print: &impl Fn(String)) {
    for level in levels {
        print(format!(
            "{name:19} | {:5} {:11} ({})",
            level.count, level.bytes, level.spread
        ));
    }
    let points: Vec<_> = levels.iter().map(Level::point).collect();
    if let Some(fit) = Fit::of(&points) {
        print(format!("{name:19} | {fit}"));
    }
}

async fn read(count: usize, settle: Span) -> Level {
    tokio::time::sleep(settle.into()).await;
    level(count, || process::resident().unwrap_or_default())
}

async fn connect(address: SocketAddr) -> Result<TcpStream, Error> {
    let mut startup = Startup::new();
    for (name, value) in [("user", "idle"), ("database", "ledger1")] {
        startup.parameters.insert(name.into(), value.into());
    }
    let mut stream = TcpStream::connect(address).await?;
    let mut text = BytesMut::new();
    startup.encode(&mut text)?;
    exchange(&mut stream, &text).await?;
    Ok(stream)
}

async fn run_query(stream: &mut TcpStream) -> Result<(), Error> {
    let query = Query::new("SELECT body FROM ledger WHERE id = 'none'".into());
    let mut text = BytesMut::new();
    PgWireFrontendMessage::Query(query).encode(&mut text)?;
    exchange(stream, &text).await
}

/// Sends `text` and reads until the end of the answer.
async fn exchange(stream: &mut TcpStream, text: &[u8]) -> Result<(), Error> {
    stream.write_all(text).await?;
    let whole = async {
        let mut last = Vec::new();
        let mut chunk = [0; 1024];
        loop {
            let read = stream.read(&mut chunk).await?;
            if read == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            last.extend_from_slice(&chunk[..read]);
            let ready = last.len().checked_sub(READY_LENGTH);
            if ready.is_some_and(|at| last[at] == READY) {
                return Ok(());
            }
        }
    };
    let late = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let answered = tokio::time::timeout(ANSWER_TIMEOUT, whole).await;
    Ok(answered.unwrap_or_else(|_| Err(late()))?)
}
