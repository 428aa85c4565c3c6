//! The VMs that run proxies, from the platform's list, which may be out of date.

use crate::types::{DatabaseId, Domain, Life, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A VM on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its name.
    pub vm: VmId,
    /// Where its proxy listens for other proxies.
    pub address: SocketAddr,
    /// The failure domain it runs in.
    pub domain: Domain,
    /// It is about to be stopped and takes over no databases.
    #[serde(default)]
    pub leaving: bool,
}

/// The identity of this proxy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Identity {
    /// The VM's name.
    pub vm: VmId,
    /// The failure domain it runs in.
    pub domain: Domain,
    /// The life (incarnation) of its process.
    pub life: Life,
}

/// The VMs in order of preference for holding `database`: those of its own failure domain first,
/// then the others, both by rendezvous hashing.
///
/// If two lists differ by one VM, only that VM's databases get another first choice, so an
/// outdated list moves few databases. Two holders at once are harmless: they share the database's
/// connections, and the database refuses surplus connections before it runs anything.
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

/// The first `keep` of [`order`], without sorting the rest. With 580 VMs and 1,200 databases a
/// change of the list then blocks the only thread for milliseconds, not for most of 100 ms.
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
