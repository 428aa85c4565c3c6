//! Load experiments with routing and admission: simulated callers and databases on virtual time drive
//! the production code, and a naive baseline for comparison.
//!
//! A run with the same seed gives the same figures on every machine.

pub mod aim;
pub mod deployment;
pub mod engine;
pub mod events;
pub mod holder;
pub mod overload;
pub mod pattern;
pub mod policy;
pub mod report;
pub mod source;
pub mod stats;
pub mod target;

use crate::clock::{Span, Time};
use crate::experiment::deployment::Deployment;
use crate::experiment::engine::{Engine, WARM_UP_END};
use crate::experiment::pattern::Pattern;
use crate::experiment::policy::Policy;
use crate::experiment::report::Report;
use std::fmt;

/// The parameters of one run.
#[derive(Debug, Clone)]
pub struct Trial {
    /// The sizes of the deployment.
    pub deployment: Deployment,
    /// The load pattern.
    pub pattern: Pattern,
    /// The load as a multiple of the slots' rate, for saturation.
    pub load: f64,
    /// Whether to omit the greedy callers or the long work.
    pub alone: bool,
    /// The policy.
    pub policy: Policy,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The span over which requests are counted.
    pub length: Span,
}

impl Trial {
    /// Runs the simulation.
    pub fn run(&self) -> Report {
        let size = self.deployment.size();
        let plan = pattern::plan(self.pattern, &size, self.load, self.alone);
        let ends: Time = WARM_UP_END + self.length;
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
