//! Callers' prepared statements, kept independently of the connections to databases.
//!
//! A caller prepares a statement once and may use it on any connection that a later transaction
//! gets. So the proxy stores the statement of each name, and puts its Parse message in front of a
//! batch that uses the statement without preparing it. On databases a statement is named by a
//! digest of its text, so that callers share it.

use crate::net::frame::{Fields, Malformed, kind, put_raw};
use crate::sql::Script;
use bytes::{Bytes, BytesMut};
use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Write;
use std::rc::Rc;

/// A prepared statement.
#[derive(Debug)]
pub struct Prepared {
    /// Its name on databases; empty for an unnamed statement.
    pub name: Box<str>,
    /// The Parse message under that name.
    pub parse: Bytes,
    /// Its parsed text.
    pub script: Script,
}

/// The named statements of all callers, shared because many callers prepare the same ones.
#[derive(Debug, Default)]
pub struct Cache {
    statements: RefCell<HashMap<Box<str>, Rc<Prepared>>>,
}

/// At this number of statements, those that no caller uses are evicted.
const MAX_CACHED: usize = 1_024;
/// How many statements one caller may keep. Drivers keep a few hundred at most.
const MAX_NAMES: usize = 512;
/// How many bytes of statements one caller may keep.
const MAX_BYTES: usize = 1024 * 1024;
/// How many bytes of the digest are in a statement's name. The name is shared by all callers, so no
/// caller may be able to create two texts with the same name: 128 bits of SHA-256 prevent that.
const DIGEST_BYTES: usize = 16;
const NAME_PREFIX: &str = "ls_";

impl Cache {
    /// The name and the statement of a Parse message with these fields.
    pub fn prepare(&self, mut fields: Fields<'_>) -> Result<(Box<str>, Rc<Prepared>), Malformed> {
        let name = fields.text()?;
        let rest = fields.0;
        let text = fields.text()?;
        let types = usize::from(fields.short()?);
        if fields.0.len() != types * size_of::<u32>() {
            return Err(Malformed::Field);
        }
        if name.is_empty() {
            return Ok((name.into(), Rc::new(Prepared::new("".into(), rest, text))));
        }
        Ok((name.into(), self.shared(rest, text)))
    }

    fn shared(&self, rest: &[u8], text: &str) -> Rc<Prepared> {
        let name = digest(rest);
        let mut statements = self.statements.borrow_mut();
        if let Some(prepared) = statements.get(&name) {
            return Rc::clone(prepared);
        }
        if statements.len() >= MAX_CACHED {
            statements.retain(|_, prepared| Rc::strong_count(prepared) > 1);
        }
        let prepared = Rc::new(Prepared::new(name.clone(), rest, text));
        statements.insert(name, Rc::clone(&prepared));
        prepared
    }
}

impl Prepared {
    fn new(name: Box<str>, rest: &[u8], text: &str) -> Self {
        let mut parse = BytesMut::new();
        put_raw(&mut parse, kind::PARSE, &[name.as_bytes(), &[0], rest]);
        Self {
            name,
            parse: parse.freeze(),
            script: Script::read(text),
        }
    }
}

fn digest(rest: &[u8]) -> Box<str> {
    let mut name = String::from(NAME_PREFIX);
    for byte in &Sha256::digest(rest)[..DIGEST_BYTES] {
        let _ = write!(name, "{byte:02x}");
    }
    name.into()
}

/// One caller's statements, by the names that it gave them.
#[derive(Debug, Default)]
pub struct Names {
    names: HashMap<Box<str>, Rc<Prepared>>,
    bytes: usize,
}

impl Names {
    /// The statement with this name.
    pub fn get(&self, name: &str) -> Option<&Rc<Prepared>> {
        self.names.get(name)
    }

    /// Stores a statement under a name; false if that would exceed the caller's limits.
    pub fn insert(&mut self, name: Box<str>, prepared: Rc<Prepared>) -> bool {
        self.remove(&name);
        if self.names.len() >= MAX_NAMES || self.bytes + prepared.parse.len() > MAX_BYTES {
            return false;
        }
        self.bytes += prepared.parse.len();
        self.names.insert(name, prepared);
        true
    }

    /// Removes a name.
    pub fn remove(&mut self, name: &str) {
        if let Some(prepared) = self.names.remove(name) {
            self.bytes -= prepared.parse.len();
        }
    }
}
