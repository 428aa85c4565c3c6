//! Fleets of 60 VMs: the cost of control in store calls and bytes, and the time to recover.

mod scene;

use lentilspoke::clock::Span;
use lentilspoke::direct::control::reader;
use lentilspoke::direct::control::rows::{Duty, Member, duty_row};
use lentilspoke::direct::mesh::{Heartbeat, Question};
use lentilspoke::direct::table;
use lentilspoke::direct::view::Peer;
use lentilspoke::standin::direct::fault::Fault;
use lentilspoke::standin::direct::network::Node;
use lentilspoke::standin::direct::setup::Setup;
use lentilspoke::standin::direct::store::Health;
use lentilspoke::types::{Cores, Version, VmId};
use scene::{Scene, play, vm};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The number of VMs in a fleet.
const VMS: usize = 60;

/// The time that a change takes in the store's partition that holds all rows: 150 changes per
/// second.
const CHANGE_TIME: Span = Span(6_667);

fn fleet() -> Setup {
    Setup {
        vms: VMS,
        groups: 2,
        ..Setup::default()
    }
}

/// How many calls of the store are made between two moments, in milliseconds.
async fn calls(scene: &Scene, from: u64, to: u64) -> u64 {
    scene.until(from).await;
    let before = scene.world.store.calls();
    scene.until(to).await;
    scene.world.store.calls() - before
}

fn ready(scene: &Scene) -> usize {
    let vms = scene.world.running();
    let ready = vms.iter().filter(|vm| scene.world.is_ready(vm));
    ready.count()
}

/// All VMs lose power at once and start again 1.4 s later, with a store that executes one change
/// after another. Callers find them ready within a second, which is the load balancer's interval,
/// and the store gets two calls per VM at most; if every VM read for itself, it would get 206. If
/// the rows were written one by one, the last of 60 would be there after 0.4 s and the last of 195
/// after 1.3 s (calculated, not simulated).
#[test]
fn all_vms_lose_power() {
    play(fleet(), |scene| async move {
        scene.world.store.set_change_time(CHANGE_TIME);
        scene.until(3_000).await;
        let all = Fault::KillAll(scene.world.running());
        scene.fault(all, 3_000, 4_400).await;
        let asked = calls(&scene, 4_400, 5_600).await;
        assert_eq!(ready(&scene), VMS);
        assert!(asked <= 2 * VMS as u64, "{asked} calls");
        let done = scene.done("bounded0", 5_000, 6_000);
        assert!(done > 10, "{done} statements done in the first second");
        scene.passes().await;
    });
}

/// Without faults, only the steward and the few VMs that poll for the configuration call the store,
/// not every VM.
#[test]
fn calls_of_a_quiet_fleet_do_not_grow_with_it() {
    play(fleet(), |scene| async move {
        let asked = calls(&scene, 2_000, 22_000).await;
        assert!(asked <= 100, "{asked} calls in 20 s");
        scene.passes().await;
    });
}

/// The operator changes the configuration twelve times within four seconds. All VMs have the last
/// one a second later, and only the VMs that read for others read each one from the store.
#[test]
fn configurations_come_in_quick_succession() {
    play(fleet(), |scene| async move {
        scene.until(3_000).await;
        Fault::Storm(12, Span::from_millis(330)).begin(&scene.world);
        let asked = calls(&scene, 3_000, 8_000).await;
        assert!(asked <= 4 * VMS as u64, "{asked} calls");
        let version = scene.world.configs.borrow().last().unwrap().1.version;
        let route = format!("new{version}");
        for vm in scene.world.running() {
            assert!(scene.opens(&route, &vm).await, "{vm} lacks {version}");
        }
        scene.passes().await;
    });
}

