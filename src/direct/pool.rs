//! The pool of connections from this VM to one database.
//!
//! All VMs share a database's few connections, transactions hold them while their callers pause, and
//! load comes in bursts. Without reuse every statement would wait for a new connection; if idle ones
//! were kept forever, one VM's idle connections would keep out another VM's transactions.
//!
//! Connections are opened on demand and the most recently used is reused first, so that surplus
//! ones become idle and are closed.
//!
//! If the configuration has organisations, and few VMs own connections, the number of open ones has a bound and
//! [`crate::admission::connection`] decides which work gets one.

mod places;

use crate::admission::share::{Division, Load, Unmet};
use crate::clock::{Span, Time};
use crate::direct::adapter::Adapter;
use crate::direct::config::Database;
use crate::direct::connection::{Closed, Connection};
use crate::direct::gate::{Gate, Urgency};
use crate::direct::session::Values;
use crate::direct::statement::Code;
use crate::types::{OrganisationId, Position};
use places::{Flow, Places};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Time limit for opening a connection: several times a round trip between regions plus the wait for
/// a slot of a busy database.
const OPEN_TIMEOUT: Span = Span::from_millis(600);

/// How long a connection stays idle before it is closed. Opening one occupies a slot for 12 ms, but
/// an idle one is not available to other VMs. When all VMs lose power, a database counts their
/// connections for another 3 s, so restarting VMs can use only those that were free before.
const IDLE_TIMEOUT: Span = Span::from_millis(400);

/// How long no connection is opened after a first refusal because the database is full: the time of
/// one or two statements of a transaction.
const MIN_FULL_DELAY: Span = Span::from_millis(40);

/// How long no connections are kept idle after a refusal because the database is full.
const SCARCITY_PERIOD: Span = Span::from_secs(1);

/// How long a reported log position counts as current. An owner gets one with each answer, some
/// hundred per second, and a lagging replica advances in jumps.
const MAX_POSITION_AGE: Span = Span::from_millis(40);

/// The longest delay after repeated refusals: a database drops the connections of a lost VM after
/// some seconds.
const MAX_FULL_DELAY: Span = Span::from_millis(320);

/// How long an organisation's connection stays idle while the pool is within its limit: a small
/// organisation sends a statement every few seconds.
const ORGANISATION_IDLE_TIMEOUT: Span = Span::from_secs(10);

/// The shortest interval between two checks for idle connections to close.
const MIN_SWEEP_INTERVAL: Span = Span::from_millis(50);

/// What a statement requires of its connection.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// The organisation on whose behalf it is used.
    pub organisation: Option<&'a OrganisationId>,
    /// The session's values.
    pub values: &'a Values,
}

impl Wanted<'_> {
    fn flow(&self) -> Flow {
        self.organisation.cloned()
    }
}

/// The connections to one database.
#[derive(Debug)]
pub struct Pool {
    /// Limits the statements in flight.
    pub gate: Gate,
    idle: RefCell<Vec<Connection>>,
    /// The number of connections in use.
    in_use: Cell<u32>,
    /// The most connections that are kept open, including those in use.
    max_kept: Cell<u32>,
    full_until: Cell<Time>,
    full_delay: Cell<Span>,
    returned: Notify,
    waiting: Cell<u32>,
    /// Until when a statement would have to wait at the owner that was asked last.
    owner_waits: Cell<Time>,
    /// The log position that the database last reported, and when it did.
    position: Cell<Option<(Position, Time)>>,
    sweeping: Cell<bool>,
    places: Places,
    /// The other owners of the database, if owners divide its slots.
    others: RefCell<Rc<[SocketAddr]>>,
    division: RefCell<Division<SocketAddr>>,
    unmet: Cell<Unmet>,
    /// Whether a task keeps to this owner's part.
    pub divides: Cell<bool>,
}

/// Permission to use a connection, and the idle one that fits.
#[derive(Debug)]
pub struct Place {
    usage: Usage,
    connection: Option<Connection>,
}

/// A connection in use; it is closed when dropped without being given back.
#[derive(Debug)]
pub struct Checkout {
    connection: Connection,
    usage: Usage,
    opened: bool,
}

/// Counts a connection as in use, and lets waiting work continue when it is free again.
#[derive(Debug)]
struct Usage {
    pool: Rc<Pool>,
    /// Whose it is counted as, if connections have a bound.
    flow: Option<Flow>,
    since: Time,
    /// Whether it has a connection: if opening failed, no waiting task is notified.
    connected: bool,
}

impl Usage {
    fn new(pool: &Rc<Pool>, flow: Option<Flow>, since: Time) -> Self {
        pool.in_use.set(pool.in_use.get() + 1);
        if let Some(flow) = &flow {
            pool.places.start(flow);
        }
        Self {
            pool: pool.clone(),
            flow,
            since,
            connected: true,
        }
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.pool.in_use.set(self.pool.in_use.get() - 1);
        if let Some(flow) = &self.flow {
            self.pool.places.end(flow);
        }
        if self.connected {
            self.pool.returned.notify_one();
            if let Some(flow) = &self.flow {
                self.pool.grant(flow, None);
            }
        }
    }
}

