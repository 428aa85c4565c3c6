//! Lists that are told to other VMs by what changed of them.

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

fn fellow(number: u8) -> Peer {
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
    // A state that came back is told from its last time on.
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

/// VMs come and go in any order, and another VM asks now and then, or misses what it was told. Whenever
/// it has taken over what it is told, it knows the same list; what it is told is as long as the change.
#[test]
fn whoever_is_told_changes_knows_the_same_vms() {
    fn same(lists: Vec<(Vec<u8>, bool)>) -> bool {
        let (mut here, mut there) = (Peers::default(), Peers::default());
        for (list, asks) in lists {
            here.replace(list.into_iter().map(fellow).collect(), NOW);
            if !asks {
                continue;
            }
            if let Some(news) = here.update_for(there.digest()) {
                there.apply(news, NOW);
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

/// One VM of 300 ends: whoever knew the list before is told of that one.
#[test]
fn a_vm_that_ends_is_told_alone() {
    let fellows = |but: Option<u8>| {
        let numbers = (0..=250).filter(|number| Some(*number) != but);
        numbers.map(fellow).collect::<Vec<_>>()
    };
    let mut here = Peers::default();
    here.replace(fellows(None), NOW);
    let known = here.digest();
    here.replace(fellows(Some(7)), NOW);
    let news = here.update_for(known).unwrap();
    assert_eq!((news.added.len(), news.removed.len()), (0, 1));
    assert_eq!(here.update_for(here.digest()), None);
    assert_eq!(here.update_for(12_345).unwrap().added.len(), 250);
}

/// The same for databases.
#[test]
fn whoever_is_told_changes_knows_the_same_databases() {
    fn same(registers: Vec<(Vec<(u8, bool)>, bool)>) -> bool {
        let (mut here, mut there) = (Register::default(), Register::default());
        for (at, (list, asks)) in registers.into_iter().enumerate() {
            let found: BTreeMap<_, _> = list.into_iter().map(|(n, p)| database(n, p)).collect();
            let asked = NOW + lentilspoke::clock::Span(at as u64);
            here.told(found, asked);
            if !asks || here.digest() == there.digest() {
                continue;
            }
            let content = here.content_for(there.digest(), false).unwrap();
            let found = there.with(content, here.digest()).unwrap();
            there.told(found, asked);
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

/// A register of 200 databases: a VM that knows nothing of it is told that it differs, and reads the store;
/// one that asks for all of it is told, and one that knows it as it was hears of the one that changed.
#[test]
fn a_long_register_is_not_told_in_full() {
    let all = |primary| (0..200).map(|n| database(n, n == 3 && primary)).collect();
    let mut here = Register::default();
    here.told(all(false), NOW);
    let known = here.digest();
    here.told(all(true), NOW);
    assert_eq!(here.content_for(1, false), None);
    assert!(matches!(here.content_for(1, true), Some(Content::All(all)) if all.len() == 200));
    let changes = here.content_for(known, false).unwrap();
    assert!(
        matches!(changes, Content::Changes { added, removed } if (added.len(), removed.len()) == (1, 0))
    );
}

/// A VM has learned of a database since it asked, and is told what changed since it asked. The two together
/// are no register that the other VM has: nothing is taken over, and it asks again.
#[test]
fn changes_of_another_register_are_not_taken_over() {
    let mut here = Register::default();
    here.told([database(1, false)].into(), NOW);
    let known = here.digest();
    here.told([database(1, false), database(2, false)].into(), NOW);
    let changes = here.content_for(known, false).unwrap();
    let mut there = Register::default();
    there.told([database(1, false), database(9, false)].into(), NOW);
    assert_eq!(there.with(changes, here.digest()), None);
}
