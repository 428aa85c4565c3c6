//! A deterministic simulation of a small system in virtual time: proxies' cores, a group of
//! databases, the network between them, and the platform's list and store. Faults are injected by
//! method calls.
//!
//! The proxies are real [`Node`]s; everything else is only as detailed as its faults require. The
//! same calls give the same run, so that a failing run can be kept as a test.

mod base;
mod caller;
mod link;
pub mod log;
mod platform;
pub mod script;
mod wire;

use crate::clock::{Span, Time};
use crate::config::Document;
use crate::core::database::{Command, Event};
use crate::core::member::{Identity, Member};
use crate::core::message::Message;
use crate::core::node::{Input, Node};
use crate::core::output::Output;
use crate::types::{ConnId, DatabaseId, Domain, Life, Version, VmId};
pub use base::Base;
pub use caller::{Answer, Submission, Ticket};
use link::Stream;
use log::Row;
pub use platform::Applied;
use platform::Store;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The one-way latency between any two endpoints.
const LATENCY: Span = Span(500);
/// How long it takes to detect a broken stream or connection.
const DETECTION_DELAY: Span = Span::from_millis(200);
/// The interval between two rounds of replication.
const REPLICATION_INTERVAL: Span = Span::from_millis(5);
/// The interval at which a proxy reads the platform's list and store.
const POLL_INTERVAL: Span = Span::from_secs(1);
/// The time from a request to its deadline.
const REQUEST_TIMEOUT: Span = Span::from_secs(5);

const DOMAINS: [&str; 3] = ["x", "y", "z"];
const DOCUMENT: &str = r#"{
    "groups": {"ledger": {"databases": {
        "a": {"address": "10.0.0.1:1", "domain": "x", "slots": 3, "connections": 25},
        "b": {"address": "10.0.0.2:1", "domain": "y", "slots": 3, "connections": 25},
        "c": {"address": "10.0.0.3:1", "domain": "z", "slots": 3, "connections": 25}}}},
    "pools": {
        "safe": {"groups": ["ledger"]},
        "fast": {"groups": ["ledger"], "callers": ["fast"], "durability": "primary"}}
}"#;

/// A scheduled event of the simulation.
#[derive(Debug)]
enum Scheduled {
    Input(VmId, Life, Input),
    Message(VmId, VmId, u64, Message),
    Broken(VmId, VmId, u64),
    Command(VmId, Life, Command),
    Event(DatabaseId, VmId, Life, Event),
    Forget(VmId, Life),
    ResumeVm(VmId, Life),
    ResumeDatabase(DatabaseId),
    Replicate,
    Poll(VmId, Life),
}

/// The proxy process of one VM.
#[derive(Debug)]
struct Machine {
    node: Node,
    life: Life,
    paused: bool,
    deferred: VecDeque<Input>,
    /// The highest version that was in force in this life.
    version: Version,
}

/// The simulated system.
#[derive(Debug)]
pub struct System {
    now: Time,
    machines: BTreeMap<VmId, Machine>,
    bases: BTreeMap<DatabaseId, Base>,
    /// All requests so far.
    pub tickets: Vec<Ticket>,
    /// Violations of guarantees that were detected during the run.
    pub violations: Vec<Box<str>>,
    cuts: BTreeSet<(Box<str>, Box<str>)>,
    streams: BTreeMap<(VmId, VmId), Stream>,
    owners: BTreeMap<(VmId, Life, ConnId), DatabaseId>,
    queue: BTreeMap<(Time, u64), Scheduled>,
    sequence: u64,
    lives: u64,
    links: u64,
    /// The versions of the platform's list, each with the time from which it was current.
    list: Vec<(Time, Vec<Member>)>,
    list_lag: Span,
    store: Store,
}

/// Parses a name that the simulation or a script gives; `None` if it is invalid.
fn name<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

/// Returns a configuration with a group `ledger` of the databases `a`, `b` and `c` in domains `x`, `y`
/// and `z`, and the pools `safe` (durability majority) and `fast` (durability primary). `None` if the
/// built-in configuration does not parse.
pub fn document() -> Option<Document> {
    serde_json::from_str(DOCUMENT).ok()
}

