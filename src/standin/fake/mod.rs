//! A whole small system on virtual time: proxies' cores, a group of databases, the network
//! between them, and the platform's list and store. Faults are plain calls.
//!
//! The proxies are real [`Node`]s; everything else is as simple as its faults allow. The same
//! calls give the same run, so that a failing run can be kept as a test.

mod base;
mod link;
pub mod script;
mod wire;

use crate::clock::{Span, Time};
use crate::config::{Accepted, Document};
use crate::core::database::{Command, Event};
use crate::core::member::Member;
use crate::core::message::Message;
use crate::core::node::{Identity, Input, Node, Output};
use crate::core::request::{Kind, Outcome, Request};
use crate::types::{
    CallerId, ConnId, DatabaseId, Domain, GroupId, Life, Link, PoolId, Position, RequestKey,
    SessionId, Version, VmId,
};
pub use base::{Base, Row};
use link::Stream;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// One way between any two ends.
const LATENCY: Span = Span(500);
/// How long a broken stream or connection takes to be noticed.
const NOTICE: Span = Span::from_millis(200);
/// Between two rounds of replication.
const PUMP: Span = Span::from_millis(5);
/// Between two readings of the platform's list and store.
const POLL: Span = Span::from_secs(1);
/// How long a caller has a use for its answer.
const PATIENCE: Span = Span::from_secs(5);

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

/// Something that is going to happen.
#[derive(Debug)]
enum Coming {
    Input(VmId, Life, Input),
    Message(VmId, VmId, u64, Message),
    Broken(VmId, VmId, u64),
    Command(VmId, Life, Command),
    Event(DatabaseId, VmId, Life, Event),
    Forget(VmId, Life),
    ThawVm(VmId, Life),
    ThawBase(DatabaseId),
    Pump,
    Poll(VmId, Life),
}

/// One VM's process.
#[derive(Debug)]
struct Machine {
    node: Node,
    life: Life,
    paused: bool,
    held: VecDeque<Input>,
    /// The highest version that was in force in this life.
    version: Version,
}

/// One request of a caller and what it was told.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// The session that asked.
    pub session: Box<str>,
    /// The proxy that it asked.
    pub vm: VmId,
    /// What it asked for.
    pub body: Box<str>,
    /// Whether it is acknowledged as soon as the primary alone has it.
    pub fast: bool,
    /// When it asked.
    pub asked: Time,
    /// What it was told, and when; `None` while it waits.
    pub told: Option<(Time, Answer)>,
    /// The floor in the token that it was shown with the answer.
    floor: Option<Position>,
    link: Link,
}

/// What a caller sees in the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It was told this.
    Outcome(Outcome),
    /// Its connection broke without an answer.
    Cut,
}

/// What a caller asks for.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The session.
    pub session: Box<str>,
    /// The proxy.
    pub vm: VmId,
    /// What its batch does.
    pub kind: Kind,
    /// The statement: `write KEY=VALUE`, `read KEY`, `begin`, `commit` or `rollback`.
    pub body: Box<str>,
    /// The age that it accepts.
    pub max_age: Option<Span>,
    /// Its request key.
    pub key: Option<RequestKey>,
    /// Whether it uses the pool whose writes are done once the primary has them.
    pub fast: bool,
}

/// The whole system.
#[derive(Debug)]
pub struct System {
    now: Time,
    machines: BTreeMap<VmId, Machine>,
    bases: BTreeMap<DatabaseId, Base>,
    /// Every request so far.
    pub tickets: Vec<Ticket>,
    /// Broken promises that were seen on the way.
    pub wrong: Vec<Box<str>>,
    cuts: BTreeSet<(Box<str>, Box<str>)>,
    streams: BTreeMap<(VmId, VmId), Stream>,
    owners: BTreeMap<(VmId, Life, ConnId), DatabaseId>,
    queue: BTreeMap<(Time, u64), Coming>,
    sequence: u64,
    lives: u64,
    links: u64,
    /// The platform's list as it was from each time on.
    list: Vec<(Time, Vec<Member>)>,
    list_lag: Span,
    store: Store,
}

/// The platform's store.
#[derive(Debug)]
struct Store {
    accepted: Arc<Accepted>,
    down: bool,
    /// The next answers that are lost after the write took effect.
    lose: u32,
}

/// What an operator hears of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// It is accepted as this version.
    Accepted(Version),
    /// Another version came first.
    Lost(Version),
    /// The store did not answer, and nothing was accepted.
    Refused,
    /// The store's answer was lost, and it can't be read back now.
    Unknown,
}

/// A name that the fakes themselves give, or a script's.
fn name<T: std::str::FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}

