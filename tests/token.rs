//! Session tokens: which ones are verified, and which ones are refused.

use lentilspoke::token::{Invalid, Key, Token};
use lentilspoke::types::{GroupId, Offset, Position, Term};
use quickcheck::quickcheck;

fn key(text: &str) -> Key {
    text.parse().unwrap()
}

fn ours() -> Key {
    key("sixteen bytes and more")
}

fn group(number: u8) -> GroupId {
    format!("ledger{number}").parse().unwrap()
}

fn token(floors: &[(u8, u64, u64)]) -> Token {
    let mut token = Token::default();
    for (number, term, offset) in floors {
        token.raise(&group(*number), Position::new(Term(*term), Offset(*offset)));
    }
    token
}

quickcheck! {
    fn tokens_read_back(floors: Vec<(u8, u64, u64)>) -> bool {
        let token = token(&floors[..floors.len().min(8)]);
        Token::verify(&token.sign(&ours()), &ours()) == Ok(token)
    }

    fn any_text_is_refused(text: String) -> bool {
        Token::verify(&text, &ours()).is_err()
    }

    /// A token with one changed character must be refused, or its floor could be lower than the
    /// one that was issued.
    fn a_changed_token_is_refused(offset: u64, place: usize, to: u8) -> bool {
        let text = token(&[(1, 1, offset)]).sign(&ours());
        let mut bytes = text.clone().into_bytes();
        let place = place % bytes.len();
        bytes[place] = to % 128;
        let changed = String::from_utf8(bytes).unwrap();
        changed == text || Token::verify(&changed, &ours()) == Err(Invalid::Damaged)
    }

    fn a_floor_is_never_lowered(first: (u64, u64), second: (u64, u64)) -> bool {
        let position = |(term, offset)| Position::new(Term(term), Offset(offset));
        let both = token(&[(1, first.0, first.1), (1, second.0, second.1)]);
        both.floor(&group(1)) == Some(position(first).max(position(second)))
    }
}

#[test]
fn another_key_and_a_long_text_are_refused() {
    let text = token(&[(1, 3, 128)]).sign(&key("another sixteen bytes"));
    assert_eq!(Token::verify(&text, &ours()), Err(Invalid::Damaged));
    assert_eq!(
        Token::verify(&"A".repeat(5_000), &ours()),
        Err(Invalid::Long)
    );
    assert_eq!("short".parse::<Key>().err(), Some(Invalid::Key));
}
