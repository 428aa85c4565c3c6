//! Streams to other proxies. All streams between two VMs are closed together, regardless of
//! which VM opened them.
//!
//! A stream whose frames go unacknowledged is closed and reported as down. Nothing that was sent
//! on it is resent here, because only the core can decide which messages may be.

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
pub use stream::{ACKNOWLEDGEMENT_TIMEOUT, Frame, MAX_UNACKNOWLEDGED};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tonic::Streaming;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

/// How often streams are checked for overdue acknowledgements, both expected and owed. An
/// acknowledgement that no message carries is sent after at most this time.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How long a connection attempt may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay between a failed connection attempt and the next one.
pub const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// How often [`Peers::flushed`] checks for acknowledgements.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What happens on the streams.
#[derive(Debug)]
pub enum Event {
    /// A stream to this VM is open.
    Up(VmId),
    /// The streams to this VM are closed, or none could be opened. If there was no `Up` since
    /// the last `Down`, none of the queued messages were sent.
    Down(VmId),
    /// A message arrived.
    Message {
        /// The sender.
        from: VmId,
        /// The message.
        message: Box<Message>,
    },
}

/// How this process identifies itself to its peers.
#[derive(Debug, Clone)]
pub struct Identity {
    /// This VM.
    pub vm: VmId,
    /// This process's life: its incarnation, which changes at each start.
    pub life: Life,
    /// The local address of its outgoing streams.
    pub source: IpAddr,
}

/// All streams of this process.
#[derive(Debug)]
pub struct Peers {
    identity: Identity,
    events: mpsc::UnboundedSender<Event>,
    addresses: RefCell<HashMap<VmId, SocketAddr>>,
    connections: RefCell<HashMap<VmId, Connection>>,
    serial: Cell<u64>,
    /// The number of `Down` events for each VM that were emitted but not yet received by the core.
    queued_downs: RefCell<HashMap<VmId, u32>>,
}

/// The state of the streams to one VM.
#[derive(Debug)]
enum Connection {
    /// No stream is open yet; the messages are sent once one is.
    Connecting(Vec<Message>),
    Open {
        life: Life,
        streams: Vec<Stream>,
    },
    /// The last attempt failed; the next one is not made before this time.
    Failed(Instant),
}

impl Peers {
    /// Starts without streams; their events are sent to `events`.
    pub fn new(identity: Identity, events: mpsc::UnboundedSender<Event>) -> Rc<Self> {
        let peers = Rc::new(Self {
            identity,
            events,
            addresses: RefCell::default(),
            connections: RefCell::default(),
            serial: Cell::new(0),
            queued_downs: RefCell::default(),
        });
        actix_rt::spawn(check(Rc::downgrade(&peers)));
        peers
    }

    /// Replaces the listening address of each VM, taken from the platform's list.
    pub fn set_addresses(&self, addresses: impl IntoIterator<Item = (VmId, SocketAddr)>) {
        *self.addresses.borrow_mut() = addresses.into_iter().collect();
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

    /// Sends `message`, opening a stream if none is open.
    ///
    /// Nothing is sent to a VM while a `Down` for it is still queued for the core. Otherwise the
    /// core would count work sent on the new stream as lost with the old one and resend it, and
    /// it would run twice.
    pub fn send(self: &Rc<Self>, to: VmId, message: Message) {
        if self.queued_downs.borrow().contains_key(&to) {
            return;
        }
        let mut connections = self.connections.borrow_mut();
        match connections.get_mut(&to) {
            Some(Connection::Open { streams, .. }) if !streams.is_empty() => {
                streams[0].send(message)
            }
            Some(Connection::Connecting(waiting)) => waiting.push(message),
            Some(Connection::Failed(until)) if *until > Instant::now() => {
                self.emit(Event::Down(to))
            }
            _ => {
                connections.insert(to.clone(), Connection::Connecting(vec![message]));
                drop(connections);
                self.dial(to);
            }
        }
    }

    /// Waits until the peers have acknowledged everything sent so far, or until `timeout` has passed.
    pub async fn flushed(&self, timeout: Duration) {
        let sent: Vec<(u64, u64)> = self.map_streams(|stream| (stream.serial, stream.sent));
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            let taken = self.map_streams(|stream| (stream.serial, stream.acknowledged));
            let behind = |&(serial, sent): &(u64, u64)| {
                taken
                    .iter()
                    .any(|&(other, taken)| other == serial && taken < sent)
            };
            if !sent.iter().any(behind) {
                return;
            }
            tokio::time::sleep(FLUSH_CHECK_INTERVAL).await;
        }
    }

