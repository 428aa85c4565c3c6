//! Records the steps of a request, and decides whether it gets a log line.
//!
//! A VM serves hundreds of statements a second and fails only a few, unless it is overloaded or has
//! lost a dependency. Lines for all served requests would cost processor time and hide the failures.
//! So every request that was not served gets a line, and a served one gets a line when its operation
//! exceeds its route's objective. Of the rest one in [`SAMPLE_INTERVAL`] gets a line for comparison:
//! one every few seconds on a busy VM.

use crate::clock::{Span, Time};
use crate::direct::lead::Epoch;
use crate::direct::quota::Standing;
use crate::types::DatabaseId;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;

/// One in this many operations that were served in time gets a line.
pub const SAMPLE_INTERVAL: u32 = 1_000;

/// The most characters that are shown of a text chosen by a caller.
const MAX_SHOWN_CHARS: usize = 48;

/// Why a request gets a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It was refused, failed, or its outcome is unknown.
    NotServed,
    /// It was served, but its operation exceeded its route's objective.
    Late,
    /// It was served in time, and is part of the sample.
    Sample,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// Successfully.
    Served {
        /// The longest time that its whole operation should take.
        objective: Span,
    },
    /// Refused, failed, or with an unknown outcome.
    NotServed,
}

/// The steps of one statement that are logged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Steps {
    /// The database that was tried last.
    pub database: Option<DatabaseId>,
    /// The epoch in which that database was used as a primary, if it was.
    pub epoch: Option<Epoch>,
    /// The owner through which it was tried, if any.
    pub owner: Option<SocketAddr>,
    /// The number of attempts; a database may have been tried several times.
    pub tries: u32,
    /// How long it queued for a slot.
    pub queued: Span,
    /// How long it waited for a primary.
    pub without_primary: Span,
    /// Where it stood before its allocators when it was refused for want of a token.
    pub standing: Option<Standing>,
    /// How the last attempt ended.
    pub ended: Option<&'static str>,
}

/// Collects the steps of one statement while it runs.
#[derive(Debug, Default)]
pub struct Trace(RefCell<Steps>);

impl Trace {
    /// Records an attempt on a database, as a primary if there is an `epoch`.
    pub fn tries(&self, database: &DatabaseId, epoch: Option<Epoch>) {
        let mut steps = self.0.borrow_mut();
        steps.tries += 1;
        steps.owner = None;
        steps.epoch = epoch;
        if steps.database.as_ref() != Some(database) {
            steps.database = Some(database.clone());
        }
    }

    /// Records that the attempt goes through an owner.
    pub fn through(&self, owner: SocketAddr) {
        self.0.borrow_mut().owner = Some(owner);
    }

    /// Adds time spent queueing for a slot.
    pub fn queued(&self, span: Span) {
        let mut steps = self.0.borrow_mut();
        steps.queued = steps.queued + span;
    }

    /// Adds time spent waiting for a primary.
    pub fn without_primary(&self, span: Span) {
        let mut steps = self.0.borrow_mut();
        steps.without_primary = steps.without_primary + span;
    }

    /// Records where it stood when its organisation's allowance had no token for it in time.
    pub fn without_token(&self, standing: Option<Standing>) {
        self.0.borrow_mut().standing = standing;
    }

    /// Records how an attempt ended.
    pub fn ended(&self, how: &'static str) {
        self.0.borrow_mut().ended = Some(how);
    }

    /// The epoch of the last attempt, if it was on a primary.
    pub fn epoch(&self) -> Option<Epoch> {
        self.0.borrow().epoch
    }

    /// Returns all recorded steps.
    pub fn into_steps(self) -> Steps {
        self.0.into_inner()
    }
}

/// A session's current operation: a single statement or a transaction.
#[derive(Debug, Default)]
pub struct Operation {
    /// The id of its first request after `BEGIN`, by which some callers identify the whole operation.
    pub id: Box<str>,
    /// The id of its newest request.
    pub request: Box<str>,
    /// When that arrived.
    pub arrived: Time,
    spent: Span,
    late: bool,
}

impl Operation {
    /// Starts a request that arrived at `now`; `first` is whether nothing of the operation ran before.
    pub fn begin(&mut self, request: &str, now: Time, first: bool) {
        (self.request, self.arrived) = (clip(request).into(), now);
        if first {
            self.id = self.request.clone();
            (self.spent, self.late) = (Span::ZERO, false);
        }
    }

    /// Ends the request that was answered at `now`; returns the reason for a line if it gets one. The
    /// caller's pauses between the statements of a transaction don't count.
    pub fn end(&mut self, now: Time, completion: Completion, sampler: &Sampler) -> Option<Reason> {
        self.spent = self.spent + now.since(self.arrived);
        let Completion::Served { objective } = completion else {
            return Some(Reason::NotServed);
        };
        if self.spent > objective && !self.late {
            self.late = true;
            return Some(Reason::Late);
        }
        sampler.picks().then_some(Reason::Sample)
    }

    /// The total time of its statements so far.
    pub fn spent(&self) -> Span {
        self.spent
    }
}

/// Picks one request in [`SAMPLE_INTERVAL`], counted over all sessions of a VM.
#[derive(Debug, Default)]
pub struct Sampler(Cell<u32>);

impl Sampler {
    fn picks(&self) -> bool {
        let count = self.0.get() + 1;
        self.0.set(count % SAMPLE_INTERVAL);
        count == SAMPLE_INTERVAL
    }
}

/// Displays a value that may be missing, as `-` if it is.
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

/// Truncates a text chosen by a caller, which may be as long as a message.
pub fn clip(text: &str) -> &str {
    let end = text.char_indices().nth(MAX_SHOWN_CHARS).map(|(at, _)| at);
    &text[..end.unwrap_or(text.len())]
}
