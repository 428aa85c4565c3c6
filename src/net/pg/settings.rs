//! The settings that a caller can change on its connection.

use super::fault::Fault;
use crate::clock::Span;
use crate::sql::Setting;
use crate::token::{Key, Token};
use crate::types::{GroupId, Position, RequestKey, SessionId};
use std::fmt::Display;
use std::rc::Rc;
use std::str::FromStr;

/// What a caller has set, and what it was shown.
#[derive(Debug, Default)]
pub struct Settings {
    /// The session whose writes its reads must see.
    pub session: Option<SessionId>,
    /// The age that it accepts; zero asks for its session's own floor, whatever the pool says.
    pub max_age: Option<Span>,
    /// The key of its writes.
    pub request: Option<RequestKey>,
    /// The floors that it showed.
    shown: Token,
    /// The floors that it was shown.
    issued: Token,
    key: Option<Rc<Key>>,
}

impl Settings {
    /// Nothing set, with the key under which tokens are signed, if there is one.
    pub fn new(key: Option<Rc<Key>>) -> Self {
        Self {
            key,
            ..Self::default()
        }
    }

    /// Sets a setting, or takes it back.
    pub fn set(&mut self, setting: Setting, value: Option<&str>) -> Result<(), Fault> {
        let value = value.filter(|value| !value.is_empty());
        match setting {
            Setting::Session => self.session = parse(setting, value)?,
            Setting::MaxAge => self.max_age = parse(setting, value)?,
            Setting::Request => self.request = parse(setting, value)?,
            Setting::Token => self.shown = self.verify(value)?,
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

    /// The floor that the caller showed for a group.
    pub fn shown(&self, group: &GroupId) -> Option<Position> {
        self.shown.floor(group)
    }

    /// A write of the session was lost and the caller has been told: what it showed counts no
    /// more, or each of its reads would be refused again.
    pub fn forget(&mut self) {
        self.shown = Token::default();
        self.issued = Token::default();
    }

    /// The token to show after a write that raised the floor of `group`, if tokens are signed.
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
