//! Callers' connections, which use the PostgreSQL protocol.
//!
//! A caller's messages up to Query, Sync or Flush make one request to the core. A caller has one
//! request in flight at a time; messages pipelined behind it stay in the socket. Connections to
//! databases are pooled by transaction; `prepared` and `sql` describe what that means for callers.
//!
//! Limits: many callers are idle, so an idle connection keeps no buffers. From a caller that sends
//! without reading, at most [`READ_AHEAD`] bytes are read, and a caller that does not take its
//! answer within [`SEND_TIMEOUT`] is disconnected. The requests of all callers that wait to be run
//! are bounded by [`Rules::buffered`].

mod batch;
mod caller;
mod end;
pub mod fault;
mod gather;
mod login;
pub mod prepared;
mod reply;
mod settings;
pub mod startup;

pub use batch::{Batch, Session, build, kind};
pub use settings::Settings;

use crate::clock::{Span, Time};
use crate::core::request::{Outcome, Request};
use crate::net::frame::encode;
use crate::token::Key;
use crate::types::{CallerId, GroupId, Link, PoolId, Position};
use fault::Fault;
use prepared::Cache;
use startup::Cancel;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;

/// The longest batch that a caller may send, in bytes.
pub const BATCH_LIMIT: usize = 4 * 1024 * 1024;
/// How much is read of what a caller pipelines behind its request in flight, in bytes.
pub const READ_AHEAD: usize = 16 * 1024;
/// How long a caller may take to receive an answer.
pub const SEND_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a caller may take to log in.
pub const LOGIN_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay after a failed accept, which usually fails because file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A message from the core to a caller's connection.
#[derive(Debug)]
pub enum Signal {
    /// The request in flight has ended.
    Outcome {
        /// The outcome of the request.
        outcome: Outcome,
        /// The session's floor, for the token.
        floor: Option<Position>,
    },
    /// The connection must close as soon as it has no open transaction.
    Dismiss,
}

/// The operations of the core that callers' connections use.
pub struct Core {
    /// Makes a new link, with the receiver of its messages.
    pub open: Box<dyn Fn() -> (Link, UnboundedReceiver<Signal>)>,
    /// Submits a request; its outcome is sent to the link.
    pub submit: Box<dyn Fn(Request)>,
    /// Reports that a link's connection has closed.
    pub depart: Box<dyn Fn(Link)>,
    /// Asks to cancel a link's request in flight.
    pub cancel: Box<dyn Fn(Link)>,
    /// Reads the clock.
    pub now: Box<dyn Fn() -> Time>,
    /// Finds the pool that serves a caller and a group.
    pub pool: Lookup,
}

/// Finds a caller's pool.
pub type Lookup = Box<dyn Fn(&CallerId, &GroupId) -> Option<Pool>>;

/// The part of a pool's configuration that a caller's connection uses.
#[derive(Debug, Clone)]
pub struct Pool {
    /// The pool's id.
    pub id: PoolId,
    /// The maximum age of a read's data, if the caller does not set one.
    pub max_age: Option<Span>,
    /// The time limit of a whole request.
    pub patience: Span,
}

impl fmt::Debug for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Core")
    }
}

/// The limits on callers' connections.
#[derive(Debug, Clone)]
pub struct Rules {
    /// How many callers may be connected.
    pub callers: usize,
    /// How many bytes of requests all callers together may have buffered.
    pub buffered: usize,
    /// The key that signs session tokens; without it none are issued.
    pub key: Option<Rc<Key>>,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            callers: 10_000,
            buffered: 64 * 1024 * 1024,
            key: None,
        }
    }
}

/// The state that all callers' connections share.
#[derive(Debug)]
struct Shared {
    core: Core,
    rules: Rules,
    cache: Cache,
    cancel_keys: RefCell<HashMap<Cancel, Link>>,
    callers: Cell<usize>,
    buffered: Cell<usize>,
}

/// Accepts callers until the future is dropped. Connections that were accepted stay open.
pub async fn serve(listener: TcpListener, core: Core, rules: Rules) {
    let shared = Rc::new(Shared {
        core,
        rules,
        cache: Cache::default(),
        cancel_keys: RefCell::default(),
        callers: Cell::new(0),
        buffered: Cell::new(0),
    });
    loop {
        match listener.accept().await {
            Ok((stream, _)) => admit(&shared, stream),
            Err(error) => {
                log::warn!(error:%; "could not accept a caller");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn admit(shared: &Rc<Shared>, stream: TcpStream) {
    if shared.callers.get() >= shared.rules.callers {
        let _ = stream.try_write(&encode(&Fault::Callers.response(true)));
        return;
    }
    let _ = stream.set_nodelay(true);
    let slot = Slot::new(Rc::clone(shared));
    actix_rt::spawn(login::run(stream, slot));
}

/// A caller's share of the limits on connections and buffers, returned on drop.
#[derive(Debug)]
struct Slot {
    shared: Rc<Shared>,
    charged: Cell<usize>,
}

impl Slot {
    fn new(shared: Rc<Shared>) -> Self {
        shared.callers.set(shared.callers.get() + 1);
        Self {
            shared,
            charged: Cell::new(0),
        }
    }

    /// Sets the caller's buffered bytes to `bytes`; false if the total of all callers is then above
    /// the limit.
    fn charge(&self, bytes: usize) -> bool {
        let buffered = self.shared.buffered.get() - self.charged.get() + bytes;
        self.shared.buffered.set(buffered);
        self.charged.set(bytes);
        buffered <= self.shared.rules.buffered
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.charge(0);
        self.shared.callers.set(self.shared.callers.get() - 1);
    }
}