impl System {
    /// Starts `vms` proxies named `vm1`, `vm2` and so on, distributed over the failure domains in turn,
    /// and the databases `a`, `b` and `c` of group `ledger`. `None` if the built-in configuration does
    /// not parse.
    pub fn new(vms: usize) -> Option<Self> {
        let document = document()?;
        let ids = document.groups.values().flat_map(|g| g.databases.keys());
        let bases = ids.map(|id| (id.clone(), Base::new(id.clone()))).collect();
        let now = Time(1_000_000);
        let members: Option<Vec<Member>> = (0..vms).map(member).collect();
        let mut system = Self {
            now,
            machines: BTreeMap::new(),
            bases,
            tickets: Vec::new(),
            violations: Vec::new(),
            cuts: BTreeSet::new(),
            streams: BTreeMap::new(),
            owners: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            lives: 0,
            links: 0,
            list: vec![(Time::default(), members?)],
            list_lag: Span::ZERO,
            store: Store::new(document),
        };
        for index in 0..vms {
            let vm = member(index)?.vm;
            system.start(&vm);
        }
        system.schedule(REPLICATION_INTERVAL, Scheduled::Replicate);
        Some(system)
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Returns the VMs whose processes run.
    pub fn vms(&self) -> Vec<VmId> {
        self.machines.keys().cloned().collect()
    }

    /// Returns the ids of the databases.
    pub fn databases(&self) -> Vec<DatabaseId> {
        self.bases.keys().cloned().collect()
    }

    /// Returns a database, to inject faults or read its log.
    pub fn base(&mut self, id: &DatabaseId) -> Option<&mut Base> {
        self.bases.get_mut(id)
    }

    /// Returns the open database with the highest term.
    pub fn primary(&self) -> Option<&Base> {
        let open = self.bases.values().filter(|base| base.log.open);
        open.max_by_key(|base| base.log.term)
    }

    /// Returns the state of every proxy as JSON.
    pub fn dump(&self) -> String {
        let states = self.machines.iter();
        let states = states.map(|(vm, machine)| (vm, machine.node.state()));
        let states: BTreeMap<_, _> = states.collect();
        serde_json::to_string_pretty(&states).unwrap_or_default()
    }

    /// Returns the steward (the VM elected to coordinate promotions) with the highest term.
    pub fn steward(&self) -> Option<VmId> {
        let leads = |machine: &Machine| {
            let state = serde_json::to_value(machine.node.state()).ok()?;
            let steward = state.get("stewards")?.get("ledger")?;
            let leads = steward.get("phase")?.as_str()? == "lead";
            leads.then(|| steward.get("term").and_then(|term| term.as_u64()))
        };
        let leaders = self.machines.iter();
        let leaders = leaders.filter_map(|(vm, machine)| Some((leads(machine)?, vm)));
        leaders.max().map(|(_, vm)| vm.clone())
    }

    /// Returns every row that any database has written as primary, also those lost since.
    pub fn ran(&self) -> impl Iterator<Item = &Row> {
        self.bases.values().flat_map(|base| &base.ran)
    }

    /// Whether a database's process runs.
    pub fn database_is_up(&self, text: &str) -> bool {
        let mut found = self.bases.values().filter(|base| base.id.as_str() == text);
        found.any(|base| base.up)
    }

    /// Returns the databases' logs.
    pub fn logs(&self) -> impl Iterator<Item = &[Row]> {
        self.bases.values().map(|base| base.log.rows.as_slice())
    }

    /// Whether a VM's process runs and is not paused.
    pub fn serves(&self, vm: &VmId) -> bool {
        self.machines.get(vm).is_some_and(|m| !m.paused)
    }

    /// Returns the configuration version in force at a VM.
    pub fn version(&self, vm: &VmId) -> Option<Version> {
        let accepted = self.machines.get(vm)?.node.accepted()?;
        Some(accepted.version)
    }

    /// Starts a VM's process with a new life, unless it runs.
    pub fn start(&mut self, vm: &VmId) {
        if self.machines.contains_key(vm) {
            return;
        }
        let found = self.list.iter().rev().flat_map(|(_, members)| members);
        let mut found = found.filter(|member| member.vm == *vm);
        let Some(member) = found.next().cloned() else {
            return;
        };
        let mut members = self.members();
        if !members.iter().any(|known| known.vm == *vm) {
            members.push(Member {
                leaving: false,
                ..member.clone()
            });
            self.list.push((self.now, members));
        }
        self.lives += 1;
        let life = Life(self.lives);
        let identity = Identity {
            vm: vm.clone(),
            domain: member.domain,
            life,
        };
        let machine = Machine {
            node: Node::new(identity, self.now),
            life,
            paused: false,
            deferred: VecDeque::new(),
            version: Version::default(),
        };
        self.machines.insert(vm.clone(), machine);
        self.schedule(Span::ZERO, Scheduled::Poll(vm.clone(), life));
    }

    /// Ends a VM's process immediately.
    pub fn kill(&mut self, vm: &VmId) {
        let Some(machine) = self.machines.remove(vm) else {
            return;
        };
        let now = self.now;
        let theirs = |ticket: &&mut Ticket| ticket.vm == *vm && ticket.told.is_none();
        for ticket in self.tickets.iter_mut().filter(theirs) {
            ticket.told = Some((now, Answer::Cut));
        }
        let others: Vec<VmId> = self.vms();
        for other in others {
            self.break_stream(vm, &other);
        }
        let mut members = self.members();
        members.retain(|member| member.vm != *vm);
        self.list.push((now, members));
        // Commands already sent to the databases still arrive.
        self.schedule(
            LATENCY + LATENCY,
            Scheduled::Forget(vm.clone(), machine.life),
        );
    }

    /// Pauses a VM's process for `span`; its clock advances, and its inputs wait.
    pub fn freeze(&mut self, vm: &VmId, span: Span) {
        let Some(machine) = self.machines.get_mut(vm) else {
            return;
        };
        machine.paused = true;
        let life = machine.life;
        self.schedule(span, Scheduled::ResumeVm(vm.clone(), life));
    }

    /// Asks a VM's process to shut down gracefully.
    pub fn stop(&mut self, vm: &VmId) {
        self.input(vm, Span::ZERO, Input::Stop);
    }

    /// Advances the virtual time by `span`.
    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.step(until) {}
        self.now = until;
    }

