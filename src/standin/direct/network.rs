//! The simulated network: partitions, delays and bandwidth.

use crate::direct::adapter::LocalFuture;
use crate::standin::direct::link::{self, Link, Stream};
use crate::types::{DatabaseId, Invalid, VmId};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// How long after its other end becomes unreachable a database drops a connection.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(3);

/// How many bytes a transfer sends over a link before other transfers get their turn.
const CHUNK_SIZE: u64 = 16 << 10;

/// The bandwidth of a node's link, in bytes per second each way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bandwidth(u64);

impl Bandwidth {
    /// A bandwidth in megabits per second.
    pub const fn from_megabits(megabits: u64) -> Self {
        Self(megabits * 125_000)
    }

    /// How long a link takes to transmit `bytes` bytes.
    fn transmission_time(self, bytes: u64) -> Duration {
        Duration::from_micros(bytes.saturating_mul(1_000_000) / self.0.max(1))
    }
}

impl fmt::Display for Bandwidth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}Mbit/s", self.0 / 125_000)
    }
}

impl FromStr for Bandwidth {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let megabits = text
            .strip_suffix("Mbit/s")
            .and_then(|text| text.parse().ok());
        let known = megabits.ok_or_else(|| Invalid::Name(text.into()))?;
        Ok(Self::from_megabits(known))
    }
}

/// A node's link: its bandwidth, until when it is busy each way, and how many bytes it received.
#[derive(Debug)]
struct Port {
    bandwidth: Bandwidth,
    sends_until: Instant,
    receives_until: Instant,
    received: u64,
}

/// A node of the network.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// A VM of the proxy.
    Vm(VmId),
    /// A database.
    Database(DatabaseId),
    /// The store.
    Store,
    /// The platform's endpoint that takes orders to promote.
    Orders,
    /// The callers of a failure domain.
    Callers(usize),
}

/// Shows whether the sender of a call still keeps its connection open.
#[derive(Debug, Clone)]
pub struct Sender(Rc<Call>);

/// Keeps the connection of a call open, and resets it when dropped.
#[derive(Debug)]
pub struct Hold(Rc<Call>);

#[derive(Debug)]
struct Call {
    open: Cell<bool>,
    /// When a part of the answer last arrived.
    last_arrival: Cell<Option<Instant>>,
}

impl Sender {
    /// Creates a call whose connection stays open until the hold is dropped.
    pub fn new() -> (Sender, Hold) {
        let call = Rc::new(Call {
            open: Cell::new(true),
            last_arrival: Cell::new(None),
        });
        (Sender(call.clone()), Hold(call))
    }

    /// Whether the sender still waits for the call.
    pub fn is_open(&self) -> bool {
        self.0.open.get()
    }
}

impl Hold {
    /// When a part of the answer last arrived, if any has.
    pub fn last_arrival(&self) -> Option<Instant> {
        self.0.last_arrival.get()
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.0.open.set(false);
    }
}

/// The simulated network.
pub struct Network {
    /// The failure domain and region of each node.
    places: RefCell<BTreeMap<Node, (usize, usize)>>,
    cuts: RefCell<BTreeSet<(Node, Node)>>,
    isolated: RefCell<BTreeSet<Node>>,
    /// Whether partitions end connections and refuse new ones instead of holding them back.
    refusing: Cell<bool>,
    /// Additional delay of bytes from and to a node.
    extra_delays: RefCell<BTreeMap<Node, Duration>>,
    /// The links of nodes with limited bandwidth.
    ports: RefCell<BTreeMap<Node, Port>>,
    links: RefCell<Vec<(Node, Node, Link)>>,
    /// The number of connections at which those no longer in use are next removed.
    cleanup_at: Cell<usize>,
    changed: Notify,
    domain_delay: Duration,
    region_delay: Duration,
    outside: mpsc::UnboundedSender<LocalFuture<()>>,
}

impl fmt::Debug for Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Network").finish_non_exhaustive()
    }
}

impl Network {
    /// Creates a network whose tasks run in the current `LocalSet`.
    pub fn new(domain_delay: Duration, region_delay: Duration) -> Rc<Self> {
        let (outside, mut tasks) = mpsc::unbounded_channel::<LocalFuture<()>>();
        tokio::task::spawn_local(async move {
            while let Some(task) = tasks.recv().await {
                tokio::task::spawn_local(task);
            }
        });
        Rc::new(Self {
            places: RefCell::default(),
            cuts: RefCell::default(),
            isolated: RefCell::default(),
            refusing: Cell::default(),
            extra_delays: RefCell::default(),
            ports: RefCell::default(),
            links: RefCell::default(),
            cleanup_at: Cell::new(0),
            changed: Notify::new(),
            domain_delay,
            region_delay,
            outside,
        })
    }