impl Checkout {
    fn new(connection: Connection, usage: Usage, opened: bool) -> Self {
        Self {
            connection,
            usage,
            opened,
        }
    }

    /// The connection.
    pub fn connection(&mut self) -> &mut Connection {
        &mut self.connection
    }

    /// Whether it was newly opened rather than reused.
    pub fn is_new(&self) -> bool {
        self.opened
    }

    /// Returns the connection to the pool, or closes it if it is not clean or connections are scarce.
    pub fn give_back(self, adapter: &Adapter) {
        let Self {
            mut connection,
            mut usage,
            opened: _,
        } = self;
        let now = (adapter.clock)();
        let pool = usage.pool.clone();
        pool.places.note_use(now.since(usage.since));
        if !connection.is_clean() {
            return;
        }
        connection.used = now;
        if pool.places.has_waiters() {
            usage.connected = false;
            let flow = usage.flow.clone().flatten();
            drop(usage);
            pool.grant(&flow, Some(connection));
            pool.sweep(adapter);
            return;
        }
        if pool.is_scarce(now) {
            return;
        }
        pool.idle.borrow_mut().push(connection);
        pool.sweep(adapter);
    }
}

impl Pool {
    /// Creates an empty pool for a database that runs `slots` statements at once.
    pub fn new(slots: u32) -> Rc<Self> {
        Rc::new(Self {
            gate: Gate::new(slots),
            idle: RefCell::default(),
            in_use: Cell::new(0),
            max_kept: Cell::new(0),
            full_until: Cell::default(),
            full_delay: Cell::new(MIN_FULL_DELAY),
            returned: Notify::new(),
            waiting: Cell::new(0),
            owner_waits: Cell::default(),
            position: Cell::default(),
            sweeping: Cell::new(false),
            places: Places::default(),
            others: RefCell::default(),
            division: RefCell::default(),
            unmet: Cell::default(),
            divides: Cell::new(false),
        })
    }

    /// Opens the place's connection, unless it has one.
    pub async fn take(
        self: &Rc<Self>,
        adapter: &Adapter,
        database: &Database,
        wanted: Wanted<'_>,
        place: Place,
    ) -> Result<Checkout, Closed> {
        let Place {
            mut usage,
            connection,
        } = place;
        if let Some(connection) = connection {
            return Ok(Checkout::new(connection, usage, false));
        }
        let bounded = usage.flow.is_some();
        if !bounded && (adapter.clock)() < self.full_until.get() {
            usage.connected = false;
            return Err(Closed::Refused(Code::Full));
        }
        if !bounded && wanted.organisation.is_some() {
            self.make_room();
        }
        match Connection::open(adapter, database, wanted.organisation, OPEN_TIMEOUT).await {
            Ok(connection) => {
                self.full_delay.set(MIN_FULL_DELAY);
                Ok(Checkout::new(connection, usage, true))
            }
            Err(closed) => {
                usage.connected = false;
                if let Closed::Refused(Code::Full) = closed {
                    self.back_off((adapter.clock)());
                }
                Err(closed)
            }
        }
    }

    /// Sets the most connections that are kept open, and how many may be open, if there is a bound.
    pub fn resize(&self, max_kept: u32, bound: Option<u32>) {
        self.max_kept.set(max_kept);
        self.places.set_bound(bound);
    }

    /// Sets the other owners, if owners divide the slots.
    pub fn set_others(&self, others: &Rc<[SocketAddr]>) {
        *self.others.borrow_mut() = others.clone();
    }

    /// The other owners, if owners divide the slots.
    pub fn others(&self) -> Rc<[SocketAddr]> {
        self.others.borrow().clone()
    }

    /// Calls `change` with what is known about the other owners.
    pub fn division<T>(&self, change: impl FnOnce(&mut Division<SocketAddr>) -> T) -> T {
        change(&mut self.division.borrow_mut())
    }

    /// Records that work was refused because it would have waited too long for a slot.
    pub fn note_unmet(&self, now: Time) {
        let mut unmet = self.unmet.get();
        unmet.note(now);
        self.unmet.set(unmet);
    }

    /// The load of this VM.
    pub fn load(&self, now: Time) -> Load {
        let Load { running, waiting } = self.gate.load();
        let unmet = self.unmet.get().slots(self.gate.typical(), now);
        Load {
            running,
            waiting: waiting.saturating_add(unmet),
        }
    }

    /// Records the load of another owner, asked for at `at`. Returns whether it is plausible.
    pub fn hear(&self, from: SocketAddr, load: Load, at: Time) -> bool {
        let slots = self.gate.slots();
        self.division(|division| division.hear(from, load, slots, at))
    }

    /// Limits the statements in flight to this owner's part of the slots, if owners divide them now.
    pub fn apply_part(&self, now: Time) -> Option<u32> {
        let (load, slots) = (self.load(now), self.gate.slots());
        let others = self.others();
        let part = self.division(|division| division.part(slots, load, &others, now));
        self.gate.set_part(part);
        part
    }

