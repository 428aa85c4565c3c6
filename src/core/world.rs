//! State shared by the roles of one proxy: its identity, the configuration, the other VMs, and the
//! leaders of groups.

use crate::clock::{Span, Time};
use crate::config::{Accepted, Database, Document, Group, Pool, Timing};
use crate::core::counters::Counters;
use crate::core::database::{Command, Order};
use crate::core::member::{self, Identity, Member};
use crate::core::message::{Control, Message, Primary, Probe, Suspect};
use crate::core::output::Output;
use crate::core::request::Outcome;
use crate::types::{
    CallerId, ConnId, DatabaseId, GroupId, Life, Link, PoolId, Position, RequestId, Version, VmId,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// The number of VMs kept of a database's order: its holder and the VMs that may replace it.
const MAX_ORDER: usize = 4;

/// How long a listed VM whose stream broke is not used. Long enough that not every request tries
/// a dead VM, and short enough that one broken stream moves few databases.
const SUSPECT_DURATION: Span = Span::from_secs(2);

/// The number of orders to databases that may be under way. A database that does not answer gets a
/// probe every 250 ms until its connections time out; this is enough for hundreds of these.
const MAX_PENDING_ORDERS: usize = 8_192;

/// What is known of another VM in addition to the platform's list.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    /// Whether the stream to it is open.
    pub up: bool,
    /// Whether it announced that it is stopping.
    pub stopping: bool,
    /// The life of its process, once announced.
    pub life: Option<Life>,
    /// Until when it is not used because its stream broke.
    pub suspect_until: Time,
}

/// The purpose of an order to a database, which determines where its answer goes.
#[derive(Debug, Clone)]
pub(crate) enum Purpose {
    /// Its holder refreshes its state.
    Refresh(DatabaseId),
    /// A steward probes it.
    Probe { from: VmId, probe: Probe },
    /// A steward's order is relayed.
    Relay { from: VmId, control: Control },
    /// A steward asks whether the database can be reached from here.
    Reach { from: VmId, suspect: Suspect },
}

/// The state shared by the roles of a proxy.
#[derive(Debug)]
pub(crate) struct World {
    pub me: Identity,
    pub config: Option<Arc<Accepted>>,
    pub timing: Timing,
    pub members: Vec<Member>,
    /// Whether a list of VMs has been read.
    pub listed: bool,
    pub peers: HashMap<VmId, Peer>,
    pub leaders: HashMap<GroupId, Primary>,
    pub counters: Counters,
    pub stopping: bool,
    pub rng: ChaCha8Rng,
    pub inbox: VecDeque<Message>,
    /// The database of each connection.
    pub connections: HashMap<ConnId, DatabaseId>,
    /// The orders to databases that are under way.
    pub pending_orders: HashMap<RequestId, Purpose>,
    groups: HashMap<DatabaseId, GroupId>,
    orders: HashMap<DatabaseId, Arc<[VmId]>>,
    /// The databases in whose orders this VM is; `None` until computed.
    own_databases: Option<Vec<DatabaseId>>,
    last_id: u64,
}

/// The context of handling one input: the time, the shared state, and the outputs.
pub(crate) struct Turn<'a> {
    pub now: Time,
    pub world: &'a mut World,
    pub out: &'a mut Vec<Output>,
}

