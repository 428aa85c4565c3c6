//! The entry: the part of a proxy that accepts callers' requests and routes them to the holders of
//! databases.

mod answer;
mod dispatch;
mod floor;
mod leader;

use crate::clock::{Span, Time};
use crate::core::message::Message;
use crate::core::output::Output;
use crate::core::recent::Recent;
use crate::core::request::{Cause, Kind, NotRun, Outcome, Request, Unknown};
use crate::core::retry::Budget;
use crate::core::route::Router;
use crate::core::world::Turn;
use crate::types::{DatabaseId, GroupId, Link, Position, RequestId, SessionId, VmId};
use leader::Wait;
use serde::Serialize;
use std::collections::HashMap;

/// How long the entry waits for a holder's answer after a request's deadline. At the same deadline
/// the holder ends work that has not started and reports it; the report takes a round trip between
/// regions (20 ms) and the holder's tick to arrive. Without the grace period such work would get
/// "outcome unknown".
const ANSWER_GRACE: Span = Span::from_millis(100);

/// Maximum number of leases on sessions' floors kept at one entry, about 200 bytes each. An evicted
/// lease is requested again.
const MAX_LEASES: usize = 16_384;

/// The callers of one proxy and their requests in flight.
#[derive(Debug)]
pub(crate) struct Entry {
    links: HashMap<Link, Caller>,
    sent: HashMap<RequestId, Sent>,
    groups: HashMap<GroupId, View>,
    leases: Recent<(GroupId, SessionId), Lease>,
    asks: HashMap<RequestId, LeaseRequest>,
    budget: Budget,
}

/// One caller's connection.
#[derive(Debug, Default)]
struct Caller {
    /// The floors by group, if the connection is a session of its own.
    floors: Vec<(GroupId, Position)>,
    transaction: Option<Location>,
    in_flight: bool,
}

/// The VM and database on which a connection's transaction runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Location {
    vm: VmId,
    database: DatabaseId,
}

/// A request that is not answered yet.
#[derive(Debug)]
struct Pending {
    request: Request,
    /// The databases not tried yet for a read, worst first.
    untried: Option<Vec<DatabaseId>>,
    /// The floor sent with the request.
    floor: Option<Position>,
    tries: u32,
    /// Set if an earlier attempt may have run.
    earlier_unknown: Option<Unknown>,
}

/// A request that was sent to a holder.
#[derive(Debug)]
struct Sent {
    pending: Pending,
    vm: VmId,
    database: DatabaseId,
    at: Time,
    /// Whether it was sent to the primary through the group's steward.
    primary: bool,
}

/// A lease on a session's floor. While it is valid, the floor is the session's highest one.
#[derive(Debug, Clone)]
struct Lease {
    floor: Position,
    until: Time,
}

/// A request to a steward for a lease on a session's floor.
#[derive(Debug)]
struct LeaseRequest {
    pending: Pending,
    session: SessionId,
    vm: VmId,
    at: Time,
    until: Time,
}

/// An entry's state of a group that its callers use.
#[derive(Debug, Default)]
struct View {
    router: Router,
    wait: Wait,
}

/// The state of an entry for `dump`.
#[derive(Debug, Serialize)]
pub(crate) struct Dump<'a> {
    links: usize,
    transactions: usize,
    sent: usize,
    asks: usize,
    leases: usize,
    budget: &'a Budget,
    floors: HashMap<Link, &'a [(GroupId, Position)]>,
    sessions: Vec<(&'a GroupId, &'a SessionId, Position, Time)>,
    waiting: HashMap<&'a GroupId, usize>,
    routers: HashMap<&'a GroupId, &'a Router>,
}

impl Entry {
    pub fn new() -> Self {
        Self {
            links: HashMap::new(),
            sent: HashMap::new(),
            groups: HashMap::new(),
            leases: Recent::new(MAX_LEASES),
            asks: HashMap::new(),
            budget: Budget::default(),
        }
    }

