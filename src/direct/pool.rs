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
use crate::direct::gate::{Gate, Urgency};
use crate::direct::session::Values;
use crate::direct::statement::Code;
use crate::types::{OrganisationId, Position};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;

/// How long opening a connection may take: a round trip between regions and a busy database's
/// slot, several times over.
const OPENING: Span = Span::from_millis(600);

/// How long a connection stays idle before it is closed. Opening one costs a slot for 12 ms; one
/// that is kept takes a place that other VMs lack. When all VMs lose power, a database counts their
/// connections for 3 s more, and the VMs that start again find only the places that were left.
const IDLE: Span = Span::from_millis(400);

/// After a first refusal for want of room no connection is tried for this long: a transaction's
/// statement or two.
const FULL_PAUSE: Span = Span::from_millis(40);

/// How long after a refusal for want of room connections are not kept idle.
const SCARCE: Span = Span::from_secs(1);

/// How long a position is taken for the present one: an owner hears of it with each answer, some
/// hundred a second, and a replica that is behind gets further in jumps.
const POSITION_LIFE: Span = Span::from_millis(40);

/// The longest such pause: a database drops connections of a VM that is gone after some seconds.
const LONGEST_FULL_PAUSE: Span = Span::from_millis(320);

/// How long an organisation's connection stays idle while there are places for it: the next statement
/// of a small organisation is seconds away.
const KEPT: Span = Span::from_secs(10);

/// The least pause between two looks for connections to close.
const LEAST_REST: Span = Span::from_millis(50);

/// What a connection should be like.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// On whose behalf it is used.
    pub organisation: Option<&'a OrganisationId>,
    /// The session's values.
    pub values: &'a Values,
}

/// The connections to one database.
#[derive(Debug)]
pub struct Pool {
    /// Statements in flight.
    pub gate: Gate,
    idle: RefCell<Vec<Connection>>,
    /// Connections that are in use.
    lent: Cell<u32>,
    /// How many connections are kept, those in use among them.
    places: Cell<u32>,
    full_until: Cell<Time>,
    full_pause: Cell<Span>,
    returned: Notify,
    waiting: Cell<u32>,
    /// Until when a statement would wait at the owner that was asked last.
    owner_waits: Cell<Time>,
    /// How far the log was when the database last said so, and when that was.
    position: Cell<Option<(Position, Time)>>,
    sweeping: Cell<bool>,
}

/// A connection in use; it is closed when dropped and not given back.
#[derive(Debug)]
pub struct Lent {
    connection: Connection,
    seat: Seat,
    opened: bool,
}

/// Counts a connection in use, and tells those that wait for one when it is free.
#[derive(Debug)]
struct Seat {
    pool: Rc<Pool>,
    /// Whether it has a connection: one that was not opened leaves nothing to those that wait.
    taken: bool,
}

impl Seat {
    fn new(pool: &Rc<Pool>) -> Self {
        pool.lent.set(pool.lent.get() + 1);
        Self {
            pool: pool.clone(),
            taken: true,
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.pool.lent.set(self.pool.lent.get() - 1);
        if self.taken {
            self.pool.returned.notify_one();
        }
    }
}

impl Lent {
    fn new(connection: Connection, seat: Seat, opened: bool) -> Self {
        Self {
            connection,
            seat,
            opened,
        }
    }

    /// The connection.
    pub fn connection(&mut self) -> &mut Connection {
        &mut self.connection
    }

    /// Whether it was opened just now.
    pub fn is_new(&self) -> bool {
        self.opened
    }

    /// Gives the connection back for others to use, unless something on it is unaccounted for.
    pub fn give_back(self, adapter: &Adapter) {
        let Self {
            mut connection,
            seat,
            opened: _,
        } = self;
        let now = (adapter.clock)();
        let pool = seat.pool.clone();
        if !connection.is_clean() || pool.leaves_to_others(now) {
            return;
        }
        connection.used = now;
        pool.idle.borrow_mut().push(connection);
        pool.sweep(adapter);
    }
}

impl Pool {
    /// No connection yet to a database that runs `slots` statements at once.
    pub fn new(slots: u32) -> Rc<Self> {
        Rc::new(Self {
            gate: Gate::new(slots),
            idle: RefCell::default(),
            lent: Cell::new(0),
            places: Cell::new(0),
            full_until: Cell::default(),
            full_pause: Cell::new(FULL_PAUSE),
            returned: Notify::new(),
            waiting: Cell::new(0),
            owner_waits: Cell::default(),
            position: Cell::default(),
            sweeping: Cell::new(false),
        })
    }

    /// Takes an idle connection, or opens one.
    pub async fn take(
        self: &Rc<Self>,
        adapter: &Adapter,
        database: &Database,
        wanted: Wanted<'_>,
    ) -> Result<Lent, Closed> {
        if let Some(connection) = self.reuse(wanted) {
            return Ok(Lent::new(connection, Seat::new(self), false));
        }
        if (adapter.clock)() < self.full_until.get() {
            return Err(Closed::Refused(Code::Full));
        }
        let mut seat = Seat::new(self);
        if wanted.organisation.is_some() {
            self.make_room();
        }
        match Connection::open(adapter, database, wanted.organisation, OPENING).await {
            Ok(connection) => {
                self.full_pause.set(FULL_PAUSE);
                Ok(Lent::new(connection, seat, true))
            }
            Err(closed) => {
                seat.taken = false;
                if let Closed::Refused(Code::Full) = closed {
                    self.pause((adapter.clock)());
                }
                Err(closed)
            }
        }
    }

