//! Chooses the allocators of an organisation: the VMs that hand out the tokens of its allowance.
//!
//! They are spread over the regions, so that a VM has one near by: a round trip between regions is paid by
//! the byte and takes as long as a statement. Rendezvous hashing, weighted by cores, assigns the organisations,
//! so that a VM that joins or leaves changes the allocators of few of them.

use crate::admission::weight::{Median, Score, score};
use crate::direct::hash;
use crate::direct::view::Peer;
use crate::types::OrganisationId;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The most allocators of one allowance. If one of three fails, two thirds of the allowance stay available.
pub const MAX_ALLOCATORS: usize = 3;

/// One allocator for this many whole operations of the burst. With more, a share holds less than the reserve
/// for urgent operations needs: three buckets of 1.67 can hold no token back.
const BURST_PER_ALLOCATOR: u32 = 4;

/// The most allocators that an allowance with this burst may have.
pub fn limit(burst: u32) -> usize {
    let limit = usize::try_from(burst / BURST_PER_ALLOCATOR).unwrap_or(MAX_ALLOCATORS);
    limit.clamp(1, MAX_ALLOCATORS)
}

/// The relay addresses of an organisation's allocators, the highest ranked of each region first.
/// `limit` is that of the allowance's burst ([`limit`]).
pub fn allocators<'a>(
    peers: impl IntoIterator<Item = &'a Peer, IntoIter: Clone>,
    organisation: &OrganisationId,
    limit: usize,
    region: impl Fn(&'a Peer) -> &'a str,
) -> Vec<SocketAddr> {
    let seed = xxh3_64(organisation.as_str().as_bytes());
    let peers = peers.into_iter();
    let median = Median::of(peers.clone().map(|peer| peer.cores));
    let mut regions: BTreeMap<&str, Vec<(Reverse<Score>, SocketAddr)>> = BTreeMap::new();
    for peer in peers {
        let Some(relay) = peer.relay else {
            continue;
        };
        let hash = xxh3_64_with_seed(&hash::bytes(relay), seed);
        let score = score(hash, median.weigh(peer.cores));
        let ranked = regions.entry(region(peer)).or_default();
        ranked.push((Reverse(score), relay));
    }
    let mut ranked = Vec::new();
    for mut members in regions.into_values() {
        members.sort_unstable();
        members.truncate(MAX_ALLOCATORS);
        let ranks = members.into_iter().enumerate();
        ranked.extend(ranks.map(|(rank, (score, relay))| (rank, score, relay)));
    }
    ranked.sort_unstable();
    ranked.truncate(limit.clamp(1, MAX_ALLOCATORS));
    ranked.into_iter().map(|(_, _, relay)| relay).collect()
}
