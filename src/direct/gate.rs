//! How many statements this VM has in flight at one database, and which waits for how long.
//!
//! **Pattern answered.** A database runs few statements at once, and every VM sends it some: bursts
//! of one VM's callers, saturation, and urgent statements among others.
//! **Without it** all of a burst is sent at once, waits inside the database, where neither
//! priorities nor latency objectives are known, and late answers are earned by nobody.
//!
//! The statements in flight are bounded by the database's slots. A refusal for being busy
//! means that other VMs have the slots: the bound halves, and grows by one for each full round of
//! answers, as congestion control does. Work that would wait longer than its bound, by the time that
//! statements take of late, is refused at once with when to come back.

use crate::clock::{Span, Time};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A statement's time before the first answer: what the sites' short statements take.
const UNKNOWN: Span = Span::from_millis(15);

/// Weight of a new sample in the typical time: a database that turned slow is known after ten.
const WEIGHT: u64 = 8;

/// What remains of the bound after a refusal.
const CUT: f64 = 0.5;

/// Refusals closer together than this tell of the same crowd, and cut the bound once.
const SAME_CROWD: Span = Span::from_millis(50);

/// The least time to tell a caller to stay away: less than a statement's time gains nothing.
const LEAST_RETRY: Span = Span::from_millis(20);

/// Before which others work goes; less is sooner.
pub type Urgency = u8;

/// The urgency of the statements of an open transaction: it holds a connection all along.
pub const OPEN: Urgency = 0;

#[derive(Debug)]
struct Inner {
    slots: u32,
    allowed: f64,
    running: u32,
    turn: u64,
    waiting: BTreeMap<(Urgency, u64), oneshot::Sender<Permit>>,
    typical: Span,
    cut_at: Time,
}

/// The bound of one database.
#[derive(Debug, Clone)]
pub struct Gate(Rc<RefCell<Inner>>);

/// Leave to have one statement in flight; given back when dropped.
#[derive(Debug)]
pub struct Permit(Option<Gate>);

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(gate) = self.0.take() {
            gate.leave();
        }
    }
}

impl Gate {
    /// A gate to a database that runs `slots` statements at once.
    pub fn new(slots: u32) -> Self {
        Self(Rc::new(RefCell::new(Inner {
            slots: slots.max(1),
            allowed: f64::from(slots.max(1)),
            running: 0,
            turn: 0,
            waiting: BTreeMap::new(),
            typical: UNKNOWN,
            cut_at: Time::default(),
        })))
    }

    /// The register tells another number of slots.
    pub fn resize(&self, slots: u32) {
        let mut inner = self.0.borrow_mut();
        if inner.slots != slots.max(1) {
            inner.slots = slots.max(1);
            inner.allowed = f64::from(inner.slots);
        }
    }

    /// Leave at once, if there is room and nothing waits.
    pub fn try_enter(&self) -> Option<Permit> {
        let mut inner = self.0.borrow_mut();
        let free = inner.waiting.is_empty() && inner.has_room();
        free.then(|| {
            inner.running += 1;
            Permit(Some(self.clone()))
        })
    }

    /// Leave within `patience`, or when to come back.
    pub async fn enter(&self, urgency: Urgency, patience: Span) -> Result<Permit, Span> {
        if let Some(permit) = self.try_enter() {
            return Ok(permit);
        }
        let wait = self.wait(urgency);
        if wait > patience {
            return Err(self.retry());
        }
        let (key, turn) = self.queue(urgency);
        match tokio::time::timeout(patience.into(), turn).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => {
                self.0.borrow_mut().waiting.remove(&key);
                Err(self.retry())
            }
        }
    }

    fn queue(&self, urgency: Urgency) -> ((Urgency, u64), oneshot::Receiver<Permit>) {
        let mut inner = self.0.borrow_mut();
        inner.turn += 1;
        let key = (urgency, inner.turn);
        let (sender, receiver) = oneshot::channel();
        inner.waiting.insert(key, sender);
        (key, receiver)
    }

    /// How long new work of this urgency would wait.
    pub fn wait(&self, urgency: Urgency) -> Span {
        let inner = self.0.borrow();
        if inner.waiting.is_empty() && inner.has_room() {
            return Span::ZERO;
        }
        let before = inner.waiting.range(..=(urgency, u64::MAX)).count() as f64 + 1.0;
        Span((inner.typical.0 as f64 * before / inner.allowed.max(1.0)) as u64)
    }

    /// What a statement takes of late.
    pub fn typical(&self) -> Span {
        self.0.borrow().typical
    }

    /// When work that is refused now should come back.
    pub fn retry(&self) -> Span {
        self.wait(Urgency::MAX).max(LEAST_RETRY)
    }

    /// A statement was answered after `took`.
    pub fn answered(&self, took: Span) {
        let mut inner = self.0.borrow_mut();
        let typical = (inner.typical.0 * (WEIGHT - 1) + took.0) / WEIGHT;
        inner.typical = Span(typical);
        let raised = inner.allowed + 1.0 / inner.allowed.max(1.0);
        inner.allowed = raised.min(f64::from(inner.slots));
    }

    /// The database refused a statement for being busy.
    pub fn refused(&self, now: Time) {
        let mut inner = self.0.borrow_mut();
        if now.since(inner.cut_at) < SAME_CROWD {
            return;
        }
        inner.cut_at = now;
        inner.allowed = (inner.allowed * CUT).max(1.0);
    }

    fn leave(&self) {
        self.0.borrow_mut().running -= 1;
        while let Some(sender) = self.next() {
            if let Err(mut unclaimed) = sender.send(Permit(Some(self.clone()))) {
                unclaimed.0 = None;
                self.0.borrow_mut().running -= 1;
            }
        }
    }

    fn next(&self) -> Option<oneshot::Sender<Permit>> {
        let mut inner = self.0.borrow_mut();
        if !inner.has_room() {
            return None;
        }
        let (_, sender) = inner.waiting.pop_first()?;
        inner.running += 1;
        Some(sender)
    }
}

impl Inner {
    fn has_room(&self) -> bool {
        f64::from(self.running) + 1.0 <= self.allowed.max(1.0).round()
    }
}
