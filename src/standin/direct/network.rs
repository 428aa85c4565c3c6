//! Who reaches whom, and how long bytes are under way.

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

/// After how long a database gives up a connection whose other end is not reached.
const UNREACHED: Duration = Duration::from_secs(3);

/// How many bytes go over a link before others have their turn.
const PORTION: u64 = 16 << 10;

/// What a machine's link carries, in bytes a second each way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bandwidth(u64);

impl Bandwidth {
    /// So many megabits a second.
    pub const fn from_megabits(megabits: u64) -> Self {
        Self(megabits * 125_000)
    }

    /// How long a link is busy with so many bytes.
    fn takes(self, bytes: u64) -> Duration {
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

/// A machine's link: what it carries, until when it is busy each way, and what came in over it.
#[derive(Debug)]
struct Port {
    bandwidth: Bandwidth,
    sends_until: Instant,
    receives_until: Instant,
    received: u64,
}

/// A machine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// One of ours.
    Vm(VmId),
    /// A database's.
    Database(DatabaseId),
    /// The store's.
    Store,
    /// The platform's, which takes orders.
    Orders,
    /// Callers' of a failure domain.
    Callers(usize),
}

/// Whether whoever sent something still holds its connection open.
#[derive(Debug, Clone)]
pub struct Sender(Rc<Call>);

/// Resets the connection of a call when it is dropped.
#[derive(Debug)]
pub struct Hold(Rc<Call>);

#[derive(Debug)]
struct Call {
    open: Cell<bool>,
    /// When some of the answer came last.
    moved: Cell<Option<Instant>>,
}

impl Sender {
    /// A call that lasts until the hold is dropped.
    pub fn new() -> (Sender, Hold) {
        let call = Rc::new(Call {
            open: Cell::new(true),
            moved: Cell::new(None),
        });
        (Sender(call.clone()), Hold(call))
    }

