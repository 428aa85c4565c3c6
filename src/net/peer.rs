//! Streams to other proxies: one fate a pair, whoever opened it.
//!
//! A stream that is in doubt is closed and reported as down; nothing that was sent on it is sent
//! again here, because only the core knows what may be.

mod handshake;
mod stream;

use crate::core::message::Message;
use crate::net::rpc;
use crate::types::{Life, VmId};
use handshake::{Incoming, accept, connect};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use stream::Stream;
pub use stream::{DOUBT, Frame, UNREAD_LIMIT};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tonic::Streaming;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

/// How often doubts and owed acknowledgements are looked at; an acknowledgement that no
/// message carries is sent after at most this long.
pub const CHECK: Duration = Duration::from_millis(500);

/// How long a connection attempt may take.
pub const DIAL: Duration = Duration::from_secs(1);

/// How long after a failed attempt the next one waits.
pub const REDIAL: Duration = Duration::from_millis(250);

const FLUSH_CHECK: Duration = Duration::from_millis(20);

/// What happens on the streams.
#[derive(Debug)]
pub enum Event {
    /// A stream to this VM is open.
    Up(VmId),
    /// The streams to this VM are closed, or none could be opened. Without an `Up` since the
    /// last `Down`, nothing that was to be sent has left.
    Down(VmId),
    /// A message arrived.
    Message {
        /// The sender.
        from: VmId,
        /// What it says.
        message: Box<Message>,
    },
}

/// Who this process is to its peers.
#[derive(Debug, Clone)]
pub struct Identity {
    /// This VM.
    pub vm: VmId,
    /// This process's life.
    pub life: Life,
    /// The address that its streams come from.
    pub source: IpAddr,
}

/// All streams of this process.
#[derive(Debug)]
pub struct Peers {
    identity: Identity,
    events: mpsc::UnboundedSender<Event>,
    book: RefCell<HashMap<VmId, SocketAddr>>,
    pairs: RefCell<HashMap<VmId, Pair>>,
    serial: Cell<u64>,
    /// `Down` events that were emitted and not taken yet.
    untold: RefCell<HashMap<VmId, u32>>,
}

#[derive(Debug)]
enum Pair {
    Dialing(Vec<Message>),
    Open { life: Life, streams: Vec<Stream> },
    Failed(Instant),
}

impl Peers {
    /// No streams yet. What happens on them goes to `events`.
    pub fn new(identity: Identity, events: mpsc::UnboundedSender<Event>) -> Rc<Self> {
        let peers = Rc::new(Self {
            identity,
            events,
            book: RefCell::default(),
            pairs: RefCell::default(),
            serial: Cell::new(0),
            untold: RefCell::default(),
        });
        actix_rt::spawn(check(Rc::downgrade(&peers)));
        peers
    }

    /// Where each VM listens, as the platform's list has it.
    pub fn learn(&self, addresses: impl IntoIterator<Item = (VmId, SocketAddr)>) {
        *self.book.borrow_mut() = addresses.into_iter().collect();
    }

