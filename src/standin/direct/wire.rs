//! The simulation's own text protocol: one line for each part of a message.
//!
//! ```text
//! start ROUTE KEY               start GROUP DATABASE ORGANISATION|-
//! ask ID [after T/N] TEXT       bye
//! row TEXT                      done SIGNATURE|-
//! error CODE TEXT               state idle|open|failed T/N|-
//! ```

use crate::direct::adapter::{Garbled, Wire};
use crate::direct::identity::Key;
use crate::direct::statement::{
    Answer, Code, End, Message, Order, Query, Standing, State, Statement,
};
use crate::types::{DatabaseId, GroupId, OrganisationId, Position};
use bytes::{Bytes, BytesMut};
use std::fmt::Write;

/// The maximum length of a line in bytes.
const LINE_LIMIT: usize = 1 << 20;

/// The id of the proxy's own statements.
pub const OWN: &str = "-";

const CODES: [(Code, &str); 13] = [
    (Code::Busy, "busy"),
    (Code::RolledBack, "rolled-back"),
    (Code::Behind, "behind"),
    (Code::NotPrimary, "not-primary"),
    (Code::OtherDatabase, "other-database"),
    (Code::Full, "full"),
    (Code::NoStatement, "no-statement"),
    (Code::NoDatabase, "no-database"),
    (Code::NoKey, "no-key"),
    (Code::Malformed, "malformed"),
    (Code::Failed, "failed"),
    (Code::Late, "late"),
    (Code::Unknown, "unknown"),
];

const STATES: [(State, &str); 3] = [
    (State::Idle, "idle"),
    (State::Open, "open"),
    (State::Failed, "failed"),
];

/// A message from a proxy to a database.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// The start of a session at a database of this group with this id.
    Start {
        /// The group.
        group: Box<str>,
        /// The id that the database must have.
        database: Box<str>,
        /// The organisation for which it is opened; [`OWN`] for none.
        organisation: Box<str>,
    },
    /// A statement.
    Ask {
        /// Its id.
        id: Box<str>,
        /// A position that the database must have applied.
        after: Option<Position>,
        /// Its text.
        text: Box<str>,
    },
    /// The end of the session.
    Bye,
}

/// Returns the protocol's functions.
pub fn wire() -> Wire {
    Wire {
        read_message,
        write_answer,
        write_start,
        write_query,
        write_order,
        write_bye,
        read_answer,
        read_status,
    }
}

/// Removes a complete line from the front of `input`. Returns `None` if there is none yet.
fn take_line(input: &mut BytesMut) -> Result<Option<Box<str>>, Garbled> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        return match input.len() > LINE_LIMIT {
            true => Err(Garbled::Long(LINE_LIMIT)),
            false => Ok(None),
        };
    };
    let line = input.split_to(end + 1);
    match std::str::from_utf8(&line[..end]) {
        Ok(text) => Ok(Some(text.into())),
        Err(_) => Err(malformed("not text")),
    }
}

fn malformed(text: &str) -> Garbled {
    Garbled::Unclear(text.chars().take(80).collect())
}

fn split_word(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}

fn write_line(output: &mut BytesMut, line: std::fmt::Arguments<'_>) {
    // Writing to memory does not fail.
    let _ = output.write_fmt(line);
    output.extend_from_slice(b"\n");
}

fn read_message(input: &mut BytesMut) -> Result<Option<Message>, Garbled> {
    let Some(line) = take_line(input)? else {
        return Ok(None);
    };
    let (word, rest) = split_word(&line);
    let (first, rest) = split_word(rest);
    match word {
        "start" if !first.is_empty() => Ok(Some(Message::Start {
            database: first.into(),
            key: Key::of(rest),
        })),
        "ask" if !rest.is_empty() => Ok(Some(Message::Query(Query {
            id: first.into(),
            text: rest.into(),
            statement: statement(rest),
        }))),
        "bye" => Ok(Some(Message::Bye)),
        _ => Err(malformed(&line)),
    }
}

