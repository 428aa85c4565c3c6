//! What every role of one proxy shares: who it is, the configuration, the other VMs, and who
//! leads each group that it has to do with.

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

/// How many VMs of a database's order are kept: its holder and those that stand in for it.
const ORDER_KEPT: usize = 4;

/// How long a VM whose stream broke is passed over while the list still shows it. Long enough
/// that a dead VM is not tried by each request; short enough that one bad stream moves
/// little.
const SUSPECT_VM: Span = Span::from_secs(2);

/// Orders to databases that may be under way. A database that answers nothing gets a probe each
/// quarter of a second until its connections are given up; this is room for hundreds of such.
const ERRANDS_LIMIT: usize = 8_192;

/// What is known of another VM beside the platform's list.
#[derive(Debug, Default)]
pub(crate) struct Peer {
    /// The stream to it is open.
    pub up: bool,
    /// It said that it is stopping.
    pub stopping: bool,
    /// The life of its process, once told.
    pub life: Option<Life>,
    /// Until when it is passed over because its stream broke.
    pub suspect_until: Time,
}

/// What an order to a database is for.
#[derive(Debug, Clone)]
pub(crate) enum Errand {
    /// Its holder wants to know its state.
    Refresh(DatabaseId),
    /// A steward probes it.
    Probe { from: VmId, probe: Probe },
    /// A steward orders something.
    Relay { from: VmId, control: Control },
    /// A steward asks whether it can be reached from here.
    Reach { from: VmId, suspect: Suspect },
}

/// The shared state of a proxy's roles.
#[derive(Debug)]
pub(crate) struct World {
    pub me: Identity,
    pub config: Option<Arc<Accepted>>,
    pub timing: Timing,
    pub members: Vec<Member>,
    /// Whether a list of VMs was read at all.
    pub listed: bool,
    pub peers: HashMap<VmId, Peer>,
    pub leaders: HashMap<GroupId, Primary>,
    pub counters: Counters,
    pub stopping: bool,
    pub rng: ChaCha8Rng,
    pub inbox: VecDeque<Message>,
    /// Which database each connection belongs to.
    pub connections: HashMap<ConnId, DatabaseId>,
    /// What the orders under way to databases are for.
    pub errands: HashMap<RequestId, Errand>,
    groups: HashMap<DatabaseId, GroupId>,
    orders: HashMap<DatabaseId, Arc<[VmId]>>,
    /// The databases in whose orders this VM is, once looked for.
    mine: Option<Vec<DatabaseId>>,
    last_id: u64,
}

