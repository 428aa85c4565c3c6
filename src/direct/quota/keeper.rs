//! Which VMs keep an organisation's allowance.
//!
//! One in each region, so that whoever asks has a keeper near by: a round trip between regions is paid by
//! the byte and takes as long as a statement. Rendezvous hashing deals the organisations out, so that a
//! VM that comes or goes changes the keepers of few of them.

use crate::direct::hash;
use crate::direct::view::Fellow;
use crate::types::OrganisationId;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How many VMs keep an allowance: with the loss of one, two thirds of it go on.
pub const KEEPERS: usize = 3;

/// The keepers of an organisation's allowance, by where they relay: the best of each region first.
/// `most` is no more than the operations that may come at once, as a share of less than one hands
/// nothing out.
pub fn keepers<'a>(
    fellows: impl IntoIterator<Item = &'a Fellow>,
    organisation: &OrganisationId,
    most: usize,
    region: impl Fn(&'a Fellow) -> &'a str,
) -> Vec<SocketAddr> {
    let seed = xxh3_64(organisation.as_str().as_bytes());
    let mut regions: BTreeMap<&str, Vec<(Reverse<u64>, SocketAddr)>> = BTreeMap::new();
    for fellow in fellows {
        let Some(relay) = fellow.relay else {
            continue;
        };
        let weight = xxh3_64_with_seed(&hash::bytes(relay), seed);
        let ranked = regions.entry(region(fellow)).or_default();
        ranked.push((Reverse(weight), relay));
    }
    let mut ranked = Vec::new();
    for mut members in regions.into_values() {
        members.sort_unstable();
        members.truncate(KEEPERS);
        let places = members.into_iter().enumerate();
        ranked.extend(places.map(|(place, (weight, relay))| (place, weight, relay)));
    }
    ranked.sort_unstable();
    ranked.truncate(most.clamp(1, KEEPERS));
    ranked.into_iter().map(|(_, _, relay)| relay).collect()
}
