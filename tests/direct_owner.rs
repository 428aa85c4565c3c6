//! Which VMs own connections to a database, and through which owners the others reach it.

use lentilspoke::direct::owner::{Access, Destination, MAX_OWNERS, Way, access, owners};
use lentilspoke::direct::view::Peer;
use lentilspoke::types::{Cores, DatabaseId, Domain};
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn relay(number: usize) -> SocketAddr {
    format!("10.{}.0.{}:7455", number % 6, number)
        .parse()
        .unwrap()
}

/// VMs in six failure domains.
fn peers(count: usize) -> Vec<Peer> {
    let peer = |number| Peer {
        address: format!("10.{}.0.{number}:7000", number % 6)
            .parse()
            .unwrap(),
        relay: Some(relay(number)),
        domain: format!("d{}", number % 6).parse().unwrap(),
        cores: Cores::default(),
        evicted: false,
    };
    (0..count).map(peer).collect()
}

fn database(number: usize) -> DatabaseId {
    format!("i-{number}").parse().unwrap()
}

/// The failure domains d0 and d3 form one region.
fn is_near(domain: &Domain) -> bool {
    ["d0", "d3"].contains(&domain.as_str())
}

fn way_of(vm: usize, peers: &[Peer], id: &DatabaseId, connections: u32) -> Way {
    access(peers, Destination { id, connections }, is_near).way(Some(relay(vm)), id)
}

#[test]
fn few_vms_have_connections_of_their_own() {
    let (id, peers) = (database(1), peers(8));
    assert_eq!(way_of(1, &peers, &id, 23), Way::Own);
    assert!(matches!(way_of(1, &peers, &id, 15), Way::Through(_)));
}

/// With 63 VMs and 32 connections, each database has three owners in its own region. All other VMs go
/// through these, and each owner is the first choice of a fair share of the VMs.
#[test]
fn many_vms_go_through_owners_near_the_database() {
    let peers = peers(63);
    let mut owned = BTreeMap::<SocketAddr, usize>::new();
    for number in 0..24 {
        let id = database(number);
        let owners = owners(&peers, &id, is_near);
        assert_eq!(owners.len(), MAX_OWNERS);
        for owner in &owners {
            let owner = peers.iter().find(|f| f.relay == Some(*owner)).unwrap();
            assert!(is_near(&owner.domain));
            *owned.entry(owner.relay.unwrap()).or_default() += 1;
        }
        let mut first = BTreeMap::<SocketAddr, usize>::new();
        for vm in 0..63 {
            match way_of(vm, &peers, &id, 32) {
                Way::Own => assert!(owners.contains(&relay(vm))),
                Way::Through(list) => {
                    assert!(list.iter().all(|owner| owners.contains(owner)));
                    *first.entry(list[0]).or_default() += 1;
                }
            }
        }
        assert!(
            first.values().all(|share| (8..=35).contains(share)),
            "{first:?}"
        );
    }
    assert!(owned.values().all(|share| *share <= 10), "{owned:?}");
    assert!(owned.len() >= 18, "{owned:?}");
}

/// When a VM is lost, each of its databases gets one new owner; no other owner changes.
#[test]
fn a_lost_vm_moves_its_own_databases_only() {
    let all = peers(63);
    for number in 0..24 {
        let id = database(number);
        let before = owners(&all, &id, is_near);
        let lost = before[0];
        let left: Vec<_> = all
            .iter()
            .filter(|f| f.relay != Some(lost))
            .cloned()
            .collect();
        let after = owners(&left, &id, is_near);
        assert!(before[1..].iter().all(|owner| after.contains(owner)));
        assert_eq!(after.len(), MAX_OWNERS);
    }
}

/// When a whole region is lost, its databases get owners in other regions.
#[test]
fn databases_of_a_lost_region_have_owners() {
    let left: Vec<_> = peers(63)
        .into_iter()
        .filter(|f| !is_near(&f.domain))
        .collect();
    assert_eq!(owners(&left, &database(1), is_near).len(), MAX_OWNERS);
}

/// If no VM relays, as in an earlier release, every VM connects directly.
#[test]
fn vms_connect_directly_if_none_relays() {
    let mut peers = peers(63);
    peers.iter_mut().for_each(|peer| peer.relay = None);
    assert_eq!(way_of(1, &peers, &database(1), 32), Way::Own);
}

/// Which VMs connect to a database of 48 connections.
fn shared(peers: &[Peer], id: &DatabaseId) -> Access {
    let connections = 48;
    access(peers, Destination { id, connections }, is_near)
}

/// A database has 48 connections for 85 VMs. All VMs, including its other two owners, send an organisation's
/// statements to the same owner first. Organisations are spread evenly over the three owners.
#[test]
fn all_vms_send_an_organisation_to_the_same_owner() {
    let (id, peers) = (database(1), peers(85));
    let access = shared(&peers, &id);
    let mut firsts = BTreeMap::<SocketAddr, usize>::new();
    for number in 0..90 {
        let organisation = format!("o{number}").parse().unwrap();
        let first = |vm| match access.way_for(Some(relay(vm)), &id, &organisation) {
            Way::Own => relay(vm),
            Way::Through(owners) => owners[0],
        };
        let owner = first(0);
        assert!((0..85).all(|vm| first(vm) == owner));
        *firsts.entry(owner).or_default() += 1;
    }
    assert_eq!(firsts.len(), MAX_OWNERS);
    assert!(
        firsts.values().all(|count| (18..=42).contains(count)),
        "{firsts:?}"
    );
}

/// The connections that three owners keep open leave a third to transactions, to VMs that reach no owner,
/// and to VMs that restart after a power loss.
#[test]
fn owners_keep_a_part_of_the_connections() {
    let (id, peers) = (database(1), peers(85));
    let access = shared(&peers, &id);
    assert_eq!(access.max_kept(48, 85) * MAX_OWNERS as u32, 30);
}

/// Guards against an overflow on a VM that has no configuration yet, for which the number of connections is
/// unbounded.
#[test]
fn places_of_an_unbounded_database() {
    assert!(Access::All.max_kept(u32::MAX, 1) > 0);
}
