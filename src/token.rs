//! The session token: an opaque text with which a caller passes its floors to another proxy.
//!
//! A token is never needed for correctness, and can only raise a floor: a proxy uses the higher of
//! the floor it has and the one in the token. Without the message authentication code (MAC), a forged
//! token could raise a floor past the log's end, so that reads wait in vain, and a damaged one could
//! lack a floor that the caller relies on. Both are refused instead.

use crate::types::{GroupId, Position};
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// The key with which every proxy of a deployment signs tokens, from the settings.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

/// The floors of one session: for each group, the end position of its last known write.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Token {
    floors: BTreeMap<GroupId, Position>,
}

/// Why a key or a token is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// The key is too short to be safe.
    #[error("the token key is too short: use at least 16 bytes of random text")]
    Key,
    /// The text is too long.
    #[error("the session token is too long: show the last one received, unchanged")]
    Long,
    /// The text is not a token, was truncated or changed, or was signed with another key.
    #[error("the session token is damaged or was made under another key: leave it out")]
    Damaged,
}

/// The shortest key, in bytes: half of the MAC's strength.
const MIN_KEY_LENGTH: usize = 16;
/// The longest text of a token, in bytes: enough for about forty groups with long names.
const TEXT_LIMIT: usize = 4 * 1024;
/// The length of the MAC at the end of a token, in bytes.
const MAC_LENGTH: usize = 32;
/// The first byte of a token, which identifies its format; a new format takes another number.
const FORMAT: u8 = 1;

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

impl FromStr for Key {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        if text.len() < MIN_KEY_LENGTH {
            return Err(Invalid::Key);
        }
        let mac = Hmac::new_from_slice(text.as_bytes()).map_err(|_| Invalid::Key)?;
        Ok(Self(mac))
    }
}

impl Token {
    /// The floor in `group`, if the session wrote there.
    pub fn floor(&self, group: &GroupId) -> Option<Position> {
        self.floors.get(group).copied()
    }

    /// Raises the floor in `group` to `floor`; a lower one changes nothing.
    pub fn raise(&mut self, group: &GroupId, floor: Position) {
        match self.floors.get_mut(group) {
            Some(current) => *current = floor.max(*current),
            None => {
                self.floors.insert(group.clone(), floor);
            }
        }
    }

    /// The signed text that is sent to the caller.
    pub fn sign(&self, key: &Key) -> String {
        let mut bytes = vec![FORMAT];
        bytes.extend(postcard::to_stdvec(&self.floors).unwrap_or_default());
        let mac = compute_mac(key, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&mac);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Parses a text from a caller and checks its MAC.
    pub fn verify(text: &str, key: &Key) -> Result<Self, Invalid> {
        if text.len() > TEXT_LIMIT {
            return Err(Invalid::Long);
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| Invalid::Damaged)?;
        let (signed, mac) = bytes
            .split_last_chunk::<MAC_LENGTH>()
            .ok_or(Invalid::Damaged)?;
        compute_mac(key, signed)
            .verify_slice(mac)
            .map_err(|_| Invalid::Damaged)?;
        let (format, floors) = signed.split_first().ok_or(Invalid::Damaged)?;
        if *format != FORMAT {
            return Err(Invalid::Damaged);
        }
        let floors = postcard::from_bytes(floors).map_err(|_| Invalid::Damaged)?;
        Ok(Self { floors })
    }
}

fn compute_mac(key: &Key, bytes: &[u8]) -> Hmac<Sha256> {
    let mut mac = key.0.clone();
    mac.update(bytes);
    mac
}
