//! Who may hand out an allowance: worlds whose VMs are cut in two while an organisation asks for more than it may.

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

/// Each is kept by other VMs, so that some have all of their keepers on one side.
const ORGANISATIONS: usize = 8;

const ALLOWANCE: Allowance = Allowance {
    rate: Rate(30_000),
    burst: 60,
};

/// What five seconds may see: five times the rate, and the burst.
const WINDOW: Duration = Duration::from_secs(5);
const MOST: usize = 210;

fn world() -> Setup {
    Setup {
        vms: VMS,
        connections: 22,
        organisations: Some(setup::organisations(ORGANISATIONS, ALLOWANCE).unwrap()),
        ..Setup::default()
    }
}

/// Cuts some VMs from all others and from the store, but from no database.
fn cut(some: &[VmId], all: &[VmId]) -> Vec<Fault> {
    let others = all.iter().filter(|vm| !some.contains(vm));
    let far = others.map(|vm| Node::Vm(vm.clone())).chain([Node::Store]);
    let far: Vec<Node> = far.collect();
    let sever = |vm: &VmId| Fault::Sever(Node::Vm(vm.clone()), far.clone());
    some.iter().map(sever).collect()
}

/// Asks for all that each organisation can have through a VM.
async fn press(scene: &Scene, vm: &VmId) {
    for number in 0..ORGANISATIONS {
        let mut session = scene.session("bounded0", vm, &format!("key{number}")).await;
        tokio::task::spawn_local(async move { while session.say("read i1").await.is_ok() {} });
    }
}

/// The most operations of one organisation that ran within five seconds, and when these began.
fn most(scene: &Scene) -> (usize, Duration) {
    let book = scene.book();
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
            press(&scene, vm).await;
        }
        scene.until(6_000).await;
        let faults = cut(&some(&scene), &all);
        faults.iter().for_each(|fault| fault.begin(&scene.world));
        scene.until(18_000).await;
        faults.iter().for_each(|fault| fault.end(&scene.world));
        scene.until(30_000).await;
        let (most, from) = most(&scene);
        assert!(most <= MOST, "{most} operations in 5 s from {from:?} on");
    });
}

/// Guards against two sides of a cut that both hand out what the keepers on the lesser side had.
#[test]
fn a_third_is_cut_off() {
    play_cut(|_| ["vm2", "vm5", "vm6", "vm9"].map(vm).to_vec());
}

/// The same, with the steward on the lesser side, which goes on to hear all VMs there.
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

/// The same with more than half of the VMs on the side that the store does not answer.
#[test]
fn most_are_cut_off() {
    play_cut(|_| (1..=8).map(|number| vm(&format!("vm{number}"))).collect());
}
