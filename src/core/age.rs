//! How old a replica's data can be at most, proven and never estimated.

use crate::clock::{Span, Time};
use crate::core::lineage::Lineage;
use crate::core::message::Fresh;
use crate::core::term::DRIFT_PERCENT;
use crate::types::{Position, RequestId};
use serde::Serialize;
use std::collections::VecDeque;

/// Reports whose sending time is remembered: a steward names its latest, and more than a few
/// are never under way.
const REPORTS_KEPT: usize = 8;

/// Proofs kept for a replica that has yet to catch up with them. When they are too many, every
/// second one of the older half goes, so that a replica far behind still meets one.
const PROOFS_KEPT: usize = 64;

/// Proofs of a replica's age: that the primary's log was no further than a position at a time.
///
/// Failure: a replica that is cut off from its primary still answers at once. Symptom: a phone
/// is shown data older than it accepts. Enough, because only a primary that was asked proves
/// anything, the time counted is from before it was asked, and a replica that has not applied
/// what the primary had then gets no younger by answering.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Proofs {
    reports: VecDeque<(RequestId, Time)>,
    proofs: VecDeque<Proof>,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct Proof {
    position: Position,
    at: Time,
}

impl Proofs {
    /// A report was sent to the steward at `now`.
    pub fn reported(&mut self, round: RequestId, now: Time) {
        if self.reports.len() == REPORTS_KEPT {
            self.reports.pop_front();
        }
        self.reports.push_back((round, now));
    }

    /// The steward told how far the primary's log was.
    pub fn learn(&mut self, fresh: &Fresh) {
        let Some((_, sent)) = self.reports.iter().find(|(round, _)| *round == fresh.round) else {
            return;
        };
        let at = *sent - fresh.before.percent(100 + DRIFT_PERCENT);
        if self.proofs.back().is_some_and(|last| last.at >= at) {
            return;
        }
        if self.proofs.len() == PROOFS_KEPT {
            self.thin();
        }
        let position = fresh.position;
        self.proofs.push_back(Proof { position, at });
    }

    /// Another term leads: what its predecessor proved counts no more.
    pub fn clear(&mut self) {
        self.reports.clear();
        self.proofs.clear();
    }

    /// The most that the data of a log applied up to `applied` can be behind the primary;
    /// `None` if nothing is proven.
    pub fn age(&self, now: Time, lineage: &Lineage, applied: Position) -> Option<Span> {
        let covered = |proof: &&Proof| {
            proof.position.offset <= applied.offset && lineage.holds(applied, proof.position)
        };
        let proof = self.proofs.iter().rev().find(covered)?;
        Some(now.since(proof.at))
    }

    fn thin(&mut self) {
        let half = PROOFS_KEPT / 2;
        let mut index = 0;
        self.proofs.retain(|_| {
            index += 1;
            index > half || index % 2 == 0
        });
    }
}
