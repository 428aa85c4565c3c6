//! The connections of this VM to one database.
//!
//! **Pattern answered.** Few connections a database for all VMs together, transactions that hold
//! them over their callers' pauses, bursts after quiet.
//! **Without it** every statement waits for a new connection, and one VM's idle connections keep
//! another VM's transactions out.
//!
//! Connections are opened on demand and used again most recent first, so that those too many are
//! seen to be idle, and are closed.

use crate::clock::{Span, Time};
use crate::direct::adapter::Adapter;
use crate::direct::config::Database;
use crate::direct::connection::{Closed, Connection};
use crate::direct::gate::Gate;
use crate::direct::session::Session;
use crate::direct::statement::Code;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// How long opening a connection may take: a round trip between regions and a busy database's
/// slot, several times over.
const OPENING: Span = Span::from_millis(600);

/// How long a connection stays idle before it is closed: long enough for callers that come every
/// few seconds, short enough that another VM's callers find room.
const IDLE: Span = Span::from_secs(4);

/// After a refusal for want of room no connection is tried for this long: a transaction's
/// statement or two.
const FULL_PAUSE: Span = Span::from_millis(40);

/// The connections to one database.
#[derive(Debug)]
pub struct Pool {
    /// Statements in flight.
    pub gate: Gate,
    idle: RefCell<Vec<Connection>>,
    open: Cell<u32>,
    full_until: Cell<Time>,
    returned: Notify,
    sweeping: Cell<bool>,
}

/// A connection in use; it is closed when dropped and not given back.
#[derive(Debug)]
pub struct Lent {
    connection: Option<Connection>,
    pool: Rc<Pool>,
}

impl Drop for Lent {
    fn drop(&mut self) {
        self.pool.open.set(self.pool.open.get() - 1);
        self.pool.returned.notify_one();
    }
}

impl Lent {
    /// The connection.
    pub fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Gives the connection back for others to use, unless something on it is unaccounted for.
    pub fn give_back(mut self, adapter: &Adapter) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        if !connection.is_clean() {
            return;
        }
        connection.used = (adapter.clock)();
        self.pool.open.set(self.pool.open.get() + 1);
        self.pool.idle.borrow_mut().push(connection);
        self.pool.sweep(adapter);
    }
}

impl Pool {
    /// No connection yet to a database that runs `slots` statements at once.
    pub fn new(slots: u32) -> Rc<Self> {
        Rc::new(Self {
            gate: Gate::new(slots),
            idle: RefCell::default(),
            open: Cell::new(0),
            full_until: Cell::default(),
            returned: Notify::new(),
            sweeping: Cell::new(false),
        })
    }

    /// Takes an idle connection, or opens one, or waits within `patience` until one is free.
    pub async fn take(
        self: &Rc<Self>,
        adapter: &Adapter,
        database: &Database,
        session: &Session,
        patience: Span,
    ) -> Result<Lent, Closed> {
        let until = (adapter.clock)() + patience;
        loop {
            if let Some(connection) = self.reuse(session) {
                return Ok(self.lend(connection));
            }
            let now = (adapter.clock)();
            if now >= self.full_until.get() {
                match self.open(adapter, database).await {
                    Err(Closed::Refused(Code::Full)) => {
                        self.full_until.set((adapter.clock)() + FULL_PAUSE);
                    }
                    other => return other,
                }
            }
            let now = (adapter.clock)();
            if now >= until {
                return Err(Closed::Refused(Code::Full));
            }
            let wait = self.full_until.get().since(now).min(until.since(now));
            let _ = tokio::time::timeout(wait.into(), self.returned.notified()).await;
        }
    }

    /// Whether a statement could be sent without waiting for a connection to open.
    pub fn has_idle(&self) -> bool {
        !self.idle.borrow().is_empty()
    }

    /// Closes idle connections that were last used before `since`: whatever lost track of one
    /// connection has often lost track of those beside it.
    pub fn distrust(&self, since: Time) {
        self.close_idle(|connection| connection.used < since);
    }

    /// Closes all idle connections.
    pub fn close(&self) {
        self.close_idle(|_| true);
    }

    fn close_idle(&self, close: impl Fn(&Connection) -> bool) {
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|connection| !close(connection));
        let closed = (before - idle.len()) as u32;
        self.open.set(self.open.get() - closed);
    }

    fn lend(self: &Rc<Self>, connection: Connection) -> Lent {
        Lent {
            connection: Some(connection),
            pool: self.clone(),
        }
    }

    async fn open(self: &Rc<Self>, adapter: &Adapter, database: &Database) -> Result<Lent, Closed> {
        self.open.set(self.open.get() + 1);
        let mut lent = Lent {
            connection: None,
            pool: self.clone(),
        };
        lent.connection = Some(Connection::open(adapter, database, OPENING).await?);
        Ok(lent)
    }

    /// The idle connection whose values fit a session best, most recent first.
    fn reuse(&self, session: &Session) -> Option<Connection> {
        loop {
            let mut idle = self.idle.borrow_mut();
            let best = best_fit(&idle, session)?;
            let mut connection = idle.remove(best);
            if connection.is_alive() {
                return Some(connection);
            }
            self.open.set(self.open.get() - 1);
        }
    }

    /// Closes connections that stay idle, from a task that lives while there are any.
    fn sweep(self: &Rc<Self>, adapter: &Adapter) {
        if self.sweeping.replace(true) {
            return;
        }
        let pool = self.clone();
        let clock = adapter.clock.clone();
        actix_rt::spawn(async move {
            while pool.has_idle() {
                tokio::time::sleep(IDLE.into()).await;
                let now = clock();
                pool.close_idle(|connection| now.since(connection.used) >= IDLE);
            }
            pool.sweeping.set(false);
        });
    }
}

/// Which idle connection to use: values that differ cost a round trip, those that the session
/// lacks cost all that was prepared.
fn best_fit(idle: &[Connection], session: &Session) -> Option<usize> {
    let fits = idle.iter().enumerate();
    let best = fits.max_by_key(|(index, connection)| (connection.fit(session), *index));
    best.map(|(index, _)| index)
}
