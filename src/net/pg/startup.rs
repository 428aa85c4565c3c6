//! The startup messages of a caller's connection.

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
pub enum Packet {
    /// The caller asks for encryption; the answer is `N`, and the connection stays unencrypted.
    Encryption,
    /// The caller asks to cancel another connection's request.
    Cancel(Cancel),
    /// The caller logs in.
    Login(Box<Login>),
}

/// The key that identifies the connection whose request is cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Cancel {
    /// The number that the connection was given.
    pub process: u32,
    /// The secret that it was given.
    pub secret: u32,
}

/// The fields of a login.
#[derive(Debug, PartialEq, Eq)]
pub struct Login {
    /// The user name.
    pub caller: CallerId,
    /// The database name.
    pub group: GroupId,
    /// Settings of the proxy, in the order given.
    pub settings: Vec<(Setting, Box<str>)>,
    /// The protocol's minor version; only 0 is supported.
    pub minor: u16,
    /// Protocol options, none of which are supported.
    pub unknown: Vec<Box<str>>,
}

/// Removes the first message from `buffer`; `None` if it has not arrived whole.
pub fn take(buffer: &mut BytesMut) -> Result<Option<Packet>, Fault> {
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

fn read(mut fields: Fields<'_>) -> Result<Packet, Fault> {
    let code = fields.long()?;
    match code {
        TLS | GSS => return Ok(Packet::Encryption),
        CANCEL => {
            return Ok(Packet::Cancel(Cancel {
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
    login(fields, minor).map(|login| Packet::Login(Box::new(login)))
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
    let invalid_name = |error: crate::types::Invalid| Fault::Startup(error.to_string().into());
    Ok(Login {
        caller: user.parse().map_err(invalid_name)?,
        group: database.unwrap_or(user).parse().map_err(invalid_name)?,
        settings,
        minor,
        unknown,
    })
}

/// Reads a setting given at startup; `None` if it is one that every connection already has.
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

/// Parses the pairs of an `options` string: `-c NAME=VALUE`, `-cNAME=VALUE` or `--NAME=VALUE`. A
/// blank within a value is escaped by a backslash.
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

/// The parameters that every connection reports. `standard_conforming_strings` and
/// `client_encoding` define how the caller's text is parsed.
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
pub fn accept(out: &mut BytesMut, login: &Login, cancel: Cancel) {
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

/// Applies the settings given at startup.
pub fn apply(login: &Login, settings: &mut Settings) -> Result<(), Fault> {
    for (setting, value) in &login.settings {
        settings.set(*setting, Some(value))?;
    }
    Ok(())
}
