//! Tests of failures of VMs and of the store, each in a simulated world.

mod scene;

use lentilspoke::clock::Span;
use lentilspoke::standin::direct::fault::Fault;
use lentilspoke::standin::direct::network::Node;
use lentilspoke::standin::direct::setup::Setup;
use lentilspoke::standin::direct::store::{Health, Losing};
use lentilspoke::standin::direct::world::World;
use scene::{db, play, vm};
use std::time::Duration;

/// Milliseconds after the loss of a primary at which the steward fails: while it probes the
/// primary, writes its intent, collects dropped epochs, asks replicas, renews, orders, and
/// publishes.
const STEPS: [u64; 10] = [5, 15, 25, 40, 60, 90, 105, 112, 120, 600];

/// The store does not answer for 6 s. Callers see no failure, as leases last longer.
#[test]
fn store_is_down() {
    play(Setup::default(), |scene| async move {
        let down = Fault::Store(Health::Silent, None);
        scene.fault(down, 5_000, 11_000).await;
        let tally = scene.passes().await.counts;
        assert_eq!(
            tally.not_run + tally.failed + tally.unanswered,
            0,
            "{tally:?}"
        );
    });
}

/// A VM is lost and the store is down from then on for 5 s; half a second after it is back, the
/// primary crashes. Writes continue during the outage because VMs extend each other's leases, and
/// the replacement waits for the lost VM no longer than a reading counts without an extension (2.5
/// s).
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

/// The store refuses only the steward's calls. Callers see no failure.
#[test]
fn store_refuses_the_steward() {
    play(Setup::default(), |scene| async move {
        let only = Some([scene.steward()].into());
        let down = Fault::Store(Health::Refusing, only);
        scene.fault(down, 5_000, 20_000).await;
        let tally = scene.passes().await.counts;
        assert_eq!(tally.failed + tally.unanswered, 0, "{tally:?}");
        assert!(tally.done > 50 * tally.not_run, "{tally:?}");
    });
}

/// A VM restarts while the store refuses its calls and answers all others. It registers through
/// another VM, learns the leads from the steward, and serves its callers within two seconds.
#[test]
fn vm_starts_while_the_store_refuses_it() {
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

/// A VM that starts while the store is down accepts no callers until the store is back, because it
/// has no reading of its own that shows the leads.
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

/// The store does writes at once but loses the answers while a primary crashes. The primary is
/// replaced once.
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

/// The store does writes seconds after their answers were lost, while a primary crashes and the
/// steward is killed. Late writes of the dead steward change nothing.
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

/// The steward is killed at each step of a replacement. Another VM takes the duty and finishes or
/// restarts the replacement, and the platform sees only rising tokens.
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

/// The steward is frozen at each step of a replacement and later continues where it was. It does
/// nothing that conflicts with its successor.
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

/// A VM is frozen with statements in progress, and the primary is replaced meanwhile. When it
/// continues, its lease has expired, and none of these statements is reported as done.
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

/// The VM that polls the store for all others is cut off from it just before the configuration
/// changes. All VMs have the new configuration within 3 s.
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

/// All VMs are killed at once and know only the store when they start. Callers are served again
/// within seconds.
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

/// Each VM in turn is stopped under load. Every statement sent to it is answered, and the others
/// keep serving.
#[test]
fn vms_stop_in_turn() {
    play(Setup::default(), |scene| async move {
        for (turn, id) in (0..).zip(["vm1", "vm2", "vm3"]) {
            let stop = Fault::Stop(vm(id), Span::from_secs(6));
            let from = 3_000 + turn * 8_000;
            scene.fault(stop, from, from + 6_500).await;
        }
        let tally = scene.passes().await.counts;
        assert_eq!((tally.failed, tally.unanswered), (0, 0), "{tally:?}");
    });
}

/// A primary stops answering without refusing connections. Both replicas report their positions
/// within milliseconds, while the question to the primary times out after 700 ms. The choice waits
/// for it only 150 ms, as no write is possible meanwhile.
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
