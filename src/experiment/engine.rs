//! Discrete events on virtual time: callers, entries, holders and targets of a deployment.
//!
//! Entries run the real `Router` and `Budget`, holders the real `Gate` and `Pool`. Played are the
//! network (fixed delays), the databases ([`super::target`]) and the detection of a lost domain
//! (a fixed span). Arrivals are open loop and drawn from the seed alone, so that two policies
//! see the same requests at the same times.

use crate::clock::{Span, Time};
use crate::core::gate::Item;
use crate::core::message::Hint;
use crate::core::request::{Cause, Class, NotRun};
use crate::core::retry::Budget;
use crate::core::route::{Candidate, Need, Router};
use crate::experiment::deployment::Size;
use crate::experiment::holder::Holder;
use crate::experiment::pattern::{Fault, MAX_AGE, Plan};
use crate::experiment::policy::Policy;
use crate::experiment::source::{Arrival, Source};
use crate::experiment::stats::{End, Ended, Stats};
use crate::experiment::target::{Log, Statement};
use crate::types::{DatabaseId, Position, RequestId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// How long a session's reads stick to the primary after a write, under stickiness by time:
/// a common default, above the lags that are played.
pub const STICKY: Span = Span::from_secs(2);

/// How long a holder waits for a replica that is not new enough.
const CATCH_UP: Span = Span::from_millis(50);

/// After how long a broken stream to a lost domain is noticed.
const NOTICE: Span = Span::from_secs(1);

/// How long a group whose primary is lost has none.
const GAP: Span = Span::from_millis(2_500);

/// Requests born before this moment are not counted: queues and routers have to settle.
pub const WARM: Time = Time(8_000_000);

/// Names a database: its group, and its place there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Place {
    group: usize,
    index: usize,
}

/// What happens next.
#[derive(Debug)]
enum Event {
    Arrive(usize),
    Follow(Arrival),
    AtHolder {
        work: u64,
        place: Place,
        life: u64,
    },
    Connected {
        place: Place,
        life: u64,
    },
    Ended {
        place: Place,
        life: u64,
        work: u64,
    },
    Wake {
        place: Place,
        life: u64,
    },
    AtEntry {
        work: u64,
        attempt: u32,
        place: Place,
        reply: Reply,
    },
    Return(u64),
    Fault(Fault),
    Promote(usize),
}

/// What a holder tells an entry.
#[derive(Debug)]
enum Reply {
    Done(Hint),
    NotRun(NotRun, Hint),
    Broken,
}

/// A request under way.
#[derive(Debug)]
struct Work {
    arrival: Arrival,
    entry: usize,
    deadline: Time,
    floor: Option<(Position, Time)>,
    order: Vec<usize>,
    sent: Time,
    /// Counts its dispatches: an answer to an earlier one is void.
    attempt: u32,
    /// Where it was sent last.
    at: Option<usize>,
    replica: bool,
    stale: bool,
}

/// A group of databases.
#[derive(Debug)]
struct Group {
    holders: Vec<Holder>,
    names: Vec<DatabaseId>,
    primary: Option<usize>,
    log: Log,
    last_write: BTreeMap<u32, (Position, Time)>,
}

/// A proxy as callers meet it.
#[derive(Debug)]
struct Entry {
    domain: usize,
    routers: Vec<Router>,
    budget: Budget,
}

/// The whole of an experiment's run.
#[derive(Debug)]
pub struct Engine {
    size: Size,
    policy: Policy,
    returns: bool,
    now: Time,
    ends: Time,
    events: BinaryHeap<Reverse<(Time, u64, u64)>>,
    bodies: BTreeMap<u64, Event>,
    sequence: u64,
    sources: Vec<Source>,
    works: BTreeMap<u64, Work>,
    next_work: u64,
    groups: Vec<Group>,
    entries: Vec<Entry>,
    lost_at: Option<Time>,
    stats: Stats,
}

