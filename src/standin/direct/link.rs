//! An in-memory connection that can delay bytes, hold them back, or break.

use bytes::{Buf, Bytes};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep_until};

/// One direction of a connection.
#[derive(Debug)]
struct Direction {
    queue: VecDeque<(Instant, Bytes)>,
    ended: Option<Instant>,
    broken: bool,
    held: bool,
    silent: bool,
    dropped_by_far_end: bool,
    delay: Duration,
    last: Instant,
    reader: Option<Waker>,
}

/// One end of a connection.
#[derive(Debug)]
pub struct Stream {
    input: Rc<RefCell<Direction>>,
    output: Rc<RefCell<Direction>>,
    timer: Pin<Box<Sleep>>,
}

/// A handle that disturbs a connection.
#[derive(Debug, Clone)]
pub struct Link {
    directions: [Rc<RefCell<Direction>>; 2],
}

impl Direction {
    fn new(delay: Duration) -> Rc<RefCell<Self>> {
        Rc::new(RefCell::new(Self {
            queue: VecDeque::new(),
            ended: None,
            broken: false,
            held: false,
            silent: false,
            dropped_by_far_end: false,
            delay,
            last: Instant::now(),
            reader: None,
        }))
    }

    fn wake(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    fn next_arrival(&mut self) -> Instant {
        self.last = self.last.max(Instant::now() + self.delay);
        self.last
    }
}

/// Creates a connection whose bytes take `delay` each way.
pub fn pair(delay: Duration) -> (Stream, Stream, Link) {
    let (a, b) = (Direction::new(delay), Direction::new(delay));
    let link = Link {
        directions: [a.clone(), b.clone()],
    };
    (Stream::new(a.clone(), b.clone()), Stream::new(b, a), link)
}

impl Link {
    /// Holds all bytes back, or releases them.
    pub fn hold(&self, held: bool) {
        for direction in &self.directions {
            let mut direction = direction.borrow_mut();
            direction.held = held;
            direction.wake();
        }
    }

    /// Whether bytes are held back.
    pub fn is_held(&self) -> bool {
        self.directions
            .iter()
            .any(|direction| direction.borrow().held)
    }

    /// Sets the delay of bytes that are sent from now on.
    pub fn set_delay(&self, delay: Duration) {
        for direction in &self.directions {
            direction.borrow_mut().delay = delay;
        }
    }

    /// Holds all bytes back for good.
    pub fn silence(&self) {
        for direction in &self.directions {
            direction.borrow_mut().silent = true;
        }
    }

    /// Resets the connection: both ends fail at once, and bytes in transit are lost.
    pub fn reset(&self) {
        for direction in &self.directions {
            let mut direction = direction.borrow_mut();
            direction.broken = true;
            direction.wake();
        }
    }

    /// Whether its bytes are held back for good.
    pub fn is_silent(&self) -> bool {
        self.directions
            .iter()
            .any(|direction| direction.borrow().silent)
    }

    /// Fails the connection at the far end; the near end does not notice yet.
    pub fn give_up(&self) {
        let mut direction = self.directions[1].borrow_mut();
        direction.dropped_by_far_end = true;
        direction.wake();
    }

    /// Whether the connection is no longer in use: both ends are closed, or it is broken.
    pub fn is_over(&self) -> bool {
        self.directions
            .iter()
            .all(|direction| Rc::strong_count(direction) <= 1)
            || self
                .directions
                .iter()
                .any(|direction| direction.borrow().broken)
    }
}

impl Stream {
    fn new(input: Rc<RefCell<Direction>>, output: Rc<RefCell<Direction>>) -> Self {
        let timer = Box::pin(sleep_until(Instant::now()));
        Self {
            input,
            output,
            timer,
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        let mut output = self.output.borrow_mut();
        let arrival = output.next_arrival();
        output.ended.get_or_insert(arrival);
        output.wake();
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let input = self.input.clone();
        let mut direction = input.borrow_mut();
        direction.reader = Some(context.waker().clone());
        if direction.broken || direction.dropped_by_far_end {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if direction.held || direction.silent {
            return Poll::Pending;
        }
        let front = direction.queue.front().map(|(arrival, _)| *arrival);
        let Some(arrival) = front.or(direction.ended) else {
            return Poll::Pending;
        };
        if arrival > Instant::now() {
            self.timer.as_mut().reset(arrival);
            if self.timer.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
        }
        let Some((_, bytes)) = direction.queue.front_mut() else {
            return Poll::Ready(Ok(()));
        };
        let count = bytes.len().min(buffer.remaining());
        buffer.put_slice(&bytes.split_to(count));
        if !bytes.has_remaining() {
            direction.queue.pop_front();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut direction = self.output.borrow_mut();
        if direction.broken {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if direction.ended.is_some() {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let arrival = direction.next_arrival();
        direction
            .queue
            .push_back((arrival, Bytes::copy_from_slice(bytes)));
        direction.wake();
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut direction = self.output.borrow_mut();
        let arrival = direction.next_arrival();
        direction.ended.get_or_insert(arrival);
        direction.wake();
        Poll::Ready(Ok(()))
    }
}
