//! A group of databases that replicate asynchronously, in one thread of this process.
//!
//! They speak the PostgreSQL protocol over TCP, run SQL on in-memory SQLite, and follow the rules
//! for terms that `net::dialect` assumes. One transaction writes at a time, and each statement
//! sees what was committed before it. A statement holds a slot for its service time, but not
//! while it waits for an earlier writing transaction. Timers have a resolution of 1 ms.

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

/// The table that every group has. [`Spec::new`] adds the table of the request keys.
pub const SCHEMA: &str = "CREATE TABLE ledger (id text PRIMARY KEY NOT NULL, body text)";

/// The replication delays of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lag {
    /// The time from the commit until the entry is in the replica's log.
    pub receive: Span,
    /// The time from then until the entry is visible to reads on the replica.
    pub apply: Span,
}

/// The configuration of a stand-in group.
#[derive(Clone)]
pub struct Spec {
    /// The databases; port 0 selects a free port. The first database is the primary of the first term.
    pub group: config::Group,
    /// The SQL statements that create the initial tables.
    pub schema: Box<str>,
    /// The replication delays of its replicas.
    pub lag: Lag,
    /// How long a statement holds a slot.
    pub service: Span,
    /// How long opening a connection takes.
    pub connect: Span,
    /// The one-way latency of its connections.
    pub latency: Latency,
}

impl Spec {
    /// Returns a group without lag, latency or service time, with the default tables.
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

/// The state that the sessions and the handle share.
pub(crate) struct Shared {
    world: Mutex<World>,
    /// Counts changes of logs and terms; a change wakes the tasks that wait for one.
    changed: watch::Sender<u64>,
    /// Counts changes of faults; every connection waits for these.
    faults_changed: watch::Sender<u64>,
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

    /// Wakes the tasks that wait for a change of a log or a term.
    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Wakes those tasks and every connection.
    fn wake_all(&self) {
        self.faults_changed.send_modify(|count| *count += 1);
        self.wake();
    }
}

/// Starts groups of stand-in databases.
#[derive(Debug)]
pub struct Group;

impl Group {
    /// Binds the databases' addresses and serves them on a new thread until the handle is dropped.
    ///
    /// Returns an error if an address can't be bound, the schema is invalid or the thread can't be
    /// started.
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
            faults_changed: watch::Sender::new(0),
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

/// Controls a running group and injects faults. Each call takes effect immediately; calls for an
/// unknown database are ignored.
pub struct Handle {
    group: config::Group,
    shared: Arc<Shared>,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// Returns the group's configuration, with the addresses that its databases listen on.
    pub fn group(&self) -> &config::Group {
        &self.group
    }

    /// Returns the address that a database listens on.
    pub fn address(&self, id: &DatabaseId) -> Option<SocketAddr> {
        Some(self.group.databases.get(id)?.address)
    }

    /// Returns the state that a database would report.
    pub fn state(&self, id: &DatabaseId) -> Option<State> {
        self.shared.node(id, |node| node.state())
    }

    /// Waits until a database's state satisfies `wanted`.
    pub async fn wait_for_state(&self, id: &DatabaseId, wanted: impl Fn(&State) -> bool) {
        let wanted = |group: &Self| group.state(id).is_none_or(|state| wanted(&state));
        self.wait_until(wanted).await;
    }

    /// Waits until `wanted` is true. It is evaluated again whenever a log or a term changes.
    pub async fn wait_until(&self, wanted: impl Fn(&Self) -> bool) {
        let mut changed = self.shared.changed.subscribe();
        while !wanted(self) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns how many statements a database is running.
    pub fn running(&self, id: &DatabaseId) -> usize {
        let slots = self.group.databases.get(id).map_or(0, |d| d.slots as usize);
        let free = self.shared.node(id, |node| node.slots.available_permits());
        slots.saturating_sub(free.unwrap_or(slots))
    }

    /// Returns the open database with the highest term among those that are running.
    pub fn primary(&self) -> Option<DatabaseId> {
        let world = self.shared.lock();
        let open = world.nodes.iter().filter(|(_, node)| node.open);
        open.filter(|(_, node)| !node.faults.down)
            .max_by_key(|(_, node)| node.term)
            .map(|(id, _)| id.clone())
    }

    /// Drops all packets between a database and these peers, in both directions.
    pub fn cut(&self, id: &DatabaseId, peers: impl IntoIterator<Item = IpAddr>) {
        self.modify(id, |node| node.faults.cut.extend(peers));
    }

    /// Stops dropping packets between a database and its peers.
    pub fn heal(&self, id: &DatabaseId) {
        self.modify(id, |node| node.faults.cut.clear());
    }

    /// Disconnects a database from the others of its group, or reconnects it.
    pub fn isolate(&self, id: &DatabaseId, cut: bool) {
        let others: Vec<DatabaseId> = self.group.databases.keys().cloned().collect();
        for other in others.iter().filter(|other| *other != id) {
            self.split(id, other, cut);
        }
    }

    /// Disconnects two databases from each other, or reconnects them.
    pub fn split(&self, a: &DatabaseId, b: &DatabaseId, cut: bool) {
        self.shared.lock().split(a, b, cut);
        self.shared.wake();
    }

    /// Pauses a database, or resumes it where it was.
    pub fn freeze(&self, id: &DatabaseId, frozen: bool) {
        self.modify(id, |node| node.faults.frozen = frozen);
    }

    /// Makes the currently open connections silent permanently; new ones work.
    pub fn silence(&self, id: &DatabaseId) {
        let opened = serve::next_connection_number();
        self.modify(id, |node| node.faults.silent_below = opened);
    }

    /// Drops the next `count` answers to committed writes and closes their connections.
    pub fn lose_answers(&self, id: &DatabaseId, count: u32) {
        self.modify(id, |node| node.faults.lost_answers = count);
    }

    /// Ends a database's process: its connections are reset and its transactions rolled back, but
    /// its log is kept.
    pub fn kill(&self, id: &DatabaseId) {
        self.modify(id, |node| {
            node.faults.down = true;
            node.faults.life += 1;
            node.abort();
        });
    }

    /// Restarts a killed database.
    pub fn restart(&self, id: &DatabaseId) {
        self.modify(id, |node| {
            node.faults.down = false;
            node.faults.frozen = false;
        });
    }

    /// Sets the replication delays of a database while it is a replica.
    pub fn set_lag(&self, id: &DatabaseId, lag: Lag) {
        self.modify(id, |node| node.lag = lag);
    }

    fn modify(&self, id: &DatabaseId, act: impl FnOnce(&mut Node)) {
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
