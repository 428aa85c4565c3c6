//! Closing of callers' connections, with the error that is sent before.

use super::SEND_TIMEOUT;
use super::fault::Fault;
use crate::net::frame;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, sink};
use tokio::net::TcpStream;

/// How long a closed connection is read until the caller closes its end.
const LINGER: Duration = Duration::from_secs(1);

/// Why a connection ends.
#[derive(Debug)]
pub(super) enum End {
    /// The caller closed the connection, or can't be reached.
    Gone,
    /// The caller is sent this error before the connection is closed.
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

/// Sends the reason, if there is one, and closes the connection.
pub(super) async fn close(stream: &mut TcpStream, end: &End) {
    if let End::Fault(fault) = end {
        log::info!(code = fault.code(), reason:% = fault; "closing a caller");
        let message = frame::encode(&fault.response(true));
        let _ = send(stream, &message).await;
        let _ = stream.shutdown().await;
        // Closing with unread bytes would reset the connection, and the caller would lose the message.
        let _ = tokio::time::timeout(LINGER, tokio::io::copy(stream, &mut sink())).await;
    }
}

/// Sends `bytes`, with [`SEND_TIMEOUT`].
pub(super) async fn send(stream: &mut TcpStream, bytes: &[u8]) -> Result<(), End> {
    let sent = tokio::time::timeout(SEND_TIMEOUT, stream.write_all(bytes)).await;
    sent.map_err(|_| End::Gone)?.map_err(End::from)
}
