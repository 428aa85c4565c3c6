//! Tests of which databases count as registered after readings of the store.

mod registered;

use lentilspoke::direct::control::register::Register;
use registered::{at, databases, id};

/// An outage of the store lets every entry expire. Databases that still run must stay registered,
/// and one that ended must go: a missing entry counts only once the store has answered for 2.5 s,
/// and the entry has been missing for 4 s.
#[test]
fn missing_entry_counts_only_after_the_store_has_answered_for_a_while() {
    let mut register = Register::default();
    register.apply_reading(databases(&["a", "b"]), at(0), Some(at(0)));
    for (asked, up) in [(10_000, 9_000), (11_500, 9_000), (14_400, 12_000)] {
        let during = register.apply_reading(databases(&["a"]), at(asked), Some(at(up)));
        assert!(during.gone.is_empty(), "{asked}");
    }
    let after = register.apply_reading(databases(&["a"]), at(14_500), Some(at(12_000)));
    assert_eq!(after.gone, [id("b")]);
}

/// Guards against the removal of a running database. The store refuses the database's calls but
/// answers the steward; the entry expires and is back 2 s later. A primary that was removed this
/// way took no writes for 8 s.
#[test]
fn a_database_refused_by_the_store_stays_registered() {
    let mut register = Register::default();
    register.apply_reading(databases(&["a", "b"]), at(0), Some(at(0)));
    for asked in [9_600, 10_600, 11_500] {
        let away = register.apply_reading(databases(&["b"]), at(asked), Some(at(0)));
        assert!(!away.any, "{asked}");
    }
    let back = register.apply_reading(databases(&["a", "b"]), at(11_600), Some(at(0)));
    assert!(!back.any);
    let away = register.apply_reading(databases(&["b"]), at(14_000), Some(at(0)));
    assert!(!away.any, "counted anew");
}

/// A database that announced its leaving is removed as soon as its entry is missing.
#[test]
fn a_database_that_left_is_gone_at_once() {
    let mut register = Register::default();
    let mut leaving = databases(&["a", "b"]);
    leaving
        .values_mut()
        .for_each(|database| database.leaving = true);
    register.apply_reading(leaving, at(5_000), Some(at(0)));
    let after = register.apply_reading(databases(&["a"]), at(6_000), Some(at(0)));
    assert_eq!(after.gone, [id("b")]);
}

/// Guards against an older reading from another VM that brings back a removed database.
#[test]
fn older_register_is_ignored() {
    let mut register = Register::default();
    register.apply_reading(databases(&["a"]), at(5_000), Some(at(0)));
    let changes = register.apply(databases(&["a", "b"]), at(4_000));
    assert!(!changes.any && register.databases().len() == 1);
}

/// Guards against a promotion between the end of a database that left and the registration of the
/// one that has its log: until then its commits may be on no other database.
#[test]
fn a_database_that_left_is_remembered_until_another_has_its_log() {
    let leaving = || {
        let mut databases = databases(&["a", "b"]);
        let b = databases.get_mut(&id("b")).unwrap();
        b.leaving = true;
        b.address = "10.0.0.2:1".parse().unwrap();
        databases
    };
    let group = "g".parse().unwrap();
    let departed = |register: &Register| register.departed(&group).count();
    let mut register = Register::default();
    register.apply_reading(leaving(), at(5_000), Some(at(0)));
    assert_eq!(departed(&register), 0);
    register.apply_reading(databases(&["a"]), at(6_000), Some(at(0)));
    assert_eq!(departed(&register), 1);
    let mut replaced = databases(&["a", "c"]);
    replaced.get_mut(&id("c")).unwrap().address = "10.0.0.2:1".parse().unwrap();
    register.apply_reading(replaced, at(7_000), Some(at(0)));
    assert_eq!(departed(&register), 0);

    let mut register = Register::default();
    register.apply_reading(leaving(), at(5_000), Some(at(0)));
    for (asked, count) in [(6_000, 1), (9_999, 1), (10_000, 0)] {
        register.apply_reading(databases(&["a"]), at(asked), Some(at(0)));
        assert_eq!(departed(&register), count, "{asked}");
    }
}
