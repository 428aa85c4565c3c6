//! Simulates VMs, allocators, owners and databases of direct access on virtual time.
//!
//! Simulated are the network (a fixed delay between VMs), the databases ([`crate::experiment::target`]), the
//! time to open an organisation's connection, and, in one pattern, the VMs' processors. Callers try a refused
//! request again at the time that the refusal named, three times in all. Each try has the whole objective.

mod owner;
mod token;

use crate::clock::{Span, Time};
use crate::direct::owner::owners;
use crate::direct::quota::allocator;
use crate::direct::view::Peer;
use crate::experiment::deployment::Deployment;
use crate::experiment::events::Events;
use crate::experiment::overload::Policy;
use crate::experiment::overload::gate::Gate;
use crate::experiment::overload::load::{Arrival, DATABASES, Fault, OBJECTIVES, Plan, VMS};
use crate::experiment::overload::record::{End, Record, Refused};
use crate::experiment::overload::tokens::{Allocator, Asker, Reply, allocators};
use crate::experiment::target::Target;
use crate::types::{DatabaseId, OrganisationId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

/// How often a caller tries a request.
const MAX_TRIES: u32 = 3;

/// Processor time of an operation at the VM that its caller is connected to, at the owner, and at an allocator.
const ENTRY_TIME: Span = Span(800);
const OWNER_TIME: Span = Span(800);
const ALLOCATOR_TIME: Span = Span(200);

/// Number of failure domains that the VMs are spread over.
const DOMAINS: usize = 2;

/// A question to an allocator.
#[derive(Debug, Clone, Copy)]
struct Question {
    op: u64,
    request: usize,
    allocator: usize,
    until: Time,
    asked: Time,
}

/// What has to be advanced at a time of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    /// An organisation's allocator.
    Allocator(usize, usize),
    /// A database's gate at one of its owners.
    Gate(usize, usize),
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    /// A caller returns.
    Retry(usize, u32),
    /// An operation needs a token.
    Admit(u64),
    /// A question arrives at an allocator's VM.
    AtAllocator(Question),
    /// The VM has read it.
    Allocate(Question),
    Answer(Question, Reply),
    Wake(Wake),
    /// A statement arrives at an owner's VM.
    AtOwner(u64),
    /// The VM has read it.
    Offer(u64),
    /// An owner learns that a caller has left.
    Cancel(u64),
    Ended(usize, u64),
    Done(u64),
    Refused(u64, Span),
    Leave(usize),
    Fault(Fault),
}

/// A request.
#[derive(Debug, Clone, Default)]
struct Request {
    /// Whether its organisation's allowance suffices for it.
    within: bool,
    ended: bool,
    op: Option<u64>,
}

/// One try of a request.
#[derive(Debug)]
struct Op {
    request: usize,
    tries: u32,
    sent_at: Time,
    /// Until when it is answered in time.
    until: Time,
    /// The allocators that it has asked.
    tried: Vec<usize>,
    /// The allocators at which it was ready to wait.
    waited: Vec<usize>,
    /// The allocator at which it waits.
    waits_at: Option<usize>,
    /// Index of the owner that it was sent to.
    owner: Option<usize>,
    gone: bool,
}

/// A statement at a database.
#[derive(Debug, Clone, Copy)]
struct Statement {
    owner: usize,
    started: Time,
}

/// An organisation's allocators.
#[derive(Debug)]
struct Allowance {
    /// The VM of each.
    vms: Vec<usize>,
    allocators: Vec<Allocator>,
}

/// The state of a run.
#[derive(Debug)]
pub struct World {
    policy: Policy,
    plan: Plan,
    slots: u32,
    /// One-way delay between VMs.
    delay: Span,
    connect: Span,
    now: Time,
    events: Events<Event>,
    requests: Vec<Request>,
    ops: BTreeMap<u64, Op>,
    next_op: u64,
    /// Operations before this one were lost with the VMs' power.
    first_op: u64,
    dark_until: Time,
    /// When each VM's processor is free.
    free_at: Vec<Time>,
    allowances: Vec<Allowance>,
    askers: BTreeMap<(usize, usize), Asker>,
    /// The VMs of each database's owners.
    owners: Vec<Vec<usize>>,
    gates: Vec<Vec<Gate>>,
    /// When the events that wake allocators and gates are due.
    wakes: BTreeMap<Wake, Time>,
    targets: Vec<Target>,
    statements: BTreeMap<u64, Statement>,
    /// Connections by database, owner and organisation.
    connected: BTreeSet<(usize, usize, usize)>,
    record: Record,
}

