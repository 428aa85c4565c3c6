//! Decisions under load: which work waits, which is refused, and where work is placed.
//!
//! Everything here is a plain function or a plain struct of the time and its state: no I/O, clock or task. Both
//! ways of serving ([`crate::core`] and [`crate::direct`]) use these decisions, and [`crate::experiment`] plays
//! them on virtual time. Each module names the load that it handles.

pub mod absence;
pub mod bucket;
pub mod comeback;
pub mod fair;
pub mod queue;
pub mod tokens;
pub mod weight;

use serde::{Deserialize, Serialize};
use std::fmt;

/// The rank of a class of requests: the position of its priority among those of the configuration. 0 is the
/// most urgent.
///
/// Priorities are any numbers, in any intervals; decisions depend only on their order.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rank(pub u8);

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The ranks of a configuration's priorities.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ranks {
    /// The distinct priorities, most urgent first.
    priorities: Box<[u8]>,
}

impl Ranks {
    /// The ranks of these priorities, in which a lower number is more urgent.
    pub fn new(priorities: impl IntoIterator<Item = u8>) -> Self {
        let mut present = [false; 256];
        for priority in priorities {
            present[usize::from(priority)] = true;
        }
        let distinct = (0..=u8::MAX).filter(|priority| present[usize::from(*priority)]);
        Self {
            priorities: distinct.collect(),
        }
    }

    /// The rank of a priority. One that is not in the configuration has the rank that it would have there.
    pub fn rank(&self, priority: u8) -> Rank {
        let more_urgent = self.priorities.partition_point(|other| *other < priority);
        Rank(u8::try_from(more_urgent).unwrap_or(u8::MAX))
    }

    /// The rank of another VM's request. One that is not in this configuration is the least urgent one.
    pub fn clamp(&self, rank: Rank) -> Rank {
        let least = self.priorities.len().saturating_sub(1);
        rank.min(Rank(u8::try_from(least).unwrap_or(u8::MAX)))
    }

    /// Whether there are classes of different urgency.
    pub fn differ(&self) -> bool {
        self.priorities.len() > 1
    }
}
