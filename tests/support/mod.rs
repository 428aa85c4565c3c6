//! A simulation of proxies' cores and databases in virtual time, for tests of the core alone.

#![allow(dead_code)]

mod caller;
mod database;
mod stream;

pub use caller::short;
use database::Database;
use lentilspoke::clock::{Span, Time};
use lentilspoke::config::{Accepted, Document};
use lentilspoke::core::database::{Command, Event};
use lentilspoke::core::member::{Identity, Member};
use lentilspoke::core::message::Message;
use lentilspoke::core::node::{Input, Node};
use lentilspoke::core::output::Output;
use lentilspoke::core::request::Outcome;
use lentilspoke::standin::fake;
use lentilspoke::types::{ConnId, DatabaseId, Life, Link, Position, Version, VmId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use stream::Stream;

/// The one-way latency between any two endpoints.
pub const LATENCY: Span = Span(500);
/// How long it takes to detect a broken stream.
pub const NOTICE: Span = Span::from_millis(200);

/// A scheduled event of the simulation.
#[derive(Debug)]
pub enum Coming {
    Input(VmId, Input),
    /// A message on the stream between two VMs, with the stream's number.
    Message(VmId, VmId, u64, Message),
    /// A stream could not be opened.
    Down(VmId, VmId),
    /// The break of a stream between two VMs is detected; the number identifies the stream.
    Break(VmId, VmId, u64),
    Command(VmId, Command),
    Event(DatabaseId, VmId, Event),
    Replicate(DatabaseId, DatabaseId),
    Apply(DatabaseId, usize),
}

/// An answer that a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    pub at: Time,
    pub outcome: Outcome,
    pub floor: Option<Position>,
}

/// The simulated system of a test.
pub struct World {
    pub now: Time,
    pub nodes: BTreeMap<VmId, Node>,
    pub databases: BTreeMap<DatabaseId, Database>,
    pub told: BTreeMap<Link, Vec<Told>>,
    pub dismissed: Vec<Link>,
    pub stopped: BTreeSet<VmId>,
    /// VMs that are paused; their inputs wait.
    pub paused: BTreeSet<VmId>,
    held: BTreeMap<VmId, VecDeque<Input>>,
    /// Pairs of names between which all traffic is dropped, in both directions.
    pub cut: BTreeSet<(String, String)>,
    pub sent: Vec<(Time, VmId, VmId, Message)>,
    /// Selects the messages that are dropped.
    pub swallow: Option<fn(&Message) -> bool>,
    streams: BTreeMap<(VmId, VmId), Stream>,
    /// Pairs of a VM and a peer whose stream broke, which the VM has not processed yet. The value is
    /// true once the notification is queued as an input of the VM.
    down: BTreeMap<(VmId, VmId), bool>,
    owners: BTreeMap<(VmId, ConnId), DatabaseId>,
    queue: BTreeMap<(Time, u64), Coming>,
    sequence: u64,
    document: Document,
    version: u64,
    members: Vec<Member>,
    lives: u64,
}

pub fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

/// Returns the fake configuration with few connections, so that a test can use them all.
pub fn document() -> Document {
    let mut document = fake::document().unwrap();
    let groups = document.groups.values_mut();
    for database in groups.flat_map(|group| group.databases.values_mut()) {
        database.connections = 8;
    }
    document
}

impl World {
    /// Starts `vms` proxies, distributed over the domains in turn, and the databases of `document`.
    pub fn new(vms: usize) -> Self {
        let document = document();
        let databases = document.groups.values().flat_map(|g| g.databases.keys());
        let mut world = Self {
            now: Time(1_000_000),
            nodes: BTreeMap::new(),
            databases: databases
                .map(|id| (id.clone(), Database::new(id)))
                .collect(),
            told: BTreeMap::new(),
            dismissed: Vec::new(),
            stopped: BTreeSet::new(),
            paused: BTreeSet::new(),
            held: BTreeMap::new(),
            cut: BTreeSet::new(),
            sent: Vec::new(),
            swallow: None,
            streams: BTreeMap::new(),
            down: BTreeMap::new(),
            owners: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            document,
            version: 0,
            members: Vec::new(),
            lives: 0,
        };
        for index in 0..vms {
            world.members.push(member(index));
        }
        for index in 0..vms {
            world.start(&member(index).vm);
        }
        world
    }

