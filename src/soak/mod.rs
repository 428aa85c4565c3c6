//! One long-lived world of direct access in the shape of a grown deployment, with callers at a
//! stated rate, in which troubles of all kinds come and go as the seed draws them.
//!
//! What callers were told is judged in windows ([`judge`]): operations that are old enough are
//! taken out, compared with what the databases ran, counted, and forgotten, so that they need no
//! more memory in hours than in minutes.

pub mod gap;
pub mod judge;
pub mod kind;
pub mod people;
pub mod player;
pub mod profile;
pub mod report;
pub mod story;
pub mod tally;

use crate::clock::Span;
use crate::soak::judge::Judge;
use crate::soak::kind::Draw;
use crate::soak::player::Player;
use crate::soak::profile::Profile;
use crate::soak::report::Report;
use crate::soak::story::Story;
use crate::standin::direct::host;
use crate::standin::direct::program::program;
use crate::standin::direct::said::Record;
use crate::standin::direct::world::World;
use crate::types::Invalid;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How long the VMs have to start.
const WARM: Duration = Duration::from_secs(8);

/// How often a window is judged.
const WINDOW: Duration = Duration::from_secs(5);

/// How long what is under way takes to end, once callers have stopped.
const ENDING: Duration = Duration::from_secs(12);

/// What a soak is to play.
#[derive(Debug, Clone)]
pub struct Plan {
    /// What the profile is called.
    pub name: Box<str>,
    /// The world's shape.
    pub profile: Profile,
    /// The kinds of trouble, of [`kind::KINDS`] and [`kind::CONNECTIONS`].
    pub kinds: Vec<Box<str>>,
    /// How long calms between troubles last, half of it to one and a half.
    pub calm: Span,
    /// How long troubles are played.
    pub length: Span,
    /// From which all is drawn.
    pub seed: u64,
}

/// Why a soak was not played.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The world can't be made.
    #[error("the world can't be made: {0}: correct the profile")]
    Setup(#[from] Invalid),
    /// No runtime.
    #[error("no runtime for virtual time: {0}")]
    Runtime(#[from] std::io::Error),
}

/// Plays a soak.
pub fn play(plan: Plan) -> Result<Report, Error> {
    host::simulate(run(Rc::new(plan)))?
}

async fn run(plan: Rc<Plan>) -> Result<Report, Error> {
    let started = Instant::now();
    let world = World::start(plan.profile.setup(), program())?;
    let record = Record::default();
    let story = Rc::new(RefCell::new(Story::default()));
    let begun = started + WARM;
    sleep_until(begun).await;
    let over = begun + plan.length.into();
    people::call(&world, &record, &plan, plan.seed, over);
    let player = Player {
        world: world.clone(),
        record: record.clone(),
        story: story.clone(),
        plan: plan.clone(),
        draw: Draw::new(plan.seed),
    };
    tokio::task::spawn_local(player.run(over));
    let mut judge = Judge::new(&world, &plan, started);
    let mut next = begun + WINDOW;
    while next < over + ENDING {
        sleep_until(next).await;
        judge.window(&world, &record, &mut story.borrow_mut(), false);
        next += WINDOW;
    }
    sleep_until(over + ENDING).await;
    judge.window(&world, &record, &mut story.borrow_mut(), true);
    let story = story.borrow();
    Ok(judge.report(&plan, &story))
}
