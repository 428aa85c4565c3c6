//! The settings that a caller can change on its connection.

use super::fault::Fault;
use crate::clock::Span;
use crate::sql::Setting;
use crate::token::{Key, Token};
use crate::types::{GroupId, Position, RequestKey, SessionId};
use std::fmt::Display;
use std::rc::Rc;
use std::str::FromStr;

/// A caller's settings, and the session tokens exchanged with it.
#[derive(Debug, Default)]
pub struct Settings {
    /// The session whose writes its reads must see.
    pub session: Option<SessionId>,
    /// The maximum age of data that it accepts; zero requires its session's floor, regardless of the
    /// pool's setting.
    pub max_age: Option<Span>,
    /// The request key of its writes.
    pub request: Option<RequestKey>,
    /// The floors in the token that the caller sent.
    presented: Token,
    /// The floors in the last token sent to the caller.
    issued: Token,
    key: Option<Rc<Key>>,
}

impl Settings {
    /// Default settings, with the key that signs tokens, if there is one.
    pub fn new(key: Option<Rc<Key>>) -> Self {
        Self {
            key,
            ..Self::default()
        }
    }

    /// Sets a setting, or resets it if `value` is `None` or empty.
    pub fn set(&mut self, setting: Setting, value: Option<&str>) -> Result<(), Fault> {
        let value = value.filter(|value| !value.is_empty());
        match setting {
            Setting::Session => self.session = parse(setting, value)?,
            Setting::MaxAge => self.max_age = parse(setting, value)?,
            Setting::Request => self.request = parse(setting, value)?,
            Setting::Token => self.presented = self.verify(value)?,
        }
        Ok(())
    }

    fn verify(&self, value: Option<&str>) -> Result<Token, Fault> {
        let Some(text) = value else {
            return Ok(Token::default());
        };
        let key = self.key.as_ref().ok_or_else(|| Fault::Value {
            setting: Setting::Token.to_string().into(),
            reason: "this proxy has no token key: name the session instead".into(),
        })?;
        Token::verify(text, key).map_err(Fault::Token)
    }

    /// A setting's value as text; empty if it is not set.
    pub fn show(&self, setting: Setting) -> String {
        match setting {
            Setting::Session => text(self.session.as_ref()),
            Setting::MaxAge => text(self.max_age.as_ref()),
            Setting::Request => text(self.request.as_ref()),
            Setting::Token => self.sign().unwrap_or_default(),
        }
    }

    /// The floor for a group in the token that the caller sent.
    pub fn token_floor(&self, group: &GroupId) -> Option<Position> {
        self.presented.floor(group)
    }

    /// Clears both tokens, after the caller was informed that a write of the session was lost.
    /// Otherwise each of its reads would be refused again.
    pub fn clear_tokens(&mut self) {
        self.presented = Token::default();
        self.issued = Token::default();
    }

    /// The token to send after a write that raised the floor of `group`; `None` without a key.
    pub fn issue(&mut self, group: &GroupId, floor: Position) -> Option<String> {
        self.issued.raise(group, floor);
        self.sign()
    }

    fn sign(&self) -> Option<String> {
        self.key.as_ref().map(|key| self.issued.sign(key))
    }
}

fn parse<T>(setting: Setting, value: Option<&str>) -> Result<Option<T>, Fault>
where
    T: FromStr,
    T::Err: Display,
{
    let parsed = value.map(str::parse).transpose();
    parsed.map_err(|error: T::Err| Fault::Value {
        setting: setting.to_string().into(),
        reason: error.to_string().into(),
    })
}

fn text<T: Display>(value: Option<&T>) -> String {
    value.map(T::to_string).unwrap_or_default()
}
