//! The databases' side: connections for callers' work, and connections for orders about terms.
//!
//! A work connection runs one batch at a time and hands back its whole answer. If anything on
//! it is not accounted for, it is closed: failure, an answer that comes late would reach another
//! caller; enough, because a connection that was closed is never read again, and one that stays
//! open has answered exactly what it was asked. A connection that falls silent is closed by the
//! core, which keeps the deadlines of callers' work.

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
    lanes: RefCell<HashMap<Lane, UnboundedSender<control::Request>>>,
}

/// A work connection, as commands reach it. Dropping it closes the connection.
#[derive(Debug)]
struct Conn {
    runs: UnboundedSender<Run>,
    address: SocketAddr,
    /// What a cancel request has to show, once the database has told.
    key: Rc<Cell<Option<Key>>>,
}

/// A control connection. Orders that wait have one of their own, so as not to hold up probes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Lane {
    database: DatabaseId,
    address: SocketAddr,
    waits: bool,
}

impl Targets {
    /// No connections yet. They will come from the address `source`, and tell `events` what
    /// happens.
    pub fn new(source: IpAddr, events: UnboundedSender<Event>) -> Self {
        Self {
            source,
            events,
            conns: Rc::default(),
            lanes: RefCell::default(),
        }
    }

    /// Carries out a command; what comes of it is told as an event. A `Close` is not answered.
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
        let end = wire::End {
            source: self.source,
            address,
            database: database.clone(),
        };
        let events = self.events.clone();
        let conns = Rc::clone(&self.conns);
        actix_rt::spawn(async move {
            let event = conn::serve(id, end, key, receiver, &events).await;
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
        let lane = Lane {
            database,
            address,
            waits: matches!(order, Order::Reach(_)),
        };
        let mut lanes = self.lanes.borrow_mut();
        let request = match lanes.get(&lane) {
            Some(orders) => match orders.send(request) {
                Ok(()) => return,
                Err(refused) => refused.0,
            },
            None => request,
        };
        let (orders, receiver) = unbounded_channel();
        let _ = orders.send(request);
        let end = wire::End {
            source: self.source,
            address,
            database: lane.database.clone(),
        };
        actix_rt::spawn(control::serve(end, receiver, self.events.clone()));
        lanes.retain(|_, orders| !orders.is_closed());
        lanes.insert(lane, orders);
    }
}
