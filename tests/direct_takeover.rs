//! Overlapping replacements of a primary, each in a simulated deployment.

mod scene;

use lentilspoke::standin::direct::fault::Fault;
use lentilspoke::standin::direct::network::Node;
use lentilspoke::standin::direct::setup::Setup;
use scene::{db, play, vm};
use std::time::Duration;

/// Milliseconds after a primary stopped answering, around the order to promote another one and the
/// time that the promotion takes.
const STEPS: [u64; 7] = [500, 650, 800, 1_000, 1_200, 1_500, 1_800];

fn setup() -> Setup {
    Setup {
        vms: 4,
        ..Setup::default()
    }
}

/// A primary stops answering, and the steward orders a promotion and dies. While the promotion is
/// in progress, the old primary is reachable again and still reports that it is primary. The next
/// steward must not name the old one: the platform would report that nothing has to be done, and a
/// moment later the other one leads. (Seen in a run with a split cut.)
#[test]
fn old_primary_returns_while_another_is_promoted() {
    for step in STEPS {
        play(setup(), |scene| async move {
            let dark = Fault::Dark(Node::Database(db("db0a")));
            scene.until(5_000).await;
            dark.begin(&scene.world);
            scene.until(5_000 + step).await;
            dark.end(&scene.world);
            let kill = Fault::Kill(scene.steward());
            kill.begin(&scene.world);
            scene.until(9_000).await;
            kill.end(&scene.world);
            scene.passes().await;
        });
    }
}

/// A primary stops answering, another database is ordered to lead and is unreachable until its
/// promotion is complete; meanwhile the old one is reachable again and still reports that it is
/// primary. If the other one were named before it reports that it leads, it would be replaced in
/// its turn, and the old one named: the platform would report that nothing has to be done, and a
/// moment later the other one leads.
#[test]
fn old_primary_returns_while_its_successor_is_unreached() {
    successor_is_unreached(Duration::from_millis(2_600));
}

/// The same, but the successor is unreachable for longer than the steward waits for it, and the old
/// primary is ordered to lead. Its report that it is primary is still of its old term, because
/// another one was ordered before and leads once that promotion is complete.
#[test]
fn old_primary_is_ordered_after_its_successor() {
    successor_is_unreached(Duration::from_millis(4_000));
}

fn successor_is_unreached(span: Duration) {
    let setup = Setup {
        promotion: Duration::from_millis(2_400),
        ..setup()
    };
    play(setup, |scene| async move {
        let dark = Fault::Dark(Node::Database(db("db0a")));
        scene.until(5_000).await;
        dark.begin(&scene.world);
        let mut now = 5_000;
        while scene.events().orders.is_empty() {
            now += 50;
            assert!(now < 9_000, "nothing is ordered");
            scene.until(now).await;
        }
        dark.end(&scene.world);
        let successor = scene.events().orders[0].database.clone();
        let dark = Fault::Dark(Node::Database(successor));
        dark.begin(&scene.world);
        tokio::time::sleep(span).await;
        dark.end(&scene.world);
        scene.passes().await;
    });
}

/// Two VMs and the primary are on one side of a cut, two VMs, the replicas and the store on the
/// other. The side without the store continues until its leases end, and its answers are true;
/// after that only the other side acknowledges, by another primary within 13 s: the steward is
/// replaced, the leases expire, the promotion takes a second. Once the cut heals all VMs agree.
#[test]
fn primary_and_half_the_vms_are_split_off() {
    play(setup(), |scene| async move {
        let near = [
            Node::Vm(vm("vm1")),
            Node::Vm(vm("vm2")),
            Node::Database(db("db0a")),
        ];
        let far = [
            Node::Vm(vm("vm3")),
            Node::Vm(vm("vm4")),
            Node::Database(db("db0b")),
            Node::Database(db("db0c")),
            Node::Store,
        ];
        let pairs = near
            .iter()
            .flat_map(|a| far.iter().map(move |b| (a.clone(), b.clone())));
        let cuts: Vec<_> = pairs.map(|(a, b)| Fault::Cut(a, b)).collect();
        scene.until(5_000).await;
        cuts.iter().for_each(|cut| cut.begin(&scene.world));
        scene.until(18_500).await;
        assert_ne!(scene.leader(), db("db0a"));
        cuts.iter().for_each(|cut| cut.end(&scene.world));
        scene.passes().await;
        assert!(scene.done("primary0", 22_000, 30_000) > 100);
    });
}
