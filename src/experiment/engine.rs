//! Discrete-event simulation on virtual time of a deployment's callers, entries, holders and targets.
//!
//! Entries run the real `Router` and `Budget`, holders the real `Gate` and `Pool`. Simulated are the
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
use crate::experiment::events::Events;
use crate::experiment::holder::Holder;
use crate::experiment::pattern::{Fault, MAX_AGE, Plan};
use crate::experiment::policy::Policy;
use crate::experiment::source::{Arrival, Source};
use crate::experiment::stats::Stats;
use crate::experiment::target::Log;
use crate::types::{DatabaseId, Position};
use std::collections::BTreeMap;

/// How long a session's reads stay on the primary after a write, under time-based stickiness:
/// a common default, longer than the simulated replication lags.
pub const STICKY_PERIOD: Span = Span::from_secs(2);

/// How long a holder delays a read for a replica that is not new enough.
const CATCH_UP_TIMEOUT: Span = Span::from_millis(50);

/// Time until a broken stream to a lost domain is detected.
const DETECTION_DELAY: Span = Span::from_secs(1);

/// Time from the loss of a group's primary to the promotion of another.
const PROMOTION_DELAY: Span = Span::from_millis(2_500);

/// Requests sent before this moment are not counted: queues and routers have to settle first.
pub const WARM_UP_END: Time = Time(8_000_000);

/// Identifies a database by its group and its index there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Location {
    group: usize,
    index: usize,
}

/// A simulation event.
#[derive(Debug)]
enum Event {
    Arrive(usize),
    FollowUp(Arrival),
    AtHolder {
        work: u64,
        location: Location,
        life: u64,
    },
    Connected {
        location: Location,
        life: u64,
    },
    Ended {
        location: Location,
        life: u64,
        work: u64,
    },
    Wake {
        location: Location,
        life: u64,
    },
    AtEntry {
        work: u64,
        attempt: u32,
        location: Location,
        reply: Reply,
    },
    Submit(u64),
    Fault(Fault),
    Promote(usize),
}

/// A holder's answer to an entry.
#[derive(Debug)]
enum Reply {
    Done(Hint),
    NotRun(NotRun, Hint),
    Broken,
}

/// A request in progress.
#[derive(Debug)]
struct Work {
    arrival: Arrival,
    entry: usize,
    deadline: Time,
    floor: Option<(Position, Time)>,
    order: Vec<usize>,
    sent: Time,
    /// Number of dispatches; answers to an earlier dispatch are ignored.
    attempt: u32,
    /// The index of the database that it was last sent to.
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

/// A proxy in its role as an entry: it accepts requests from callers.
#[derive(Debug)]
struct Entry {
    domain: usize,
    routers: Vec<Router>,
    budget: Budget,
}

/// The state of a simulation run.
#[derive(Debug)]
pub struct Engine {
    size: Size,
    policy: Policy,
    retries: bool,
    now: Time,
    ends: Time,
    events: Events<Event>,
    sources: Vec<Source>,
    works: BTreeMap<u64, Work>,
    next_work: u64,
    groups: Vec<Group>,
    entries: Vec<Entry>,
    lost_at: Option<Time>,
    stats: Stats,
}

impl Engine {
    /// Creates a run of `plan` that stops taking requests at `ends`.
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
            retries: plan.retries,
            now: Time::default(),
            ends,
            events: Events::default(),
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

    /// Runs until every request has ended; returns the outcomes for callers.
    pub fn run(mut self) -> Stats {
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.stats
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.events.schedule(at, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(source) => self.arrive(source),
            Event::FollowUp(arrival) => self.begin(arrival),
            Event::AtHolder {
                work,
                location,
                life,
            } => self.at_holder(work, location, life),
            Event::Connected { location, life } => {
                if self.holder(location).life == life {
                    let now = self.now;
                    self.holder(location).connected(now);
                    self.advance(location);
                }
            }
            Event::Ended {
                location,
                life,
                work,
            } => {
                if self.holder(location).life == life {
                    self.ended(location, work);
                }
            }
            Event::Wake { location, life } => {
                if self.holder(location).life == life {
                    self.holder(location).wakes_at = None;
                    self.advance(location);
                }
            }
            Event::AtEntry {
                work,
                attempt,
                location,
                reply,
            } => {
                if self
                    .works
                    .get(&work)
                    .is_some_and(|work| work.attempt == attempt)
                {
                    self.at_entry(work, location, reply);
                }
            }
            Event::Submit(work) => self.submit(work),
            Event::Fault(fault) => self.fault(fault),
            Event::Promote(group) => self.promote(group),
        }
    }

    fn holder(&mut self, location: Location) -> &mut Holder {
        &mut self.groups[location.group].holders[location.index]
    }

    fn fault(&mut self, fault: Fault) {
        let now = self.now;
        for group in 0..self.groups.len() {
            for index in 0..self.groups[group].holders.len() {
                let location = Location { group, index };
                let last = index + 1 == self.groups[group].holders.len();
                let first_domain = self.holder(location).domain == 0;
                match fault {
                    Fault::Slow(factor) if last => self.holder(location).target.slowness = factor,
                    Fault::Lost if first_domain => self.lose(location),
                    Fault::Back if first_domain => self.holder(location).target.recover(now),
                    _ => {}
                }
            }
        }
    }

    fn lose(&mut self, location: Location) {
        let now = self.now;
        self.lost_at = Some(now);
        let (size, policy) = (self.size, self.policy.clone());
        self.holder(location).lose(&size, &policy);
        if self.groups[location.group].primary == Some(location.index) {
            self.groups[location.group].primary = None;
            self.schedule(now + PROMOTION_DELAY, Event::Promote(location.group));
        }
        let affected: Vec<u64> = self.works_at(location);
        for work in affected {
            self.reply(now + DETECTION_DELAY, work, location, Reply::Broken);
        }
    }

    /// Requests that were last sent to `location`, which will not answer them.
    fn works_at(&mut self, location: Location) -> Vec<u64> {
        let at = self.works.iter_mut().filter(|(_, work)| {
            work.arrival.group == location.group && work.at == Some(location.index)
        });
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
