//! A database's log, and the term in which it stands.

use crate::core::database::{Order, Refusal, Reply, State};
use crate::core::lineage::Lineage;
use crate::core::request::Status;
use crate::core::term::may_raise;
use crate::types::{Offset, Position, RequestId, RequestKey, Term};

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The term that wrote it.
    pub term: Term,
    /// What it is about.
    pub key: Box<str>,
    /// What was written.
    pub value: Box<str>,
    /// The key of the request.
    pub request: Option<RequestKey>,
}

/// What one database has, and what it is in its group.
#[derive(Debug, Clone)]
pub struct Log {
    /// The term that it was raised to last.
    pub term: Term,
    /// Whether it is the primary of its term.
    pub open: bool,
    /// All rows, applied or not.
    pub rows: Vec<Row>,
    /// How many rows readers see.
    pub applied: usize,
    /// Which rows of former terms are in it.
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
    /// The position of its last row.
    pub fn end(&self) -> Position {
        self.position(self.rows.len())
    }

    /// The position up to which it is applied.
    pub fn reached(&self) -> Position {
        self.position(self.applied)
    }

    fn position(&self, length: usize) -> Position {
        let last = length.checked_sub(1).and_then(|last| self.rows.get(last));
        let term = last.map_or(Term(0), |row| row.term);
        Position::new(term, Offset(length as u64))
    }

    /// What the database tells of itself.
    pub fn state(&self) -> State {
        State {
            term: self.term,
            position: self.end(),
            applied: self.reached(),
            open: self.open,
            lineage: self.lineage.clone(),
        }
    }

    /// The answer to a statement that may have written up to `wrote`.
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

    /// The rows that readers see.
    pub fn seen(&self) -> &[Row] {
        &self.rows[..self.applied]
    }

    /// Whether `position` is in it.
    pub fn holds(&self, position: Position) -> bool {
        self.lineage.holds(self.end(), position)
    }

    /// Carries out an order; `None` if it asks for a position that is not in the log yet.
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

    /// Where the row of this request key is, once it was written.
    pub fn find(&self, request: Option<&RequestKey>) -> Option<Position> {
        let written = |row: &Row| row.request.as_ref() == request;
        let index = self.rows.iter().position(written);
        index
            .filter(|_| request.is_some())
            .map(|index| self.position(index + 1))
    }

    /// Writes a row, which readers see at once.
    pub fn push(&mut self, row: Row) -> Position {
        self.rows.push(row);
        self.applied = self.rows.len();
        self.end()
    }

    /// Takes over the rows of `source`; tells how many stay as they were. What is applied beyond
    /// those is undone, and nothing new is applied yet.
    pub fn replace(&mut self, source: &Self) -> usize {
        let pairs = self.rows.iter().zip(&source.rows);
        let same = pairs.take_while(|(a, b)| a == b).count();
        self.applied = self.applied.min(same);
        self.rows.clone_from(&source.rows);
        self.lineage.clone_from(&source.lineage);
        same
    }

    /// Applies its first `length` rows, as far as there are so many.
    pub fn apply(&mut self, length: usize) {
        self.applied = self.applied.max(length.min(self.rows.len()));
    }
}