    /// As [`new`](Self::new), then runs until the group has a steward and a primary.
    pub fn ready(vms: usize) -> Self {
        let mut world = Self::new(vms);
        world.run(Span::from_secs(4));
        assert!(world.steward().is_some() && world.primary().is_some());
        world
    }

    /// Describes the answers that `link` received, in order.
    pub fn told(&self, link: u64) -> Vec<String> {
        let told = self.told.get(&Link(link)).into_iter().flatten();
        told.map(|told| short(&told.outcome)).collect()
    }

    /// Returns a counter of a proxy, by its name in the dump.
    pub fn counter(&self, vm: &str, name: &str) -> u64 {
        self.dump(vm)["counters"][name].as_u64().unwrap()
    }

    /// Starts a VM's process and opens its streams.
    pub fn start(&mut self, vm: &VmId) {
        self.start_with(vm, self.accepted());
    }

    /// As [`start`](Self::start), with the configuration read from the store.
    pub fn start_with(&mut self, vm: &VmId, accepted: Arc<Accepted>) {
        self.lives += 1;
        self.down.retain(|(from, _), _| from != vm);
        let identity = Identity {
            vm: vm.clone(),
            domain: self
                .members
                .iter()
                .find(|m| m.vm == *vm)
                .unwrap()
                .domain
                .clone(),
            life: Life(self.lives),
        };
        let others: Vec<VmId> = self.nodes.keys().cloned().collect();
        self.nodes.insert(vm.clone(), Node::new(identity, self.now));
        self.input(vm, Input::Members(self.members.clone()));
        self.input(vm, Input::Accepted(accepted));
        for other in others {
            self.open(vm, &other);
        }
    }

    pub fn accepted(&self) -> Arc<Accepted> {
        Arc::new(Accepted {
            version: Version(1 + self.version),
            document: self.document.clone(),
        })
    }

    /// Creates the next version of the configuration without sending it to any VM.
    pub fn change(&mut self, change: impl FnOnce(&mut Document)) -> Arc<Accepted> {
        self.version += 1;
        change(&mut self.document);
        self.accepted()
    }

    /// Ends a VM's process immediately; the others detect it after a delay.
    pub fn kill(&mut self, vm: &str) {
        let vm: VmId = id(vm);
        self.nodes.remove(&vm);
        self.held.remove(&vm);
        let others: Vec<VmId> = self.nodes.keys().cloned().collect();
        for other in others {
            self.sever(&vm, &other);
        }
        for database in self.databases.values_mut() {
            database.forget(&vm);
        }
    }

    /// Drops all traffic between two names; the break of a stream is detected after a delay.
    pub fn cut(&mut self, one: &str, other: &str) {
        self.cut.insert((one.into(), other.into()));
        self.cut.insert((other.into(), one.into()));
        let pair = (one.parse::<VmId>(), other.parse::<VmId>());
        let (Ok(one), Ok(other)) = pair else { return };
        if self.nodes.contains_key(&one) && self.nodes.contains_key(&other) {
            self.sever(&one, &other);
        }
    }

