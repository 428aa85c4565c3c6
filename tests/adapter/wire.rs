//! The line codec. Bytes from callers and databases are arbitrary: they must not cause a panic, exhaust
//! memory, or smuggle one statement inside another.

use crate::platform::wire::{MESSAGE_LIMIT, WIRE};
use bytes::{Bytes, BytesMut};
use lentilspoke::direct::adapter::Garbled;
use lentilspoke::direct::statement::{Answer, Code, End, Message, Order, Query, State};
use lentilspoke::types::{Offset, Position, Term};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::fmt::Write;

fn messages(input: &mut BytesMut) -> Vec<Result<Message, Garbled>> {
    let mut found = Vec::new();
    while let Some(next) = (WIRE.read_message)(input).transpose() {
        found.push(next);
    }
    found
}

fn query(text: &str) -> Query {
    let line = format!("QUERY 5c0e {text}\r\n");
    match (WIRE.read_message)(&mut BytesMut::from(line.as_bytes())) {
        Ok(Some(Message::Query(query))) => query,
        other => panic!("{other:?}"),
    }
}

fn position(term: u64, offset: u64) -> Position {
    Position::new(Term(term), Offset(offset))
}

/// Random bytes that resemble messages.
#[derive(Debug, Clone)]
struct Noise(Vec<u8>);

impl Arbitrary for Noise {
    fn arbitrary(g: &mut Gen) -> Self {
        let words: [&[u8]; 20] = [
            b"QUERY ", b"START ", b"BYE", b"ROW ", b"DONE ", b"ERR ", b"READY ", b"BUSY ", b"I ",
            b"- ", b"3.17", b"a", b" ", b"\r\n", b"\r\n", b"\r", b"\n", b"\xff", b"EXEC s ",
            b"AFTER ",
        ];
        let count = usize::arbitrary(g) % 24;
        let noise = (0..count).flat_map(|_| g.choose(&words).unwrap().to_vec());
        Self(noise.collect())
    }
}

quickcheck! {
    fn messages_do_not_depend_on_how_bytes_arrive(noise: Noise, cuts: Vec<u8>) -> bool {
        let whole = messages(&mut BytesMut::from(&noise.0[..]));
        let mut input = BytesMut::new();
        let mut parts = Vec::new();
        let mut rest = &noise.0[..];
        for cut in cuts {
            let (now, later) = rest.split_at(usize::from(cut % 7).min(rest.len()));
            input.extend_from_slice(now);
            parts.extend(messages(&mut input));
            rest = later;
        }
        input.extend_from_slice(rest);
        parts.extend(messages(&mut input));
        whole == parts
    }

    fn a_statement_is_forwarded_unchanged_in_one_line(id: String, text: String) -> bool {
        let clean = |text: &str| text.replace(['\r', '\n'], "");
        let (id, text) = (clean(&id).replace(' ', "") + "x", clean(&text));
        let line = format!("QUERY {id} {text}\r\n");
        let read = (WIRE.read_message)(&mut BytesMut::from(line.as_bytes()));
        let Ok(Some(Message::Query(query))) = read else { return false };
        let mut output = BytesMut::new();
        (WIRE.write_query)(&mut output, &query, None, None);
        output == line.as_bytes()
    }

    fn what_is_written_is_one_line(id: String, text: String, name: Option<String>) -> bool {
        let mut query = query("EXEC s1 1a4");
        (query.id, query.text) = (id.into(), text.into());
        let mut output = BytesMut::new();
        (WIRE.write_query)(&mut output, &query, name.as_deref(), None);
        let end = output.len() - 2;
        output.ends_with(b"\r\n") && !output[..end].iter().any(|b| matches!(b, b'\r' | b'\n'))
    }

    fn answers_of_any_bytes_are_read_or_refused(noise: Noise, starting: bool) -> bool {
        let mut input = BytesMut::from(&noise.0[..]);
        match (WIRE.read_answer)(&mut input, starting) {
            Ok(Some(_)) => input.len() < noise.0.len(),
            Ok(None) => input == noise.0[..],
            Err(_) => true,
        }
    }

    fn an_answer_survives_a_round_trip(rows: Vec<u16>, code: u8, state: u8, at: Option<(u64, u64)>) -> bool {
        let codes = [
            Code::Busy, Code::RolledBack, Code::Behind, Code::NotPrimary, Code::OtherDatabase,
            Code::Full, Code::NoStatement, Code::NoDatabase, Code::Malformed, Code::Failed,
            Code::Late, Code::Unknown, Code::NoKey,
        ];
        let end = match codes.get(usize::from(code)) {
            Some(code) => End::Error { code: *code, text: "why it is so".into() },
            None => End::Done(code.is_multiple_of(2).then(|| "7.1f3.c".into())),
        };
        let rows = rows.iter().map(|row| Bytes::from(format!("ROW {row}\r\n")));
        let answer = Answer {
            rows: rows.collect(),
            end,
            state: [State::Idle, State::Open, State::Failed][usize::from(state % 3)],
            position: at.map(|(term, offset)| position(term, offset)),
        };
        let mut bytes = BytesMut::new();
        (WIRE.write_answer)(&mut bytes, &answer, true);
        let read = (WIRE.read_answer)(&mut bytes, false);
        read == Ok(Some(answer)) && bytes.is_empty()
    }
}

