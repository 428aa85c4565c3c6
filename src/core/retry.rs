//! How many retries a proxy may add to its callers' load.

use crate::clock::Time;
use serde::Serialize;

/// A budget of retries, paid in by first tries.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Budget {
    tokens: u64,
}

impl Budget {
    /// A first try was made.
    pub fn deposit(&mut self, _now: Time) {
        self.tokens += 1;
    }

    /// Whether one retry may be made now; it is paid for if so.
    pub fn withdraw(&mut self, _now: Time) -> bool {
        match self.tokens.checked_sub(1) {
            Some(rest) => {
                self.tokens = rest;
                true
            }
            None => false,
        }
    }
}
