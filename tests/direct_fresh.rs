//! Which log position makes a replica new enough for a read.

use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::fresh::{Fresh, Progress};
use lentilspoke::types::{GroupId, Offset, Position, Term};
use quickcheck::quickcheck;

fn group() -> GroupId {
    "ledger".parse().unwrap()
}

fn at(millis: u64) -> Time {
    Time(0) + Span::from_millis(millis)
}

fn position(offset: u64) -> Position {
    Position::new(Term(1), Offset(offset))
}

#[test]
fn the_oldest_pair_that_is_young_enough_is_taken() {
    let mut fresh = Fresh::default();
    for step in 0..40 {
        fresh.learn(&group(), 1, at(100 * step), position(step));
    }
    assert_eq!(
        fresh.oldest_allowed(&group(), at(1_450)),
        Some(position(15))
    );
    assert_eq!(
        fresh.oldest_allowed(&group(), at(1_500)),
        Some(position(15))
    );
    assert_eq!(fresh.oldest_allowed(&group(), at(3_901)), None);
}

/// After a primary was replaced, its log may lack positions of its predecessor, which replicas would
/// refuse forever.
#[test]
fn a_new_epoch_forgets_the_pairs_of_the_old_one() {
    let mut fresh = Fresh::default();
    fresh.learn(&group(), 1, at(100), position(7));
    fresh.learn(&group(), 2, at(200), position(5));
    fresh.learn(&group(), 1, at(300), position(9));
    assert_eq!(fresh.oldest_allowed(&group(), at(0)), Some(position(5)));
    fresh.forget_before(&group(), 3);
    assert_eq!(fresh.oldest_allowed(&group(), at(0)), None);
}

/// A VM gets a position of the primary from another VM after an unknown network delay. If the position
/// were dated by its arrival, a read would miss commits that were acknowledged in the meantime.
#[test]
fn a_received_position_is_dated_by_its_request() {
    let mut steward = Fresh::default();
    steward.learn(&group(), 1, at(5_000), position(7));
    let received = steward.progress(at(5_200));
    let mut fresh = Fresh::default();
    fresh.receive(&received[0], at(900));
    assert_eq!(fresh.oldest_allowed(&group(), at(700)), Some(position(7)));
    assert_eq!(fresh.oldest_allowed(&group(), at(701)), None);
}

quickcheck! {
    // Answers arrive in any order, from a log that only grows. Whichever pairs are kept, the position
    // returned was reported by the primary when asked no earlier than allowed.
    fn no_position_is_older_than_asked_for(answers: Vec<(u16, u8)>, since: u16) -> bool {
        let mut fresh = Fresh::default();
        let mut reported = Vec::new();
        for (asked, after) in answers {
            let offset = u64::from(asked) + u64::from(after);
            fresh.learn(&group(), 1, at(u64::from(asked)), position(offset));
            reported.push((u64::from(asked), position(offset)));
        }
        match fresh.oldest_allowed(&group(), at(u64::from(since))) {
            Some(found) => reported.iter().any(|(asked, one)| {
                *one == found && *asked >= u64::from(since)
            }),
            None => reported.iter().all(|(asked, _)| *asked < u64::from(since)),
        }
    }
}

/// A VM that has just started got a position that was 3 s old. That time lay before the start of the VM's
/// clock and was clamped to zero, so the position counted as new enough for a read of at most 1.5 s age,
/// which missed a commit acknowledged two seconds before. (STALE on hunt-350e-11 of cctak-ledger.)
#[test]
fn a_position_older_than_the_process_keeps_its_age() {
    let now = lentilspoke::net::system::clock()();
    let received = Progress {
        group: group(),
        epoch: 1,
        position: position(59),
        age: Span::from_secs(3),
    };
    let mut fresh = Fresh::default();
    fresh.receive(&received, now);
    let since = now - Span::from_millis(1_500);
    assert_eq!(fresh.oldest_allowed(&group(), since), None);
}
