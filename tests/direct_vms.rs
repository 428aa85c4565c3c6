//! Failures of VMs and of the store, each played in a world of stand-ins.

mod scene;

use lentilspoke::clock::Span;
use lentilspoke::standin::direct::fault::Fault;
use lentilspoke::standin::direct::network::Node;
use lentilspoke::standin::direct::setup::Setup;
use lentilspoke::standin::direct::store::{Health, Losing};
use lentilspoke::standin::direct::world::World;
use scene::{db, play, vm};
use std::time::Duration;

/// Milliseconds after the loss of a primary, at which the steward is struck: while it tries the
/// primary, writes its intent, is told of drops, asks replicas, renews, orders, and publishes.
const STEPS: [u64; 10] = [5, 15, 25, 40, 60, 90, 105, 112, 120, 600];

/// The store says nothing for 6 s. Nobody notices, because leases last longer.
#[test]
fn store_is_down() {
    play(Setup::default(), |scene| async move {
        let down = Fault::Store(Health::Silent, None);
        scene.fault(down, 5_000, 11_000).await;
        let told = scene.passes().await.told;
        assert_eq!(told.promised + told.failed + told.untold, 0, "{told:?}");
    });
}

/// A VM falls silent for good and the store is down from then on for 5 s; half a second after it is
/// back, the primary crashes. Writes go on during the outage by the VMs' word for each other, and
/// the replacement waits no longer for the lost VM than a reading counts without that (2.5 s).
#[test]
fn primary_crashes_soon_after_a_vm_was_lost_and_the_store_down() {
    let setup = Setup {
        vms: 5,
        ..Setup::default()
    };
    play(setup, |scene| async move {
        let others = ["vm3", "vm4"].map(vm);
        let steward = scene.steward();
        let lost = others.into_iter().find(|vm| *vm != steward).unwrap();
        scene.until(3_000).await;
        Fault::Dark(Node::Vm(lost)).begin(&scene.world);
        let down = Fault::Store(Health::Silent, None);
        scene.fault(down, 3_000, 8_000).await;
        assert!(scene.done("primary0", 6_000, 8_000) > 50);
        scene.fault(Fault::Crash(db("db0a")), 8_500, 20_000).await;
        scene.passes().await;
        let gap = scene.gap(8_500);
        assert!(gap < Duration::from_millis(5_500), "{gap:?}");
        assert_ne!(scene.leader(), db("db0a"));
    });
}

/// The store turns one VM away, the steward; the others are served. Nobody notices.
#[test]
fn store_turns_the_steward_away() {
    play(Setup::default(), |scene| async move {
        let only = Some([scene.steward()].into());
        let down = Fault::Store(Health::Refusing, only);
        scene.fault(down, 5_000, 20_000).await;
        let told = scene.passes().await.told;
        assert_eq!(told.failed + told.untold, 0, "{told:?}");
        assert!(told.done > 50 * told.promised, "{told:?}");
    });
}

/// A VM ends and starts again while the store turns it away and serves all others. It registers by
/// way of another VM, learns from the steward who leads, and serves its callers within two seconds.
#[test]
fn vm_starts_while_the_store_turns_it_away() {
    play(Setup::default(), |scene| async move {
        let steward = scene.steward();
        let other = scene.world.running().into_iter().find(|vm| *vm != steward);
        let other = other.unwrap();
        scene.until(4_000).await;
        let down = Fault::Store(Health::Refusing, Some([other.clone()].into()));
        down.begin(&scene.world);
        scene.fault(Fault::Kill(other.clone()), 5_000, 5_500).await;
        scene.until(7_500).await;
        assert!(scene.world.is_ready(&other));
        scene.until(15_000).await;
        down.end(&scene.world);
        let said = scene.said(8_000, 14_000);
        let there: Vec<_> = said.iter().filter(|said| said.vm == other).collect();
        let done = there.iter().filter(|said| said.is_done()).count();
        assert!(
            done * 10 > there.len() * 9 && done > 50,
            "{done} of {}",
            there.len()
        );
        scene.passes().await;
    });
}

/// A VM starts while the store is down. It takes no callers, as it can't know who leads by a
/// reading that is its own, until the store is back.
#[test]
fn vm_starts_without_the_store() {
    play(Setup::default(), |scene| async move {
        let down = Fault::Store(Health::Silent, None);
        scene.until(5_000).await;
        down.begin(&scene.world);
        scene.fault(Fault::Kill(vm("vm2")), 5_100, 5_600).await;
        scene.until(10_000).await;
        assert!(!scene.world.is_ready(&vm("vm2")));
        down.end(&scene.world);
        scene.until(14_000).await;
        assert!(scene.world.is_ready(&vm("vm2")));
        scene.passes().await;
    });
}

/// Answers of the store are lost, and the writes are done at once, while a primary crashes. It is
/// replaced by one primary, once.
#[test]
fn store_loses_answers_while_a_primary_is_replaced() {
    play(Setup::default(), |scene| async move {
        scene.until(4_990).await;
        let losing = Fault::StoreLosing(Losing::Now);
        losing.begin(&scene.world);
        scene.fault(Fault::Crash(db("db0a")), 5_000, 16_000).await;
        losing.end(&scene.world);
        scene.passes().await;
        assert!(scene.done("primary0", 20_000, 29_000) > 100);
    });
}

