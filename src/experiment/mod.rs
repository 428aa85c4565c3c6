//! Experiments with the decisions under load: played callers and databases on virtual time drive
//! the code that serves real ones, beside the naive baseline.
//!
//! Given the same seed a run gives the same figures on every machine.

pub mod aim;
pub mod deployment;
pub mod engine;
pub mod holder;
pub mod pattern;
pub mod policy;
pub mod report;
pub mod source;
pub mod stats;
pub mod target;

use crate::clock::{Span, Time};
use crate::experiment::deployment::Deployment;
use crate::experiment::engine::{Engine, WARM};
use crate::experiment::pattern::Pattern;
use crate::experiment::policy::Policy;
use crate::experiment::report::Report;
use std::fmt;

/// What one run plays.
#[derive(Debug, Clone)]
pub struct Trial {
    /// The sizes.
    pub deployment: Deployment,
    /// The load.
    pub pattern: Pattern,
    /// The multiple of the slots' rate, for saturation.
    pub load: f64,
    /// Without the greedy callers or the long work.
    pub alone: bool,
    /// The rules.
    pub policy: Policy,
    /// What the draws start from.
    pub seed: u64,
    /// How long requests are counted.
    pub length: Span,
}

impl Trial {
    /// Plays it.
    pub fn run(&self) -> Report {
        let size = self.deployment.size();
        let plan = pattern::plan(self.pattern, &size, self.load, self.alone);
        let ends: Time = WARM + self.length;
        let engine = Engine::new(size, self.policy.clone(), plan, self.seed, ends);
        Report::new(self, &engine.run())
    }
}

impl fmt::Display for Trial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.deployment, self.pattern)?;
        if self.pattern == Pattern::Saturation {
            write!(f, " {}x", self.load)?;
        }
        if self.alone {
            f.write_str(" alone")?;
        }
        write!(f, ", {}", self.policy.name)
    }
}
