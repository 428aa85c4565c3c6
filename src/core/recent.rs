//! A least-recently-used map with a maximum number of entries.

use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

/// A bounded map that evicts the entry used longest ago.
#[derive(Debug)]
pub(crate) struct Recent<K, V> {
    limit: usize,
    clock: u64,
    entries: HashMap<K, Entry<V>>,
    order: BTreeMap<u64, K>,
}

#[derive(Debug, Serialize)]
struct Entry<V> {
    used: u64,
    value: V,
}

impl<K: Clone + Eq + Hash, V> Recent<K, V> {
    /// Holds up to `limit` entries.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            clock: 0,
            entries: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.entries.get_mut(key).map(|entry| &mut entry.value)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(key, entry)| (key, &entry.value))
    }

    /// Returns the entry of `key`, inserting one from `make` if there is none, and marks it as used
    /// last; also returns the entry that was evicted for it.
    pub fn touch(&mut self, key: &K, make: impl FnOnce() -> V) -> (&mut V, Option<(K, V)>) {
        self.clock += 1;
        let evicted = match self.entries.get_mut(key) {
            Some(entry) => {
                self.order.remove(&entry.used);
                entry.used = self.clock;
                None
            }
            None => {
                let evicted = self.evict();
                let entry = Entry {
                    used: self.clock,
                    value: make(),
                };
                self.entries.insert(key.clone(), entry);
                evicted
            }
        };
        self.order.insert(self.clock, key.clone());
        let entry = self.entries.get_mut(key).expect("inserted just now");
        (&mut entry.value, evicted)
    }

    fn evict(&mut self) -> Option<(K, V)> {
        if self.entries.len() < self.limit {
            return None;
        }
        let (_, key) = self.order.pop_first()?;
        let entry = self.entries.remove(&key)?;
        Some((key, entry.value))
    }
}