impl Engine {
    /// A run of `plan` that stops taking requests at `ends`.
    pub fn new(size: Size, policy: Policy, plan: Plan, seed: u64, ends: Time) -> Self {
        let groups = (0..size.groups)
            .map(|group| Group::new(&size, &policy, group))
            .collect();
        let entries = (0..size.entries)
            .map(|entry| Entry::new(&size, &policy, entry))
            .collect();
        let streams = plan.streams.into_iter().enumerate();
        let sources = streams
            .map(|(number, stream)| Source::new(stream, &size, seed, number as u64))
            .collect();
        let mut engine = Self {
            size,
            policy,
            returns: plan.returns,
            now: Time::default(),
            ends,
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            sequence: 0,
            sources,
            works: BTreeMap::new(),
            next_work: 0,
            groups,
            entries,
            lost_at: None,
            stats: Stats::default(),
        };
        for (at, fault) in plan.faults {
            engine.schedule(at, Event::Fault(fault));
        }
        for source in 0..engine.sources.len() {
            engine.schedule(Time::default(), Event::Arrive(source));
        }
        engine
    }

    /// Runs until every request has ended, and tells what callers got.
    pub fn run(mut self) -> Stats {
        while let Some(Reverse((at, _, body))) = self.events.pop() {
            self.now = at;
            if let Some(event) = self.bodies.remove(&body) {
                self.handle(event);
            }
        }
        self.stats
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events
            .push(Reverse((at, self.sequence, self.sequence)));
        self.bodies.insert(self.sequence, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(source) => self.arrive(source),
            Event::Follow(arrival) => self.begin(arrival),
            Event::AtHolder { work, place, life } => self.at_holder(work, place, life),
            Event::Connected { place, life } => {
                if self.holder(place).life == life {
                    let now = self.now;
                    self.holder(place).connected(now);
                    self.advance(place);
                }
            }
            Event::Ended { place, life, work } => {
                if self.holder(place).life == life {
                    self.ended(place, work);
                }
            }
            Event::Wake { place, life } => {
                if self.holder(place).life == life {
                    self.holder(place).wakes_at = None;
                    self.advance(place);
                }
            }
            Event::AtEntry {
                work,
                attempt,
                place,
                reply,
            } => {
                if self
                    .works
                    .get(&work)
                    .is_some_and(|work| work.attempt == attempt)
                {
                    self.at_entry(work, place, reply);
                }
            }
            Event::Return(work) => self.submit(work),
            Event::Fault(fault) => self.fault(fault),
            Event::Promote(group) => self.promote(group),
        }
    }

    fn holder(&mut self, place: Place) -> &mut Holder {
        &mut self.groups[place.group].holders[place.index]
    }

    fn arrive(&mut self, source: usize) {
        if self.now >= self.ends {
            return;
        }
        let drawn = self.sources[source].next(self.now);
        self.schedule(drawn.next, Event::Arrive(source));
        for (at, arrival) in drawn.follows {
            self.schedule(at, Event::Follow(arrival));
        }
        if let Some(arrival) = drawn.arrival {
            self.begin(arrival);
        }
    }

    /// A caller sends a new request; it reaches its entry a way later.
    fn begin(&mut self, arrival: Arrival) {
        self.next_work += 1;
        let id = self.next_work;
        let work = Work {
            entry: arrival.entry,
            deadline: arrival.born + arrival.patience,
            floor: None,
            order: Vec::new(),
            sent: self.now,
            attempt: 0,
            at: None,
            replica: false,
            stale: false,
            arrival,
        };
        self.works.insert(id, work);
        let at = self.now + self.size.to_caller;
        self.schedule(at, Event::Return(id));
    }

    /// The entry chooses a database.
    fn submit(&mut self, id: u64) {
        let now = self.now;
        let Some(mut work) = self.works.remove(&id) else {
            return;
        };
        let group = &self.groups[work.arrival.group];
        if work.arrival.kind.class == Class::Session {
            work.floor = group.last_write.get(&work.arrival.session).copied();
        }
        let entry = &mut self.entries[work.entry];
        work.order = match work.arrival.kind.class {
            Class::Confirm => group.primary.into_iter().collect(),
            _ if self.policy.sticky && sticks(now, work.floor) => {
                group.primary.into_iter().collect()
            }
            _ => group.order(now, &work, &mut entry.routers[work.arrival.group]),
        };
        entry.budget.deposit(now);
        self.works.insert(id, work);
        self.dispatch(id);
    }

