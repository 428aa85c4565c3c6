//! A database's log. It stores only which term wrote which range of offsets, so that it stays small
//! in long simulations. A term has one writer, so a position determines all entries before it.

use crate::types::{Offset, Position, Term};

/// Entries that one term wrote, up to an offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Part {
    term: u64,
    end: usize,
}

/// A log as the ranges that each term wrote.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Log {
    parts: Vec<Part>,
}

impl Log {
    /// The number of entries.
    pub fn len(&self) -> usize {
        self.parts.last().map_or(0, |part| part.end)
    }

    /// Whether the log has no entries.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// The term of the entry at an offset, counted from 1.
    pub fn term_at(&self, offset: usize) -> Option<u64> {
        let index = self.parts.partition_point(|part| part.end < offset);
        let part = self.parts.get(index).filter(|_| offset > 0)?;
        Some(part.term)
    }

    /// The position of the entry at an offset; offset 0 stands before the first entry.
    pub fn position(&self, offset: usize) -> Position {
        let term = self.term_at(offset).unwrap_or(1);
        Position::new(Term(term), Offset(offset as u64))
    }

    /// Whether it contains the entry at a position.
    pub fn contains(&self, position: Position) -> bool {
        let offset = usize::try_from(position.offset.0).unwrap_or(usize::MAX);
        offset == 0 || self.term_at(offset) == Some(position.term.0)
    }

    /// Appends an entry of `term`.
    pub fn append(&mut self, term: u64) {
        let end = self.len() + 1;
        match self.parts.last_mut() {
            Some(last) if last.term == term => last.end = end,
            _ => self.parts.push(Part { term, end }),
        }
    }

    /// The first `count` entries.
    pub fn first(&self, count: usize) -> Log {
        let mut parts = Vec::new();
        for part in &self.parts {
            let end = part.end.min(count);
            if parts.last().map_or(0, |last: &Part| last.end) < end {
                parts.push(Part { end, ..*part });
            }
        }
        Log { parts }
    }

    /// The length of the common prefix of two logs.
    pub fn shared(&self, other: &Log) -> usize {
        let mut shared = 0;
        for (ours, theirs) in self.parts.iter().zip(&other.parts) {
            if ours.term != theirs.term {
                break;
            }
            shared = ours.end.min(theirs.end);
            if ours.end != theirs.end {
                break;
            }
        }
        shared
    }
}
