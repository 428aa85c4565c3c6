//! Round trips of the statements, states, refusals and positions of `net::dialect`.

use lentilspoke::core::database::{Order, Refusal, State};
use lentilspoke::core::lineage::{Lineage, Start};
use lentilspoke::net::dialect::{
    Invalid, Mark, Statement, decode_refusal, decode_state, encode_refusal, encode_state,
};
use lentilspoke::types::{Offset, Position, Term};
use quickcheck::quickcheck;

fn position(term: u64, offset: u64) -> Position {
    Position::new(Term(term), Offset(offset))
}

quickcheck! {
    fn statements_read_back(verb: u8, term: u64, offset: u64) -> bool {
        let statement = match verb % 6 {
            0 => Statement::Order(Order::Report),
            1 => Statement::Order(Order::Raise(Term(term))),
            2 => Statement::Order(Order::Open(Term(term))),
            3 => Statement::Order(Order::Reach(position(term, offset))),
            4 => Statement::Term(Some(Term(term))),
            _ => Statement::Term(None),
        };
        statement.to_string().parse() == Ok(statement)
    }

    fn any_text_is_read_without_panic(text: String) -> bool {
        let _ = format!("LENTIL {text}").parse::<Statement>();
        let _ = decode_state(&text);
        let _ = decode_refusal("LT001", Some(&text));
        let _ = Mark::read("lentil.wrote", &text);
        text.parse::<Statement>().is_err()
    }

    fn states_read_back(term: u64, offset: u64, open: bool) -> bool {
        let state = State {
            term: Term(term),
            position: position(term, offset),
            applied: position(1, offset / 2),
            open,
            lineage: Lineage::new(vec![Start { term: Term(term), base: position(1, 0) }]),
        };
        decode_state(&encode_state(&state)) == Ok(state)
    }

    fn marks_read_back(term: u64, offset: u64, wrote: bool) -> bool {
        let mark = if wrote { Mark::Wrote } else { Mark::Applied }(position(term, offset));
        let (name, value) = mark.parameter();
        Mark::read(name, &value) == Ok(Some(mark))
    }
}

#[test]
fn refusals_read_back() {
    for refusal in [
        Refusal::Term(Term(7)),
        Refusal::ReadOnly,
        Refusal::Full,
        Refusal::KeyBusy,
    ] {
        let fault = encode_refusal(refusal);
        assert_eq!(
            decode_refusal(fault.code, fault.detail.as_deref()),
            Some(refusal)
        );
    }
    assert_eq!(decode_refusal("42601", None), None);
}

#[test]
fn foreign_text_is_refused() {
    insta::assert_snapshot!(Statement::Order(Order::Reach(position(3, 128))), @"LENTIL REACH 3/128");
    assert_eq!(Mark::read("TimeZone", "UTC"), Ok(None));
    assert_eq!(
        Mark::read("lentil.applied", "3"),
        Err(Invalid::Position("3".into()))
    );
    assert_eq!(
        "SELECT 1".parse::<Statement>(),
        Err(Invalid::Statement("SELECT 1".into()))
    );
}
