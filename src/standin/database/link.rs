//! One client connection: adds latency in both directions and applies the faults that stop its bytes.

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

/// How long packets may be lost before a database closes the connection, as TCP keepalive does.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// How many received chunks may wait in an inbox.
const MAX_QUEUED_CHUNKS: usize = 64;

/// The properties of a connection that decide which faults apply to it.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) database: DatabaseId,
    pub(super) ip: IpAddr,
    /// The connection's sequence number within the process.
    pub(super) number: u64,
    /// The database's life (incarnation of its process) when the connection was accepted.
    pub(super) life: u64,
}

/// Whether bytes are delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Open,
    /// Bytes wait; the database does nothing either.
    Frozen,
    /// Packets are lost, temporarily or permanently.
    Lost,
    /// The database process that accepted the connection has ended.
    Ended,
}

impl Peer {
    fn delivery(&self, shared: &Shared) -> Delivery {
        let delivery = shared.node(&self.database, |node| {
            if node.faults.life != self.life || node.faults.down {
                Delivery::Ended
            } else if node.faults.frozen {
                Delivery::Frozen
            } else if self.number < node.faults.silent_below || node.faults.cut.contains(&self.ip) {
                Delivery::Lost
            } else {
                Delivery::Open
            }
        });
        delivery.unwrap_or(Delivery::Ended)
    }

    /// Waits until bytes are delivered; false if the database process has ended.
    async fn wait_for_delivery(&self, shared: &Shared) -> bool {
        let mut changed = shared.faults_changed.subscribe();
        loop {
            match self.delivery(shared) {
                Delivery::Open => return true,
                Delivery::Ended => return false,
                Delivery::Frozen | Delivery::Lost => {
                    if changed.changed().await.is_err() {
                        return false;
                    }
                }
            }
        }
    }

    /// Returns once the database has lost the connection: true if the peer is notified.
    pub(super) async fn wait_for_end(&self, shared: &Shared) -> bool {
        let mut changed = shared.faults_changed.subscribe();
        let mut lost_since = None;
        loop {
            let delivery = self.delivery(shared);
            match delivery {
                Delivery::Ended => return true,
                Delivery::Lost => {
                    let since = *lost_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= KEEPALIVE_TIMEOUT {
                        return false;
                    }
                    let rest = KEEPALIVE_TIMEOUT.saturating_sub(since.elapsed());
                    let _ = tokio::time::timeout(rest, changed.changed()).await;
                }
                Delivery::Open | Delivery::Frozen => {
                    lost_since = None;
                    if changed.changed().await.is_err() {
                        return true;
                    }
                }
            }
        }
    }
}

/// The receiving half of a connection.
#[derive(Debug)]
pub(super) struct Inbox {
    chunks: mpsc::Receiver<(Instant, Bytes)>,
    buffer: BytesMut,
    context: DecodeContext,
}

/// The sending half of a connection.
#[derive(Debug, Clone)]
pub(super) struct Outbox {
    chunks: mpsc::UnboundedSender<(Instant, Bytes)>,
    latency: Duration,
}

/// Splits a connection and starts the tasks that receive and send its bytes.
pub(super) fn open(
    stream: TcpStream,
    peer: Rc<Peer>,
    shared: Arc<Shared>,
    latency: Duration,
) -> (Inbox, Outbox) {
    let (read, write) = stream.into_split();
    let (arrived, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
    actix_rt::spawn(receive(
        read,
        arrived,
        peer.clone(),
        shared.clone(),
        latency,
    ));
    let inbox = Inbox {
        chunks,
        buffer: BytesMut::new(),
        context: DecodeContext::default(),
    };
    let (chunks, outgoing) = mpsc::unbounded_channel();
    actix_rt::spawn(transmit(write, outgoing, peer, shared));
    (inbox, Outbox { chunks, latency })
}

/// Reads from the socket. The end of the stream is delayed and lost like a packet, so the database
/// does not notice a peer that closes the connection during a network partition.
async fn receive(
    mut read: OwnedReadHalf,
    arrived: mpsc::Sender<(Instant, Bytes)>,
    peer: Rc<Peer>,
    shared: Arc<Shared>,
    latency: Duration,
) {
    const CHUNK_SIZE: usize = 16 * 1024;
    loop {
        let mut chunk = BytesMut::with_capacity(CHUNK_SIZE);
        let count = read.read_buf(&mut chunk).await.unwrap_or(0);
        let due = Instant::now() + latency;
        if !peer.wait_for_delivery(&shared).await {
            return;
        }
        if count == 0 || arrived.send((due, chunk.freeze())).await.is_err() {
            return;
        }
    }
}

/// Writes to the socket and keeps it open until the last sender is dropped and, while packets are
/// lost, until the peer itself closes it.
async fn transmit(
    mut write: OwnedWriteHalf,
    mut outgoing: mpsc::UnboundedReceiver<(Instant, Bytes)>,
    peer: Rc<Peer>,
    shared: Arc<Shared>,
) {
    while let Some((due, bytes)) = outgoing.recv().await {
        sleep_until_due(due).await;
        if !peer.wait_for_delivery(&shared).await || write.write_all(&bytes).await.is_err() {
            return;
        }
    }
    let mut changed = shared.faults_changed.subscribe();
    while peer.delivery(&shared) == Delivery::Lost && write.writable().await.is_ok() {
        if changed.changed().await.is_err() {
            return;
        }
    }
}

async fn sleep_until_due(due: Instant) {
    if due > Instant::now() {
        tokio::time::sleep_until(due).await;
    }
}

impl Inbox {
    /// Returns the next message; `None` at the end of the stream or if the bytes can't be decoded.
    pub(super) async fn next(&mut self) -> Option<PgWireFrontendMessage> {
        loop {
            match PgWireFrontendMessage::decode(&mut self.buffer, &self.context) {
                Ok(Some(message)) => return Some(message),
                Ok(None) => {}
                Err(error) => {
                    log::debug!(error:% = error; "stand-in database closes a connection: invalid message");
                    return None;
                }
            }
            let (due, bytes) = self.chunks.recv().await?;
            sleep_until_due(due).await;
            self.buffer.extend_from_slice(&bytes);
        }
    }

    /// Marks the encryption request as answered, or as not sent.
    pub(super) fn finish_encryption(&mut self) {
        self.context.awaiting_ssl = false;
    }

    /// Marks the startup message as read.
    pub(super) fn finish_startup(&mut self) {
        self.context.awaiting_startup = false;
        self.context.protocol_version = pgwire::messages::ProtocolVersion::PROTOCOL3_0;
    }
}

impl Outbox {
    /// Queues bytes to be sent; ignores the error if the connection has ended.
    pub(super) fn send(&self, bytes: Bytes) {
        let _ = self.chunks.send((Instant::now() + self.latency, bytes));
    }
}
