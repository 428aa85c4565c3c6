//! The VMs that run proxies, as the platform's lagging list shows them.

use crate::types::{DatabaseId, Domain, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3;

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

/// The VMs in the order in which they should hold `database`: those of its own failure domain
/// first, by rendezvous hashing within.
///
/// Of two lists that differ by one VM, only that VM's databases get another first choice, so a
/// lagging list moves little, and two holders for a moment are harmless: they share the
/// database's connections, and the database says no to the surplus before it runs anything.
pub fn order<'a>(members: &'a [Member], database: &DatabaseId, domain: &Domain) -> Vec<&'a Member> {
    let mut order: Vec<&Member> = members.iter().filter(|member| !member.leaving).collect();
    order.sort_by_cached_key(|member| {
        (
            member.domain != *domain,
            std::cmp::Reverse(weight(&member.vm, database)),
        )
    });
    order
}

fn weight(vm: &VmId, database: &DatabaseId) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(vm.as_str().as_bytes());
    hash.update(&[0]);
    hash.update(database.as_str().as_bytes());
    hash.digest()
}
