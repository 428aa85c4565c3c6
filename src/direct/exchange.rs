//! One statement on this VM's own connection to a database, whoever asks for it: one of its callers,
//! or another VM that reaches the database through this one.

use crate::clock::{Span, Time};
use crate::direct::connection::{Closed, Connection, Lost};
use crate::direct::gate::Urgency;
use crate::direct::meter::code_name;
use crate::direct::outcome::Why;
use crate::direct::pool::{Lent, Wanted};
use crate::direct::session::{Shape, Values};
use crate::direct::statement::{Answer, Code, End, Order, Query, State};
use crate::direct::targets::{Target, Targets};
use crate::direct::trace::{Shown, Trace};
use crate::types::{OrganisationId, Position};
use std::pin::pin;
use std::rc::Rc;

/// A database that has not answered for this long is reported, although its answer may still
/// come: slow databases answer sooner, and a replacement should not wait for a route's timeout.
pub const SILENT: Span = Span::from_millis(400);

/// How long a rollback may take before its connection is closed instead.
const ROLLBACK: Span = Span::from_millis(1_000);

/// Between two tries at a busy database: about a short statement's time.
const BUSY_PAUSE: Span = Span::from_millis(15);

/// A statement, what has to be true before it, and the moments that bound it.
#[derive(Debug, Clone, Copy)]
pub struct Statement<'a> {
    /// The statement.
    pub query: &'a Query,
    /// The prepared statement that it runs.
    pub shape: Option<&'a Rc<Shape>>,
    /// The session's values.
    pub values: &'a Values,
    /// On whose behalf it is asked.
    pub organisation: Option<&'a OrganisationId>,
    /// The transaction that it opens.
    pub begin: Option<&'a Order>,
    /// A position that the log must have.
    pub after: Option<Position>,
    /// Its place among others that wait.
    pub urgency: Urgency,
    /// Until when it may wait for a busy database.
    pub queue_until: Time,
    /// When it is given up.
    pub deadline: Time,
    /// What it meets on its way.
    pub trace: &'a Trace,
}

impl<'a> Statement<'a> {
    /// What its connection should be like.
    fn wanted(&self) -> Wanted<'a> {
        Wanted {
            organisation: self.organisation,
            values: self.values,
        }
    }
}

/// How a first statement ended.
#[derive(Debug)]
pub enum Ran<G> {
    /// The database answered one that was sent at the moment given.
    Answered(Answer, Box<Lent>, G, Time),
    /// It has not run.
    NotRun(Code),
    /// It has not run: the database was not reached.
    Unreached,
    /// It may have run.
    Lost(Why),
}