    /// Ends every partition.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    pub fn kill_database(&mut self, database: &str) {
        let id: DatabaseId = id(database);
        let lost = self.databases.get_mut(&id).unwrap().kill();
        for (vm, conn) in lost {
            self.later(
                LATENCY,
                Coming::Event(id.clone(), vm, Event::Closed { conn }),
            );
        }
    }

    pub fn revive_databases(&mut self) {
        for database in self.databases.values_mut() {
            database.up = true;
        }
    }

    pub fn input(&mut self, vm: &VmId, input: Input) {
        self.later(Span::ZERO, Coming::Input(vm.clone(), input));
    }

    pub fn later(&mut self, span: Span, coming: Coming) {
        self.sequence += 1;
        self.queue.insert((self.now + span, self.sequence), coming);
    }

    /// Advances the virtual time by `span`.
    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.step(until) {}
        self.now = until;
    }

    /// Runs until `link` has received `count` answers; panics after ten seconds of virtual time.
    pub fn wait(&mut self, link: u64, count: usize) -> Outcome {
        let until = self.now + Span::from_secs(10);
        while self.told.get(&Link(link)).map_or(0, Vec::len) < count {
            assert!(
                self.step(until),
                "link {link} did not receive {count} answers"
            );
        }
        self.told[&Link(link)][count - 1].outcome.clone()
    }

    /// Delivers the waiting inputs of a VM that was resumed, in order; false if there are none.
    fn deliver_held(&mut self) -> bool {
        let awake = |vm: &VmId| !self.paused.contains(vm);
        let Some(vm) = self.held.keys().find(|vm| awake(vm)).cloned() else {
            return false;
        };
        for input in self.held.remove(&vm).unwrap_or_default() {
            self.happen(Coming::Input(vm.clone(), input));
        }
        true
    }

    fn step(&mut self, until: Time) -> bool {
        if self.deliver_held() {
            return true;
        }
        let wakes = self
            .nodes
            .iter()
            .filter(|(vm, _)| !self.paused.contains(*vm));
        let wake = wakes
            .filter_map(|(vm, node)| Some((node.wake()?, vm.clone())))
            .min();
        let next = self.queue.first_key_value().map(|(key, _)| key.0);
        let at = [next, wake.as_ref().map(|wake| wake.0)]
            .into_iter()
            .flatten()
            .min();
        let Some(at) = at.filter(|at| *at <= until) else {
            return false;
        };
        self.now = self.now.max(at);
        if next.is_some_and(|next| next <= at) {
            let (_, coming) = self.queue.pop_first().unwrap();
            self.happen(coming);
        } else if let Some((_, vm)) = wake {
            self.now = self.now + Span(1);
            self.happen(Coming::Input(vm, Input::Tick));
        }
        true
    }

    fn happen(&mut self, coming: Coming) {
        match coming {
            Coming::Input(vm, input) if self.paused.contains(&vm) => {
                self.held.entry(vm).or_default().push_back(input);
            }
            Coming::Input(vm, input) => {
                let Some(node) = self.nodes.get_mut(&vm) else {
                    return;
                };
                if let Input::PeerDown(other) = &input {
                    self.down.remove(&(vm.clone(), other.clone()));
                }
                let mut out = Vec::new();
                node.handle(self.now, input, &mut out);
                for output in out {
                    self.output(&vm, output);
                }
            }
            Coming::Message(from, to, number, message) => {
                let stream = self.stream(&from, &to);
                if stream.number == number && stream.open && !stream.broken {
                    self.happen(Coming::Input(to, Input::Message { from, message }));
                }
            }
            Coming::Down(from, to) => {
                if self.down.get(&(from.clone(), to.clone())) == Some(&false) {
                    self.tell_down(&from, &to);
                }
            }
            Coming::Break(one, other, number) => {
                let stream = self.stream(&one, &other);
                if stream.number == number && stream.open {
                    stream.open = false;
                    self.tell_down(&one, &other);
                    self.tell_down(&other, &one);
                }
            }
            Coming::Command(vm, command) => self.command(vm, command),
            Coming::Event(database, vm, event) => {
                if !self.is_cut(vm.as_str(), database.as_str()) {
                    self.happen(Coming::Input(vm, Input::Database(event)));
                }
            }
            Coming::Replicate(from, to) => {
                if !self.is_cut(from.as_str(), to.as_str()) {
                    let source = self.databases[&from].clone();
                    let replica = self.databases.get_mut(&to).unwrap();
                    let (events, lag) = (replica.follow(&source), replica.lag);
                    let length = source.log.rows.len();
                    self.later(lag, Coming::Apply(to.clone(), length));
                    for (vm, event) in events {
                        self.later(LATENCY, Coming::Event(to.clone(), vm, event));
                    }
                }
            }
            Coming::Apply(id, length) => self.databases.get_mut(&id).unwrap().apply(length),
        }
    }

    fn output(&mut self, vm: &VmId, output: Output) {
        match output {
            Output::Reply {
                link,
                outcome,
                floor,
            } => {
                let told = Told {
                    at: self.now,
                    outcome,
                    floor,
                };
                self.told.entry(link).or_default().push(told);
            }
            Output::Dismiss(link) => self.dismissed.push(link),
            Output::Send { to, message } => {
                self.sent
                    .push((self.now, vm.clone(), to.clone(), message.clone()));
                let swallowed = self.swallow.is_some_and(|swallow| swallow(&message));
                if !swallowed {
                    self.post(vm, to, message);
                }
            }
            Output::Database(command) => self.later(LATENCY, Coming::Command(vm.clone(), command)),
            Output::Stopped => {
                self.stopped.insert(vm.clone());
            }
        }
    }

    fn command(&mut self, vm: VmId, command: Command) {
        let database = match &command {
            Command::Connect { conn, database, .. } => {
                self.owners.insert((vm.clone(), *conn), database.clone());
                database.clone()
            }
            Command::Control { database, .. } => database.clone(),
            Command::Run { conn, .. } | Command::Cancel { conn } | Command::Close { conn } => {
                self.owners[&(vm.clone(), *conn)].clone()
            }
        };
        let cut = self.is_cut(vm.as_str(), database.as_str());
        let target = self.databases.get_mut(&database).unwrap();
        let before = target.log.rows.len();
        let event = if cut {
            target.unreachable(&command)
        } else {
            target.take(&vm, command)
        };
        let wrote = target.log.rows.len() > before || target.just_opened();
        let delay = if cut {
            Span::from_millis(100)
        } else {
            target.work + LATENCY
        };
        if let Some(event) = event {
            if cut {
                self.later(delay, Coming::Input(vm.clone(), Input::Database(event)));
            } else {
                self.later(delay, Coming::Event(database.clone(), vm.clone(), event));
            }
        }
        if wrote {
            let others: Vec<DatabaseId> = self.databases.keys().cloned().collect();
            for other in others.into_iter().filter(|other| *other != database) {
                self.later(LATENCY, Coming::Replicate(database.clone(), other));
            }
        }
    }

    fn is_cut(&self, one: &str, other: &str) -> bool {
        self.cut.contains(&(one.into(), other.into()))
    }

    /// Returns the first VM whose dump shows it as the group's steward.
    pub fn steward(&self) -> Option<VmId> {
        self.leading(|_| true)
    }

    /// Returns the first VM other than `but` whose dump shows it as the group's steward.
    pub fn steward_but(&self, but: &VmId) -> Option<VmId> {
        self.leading(|vm| vm != but)
    }

    fn leading(&self, among: impl Fn(&VmId) -> bool) -> Option<VmId> {
        let leads = |node: &Node| {
            let state = serde_json::to_value(node.state()).unwrap();
            state["stewards"]["ledger"]["phase"] == "lead"
        };
        let found = self
            .nodes
            .iter()
            .find(|(vm, node)| among(vm) && leads(node));
        found.map(|(vm, _)| vm.clone())
    }

    pub fn dump(&self, vm: &str) -> serde_json::Value {
        serde_json::to_value(self.nodes[&id::<VmId>(vm)].state()).unwrap()
    }

    /// Returns the running open database with the highest term.
    pub fn primary(&self) -> Option<String> {
        let open = self.databases.iter().filter(|(_, db)| db.log.open && db.up);
        let primary = open.max_by_key(|(_, db)| db.log.term)?;
        Some(primary.0.to_string())
    }

    pub fn database(&mut self, name: &str) -> &mut Database {
        self.databases.get_mut(&id::<DatabaseId>(name)).unwrap()
    }
}

fn member(index: usize) -> Member {
    let domains = ["x", "y", "z"];
    Member {
        vm: id(&format!("vm{index}")),
        address: format!("10.1.0.{index}:1").parse().unwrap(),
        domain: id(domains[index % domains.len()]),
        leaving: false,
    }
}
