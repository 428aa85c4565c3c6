//! Upper bounds on the age of a replica's data. A bound is always proven, never estimated.

use crate::clock::{Span, Time};
use crate::core::lineage::Lineage;
use crate::core::message::Sample;
use crate::core::term::DRIFT_PERCENT;
use crate::types::{Position, RequestId};
use serde::Serialize;
use std::collections::VecDeque;

/// Maximum number of reports whose sending time is kept. A steward refers to the latest report that
/// it received, and no more than a few are in flight.
const MAX_REPORTS: usize = 8;

/// Maximum number of proofs kept for a replica that has not caught up with them. When there are
/// more, every second proof of the older half is dropped, so that a replica far behind still
/// reaches one.
const MAX_PROOFS: usize = 64;

/// Proofs of a replica's age: each proves that the primary's log had not passed a position at a
/// time.
///
/// A replica that is cut off from its primary still answers at once, and a client would read data
/// older than it accepts. A proof therefore comes only from an answer of the primary and counts
/// from a time before the primary was asked, so a replica that has not applied the primary's
/// position gets no younger by answering.
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
    /// Records that a report was sent to the steward at `now`.
    pub fn report_sent(&mut self, round: RequestId, now: Time) {
        if self.reports.len() == MAX_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back((round, now));
    }

    /// Adds a proof from the primary's log position that the steward sent. Ignores it if the report
    /// that it refers to is not known, or if it is no newer than the last proof.
    pub fn add(&mut self, sample: &Sample) {
        let Some((_, sent)) = self
            .reports
            .iter()
            .find(|(round, _)| *round == sample.round)
        else {
            return;
        };
        let at = *sent - sample.before.percent(100 + DRIFT_PERCENT);
        if self.proofs.back().is_some_and(|last| last.at >= at) {
            return;
        }
        if self.proofs.len() == MAX_PROOFS {
            self.thin();
        }
        let position = sample.position;
        self.proofs.push_back(Proof { position, at });
    }

    /// Drops all reports and proofs: those of an earlier term are not valid in a new one.
    pub fn clear(&mut self) {
        self.reports.clear();
        self.proofs.clear();
    }

    /// The longest time by which data of a log applied up to `applied` can be behind the primary;
    /// `None` if nothing is proven.
    pub fn age(&self, now: Time, lineage: &Lineage, applied: Position) -> Option<Span> {
        let covered = |proof: &&Proof| {
            proof.position.offset <= applied.offset && lineage.holds(applied, proof.position)
        };
        let proof = self.proofs.iter().rev().find(covered)?;
        Some(now.since(proof.at))
    }

    fn thin(&mut self) {
        let half = MAX_PROOFS / 2;
        let mut index = 0;
        self.proofs.retain(|_| {
            index += 1;
            index > half || index % 2 == 0
        });
    }
}
