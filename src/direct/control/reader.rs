//! Which VMs read the store on behalf of others, and whom the others ask.
//!
//! **Pattern answered.** Hundreds of VMs need the same rows, and all miss the steward's word at one
//! moment; or the operator changes the configuration a dozen times within seconds.
//! **Without it** each VM reads the store for itself: with 195 VMs 8,000 to 10,000 calls a day of
//! trouble, and 40 KB an answer to each of them each second, which keeps a VM's link and an eighth of
//! a core busy just when the steward is late.
//! **Thresholds.** [`EACH`] in a failure domain, so that the word comes from near by and one may be
//! lost. Up to [`FEW`] VMs all read, as they did: that is less than the readers of six domains ask.
//!
//! A choice of cost alone: whoever is told nothing reads for itself, so two lists that differ cost a
//! call, never correctness.

use crate::direct::hash;
use crate::direct::view::Peer;
use crate::types::Domain;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// How many VMs of each failure domain read.
pub const EACH: usize = 2;

/// With this many VMs or fewer each reads for itself.
pub const FEW: usize = 16;

/// How many VMs fetch long lists from the same one.
pub const CHILDREN: usize = 4;

/// Whether the VM that listens at `own` reads for itself and for others. One that is not in the list
/// does not know better.
pub fn reads(fellows: &[Peer], own: SocketAddr) -> bool {
    let known = fellows.iter().any(|fellow| fellow.address == own);
    fellows.len() <= FEW || !known || of_domain(fellows, own).contains(&own)
}

/// The VMs to ask for what `own` does not read itself.
pub fn near(fellows: &[Peer], own: SocketAddr) -> Vec<SocketAddr> {
    let mut readers = of_domain(fellows, own);
    readers.retain(|reader| *reader != own);
    readers
}

/// The VMs that `own` fetches long lists from, in order of preference: its parent in a tree of its failure
/// domain, then the parent's parent, up to a reader. Empty for a reader, which fetches from the store.
///
/// Answers a start of all VMs, and a change of a long configuration. Each VM has at most [`CHILDREN`], so the
/// load of one VM does not grow with the fleet, and the depth grows with its logarithm.
pub fn ancestors(fellows: &[Peer], own: SocketAddr) -> Vec<SocketAddr> {
    if fellows.len() <= FEW {
        return Vec::new();
    }
    let ranked = ranked(of_same_domain(fellows, own));
    let mut rank = ranked.iter().position(|address| *address == own);
    let mut ancestors = Vec::new();
    // The first ranks are the roots; the children of each rank are numbered after them.
    while let Some(child) = rank.and_then(|rank| rank.checked_sub(EACH)) {
        let parent = child / CHILDREN;
        ancestors.push(ranked[parent]);
        rank = Some(parent);
    }
    ancestors
}

/// The readers of other failure domains.
pub fn far(fellows: &[Peer], own: SocketAddr) -> Vec<SocketAddr> {
    let near = of_domain(fellows, own);
    let mut readers = all(fellows);
    readers.retain(|reader| !near.contains(reader));
    readers.into_iter().collect()
}

/// The readers of all failure domains; all VMs where there are few.
pub fn all(fellows: &[Peer]) -> BTreeSet<SocketAddr> {
    if fellows.len() <= FEW {
        return fellows.iter().map(|fellow| fellow.address).collect();
    }
    let mut domains = BTreeMap::<&Domain, Vec<&Peer>>::new();
    for fellow in fellows {
        let domain = domains.entry(&fellow.domain).or_default();
        domain.push(fellow);
    }
    domains.into_values().flat_map(first).collect()
}

fn of_domain(fellows: &[Peer], own: SocketAddr) -> Vec<SocketAddr> {
    first(of_same_domain(fellows, own))
}

fn of_same_domain(fellows: &[Peer], own: SocketAddr) -> Vec<&Peer> {
    let domain = fellows.iter().find(|f| f.address == own).map(|f| &f.domain);
    let near = fellows.iter().filter(|f| Some(&f.domain) == domain);
    near.collect()
}

/// Those of a failure domain that have most processor, and of these the ones that hashing puts first, so
/// that its readers are not the VMs that come first in other lists as well.
fn first(fellows: Vec<&Peer>) -> Vec<SocketAddr> {
    let mut ranked = ranked(fellows);
    ranked.truncate(EACH);
    ranked
}

fn ranked(mut fellows: Vec<&Peer>) -> Vec<SocketAddr> {
    fellows.sort_by_cached_key(|fellow| {
        let address = fellow.address;
        (Reverse(fellow.cores), Reverse(weight(address)), address)
    });
    fellows.into_iter().map(|fellow| fellow.address).collect()
}

fn weight(address: SocketAddr) -> u64 {
    xxh3_64(&hash::bytes(address))
}
