//! The configuration document that operators write: groups, databases, pools and timing.
//!
//! A document is checked and put in force as a whole. Its text is JSON with comments.

mod check;
pub mod diff;
mod file;
mod pack;

pub use file::File;
pub use pack::{Damaged, SIZE_LIMIT};

use crate::clock::Span;
use crate::jsonc::{self, Fault};
use crate::types::{CallerId, DatabaseId, Domain, GroupId, PoolId, Term, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;

/// One whole configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The target groups by name.
    pub groups: BTreeMap<GroupId, Group>,
    /// The connection pools by name.
    pub pools: BTreeMap<PoolId, Pool>,
    /// The timing of failure detection, acknowledgement and waiting.
    #[serde(default)]
    pub timing: Timing,
}

impl Document {
    /// Checks what deserialization does not: conflicting and impossible values.
    pub fn check(&self) -> Result<(), Fault> {
        check::document(self)
    }

    /// Checks that this document may replace `before` in one step: a group's members change by
    /// one database at a time.
    pub fn check_step(&self, before: &Document) -> Result<(), Fault> {
        check::step(before, self)
    }

    /// All databases, each with its group.
    pub fn databases(&self) -> impl Iterator<Item = (&GroupId, &DatabaseId, &Database)> {
        self.groups.iter().flat_map(|(group, members)| {
            members
                .databases
                .iter()
                .map(move |(id, database)| (group, id, database))
        })
    }
}

impl FromStr for Document {
    type Err = jsonc::Error;

    fn from_str(text: &str) -> Result<Self, jsonc::Error> {
        jsonc::read(text, Document::check)
    }
}

/// A document and the version under which it was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Increases by one with each accepted document.
    pub version: Version,
    /// The document itself.
    pub document: Document,
}

/// Databases that replicate one log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The databases by name; a majority of them decides on terms.
    pub databases: BTreeMap<DatabaseId, Database>,
}

/// One database and its capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Its listening address; host names are not accepted.
    pub address: SocketAddr,
    /// The failure domain it runs in.
    pub domain: Domain,
    /// How many statements it may run at once.
    pub slots: u32,
    /// How many connections it accepts; at least `slots`.
    pub connections: u32,
    /// Set by the operator before the database is removed: it gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// The rules under which some callers use some groups.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The groups it reaches.
    pub groups: Vec<GroupId>,
    /// The callers it serves; the one pool of a group without this list serves the rest.
    #[serde(default)]
    pub callers: Vec<CallerId>,
    /// When a write is acknowledged.
    #[serde(default)]
    pub durability: Durability,
    /// How old a read may be unless the caller sets it. Absent: as new as the session's writes.
    #[serde(default)]
    pub max_age: Option<Span>,
    /// The timeout of a request in all, after which its caller no longer needs the answer.
    #[serde(default = "default_patience")]
    pub patience: Span,
    /// Whether its statements run long, such as a reconciliation at night.
    #[serde(default)]
    pub long: bool,
}

/// When a write is acknowledged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Durability {
    /// Once a majority of the group's databases has it in its log.
    #[default]
    Majority,
    /// Once the primary has it. A failover may lose it, and then the session gets an error.
    Primary,
}

/// Timing of the protocol between proxies and databases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// The interval between two probes of a database.
    pub probe: Span,
    /// The acknowledgement window W: how long a confirmed term is valid, from its probe's start.
    pub window: Span,
    /// How long a primary or a steward may be silent before it is suspected to have failed.
    pub suspicion: Span,
    /// The least time between two promotions of a group.
    pub damping: Span,
    /// How long a read waits for a replica that is behind its floor.
    pub catch_up: Span,
    /// How long a statement may stay without an answer before its connection is closed.
    pub answer: Span,
    /// How long a transaction may be idle before it is rolled back.
    pub idle_transaction: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe: Span::from_millis(200),
            window: Span::from_millis(600),
            suspicion: Span::from_millis(800),
            damping: Span::from_secs(10),
            catch_up: Span::from_millis(50),
            answer: Span::from_secs(5),
            idle_transaction: Span::from_secs(30),
        }
    }
}

fn default_patience() -> Span {
    Span::from_secs(5)
}

/// The first term of a group that was never promoted.
pub const FIRST_TERM: Term = Term(1);
