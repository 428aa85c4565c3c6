//! Terms: when a steward may acknowledge writes, and which database it may open and when.

use lentilspoke::clock::{Span, Time};
use lentilspoke::core::term::{Confirmations, Promotion, required_position};
use lentilspoke::types::{DatabaseId, Offset, Position, Term};

const WINDOW: Span = Span(100);

fn database(name: &str) -> DatabaseId {
    name.parse().unwrap()
}

fn end(term: u64, offset: u64) -> Position {
    Position::new(Term(term), Offset(offset))
}

/// The primary `b` and `a` were raised to a higher term and no longer confirm, while `c` still does.
/// If the primary's own confirmation were not needed, the former steward would go on granting
/// floors and sending answers that it reads late.
#[test]
fn confirmations_lapse_with_the_primary() {
    let mut confirmations = Confirmations::new(Term(1), database("b"), 3);
    confirmations.confirm(&database("c"), Time(10), WINDOW);
    assert!(!confirmations.hold(Time(20)));
    confirmations.confirm(&database("b"), Time(20), WINDOW);
    assert_eq!(confirmations.deadline(), Time(110));
    confirmations.confirm(&database("c"), Time(90), WINDOW);
    assert!(confirmations.hold(Time(119)));
    assert!(!confirmations.hold(Time(120)));
}

/// `a`, whose log goes further, is raised while the order to open `b` is under way or its answer is
/// lost. Opening `a` too would give the term two primaries.
#[test]
fn choice_is_kept_once_ordered() {
    let members = ["a", "b", "c"].map(database).into();
    let mut promotion = Promotion::new(Term(2), members);
    promotion.raised(&database("b"), end(1, 4), Time(0), WINDOW);
    promotion.raised(&database("c"), end(1, 3), Time(10), WINDOW);
    assert_eq!(promotion.order(Time(111)), None);
    assert_eq!(promotion.order(Time(112)), Some(&database("b")));
    promotion.raised(&database("a"), end(1, 9), Time(120), WINDOW);
    assert_eq!(promotion.order(Time(130)), Some(&database("b")));
}

/// A late handover of term 1 must not skip the wait of term 3: another VM has opened term 2 since,
/// and its steward may still acknowledge.
#[test]
fn late_handover_does_not_skip_the_wait() {
    let members = ["a", "b", "c"].map(database).into();
    let mut promotion = Promotion::new(Term(3), members);
    promotion.raised(&database("b"), end(2, 4), Time(0), WINDOW);
    promotion.raised(&database("c"), end(2, 4), Time(10), WINDOW);
    promotion.yielded(Term(1));
    assert_eq!(promotion.order(Time(10)), None);
    promotion.yielded(Term(2));
    assert_eq!(promotion.order(Time(10)), Some(&database("b")));
}

#[test]
fn a_former_terms_write_is_held_as_part_of_this_term() {
    assert_eq!(required_position(Term(3), end(1, 7)), end(3, 7));
    assert_eq!(required_position(Term(3), end(3, 7)), end(3, 7));
}
