//! The callers' side: connections that speak the PostgreSQL protocol.
//!
//! A caller's messages up to Query, Sync or Flush make one request to the core, and a caller
//! has one request under way at a time; what it pipelines behind that stays in the socket.
//! Connections to databases are pooled by transaction, see `prepared` and `sql` for what that
//! means to a caller.
//!
//! Load and abuse: many callers are idle, so an idle one keeps no buffers. A caller that sends
//! without reading is read no further than [`READ_AHEAD`], and one that does not take its answer
//! within [`SEND_LIMIT`] is closed. What all callers have sent and not yet had run is bounded by
//! [`Rules::buffered`].

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
use prepared::Library;
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
/// How much is read of what a caller pipelines behind its request under way, in bytes.
pub const READ_AHEAD: usize = 16 * 1024;
/// How long a caller may take to receive an answer.
pub const SEND_LIMIT: Duration = Duration::from_secs(30);
/// How long a caller may take to log in.
pub const LOGIN_LIMIT: Duration = Duration::from_secs(10);
/// How long accepting waits after it failed, for want of file descriptors as a rule.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What the core tells a caller's connection.
#[derive(Debug)]
pub enum Told {
    /// What came of the request under way.
    Outcome {
        /// What came of it.
        outcome: Outcome,
        /// The session's floor, for the token.
        floor: Option<Position>,
    },
    /// The connection is to end as soon as it is idle.
    Dismiss,
}

/// The core as callers' connections use it.
pub struct Core {
    /// Makes a new link, with the end at which it is told things.
    pub open: Box<dyn Fn() -> (Link, UnboundedReceiver<Told>)>,
    /// Submits a request; the link is told its outcome.
    pub submit: Box<dyn Fn(Request)>,
    /// Says that a link is gone.
    pub depart: Box<dyn Fn(Link)>,
    /// Asks to cancel what a link has under way.
    pub cancel: Box<dyn Fn(Link)>,
    /// Reads the clock.
    pub now: Box<dyn Fn() -> Time>,
    /// The pool by whose rules a caller uses a group.
    pub pool: Lookup,
}

/// Finds a caller's pool.
pub type Lookup = Box<dyn Fn(&CallerId, &GroupId) -> Option<Pool>>;

/// What a caller's connection needs to know of its pool.
#[derive(Debug, Clone)]
pub struct Pool {
    /// The pool.
    pub id: PoolId,
    /// How old a read may be, where the caller does not say.
    pub max_age: Option<Span>,
    /// How long a request may take in all.
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
    /// The key under which session tokens are signed; without it none are shown.
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

/// What all callers' connections share.
#[derive(Debug)]
struct Door {
    core: Core,
    rules: Rules,
    library: Library,
    secrets: RefCell<HashMap<Cancel, Link>>,
    callers: Cell<usize>,
    buffered: Cell<usize>,
}

/// Accepts callers until the future is dropped. Connections accepted by then go on.
pub async fn serve(listener: TcpListener, core: Core, rules: Rules) {
    let door = Rc::new(Door {
        core,
        rules,
        library: Library::default(),
        secrets: RefCell::default(),
        callers: Cell::new(0),
        buffered: Cell::new(0),
    });
    loop {
        match listener.accept().await {
            Ok((stream, _)) => admit(&door, stream),
            Err(error) => {
                log::warn!(error:%; "could not accept a caller");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn admit(door: &Rc<Door>, stream: TcpStream) {
    if door.callers.get() >= door.rules.callers {
        let _ = stream.try_write(&encode(&Fault::Callers.response(true)));
        return;
    }
    let _ = stream.set_nodelay(true);
    let place = Place::new(Rc::clone(door));
    actix_rt::spawn(login::run(stream, place));
}

/// A caller's place among those that may be connected.
#[derive(Debug)]
struct Place {
    door: Rc<Door>,
    charged: Cell<usize>,
}

impl Place {
    fn new(door: Rc<Door>) -> Self {
        door.callers.set(door.callers.get() + 1);
        Self {
            door,
            charged: Cell::new(0),
        }
    }

    /// Charges `bytes` of buffers to the caller, in place of what was charged before; false if
    /// that is more than there is for all.
    fn charge(&self, bytes: usize) -> bool {
        let buffered = self.door.buffered.get() - self.charged.get() + bytes;
        self.door.buffered.set(buffered);
        self.charged.set(bytes);
        buffered <= self.door.rules.buffered
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.charge(0);
        self.door.callers.set(self.door.callers.get() - 1);
    }
}
