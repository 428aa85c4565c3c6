//! Verdicts on a database that few VMs connect to: the others reach it through those, and have no
//! vote.

use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::control::evidence::{Attempt, Observation, Probe, Verdict, count, judge};
use lentilspoke::direct::view::Report;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn now() -> Time {
    at(10_000)
}

fn observation(answered: Option<u64>, failing: Option<u64>) -> Observation {
    Observation {
        received: at(9_900),
        report: Report {
            answered: answered.map(Span::from_millis),
            failing: failing.map(Span::from_millis),
        },
    }
}

fn fails() -> Observation {
    observation(Some(1_400), Some(1_300))
}

fn tried(attempt: Attempt) -> Option<Probe> {
    Some(Probe {
        began: at(9_600),
        ended: at(9_620),
        attempt,
    })
}

fn verdict(few: &[Observation], others: Observation, tried: Option<Probe>) -> Verdict {
    let others = std::iter::repeat_n(others, 60);
    let votes = count(few.iter().copied().chain(others), now());
    judge(&votes, tried, now())
}

/// Three of 63 VMs connect to the primary for all, and two of these have been cut from it for 1.3
/// s, so callers get no writes through. The 60 others never tried it, or did so long ago, and must
/// not outvote the two, as they would if each VM that sends heartbeats had a vote.
#[test]
fn two_of_three_owners_are_cut_off() {
    let fine = observation(Some(50), None);
    for others in [observation(None, None), observation(Some(5_000), None)] {
        assert_eq!(
            verdict(&[fails(), fails(), fine], others, None),
            Verdict::Split
        );
        let one = [fails(), fine, fine];
        assert_eq!(verdict(&one, others, None), Verdict::Suspected);
    }
}

/// Both VMs that connect to a primary are cut from it, and the steward, which never needed it,
/// reaches it. No other VM has a vote on it, so without the steward's own attempt as a vote it
/// would only be suspected for as long as the cut lasts.
#[test]
fn all_owners_are_cut_off_and_the_steward_is_not() {
    let untried = observation(None, None);
    let both = [fails(), fails()];
    let reached = tried(Attempt::Answered);
    assert_eq!(verdict(&both, untried, reached), Verdict::Split);
    assert_eq!(verdict(&both, untried, None), Verdict::Suspected);
    assert_eq!(verdict(&both[..1], untried, reached), Verdict::Suspected);
    let silent = tried(Attempt::Silent);
    assert_eq!(verdict(&both, untried, silent), Verdict::Lost);
}

/// Two of three VMs do not reach the primary, two of 60 do not reach a replica. That replica is the
/// better primary, although as many fail to reach it.
#[test]
fn shares_are_compared_and_not_numbers() {
    let fine = observation(Some(50), None);
    let votes = |fine_ones| {
        let fine = std::iter::repeat_n(fine, fine_ones);
        count([fails(), fails()].into_iter().chain(fine), now())
    };
    let (primary, replica) = (votes(1), votes(58));
    assert!(replica.fails_less(&primary));
    assert!(!primary.fails_less(&replica) && !primary.fails_less(&primary));
}
