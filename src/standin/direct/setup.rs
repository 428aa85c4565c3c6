//! The setup of a world: by default the traders' association on a small scale.

use crate::clock::Span;
use crate::direct::config::{self, Config, Kind, Route};
use crate::direct::identity::{Allowance, Key, Organisations};
use crate::direct::table::Era;
use crate::standin::deployment::{Deployment, GROUPS};
use crate::standin::direct::database::{Database, Spec};
use crate::standin::direct::group::Group;
use crate::standin::direct::log::Log;
use crate::standin::direct::network::{Bandwidth, Network};
use crate::types::{Cores, Domain, Invalid, OrganisationId, Version};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// The deployment whose places and sizes are the default.
const DEPLOYMENT: Deployment = Deployment::Association;

/// The number of databases in a group.
const DATABASES_PER_GROUP: usize = GROUPS;

/// The port on which VMs answer each other's questions.
pub const MESH_PORT: u16 = 7_000;

/// The port on which VMs relay each other's statements.
pub const RELAY_PORT: u16 = 7_001;

/// The port on which databases listen.
const DATABASE_PORT: u16 = 5_000;

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Its name.
    pub domain: Box<str>,
    /// Its region.
    pub region: usize,
}

/// The properties of one kind of route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteKind {
    /// The prefix of its routes' names.
    pub name: Box<str>,
    /// The freshness that it guarantees to reads.
    pub kind: Kind,
    /// The timeout of a statement.
    pub timeout: Span,
    /// The objective for the time to an answer.
    pub objective: Span,
}

/// The setup of a world.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The failure domains; the databases of a group are in the first three.
    pub places: Vec<Place>,
    /// The kinds of route, in order of priority, the most important first. Each group gets a route
    /// of each kind.
    pub route_kinds: Vec<RouteKind>,
    /// The number of VMs.
    pub vms: usize,
    /// The processor cores of each VM, by its number.
    pub cores: fn(usize) -> Cores,
    /// The bandwidth of each VM's link, by its number; `None` is unlimited.
    pub link: fn(usize) -> Option<Bandwidth>,
    /// The store's era at the start.
    pub era: Era,
    /// The number of groups, each with one database per failure domain.
    pub groups: usize,
    /// Whether a commit waits until a replica has received it.
    pub durable: bool,
    /// How many statements run at once on a database.
    pub slots: u32,
    /// How many connections a database accepts.
    pub connections: u32,
    /// The organisations and their keys, if callers need a key.
    pub organisations: Option<Organisations>,
    /// How long a promotion takes.
    pub promotion: Duration,
    /// How long a statement takes at a database.
    pub work: Duration,
    /// How long a replica takes to apply received entries.
    pub lag: Duration,
    /// The one-way delay between failure domains.
    pub domain_delay: Duration,
    /// The one-way delay between regions.
    pub region_delay: Duration,
}

impl Default for Setup {
    /// The traders' association, with fewer VMs and one group.
    fn default() -> Self {
        let places = DEPLOYMENT.places();
        let places = places.iter().map(|place| Place {
            domain: place.domain.into(),
            region: usize::from(place.region),
        });
        let route_kind = |name: &str, kind| RouteKind {
            name: name.into(),
            kind,
            timeout: Span::from_secs(5),
            objective: Span::from_millis(400),
        };
        Self {
            places: places.collect(),
            route_kinds: vec![
                route_kind("primary", Kind::Primary),
                route_kind("bounded", Kind::Bounded(Span::from_millis(1_500))),
                route_kind("session", Kind::Session(Span::from_millis(2_500))),
            ],
            vms: 3,
            cores: |_| Cores::default(),
            link: |_| None,
            era: Era::default(),
            groups: 1,
            durable: false,
            slots: DEPLOYMENT.slots(),
            connections: DEPLOYMENT.connections(),
            organisations: None,
            promotion: Duration::from_millis(1_000),
            work: Duration::from_millis(6),
            lag: Duration::from_millis(8),
            domain_delay: DEPLOYMENT.latency(0, 1).into(),
            region_delay: DEPLOYMENT.latency(0, 2).into(),
        }
    }
}

impl Setup {
    /// The name of a failure domain, by its index.
    pub fn domain(&self, place: usize) -> Result<Domain, Invalid> {
        self.places[place].domain.parse()
    }

    /// The region of a failure domain, by its index.
    pub fn region(&self, place: usize) -> usize {
        self.places[place].region
    }

    /// The region of each failure domain.
    pub fn regions(&self) -> Result<BTreeMap<Domain, Box<str>>, Invalid> {
        let regions = (0..self.places.len()).map(|place| {
            let region = format!("region{}", self.region(place));
            Ok((self.domain(place)?, region.into()))
        });
        regions.collect()
    }
}

/// Organisations `org0`, `org1` and so on, which hold `key0`, `key1` and so on, each with this allowance.
pub fn organisations(count: usize, allowance: Allowance) -> Result<Organisations, Invalid> {
    let mut organisations = Organisations::default();
    for number in 0..count {
        let id: OrganisationId = format!("org{number}").parse()?;
        let key = Key::of(&format!("key{number}"));
        organisations.keys.insert(key, id.clone());
        organisations.allowances.insert(id, allowance);
    }
    Ok(organisations)
}

/// The address of a host in a failure domain.
pub fn address(domain: usize, host: usize, port: u16) -> SocketAddr {
    let octet = |number: usize| u8::try_from(number).unwrap_or(u8::MAX);
    let ip = Ipv4Addr::new(10, octet(domain + 1), octet(host / 250), octet(host % 250));
    SocketAddr::from((ip, port))
}

/// The first configuration: a route of each kind to each group, named `primary0`, `bounded0`,
/// `session0` and so on.
pub fn first_config(setup: &Setup, groups: &[Rc<Group>]) -> Config {
    let mut routes = BTreeMap::new();
    let mut limited = BTreeMap::new();
    for (number, group) in groups.iter().enumerate() {
        for (priority, route_kind) in setup.route_kinds.iter().enumerate() {
            let route = Route {
                group: group.id.clone(),
                kind: route_kind.kind,
                timeout: route_kind.timeout,
                objective: route_kind.objective,
                priority: priority as u8,
                public: false,
            };
            routes.insert(format!("{}{number}", route_kind.name).into(), route);
        }
        let limits = config::Group {
            connections: setup.connections,
            durable: group.durable,
        };
        limited.insert(group.id.clone(), limits);
    }
    Config {
        version: Version(1),
        routes,
        groups: limited,
        idle: Span::from_secs(10),
        organisations: setup.organisations.clone(),
    }
}

/// The databases of a group, one in each failure domain.
pub fn members(
    setup: &Setup,
    network: &Network,
    group: usize,
) -> Result<Vec<Rc<Database>>, Invalid> {
    let mut members = Vec::new();
    for index in 0..DATABASES_PER_GROUP {
        let domain = (group + index) % DATABASES_PER_GROUP;
        let spec = Spec {
            id: format!("db{group}{}", ["a", "b", "c"][index]).parse()?,
            group: format!("ledger{group}").parse()?,
            address: address(domain, 100 + group, DATABASE_PORT),
            domain: setup.domain(domain)?,
            slots: setup.slots,
            queue: 4 * setup.slots,
            connections: setup.connections,
            cold: Duration::from_millis(12),
            work: setup.work,
            lag: setup.lag,
        };
        let database = Database::new(spec, index == 0, 1, Log::default());
        network.place(database.node(), domain, setup.region(domain));
        members.push(database);
    }
    Ok(members)
}
