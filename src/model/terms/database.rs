//! A database of the group: its term and its log.

use crate::core::lineage::Lineage;
use crate::types::{Offset, Position, Term};

/// One entry of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Item {
    Start(u8),
    Write { term: u8, write: u8 },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Database {
    pub(super) term: u8,
    pub(super) open: bool,
    pub(super) log: Vec<Item>,
}

impl Database {
    pub(super) fn lineage(&self) -> Lineage {
        let mut lineage = Lineage::default();
        let mut end = Position::default();
        for item in &self.log {
            match item {
                Item::Start(term) => {
                    lineage.open(Term((*term).into()), end);
                    end.term = Term((*term).into());
                }
                Item::Write { .. } => end.offset = end.offset.next(),
            }
        }
        lineage
    }

    /// The last term whose start the log holds.
    pub(super) fn opened(&self) -> Option<u8> {
        self.log.iter().rev().find_map(|item| match item {
            Item::Start(term) => Some(*term),
            Item::Write { .. } => None,
        })
    }

    pub(super) fn end(&self) -> Position {
        Position::new(Term(self.opened().unwrap_or(0).into()), self.offset())
    }

    /// The end, with the term of the last write instead of the last start.
    pub(super) fn end_of_writes(&self) -> Position {
        let term = self.log.iter().rev().find_map(|item| match item {
            Item::Start(_) => None,
            Item::Write { term, .. } => Some(*term),
        });
        Position::new(Term(term.unwrap_or(0).into()), self.offset())
    }

    pub(super) fn offset(&self) -> Offset {
        let writes = self
            .log
            .iter()
            .filter(|item| matches!(item, Item::Write { .. }));
        Offset(writes.count() as u64)
    }

    /// Returns the position of a write in the log.
    pub(super) fn find(&self, write: u8) -> Option<Position> {
        let mut offset = Offset(0);
        for item in &self.log {
            if let Item::Write { term, write: id } = item {
                offset = offset.next();
                if *id == write {
                    return Some(Position::new(Term((*term).into()), offset));
                }
            }
        }
        None
    }
}
