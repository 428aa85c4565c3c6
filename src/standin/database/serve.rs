//! Accepts connections, handles cancel requests, and runs replication.

use super::Shared;
use super::link::{self, Inbox, Outbox, Peer};
use super::reply::Reply;
use super::session::Session;
use crate::core::database::Refusal;
use crate::net::dialect;
use crate::types::{DatabaseId, Position};
use bytes::Bytes;
use pgwire::messages::startup::{NegotiateProtocolVersion, SecretKey, Startup};
use pgwire::messages::{Message, PgWireFrontendMessage, SslNegotiationMetaMessage};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener as StdListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

static CONNECTIONS: AtomicU64 = AtomicU64::new(1);

/// Returns the sequence number that the next connection of the process gets.
pub(super) fn next_connection_number() -> u64 {
    CONNECTIONS.load(Ordering::Relaxed)
}

/// Running sessions by process id, for cancel requests.
type Sessions = Rc<RefCell<HashMap<i32, CancelTarget>>>;

struct CancelTarget {
    secret: i32,
    cancel: Arc<Notify>,
}

/// Serves the listeners until `stopped` becomes true.
pub(super) async fn run(
    shared: Arc<Shared>,
    listeners: BTreeMap<DatabaseId, StdListener>,
    mut stopped: watch::Receiver<bool>,
) {
    let sessions = Sessions::default();
    actix_rt::spawn(replicate(shared.clone()));
    for (id, listener) in listeners {
        actix_rt::spawn(listen(shared.clone(), id, listener, sessions.clone()));
    }
    let _ = stopped.wait_for(|stopped| *stopped).await;
}

async fn replicate(shared: Arc<Shared>) {
    let mut changed = shared.changed.subscribe();
    loop {
        // Marked as seen before the logs are read, so that a later change is not missed.
        changed.borrow_and_update();
        let (before, lives) = (positions(&shared), lives(&shared));
        let next = shared.lock().replicate(Instant::now());
        if self::lives(&shared) != lives {
            shared.wake_all();
        }
        if positions(&shared) != before {
            shared.wake();
        }
        let due = async {
            match next {
                Some(due) => tokio::time::sleep_until(due).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => {}
            result = changed.changed() => if result.is_err() { return },
        }
    }
}

fn positions(shared: &Shared) -> Vec<[Position; 2]> {
    let world = shared.lock();
    let stores = world.nodes.values().map(|node| &node.store);
    stores.map(|store| [store.end(), store.applied()]).collect()
}

/// Returns the databases' lives. One rises when a database stops because its log can't be applied.
fn lives(shared: &Shared) -> Vec<u64> {
    let world = shared.lock();
    world.nodes.values().map(|node| node.faults.life).collect()
}

/// Accepts connections while the database is running, and listens again after a restart.
async fn listen(shared: Arc<Shared>, id: DatabaseId, first: StdListener, sessions: Sessions) {
    let Ok(address) = first.local_addr() else {
        return;
    };
    let mut listener = TcpListener::from_std(first).ok();
    let mut changed = shared.faults_changed.subscribe();
    loop {
        let down = shared.node(&id, |node| node.faults.down).unwrap_or(true);
        if down {
            listener = None;
        } else if listener.is_none() {
            listener = bind(address).await;
        }
        let accept = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            accepted = accept => {
                if let Ok((stream, from)) = accepted {
                    let connection = Connection::new(&shared, &id, from);
                    actix_rt::spawn(connection.serve(stream, sessions.clone()));
                }
            }
            result = changed.changed() => if result.is_err() { return },
        }
    }
}