impl World {
    /// Creates the world of a plan.
    pub fn new(policy: Policy, plan: Plan) -> Self {
        let size = Deployment::Association.size();
        let mut world = Self {
            policy,
            slots: size.slots,
            delay: size.between_domains,
            connect: size.connect,
            now: Time::default(),
            events: Events::default(),
            requests: vec![Request::default(); plan.arrivals.len()],
            ops: BTreeMap::new(),
            next_op: 0,
            first_op: 0,
            dark_until: Time::default(),
            free_at: vec![Time::default(); VMS],
            allowances: Vec::new(),
            askers: BTreeMap::new(),
            owners: Vec::new(),
            gates: Vec::new(),
            wakes: BTreeMap::new(),
            targets: (0..DATABASES)
                .map(|database| Target::new(size.slots, database))
                .collect(),
            statements: BTreeMap::new(),
            connected: BTreeSet::new(),
            record: Record::new(&plan),
            plan,
        };
        world.start();
        for (at, fault) in world.plan.faults.clone() {
            world.schedule(at, Event::Fault(fault));
        }
        for index in 0..world.plan.arrivals.len() {
            let at = world.plan.arrivals[index].sent_at;
            world.schedule(at, Event::Arrive(index));
        }
        world
    }

    /// Starts all VMs, without anything that their previous processes knew.
    fn start(&mut self) {
        let peers: Vec<Peer> = (0..VMS).filter_map(|vm| self.peer(vm)).collect();
        let now = self.dark_until;
        let organisations = self.plan.organisations.iter();
        self.allowances = organisations
            .map(|organisation| {
                let count = allocators(self.policy, organisation.allowance);
                let id = organisation.name.parse::<OrganisationId>().ok();
                let chosen = id
                    .filter(|_| count > 0)
                    .map(|id| allocator::allocators(&peers, &id, count, region));
                let vms: Vec<usize> = chosen.unwrap_or_default().into_iter().map(vm_of).collect();
                let allocators = vms
                    .iter()
                    .map(|_| Allocator::new(self.policy, organisation.allowance, vms.len(), now));
                Allowance {
                    allocators: allocators.collect(),
                    vms,
                }
            })
            .collect();
        self.owners = (0..DATABASES)
            .map(|database| {
                let id = format!("database-{database}").parse::<DatabaseId>().ok();
                let chosen = id.map(|id| owners(&peers, &id, |_| true));
                chosen.unwrap_or_default().into_iter().map(vm_of).collect()
            })
            .collect();
        let owners = self.owners.iter();
        let gates = owners.map(|owners| {
            let gates = owners.iter().map(|_| Gate::new(self.policy, self.slots));
            gates.collect()
        });
        self.gates = gates.collect();
        self.askers.clear();
        self.connected.clear();
    }

    fn peer(&self, vm: usize) -> Option<Peer> {
        let domain = format!("domain-{}", vm % DOMAINS).parse().ok()?;
        let cores = self.plan.cores.as_ref().map(|cores| cores[vm]);
        Some(Peer {
            address: address(vm),
            relay: Some(address(vm)),
            domain,
            cores: cores
                .filter(|_| self.policy.weighs_vms())
                .unwrap_or_default(),
            evicted: false,
        })
    }

    /// Runs until every request has ended.
    pub fn run(mut self) -> Record {
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.record
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.events.schedule(at, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Retry(request, tries) => self.submit(request, tries),
            Event::Admit(op) => self.admit(op),
            Event::AtAllocator(question) => {
                let vm = self.allocator_vm(question);
                self.process(vm, ALLOCATOR_TIME, Event::Allocate(question));
            }
            Event::Allocate(question) => self.allocate(question),
            Event::Answer(question, reply) => self.answer(question, reply),
            Event::Wake(wake) => self.wake(wake),
            Event::AtOwner(op) => self.at_owner(op),
            Event::Offer(op) => self.offer(op),
            Event::Cancel(op) => self.cancel(op),
            Event::Ended(database, op) => self.ended(database, op),
            Event::Done(op) => self.done(op),
            Event::Refused(op, retry) => self.refuse(op, retry),
            Event::Leave(request) => self.leave(request),
            Event::Fault(fault) => self.fault(fault),
        }
    }

    /// Schedules a wake-up, unless an earlier one is due.
    fn wake_at(&mut self, at: Option<Time>, wake: Wake) {
        let Some(at) = at else {
            return;
        };
        // A wake-up at the present moment would be repeated without end if it changed nothing.
        let at = at.max(self.now + Span(1));
        if self.wakes.get(&wake).is_none_or(|due| at < *due) {
            self.wakes.insert(wake, at);
            self.schedule(at, Event::Wake(wake));
        }
    }

    fn wake(&mut self, wake: Wake) {
        if self.wakes.get(&wake) != Some(&self.now) {
            return;
        }
        self.wakes.remove(&wake);
        match wake {
            Wake::Allocator(organisation, allocator) => {
                self.advance_allocator(organisation, allocator);
            }
            Wake::Gate(database, owner) => self.advance_gate(database, owner),
        }
    }

    fn arrival(&self, request: usize) -> &Arrival {
        &self.plan.arrivals[request]
    }

