//! Many cores on one virtual clock, to measure the cost of control as nodes and databases grow.
//!
//! Every node is the real core with the whole configuration and VM list. Databases only execute
//! orders about terms, connections open and stay idle, and a stream between two nodes carries
//! each message after the latency between their failure domains. No requests are served.

use crate::clock::{Span, Time};
use crate::config::{Accepted, Database, Document};
use crate::core::database::{Command, Event};
use crate::core::member::{self, Identity, Member};
use crate::core::message::Message;
use crate::core::node::{Input, Node};
use crate::core::output::Output;
use crate::slopes::backend::{self, Backend};
use crate::slopes::cost::{Cost, Usage};
use crate::slopes::deployment::{DOMAINS, FIRST_REGION, document, members};
use crate::types::{DatabaseId, GroupId, Invalid, Life, Version, VmId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

const INTRA_REGION_LATENCY: Span = Span(500);
const INTER_REGION_LATENCY: Span = Span::from_millis(10);
const DATABASE_LATENCY: Span = Span::from_millis(1);
const CONNECT_TIME: Span = Span::from_millis(10);

/// Time until a stream to a VM that vanished counts as broken (`net::peer::ACKNOWLEDGEMENT_TIMEOUT`).
const BROKEN_STREAM_TIMEOUT: Span = Span::from_secs(2);

/// The number of nodes and groups in a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Proxies.
    pub nodes: usize,
    /// Groups of three databases.
    pub groups: usize,
}

/// Nodes and databases on one virtual clock.
#[derive(Debug)]
pub struct Fleet {
    now: Time,
    nodes: Vec<Option<Host>>,
    indexes: HashMap<VmId, usize>,
    members: Vec<Member>,
    document: Document,
    backends: HashMap<DatabaseId, Backend>,
    streams: HashSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<Due>>,
    deliveries: HashMap<u64, Delivery>,
    serial: u64,
}

#[derive(Debug)]
struct Host {
    node: Node,
    domain: usize,
    busy: Duration,
    next_tick: Option<Time>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Time,
    serial: u64,
}

#[derive(Debug)]
struct Delivery {
    host: usize,
    input: Input,
}

impl Fleet {
    /// Starts a fleet whose nodes have just received their members and configuration.
    pub fn start(size: Size) -> Result<Self, Invalid> {
        let document = document(size.groups)?;
        let mut fleet = Self {
            now: Time::default(),
            nodes: Vec::new(),
            indexes: HashMap::new(),
            members: members(size.nodes)?,
            backends: backend::backends(&document),
            document,
            streams: HashSet::new(),
            queue: BinaryHeap::new(),
            deliveries: HashMap::new(),
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
            let host = Host {
                node,
                domain,
                busy: Duration::ZERO,
                next_tick: None,
            };
            fleet.nodes.push(Some(host));
            fleet.indexes.insert(member.vm.clone(), index);
        }
        fleet.tell_members();
        let accepted = fleet.accepted(Version(1));
        for host in 0..size.nodes {
            fleet.schedule(host, Span::ZERO, Input::Accepted(Arc::clone(&accepted)));
        }
        Ok(fleet)
    }

    fn accepted(&self, version: Version) -> Arc<Accepted> {
        Arc::new(Accepted {
            version,
            document: self.document.clone(),
        })
    }

    /// Sends the list of VMs to every node, spread over the interval between two polls.
    pub fn tell_members(&mut self) {
        for host in 0..self.nodes.len() {
            let spread = Span((host as u64 * 7_919) % 2_000_000);
            self.schedule(host, spread, Input::Members(self.members.clone()));
        }
    }

    /// The time on the fleet's clock.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Runs for `span` and returns its cost per live node and second.
    pub fn run(&mut self, span: Span) -> Cost {
        let before: Vec<_> = self.nodes.iter().map(Host::usage).collect();
        let until = self.now + span;
        while self.step(until) {}
        self.now = until;
        let after: Vec<_> = self.nodes.iter().map(Host::usage).collect();
        let usage = before.into_iter().zip(after);
        let live = usage.filter_map(|(before, after)| Some((before?, after?)));
        Cost::of(live, span, self.streams.len())
    }

    /// Runs until `done`, for at most `limit`; returns the time until it was done, `None` if it was not.
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

    /// Sends a new configuration to one node, as when an operator applies it there.
    pub fn apply(&mut self, version: Version) {
        let accepted = self.accepted(version);
        self.schedule(0, Span::ZERO, Input::Accepted(accepted));
    }

    /// Whether every live node has at least `version` in force.
    pub fn in_force(&self, version: Version) -> bool {
        let known = |host: &Host| host.node.accepted().is_some_and(|a| a.version >= version);
        self.nodes.iter().flatten().all(known)
    }

    /// Control bytes that the live nodes have sent so far.
    pub fn bytes(&self) -> u64 {
        let live = self.nodes.iter().flatten();
        live.map(|host| host.node.counters().control_bytes).sum()
    }

    /// Whether every group has a primary that a live node opened in the group's highest term, and
    /// no other.
    pub fn served(&self) -> bool {
        self.unserved() == 0
    }

