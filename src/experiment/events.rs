//! The events of a simulation, in order of their times.

use crate::clock::Time;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Scheduled events; those of the same time happen in the order in which they were scheduled.
#[derive(Debug)]
pub struct Events<E> {
    order: BinaryHeap<Reverse<(Time, u64)>>,
    scheduled: BTreeMap<u64, E>,
    sequence: u64,
}

impl<E> Default for Events<E> {
    fn default() -> Self {
        Self {
            order: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            sequence: 0,
        }
    }
}

impl<E> Events<E> {
    /// Schedules an event.
    pub fn schedule(&mut self, at: Time, event: E) {
        self.sequence += 1;
        self.order.push(Reverse((at, self.sequence)));
        self.scheduled.insert(self.sequence, event);
    }

    /// Removes the next event.
    pub fn pop(&mut self) -> Option<(Time, E)> {
        let Reverse((at, sequence)) = self.order.pop()?;
        let event = self.scheduled.remove(&sequence)?;
        Some((at, event))
    }
}
