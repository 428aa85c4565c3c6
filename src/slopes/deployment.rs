//! A deployment of any size: its VMs and its configuration.

use crate::clock::Span;
use crate::config::{Database, Document, Group, Pool, Timing};
use crate::core::member::Member;
use crate::types::{Domain, Invalid};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Failure domains at full size; the first four are in one region, the others in a second one.
pub const DOMAINS: usize = 7;

/// Number of failure domains in the first region.
pub(super) const FIRST_REGION: usize = 4;

/// Number of databases in a group.
pub const MEMBERS: usize = 3;

fn address(kind: u8, index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, kind, high, low)), 5432)
}

fn domain(index: usize) -> Result<Domain, Invalid> {
    format!("domain-{}", index % DOMAINS).parse()
}

/// A list of `nodes` VMs, spread over the failure domains.
pub fn members(nodes: usize) -> Result<Vec<Member>, Invalid> {
    let member = |index: usize| {
        Ok(Member {
            vm: format!("vm-{index}").parse()?,
            address: address(1, index),
            domain: domain(index)?,
            leaving: false,
        })
    };
    (0..nodes).map(member).collect()
}

/// A configuration of `groups` groups. Each has its databases in consecutive failure domains, so that
/// some groups have databases in both regions.
pub fn document(groups: usize) -> Result<Document, Invalid> {
    let mut found = BTreeMap::new();
    for group in 0..groups {
        let mut databases = BTreeMap::new();
        for member in 0..MEMBERS {
            let index = group * MEMBERS + member;
            let database = Database {
                address: address(2, index),
                domain: domain(group + member)?,
                slots: 3,
                connections: 25,
                leaving: false,
            };
            databases.insert(format!("ledger{group}-{member}").parse()?, database);
        }
        found.insert(format!("ledger{group}").parse()?, Group { databases });
    }
    let pool = Pool {
        groups: found.keys().cloned().collect(),
        callers: Vec::new(),
        durability: Default::default(),
        max_age: None,
        patience: Span::from_secs(5),
        long: false,
    };
    let pools = BTreeMap::from([("desk".parse()?, pool)]);
    Ok(Document {
        groups: found,
        pools,
        timing: Timing::default(),
    })
}
