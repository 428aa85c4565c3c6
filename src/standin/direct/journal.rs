//! What really happened at the databases, against which callers' answers are checked.

use crate::types::{DatabaseId, GroupId, Position, Term, VmId};
use bytes::Bytes;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::time::Instant;

/// One statement that a database ran.
#[derive(Debug, Clone)]
pub struct Run {
    /// Its id.
    pub id: Box<str>,
    /// Its text as it came.
    pub text: Box<str>,
    /// At which database.
    pub database: DatabaseId,
    /// Of which group.
    pub group: GroupId,
    /// On which connection.
    pub connection: u64,
    /// On whose behalf that was opened.
    pub organisation: Box<str>,
    /// In which transaction of all; none outside one.
    pub transaction: Option<u64>,
    /// The session's values.
    pub values: BTreeMap<Box<str>, Box<str>>,
    /// The shape of the prepared statement that was run.
    pub shape: Option<Box<str>>,
    /// How far the log was that it saw.
    pub saw: Position,
    /// Whether the database took itself for the primary.
    pub primary: bool,
    /// When it was run.
    pub at: Instant,
    /// The signature.
    pub signature: Box<str>,
    /// The rows.
    pub rows: Vec<Bytes>,
    /// The commit that it made.
    pub commit: Option<u64>,
}

/// One commit that wrote.
#[derive(Debug, Clone)]
pub struct Commit {
    /// In which group.
    pub group: GroupId,
    /// At which database.
    pub database: DatabaseId,
    /// Where in its log.
    pub position: Position,
    /// The ids of the writes, and what they wrote.
    pub writes: Vec<Write>,
    /// When.
    pub at: Instant,
    /// Whether another database led already.
    pub replaced: bool,
    /// Since when it is lost, by a promotion.
    pub lost: Option<Instant>,
}

/// One write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The statement's id.
    pub id: Box<str>,
    /// What was written.
    pub item: Box<str>,
    /// Its data.
    pub data: Box<str>,
}

/// An order to promote that arrived.
#[derive(Debug, Clone)]
pub struct Ordered {
    /// Who gave it.
    pub holder: crate::types::VmId,
    /// Under which token.
    pub token: u64,
    /// Which group.
    pub group: GroupId,
    /// Who shall lead.
    pub database: DatabaseId,
    /// When it arrived.
    pub at: Instant,
}

/// A primary that has taken over.
#[derive(Debug, Clone)]
pub struct Reign {
    /// Of which group.
    pub group: GroupId,
    /// Who leads.
    pub database: DatabaseId,
    /// Since when.
    pub at: Instant,
}

/// All that happened.
#[derive(Debug, Default)]
pub struct Book {
    /// Statements that ran, in order.
    pub runs: Vec<Run>,
    /// Commits that wrote, by their numbers.
    pub commits: Vec<Commit>,
    /// How many commits before those were forgotten.
    pub forgotten: u64,
    /// What each term of a group began on.
    pub begun: BTreeMap<(GroupId, Term), Position>,
    /// Orders, in order.
    pub orders: Vec<Ordered>,
    /// Changes of primary, in order.
    pub reigns: Vec<Reign>,
    /// How often each VM connected to each database.
    pub openings: BTreeMap<(DatabaseId, VmId), u64>,
    /// Ids of connections and transactions given out.
    pub given: u64,
}

/// The journal as all databases write it.
pub type Journal = Rc<RefCell<Book>>;

impl Book {
    /// A commit by its number, unless it was forgotten.
    pub fn commit(&self, number: u64) -> Option<&Commit> {
        let index = number.checked_sub(self.forgotten)?;
        self.commits.get(usize::try_from(index).ok()?)
    }

    /// Notes a commit, and what its term began on if it is the first of it.
    pub fn committed(&mut self, commit: Commit, before: Position) -> u64 {
        let term = (commit.group.clone(), commit.position.term);
        self.begun.entry(term).or_insert(before);
        self.commits.push(commit);
        self.forgotten + self.commits.len() as u64 - 1
    }

    /// Whether the log that ends at one position has the entry at another.
    pub fn contains(&self, group: &GroupId, mut log: Position, entry: Position) -> bool {
        while log.term > entry.term {
            match self.begun.get(&(group.clone(), log.term)) {
                Some(before) => log = *before,
                None => return false,
            }
        }
        log.term == entry.term && log.offset >= entry.offset
    }

    /// Forgets commits, orders and changes of primary from before a moment.
    pub fn forget(&mut self, before: Instant) {
        let gone = self.commits.partition_point(|commit| commit.at < before);
        self.commits.drain(..gone);
        self.forgotten += gone as u64;
        self.orders.retain(|order| order.at >= before);
        self.reigns.retain(|reign| reign.at >= before);
    }

    /// The next number.
    pub fn number(&mut self) -> u64 {
        self.given += 1;
        self.given
    }
}
