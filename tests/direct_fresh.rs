//! Which position makes a replica new enough.

use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::fresh::Fresh;
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

/// A primary is replaced. The log may lack what its predecessor had, and replicas would refuse
/// that position for ever.
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

/// One VM tells another what the primary answered it. The time that this took on the way is not
/// known; if it counted for the pair, a read would miss commits that were acknowledged meanwhile.
#[test]
fn what_another_vm_tells_is_dated_by_when_it_was_asked() {
    let mut steward = Fresh::default();
    steward.learn(&group(), 1, at(5_000), position(7));
    let told = steward.told(at(5_200));
    let mut fresh = Fresh::default();
    fresh.hear(&told[0], at(900));
    assert_eq!(fresh.oldest_allowed(&group(), at(700)), Some(position(7)));
    assert_eq!(fresh.oldest_allowed(&group(), at(701)), None);
}

quickcheck! {
    // Answers come in any order, from a log that only grows. Whatever is kept, the position told
    // is one that the primary had come to when asked no earlier than allowed.
    fn no_position_is_older_than_asked_for(answers: Vec<(u16, u8)>, since: u16) -> bool {
        let mut fresh = Fresh::default();
        let mut told = Vec::new();
        for (asked, after) in answers {
            let offset = u64::from(asked) + u64::from(after);
            fresh.learn(&group(), 1, at(u64::from(asked)), position(offset));
            told.push((u64::from(asked), position(offset)));
        }
        match fresh.oldest_allowed(&group(), at(u64::from(since))) {
            Some(found) => told.iter().any(|(asked, one)| {
                *one == found && *asked >= u64::from(since)
            }),
            None => told.iter().all(|(asked, _)| *asked < u64::from(since)),
        }
    }
}
