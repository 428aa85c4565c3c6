//! The prepared statements of one connection to a database.

use std::collections::HashMap;

/// The maximum number of prepared statements on a connection; above it the least recently used are
/// closed. A database keeps a plan of some tens of kilobytes for each.
pub const LIMIT: usize = 256;

/// The names of prepared statements, in order of their last use.
#[derive(Debug, Default)]
pub struct Names {
    used: HashMap<Box<str>, u64>,
    clock: u64,
}

impl Names {
    /// Whether `name` is prepared on the connection; if so, marks it as used now.
    pub fn touch(&mut self, name: &str) -> bool {
        self.clock += 1;
        let clock = self.clock;
        let used = self.used.get_mut(name);
        used.map(|used| *used = clock).is_some()
    }

    /// Adds `name` as prepared on the connection.
    pub fn insert(&mut self, name: Box<str>) {
        self.clock += 1;
        self.used.insert(name, self.clock);
    }

    /// Removes and returns the least recently used names, to make room for `more` new ones.
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

    /// The number of prepared statements.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Whether no statement is prepared.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }
}
