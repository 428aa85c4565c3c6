//! Tests of the leads and database reports that VMs exchange with heartbeats.

mod registered;

use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::control::ping::Throttle;
use lentilspoke::direct::control::update::selected_reports;
use lentilspoke::direct::lead::{Lead, Leases, digest};
use lentilspoke::direct::view::View;
use lentilspoke::types::GroupId;
use registered::{at, databases, id};

fn lead(epoch: u64, primary: &str, changing: bool) -> Lead {
    Lead {
        epoch,
        primary: primary.parse().unwrap(),
        born: None,
        changing,
        continues: None,
    }
}

/// Guards against a lease that is extended too far. A VM asks the steward and, before the answer
/// arrives, learns from the store that a group has another primary. The answer says that nothing
/// changed in an older reading: it must not extend the lease on the new primary.
#[test]
fn an_unchanged_digest_confirms_only_the_known_leads() {
    let groups: [GroupId; 2] = ["g", "h"].map(|name| name.parse().unwrap());
    let mut book = Leases::default();
    for group in &groups {
        book.learn(group, lead(1, "a", false), at(1_000));
    }
    let known_digest = book.digest();
    let known = groups.iter().map(|group| (group, lead(1, "a", false)));
    let known: Vec<_> = known.collect();
    assert_eq!(
        known_digest,
        digest(known.iter().map(|(group, lead)| (*group, lead)))
    );
    assert_eq!(book.shown(known_digest).map(|rows| rows.len()), Some(2));
    for newer in [lead(1, "a", true), lead(2, "b", false), lead(3, "a", false)] {
        book.learn(&groups[0], newer, at(1_200));
        assert_eq!(book.shown(known_digest), None);
        assert_ne!(book.digest(), known_digest);
    }
    let group: GroupId = "i".parse().unwrap();
    let before = book.digest();
    book.learn(&group, lead(1, "a", false), at(1_300));
    assert_eq!(book.shown(before), None);
}

/// A VM reports only the primary of a healthy group. Once anything of the group fails it reports
/// the replicas too, so that the steward knows which of them could replace the primary.
#[test]
fn replicas_are_reported_once_something_fails() {
    let mut view = View {
        databases: databases(&["a", "b", "c"]),
        ..View::default()
    };
    let group: GroupId = "g".parse().unwrap();
    view.leases.learn(&group, lead(1, "a", false), at(1_000));
    for name in ["a", "b", "c"] {
        view.reports.answered(&id(name), at(2_000));
    }
    let reported = |view: &View| {
        let reports = selected_reports(view, at(2_100));
        let ids = reports.into_iter().map(|(id, _)| id.to_string());
        ids.collect::<Vec<_>>().join(" ")
    };
    assert_eq!(reported(&view), "a");
    view.reports.failed(&id("b"), at(2_050));
    assert_eq!(reported(&view), "a b c");
    view.reports.answered(&id("b"), at(2_060));
    view.leases.learn(&group, lead(2, "c", false), at(2_000));
    assert_eq!(reported(&view), "c");
    view.databases.clear();
    view.reports.failed(&id("b"), at(2_070));
    assert_eq!(reported(&view), "b");
}

/// Guards against a ping of all VMs after each write. At a first start the steward writes the first
/// primary of 68 groups, 16 ms apart; pinging all 99 VMs after each would bring 6,700 heartbeats in
/// a second, and callers would wait meanwhile. Five or six rounds are enough: the first at once,
/// and one soon after each group's write.
#[test]
fn changes_of_many_groups_need_few_pings() {
    let mut throttle = Throttle::default();
    let asked: Vec<Time> = (0..68).map(|group| at(1_000 + 16 * group)).collect();
    let rounds: Vec<Time> = asked
        .iter()
        .filter_map(|now| throttle.request(*now, 99))
        .collect();
    assert!(rounds.len() <= 6, "{rounds:?}");
    assert_eq!(rounds.first(), Some(&at(1_000)), "the first is at once");
    let each = |now: &Time| {
        rounds
            .iter()
            .any(|at| at >= now && at.since(*now) <= Span::from_millis(250))
    };
    assert!(asked.iter().all(each), "{rounds:?}");
    assert_eq!(throttle.request(at(9_000), 99), Some(at(9_000)));
}
