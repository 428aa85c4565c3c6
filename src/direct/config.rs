//! The configuration and the register of databases, checked.

use crate::clock::Span;
use crate::direct::identity::Organisations;
use crate::types::{Birth, DatabaseId, Domain, GroupId, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Its version.
    pub version: Version,
    /// The routes by the database that callers name.
    pub routes: BTreeMap<Box<str>, Route>,
    /// The groups.
    pub groups: BTreeMap<GroupId, Group>,
    /// A transaction that stays idle for this long may be ended.
    pub idle: Span,
    /// The organisations, if callers need a key.
    pub organisations: Option<Organisations>,
}

/// What callers of one name get.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The group that serves them.
    pub group: GroupId,
    /// How fresh reads have to be.
    pub kind: Kind,
    /// How long a statement may take.
    pub timeout: Span,
    /// The latency objective of a whole operation.
    pub objective: Span,
    /// 0 is served first.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
}

/// How fresh reads have to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Every commit that was acknowledged before.
    Primary,
    /// Every commit that was acknowledged this long before.
    Bounded(Span),
    /// The same, and every commit of the session.
    Session(Span),
}

/// A group of databases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// How many connections each database takes, from all callers together.
    pub connections: u32,
    /// Whether a commit waits until a replica has it.
    pub durable: bool,
}

/// A database as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Database {
    /// Its id. A database that starts again under it has another birth, and nothing of before.
    pub id: DatabaseId,
    /// When it started, if it says so.
    pub born: Option<Birth>,
    /// Its group.
    pub group: GroupId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// How many statements it runs at once.
    pub slots: u32,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Whether it takes itself for the primary.
    pub primary: bool,
}
