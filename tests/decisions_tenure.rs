//! How much of its share an allocator may grant, and when its successor may.

use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::lead::{LEASE, TERM};
use lentilspoke::direct::tenure::{Entry, Fraction, HEARTBEAT_AGE, SUCCESSION, Tenure};

fn at(millis: u64) -> Time {
    Time(1_000_000_000) + Span::from_millis(millis)
}

#[test]
fn a_reading_counts_for_a_term_and_for_half_until_the_lease_ends() {
    let mut tenure = Tenure::default();
    assert!(tenure.read(at(0), at(10)));
    assert!(!tenure.read(at(1_000), at(1_010)));
    assert_eq!(tenure.since(at(1_010)), Some(at(10)));
    let fractions = [3_499, 3_500, 8_999, 9_000].map(|millis| tenure.fraction(at(millis)));
    let (half, whole) = (Some(Fraction::Half), Some(Fraction::Whole));
    assert_eq!(fractions, [whole, half, half, None]);
}

/// Guards against an allocator that goes on as long as a steward without the store receives its heartbeats.
#[test]
fn the_answer_of_a_steward_counts_until_the_lease_ends() {
    let mut tenure = Tenure::default();
    tenure.read(at(0), at(10));
    for heartbeat in 1..40 {
        tenure.confirm(at(heartbeat * 500));
    }
    let end = at(0) + LEASE;
    assert_eq!(tenure.fraction(end - Span(1)), Some(Fraction::Whole));
    assert_eq!(tenure.fraction(end), None);
}

/// Guards against a bucket that was filled while another VM was the allocator.
#[test]
fn a_gap_begins_a_tenure() {
    let mut tenure = Tenure::default();
    tenure.read(at(0), at(10));
    assert!(tenure.read(at(9_000), at(9_010)));
    assert_eq!(tenure.since(at(9_010)), Some(at(9_010)));
}

/// An old proof that arrives late begins nothing.
#[test]
fn a_late_proof_is_none() {
    let mut tenure = Tenure::default();
    assert!(!tenure.read(at(0), at(9_000)));
    assert_eq!(tenure.fraction(at(9_000)), None);
}

/// Guards against an allocator and its successor that together grant more than one share. Checks each moment
/// after an eviction, with the latest proofs that the predecessor can have.
#[test]
fn both_sides_of_a_partition_grant_one_share_at_most() {
    let worth = |fraction| match fraction {
        None => 0,
        Some(Fraction::Half) => 1,
        Some(Fraction::Whole) => 2,
    };
    let evicted = at(20_000);
    for (marked, all) in [(1, 9), (4, 9), (5, 9), (8, 9)] {
        let mut predecessor = Tenure::default();
        predecessor.read(evicted, evicted);
        // With most of the VMs evicted, these may follow the predecessor steward without limit.
        let confirmed = if marked * 2 < all {
            HEARTBEAT_AGE
        } else {
            LEASE
        };
        predecessor.confirm(evicted + confirmed);
        let mut successor = Tenure::default();
        successor.read(evicted + Span::from_secs(60), evicted);
        let entry = Entry::successor(evicted, marked, all);
        let mut last = 0;
        for millis in (0..15_000).step_by(10) {
            let now = evicted + Span::from_millis(millis);
            last = worth(
                entry
                    .begins
                    .le(&now)
                    .then(|| entry.fraction(&successor, now))
                    .flatten(),
            );
            assert!(
                worth(predecessor.fraction(now)) + last <= 2,
                "{marked} of {all}: {millis} ms"
            );
        }
        assert_eq!(last, 2);
    }
    assert!(SUCCESSION >= TERM + HEARTBEAT_AGE);
}
