//! Runs one statement on this VM's own connection to a database, for one of its callers or for another
//! VM that reaches the database through this one.

use crate::clock::{Span, Time};
use crate::direct::connection::{Closed, Connection, Lost};
use crate::direct::departure::Departure;
use crate::direct::gate::{Permit, Refusal, Urgency};
use crate::direct::meter::code_name;
use crate::direct::outcome::Loss;
use crate::direct::pool::{Checkout, Place, Wanted};
use crate::direct::session::{Shape, Values};
use crate::direct::share;
use crate::direct::statement::{Answer, Code, End, Order, Query, State};
use crate::direct::targets::{Target, Targets};
use crate::direct::trace::{Shown, Trace};
use crate::types::{OrganisationId, Position};
use std::pin::pin;
use std::rc::Rc;

/// A database that has not answered within this time is reported as failing, although its answer may
/// still come: slow databases answer sooner, and a replacement should not wait for a route's timeout.
pub const SILENCE_TIMEOUT: Span = Span::from_millis(400);

/// How long a rollback may take before its connection is closed instead.
const ROLLBACK_TIMEOUT: Span = Span::from_millis(1_000);

/// The delay before a busy database is tried again: about the time of a short statement.
const BUSY_RETRY_DELAY: Span = Span::from_millis(15);

/// The percentage of the time that a statement may queue in which it waits for a connection here. In the rest it
/// may get one at another owner: open transactions may keep all connections of one owner for seconds.
const CONNECTION_WAIT_PERCENT: u64 = 50;

/// A statement, its preconditions and its deadlines.
#[derive(Debug, Clone, Copy)]
pub struct Statement<'a> {
    /// The statement.
    pub query: &'a Query,
    /// The prepared statement that it runs.
    pub shape: Option<&'a Rc<Shape>>,
    /// The session's values, which must be set on the connection.
    pub values: &'a Values,
    /// The organisation on whose behalf it runs.
    pub organisation: Option<&'a OrganisationId>,
    /// The order that opens its transaction, if it is the first one.
    pub begin: Option<&'a Order>,
    /// A position that the database's log must have reached.
    pub after: Option<Position>,
    /// Its position in the queue.
    pub urgency: Urgency,
    /// Until when it may queue for a busy database.
    pub queue_until: Time,
    /// When it times out.
    pub deadline: Time,
    /// Records its steps for the log line.
    pub trace: &'a Trace,
    /// Whether its caller has left.
    pub departure: &'a Departure,
}

impl<'a> Statement<'a> {
    /// What it requires of its connection.
    fn wanted(&self) -> Wanted<'a> {
        Wanted {
            organisation: self.organisation,
            values: self.values,
        }
    }
}

/// The result of a single or first statement.
#[derive(Debug)]
pub enum Ran<G> {
    /// The database answered; the time is when the statement was sent.
    Answered(Answer, Box<Checkout>, G, Time),
    /// The statement has not run.
    NotRun(Code),
    /// The statement has not run: the database was not reached.
    Unreached,
    /// The statement may have run.
    Lost(Loss),
}

/// Runs a single statement, or the first one of a transaction. `begin` is called once a connection is
/// available, and `holds` once everything is prepared; the statement is sent only if both allow it. The
/// value from `begin` is dropped when the connection is returned.
pub async fn start<G: 'static>(
    targets: &Targets,
    target: &Target,
    statement: &Statement<'_>,
    begin: impl FnOnce() -> Option<G>,
    holds: impl Fn() -> bool,
) -> Ran<G> {
    let pool = &target.pool;
    let queued_at = targets.now();
    // Statements that hang at a silent database free no slot, so nothing queues behind them.
    let max_wait = match targets.is_failing(&target.database) {
        true => Span::ZERO,
        false => statement.queue_until.since(queued_at),
    };
    share::keep_to_part(targets, target);
    let entered = enter(targets, target, statement, max_wait).await;
    let Some(permit) = entered else {
        if statement.departure.has_left() {
            return Ran::NotRun(Code::Busy);
        }
        if targets.is_failing(&target.database) {
            statement.trace.ended("silent");
            return Ran::Unreached;
        }
        pool.note_unmet(targets.now());
        return Ran::NotRun(Code::Busy);
    };
    targets
        .shared
        .meter
        .queue_wait(targets.now().since(queued_at));
    let (permit, place) = match place(targets, target, statement, permit).await {
        Ok(place) => place,
        Err(ran) => return ran,
    };
    let wanted = statement.wanted();
    let taken = pool.take(&targets.adapter, &target.database, wanted, place);
    let mut checkout = match taken.await {
        Ok(checkout) => checkout,
        Err(closed) => return not_opened(targets, statement.trace, target, &closed),
    };
    if checkout.is_new() {
        targets.shared.meter.connection_opened(&target.database.id);
    }
    let Some(guard) = begin() else {
        statement.trace.ended("lease");
        checkout.give_back(&targets.adapter);
        return Ran::NotRun(Code::NotPrimary);
    };
    let left = statement.deadline.since(targets.now());
    let connection = checkout.connection();
    let prepared = connection.prepare(statement.values, statement.begin);
    match tokio::time::timeout(left.into(), prepared).await {
        Ok(Ok(None)) => {}
        Ok(Ok(Some(code))) => {
            note_refusal(targets, statement.trace, target, code);
            targets.responded(&target.database);
            targets.refused(target, None, code == Code::Busy);
            give_back(targets, Box::new(checkout), guard);
            return Ran::NotRun(code);
        }
        Ok(Err(_)) | Err(_) => {
            statement.trace.ended("unreached");
            targets.failed(&target.database);
            return Ran::Unreached;
        }
    }
    if !holds() {
        statement.trace.ended("lease");
        give_back(targets, Box::new(checkout), guard);
        return Ran::NotRun(Code::NotPrimary);
    }
    let asked = targets.now();
    let sent = send(targets, target, statement, checkout.connection()).await;
    drop(permit);
    match sent {
        Ok(answer) => Ran::Answered(answer, Box::new(checkout), guard, asked),
        Err(lost) => Ran::Lost(loss(targets, statement, target, asked, &lost)),
    }
}

