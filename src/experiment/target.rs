//! A database as the experiment plays it: slots, speed, and a log that replicas apply late.

use crate::clock::{Span, Time};
use crate::types::{Offset, Position, Term};
use std::collections::VecDeque;

/// How often a database is probed: a proof of age is this old at the most.
const PROBE: Span = Span::from_millis(250);

/// What cold caches multiply a statement's time by in the first moment after a return.
const COLD: f64 = 5.0;

/// The time in which the slowness of cold caches halves.
const WARM_UP: Span = Span::from_secs(1);

/// The least lag of a replica; the second replica of a group has three times that.
const LAG: Span = Span::from_millis(40);

/// Lags swing by half up and down within this period.
const SWING: Span = Span::from_secs(7);

/// A statement at a database.
#[derive(Debug, Clone, Copy)]
pub struct Statement {
    /// The work's number.
    pub work: u64,
    /// Its time on a warm database.
    pub service: Span,
}

/// One database.
#[derive(Debug)]
pub struct Target {
    /// Whether it can be reached.
    pub up: bool,
    /// How many times slower than usual it is.
    pub slowness: f64,
    slots: usize,
    running: usize,
    queue: VecDeque<Statement>,
    cold_since: Option<Time>,
    index: u64,
}

impl Target {
    /// The database number `index` of its group.
    pub fn new(slots: u32, index: usize) -> Self {
        Self {
            up: true,
            slowness: 1.0,
            slots: slots as usize,
            running: 0,
            queue: VecDeque::new(),
            cold_since: None,
            index: index as u64,
        }
    }

    /// A statement arrives; returns how long it runs if it starts now.
    pub fn start(&mut self, now: Time, statement: Statement) -> Option<Span> {
        if self.running >= self.slots {
            self.queue.push_back(statement);
            return None;
        }
        self.running += 1;
        Some(self.time_of(now, statement))
    }

    /// A statement ended; returns the one that starts in its place, and its time.
    pub fn end(&mut self, now: Time) -> Option<(Statement, Span)> {
        self.running = self.running.saturating_sub(1);
        let statement = self.queue.pop_front()?;
        self.running += 1;
        Some((statement, self.time_of(now, statement)))
    }

    /// All that ran is gone.
    pub fn lose(&mut self) {
        self.up = false;
        self.running = 0;
        self.queue.clear();
    }

    /// It can be reached again.
    pub fn recover(&mut self, now: Time) {
        self.up = true;
        self.cold_since = Some(now);
    }

    fn time_of(&self, now: Time, statement: Statement) -> Span {
        let cold = self.cold_since.map_or(0.0, |since| {
            let halvings = now.since(since).0 as f64 / WARM_UP.0 as f64;
            (COLD - 1.0) * 0.5f64.powf(halvings)
        });
        Span((statement.service.0 as f64 * self.slowness * (1.0 + cold)) as u64)
    }

    /// How far behind the primary it is as a replica.
    pub fn lag(&self, now: Time) -> Span {
        let base = LAG.0 as f64 * (1 + 2 * (self.index % 2)) as f64;
        let phase = now.0 as f64 / SWING.0 as f64 * std::f64::consts::TAU;
        Span((base * (1.0 + 0.5 * (phase + self.index as f64).sin())) as u64)
    }

    /// Its proven age: its lag, and the time since it was probed.
    pub fn age(&self, now: Time) -> Span {
        self.lag(now) + Span(now.0 % PROBE.0)
    }
}

/// The log of a group: when each position was written.
#[derive(Debug, Default)]
pub struct Log {
    written: VecDeque<(Time, u64)>,
    applied_by_all: u64,
    end: u64,
}

/// What is forgotten of a log: far longer ago than any lag.
const MEMORY: Span = Span::from_secs(30);

impl Log {
    /// A write commits; returns its position.
    pub fn write(&mut self, now: Time) -> Position {
        self.end += 1;
        self.written.push_back((now, self.end));
        while let Some(&(at, end)) = self.written.front() {
            if now.since(at) < MEMORY {
                break;
            }
            self.applied_by_all = end;
            self.written.pop_front();
        }
        position(self.end)
    }

    /// The end of the log.
    pub fn end(&self) -> Position {
        position(self.end)
    }

    /// How far the log was at `at`.
    pub fn end_at(&self, at: Time) -> Position {
        let count = self.written.partition_point(|(written, _)| *written <= at);
        match count.checked_sub(1) {
            Some(last) => position(self.written[last].1),
            None => position(self.applied_by_all),
        }
    }
}

fn position(end: u64) -> Position {
    Position::new(Term(1), Offset(end))
}
