//! The entry: what callers ask of this proxy, and where it is sent.

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

/// How long after a request's deadline its holder's answer is still waited for: the holder ends
/// what has not started at the same deadline and says so, which takes a round trip between
/// regions (20 ms) and its tick to arrive. Without it, that work would be told "outcome unknown".
const ANSWER_GRACE: Span = Span::from_millis(100);

/// Leases on sessions' floors that an entry remembers, about 200 bytes each. A forgotten one
/// is asked for again.
const LEASES_KEPT: usize = 16_384;

/// The callers of one proxy and what they have under way.
#[derive(Debug)]
pub(crate) struct Entry {
    links: HashMap<Link, Caller>,
    sent: HashMap<RequestId, Sent>,
    groups: HashMap<GroupId, View>,
    leases: Recent<(GroupId, SessionId), Lease>,
    asks: HashMap<RequestId, Asking>,
    budget: Budget,
}

/// One caller's connection.
#[derive(Debug, Default)]
struct Caller {
    /// The floors of a connection that is a session of its own.
    floors: Vec<(GroupId, Position)>,
    transaction: Option<Bound>,
    under_way: bool,
}

/// Where a connection's transaction runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct Bound {
    vm: VmId,
    database: DatabaseId,
}

/// A request that is not answered yet.
#[derive(Debug)]
struct Pending {
    request: Request,
    /// The databases that are yet to be tried for a read, worst first.
    left: Option<Vec<DatabaseId>>,
    /// The floor under which it is sent.
    floor: Option<Position>,
    tries: u32,
    /// An earlier try may have been run.
    doubt: Option<Unknown>,
}

/// A request at a holder.
#[derive(Debug)]
struct Sent {
    pending: Pending,
    vm: VmId,
    database: DatabaseId,
    at: Time,
    /// It runs on the primary, by way of the steward.
    primary: bool,
}

/// A lease that an entry has on a session's floor.
#[derive(Debug, Clone)]
struct Lease {
    floor: Position,
    until: Time,
}

/// A question to a steward for a session's floor.
#[derive(Debug)]
struct Asking {
    pending: Pending,
    session: SessionId,
    vm: VmId,
    at: Time,
    until: Time,
}

/// What an entry knows of a group that its callers use.
#[derive(Debug, Default)]
struct View {
    router: Router,
    wait: Wait,
}

/// An entry's state for `dump`.
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
            leases: Recent::new(LEASES_KEPT),
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

    /// Nothing is under way and no transaction is open.
    pub fn is_quiet(&self) -> bool {
        self.links.values().all(Caller::is_idle)
    }

    /// Whether a tick may have something to do.
    pub fn is_busy(&self) -> bool {
        !self.sent.is_empty()
            || !self.asks.is_empty()
            || self.groups.values().any(|view| view.wait.len() > 0)
    }

    /// A caller sends a request.
    pub fn submit(&mut self, turn: &mut Turn, request: Request) {
        let link = request.link;
        let caller = self.links.entry(link).or_default();
        if caller.under_way {
            // The caller's side of this process keeps one request a connection under way.
            turn.world.counters.nonsense += 1;
            return;
        }
        caller.under_way = true;
        if let Some(bound) = caller.transaction.clone() {
            return self.go_on(turn, request, bound);
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

    /// Sends a statement to where its transaction is.
    fn go_on(&mut self, turn: &mut Turn, mut request: Request, bound: Bound) {
        request.kind = Kind::Continue;
        let pending = Pending::new(request);
        self.send(turn, pending, bound.vm, bound.database, false);
    }

    /// Tells a caller what came of its request.
    ///
    /// Failure: a write under a key is tried again after an unknown outcome, and the second try
    /// is not run. Symptom: its caller hears "not run" although the first try was. Enough,
    /// because an earlier doubt outlives every later "not run".
    fn tell(&mut self, turn: &mut Turn, pending: Pending, outcome: Outcome) {
        let outcome = match (pending.doubt, outcome) {
            (Some(doubt), Outcome::NotRun(_)) => Outcome::Unknown(doubt),
            (_, outcome) => outcome,
        };
        let request = pending.request;
        let floor = self.shown_floor(&request);
        if let Some(caller) = self.links.get_mut(&request.link) {
            caller.under_way = false;
            turn.reply(request.link, outcome, floor);
            if turn.world.stopping && caller.is_idle() {
                turn.out.push(Output::Dismiss(request.link));
            }
        }
    }

    fn not_run(&mut self, turn: &mut Turn, pending: Pending, cause: Cause, retry_after: Span) {
        let not_run = NotRun { cause, retry_after };
        self.tell(turn, pending, Outcome::NotRun(not_run));
    }

    /// A caller's connection is gone.
    pub fn depart(&mut self, turn: &mut Turn, link: Link) {
        let Some(caller) = self.links.remove(&link) else {
            return;
        };
        let mut vms: Vec<VmId> = caller.transaction.into_iter().map(|b| b.vm).collect();
        if caller.under_way {
            let theirs = self.sent.extract_if(|_, sent| sent.link() == link);
            vms.extend(theirs.map(|(_, sent)| sent.vm));
            self.asks
                .retain(|_, asking| asking.pending.request.link != link);
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

    /// A caller cancels what its connection has under way.
    pub fn cancel(&mut self, turn: &mut Turn, link: Link) {
        let found = self.sent.iter().find(|(_, sent)| sent.link() == link);
        if let Some((id, sent)) = found {
            let (id, vm) = (*id, sent.vm.clone());
            return turn.send(&vm, Message::Cancel(id));
        }
        let mut waiting: Vec<Pending> = self
            .asks
            .extract_if(|_, asking| asking.pending.request.link == link)
            .map(|(_, asking)| asking.pending)
            .collect();
        for view in self.groups.values_mut() {
            waiting.extend(view.wait.forget(link));
        }
        for pending in waiting {
            self.not_run(turn, pending, Cause::Expired, Span::ZERO);
        }
    }

    /// The process is to stop: idle callers are told to connect elsewhere.
    pub fn stop(&mut self, turn: &mut Turn) {
        let idle = self.links.iter().filter(|(_, caller)| caller.is_idle());
        let mut idle: Vec<Link> = idle.map(|(link, _)| *link).collect();
        idle.sort_unstable();
        for link in idle {
            turn.out.push(Output::Dismiss(link));
        }
    }

    /// Ends what has waited until its deadline, and asks again for leaders.
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
            self.tell(turn, sent.pending, Outcome::Unknown(Unknown::PeerLost));
        }
        self.tick_asks(turn);
        self.tick_waiting(turn);
    }
}

impl Caller {
    fn is_idle(&self) -> bool {
        !self.under_way && self.transaction.is_none()
    }
}

impl Pending {
    fn new(request: Request) -> Self {
        Self {
            request,
            left: None,
            floor: None,
            tries: 0,
            doubt: None,
        }
    }
}

impl Sent {
    fn link(&self) -> Link {
        self.pending.request.link
    }
}

/// Whether the pool of a request exists and reaches its group.
fn serves(turn: &Turn, request: &Request) -> bool {
    let pool = turn.world.pool(&request.pool);
    pool.is_some_and(|pool| pool.groups.contains(&request.group))
        && turn.world.group(&request.group).is_some()
}
