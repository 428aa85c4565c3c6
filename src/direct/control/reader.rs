//! Which VMs read the store on behalf of others, and which VMs the others ask.
//!
//! Hundreds of VMs need the same rows, all at once when the steward's updates stay away, or when
//! the operator changes the configuration a dozen times within seconds. If each VM read the store
//! for itself, 195 VMs would make 8,000 to 10,000 calls in a day with faults, and receive 40 KB
//! each second, which keeps a VM's link and an eighth of a core busy just when the steward is late.
//! Therefore [`READERS_PER_DOMAIN`] VMs read in each failure domain, so that the answer comes from
//! nearby and one of them may be lost. Up to [`MAX_ALL_READ`] VMs all read the store: that costs
//! less than the readers of six domains.
//!
//! This only affects cost: a VM that receives nothing reads for itself, so VMs whose lists differ
//! make an extra call, and nothing worse.

use crate::direct::hash;
use crate::direct::view::Peer;
use crate::types::Domain;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// How many VMs of each failure domain read the store.
pub const READERS_PER_DOMAIN: usize = 2;

/// With this many VMs or fewer, each reads the store for itself.
pub const MAX_ALL_READ: usize = 16;

/// How many VMs fetch long lists from the same VM.
pub const CHILDREN: usize = 4;

/// Returns whether the VM at `own` reads the store for itself and for others. A VM that is not in
/// the list reads, as it has no reliable list.
pub fn reads(peers: &[Peer], own: SocketAddr) -> bool {
    let known = peers.iter().any(|peer| peer.address == own);
    peers.len() <= MAX_ALL_READ || !known || readers_of_domain(peers, own).contains(&own)
}

/// Returns the VMs of its domain that `own` asks for what it does not read itself.
pub fn near(peers: &[Peer], own: SocketAddr) -> Vec<SocketAddr> {
    let mut readers = readers_of_domain(peers, own);
    readers.retain(|reader| *reader != own);
    readers
}

/// Returns the VMs that `own` fetches long lists from, in order of preference: its parent in a tree
/// of its failure domain, then the parent's parent, up to a reader. Empty for a reader, which
/// fetches from the store.
///
/// For a start of all VMs, and for a change of a long configuration. Each VM has at most
/// [`CHILDREN`] children, so the load of one VM does not grow with the fleet, and the depth grows
/// with its logarithm.
pub fn ancestors(peers: &[Peer], own: SocketAddr) -> Vec<SocketAddr> {
    if peers.len() <= MAX_ALL_READ {
        return Vec::new();
    }
    let ranked = ranked(in_same_domain(peers, own));
    let mut rank = ranked.iter().position(|address| *address == own);
    let mut ancestors = Vec::new();
    // The first ranks are the roots; the children of each rank are numbered after them.
    while let Some(child) = rank.and_then(|rank| rank.checked_sub(READERS_PER_DOMAIN)) {
        let parent = child / CHILDREN;
        ancestors.push(ranked[parent]);
        rank = Some(parent);
    }
    ancestors
}

/// Returns the readers of other failure domains.
pub fn far(peers: &[Peer], own: SocketAddr) -> Vec<SocketAddr> {
    let near = readers_of_domain(peers, own);
    let mut readers = all(peers);
    readers.retain(|reader| !near.contains(reader));
    readers.into_iter().collect()
}

/// Returns the readers of all failure domains, or all VMs if they are few.
pub fn all(peers: &[Peer]) -> BTreeSet<SocketAddr> {
    if peers.len() <= MAX_ALL_READ {
        return peers.iter().map(|peer| peer.address).collect();
    }
    by_domain(peers).flat_map(select_readers).collect()
}

/// Returns one VM of each failure domain that is not a reader, if there is one; `choose` picks an
/// index below a length.
pub fn one_more_each(
    peers: &[Peer],
    mut choose: impl FnMut(usize) -> usize,
) -> BTreeSet<SocketAddr> {
    let readers = all(peers);
    let domains = by_domain(peers).filter_map(|domain| {
        let others = domain.iter().map(|peer| peer.address);
        let others: Vec<_> = others.filter(|a| !readers.contains(a)).collect();
        (!others.is_empty()).then(|| others[choose(others.len())])
    });
    domains.collect()
}

fn by_domain(peers: &[Peer]) -> impl Iterator<Item = Vec<&Peer>> {
    let mut domains = BTreeMap::<&Domain, Vec<&Peer>>::new();
    for peer in peers {
        let domain = domains.entry(&peer.domain).or_default();
        domain.push(peer);
    }
    domains.into_values()
}

fn readers_of_domain(peers: &[Peer], own: SocketAddr) -> Vec<SocketAddr> {
    select_readers(in_same_domain(peers, own))
}

fn in_same_domain(peers: &[Peer], own: SocketAddr) -> Vec<&Peer> {
    let domain = peers.iter().find(|f| f.address == own).map(|f| &f.domain);
    let near = peers.iter().filter(|f| Some(&f.domain) == domain);
    near.collect()
}

/// Returns the readers among the VMs of a failure domain: those with the most cores, and of these
/// the first ones by a hash, so that they are not also the first VMs in other lists.
fn select_readers(peers: Vec<&Peer>) -> Vec<SocketAddr> {
    let mut ranked = ranked(peers);
    ranked.truncate(READERS_PER_DOMAIN);
    ranked
}

fn ranked(mut peers: Vec<&Peer>) -> Vec<SocketAddr> {
    peers.sort_by_cached_key(|peer| {
        let address = peer.address;
        (Reverse(peer.cores), Reverse(hash_weight(address)), address)
    });
    peers.into_iter().map(|peer| peer.address).collect()
}

fn hash_weight(address: SocketAddr) -> u64 {
    xxh3_64(&hash::bytes(address))
}
