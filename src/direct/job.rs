//! One statement to run on a database, and its deadlines.

use crate::clock::{Span, Time};
use crate::direct::config::{Kind, Route};
use crate::direct::departure::Departure;
use crate::direct::exchange::Statement;
use crate::direct::gate::{self, Urgency};
use crate::direct::session::{Shape, Values};
use crate::direct::statement::Query;
use crate::direct::trace::Trace;
use crate::types::OrganisationId;
use std::rc::Rc;

/// The percentage of a route's timeout that a statement may wait for a primary. A planned change takes
/// less. Callers try three times; with 50, VMs that could not serve them held them for most of their
/// time.
const PRIMARY_WAIT_PERCENT: u64 = 25;

/// The percentage of a route's objective that work may wait for a busy database. A later refusal costs
/// its caller time in which another VM could have served it. With 25, refusals reached their callers
/// after a quarter of the objective, too late to be of use. The score was 0.885 with 25 and 0.905 with
/// 18 in three days of 70 VMs whose primaries had their replicas' load (one run each; runs differ by up
/// to 0.03); with own connections for every VM it was 0.896 and 0.897 (fifteen paired runs).
const QUEUE_PERCENT: u64 = 18;

/// The same for a statement of an open transaction: a refusal loses everything that ran before, and the
/// transaction holds a connection while it waits.
const OPEN_QUEUE_PERCENT: u64 = 50;

/// The percentage of a route's objective within which a token of the organisation's allowance is of use: three
/// quarters are left for the statements.
const TOKEN_PERCENT: u64 = 25;

/// How a statement relates to a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Outside a transaction.
    Single,
    /// The first of a transaction, which must be opened first.
    First {
        /// Whether the transaction only reads.
        read: bool,
    },
    /// Part of the transaction that is open.
    Next,
}

/// A statement to run.
#[derive(Debug, Clone, Copy)]
pub struct Job<'a> {
    /// The route.
    pub route: &'a Rc<Route>,
    /// The statement.
    pub query: &'a Query,
    /// The organisation on whose behalf it runs.
    pub organisation: Option<&'a OrganisationId>,
    /// The prepared statement that it runs.
    pub shape: Option<&'a Rc<Shape>>,
    /// Whether it writes.
    pub writes: bool,
    /// Whether it commits the transaction.
    pub commit: bool,
    /// How it relates to a transaction.
    pub part: Part,
    /// When it, or the `BEGIN` of its transaction, arrived.
    pub since: Time,
    /// When it arrived.
    pub arrived: Time,
    /// Records its steps for the log line.
    pub trace: &'a Trace,
    /// Whether its caller has left.
    pub departure: &'a Departure,
}

impl Job<'_> {
    /// The statement to send to a database, without a transaction to open or a position to require.
    pub fn statement<'b>(&'b self, values: &'b Values) -> Statement<'b> {
        Statement {
            query: self.query,
            shape: self.shape,
            values,
            organisation: self.organisation,
            begin: None,
            after: None,
            urgency: self.urgency(),
            queue_until: self.queue_until(),
            deadline: self.deadline(),
            trace: self.trace,
            departure: self.departure,
        }
    }

    /// When it times out.
    pub fn deadline(&self) -> Time {
        self.arrived + self.route.timeout
    }

    /// Until when it may queue for a busy database.
    pub fn queue_until(&self) -> Time {
        let percent = match self.part {
            Part::Next => OPEN_QUEUE_PERCENT,
            Part::Single | Part::First { .. } => QUEUE_PERCENT,
        };
        self.arrived + self.route.objective.percent(percent)
    }

    /// Until when a token of its organisation's allowance is of use to it.
    pub fn token_until(&self) -> Time {
        self.arrived + self.route.objective.percent(TOKEN_PERCENT)
    }

    /// Until when it may wait for a primary.
    pub fn primary_wait_until(&self) -> Time {
        self.arrived + self.route.timeout.percent(PRIMARY_WAIT_PERCENT)
    }

    /// Its position in the queue.
    pub fn urgency(&self) -> Urgency {
        match self.part {
            Part::Next => gate::OPEN_TRANSACTION,
            Part::Single | Part::First { .. } => self.route.priority.saturating_add(1),
        }
    }

    /// The maximum age of the data that it reads, if stale data is allowed.
    pub fn staleness(&self) -> Option<Span> {
        let reads = match self.part {
            Part::First { read } => read,
            Part::Single => !self.writes,
            Part::Next => false,
        };
        match self.route.kind {
            Kind::Bounded(span) | Kind::Session(span) if reads => Some(span),
            _ => None,
        }
    }

    /// Whether nothing of it can be kept, even if it ran.
    pub fn keeps_nothing(&self) -> bool {
        matches!(self.part, Part::First { .. }) || self.is_repeatable()
    }

    /// Whether it may be repeated after a lost answer: it is a single read, of which nothing was kept.
    pub fn is_repeatable(&self) -> bool {
        self.part == Part::Single && !self.writes
    }
}
