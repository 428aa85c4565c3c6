//! How many connections a holder keeps to a database, and when it opens more.

use crate::clock::Time;
use serde::Serialize;

/// What a holder has and wants of a database's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Demand {
    /// Work that waits for a connection although it has a slot.
    pub waiting: u32,
    /// Connections that are open and idle.
    pub idle: u32,
    /// Connections that run something or hold a transaction.
    pub busy: u32,
    /// Connections being opened.
    pub opening: u32,
}

/// The growth of one pool.
#[derive(Debug, Clone, Serialize)]
pub struct Pool {
    limit: u32,
}

impl Pool {
    /// A pool to a database that accepts `limit` connections in all and runs `slots` at once.
    pub fn new(limit: u32, _slots: u32) -> Self {
        Self { limit }
    }

    /// How many connections to open now.
    pub fn grow(&mut self, _now: Time, demand: Demand) -> u32 {
        let have = demand.idle + demand.busy + demand.opening;
        let want = demand.waiting.saturating_sub(demand.idle + demand.opening);
        want.min(self.limit.saturating_sub(have))
    }

    /// How many idle connections to close now.
    pub fn shrink(&mut self, _now: Time, _demand: Demand) -> u32 {
        0
    }

    /// The database refused a connection for want of room: another holder has it.
    pub fn refused(&mut self, _now: Time) {}

    /// A connection was opened.
    pub fn opened(&mut self, _now: Time) {}

    /// When `grow` or `shrink` may give another answer without anything having happened.
    pub fn wake(&self) -> Option<Time> {
        None
    }
}