impl System {
    /// `vms` proxies named `vm1` on, one a failure domain in turn, and databases `a`, `b`, `c`
    /// of group `ledger`. `None` if the built-in configuration does not parse.
    pub fn new(vms: usize) -> Option<Self> {
        let document: Document = serde_json::from_str(DOCUMENT).ok()?;
        let ids = document.groups.values().flat_map(|g| g.databases.keys());
        let bases = ids.map(|id| (id.clone(), Base::new(id.clone()))).collect();
        let now = Time(1_000_000);
        let members: Option<Vec<Member>> = (0..vms).map(member).collect();
        let mut system = Self {
            now,
            machines: BTreeMap::new(),
            bases,
            tickets: Vec::new(),
            wrong: Vec::new(),
            cuts: BTreeSet::new(),
            streams: BTreeMap::new(),
            owners: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            lives: 0,
            links: 0,
            list: vec![(Time::default(), members?)],
            list_lag: Span::ZERO,
            store: Store {
                accepted: Arc::new(Accepted {
                    version: Version(1),
                    document,
                }),
                down: false,
                lose: 0,
            },
        };
        for index in 0..vms {
            let vm = member(index)?.vm;
            system.start(&vm);
        }
        system.later(PUMP, Coming::Pump);
        Some(system)
    }

    /// The virtual time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// The VMs that run.
    pub fn vms(&self) -> Vec<VmId> {
        self.machines.keys().cloned().collect()
    }

    /// The databases.
    pub fn databases(&self) -> Vec<DatabaseId> {
        self.bases.keys().cloned().collect()
    }

    /// A database, for its faults and its log.
    pub fn base(&mut self, id: &DatabaseId) -> Option<&mut Base> {
        self.bases.get_mut(id)
    }

    /// The database that is open in the highest term.
    pub fn primary(&self) -> Option<&Base> {
        let open = self.bases.values().filter(|base| base.open);
        open.max_by_key(|base| base.term)
    }

    /// The state of every proxy, as JSON.
    pub fn dump(&self) -> String {
        let states = self.machines.iter();
        let states = states.map(|(vm, machine)| (vm, machine.node.state()));
        let states: BTreeMap<_, _> = states.collect();
        serde_json::to_string_pretty(&states).unwrap_or_default()
    }

    /// The VM that leads the group in the highest term.
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

    /// Every write that any database ever ran.
    pub fn ran(&self) -> impl Iterator<Item = &Row> {
        self.bases.values().flat_map(|base| &base.ran)
    }

    /// Whether a database's process runs.
    pub fn database_is_up(&self, text: &str) -> bool {
        let mut found = self.bases.values().filter(|base| base.id.as_str() == text);
        found.any(|base| base.up)
    }

    /// The databases' logs.
    pub fn logs(&self) -> impl Iterator<Item = &[Row]> {
        self.bases.values().map(|base| base.log.as_slice())
    }

    /// Whether a VM's process runs and is not paused.
    pub fn serves(&self, vm: &VmId) -> bool {
        self.machines.get(vm).is_some_and(|m| !m.paused)
    }

    /// The version in force at a VM.
    pub fn version(&self, vm: &VmId) -> Option<Version> {
        let accepted = self.machines.get(vm)?.node.accepted()?;
        Some(accepted.version)
    }

