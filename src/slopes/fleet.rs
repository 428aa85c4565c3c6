//! Many cores on one virtual clock, to measure what control costs as nodes and databases grow.
//!
//! Every node is the real core with the whole configuration and VM list. Databases only answer
//! orders about terms, connections open and stay idle, and a stream between two nodes carries
//! each message after the latency between their failure domains. No caller is served.

use crate::clock::{Span, Time};
use crate::config::{Accepted, Database, Document};
use crate::core::database::{Command, Event};
use crate::core::member::{self, Identity, Member};
use crate::core::message::Message;
use crate::core::node::{Input, Node};
use crate::core::output::Output;
use crate::slopes::base::{self, Base};
use crate::slopes::cost::{Cost, Spent};
use crate::slopes::deployment::{DOMAINS, FIRST_REGION, document, members};
use crate::types::{DatabaseId, GroupId, Invalid, Life, Version, VmId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

const WITHIN_REGION: Span = Span(500);
const BETWEEN_REGIONS: Span = Span::from_millis(10);
const TO_DATABASE: Span = Span::from_millis(1);
const TO_CONNECT: Span = Span::from_millis(10);

/// How long until a stream to a VM that vanished counts as broken (`net::peer::ACKNOWLEDGEMENT_TIMEOUT`).
const UNTIL_DOWN: Span = Span::from_secs(2);

/// How many nodes and groups a fleet has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Proxies.
    pub nodes: usize,
    /// Groups of three databases.
    pub groups: usize,
}

/// Nodes and databases on one clock.
#[derive(Debug)]
pub struct Fleet {
    now: Time,
    nodes: Vec<Option<Seat>>,
    seats: HashMap<VmId, usize>,
    members: Vec<Member>,
    document: Document,
    bases: HashMap<DatabaseId, Base>,
    streams: HashSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<Due>>,
    happenings: HashMap<u64, Happening>,
    serial: u64,
}

#[derive(Debug)]
struct Seat {
    node: Node,
    domain: usize,
    busy: Duration,
    ticking: Option<Time>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Time,
    serial: u64,
}

#[derive(Debug)]
struct Happening {
    seat: usize,
    input: Input,
}

impl Fleet {
    /// Starts a fleet that has just learned its members and configuration.
    pub fn start(size: Size) -> Result<Self, Invalid> {
        let document = document(size.groups)?;
        let mut fleet = Self {
            now: Time::default(),
            nodes: Vec::new(),
            seats: HashMap::new(),
            members: members(size.nodes)?,
            bases: base::bases(&document),
            document,
            streams: HashSet::new(),
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            serial: 0,
        };
        for (index, member) in fleet.members.iter().enumerate() {
            let life = Life(index as u64 + 1);
            let identity = Identity {
                vm: member.vm.clone(),
                domain: member.domain.clone(),
                life,
            };
            let node = Node::new(identity, fleet.now);
            let domain = index % DOMAINS;
            let seat = Seat {
                node,
                domain,
                busy: Duration::ZERO,
                ticking: None,
            };
            fleet.nodes.push(Some(seat));
            fleet.seats.insert(member.vm.clone(), index);
        }
        fleet.tell_members();
        let accepted = fleet.accepted(Version(1));
        for seat in 0..size.nodes {
            fleet.later(seat, Span::ZERO, Input::Accepted(Arc::clone(&accepted)));
        }
        Ok(fleet)
    }

    fn accepted(&self, version: Version) -> Arc<Accepted> {
        Arc::new(Accepted {
            version,
            document: self.document.clone(),
        })
    }

    /// Tells every node the list of VMs, spread over the time between two polls.
    pub fn tell_members(&mut self) {
        for seat in 0..self.nodes.len() {
            let spread = Span((seat as u64 * 7_919) % 2_000_000);
            self.later(seat, spread, Input::Members(self.members.clone()));
        }
    }

    /// The time on the fleet's clock.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Lets `span` pass, and says what it cost each live node a second.
    pub fn run(&mut self, span: Span) -> Cost {
        let before: Vec<_> = self.nodes.iter().map(Seat::spent).collect();
        let until = self.now + span;
        while self.step(until) {}
        self.now = until;
        let after: Vec<_> = self.nodes.iter().map(Seat::spent).collect();
        let spent = before.into_iter().zip(after);
        let live = spent.filter_map(|(before, after)| Some((before?, after?)));
        Cost::of(live, span, self.streams.len())
    }

    /// Runs until `done`, but no longer than `limit`; returns how long it took, if it was done.
    pub fn run_until(&mut self, limit: Span, done: impl Fn(&Fleet) -> bool) -> Option<Span> {
        let start = self.now;
        let until = start + limit;
        while self.now < until {
            if done(self) {
                return Some(self.now.since(start));
            }
            let check = (self.now + Span::from_millis(10)).min(until);
            while self.step(check) {}
            self.now = check;
        }
        done(self).then(|| self.now.since(start))
    }

    /// One node hears of a new configuration, as the one does that an operator applied it at.
    pub fn apply(&mut self, version: Version) {
        let accepted = self.accepted(version);
        self.later(0, Span::ZERO, Input::Accepted(accepted));
    }

    /// Whether every live node has at least `version` in force.
    pub fn in_force(&self, version: Version) -> bool {
        let known = |seat: &Seat| seat.node.accepted().is_some_and(|a| a.version >= version);
        self.nodes.iter().flatten().all(known)
    }

    /// Control bytes that the live nodes have sent so far.
    pub fn bytes(&self) -> u64 {
        let live = self.nodes.iter().flatten();
        live.map(|seat| seat.node.counters().control_bytes).sum()
    }

    /// Whether every group has a primary that was opened in the group's highest term by a node
    /// that lives, and no other.
    pub fn served(&self) -> bool {
        self.unserved() == 0
    }

