//! Classification of `SET`, `RESET` and `SHOW`.

use super::{Refused, Statement, is, word};
use sqlparser::tokenizer::Token;
use std::fmt;
use std::str::FromStr;

/// A setting of the proxy that a caller can change, at start by `options=-c NAME=VALUE` or by
/// `SET`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Setting {
    /// The session whose writes the caller's reads must see.
    Session,
    /// The age that the caller accepts for its reads.
    MaxAge,
    /// The request key of the caller's writes.
    Request,
    /// A session token that the caller received from a proxy.
    Token,
}

const PREFIX: &str = "lentilspoke";

impl Setting {
    fn name(self) -> &'static str {
        match self {
            Self::Session => "session",
            Self::MaxAge => "max_age",
            Self::Request => "request",
            Self::Token => "token",
        }
    }
}

impl fmt::Display for Setting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{PREFIX}.{}", self.name())
    }
}

impl FromStr for Setting {
    type Err = Refused;

    fn from_str(text: &str) -> Result<Self, Refused> {
        let all = [Self::Session, Self::MaxAge, Self::Request, Self::Token];
        all.into_iter()
            .find(|setting| setting.to_string().eq_ignore_ascii_case(text))
            .ok_or(Refused::Setting)
    }
}

/// Classifies a statement that starts with `SET`, `RESET` or `SHOW`.
pub(super) fn classify(tokens: &[Token]) -> Statement {
    let verb = word(tokens.first()).to_ascii_uppercase();
    let local = is(tokens.get(1), "LOCAL");
    let scoped = local || is(tokens.get(1), "SESSION");
    let rest = &tokens[if scoped { 2 } else { 1 }..];
    if let Some(setting) = proxy_setting(rest) {
        return setting.map_or_else(Statement::Refused, |setting| {
            assign(&verb, local, setting, rest)
        });
    }
    match verb.as_str() {
        "SHOW" => Statement::Read,
        "SET" if local => Statement::Inside,
        "SET" if is(rest.first(), "TRANSACTION") && !scoped => Statement::Inside,
        "SET" if is(rest.first(), "CONSTRAINTS") => Statement::Inside,
        "SET" if is_preset(rest) => Statement::Accepted,
        _ => Statement::Refused(Refused::Set),
    }
}

/// The setting of the proxy at the start of `tokens`; `None` if they don't start with [`PREFIX`].
fn proxy_setting(tokens: &[Token]) -> Option<Result<Setting, Refused>> {
    if !is(tokens.first(), PREFIX) {
        return None;
    }
    let name = word(tokens.get(2)).to_ascii_lowercase();
    Some(format!("{PREFIX}.{name}").parse())
}

fn assign(verb: &str, local: bool, setting: Setting, rest: &[Token]) -> Statement {
    match verb {
        "SHOW" => Statement::Show(setting),
        "RESET" => Statement::Set(setting, None),
        _ if local => Statement::Refused(Refused::Set),
        _ => Statement::Set(setting, value(&rest[3.min(rest.len())..])),
    }
}

/// The value after `=` or `TO`; `None` for `DEFAULT` or no value.
fn value(tokens: &[Token]) -> Option<Box<str>> {
    let tokens = tokens.get(1..)?;
    if is(tokens.first(), "DEFAULT") {
        return None;
    }
    let text: String = tokens.iter().map(plain_text).collect();
    (!text.is_empty()).then(|| text.into())
}

fn plain_text(token: &Token) -> String {
    match token {
        Token::SingleQuotedString(text) => text.clone(),
        Token::Word(word) => word.value.clone(),
        other => other.to_string(),
    }
}

/// Whether a `SET` sets a value that drivers set at start and that every connection has already.
fn is_preset(rest: &[Token]) -> bool {
    let name = word(rest.first()).to_ascii_lowercase();
    let value = value(&rest[1.min(rest.len())..]).unwrap_or_default();
    let lowercase = value.to_ascii_lowercase();
    match name.as_str() {
        "client_encoding" => matches!(lowercase.as_str(), "utf8" | "utf-8" | "unicode"),
        "names" => rest
            .get(1)
            .map(plain_text)
            .is_some_and(|name| name.eq_ignore_ascii_case("utf8")),
        "standard_conforming_strings" => lowercase == "on",
        "timezone" => matches!(lowercase.as_str(), "utc" | "gmt" | "etc/utc"),
        "datestyle" => lowercase.starts_with("iso"),
        "application_name" | "extra_float_digits" => true,
        _ => false,
    }
}
