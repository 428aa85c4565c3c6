//! Allocators of allowances in network partitions, while organisations send more than their allowance.

mod scene;

use lentilspoke::direct::identity::{Allowance, Rate};
use lentilspoke::standin::direct::fault::Fault;
use lentilspoke::standin::direct::network::Node;
use lentilspoke::standin::direct::setup::{self, Setup};
use lentilspoke::types::VmId;
use scene::{Scene, play, vm};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

const VMS: usize = 12;

/// Each has other allocators, so that some have all of theirs on one side.
const ORGANISATIONS: usize = 8;

const ALLOWANCE: Allowance = Allowance {
    rate: Rate(30_000),
    burst: 60,
};

const WINDOW: Duration = Duration::from_secs(5);
/// Operations allowed within [`WINDOW`]: five times the rate, and the burst.
const MAX_OPERATIONS: usize = 210;

fn world() -> Setup {
    Setup {
        vms: VMS,
        connections: 22,
        organisations: Some(setup::organisations(ORGANISATIONS, ALLOWANCE).unwrap()),
        ..Setup::default()
    }
}

/// Cuts some VMs off from all others and from the store, but from no database.
fn cut(some: &[VmId], all: &[VmId]) -> Vec<Fault> {
    let others = all.iter().filter(|vm| !some.contains(vm));
    let far = others.map(|vm| Node::Vm(vm.clone())).chain([Node::Store]);
    let far: Vec<Node> = far.collect();
    let sever = |vm: &VmId| Fault::Sever(Node::Vm(vm.clone()), far.clone());
    some.iter().map(sever).collect()
}

/// Sends as many operations of each organisation through a VM as are answered.
async fn saturate(scene: &Scene, vm: &VmId) {
    for number in 0..ORGANISATIONS {
        let mut session = scene.session("bounded0", vm, &format!("key{number}")).await;
        tokio::task::spawn_local(async move { while session.execute("read i1").await.is_ok() {} });
    }
}

/// The most operations of one organisation that ran within [`WINDOW`], and when that window began.
fn busiest_window(scene: &Scene) -> (usize, Duration) {
    let book = scene.events();
    let mut ran = BTreeMap::<&str, Vec<Instant>>::new();
    for run in &book.runs {
        ran.entry(&run.organisation).or_default().push(run.at);
    }
    let windows = ran.values().flat_map(|at| {
        let end = |from: Instant| at.partition_point(|at| *at < from + WINDOW);
        at.iter()
            .enumerate()
            .map(move |(first, from)| (end(*from) - first, *from))
    });
    let (most, from) = windows.max().unwrap();
    (most, from.saturating_duration_since(scene.at(0)))
}

fn play_cut(some: impl Fn(&Scene) -> Vec<VmId> + 'static) {
    play(world(), |scene| async move {
        scene.until(2_000).await;
        let all = scene.world.running();
        for vm in &all {
            saturate(&scene, vm).await;
        }
        scene.until(6_000).await;
        let faults = cut(&some(&scene), &all);
        faults.iter().for_each(|fault| fault.begin(&scene.world));
        scene.until(18_000).await;
        faults.iter().for_each(|fault| fault.end(&scene.world));
        scene.until(30_000).await;
        let (most, from) = busiest_window(&scene);
        assert!(
            most <= MAX_OPERATIONS,
            "{most} operations in 5 s from {from:?} on"
        );
    });
}

/// Guards against both sides of a partition granting the shares of the allocators on the minority side.
#[test]
fn a_third_is_cut_off() {
    play_cut(|_| ["vm2", "vm5", "vm6", "vm9"].map(vm).to_vec());
}

/// The same with the steward on the minority side, where it still receives heartbeats from all VMs.
#[test]
fn a_third_is_cut_off_with_the_steward() {
    play_cut(|scene| {
        let steward = scene.steward();
        let mut some = vec![steward.clone()];
        let others = scene
            .world
            .running()
            .into_iter()
            .filter(|vm| *vm != steward);
        some.extend(others.step_by(3).take(3));
        some
    });
}

/// The same with more than half of the VMs on the side that is cut off from the store.
#[test]
fn most_are_cut_off() {
    play_cut(|_| (1..=8).map(|number| vm(&format!("vm{number}"))).collect());
}
