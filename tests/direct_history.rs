//! Lists that are sent to other VMs as changes.

use lentilspoke::clock::Time;
use lentilspoke::direct::config::Database;
use lentilspoke::direct::control::register::Register;
use lentilspoke::direct::history::History;
use lentilspoke::direct::mesh::Content;
use lentilspoke::direct::view::{Peer, Peers};
use lentilspoke::types::{Cores, DatabaseId};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;

const NOW: Time = Time(1_000_000);

fn peer(number: u8) -> Peer {
    Peer {
        address: format!("10.0.0.{number}:7000").parse().unwrap(),
        relay: None,
        domain: "d".parse().unwrap(),
        cores: Cores::default(),
        evicted: false,
    }
}

fn database(number: u8, primary: bool) -> (DatabaseId, Database) {
    let id: DatabaseId = format!("i-{number}").parse().unwrap();
    let database = Database {
        id: id.clone(),
        born: None,
        group: "g".parse().unwrap(),
        address: format!("10.0.1.{number}:5000").parse().unwrap(),
        domain: "d".parse().unwrap(),
        slots: 3,
        leaving: false,
        primary,
    };
    (id, database)
}

#[test]
fn a_history_knows_its_last_states() {
    let mut history = History::default();
    history.note(10, vec!["a"]);
    history.note(11, vec!["b", "c"]);
    history.note(12, vec!["a"]);
    let since = |digest| history.since(digest).map(Vec::from_iter);
    assert_eq!(since(10), Some(vec!["a", "b", "c"]));
    assert_eq!(since(12), Some(vec!["a"]));
    assert_eq!(since(13), None);
    // For a state that occurred twice, only changes since its last occurrence are returned.
    history.note(10, vec!["d"]);
    assert_eq!(history.since(10).map(Vec::from_iter), Some(vec!["d"]));
}

#[test]
fn a_history_is_bounded() {
    let mut history = History::default();
    for digest in 0..1_000_u64 {
        history.note(digest, vec![digest]);
    }
    assert_eq!(history.since(0), None);
    assert_eq!(history.since(999).map(|changed| changed.len()), Some(1));
    history.note(1_000, (0..10_000).collect());
    assert_eq!(history.since(1_000), None, "it names too many");
}

/// VMs join and leave in any order, and another VM asks for changes at some of these states. Whenever it
/// has applied an update, both VMs have the same list.
#[test]
fn applied_changes_give_the_same_vms() {
    fn same(lists: Vec<(Vec<u8>, bool)>) -> bool {
        let (mut here, mut there) = (Peers::default(), Peers::default());
        for (list, asks) in lists {
            here.replace(list.into_iter().map(peer).collect(), NOW);
            if !asks {
                continue;
            }
            if let Some(update) = here.update_for(there.digest()) {
                there.apply(update, NOW);
            }
            if here.list() != there.list() {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 5))
        .quickcheck(same as fn(Vec<(Vec<u8>, bool)>) -> bool);
}

/// When one of 251 VMs leaves, a VM that has the previous list gets only this change; a VM with an unknown
/// state gets the whole list.
#[test]
fn a_vm_that_leaves_is_sent_as_one_change() {
    let peers = |but: Option<u8>| {
        let numbers = (0..=250).filter(|number| Some(*number) != but);
        numbers.map(peer).collect::<Vec<_>>()
    };
    let mut here = Peers::default();
    here.replace(peers(None), NOW);
    let known = here.digest();
    here.replace(peers(Some(7)), NOW);
    let update = here.update_for(known).unwrap();
    assert_eq!((update.added.len(), update.removed.len()), (0, 1));
    assert_eq!(here.update_for(here.digest()), None);
    assert_eq!(here.update_for(12_345).unwrap().added.len(), 250);
}

/// The same for databases.
#[test]
fn applied_changes_give_the_same_databases() {
    fn same(registers: Vec<(Vec<(u8, bool)>, bool)>) -> bool {
        let (mut here, mut there) = (Register::default(), Register::default());
        for (at, (list, asks)) in registers.into_iter().enumerate() {
            let found: BTreeMap<_, _> = list.into_iter().map(|(n, p)| database(n, p)).collect();
            let asked = NOW + lentilspoke::clock::Span(at as u64);
            here.apply(found, asked);
            if !asks || here.digest() == there.digest() {
                continue;
            }
            let content = here.content_for(there.digest(), false).unwrap();
            let found = there.resolve(content, here.digest()).unwrap();
            there.apply(found, asked);
            if here.databases() != there.databases() {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 6))
        .quickcheck(same as fn(Vec<(Vec<(u8, bool)>, bool)>) -> bool);
}

/// A register has 200 databases. A VM with an unknown state gets no content and must read the store, unless
/// it asks for all of it; a VM with the previous state gets only the one database that changed.
#[test]
fn a_long_register_is_not_sent_in_full() {
    let all = |primary| (0..200).map(|n| database(n, n == 3 && primary)).collect();
    let mut here = Register::default();
    here.apply(all(false), NOW);
    let known = here.digest();
    here.apply(all(true), NOW);
    assert_eq!(here.content_for(1, false), None);
    assert!(matches!(here.content_for(1, true), Some(Content::All(all)) if all.len() == 200));
    let changes = here.content_for(known, false).unwrap();
    assert!(
        matches!(changes, Content::Changes { added, removed } if (added.len(), removed.len()) == (1, 0))
    );
}

/// A VM learns of a database between its request and the answer, which holds the changes since the request.
/// Applied together they would give a register that neither VM had, so the changes are rejected.
#[test]
fn changes_of_another_register_are_rejected() {
    let mut here = Register::default();
    here.apply([database(1, false)].into(), NOW);
    let known = here.digest();
    here.apply([database(1, false), database(2, false)].into(), NOW);
    let changes = here.content_for(known, false).unwrap();
    let mut there = Register::default();
    there.apply([database(1, false), database(9, false)].into(), NOW);
    assert_eq!(there.resolve(changes, here.digest()), None);
}