impl World {
    pub fn new(me: Identity) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(me.life.0);
        let last_id = first_id(&mut rng);
        Self {
            me,
            config: None,
            timing: Timing::default(),
            members: Vec::new(),
            listed: false,
            peers: HashMap::new(),
            leaders: HashMap::new(),
            counters: Counters::default(),
            stopping: false,
            rng,
            inbox: VecDeque::new(),
            connections: HashMap::new(),
            pending_orders: HashMap::new(),
            groups: HashMap::new(),
            orders: HashMap::new(),
            own_databases: None,
            last_id,
        }
    }

    /// A new id, unique within this process's life.
    pub fn id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub fn document(&self) -> Option<&Document> {
        self.config.as_ref().map(|accepted| &accepted.document)
    }

    pub fn group(&self, group: &GroupId) -> Option<&Group> {
        self.document()?.groups.get(group)
    }

    pub fn group_of(&self, database: &DatabaseId) -> Option<&GroupId> {
        self.groups.get(database)
    }

    pub fn database(&self, database: &DatabaseId) -> Option<&Database> {
        let group = self.groups.get(database)?;
        self.group(group)?.databases.get(database)
    }

    pub fn pool(&self, pool: &PoolId) -> Option<&Pool> {
        self.document()?.pools.get(pool)
    }

    /// The pool that serves `caller` in `group`: one that lists the caller, or else the one
    /// without a list.
    pub fn pool_of(&self, caller: &CallerId, group: &GroupId) -> Option<(PoolId, &Pool)> {
        let pools = &self.document()?.pools;
        let reaches = |pool: &Pool| pool.groups.contains(group);
        let listed = pools
            .iter()
            .find(|(_, pool)| reaches(pool) && pool.callers.contains(caller));
        let open = || {
            pools
                .iter()
                .find(|(_, pool)| reaches(pool) && pool.callers.is_empty())
        };
        let (id, pool) = listed.or_else(open)?;
        Some((id.clone(), pool))
    }

    /// Puts `accepted` in force. Its version must be higher than the current one.
    pub fn accept(&mut self, accepted: Arc<Accepted>) {
        self.groups = accepted
            .document
            .groups
            .iter()
            .flat_map(|(id, group)| group.databases.keys().map(|db| (db.clone(), id.clone())))
            .collect();
        let known = &accepted.document.groups;
        self.leaders.retain(|group, _| known.contains_key(group));
        self.timing = accepted.document.timing;
        self.config = Some(accepted);
        self.clear_orders();
    }

    /// Replaces the list of VMs with the platform's.
    pub fn set_members(&mut self, members: Vec<Member>) {
        self.clear_orders();
        let listed: HashSet<&VmId> = members.iter().map(|member| &member.vm).collect();
        self.peers.retain(|vm, peer| peer.up || listed.contains(vm));
        self.members = members;
        self.listed = true;
    }

    fn clear_orders(&mut self) {
        self.orders.clear();
        self.own_databases = None;
    }

    /// The first few VMs that should hold `database`, in order of preference.
    pub fn order(&mut self, database: &DatabaseId) -> Arc<[VmId]> {
        if let Some(order) = self.orders.get(database) {
            return order.clone();
        }
        let Some(domain) = self.database(database).map(|found| found.domain.clone()) else {
            return Arc::new([]);
        };
        let first = member::first(&self.members, database, &domain, MAX_ORDER);
        let mut order: Vec<VmId> = first.into_iter().map(|member| member.vm.clone()).collect();
        if order.is_empty() {
            order.push(self.me.vm.clone());
        }
        let order: Arc<[VmId]> = order.into();
        self.orders.insert(database.clone(), order.clone());
        order
    }

    /// The VM that presumably holds `database`: the first of its order that is neither stopping nor
    /// suspected.
    pub fn holder(&mut self, now: Time, database: &DatabaseId) -> VmId {
        let order = self.order(database);
        let live = order.iter().find(|vm| self.usable(now, vm));
        live.or(order.first()).unwrap_or(&self.me.vm).clone()
    }

    /// Whether this VM holds `database`.
    ///
    /// A VM holds nothing until a list of VMs was read. One that has just started may receive the
    /// configuration before the list; it would otherwise assume that it is the only VM, raise the
    /// terms of all groups and lead them.
    pub fn holds(&mut self, now: Time, database: &DatabaseId) -> bool {
        self.listed && self.holder(now, database) == self.me.vm
    }

    /// The databases that this VM holds.
    pub fn held(&mut self, now: Time) -> BTreeSet<DatabaseId> {
        if self.own_databases.is_none() {
            self.own_databases = Some(self.find_own());
        }
        let own_databases = self.own_databases.clone().unwrap_or_default();
        own_databases
            .into_iter()
            .filter(|id| self.holds(now, id))
            .collect()
    }

    /// The databases that this VM holds or may take over. The orders of all others are removed from
    /// the cache, so that an entry caches only those of the databases that its callers use.
    fn find_own(&mut self) -> Vec<DatabaseId> {
        let databases: Vec<DatabaseId> = self.groups.keys().cloned().collect();
        let mut own_databases = Vec::new();
        for database in databases {
            if self.order(&database).contains(&self.me.vm) {
                own_databases.push(database);
            } else {
                self.orders.remove(&database);
            }
        }
        own_databases
    }

    /// Whether work may be sent to `vm`.
    pub fn usable(&self, now: Time, vm: &VmId) -> bool {
        if *vm == self.me.vm {
            return !self.stopping;
        }
        self.peers
            .get(vm)
            .is_none_or(|peer| !peer.stopping && peer.suspect_until <= now)
    }

    /// Records that the stream to `vm` broke, so that it is not used for a while. Returns whether
    /// the stream had been open, in which case sent messages may have arrived.
    pub fn peer_down(&mut self, now: Time, vm: &VmId) -> bool {
        let peer = self.peers.entry(vm.clone()).or_default();
        peer.suspect_until = now + SUSPECT_DURATION;
        std::mem::take(&mut peer.up)
    }

    /// Records that the stream to `vm` is open.
    pub fn peer_up(&mut self, vm: &VmId) {
        let peer = self.peers.entry(vm.clone()).or_default();
        peer.up = true;
        peer.suspect_until = Time::default();
    }

    /// Records who leads a group, if `primary` has a higher term than the known leader. Returns
    /// whether it does. A term belongs to one steward and one primary, so an equal one adds
    /// nothing.
    pub fn record_leader(&mut self, group: &GroupId, primary: &Primary) -> bool {
        if self.group(group).is_none() {
            return false;
        }
        match self.leaders.get_mut(group) {
            Some(known) if known.term >= primary.term => false,
            Some(known) => {
                *known = primary.clone();
                true
            }
            None => {
                self.leaders.insert(group.clone(), primary.clone());
                true
            }
        }
    }

    /// A random number below `bound`, which must not be zero.
    pub fn random(&mut self, bound: usize) -> usize {
        (self.rng.next_u64() % bound as u64) as usize
    }
}

