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

use crate::direct::view::Fellow;
use crate::types::{DatabaseId, Domain};
use std::cmp::Reverse;
use std::net::SocketAddr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How many VMs own connections to a database where not all do. One that is frozen holds up a third
/// of its statements until it is noticed; with more of them each sees less of the queue.
pub const OWNERS: usize = 3;

/// With this many connections for each VM all VMs have their own: a statement and a transaction at
/// once, which is what few callers need.
const OWN_SHARE: usize = 2;

/// How a VM reaches a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Way {
    /// By connections of its own.
    Own,
    /// Through one of these VMs, the first one first.
    Through(Vec<SocketAddr>),
}

/// The VM that wants to reach a database, and what it knows.
#[derive(Debug, Clone, Copy)]
pub struct Seeker<'a> {
    /// Where it relays itself, if it does.
    pub relay: Option<SocketAddr>,
    /// The VMs that are registered.
    pub fellows: &'a [Fellow],
}

/// A database that is to be reached.
#[derive(Debug, Clone, Copy)]
pub struct Goal<'a> {
    /// Which.
    pub id: &'a DatabaseId,
    /// How many connections it takes.
    pub connections: u32,
}

/// How `seeker` reaches `goal`; `is_near` tells which failure domains are near that.
pub fn way(seeker: Seeker<'_>, goal: Goal<'_>, is_near: impl Fn(&Domain) -> bool) -> Way {
    let enough = seeker.fellows.len() * OWN_SHARE <= goal.connections as usize;
    let owners = match enough {
        true => Vec::new(),
        false => owners(seeker.fellows, goal.id, is_near),
    };
    let own = seeker.relay.is_some_and(|relay| owners.contains(&relay));
    if owners.is_empty() || own {
        return Way::Own;
    }
    Way::Through(spread(owners, seeker.relay, goal.id))
}

/// The owners of a database: of the VMs near it, or of all where there are too few, those that
/// rendezvous hashing puts first. Of two lists that differ by one VM, only that VM's databases get
/// another owner.
pub fn owners(
    fellows: &[Fellow],
    id: &DatabaseId,
    is_near: impl Fn(&Domain) -> bool,
) -> Vec<SocketAddr> {
    let seed = xxh3_64(id.as_str().as_bytes());
    let relays = fellows.iter().filter_map(|fellow| {
        let relay = fellow.relay?;
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
    xxh3_64_with_seed(address.to_string().as_bytes(), seed)
}
