//! The terms in which a log was written, and whether a position belongs to that log.

use crate::types::{Offset, Position, Term};
use serde::{Deserialize, Serialize};

/// The terms in which a log was written, each with its start position, lowest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Lineage {
    starts: Vec<Start>,
}

/// The start of a term: the end of the log that the term continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// The term that was opened.
    pub term: Term,
    /// The end of the log when the term was opened.
    pub base: Position,
}

/// How a position relates to a log with a given lineage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// It is part of the log's history, provided that the log is long enough.
    Kept,
    /// A later term started below it, so it is not part of the history and never will be.
    Lost,
    /// Its term is higher than any in the lineage.
    Ahead,
}

impl Lineage {
    /// Creates a lineage from these starts, which must be in ascending order of terms.
    pub fn new(starts: Vec<Start>) -> Self {
        debug_assert!(starts.windows(2).all(|pair| pair[0].term < pair[1].term));
        Self { starts }
    }

    /// Records that `term` was opened on a log that ended at `base`.
    pub fn open(&mut self, term: Term, base: Position) {
        debug_assert!(self.last().is_none_or(|last| last < term));
        self.starts.push(Start { term, base });
    }

    /// The highest term opened.
    pub fn last(&self) -> Option<Term> {
        self.starts.last().map(|start| start.term)
    }

    /// The starts, lowest term first.
    pub fn starts(&self) -> &[Start] {
        &self.starts
    }

    /// How `position` relates to a log with this lineage.
    ///
    /// A term that was opened but is missing from the lineage was skipped by a later one, so
    /// everything that it wrote past its start is lost. Terms below the first start were trimmed;
    /// their positions are compared by offset only.
    pub fn relation(&self, position: Position) -> Relation {
        if position.offset == Offset(0) {
            return Relation::Kept;
        }
        if self.last().is_none_or(|last| last < position.term) {
            return Relation::Ahead;
        }
        let index = self
            .starts
            .partition_point(|start| start.term <= position.term);
        let skipped = index > 0 && self.starts[index - 1].term != position.term;
        let cut = self
            .starts
            .get(index)
            .is_some_and(|next| position.offset > next.base.offset);
        if skipped || cut {
            Relation::Lost
        } else {
            Relation::Kept
        }
    }

    /// Whether a log of this lineage that ends at `end` holds `position`.
    pub fn holds(&self, end: Position, position: Position) -> bool {
        self.relation(position) == Relation::Kept && end.offset >= position.offset
    }

    /// Removes all but the last `keep` starts. Every log that reached those holds all older
    /// positions, and sessions that old have been served from such logs for a long time.
    pub fn trim(&mut self, keep: usize) {
        let surplus = self.starts.len().saturating_sub(keep);
        self.starts.drain(..surplus);
    }
}
