//! One try to run a statement on one database.

use crate::clock::{Span, Time};
use crate::direct::connection::{Closed, Connection, Lost};
use crate::direct::job::{Job, Part};
use crate::direct::lead::{Epoch, Lease};
use crate::direct::meter::code_name;
use crate::direct::outcome::{self, Why};
use crate::direct::pool::Lent;
use crate::direct::session::Session;
use crate::direct::statement::{Answer, Code, End, Order};
use crate::direct::targets::{Target, Targets};
use crate::direct::trace::Shown;
use crate::direct::view::Shared;
use crate::types::{GroupId, Position};
use std::pin::pin;
use std::rc::Rc;

/// A database that has not answered for this long is reported, although its answer may still
/// come: slow databases answer sooner, and a replacement should not wait for a route's timeout.
pub const SILENT: Span = Span::from_millis(400);

/// How long a rollback may take before its connection is closed instead.
const ROLLBACK: Span = Span::from_millis(1_000);

/// Where to send a statement, and with what.
#[derive(Debug)]
pub struct Plan {
    /// The database.
    pub target: Target,
    /// The lease, if it is sent to the primary.
    pub lease: Option<Lease>,
    /// A position that the log must have.
    pub after: Option<Position>,
}

/// How a try ended.
#[derive(Debug)]
pub enum Attempt {
    /// The database answered, and the answer may be passed on.
    Answered(Answer, Box<Held>),
    /// It has not run.
    NotRun(Code),
    /// It has not run: the database was not reached.
    Unreached,
    /// It may have run.
    Lost(Why),
}

/// What a statement that was answered leaves behind.
#[derive(Debug)]
pub struct Held {
    /// Its connection.
    pub lent: Lent,
    /// The database.
    pub target: Target,
    /// The epoch, on a primary.
    pub epoch: Option<Epoch>,
    under_way: Option<UnderWay>,
}

/// Work on a primary, which a planned change waits for; over when dropped.
#[derive(Debug)]
struct UnderWay {
    shared: Rc<Shared>,
    group: GroupId,
    epoch: Epoch,
}

impl UnderWay {
    fn start(shared: &Rc<Shared>, group: &GroupId, epoch: Epoch) -> Self {
        shared.quietly().work.start(group, epoch);
        Self {
            shared: shared.clone(),
            group: group.clone(),
            epoch,
        }
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        let last = {
            let mut view = self.shared.quietly();
            view.work.end(&self.group, self.epoch);
            !view.work.is_under_way(&self.group, self.epoch)
        };
        if last {
            self.shared.change(|_| ());
        }
    }
}

/// Tries to run a statement that stands alone or opens a transaction.
pub async fn run(targets: &Targets, session: &Session, job: &Job<'_>, plan: &Plan) -> Attempt {
    let target = &plan.target;
    let pool = &target.pool;
    let came = targets.now();
    let patience = job.queue_until().since(came);
    let epoch = plan.lease.as_ref().map(|lease| lease.epoch);
    job.trace.tries(&target.database.id, epoch);
    let entered = pool.gate.enter(job.urgency(), patience).await;
    job.trace.queued(targets.now().since(came));
    let Ok(permit) = entered else {
        job.trace.ended("queue");
        return Attempt::NotRun(Code::Busy);
    };
    targets.shared.meter.queue_wait(targets.now().since(came));
    let taken = pool.take(&targets.adapter, &target.database, session);
    let mut lent = match taken.await {
        Ok(lent) => lent,
        Err(closed) => return not_opened(targets, job, target, &closed),
    };
    if lent.is_new() {
        targets.shared.meter.connection_opened(&target.database.id);
    }
    let group = &job.route.group;
    if epoch.is_some_and(|epoch| !targets.may_start(group, epoch)) {
        job.trace.ended("lease");
        lent.give_back(&targets.adapter);
        return Attempt::NotRun(Code::NotPrimary);
    }
    let under_way = epoch.map(|epoch| UnderWay::start(&targets.shared, group, epoch));
    match prepare(targets, session, job, plan, lent.connection()).await {
        Ok(None) => {}
        Ok(Some(code)) => {
            note_refusal(targets, job, target, code);
            targets.refused(target, None, code == Code::Busy);
            give_back(targets, lent, under_way);
            return Attempt::NotRun(code);
        }
        Err(_) => {
            job.trace.ended("unreached");
            targets.failed(&target.database);
            return Attempt::Unreached;
        }
    }
    if !holds(targets, job, plan) {
        job.trace.ended("lease");
        give_back(targets, lent, under_way);
        return Attempt::NotRun(Code::NotPrimary);
    }
    let asked = targets.now();
    let after = plan.after.filter(|_| job.part == Part::Single);
    let sent = send(targets, target, job, lent.connection(), after).await;
    drop(permit);
    let held = Held {
        lent,
        target: target.clone(),
        epoch,
        under_way,
    };
    match sent {
        Ok(answer) => judge(targets, job, plan, held, asked, answer),
        Err(lost) => Attempt::Lost(why(targets, job, target, asked, &lost)),
    }
}

