//! Log positions that each group's primary is known to have reached, by which a VM detects a primary that lost its log.
//!
//! A primary may lose all its data and start again under its id, which the register shows up to two seconds
//! later. Until then, reads on it would miss acknowledged commits, and writes to the empty log would be
//! acknowledged and lost when another database is promoted. Within an epoch a primary's log only grows, so a
//! statement that was sent after a position was known here, and whose answer shows an earlier one, ran on
//! another log. A VM that knows no position yet receives them from others with its first heartbeat.

use crate::clock::Time;
use crate::direct::lead::Epoch;
use crate::types::{GroupId, Position};
use std::collections::BTreeMap;

/// A position that a primary is known to have reached, and since when.
#[derive(Debug, Clone, Copy)]
struct Mark {
    position: Position,
    since: Time,
}

impl Mark {
    /// Whether an answer with `position` to a statement sent at `asked` shows a log without it.
    fn is_missing(self, position: Position, asked: Time) -> bool {
        self.since <= asked && position < self.position
    }
}

/// What is known of the primary of an epoch.
#[derive(Debug, Clone, Copy)]
struct Watermark {
    epoch: Epoch,
    /// The first position that was known here. A statement that was sent before the highest one was
    /// known is judged by it: a log that was lost begins anew.
    first: Mark,
    highest: Mark,
}

/// Positions of each group's primary.
#[derive(Debug, Clone, Default)]
pub struct Watermarks(BTreeMap<GroupId, Watermark>);

impl Watermarks {
    /// Records that the primary of `epoch` is known, as of `now`, to have reached `position`.
    pub fn note(&mut self, group: &GroupId, epoch: Epoch, position: Position, now: Time) {
        let mark = Mark {
            position,
            since: now,
        };
        match self.0.get_mut(group) {
            Some(known) if known.epoch == epoch => {
                if position > known.highest.position {
                    known.highest = mark;
                }
            }
            Some(known) if known.epoch > epoch => {}
            _ => {
                let new = Watermark {
                    epoch,
                    first: mark,
                    highest: mark,
                };
                self.0.insert(group.clone(), new);
            }
        }
    }

    /// Whether an answer with `position` to a statement sent at `asked` shows that the primary of
    /// `epoch` has lost its log.
    pub fn is_lost(&self, group: &GroupId, epoch: Epoch, position: Position, asked: Time) -> bool {
        let known = self.0.get(group).filter(|known| known.epoch == epoch);
        known.is_some_and(|known| {
            known.first.is_missing(position, asked) || known.highest.is_missing(position, asked)
        })
    }
}
