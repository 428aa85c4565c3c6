//! Lines: this VM's streams to owners of databases.

use crate::clock::{Span, Time};
use crate::direct::adapter::Adapter;
use crate::direct::outcome::Loss;
use crate::direct::relay::{Channel, Request, Response, Trailer};
use futures_util::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncReadExt;

/// How long opening a stream may take before the next owner is asked: two round trips between regions and a
/// slow VM's processing.
const OPEN_TIMEOUT: Span = Span::from_millis(150);

/// How long a stream stays idle before it is closed. It costs a file descriptor at both ends, but nothing at
/// the database.
const IDLE_TIMEOUT: Span = Span::from_secs(10);

/// How long an owner is avoided that was not reached or did not reply: most faults of a VM last for seconds,
/// and each try costs a statement [`OPEN_TIMEOUT`] or more.
const FAILURE_AVOIDANCE: Span = Span::from_secs(1);

/// How long an owner is avoided that is stopping.
const STOP_AVOIDANCE: Span = Span::from_secs(5);

/// A stream to an owner, for one statement or transaction at a time.
pub struct Line {
    owner: SocketAddr,
    channel: Channel,
    /// Whether no reply is outstanding.
    settled: bool,
    last_used: Time,
}

impl fmt::Debug for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Line")
            .field("owner", &self.owner)
            .field("settled", &self.settled)
            .finish_non_exhaustive()
    }
}

impl Line {
    /// The owner at the other end.
    pub fn owner(&self) -> SocketAddr {
        self.owner
    }

    /// Sends a request and reads the reply. If the reply is not read completely, the stream can't be reused.
    pub async fn ask(&mut self, request: &Request) -> io::Result<Response> {
        self.settled = false;
        self.channel.send(request).await?;
        self.receive().await
    }

    /// The same for a request for tokens, with its rank and how long it may wait.
    pub async fn ask_with_trailer(
        &mut self,
        request: &Request,
        trailer: Trailer,
    ) -> io::Result<Response> {
        self.settled = false;
        self.channel.send_with_trailer(request, trailer).await?;
        self.receive().await
    }

    async fn receive(&mut self) -> io::Result<Response> {
        let Some(response) = self.channel.receive().await? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        self.settled = true;
        Ok(response)
    }

    /// Whether an idle stream is still open and has received nothing, as far as is known here.
    fn is_alive(&mut self) -> bool {
        let Channel { stream, input, .. } = &mut self.channel;
        input.reserve(1);
        let read = stream.read_buf(input).now_or_never();
        read.is_none() && self.is_clean()
    }

    /// Whether every reply was read and nothing else has arrived.
    fn is_clean(&self) -> bool {
        self.settled && self.channel.input.is_empty()
    }
}

/// The idle streams to one owner.
#[derive(Debug, Default)]
struct Endpoint {
    idle: Vec<Line>,
    /// Until when the owner is avoided.
    avoided_until: Time,
}

/// A pool of idle streams to owners, which also records the owners to avoid.
pub struct Lines {
    adapter: Adapter,
    endpoints: RefCell<BTreeMap<SocketAddr, Endpoint>>,
    sweeping: Cell<bool>,
}

impl fmt::Debug for Lines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lines").finish_non_exhaustive()
    }
}

impl Lines {
    /// A pool without streams.
    pub fn new(adapter: Adapter) -> Rc<Self> {
        Rc::new(Self {
            adapter,
            endpoints: RefCell::default(),
            sweeping: Cell::default(),
        })
    }

    /// The current time.
    pub fn now(&self) -> Time {
        (self.adapter.clock)()
    }

    /// Whether an owner is to be avoided now.
    pub fn avoids(&self, owner: SocketAddr) -> bool {
        let endpoints = self.endpoints.borrow();
        let until = endpoints.get(&owner).map(|endpoint| endpoint.avoided_until);
        until.is_some_and(|until| self.now() < until)
    }

    /// Takes an idle stream to an owner, or opens one; an owner that is not reached is avoided for a while.
    pub async fn take(&self, owner: SocketAddr) -> io::Result<Line> {
        while let Some(mut line) = self.idle(owner) {
            if line.is_alive() {
                return Ok(line);
            }
        }
        match (self.adapter.connect)(owner, OPEN_TIMEOUT).await {
            Ok(stream) => Ok(Line {
                owner,
                channel: Channel::new(stream),
                settled: true,
                last_used: self.now(),
            }),
            Err(error) => {
                self.avoid_failed(owner, &error);
                Err(error)
            }
        }
    }

    fn idle(&self, owner: SocketAddr) -> Option<Line> {
        self.endpoints.borrow_mut().get_mut(&owner)?.idle.pop()
    }

    /// Returns a stream to the pool, unless its replies were not read completely.
    pub fn give_back(self: &Rc<Self>, mut line: Line) {
        if !line.is_clean() {
            return;
        }
        line.last_used = self.now();
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.entry(line.owner).or_default().idle.push(line);
        drop(endpoints);
        self.sweep();
    }

    /// Sends a request to an owner, and avoids the owner for a while if the reply fails or takes longer than
    /// `within`.
    pub async fn ask(
        &self,
        line: &mut Line,
        request: &Request,
        within: Span,
    ) -> Result<Response, Loss> {
        match tokio::time::timeout(within.into(), line.ask(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => {
                self.avoid_failed(line.owner, &error);
                Err(Loss::Broken)
            }
            Err(_) => {
                self.avoid_failed(line.owner, &"no reply in time");
                Err(Loss::Silent)
            }
        }
    }

    /// Avoids an owner for a while after a failure, and closes its idle streams: what broke one of them has
    /// often broken the others too.
    fn avoid_failed(&self, owner: SocketAddr, reason: &dyn fmt::Display) {
        log::info!(owner:%, reason:%; "an owner is passed over for a while");
        self.avoid(owner, FAILURE_AVOIDANCE);
    }

    /// Avoids an owner that is stopping.
    pub fn avoid_stopping(&self, owner: SocketAddr) {
        self.avoid(owner, STOP_AVOIDANCE);
    }

    fn avoid(&self, owner: SocketAddr, span: Span) {
        let until = self.now() + span;
        let mut endpoints = self.endpoints.borrow_mut();
        let endpoint = endpoints.entry(owner).or_default();
        endpoint.avoided_until = until;
        endpoint.idle.clear();
    }

    /// Starts a task, unless there is one, that closes streams that stay idle and ends when none are left.
    fn sweep(self: &Rc<Self>) {
        if self.sweeping.replace(true) {
            return;
        }
        let lines = self.clone();
        actix_rt::spawn(async move {
            while let Some(oldest) = lines.oldest() {
                let due = (oldest + IDLE_TIMEOUT).since(lines.now());
                tokio::time::sleep(due.into()).await;
                lines.close_idle();
            }
            lines.sweeping.set(false);
        });
    }

    fn oldest(&self) -> Option<Time> {
        let endpoints = self.endpoints.borrow();
        let idle = endpoints.values().flat_map(|endpoint| &endpoint.idle);
        idle.map(|line| line.last_used).min()
    }

    fn close_idle(&self) {
        let now = self.now();
        self.endpoints.borrow_mut().retain(|_, endpoint| {
            endpoint
                .idle
                .retain(|line| now < line.last_used + IDLE_TIMEOUT);
            !endpoint.idle.is_empty() || now < endpoint.avoided_until
        });
    }
}