    pub fn dump(&self) -> Dump<'_> {
        let with_floors = self.links.iter().filter(|(_, c)| !c.floors.is_empty());
        Dump {
            links: self.links.len(),
            transactions: self
                .links
                .values()
                .filter(|c| c.transaction.is_some())
                .count(),
            sent: self.sent.len(),
            asks: self.asks.len(),
            leases: self.leases.len(),
            budget: &self.budget,
            floors: with_floors
                .map(|(link, c)| (*link, c.floors.as_slice()))
                .collect(),
            sessions: self
                .leases
                .iter()
                .map(|((group, session), lease)| (group, session, lease.floor, lease.until))
                .collect(),
            waiting: self
                .groups
                .iter()
                .map(|(id, view)| (id, view.wait.len()))
                .collect(),
            routers: self
                .groups
                .iter()
                .map(|(id, view)| (id, &view.router))
                .collect(),
        }
    }

    /// Whether no request is in flight and no transaction is open.
    pub fn is_quiet(&self) -> bool {
        self.links.values().all(Caller::is_idle)
    }

    /// Whether a tick may have something to do.
    pub fn is_busy(&self) -> bool {
        !self.sent.is_empty()
            || !self.asks.is_empty()
            || self.groups.values().any(|view| view.wait.len() > 0)
    }

    /// Accepts a request from a caller.
    pub fn submit(&mut self, turn: &mut Turn, request: Request) {
        let link = request.link;
        let caller = self.links.entry(link).or_default();
        if caller.in_flight {
            // The client side of this process sends at most one request at a time on a connection.
            turn.world.counters.nonsense += 1;
            return;
        }
        caller.in_flight = true;
        if let Some(location) = caller.transaction.clone() {
            return self.continue_transaction(turn, request, location);
        }
        let pending = Pending::new(request);
        if pending.request.kind == Kind::Continue {
            return self.not_run(turn, pending, Cause::RolledBack, Span::ZERO);
        }
        if turn.world.stopping {
            return self.not_run(turn, pending, Cause::Stopping, Span::ZERO);
        }
        if !serves(turn, &pending.request) {
            return self.not_run(turn, pending, Cause::NoPool, Span::ZERO);
        }
        self.budget.deposit(turn.now);
        self.dispatch(turn, pending);
    }

    /// Sends a statement to the database on which its transaction runs.
    fn continue_transaction(&mut self, turn: &mut Turn, mut request: Request, location: Location) {
        request.kind = Kind::Continue;
        let pending = Pending::new(request);
        self.send(turn, pending, location.vm, location.database, false);
    }

    /// Sends the outcome of a request to its caller.
    ///
    /// If an earlier attempt of a keyed write ended with an unknown outcome and a later one was not
    /// run, the outcome stays unknown: the first attempt may have run, so "not run" could be false.
    fn respond(&mut self, turn: &mut Turn, pending: Pending, outcome: Outcome) {
        let outcome = match (pending.earlier_unknown, outcome) {
            (Some(earlier_unknown), Outcome::NotRun(_)) => Outcome::Unknown(earlier_unknown),
            (_, outcome) => outcome,
        };
        let request = pending.request;
        let floor = self.reported_floor(&request);
        if let Some(caller) = self.links.get_mut(&request.link) {
            caller.in_flight = false;
            turn.reply(request.link, outcome, floor);
            if turn.world.stopping && caller.is_idle() {
                turn.out.push(Output::Dismiss(request.link));
            }
        }
    }

    fn not_run(&mut self, turn: &mut Turn, pending: Pending, cause: Cause, retry_after: Span) {
        let not_run = NotRun { cause, retry_after };
        self.respond(turn, pending, Outcome::NotRun(not_run));
    }

    /// Handles the end of a caller's connection.
    pub fn depart(&mut self, turn: &mut Turn, link: Link) {
        let Some(caller) = self.links.remove(&link) else {
            return;
        };
        let mut vms: Vec<VmId> = caller.transaction.into_iter().map(|b| b.vm).collect();
        if caller.in_flight {
            let theirs = self.sent.extract_if(|_, sent| sent.link() == link);
            vms.extend(theirs.map(|(_, sent)| sent.vm));
            self.asks
                .retain(|_, lease_request| lease_request.pending.request.link != link);
            for view in self.groups.values_mut() {
                view.wait.forget(link);
            }
        }
        vms.sort_unstable();
        vms.dedup();
        for vm in vms {
            turn.send(&vm, Message::Depart(link));
        }
    }

    /// Cancels the request in flight on a caller's connection.
    pub fn cancel(&mut self, turn: &mut Turn, link: Link) {
        let found = self.sent.iter().find(|(_, sent)| sent.link() == link);
        if let Some((id, sent)) = found {
            let (id, vm) = (*id, sent.vm.clone());
            return turn.send(&vm, Message::Cancel(id));
        }
        let mut waiting: Vec<Pending> = self
            .asks
            .extract_if(|_, lease_request| lease_request.pending.request.link == link)
            .map(|(_, lease_request)| lease_request.pending)
            .collect();
        for view in self.groups.values_mut() {
            waiting.extend(view.wait.forget(link));
        }
        for pending in waiting {
            self.not_run(turn, pending, Cause::Expired, Span::ZERO);
        }
    }

    /// Handles a planned stop of the process: idle callers are asked to connect elsewhere.
    pub fn stop(&mut self, turn: &mut Turn) {
        let idle = self.links.iter().filter(|(_, caller)| caller.is_idle());
        let mut idle: Vec<Link> = idle.map(|(link, _)| *link).collect();
        idle.sort_unstable();
        for link in idle {
            turn.out.push(Output::Dismiss(link));
        }
    }

    /// Ends requests that are past their deadline, and asks again for missing leaders.
    pub fn tick(&mut self, turn: &mut Turn) {
        let now = turn.now;
        let late = self
            .sent
            .extract_if(|_, sent| sent.pending.request.deadline + ANSWER_GRACE <= now);
        let mut late: Vec<(RequestId, Sent)> = late.collect();
        late.sort_unstable_by_key(|(id, _)| *id);
        for (id, sent) in late {
            turn.send(&sent.vm, Message::Cancel(id));
            self.release(turn, &sent.pending.request, &sent.vm);
            self.respond(turn, sent.pending, Outcome::Unknown(Unknown::PeerLost));
        }
        self.tick_asks(turn);
        self.tick_waiting(turn);
    }
}

impl Caller {
    fn is_idle(&self) -> bool {
        !self.in_flight && self.transaction.is_none()
    }
}

impl Pending {
    fn new(request: Request) -> Self {
        Self {
            request,
            untried: None,
            floor: None,
            tries: 0,
            earlier_unknown: None,
        }
    }
}

impl Sent {
    fn link(&self) -> Link {
        self.pending.request.link
    }
}

/// Whether the pool of a request exists and includes its group.
fn serves(turn: &Turn, request: &Request) -> bool {
    let pool = turn.world.pool(&request.pool);
    pool.is_some_and(|pool| pool.groups.contains(&request.group))
        && turn.world.group(&request.group).is_some()
}
