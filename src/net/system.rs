//! System services of direct access: a clock that counts pauses, listeners and connections.

use crate::clock::{Span, Time};
use crate::direct::adapter::{Clock, Connect, Stream};
use rustix::net::sockopt;
use rustix::time::{ClockId, clock_gettime};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// How many connections may wait to be accepted. When the queue is full, the other end retries only
/// after a second, so the queue holds all callers of a VM that reconnect at once.
const BACKLOG: u32 = 4_096;

/// How long sent bytes may stay unacknowledged before a connection counts as broken. It is far above a
/// round trip between regions, and usually below the deadline of an answer.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// The system's clock that continues while the VM is paused, in microseconds.
fn now() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
}

/// The value of the clock when a process starts.
///
/// VMs send each other ages of a few seconds, far less than this day. If the clock started at zero, a VM
/// that had run for one second and received an age of three seconds would compute a time before zero,
/// which is clamped to zero and looks one second old: a read with an age limit of 1.5 s missed what
/// was acknowledged two seconds before, and a lease lasted too long.
const CLOCK_START: Span = Span::from_secs(24 * 60 * 60);

/// Returns a clock that starts at `CLOCK_START` and counts pauses of the VM.
pub fn clock() -> Clock {
    let since_start = since_now();
    Rc::new(move || since_start() + CLOCK_START)
}

/// Returns a clock that starts at zero and can be used by any thread.
pub fn since_now() -> impl Fn() -> Time + Copy + Send + Sync + 'static {
    let origin = now();
    move || Time(now().saturating_sub(origin))
}

/// Listens at an address, even right after a previous process on it has ended.
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

/// Configures a connection: writes are sent at once, and an unreachable peer is detected.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let limit = u32::try_from(UNACKNOWLEDGED_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, limit)?;
    Ok(())
}

/// Returns the function that opens connections, which are reset when closed if `reset_on_close`.
pub fn connect(reset_on_close: bool) -> Connect {
    Rc::new(move |address: SocketAddr, timeout: Span| {
        Box::pin(async move {
            let connected = tokio::time::timeout(timeout.into(), TcpStream::connect(address)).await;
            let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            configure(&stream)?;
            if reset_on_close {
                sockopt::set_socket_linger(&stream, Some(Duration::ZERO))?;
            }
            Ok(Box::new(stream) as Box<dyn Stream>)
        })
    })
}
