//! The bounded search of the core protocol, and what breaks without each safeguard.

use lentilspoke::model::suite::{self, Case};

fn of_leads(case: &Case) -> bool {
    case.name.starts_with("leads")
}

fn of_vouch(case: &Case) -> bool {
    case.name.starts_with("vouch")
}

fn of_others(case: &Case) -> bool {
    !of_leads(case) && !of_vouch(case)
}

fn check_sound(cases: impl Iterator<Item = Case>) {
    for case in cases {
        let report = case.search(case.bound);
        let broken = report.trace.map(|trace| trace.to_string());
        assert_eq!(broken, None, "{}", case.name);
    }
}

fn check_found(cases: impl Iterator<Item = Case>) {
    for case in cases {
        let report = case.search(case.bound);
        let found = report.trace.map(|trace| trace.to_string());
        let found = found.unwrap_or_else(|| panic!("{}: nothing is found", case.name));
        insta::assert_snapshot!(case.name.replace(' ', "-"), found);
    }
}

/// A caller must never see one of the properties broken, however messages are lost, delayed or
/// reordered, and whichever process stops, restarts or is cut off. Each specification is
/// searched to its bound; `lentilspoke model` searches further.
#[test]
fn no_property_breaks() {
    check_sound(suite::sound().unwrap().into_iter().filter(of_others));
}

/// The same for leases on who leads, where nothing at a database fences anyone.
#[test]
fn no_property_of_leases_breaks() {
    check_sound(suite::sound().unwrap().into_iter().filter(of_leads));
}

/// The same for leases that go on by the word of other VMs.
#[test]
fn no_property_of_vouching_breaks() {
    check_sound(suite::sound().unwrap().into_iter().filter(of_vouch));
}

/// A specification in which nothing can happen breaks no property either. The shortest way through
/// a change of primary is kept.
#[test]
fn a_change_of_primary_can_end() {
    check_found(suite::reached().unwrap().into_iter());
}

/// With one safeguard taken out a caller is told something false. The shortest way to it is
/// kept, first event to last, so that a reader sees what the safeguard is for.
#[test]
fn each_safeguard_matters() {
    check_found(suite::unsound().unwrap().into_iter().filter(of_others));
}

/// The same for the safeguards of leases on who leads.
#[test]
fn each_safeguard_of_leases_matters() {
    check_found(suite::unsound().unwrap().into_iter().filter(of_leads));
}

/// The same for the safeguards of leases that go on by the word of other VMs.
#[test]
fn each_safeguard_of_vouching_matters() {
    check_found(suite::unsound().unwrap().into_iter().filter(of_vouch));
}
