//! The places of a pool whose connections have a bound: who uses them, and who waits for one.

use super::{MIN_FULL_DELAY, Place, Pool, Usage, Wanted};
use crate::admission::connection::{self, Connections, Decision, Key};
use crate::clock::{Span, Time};
use crate::direct::adapter::Adapter;
use crate::direct::connection::Connection;
use crate::direct::gate::Urgency;
use crate::types::OrganisationId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// Whose connections are counted together: those of an organisation, or those of no particular one.
pub type Flow = Option<OrganisationId>;

/// Where work that waits receives its place.
pub type Waiter = oneshot::Sender<Place>;

/// How long a connection is assumed to be used before the first one is returned: opening it and a short
/// statement.
const INITIAL_USE: Span = Span::from_millis(30);

/// A new sample has the weight `1 / AVERAGE_WEIGHT` in the average time that a connection is used.
const AVERAGE_WEIGHT: u64 = 8;

/// The uses of a pool's connections.
#[derive(Debug)]
pub struct Places {
    bound: Cell<Option<u32>>,
    /// How many are in use or being opened.
    held: RefCell<BTreeMap<Flow, u32>>,
    waiting: Rc<RefCell<Waiting>>,
    sequence: Cell<u64>,
    typical: Cell<Span>,
    /// Since when work has waited while no connection was returned.
    stalled_since: Cell<Option<Time>>,
}

#[derive(Debug, Default)]
struct Waiting {
    flows: BTreeMap<Key, Flow>,
    senders: BTreeMap<Key, Waiter>,
}

impl Waiting {
    fn remove(&mut self, key: Key) -> Option<(Flow, Waiter)> {
        let flow = self.flows.remove(&key)?;
        Some((flow, self.senders.remove(&key)?))
    }
}

/// Work that waits, until dropped.
#[derive(Debug)]
pub struct Waits {
    waiting: Rc<RefCell<Waiting>>,
    key: Key,
}

impl Drop for Waits {
    fn drop(&mut self) {
        self.waiting.borrow_mut().remove(self.key);
    }
}

impl Default for Places {
    fn default() -> Self {
        Self {
            bound: Cell::default(),
            held: RefCell::default(),
            waiting: Rc::default(),
            sequence: Cell::default(),
            typical: Cell::new(INITIAL_USE),
            stalled_since: Cell::default(),
        }
    }
}

impl Places {
    /// How many connections may be open, if there is a bound.
    pub fn bound(&self) -> Option<u32> {
        self.bound.get()
    }

    /// Sets how many connections may be open.
    pub fn set_bound(&self, bound: Option<u32>) {
        self.bound.set(bound);
    }

    /// Counts a connection as in use.
    pub fn start(&self, flow: &Flow) {
        let mut held = self.held.borrow_mut();
        match held.get_mut(flow) {
            Some(count) => *count += 1,
            None => drop(held.insert(flow.clone(), 1)),
        }
    }

    /// Counts a connection as no longer in use.
    pub fn end(&self, flow: &Flow) {
        let mut held = self.held.borrow_mut();
        if let Some(count) = held.get_mut(flow) {
            *count -= 1;
            if *count == 0 {
                held.remove(flow);
            }
        }
    }

    /// Records how long a connection was used.
    pub fn note_use(&self, took: Span) {
        self.stalled_since.set(None);
        let typical = self.typical.get().0 * (AVERAGE_WEIGHT - 1) + took.0;
        self.typical.set(Span(typical / AVERAGE_WEIGHT));
    }

    /// The key of new work.
    pub fn next_key(&self, urgency: Urgency) -> Key {
        self.sequence.set(self.sequence.get() + 1);
        (urgency, self.sequence.get())
    }

    /// Records that work got a place without waiting.
    pub fn note_free(&self) {
        self.stalled_since.set(None);
    }

    /// Lets work wait.
    pub fn wait(&self, key: Key, flow: Flow, now: Time) -> (Waits, oneshot::Receiver<Place>) {
        let (sender, receiver) = oneshot::channel();
        self.stalled_since
            .set(self.stalled_since.get().or(Some(now)));
        let mut waiting = self.waiting.borrow_mut();
        waiting.flows.insert(key, flow);
        waiting.senders.insert(key, sender);
        let waits = Waits {
            waiting: self.waiting.clone(),
            key,
        };
        (waits, receiver)
    }

    /// Whether work waits.
    pub fn has_waiters(&self) -> bool {
        !self.waiting.borrow().flows.is_empty()
    }

    /// Removes work that waits.
    pub fn remove(&self, key: Key) -> Option<(Flow, Waiter)> {
        self.waiting.borrow_mut().remove(key)
    }

    /// How long work has to wait until one of `in_use` connections is returned and those up to `key` have theirs.
    pub fn wait_before(&self, key: Key, in_use: u32, now: Time) -> Span {
        let waiting = self.waiting.borrow();
        let before = waiting.flows.range(..key).count();
        let stalled = self.stalled_since.get();
        let stalled = stalled.map_or(Span::ZERO, |since| now.since(since));
        connection::wait(self.typical.get(), in_use, before, stalled)
    }

