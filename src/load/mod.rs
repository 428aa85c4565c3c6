//! Load on proxies, with a check of what callers were told against what they read back.
//!
//! Each caller is one named session that does one thing at a time and roams between addresses.
//! It writes rows of its own, each write with a number that no other write of the row has, so
//! that a write that is lost, doubled or run though refused shows in the row's body.

mod caller;
mod client;
mod readback;
pub mod record;
mod report;
mod stats;

pub use report::Report;
pub use stats::Kind;

use crate::clock::Span;
use crate::net::http;
use crate::types::GroupId;
use stats::Stats;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// What load to put on.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The proxies' addresses for callers.
    pub addresses: Vec<SocketAddr>,
    /// The proxies' admin addresses, for the share of reads by replicas; may be empty.
    pub admins: Vec<SocketAddr>,
    /// The groups used in turn.
    pub groups: Vec<GroupId>,
    /// How many callers.
    pub callers: u32,
    /// The shares of the kinds of work.
    pub mix: Mix,
    /// The age that aged reads accept.
    pub max_age: Span,
    /// In how many of 100 operations a caller moves to another address.
    pub roam: u8,
    /// Operations a second of all callers together; `None`: each starts the next one when one
    /// has ended.
    pub rate: Option<f64>,
    /// Draws the operations.
    pub seed: u64,
    /// How long an operation may take before the caller gives its connection up.
    pub timeout: Span,
}

/// The shares of the kinds of work, in percent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mix {
    /// Writes.
    pub writes: u8,
    /// Reads that must see the session's own writes.
    pub session_reads: u8,
    /// Reads of a stated age.
    pub aged_reads: u8,
}

/// Whether the run is over.
type Ended = watch::Receiver<bool>;

/// Reads counted by the proxies, by the role of the database that answered.
#[derive(Debug, Clone, Copy, Default)]
struct Reads {
    replica: u64,
    primary: u64,
}

/// Puts on the load until `end`, calling `progress` once a second with a line about it.
pub async fn run(plan: &Plan, end: impl Future<Output = ()>, progress: impl Fn(&str)) -> Report {
    let (over, ended) = watch::channel(false);
    let before = reads(&plan.admins).await;
    let stats = Rc::new(RefCell::new(Stats::new(Instant::now())));
    let plan = Rc::new(plan.clone());
    let tasks: Vec<_> = (0..plan.callers)
        .map(|number| {
            actix_rt::spawn(caller::run(
                number,
                plan.clone(),
                stats.clone(),
                ended.clone(),
            ))
        })
        .collect();
    let mut callers = Vec::new();
    let joined = async {
        for task in tasks {
            callers.extend(task.await.ok());
        }
    };
    let end = async {
        end.await;
        over.send_replace(true);
    };
    futures_util::join!(joined, end, tick(&stats, ended, &progress));
    stats.borrow_mut().end(Instant::now(), &plan.groups);
    let after = reads(&plan.admins).await;
    progress("reading back");
    let found = readback::run(&plan, &callers).await;
    let share = match (before, after) {
        (Some(before), Some(after)) => share(before, after),
        _ => None,
    };
    report::build(&plan, &stats.borrow(), share, found)
}

async fn tick(stats: &RefCell<Stats>, mut ended: Ended, progress: &impl Fn(&str)) {
    const TICK: Duration = Duration::from_secs(1);
    while !over_within(&mut ended, Instant::now() + TICK).await {
        progress(&stats.borrow().line());
    }
}

/// Waits until `due`, or until the run is over; tells whether it is.
async fn over_within(ended: &mut Ended, due: Instant) -> bool {
    let over = ended.wait_for(|over| *over);
    tokio::time::timeout_at(due, over).await.is_ok()
}

/// The sum over all admin addresses; `None` if there is none, or one does not answer.
async fn reads(admins: &[SocketAddr]) -> Option<Reads> {
    let mut sum = Reads::default();
    for admin in admins {
        let reply = http::get(*admin, "/metrics").await.ok()?;
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        sum.replica += counter(&text, "replica")?;
        sum.primary += counter(&text, "primary")?;
    }
    (!admins.is_empty()).then_some(sum)
}

fn counter(text: &str, by: &str) -> Option<u64> {
    let name = format!("lentilspoke_reads_total{{by=\"{by}\"}} ");
    let line = text.lines().find_map(|line| line.strip_prefix(&name))?;
    line.trim().parse().ok()
}

fn share(before: Reads, after: Reads) -> Option<f64> {
    let replica = after.replica.saturating_sub(before.replica) as f64;
    let primary = after.primary.saturating_sub(before.primary) as f64;
    (replica + primary > 0.0).then(|| replica / (replica + primary))
}
