//! What a request met on its way, and whether its end gets a log line.
//!
//! **Load pattern.** A VM serves hundreds of statements a second and fails a few, until an overload
//! or a lost dependency turns most of them away.
//! **Without it** the lines of what was served take the processor time of what was not, and hide it.
//! **Thresholds.** What was not served always has a line. What was served has one as soon as its
//! operation takes longer than its route's objective, which is what callers complain of. Of the
//! rest one in [`SAMPLE`] has one, to compare with: every few seconds on a busy VM.

use crate::clock::{Span, Time};
use crate::direct::lead::Epoch;
use crate::types::DatabaseId;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;

/// Of how many operations that were served in time one has a line.
pub const SAMPLE: u32 = 1_000;

/// Letters of a name that a caller chose which are shown.
const SHOWN: usize = 48;

/// Why a request has a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It was refused, failed, or its outcome is unknown.
    NotServed,
    /// It was served, and later than its route's objective.
    Late,
    /// It was served in time, and is an example.
    Sample,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// With success.
    Served {
        /// What its whole operation should take at most.
        objective: Span,
    },
    /// Otherwise.
    NotServed,
}

/// The steps of one statement, as far as a line tells them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Steps {
    /// The database that was tried last.
    pub database: Option<DatabaseId>,
    /// The epoch under which it was, if as a primary.
    pub epoch: Option<Epoch>,
    /// The VM that owns the connection, if it was tried through one.
    pub owner: Option<SocketAddr>,
    /// How many databases were tried, one of them perhaps several times.
    pub tries: u32,
    /// How long it waited for a slot.
    pub queued: Span,
    /// How long it waited for a primary.
    pub without_primary: Span,
    /// How the last try ended that was not answered.
    pub ended: Option<&'static str>,
}

/// The steps of one statement while it runs.
#[derive(Debug, Default)]
pub struct Trace(RefCell<Steps>);

impl Trace {
    /// A database is tried, as a primary under `epoch`.
    pub fn tries(&self, database: &DatabaseId, epoch: Option<Epoch>) {
        let mut steps = self.0.borrow_mut();
        steps.tries += 1;
        steps.owner = None;
        steps.epoch = epoch;
        if steps.database.as_ref() != Some(database) {
            steps.database = Some(database.clone());
        }
    }

    /// It goes through a VM that owns connections.
    pub fn through(&self, owner: SocketAddr) {
        self.0.borrow_mut().owner = Some(owner);
    }

    /// It waited for a slot.
    pub fn queued(&self, span: Span) {
        let mut steps = self.0.borrow_mut();
        steps.queued = steps.queued + span;
    }

    /// It waited for a primary.
    pub fn without_primary(&self, span: Span) {
        let mut steps = self.0.borrow_mut();
        steps.without_primary = steps.without_primary + span;
    }

    /// A try ended without an answer that may be passed on.
    pub fn ended(&self, how: &'static str) {
        self.0.borrow_mut().ended = Some(how);
    }

    /// The epoch under which it was tried last.
    pub fn epoch(&self) -> Option<Epoch> {
        self.0.borrow().epoch
    }

    /// All of them.
    pub fn into_steps(self) -> Steps {
        self.0.into_inner()
    }
}

/// The operation that a session is in: one statement, or a transaction.
#[derive(Debug, Default)]
pub struct Operation {
    /// The id of its first request that was more than the beginning of a transaction: some callers
    /// know all of it by that.
    pub id: Box<str>,
    /// The id of its newest request.
    pub request: Box<str>,
    /// When that came.
    pub came: Time,
    spent: Span,
    late: bool,
}

impl Operation {
    /// A request comes at `now`; `first` tells whether nothing of an operation ran before it.
    pub fn begin(&mut self, request: &str, now: Time, first: bool) {
        (self.request, self.came) = (clip(request).into(), now);
        if first {
            self.id = self.request.clone();
            (self.spent, self.late) = (Span::ZERO, false);
        }
    }

    /// Its request was answered at `now`: whether it gets a line, and why. Pauses between the
    /// statements of a transaction are the caller's own time and don't count.
    pub fn end(&mut self, now: Time, fate: Fate, sampler: &Sampler) -> Option<Reason> {
        self.spent = self.spent + now.since(self.came);
        let Fate::Served { objective } = fate else {
            return Some(Reason::NotServed);
        };
        if self.spent > objective && !self.late {
            self.late = true;
            return Some(Reason::Late);
        }
        sampler.picks().then_some(Reason::Sample)
    }

    /// The time that its statements took so far.
    pub fn spent(&self) -> Span {
        self.spent
    }
}

/// Picks one request in [`SAMPLE`], counted over all sessions of a VM.
#[derive(Debug, Default)]
pub struct Sampler(Cell<u32>);

impl Sampler {
    fn picks(&self) -> bool {
        let count = self.0.get() + 1;
        self.0.set(count % SAMPLE);
        count == SAMPLE
    }
}

/// A value that may be missing, in a line.
#[derive(Debug, Clone, Copy)]
pub struct Shown<T>(pub Option<T>);

impl<T: fmt::Display> fmt::Display for Shown<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("-"),
        }
    }
}

/// The start of a text that a caller chose, which may be as long as a message.
pub fn clip(text: &str) -> &str {
    let end = text.char_indices().nth(SHOWN).map(|(at, _)| at);
    &text[..end.unwrap_or(text.len())]
}
