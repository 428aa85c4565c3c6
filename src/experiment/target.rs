//! A simulated database: slots, speed, and a log that replicas apply with a lag.

use crate::clock::{Span, Time};
use crate::types::{Offset, Position, Term};
use std::collections::VecDeque;

/// The interval between probes of a database, and so the maximum age of a probe's result.
const PROBE_INTERVAL: Span = Span::from_millis(250);

/// The factor by which cold caches slow statements down right after recovery.
const COLD_CACHE_FACTOR: f64 = 5.0;

/// The time in which the slowdown by cold caches halves.
const COLD_CACHE_HALF_LIFE: Span = Span::from_secs(1);

/// The mean lag of the first replica of a group; the second replica has three times that.
const MEAN_LAG: Span = Span::from_millis(40);

/// The period in which a lag swings by half above and below its mean.
const LAG_PERIOD: Span = Span::from_secs(7);

/// A statement at a database.
#[derive(Debug, Clone, Copy)]
pub struct Statement {
    /// The number of the request.
    pub work: u64,
    /// Its execution time on a warm database.
    pub service: Span,
}

/// A simulated database.
#[derive(Debug)]
pub struct Target {
    /// Whether it can be reached.
    pub up: bool,
    /// The factor by which a fault slows statements down.
    pub slowness: f64,
    slots: usize,
    running: usize,
    queue: VecDeque<Statement>,
    cold_since: Option<Time>,
    index: u64,
}

impl Target {
    /// Creates the database `index` of its group.
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

    /// Starts a statement or queues it; returns how long it runs if it starts now.
    pub fn start(&mut self, now: Time, statement: Statement) -> Option<Span> {
        if self.running >= self.slots {
            self.queue.push_back(statement);
            return None;
        }
        self.running += 1;
        Some(self.time_of(now, statement))
    }

    /// Whether a statement would start at once.
    pub fn has_free_slot(&self) -> bool {
        self.running < self.slots
    }

    /// Number of statements that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Ends a statement; returns the queued one that starts in its place, and how long that runs.
    pub fn end(&mut self, now: Time) -> Option<(Statement, Span)> {
        self.running = self.running.saturating_sub(1);
        let statement = self.queue.pop_front()?;
        self.running += 1;
        Some((statement, self.time_of(now, statement)))
    }

    /// Makes the database unreachable and drops its statements.
    pub fn lose(&mut self) {
        self.up = false;
        self.running = 0;
        self.queue.clear();
    }

    /// Makes the database reachable again, with cold caches.
    pub fn recover(&mut self, now: Time) {
        self.up = true;
        self.cold_since = Some(now);
    }

    fn time_of(&self, now: Time, statement: Statement) -> Span {
        let cold = self.cold_since.map_or(0.0, |since| {
            let halvings = now.since(since).0 as f64 / COLD_CACHE_HALF_LIFE.0 as f64;
            (COLD_CACHE_FACTOR - 1.0) * 0.5f64.powf(halvings)
        });
        Span((statement.service.0 as f64 * self.slowness * (1.0 + cold)) as u64)
    }

    /// Its lag behind the primary, as a replica.
    pub fn lag(&self, now: Time) -> Span {
        let base = MEAN_LAG.0 as f64 * (1 + 2 * (self.index % 2)) as f64;
        let phase = now.0 as f64 / LAG_PERIOD.0 as f64 * std::f64::consts::TAU;
        Span((base * (1.0 + 0.5 * (phase + self.index as f64).sin())) as u64)
    }

    /// The upper bound on its age: its lag plus the time since the last probe.
    pub fn age(&self, now: Time) -> Span {
        self.lag(now) + Span(now.0 % PROBE_INTERVAL.0)
    }
}

/// The log of a group: when each position was written.
#[derive(Debug, Default)]
pub struct Log {
    written: VecDeque<(Time, u64)>,
    applied_by_all: u64,
    end: u64,
}

/// How long log entries are kept: far longer than any lag.
const LOG_RETENTION: Span = Span::from_secs(30);

impl Log {
    /// Commits a write; returns its position.
    pub fn write(&mut self, now: Time) -> Position {
        self.end += 1;
        self.written.push_back((now, self.end));
        while let Some(&(at, end)) = self.written.front() {
            if now.since(at) < LOG_RETENTION {
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

    /// The end of the log at the time `at`.
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
