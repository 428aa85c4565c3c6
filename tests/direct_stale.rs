//! Fleets in which VMs that read the store for others are cut from it, and what they tell is old.

mod scene;

use lentilspoke::clock::Span;
use lentilspoke::direct::control::reader;
use lentilspoke::direct::control::rows::Member;
use lentilspoke::direct::view::Peer;
use lentilspoke::standin::direct::fault::Fault;
use lentilspoke::standin::direct::network::Node;
use lentilspoke::standin::direct::setup::Setup;
use lentilspoke::types::VmId;
use scene::{Scene, db, play};
use std::collections::BTreeMap;

/// Enough VMs that two of each failure domain read the store for the others.
const VMS: usize = 24;

/// For how long VMs are cut from the store.
const CUT_TIME: u64 = 12_000;

/// How long a database that announced its leaving takes requests: the smallest `drain_ms`.
const DRAIN_TIME: u64 = 7_000;

/// How soon a configuration is in force: the `config_ms` of deployments with more than 16 VMs.
const CONFIG_TIME: u64 = 5_000;

fn fleet() -> Setup {
    Setup {
        vms: VMS,
        groups: 2,
        ..Setup::default()
    }
}

/// The VMs that read the store for others, by the newest rows.
fn readers(scene: &Scene) -> Vec<VmId> {
    let log = scene.world.store.log();
    let rows = log.iter().flat_map(|written| &written.rows);
    let members = rows.filter(|row| row.id.key.starts_with("vm."));
    let parsed = members.filter_map(|row| {
        let member: Member = serde_json::from_slice(row.value.as_ref()?).ok()?;
        let name = row.id.key.strip_prefix("vm.")?.split('@').next()?;
        Some((name.parse::<VmId>().unwrap(), member))
    });
    let parsed: BTreeMap<VmId, Member> = parsed.collect();
    let peers: Vec<Peer> = parsed
        .values()
        .map(|member| Peer {
            address: member.address,
            relay: member.relay,
            domain: member.domain.clone(),
            cores: member.cores,
            evicted: member.evicted,
        })
        .collect();
    let readers = reader::all(&peers);
    let found = parsed
        .into_iter()
        .filter(|(_, member)| readers.contains(&member.address));
    found.map(|(vm, _)| vm).collect()
}

/// Which VMs are cut from the store.
#[derive(Clone, Copy)]
enum Cut {
    /// The steward alone.
    Steward,
    /// The steward, and the VMs that read for others.
    Readers,
    /// All but two that do not read for others.
    Most,
}

impl Cut {
    /// The cut as a fault in a scene.
    fn fault(self, scene: &Scene) -> Fault {
        let mut cut = match self {
            Self::Steward => Vec::new(),
            Self::Readers => readers(scene),
            Self::Most => {
                let (steward, readers) = (scene.steward(), readers(scene));
                let mut others = scene.world.running();
                others.retain(|vm| *vm != steward && !readers.contains(vm));
                others.drain(..2);
                others.extend(readers);
                others
            }
        };
        cut.push(scene.steward());
        cut.sort();
        cut.dedup();
        assert!(cut.len() <= VMS - 2, "{cut:?}");
        Fault::Sever(Node::Store, cut.into_iter().map(Node::Vm).collect())
    }
}

/// Has a primary announce that it leaves while VMs are cut from the store, and asserts that no
/// statement reaches it later than it has to serve.
async fn leaves_while_cut(scene: Scene, cut: Cut) {
    scene.until(3_000).await;
    let cut = cut.fault(&scene);
    cut.begin(&scene.world);
    let leaves = 3_500;
    scene.until(leaves).await;
    Fault::Leave(db("db0a"), Span::from_millis(CUT_TIME)).begin(&scene.world);
    scene.until(3_000 + CUT_TIME).await;
    cut.end(&scene.world);
    scene.passes().await;
    let last = scene.at(leaves + DRAIN_TIME);
    let events = scene.events();
    let runs = events.runs.iter().filter(|run| run.database == db("db0a"));
    let late = runs.filter(|run| run.at > last).count();
    assert_eq!(late, 0, "statements later than {DRAIN_TIME} ms");
}

/// Guards against a leaving database that no VM learns of, as the one VM that reads the register is
/// cut from the store.
#[test]
fn leaving_database_is_known_while_the_steward_is_cut_from_the_store() {
    play(fleet(), |scene| leaves_while_cut(scene, Cut::Steward));
}

/// Guards against VMs that rely on a steward and readers whose readings are old.
#[test]
fn leaving_database_is_known_while_the_readers_are_cut_from_the_store() {
    play(fleet(), |scene| leaves_while_cut(scene, Cut::Readers));
}

/// Guards against VMs that rely on a few that read the store, where these are cut from it too.
#[test]
fn leaving_database_is_known_while_most_vms_are_cut_from_the_store() {
    play(fleet(), |scene| leaves_while_cut(scene, Cut::Most));
}

/// Has the configuration change while VMs are cut from the store, and asserts that all VMs have it in
/// time.
async fn configuration_changes_while_cut(scene: Scene, cut: Cut) {
    scene.until(3_000).await;
    let cut = cut.fault(&scene);
    cut.begin(&scene.world);
    for at in [3_500, 8_500] {
        scene.until(at).await;
        Fault::Configure.begin(&scene.world);
        scene.until(at + CONFIG_TIME).await;
        let version = scene.world.configs.borrow().last().unwrap().1.version;
        let route = format!("new{version}");
        for vm in scene.world.running() {
            assert!(scene.opens(&route, &vm).await, "{vm} lacks {version}");
        }
    }
    cut.end(&scene.world);
    scene.passes().await;
}

/// Guards against VMs that rely on a steward and readers whose polls for the configuration fail.
#[test]
fn configuration_is_known_while_the_readers_are_cut_from_the_store() {
    play(fleet(), |scene| {
        configuration_changes_while_cut(scene, Cut::Readers)
    });
}

/// Guards against a duty that is not offered to the few VMs that reach the store.
#[test]
fn configuration_is_known_while_most_vms_are_cut_from_the_store() {
    play(fleet(), |scene| {
        configuration_changes_while_cut(scene, Cut::Most)
    });
}