    /// Whether the call is still waited for.
    pub fn is_open(&self) -> bool {
        self.0.open.get()
    }
}

impl Hold {
    /// When some of the answer came last, if any has.
    pub fn moved(&self) -> Option<Instant> {
        self.0.moved.get()
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.0.open.set(false);
    }
}

/// The network.
pub struct Network {
    /// The place of each machine: failure domain and region.
    places: RefCell<BTreeMap<Node, (usize, usize)>>,
    cuts: RefCell<BTreeSet<(Node, Node)>>,
    dark: RefCell<BTreeSet<Node>>,
    /// How much longer bytes are under way from and to a machine.
    slow: RefCell<BTreeMap<Node, Duration>>,
    /// The links of machines that carry so much and no more.
    ports: RefCell<BTreeMap<Node, Port>>,
    links: RefCell<Vec<(Node, Node, Link)>>,
    /// At how many connections those that are over are looked for.
    sweep: Cell<usize>,
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
    /// A network whose tasks run in the `LocalSet` that this is called in.
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
            dark: RefCell::default(),
            slow: RefCell::default(),
            ports: RefCell::default(),
            links: RefCell::default(),
            sweep: Cell::new(0),
            changed: Notify::new(),
            domain_delay,
            region_delay,
            outside,
        })
    }

    /// Runs something outside all VMs, whoever calls.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let _ = self.outside.send(Box::pin(task));
    }

    /// Puts a machine into a failure domain.
    pub fn place(&self, node: Node, domain: usize, region: usize) {
        self.places.borrow_mut().insert(node, (domain, region));
    }

    /// Puts a machine where another is.
    pub fn place_like(&self, node: &Node, other: &Node) {
        let mut places = self.places.borrow_mut();
        if let Some(place) = places.get(other).copied() {
            places.insert(node.clone(), place);
        }
    }

    /// How long bytes are under way; nowhere is near everything.
    pub fn delay(&self, a: &Node, b: &Node) -> Duration {
        let places = self.places.borrow();
        let near = match (places.get(a), places.get(b)) {
            (Some(a), Some(b)) if a.1 != b.1 => self.region_delay,
            (Some(a), Some(b)) if a.0 == b.0 => self.domain_delay / 5,
            _ => self.domain_delay,
        };
        let slow = self.slow.borrow();
        let more = |node: &Node| slow.get(node).copied().unwrap_or_default();
        near + more(a) + more(b)
    }

    /// Makes bytes from and to a machine take so much longer, or no longer.
    pub fn slow(&self, node: &Node, more: Duration) {
        match more.is_zero() {
            true => self.slow.borrow_mut().remove(node),
            false => self.slow.borrow_mut().insert(node.clone(), more),
        };
        for (a, b, link) in self.links.borrow().iter() {
            if a == node || b == node {
                link.set_delay(self.delay(a, b));
            }
        }
    }

    /// Forgets a machine that is gone for good.
    pub fn forget(&self, node: &Node) {
        self.places.borrow_mut().remove(node);
        self.darken(node, false);
    }

    /// Cuts two machines from each other.
    pub fn cut(&self, a: &Node, b: &Node) {
        let mut cuts = self.cuts.borrow_mut();
        cuts.insert((a.clone(), b.clone()));
        cuts.insert((b.clone(), a.clone()));
        drop(cuts);
        self.apply();
    }

    /// Ends a cut.
    pub fn mend(&self, a: &Node, b: &Node) {
        let mut cuts = self.cuts.borrow_mut();
        cuts.remove(&(a.clone(), b.clone()));
        cuts.remove(&(b.clone(), a.clone()));
        drop(cuts);
        self.apply();
    }

    /// Cuts a machine from all others, or ends that.
    pub fn darken(&self, node: &Node, dark: bool) {
        match dark {
            true => self.dark.borrow_mut().insert(node.clone()),
            false => self.dark.borrow_mut().remove(node),
        };
        self.apply();
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.cuts.borrow_mut().clear();
        self.dark.borrow_mut().clear();
        self.apply();
    }

    /// Whether two machines reach each other.
    pub fn reaches(&self, a: &Node, b: &Node) -> bool {
        let dark = self.dark.borrow();
        if dark.is_empty() && self.cuts.borrow().is_empty() {
            return true;
        }
        let cut = (a.clone(), b.clone());
        !dark.contains(a) && !dark.contains(b) && !self.cuts.borrow().contains(&cut)
    }

    /// Completes with the next change of cuts.
    pub async fn change(&self) {
        self.changed.notified().await;
    }

    /// Completes once two machines reach each other.
    pub async fn reach(&self, a: &Node, b: &Node) {
        while !self.reaches(a, b) {
            self.changed.notified().await;
        }
    }

    /// Gives a machine a link for calls between VMs and of the store, which carries so much and no more.
    pub fn narrow(&self, node: Node, bandwidth: Bandwidth) {
        let now = Instant::now();
        let port = Port {
            bandwidth,
            sends_until: now,
            receives_until: now,
            received: 0,
        };
        self.ports.borrow_mut().insert(node, port);
    }

    /// How many bytes came in over a machine's link.
    pub fn received(&self, node: &Node) -> u64 {
        let ports = self.ports.borrow();
        ports.get(node).map_or(0, |port| port.received)
    }

    /// Takes so many bytes over the links of `a` and `b`, and then as [`Network::travel`] does. What is sent
    /// goes on its way whether its sender waits or not, unless `breaks` says that its end resets it.
    pub async fn carry(
        &self,
        (a, b): (&Node, &Node),
        bytes: u64,
        sender: &Sender,
        breaks: bool,
    ) -> bool {
        let mut left = bytes;
        while left > 0 && (sender.is_open() || !breaks) {
            let portion = left.min(PORTION);
            left -= portion;
            let Some(until) = self.portion(a, b, portion) else {
                break;
            };
            tokio::time::sleep_until(until).await;
            sender.0.moved.set(Some(Instant::now()));
        }
        self.travel(a, b, sender).await
    }

    /// Until when a portion takes; none where both links are as wide as need be.
    fn portion(&self, a: &Node, b: &Node, bytes: u64) -> Option<Instant> {
        let now = Instant::now();
        let mut ports = self.ports.borrow_mut();
        let sent = ports.get_mut(a).map(|port| {
            port.sends_until = port.sends_until.max(now) + port.bandwidth.takes(bytes);
            port.sends_until
        });
        let received = ports.get_mut(b).map(|port| {
            port.received += bytes;
            port.receives_until = port.receives_until.max(now) + port.bandwidth.takes(bytes);
            port.receives_until
        });
        sent.max(received)
    }

    /// Takes a message from `a` to `b`. It is lost, and this false, if whoever sent it gave up
    /// while it was held back.
    pub async fn travel(&self, a: &Node, b: &Node, sender: &Sender) -> bool {
        tokio::time::sleep(self.delay(a, b)).await;
        if self.reaches(a, b) {
            return true;
        }
        self.reach(a, b).await;
        sender.is_open()
    }

    /// Connects two machines that reach each other.
    pub fn connect(self: &Rc<Self>, a: &Node, b: &Node) -> (Stream, Stream) {
        let (near, far, link) = link::pair(self.delay(a, b));
        link.hold(!self.reaches(a, b));
        let mut links = self.links.borrow_mut();
        if links.len() >= self.sweep.get() {
            links.retain(|(_, _, link)| !link.is_over());
            self.sweep.set(2 * links.len() + 16);
        }
        links.push((a.clone(), b.clone(), link));
        (near, far)
    }

    /// Breaks the connections that `which` chooses.
    pub fn reset(&self, which: impl Fn(&Node, &Node) -> bool) {
        self.each(which, Link::reset);
    }

    /// Silences the connections that `which` chooses; new ones work.
    ///
    /// A database drops those that it has, as it does when it can't reach the other end.
    pub fn silence(&self, which: impl Fn(&Node, &Node) -> bool) {
        for (a, b, link) in self.links.borrow().iter() {
            if !(which(a, b) || which(b, a)) {
                continue;
            }
            link.silence();
            if matches!(b, Node::Database(_)) {
                self.give_up(link.clone());
            }
        }
    }

    fn each(&self, which: impl Fn(&Node, &Node) -> bool, what: fn(&Link)) {
        for (a, b, link) in self.links.borrow().iter() {
            if which(a, b) || which(b, a) {
                what(link);
            }
        }
    }

    fn apply(&self) {
        for (a, b, link) in self.links.borrow().iter() {
            let held = !self.reaches(a, b);
            link.hold(held);
            if held && matches!(b, Node::Database(_)) {
                self.give_up(link.clone());
            }
        }
        self.changed.notify_waiters();
    }

    /// A database gives up a connection that stays held back.
    fn give_up(&self, link: Link) {
        self.spawn(async move {
            tokio::time::sleep(UNREACHED).await;
            if link.is_held() || link.is_silent() {
                link.give_up();
            }
        });
    }
}