async fn bind(address: SocketAddr) -> Option<TcpListener> {
    const RETRY_DELAY: Duration = Duration::from_millis(20);
    const MAX_TRIES: usize = 50;
    for _ in 0..MAX_TRIES {
        match TcpListener::bind(address).await {
            Ok(listener) => return Some(listener),
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
    log::error!(address:% = address; "stand-in database could not listen again");
    None
}

struct Connection {
    shared: Arc<Shared>,
    peer: Rc<Peer>,
    latency: Duration,
}

impl Connection {
    fn new(shared: &Arc<Shared>, id: &DatabaseId, from: SocketAddr) -> Self {
        let properties = shared.node(id, |node| (node.domain.clone(), node.faults.life));
        let (domain, life) = properties.map_or((None, 0), |(domain, life)| (Some(domain), life));
        let latency = domain.map(|domain| (shared.latency)(from.ip(), &domain));
        let peer = Peer {
            database: id.clone(),
            ip: from.ip(),
            number: CONNECTIONS.fetch_add(1, Ordering::Relaxed),
            life,
        };
        Self {
            shared: shared.clone(),
            peer: Rc::new(peer),
            latency: latency.unwrap_or_default().into(),
        }
    }

    async fn serve(self, stream: TcpStream, sessions: Sessions) {
        let _ = stream.set_nodelay(true);
        let (inbox, outbox) =
            link::open(stream, self.peer.clone(), self.shared.clone(), self.latency);
        tokio::select! {
            () = self.serve_session(inbox, outbox, sessions) => {}
            _ = self.peer.wait_for_end(&self.shared) => {}
        }
    }

    async fn serve_session(&self, mut inbox: Inbox, outbox: Outbox, sessions: Sessions) {
        let Some(startup) = read_startup(&mut inbox, &outbox, &sessions).await else {
            return;
        };
        let control =
            startup.parameters.get("user").map(String::as_str) == Some(dialect::CONTROL_USER);
        let Some(_permit) = Permit::take(self, control) else {
            let mut reply = Reply::default();
            reply.failure(&Refusal::Full.into());
            outbox.send(reply.take());
            return;
        };
        let connect = self.shared.node(&self.peer.database, |node| node.connect);
        let connect = Duration::from(connect.unwrap_or_default());
        if !connect.is_zero() {
            tokio::time::sleep(connect).await;
        }
        negotiate(&startup, &outbox);
        let running = Registration::new(sessions, self.peer.number);
        let mut session = Session::new(
            self.shared.clone(),
            self.peer.database.clone(),
            outbox,
            running.cancel.clone(),
        );
        session.serve(&mut inbox, running.pid, running.secret).await;
    }
}

/// Reads up to the startup message; `None` if the connection was opened for another purpose.
async fn read_startup(inbox: &mut Inbox, outbox: &Outbox, sessions: &Sessions) -> Option<Startup> {
    loop {
        match inbox.next().await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None) => {
                inbox.finish_encryption();
            }
            PgWireFrontendMessage::SslNegotiation(_) => {
                outbox.send(Bytes::from_static(b"N"));
            }
            PgWireFrontendMessage::Startup(startup) => {
                inbox.finish_startup();
                return Some(startup);
            }
            PgWireFrontendMessage::CancelRequest(request) => {
                cancel(sessions, request.pid, &request.secret_key);
                return None;
            }
            _ => return None,
        }
    }
}

fn cancel(sessions: &Sessions, pid: i32, key: &SecretKey) {
    if let Some(running) = sessions.borrow().get(&pid)
        && key.as_i32() == Some(running.secret)
    {
        running.cancel.notify_waiters();
    }
}

/// Answers a request for a later minor version: only protocol 3.0 is supported.
fn negotiate(startup: &Startup, outbox: &Outbox) {
    if startup.protocol_number_minor == 0 {
        return;
    }
    let mut bytes = bytes::BytesMut::new();
    let message = NegotiateProtocolVersion::new(0, Vec::new());
    if message.encode(&mut bytes).is_ok() {
        outbox.send(bytes.freeze());
    }
}

/// A session's entry in the table for cancel requests; removed when dropped.
struct Registration {
    sessions: Sessions,
    pid: i32,
    secret: i32,
    cancel: Arc<Notify>,
}

impl Registration {
    fn new(sessions: Sessions, number: u64) -> Self {
        let pid = i32::try_from(number).unwrap_or(i32::MAX);
        let cancel = Arc::new(Notify::new());
        let secret = rand::random();
        let running = CancelTarget {
            secret,
            cancel: cancel.clone(),
        };
        sessions.borrow_mut().insert(pid, running);
        Self {
            sessions,
            pid,
            secret,
            cancel,
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.sessions.borrow_mut().remove(&self.pid);
    }
}

/// A permit for one of a database's limited connections; released when dropped.
struct Permit {
    shared: Arc<Shared>,
    database: DatabaseId,
    counted: bool,
}

impl Permit {
    /// Returns `None` if the limit is reached; a control connection, which carries orders, does not
    /// count.
    fn take(connection: &Connection, control: bool) -> Option<Self> {
        let database = &connection.peer.database;
        let taken = connection.shared.node(database, |node| {
            let free = control || node.connections < node.connection_limit;
            node.connections += u32::from(free && !control);
            free
        });
        (taken == Some(true)).then(|| Self {
            shared: connection.shared.clone(),
            database: database.clone(),
            counted: !control,
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.counted {
            self.shared.node(&self.database, |node| {
                node.connections = node.connections.saturating_sub(1);
            });
        }
    }
}
