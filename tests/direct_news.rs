//! What VMs tell each other of who leads, and of how databases answered them.

mod registered;

use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::control::news::telling;
use lentilspoke::direct::control::nudge::Nudge;
use lentilspoke::direct::lead::{Book, Lead, digest};
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

/// A VM asks the steward and, before the answer is there, learns from the store that a group has
/// another primary. The answer says of a reading from before that nothing has changed: it must not
/// count for the new primary, whose lease it would make longer than any reading allows.
#[test]
fn nothing_changed_is_said_of_what_was_known() {
    let groups: [GroupId; 2] = ["g", "h"].map(|name| name.parse().unwrap());
    let mut book = Book::default();
    for group in &groups {
        book.learn(group, lead(1, "a", false), at(1_000));
    }
    let told = book.digest();
    let known = groups.iter().map(|group| (group, lead(1, "a", false)));
    let known: Vec<_> = known.collect();
    assert_eq!(
        told,
        digest(known.iter().map(|(group, lead)| (*group, lead)))
    );
    assert_eq!(book.shown(told).map(|rows| rows.len()), Some(2));
    for newer in [lead(1, "a", true), lead(2, "b", false), lead(3, "a", false)] {
        book.learn(&groups[0], newer, at(1_200));
        assert_eq!(book.shown(told), None);
        assert_ne!(book.digest(), told);
    }
    let group: GroupId = "i".parse().unwrap();
    let before = book.digest();
    book.learn(&group, lead(1, "a", false), at(1_300));
    assert_eq!(book.shown(before), None);
}

/// A VM is answered by a primary and by two replicas. It tells of the primary alone, until something
/// of that group fails: then the steward has to know what else would do better.
#[test]
fn replicas_are_told_of_once_something_fails() {
    let mut view = View {
        databases: databases(&["a", "b", "c"]),
        ..View::default()
    };
    let group: GroupId = "g".parse().unwrap();
    view.leases.learn(&group, lead(1, "a", false), at(1_000));
    for name in ["a", "b", "c"] {
        view.reports.answered(&id(name), at(2_000));
    }
    let told = |view: &View| {
        let reports = telling(view, at(2_100));
        let ids = reports.into_iter().map(|(id, _)| id.to_string());
        ids.collect::<Vec<_>>().join(" ")
    };
    assert_eq!(told(&view), "a");
    view.reports.failed(&id("b"), at(2_050));
    assert_eq!(told(&view), "a b c");
    view.reports.answered(&id("b"), at(2_060));
    view.leases.learn(&group, lead(2, "c", false), at(2_000));
    assert_eq!(told(&view), "c");
    view.databases.clear();
    view.reports.failed(&id("b"), at(2_070));
    assert_eq!(told(&view), "b");
}

/// At a first start the steward writes the first primary of 68 groups, 16 ms apart, and after each
/// asks all 99 VMs to beat: 6,700 heartbeats in a second, and callers wait while it answers them.
/// Five or six rounds tell the same; the first is at once, and one is after each group's news.
#[test]
fn news_of_many_groups_are_one_nudge() {
    let mut nudge = Nudge::default();
    let asked: Vec<Time> = (0..68).map(|group| at(1_000 + 16 * group)).collect();
    let rounds: Vec<Time> = asked.iter().filter_map(|now| nudge.ask(*now, 99)).collect();
    assert!(rounds.len() <= 6, "{rounds:?}");
    assert_eq!(rounds.first(), Some(&at(1_000)), "the first is at once");
    let each = |now: &Time| {
        rounds
            .iter()
            .any(|at| at >= now && at.since(*now) <= Span::from_millis(250))
    };
    assert!(asked.iter().all(each), "{rounds:?}");
    assert_eq!(nudge.ask(at(9_000), 99), Some(at(9_000)));
}
