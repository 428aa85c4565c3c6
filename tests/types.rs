//! Identifiers, positions and spans: which texts parse and which are refused.

use lentilspoke::clock::Span;
use lentilspoke::types::{GroupId, Invalid, Position};

#[test]
fn position_reads_back() {
    let position: Position = "3/128".parse().unwrap();
    assert_eq!(position.to_string(), "3/128");
    assert_eq!("3".parse::<Position>(), Err(Invalid::Position("3".into())));
}

#[test]
fn span_reads_units_and_refuses_bare_numbers() {
    assert_eq!("250ms".parse::<Span>(), Ok(Span::from_millis(250)));
    assert_eq!("5".parse::<Span>(), Err(Invalid::Span("5".into())));
}

#[test]
fn names_are_plain() {
    assert!("ledger1".parse::<GroupId>().is_ok());
    assert!("ledger 1".parse::<GroupId>().is_err());
    assert!("".parse::<GroupId>().is_err());
}
