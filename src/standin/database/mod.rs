//! A group of databases that replicate asynchronously, in one thread of this process.
//!
//! They speak the PostgreSQL protocol on TCP, run SQL by SQLite in memory, and follow the rules
//! of terms that `net::dialect` assumes. One transaction writes at a time, and each statement
//! sees what was committed before it. A slot is held for the service time of a statement, never
//! while it waits for the writing transaction before it. Timers are good to a millisecond.

mod link;
mod reply;
mod serve;
mod session;
mod sql;
mod store;
mod transaction;
mod value;
mod world;

use crate::clock::Span;
use crate::config;
use crate::core::database::State;
use crate::types::{DatabaseId, Domain};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use tokio::sync::watch;
use world::{Node, World};

/// The one-way latency between a peer's address and a failure domain.
pub type Latency = Arc<dyn Fn(IpAddr, &Domain) -> Span + Send + Sync>;

/// The table that every group has, and that of the request keys.
pub const SCHEMA: &str = "CREATE TABLE ledger (id text PRIMARY KEY NOT NULL, body text)";

/// How a replica lags.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lag {
    /// From the commit until the entry is in the replica's log.
    pub receive: Span,
    /// From then until the replica's readers see it.
    pub apply: Span,
}

/// What a group is to be.
#[derive(Clone)]
pub struct Spec {
    /// The databases; port 0 takes a free port. The first one is open in the first term.
    pub group: config::Group,
    /// The tables at the start, as SQL.
    pub schema: Box<str>,
    /// How its replicas lag.
    pub lag: Lag,
    /// How long a statement holds a slot.
    pub service: Span,
    /// How long a new connection takes.
    pub connect: Span,
    /// The latency of its connections.
    pub latency: Latency,
}

impl Spec {
    /// A group without lag, latency or service time, with the usual tables.
    pub fn new(group: config::Group) -> Self {
        Self {
            group,
            schema: format!("{SCHEMA};{}", crate::net::dialect::REQUESTS_DDL).into(),
            lag: Lag::default(),
            service: Span::ZERO,
            connect: Span::ZERO,
            latency: Arc::new(|_, _| Span::ZERO),
        }
    }
}

impl fmt::Debug for Spec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Spec")
            .field("group", &self.group)
            .field("lag", &self.lag)
            .field("service", &self.service)
            .field("connect", &self.connect)
            .finish_non_exhaustive()
    }
}

/// What the sessions and the handle share.
pub(crate) struct Shared {
    world: Mutex<World>,
    /// Counts changes of logs and terms.
    changed: watch::Sender<u64>,
    /// Counts changes of faults, for which each connection waits.
    faulted: watch::Sender<u64>,
    latency: Latency,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, World> {
        self.world.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads or writes one database's state.
    fn node<T>(&self, id: &DatabaseId, act: impl FnOnce(&mut Node) -> T) -> Option<T> {
        self.lock().nodes.get_mut(id).map(act)
    }

    /// Wakes whoever waits for a log or a term.
    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Wakes the connections, too.
    fn wake_all(&self) {
        self.faulted.send_modify(|count| *count += 1);
        self.wake();
    }
}

/// Starts groups.
#[derive(Debug)]
pub struct Group;

impl Group {
    /// Binds the databases' addresses and serves them on a thread of their own until the
    /// handle is dropped.
    pub fn start(mut spec: Spec) -> io::Result<Handle> {
        let mut listeners = BTreeMap::new();
        for (id, database) in &mut spec.group.databases {
            let listener = TcpListener::bind(database.address)?;
            listener.set_nonblocking(true)?;
            database.address = listener.local_addr()?;
            listeners.insert(id.clone(), listener);
        }
        let world =
            World::new(&spec).map_err(|failure| io::Error::other(String::from(failure.message)))?;
        let shared = Arc::new(Shared {
            world: Mutex::new(world),
            changed: watch::Sender::new(0),
            faulted: watch::Sender::new(0),
            latency: spec.latency.clone(),
        });
        let (stop, stopped) = watch::channel(false);
        let serving = shared.clone();
        let thread = std::thread::Builder::new()
            .name("standin-group".into())
            .spawn(move || {
                actix_rt::System::new().block_on(serve::run(serving, listeners, stopped));
            })?;
        Ok(Handle {
            group: spec.group,
            shared,
            stop,
            thread: Some(thread),
        })
    }
}

/// A running group, and the faults that can be set on it. Each call takes effect at once;
/// an unknown database is ignored.
pub struct Handle {
    group: config::Group,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// The group, with the addresses that its databases listen on.
    pub fn group(&self) -> &config::Group {
        &self.group
    }

