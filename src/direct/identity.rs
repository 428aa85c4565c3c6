//! Whose a caller is: which organisation holds the key that it showed.
//!
//! **Failure answered.** A key is taken away while its callers stay connected, or was never given out.
//! **Symptom without it.** Work is run for somebody whom the configuration does not know, and a
//! database is told the wrong organisation. **Why it suffices.** Whose a session is, is decided anew
//! for each operation, by the configuration in force at that moment.
//!
//! Keys are secrets: only their hashes are kept, told to other VMs and compared. A hash says nothing
//! of a near miss, as one letter changes all of it.

use crate::direct::config::{Config, Route};
use crate::types::OrganisationId;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;

/// Bytes kept of a key's SHA-256: no two keys of any configuration share so many.
const KEPT: usize = 16;

/// Bytes of a hash that a log line shows, to tell keys from each other.
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

/// Why a text is no hash of a key. It does not show the text, which may be a key.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a key's hash: write its first {KEPT} bytes of SHA-256 in hexadecimal digits")]
pub struct NoHash;

impl TryFrom<String> for Key {
    type Error = NoHash;

    fn try_from(text: String) -> Result<Self, NoHash> {
        let mut kept = [0; KEPT];
        if text.len() != 2 * KEPT || !text.is_ascii() {
            return Err(NoHash);
        }
        for (place, byte) in kept.iter_mut().enumerate() {
            let digits = &text[2 * place..2 * place + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| NoHash)?;
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

/// What an organisation may ask for, over all VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowance {
    /// Operations a second that may go on for ever.
    pub rate: Rate,
    /// Operations that may come at once after a rest.
    pub burst: u32,
}

/// Operations a second, in thousandths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
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
    /// Who holds each key.
    pub keys: BTreeMap<Key, OrganisationId>,
    /// What each may ask for; one that is not here may ask for anything.
    pub allowances: BTreeMap<OrganisationId, Allowance>,
}

/// Whose a caller is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// Nobody's in particular: the route asks for no key.
    Anyone,
    /// An organisation's.
    Of(OrganisationId),
    /// Nobody holds the key that it showed.
    Unknown,
}

impl Identity {
    /// The organisation, if it is one's.
    pub fn organisation(&self) -> Option<&OrganisationId> {
        match self {
            Self::Of(organisation) => Some(organisation),
            Self::Anyone | Self::Unknown => None,
        }
    }
}

/// Whose a caller of `route` is that showed `key`. Where a configuration has no organisations, all
/// callers may come.
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
