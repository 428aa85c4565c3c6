//! What changed of a list that is told to other VMs, so that whoever knew it before is told that alone.
//!
//! **Pattern answered.** A list of hundreds of VMs, databases or primaries changes in one place, and
//! each VM that knew it hears of that with its next heartbeat. **Without it** each is told all of the
//! list: 300 VMs and 700 groups are 70 MB a change, while the VM that tells has a link of 10 Mbit/s; it
//! answers late, so that VMs count as silent, which changes the list. **Thresholds.** The last
//! [`STEPS`] changes are known, some seconds of a rolling restart; a VM that knows less has been away.

use std::collections::{BTreeSet, VecDeque};

/// How many changes are remembered, and how many entries these may name together.
const STEPS: usize = 64;
const MOST: usize = 2_048;

/// The last changes of a list, by the digests of its states.
#[derive(Debug, Clone)]
pub struct History<K> {
    steps: VecDeque<Step<K>>,
    named: usize,
}

/// One change.
#[derive(Debug, Clone)]
struct Step<K> {
    /// What stood for the list before it.
    before: u64,
    /// The entries that came, went or changed.
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
    /// The list for which `before` stands has changed in these entries.
    pub fn note(&mut self, before: u64, changed: Vec<K>) {
        self.named += changed.len();
        self.steps.push_back(Step { before, changed });
        while self.steps.len() > STEPS || self.named > MOST {
            let Some(oldest) = self.steps.pop_front() else {
                return;
            };
            self.named -= oldest.changed.len();
        }
    }

    /// The entries that have changed since `digest` stood for the list; none if that is not known.
    pub fn since(&self, digest: u64) -> Option<BTreeSet<K>> {
        let steps = self.steps.iter();
        let known = steps.rev().position(|step| step.before == digest)?;
        let steps = self.steps.iter().rev().take(known + 1);
        Some(steps.flat_map(|step| &step.changed).cloned().collect())
    }
}
