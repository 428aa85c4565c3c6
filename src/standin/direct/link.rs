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
struct Way {
    queue: VecDeque<(Instant, Bytes)>,
    ended: Option<Instant>,
    broken: bool,
    held: bool,
    silent: bool,
    given_up: bool,
    delay: Duration,
    last: Instant,
    reader: Option<Waker>,
}

/// One end of a connection.
#[derive(Debug)]
pub struct Stream {
    input: Rc<RefCell<Way>>,
    output: Rc<RefCell<Way>>,
    timer: Pin<Box<Sleep>>,
}

/// A handle that disturbs a connection.
#[derive(Debug, Clone)]
pub struct Link {
    ways: [Rc<RefCell<Way>>; 2],
}

impl Way {
    fn new(delay: Duration) -> Rc<RefCell<Self>> {
        Rc::new(RefCell::new(Self {
            queue: VecDeque::new(),
            ended: None,
            broken: false,
            held: false,
            silent: false,
            given_up: false,
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

    fn due(&mut self) -> Instant {
        self.last = self.last.max(Instant::now() + self.delay);
        self.last
    }
}

/// Creates a connection whose bytes take `delay` each way.
pub fn pair(delay: Duration) -> (Stream, Stream, Link) {
    let (a, b) = (Way::new(delay), Way::new(delay));
    let link = Link {
        ways: [a.clone(), b.clone()],
    };
    (Stream::new(a.clone(), b.clone()), Stream::new(b, a), link)
}

impl Link {
    /// Holds all bytes back, or releases them.
    pub fn hold(&self, held: bool) {
        for way in &self.ways {
            let mut way = way.borrow_mut();
            way.held = held;
            way.wake();
        }
    }

    /// Whether bytes are held back.
    pub fn is_held(&self) -> bool {
        self.ways.iter().any(|way| way.borrow().held)
    }

    /// Sets the delay of bytes that are sent from now on.
    pub fn set_delay(&self, delay: Duration) {
        for way in &self.ways {
            way.borrow_mut().delay = delay;
        }
    }

    /// Holds all bytes back for good.
    pub fn silence(&self) {
        for way in &self.ways {
            way.borrow_mut().silent = true;
        }
    }

    /// Resets the connection: both ends fail at once, and bytes in transit are lost.
    pub fn reset(&self) {
        for way in &self.ways {
            let mut way = way.borrow_mut();
            way.broken = true;
            way.wake();
        }
    }

    /// Whether its bytes are held back for good.
    pub fn is_silent(&self) -> bool {
        self.ways.iter().any(|way| way.borrow().silent)
    }

    /// Fails the connection at the far end; the near end does not notice yet.
    pub fn give_up(&self) {
        let mut way = self.ways[1].borrow_mut();
        way.given_up = true;
        way.wake();
    }

    /// Whether the connection is no longer in use: both ends are closed, or it is broken.
    pub fn is_over(&self) -> bool {
        self.ways.iter().all(|way| Rc::strong_count(way) <= 1)
            || self.ways.iter().any(|way| way.borrow().broken)
    }
}

impl Stream {
    fn new(input: Rc<RefCell<Way>>, output: Rc<RefCell<Way>>) -> Self {
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
        let due = output.due();
        output.ended.get_or_insert(due);
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
        let mut way = input.borrow_mut();
        way.reader = Some(context.waker().clone());
        if way.broken || way.given_up {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if way.held || way.silent {
            return Poll::Pending;
        }
        let front = way.queue.front().map(|(due, _)| *due);
        let Some(due) = front.or(way.ended) else {
            return Poll::Pending;
        };
        if due > Instant::now() {
            self.timer.as_mut().reset(due);
            if self.timer.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
        }
        let Some((_, bytes)) = way.queue.front_mut() else {
            return Poll::Ready(Ok(()));
        };
        let count = bytes.len().min(buffer.remaining());
        buffer.put_slice(&bytes.split_to(count));
        if !bytes.has_remaining() {
            way.queue.pop_front();
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
        let mut way = self.output.borrow_mut();
        if way.broken {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if way.ended.is_some() {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let due = way.due();
        way.queue.push_back((due, Bytes::copy_from_slice(bytes)));
        way.wake();
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut way = self.output.borrow_mut();
        let due = way.due();
        way.ended.get_or_insert(due);
        way.wake();
        Poll::Ready(Ok(()))
    }
}
