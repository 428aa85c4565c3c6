//! One caller: a session that writes and reads its own rows, at one address or another.

use super::client::{Connections, Mode, Outcome};
use super::record::{Answer, Row, entry};
use super::stats::{Kind, Stats};
use super::{Ended, Mix, Plan, ended_before};
use crate::clock::{Span, Time};
use crate::types::GroupId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::time::Instant;

/// The number of writes after which a caller starts a new row, so that bodies stay short.
const WRITES_PER_ROW: usize = 16;

const INSERT: &str = "INSERT INTO ledger (id, body) VALUES ($1, $2) RETURNING id";
const APPEND: &str = "UPDATE ledger SET body = body || $2 WHERE id = $1 RETURNING id";
const READ: &str = "SELECT body FROM ledger WHERE id = $1";

/// The rows that a caller has written, per group.
pub(super) type Rows = BTreeMap<GroupId, Vec<Row>>;

/// The state of one caller.
struct Caller {
    name: String,
    plan: Rc<Plan>,
    stats: Rc<RefCell<Stats>>,
    connections: Connections,
    random: ChaCha8Rng,
    address: usize,
    rows: Rows,
    /// The newest row of these groups takes no more writes.
    closed: BTreeMap<GroupId, bool>,
}

/// Runs operations until the run is over; returns the rows written and the answers to each write.
pub(super) async fn run(
    number: u32,
    plan: Rc<Plan>,
    stats: Rc<RefCell<Stats>>,
    mut ended: Ended,
) -> Rows {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed.wrapping_add(u64::from(number)));
    // The random part keeps a second run with the same seed from using the first one's rows.
    let name = format!("load-{:08x}-{number}", rand::random::<u32>());
    let address = random.random_range(0..plan.addresses.len().max(1));
    let start = stats.borrow().start();
    let mut pace = Pace::new(&plan, start, &mut random);
    let mut caller = Caller {
        connections: Connections::new(&plan, name.clone()),
        name,
        stats,
        random,
        address,
        rows: Rows::new(),
        closed: BTreeMap::new(),
        plan,
    };
    loop {
        let due = pace.next();
        if ended_before(&mut ended, due).await {
            return caller.rows;
        }
        caller.step(due).await;
    }
}

/// The schedule of a caller's operations.
struct Pace {
    next: Instant,
    /// Time between a caller's operations; `None`: each starts when the last one has ended.
    interval: Option<Span>,
}

impl Pace {
    fn new(plan: &Plan, start: Instant, random: &mut ChaCha8Rng) -> Self {
        const MICROS: f64 = 1_000_000.0;
        let interval = plan
            .rate
            .map(|rate| Span((f64::from(plan.callers) / rate * MICROS) as u64));
        let phase = interval.map_or(0, |interval| random.random_range(0..interval.0.max(1)));
        Self {
            next: start + Span(phase).into(),
            interval,
        }
    }

    /// A caller that fell behind its rate catches up, and its latencies count from the time when the
    /// operation was due, so that a slow system does not reduce the load that measures it.
    fn next(&mut self) -> Instant {
        let Some(interval) = self.interval else {
            return Instant::now();
        };
        let due = self.next;
        self.next = due + interval.into();
        due
    }
}

impl Caller {
    async fn step(&mut self, due: Instant) {
        if self.random.random_range(0..100) < self.plan.roam {
            self.address = self
                .random
                .random_range(0..self.plan.addresses.len().max(1));
        }
        let group = self.random.random_range(0..self.plan.groups.len().max(1));
        let Some(group) = self.plan.groups.get(group).cloned() else {
            return;
        };
        let kind = choose_kind(self.plan.mix, self.random.random_range(0..100));
        let outcome = match kind {
            Kind::Write => self.write(&group).await,
            Kind::SessionRead => self.read(&group, Mode::Session).await,
            Kind::AgedRead => self.read(&group, Mode::Aged).await,
        };
        self.stats.borrow_mut().count(kind, outcome, due.elapsed());
        match outcome {
            Outcome::NotRun(pause) => tokio::time::sleep(pause.into()).await,
            Outcome::DeclaredLost => self.mark_lost(&group),
            _ => {}
        }
    }