    /// Starts a VM's process afresh.
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
            held: VecDeque::new(),
            version: Version::default(),
        };
        self.machines.insert(vm.clone(), machine);
        self.later(Span::ZERO, Coming::Poll(vm.clone(), life));
    }

    /// Ends a VM's process at once.
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
        // What is on its way to the databases still arrives.
        self.later(LATENCY + LATENCY, Coming::Forget(vm.clone(), machine.life));
    }

    /// Pauses a VM's process; its clock runs on, and what comes to it waits.
    pub fn freeze(&mut self, vm: &VmId, span: Span) {
        let Some(machine) = self.machines.get_mut(vm) else {
            return;
        };
        machine.paused = true;
        let life = machine.life;
        self.later(span, Coming::ThawVm(vm.clone(), life));
    }

    /// Asks a VM's process to stop in an orderly way.
    pub fn stop(&mut self, vm: &VmId) {
        self.input(vm, Span::ZERO, Input::Stop);
    }

    /// The platform lists a VM as leaving.
    pub fn leave(&mut self, vm: &VmId) {
        let mut members = self.members();
        for member in members.iter_mut().filter(|member| member.vm == *vm) {
            member.leaving = true;
        }
        self.list.push((self.now, members));
    }

    /// The platform's list is late by `lag` from now on.
    pub fn lag_list(&mut self, lag: Span) {
        self.list_lag = lag;
    }

    /// The store is down, or up again.
    pub fn store_down(&mut self, down: bool) {
        self.store.down = down;
    }

    /// The store's next answer to a write is lost after the write took effect.
    pub fn store_loses_answer(&mut self) {
        self.store.lose += 1;
    }

    /// An operator changes the configuration that was in force as version `base`.
    pub fn apply(&mut self, base: Version, change: impl FnOnce(&mut Document)) -> Applied {
        if self.store.down {
            return Applied::Refused;
        }
        let current = &self.store.accepted;
        if current.version != base {
            return Applied::Lost(current.version);
        }
        let mut document = current.document.clone();
        change(&mut document);
        let version = base.next();
        self.store.accepted = Arc::new(Accepted { version, document });
        if self.store.lose > 0 {
            self.store.lose -= 1;
            return Applied::Unknown;
        }
        Applied::Accepted(version)
    }

    /// The version that the store holds.
    pub fn stored(&self) -> Version {
        self.store.accepted.version
    }

    /// A caller asks; the answer comes to the ticket of the number returned.
    pub fn ask(&mut self, ask: Ask) -> usize {
        let link = self.link_of(&ask);
        // Only where a write may be lost does a caller need its token, to hear of that.
        let last = self
            .tickets
            .iter()
            .rev()
            .filter(|t| t.session == ask.session);
        let shown = last.filter(|_| ask.fast).find_map(|ticket| ticket.floor);
        let number = self.tickets.len();
        let gone = !self.machines.contains_key(&ask.vm);
        self.tickets.push(Ticket {
            session: ask.session.clone(),
            vm: ask.vm.clone(),
            body: ask.body.clone(),
            fast: ask.fast,
            asked: self.now,
            told: gone.then_some((self.now, Answer::Cut)),
            floor: None,
            link,
        });
        let names = (name::<GroupId>("ledger"), name::<CallerId>("broker"));
        let pool = name::<PoolId>(if ask.fast { "fast" } else { "safe" });
        let ((Some(group), Some(caller)), Some(pool)) = (names, pool) else {
            return number;
        };
        let request = Request {
            link,
            session: name::<SessionId>(&ask.session),
            caller,
            pool,
            group,
            kind: ask.kind,
            max_age: ask.max_age,
            key: ask.key,
            shown,
            deadline: self.now + PATIENCE,
            body: ask.body.to_string().into(),
        };
        self.input(&ask.vm, Span::ZERO, Input::Submit(request));
        number
    }

    /// The session's connection to the proxy, or a new one while that is busy.
    fn link_of(&mut self, ask: &Ask) -> Link {
        let same = |t: &&Ticket| t.session == ask.session && t.vm == ask.vm;
        let last = self.tickets.iter().rev().find(same);
        let usable = last.filter(|t| matches!(t.told, Some((_, Answer::Outcome(_)))));
        match usable {
            Some(ticket) => ticket.link,
            None => {
                self.links += 1;
                Link(self.links)
            }
        }
    }

    /// Lets time pass.
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
            // A wake-up that was due already still takes a moment.
            self.now = at.max(self.now + Span(1));
            self.happen(Coming::Input(vm, life, Input::Tick));
            return true;
        }
        let Some((key, coming)) = self.queue.pop_first() else {
            return false;
        };
        if key.0 > until {
            self.queue.insert(key, coming);
            return false;
        }
        self.now = self.now.max(key.0);
        self.happen(coming);
        true
    }

    fn later(&mut self, span: Span, coming: Coming) {
        self.sequence += 1;
        self.queue.insert((self.now + span, self.sequence), coming);
    }

    fn input(&mut self, vm: &VmId, span: Span, input: Input) {
        if let Some(machine) = self.machines.get(vm) {
            let life = machine.life;
            self.later(span, Coming::Input(vm.clone(), life, input));
        }
    }

    fn members(&self) -> Vec<Member> {
        self.list.last().map(|(_, m)| m.clone()).unwrap_or_default()
    }

    /// The list as the platform shows it now.
    fn listed(&self) -> Vec<Member> {
        let shown = self.now - self.list_lag;
        let mut known = self.list.iter().rev();
        let found = known.find(|(from, _)| *from <= shown);
        found.map(|(_, m)| m.clone()).unwrap_or_default()
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
                self.later(LATENCY, Coming::Command(vm.clone(), life, command));
            }
            Output::Stopped => self.kill(vm),
        }
    }

    fn reply(&mut self, vm: &VmId, link: Link, outcome: Outcome, floor: Option<Position>) {
        let now = self.now;
        let waits = |t: &&mut Ticket| t.link == link && t.vm == *vm && t.told.is_none();
        match self.tickets.iter_mut().rev().find(waits) {
            Some(ticket) => {
                ticket.told = Some((now, Answer::Outcome(outcome)));
                ticket.floor = floor;
            }
            None => self.wrong.push("an answer that nobody waits for".into()),
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

/// Where a write ended, if the answer says so.
pub fn wrote(answer: &Answer) -> Option<Position> {
    match answer {
        Answer::Outcome(Outcome::Done(done)) => done.wrote,
        _ => None,
    }
}
