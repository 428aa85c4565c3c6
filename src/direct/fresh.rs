//! The log positions of each group's primary over time, so that replicas can serve reads of bounded age.
//!
//! If the primary was asked at t, answered with position p, and its lease was still valid afterwards,
//! every commit acknowledged before t is at or before p. A read that arrives at b and may be S old can
//! be served from any log that has reached the p of a pair with t at or after b - S.

use crate::clock::{Span, Time};
use crate::direct::lead::Epoch;
use crate::types::{GroupId, Position};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Pairs closer together than this are dropped: for reads of some seconds' age, a resolution finer
/// than a replica's usual delay gains nothing.
const MIN_SPACING: Span = Span::from_millis(100);

/// The most pairs per group: enough for 6 s, well over the highest age that routes allow.
const MAX_PAIRS: usize = 64;

#[derive(Debug, Clone, Copy)]
struct Pair {
    asked: Time,
    position: Position,
}

#[derive(Debug, Clone, Default)]
struct Positions {
    epoch: Epoch,
    /// Both fields rise strictly from each pair to the next.
    pairs: VecDeque<Pair>,
}

/// A log position of a group's primary, as sent from one VM to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The group.
    pub group: GroupId,
    /// The epoch of its primary.
    pub epoch: Epoch,
    /// The log position that it had reached.
    pub position: Position,
    /// How long before this was sent the primary was asked.
    pub age: Span,
}

/// The newest positions of every group.
#[derive(Debug, Clone, Default)]
pub struct Fresh(BTreeMap<GroupId, Positions>);

impl Fresh {
    /// Records that the primary of `epoch`, asked at `asked`, answered with `position`. The lease must
    /// still have been valid after the answer was read.
    pub fn learn(&mut self, group: &GroupId, epoch: Epoch, asked: Time, position: Position) {
        if !self.0.contains_key(group) {
            self.0.insert(group.clone(), Positions::default());
        }
        let Some(known) = self.0.get_mut(group) else {
            return;
        };
        if epoch < known.epoch {
            return;
        }
        if epoch > known.epoch {
            known.epoch = epoch;
            known.pairs.clear();
        }
        known.add(Pair { asked, position });
    }

    /// The lowest known position that includes every commit acknowledged before `since`.
    pub fn oldest_allowed(&self, group: &GroupId, since: Time) -> Option<Position> {
        let known = self.0.get(group)?;
        let pair = known.pairs.iter().find(|pair| pair.asked >= since)?;
        Some(pair.position)
    }

    /// The newest known position of a group, and when its primary was asked.
    pub fn newest(&self, group: &GroupId) -> Option<(Position, Time)> {
        let pair = self.0.get(group)?.pairs.back()?;
        Some((pair.position, pair.asked))
    }

    /// The newest position of each group, to send to another VM. A VM that can't reach a primary uses the
    /// positions of others to read from replicas.
    pub fn progress(&self, now: Time) -> Vec<Progress> {
        let known = self.0.iter();
        let newest = known.filter_map(|(group, known)| {
            let pair = known.pairs.back()?;
            Some(Progress {
                group: group.clone(),
                epoch: known.epoch,
                position: pair.position,
                age: now.since(pair.asked),
            })
        });
        newest.collect()
    }

    /// Records a position from another VM that was asked at `asked`; network time counts as age.
    pub fn receive(&mut self, progress: &Progress, asked: Time) {
        self.learn(
            &progress.group,
            progress.epoch,
            asked - progress.age,
            progress.position,
        );
    }

    /// Discards positions of epochs before `epoch`: the log may have lost them.
    pub fn forget_before(&mut self, group: &GroupId, epoch: Epoch) {
        if let Some(known) = self.0.get_mut(group)
            && known.epoch < epoch
        {
            known.epoch = epoch;
            known.pairs.clear();
        }
    }
}

impl Positions {
    fn add(&mut self, new: Pair) {
        let supersedes = |old: &Pair| old.asked >= new.asked && old.position <= new.position;
        if self.pairs.iter().rev().any(supersedes) {
            return;
        }
        self.pairs
            .retain(|old| old.asked > new.asked || old.position < new.position);
        let at = self.pairs.partition_point(|old| old.asked < new.asked);
        if at == self.pairs.len() {
            self.thin_newest();
        }
        let at = at.min(self.pairs.len());
        self.pairs.insert(at, new);
        if self.pairs.len() > MAX_PAIRS {
            self.pairs.pop_front();
        }
    }

    /// Drops the newest pair if it is closer than [`MIN_SPACING`] to the one before it.
    fn thin_newest(&mut self) {
        let mut newest = self.pairs.iter().rev();
        let (Some(last), Some(before)) = (newest.next(), newest.next()) else {
            return;
        };
        if last.asked.since(before.asked) < MIN_SPACING {
            self.pairs.pop_back();
        }
    }
}