    /// Number of groups without such a primary.
    pub fn unserved(&self) -> usize {
        let live = |host: usize| self.nodes.get(host).is_some_and(Option::is_some);
        backend::unserved(self.backends.values(), live)
    }

    /// Removes VMs without a notice; the platform's list shows it after `lag`. Returns how many
    /// databases get another holder.
    pub fn lose(&mut self, lost: impl Fn(usize) -> bool, lag: Span) -> usize {
        let before = self.holders();
        let gone: Vec<usize> = (0..self.nodes.len()).filter(|&host| lost(host)).collect();
        for &host in &gone {
            self.nodes[host] = None;
            self.break_streams(host);
        }
        let dead: HashSet<VmId> = gone
            .iter()
            .map(|&host| self.members[host].vm.clone())
            .collect();
        let rest: Vec<Member> = self
            .members
            .iter()
            .filter(|m| !dead.contains(&m.vm))
            .cloned()
            .collect();
        for host in 0..self.nodes.len() {
            let spread = lag + Span((host as u64 * 7_919) % 2_000_000);
            self.schedule(host, spread, Input::Members(rest.clone()));
        }
        let full = std::mem::replace(&mut self.members, rest);
        let after = self.holders();
        // Hosts keep their indexes, so the full list is still needed to name them.
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

    fn break_streams(&mut self, host: usize) {
        let broken: Vec<(usize, usize)> = self
            .streams
            .iter()
            .filter(|(a, b)| *a == host || *b == host)
            .copied()
            .collect();
        for pair in broken {
            self.streams.remove(&pair);
            let other = if pair.0 == host { pair.1 } else { pair.0 };
            let vm = self.members[host].vm.clone();
            self.schedule(other, BROKEN_STREAM_TIMEOUT, Input::PeerDown(vm));
        }
    }

    fn schedule(&mut self, host: usize, span: Span, input: Input) {
        self.serial += 1;
        let due = Due {
            at: self.now + span,
            serial: self.serial,
        };
        self.deliveries
            .insert(self.serial, Delivery { host, input });
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
        if let Some(delivery) = self.deliveries.remove(&due.serial) {
            self.deliver(delivery);
        }
        true
    }

    fn deliver(&mut self, delivery: Delivery) {
        let Delivery { host, input } = delivery;
        let now = self.now;
        let Some(Some(found)) = self.nodes.get_mut(host) else {
            return;
        };
        if matches!(input, Input::Tick) {
            if found.next_tick != Some(now) {
                return;
            }
            found.next_tick = None;
        }
        let mut outputs = Vec::new();
        let started = Instant::now();
        found.node.handle(now, input, &mut outputs);
        found.busy += started.elapsed();
        let wake = found.node.wake();
        let sooner = wake.filter(|wake| found.next_tick.is_none_or(|next_tick| *wake < next_tick));
        if let Some(wake) = sooner {
            // A wake-up that is already due is delayed by a microsecond.
            let at = wake.max(now + Span(1));
            found.next_tick = Some(at);
            self.schedule(host, at.since(now), Input::Tick);
        }
        for output in outputs {
            self.carry_out(host, output);
        }
    }

    fn carry_out(&mut self, host: usize, output: Output) {
        match output {
            Output::Send { to, message } => self.send(host, &to, message),
            Output::Database(Command::Control {
                id,
                database,
                order,
                ..
            }) => {
                let result = self
                    .backends
                    .get_mut(&database)
                    .map(|backend| backend.execute(order, host));
                let event = Event::Controlled { id, result };
                self.schedule(host, DATABASE_LATENCY, Input::Database(event));
            }
            Output::Database(Command::Connect { conn, .. }) => {
                self.schedule(
                    host,
                    CONNECT_TIME,
                    Input::Database(Event::Connected { conn }),
                );
            }
            _ => {}
        }
    }

    fn send(&mut self, host: usize, to: &VmId, message: Message) {
        let Some(&other) = self.indexes.get(to) else {
            return;
        };
        let from = self.members[host].vm.clone();
        let Some(Some(target)) = self.nodes.get(other) else {
            return self.schedule(host, BROKEN_STREAM_TIMEOUT, Input::PeerDown(to.clone()));
        };
        let latency = latency(host % DOMAINS, target.domain);
        if self.streams.insert((host.min(other), host.max(other))) {
            self.schedule(host, Span::ZERO, Input::PeerUp(to.clone()));
            self.schedule(other, latency, Input::PeerUp(from.clone()));
        }
        self.schedule(other, latency, Input::Message { from, message });
    }
}

impl Host {
    fn usage(host: &Option<Host>) -> Option<Usage> {
        let host = host.as_ref()?;
        let counters = host.node.counters();
        Some(Usage {
            messages: counters.control_messages,
            bytes: counters.control_bytes,
            busy: host.busy,
        })
    }
}

fn latency(a: usize, b: usize) -> Span {
    match (a < FIRST_REGION) == (b < FIRST_REGION) {
        true => INTRA_REGION_LATENCY,
        false => INTER_REGION_LATENCY,
    }
}
