//! The bounded search of the core protocol, and what breaks without each safeguard.

use lentilspoke::model::suite;

/// A caller must never see one of the properties broken, however messages are lost, delayed or
/// reordered, and whichever process stops, restarts or is cut off. Each specification is
/// searched to its bound; `lentilspoke model` searches further.
#[test]
fn no_property_breaks() {
    for case in suite::sound().unwrap() {
        let report = case.search(case.bound);
        let broken = report.trace.map(|trace| trace.to_string());
        assert_eq!(broken, None, "{}", case.name);
    }
}

/// With one safeguard taken out a caller is told something false. The shortest way to it is
/// kept, first event to last, so that a reader sees what the safeguard is for.
#[test]
fn each_safeguard_matters() {
    for case in suite::unsound().unwrap() {
        let report = case.search(case.bound);
        let found = report.trace.map(|trace| trace.to_string());
        let found = found.unwrap_or_else(|| panic!("{}: nothing breaks", case.name));
        insta::assert_snapshot!(case.name.replace(' ', "-"), found);
    }
}
