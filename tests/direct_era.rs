//! Tests of the use of store versions after the store is restored from an older copy and uses them
//! again.

use bytes::Bytes;
use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::config::Database;
use lentilspoke::direct::control::era::Eras;
use lentilspoke::direct::control::resume;
use lentilspoke::direct::control::rows::{
    Duty, Member, MemberId, Reading, duty_row, encode, era_row, lead_row, member_row,
};
use lentilspoke::direct::control::store::Store;
use lentilspoke::direct::lead::{Lead, Leases};
use lentilspoke::direct::table::{Change, Era, Fault, Row, RowId, Version};
use lentilspoke::standin::direct::host;
use lentilspoke::standin::direct::machine::Machine;
use lentilspoke::standin::direct::setup::Setup;
use lentilspoke::standin::direct::world::World;
use lentilspoke::types::{Cores, GroupId, Life, VmId};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// The age of the copy, and how long after a restore others have written their rows again.
const AGE: Span = Span::from_secs(1);
const REWRITES: Span = Span::from_millis(10);

/// Runs a test with a store in its first era and one client of it for each VM.
fn play<F: Future<Output = ()>>(scene: impl FnOnce(Rc<World>, Vec<Machine>) -> F) {
    host::simulate(async {
        let (machines, mut machine) = mpsc::unbounded_channel();
        let setup = Setup {
            vms: 2,
            era: Era(1),
            ..Setup::default()
        };
        let program = move |machine| {
            let _ = machines.send(machine);
            Box::pin(std::future::pending()) as _
        };
        let world = World::start(setup, Rc::new(program)).unwrap();
        let clients = vec![machine.recv().await.unwrap(), machine.recv().await.unwrap()];
        scene(world, clients).await;
    })
    .unwrap();
}

/// Makes a client of the store that has read the control rows.
async fn client(machine: &Machine) -> Store {
    let store = Store::new(machine.adapter.clone());
    // The first reading of an era writes the row that names it.
    let _ = store.reading().await;
    store.reading().await.unwrap();
    store
}

fn row() -> RowId {
    RowId::new("control", "row")
}

fn change(expect: Version, value: &'static str) -> Change {
    Change {
        expect: vec![(row(), expect)],
        writes: vec![(row(), Bytes::from_static(value.as_bytes()))],
        remove: Vec::new(),
    }
}

/// Writes until the store has used a version number again, for another value of the same row.
fn give_out_again(world: &World, number: u64) {
    while world.store.version().number < number {
        world.store.put(row(), Some(Bytes::from_static(b"another")));
    }
    assert_eq!(world.store.version().number, number);
}

/// Guards against a condition on a version number that was used again for another value.
#[test]
fn a_condition_of_an_earlier_era_does_not_hold() {
    play(|world, machines| async move {
        let (one, other) = (client(&machines[0]).await, client(&machines[1]).await);
        sleep(Duration::from_secs(2)).await;
        let first = one.write(change(Version::NONE, "first")).await;
        let written = one.write(change(first.unwrap().unwrap(), "mine")).await;
        let version = written.unwrap().unwrap();
        world.store.restore(AGE, REWRITES);
        // The row of the next era uses the first of the two version numbers.
        let _ = other.reading().await;
        give_out_again(&world, version.number);
        let again = one.write(change(version, "mine again")).await;
        assert!(matches!(again, Err(Fault::Refused(_))), "{again:?}");
        assert_eq!(
            world.store.get(&row()),
            Some(Bytes::from_static(b"another"))
        );
    });
}

/// Guards against a write that counts as done in the era in which it was requested, though the
/// store did it in the next one.
#[test]
fn a_write_that_was_done_in_a_later_era_is_unknown() {
    play(|world, machines| async move {
        let one = client(&machines[0]).await;
        sleep(Duration::from_secs(2)).await;
        world.store.restore(AGE, REWRITES);
        let written = one.write(change(Version::NONE, "mine")).await;
        assert!(matches!(written, Err(Fault::Unknown(_))), "{written:?}");
        assert!(matches!(
            one.write(change(Version::NONE, "mine")).await,
            Err(Fault::Refused(_))
        ));
    });
}

/// Guards against a feed that continues from a version number that was used again for other
/// content.
#[test]
fn a_feed_ends_with_its_era() {
    play(|world, machines| async move {
        let one = client(&machines[0]).await;
        sleep(Duration::from_secs(2)).await;
        let version = one
            .write(change(Version::NONE, "mine"))
            .await
            .unwrap()
            .unwrap();
        world.store.restore(AGE, REWRITES);
        give_out_again(&world, version.number + 2);
        let answer = one.follow("control", version, AGE).await;
        assert_eq!(answer, Ok(None));
    });
}

/// Guards against a dropped history, which says nothing of the era, being mistaken for a restore.
#[test]
fn a_dropped_history_is_no_new_era() {
    play(|world, machines| async move {
        let one = client(&machines[0]).await;
        let version = one
            .write(change(Version::NONE, "mine"))
            .await
            .unwrap()
            .unwrap();
        world.store.put(row(), Some(Bytes::from_static(b"another")));
        world.store.forget();
        assert_eq!(one.follow("control", version, AGE).await, Ok(None));
        let reading = one.reading().await.unwrap();
        assert_eq!(reading.era, Era(1));
    });
}

/// Guards against an answer of an earlier era that arrives after one of the next.
#[test]
fn an_answer_of_an_earlier_era_is_ignored() {
    let mut eras = Eras::default();
    assert!(eras.record(Era(2), Time(10)));
    assert!(!eras.record(Era(1), Time(20)));
    assert_eq!((eras.newest(), eras.since()), (Era(2), Some(Time(10))));
    eras.record_known(Era(2), Time(5));
    assert_eq!(
        eras.since(),
        Some(Time(5)),
        "another VM has known it for longer"
    );
}

