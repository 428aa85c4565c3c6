//! What callers said and were told.

use crate::direct::config::Kind;
use crate::direct::statement::{Answer, Code, End};
use crate::types::VmId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::Deref;
use std::rc::Rc;
use tokio::time::Instant;

/// One statement of a caller.
#[derive(Debug, Clone)]
pub struct Said {
    /// Its number of all.
    pub number: u64,
    /// Its id.
    pub id: Box<str>,
    /// Its text.
    pub text: Box<str>,
    /// The caller's session.
    pub session: u64,
    /// The operation: one statement or one transaction.
    pub operation: u64,
    /// Whether that is a transaction.
    pub transaction: bool,
    /// The VM that the session is at.
    pub vm: VmId,
    /// The organisation that holds the session's key; `-` for none.
    pub organisation: Box<str>,
    /// The route.
    pub route: Box<str>,
    /// How fresh its reads have to be.
    pub kind: Kind,
    /// The values that were acknowledged when it was sent.
    pub values: BTreeMap<Box<str>, Box<str>>,
    /// The shape of the prepared statement that it runs.
    pub shape: Option<Box<str>>,
    /// When its first byte was sent, or its transaction's.
    pub since: Instant,
    /// When it was sent.
    pub sent: Instant,
    /// What it was told, and when.
    pub told: Option<(Instant, Answer)>,
    /// When its connection ended without an answer.
    pub broke: Option<Instant>,
}

/// What was said, in order, but for what was taken out.
#[derive(Debug, Default)]
pub struct Talk {
    said: Vec<Said>,
    next: u64,
}

/// All that was said.
pub type Record = Rc<RefCell<Talk>>;

impl Deref for Talk {
    type Target = [Said];

    fn deref(&self) -> &[Said] {
        &self.said
    }
}

impl Talk {
    /// The number of the next statement.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Adds a statement, which has the next number.
    pub fn push(&mut self, said: Said) {
        self.next = said.number + 1;
        self.said.push(said);
    }

    /// A statement by its number.
    pub fn find(&mut self, number: u64) -> Option<&mut Said> {
        let index = self.said.partition_point(|said| said.number < number);
        let said = self.said.get_mut(index)?;
        (said.number == number).then_some(said)
    }

    /// Takes out all operations that began before a moment.
    pub fn take(&mut self, before: Instant) -> Vec<Said> {
        let first = self.said.partition_point(|said| said.sent < before);
        let first = self.said.get(first).map_or(self.next, |said| said.number);
        self.said
            .extract_if(.., |said| said.operation < first)
            .collect()
    }
}

impl Said {
    /// The signature, if it was told to be done.
    pub fn signature(&self) -> Option<&str> {
        match &self.told.as_ref()?.1.end {
            End::Done(signature) => signature.as_deref(),
            End::Error { .. } => None,
        }
    }

    /// Whether it was told to be done.
    pub fn is_done(&self) -> bool {
        matches!(&self.told, Some((_, answer)) if matches!(answer.end, End::Done(_)))
    }

    /// The error that it was told.
    pub fn code(&self) -> Option<Code> {
        match self.told.as_ref()?.1.end {
            End::Error { code, .. } => Some(code),
            End::Done(_) => None,
        }
    }

    /// Whether it was promised that nothing of it is kept.
    pub fn is_promised(&self) -> bool {
        self.code().is_some_and(Code::is_not_run)
    }

    /// When it was acknowledged.
    pub fn acknowledged(&self) -> Option<Instant> {
        let (at, _) = self.told.as_ref()?;
        self.is_done().then_some(*at)
    }
}
