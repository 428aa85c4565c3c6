//! Which VMs connect to a database, and which of them this VM sends its statements through.
//!
//! **Pattern answered.** Many more VMs than a database has connections: 63 VMs before 32, 580 before
//! 30, each with a statement now and then.
//! **Without it** nearly every statement opens a connection, which costs a database's slot for 12 ms,
//! and finds the database full: on a day of high load 41,013 attempts of 85,439 were refused.
//!
//! A few owners near the database have connections and keep them busy; the others relay their
//! statements through one of them. Two VMs that know of other VMs may both own a database, or neither:
//! that costs a connection, never correctness, since an owner believes nothing and only passes on.

use crate::direct::hash;
use crate::direct::view::Peer;
use crate::types::{DatabaseId, Domain, OrganisationId};
use std::cmp::Reverse;
use std::net::SocketAddr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How many VMs own connections to a database where not all do. One that is frozen holds up a third
/// of its statements until it is noticed; with more of them each sees less of the queue.
pub const OWNERS: usize = 3;

/// With this many connections for each VM all VMs have their own: a statement and a transaction at
/// once, which is what few callers need.
const OWN_SHARE: usize = 2;

/// The part of a VM's share of a database's connections that it keeps open between statements.
const KEPT_PERCENT: u32 = 66;

/// How a VM reaches a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Way {
    /// By connections of its own.
    Own,
    /// Through one of these VMs, the first one first, and then by connections of its own.
    Through(Vec<SocketAddr>),
}

/// A database that is to be reached.
#[derive(Debug, Clone, Copy)]
pub struct Goal<'a> {
    /// Which.
    pub id: &'a DatabaseId,
    /// How many connections it takes.
    pub connections: u32,
}

/// Which VMs connect to a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// All of them.
    All,
    /// These.
    Owners(Vec<SocketAddr>),
}

/// Which VMs connect to `goal`; `is_near` tells which failure domains are near that.
pub fn access(fellows: &[Peer], goal: Goal<'_>, is_near: impl Fn(&Domain) -> bool) -> Access {
    if fellows.len() * OWN_SHARE <= goal.connections as usize {
        return Access::All;
    }
    match owners(fellows, goal.id, is_near) {
        owners if owners.is_empty() => Access::All,
        owners => Access::Owners(owners),
    }
}

impl Access {
    /// How many of a database's `connections` one VM may keep open of `vms`.
    ///
    /// **Pattern answered.** Connections that are kept for the next statement of an organisation take
    /// all that a database has. **Without it** transactions find it full, and after a loss of power the
    /// VMs that start again find no place beside those of the dead, which count for some seconds.
    pub fn places(&self, connections: u32, vms: usize) -> u32 {
        let sharers = match self {
            Self::All => vms.max(1),
            Self::Owners(owners) => owners.len(),
        };
        let share = connections / u32::try_from(sharers).unwrap_or(u32::MAX);
        // Without a configuration the number of connections is not bounded.
        share.saturating_mul(KEPT_PERCENT) / 100
    }

    /// How a VM that relays at `relay` reaches the database `id`, for anybody.
    pub fn way(&self, relay: Option<SocketAddr>, id: &DatabaseId) -> Way {
        let Self::Owners(owners) = self else {
            return Way::Own;
        };
        if relay.is_some_and(|relay| owners.contains(&relay)) {
            return Way::Own;
        }
        Way::Through(spread(owners.clone(), relay, id))
    }

    /// The same on behalf of an organisation.
    ///
    /// **Pattern answered.** A connection serves one organisation, there are more organisations than
    /// connections, and opening one takes as much of a slot as a short statement. **Without it** an
    /// organisation's statements come to any owner and find no connection of theirs there. **Why it
    /// suffices.** All VMs send an organisation's statements to the same owner first, its neighbours' to
    /// others; the rest are its spares.
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
        owners.sort_by_cached_key(|owner| Reverse(weight(*owner, seed)));
        if let Some(own) = owners.iter().position(|owner| Some(*owner) == relay) {
            owners.truncate(own);
        }
        match owners.is_empty() {
            true => Way::Own,
            false => Way::Through(owners),
        }
    }
}

/// The owners of a database: of the VMs near it, or of all where there are too few, those that
/// rendezvous hashing puts first. Of two lists that differ by one VM, only that VM's databases get
/// another owner.
pub fn owners(
    fellows: &[Peer],
    id: &DatabaseId,
    is_near: impl Fn(&Domain) -> bool,
) -> Vec<SocketAddr> {
    let seed = xxh3_64(id.as_str().as_bytes());
    let relays = fellows.iter().filter_map(|fellow| {
        let relay = fellow.serves()?;
        let far = !is_near(&fellow.domain);
        Some((far, Reverse(weight(relay, seed)), relay))
    });
    let mut relays: Vec<_> = relays.collect();
    if relays.len() > OWNERS {
        relays.select_nth_unstable(OWNERS - 1);
        relays.truncate(OWNERS);
    }
    relays.sort_unstable();
    relays.into_iter().map(|(_, _, relay)| relay).collect()
}

/// Each VM begins with another owner, so that each owner has its share.
fn spread(
    mut owners: Vec<SocketAddr>,
    relay: Option<SocketAddr>,
    id: &DatabaseId,
) -> Vec<SocketAddr> {
    let seed = xxh3_64(id.as_str().as_bytes());
    let turn = relay.map_or_else(rand::random, |relay| weight(relay, seed));
    let start = turn % owners.len() as u64;
    owners.rotate_left(start as usize);
    owners
}

fn weight(address: SocketAddr, seed: u64) -> u64 {
    xxh3_64_with_seed(&hash::bytes(address), seed)
}
