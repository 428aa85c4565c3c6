//! Streams of this VM to owners of databases.

use crate::clock::{Span, Time};
use crate::direct::adapter::Adapter;
use crate::direct::outcome::Loss;
use crate::direct::relay::{Channel, Request, Told};
use futures_util::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncReadExt;

/// How long opening a stream may take: two round trips between regions and a slow VM's turn. The
/// next owner is asked after that.
const OPENING: Span = Span::from_millis(150);

/// How long a stream stays idle before it is closed. It takes a descriptor at both ends and nothing
/// of the database.
const IDLE: Span = Span::from_secs(10);

/// How long an owner is passed over that was not reached, or did not reply: most troubles of a VM
/// take seconds, and each try at it costs a statement [`OPENING`] or more.
const DOUBT: Span = Span::from_secs(1);

/// The same for one that says that it stops.
const AWAY: Span = Span::from_secs(5);

/// A stream to an owner, for one statement or transaction at a time.
pub struct Line {
    owner: SocketAddr,
    channel: Channel,
    /// Whether no reply is owed.
    settled: bool,
    used: Time,
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

    /// Sends a request and reads the reply. A stream whose reply was not read to its end is of no
    /// use any more.
    pub async fn ask(&mut self, request: &Request) -> io::Result<Told> {
        self.settled = false;
        self.channel.send(request).await?;
        let Some(told) = self.channel.receive().await? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        self.settled = true;
        Ok(told)
    }

    /// Whether an idle stream is still open and silent, as far as is known here.
    fn is_alive(&mut self) -> bool {
        let Channel { stream, input, .. } = &mut self.channel;
        input.reserve(1);
        let read = stream.read_buf(input).now_or_never();
        read.is_none() && self.is_clean()
    }

    /// Whether every reply was read, and nothing else has come.
    fn is_clean(&self) -> bool {
        self.settled && self.channel.input.is_empty()
    }
}

#[derive(Debug, Default)]
struct Peer {
    idle: Vec<Line>,
    /// Until when it is passed over.
    doubted: Time,
}

/// All streams to owners that are not in use, and which owners are passed over.
pub struct Lines {
    adapter: Adapter,
    peers: RefCell<BTreeMap<SocketAddr, Peer>>,
    sweeping: Cell<bool>,
}

impl fmt::Debug for Lines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lines").finish_non_exhaustive()
    }
}

impl Lines {
    /// No stream yet.
    pub fn new(adapter: Adapter) -> Rc<Self> {
        Rc::new(Self {
            adapter,
            peers: RefCell::default(),
            sweeping: Cell::default(),
        })
    }

    /// The time.
    pub fn now(&self) -> Time {
        (self.adapter.clock)()
    }

    /// Whether an owner is passed over now.
    pub fn doubts(&self, owner: SocketAddr) -> bool {
        let peers = self.peers.borrow();
        let doubted = peers.get(&owner).map(|peer| peer.doubted);
        doubted.is_some_and(|until| self.now() < until)
    }

    /// Takes an idle stream to an owner, or opens one; an owner that is not reached is doubted.
    pub async fn take(&self, owner: SocketAddr) -> io::Result<Line> {
        while let Some(mut line) = self.idle(owner) {
            if line.is_alive() {
                return Ok(line);
            }
        }
        match (self.adapter.connect)(owner, OPENING).await {
            Ok(stream) => Ok(Line {
                owner,
                channel: Channel::new(stream),
                settled: true,
                used: self.now(),
            }),
            Err(error) => {
                self.doubt(owner, &error);
                Err(error)
            }
        }
    }

    fn idle(&self, owner: SocketAddr) -> Option<Line> {
        self.peers.borrow_mut().get_mut(&owner)?.idle.pop()
    }

    /// Keeps a stream for the next statement.
    pub fn give_back(self: &Rc<Self>, mut line: Line) {
        if !line.is_clean() {
            return;
        }
        line.used = self.now();
        let mut peers = self.peers.borrow_mut();
        peers.entry(line.owner).or_default().idle.push(line);
        drop(peers);
        self.sweep();
    }

    /// Asks an owner over one of its streams, and passes it over if no reply comes `within` that time.
    pub async fn ask(
        &self,
        line: &mut Line,
        request: &Request,
        within: Span,
    ) -> Result<Told, Loss> {
        match tokio::time::timeout(within.into(), line.ask(request)).await {
            Ok(Ok(told)) => Ok(told),
            Ok(Err(error)) => {
                self.doubt(line.owner, &error);
                Err(Loss::Broken)
            }
            Err(_) => {
                self.doubt(line.owner, &"no reply in time");
                Err(Loss::Silent)
            }
        }
    }

    /// Passes an owner over for a while that failed, and closes its idle streams: whatever lost
    /// track of one has often lost track of those beside it.
    fn doubt(&self, owner: SocketAddr, reason: &dyn fmt::Display) {
        log::info!(owner:%, reason:%; "an owner is passed over for a while");
        self.pass_over(owner, DOUBT);
    }

    /// Passes an owner over that is about to stop.
    pub fn leave(&self, owner: SocketAddr) {
        self.pass_over(owner, AWAY);
    }

    fn pass_over(&self, owner: SocketAddr, span: Span) {
        let until = self.now() + span;
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(owner).or_default();
        peer.doubted = until;
        peer.idle.clear();
    }

    /// Closes streams that stay idle, from a task that lives while there are any.
    fn sweep(self: &Rc<Self>) {
        if self.sweeping.replace(true) {
            return;
        }
        let lines = self.clone();
        actix_rt::spawn(async move {
            while let Some(oldest) = lines.oldest() {
                let due = (oldest + IDLE).since(lines.now());
                tokio::time::sleep(due.into()).await;
                lines.close_unused();
            }
            lines.sweeping.set(false);
        });
    }

    fn oldest(&self) -> Option<Time> {
        let peers = self.peers.borrow();
        let idle = peers.values().flat_map(|peer| &peer.idle);
        idle.map(|line| line.used).min()
    }

    fn close_unused(&self) {
        let now = self.now();
        self.peers.borrow_mut().retain(|_, peer| {
            peer.idle.retain(|line| now < line.used + IDLE);
            !peer.idle.is_empty() || now < peer.doubted
        });
    }
}