/// Runs a statement that stands alone or opens a transaction. It has to be allowed by `begin` once a
/// connection is there, and by `holds` once all is prepared; nothing is sent if either says no. What
/// `begin` returns is dropped once the connection is given back.
pub async fn start<G: 'static>(
    targets: &Targets,
    target: &Target,
    statement: &Statement<'_>,
    begin: impl FnOnce() -> Option<G>,
    holds: impl Fn() -> bool,
) -> Ran<G> {
    let pool = &target.pool;
    let came = targets.now();
    // What hangs at a database that is silent frees no slot: nobody queues behind it.
    let patience = match targets.is_failing(&target.database) {
        true => Span::ZERO,
        false => statement.queue_until.since(came),
    };
    let entered = pool.gate.enter(statement.urgency, patience).await;
    statement.trace.queued(targets.now().since(came));
    let Ok(permit) = entered else {
        if targets.is_failing(&target.database) {
            statement.trace.ended("silent");
            return Ran::Unreached;
        }
        statement.trace.ended("queue");
        return Ran::NotRun(Code::Busy);
    };
    targets.shared.meter.queue_wait(targets.now().since(came));
    let taken = pool.take(&targets.adapter, &target.database, statement.wanted());
    let mut lent = match taken.await {
        Ok(lent) => lent,
        Err(closed) => return not_opened(targets, statement.trace, target, &closed),
    };
    if lent.is_new() {
        targets.shared.meter.connection_opened(&target.database.id);
    }
    let Some(guard) = begin() else {
        statement.trace.ended("lease");
        lent.give_back(&targets.adapter);
        return Ran::NotRun(Code::NotPrimary);
    };
    let left = statement.deadline.since(targets.now());
    let connection = lent.connection();
    let prepared = connection.prepare(statement.values, statement.begin);
    match tokio::time::timeout(left.into(), prepared).await {
        Ok(Ok(None)) => {}
        Ok(Ok(Some(code))) => {
            note_refusal(targets, statement.trace, target, code);
            targets.answers(&target.database);
            targets.refused(target, None, code == Code::Busy);
            give_back(targets, Box::new(lent), guard);
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
        give_back(targets, Box::new(lent), guard);
        return Ran::NotRun(Code::NotPrimary);
    }
    let asked = targets.now();
    let sent = send(targets, target, statement, lent.connection()).await;
    drop(permit);
    match sent {
        Ok(answer) => Ran::Answered(answer, Box::new(lent), guard, asked),
        Err(lost) => Ran::Lost(why(targets, statement, target, asked, &lost)),
    }
}

/// Runs the next statement of an open transaction: again while the database is too busy for it, as
/// long as it may wait. `holds` is asked before each sending. The moment is when it was sent.
pub async fn next(
    targets: &Targets,
    target: &Target,
    connection: &mut Connection,
    statement: &Statement<'_>,
    holds: impl Fn() -> bool,
) -> Result<(Answer, Time), Failed> {
    let gate = &target.pool.gate;
    loop {
        let came = targets.now();
        let patience = statement.queue_until.since(came);
        let entered = gate.enter(statement.urgency, patience).await;
        statement.trace.queued(targets.now().since(came));
        let Ok(permit) = entered else {
            statement.trace.ended("queue");
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
            Err(lost) => return Err(Failed::Lost(why(targets, statement, target, asked, &lost))),
        };
        let busy = matches!(answer.end, End::Error { code, .. } if code == Code::Busy);
        let again = targets.now() + BUSY_PAUSE < statement.queue_until;
        if !busy || answer.state != State::Open || !again {
            return Ok((answer, asked));
        }
        gate.refused(targets.now());
        drop(permit);
        tokio::time::sleep(BUSY_PAUSE.into()).await;
    }
}

/// Why a transaction's next statement has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failed {
    /// It has not run: the database is too busy.
    Busy,
    /// It has not run: the transaction may not go on.
    Ended,
    /// It has not run: the connection broke before it was sent.
    Broken,
    /// It may have run.
    Lost(Why),
}

/// Makes session values true that were set since the transaction began.
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
    why(targets, statement, target, targets.now(), &lost);
    Err(Failed::Broken)
}

/// Sends a statement and reads its answer, until the statement's deadline.
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
    if let Ok(result) = tokio::time::timeout(left.min(SILENT).into(), &mut run).await {
        return result;
    }
    targets.failed(&target.database);
    let database = &target.database;
    log::info!(
        request:% = statement.query.id, group:% = database.group, database:% = database.id,
        epoch:% = Shown(statement.trace.epoch()), took_ms = SILENT.0 / 1_000;
        "no answer yet"
    );
    let left = statement.deadline.since(targets.now());
    let result = tokio::time::timeout(left.into(), run).await;
    result.unwrap_or(Err(Lost::Silent))
}

/// Learns from a statement's lost answer, and tells why it was lost.
fn why(
    targets: &Targets,
    statement: &Statement<'_>,
    target: &Target,
    asked: Time,
    lost: &Lost,
) -> Why {
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
            target.pool.distrust(asked);
            Why::Silent
        }
        Lost::Broken(_) | Lost::Garbled(_) => Why::Broken,
    }
}

/// Notes that a database refused to run a statement, for its line and for the scraper.
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
        // Another database is at its address: it is gone.
        Closed::Refused(code @ Code::OtherDatabase) => {
            note_refusal(targets, trace, target, *code);
            targets.failed(database);
            Ran::NotRun(*code)
        }
        Closed::Refused(code) => {
            note_refusal(targets, trace, target, *code);
            // That it is full may have been heard before: the pool asks seldom then.
            if *code != Code::Full {
                targets.answers(database);
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

/// Returns a connection, rolled back first if it stands in a transaction; `kept` is dropped once
/// that is over.
pub fn give_back<G: 'static>(targets: &Targets, mut lent: Box<Lent>, kept: G) {
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
        drop(kept);
    });
}
