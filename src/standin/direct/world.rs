//! A simulated world: VMs, databases, the store, the network and the platform.

use crate::clock::{Span, Time};
use crate::direct::adapter::{Adapter, Clock, Documents};
use crate::direct::config::{Config, Kind};
use crate::direct::identity::Key;
use crate::direct::mesh::{Answer, Question};
use crate::direct::table::RowId;
use crate::standin::direct::database::Database;
use crate::standin::direct::group::{Group, REGISTER};
use crate::standin::direct::host::Host;
use crate::standin::direct::journal::Journal;
use crate::standin::direct::link::Stream;
use crate::standin::direct::machine::{Machine, Program, Wrapped};
use crate::standin::direct::network::{Network, Node};
use crate::standin::direct::orders::Orders;
use crate::standin::direct::setup::{self, Setup};
use crate::standin::direct::store::Store;
use crate::standin::direct::wire;
use crate::types::{DatabaseId, Invalid, Life, VmId};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

/// The time that every clock shows at the start.
const CLOCK_START: Time = Time(1_000_000_000);

/// For how long a VM is suspended and runs, in turns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turns {
    /// How long it is suspended.
    pub stops: Span,
    /// How long it runs afterwards.
    pub runs: Span,
}

/// A VM that was started.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) host: Rc<Host>,
    pub(super) streams: mpsc::UnboundedSender<Stream>,
    pub(super) relays: mpsc::UnboundedSender<Stream>,
    pub(super) questions: mpsc::UnboundedSender<(Question, oneshot::Sender<Answer>)>,
    stop: Option<oneshot::Sender<Span>>,
    ready: Rc<Cell<bool>>,
}

/// A simulated world.
pub struct World {
    /// The world's setup.
    pub setup: Setup,
    /// The network.
    pub network: Rc<Network>,
    /// The store.
    pub store: Rc<Store>,
    /// The events at the databases.
    pub journal: Journal,
    /// The groups.
    pub groups: Vec<Rc<Group>>,
    /// The endpoint that takes orders to promote.
    pub orders: Rc<Orders>,
    /// How many bytes each VM has sent to others in answers.
    pub answered_bytes: RefCell<BTreeMap<VmId, u64>>,
    /// Each configuration, with the moment at which it came into force.
    pub configs: RefCell<Vec<(Instant, Config)>>,
    program: Program,
    pub(super) vms: RefCell<BTreeMap<VmId, Running>>,
    /// The VM at each address.
    pub(super) addresses: RefCell<BTreeMap<SocketAddr, VmId>>,
    /// The numbers of the initial VMs that were replaced.
    retired: RefCell<BTreeSet<usize>>,
    /// The number of the next VM to be added.
    next: Cell<usize>,
    /// How far each VM's clock has jumped ahead.
    clock_offsets: RefCell<BTreeMap<VmId, Rc<Cell<Span>>>>,
    started: Instant,
    lives: Cell<u64>,
}

impl fmt::Debug for World {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("World")
            .field("setup", &self.setup)
            .finish_non_exhaustive()
    }
}

/// The id of the configuration's row.
pub fn config_row() -> RowId {
    RowId::new("operator", "config")
}

fn documents() -> Documents {
    Documents {
        config: config_row(),
        register: REGISTER.into(),
        read_config: |value| serde_json::from_slice(value).map_err(|e| e.to_string().into()),
        read_database: |_, value| serde_json::from_slice(value).map_err(|e| e.to_string().into()),
    }
}

impl World {
    /// Creates a world in the current `LocalSet` and starts its VMs.
    pub fn start(setup: Setup, program: Program) -> Result<Rc<Self>, Invalid> {
        let network = Network::new(setup.domain_delay, setup.region_delay);
        let store = Store::new(network.clone(), setup.era);
        let journal = Journal::default();
        let mut groups = Vec::new();
        for number in 0..setup.groups {
            let members = setup::members(&setup, &network, number)?;
            groups.push(Group::new(
                format!("ledger{number}").parse()?,
                setup.durable,
                setup.promotion,
                network.clone(),
                store.clone(),
                journal.clone(),
                members,
            ));
        }
        let orders = Orders::new(network.clone(), &groups, journal.clone());
        let world = Rc::new(Self {
            network,
            store,
            journal,
            groups,
            orders,
            configs: RefCell::default(),
            program,
            vms: RefCell::default(),
            addresses: RefCell::default(),
            retired: RefCell::default(),
            next: Cell::new(setup.vms),
            answered_bytes: RefCell::default(),
            clock_offsets: RefCell::default(),
            started: Instant::now(),
            lives: Cell::new(0),
            setup,
        });
        world.configure(setup::first_config(&world.setup, &world.groups));
        for number in 0..world.setup.vms {
            world.start_vm(number)?;
        }
        Ok(world)
    }

    /// Puts a configuration in force.
    pub fn configure(&self, config: Config) {
        let value = serde_json::to_vec(&config).unwrap_or_default();
        self.store.put(config_row(), Some(Bytes::from(value)));
        let mut configs = self.configs.borrow_mut();
        configs.push((Instant::now(), config));
    }