fn group() -> GroupId {
    "ledger".parse().unwrap()
}

fn lead(epoch: u64, primary: &str, changing: bool) -> Lead {
    Lead {
        epoch,
        primary: primary.parse().unwrap(),
        born: None,
        changing,
        continues: None,
    }
}

fn at(number: u64) -> Version {
    Version::new(Era(2), number)
}

/// The rows of an older copy, the row of the new era, and rows that were written after it.
fn rows() -> (Vec<Row>, MemberId, MemberId) {
    let ids = ["vm1", "vm2"].map(|vm| {
        let vm: VmId = vm.parse().unwrap();
        MemberId::new(&vm, "10.0.0.1".parse().unwrap())
    });
    let member = Member {
        life: Life(1),
        address: "10.0.0.1:1".parse().unwrap(),
        relay: None,
        domain: "d".parse().unwrap(),
        cores: Cores::default(),
        evicted: false,
        released: std::collections::BTreeMap::new(),
    };
    let duty = Duty {
        vm: "vm1".parse().unwrap(),
        life: Life(1),
        address: "10.0.0.1:1".parse().unwrap(),
        token: 7,
        number: 3,
    };
    let row = |id, value, number| Row {
        id,
        value: Some(value),
        version: at(number),
    };
    let rows = vec![
        row(duty_row(), encode(&duty), 4),
        row(era_row(), encode(&Era(2)), 9),
        row(lead_row(&group()), encode(&lead(1, "a", false)), 5),
        row(member_row(&ids[0]), encode(&member), 6),
        row(member_row(&ids[1]), encode(&member), 10),
    ];
    let [one, other] = ids;
    (rows, one, other)
}

/// Guards against trusting rows of an older copy: a VM that was evicted counts as registered, a
/// duty that another VM has taken counts as held, or a primary that was replaced counts as leading.
#[test]
fn rows_of_an_older_copy_are_not_trusted() {
    let (rows, one, other) = rows();
    let mut eras = Eras::default();
    eras.record(Era(2), Time(10));
    let era_version = eras.record_rows(&rows, Era(2)).unwrap();
    let reading = Reading::new(&rows, era_version, Time(10), Time(20));
    assert!(!reading.is_lease_for(&one, Life(1)));
    assert!(
        reading.is_lease_for(&other, Life(1)),
        "it has registered since"
    );
    assert!(reading.members[&one].0.evicted);
    assert_eq!((&reading.duty, reading.duty_version()), (&None, at(4)));
    assert!(reading.leads.is_empty());
    assert_eq!(reading.former.leads[&group()].1, at(5));
}

/// Guards against rows that are trusted before the era has its row: an earlier write may still be
/// done then.
#[test]
fn no_row_counts_before_the_era_has_its_own() {
    let (rows, ..) = rows();
    let mut eras = Eras::default();
    eras.record(Era(3), Time(10));
    assert_eq!(eras.record_rows(&rows, Era(3)), None);
    let change = change(at(4), "mine");
    assert_eq!(eras.condition(&change), None, "it rests on an earlier era");
    assert_eq!(
        Eras::default().condition(&Change::default()),
        Some(Version::NONE)
    );
}

fn database(id: &str) -> Database {
    Database {
        id: id.parse().unwrap(),
        born: None,
        group: group(),
        address: "10.0.0.9:1".parse().unwrap(),
        domain: "d".parse().unwrap(),
        slots: 1,
        leaving: false,
        primary: true,
    }
}

/// Guards against a VM that writes a primary as the lead without knowing whether it was replaced.
#[test]
fn a_lead_continues_only_with_a_lease() {
    let first = |known, held| resume::first(Era(2), known, held, &database("b"));
    let floor = resume::floor(Era(2));
    let held = first(Some(lead(3, "a", false)), Some(3));
    assert_eq!(
        (held.epoch, held.changing, held.continues),
        (floor + 1, false, Some(3))
    );
    assert_eq!(held.primary, "a".parse().unwrap());
    for (known, held) in [
        (lead(3, "a", false), None),
        (lead(3, "a", true), Some(3)),
        (lead(4, "a", false), Some(3)),
    ] {
        let given = first(Some(known), held);
        assert!(given.changing && given.continues.is_none(), "{given:?}");
    }
    let new = first(None, None);
    assert_eq!((new.epoch, new.changing), (floor + 1, false));
    assert_eq!(new.primary, "b".parse().unwrap());
}

/// Guards against a token or an epoch that is used again in a later era.
#[test]
fn tokens_and_epochs_rise_through_eras() {
    assert_eq!(resume::floor(Era(0)), 0);
    let changes = u64::from(u32::MAX);
    assert!(resume::floor(Era(1)) + changes < resume::floor(Era(2)) + 1);
}

/// Guards against statements whose outcome becomes unknown because their group's epoch changes with
/// the era, and against a lease that outlives its successor.
#[test]
fn work_continues_in_the_next_era() {
    let mut book = Leases::default();
    let (now, asked) = (Time(1_000_000), Time(900_000));
    book.learn(&group(), lead(3, "a", false), asked);
    let next = resume::first(Era(2), Some(lead(3, "a", false)), Some(3), &database("a"));
    let epoch = next.epoch;
    book.learn(&group(), next, asked);
    assert!(book.holds(&group(), 3, now) && book.holds(&group(), epoch, now));
    assert!(!book.holds(&group(), 2, now));
    book.drop_epoch(&group(), epoch);
    assert!(!book.holds(&group(), 3, now) && !book.holds(&group(), epoch, now));
}