    /// Serves the streams that other proxies open.
    pub fn listen(self: &Rc<Self>, listener: TcpListener) {
        let (sender, mut receiver) = mpsc::unbounded_channel::<Incoming>();
        let identity = self.identity.clone();
        let service = rpc::duplex(move |request: tonic::Request<Streaming<Frame>>| {
            let answer = accept(&identity, request, &sender);
            async move { answer }
        });
        let server = Server::builder()
            .add_service(service)
            .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)));
        actix_rt::spawn(async move {
            if let Err(error) = server.await {
                log::error!("peer listener ended: {error}; restart this process");
            }
        });
        let peers = Rc::clone(self);
        actix_rt::spawn(async move {
            while let Some(incoming) = receiver.recv().await {
                let Incoming {
                    vm,
                    life,
                    messages,
                    frames,
                } = incoming;
                peers.opened(vm, life, messages, frames);
            }
        });
    }

    /// Sends `message`, opening a stream if there is none.
    ///
    /// Failure: a stream breaks, and work is sent before the core has heard of it. Symptom: the
    /// core takes that work for lost with the old stream and sends it again, and it runs twice.
    /// Enough, because nothing is sent to a VM until its `Down` was taken.
    pub fn send(self: &Rc<Self>, to: VmId, message: Message) {
        if self.untold.borrow().contains_key(&to) {
            return;
        }
        let mut pairs = self.pairs.borrow_mut();
        match pairs.get_mut(&to) {
            Some(Pair::Open { streams, .. }) if !streams.is_empty() => streams[0].send(message),
            Some(Pair::Dialing(waiting)) => waiting.push(message),
            Some(Pair::Failed(until)) if *until > Instant::now() => self.emit(Event::Down(to)),
            _ => {
                pairs.insert(to.clone(), Pair::Dialing(vec![message]));
                drop(pairs);
                self.dial(to);
            }
        }
    }

    /// Waits until the peers have taken all that was sent so far, but no longer than `patience`.
    pub async fn flushed(&self, patience: Duration) {
        let sent: Vec<(u64, u64)> = self.each_stream(|stream| (stream.serial, stream.sent));
        let deadline = Instant::now() + patience;
        while Instant::now() < deadline {
            let taken = self.each_stream(|stream| (stream.serial, stream.acknowledged));
            let behind = |&(serial, sent): &(u64, u64)| {
                taken
                    .iter()
                    .any(|&(other, taken)| other == serial && taken < sent)
            };
            if !sent.iter().any(behind) {
                return;
            }
            tokio::time::sleep(FLUSH_CHECK).await;
        }
    }

    fn each_stream<T>(&self, look: impl Fn(&Stream) -> T) -> Vec<T> {
        let pairs = self.pairs.borrow();
        let open = pairs.values().filter_map(|pair| match pair {
            Pair::Open { streams, .. } => Some(streams),
            _ => None,
        });
        open.flatten().map(look).collect()
    }

    /// How many VMs this one has streams to.
    pub fn open(&self) -> usize {
        let pairs = self.pairs.borrow();
        pairs
            .values()
            .filter(|pair| matches!(pair, Pair::Open { .. }))
            .count()
    }

    /// The core is about to hear of a `Down` of `vm`.
    pub fn taken_down(&self, vm: &VmId) {
        let mut untold = self.untold.borrow_mut();
        if let Some(count) = untold.get_mut(vm) {
            *count -= 1;
            if *count == 0 {
                untold.remove(vm);
            }
        }
    }

    fn emit(&self, event: Event) {
        if let Event::Down(vm) = &event {
            *self.untold.borrow_mut().entry(vm.clone()).or_default() += 1;
        }
        // The receiver goes away only when the process ends.
        let _ = self.events.send(event);
    }

    fn dial(self: &Rc<Self>, to: VmId) {
        let peers = Rc::clone(self);
        actix_rt::spawn(async move {
            let address = peers.book.borrow().get(&to).copied();
            let Some(address) = address else {
                log::debug!(vm:% = to; "no address for a peer: it is not in the platform's list");
                return peers.dial_failed(&to);
            };
            match connect(&peers.identity, &to, address).await {
                Ok((life, messages, frames)) => peers.opened(to, life, messages, frames),
                Err(status) => {
                    log::debug!(vm:% = to, address:%; "peer can't be reached: {status}");
                    peers.dial_failed(&to);
                }
            }
        });
    }

    fn dial_failed(&self, to: &VmId) {
        let failed = Pair::Failed(Instant::now() + REDIAL);
        let mut pairs = self.pairs.borrow_mut();
        // Otherwise the peer's own stream came in meanwhile and took what was waiting.
        if let Some(Pair::Dialing(_)) = pairs.get(to) {
            pairs.insert(to.clone(), failed);
            self.emit(Event::Down(to.clone()));
        }
    }

    fn opened(
        self: &Rc<Self>,
        vm: VmId,
        life: Life,
        messages: Streaming<Frame>,
        frames: mpsc::UnboundedSender<Frame>,
    ) {
        self.end_former_life(&vm, life);
        let serial = self.serial.replace(self.serial.get() + 1);
        let mut stream = Stream::new(serial, frames);
        let mut pairs = self.pairs.borrow_mut();
        match pairs.get_mut(&vm) {
            Some(Pair::Open { streams, .. }) => streams.push(stream),
            former => {
                if let Some(Pair::Dialing(waiting)) = former {
                    waiting.drain(..).for_each(|message| stream.send(message));
                }
                pairs.insert(
                    vm.clone(),
                    Pair::Open {
                        life,
                        streams: vec![stream],
                    },
                );
                self.emit(Event::Up(vm.clone()));
            }
        }
        drop(pairs);
        actix_rt::spawn(read(Rc::clone(self), vm, serial, messages));
    }

    /// A VM that was restarted under the same name knows nothing of what its former life was sent.
    fn end_former_life(&self, vm: &VmId, life: Life) {
        let other = match self.pairs.borrow().get(vm) {
            Some(Pair::Open { life: known, .. }) => *known != life,
            _ => false,
        };
        if other {
            self.close(vm);
        }
    }

    fn close(&self, vm: &VmId) {
        let former = self.pairs.borrow_mut().remove(vm);
        if let Some(Pair::Open { .. }) = former {
            self.emit(Event::Down(vm.clone()));
        }
    }

    fn received(&self, vm: &VmId, serial: u64, frame: Frame) -> bool {
        let mut pairs = self.pairs.borrow_mut();
        let Some(Pair::Open { streams, .. }) = pairs.get_mut(vm) else {
            return false;
        };
        let Some(stream) = streams.iter_mut().find(|stream| stream.serial == serial) else {
            return false;
        };
        stream.acknowledge(frame.taken);
        if let Some(message) = frame.message {
            stream.taken += 1;
            self.emit(Event::Message {
                from: vm.clone(),
                message: Box::new(message),
            });
        }
        true
    }

    fn ended(&self, vm: &VmId, serial: u64) {
        let ours = match self.pairs.borrow().get(vm) {
            Some(Pair::Open { streams, .. }) => streams.iter().any(|s| s.serial == serial),
            _ => false,
        };
        if ours {
            self.close(vm);
        }
    }

    /// Closes streams in doubt and sends the acknowledgements that no message carried.
    ///
    /// Failure: something between two VMs loses track of a stream, and both ends keep it open.
    /// Symptom: every statement sent over it waits out its deadline. Enough, because whatever is
    /// sent has to be acknowledged within `DOUBT`, and a new stream is opened by the next send.
    fn check(&self) {
        let now = Instant::now();
        let mut doubtful = Vec::new();
        for (vm, pair) in self.pairs.borrow_mut().iter_mut() {
            let Pair::Open { streams, .. } = pair else {
                continue;
            };
            if streams.iter().any(|stream| stream.in_doubt(now)) {
                doubtful.push(vm.clone());
                continue;
            }
            for stream in streams
                .iter_mut()
                .filter(|stream| stream.told < stream.taken)
            {
                stream.push(None);
            }
        }
        for vm in doubtful {
            log::warn!(vm:%; "a peer stream fell silent and was closed");
            self.close(&vm);
        }
    }
}

async fn check(peers: std::rc::Weak<Peers>) {
    loop {
        tokio::time::sleep(CHECK).await;
        let Some(peers) = peers.upgrade() else { return };
        peers.check();
    }
}

async fn read(peers: Rc<Peers>, vm: VmId, serial: u64, mut messages: Streaming<Frame>) {
    loop {
        match messages.message().await {
            Ok(Some(frame)) => {
                if !peers.received(&vm, serial, frame) {
                    return;
                }
            }
            Ok(None) => break,
            Err(status) => {
                log::debug!(vm:%; "peer stream broke: {status}");
                break;
            }
        }
    }
    peers.ended(&vm, serial);
}
