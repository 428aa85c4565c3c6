//! A simulated database's log and its term.

use crate::core::database::{Order, Refusal, Reply, State};
use crate::core::lineage::Lineage;
use crate::core::request::Status;
use crate::core::term::may_raise;
use crate::types::{Offset, Position, RequestId, RequestKey, Term};

/// A row that was written, which is one entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The term in which it was written.
    pub term: Term,
    /// The key of the row.
    pub key: Box<str>,
    /// The value written.
    pub value: Box<str>,
    /// The key of the request that wrote it.
    pub request: Option<RequestKey>,
}

/// One database's log, its term, and whether it is the primary.
#[derive(Debug, Clone)]
pub struct Log {
    /// The term that it was last raised to.
    pub term: Term,
    /// Whether it is the primary of its term.
    pub open: bool,
    /// All rows, applied or not.
    pub rows: Vec<Row>,
    /// The number of rows that are visible to reads.
    pub applied: usize,
    /// The position at which each term began, which determines the earlier terms' rows that it holds.
    pub lineage: Lineage,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            term: crate::config::FIRST_TERM,
            open: false,
            rows: Vec::new(),
            applied: 0,
            lineage: Lineage::default(),
        }
    }
}

impl Log {
    /// Returns the position of its last row.
    pub fn end(&self) -> Position {
        self.position(self.rows.len())
    }

    /// Returns the position up to which it is applied.
    pub fn reached(&self) -> Position {
        self.position(self.applied)
    }

    fn position(&self, length: usize) -> Position {
        let last = length.checked_sub(1).and_then(|last| self.rows.get(last));
        let term = last.map_or(Term(0), |row| row.term);
        Position::new(term, Offset(length as u64))
    }

    /// Returns the state that the database reports.
    pub fn state(&self) -> State {
        State {
            term: self.term,
            position: self.end(),
            applied: self.reached(),
            open: self.open,
            lineage: self.lineage.clone(),
        }
    }

    /// Returns the answer to a statement; `wrote` is the position of its last write, if any.
    pub fn reply(
        &self,
        request: RequestId,
        body: String,
        open: bool,
        wrote: Option<Position>,
    ) -> Reply {
        Reply {
            request,
            body: body.into(),
            status: if open { Status::Open } else { Status::Idle },
            applied: self.reached(),
            wrote,
        }
    }

    /// Returns the rows that are visible to reads.
    pub fn seen(&self) -> &[Row] {
        &self.rows[..self.applied]
    }

    /// Whether the log holds `position`.
    pub fn holds(&self, position: Position) -> bool {
        self.lineage.holds(self.end(), position)
    }

    /// Carries out an order; `None` if it waits for a position that is not in the log yet.
    pub fn order(&mut self, order: Order) -> Option<Result<State, Refusal>> {
        match order {
            Order::Report => {}
            Order::Raise(term) if may_raise(self.term, term) => {
                self.term = term;
                self.open = false;
            }
            Order::Open(term) if term == self.term => {
                if !self.open {
                    self.lineage.open(term, self.end());
                    self.applied = self.rows.len();
                    self.open = true;
                }
            }
            Order::Raise(_) | Order::Open(_) => return Some(Err(Refusal::Term(self.term))),
            Order::Reach(position) if !self.holds(position) => return None,
            Order::Reach(_) => {}
        }
        Some(Ok(self.state()))
    }

    /// Returns the position of the row with this request key, if the log holds it.
    pub fn find(&self, request: Option<&RequestKey>) -> Option<Position> {
        let written = |row: &Row| row.request.as_ref() == request;
        let index = self.rows.iter().position(written);
        index
            .filter(|_| request.is_some())
            .map(|index| self.position(index + 1))
    }

    /// Appends a row, which is visible to reads immediately. Returns its position.
    pub fn push(&mut self, row: Row) -> Position {
        self.rows.push(row);
        self.applied = self.rows.len();
        self.end()
    }

    /// Replaces the rows by those of `source`. Returns the length of the common prefix; rows applied
    /// beyond it are undone, and new rows are not applied yet.
    pub fn replace(&mut self, source: &Self) -> usize {
        let pairs = self.rows.iter().zip(&source.rows);
        let same = pairs.take_while(|(a, b)| a == b).count();
        self.applied = self.applied.min(same);
        self.rows.clone_from(&source.rows);
        self.lineage.clone_from(&source.lineage);
        same
    }

    /// Applies its first `length` rows, or all rows if it has fewer.
    pub fn apply(&mut self, length: usize) {
        self.applied = self.applied.max(length.min(self.rows.len()));
    }
}