/// Waits for a slot; none if the statement is refused or its caller has left meanwhile.
async fn enter(
    targets: &Targets,
    target: &Target,
    statement: &Statement<'_>,
    max_wait: Span,
) -> Option<Permit> {
    let queued_at = targets.now();
    let gate = &target.pool.gate;
    let entering = gate.enter(statement.urgency, statement.organisation, max_wait);
    let entered = statement.departure.unless_left(entering).await;
    statement.trace.queued(targets.now().since(queued_at));
    let meter = &targets.shared.meter;
    match entered {
        Some(Ok(permit)) => Some(permit),
        Some(Err(Refusal { reason, retry })) => {
            meter.queue_refused(reason, gate.rank(statement.urgency));
            statement.trace.ended("queue");
            if gate.is_fair() {
                statement.trace.retry(retry);
            }
            None
        }
        None => {
            meter.cancelled("slot");
            statement.trace.ended("left");
            None
        }
    }
}

/// Waits for a place among the connections, without occupying a slot: statements that have a connection, and
/// whose end frees it, go on meanwhile.
async fn place<G>(
    targets: &Targets,
    target: &Target,
    statement: &Statement<'_>,
    permit: Permit,
) -> Result<(Permit, Place), Ran<G>> {
    let (pool, wanted) = (&target.pool, statement.wanted());
    if let Some(place) = pool.try_place(wanted, targets.now()) {
        return Ok((permit, place));
    }
    drop(permit);
    let failing = targets.is_failing(&target.database);
    let now = targets.now();
    let wait = match failing {
        true => Span::ZERO,
        false => statement
            .queue_until
            .since(now)
            .percent(CONNECTION_WAIT_PERCENT),
    };
    let until = now + wait;
    let placed = pool.wait_for_place(&targets.adapter, wanted, statement.urgency, until);
    let Some(placed) = statement.departure.unless_left(placed).await else {
        targets.shared.meter.cancelled("connection");
        statement.trace.ended("left");
        return Err(Ran::NotRun(Code::Busy));
    };
    let Some(place) = placed else {
        if failing {
            statement.trace.ended("silent");
            return Err(Ran::Unreached);
        }
        statement.trace.ended(code_name(Code::Full));
        let meter = &targets.shared.meter;
        meter.connection_withheld(&target.database.id);
        return Err(Ran::NotRun(Code::Full));
    };
    let left = statement.queue_until.since(targets.now());
    match enter(targets, target, statement, left).await {
        Some(permit) => Ok((permit, place)),
        None => {
            pool.release(&targets.adapter, place);
            Err(Ran::NotRun(Code::Busy))
        }
    }
}

/// Runs the next statement of an open transaction, and repeats it while the database is busy until
/// `queue_until`. `holds` is checked each time before sending. Returns the answer and when the statement
/// was sent.
pub async fn next(
    targets: &Targets,
    target: &Target,
    connection: &mut Connection,
    statement: &Statement<'_>,
    holds: impl Fn() -> bool,
) -> Result<(Answer, Time), Failed> {
    let gate = &target.pool.gate;
    loop {
        let max_wait = statement.queue_until.since(targets.now());
        let Some(permit) = enter(targets, target, statement, max_wait).await else {
            return Err(Failed::Busy);
        };
        prepare(targets, target, connection, statement).await?;
        if !holds() {
            statement.trace.ended("lease");
            return Err(Failed::Ended);
        }
        let asked = targets.now();
        let answer = match send(targets, target, statement, connection).await {
            Ok(answer) => answer,
            Err(lost) => return Err(Failed::Lost(loss(targets, statement, target, asked, &lost))),
        };
        let busy = matches!(answer.end, End::Error { code, .. } if code == Code::Busy);
        let again = targets.now() + BUSY_RETRY_DELAY < statement.queue_until;
        if !busy || answer.state != State::Open || !again {
            return Ok((answer, asked));
        }
        gate.refused(targets.now());
        drop(permit);
        tokio::time::sleep(BUSY_RETRY_DELAY.into()).await;
    }
}

