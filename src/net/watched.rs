//! Connections to other VMs that show whether the process at the other end has ended.
//!
//! When a process ends, its system closes the connections that it had in order, and refuses new
//! ones. A partition may refuse new connections while the process runs, but it resets those that
//! are open, or lets them hang. So a refusal alone is no proof of an end: if it were taken for one,
//! the leases of a running VM would not be waited for.

use crate::types::Life;
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether the other end of a connection has closed it in order.
type Closed = Arc<AtomicBool>;

/// Opens the connections of one channel, of which at most one is open at a time.
#[derive(Debug, Clone)]
pub struct Connector {
    address: SocketAddr,
    newest: Arc<Mutex<Closed>>,
}

impl Connector {
    /// A connector to a VM.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            newest: Arc::default(),
        }
    }

    /// The newest connection, over which the process with this life has answered.
    pub fn session(&self, life: Life) -> Session {
        let newest = self.newest.lock().unwrap_or_else(PoisonError::into_inner);
        Session {
            life,
            closed: Arc::clone(&newest),
        }
    }
}

impl tower_service::Service<http::Uri> for Connector {
    type Response = TokioIo<Watched>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _: http::Uri) -> Self::Future {
        let connector = self.clone();
        Box::pin(async move {
            let stream = TcpStream::connect(connector.address).await?;
            stream.set_nodelay(true)?;
            let closed = Closed::default();
            let mut newest = connector
                .newest
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            *newest = Arc::clone(&closed);
            Ok(TokioIo::new(Watched {
                stream,
                closed,
                closing: false,
            }))
        })
    }
}

/// A connection and the life of the process that has answered over it.
#[derive(Debug, Clone)]
pub struct Session {
    life: Life,
    closed: Closed,
}

impl Session {
    /// The life of the process, if the connection was closed in order.
    pub fn closed(&self) -> Option<Life> {
        self.closed.load(Ordering::Relaxed).then_some(self.life)
    }
}

/// A stream that notes when its other end closes it in order.
#[derive(Debug)]
pub struct Watched {
    stream: TcpStream,
    closed: Closed,
    /// Whether this end has closed it: then the other end does so too, although its process runs.
    closing: bool,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let ends = buffer.filled().len() == before && buffer.remaining() > 0;
        if ends && !self.closing {
            self.closed.store(true, Ordering::Relaxed);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.closing = true;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