    /// Runs a task outside all VMs, even when called from a VM's task.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let _ = self.outside.send(Box::pin(task));
    }

    /// Puts a node into a failure domain and region.
    pub fn place(&self, node: Node, domain: usize, region: usize) {
        self.places.borrow_mut().insert(node, (domain, region));
    }

    /// Puts a node into the failure domain and region of another.
    pub fn place_like(&self, node: &Node, other: &Node) {
        let mut places = self.places.borrow_mut();
        if let Some(place) = places.get(other).copied() {
            places.insert(node.clone(), place);
        }
    }

    /// The delay of bytes between two nodes. A node without a place is one failure domain away from
    /// all.
    pub fn delay(&self, a: &Node, b: &Node) -> Duration {
        let places = self.places.borrow();
        let near = match (places.get(a), places.get(b)) {
            (Some(a), Some(b)) if a.1 != b.1 => self.region_delay,
            (Some(a), Some(b)) if a.0 == b.0 => self.domain_delay / 5,
            _ => self.domain_delay,
        };
        let extra_delays = self.extra_delays.borrow();
        let more = |node: &Node| extra_delays.get(node).copied().unwrap_or_default();
        near + more(a) + more(b)
    }

    /// Adds a delay to all bytes from and to a node; zero removes it.
    pub fn set_extra_delay(&self, node: &Node, more: Duration) {
        match more.is_zero() {
            true => self.extra_delays.borrow_mut().remove(node),
            false => self.extra_delays.borrow_mut().insert(node.clone(), more),
        };
        for (a, b, link) in self.links.borrow().iter() {
            if a == node || b == node {
                link.set_delay(self.delay(a, b));
            }
        }
    }

    /// Removes a node for good.
    pub fn forget(&self, node: &Node) {
        self.places.borrow_mut().remove(node);
        self.set_isolated(node, false);
    }

    /// Partitions two nodes from each other.
    pub fn cut(&self, a: &Node, b: &Node) {
        let mut cuts = self.cuts.borrow_mut();
        cuts.insert((a.clone(), b.clone()));
        cuts.insert((b.clone(), a.clone()));
        drop(cuts);
        self.apply();
    }

    /// Ends the partition between two nodes.
    pub fn end_cut(&self, a: &Node, b: &Node) {
        let mut cuts = self.cuts.borrow_mut();
        cuts.remove(&(a.clone(), b.clone()));
        cuts.remove(&(b.clone(), a.clone()));
        drop(cuts);
        self.apply();
    }

    /// Partitions a node from all others, or ends that.
    pub fn set_isolated(&self, node: &Node, isolated: bool) {
        match isolated {
            true => self.isolated.borrow_mut().insert(node.clone()),
            false => self.isolated.borrow_mut().remove(node),
        };
        self.apply();
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        self.cuts.borrow_mut().clear();
        self.isolated.borrow_mut().clear();
        self.apply();
    }

    /// Whether two nodes reach each other.
    pub fn reaches(&self, a: &Node, b: &Node) -> bool {
        let isolated = self.isolated.borrow();
        if isolated.is_empty() && self.cuts.borrow().is_empty() {
            return true;
        }
        let cut = (a.clone(), b.clone());
        !isolated.contains(a) && !isolated.contains(b) && !self.cuts.borrow().contains(&cut)
    }

    /// Sets whether partitions end connections and refuse new ones instead of holding them back.
    pub fn set_refusing(&self, refusing: bool) {
        self.refusing.set(refusing);
    }

    /// Whether a partition between two nodes refuses connections.
    pub fn refuses(&self, a: &Node, b: &Node) -> bool {
        self.refusing.get() && !self.reaches(a, b)
    }

    /// Completes with the next change of partitions.
    pub async fn change(&self) {
        self.changed.notified().await;
    }

    /// Completes once two nodes reach each other.
    pub async fn reach(&self, a: &Node, b: &Node) {
        while !self.reaches(a, b) {
            self.changed.notified().await;
        }
    }

    /// Limits the bandwidth of a node's link for calls between VMs and calls of the store.
    pub fn limit_bandwidth(&self, node: Node, bandwidth: Bandwidth) {
        let now = Instant::now();
        let port = Port {
            bandwidth,
            sends_until: now,
            receives_until: now,
            received: 0,
        };
        self.ports.borrow_mut().insert(node, port);
    }

    /// How many bytes arrived over a node's link.
    pub fn received(&self, node: &Node) -> u64 {
        let ports = self.ports.borrow();
        ports.get(node).map_or(0, |port| port.received)
    }

    /// Transmits bytes over the links of `a` and `b`, then continues as [`Network::deliver`]. The
    /// transfer goes on even if the sender no longer waits, unless `breaks` is set: then it ends
    /// with the sender's connection.
    pub async fn transmit(
        &self,
        (a, b): (&Node, &Node),
        bytes: u64,
        sender: &Sender,
        breaks: bool,
    ) -> bool {
        let mut left = bytes;
        while left > 0 && (sender.is_open() || !breaks) {
            let chunk = left.min(CHUNK_SIZE);
            left -= chunk;
            let Some(until) = self.transmit_chunk(a, b, chunk) else {
                break;
            };
            tokio::time::sleep_until(until).await;
            sender.0.last_arrival.set(Some(Instant::now()));
        }
        self.deliver(a, b, sender).await
    }

    /// When the transmission of a chunk ends; `None` if neither link has limited bandwidth.
    fn transmit_chunk(&self, a: &Node, b: &Node, bytes: u64) -> Option<Instant> {
        let now = Instant::now();
        let mut ports = self.ports.borrow_mut();
        let sent = ports.get_mut(a).map(|port| {
            port.sends_until = port.sends_until.max(now) + port.bandwidth.transmission_time(bytes);
            port.sends_until
        });
        let received = ports.get_mut(b).map(|port| {
            port.received += bytes;
            port.receives_until =
                port.receives_until.max(now) + port.bandwidth.transmission_time(bytes);
            port.receives_until
        });
        sent.max(received)
    }

    /// Delivers a message from `a` to `b`. Returns false if the message was lost, because its
    /// sender gave up while a partition held it back.
    pub async fn deliver(&self, a: &Node, b: &Node, sender: &Sender) -> bool {
        tokio::time::sleep(self.delay(a, b)).await;
        if self.reaches(a, b) {
            return true;
        }
        self.reach(a, b).await;
        sender.is_open()
    }

    /// Opens a connection between two nodes; its bytes are held back while they don't reach each
    /// other.
    pub fn connect(self: &Rc<Self>, a: &Node, b: &Node) -> (Stream, Stream) {
        let (near, far, link) = link::pair(self.delay(a, b));
        link.hold(!self.reaches(a, b));
        let mut links = self.links.borrow_mut();
        if links.len() >= self.cleanup_at.get() {
            links.retain(|(_, _, link)| !link.is_over());
            self.cleanup_at.set(2 * links.len() + 16);
        }
        links.push((a.clone(), b.clone(), link));
        (near, far)
    }

    /// Resets the connections that `select` selects.
    pub fn reset(&self, select: impl Fn(&Node, &Node) -> bool) {
        self.for_each_link(select, Link::reset);
    }

    /// Stops the connections that `select` selects from carrying data for good; new ones work.
    ///
    /// A database drops its ends of them after a while, as it does when it can't reach the other
    /// end.
    pub fn silence(&self, select: impl Fn(&Node, &Node) -> bool) {
        for (a, b, link) in self.links.borrow().iter() {
            if !(select(a, b) || select(b, a)) {
                continue;
            }
            link.silence();
            if matches!(b, Node::Database(_)) {
                self.give_up(link.clone());
            }
        }
    }

    fn for_each_link(&self, select: impl Fn(&Node, &Node) -> bool, what: fn(&Link)) {
        for (a, b, link) in self.links.borrow().iter() {
            if select(a, b) || select(b, a) {
                what(link);
            }
        }
    }

    fn apply(&self) {
        for (a, b, link) in self.links.borrow().iter() {
            let held = !self.reaches(a, b);
            if held && self.refusing.get() {
                link.reset();
                continue;
            }
            link.hold(held);
            if held && matches!(b, Node::Database(_)) {
                self.give_up(link.clone());
            }
        }
        self.changed.notify_waiters();
    }

    /// Makes a database drop a connection that is still held back after a while.
    fn give_up(&self, link: Link) {
        self.spawn(async move {
            tokio::time::sleep(UNREACHABLE_TIMEOUT).await;
            if link.is_held() || link.is_silent() {
                link.give_up();
            }
        });
    }
}
