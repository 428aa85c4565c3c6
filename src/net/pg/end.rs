//! How a caller's connection ends, and what it is told.

use super::SEND_LIMIT;
use super::fault::Fault;
use crate::net::frame;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, sink};
use tokio::net::TcpStream;

/// How long a caller that is closed may take to notice.
const LINGER: Duration = Duration::from_secs(1);

/// Why a connection ends.
#[derive(Debug)]
pub(super) enum End {
    /// The caller left, or can't be reached.
    Gone,
    /// The caller is told why, and closed.
    Fault(Fault),
}

impl From<Fault> for End {
    fn from(fault: Fault) -> Self {
        Self::Fault(fault)
    }
}

impl From<std::io::Error> for End {
    fn from(_: std::io::Error) -> Self {
        Self::Gone
    }
}

/// Tells a caller why its connection ends.
pub(super) async fn say(stream: &mut TcpStream, end: &End) {
    if let End::Fault(fault) = end {
        log::info!(code = fault.code(), reason:% = fault; "closing a caller");
        let message = frame::encode(&fault.response(true));
        let _ = send(stream, &message).await;
        let _ = stream.shutdown().await;
        // A close with bytes unread resets the connection, and the caller would lose the message.
        let _ = tokio::time::timeout(LINGER, tokio::io::copy(stream, &mut sink())).await;
    }
}

/// Sends `bytes`, as long as the caller takes them.
pub(super) async fn send(stream: &mut TcpStream, bytes: &[u8]) -> Result<(), End> {
    let sent = tokio::time::timeout(SEND_LIMIT, stream.write_all(bytes)).await;
    sent.map_err(|_| End::Gone)?.map_err(End::from)
}