    async fn write(&mut self, group: &GroupId) -> Outcome {
        let rows = self.rows.entry(group.clone()).or_default();
        let full = rows
            .last()
            .is_none_or(|row| row.answers.len() >= WRITES_PER_ROW);
        let closed = self.closed.insert(group.clone(), false) == Some(true);
        let starts_row = full || closed;
        if starts_row {
            let id = format!("{}-{}", self.name, rows.len());
            rows.push(Row {
                id: id.into(),
                answers: Vec::new(),
            });
        }
        let Some(row) = rows.last() else {
            return Outcome::Failed;
        };
        let (id, text) = (row.id.clone(), entry(row.answers.len()));
        let sql = if starts_row { INSERT } else { APPEND };
        let destination = (self.address, group, Mode::Session);
        let answer = self
            .connections
            .query(destination, sql, &[&id, &text])
            .await;
        let now = Instant::now();
        let (recorded, outcome) = match answer {
            Ok(rows) if rows.is_empty() => (Answer::Unknown, Outcome::Done),
            Ok(_) => (Answer::Done(self.time(now)), Outcome::Done),
            Err(Outcome::Unknown) => (Answer::Unknown, Outcome::Unknown),
            Err(outcome) => (Answer::NotRun, outcome),
        };
        if matches!(recorded, Answer::Done(_)) {
            self.stats.borrow_mut().acknowledged(group, now);
        }
        // A row whose insert may be missing gets no appends.
        let row_may_be_missing = starts_row && !matches!(recorded, Answer::Done(_));
        self.closed.insert(group.clone(), row_may_be_missing);
        if let Some(row) = self.rows.get_mut(group).and_then(|rows| rows.last_mut()) {
            row.answers.push(recorded);
        }
        outcome
    }

    async fn read(&mut self, group: &GroupId, mode: Mode) -> Outcome {
        let row = self.rows.get(group).and_then(|rows| rows.last()).cloned();
        let id = row.as_ref().map_or("none", |row| &row.id).to_owned();
        let sent_at = self.time(Instant::now());
        let destination = (self.address, group, mode);
        let rows = match self.connections.query(destination, READ, &[&id]).await {
            Ok(rows) => rows,
            // Whether a read without an answer ran makes no difference to its caller.
            Err(outcome) => return outcome,
        };
        let body: Option<&str> = rows.first().and_then(|row| row.try_get(0).ok());
        let since = match mode {
            Mode::Session => sent_at,
            Mode::Aged => sent_at - self.plan.max_age,
        };
        if let Some(row) = row {
            let fault = row.check(body, since);
            let mut stats = self.stats.borrow_mut();
            match mode {
                Mode::Session => stats.stale += fault.missing,
                Mode::Aged => stats.too_old += fault.missing,
            }
            stats.read_faults.doubled += fault.doubled;
            stats.read_faults.not_run_but_there += fault.not_run_but_there;
            stats.read_faults.foreign += fault.foreign;
        }
        Outcome::Done
    }

    /// Handles the proxy's report that writes of the session in `group` are lost. It does not name
    /// them; the caller finds out by reading.
    fn mark_lost(&mut self, group: &GroupId) {
        let rows = self.rows.get_mut(group).into_iter().flatten();
        for recorded in rows.flat_map(|row| &mut row.answers) {
            if matches!(recorded, Answer::Done(_)) {
                *recorded = Answer::DeclaredLost;
            }
        }
        self.closed.insert(group.clone(), true);
    }

    /// Converts to the run's own clock, which starts at one microsecond so that zero precedes all times.
    fn time(&self, at: Instant) -> Time {
        let since = at.duration_since(self.stats.borrow().start());
        Time(Span::from(since).0 + 1)
    }
}

fn choose_kind(mix: Mix, number: u8) -> Kind {
    if number < mix.writes {
        Kind::Write
    } else if number < mix.writes.saturating_add(mix.session_reads) {
        Kind::SessionRead
    } else {
        Kind::AgedRead
    }
}