    /// Handles `event` once a VM's processor has spent `time` of a whole core on it.
    fn process(&mut self, vm: usize, time: Span, event: Event) {
        let Some(cores) = &self.plan.cores else {
            self.handle(event);
            return;
        };
        let spent = Span((time.0 as f64 / f64::from(cores[vm])) as u64);
        self.free_at[vm] = self.free_at[vm].max(self.now) + spent;
        let at = self.free_at[vm];
        self.schedule(at, event);
    }

    /// The delay of a message between two VMs.
    fn delay(&self, one: usize, other: usize) -> Span {
        match one == other {
            true => Span::ZERO,
            false => self.delay,
        }
    }

    fn arrive(&mut self, request: usize) {
        let arrival = self.plan.arrivals[request].clone();
        self.requests[request].within = self.record.sent(&arrival, self.now);
        if let Some(after) = arrival.leaves_after {
            self.schedule(self.now + after, Event::Leave(request));
        }
        self.submit(request, 1);
    }

    fn submit(&mut self, request: usize, tries: u32) {
        if self.requests[request].ended {
            return;
        }
        if self.now < self.dark_until {
            self.schedule(self.dark_until, Event::Retry(request, tries));
            return;
        }
        let arrival = self.plan.arrivals[request].clone();
        if tries > 1 {
            self.record.returned(&arrival);
        }
        let objective = OBJECTIVES[usize::from(arrival.rank.0)];
        let op = Op {
            request,
            tries,
            sent_at: self.now,
            until: self.now + objective,
            tried: Vec::new(),
            waited: Vec::new(),
            waits_at: None,
            owner: None,
            gone: false,
        };
        let id = self.next_op;
        self.next_op += 1;
        self.ops.insert(id, op);
        self.requests[request].op = Some(id);
        self.process(arrival.vm, ENTRY_TIME, Event::Admit(id));
    }

    /// Refuses a try; its caller returns at the named time, or gives up.
    fn refuse(&mut self, id: u64, named: Span) {
        let Some(op) = self.ops.remove(&id) else {
            return;
        };
        if op.gone {
            return;
        }
        let arrival = self.arrival(op.request).clone();
        let refused = Refused {
            took: self.now.since(op.sent_at),
            named,
            returned: op.tries > 1,
            free: self.targets[arrival.database].has_free_slot(),
        };
        let within = self.requests[op.request].within;
        self.record.refused(&arrival, refused, within, self.now);
        self.requests[op.request].op = None;
        if op.tries == MAX_TRIES {
            self.end(op.request, End::Refused);
            return;
        }
        self.schedule(self.now + named, Event::Retry(op.request, op.tries + 1));
    }

    /// Delivers an answer.
    fn done(&mut self, id: u64) {
        let Some(op) = self.ops.remove(&id) else {
            return;
        };
        if op.gone {
            self.record.in_vain += 1;
            return;
        }
        let arrival = self.arrival(op.request).clone();
        let took = self.now.since(op.sent_at);
        let wait = Span(took.0.saturating_sub(arrival.service.0));
        self.record.answered(&arrival, wait);
        let end = match self.now <= op.until {
            true => End::InTime,
            false => End::Late,
        };
        self.end(op.request, end);
    }

    fn end(&mut self, request: usize, end: End) {
        self.requests[request].ended = true;
        self.requests[request].op = None;
        let arrival = self.arrival(request).clone();
        self.record.ended(&arrival, end);
    }

    /// A caller disconnects.
    fn leave(&mut self, request: usize) {
        if self.requests[request].ended {
            return;
        }
        let op = self.requests[request].op;
        self.end(request, End::Left);
        let Some((id, op)) = op.and_then(|id| Some((id, self.ops.get_mut(&id)?))) else {
            return;
        };
        op.gone = true;
        if !self.policy.notices_leaving() {
            return;
        }
        if let Some(allocator) = op.waits_at {
            let organisation = self.plan.arrivals[request].organisation;
            self.allowances[organisation].allocators[allocator].remove(id);
            self.ops.remove(&id);
            return;
        }
        if op.owner.is_some() {
            self.schedule(self.now + self.delay, Event::Cancel(id));
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow(database, factor) => self.targets[database].slowness = factor,
            Fault::PowerLoss(until) => {
                self.dark_until = until;
                self.first_op = self.next_op;
                for op in std::mem::take(&mut self.ops).into_values() {
                    if !op.gone {
                        self.schedule(until, Event::Retry(op.request, op.tries));
                    }
                }
                self.start();
            }
        }
    }
}

/// The address of a VM by its index.
fn address(vm: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, vm as u16))
}

fn vm_of(address: SocketAddr) -> usize {
    usize::from(address.port())
}

/// Each failure domain is a region of its own.
fn region(peer: &Peer) -> &str {
    peer.domain.as_str()
}
