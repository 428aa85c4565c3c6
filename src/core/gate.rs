//! What one database lets in: admission, the queue, and its slots.

use crate::clock::{Span, Time};
use crate::core::request::{Cause, Class, NotRun};
use crate::types::{CallerId, RequestId};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// Work that asks for a slot of a database.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Item {
    /// The holder's own number for the work.
    pub request: RequestId,
    /// Whose it is.
    pub caller: CallerId,
    /// Its place among other work.
    pub class: Class,
    /// When its caller has no more use for it.
    pub deadline: Time,
}

/// The queue and slots of one database.
#[derive(Debug, Clone, Serialize)]
pub struct Gate {
    slots: u32,
    queue: VecDeque<Item>,
    running: BTreeMap<RequestId, Item>,
}

impl Gate {
    /// A gate to a database that runs `slots` statements at once.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            queue: VecDeque::new(),
            running: BTreeMap::new(),
        }
    }

    /// The configuration changed the number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Lets `item` wait, or turns it away at once and says when to come back.
    pub fn offer(&mut self, now: Time, item: Item) -> Result<(), NotRun> {
        if item.deadline <= now {
            return Err(NotRun {
                cause: Cause::Expired,
                retry_after: Span::ZERO,
            });
        }
        self.queue.push_back(item);
        Ok(())
    }

    /// Takes the work that is to run next, if a slot is free for it; it then counts as running.
    pub fn next(&mut self, _now: Time) -> Option<Item> {
        if self.running.len() >= self.slots as usize {
            return None;
        }
        let item = self.queue.pop_front()?;
        self.running.insert(item.request, item.clone());
        Some(item)
    }

    /// `request` left its slot at `now`, with or without an answer.
    pub fn finish(&mut self, _now: Time, request: RequestId) {
        self.running.remove(&request);
    }

    /// Takes out waiting work whose deadline has passed, or that will not be served in time.
    pub fn expire(&mut self, now: Time) -> Vec<Item> {
        let (late, rest) = self.queue.drain(..).partition(|item| item.deadline <= now);
        self.queue = rest;
        Vec::from(late as VecDeque<Item>)
    }

    /// Takes out waiting work that nobody wants any more.
    pub fn remove(&mut self, request: RequestId) -> Option<Item> {
        let index = self.queue.iter().position(|item| item.request == request)?;
        self.queue.remove(index)
    }

    /// How long work offered now would wait.
    pub fn wait(&self, _now: Time) -> Span {
        Span::ZERO
    }

    /// When the earliest waiting work expires.
    pub fn wake(&self) -> Option<Time> {
        self.queue.iter().map(|item| item.deadline).min()
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// How many run.
    pub fn running(&self) -> usize {
        self.running.len()
    }
}
