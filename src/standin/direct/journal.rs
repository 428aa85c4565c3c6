//! The events at the databases, against which callers' answers are checked.

use crate::types::{DatabaseId, GroupId, Position, Term, VmId};
use bytes::Bytes;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::time::Instant;

/// One statement that a database ran.
#[derive(Debug, Clone)]
pub struct Run {
    /// The statement's id.
    pub id: Box<str>,
    /// Its text as received.
    pub text: Box<str>,
    /// The database that ran it.
    pub database: DatabaseId,
    /// The group.
    pub group: GroupId,
    /// The connection's number.
    pub connection: u64,
    /// The organisation for which the connection was opened.
    pub organisation: Box<str>,
    /// The transaction's number, unique in the world; `None` outside a transaction.
    pub transaction: Option<u64>,
    /// The session's settings.
    pub values: BTreeMap<Box<str>, Box<str>>,
    /// The shape of the prepared statement that was run.
    pub shape: Option<Box<str>>,
    /// The log position that a read saw.
    pub saw: Position,
    /// Whether the database considered itself the primary.
    pub primary: bool,
    /// When it ran.
    pub at: Instant,
    /// The signature of this run, unique in the world, which the answer returns.
    pub signature: Box<str>,
    /// The rows that it returned.
    pub rows: Vec<Bytes>,
    /// The number of the commit that it made.
    pub commit: Option<u64>,
}

/// One commit with writes.
#[derive(Debug, Clone)]
pub struct Commit {
    /// The group.
    pub group: GroupId,
    /// The database that committed it.
    pub database: DatabaseId,
    /// The commit's position in the log.
    pub position: Position,
    /// The writes of the commit.
    pub writes: Vec<Write>,
    /// When it was committed.
    pub at: Instant,
    /// Whether its acknowledgement waited until a replica had received it.
    pub durable: bool,
    /// Whether another database had been promoted already.
    pub replaced: bool,
    /// When a promotion lost it.
    pub lost: Option<Instant>,
}

/// One write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The statement's id.
    pub id: Box<str>,
    /// The item that was written.
    pub item: Box<str>,
    /// The data that was written.
    pub data: Box<str>,
}

/// An order to promote that arrived.
#[derive(Debug, Clone)]
pub struct Ordered {
    /// The VM that gave it.
    pub holder: crate::types::VmId,
    /// The fencing token.
    pub token: u64,
    /// The group whose primary is to be replaced.
    pub group: GroupId,
    /// The database to promote.
    pub database: DatabaseId,
    /// When it arrived.
    pub at: Instant,
}

/// A completed promotion.
#[derive(Debug, Clone)]
pub struct Failover {
    /// The group.
    pub group: GroupId,
    /// The new primary.
    pub database: DatabaseId,
    /// When it took over.
    pub at: Instant,
}

/// All events of a world.
#[derive(Debug, Default)]
pub struct Events {
    /// Statements that ran, in order.
    pub runs: Vec<Run>,
    /// Commits with writes, in order of their numbers.
    pub commits: Vec<Commit>,
    /// How many earlier commits were discarded.
    pub forgotten: u64,
    /// The last position before each term of a group.
    pub begun: BTreeMap<(GroupId, Term), Position>,
    /// Orders to promote, as they arrived.
    pub orders: Vec<Ordered>,
    /// Completed promotions, in order.
    pub failovers: Vec<Failover>,
    /// How often each VM connected to each database.
    pub openings: BTreeMap<(DatabaseId, VmId), u64>,
    /// The last number given to a connection, transaction or run.
    pub last_number: u64,
}

/// The events, shared by all databases.
pub type Journal = Rc<RefCell<Events>>;

impl Events {
    /// Returns a commit by its number, unless it was discarded.
    pub fn commit(&self, number: u64) -> Option<&Commit> {
        let index = number.checked_sub(self.forgotten)?;
        self.commits.get(usize::try_from(index).ok()?)
    }

    /// Records a commit, and the position before it if it is the first of its term. Returns its
    /// number.
    pub fn record_commit(&mut self, commit: Commit, before: Position) -> u64 {
        let term = (commit.group.clone(), commit.position.term);
        self.begun.entry(term).or_insert(before);
        self.commits.push(commit);
        self.forgotten + self.commits.len() as u64 - 1
    }

    /// Whether the log that ends at position `log` contains the entry at position `entry`.
    pub fn contains(&self, group: &GroupId, mut log: Position, entry: Position) -> bool {
        while log.term > entry.term {
            match self.begun.get(&(group.clone(), log.term)) {
                Some(before) => log = *before,
                None => return false,
            }
        }
        log.term == entry.term && log.offset >= entry.offset
    }

    /// Discards commits, orders and promotions from before a moment.
    pub fn forget(&mut self, before: Instant) {
        let gone = self.commits.partition_point(|commit| commit.at < before);
        self.commits.drain(..gone);
        self.forgotten += gone as u64;
        self.orders.retain(|order| order.at >= before);
        self.failovers.retain(|failover| failover.at >= before);
    }

    /// Returns the next unique number.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