/// Writes to the store are done seconds after their answers were lost, while a primary crashes and
/// the steward is killed. What the dead steward wrote comes late and changes nothing.
#[test]
fn late_write_meets_a_take_over() {
    for late in [1_000, 2_500, 6_000] {
        play(Setup::default(), |scene| async move {
            scene.until(5_000).await;
            let losing = Fault::StoreLosing(Losing::Later(Span::from_millis(late)));
            losing.begin(&scene.world);
            Fault::Crash(db("db0a")).begin(&scene.world);
            scene.until(5_080).await;
            let kill = Fault::Kill(scene.steward());
            kill.begin(&scene.world);
            scene.until(7_000).await;
            losing.end(&scene.world);
            scene.until(12_000).await;
            Fault::Crash(db("db0a")).end(&scene.world);
            kill.end(&scene.world);
            scene.passes().await;
            assert!(scene.done("primary0", 24_000, 29_000) > 50);
        });
    }
}

/// The steward is killed at each step of a replacement. Another takes the duty over, finishes it
/// or begins it anew, and the platform sees tokens that only rise.
#[test]
fn steward_is_killed_at_each_step() {
    for step in STEPS {
        play(Setup::default(), |scene| async move {
            let steward = scene.steward();
            scene.until(5_000).await;
            Fault::Crash(db("db0a")).begin(&scene.world);
            scene.fault(Fault::Kill(steward), 5_000 + step, 9_000).await;
            Fault::Crash(db("db0a")).end(&scene.world);
            scene.passes().await;
            assert!(scene.gap(5_000 + step) < Duration::from_secs(12), "{step}");
        });
    }
}

/// The steward is frozen at each step of a replacement and wakes later, with what it was about to
/// do. It does nothing that its successor has not to expect.
#[test]
fn steward_is_frozen_at_each_step() {
    for step in STEPS {
        for length in [1_000, 5_000] {
            play(Setup::default(), |scene| async move {
                let steward = scene.steward();
                scene.until(5_000).await;
                Fault::Crash(db("db0a")).begin(&scene.world);
                let (from, to) = (5_000 + step, 5_000 + step + length);
                scene.fault(Fault::Freeze(steward), from, to).await;
                scene.until(14_000).await;
                Fault::Crash(db("db0a")).end(&scene.world);
                scene.passes().await;
            });
        }
    }
}

/// A VM is frozen with answers under way, and the primary is replaced meanwhile. When it wakes
/// its lease is over, and none of these answers is passed on as done.
#[test]
fn vm_is_frozen_past_its_lease() {
    for number in 1..=3 {
        play(Setup::default(), |scene| async move {
            let id = vm(&format!("vm{number}"));
            scene.until(5_000).await;
            Fault::Freeze(id.clone()).begin(&scene.world);
            Fault::Crash(db("db0a")).begin(&scene.world);
            scene.until(6_000).await;
            Fault::Crash(db("db0a")).end(&scene.world);
            scene.until(18_000).await;
            Fault::Freeze(id).end(&scene.world);
            scene.passes().await;
        });
    }
}

/// The VM that watches the store for all others is cut from it just before the configuration
/// changes. All VMs have the new one within 3 s.
#[test]
fn configuration_changes_while_its_watcher_is_cut() {
    play(Setup::default(), |scene| async move {
        let steward = Node::Vm(scene.steward());
        scene.until(5_000).await;
        let cut = Fault::Cut(steward, Node::Store);
        cut.begin(&scene.world);
        scene.until(5_500).await;
        let mut config = scene.world.configs.borrow()[0].1.clone();
        config.version = config.version.next();
        let route = config.routes["primary0"].clone();
        config.routes.insert("another0".into(), route);
        scene.world.configure(config);
        scene.until(8_500).await;
        for number in 0..3 {
            let id = World::vm(number).unwrap();
            let opened = scene.opens("another0", &id).await;
            assert!(opened, "{id}");
        }
        cut.end(&scene.world);
        scene.passes().await;
    });
}

/// All VMs are killed at once, and have nothing but the store when they start. Callers are served
/// again within seconds.
#[test]
fn all_vms_restart() {
    play(Setup::default(), |scene| async move {
        scene.until(5_000).await;
        let kills = ["vm1", "vm2", "vm3"].map(|id| Fault::Kill(vm(id)));
        kills.iter().for_each(|kill| kill.begin(&scene.world));
        scene.until(5_500).await;
        kills.iter().for_each(|kill| kill.end(&scene.world));
        scene.passes().await;
        assert!(scene.gap(5_500) < Duration::from_secs(10));
    });
}

/// Each VM in turn is asked to stop under load. Every statement that was sent to it is answered,
/// and the others go on.
#[test]
fn vms_stop_in_turn() {
    play(Setup::default(), |scene| async move {
        for (turn, id) in (0..).zip(["vm1", "vm2", "vm3"]) {
            let stop = Fault::Stop(vm(id), Span::from_secs(6));
            let from = 3_000 + turn * 8_000;
            scene.fault(stop, from, from + 6_500).await;
        }
        let told = scene.passes().await.told;
        assert_eq!((told.failed, told.untold), (0, 0), "{told:?}");
    });
}

/// A primary falls silent without a refusal. Both replicas say within milliseconds how far they are,
/// while the question to the silent one is given up after 700 ms: the choice waits 150 ms for it, as
/// each millisecond of waiting is one without writes.
#[test]
fn choice_does_not_wait_for_a_dark_primary() {
    play(Setup::default(), |scene| async move {
        scene.until(5_000).await;
        let dark = Fault::Dark(Node::Database(db("db0a")));
        scene.fault(dark, 5_000, 12_000).await;
        scene.passes().await;
        assert_ne!(scene.leader(), db("db0a"));
        let gap = scene.gap(5_000);
        assert!(gap < Duration::from_millis(2_200), "{gap:?}");
    });
}
