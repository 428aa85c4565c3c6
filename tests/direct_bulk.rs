//! Tests of which VMs read the store in fleets whose register and configuration are too long to be
//! sent to all VMs.

mod scene;

use lentilspoke::direct::control::reader::{self, CHILDREN};
use lentilspoke::direct::view::Peer;
use lentilspoke::standin::direct::fault::Fault;
use lentilspoke::standin::direct::group::REGISTER;
use lentilspoke::standin::direct::setup::Setup;
use lentilspoke::types::Cores;
use scene::{Scene, play};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Enough VMs for a large fleet, and enough groups for a long register.
const VMS: usize = 60;
const GROUPS: usize = 700;

/// How many VMs may read long lists from the store: two in each of three failure domains, the
/// seeds, and at a first start those that know too few others to ask.
const READERS: usize = 9 + reader::MAX_ALL_READ;

fn fleet() -> Setup {
    Setup {
        vms: VMS,
        groups: GROUPS,
        ..Setup::default()
    }
}

fn ready(scene: &Scene) -> usize {
    let vms = scene.world.running();
    vms.iter().filter(|vm| scene.world.is_ready(vm)).count()
}

fn peers(domains: usize, each: usize) -> Vec<Peer> {
    let peer = |domain: usize, host: usize| Peer {
        address: SocketAddr::from((
            [10, domain as u8, (host / 250) as u8, (host % 250) as u8],
            7_440,
        )),
        relay: None,
        domain: format!("domain{domain}").parse().unwrap(),
        cores: Cores::from_thousandths(if host < 10 { 1_000 } else { 120 }),
        evicted: false,
    };
    let peers = (0..domains).flat_map(|domain| (0..each).map(move |host| peer(domain, host)));
    peers.collect()
}

/// What one VM or the store sends does not grow with the fleet, and the depth of the tree grows
/// with its logarithm.
#[test]
fn no_vm_has_many_children() {
    let shapes = [42, 165, 330].map(|each| {
        let peers = peers(6, each);
        let mut children = BTreeMap::<SocketAddr, usize>::new();
        let (mut roots, mut steps) = (0, 0);
        for peer in &peers {
            let ancestors = reader::ancestors(&peers, peer.address);
            steps = steps.max(ancestors.len());
            match ancestors.first() {
                Some(parent) => *children.entry(*parent).or_default() += 1,
                None => roots += 1,
            }
        }
        assert!(children.values().all(|count| *count <= CHILDREN));
        format!("{} VMs: {roots} read the store, {steps} steps", peers.len())
    });
    insta::assert_debug_snapshot!(shapes, @r#"
    [
        "252 VMs: 12 read the store, 2 steps",
        "990 VMs: 12 read the store, 3 steps",
        "1980 VMs: 12 read the store, 4 steps",
    ]
    "#);
}

/// A VM that is not listed has no parent.
#[test]
fn a_vm_that_is_not_listed_has_no_ancestors() {
    let own = SocketAddr::from(([10, 9, 0, 1], 7_440));
    assert!(reader::ancestors(&peers(6, 42), own).is_empty());
}

/// Guards against a start of all VMs at which each reads the register and the configuration from
/// the store.
#[test]
fn few_vms_read_what_is_long() {
    play(fleet(), |scene| async move {
        scene.until(2_000).await;
        let read = scene.world.store.read_by(REGISTER);
        assert!(
            read.len() <= READERS,
            "{} VMs read the register",
            read.len()
        );
        assert_eq!(ready(&scene), VMS);
    });
}

/// Guards against a start of all VMs after a loss of power at which each reads the whole table of
/// rows.
#[test]
fn few_vms_read_all_rows_after_a_loss_of_power() {
    play(fleet(), |scene| async move {
        scene.until(3_000).await;
        scene.world.store.forget_reads();
        let all = Fault::KillAll(scene.world.running());
        scene.fault(all, 3_000, 4_400).await;
        scene.until(7_400).await;
        assert_eq!(ready(&scene), VMS);
        let read = scene.world.store.read_by(REGISTER);
        assert!(
            read.len() <= READERS,
            "{} VMs read the register",
            read.len()
        );
        scene.passes().await;
    });
}