    /// How many groups have no such primary.
    pub fn unserved(&self) -> usize {
        let live = |seat: usize| self.nodes.get(seat).is_some_and(Option::is_some);
        base::unserved(self.bases.values(), live)
    }

    /// VMs vanish without a word; the platform's list shows it after `lag`. Returns how many
    /// databases get another holder.
    pub fn lose(&mut self, lost: impl Fn(usize) -> bool, lag: Span) -> usize {
        let before = self.holders();
        let gone: Vec<usize> = (0..self.nodes.len()).filter(|&seat| lost(seat)).collect();
        for &seat in &gone {
            self.nodes[seat] = None;
            self.break_streams(seat);
        }
        let dead: HashSet<VmId> = gone
            .iter()
            .map(|&seat| self.members[seat].vm.clone())
            .collect();
        let rest: Vec<Member> = self
            .members
            .iter()
            .filter(|m| !dead.contains(&m.vm))
            .cloned()
            .collect();
        for seat in 0..self.nodes.len() {
            let spread = lag + Span((seat as u64 * 7_919) % 2_000_000);
            self.later(seat, spread, Input::Members(rest.clone()));
        }
        let full = std::mem::replace(&mut self.members, rest);
        let after = self.holders();
        // Seats keep their numbers, so the full list stays for naming them.
        self.members = full;
        before
            .iter()
            .filter(|(database, holder)| after.get(*database) != Some(holder))
            .count()
    }

    fn holders(&self) -> BTreeMap<DatabaseId, VmId> {
        let first = |(_, id, database): (&GroupId, &DatabaseId, &Database)| {
            let order = member::order(&self.members, id, &database.domain);
            order.first().map(|member| (id.clone(), member.vm.clone()))
        };
        self.document.databases().filter_map(first).collect()
    }

    fn break_streams(&mut self, seat: usize) {
        let broken: Vec<(usize, usize)> = self
            .streams
            .iter()
            .filter(|(a, b)| *a == seat || *b == seat)
            .copied()
            .collect();
        for pair in broken {
            self.streams.remove(&pair);
            let other = if pair.0 == seat { pair.1 } else { pair.0 };
            let vm = self.members[seat].vm.clone();
            self.later(other, UNTIL_DOWN, Input::PeerDown(vm));
        }
    }

    fn later(&mut self, seat: usize, span: Span, input: Input) {
        self.serial += 1;
        let due = Due {
            at: self.now + span,
            serial: self.serial,
        };
        self.happenings
            .insert(self.serial, Happening { seat, input });
        self.queue.push(Reverse(due));
    }

    fn step(&mut self, until: Time) -> bool {
        match self.queue.peek() {
            Some(Reverse(due)) if due.at <= until => {}
            _ => return false,
        }
        let Some(Reverse(due)) = self.queue.pop() else {
            return false;
        };
        self.now = self.now.max(due.at);
        if let Some(happening) = self.happenings.remove(&due.serial) {
            self.happen(happening);
        }
        true
    }

    fn happen(&mut self, happening: Happening) {
        let Happening { seat, input } = happening;
        let now = self.now;
        let Some(Some(found)) = self.nodes.get_mut(seat) else {
            return;
        };
        if matches!(input, Input::Tick) {
            if found.ticking != Some(now) {
                return;
            }
            found.ticking = None;
        }
        let mut outputs = Vec::new();
        let started = Instant::now();
        found.node.handle(now, input, &mut outputs);
        found.busy += started.elapsed();
        let wake = found.node.wake();
        let sooner = wake.filter(|wake| found.ticking.is_none_or(|ticking| *wake < ticking));
        if let Some(wake) = sooner {
            // A wake-up that is due already still takes a moment.
            let at = wake.max(now + Span(1));
            found.ticking = Some(at);
            self.later(seat, at.since(now), Input::Tick);
        }
        for output in outputs {
            self.carry_out(seat, output);
        }
    }

    fn carry_out(&mut self, seat: usize, output: Output) {
        match output {
            Output::Send { to, message } => self.send(seat, &to, message),
            Output::Database(Command::Control {
                id,
                database,
                order,
                ..
            }) => {
                let result = self
                    .bases
                    .get_mut(&database)
                    .map(|base| base.obey(order, seat));
                let event = Event::Controlled { id, result };
                self.later(seat, TO_DATABASE, Input::Database(event));
            }
            Output::Database(Command::Connect { conn, .. }) => {
                self.later(seat, TO_CONNECT, Input::Database(Event::Connected { conn }));
            }
            _ => {}
        }
    }

    fn send(&mut self, seat: usize, to: &VmId, message: Message) {
        let Some(&other) = self.seats.get(to) else {
            return;
        };
        let from = self.members[seat].vm.clone();
        let Some(Some(target)) = self.nodes.get(other) else {
            return self.later(seat, UNTIL_DOWN, Input::PeerDown(to.clone()));
        };
        let latency = latency(seat % DOMAINS, target.domain);
        if self.streams.insert((seat.min(other), seat.max(other))) {
            self.later(seat, Span::ZERO, Input::PeerUp(to.clone()));
            self.later(other, latency, Input::PeerUp(from.clone()));
        }
        self.later(other, latency, Input::Message { from, message });
    }
}

impl Seat {
    fn spent(seat: &Option<Seat>) -> Option<Spent> {
        let seat = seat.as_ref()?;
        let counters = seat.node.counters();
        Some(Spent {
            messages: counters.control_messages,
            bytes: counters.control_bytes,
            busy: seat.busy,
        })
    }
}

fn latency(a: usize, b: usize) -> Span {
    match (a < FIRST_REGION) == (b < FIRST_REGION) {
        true => WITHIN_REGION,
        false => BETWEEN_REGIONS,
    }
}