#[test]
fn texts_are_known_statements_or_unknown() {
    let texts = [
        "BEGIN",
        "BEGIN READ",
        "BEGIN WRITE",
        "BEGIN ",
        "COMMIT",
        "COMMIT now",
        "ROLLBACK",
        "READ 1a4",
        "READ ",
        "READ",
        "WRITE 1a4 xkq pwn",
        "WRITE 1a4",
        "SET a b c",
        "SET a",
        "PREPARE s1 WRITE q2c",
        "PREPARE s1 READ q2c",
        "PREPARE s1 DROP q2c",
        "PREPARE s1 READ",
        "EXEC s1 1a4 xkq",
        "EXEC s1 1a4",
        "EXEC s1",
        "DEALLOC s1",
        "DEALLOC",
        "DEALLOC s1 s2",
        "AFTER 3.1207 READ 1a4",
        "RESET",
        "STATUS",
        "PAUSE 9",
        "RESUME",
        "STEPDOWN 9",
        "begin",
        "",
    ];
    let mut seen = String::new();
    for text in texts {
        writeln!(seen, "{text:?}: {:?}", query(text).statement).unwrap();
    }
    insta::assert_snapshot!(seen, @r#"
    "BEGIN": Begin { read: false }
    "BEGIN READ": Begin { read: true }
    "BEGIN WRITE": Unknown
    "BEGIN ": Unknown
    "COMMIT": Commit
    "COMMIT now": Unknown
    "ROLLBACK": Rollback
    "READ 1a4": Read
    "READ ": Unknown
    "READ": Unknown
    "WRITE 1a4 xkq pwn": Write
    "WRITE 1a4": Unknown
    "SET a b c": Set { name: "a", value: "b c" }
    "SET a": Unknown
    "PREPARE s1 WRITE q2c": Prepare { name: "s1", writes: true, shape: "q2c" }
    "PREPARE s1 READ q2c": Prepare { name: "s1", writes: false, shape: "q2c" }
    "PREPARE s1 DROP q2c": Unknown
    "PREPARE s1 READ": Unknown
    "EXEC s1 1a4 xkq": Execute { name: "s1", rest: "1a4 xkq" }
    "EXEC s1 1a4": Execute { name: "s1", rest: "1a4" }
    "EXEC s1": Unknown
    "DEALLOC s1": Deallocate { name: "s1" }
    "DEALLOC": Unknown
    "DEALLOC s1 s2": Unknown
    "AFTER 3.1207 READ 1a4": Unknown
    "RESET": Unknown
    "STATUS": Unknown
    "PAUSE 9": Unknown
    "RESUME": Unknown
    "STEPDOWN 9": Unknown
    "begin": Unknown
    "": Unknown
    "#);
}

#[test]
fn lines_are_read_or_refused() {
    let input = "START lepu270 u3f1\r\nSTART lepu270\r\nSTART  u3f1\r\nQUERY 5c0e\r\n\
        QUERY  READ 1a4\r\nBYE now\r\nDROP all\r\n\r\nBYE\r\nQUERY 5c0e REA";
    let mut input = BytesMut::from(input.as_bytes());
    let mut seen = String::new();
    for message in messages(&mut input) {
        writeln!(seen, "{message:?}").unwrap();
    }
    writeln!(seen, "left: {input:?}").unwrap();
    insta::assert_snapshot!(seen, @r#"
    Ok(Start { database: "lepu270", key: Key(32fe8620) })
    Err(Unclear("fields are missing"))
    Err(Unclear("fields are missing"))
    Err(Unclear("fields are missing"))
    Err(Unclear("fields are missing"))
    Err(Unclear("a field too many"))
    Err(Unclear("the word is not known"))
    Err(Unclear("the word is not known"))
    Ok(Bye)
    left: b"QUERY 5c0e REA"
    "#);
}

/// A caller puts a lone LF or CR in a statement, followed by a second statement that a database would
/// run under an id that no caller sent. The whole line is refused.
#[test]
fn a_line_with_a_statement_inside_another_is_refused() {
    for inner in ["\nQUERY 6d WRITE a b", "\rQUERY 6d WRITE a b", "\n\rx"] {
        let line = format!("QUERY 5c READ 1a4{inner}\r\nBYE\r\n");
        let read = messages(&mut BytesMut::from(line.as_bytes()));
        assert!(
            matches!(read[..], [Err(Garbled::Unclear(_)), Ok(Message::Bye)]),
            "{read:?}"
        );
    }
}

#[test]
fn a_message_is_at_most_one_mebibyte() {
    let line = |length: usize| format!("QUERY a READ {}\r\n", "x".repeat(length - 15));
    let read = |bytes: &str| (WIRE.read_message)(&mut BytesMut::from(bytes.as_bytes()));
    assert!(matches!(read(&line(MESSAGE_LIMIT)), Ok(Some(_))));
    assert_eq!(
        read(&line(MESSAGE_LIMIT + 1)),
        Err(Garbled::Long(MESSAGE_LIMIT))
    );
    assert_eq!(
        read(&"\n".repeat(MESSAGE_LIMIT)),
        Err(Garbled::Long(MESSAGE_LIMIT))
    );
}

/// A database sends rows without end. The answer is refused once it exceeds the limit.
#[test]
fn an_endless_answer_is_refused() {
    let row = format!("ROW {}\r\n", "x".repeat(1_000_000));
    let mut input = BytesMut::new();
    let refused = (0..20).find_map(|_| {
        input.extend_from_slice(row.as_bytes());
        (WIRE.read_answer)(&mut input, false).err()
    });
    assert!(matches!(refused, Some(Garbled::Long(_))));
}

#[test]
fn answers_are_read_whole() {
    let inputs = [
        "ROW qhz\r\nROW k\r\nDONE 7.1f3\r\nREADY T 3.1209\r\nREADY",
        "DONE -\r\nREADY I -\r\n",
        "ERR READONLY i-7f3a91c2\r\nREADY E 3.1209\r\n",
        "ERR WHATEVER\r\nREADY I 3.1\r\n",
        "READY I 3.1\r\n",
        "DONE x\r\nDONE y\r\nREADY I -\r\n",
        "DONE x\r\nREADY I 3.+1\r\n",
        "DONE x\r\nREADY Q -\r\n",
        "ROW qhz\r\nDONE 7.1f3\r\nREADY T 3.",
    ];
    let mut seen = String::new();
    for input in inputs {
        let read = (WIRE.read_answer)(&mut BytesMut::from(input.as_bytes()), false);
        writeln!(seen, "{input:?}\n    {read:?}").unwrap();
    }
    for input in ["READY I 3.1207\r\n", "ERR TOOMANY 23\r\n", "DONE -\r\n"] {
        let read = (WIRE.read_answer)(&mut BytesMut::from(input.as_bytes()), true);
        writeln!(seen, "start: {input:?}\n    {read:?}").unwrap();
    }
    insta::assert_snapshot!(seen, @r#"
    "ROW qhz\r\nROW k\r\nDONE 7.1f3\r\nREADY T 3.1209\r\nREADY"
        Ok(Some(Answer { rows: [b"ROW qhz\r\n", b"ROW k\r\n"], end: Done(Some("7.1f3")), state: Open, position: Some(Position { term: Term(3), offset: Offset(1209) }) }))
    "DONE -\r\nREADY I -\r\n"
        Ok(Some(Answer { rows: [], end: Done(None), state: Idle, position: None }))
    "ERR READONLY i-7f3a91c2\r\nREADY E 3.1209\r\n"
        Ok(Some(Answer { rows: [], end: Error { code: NotPrimary, text: "i-7f3a91c2" }, state: Failed, position: Some(Position { term: Term(3), offset: Offset(1209) }) }))
    "ERR WHATEVER\r\nREADY I 3.1\r\n"
        Ok(Some(Answer { rows: [], end: Error { code: Unknown, text: "" }, state: Idle, position: Some(Position { term: Term(3), offset: Offset(1) }) }))
    "READY I 3.1\r\n"
        Err(Unclear("a line that is no part of an answer"))
    "DONE x\r\nDONE y\r\nREADY I -\r\n"
        Err(Unclear("a line that is no part of an answer"))
    "DONE x\r\nREADY I 3.+1\r\n"
        Err(Unclear("the position is not TERM.NUMBER"))
    "DONE x\r\nREADY Q -\r\n"
        Err(Unclear("the state is not known"))
    "ROW qhz\r\nDONE 7.1f3\r\nREADY T 3."
        Ok(None)
    start: "READY I 3.1207\r\n"
        Ok(Some(Answer { rows: [], end: Done(None), state: Idle, position: Some(Position { term: Term(3), offset: Offset(1207) }) }))
    start: "ERR TOOMANY 23\r\n"
        Ok(Some(Answer { rows: [], end: Error { code: Full, text: "23" }, state: Idle, position: None }))
    start: "DONE -\r\n"
        Err(Unclear("a line that is no part of an answer"))
    "#);
}

#[test]
fn what_is_written_has_the_format_of_the_platform() {
    let mut output = BytesMut::new();
    let after = Some(position(3, 1207));
    (WIRE.write_start)(
        &mut output,
        &"huvo11a".parse().unwrap(),
        &"i-7f3a".parse().unwrap(),
        Some(&"miny420".parse().unwrap()),
    );
    (WIRE.write_query)(&mut output, &query("READ 1a4"), None, after);
    (WIRE.write_query)(&mut output, &query("EXEC s1 1a4 x y"), Some("w7"), None);
    (WIRE.write_query)(
        &mut output,
        &query("PREPARE s1 WRITE q2c"),
        Some("w7"),
        None,
    );
    (WIRE.write_query)(&mut output, &query("DEALLOC s1"), Some("w7"), None);
    let orders = [
        Order::Begin { read: true, after },
        Order::Begin {
            read: false,
            after: None,
        },
        Order::Rollback,
        Order::Set {
            name: "tz".into(),
            value: "a b".into(),
        },
        Order::Prepare {
            name: "w7".into(),
            writes: true,
            shape: "q2c".into(),
        },
        Order::Reset,
        Order::Status,
        Order::StepDown(Term(4)),
    ];
    orders
        .iter()
        .for_each(|order| (WIRE.write_order)(&mut output, order));
    (WIRE.write_bye)(&mut output);
    let mut answer = Answer {
        rows: Vec::new(),
        end: End::Done(None),
        state: State::Idle,
        position: None,
    };
    (WIRE.write_answer)(&mut output, &answer, false);
    answer.end = End::Error {
        code: Code::NoDatabase,
        text: "no route\r\nBYE".into(),
    };
    (WIRE.write_answer)(&mut output, &answer, false);
    insta::assert_snapshot!(String::from_utf8_lossy(&output).replace("\r\n", "|\n"), @r#"
    START huvo11a miny420 i-7f3a|
    QUERY 5c0e AFTER 3.1207 READ 1a4|
    QUERY 5c0e EXEC w7 1a4 x y|
    QUERY 5c0e PREPARE w7 WRITE q2c|
    QUERY 5c0e DEALLOC w7|
    QUERY - AFTER 3.1207 BEGIN READ|
    QUERY - BEGIN|
    QUERY - ROLLBACK|
    QUERY - SET tz a b|
    QUERY - PREPARE w7 WRITE q2c|
    QUERY - RESET|
    QUERY - STATUS|
    QUERY - STEPDOWN 4|
    BYE|
    READY I -|
    ERR NODB no routeBYE|
    "#);
}

#[test]
fn the_answer_to_status_is_read() {
    let standing = |row: &'static str| {
        (WIRE.read_status)(&Answer {
            rows: vec![Bytes::from_static(row.as_bytes())],
            end: End::Done(None),
            state: State::Idle,
            position: None,
        })
    };
    let read = standing("ROW replica 3 2.1209 0 12 2 17\r\n").unwrap();
    assert_eq!(
        (read.primary, read.term, read.received),
        (false, Term(3), position(2, 1209))
    );
    assert!(standing("ROW primary 3 3.1 3 0 2 17\r\n").unwrap().primary);
    for row in [
        "",
        "ROW",
        "ROW spare 3 3.1",
        "ROW replica x 3.1",
        "ROW replica 3 31",
        "ROW replica 3",
    ] {
        assert_eq!(standing(row), None, "{row}");
    }
}
