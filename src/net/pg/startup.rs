//! The start of a caller's connection: who it is and what it wants.

use super::fault::Fault;
use super::settings::Settings;
use crate::net::frame::{Fields, Malformed, put};
use crate::sql::{Script, Setting, Statement};
use crate::types::{CallerId, GroupId};
use bytes::BytesMut;
use pgwire::messages::startup::{
    Authentication, BackendKeyData, NegotiateProtocolVersion, ParameterStatus, SecretKey,
};

/// The longest startup message, in bytes, as in PostgreSQL.
pub const LIMIT: usize = 10_000;
const LENGTH_FIELD: usize = 4;
const CANCEL: u32 = 80_877_102;
const TLS: u32 = 80_877_103;
const GSS: u32 = 80_877_104;
const MAJOR: u16 = 3;

/// A message that a connection can start with.
#[derive(Debug, PartialEq, Eq)]
pub enum Opening {
    /// The caller asks for encryption; it is answered `N` and goes on without.
    Encryption,
    /// The caller asks to cancel what another connection runs.
    Cancel(Cancel),
    /// The caller logs in.
    Login(Box<Login>),
}

/// Which connection's request to cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Cancel {
    /// The number that the connection was given.
    pub process: u32,
    /// The secret that it was given.
    pub secret: u32,
}

/// Who logs in.
#[derive(Debug, PartialEq, Eq)]
pub struct Login {
    /// The user name.
    pub caller: CallerId,
    /// The database name.
    pub group: GroupId,
    /// Settings of the proxy, in the order given.
    pub settings: Vec<(Setting, Box<str>)>,
    /// The protocol's minor version, if it is above the one spoken here.
    pub minor: u16,
    /// Options of the protocol that are not known here.
    pub unknown: Vec<Box<str>>,
}

/// Takes the first message off `buffer`; `None` if it is not there whole yet.
pub fn take(buffer: &mut BytesMut) -> Result<Option<Opening>, Fault> {
    let Some(field) = buffer.first_chunk::<LENGTH_FIELD>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*field) as usize;
    if !(2 * LENGTH_FIELD..=LIMIT).contains(&length) {
        return Err(Malformed::Length.into());
    }
    if buffer.len() < length {
        return Ok(None);
    }
    let message = buffer.split_to(length);
    read(Fields(&message[LENGTH_FIELD..])).map(Some)
}

fn read(mut fields: Fields<'_>) -> Result<Opening, Fault> {
    let code = fields.long()?;
    match code {
        TLS | GSS => return Ok(Opening::Encryption),
        CANCEL => {
            return Ok(Opening::Cancel(Cancel {
                process: fields.long()?,
                secret: fields.long()?,
            }));
        }
        _ => {}
    }
    let [major, minor] = [(code >> 16) as u16, code as u16];
    if major != MAJOR {
        return Err(Fault::Protocol { major, minor });
    }
    login(fields, minor).map(|login| Opening::Login(Box::new(login)))
}

fn login(mut fields: Fields<'_>, minor: u16) -> Result<Login, Fault> {
    let mut user = None;
    let mut database = None;
    let mut settings = Vec::new();
    let mut unknown = Vec::new();
    loop {
        let name = fields.text()?;
        if name.is_empty() {
            break;
        }
        let value = fields.text()?;
        match name {
            "user" => user = Some(value),
            "database" => database = Some(value),
            "options" => {
                for (name, value) in options(value)? {
                    settings.extend(setting(&name, &value)?);
                }
            }
            _ if name.starts_with("_pq_.") => unknown.push(name.into()),
            "application_name" | "fallback_application_name" => {}
            _ => settings.extend(setting(name, value)?),
        }
    }
    let user = user.ok_or_else(|| Fault::Startup("no user name: give one".into()))?;
    let named = |error: crate::types::Invalid| Fault::Startup(error.to_string().into());
    Ok(Login {
        caller: user.parse().map_err(named)?,
        group: database.unwrap_or(user).parse().map_err(named)?,
        settings,
        minor,
        unknown,
    })
}

/// A setting given at start: one of the proxy's, or one that every connection has anyway.
fn setting(name: &str, value: &str) -> Result<Option<(Setting, Box<str>)>, Fault> {
    if let Ok(setting) = name.parse() {
        return Ok(Some((setting, value.into())));
    }
    let quoted = value.replace('\'', "''");
    let script = Script::read(&format!("SET {name} = '{quoted}'"));
    match script.statements.as_slice() {
        [Statement::Accepted] => Ok(None),
        _ => Err(Fault::Startup(
            format!("`{name}` can't be set on a pooled connection: leave it out").into(),
        )),
    }
}

/// The pairs of an `options` string: `-c NAME=VALUE`, `-cNAME=VALUE` or `--NAME=VALUE`, with a
/// backslash in front of a blank that belongs to a value.
fn options(text: &str) -> Result<Vec<(String, String)>, Fault> {
    let mut words = words(text).into_iter();
    let mut pairs = Vec::new();
    while let Some(word) = words.next() {
        let pair = match word.strip_prefix("--").or(word.strip_prefix("-c")) {
            Some("") => words.next(),
            Some(pair) => Some(pair.to_owned()),
            None => None,
        };
        let pair = pair.as_deref().and_then(|pair| pair.split_once('='));
        let (name, value) =
            pair.ok_or_else(|| Fault::Startup("options: write them as `-c NAME=VALUE`".into()))?;
        pairs.push((name.to_owned(), value.to_owned()));
    }
    Ok(pairs)
}

fn words(text: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut chars = text.chars();
    while let Some(char) = chars.next() {
        match (char, words.last_mut()) {
            ('\\', Some(word)) => word.extend(chars.next()),
            (blank, _) if blank.is_ascii_whitespace() => words.push(String::new()),
            (char, Some(word)) => word.push(char),
            (_, None) => {}
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

/// What every connection reports of itself. `standard_conforming_strings` and `client_encoding`
/// tell the caller how its text is read.
const PARAMETERS: [(&str, &str); 8] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("standard_conforming_strings", "on"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("is_superuser", "off"),
];

/// Appends the answer to a login, without ReadyForQuery.
pub fn welcome(out: &mut BytesMut, login: &Login, cancel: Cancel) {
    if login.minor > 0 || !login.unknown.is_empty() {
        let unknown = login.unknown.iter().map(|name| name.to_string()).collect();
        put(out, &NegotiateProtocolVersion::new(0, unknown));
    }
    put(out, &Authentication::Ok);
    for (name, value) in PARAMETERS {
        put(
            out,
            &ParameterStatus::new(name.to_owned(), value.to_owned()),
        );
    }
    let secret = SecretKey::I32(cancel.secret.cast_signed());
    put(
        out,
        &BackendKeyData::new(cancel.process.cast_signed(), secret),
    );
}

/// Applies the settings given at start.
pub fn apply(login: &Login, settings: &mut Settings) -> Result<(), Fault> {
    for (setting, value) in &login.settings {
        settings.set(*setting, Some(value))?;
    }
    Ok(())
}
