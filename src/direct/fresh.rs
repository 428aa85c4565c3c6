//! How far a group's log had come at a moment, so that replicas can serve reads of a stated age.
//!
//! If the primary, asked at t under a lease that still held after it had answered, answered with
//! position p, every commit that was acknowledged before t is at most p. A read that may be S old
//! and came at b is current enough on a log that has the p of any pair with t at least b - S.

use crate::clock::{Span, Time};
use crate::direct::lead::Epoch;
use crate::types::{GroupId, Position};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Pairs closer together than this are thinned out: a read of some seconds' age gains nothing
/// from a finer choice than a replica's usual delay.
const SPACING: Span = Span::from_millis(100);

/// As many pairs as cover 6 s, well over the stalest read that callers are offered.
const MOST: usize = 64;

#[derive(Debug, Clone, Copy)]
struct Pair {
    asked: Time,
    position: Position,
}

#[derive(Debug, Clone, Default)]
struct Known {
    epoch: Epoch,
    /// Both fields rise from each pair to the next.
    pairs: VecDeque<Pair>,
}

/// How far a group's primary had come, as one VM tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The group.
    pub group: GroupId,
    /// The epoch of its primary.
    pub epoch: Epoch,
    /// How far it had come.
    pub position: Position,
    /// How long ago it was asked, when this was told.
    pub age: Span,
}

/// The newest pairs of every group.
#[derive(Debug, Clone, Default)]
pub struct Fresh(BTreeMap<GroupId, Known>);

impl Fresh {
    /// The primary of `epoch`, asked at `asked`, answered with `position`, and the lease held
    /// after that answer was read.
    pub fn learn(&mut self, group: &GroupId, epoch: Epoch, asked: Time, position: Position) {
        if !self.0.contains_key(group) {
            self.0.insert(group.clone(), Known::default());
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

    /// The least position that holds every commit acknowledged before `since`, if one is known.
    pub fn oldest_allowed(&self, group: &GroupId, since: Time) -> Option<Position> {
        let known = self.0.get(group)?;
        let pair = known.pairs.iter().find(|pair| pair.asked >= since)?;
        Some(pair.position)
    }

    /// The newest position of a group that is known, and when its primary was asked.
    pub fn newest(&self, group: &GroupId) -> Option<(Position, Time)> {
        let pair = self.0.get(group)?.pairs.back()?;
        Some((pair.position, pair.asked))
    }

    /// The newest pair of each group, for another VM: one that can't reach a primary reads from
    /// replicas by what others were answered there.
    pub fn told(&self, now: Time) -> Vec<Progress> {
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

    /// Learns what another VM told when asked at `asked`; the time on the way counts as age.
    pub fn hear(&mut self, told: &Progress, asked: Time) {
        self.learn(&told.group, told.epoch, asked - told.age, told.position);
    }

    /// Forgets what was learned in epochs before `epoch`: the log may have lost those positions.
    pub fn forget_before(&mut self, group: &GroupId, epoch: Epoch) {
        if let Some(known) = self.0.get_mut(group)
            && known.epoch < epoch
        {
            known.epoch = epoch;
            known.pairs.clear();
        }
    }
}

impl Known {
    fn add(&mut self, new: Pair) {
        let says_more = |old: &Pair| old.asked >= new.asked && old.position <= new.position;
        if self.pairs.iter().rev().any(says_more) {
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
        if self.pairs.len() > MOST {
            self.pairs.pop_front();
        }
    }

    /// Drops the newest pair if it stands close to the one before it.
    fn thin_newest(&mut self) {
        let mut newest = self.pairs.iter().rev();
        let (Some(last), Some(before)) = (newest.next(), newest.next()) else {
            return;
        };
        if last.asked.since(before.asked) < SPACING {
            self.pairs.pop_back();
        }
    }
}