    /// Sends work to the first database that is left in its order.
    fn dispatch(&mut self, id: u64) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        if work.order.is_empty() {
            let not_run = NotRun {
                cause: Cause::NoPrimary,
                retry_after: Span::from_millis(500),
            };
            self.not_run(id, not_run);
            return;
        }
        let place = Place {
            group: work.arrival.group,
            index: work.order.remove(0),
        };
        work.sent = self.now;
        work.attempt += 1;
        work.at = Some(place.index);
        let group = &self.groups[place.group];
        let router = &mut self.entries[work.entry].routers[place.group];
        router.sent(self.now, &group.names[place.index]);
        let way = self.way(id, place);
        let life = self.holder(place).life;
        let at = self.now + way;
        let event = Event::AtHolder {
            work: id,
            place,
            life,
        };
        self.schedule(at, event);
    }

    fn way(&self, id: u64, place: Place) -> Span {
        let Some(work) = self.works.get(&id) else {
            return Span::ZERO;
        };
        let there = self.groups[place.group].holders[place.index].domain;
        if self.entries[work.entry].domain == there {
            return Span::ZERO;
        }
        self.size.between_domains
    }

    fn at_holder(&mut self, id: u64, place: Place, life: u64) {
        let now = self.now;
        if self.holder(place).life != life || !self.holder(place).target.up {
            let noticed = self.lost_at.map_or(now, |lost| lost + NOTICE);
            self.reply(noticed.max(now), id, place, Reply::Broken);
            return;
        }
        let hint = self.hint(place);
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let group = &mut self.groups[place.group];
        work.replica = group.primary != Some(place.index);
        let lag = group.holders[place.index].target.lag(now);
        let missing = match work.floor {
            Some((_, written)) if work.replica => (written + lag).since(now),
            _ => Span::ZERO,
        };
        work.stale = missing > Span::ZERO;
        let too_old = work.replica
            && matches!(work.arrival.kind.class, Class::Aged | Class::Long)
            && hint.age.is_some_and(|age| age > MAX_AGE);
        if !self.policy.sticky && (too_old || work.stale) {
            self.wait_for_log(id, place, life, missing);
            return;
        }
        let item = Item {
            request: RequestId(id),
            caller: work.arrival.caller.clone(),
            class: work.arrival.kind.class,
            deadline: work.deadline - self.size.to_caller - self.size.between_domains,
        };
        if let Err(not_run) = group.holders[place.index].offer(now, item) {
            self.reply(now, id, place, Reply::NotRun(not_run, hint));
        }
        self.advance(place);
    }

    /// Holds a read back until the replica is new enough, if that is soon.
    fn wait_for_log(&mut self, id: u64, place: Place, life: u64, missing: Span) {
        let now = self.now;
        if missing > Span::ZERO && missing <= CATCH_UP {
            let event = Event::AtHolder {
                work: id,
                place,
                life,
            };
            self.schedule(now + missing, event);
            return;
        }
        let not_run = NotRun {
            cause: Cause::Behind,
            retry_after: CATCH_UP,
        };
        let hint = self.hint(place);
        self.reply(now + CATCH_UP, id, place, Reply::NotRun(not_run, hint));
    }

    /// Carries out what a holder wants.
    fn advance(&mut self, place: Place) {
        let now = self.now;
        let connect = self.size.connect;
        let effects = self.holder(place).advance(now);
        let life = self.holder(place).life;
        for item in effects.late {
            let not_run = NotRun {
                cause: Cause::Expired,
                retry_after: self.holder(place).gate.wait(now),
            };
            let hint = self.hint(place);
            self.reply(now, item.request.0, place, Reply::NotRun(not_run, hint));
        }
        for item in effects.start {
            let Some(work) = self.works.get(&item.request.0) else {
                continue;
            };
            let statement = Statement {
                work: item.request.0,
                service: work.arrival.service,
            };
            let runs = self.holder(place).target.start(now, statement);
            self.runs(place, life, statement.work, runs);
        }
        for _ in 0..effects.open {
            self.schedule(now + connect, Event::Connected { place, life });
        }
        let holder = self.holder(place);
        let Some(wake) = holder.gate.wake() else {
            return;
        };
        if holder.wakes_at.is_none_or(|at| wake < at) {
            holder.wakes_at = Some(wake);
            self.schedule(wake.max(now), Event::Wake { place, life });
        }
    }

    fn runs(&mut self, place: Place, life: u64, work: u64, span: Option<Span>) {
        if let Some(span) = span {
            let at = self.now + span;
            self.schedule(at, Event::Ended { place, life, work });
        }
    }

    fn ended(&mut self, place: Place, id: u64) {
        let now = self.now;
        let life = self.holder(place).life;
        if let Some((next, span)) = self.holder(place).target.end(now) {
            self.runs(place, life, next.work, Some(span));
        }
        let group = &mut self.groups[place.group];
        if let Some(work) = self.works.get(&id)
            && work.arrival.kind.class == Class::Confirm
        {
            let position = group.log.write(now);
            group
                .last_write
                .insert(work.arrival.session, (position, now));
        }
        self.holder(place).ended(now, RequestId(id));
        let hint = self.hint(place);
        self.reply(now, id, place, Reply::Done(hint));
        self.advance(place);
    }

    fn hint(&mut self, place: Place) -> Hint {
        let now = self.now;
        let group = &self.groups[place.group];
        let holder = &group.holders[place.index];
        let (position, age) = if group.primary == Some(place.index) {
            (group.log.end(), Span::ZERO)
        } else {
            let target = &holder.target;
            (group.log.end_at(now - target.lag(now)), target.age(now))
        };
        Hint {
            position,
            age: Some(age),
            wait: holder.gate.wait(now),
            run: holder.gate.run(),
            primary: None,
        }
    }

    fn reply(&mut self, at: Time, work: u64, place: Place, reply: Reply) {
        let Some(attempt) = self.works.get(&work).map(|work| work.attempt) else {
            return;
        };
        let at = at + self.way(work, place);
        let event = Event::AtEntry {
            work,
            attempt,
            place,
            reply,
        };
        self.schedule(at, event);
    }

    fn at_entry(&mut self, id: u64, place: Place, reply: Reply) {
        let now = self.now;
        let Some(work) = self.works.get(&id) else {
            return;
        };
        let entry = &mut self.entries[work.entry];
        let router = &mut entry.routers[place.group];
        let name = &self.groups[place.group].names[place.index];
        let mut not_run = NotRun {
            cause: Cause::Refused,
            retry_after: Span::from_millis(500),
        };
        let write = work.arrival.kind.class == Class::Confirm;
        match reply {
            Reply::Done(hint) => {
                router.answered(now, name, now.since(work.sent), &hint);
                self.end(id, End::Done);
                return;
            }
            Reply::NotRun(told, hint) => {
                router.refused(now, name, &hint);
                not_run = told;
            }
            Reply::Broken => {
                router.failed(now, name);
                if write {
                    self.end(id, End::Unknown);
                    return;
                }
            }
        }
        let again = not_run.cause != Cause::Expired && !work.order.is_empty();
        let free = not_run.cause == Cause::Behind;
        if again && now < work.deadline && (free || entry.budget.withdraw(now)) {
            self.dispatch(id);
            return;
        }
        self.not_run(id, not_run);
    }

    /// Tells a caller that its request was not run; it may come back.
    fn not_run(&mut self, id: u64, not_run: NotRun) {
        let back = self.now + self.size.to_caller + not_run.retry_after + self.size.to_caller;
        let returns = self.returns && not_run.cause != Cause::Expired;
        if returns && self.works.get(&id).is_some_and(|work| back < work.deadline) {
            self.schedule(back, Event::Return(id));
            return;
        }
        self.end(id, End::NotRun);
    }

    fn end(&mut self, id: u64, end: End) {
        let Some(work) = self.works.remove(&id) else {
            return;
        };
        if work.arrival.born < WARM {
            return;
        }
        let heard = self.now + self.size.to_caller;
        let late = end == End::Done && heard > work.deadline;
        self.stats.record(&Ended {
            kind: work.arrival.kind,
            caller: work.arrival.caller.as_str(),
            end: if late { End::Late } else { end },
            born: work.arrival.born,
            heard,
            service: work.arrival.service,
            replica: work.replica,
            stale: work.stale,
        });
    }

    fn fault(&mut self, fault: Fault) {
        let now = self.now;
        for group in 0..self.groups.len() {
            for index in 0..self.groups[group].holders.len() {
                let place = Place { group, index };
                let last = index + 1 == self.groups[group].holders.len();
                let first_domain = self.holder(place).domain == 0;
                match fault {
                    Fault::Slow(factor) if last => self.holder(place).target.slowness = factor,
                    Fault::Lost if first_domain => self.lose(place),
                    Fault::Back if first_domain => self.holder(place).target.recover(now),
                    _ => {}
                }
            }
        }
    }

    fn lose(&mut self, place: Place) {
        let now = self.now;
        self.lost_at = Some(now);
        let (size, policy) = (self.size, self.policy.clone());
        self.holder(place).lose(&size, &policy);
        if self.groups[place.group].primary == Some(place.index) {
            self.groups[place.group].primary = None;
            self.schedule(now + GAP, Event::Promote(place.group));
        }
        let there: Vec<u64> = self.works_at(place);
        for work in there {
            self.reply(now + NOTICE, work, place, Reply::Broken);
        }
    }

    /// Work that was last sent to `place`; its answer will not come.
    fn works_at(&mut self, place: Place) -> Vec<u64> {
        let at = self
            .works
            .iter_mut()
            .filter(|(_, work)| work.arrival.group == place.group && work.at == Some(place.index));
        at.map(|(id, _)| *id).collect()
    }

    fn promote(&mut self, group: usize) {
        let group = &mut self.groups[group];
        group.primary = group.holders.iter().position(|holder| holder.target.up);
    }
}