/// Parses the text of a statement.
pub fn statement(text: &str) -> Statement {
    let (word, rest) = split_word(text);
    let (first, more) = split_word(rest);
    match (word, first.is_empty()) {
        ("begin", _) if rest == "read" => Statement::Begin { read: true },
        ("begin", true) => Statement::Begin { read: false },
        ("commit", true) => Statement::Commit,
        ("rollback", true) => Statement::Rollback,
        ("read", false) => Statement::Read,
        ("write", false) if !more.is_empty() => Statement::Write,
        ("set", false) => Statement::Set {
            name: first.into(),
            value: more.into(),
        },
        ("prepare", false) => prepare(first, more),
        ("exec", false) => Statement::Execute {
            name: first.into(),
            rest: more.into(),
        },
        ("forget", false) => Statement::Deallocate { name: first.into() },
        _ => Statement::Unknown,
    }
}

fn prepare(name: &str, rest: &str) -> Statement {
    let (kind, shape) = split_word(rest);
    let writes = match kind {
        "read" => false,
        "write" => true,
        _ => return Statement::Unknown,
    };
    Statement::Prepare {
        name: name.into(),
        writes,
        shape: shape.into(),
    }
}

/// Writes an answer.
pub fn write_answer(output: &mut BytesMut, answer: &Answer, started: bool) {
    for row in &answer.rows {
        output.extend_from_slice(b"row ");
        output.extend_from_slice(row);
        output.extend_from_slice(b"\n");
    }
    match &answer.end {
        End::Done(signature) if started => {
            write_line(
                output,
                format_args!("done {}", signature.as_deref().unwrap_or("-")),
            );
        }
        End::Done(_) => {}
        End::Error { code, text } => {
            write_line(output, format_args!("error {} {text}", word(&CODES, *code)));
            if !started {
                return;
            }
        }
    }
    let state = word(&STATES, answer.state);
    match answer.position {
        Some(position) => write_line(output, format_args!("state {state} {position}")),
        None => write_line(output, format_args!("state {state} -")),
    }
}

