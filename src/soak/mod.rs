//! Simulates one long-lived deployment of direct access, of the size of a grown one, with callers at a given
//! rate, while troubles of all kinds, drawn from a seed, begin and end.
//!
//! Answers are checked in windows ([`checker`]): operations that are old enough are removed, compared with
//! what the databases ran, counted and discarded, so that memory does not grow with the length of a soak.

pub mod callers;
pub mod checker;
pub mod gap;
pub mod history;
pub mod kind;
pub mod player;
pub mod profile;
pub mod report;
pub mod tally;

use crate::clock::Span;
use crate::soak::checker::Checker;
use crate::soak::history::History;
use crate::soak::kind::Generator;
use crate::soak::player::Player;
use crate::soak::profile::Profile;
use crate::soak::report::Report;
use crate::standin::direct::host;
use crate::standin::direct::program::program;
use crate::standin::direct::said::Record;
use crate::standin::direct::world::World;
use crate::types::Invalid;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time for the VMs to start.
const STARTUP_TIME: Duration = Duration::from_secs(8);

/// Interval between the checks of two windows.
const WINDOW_INTERVAL: Duration = Duration::from_secs(5);

/// Time for statements in progress to end, once callers have stopped.
const DRAIN_TIME: Duration = Duration::from_secs(12);

/// The parameters of a soak.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The name of the profile.
    pub name: Box<str>,
    /// The size and shape of the deployment.
    pub profile: Profile,
    /// The kinds of trouble, of [`kind::KINDS`] and [`kind::CONNECTIONS`].
    pub kinds: Vec<Box<str>>,
    /// The average calm between troubles; each lasts half to one and a half of it.
    pub calm: Span,
    /// The time in which troubles are played.
    pub length: Span,
    /// The seed of all random numbers.
    pub seed: u64,
}

/// The reason that a soak was not played.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The profile gives no valid deployment.
    #[error("the world can't be made: {0}: correct the profile")]
    Setup(#[from] Invalid),
    /// The runtime for virtual time could not be created.
    #[error("no runtime for virtual time: {0}")]
    Runtime(#[from] std::io::Error),
}

/// Plays a soak and returns its report.
pub fn play(plan: Plan) -> Result<Report, Error> {
    host::simulate(run(Rc::new(plan)))?
}

async fn run(plan: Rc<Plan>) -> Result<Report, Error> {
    let started = Instant::now();
    let world = World::start(plan.profile.setup(), program())?;
    let record = Record::default();
    let history = Rc::new(RefCell::new(History::default()));
    let begun = started + STARTUP_TIME;
    sleep_until(begun).await;
    let end = begun + plan.length.into();
    callers::spawn_callers(&world, &record, &plan, plan.seed, end);
    let player = Player {
        world: world.clone(),
        record: record.clone(),
        history: history.clone(),
        plan: plan.clone(),
        generator: Generator::new(plan.seed),
    };
    tokio::task::spawn_local(player.run(end));
    let mut checker = Checker::new(&world, &plan, started);
    let mut next = begun + WINDOW_INTERVAL;
    while next < end + DRAIN_TIME {
        sleep_until(next).await;
        checker.check_window(&world, &record, &mut history.borrow_mut(), false);
        next += WINDOW_INTERVAL;
    }
    sleep_until(end + DRAIN_TIME).await;
    checker.check_window(&world, &record, &mut history.borrow_mut(), true);
    let history = history.borrow();
    Ok(checker.report(&plan, &history))
}
