//! What the system gives to direct access: the clock that counts pauses, listeners, connections.

use crate::clock::{Span, Time};
use crate::direct::adapter::{Clock, Connect, Stream};
use rustix::net::sockopt;
use rustix::time::{ClockId, clock_gettime};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// How many connections may wait to be accepted. When the queue is full the other end tries again
/// only after a second, so it holds all callers of a VM that come back at once.
const BACKLOG: u32 = 4_096;

/// How long sent bytes may stay unacknowledged before a connection counts as broken. Far above a
/// round trip between regions; an answer's own deadline is longer as a rule.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// The system's clock that goes on while the VM is paused, in microseconds.
fn now() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
}

/// A clock that starts now and counts pauses of the VM.
pub fn clock() -> Clock {
    Rc::new(since_now())
}

/// The same, for any thread.
pub fn since_now() -> impl Fn() -> Time + Copy + Send + Sync + 'static {
    let origin = now();
    move || Time(now().saturating_sub(origin))
}

/// Listens at an address, also right after the process before has ended.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Prepares a connection: what is written leaves at once, and a peer that is cut off shows.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let limit = u32::try_from(UNACKNOWLEDGED.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, limit)?;
    Ok(())
}

/// Opens connections; `abrupt` ones are reset as they are closed.
pub fn connect(abrupt: bool) -> Connect {
    Rc::new(move |address: SocketAddr, within: Span| {
        Box::pin(async move {
            let connected = tokio::time::timeout(within.into(), TcpStream::connect(address)).await;
            let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            prepare(&stream)?;
            if abrupt {
                sockopt::set_socket_linger(&stream, Some(Duration::ZERO))?;
            }
            Ok(Box::new(stream) as Box<dyn Stream>)
        })
    })
}
