//! Identifies callers: finds the organisation that holds the key that a caller presented.
//!
//! A key may be revoked while its callers stay connected, or may never have been issued. So the organisation
//! of a session is determined again for each operation, by the configuration in force at that moment;
//! otherwise work would run for an unknown organisation, or be attributed to the wrong one at the database.
//!
//! Keys are secrets: only their hashes are stored, sent to other VMs and compared. A hash does not reveal a
//! nearly correct key, as one letter changes all of it.

use crate::direct::config::{Config, Route};
use crate::types::OrganisationId;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;

/// Bytes of a key's SHA-256 that are stored: enough that no two keys of a configuration collide.
const KEPT: usize = 16;

/// Bytes of a hash that log lines show, to distinguish keys.
const SHOWN: usize = 4;

/// A caller's key, as its hash.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key([u8; KEPT]);

impl Key {
    /// The hash of a key.
    pub fn of(secret: &str) -> Self {
        let digest = Sha256::digest(secret.as_bytes());
        let mut kept = [0; KEPT];
        kept.copy_from_slice(&digest[..KEPT]);
        Self(kept)
    }
}

/// The error for a text that is not a key's hash. It omits the text, which may be a key.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a key's hash: write its first {KEPT} bytes of SHA-256 in hexadecimal digits")]
pub struct InvalidHash;

impl TryFrom<String> for Key {
    type Error = InvalidHash;

    fn try_from(text: String) -> Result<Self, InvalidHash> {
        let mut kept = [0; KEPT];
        if text.len() != 2 * KEPT || !text.is_ascii() {
            return Err(InvalidHash);
        }
        for (index, byte) in kept.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidHash)?;
        }
        Ok(Self(kept))
    }
}

impl From<Key> for String {
    fn from(key: Key) -> String {
        key.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..SHOWN]
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({self})")
    }
}

/// The rate limit of an organisation, over all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowance {
    /// Operations a second that are allowed permanently.
    pub rate: Rate,
    /// Operations that are allowed at once after a pause.
    pub burst: u32,
}

/// Operations a second, in thousandths.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rate(pub u64);

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}/s", self.0 / 1_000, self.0 % 1_000)
    }
}

/// The organisations of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisations {
    /// The organisation that holds each key.
    pub keys: BTreeMap<Key, OrganisationId>,
    /// The allowance of each organisation; one that is not listed is not limited.
    pub allowances: BTreeMap<OrganisationId, Allowance>,
}

/// The identity of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// Any caller: the route requires no key.
    Anyone,
    /// A caller of an organisation.
    Of(OrganisationId),
    /// No organisation holds the key that the caller presented.
    Unknown,
}

impl Identity {
    /// The caller's organisation, if it has one.
    pub fn organisation(&self) -> Option<&OrganisationId> {
        match self {
            Self::Of(organisation) => Some(organisation),
            Self::Anyone | Self::Unknown => None,
        }
    }
}

/// The identity of a caller of `route` that presented `key`. If a configuration has no organisations, all
/// callers are admitted.
pub fn identify(config: &Config, route: &Route, key: &Key) -> Identity {
    let Some(organisations) = &config.organisations else {
        return Identity::Anyone;
    };
    match organisations.keys.get(key) {
        Some(organisation) => Identity::Of(organisation.clone()),
        None if route.public => Identity::Anyone,
        None => Identity::Unknown,
    }
}
