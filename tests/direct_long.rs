//! Tests of configurations so long that sending them takes most of a second on a small VM's link.

mod scene;

use lentilspoke::clock::Span;
use lentilspoke::direct::config::Config;
use lentilspoke::standin::direct::fault::Fault;
use lentilspoke::standin::direct::network::{Bandwidth, Node};
use lentilspoke::standin::direct::setup::Setup;
use lentilspoke::standin::direct::store::Health;
use lentilspoke::types::Cores;
use scene::{Scene, play, vm};

/// Too few VMs for a large fleet, in three failure domains; the first two of each have a wide link.
const VMS: usize = 36;

/// The number of routes: 1.3 MB as sent by the store.
const ROUTES: usize = 8_000;

/// The time limit for a configuration to be in force: `config_ms`.
const IN_FORCE_MILLIS: u64 = 5_000;

fn is_strong(number: usize) -> bool {
    number < 6
}

fn fleet() -> Setup {
    Setup {
        vms: VMS,
        cores: |number| Cores::from_thousandths(if is_strong(number) { 500 } else { 120 }),
        link: |number| {
            let megabits = if is_strong(number) { 200 } else { 10 };
            Some(Bandwidth::from_megabits(megabits))
        },
        ..Setup::default()
    }
}

/// Returns the newest configuration with added routes `long0`, `long1` and so on.
fn long(scene: &Scene, routes: usize) -> Config {
    let mut config = scene.world.configs.borrow().last().unwrap().1.clone();
    let route = config.routes.values().next().unwrap().clone();
    let names = (0..routes).map(|number| format!("long{number}").into());
    config
        .routes
        .extend(names.map(|name| (name, route.clone())));
    config.version = config.version.next();
    config
}

/// Returns the VMs that do not open a session on a route.
async fn without(scene: &Scene, route: &str) -> Vec<String> {
    let mut without = Vec::new();
    for vm in scene.world.running() {
        if !scene.opens(route, &vm).await {
            without.push(vm.to_string());
        }
    }
    without
}

fn received(scene: &Scene, number: usize) -> u64 {
    let node = Node::Vm(vm(&format!("vm{}", number + 1)));
    scene.world.network.received(&node)
}

/// Guards against reads of a long configuration that time out before they can finish, and are
/// repeated by other ways over the same link.
#[test]
fn a_long_configuration_is_in_force_in_time() {
    play(fleet(), |scene| async move {
        scene.until(1_000).await;
        scene.world.configure(long(&scene, ROUTES));
        scene.until(1_000 + IN_FORCE_MILLIS).await;
        let last = format!("long{}", ROUTES - 1);
        assert_eq!(without(&scene, &last).await, Vec::<String>::new());
    });
}

/// Guards against sending a whole long configuration when little of it has changed.
#[test]
fn only_changes_of_a_long_configuration_are_sent() {
    play(fleet(), |scene| async move {
        scene.until(1_000).await;
        scene.world.configure(long(&scene, ROUTES));
        scene.until(8_000).await;
        let before: Vec<u64> = (0..VMS).map(|number| received(&scene, number)).collect();
        let mut next = long(&scene, ROUTES + 1);
        next.idle = Span::from_secs(11);
        scene.world.configure(next);
        scene.until(8_000 + IN_FORCE_MILLIS).await;
        let last = format!("long{ROUTES}");
        assert_eq!(without(&scene, &last).await, Vec::<String>::new());
        // The steward and the readers fetch it from the store.
        for number in (0..VMS).filter(|number| !is_strong(*number)) {
            let came = received(&scene, number) - before[number];
            assert!(came < 100_000, "vm{} received {came} bytes", number + 1);
        }
    });
}

/// Guards against a start of all VMs after a loss of power at which each reads a long
/// configuration.
#[test]
fn a_long_configuration_is_there_soon_after_a_loss_of_power() {
    play(fleet(), |scene| async move {
        scene.until(1_000).await;
        scene.world.configure(long(&scene, ROUTES));
        scene.until(3_000).await;
        let all = Fault::KillAll(scene.world.running());
        scene.fault(all, 3_000, 4_400).await;
        scene.until(4_400 + IN_FORCE_MILLIS).await;
        let last = format!("long{}", ROUTES - 1);
        assert_eq!(without(&scene, &last).await, Vec::<String>::new());
    });
}

/// Guards against a steward that does not pass on a configuration that a third VM reported, while
/// the store refuses the calls of the steward and of the VM that reads in its domain.
#[test]
fn the_steward_and_its_domain_are_refused_by_the_store() {
    let site = Setup {
        link: |_| None,
        ..fleet()
    };
    play(site, |scene| async move {
        let steward = scene.world.domain_of_vm(&scene.steward());
        let near = scene.world.running().into_iter();
        let near = near.filter(|vm| scene.world.domain_of_vm(vm) == steward);
        let away = Fault::Store(Health::Refusing, Some(near.collect()));
        away.begin(&scene.world);
        scene.until(1_000).await;
        scene.world.configure(long(&scene, 1));
        scene.until(1_000 + IN_FORCE_MILLIS).await;
        assert_eq!(without(&scene, "long0").await, Vec::<String>::new());
        away.end(&scene.world);
    });
}
