//! The choice of the database for a read, while replicas slow down, lag, fail and return.

use lentilspoke::clock::{Span, Time};
use lentilspoke::core::message::Hint;
use lentilspoke::core::route::{Candidate, Need, Policy, Router};
use lentilspoke::types::{DatabaseId, Offset, Position, Term};

const PRIMARY: &str = "a";
const REPLICAS: [&str; 2] = ["b", "c"];

fn at(millis: u64) -> Time {
    Time::default() + Span::from_millis(millis)
}

fn id(name: &str) -> DatabaseId {
    name.parse().unwrap()
}

fn candidates() -> Vec<Candidate> {
    [PRIMARY, REPLICAS[0], REPLICAS[1]]
        .into_iter()
        .map(|name| Candidate {
            database: id(name),
            primary: name == PRIMARY,
            near: true,
        })
        .collect()
}

fn position(offset: u64) -> Position {
    Position::new(Term(1), Offset(offset))
}

fn hint(offset: u64, run: u64, wait: u64) -> Hint {
    Hint {
        position: position(offset),
        age: Some(Span::from_millis(100)),
        wait: Span::from_millis(wait),
        run: Span::from_millis(run),
        primary: None,
    }
}

/// Sends one read per millisecond from `from` to `to`, each answered at once with its database's
/// hint, and counts the reads sent to the primary and to each replica.
fn drive(router: &mut Router, from: u64, to: u64, hints: &[Hint; 3]) -> [u64; 3] {
    let mut counts = [0; 3];
    for millis in from..to {
        let first = router
            .order(at(millis), &Need::default(), &candidates())
            .remove(0);
        let index = [PRIMARY, REPLICAS[0], REPLICAS[1]]
            .iter()
            .position(|name| *name == first.as_str())
            .unwrap();
        counts[index] += 1;
        router.sent(at(millis), &first);
        let took = hints[index].run + hints[index].wait;
        router.answered(at(millis), &first, took, &hints[index]);
    }
    counts
}

// Reads go to both replicas and none to the primary, whose slots are for writes.
#[test]
fn reads_avoid_the_primary() {
    let mut router = Router::default();
    let counts = drive(
        &mut router,
        1,
        2_000,
        &[hint(9, 4, 0), hint(9, 4, 0), hint(9, 4, 0)],
    );
    assert_eq!(counts[0], 0);
    assert!(counts[1].abs_diff(counts[2]) < 200, "{counts:?}");
}

// One replica becomes ten times slower: its reads fall to a few per cent within a second. After it
// has recovered, it regains its part over seconds, not at once. Round robin keeps sending it half.
#[test]
fn a_slow_replica_loses_reads_fast_and_regains_them_slowly() {
    let fast = [hint(9, 4, 0), hint(9, 4, 0), hint(9, 4, 0)];
    let slow = [hint(9, 4, 0), hint(9, 4, 0), hint(9, 40, 0)];
    let mut router = Router::default();
    drive(&mut router, 1, 1_000, &fast);
    drive(&mut router, 1_000, 2_000, &slow);
    let during = drive(&mut router, 2_000, 4_000, &slow);
    assert!(during[2] < 100, "{during:?}");
    let soon = drive(&mut router, 4_000, 5_000, &fast)[2];
    let later = drive(&mut router, 20_000, 21_000, &fast)[2];
    assert!(soon < later, "{soon} {later}");
    assert!(later > 350, "{later}");
    let mut naive = Router::with(Policy::naive(), 0);
    assert_eq!(drive(&mut naive, 1, 1_001, &slow)[2], 500);
}

// A session wrote log entry 50. Replica b is known to have 60 and c only 10, so the read goes to b.
// If neither has it, the read goes to the primary. If a replica advances fast enough to have it
// soon, the read is tried there.
#[test]
fn a_session_reads_where_its_write_is() {
    let need = Need {
        floor: Some(position(50)),
        max_age: None,
    };
    let mut router = Router::default();
    router.answered(at(1), &id("b"), Span(1), &hint(60, 4, 0));
    router.answered(at(1), &id("c"), Span(1), &hint(10, 4, 0));
    for millis in 2..50 {
        assert_eq!(router.order(at(millis), &need, &candidates())[0], id("b"));
    }
    let mut behind = Router::default();
    behind.answered(at(1), &id("b"), Span(1), &hint(10, 4, 0));
    behind.answered(at(1), &id("c"), Span(1), &hint(10, 4, 0));
    assert_eq!(behind.order(at(2), &need, &candidates())[0], id(PRIMARY));
    for millis in 2..2_000 {
        let near = hint(10 + millis / 13, 4, 0);
        behind.answered(at(millis), &id("b"), Span(1), &near);
    }
    let soon = Need {
        floor: Some(position(165)),
        max_age: None,
    };
    assert_eq!(behind.order(at(2_000), &soon, &candidates())[0], id("b"));
}