/// One input's processing: the time, the shared state, and where outputs go.
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
            errands: HashMap::new(),
            groups: HashMap::new(),
            orders: HashMap::new(),
            mine: None,
            last_id,
        }
    }

    /// An id never given before in this process's life.
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

    /// The pool that serves `caller` in `group`: one that lists the caller, else the one
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

    /// Puts `accepted` in force; the caller has checked that its version is higher.
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
        self.forget_orders();
    }

    /// The platform's list was read.
    pub fn list(&mut self, members: Vec<Member>) {
        self.forget_orders();
        let listed: HashSet<&VmId> = members.iter().map(|member| &member.vm).collect();
        self.peers.retain(|vm, peer| peer.up || listed.contains(vm));
        self.members = members;
        self.listed = true;
    }

    fn forget_orders(&mut self) {
        self.orders.clear();
        self.mine = None;
    }

    /// The VMs that should hold `database`, best first, few of them.
    pub fn order(&mut self, database: &DatabaseId) -> Arc<[VmId]> {
        if let Some(order) = self.orders.get(database) {
            return order.clone();
        }
        let Some(domain) = self.database(database).map(|found| found.domain.clone()) else {
            return Arc::new([]);
        };
        let first = member::first(&self.members, database, &domain, ORDER_KEPT);
        let mut order: Vec<VmId> = first.into_iter().map(|member| member.vm.clone()).collect();
        if order.is_empty() {
            order.push(self.me.vm.clone());
        }
        let order: Arc<[VmId]> = order.into();
        self.orders.insert(database.clone(), order.clone());
        order
    }

    /// The VM that holds `database`, as far as is known: the first of its order that is
    /// neither stopping nor suspected.
    pub fn holder(&mut self, now: Time, database: &DatabaseId) -> VmId {
        let order = self.order(database);
        let live = order.iter().find(|vm| self.usable(now, vm));
        live.or(order.first()).unwrap_or(&self.me.vm).clone()
    }

    /// Whether this VM holds `database`.
    ///
    /// Failure: a VM that has just started hears of the configuration before the list of VMs.
    /// Symptom: it takes itself for the only one, raises the terms of all groups, and leads them
    /// from then on. Enough, because it holds nothing until a list was read.
    pub fn holds(&mut self, now: Time, database: &DatabaseId) -> bool {
        self.listed && self.holder(now, database) == self.me.vm
    }

    /// The databases that this VM holds.
    pub fn held(&mut self, now: Time) -> BTreeSet<DatabaseId> {
        if self.mine.is_none() {
            self.mine = Some(self.find_mine());
        }
        let mine = self.mine.clone().unwrap_or_default();
        mine.into_iter().filter(|id| self.holds(now, id)).collect()
    }

    /// The databases that this VM holds or stands in for. The orders of all others are
    /// forgotten, so that an entry keeps those of the databases that its callers use.
    fn find_mine(&mut self) -> Vec<DatabaseId> {
        let databases: Vec<DatabaseId> = self.groups.keys().cloned().collect();
        let mut mine = Vec::new();
        for database in databases {
            if self.order(&database).contains(&self.me.vm) {
                mine.push(database);
            } else {
                self.orders.remove(&database);
            }
        }
        mine
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

    /// The stream to `vm` broke: it is passed over for a while. Tells whether the stream had
    /// been open, so that what was sent may have arrived.
    pub fn peer_down(&mut self, now: Time, vm: &VmId) -> bool {
        let peer = self.peers.entry(vm.clone()).or_default();
        peer.suspect_until = now + SUSPECT_VM;
        std::mem::take(&mut peer.up)
    }

    /// The stream to `vm` is open.
    pub fn peer_up(&mut self, vm: &VmId) {
        let peer = self.peers.entry(vm.clone()).or_default();
        peer.up = true;
        peer.suspect_until = Time::default();
    }

    /// Who leads a group, if that is news. A term belongs to one steward and one primary, so
    /// only a higher one is news.
    pub fn learn(&mut self, group: &GroupId, primary: &Primary) -> bool {
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

    /// A number below `bound`, which is not zero.
    pub fn random(&mut self, bound: usize) -> usize {
        (self.rng.next_u64() % bound as u64) as usize
    }
}

/// Where a process's ids start.
///
/// Failure: a VM is replaced under its name, and an answer to its predecessor's request comes
/// late. Symptom: a caller gets the answer to another's request, because both processes gave
/// the same number. Enough, because the lives count from starts drawn from 2^32, a million ids
/// apart; ids stay short enough that they cost eight bytes on the wire.
fn first_id(rng: &mut ChaCha8Rng) -> u64 {
    (rng.next_u64() >> 32) << 20
}

impl Turn<'_> {
    pub fn id(&mut self) -> RequestId {
        RequestId(self.world.id())
    }

    /// Sends `message`; to this VM itself, it is handled before the turn ends.
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

    /// Orders something of a database, for the sake of `errand`. Tells whether it did.
    pub fn order(&mut self, database: &DatabaseId, order: Order, errand: Errand) -> bool {
        if self.world.errands.len() >= ERRANDS_LIMIT {
            return false;
        }
        let Some(address) = self.world.database(database).map(|found| found.address) else {
            return false;
        };
        let id = self.id();
        self.world.errands.insert(id, errand);
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