/// The operator changes the configuration while the store refuses the steward's calls. The VMs that
/// read for others have it, the steward learns of it from their heartbeats, and all others from the
/// steward: within 2.5 s.
#[test]
fn configuration_changes_while_the_steward_is_refused() {
    play(fleet(), |scene| async move {
        let only = Some([scene.steward()].into());
        let down = Fault::Store(Health::Refusing, only);
        scene.until(3_000).await;
        down.begin(&scene.world);
        scene.until(4_000).await;
        Fault::Configure.begin(&scene.world);
        scene.until(6_500).await;
        let version = scene.world.configs.borrow().last().unwrap().1.version;
        let route = format!("new{version}");
        for vm in scene.world.running() {
            assert!(scene.opens(&route, &vm).await, "{vm} lacks {version}");
        }
        down.end(&scene.world);
        scene.passes().await;
    });
}

/// The store discards its history while VMs follow it. Only those few read the configuration again.
#[test]
fn store_forgets_its_history() {
    play(fleet(), |scene| async move {
        scene.until(3_000).await;
        Fault::Forget.begin(&scene.world);
        let asked = calls(&scene, 3_000, 4_000).await;
        assert!(asked <= VMS as u64 / 2, "{asked} calls");
        scene.passes().await;
    });
}

/// The store refuses all calls for nine seconds, also the steward's. Callers notice nothing as long
/// as leases last. Each VM retries only from time to time: otherwise the steward's offers alone
/// would make every VM read the rows, and ask others to do so.
#[test]
fn store_refuses_all_calls() {
    play(fleet(), |scene| async move {
        let down = Fault::Store(Health::Reset, None);
        scene.until(3_000).await;
        down.begin(&scene.world);
        let asked = calls(&scene, 3_000, 12_000).await;
        down.end(&scene.world);
        assert!(asked <= 9 * VMS as u64, "{asked} calls in 9 s");
        scene.passes().await;
    });
}

/// Half of the fleet is partitioned from the steward and from the store for six seconds. The other
/// half keeps its steward. The rows of the partitioned VMs are written together once they are back,
/// and all are ready within two seconds.
#[test]
fn half_is_cut_from_the_steward_and_the_store() {
    play(fleet(), |scene| async move {
        scene.world.store.set_change_time(CHANGE_TIME);
        let steward = scene.steward();
        let others = scene
            .world
            .running()
            .into_iter()
            .filter(|vm| *vm != steward);
        let half: Vec<Node> = others.step_by(2).map(Node::Vm).collect();
        let cuts = [
            Fault::Sever(Node::Store, half.clone()),
            Fault::Sever(Node::Vm(steward), half),
        ];
        scene.until(3_000).await;
        cuts.iter().for_each(|cut| cut.begin(&scene.world));
        scene.until(9_000).await;
        cuts.iter().for_each(|cut| cut.end(&scene.world));
        let asked = calls(&scene, 9_000, 12_000).await;
        assert_eq!(ready(&scene), VMS);
        assert!(asked <= 4 * VMS as u64, "{asked} calls");
        scene.passes().await;
    });
}

/// After the steward is killed, another VM is the steward within two seconds, with few calls of the
/// store.
#[test]
fn steward_is_lost() {
    play(fleet(), |scene| async move {
        scene.until(3_000).await;
        let steward = scene.steward();
        Fault::Kill(steward.clone()).begin(&scene.world);
        let asked = calls(&scene, 3_000, 5_000).await;
        assert_ne!(scene.steward(), steward);
        assert!(asked <= 2 * VMS as u64, "{asked} calls");
        scene.passes().await;
    });
}

/// A VM starts while the first two seeds are down for good: it registers at the third.
#[test]
fn seeds_are_down() {
    play(fleet(), |scene| async move {
        scene.until(3_000).await;
        for name in ["vm1", "vm2"] {
            Fault::Kill(vm(name)).begin(&scene.world);
        }
        scene.fault(Fault::Kill(vm("vm9")), 6_000, 6_500).await;
        scene.until(8_500).await;
        assert!(scene.world.is_ready(&vm("vm9")));
        scene.passes().await;
    });
}