fn sticks(now: Time, floor: Option<(Position, Time)>) -> bool {
    floor.is_some_and(|(_, written)| now.since(written) < STICKY)
}

impl Group {
    fn new(size: &Size, policy: &Policy, group: usize) -> Self {
        let indexes = 0..size.databases;
        Self {
            holders: indexes
                .clone()
                .map(|index| Holder::new(size, policy, group, index))
                .collect(),
            names: indexes
                .filter_map(|index| format!("ledger{group}-{index}").parse().ok())
                .collect(),
            primary: Some(0),
            log: Log::default(),
            last_write: BTreeMap::new(),
        }
    }

    fn order(&self, now: Time, work: &Work, router: &mut Router) -> Vec<usize> {
        let aged = matches!(work.arrival.kind.class, Class::Aged | Class::Long);
        let need = Need {
            floor: work.floor.map(|(position, _)| position),
            max_age: aged.then_some(MAX_AGE),
        };
        let candidates: Vec<Candidate> = self
            .names
            .iter()
            .enumerate()
            .map(|(index, name)| Candidate {
                database: name.clone(),
                primary: self.primary == Some(index),
                near: true,
            })
            .collect();
        let order = router.order(now, &need, &candidates);
        let index = |name: &DatabaseId| self.names.iter().position(|other| other == name);
        order.iter().filter_map(index).collect()
    }
}

impl Entry {
    fn new(size: &Size, policy: &Policy, entry: usize) -> Self {
        let routers = (0..size.groups)
            .map(|group| Router::with(policy.route, (entry * size.groups + group) as u64))
            .collect();
        Self {
            domain: entry % size.databases,
            routers,
            budget: policy.budget.clone(),
        }
    }
}