    /// Closes the connection that was idle longest, if the limit of open connections is exceeded.
    fn make_room(&self) {
        if self.open() <= self.max_kept.get() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter().enumerate().min_by_key(|(_, one)| one.used);
        if let Some((index, _)) = oldest {
            idle.remove(index);
        }
    }

    /// How many connections are open or being opened.
    fn open(&self) -> u32 {
        self.idle.borrow().len() as u32 + self.in_use.get()
    }

    /// How long a connection stays idle before it is closed.
    fn idle_timeout(&self, connection: &Connection) -> Span {
        match connection.organisation() {
            Some(_) if self.open() <= self.max_kept.get() => ORGANISATION_IDLE_TIMEOUT,
            _ => IDLE_TIMEOUT,
        }
    }

    /// Opens no connection for a while; the delay doubles with each consecutive refusal.
    fn back_off(&self, now: Time) {
        let delay = self.full_delay.get();
        self.full_until.set(now + delay);
        let longer = delay.percent(200).min(MAX_FULL_DELAY);
        self.full_delay.set(longer);
    }

    /// After what time a caller that got no connection should retry: during consecutive refusals,
    /// not before this pool opens connections again.
    pub fn retry(&self, now: Time) -> Span {
        let own = self.full_until.get().since(now).max(self.gate.retry());
        let connection = self.own_wait(now, Urgency::MAX);
        own.max(connection).max(self.owner_waits.get().since(now))
    }

    /// Records the log position that the database reported.
    pub fn note_position(&self, position: Position, now: Time) {
        self.position.set(Some((position, now)));
    }

    /// The last reported log position, if it is recent enough to count as current.
    pub fn position(&self, now: Time) -> Option<Position> {
        let (position, at) = self.position.get()?;
        (now < at + MAX_POSITION_AGE).then_some(position)
    }

    /// Records until when a statement would have to wait at an owner.
    pub fn owner_waits(&self, until: Time) {
        self.owner_waits.set(until);
    }

    /// How long new work of this urgency would have to wait, here or at the owner.
    pub fn wait_at(&self, now: Time, urgency: Urgency) -> Span {
        self.own_wait(now, urgency)
            .max(self.owner_waits.get().since(now))
    }

    /// Waits until a connection is returned, or a retry is due.
    pub async fn wait(&self) {
        self.waiting.set(self.waiting.get() + 1);
        let _ = tokio::time::timeout(MIN_FULL_DELAY.into(), self.returned.notified()).await;
        self.waiting.set(self.waiting.get() - 1);
    }

    /// Whether returned connections are closed so that another VM can open one.
    ///
    /// While a database is full, some VMs could hold all its connections by using them occasionally;
    /// others would have none and could not even read its log position. If connections have a bound, a VM within
    /// its share takes none from others.
    fn is_scarce(&self, now: Time) -> bool {
        let was_full = self.full_until.get() > Time::default();
        let has_share = self.is_bounded() && self.open() <= self.max_kept.get();
        let scarce = was_full && !has_share && self.waiting.get() == 0;
        scarce && now < self.full_until.get() + SCARCITY_PERIOD
    }

    /// Closes idle connections last used before `since`: when one connection stops responding, others
    /// opened before then have often stopped too.
    pub fn close_idle_before(&self, since: Time) {
        let used_since = |connection: &Connection| connection.used >= since;
        self.idle.borrow_mut().retain(used_since);
    }

    /// Takes the idle connection that fits a session's values best; of equal ones the most recent.
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

    /// Closes connections that stay idle, in a task that runs while there are any.
    fn sweep(self: &Rc<Self>, adapter: &Adapter) {
        if self.sweeping.replace(true) {
            return;
        }
        let pool = self.clone();
        let clock = adapter.clock.clone();
        actix_rt::spawn(async move {
            while let Some(due) = pool.due() {
                let rest = due.since(clock()).max(MIN_SWEEP_INTERVAL);
                tokio::time::sleep(rest.into()).await;
                pool.close_unused(clock());
            }
            pool.sweeping.set(false);
        });
    }

    /// When the next idle connection is due to be closed.
    fn due(&self) -> Option<Time> {
        let idle = self.idle.borrow();
        idle.iter()
            .map(|one| one.used + self.idle_timeout(one))
            .min()
    }

    fn close_unused(&self, now: Time) {
        let idle = self.idle.borrow();
        let kept = idle
            .iter()
            .map(|one| now < one.used + self.idle_timeout(one));
        let mut kept: Vec<bool> = kept.collect();
        drop(idle);
        let mut kept = kept.drain(..);
        self.idle
            .borrow_mut()
            .retain(|_| kept.next().unwrap_or(true));
    }
}

/// The index of the best idle connection. A differing value costs a round trip; a value that the
/// session lacks requires a reset, which discards all prepared statements.
fn best_fit(idle: &[Connection], wanted: Wanted<'_>) -> Option<usize> {
    let fits = idle.iter().enumerate();
    let own = fits.filter(|(_, connection)| connection.organisation() == wanted.organisation);
    let best = own.max_by_key(|(index, connection)| (connection.fit(wanted.values), *index));
    best.map(|(index, _)| index)
}
