//! Random schedules of callers and faults over the fakes, from a seed, and a check of what
//! callers were told against what is left.
//!
//! A schedule is a script in the language of [`script`](crate::standin::fake::script), so that
//! a failing seed can be read, shortened and kept as a scenario.

mod check;
pub mod direct;
mod draw;

use crate::standin::fake::script::{Player, UnknownStep};
use std::fmt;

/// How many steps a schedule has before everything is mended.
const STEPS: usize = 80;

/// What came of one seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// What was played.
    pub script: Vec<Box<str>>,
    /// How many requests were done, not run, and of unknown outcome.
    pub told: Told,
    /// Properties that were broken.
    pub broken: Vec<Box<str>>,
}

/// Requests by what their callers were told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Told {
    /// Answered.
    pub done: usize,
    /// Told that nothing was run.
    pub not_run: usize,
    /// Told that the outcome is unknown, or cut off.
    pub unknown: usize,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Told {
            done,
            not_run,
            unknown,
        } = self.told;
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

/// Why a schedule can't be played.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The fakes could not be set up.
    #[error("the built-in configuration is not valid: check `standin::fake`")]
    Setup,
    /// A step is not in the language.
    #[error(transparent)]
    Step(#[from] UnknownStep),
}

/// Plays the schedule of `seed`.
pub fn play(seed: u64) -> Result<Report, Error> {
    let mut draw = draw::Draw::new(seed);
    let mut player = Player::new(draw::VMS).ok_or(Error::Setup)?;
    let mut script = Vec::new();
    for _ in 0..STEPS {
        for line in draw.steps(player.system()) {
            player.play(&line)?;
            script.push(line.into());
        }
    }
    for line in draw::MEND {
        player.play(line)?;
        script.push((*line).into());
    }
    for line in draw.last_calls() {
        player.play(&line)?;
        script.push(line.into());
    }
    let (told, broken) = check::check(player.system());
    Ok(Report {
        seed,
        script,
        told,
        broken,
    })
}
