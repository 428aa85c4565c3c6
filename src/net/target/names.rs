//! The prepared statements that one connection to a database holds.

use std::collections::HashMap;

/// How many statements a connection may hold before the one unused longest is closed. A
/// database holds a plan for each, some tens of kilobytes.
pub const LIMIT: usize = 256;

/// Names of prepared statements, with when each was used last.
#[derive(Debug, Default)]
pub struct Names {
    used: HashMap<Box<str>, u64>,
    clock: u64,
}

impl Names {
    /// Whether the connection holds `name`, which then counts as used.
    pub fn touch(&mut self, name: &str) -> bool {
        self.clock += 1;
        let clock = self.clock;
        let used = self.used.get_mut(name);
        used.map(|used| *used = clock).is_some()
    }

    /// The connection holds `name` from now on.
    pub fn insert(&mut self, name: Box<str>) {
        self.clock += 1;
        self.used.insert(name, self.clock);
    }

    /// Takes out the names unused longest, so that there is room for `more`.
    pub fn evict(&mut self, more: usize) -> Vec<Box<str>> {
        let mut evicted = Vec::new();
        while self.used.len() + more > LIMIT {
            let oldest = self.used.iter().min_by_key(|(_, used)| **used);
            let Some(name) = oldest.map(|(name, _)| name.clone()) else {
                break;
            };
            self.used.remove(&name);
            evicted.push(name);
        }
        evicted
    }

    /// How many the connection holds.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }
}
