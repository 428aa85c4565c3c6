//! Patterns of overload on direct access: the decisions of [`crate::admission`] beside the former ones and naive
//! ones, on the same requests.

pub mod aim;
pub mod gate;
pub mod load;
pub mod plot;
pub mod record;
pub mod report;
pub mod tokens;
pub mod world;

use crate::clock::Span;
use crate::experiment::overload::load::{Load, Plan};
use crate::experiment::overload::report::Report;
use crate::experiment::overload::world::World;
use serde::Serialize;
use std::fmt;

/// The decisions that a run uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// First come, first served, without limits but the slots.
    Naive,
    /// Tokens and slots as they were given before [`crate::admission`].
    Former,
    /// The decisions of [`crate::admission`].
    Full,
}

impl Policy {
    /// All policies.
    pub const ALL: [Policy; 3] = [Policy::Naive, Policy::Former, Policy::Full];

    /// Whether VMs are chosen by their cores.
    pub fn weighs_vms(self) -> bool {
        self == Policy::Full
    }

    /// Whether the place of a caller that leaves is freed.
    pub fn notices_leaving(self) -> bool {
        self == Policy::Full
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Policy::Naive => "naive",
            Policy::Former => "former",
            Policy::Full => "full",
        })
    }
}

/// The parameters of one run.
#[derive(Debug, Clone, Copy)]
pub struct Trial {
    /// The pattern.
    pub load: Load,
    /// The decisions.
    pub policy: Policy,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The span over which requests are counted.
    pub length: Span,
}

impl Trial {
    /// Runs the simulation.
    pub fn run(&self) -> Report {
        let plan = Plan::new(self.load, self.seed, self.length);
        Report::new(self, &World::new(self.policy, plan).run())
    }
}
