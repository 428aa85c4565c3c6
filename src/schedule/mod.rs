//! Runs random schedules of requests and faults from a seed over the fakes, and checks the answers that
//! callers got against the final log.
//!
//! A schedule is a script in the language of [`script`](crate::standin::fake::script), so a failing seed
//! can be read, shortened and kept as a scenario.

mod check;
pub mod direct;
mod draw;
mod pressure;

use crate::standin::fake::script::{Player, UnknownStep};
use std::fmt;

/// Number of random steps before all faults end.
const STEPS: usize = 80;

/// The result of one seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The lines that were played.
    pub script: Vec<Box<str>>,
    /// The number of requests by outcome.
    pub outcomes: Outcomes,
    /// Descriptions of the broken properties.
    pub broken: Vec<Box<str>>,
}

/// Numbers of requests by the outcome that their callers got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Done and answered.
    pub done: usize,
    /// Refused before anything was run.
    pub not_run: usize,
    /// Answered with an unknown outcome, or cut off.
    pub unknown: usize,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outcomes {
            done,
            not_run,
            unknown,
        } = self.outcomes;
        write!(
            f,
            "seed {}: {done} done, {not_run} not run, {unknown} unknown",
            self.seed
        )?;
        for broken in &self.broken {
            write!(f, "\n  BROKEN: {broken}")?;
        }
        Ok(())
    }
}

/// The reason that a schedule can't be played.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The fakes could not be set up.
    #[error("the built-in configuration is not valid: check `standin::fake`")]
    Setup,
    /// A step is not in the language.
    #[error(transparent)]
    Step(#[from] UnknownStep),
}

/// Plays the schedule of `seed` and checks it.
///
/// Fails if the fakes cannot be set up, or if a drawn line is not in the script language.
pub fn play(seed: u64) -> Result<Report, Error> {
    let mut generator = draw::Generator::new(seed);
    let mut player = Player::new(draw::VMS).ok_or(Error::Setup)?;
    let mut script = Vec::new();
    for _ in 0..STEPS {
        for line in generator.steps(player.system()) {
            player.play(&line)?;
            script.push(line.into());
        }
    }
    for line in draw::REPAIR {
        player.play(line)?;
        script.push((*line).into());
    }
    for line in generator.final_requests() {
        player.play(&line)?;
        script.push(line.into());
    }
    let (outcomes, broken) = check::check(player.system());
    Ok(Report {
        seed,
        script,
        outcomes,
        broken,
    })
}
