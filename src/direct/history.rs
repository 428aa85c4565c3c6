//! Recent changes of a list that is sent to other VMs, so that VMs with an older state get only those.
//!
//! When one entry changes in a list of hundreds of VMs, databases or primaries, every VM gets the change
//! with its next heartbeat. Sending the whole list to each would be 70 MB per change with 300 VMs and 700
//! groups, over a link of 10 Mbit/s: answers would be late, VMs would count as silent, and that changes
//! the list again. The last [`MAX_STEPS`] changes are kept, some seconds of a rolling restart; a VM with an
//! older state has been disconnected.

use std::collections::{BTreeSet, VecDeque};

/// The most changes that are kept, and the most entries that they may name in total.
const MAX_STEPS: usize = 64;
const MAX_NAMED_ENTRIES: usize = 2_048;

/// The last changes of a list, identified by the digest of the list before each.
#[derive(Debug, Clone)]
pub struct History<K> {
    steps: VecDeque<Step<K>>,
    named: usize,
}

/// One change.
#[derive(Debug, Clone)]
struct Step<K> {
    /// The digest of the list before the change.
    before: u64,
    /// The keys of the entries that were added, removed or changed.
    changed: Vec<K>,
}

impl<K> Default for History<K> {
    fn default() -> Self {
        Self {
            steps: VecDeque::new(),
            named: 0,
        }
    }
}

impl<K: Ord + Clone> History<K> {
    /// Records that the list with the digest `before` has changed in these entries.
    pub fn note(&mut self, before: u64, changed: Vec<K>) {
        self.named += changed.len();
        self.steps.push_back(Step { before, changed });
        while self.steps.len() > MAX_STEPS || self.named > MAX_NAMED_ENTRIES {
            let Some(oldest) = self.steps.pop_front() else {
                return;
            };
            self.named -= oldest.changed.len();
        }
    }

    /// The entries that changed since the list had this digest; none if that state is not known.
    pub fn since(&self, digest: u64) -> Option<BTreeSet<K>> {
        let steps = self.steps.iter();
        let known = steps.rev().position(|step| step.before == digest)?;
        let steps = self.steps.iter().rev().take(known + 1);
        Some(steps.flat_map(|step| &step.changed).cloned().collect())
    }
}
