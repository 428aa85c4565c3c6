//! Which VMs own connections to a database, and through whom the others reach it.

use lentilspoke::direct::owner::{Access, Goal, OWNERS, Way, access, owners};
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
fn fellows(count: usize) -> Vec<Peer> {
    let fellow = |number| Peer {
        address: format!("10.{}.0.{number}:7000", number % 6)
            .parse()
            .unwrap(),
        relay: Some(relay(number)),
        domain: format!("d{}", number % 6).parse().unwrap(),
        cores: Cores::default(),
        evicted: false,
    };
    (0..count).map(fellow).collect()
}

fn database(number: usize) -> DatabaseId {
    format!("i-{number}").parse().unwrap()
}

/// Failure domains d0 and d3 are one region.
fn is_near(domain: &Domain) -> bool {
    ["d0", "d3"].contains(&domain.as_str())
}

fn way_of(vm: usize, fellows: &[Peer], id: &DatabaseId, connections: u32) -> Way {
    access(fellows, Goal { id, connections }, is_near).way(Some(relay(vm)), id)
}

#[test]
fn few_vms_have_connections_of_their_own() {
    let (id, fellows) = (database(1), fellows(8));
    assert_eq!(way_of(1, &fellows, &id, 23), Way::Own);
    assert!(matches!(way_of(1, &fellows, &id, 15), Way::Through(_)));
}

/// With 63 VMs before 32 connections each database has three owners in its own region; all others
/// go through one of these, each of which is the first choice of its share.
#[test]
fn many_vms_go_through_owners_near_the_database() {
    let fellows = fellows(63);
    let mut owned = BTreeMap::<SocketAddr, usize>::new();
    for number in 0..24 {
        let id = database(number);
        let owners = owners(&fellows, &id, is_near);
        assert_eq!(owners.len(), OWNERS);
        for owner in &owners {
            let owner = fellows.iter().find(|f| f.relay == Some(*owner)).unwrap();
            assert!(is_near(&owner.domain));
            *owned.entry(owner.relay.unwrap()).or_default() += 1;
        }
        let mut first = BTreeMap::<SocketAddr, usize>::new();
        for vm in 0..63 {
            match way_of(vm, &fellows, &id, 32) {
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

/// A VM is lost, and its databases get another owner each; no other owner changes.
#[test]
fn a_lost_vm_moves_its_own_databases_only() {
    let all = fellows(63);
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
        assert_eq!(after.len(), OWNERS);
    }
}

/// A whole region is lost: its databases are owned from elsewhere, and none is left without.
#[test]
fn databases_of_a_lost_region_have_owners() {
    let left: Vec<_> = fellows(63)
        .into_iter()
        .filter(|f| !is_near(&f.domain))
        .collect();
    assert_eq!(owners(&left, &database(1), is_near).len(), OWNERS);
}

/// VMs of a former release relay nothing: whoever knows only these connects by itself.
#[test]
fn nobody_relays() {
    let mut fellows = fellows(63);
    fellows.iter_mut().for_each(|fellow| fellow.relay = None);
    assert_eq!(way_of(1, &fellows, &database(1), 32), Way::Own);
}

/// Who connects to a database of 48 connections.
fn shared(fellows: &[Peer], id: &DatabaseId) -> Access {
    let connections = 48;
    access(fellows, Goal { id, connections }, is_near)
}

/// A database of 48 connections before 85 VMs. All VMs send an organisation's statements to one of its three
/// owners first, an owner that is not that one too; organisations are dealt to all three alike.
#[test]
fn an_organisation_meets_its_connections() {
    let (id, fellows) = (database(1), fellows(85));
    let access = shared(&fellows, &id);
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
    assert_eq!(firsts.len(), OWNERS);
    assert!(
        firsts.values().all(|count| (18..=42).contains(count)),
        "{firsts:?}"
    );
}

/// What three owners keep open leaves a third of the connections to transactions, to VMs that find no
/// owner, and to successors of VMs that lost power.
#[test]
fn owners_keep_a_part_of_the_connections() {
    let (id, fellows) = (database(1), fellows(85));
    let access = shared(&fellows, &id);
    assert_eq!(access.places(48, 85) * OWNERS as u32, 30);
}

/// Guards against an overflow at a VM that starts and does not know yet how many connections there are.
#[test]
fn places_of_an_unbounded_database() {
    assert!(Access::All.places(u32::MAX, 1) > 0);
}