/// Decides whether an answer may be passed on.
fn judge(
    targets: &Targets,
    job: &Job<'_>,
    plan: &Plan,
    held: Held,
    asked: Time,
    answer: Answer,
) -> Attempt {
    let target = &plan.target;
    if let End::Error { code, .. } = answer.end
        && outcome::may_do_elsewhere(code)
    {
        note_refusal(targets, job, target, code);
        targets.refused(target, answer.position, code == Code::Busy);
        held.release(targets);
        return Attempt::NotRun(code);
    }
    targets.answered(target, asked, &answer, job.urgency());
    if !holds(targets, job, plan) {
        job.trace.ended("lease");
        return Attempt::Lost(Why::Lapsed);
    }
    if let (Some(epoch), Some(position)) = (held.epoch, answer.position) {
        targets.learn(&job.route.group, epoch, asked, position);
    }
    job.trace.ended("answered");
    Attempt::Answered(answer, Box::new(held))
}

async fn prepare(
    targets: &Targets,
    session: &Session,
    job: &Job<'_>,
    plan: &Plan,
    connection: &mut Connection,
) -> Result<Option<Code>, Lost> {
    let after = plan.after;
    let begin = match job.part {
        Part::First { read } => Some(Order::Begin { read, after }),
        Part::Single | Part::Next => None,
    };
    let left = job.deadline().since(targets.now());
    let prepared = connection.prepare(session, begin);
    let result = tokio::time::timeout(left.into(), prepared).await;
    result.unwrap_or(Err(Lost::Silent))
}

/// Sends a statement and reads its answer, until the statement's deadline.
pub async fn send(
    targets: &Targets,
    target: &Target,
    job: &Job<'_>,
    connection: &mut Connection,
    after: Option<Position>,
) -> Result<Answer, Lost> {
    targets.sent(&target.database);
    let mut run = pin!(connection.run(job.query, job.shape, after));
    let left = job.deadline().since(targets.now());
    if let Ok(result) = tokio::time::timeout(left.min(SILENT).into(), &mut run).await {
        return result;
    }
    targets.failed(&target.database);
    log::info!(
        request:% = job.query.id, group:% = target.database.group, database:% = target.database.id,
        epoch:% = Shown(job.trace.epoch()), took_ms = SILENT.0 / 1_000;
        "no answer yet"
    );
    let left = job.deadline().since(targets.now());
    let result = tokio::time::timeout(left.into(), run).await;
    result.unwrap_or(Err(Lost::Silent))
}

/// Learns from a statement's lost answer, and tells why it was lost.
pub fn why(targets: &Targets, job: &Job<'_>, target: &Target, asked: Time, lost: &Lost) -> Why {
    let database = &target.database;
    targets.failed(database);
    job.trace.ended("lost");
    log::info!(
        request:% = job.query.id, group:% = database.group, database:% = database.id,
        took_ms = targets.now().since(asked).0 / 1_000;
        "an answer was lost: {lost}"
    );
    match lost {
        Lost::Silent => {
            target.pool.distrust(asked);
            Why::Silent
        }
        Lost::Broken(_) | Lost::Garbled(_) => Why::Broken,
    }
}

/// Notes that a database refused to run a statement, for its line and for the scraper.
pub fn note_refusal(targets: &Targets, job: &Job<'_>, target: &Target, code: Code) {
    job.trace.ended(code_name(code));
    let meter = &targets.shared.meter;
    meter.database_refused(&target.database.id, code);
}

/// Whether the plan still holds: on a primary, its lease.
fn holds(targets: &Targets, job: &Job<'_>, plan: &Plan) -> bool {
    let Some(lease) = &plan.lease else {
        return true;
    };
    targets.holds(&job.route.group, lease.epoch)
}

fn not_opened(targets: &Targets, job: &Job<'_>, target: &Target, closed: &Closed) -> Attempt {
    let database = &target.database;
    targets.shared.meter.connection_failed(&database.id);
    match closed {
        Closed::Refused(Code::Full) => {}
        _ => log::info!(group:% = database.group, database:% = database.id; "not opened: {closed}"),
    }
    match closed {
        Closed::Refused(code) => {
            note_refusal(targets, job, target, *code);
            targets.refused(target, None, false);
            Attempt::NotRun(*code)
        }
        Closed::Lost(_) => {
            job.trace.ended("unreached");
            targets.failed(database);
            Attempt::Unreached
        }
    }
}

impl Held {
    /// Gives the connection back; an open transaction is rolled back first.
    pub fn release(self, targets: &Targets) {
        give_back(targets, self.lent, self.under_way);
    }
}

/// Returns a connection, rolled back first if it stands in a transaction.
fn give_back(targets: &Targets, mut lent: Lent, under_way: Option<UnderWay>) {
    if lent.connection().is_clean() {
        lent.give_back(&targets.adapter);
        return;
    }
    if !lent.connection().is_settled() {
        return;
    }
    let adapter = targets.adapter.clone();
    actix_rt::spawn(async move {
        let rolled = lent.connection().order(&Order::Rollback);
        let _ = tokio::time::timeout(ROLLBACK.into(), rolled).await;
        lent.give_back(&adapter);
        drop(under_way);
    });
}
