//! A strict parser of JSON with comments that reports the location of each fault.
//!
//! Comments are `//`, `#` and `/* */`. Duplicate keys are refused, because the JSON library would
//! silently keep the last one.

use json_comments::StripComments;
use serde::de::{
    DeserializeOwned, DeserializeSeed, Error as _, IgnoredAny, MapAccess, SeqAccess, Visitor,
};
use std::collections::BTreeSet;
use std::fmt;
use std::io::Read;

/// A location in a text; line and column count from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Location {
    /// The line.
    pub line: usize,
    /// The column, in bytes.
    pub column: usize,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// Why a text was refused, and where.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{location}: {message}")]
pub struct Error {
    /// Where the fault is, or where parsing stopped.
    pub location: Location,
    /// What is wrong and what to write instead.
    pub message: Box<str>,
}

/// Why a value that parsed is refused, such as a conflict with another one.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message}", path.join("."))]
pub struct Fault {
    /// The keys that lead to the value.
    pub path: Vec<Box<str>>,
    /// What is wrong and the remedy.
    pub message: Box<str>,
}

impl Fault {
    /// A fault of the value at `path`.
    pub fn new<S: fmt::Display>(
        path: impl IntoIterator<Item = S>,
        message: impl Into<Box<str>>,
    ) -> Self {
        Self {
            path: path.into_iter().map(|key| key.to_string().into()).collect(),
            message: message.into(),
        }
    }
}

/// Parses `text` and checks the value; a fault that `check` returns gets its location in `text`.
pub fn read<T: DeserializeOwned>(
    text: &str,
    check: impl FnOnce(&T) -> Result<(), Fault>,
) -> Result<T, Error> {
    let without_comments = strip(text)?;
    parse(&without_comments, UniqueKeys)?;
    let value: T = serde_json::from_str(&without_comments).map_err(|error| convert(&error))?;
    check(&value).map_err(|fault| Error {
        location: locate(&without_comments, &fault.path),
        message: fault.to_string().into(),
    })?;
    Ok(value)
}

/// Replaces comments by spaces, so that all other characters keep their location.
fn strip(text: &str) -> Result<String, Error> {
    let mut bytes = Vec::with_capacity(text.len());
    let stripped = StripComments::new(text.as_bytes()).read_to_end(&mut bytes);
    if stripped.is_err() || bytes.len() != text.len() {
        return Err(Error {
            location: end_of(text),
            message: "a string or a comment does not end: close it".into(),
        });
    }
    // The library replaces the line ends inside of block comments too; they are restored here.
    for (byte, original) in bytes.iter_mut().zip(text.bytes()) {
        if original == b'\n' {
            *byte = original;
        }
    }
    String::from_utf8(bytes).map_err(|_| Error {
        location: end_of(text),
        message: "the text is not UTF-8: save it as UTF-8".into(),
    })
}

fn end_of(text: &str) -> Location {
    let last = text.rsplit('\n').next().unwrap_or_default();
    Location {
        line: text.split('\n').count(),
        column: last.len() + 1,
    }
}

fn parse<'a, S: DeserializeSeed<'a>>(text: &'a str, seed: S) -> Result<S::Value, Error> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    seed.deserialize(&mut deserializer)
        .map_err(|error| convert(&error))
}

fn convert(error: &serde_json::Error) -> Error {
    let location = Location {
        line: error.line().max(1),
        column: error.column().max(1),
    };
    let message = error.to_string();
    let plain = message
        .strip_suffix(&format!(
            " at line {} column {}",
            error.line(),
            error.column()
        ))
        .unwrap_or(&message);
    Error {
        location,
        message: with_remedy(plain).into(),
    }
}

fn with_remedy(message: &str) -> String {
    let message = ["u8", "u16", "u32", "u64"]
        .iter()
        .fold(message.to_owned(), |text, kind| {
            text.replace(&format!("expected {kind}"), "expected a whole number")
        });
    let remedy = REMEDIES
        .iter()
        .find(|(start, _)| message.starts_with(start));
    match remedy {
        Some((_, remedy)) => format!("{message}: {remedy}"),
        None => message,
    }
}

/// The remedy for each error of the JSON library, by the start of its message.
const REMEDIES: [(&str, &str); 7] = [
    ("missing field", "add it"),
    ("unknown field", "correct or remove it"),
    (
        "invalid socket address",
        "write IP:PORT, such as 10.0.0.4:5432",
    ),
    ("trailing comma", "remove it"),
    (
        "trailing characters",
        "remove what follows the closing brace",
    ),
    ("key must be a string", "put it in double quotes"),
    ("EOF", "close what is open"),
];

/// Where the value at `path` ends, or the innermost of its parents that can be found.
fn locate(text: &str, path: &[Box<str>]) -> Location {
    match parse(text, Seek(path)) {
        Err(error) => error.location,
        Ok(_) if !path.is_empty() => locate(text, &path[..path.len() - 1]),
        Ok(_) => Location { line: 1, column: 1 },
    }
}

/// Walks to a path and fails there on purpose, because only the parser's errors have a location.
#[derive(Clone, Copy)]
struct Seek<'p>(&'p [Box<str>]);

impl<'de> DeserializeSeed<'de> for Seek<'_> {
    type Value = ();

    fn deserialize<D: serde::Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        if self.0.is_empty() {
            StopAtValue::stop(deserializer)
        } else {
            deserializer.deserialize_any(self)
        }
    }
}

impl<'de> Visitor<'de> for Seek<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object or a list on the path")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<Box<str>>()? {
            if Some(&key) == self.0.first() {
                map.next_value_seed(Seek(&self.0[1..]))?;
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let index: Option<usize> = self.0.first().and_then(|key| key.parse().ok());
        let mut at = 0;
        loop {
            let found = if Some(at) == index {
                seq.next_element_seed(Seek(&self.0[1..]))?
            } else {
                seq.next_element::<IgnoredAny>()?.map(drop)
            };
            if found.is_none() {
                return Ok(());
            }
            at += 1;
        }
    }
}

/// Fails at the start of an object or list, or at the end of any other value, so that the error's
/// location is that of the value.
struct StopAtValue;

impl StopAtValue {
    fn stop<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(Self)
    }
}

impl Visitor<'_> for StopAtValue {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("nothing: this is the place looked for")
    }
}

/// Refuses an object in which a key occurs twice.
#[derive(Clone, Copy)]
struct UniqueKeys;

impl<'de> DeserializeSeed<'de> for UniqueKeys {
    type Value = ();

    fn deserialize<D: serde::Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

macro_rules! accept {
    ($($method:ident: $type:ty),*) => {
        $(fn $method<E: serde::de::Error>(self, _: $type) -> Result<(), E> {
            Ok(())
        })*
    };
}

impl<'de> Visitor<'de> for UniqueKeys {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }

    accept!(visit_bool: bool, visit_i64: i64, visit_u64: u64, visit_f64: f64, visit_str: &str);

    fn visit_unit<E: serde::de::Error>(self) -> Result<(), E> {
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let mut seen = BTreeSet::new();
        while let Some(key) = map.next_key::<Box<str>>()? {
            if seen.contains(&key) {
                let message = format!("`{key}` stands twice: keep one of them");
                return Err(A::Error::custom(message));
            }
            seen.insert(key);
            map.next_value_seed(self)?;
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        while seq.next_element_seed(self)?.is_some() {}
        Ok(())
    }
}
