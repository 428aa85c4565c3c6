//! Callers with keys, organisations and allowances, in worlds of several VMs.

mod scene;

use lentilspoke::direct::identity::{Allowance, Key, Rate};
use lentilspoke::direct::statement::{Answer, Code, End};
use lentilspoke::standin::direct::caller::Session;
use lentilspoke::standin::direct::fault::Fault;
use lentilspoke::standin::direct::setup::{self, Setup};
use lentilspoke::standin::direct::store::Health;
use lentilspoke::types::OrganisationId;
use scene::{Scene, play, vm};
use std::time::Duration;
use tokio::time::sleep;

/// Far more than the callers of a scene ask for.
const PLENTY: Allowance = Allowance {
    rate: Rate(1_000_000),
    burst: 1_000,
};

/// Three organisations, one for the callers of each failure domain.
fn keyed(allowance: Allowance) -> Setup {
    Setup {
        vms: 6,
        connections: 11,
        organisations: Some(setup::organisations(3, allowance).unwrap()),
        ..Setup::default()
    }
}

fn code(answer: &Answer) -> Option<Code> {
    match answer.end {
        End::Error { code, .. } => Some(code),
        End::Done(_) => None,
    }
}

/// Puts a configuration in force in which `org0` has other keys.
fn give_keys(scene: &Scene, keys: &[&str]) {
    let last = scene.world.configs.borrow().last().unwrap().1.clone();
    let mut config = last;
    config.version = config.version.next();
    let holder: OrganisationId = "org0".parse().unwrap();
    let organisations = config.organisations.as_mut().unwrap();
    organisations.keys.retain(|_, of| *of != holder);
    for key in keys {
        organisations.keys.insert(Key::of(key), holder.clone());
    }
    scene.world.configure(config);
}

/// Callers of three organisations use six VMs, of which three own each database. What a caller asks
/// runs on connections that were opened on its organisation's behalf, and nothing is refused.
#[test]
fn connections_belong_to_organisations() {
    play(keyed(PLENTY), |scene| async move {
        let report = scene.passes().await;
        let said = scene.said(0, 30_000);
        let refused: Vec<_> = said.iter().filter(|said| !said.is_done()).collect();
        assert!(refused.is_empty(), "{report} {refused:#?}");
        let book = scene.book();
        assert!(book.runs.iter().any(|run| &*run.organisation == "org2"));
    });
}

/// A caller shows a key that nobody holds: its session is refused, and nothing runs.
#[test]
fn an_unknown_key_is_refused() {
    play(keyed(PLENTY), |scene| async move {
        scene.until(1_000).await;
        let refused = scene.opens_with("primary0", &vm("vm1"), "key7").await;
        assert!(!refused);
        scene.passes().await;
    });
}

/// A key is taken away while a session rests, one stands in a transaction, and the store turns their VM
/// away. Within a second the first is closed, and the second's next statement is refused and its session
/// ends: whatever it wrote is rolled back.
#[test]
fn a_key_is_taken_away() {
    play(keyed(PLENTY), |scene| async move {
        scene.until(2_000).await;
        let vm = vm("vm1");
        let mut resting = scene.session("primary0", &vm, "key0").await;
        let mut open = scene.session("primary0", &vm, "key0").await;
        assert_eq!(code(&resting.say("write i1 a").await.unwrap()), None);
        open.begin(false).await.unwrap();
        assert_eq!(code(&open.say("write i2 b").await.unwrap()), None);
        let alone = Some([vm.clone()].into());
        Fault::Store(Health::Refusing, alone).begin(&scene.world);
        give_keys(&scene, &[]);
        sleep(Duration::from_secs(1)).await;
        assert!(resting.say("read i1").await.is_err());
        let answer = open.say("write i3 c").await.unwrap();
        assert_eq!(code(&answer), Some(Code::NoKey));
        assert!(open.say("commit").await.is_err());
        scene.check().await;
        let writes = scene
            .book()
            .runs
            .iter()
            .filter(|run| &*run.text == "write i3 c")
            .count();
        assert_eq!(writes, 0);
    });
}

/// A key is used at a VM in the moment in which the operator has given it out, when that VM does not know
/// of it yet: the VM asks for a newer configuration before it refuses, and the session opens.
#[test]
fn a_new_key_is_known_at_once() {
    play(keyed(PLENTY), |scene| async move {
        scene.until(2_000).await;
        give_keys(&scene, &["key0", "fresh"]);
        sleep(Duration::from_millis(30)).await;
        for vm in scene.world.running() {
            assert!(scene.opens_with("primary0", &vm, "fresh").await, "{vm}");
        }
        scene.passes().await;
    });
}

/// One organisation sends all that two VMs can take for fifteen seconds, one of which is killed and
/// starts again in between. No five seconds see more than its allowance; what is beyond it is refused
/// at once, and by a promise. Nobody else is refused.
#[test]
fn an_organisation_asks_for_more_than_it_may() {
    let allowance = Allowance {
        rate: Rate(20_000),
        burst: 20,
    };
    let mut setup = keyed(PLENTY);
    if let Some(organisations) = &mut setup.organisations {
        organisations
            .allowances
            .insert("org0".parse().unwrap(), allowance);
    }
    play(setup, |scene| async move {
        scene.until(2_000).await;
        for vm in ["vm1", "vm2"] {
            for _ in 0..8 {
                let session = scene.session("bounded0", &self::vm(vm), "key0").await;
                tokio::task::spawn_local(press(session));
            }
        }
        scene.fault(Fault::Kill(vm("vm2")), 8_000, 9_000).await;
        scene.until(17_000).await;
        let said = scene.said(2_000, 17_000);
        let slow = said.iter().filter(|said| {
            let took = said.told.as_ref().map(|(at, _)| *at - said.sent);
            said.is_promised()
                && &*said.organisation == "org0"
                && took > Some(Duration::from_millis(200))
        });
        assert_eq!(slow.count(), 0);
        let refused = said
            .iter()
            .filter(|said| &*said.organisation != "org0" && said.is_promised());
        assert_eq!(refused.count(), 0);
        let book = scene.book();
        let runs = book.runs.iter().filter(|run| &*run.organisation == "org0");
        let at: Vec<_> = runs.map(|run| run.at).collect();
        let window = Duration::from_secs(5);
        let most = at.iter().map(|from| {
            at.iter()
                .filter(|at| (*from..*from + window).contains(at))
                .count()
        });
        let most = most.max().unwrap();
        assert!((100..=120).contains(&most), "{most} operations in 5 s");
    });
}

/// Reads as fast as it is answered.
async fn press(mut session: Session) {
    while session.say("read i1").await.is_ok() {}
}
