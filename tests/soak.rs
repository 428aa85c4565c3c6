//! Small soaks: their reports, and that they find broken properties.

mod command;

use lentilspoke::clock::Span;
use lentilspoke::direct::config::Kind;
use lentilspoke::soak::history::{Calm, History};
use lentilspoke::soak::profile::Profile;
use lentilspoke::soak::report::Report;
use lentilspoke::soak::tally::Tally;
use lentilspoke::soak::{Plan, play};
use lentilspoke::standin::direct::said::Said;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// A plan with a small version of the profile `association`.
fn plan(kinds: &[&str], change: impl FnOnce(&mut Profile)) -> Plan {
    let mut profile = Profile::named("association").unwrap().unwrap();
    (profile.vms, profile.groups) = (7, 2);
    (profile.callers, profile.rate, profile.writers) = (40, 60, 1);
    change(&mut profile);
    Plan {
        name: "small".into(),
        profile,
        kinds: kinds.iter().map(|kind| (*kind).into()).collect(),
        calm: Span::from_secs(12),
        length: Span::from_secs(90),
        seed: 3,
    }
}

fn found(report: &Report) -> Vec<&str> {
    let texts = report.broken.iter().map(|broken| &*broken.text);
    texts.collect()
}

/// Callers are served while primaries crash, a VM is replaced and the store is down. The same seed
/// gives the same report, whatever else runs on the machine.
#[test]
fn same_seed_gives_the_same_report() {
    let kinds = ["primary-crash", "vm-replace", "store-down", "config-storm"];
    let report = play(plan(&kinds, |_| ())).unwrap();
    assert_eq!(found(&report), [""; 0]);
    insta::assert_snapshot!(report);
    let again = play(plan(&kinds, |_| ())).unwrap();
    assert_eq!(report.to_string(), again.to_string());
}

/// Databases take a third of a second for a statement, so that most statements are refused: the soak
/// reports this, with the troubles that were played before.
#[test]
fn what_is_not_served_is_found() {
    let plan = plan(&["vms-all"], |profile| {
        profile.work = Span::from_millis(333);
        profile.recovery = Span::from_secs(5);
    });
    let report = play(plan).unwrap();
    let found = found(&report);
    let unserved = found
        .iter()
        .filter(|text| text.ends_with("served in a calm"));
    assert!(unserved.count() > 0, "{report}");
    assert!(
        report
            .events
            .iter()
            .any(|event| event.contains("begin KillAll"))
    );
    assert_eq!(report.count, found.len() as u64);
}

/// A statement that was sent at the given time and never answered.
fn unanswered(number: u64, sent: Instant) -> Said {
    Said {
        number,
        id: format!("q{number}").into(),
        text: "read i1".into(),
        session: 1,
        operation: number,
        transaction: false,
        organisation: "-".into(),
        vm: "vm1".parse().unwrap(),
        route: "primary0".into(),
        kind: Kind::Primary,
        values: BTreeMap::new(),
        shape: None,
        since: sent,
        sent,
        told: None,
        broke: Some(sent),
    }
}

/// A statement in progress when the next trouble begins may fail because of that trouble, so it does not
/// count for the calm. A statement sent long before counts.
#[test]
fn only_what_ends_in_a_calm_is_judged_by_it() {
    let plan = plan(&[], |_| ());
    let begin = Instant::now();
    let end = begin + Duration::from_secs(20);
    let mut history = History::default();
    history.calms.push(Calm {
        begin,
        end: Some(end),
    });
    let unserved = |before: u64| {
        let mut tally = Tally::new(&plan);
        let sent = end - Duration::from_millis(before);
        let said: Vec<_> = (0..40).map(|number| unanswered(number, sent)).collect();
        tally.count(&said, &[], &history);
        tally.unserved(&history, end + Duration::from_secs(60), false)
    };
    assert_eq!(unserved(80), Vec::<Box<str>>::new());
    assert_eq!(unserved(4_000), ["0 of 40 served in a calm".into()]);
}

#[test]
fn wrong_profiles_are_refused_with_their_place() {
    let text = include_str!("../src/soak/profiles/association.jsonc");
    let error = |from: &str, to: &str| {
        let error = Profile::read(&text.replace(from, to)).unwrap_err();
        error.to_string()
    };
    insta::assert_snapshot!(
        [
            error("\"vms\": 63", "\"vms\": 0"),
            error("\"primary\": {", "\"other\": {"),
            error("\"work\": \"18ms\"", "\"work\": 18"),
            error("\"slots\": 3,", ""),
        ]
        .join("\n")
    );
}

#[test]
fn wrong_words_are_refused() {
    insta::assert_snapshot!(
        [
            command::lentilspoke(&["soak", "--kinds", "sunshine"]),
            command::lentilspoke(&["soak", "--vms", "0"]),
            command::lentilspoke(&["soak", "association", "permits"]),
        ]
        .join("\n")
    );
}
