//! The highest known log position of each group's primary, by which a VM detects a primary that lost its log.
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

#[derive(Debug, Clone, Copy)]
struct Watermark {
    epoch: Epoch,
    position: Position,
    since: Time,
}

/// The highest position of each group's primary, and since when it is known here.
#[derive(Debug, Clone, Default)]
pub struct Watermarks(BTreeMap<GroupId, Watermark>);

impl Watermarks {
    /// Records that the primary of `epoch` is known, as of `now`, to have reached `position`.
    pub fn note(&mut self, group: &GroupId, epoch: Epoch, position: Position, now: Time) {
        let new = Watermark {
            epoch,
            position,
            since: now,
        };
        match self.0.get_mut(group) {
            Some(known) if (known.epoch, known.position) >= (epoch, position) => {}
            Some(known) => *known = new,
            None => {
                self.0.insert(group.clone(), new);
            }
        }
    }

    /// Whether an answer with `position` to a statement sent at `asked` shows that the primary of
    /// `epoch` has lost its log.
    pub fn is_lost(&self, group: &GroupId, epoch: Epoch, position: Position, asked: Time) -> bool {
        self.0.get(group).is_some_and(|known| {
            known.epoch == epoch && known.since <= asked && position < known.position
        })
    }
}
