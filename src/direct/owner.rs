//! Which VMs connect to a database, and which of them the others send their statements through.
//!
//! There may be many more VMs than connections to a database (63 VMs to 32, 580 to 30), each with an
//! occasional statement. If all of them connected, nearly every statement would open a connection,
//! which occupies a database slot for 12 ms, and find the database full: under high load 41,013 of
//! 85,439 attempts were refused.
//!
//! So a few owners near the database keep connections to it, and the other VMs relay their statements
//! through an owner. VMs with different lists of VMs may choose different owners. That costs at most a
//! connection, never correctness, because an owner only forwards statements and checks no lease.

use crate::admission::weight::{self, Median};
use crate::direct::hash;
use crate::direct::view::Peer;
use crate::types::{DatabaseId, Domain, OrganisationId};
use std::cmp::Reverse;
use std::net::SocketAddr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How many VMs own connections to a database if not all do. A frozen owner delays a third of the
/// statements until it is detected; with more owners each one would see a smaller part of the queue.
pub const MAX_OWNERS: usize = 3;

/// With at least this many connections per VM, every VM connects directly. Two are enough for a
/// statement and a transaction at once.
const MIN_CONNECTIONS_PER_VM: usize = 2;

/// The percentage of its share of a database's connections that a VM keeps open between statements.
const KEPT_OPEN_PERCENT: u32 = 66;

/// How a VM reaches a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Way {
    /// Through its own connections.
    Own,
    /// Through one of these VMs, tried in this order, and then through its own connections.
    Through(Vec<SocketAddr>),
}

/// A database to connect to.
#[derive(Debug, Clone, Copy)]
pub struct Destination<'a> {
    /// Its id.
    pub id: &'a DatabaseId,
    /// The number of connections that it accepts.
    pub connections: u32,
}

/// Which VMs connect to a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// All VMs.
    All,
    /// Only these VMs.
    Owners(Vec<SocketAddr>),
}

/// Which VMs connect to `destination`; `is_near` returns whether a failure domain is near it.
pub fn access(
    peers: &[Peer],
    destination: Destination<'_>,
    is_near: impl Fn(&Domain) -> bool,
) -> Access {
    if peers.len() * MIN_CONNECTIONS_PER_VM <= destination.connections as usize {
        return Access::All;
    }
    match owners(peers, destination.id, is_near) {
        owners if owners.is_empty() => Access::All,
        owners => Access::Owners(owners),
    }
}

impl Access {
    /// How many of a database's `connections` each of `vms` VMs may keep open.
    ///
    /// The rest is left for transactions, and for VMs that restart after a power loss while the
    /// database still counts the connections of their previous processes for some seconds.
    pub fn max_kept(&self, connections: u32, vms: usize) -> u32 {
        let sharers = match self {
            Self::All => vms.max(1),
            Self::Owners(owners) => owners.len(),
        };
        let share = connections / u32::try_from(sharers).unwrap_or(u32::MAX);
        // Without a configuration the number of connections is unbounded.
        share.saturating_mul(KEPT_OPEN_PERCENT) / 100
    }

    /// How a VM with relay address `relay` reaches the database `id`, for no particular organisation.
    pub fn way(&self, relay: Option<SocketAddr>, id: &DatabaseId) -> Way {
        let Self::Owners(owners) = self else {
            return Way::Own;
        };
        if relay.is_some_and(|relay| owners.contains(&relay)) {
            return Way::Own;
        }
        Way::Through(spread(owners.clone(), relay, id))
    }

    /// How a VM with relay address `relay` reaches the database `id` on behalf of an organisation.
    ///
    /// A connection serves one organisation, there are more organisations than connections, and opening
    /// one takes as much slot time as a short statement. So all VMs send an organisation's statements to
    /// the same owner first, where it is likely to have an open connection. Organisations are spread
    /// over the owners; the other owners are fallbacks. They are spread evenly, without regard to cores, because
    /// the owners have equal shares of the connections.
    pub fn way_for(
        &self,
        relay: Option<SocketAddr>,
        id: &DatabaseId,
        organisation: &OrganisationId,
    ) -> Way {
        let Self::Owners(owners) = self else {
            return Way::Own;
        };
        let seed = xxh3_64_with_seed(
            organisation.as_str().as_bytes(),
            xxh3_64(id.as_str().as_bytes()),
        );
        let mut owners = owners.clone();
        owners.sort_by_cached_key(|owner| Reverse(hash_of(*owner, seed)));
        if let Some(own) = owners.iter().position(|owner| Some(*owner) == relay) {
            owners.truncate(own);
        }
        match owners.is_empty() {
            true => Way::Own,
            false => Way::Through(owners),
        }
    }
}

/// The owners of a database: the first VMs near it by rendezvous hashing, weighted by their cores, and VMs
/// further away if those are too few. If one VM joins or leaves, only the databases that it owns change owners.
pub fn owners(
    peers: &[Peer],
    id: &DatabaseId,
    is_near: impl Fn(&Domain) -> bool,
) -> Vec<SocketAddr> {
    let seed = xxh3_64(id.as_str().as_bytes());
    let median = Median::of(peers.iter().map(|peer| peer.cores));
    let relays = peers.iter().filter_map(|peer| {
        let relay = peer.serves()?;
        let far = !is_near(&peer.domain);
        let score = weight::score(hash_of(relay, seed), median.weigh(peer.cores));
        Some((far, Reverse(score), relay))
    });
    let mut relays: Vec<_> = relays.collect();
    if relays.len() > MAX_OWNERS {
        relays.select_nth_unstable(MAX_OWNERS - 1);
        relays.truncate(MAX_OWNERS);
    }
    relays.sort_unstable();
    relays.into_iter().map(|(_, _, relay)| relay).collect()
}

/// Rotates the owners by a hash of this VM, so that the VMs spread over them.
fn spread(
    mut owners: Vec<SocketAddr>,
    relay: Option<SocketAddr>,
    id: &DatabaseId,
) -> Vec<SocketAddr> {
    let seed = xxh3_64(id.as_str().as_bytes());
    let turn = relay.map_or_else(rand::random, |relay| hash_of(relay, seed));
    let start = turn % owners.len() as u64;
    owners.rotate_left(start as usize);
    owners
}

fn hash_of(address: SocketAddr, seed: u64) -> u64 {
    xxh3_64_with_seed(&hash::bytes(address), seed)
}