/// The first id of a process.
///
/// A VM may be replaced under its name while an answer to its predecessor's request is under way.
/// If both processes used the same id, a caller would get the answer to another caller's request.
/// So each life starts at one of 2^32 random points, which are a million ids apart. Ids still
/// take only eight bytes on the wire.
fn first_id(rng: &mut ChaCha8Rng) -> u64 {
    (rng.next_u64() >> 32) << 20
}

impl Turn<'_> {
    pub fn id(&mut self) -> RequestId {
        RequestId(self.world.id())
    }

    /// Sends `message`. A message to this VM is handled before the turn ends.
    pub fn send(&mut self, to: &VmId, message: Message) {
        if *to == self.world.me.vm {
            self.world.inbox.push_back(message);
            return;
        }
        if message.is_control() {
            self.world.counters.control_messages += 1;
            self.world.counters.control_bytes += message.size() as u64;
        }
        self.out.push(Output::Send {
            to: to.clone(),
            message,
        });
    }

    pub fn database(&mut self, command: Command) {
        if let Command::Close { conn } = command {
            self.world.connections.remove(&conn);
        }
        self.out.push(Output::Database(command));
    }

    /// Opens a connection for work.
    pub fn connect(&mut self, conn: ConnId, database: &DatabaseId, address: SocketAddr) {
        self.world.connections.insert(conn, database.clone());
        self.database(Command::Connect {
            conn,
            database: database.clone(),
            address,
        });
    }

    /// Sends an order to a database for `purpose`. Returns whether it was sent.
    pub fn order(&mut self, database: &DatabaseId, order: Order, purpose: Purpose) -> bool {
        if self.world.pending_orders.len() >= MAX_PENDING_ORDERS {
            return false;
        }
        let Some(address) = self.world.database(database).map(|found| found.address) else {
            return false;
        };
        let id = self.id();
        self.world.pending_orders.insert(id, purpose);
        self.database(Command::Control {
            id,
            database: database.clone(),
            address,
            order,
        });
        true
    }

    /// The timing in force.
    pub fn timing(&self) -> Timing {
        self.world.timing
    }

    /// The version of the configuration in force.
    pub fn version(&self) -> Version {
        let config = self.world.config.as_ref();
        config.map_or(Version::default(), |accepted| accepted.version)
    }

    pub fn reply(&mut self, link: Link, outcome: Outcome, floor: Option<Position>) {
        self.world.counters.record(&outcome);
        self.out.push(Output::Reply {
            link,
            outcome,
            floor,
        });
    }
}