// Reads of a stated age avoid a replica whose proven age is greater, and use the primary if both
// are too old.
#[test]
fn an_aged_read_avoids_what_is_too_old() {
    let need = Need {
        floor: None,
        max_age: Some(Span::from_millis(50)),
    };
    let mut router = Router::default();
    router.answered(at(1), &id("b"), Span(1), &hint(9, 4, 0));
    assert_eq!(router.order(at(2), &need, &candidates())[0], id("c"));
    router.answered(at(2), &id("c"), Span(1), &hint(9, 4, 0));
    assert_eq!(router.order(at(3), &need, &candidates())[0], id(PRIMARY));
}

// Both replicas' queues are long and the primary's is empty: reads spill to the primary. They stop
// when the primary's queue is half as long as theirs.
#[test]
fn reads_spill_to_an_idle_primary() {
    let mut router = Router::default();
    let counts = drive(
        &mut router,
        1,
        1_000,
        &[hint(9, 4, 0), hint(9, 4, 60), hint(9, 4, 60)],
    );
    assert!(counts[0] > 900, "{counts:?}");
    let counts = drive(
        &mut router,
        1_000,
        2_000,
        &[hint(9, 4, 30), hint(9, 4, 60), hint(9, 4, 60)],
    );
    assert!(counts[0] < 100, "{counts:?}");
}

// A replica answers nothing, and its broken stream has not been detected: after a quarter of a
// second no more reads are sent to it.
#[test]
fn a_silent_replica_is_passed_over() {
    let mut router = Router::default();
    router.answered(at(1), &id("b"), Span(1), &hint(9, 4, 0));
    router.answered(at(1), &id("c"), Span(1), &hint(9, 4, 0));
    router.sent(at(2), &id("c"));
    for millis in 260..300 {
        let order = router.order(at(millis), &Need::default(), &candidates());
        assert_eq!(order[0], id("b"));
        router.sent(at(millis), &id("b"));
        router.answered(at(millis), &id("b"), Span(1), &hint(9, 4, 0));
    }
}

// A replica that failed three times is ranked after the other one until it is tried again.
// Rejections of a greedy caller's reads don't count as failures.
#[test]
fn a_failing_replica_comes_last_but_a_refusing_one_does_not() {
    let mut router = Router::default();
    for millis in 1..4 {
        router.failed(at(millis), &id("c"));
    }
    let order = router.order(at(10), &Need::default(), &candidates());
    assert_eq!(order, [id("b"), id("c"), id(PRIMARY)]);
    assert!(router.share(&id("c")) < 0.1);
    let mut refused = Router::default();
    for millis in 1..100 {
        refused.refused(at(millis), &id("c"), &hint(9, 4, 0));
    }
    assert!(router.share(&id("b")) > 0.9);
    assert!(refused.share(&id("c")) > 0.9);
}

/// Both replicas were behind when a caller with few reads got its only hints from them. Their speed
/// is not known, so its reads go to the primary; a second later a replica is tried again instead of
/// staying excluded until the next change of primary.
#[test]
fn a_replica_that_was_behind_is_asked_again() {
    let mut router = Router::default();
    let need = Need {
        floor: Some(position(50)),
        max_age: None,
    };
    for replica in REPLICAS {
        router.refused(at(1), &id(replica), &hint(10, 4, 0));
    }
    assert_eq!(router.order(at(900), &need, &candidates())[0], id(PRIMARY));
    assert_ne!(
        router.order(at(1_100), &need, &candidates())[0],
        id(PRIMARY)
    );
}

/// A replica returns errors for some reads and answers the others as fast as ever. An error cuts
/// its share below what a replica near by needs to go first; the share is back after some seconds
/// without errors.
#[test]
fn a_replica_with_errors_loses_and_regains_its_share() {
    let mut router = Router::default();
    let need = Need::default();
    for replica in REPLICAS {
        router.answered(at(1), &id(replica), Span(1), &hint(10, 4, 0));
    }
    router.order(at(2), &need, &candidates());
    router.returned_error(at(3), &id("b"));
    assert!(router.share(&id("b")) < 0.3, "{}", router.share(&id("b")));
    for millis in (1_000..8_000).step_by(500) {
        for replica in REPLICAS {
            router.answered(at(millis), &id(replica), Span(1), &hint(10, 4, 0));
        }
        router.order(at(millis), &need, &candidates());
    }
    assert!(router.share(&id("b")) > 0.9, "{}", router.share(&id("b")));
}