    /// How many connections may be kept.
    pub fn resize(&self, places: u32) {
        self.places.set(places);
    }

    /// Closes the connection that was idle longest, if as many are kept as may be.
    fn make_room(&self) {
        let mut idle = self.idle.borrow_mut();
        let held = idle.len() + self.lent.get() as usize;
        if held <= self.places.get() as usize {
            return;
        }
        let oldest = idle.iter().enumerate().min_by_key(|(_, one)| one.used);
        if let Some((index, _)) = oldest {
            idle.remove(index);
        }
    }

    /// How long a connection stays idle before it is closed.
    fn keeps(&self, connection: &Connection) -> Span {
        let held = self.idle.borrow().len() + self.lent.get() as usize;
        match connection.organisation() {
            Some(_) if held <= self.places.get() as usize => KEPT,
            _ => IDLE,
        }
    }

    /// Opens no connection for a while, longer with each refusal in a row.
    fn pause(&self, now: Time) {
        let pause = self.full_pause.get();
        self.full_until.set(now + pause);
        let longer = pause.percent(200).min(LONGEST_FULL_PAUSE);
        self.full_pause.set(longer);
    }

    /// When whoever found no connection should come back: while refusals go on in a row,
    /// not before the next connections are tried.
    pub fn retry(&self, now: Time) -> Span {
        let own = self.full_until.get().since(now).max(self.gate.retry());
        own.max(self.owner_waits.get().since(now))
    }

    /// The database said how far its log is.
    pub fn has(&self, position: Position, now: Time) {
        self.position.set(Some((position, now)));
    }

    /// How far the log was, if that was said so shortly ago that it can't be much further now.
    pub fn position(&self, now: Time) -> Option<Position> {
        let (position, at) = self.position.get()?;
        (now < at + POSITION_LIFE).then_some(position)
    }

    /// An owner says until when a statement would wait there.
    pub fn owner_waits(&self, until: Time) {
        self.owner_waits.set(until);
    }

    /// How long new work of this urgency would wait, here or at the owner.
    pub fn wait_at(&self, now: Time, urgency: Urgency) -> Span {
        self.gate
            .wait(urgency)
            .max(self.owner_waits.get().since(now))
    }

    /// Waits until a connection may be had, where none was.
    pub async fn wait(&self) {
        self.waiting.set(self.waiting.get() + 1);
        let _ = tokio::time::timeout(FULL_PAUSE.into(), self.returned.notified()).await;
        self.waiting.set(self.waiting.get() - 1);
    }

    /// Whether a connection that is given back is closed, for another VM to have its place.
    ///
    /// Where a database has been full of late, some VMs hold all its connections, and keep them by
    /// using them now and then, while others have none and can't so much as learn how far the log is.
    fn leaves_to_others(&self, now: Time) -> bool {
        let was_full = self.full_until.get() > Time::default();
        was_full && self.waiting.get() == 0 && now < self.full_until.get() + SCARCE
    }

    /// Closes idle connections that were last used before `since`: whatever lost track of one
    /// connection has often lost track of those beside it.
    pub fn distrust(&self, since: Time) {
        let trusted = |connection: &Connection| connection.used >= since;
        self.idle.borrow_mut().retain(trusted);
    }

    /// The idle connection whose values fit a session best, most recent first.
    fn reuse(&self, wanted: Wanted<'_>) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        loop {
            let best = best_fit(&idle, wanted)?;
            let mut connection = idle.remove(best);
            if connection.is_alive() {
                return Some(connection);
            }
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
            while let Some(due) = pool.due() {
                let rest = due.since(clock()).max(LEAST_REST);
                tokio::time::sleep(rest.into()).await;
                pool.close_unused(clock());
            }
            pool.sweeping.set(false);
        });
    }

    /// When the next idle connection is to be closed, as it looks now.
    fn due(&self) -> Option<Time> {
        let idle = self.idle.borrow();
        idle.iter().map(|one| one.used + self.keeps(one)).min()
    }

    fn close_unused(&self, now: Time) {
        let idle = self.idle.borrow();
        let kept = idle.iter().map(|one| now < one.used + self.keeps(one));
        let mut kept: Vec<bool> = kept.collect();
        drop(idle);
        let mut kept = kept.drain(..);
        self.idle
            .borrow_mut()
            .retain(|_| kept.next().unwrap_or(true));
    }
}

/// Which idle connection to use: values that differ cost a round trip, those that the session
/// lacks cost all that was prepared.
fn best_fit(idle: &[Connection], wanted: Wanted<'_>) -> Option<usize> {
    let fits = idle.iter().enumerate();
    let own = fits.filter(|(_, connection)| connection.organisation() == wanted.organisation);
    let best = own.max_by_key(|(index, connection)| (connection.fit(wanted.values), *index));
    best.map(|(index, _)| index)
}
