//! News of the steward for all VMs.

use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::control::nudge::Nudge;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

/// Callers of 99 VMs are refused from the start on: the steward writes the first primary of 68
/// groups, 16 ms apart, and asks all VMs to beat after each. It answers none of 6,700 heartbeats in
/// time, so all VMs read the store themselves. Five rounds tell the same, the last one after all.
#[test]
fn news_of_many_groups_are_one_nudge() {
    let mut nudge = Nudge::default();
    let asked: Vec<Time> = (0..68).map(|group| at(1_000 + 16 * group)).collect();
    let rounds: Vec<Time> = asked.iter().filter_map(|now| nudge.ask(*now)).collect();
    assert!(rounds.len() <= 6, "{rounds:?}");
    assert_eq!(rounds.first(), Some(&at(1_000)), "the first is at once");
    let each = |now: &Time| {
        rounds
            .iter()
            .any(|at| at >= now && at.since(*now) <= Span::from_millis(250))
    };
    assert!(asked.iter().all(each), "{rounds:?}");
    assert_eq!(nudge.ask(at(9_000)), Some(at(9_000)));
}