    fn map_streams<T>(&self, read: impl Fn(&Stream) -> T) -> Vec<T> {
        let connections = self.connections.borrow();
        let open = connections
            .values()
            .filter_map(|connection| match connection {
                Connection::Open { streams, .. } => Some(streams),
                _ => None,
            });
        open.flatten().map(read).collect()
    }

    /// The number of VMs with open streams.
    pub fn open(&self) -> usize {
        let connections = self.connections.borrow();
        connections
            .values()
            .filter(|connection| matches!(connection, Connection::Open { .. }))
            .count()
    }

    /// Records that a `Down` of `vm` is about to be handed to the core.
    pub fn confirm_down(&self, vm: &VmId) {
        let mut queued_downs = self.queued_downs.borrow_mut();
        if let Some(count) = queued_downs.get_mut(vm) {
            *count -= 1;
            if *count == 0 {
                queued_downs.remove(vm);
            }
        }
    }

    fn emit(&self, event: Event) {
        if let Event::Down(vm) = &event {
            *self
                .queued_downs
                .borrow_mut()
                .entry(vm.clone())
                .or_default() += 1;
        }
        // The receiver is dropped only when the process ends.
        let _ = self.events.send(event);
    }

    fn dial(self: &Rc<Self>, to: VmId) {
        let peers = Rc::clone(self);
        actix_rt::spawn(async move {
            let address = peers.addresses.borrow().get(&to).copied();
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
        let failed = Connection::Failed(Instant::now() + RECONNECT_DELAY);
        let mut connections = self.connections.borrow_mut();
        // Any other state means that the peer opened a stream meanwhile, which took the queued messages.
        if let Some(Connection::Connecting(_)) = connections.get(to) {
            connections.insert(to.clone(), failed);
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
        let mut connections = self.connections.borrow_mut();
        match connections.get_mut(&vm) {
            Some(Connection::Open { streams, .. }) => streams.push(stream),
            former => {
                if let Some(Connection::Connecting(waiting)) = former {
                    waiting.drain(..).for_each(|message| stream.send(message));
                }
                connections.insert(
                    vm.clone(),
                    Connection::Open {
                        life,
                        streams: vec![stream],
                    },
                );
                self.emit(Event::Up(vm.clone()));
            }
        }
        drop(connections);
        actix_rt::spawn(read(Rc::clone(self), vm, serial, messages));
    }

    /// Closes the streams to a former life of `vm`: the restarted process has none of the messages
    /// that were sent to the former one.
    fn end_former_life(&self, vm: &VmId, life: Life) {
        let other = match self.connections.borrow().get(vm) {
            Some(Connection::Open { life: known, .. }) => *known != life,
            _ => false,
        };
        if other {
            self.close(vm);
        }
    }

    fn close(&self, vm: &VmId) {
        let former = self.connections.borrow_mut().remove(vm);
        if let Some(Connection::Open { .. }) = former {
            self.emit(Event::Down(vm.clone()));
        }
    }

    fn received(&self, vm: &VmId, serial: u64, frame: Frame) -> bool {
        let mut connections = self.connections.borrow_mut();
        let Some(Connection::Open { streams, .. }) = connections.get_mut(vm) else {
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
        let ours = match self.connections.borrow().get(vm) {
            Some(Connection::Open { streams, .. }) => streams.iter().any(|s| s.serial == serial),
            _ => false,
        };
        if ours {
            self.close(vm);
        }
    }

    /// Closes stalled streams and sends the acknowledgements that no message carried.
    ///
    /// If a device between two VMs drops a stream's state, both ends keep the stream open and
    /// every statement sent on it waits until its deadline. So every message must be acknowledged
    /// within [`ACKNOWLEDGEMENT_TIMEOUT`]; after a close, the next send opens a new stream.
    fn check(&self) {
        let now = Instant::now();
        let mut stalled = Vec::new();
        for (vm, connection) in self.connections.borrow_mut().iter_mut() {
            let Connection::Open { streams, .. } = connection else {
                continue;
            };
            if streams.iter().any(|stream| stream.is_stalled(now)) {
                stalled.push(vm.clone());
                continue;
            }
            for stream in streams
                .iter_mut()
                .filter(|stream| stream.reported < stream.taken)
            {
                stream.push(None);
            }
        }
        for vm in stalled {
            log::warn!(vm:%; "a peer stream fell silent and was closed");
            self.close(&vm);
        }
    }
}

async fn check(peers: std::rc::Weak<Peers>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
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
