//! One peer's connection: latency both ways, and the faults that stop its bytes.

use super::Shared;
use crate::types::DatabaseId;
use bytes::{Bytes, BytesMut};
use pgwire::messages::{DecodeContext, PgWireFrontendMessage};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// After so long without a packet a database gives a connection up, as TCP keepalive does.
const KEEPALIVE: Duration = Duration::from_secs(10);
const CHUNKS: usize = 64;

/// A connection as the faults see it.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) database: DatabaseId,
    pub(super) ip: IpAddr,
    /// Counts connections of the process.
    pub(super) number: u64,
    /// The database's life when it was accepted.
    pub(super) life: u64,
}

/// Whether bytes pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Passage {
    Open,
    /// Not now; the database does nothing either.
    Frozen,
    /// Packets are lost, for now or for good.
    Lost,
    /// The database's process of then is gone.
    Gone,
}

impl Peer {
    fn passage(&self, shared: &Shared) -> Passage {
        let passage = shared.node(&self.database, |node| {
            if node.faults.life != self.life || node.faults.down {
                Passage::Gone
            } else if node.faults.frozen {
                Passage::Frozen
            } else if self.number < node.faults.silent_below || node.faults.cut.contains(&self.ip) {
                Passage::Lost
            } else {
                Passage::Open
            }
        });
        passage.unwrap_or(Passage::Gone)
    }

    /// Waits until bytes pass; false if they never will.
    async fn pass(&self, shared: &Shared) -> bool {
        let mut changed = shared.faulted.subscribe();
        loop {
            match self.passage(shared) {
                Passage::Open => return true,
                Passage::Gone => return false,
                Passage::Frozen | Passage::Lost => {
                    if changed.changed().await.is_err() {
                        return false;
                    }
                }
            }
        }
    }

    /// Returns once the database has lost the connection: true if its peer is told.
    pub(super) async fn ends(&self, shared: &Shared) -> bool {
        let mut changed = shared.faulted.subscribe();
        let mut lost_since = None;
        loop {
            let passage = self.passage(shared);
            match passage {
                Passage::Gone => return true,
                Passage::Lost => {
                    let since = *lost_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= KEEPALIVE {
                        return false;
                    }
                    let rest = KEEPALIVE.saturating_sub(since.elapsed());
                    let _ = tokio::time::timeout(rest, changed.changed()).await;
                }
                Passage::Open | Passage::Frozen => {
                    lost_since = None;
                    if changed.changed().await.is_err() {
                        return true;
                    }
                }
            }
        }
    }
}

/// The incoming half.
#[derive(Debug)]
pub(super) struct Inbox {
    chunks: mpsc::Receiver<(Instant, Bytes)>,
    buffer: BytesMut,
    context: DecodeContext,
}

/// The outgoing half.
#[derive(Debug, Clone)]
pub(super) struct Outbox {
    chunks: mpsc::UnboundedSender<(Instant, Bytes)>,
    latency: Duration,
}

/// Splits a connection and starts the tasks that move its bytes.
pub(super) fn open(
    stream: TcpStream,
    peer: Rc<Peer>,
    shared: Arc<Shared>,
    latency: Duration,
) -> (Inbox, Outbox) {
    let (read, write) = stream.into_split();
    let (arrived, chunks) = mpsc::channel(CHUNKS);
    actix_rt::spawn(bring(read, arrived, peer.clone(), shared.clone(), latency));
    let inbox = Inbox {
        chunks,
        buffer: BytesMut::new(),
        context: DecodeContext::default(),
    };
    let (chunks, leaving) = mpsc::unbounded_channel();
    actix_rt::spawn(take(write, leaving, peer, shared));
    (inbox, Outbox { chunks, latency })
}

/// Reads from the socket; the end of the stream travels like a packet, so a peer that closes
/// behind a cut is not noticed.
async fn bring(
    mut read: OwnedReadHalf,
    arrived: mpsc::Sender<(Instant, Bytes)>,
    peer: Rc<Peer>,
    shared: Arc<Shared>,
    latency: Duration,
) {
    const CHUNK: usize = 16 * 1024;
    loop {
        let mut chunk = BytesMut::with_capacity(CHUNK);
        let count = read.read_buf(&mut chunk).await.unwrap_or(0);
        let due = Instant::now() + latency;
        if !peer.pass(&shared).await {
            return;
        }
        if count == 0 || arrived.send((due, chunk.freeze())).await.is_err() {
            return;
        }
    }
}

/// Writes to the socket, and keeps it open until the last sender is gone and, where packets
/// are lost, until the peer itself gives up.
async fn take(
    mut write: OwnedWriteHalf,
    mut leaving: mpsc::UnboundedReceiver<(Instant, Bytes)>,
    peer: Rc<Peer>,
    shared: Arc<Shared>,
) {
    while let Some((due, bytes)) = leaving.recv().await {
        wait(due).await;
        if !peer.pass(&shared).await || write.write_all(&bytes).await.is_err() {
            return;
        }
    }
    let mut changed = shared.faulted.subscribe();
    while peer.passage(&shared) == Passage::Lost && write.writable().await.is_ok() {
        if changed.changed().await.is_err() {
            return;
        }
    }
}

async fn wait(due: Instant) {
    if due > Instant::now() {
        tokio::time::sleep_until(due).await;
    }
}

impl Inbox {
    /// The next message; `None` at the end of the stream or at bytes that are no message.
    pub(super) async fn next(&mut self) -> Option<PgWireFrontendMessage> {
        loop {
            match PgWireFrontendMessage::decode(&mut self.buffer, &self.context) {
                Ok(Some(message)) => return Some(message),
                Ok(None) => {}
                Err(error) => {
                    log::debug!(error:% = error; "stand-in database closes a connection");
                    return None;
                }
            }
            let (due, bytes) = self.chunks.recv().await?;
            wait(due).await;
            self.buffer.extend_from_slice(&bytes);
        }
    }

    /// The encryption request is answered, or there was none.
    pub(super) fn encryption_settled(&mut self) {
        self.context.awaiting_ssl = false;
    }

    /// The startup message has been read.
    pub(super) fn started(&mut self) {
        self.context.awaiting_startup = false;
        self.context.protocol_version = pgwire::messages::ProtocolVersion::PROTOCOL3_0;
    }
}

impl Outbox {
    /// Sends bytes; nobody is left to hear of a failure.
    pub(super) fn send(&self, bytes: Bytes) {
        let _ = self.chunks.send((Instant::now() + self.latency, bytes));
    }
}
