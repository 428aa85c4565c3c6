//! The users' two deployments at a small scale, with their current failure domains, latencies, groups
//! and sizes.

use crate::clock::Span;
use crate::config::{Database, Document, Durability, Group, Pool, Timing};
use crate::types::{Domain, Invalid};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::str::FromStr;

/// The number of groups, and of failure domains, of each deployment.
pub const GROUPS: usize = 3;

/// How long opening a connection to a database takes.
pub const CONNECT: Span = Span::from_millis(10);

/// How long an entry takes from a primary into a replica's log, in addition to the latency. It is
/// short because log shipping is prompt and replay causes most of the lag.
pub const RECEIVE_LAG: Span = Span::from_millis(1);

/// How far reads on a replica are behind its log.
pub const APPLY_LAG: Span = Span::from_millis(100);

/// How long a statement holds a slot.
pub const SERVICE: Span = Span::from_millis(1);

/// The caller with long-running work, such as a nightly reconciliation.
pub const LONG_CALLER: &str = "reconcile";

/// One of the users' deployments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// The traders' association: 3 slots and 25 connections per database.
    Association,
    /// The permit desk: 2 slots and 30 connections per database.
    Permits,
}

/// A failure domain and its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The failure domain's name.
    pub domain: &'static str,
    /// The number of its region.
    pub region: u8,
}

const fn place(domain: &'static str, region: u8) -> Place {
    Place { domain, region }
}

const ASSOCIATION: [Place; GROUPS] = [place("nairobi", 0), place("kisumu", 0), place("mombasa", 1)];
const PERMITS: [Place; GROUPS] = [
    place("braga", 0),
    place("coimbra", 0),
    place("ponta-delgada", 1),
];

impl Deployment {
    /// Returns its failure domains: two share a region, the third is in another region.
    pub fn places(self) -> [Place; GROUPS] {
        match self {
            Self::Association => ASSOCIATION,
            Self::Permits => PERMITS,
        }
    }

    /// Returns the number of statements that a database runs concurrently.
    pub fn slots(self) -> u32 {
        match self {
            Self::Association => 3,
            Self::Permits => 2,
        }
    }

    /// Returns the number of connections that a database accepts.
    pub fn connections(self) -> u32 {
        match self {
            Self::Association => 25,
            Self::Permits => 30,
        }
    }

    /// Returns the one-way latency between two of its places, given by their indexes.
    pub fn latency(self, a: usize, b: usize) -> Span {
        let places = self.places();
        let region = |index: usize| places.get(index).map(|place| place.region);
        match (a == b, region(a) == region(b), self) {
            (true, _, _) => Span::ZERO,
            (false, true, _) => Span(500),
            (false, false, Self::Association) => Span::from_millis(8),
            (false, false, Self::Permits) => Span::from_millis(10),
        }
    }

    /// Returns the index of the place of a demo address. The demo gives each failure domain a network
    /// 127.0.N.0/24, with N from 1.
    pub fn place_of(address: IpAddr) -> Option<usize> {
        match address {
            IpAddr::V4(address) => usize::from(address.octets()[2]).checked_sub(1),
            IpAddr::V6(_) => None,
        }
    }

    /// Returns the demo address of host `host` in the place with index `place`.
    pub fn address(place: usize, host: u8) -> IpAddr {
        let network = u8::try_from(place + 1).unwrap_or(u8::MAX);
        IpAddr::V4(Ipv4Addr::new(127, 0, network, host))
    }

    /// Returns the one-way latency between a demo address and a failure domain; zero if one is unknown.
    pub fn latency_to(self, address: IpAddr, domain: &Domain) -> Span {
        let places = self.places();
        let target = places
            .iter()
            .position(|place| place.domain == domain.as_str());
        match (Self::place_of(address), target) {
            (Some(a), Some(b)) if a < GROUPS => self.latency(a, b),
            _ => Span::ZERO,
        }
    }

    /// Returns its configuration. Databases get port 0 at addresses of their failure domains. The first
    /// database of a group is its first primary; that of `ledger1` is in the first place, that of
    /// `ledger2` in the second, and so on. Returns an error if a name is invalid.
    pub fn document(self) -> Result<Document, Invalid> {
        let mut groups = BTreeMap::new();
        for number in 0..GROUPS {
            groups.insert(
                format!("ledger{}", number + 1).parse()?,
                self.group(number)?,
            );
        }
        let names: Vec<_> = groups.keys().cloned().collect();
        let desk = Pool {
            groups: names.clone(),
            callers: Vec::new(),
            durability: Durability::Majority,
            max_age: None,
            patience: Span::from_secs(5),
            long: false,
        };
        let long = Pool {
            callers: vec![LONG_CALLER.parse()?],
            patience: Span::from_secs(60),
            long: true,
            ..desk.clone()
        };
        let pools = BTreeMap::from([("desk".parse()?, desk), ("night".parse()?, long)]);
        Ok(Document {
            groups,
            pools,
            timing: Timing::default(),
        })
    }

    fn group(self, number: usize) -> Result<Group, Invalid> {
        let mut databases = BTreeMap::new();
        for (index, letter) in ["a", "b", "c"].into_iter().enumerate() {
            let place = (number + index) % GROUPS;
            let host = u8::try_from(100 + number).unwrap_or(u8::MAX);
            let database = Database {
                address: SocketAddr::new(Self::address(place, host), 0),
                domain: self.places()[place].domain.parse()?,
                slots: self.slots(),
                connections: self.connections(),
                leaving: false,
            };
            databases.insert(format!("ledger{}-{letter}", number + 1).parse()?, database);
        }
        Ok(Group { databases })
    }
}

impl FromStr for Deployment {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Unknown> {
        match text {
            "association" => Ok(Self::Association),
            "permits" => Ok(Self::Permits),
            _ => Err(Unknown(text.into())),
        }
    }
}

/// The error for a name that is not that of a deployment.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("no deployment `{0}`: write association or permits")]
pub struct Unknown(Box<str>);
