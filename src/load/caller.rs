//! One caller: a session that writes and reads its own rows, at one address or another.

use super::client::{Connections, Mode, Outcome};
use super::record::{Row, Told, entry};
use super::stats::{Kind, Stats};
use super::{Ended, Mix, Plan, over_within};
use crate::clock::{Span, Time};
use crate::types::GroupId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::time::Instant;

/// After so many writes a row is left and another one begun, so that bodies stay short.
const WRITES_PER_ROW: usize = 16;

const INSERT: &str = "INSERT INTO ledger (id, body) VALUES ($1, $2) RETURNING id";
const APPEND: &str = "UPDATE ledger SET body = body || $2 WHERE id = $1 RETURNING id";
const READ: &str = "SELECT body FROM ledger WHERE id = $1";

/// What a caller has written, per group.
pub(super) type Rows = BTreeMap<GroupId, Vec<Row>>;

/// One caller at work.
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

/// Works until the run is over; returns what was written and told.
pub(super) async fn run(
    number: u32,
    plan: Rc<Plan>,
    stats: Rc<RefCell<Stats>>,
    mut ended: Ended,
) -> Rows {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed.wrapping_add(u64::from(number)));
    // A second run with the same seed must not meet the first one's rows.
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
        if over_within(&mut ended, due).await {
            return caller.rows;
        }
        caller.step(due).await;
    }
}

/// When operations are due.
struct Pace {
    next: Instant,
    /// Between two of one caller; `None`: as soon as the last one has ended.
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

    /// A caller that fell behind its rate catches up, and its latencies count from when the
    /// operation was due: a slow system must not slow down its own measurement.
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
        let kind = draw(self.plan.mix, self.random.random_range(0..100));
        let outcome = match kind {
            Kind::Write => self.write(&group).await,
            Kind::SessionRead => self.read(&group, Mode::Session).await,
            Kind::AgedRead => self.read(&group, Mode::Aged).await,
        };
        self.stats.borrow_mut().count(kind, outcome, due.elapsed());
        match outcome {
            Outcome::NotRun(pause) => tokio::time::sleep(pause.into()).await,
            Outcome::DeclaredLost => self.disclaim(&group),
            _ => {}
        }
    }

    async fn write(&mut self, group: &GroupId) -> Outcome {
        let rows = self.rows.entry(group.clone()).or_default();
        let full = rows
            .last()
            .is_none_or(|row| row.told.len() >= WRITES_PER_ROW);
        let closed = self.closed.insert(group.clone(), false) == Some(true);
        let begins = full || closed;
        if begins {
            let id = format!("{}-{}", self.name, rows.len());
            rows.push(Row {
                id: id.into(),
                told: Vec::new(),
            });
        }
        let Some(row) = rows.last() else {
            return Outcome::Failed;
        };
        let (id, text) = (row.id.clone(), entry(row.told.len()));
        let sql = if begins { INSERT } else { APPEND };
        let place = (self.address, group, Mode::Session);
        let answer = self.connections.query(place, sql, &[&id, &text]).await;
        let now = Instant::now();
        let (told, outcome) = match answer {
            Ok(rows) if rows.is_empty() => (Told::Unknown, Outcome::Done),
            Ok(_) => (Told::Done(self.time(now)), Outcome::Done),
            Err(Outcome::Unknown) => (Told::Unknown, Outcome::Unknown),
            Err(outcome) => (Told::NotRun, outcome),
        };
        if matches!(told, Told::Done(_)) {
            self.stats.borrow_mut().acknowledged(group, now);
        }
        // A row whose insert may be missing takes no appends.
        let row_may_be_missing = begins && !matches!(told, Told::Done(_));
        self.closed.insert(group.clone(), row_may_be_missing);
        if let Some(row) = self.rows.get_mut(group).and_then(|rows| rows.last_mut()) {
            row.told.push(told);
        }
        outcome
    }

    async fn read(&mut self, group: &GroupId, mode: Mode) -> Outcome {
        let row = self.rows.get(group).and_then(|rows| rows.last()).cloned();
        let id = row.as_ref().map_or("none", |row| &row.id).to_owned();
        let asked = self.time(Instant::now());
        let place = (self.address, group, mode);
        let rows = match self.connections.query(place, READ, &[&id]).await {
            Ok(rows) => rows,
            // A read that got no answer ran or not, which makes no difference to its caller.
            Err(outcome) => return outcome,
        };
        let body: Option<&str> = rows.first().and_then(|row| row.try_get(0).ok());
        let since = match mode {
            Mode::Session => asked,
            Mode::Aged => asked - self.plan.max_age,
        };
        if let Some(row) = row {
            let fault = row.check(body, since);
            let mut stats = self.stats.borrow_mut();
            match mode {
                Mode::Session => stats.stale += fault.missing,
                Mode::Aged => stats.too_old += fault.missing,
            }
            stats.seen.doubled += fault.doubled;
            stats.seen.not_run_but_there += fault.not_run_but_there;
            stats.seen.foreign += fault.foreign;
        }
        Outcome::Done
    }

    /// The proxy has told that writes of the session in `group` are lost; which ones, a caller
    /// finds out by reading.
    fn disclaim(&mut self, group: &GroupId) {
        let rows = self.rows.get_mut(group).into_iter().flatten();
        for told in rows.flat_map(|row| &mut row.told) {
            if matches!(told, Told::Done(_)) {
                *told = Told::Disclaimed;
            }
        }
        self.closed.insert(group.clone(), true);
    }

    /// The moment on the run's own clock; one microsecond in, so that zero is before all.
    fn time(&self, at: Instant) -> Time {
        let since = at.duration_since(self.stats.borrow().start());
        Time(Span::from(since).0 + 1)
    }
}

fn draw(mix: Mix, number: u8) -> Kind {
    if number < mix.writes {
        Kind::Write
    } else if number < mix.writes.saturating_add(mix.session_reads) {
        Kind::SessionRead
    } else {
        Kind::AgedRead
    }
}