/// Why the next statement of a transaction has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failed {
    /// It has not run: the database is too busy.
    Busy,
    /// It has not run: the transaction's lease no longer holds.
    Ended,
    /// It has not run: the connection broke before it was sent.
    Broken,
    /// It may have run.
    Lost(Loss),
}

/// Sets session values on the connection that changed since the transaction began.
async fn prepare(
    targets: &Targets,
    target: &Target,
    connection: &mut Connection,
    statement: &Statement<'_>,
) -> Result<(), Failed> {
    let left = statement.deadline.since(targets.now());
    let prepared = connection.prepare(statement.values, None);
    let result = tokio::time::timeout(left.into(), prepared).await;
    let Err(lost) = result.unwrap_or(Err(Lost::Silent)) else {
        return Ok(());
    };
    loss(targets, statement, target, targets.now(), &lost);
    Err(Failed::Broken)
}

/// Sends a statement and reads its answer until its deadline. Reports the database as failing after
/// [`SILENCE_TIMEOUT`].
async fn send(
    targets: &Targets,
    target: &Target,
    statement: &Statement<'_>,
    connection: &mut Connection,
) -> Result<Answer, Lost> {
    targets.sent(&target.database);
    let after = statement.after.filter(|_| statement.begin.is_none());
    let mut run = pin!(connection.run(statement.query, statement.shape, after));
    let left = statement.deadline.since(targets.now());
    if let Ok(result) = tokio::time::timeout(left.min(SILENCE_TIMEOUT).into(), &mut run).await {
        return result;
    }
    targets.failed(&target.database);
    let database = &target.database;
    log::info!(
        request:% = statement.query.id, group:% = database.group, database:% = database.id,
        epoch:% = Shown(statement.trace.epoch()), took_ms = SILENCE_TIMEOUT.0 / 1_000;
        "no answer yet"
    );
    let left = statement.deadline.since(targets.now());
    let result = tokio::time::timeout(left.into(), run).await;
    result.unwrap_or(Err(Lost::Silent))
}

/// Records that a statement's answer was lost, and returns the reason.
fn loss(
    targets: &Targets,
    statement: &Statement<'_>,
    target: &Target,
    asked: Time,
    lost: &Lost,
) -> Loss {
    let database = &target.database;
    targets.failed(database);
    statement.trace.ended("lost");
    log::info!(
        request:% = statement.query.id, group:% = database.group, database:% = database.id,
        took_ms = targets.now().since(asked).0 / 1_000;
        "an answer was lost: {lost}"
    );
    match lost {
        Lost::Silent => {
            target.pool.close_idle_before(asked);
            Loss::Silent
        }
        Lost::Broken(_) | Lost::Garbled(_) => Loss::Broken,
    }
}

/// Records in the trace and the metrics that a database refused to run a statement.
pub fn note_refusal(targets: &Targets, trace: &Trace, target: &Target, code: Code) {
    trace.ended(code_name(code));
    let meter = &targets.shared.meter;
    meter.database_refused(&target.database.id, code);
}

fn not_opened<G>(targets: &Targets, trace: &Trace, target: &Target, closed: &Closed) -> Ran<G> {
    let database = &target.database;
    targets.shared.meter.connection_failed(&database.id);
    match closed {
        Closed::Refused(Code::Full) => {}
        _ => log::info!(group:% = database.group, database:% = database.id; "not opened: {closed}"),
    }
    match closed {
        // Another database listens at its address: this one is gone.
        Closed::Refused(code @ Code::OtherDatabase) => {
            note_refusal(targets, trace, target, *code);
            targets.failed(database);
            Ran::NotRun(*code)
        }
        Closed::Refused(code) => {
            note_refusal(targets, trace, target, *code);
            // `Full` may be a refusal remembered by the pool, and no new response.
            if *code != Code::Full {
                targets.responded(database);
            }
            targets.refused(target, None, false);
            Ran::NotRun(*code)
        }
        Closed::Lost(_) => {
            trace.ended("unreached");
            targets.failed(database);
            Ran::Unreached
        }
    }
}

/// Returns a connection to the pool, after rolling back its transaction if one is open. `guard` is
/// dropped after that.
pub fn give_back<G: 'static>(targets: &Targets, mut checkout: Box<Checkout>, guard: G) {
    if checkout.connection().is_clean() {
        checkout.give_back(&targets.adapter);
        return;
    }
    if !checkout.connection().is_settled() {
        return;
    }
    let adapter = targets.adapter.clone();
    actix_rt::spawn(async move {
        let rolled = checkout.connection().order(&Order::Rollback);
        let _ = tokio::time::timeout(ROLLBACK_TIMEOUT.into(), rolled).await;
        checkout.give_back(&adapter);
        drop(guard);
    });
}
