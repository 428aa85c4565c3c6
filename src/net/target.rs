//! Connections to databases: work connections for callers' work, control connections for orders
//! about terms.
//!
//! A work connection runs one batch at a time and returns its whole answer. After any unexpected
//! message it is closed and never read again; otherwise a late answer could reach another caller.
//! A connection that stays open has answered exactly the requests that were sent. The core keeps
//! the deadlines of callers' work, and closes a connection that does not answer.

mod conn;
mod control;
mod keyed;
mod names;
mod rewrite;
mod wire;

pub use names::Names;
pub use rewrite::{Rewritten, rewrite};

use crate::core::database::{Command, Event, Order, Run};
use crate::types::{ConnId, DatabaseId, RequestId};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use wire::Key;

/// All connections of this process to databases.
#[derive(Debug)]
pub struct Targets {
    source: IpAddr,
    events: UnboundedSender<Event>,
    conns: Rc<RefCell<HashMap<ConnId, Conn>>>,
    channels: RefCell<HashMap<Channel, UnboundedSender<control::Request>>>,
}

/// The handle of a work connection. Dropping it closes the connection.
#[derive(Debug)]
struct Conn {
    runs: UnboundedSender<Run>,
    address: SocketAddr,
    /// The key for cancel requests, once the database has sent it.
    key: Rc<Cell<Option<Key>>>,
}

/// Identifies a control connection. Orders that wait for a position use a separate connection, so
/// that they don't delay probes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Channel {
    database: DatabaseId,
    address: SocketAddr,
    waits: bool,
}

impl Targets {
    /// Starts without connections. They use the local address `source`, and send their events to
    /// `events`.
    pub fn new(source: IpAddr, events: UnboundedSender<Event>) -> Self {
        Self {
            source,
            events,
            conns: Rc::default(),
            channels: RefCell::default(),
        }
    }

    /// Executes a command; its result is sent as an event. A `Close` has none.
    pub fn command(&self, command: Command) {
        match command {
            Command::Connect {
                conn,
                database,
                address,
            } => self.connect(conn, &database, address),
            Command::Run { conn, run } => self.run(conn, run),
            Command::Cancel { conn } => self.cancel(conn),
            Command::Close { conn } => {
                self.conns.borrow_mut().remove(&conn);
            }
            Command::Control {
                id,
                database,
                address,
                order,
            } => self.control(id, database, address, order),
        }
    }

    fn connect(&self, id: ConnId, database: &DatabaseId, address: SocketAddr) {
        let (runs, receiver) = unbounded_channel();
        let key = Rc::new(Cell::new(None));
        let conn = Conn {
            runs,
            address,
            key: Rc::clone(&key),
        };
        self.conns.borrow_mut().insert(id, conn);
        let endpoints = wire::Endpoints {
            source: self.source,
            address,
            database: database.clone(),
        };
        let events = self.events.clone();
        let conns = Rc::clone(&self.conns);
        actix_rt::spawn(async move {
            let event = conn::serve(id, endpoints, key, receiver, &events).await;
            if let Some(event) = event {
                conns.borrow_mut().remove(&id);
                let _ = events.send(event);
            }
        });
    }

    fn run(&self, id: ConnId, run: Run) {
        let conns = self.conns.borrow();
        let sent = conns
            .get(&id)
            .is_some_and(|conn| conn.runs.send(run).is_ok());
        if !sent {
            let _ = self.events.send(Event::Closed { conn: id });
        }
    }

    fn cancel(&self, id: ConnId) {
        let conns = self.conns.borrow();
        let Some(conn) = conns.get(&id) else {
            return;
        };
        if let Some(key) = conn.key.get() {
            actix_rt::spawn(wire::cancel(self.source, conn.address, key));
        }
    }

    fn control(&self, id: RequestId, database: DatabaseId, address: SocketAddr, order: Order) {
        let request = control::Request::new(id, order);
        let channel = Channel {
            database,
            address,
            waits: matches!(order, Order::Reach(_)),
        };
        let mut channels = self.channels.borrow_mut();
        let request = match channels.get(&channel) {
            Some(orders) => match orders.send(request) {
                Ok(()) => return,
                Err(refused) => refused.0,
            },
            None => request,
        };
        let (orders, receiver) = unbounded_channel();
        let _ = orders.send(request);
        let endpoints = wire::Endpoints {
            source: self.source,
            address,
            database: channel.database.clone(),
        };
        actix_rt::spawn(control::serve(endpoints, receiver, self.events.clone()));
        channels.retain(|_, orders| !orders.is_closed());
        channels.insert(channel, orders);
    }
}
