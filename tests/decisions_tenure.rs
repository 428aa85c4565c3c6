//! How much a VM may hand out of what it keeps, and when its successor may.

use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::lead::{LEASE, TERM};
use lentilspoke::direct::tenure::{Entry, HEARD, Part, SUCCESSION, Tenure};

fn at(millis: u64) -> Time {
    Time(1_000_000_000) + Span::from_millis(millis)
}

#[test]
fn a_reading_counts_for_a_term_and_for_half_until_the_lease_ends() {
    let mut tenure = Tenure::default();
    assert!(tenure.read(at(0), at(10)));
    assert!(!tenure.read(at(1_000), at(1_010)));
    assert_eq!(tenure.since(at(1_010)), Some(at(10)));
    let parts = [3_499, 3_500, 8_999, 9_000].map(|millis| tenure.part(at(millis)));
    let (half, whole) = (Some(Part::Half), Some(Part::Whole));
    assert_eq!(parts, [whole, half, half, None]);
}

/// Guards against a keeper that goes on for as long as a steward without the store hears it.
#[test]
fn the_word_of_a_steward_counts_until_the_lease_ends() {
    let mut tenure = Tenure::default();
    tenure.read(at(0), at(10));
    for beat in 1..40 {
        tenure.heard(at(beat * 500));
    }
    let end = at(0) + LEASE;
    assert_eq!(tenure.part(end - Span(1)), Some(Part::Whole));
    assert_eq!(tenure.part(end), None);
}

/// Guards against a bucket that was filled while another VM kept the same.
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
    assert_eq!(tenure.part(at(9_000)), None);
}

/// Guards against two keepers of one place that hand out more than one: at each moment after an eviction, the
/// former keeper, with the last proofs that it can have, and its successor.
#[test]
fn both_sides_of_a_cut_hand_out_one_at_most() {
    let worth = |part| match part {
        None => 0,
        Some(Part::Half) => 1,
        Some(Part::Whole) => 2,
    };
    let evicted = at(20_000);
    for (marked, all) in [(1, 9), (4, 9), (5, 9), (8, 9)] {
        let mut former = Tenure::default();
        former.read(evicted, evicted);
        // With most of the VMs evicted these may hear the former steward as long as they like.
        let heard = if marked * 2 < all { HEARD } else { LEASE };
        former.heard(evicted + heard);
        let mut successor = Tenure::default();
        successor.read(evicted + Span::from_secs(60), evicted);
        let entry = Entry::of_successor(evicted, marked, all);
        let mut last = 0;
        for millis in (0..15_000).step_by(10) {
            let now = evicted + Span::from_millis(millis);
            last = worth(
                entry
                    .begins
                    .le(&now)
                    .then(|| entry.part(&successor, now))
                    .flatten(),
            );
            assert!(
                worth(former.part(now)) + last <= 2,
                "{marked} of {all}: {millis} ms"
            );
        }
        assert_eq!(last, 2);
    }
    assert!(SUCCESSION >= TERM + HEARD);
}
