//! What a world is made of: the traders' association in small.

use crate::clock::Span;
use crate::direct::config::{self, Config, Kind, Route};
use crate::standin::deployment::{Deployment, GROUPS};
use crate::standin::direct::database::{Database, Make};
use crate::standin::direct::group::Group;
use crate::standin::direct::network::Network;
use crate::types::{Domain, Invalid, Version};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Whose places and sizes a world has.
const DEPLOYMENT: Deployment = Deployment::Association;

/// How many failure domains there are.
pub const PLACES: usize = GROUPS;

/// The port on which VMs talk to each other.
pub const MESH_PORT: u16 = 7_000;

/// The port on which VMs relay each other's statements.
pub const RELAY_PORT: u16 = 7_001;

/// The port of databases.
const DATABASE_PORT: u16 = 5_000;

/// What a world is made of.
#[derive(Debug, Clone)]
pub struct Setup {
    /// How many VMs.
    pub vms: usize,
    /// How many groups, of one database a failure domain.
    pub groups: usize,
    /// Statements that run at once on a database.
    pub slots: u32,
    /// Connections that a database takes.
    pub connections: u32,
    /// How long a promotion takes.
    pub promotion: Duration,
    /// One way between failure domains.
    pub domain_delay: Duration,
    /// One way between regions.
    pub region_delay: Duration,
}

impl Default for Setup {
    /// The traders' association, with fewer VMs and one group.
    fn default() -> Self {
        Self {
            vms: 3,
            groups: 1,
            slots: DEPLOYMENT.slots(),
            connections: DEPLOYMENT.connections(),
            promotion: Duration::from_millis(1_000),
            domain_delay: DEPLOYMENT.latency(0, 1).into(),
            region_delay: DEPLOYMENT.latency(0, 2).into(),
        }
    }
}

/// A failure domain's name.
pub fn domain(place: usize) -> Result<Domain, Invalid> {
    DEPLOYMENT.places()[place].domain.parse()
}

/// A failure domain's region.
pub fn region(place: usize) -> usize {
    usize::from(DEPLOYMENT.places()[place].region)
}

/// The region of each failure domain.
pub fn regions() -> Result<BTreeMap<Domain, Box<str>>, Invalid> {
    let regions = (0..PLACES).map(|place| {
        let region = format!("region{}", region(place));
        Ok((domain(place)?, region.into()))
    });
    regions.collect()
}

/// Where a host of a failure domain listens.
pub fn address(domain: usize, host: usize, port: u16) -> SocketAddr {
    let octet = |number: usize| u8::try_from(number).unwrap_or(u8::MAX);
    let ip = Ipv4Addr::new(10, octet(domain + 1), 0, octet(host));
    SocketAddr::from((ip, port))
}

/// A route of each kind to each group: `primary0`, `bounded0`, `session0` and so on.
pub fn first_config(setup: &Setup, groups: &[Rc<Group>]) -> Config {
    let kinds = [
        ("primary", Kind::Primary),
        ("bounded", Kind::Bounded(Span::from_millis(1_500))),
        ("session", Kind::Session(Span::from_millis(2_500))),
    ];
    let mut routes = BTreeMap::new();
    let mut limited = BTreeMap::new();
    for (number, group) in groups.iter().enumerate() {
        for (priority, (name, kind)) in kinds.iter().enumerate() {
            let route = Route {
                group: group.id.clone(),
                kind: *kind,
                timeout: Span::from_secs(5),
                objective: Span::from_millis(400),
                priority: priority as u8,
            };
            routes.insert(format!("{name}{number}").into(), route);
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
    }
}

/// The databases of a group, one in each failure domain.
pub fn members(
    setup: &Setup,
    network: &Network,
    group: usize,
) -> Result<Vec<Rc<Database>>, Invalid> {
    let mut members = Vec::new();
    for turn in 0..PLACES {
        let domain = (group + turn) % PLACES;
        let make = Make {
            id: format!("db{group}{}", ["a", "b", "c"][turn]).parse()?,
            group: format!("ledger{group}").parse()?,
            address: address(domain, 100 + group, DATABASE_PORT),
            domain: self::domain(domain)?,
            slots: setup.slots,
            queue: 4 * setup.slots,
            connections: setup.connections,
            cold: Duration::from_millis(12),
            work: Duration::from_millis(6),
            lag: Duration::from_millis(8),
        };
        let database = Database::new(make, turn == 0, 1, Vec::new());
        network.place(database.node(), domain, region(domain));
        members.push(database);
    }
    Ok(members)
}
