//! Records of the statements that callers sent and the answers that they received.

use crate::direct::config::Kind;
use crate::direct::statement::{Answer, Code, End};
use crate::types::VmId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::ops::Deref;
use std::rc::Rc;
use tokio::time::Instant;

/// One statement of a caller, and its answer.
#[derive(Debug, Clone)]
pub struct Said {
    /// The statement's number, unique in the record.
    pub number: u64,
    /// Its id, by which the databases' journal refers to it.
    pub id: Box<str>,
    /// Its text.
    pub text: Box<str>,
    /// The caller's session.
    pub session: u64,
    /// The operation that it belongs to: one statement or one transaction.
    pub operation: u64,
    /// Whether the operation is a transaction.
    pub transaction: bool,
    /// The VM that serves the session.
    pub vm: VmId,
    /// The organisation that holds the session's key; `-` for none.
    pub organisation: Box<str>,
    /// The route that the session names.
    pub route: Box<str>,
    /// The freshness that the route guarantees to reads.
    pub kind: Kind,
    /// The session's settings that were acknowledged when it was sent.
    pub values: BTreeMap<Box<str>, Box<str>>,
    /// The shape of the prepared statement that it runs.
    pub shape: Option<Box<str>>,
    /// When it was sent, or the first statement of its transaction.
    pub since: Instant,
    /// When it was sent.
    pub sent: Instant,
    /// Its answer, and when that arrived.
    pub told: Option<(Instant, Answer)>,
    /// When the caller gave up without an answer.
    pub broke: Option<Instant>,
}

/// The recorded statements in order of their numbers, without those that were taken out.
#[derive(Debug, Default)]
pub struct Transcript {
    said: Vec<Said>,
    next: u64,
}

/// A record that callers share.
pub type Record = Rc<RefCell<Transcript>>;

impl Deref for Transcript {
    type Target = [Said];

    fn deref(&self) -> &[Said] {
        &self.said
    }
}

impl Transcript {
    /// The number of the next statement.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Adds a statement, which must have the next number.
    pub fn push(&mut self, said: Said) {
        self.next = said.number + 1;
        self.said.push(said);
    }

    /// Returns a statement by its number.
    pub fn find(&mut self, number: u64) -> Option<&mut Said> {
        let index = self.said.partition_point(|said| said.number < number);
        let said = self.said.get_mut(index)?;
        (said.number == number).then_some(said)
    }

    /// Removes and returns the statements of all operations that began before a moment.
    pub fn take(&mut self, before: Instant) -> Vec<Said> {
        let first = self.said.partition_point(|said| said.sent < before);
        let first = self.said.get(first).map_or(self.next, |said| said.number);
        self.said
            .extract_if(.., |said| said.operation < first)
            .collect()
    }
}

impl Said {
    /// The signature in its answer, if it succeeded.
    pub fn signature(&self) -> Option<&str> {
        match &self.told.as_ref()?.1.end {
            End::Done(signature) => signature.as_deref(),
            End::Error { .. } => None,
        }
    }

    /// Whether it succeeded.
    pub fn is_done(&self) -> bool {
        matches!(&self.told, Some((_, answer)) if matches!(answer.end, End::Done(_)))
    }

    /// The error code in its answer.
    pub fn code(&self) -> Option<Code> {
        match self.told.as_ref()?.1.end {
            End::Error { code, .. } => Some(code),
            End::Done(_) => None,
        }
    }

    /// Whether its error guarantees that it had no effect.
    pub fn is_not_run(&self) -> bool {
        self.code().is_some_and(Code::is_not_run)
    }

    /// When it was answered with success.
    pub fn acknowledged(&self) -> Option<Instant> {
        let (at, _) = self.told.as_ref()?;
        self.is_done().then_some(*at)
    }
}
