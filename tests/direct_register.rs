//! Which databases count as registered, by the readings of the store.

mod registered;

use lentilspoke::direct::control::register::Register;
use registered::{at, databases, id};

/// An outage of the store lets every entry expire. Databases that are there must stay known, and
/// one that ended has to go: what is missing counts only once the store has answered for 2.5 s, and
/// the entry was missing for 4 s of that or before.
#[test]
fn missing_entry_counts_only_after_the_store_has_answered_for_a_while() {
    let mut register = Register::default();
    register.read(databases(&["a", "b"]), at(0), Some(at(0)));
    for (asked, up) in [(10_000, 9_000), (11_500, 9_000), (14_400, 12_000)] {
        let during = register.read(databases(&["a"]), at(asked), Some(at(up)));
        assert!(during.gone.is_empty(), "{asked}");
    }
    let after = register.read(databases(&["a"]), at(14_500), Some(at(12_000)));
    assert_eq!(after.gone, [id("b")]);
}

/// The store turns a database away and answers the steward all along. The database's entry expires
/// and is back 2 s later; its callers never notice, as it stays registered. (A day on which the
/// primary was taken for gone: its writes stood still for 8 s.)
#[test]
fn a_database_that_the_store_turns_away_stays_registered() {
    let mut register = Register::default();
    register.read(databases(&["a", "b"]), at(0), Some(at(0)));
    for asked in [9_600, 10_600, 11_500] {
        let away = register.read(databases(&["b"]), at(asked), Some(at(0)));
        assert!(!away.any, "{asked}");
    }
    let back = register.read(databases(&["a", "b"]), at(11_600), Some(at(0)));
    assert!(!back.any);
    let away = register.read(databases(&["b"]), at(14_000), Some(at(0)));
    assert!(!away.any, "counted anew");
}

/// A database said that it leaves, and its entry is removed: it is gone at once.
#[test]
fn a_database_that_left_is_gone_at_once() {
    let mut register = Register::default();
    let mut leaving = databases(&["a", "b"]);
    leaving
        .values_mut()
        .for_each(|database| database.leaving = true);
    register.read(leaving, at(5_000), Some(at(0)));
    let after = register.read(databases(&["a"]), at(6_000), Some(at(0)));
    assert_eq!(after.gone, [id("b")]);
}

/// A VM tells an older reading than the one that is known: a database that is gone stays gone.
#[test]
fn older_register_is_not_gone_back_to() {
    let mut register = Register::default();
    register.read(databases(&["a"]), at(5_000), Some(at(0)));
    let told = register.told(databases(&["a", "b"]), at(4_000));
    assert!(!told.any && register.databases().len() == 1);
}
