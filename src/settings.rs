//! The settings of one process: its VM, its listening addresses and the platform's addresses.
//!
//! They are read at the start. Everything that operators change at run time is in the
//! configuration document (`config`).

use crate::clock::Span;
use crate::jsonc::{self, Fault};
use crate::token::Key;
use crate::types::{Cores, Domain, VmId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;

/// The least time for a planned stop, in which the balancer detects it and callers move to other VMs.
const MIN_GRACE: Span = Span::from_secs(3);

/// The settings of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This VM's name in the platform's list.
    pub vm: VmId,
    /// The failure domain it runs in.
    pub domain: Domain,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for other proxies; connections to them come from its IP.
    pub peers: SocketAddr,
    /// Listening address for operators: metrics, dumps and changes of the configuration.
    pub admin: SocketAddr,
    /// Addresses of the platform's services; the first one that answers is used.
    pub platform: Vec<SocketAddr>,
    /// The least important level that is logged.
    #[serde(default)]
    pub log: Level,
    /// The key that signs session tokens, the same on every VM. Absent: no tokens are issued.
    #[serde(default)]
    pub token_key: Option<Box<str>>,
    /// Limits on what the process accepts.
    #[serde(default)]
    pub limits: Limits,
    /// Settings of direct access, for sites where the platform replaces primaries.
    #[serde(default)]
    pub direct: Option<Direct>,
}

/// The settings of direct access.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Direct {
    /// Listening address for the balancer's readiness checks.
    pub ready: SocketAddr,
    /// Listening address for statements that this VM relays to databases for other VMs. Absent: it
    /// relays none.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
    /// Address to which orders to promote a database are sent.
    pub orders: SocketAddr,
    /// The `peers` addresses of some VMs; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// The region of each failure domain.
    pub regions: BTreeMap<Domain, Box<str>>,
    /// How long a planned stop may take.
    pub grace: Span,
    /// How many file descriptors the process may have open.
    pub descriptors: u32,
    /// The number of processor cores of this VM. Absent: unknown, and other VMs are preferred.
    #[serde(default)]
    pub cores: Cores,
}

/// How much is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Faults that stop service.
    Error,
    /// Conditions that need an operator's attention.
    Warn,
    /// Changes of state, such as a new primary.
    #[default]
    Info,
    /// Decisions.
    Debug,
    /// Messages sent and received.
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

/// Limits on what a process accepts, so that its memory stays bounded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The most connections of callers.
    pub connections: u32,
}

impl Default for Limits {
    /// A node's share of 1.9 million connections on 580 nodes is 3,280. Three times as many lets the
    /// callers of a lost failure domain move to the others.
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
        if self.grace < MIN_GRACE {
            let message = format!("a planned stop takes {MIN_GRACE} at least: write more");
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