    /// The organisation that holds a key, or held it last; `-` for none.
    pub fn holder_of(&self, key: &str) -> Box<str> {
        let key = Key::of(key);
        let configs = self.configs.borrow();
        let known = configs
            .iter()
            .rev()
            .filter_map(|(_, config)| config.organisations.as_ref());
        let holder = known
            .filter_map(|organisations| organisations.keys.get(&key))
            .next();
        holder.map_or(wire::OWN, |holder| holder.as_str()).into()
    }

    /// Puts a configuration in force that has a new route, without the route that the last such
    /// call added.
    pub fn reconfigure(&self) {
        let last = self
            .configs
            .borrow()
            .last()
            .map(|(_, config)| config.clone());
        let Some(mut config) = last else { return };
        let route = config.routes.values().next().cloned();
        config.routes.retain(|name, _| !name.starts_with("new"));
        config.version = config.version.next();
        let name = format!("new{}", config.version).into();
        config.routes.extend(route.map(|route| (name, route)));
        self.configure(config);
    }

    /// The freshness that a route guarantees to reads.
    pub fn kind_of(&self, route: &str) -> Option<Kind> {
        let configs = self.configs.borrow();
        let mut newest = configs.iter().rev();
        newest.find_map(|(_, config)| Some(config.routes.get(route)?.kind))
    }

    /// The failure domain of a VM by its name.
    pub fn domain_of_vm(&self, vm: &VmId) -> Option<usize> {
        Self::number_of(vm).map(|number| self.domain_of(number))
    }

    /// The name of a VM by its number.
    pub fn vm(number: usize) -> Result<VmId, Invalid> {
        format!("vm{}", number + 1).parse()
    }

    /// The number of a VM by its name.
    pub fn number_of(vm: &VmId) -> Option<usize> {
        let number: usize = vm.as_str().strip_prefix("vm")?.parse().ok()?;
        number.checked_sub(1)
    }

    /// The failure domain of a VM by its number.
    pub fn domain_of(&self, number: usize) -> usize {
        number % self.setup.places.len()
    }

    fn mesh_address(&self, number: usize) -> SocketAddr {
        setup::address(self.domain_of(number), number + 1, setup::MESH_PORT)
    }

    fn relay_address(&self, number: usize) -> SocketAddr {
        setup::address(self.domain_of(number), number + 1, setup::RELAY_PORT)
    }

    /// Starts a VM, unless it is running.
    pub fn start_vm(self: &Rc<Self>, number: usize) -> Result<(), Invalid> {
        let vm = Self::vm(number)?;
        if self.is_running(&vm) {
            return Ok(());
        }
        let domain = self.domain_of(number);
        let region = self.setup.region(domain);
        self.network.place(Node::Vm(vm.clone()), domain, region);
        if let Some(bandwidth) = (self.setup.link)(number) {
            self.network
                .limit_bandwidth(Node::Vm(vm.clone()), bandwidth);
        }
        self.lives.set(self.lives.get() + 1);
        let (streams, streams_in) = mpsc::unbounded_channel();
        let (relays, relays_in) = mpsc::unbounded_channel();
        let (questions, questions_in) = mpsc::unbounded_channel();
        let (stop, stopped) = oneshot::channel();
        let ready = Rc::new(Cell::new(false));
        let machine = Machine {
            adapter: self.adapter(&vm),
            call: Wrapped(self.call_of(&vm)),
            vm: vm.clone(),
            life: Life(self.lives.get()),
            domain: self.setup.domain(domain)?,
            cores: (self.setup.cores)(number),
            regions: self.setup.regions()?,
            address: self.mesh_address(number),
            relay: self.relay_address(number),
            relays: relays_in,
            seeds: self.seeds(),
            streams: streams_in,
            questions: questions_in,
            stop: stopped,
            ready: ready.clone(),
        };
        let (host, process) = Host::start(vm.as_str(), (self.program)(machine));
        self.network.spawn(process);
        let running = Running {
            host,
            streams,
            relays,
            questions,
            stop: Some(stop),
            ready,
        };
        let address = self.mesh_address(number);
        self.addresses.borrow_mut().insert(address, vm.clone());
        self.vms.borrow_mut().insert(vm, running);
        Ok(())
    }

    /// Addresses of the first three VMs that were not replaced.
    fn seeds(&self) -> Vec<SocketAddr> {
        let (known, retired) = (self.addresses.borrow(), self.retired.borrow());
        let remains = |number: &usize| match *number < self.setup.vms {
            true => !retired.contains(number),
            false => known.contains_key(&self.mesh_address(*number)),
        };
        let numbers = (0..self.next.get()).filter(remains).take(3);
        numbers.map(|number| self.mesh_address(number)).collect()
    }