fn word<T: Copy + PartialEq>(words: &[(T, &'static str)], value: T) -> &'static str {
    let found = words.iter().find(|(known, _)| *known == value);
    found.map_or("?", |(_, word)| word)
}

fn value<T: Copy>(words: &[(T, &'static str)], text: &str) -> Result<T, Garbled> {
    let found = words.iter().find(|(_, word)| *word == text);
    found
        .map(|(value, _)| *value)
        .ok_or_else(|| malformed(text))
}

fn write_start(
    output: &mut BytesMut,
    group: &GroupId,
    database: &DatabaseId,
    organisation: Option<&OrganisationId>,
) {
    let caller = organisation.map_or(OWN, OrganisationId::as_str);
    write_line(output, format_args!("start {group} {database} {caller}"));
}

fn write_query(output: &mut BytesMut, query: &Query, name: Option<&str>, after: Option<Position>) {
    let text = match (&query.statement, name) {
        (Statement::Execute { rest, .. }, Some(name)) if rest.is_empty() => format!("exec {name}"),
        (Statement::Execute { rest, .. }, Some(name)) => format!("exec {name} {rest}"),
        _ => query.text.to_string(),
    };
    write_ask(output, &query.id, after, &text);
}

fn write_ask(output: &mut BytesMut, id: &str, after: Option<Position>, text: &str) {
    match after {
        Some(after) => write_line(output, format_args!("ask {id} after {after} {text}")),
        None => write_line(output, format_args!("ask {id} {text}")),
    }
}

fn write_order(output: &mut BytesMut, order: &Order) {
    let (text, after) = match order {
        Order::Begin { read: true, after } => ("begin read".into(), *after),
        Order::Begin { read: false, after } => ("begin".into(), *after),
        Order::Rollback => ("rollback".into(), None),
        Order::Set { name, value } => (format!("set {name} {value}"), None),
        Order::Prepare {
            name,
            writes,
            shape,
        } => {
            let kind = if *writes { "write" } else { "read" };
            (format!("prepare {name} {kind} {shape}"), None)
        }
        Order::Reset => ("reset".into(), None),
        Order::Status => ("standing".into(), None),
        Order::StepDown(term) => (format!("step-down {term}"), None),
    };
    write_ask(output, OWN, after, &text);
}

fn write_bye(output: &mut BytesMut) {
    write_line(output, format_args!("bye"));
}

/// Removes a complete answer from the front of `input`. Returns `None` if there is none yet.
pub fn read_answer(input: &mut BytesMut, starting: bool) -> Result<Option<Answer>, Garbled> {
    let mut rest = input.clone();
    let mut rows = Vec::new();
    let mut end = starting.then_some(End::Done(None));
    let state = loop {
        let Some(line) = take_line(&mut rest)? else {
            return Ok(None);
        };
        let (word, text) = split_word(&line);
        match word {
            "row" => rows.push(Bytes::copy_from_slice(text.as_bytes())),
            "done" => end = Some(End::Done((text != "-").then(|| text.into()))),
            "error" => end = Some(read_error(text)?),
            "state" => break read_state(text)?,
            _ => return Err(malformed(&line)),
        }
        if starting && word == "error" {
            break (State::Idle, None);
        }
    };
    *input = rest;
    let end = end.ok_or_else(|| malformed("an answer without an end"))?;
    Ok(Some(answer(rows, end, state)))
}

fn read_error(text: &str) -> Result<End, Garbled> {
    let (code, text) = split_word(text);
    Ok(End::Error {
        code: value(&CODES, code)?,
        text: text.into(),
    })
}

fn answer(rows: Vec<Bytes>, end: End, (state, position): (State, Option<Position>)) -> Answer {
    Answer {
        rows,
        end,
        state,
        position,
    }
}

fn read_state(text: &str) -> Result<(State, Option<Position>), Garbled> {
    let (state, position) = split_word(text);
    let state = value(&STATES, state)?;
    match position {
        "-" => Ok((state, None)),
        position => {
            let position = position.parse().map_err(|_| malformed(text))?;
            Ok((state, Some(position)))
        }
    }
}

fn read_status(answer: &Answer) -> Option<Standing> {
    let row = std::str::from_utf8(answer.rows.first()?).ok()?;
    let (role, rest) = row.split_once(' ')?;
    let (term, received) = rest.split_once(' ')?;
    Some(Standing {
        primary: role == "primary",
        term: term.parse().ok()?,
        received: received.parse().ok()?,
    })
}

/// Removes a complete request from the front of `input`. Returns `None` if there is none yet.
pub fn read_request(input: &mut BytesMut) -> Result<Option<Request>, Garbled> {
    let Some(line) = take_line(input)? else {
        return Ok(None);
    };
    let (word, rest) = split_word(&line);
    let (first, rest) = split_word(rest);
    match word {
        "start" => {
            let (database, organisation) = split_word(rest);
            Ok(Some(Request::Start {
                group: first.into(),
                database: database.into(),
                organisation: organisation.into(),
            }))
        }
        "ask" => {
            let (after, text) = read_after(rest)?;
            Ok(Some(Request::Ask {
                id: first.into(),
                after,
                text: text.into(),
            }))
        }
        "bye" => Ok(Some(Request::Bye)),
        _ => Err(malformed(&line)),
    }
}

fn read_after(text: &str) -> Result<(Option<Position>, &str), Garbled> {
    let Some(rest) = text.strip_prefix("after ") else {
        return Ok((None, text));
    };
    let (position, text) = split_word(rest);
    let position = position.parse().map_err(|_| malformed(rest))?;
    Ok((Some(position), text))
}

/// Writes the start of a caller's session.
pub fn write_caller_start(output: &mut BytesMut, route: &str, caller: &str) {
    write_line(output, format_args!("start {route} {caller}"));
}

/// Writes a caller's statement.
pub fn write_caller_query(output: &mut BytesMut, id: &str, text: &str) {
    write_ask(output, id, None, text);
}

/// Writes the end of a caller's session.
pub fn write_caller_bye(output: &mut BytesMut) {
    write_bye(output);
}
