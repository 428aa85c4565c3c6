//! The VMs that run proxies, as the platform's lagging list shows them.

use crate::types::{DatabaseId, Domain, Life, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// One VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its name.
    pub vm: VmId,
    /// Where its proxy listens for other proxies.
    pub address: SocketAddr,
    /// The failure domain it runs in.
    pub domain: Domain,
    /// It is about to be stopped and takes over nothing.
    #[serde(default)]
    pub leaving: bool,
}

/// Which proxy this is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Identity {
    /// The VM's name.
    pub vm: VmId,
    /// The failure domain it runs in.
    pub domain: Domain,
    /// The life of its process.
    pub life: Life,
}

/// The VMs in the order in which they should hold `database`: those of its own failure domain
/// first, by rendezvous hashing within.
///
/// Of two lists that differ by one VM, only that VM's databases get another first choice, so a
/// lagging list moves little, and two holders for a moment are harmless: they share the
/// database's connections, and the database says no to the surplus before it runs anything.
pub fn order<'a>(members: &'a [Member], database: &DatabaseId, domain: &Domain) -> Vec<&'a Member> {
    let seed = seed(database);
    let mut order: Vec<&Member> = members.iter().filter(|member| !member.leaving).collect();
    order.sort_by_cached_key(|member| {
        (
            member.domain != *domain,
            std::cmp::Reverse(weight(&member.vm, seed)),
        )
    });
    order
}

/// The first `keep` of [`order`], without sorting the rest: with 580 VMs and 1,200 databases a
/// change of the list costs milliseconds rather than most of a tenth of a second, during which
/// the one thread would serve nobody.
pub fn first<'a>(
    members: &'a [Member],
    database: &DatabaseId,
    domain: &Domain,
    keep: usize,
) -> Vec<&'a Member> {
    let seed = seed(database);
    let near = members
        .iter()
        .filter(|member| member.domain == *domain && !member.leaving);
    let mut near: Vec<(u64, &Member)> = near
        .map(|member| (weight(&member.vm, seed), member))
        .collect();
    if near.len() < keep {
        let mut order = order(members, database, domain);
        order.truncate(keep);
        return order;
    }
    near.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    near.truncate(keep);
    near.into_iter().map(|(_, member)| member).collect()
}

fn seed(database: &DatabaseId) -> u64 {
    xxh3_64(database.as_str().as_bytes())
}

fn weight(vm: &VmId, seed: u64) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), seed)
}