    /// Calls `decide` with the connections of the pool, of which these are idle.
    pub fn connections<T>(
        &self,
        idle: &[(Flow, Time)],
        decide: impl FnOnce(Connections<'_, Flow>) -> T,
    ) -> T {
        decide(Connections {
            bound: self.bound.get().unwrap_or(u32::MAX),
            held: &self.held.borrow(),
            idle,
            waiting: &self.waiting.borrow().flows,
        })
    }
}

impl Pool {
    /// A place for work that wants a connection, or none if it has to wait for one.
    pub fn try_place(self: &Rc<Self>, wanted: Wanted<'_>, now: Time) -> Option<Place> {
        let bounded = self.is_bounded();
        let connection = self.reuse(wanted);
        if bounded && connection.is_none() {
            if now < self.full_until.get() {
                return None;
            }
            match self.connections(|connections| connections.decide(&wanted.flow(), now)) {
                Decision::Open => {}
                Decision::Replace(index) => drop(self.idle.borrow_mut().remove(index)),
                Decision::Wait => return None,
            }
        }
        self.places.note_free();
        let flow = bounded.then(|| wanted.flow());
        Some(Place {
            usage: Usage::new(self, flow, now),
            connection,
        })
    }

    /// Waits for a place until `until`; none at once if none is expected by then.
    pub async fn wait_for_place(
        self: &Rc<Self>,
        adapter: &Adapter,
        wanted: Wanted<'_>,
        urgency: Urgency,
        until: Time,
    ) -> Option<Place> {
        let key = self.places.next_key(urgency);
        loop {
            let now = (adapter.clock)();
            if let Some(place) = self.try_place(wanted, now) {
                return Some(place);
            }
            let wait = self.connection_wait(now, key);
            if now + wait >= until {
                return None;
            }
            let (waiting, granted) = self.places.wait(key, wanted.flow(), now);
            // Idle connections that are closed elsewhere, and the end of a pause, wake nobody.
            let check = until.since(now).min(MIN_FULL_DELAY);
            let granted = tokio::time::timeout(check.into(), granted).await;
            drop(waiting);
            if let Ok(Ok(mut place)) = granted {
                place.usage.since = (adapter.clock)();
                return Some(place);
            }
        }
    }

    /// Returns a place that is not used.
    pub fn release(self: &Rc<Self>, adapter: &Adapter, mut place: Place) {
        place.usage.connected = false;
        let flow = place.usage.flow.clone();
        drop(place.usage);
        self.grant(&flow.flatten(), place.connection);
        self.sweep(adapter);
    }

    /// Whether the number of open connections has a bound.
    pub fn is_bounded(&self) -> bool {
        self.places.bound().is_some()
    }

    /// Gives the place of a connection that `returned` has returned to work that waits. The connection is closed if
    /// it is of another organisation, and kept if nothing gets it.
    pub(super) fn grant(self: &Rc<Self>, returned: &Flow, mut connection: Option<Connection>) {
        while let Some((flow, waiter)) = self.next_waiter(returned) {
            let fits = |one: &mut Connection| one.organisation() == flow.as_ref();
            let place = Place {
                usage: Usage::new(self, Some(flow.clone()), Time::default()),
                connection: connection.take_if(fits),
            };
            match waiter.send(place) {
                Ok(()) => return,
                Err(mut place) => {
                    place.usage.connected = false;
                    connection = connection.or(place.connection.take());
                }
            }
        }
        if let Some(connection) = connection {
            self.idle.borrow_mut().push(connection);
        }
    }

    /// Removes the work that gets a returned connection from those that wait.
    fn next_waiter(&self, returned: &Flow) -> Option<(Flow, Waiter)> {
        if !self.places.has_waiters() {
            return None;
        }
        let key = self.connections(|connections| connections.next(returned))?;
        self.places.remove(key)
    }

    /// Calls `decide` with the connections of this pool.
    fn connections<T>(&self, decide: impl FnOnce(Connections<'_, Flow>) -> T) -> T {
        let idle = self.idle.borrow();
        let idle = idle
            .iter()
            .map(|one| (one.organisation().cloned(), one.used));
        let idle: Vec<(Flow, Time)> = idle.collect();
        self.places.connections(&idle, decide)
    }

    /// How long work that gets a connection after those up to `key` has to wait for one.
    fn connection_wait(&self, now: Time, key: Key) -> Span {
        let Some(bound) = self.places.bound() else {
            return Span::ZERO;
        };
        let pause = self.full_until.get().since(now);
        if pause == Span::ZERO && self.open() < bound && !self.places.has_waiters() {
            return Span::ZERO;
        }
        match self.in_use.get() {
            0 => pause,
            in_use => {
                let returned = self.places.wait_before(key, in_use, now);
                match pause > Span::ZERO {
                    true => returned.min(pause),
                    false => returned,
                }
            }
        }
    }

    /// How long new work of this urgency would have to wait for a slot or for a connection here.
    pub fn own_wait(&self, now: Time, urgency: Urgency) -> Span {
        let connection = match self.idle.borrow().is_empty() {
            true => self.connection_wait(now, (urgency, u64::MAX)),
            false => Span::ZERO,
        };
        self.gate.wait(urgency).max(connection)
    }
}