/// Guards against a VM's row that is overwritten for an earlier life. A VM is killed while its
/// registration waits at a frozen seed, and its next life is registered by another seed. When the
/// frozen seed resumes and executes the old registration, the row must stay that of the running
/// life: otherwise a replacement would not wait for the lease that this life holds.
#[test]
fn a_row_is_not_written_for_a_life_that_has_ended() {
    play(fleet(), |scene| async move {
        scene.until(3_000).await;
        let name = vm("vm9");
        let (former, version) = row_of(&scene, &name);
        let asked = Question::Enroll {
            heartbeat: Heartbeat {
                vm: name.clone(),
                life: former.life,
                address: former.address,
                config: Version::default(),
                gathered: None,
                accepts_long: false,
                register: 0,
                reading_age: None,
                peers: 0,
                leads: 0,
                reports: Vec::new(),
            },
            relay: former.relay,
            domain: former.domain,
            cores: Cores::default(),
            expect: version,
        };
        let seed = row_of(&scene, &vm("vm1")).0.address;
        let frozen = Fault::Freeze(vm("vm1"));
        frozen.begin(&scene.world);
        let call = scene.world.call_of(&name);
        tokio::task::spawn_local(call(seed, asked, Span::from_secs(5)));
        scene.until(3_100).await;
        scene.fault(Fault::Kill(name.clone()), 3_100, 3_600).await;
        scene.until(5_500).await;
        let (running, _) = row_of(&scene, &name);
        assert_ne!(running.life, former.life);
        frozen.end(&scene.world);
        scene.until(8_000).await;
        assert_eq!(row_of(&scene, &name).0.life, running.life);
        scene.passes().await;
    });
}

/// A VM's row as last written, and its version.
fn row_of(scene: &Scene, vm: &VmId) -> (Member, table::Version) {
    let log = scene.world.store.log();
    let rows = log.iter().rev().flat_map(|written| &written.rows);
    let mut rows = rows.filter(|row| row.id.key.starts_with(&format!("vm.{vm}@")));
    let row = rows.next().unwrap();
    let member = serde_json::from_slice(row.value.as_ref().unwrap()).unwrap();
    (member, row.version)
}

fn peers(domains: usize, each: usize) -> Vec<Peer> {
    let peer = |domain: usize, host: usize| Peer {
        address: SocketAddr::from(([10, domain as u8, 0, host as u8], 7_440)),
        relay: None,
        domain: format!("domain{domain}").parse().unwrap(),
        cores: Cores::default(),
        evicted: false,
    };
    let peers = (0..domains).flat_map(|domain| (0..each).map(move |host| peer(domain, host)));
    peers.collect()
}

/// Forty VMs with eighty groups. The register of 240 databases takes 20 KB, as much as the list of
/// VMs in a fleet ten times larger.
fn many_groups() -> Setup {
    Setup {
        vms: 40,
        groups: 80,
        ..Setup::default()
    }
}

/// A quarter of the bytes that a link of 10 Mbit/s carries in a second.
const QUARTER_OF_LINK: u64 = 312_500;

/// The most bytes that any VM has sent to others in answers so far.
fn max_answered_bytes(scene: &Scene) -> u64 {
    scene
        .world
        .answered_bytes
        .borrow()
        .values()
        .copied()
        .max()
        .unwrap_or(0)
}

/// All VMs start at once with many groups, each of which gets its first lead. Then a primary is
/// replaced, which changes one lead and two entries of the register. No VM sends the others more
/// than a quarter of what a small link carries: a VM that has a list is sent the changes only, and
/// a VM that lacks a long list reads it from the store. Sent in full, the register alone takes 800
/// KB per change.
#[test]
fn many_groups_are_sent_changes_only() {
    play(many_groups(), |scene| async move {
        let start = max_answered_bytes(&scene);
        assert!(
            start <= 5 * QUARTER_OF_LINK,
            "{start} bytes in the 5 s of the start"
        );
        scene.until(2_000).await;
        let quiet = max_answered_bytes(&scene) - start;
        assert!(quiet <= 2 * QUARTER_OF_LINK, "{quiet} bytes in 2 s");
        let before = max_answered_bytes(&scene);
        scene
            .fault(Fault::Crash(scene::db("db3a")), 2_000, 8_000)
            .await;
        let change = max_answered_bytes(&scene) - before;
        assert!(change <= 6 * QUARTER_OF_LINK, "{change} bytes in 6 s");
        assert_eq!(ready(&scene), 40);
        scene.passes().await;
    });
}

