//! Prepared statements of callers, kept while connections to databases come and go.
//!
//! A caller prepares a statement once and uses it on whichever connection its next transaction
//! gets. So the proxy remembers what each name stands for; a batch that uses a statement which it does
//! not prepare itself gets the Parse message put in front. On databases a statement is named
//! after its text, so that callers share it.

use crate::net::frame::{Fields, Malformed, kind, put_raw};
use crate::sql::Script;
use bytes::{Bytes, BytesMut};
use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Write;
use std::rc::Rc;

/// A statement as the proxy knows it.
#[derive(Debug)]
pub struct Prepared {
    /// Its name on databases; empty for a caller's unnamed one.
    pub name: Box<str>,
    /// The Parse message under that name.
    pub parse: Bytes,
    /// What it does.
    pub script: Script,
}

/// The statements of all callers: many callers prepare the same ones.
#[derive(Debug, Default)]
pub struct Library {
    shelf: RefCell<HashMap<Box<str>, Rc<Prepared>>>,
}

/// How many statements are kept before those that no caller uses are thrown out.
const SHELF: usize = 1_024;
/// How many statements one caller may keep. Drivers keep a few hundred at most.
const NAMES: usize = 512;
/// How many bytes of statements one caller may keep.
const BYTES: usize = 1024 * 1024;
/// How many bytes of the digest name a statement. They name what runs for every caller, so no
/// caller must be able to make two texts share a name: 128 bits of SHA-256 prevent that.
const DIGEST: usize = 16;
const NAME_PREFIX: &str = "ls_";

impl Library {
    /// The statement of a Parse message, given by its fields.
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
        let mut shelf = self.shelf.borrow_mut();
        if let Some(prepared) = shelf.get(&name) {
            return Rc::clone(prepared);
        }
        if shelf.len() >= SHELF {
            shelf.retain(|_, prepared| Rc::strong_count(prepared) > 1);
        }
        let prepared = Rc::new(Prepared::new(name.clone(), rest, text));
        shelf.insert(name, Rc::clone(&prepared));
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
    for byte in &Sha256::digest(rest)[..DIGEST] {
        let _ = write!(name, "{byte:02x}");
    }
    name.into()
}

/// One caller's statements by its own names.
#[derive(Debug, Default)]
pub struct Names {
    names: HashMap<Box<str>, Rc<Prepared>>,
    bytes: usize,
}

impl Names {
    /// What a name stands for.
    pub fn get(&self, name: &str) -> Option<&Rc<Prepared>> {
        self.names.get(name)
    }

    /// Lets a name stand for a statement; false if the caller keeps too much already.
    pub fn insert(&mut self, name: Box<str>, prepared: Rc<Prepared>) -> bool {
        self.remove(&name);
        if self.names.len() >= NAMES || self.bytes + prepared.parse.len() > BYTES {
            return false;
        }
        self.bytes += prepared.parse.len();
        self.names.insert(name, prepared);
        true
    }

    /// Forgets a name.
    pub fn remove(&mut self, name: &str) {
        if let Some(prepared) = self.names.remove(name) {
            self.bytes -= prepared.parse.len();
        }
    }
}
