//! The configuration and the entries of the register of databases, after validation.

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
    /// The routes, by the database name that callers use.
    pub routes: BTreeMap<Box<str>, Route>,
    /// The groups.
    pub groups: BTreeMap<GroupId, Group>,
    /// How long a transaction may stay idle before it may be ended.
    pub idle: Span,
    /// The organisations; `None` if callers need no key.
    pub organisations: Option<Organisations>,
}

/// The group and service level of callers that use one database name.
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
    /// The priority; 0 is served first.
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
    /// As `Bounded`, and every commit of the session.
    Session(Span),
}

/// A group of databases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// How many connections each database accepts, from all callers together.
    pub connections: u32,
    /// Whether a commit waits until a replica has received it.
    pub durable: bool,
}

/// A database as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Database {
    /// Its id. A database that starts again under the same id has another birth and none of its earlier data.
    pub id: DatabaseId,
    /// When it started, if it states that.
    pub born: Option<Birth>,
    /// Its group.
    pub group: GroupId,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// How many statements it runs concurrently.
    pub slots: u32,
    /// Whether it is about to shut down.
    pub leaving: bool,
    /// Whether it claims to be the primary.
    pub primary: bool,
}
