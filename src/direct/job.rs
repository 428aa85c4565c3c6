//! One statement that has to run, and the moments that bound it.

use crate::clock::{Span, Time};
use crate::direct::config::{Kind, Route};
use crate::direct::exchange::Statement;
use crate::direct::gate::{self, Urgency};
use crate::direct::session::{Shape, Values};
use crate::direct::statement::Query;
use crate::direct::trace::Trace;
use crate::types::OrganisationId;
use std::rc::Rc;

/// The part of a route's timeout that a statement waits for a primary at most. A planned change
/// takes less. Callers ask three times; with a half each, VMs that could not serve them held them for
/// most of their time (the price of trilho-sede's trouble-3 was 0.106 in all, 0.046 with a quarter).
const NEWS_PERCENT: u64 = 25;

/// The part of the objective that work may wait for a busy database: what is refused later than
/// this has cost its caller time in which another VM could have served it. With 25, refusals reached
/// their callers after a quarter of the objective and paid for nothing. Worth 0.885 with 25 and 0.905
/// with 18: three days of 70 VMs whose primaries had their replicas' load, one run each, which differ
/// by up to 0.03; where every VM has its own connections, 0.896 and 0.897, fifteen paired runs.
const QUEUE_PERCENT: u64 = 18;

/// The same for a statement of an open transaction, which loses all that ran before when it is
/// refused, and holds a connection meanwhile.
const OPEN_QUEUE_PERCENT: u64 = 50;

/// What a statement is part of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Of nothing: it stands alone.
    Single,
    /// It is the first of a transaction, which has to be opened.
    First {
        /// Whether the transaction only reads.
        read: bool,
    },
    /// Of the transaction that is open.
    Next,
}

/// One statement.
#[derive(Debug, Clone, Copy)]
pub struct Job<'a> {
    /// The route.
    pub route: &'a Rc<Route>,
    /// The statement.
    pub query: &'a Query,
    /// On whose behalf it is asked.
    pub organisation: Option<&'a OrganisationId>,
    /// The prepared statement that it runs.
    pub shape: Option<&'a Rc<Shape>>,
    /// Whether it writes.
    pub writes: bool,
    /// Whether it commits the transaction.
    pub commit: bool,
    /// What it is part of.
    pub part: Part,
    /// When it, or its transaction, came.
    pub since: Time,
    /// When it came.
    pub came: Time,
    /// What it meets on its way.
    pub trace: &'a Trace,
}

impl Job<'_> {
    /// It as a database is sent it, where nothing has to come before it.
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
        }
    }

    /// When it is given up.
    pub fn deadline(&self) -> Time {
        self.came + self.route.timeout
    }

    /// Until when it may wait for a busy database.
    pub fn queue_until(&self) -> Time {
        let percent = match self.part {
            Part::Next => OPEN_QUEUE_PERCENT,
            Part::Single | Part::First { .. } => QUEUE_PERCENT,
        };
        self.came + self.route.objective.percent(percent)
    }

    /// Until when it may wait for a primary.
    pub fn news_until(&self) -> Time {
        self.came + self.route.timeout.percent(NEWS_PERCENT)
    }

    /// Its place among others that wait.
    pub fn urgency(&self) -> Urgency {
        match self.part {
            Part::Next => gate::OPEN,
            Part::Single | Part::First { .. } => self.route.priority.saturating_add(1),
        }
    }

    /// How old the data may be that it reads, if it need not be the newest.
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

    /// Whether nothing of it can be kept, whatever became of it.
    pub fn is_kept_by_nobody(&self) -> bool {
        matches!(self.part, Part::First { .. }) || self.is_repeatable()
    }

    /// Whether an answer that was lost may be asked for again: nothing else was told or kept.
    pub fn is_repeatable(&self) -> bool {
        self.part == Part::Single && !self.writes
    }
}