    fn step(&mut self, until: Time) -> bool {
        let live = self.machines.iter().filter(|(_, m)| !m.paused);
        let wake = live.filter_map(|(vm, m)| Some((m.node.wake()?, vm, m.life)));
        let wake = wake.min().map(|(at, vm, life)| (at, vm.clone(), life));
        let next = self.queue.first_key_value().map(|(key, _)| key.0);
        if let Some((at, vm, life)) = wake
            && next.is_none_or(|next| at < next)
        {
            if at > until {
                return false;
            }
            // Advances the time by at least 1 µs, so that an overdue wake-up can't repeat forever.
            self.now = at.max(self.now + Span(1));
            self.process(Scheduled::Input(vm, life, Input::Tick));
            return true;
        }
        let Some((key, scheduled)) = self.queue.pop_first() else {
            return false;
        };
        if key.0 > until {
            self.queue.insert(key, scheduled);
            return false;
        }
        self.now = self.now.max(key.0);
        self.process(scheduled);
        true
    }

    fn schedule(&mut self, span: Span, scheduled: Scheduled) {
        self.sequence += 1;
        self.queue
            .insert((self.now + span, self.sequence), scheduled);
    }

    fn input(&mut self, vm: &VmId, span: Span, input: Input) {
        if let Some(machine) = self.machines.get(vm) {
            let life = machine.life;
            self.schedule(span, Scheduled::Input(vm.clone(), life, input));
        }
    }

    fn output(&mut self, vm: &VmId, life: Life, output: Output) {
        match output {
            Output::Reply {
                link,
                outcome,
                floor,
            } => self.reply(vm, link, outcome, floor),
            Output::Dismiss(_) => {}
            Output::Send { to, message } => self.send(vm, &to, message),
            Output::Database(command) => {
                self.schedule(LATENCY, Scheduled::Command(vm.clone(), life, command));
            }
            Output::Stopped => self.kill(vm),
        }
    }
}

fn member(index: usize) -> Option<Member> {
    Some(Member {
        vm: name::<VmId>(&format!("vm{}", index + 1))?,
        address: format!("10.1.0.{}:1", index + 1).parse().ok()?,
        domain: name::<Domain>(DOMAINS[index % DOMAINS.len()])?,
        leaving: false,
    })
}