    /// Removes a VM for good and starts a new one, under another name and address, in its failure
    /// domain.
    pub fn replace_vm(self: &Rc<Self>, vm: &VmId) -> Result<(), Invalid> {
        let Some(number) = Self::number_of(vm) else {
            return Ok(());
        };
        self.kill_vm(vm);
        self.vms.borrow_mut().remove(vm);
        if number < self.setup.vms {
            self.retired.borrow_mut().insert(number);
        }
        self.clock_offsets.borrow_mut().remove(vm);
        self.addresses
            .borrow_mut()
            .remove(&self.mesh_address(number));
        self.network.forget(&Node::Vm(vm.clone()));
        let places = self.setup.places.len();
        let next = self.next.get();
        let next = next + (places + number % places - next % places) % places;
        self.next.set(next + 1);
        self.start_vm(next)
    }

    /// Kills a VM.
    pub fn kill_vm(&self, vm: &VmId) {
        if let Some(running) = self.vms.borrow_mut().get_mut(vm) {
            running.host.kill();
            running.ready.set(false);
        }
    }

    /// Suspends or resumes a VM. Its clock goes on meanwhile.
    pub fn freeze_vm(&self, vm: &VmId, frozen: bool) {
        if let Some(running) = self.vms.borrow().get(vm) {
            running.host.freeze(frozen);
        }
    }

    /// Suspends and resumes a VM in turns, or ends that.
    pub fn starve_vm(&self, vm: &VmId, turns: Option<Turns>) {
        let vms = self.vms.borrow();
        let Some(running) = vms.get(vm) else { return };
        let host = running.host.clone();
        host.starve(turns.is_some());
        let Some(turns) = turns else { return };
        self.network.spawn(async move {
            while host.is_starved() {
                host.freeze(true);
                sleep(turns.stops.into()).await;
                host.freeze(false);
                sleep(turns.runs.into()).await;
            }
        });
    }

    /// Asks a VM to stop, and kills it after the grace.
    pub fn stop_vm(self: &Rc<Self>, vm: &VmId, grace: Span) {
        let mut vms = self.vms.borrow_mut();
        let Some(running) = vms.get_mut(vm) else {
            return;
        };
        let Some(stop) = running.stop.take() else {
            return;
        };
        let _ = stop.send(grace);
        running.ready.set(false);
        let (host, ready) = (running.host.clone(), running.ready.clone());
        self.network.spawn(async move {
            sleep(grace.into()).await;
            host.kill();
            ready.set(false);
        });
    }

    /// Advances a VM's clock by a span that its timers don't count.
    pub fn jump_clock(&self, vm: &VmId, span: Span) {
        let offset = self.clock_offset(vm);
        offset.set(offset.get() + span);
    }

    /// Whether a VM runs, frozen or not.
    pub fn is_running(&self, vm: &VmId) -> bool {
        let vms = self.vms.borrow();
        vms.get(vm).is_some_and(|running| !running.host.is_killed())
    }

    /// Whether a VM runs and reports that it accepts callers.
    pub fn is_ready(&self, vm: &VmId) -> bool {
        let vms = self.vms.borrow();
        vms.get(vm).is_some_and(|running| running.ready.get()) && self.is_running(vm)
    }

    /// All VMs, except those that were replaced.
    pub fn all_vms(&self) -> Vec<VmId> {
        self.vms.borrow().keys().cloned().collect()
    }

    /// All VMs that run.
    pub fn running(&self) -> Vec<VmId> {
        let vms = self.vms.borrow();
        let running = vms.iter().filter(|(_, r)| !r.host.is_killed());
        running.map(|(vm, _)| vm.clone()).collect()
    }

    /// Connects a caller of a failure domain to a VM. Returns `None` if the VM does not run.
    pub async fn connect_caller(self: &Rc<Self>, domain: usize, vm: &VmId) -> Option<Stream> {
        let from = Node::Callers(domain);
        let region = self.setup.region(domain);
        self.network.place(from.clone(), domain, region);
        let to = Node::Vm(vm.clone());
        sleep(self.network.delay(&from, &to)).await;
        let vms = self.vms.borrow();
        let running = vms.get(vm).filter(|running| !running.host.is_killed())?;
        let (near, far) = self.network.connect(&from, &to);
        running.streams.send(far).ok()?;
        Some(near)
    }

    /// A database by its id.
    pub fn database(&self, id: &DatabaseId) -> Option<(Rc<Group>, Rc<Database>)> {
        let mut found = self.groups.iter().map(|group| (group, group.member(id)));
        found.find_map(|(group, member)| Some((group.clone(), member?)))
    }

    fn clock_offset(&self, vm: &VmId) -> Rc<Cell<Span>> {
        let mut clock_offsets = self.clock_offsets.borrow_mut();
        clock_offsets.entry(vm.clone()).or_default().clone()
    }

    fn clock_of(&self, vm: &VmId) -> Clock {
        let (started, offset) = (self.started, self.clock_offset(vm));
        Rc::new(move || CLOCK_START + Span::from(started.elapsed()) + offset.get())
    }

    fn adapter(self: &Rc<Self>, vm: &VmId) -> Adapter {
        let clock = self.clock_of(vm);
        Adapter {
            wire: wire::wire(),
            documents: documents(),
            store: self.store.calls_of(vm),
            promote: self.orders.promoter(clock.clone()),
            connect: self.connect_of(vm),
            clock,
        }
    }
}
