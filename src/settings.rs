//! The settings of one process: who it is, where it listens, and where the platform is.
//!
//! They are read at the start. All that operators change while it runs is in the configuration
//! document (`config`).

use crate::clock::Span;
use crate::jsonc::{self, Fault};
use crate::token::Key;
use crate::types::{Cores, Domain, VmId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;

/// The least time for a planned stop: the balancer has to notice, and callers to go elsewhere.
const GRACE_LEAST: Span = Span::from_secs(3);

/// The settings of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This VM's name in the platform's list.
    pub vm: VmId,
    /// The failure domain it runs in.
    pub domain: Domain,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other proxies connect.
    pub peers: SocketAddr,
    /// Where operators fetch metrics and dumps, and apply configurations.
    pub admin: SocketAddr,
    /// Where the platform's services listen; the first that answers is asked.
    pub platform: Vec<SocketAddr>,
    /// What is logged.
    #[serde(default)]
    pub log: Level,
    /// Signs session tokens, the same on every VM. Absent: no tokens are given out.
    #[serde(default)]
    pub token_key: Option<Box<str>>,
    /// What the process takes on at most.
    #[serde(default)]
    pub limits: Limits,
    /// Where the platform replaces primaries: what direct access needs.
    #[serde(default)]
    pub direct: Option<Direct>,
}

/// The settings of direct access.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Direct {
    /// Where the balancer asks whether callers may come.
    pub ready: SocketAddr,
    /// Where this VM relays other VMs' statements to databases. Absent: it relays none.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
    /// Where orders to promote a database go.
    pub orders: SocketAddr,
    /// `peers` of some VMs; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// The region of each failure domain.
    pub regions: BTreeMap<Domain, Box<str>>,
    /// How long a planned stop may take.
    pub grace: Span,
    /// How many descriptors the process may have open.
    pub descriptors: u32,
    /// The processor that this VM has. Absent: it is not known, and others come first.
    #[serde(default)]
    pub cores: Cores,
}

/// How much is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// What stops service.
    Error,
    /// What needs a look.
    Warn,
    /// Changes of state, such as a new primary.
    #[default]
    Info,
    /// Decisions.
    Debug,
    /// Messages.
    Trace,
}

impl From<Level> for log::LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
            Level::Trace => Self::Trace,
        }
    }
}

/// What a process takes on at most, so that its memory stays bounded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Callers' connections.
    pub connections: u32,
}

impl Default for Limits {
    /// A node's share of 1.9 million connections on 580 nodes is 3,280; three times that lets a
    /// failure domain's callers move to the others.
    fn default() -> Self {
        Self {
            connections: 10_000,
        }
    }
}

impl Settings {
    /// The key for session tokens, if one is set.
    pub fn key(&self) -> Option<Key> {
        self.token_key.as_deref()?.parse().ok()
    }

    fn check(&self) -> Result<(), Fault> {
        let mut listens = vec![
            ("callers", self.callers),
            ("peers", self.peers),
            ("admin", self.admin),
        ];
        if let Some(direct) = &self.direct {
            listens.push(("direct.ready", direct.ready));
            listens.extend(direct.relay.map(|relay| ("direct.relay", relay)));
        }
        let mut taken = BTreeMap::new();
        for (key, address) in listens {
            if let Some(other) = taken.insert(address, key)
                && address.port() != 0
            {
                let message = format!("`{other}` listens on {address} too: give each its own port");
                return Err(Fault::new(key.split('.'), message));
            }
        }
        if self.peers.ip().is_unspecified() {
            let message = "other proxies connect from this address, too: write the VM's own IP";
            return Err(Fault::new(["peers"], message));
        }
        if self.platform.is_empty() {
            let message = "there is no address of the platform: write at least one IP:PORT";
            return Err(Fault::new(["platform"], message));
        }
        if let Some(direct) = &self.direct {
            direct.check()?;
        }
        if let Some(Err(invalid)) = self.token_key.as_deref().map(Key::from_str) {
            return Err(Fault::new(["token_key"], invalid.to_string()));
        }
        if self.limits.connections == 0 {
            let message = "0 would turn everyone away: leave it out for the default";
            return Err(Fault::new(["limits", "connections"], message));
        }
        Ok(())
    }
}

impl Direct {
    fn check(&self) -> Result<(), Fault> {
        if self.grace < GRACE_LEAST {
            let message = format!("a planned stop takes {GRACE_LEAST} at least: write more");
            return Err(Fault::new(["direct", "grace"], message));
        }
        Ok(())
    }
}

impl FromStr for Settings {
    type Err = jsonc::Error;

    fn from_str(text: &str) -> Result<Self, jsonc::Error> {
        jsonc::read(text, Settings::check)
    }
}