    /// Where a database listens.
    pub fn address(&self, id: &DatabaseId) -> Option<SocketAddr> {
        Some(self.group.databases.get(id)?.address)
    }

    /// What a database would report.
    pub fn state(&self, id: &DatabaseId) -> Option<State> {
        self.shared.node(id, |node| node.state())
    }

    /// Waits until a database's state is as wanted.
    pub async fn reached(&self, id: &DatabaseId, wanted: impl Fn(&State) -> bool) {
        let wanted = |group: &Self| group.state(id).is_none_or(|state| wanted(&state));
        self.until(wanted).await;
    }

    /// Waits until the group is as wanted. Looked at whenever a log or a term has changed.
    pub async fn until(&self, wanted: impl Fn(&Self) -> bool) {
        let mut changed = self.shared.changed.subscribe();
        while !wanted(self) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// How many statements a database runs at this moment.
    pub fn running(&self, id: &DatabaseId) -> usize {
        let slots = self.group.databases.get(id).map_or(0, |d| d.slots as usize);
        let free = self.shared.node(id, |node| node.slots.available_permits());
        slots.saturating_sub(free.unwrap_or(slots))
    }

    /// The open database of the highest term, if one is up.
    pub fn primary(&self) -> Option<DatabaseId> {
        let world = self.shared.lock();
        let open = world.nodes.iter().filter(|(_, node)| node.open);
        open.filter(|(_, node)| !node.faults.down)
            .max_by_key(|(_, node)| node.term)
            .map(|(id, _)| id.clone())
    }

    /// Loses all packets between a database and these peers, in both directions.
    pub fn cut(&self, id: &DatabaseId, peers: impl IntoIterator<Item = IpAddr>) {
        self.change(id, |node| node.faults.cut.extend(peers));
    }

    /// Ends every cut between a database and its peers.
    pub fn heal(&self, id: &DatabaseId) {
        self.change(id, |node| node.faults.cut.clear());
    }

    /// Cuts the way between a database and the others of its group, or restores it.
    pub fn isolate(&self, id: &DatabaseId, cut: bool) {
        let others: Vec<DatabaseId> = self.group.databases.keys().cloned().collect();
        for other in others.iter().filter(|other| *other != id) {
            self.split(id, other, cut);
        }
    }

    /// Cuts the way between two databases, or restores it.
    pub fn split(&self, a: &DatabaseId, b: &DatabaseId, cut: bool) {
        self.shared.lock().split(a, b, cut);
        self.shared.wake();
    }

    /// Stops a database in its tracks, or lets it go on where it was.
    pub fn freeze(&self, id: &DatabaseId, frozen: bool) {
        self.change(id, |node| node.faults.frozen = frozen);
    }

    /// Makes the connections that are open now silent for good; new ones work.
    pub fn silence(&self, id: &DatabaseId) {
        let opened = serve::connections_so_far();
        self.change(id, |node| node.faults.silent_below = opened);
    }

    /// Loses the next `count` answers to committed writes, and closes their connections.
    pub fn lose_answers(&self, id: &DatabaseId, count: u32) {
        self.change(id, |node| node.faults.lost_answers = count);
    }

    /// Ends a database's process: its connections are reset and its transactions undone; its
    /// log stays.
    pub fn kill(&self, id: &DatabaseId) {
        self.change(id, |node| {
            node.faults.down = true;
            node.faults.life += 1;
            node.abort();
        });
    }

    /// Starts a killed database again.
    pub fn restart(&self, id: &DatabaseId) {
        self.change(id, |node| {
            node.faults.down = false;
            node.faults.frozen = false;
        });
    }

    /// Sets how a database lags as a replica.
    pub fn set_lag(&self, id: &DatabaseId, lag: Lag) {
        self.change(id, |node| node.lag = lag);
    }

    fn change(&self, id: &DatabaseId, act: impl FnOnce(&mut Node)) {
        self.shared.node(id, act);
        self.shared.wake_all();
    }
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handle")
            .field("group", &self.group)
            .finish_non_exhaustive()
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
