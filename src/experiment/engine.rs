//! Discrete events on virtual time: callers, entries, holders and targets of a deployment.
//!
//! Entries run the real `Router` and `Budget`, holders the real `Gate` and `Pool`. Played are the
//! network (fixed delays), the databases ([`super::target`]) and the detection of a lost domain
//! (a fixed span). Arrivals are open loop and drawn from the seed alone, so that two policies
//! see the same requests at the same times.

mod entry;
mod serve;

use crate::clock::{Span, Time};
use crate::core::message::Hint;
use crate::core::request::{Class, NotRun};
use crate::core::retry::Budget;
use crate::core::route::{Candidate, Need, Router};
use crate::experiment::deployment::Size;
use crate::experiment::holder::Holder;
use crate::experiment::pattern::{Fault, MAX_AGE, Plan};
use crate::experiment::policy::Policy;
use crate::experiment::source::{Arrival, Source};
use crate::experiment::stats::Stats;
use crate::experiment::target::Log;
use crate::types::{DatabaseId, Position};
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