/// The same VMs all lose power and start again 1.4 s later without any state. The same bounds hold
/// for what they are sent and read as at the first start, and they are ready as soon.
#[test]
fn many_groups_recover_soon() {
    play(many_groups(), |scene| async move {
        scene.until(3_000).await;
        let before = max_answered_bytes(&scene);
        let all = Fault::KillAll(scene.world.running());
        scene.fault(all, 3_000, 4_400).await;
        scene.until(6_400).await;
        assert_eq!(ready(&scene), 40);
        let sent = max_answered_bytes(&scene) - before;
        assert!(sent <= 2 * QUARTER_OF_LINK, "{sent} bytes in 2 s");
        scene.passes().await;
    });
}

/// Guards against a small VM that keeps the duty of a fleet once the strong ones are back.
#[test]
fn the_duty_comes_back_to_a_strong_vm() {
    let strong = |number| match number {
        19 => Cores::from_thousandths(1_000),
        _ => Cores::from_thousandths(120),
    };
    let setup = Setup {
        vms: 20,
        cores: strong,
        ..Setup::default()
    };
    play(setup, |scene| async move {
        scene.until(2_000).await;
        assert_eq!(holder(&scene), vm("vm20"));
        scene.fault(Fault::Kill(vm("vm20")), 2_000, 6_000).await;
        assert_ne!(holder(&scene), vm("vm20"));
        scene.until(10_000).await;
        assert_eq!(holder(&scene), vm("vm20"));
        scene.passes().await;
    });
}

/// The VM that holds the duty according to the store's row.
fn holder(scene: &Scene) -> VmId {
    let row = scene.world.store.get(&duty_row()).unwrap();
    serde_json::from_slice::<Duty>(&row).unwrap().vm
}

/// VMs with more processor cores read for the others of their failure domain.
#[test]
fn strong_vms_read() {
    let mut peers = peers(6, 33);
    let strong = Cores::from_thousandths(500);
    for place in [20, 30] {
        peers[33 + place].cores = strong;
    }
    let readers = reader::all(&peers);
    let of_domain = peers[33..66]
        .iter()
        .filter(|f| readers.contains(&f.address));
    assert!(of_domain.clone().all(|peer| peer.cores == strong));
    assert_eq!(of_domain.count(), 2);
}

/// Which VMs read the store, by the size of the fleet: all VMs of a small fleet, and two per
/// failure domain of a large one.
#[test]
fn readers_of_fleets() {
    let counts = [(3, 3), (3, 6), (6, 33), (7, 83)].map(|(domains, each)| {
        let peers = peers(domains, each);
        let readers = reader::all(&peers);
        let by_themselves = peers.iter().filter(|f| reader::reads(&peers, f.address));
        let by_themselves: BTreeSet<_> = by_themselves.map(|f| f.address).collect();
        assert_eq!(readers, by_themselves);
        format!("{} VMs: {} read", peers.len(), readers.len())
    });
    insta::assert_debug_snapshot!(counts, @r#"
    [
        "9 VMs: 9 read",
        "18 VMs: 6 read",
        "198 VMs: 12 read",
        "581 VMs: 14 read",
    ]
    "#);
    let peers = peers(6, 33);
    let own = peers[40].address;
    let near = reader::near(&peers, own);
    let far = reader::far(&peers, own);
    assert!(
        near.iter()
            .all(|address| address.ip().to_string().starts_with("10.1."))
    );
    assert_eq!((near.len(), far.len()), (2, 10));
}

/// A VM that is not in any list yet reads for itself, because no other VM reads for it.
#[test]
fn a_vm_that_is_not_listed_reads() {
    let own = SocketAddr::from(([10, 9, 0, 1], 7_440));
    assert!(reader::reads(&peers(6, 33), own));
    assert!(reader::reads(&[], own));
}
