//! Load generator for proxies that checks the answers to callers against the data read back.
//!
//! Each caller is one named session that runs one operation at a time and moves between addresses.
//! It writes rows of its own. Each write has a number that is unique in its row, so that a write
//! that is lost, applied twice or run although refused shows in the row's body.

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

/// The parameters of the load.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The proxies' addresses for callers.
    pub addresses: Vec<SocketAddr>,
    /// The proxies' admin addresses, for the share of reads by replicas; may be empty.
    pub admins: Vec<SocketAddr>,
    /// The groups, of which each operation uses one at random.
    pub groups: Vec<GroupId>,
    /// Number of callers.
    pub callers: u32,
    /// The shares of the kinds of operation.
    pub mix: Mix,
    /// The maximum age that aged reads accept.
    pub max_age: Span,
    /// The share of operations before which a caller moves to another address, in percent.
    pub roam: u8,
    /// Operations per second of all callers together; `None`: each caller starts the next operation
    /// when the last one has ended.
    pub rate: Option<f64>,
    /// The seed of the random choice of operations.
    pub seed: u64,
    /// How long an operation may take before the caller closes its connection.
    pub timeout: Span,
}

/// The shares of the kinds of operation, in percent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mix {
    /// Writes.
    pub writes: u8,
    /// Reads that must see the session's own writes.
    pub session_reads: u8,
    /// Reads with a maximum age.
    pub aged_reads: u8,
}

/// Whether the run is over.
type Ended = watch::Receiver<bool>;

/// Reads counted by the proxies, by the role of the database that served them.
#[derive(Debug, Clone, Copy, Default)]
struct Reads {
    replica: u64,
    primary: u64,
}

/// Runs the load until `end`, calling `progress` with a line of text once a second.
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
    let findings = readback::run(&plan, &callers).await;
    let share = match (before, after) {
        (Some(before), Some(after)) => share(before, after),
        _ => None,
    };
    report::build(&plan, &stats.borrow(), share, findings)
}

async fn tick(stats: &RefCell<Stats>, mut ended: Ended, progress: &impl Fn(&str)) {
    const TICK: Duration = Duration::from_secs(1);
    while !ended_before(&mut ended, Instant::now() + TICK).await {
        progress(&stats.borrow().line());
    }
}

/// Waits until `due` or the end of the run; returns whether the run is over.
async fn ended_before(ended: &mut Ended, due: Instant) -> bool {
    let over = ended.wait_for(|over| *over);
    tokio::time::timeout_at(due, over).await.is_ok()
}

/// The sum over all admin addresses; `None` if there are none or one does not answer.
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
