//! Which waiting request is next: short work by fair shares, and long work beside it.
//!
//! **Pattern answered.** Long work that waits beside short work at a busy database.
//! **Without it** either long work takes its slot all the time, and a saturated database serves
//! half as much short work, or it never gets one and a night's reconciliation has no end.
//!
//! Short and long work are weighed against each other by slot time, three parts to one; what one
//! of them leaves, the other takes. Long work has shares by caller of its own, so that a firm's
//! report does not delay its confirmations.

use crate::clock::Span;
use crate::core::gate::cost::Costs;
use crate::core::gate::fair::{Fair, Taken};
use crate::core::request::Class;
use crate::types::{CallerId, RequestId};
use serde::Serialize;
use std::collections::VecDeque;

/// Short work gets this many parts of the slot time for one of long work, while both wait. Half
/// of a slot of two is enough for a night's work to be done by the morning.
const SHORT_PARTS: u64 = 3;

/// The waiting requests of one database.
#[derive(Debug, Clone, Serialize)]
pub struct Queue {
    fair: bool,
    arrivals: VecDeque<RequestId>,
    short: Fair,
    long: Fair,
    /// Slot time given to short work, in microseconds.
    short_given: u64,
    /// Slot time given to long work, times [`SHORT_PARTS`].
    long_given: u64,
}

impl Queue {
    /// An empty queue; without `fair`, first come is first served.
    pub fn new(fair: bool) -> Self {
        Self {
            fair,
            arrivals: VecDeque::new(),
            short: Fair::default(),
            long: Fair::default(),
            short_given: 0,
            long_given: 0,
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.arrivals.len() + self.short.len() + self.long.len()
    }

    /// Whether none wait.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn fair(&mut self, class: Class) -> &mut Fair {
        match class {
            Class::Long => &mut self.long,
            _ => &mut self.short,
        }
    }

    /// Adds a request.
    pub fn push(&mut self, class: Class, caller: &CallerId, request: RequestId, costs: &Costs) {
        if !self.fair {
            self.arrivals.push_back(request);
            return;
        }
        // What had nothing waiting can't have saved up time meanwhile.
        if class == Class::Long && self.long.is_empty() {
            self.long_given = self.long_given.max(self.short_given);
        }
        if class != Class::Long && self.short.is_empty() {
            self.short_given = self.short_given.max(self.long_given);
        }
        self.fair(class).push(class, caller, request, costs);
    }

    /// Takes the request that is to be served next; long work only if `long`.
    pub fn pop(&mut self, long: bool, costs: &Costs) -> Option<Taken> {
        if !self.fair {
            let request = self.arrivals.pop_front()?;
            return Some(Taken {
                request,
                paid: Span::ZERO,
            });
        }
        let due = self.short.is_empty() || self.long_given <= self.short_given;
        let class = if long && due && !self.long.is_empty() {
            Class::Long
        } else {
            Class::Confirm
        };
        let taken = self.fair(class).pop(costs)?;
        self.give(class, taken.paid, Span::ZERO);
        Some(taken)
    }

    fn give(&mut self, class: Class, more: Span, less: Span) {
        let (given, parts) = match class {
            Class::Long => (&mut self.long_given, SHORT_PARTS),
            _ => (&mut self.short_given, 1),
        };
        *given = given
            .saturating_add(more.0 * parts)
            .saturating_sub(less.0 * parts);
    }

    /// Takes out one request.
    pub fn remove(&mut self, class: Class, caller: &CallerId, request: RequestId, costs: &Costs) {
        if self.fair {
            self.fair(class).remove(class, caller, request, costs);
            return;
        }
        if let Some(index) = self.arrivals.iter().position(|&waiting| waiting == request) {
            self.arrivals.remove(index);
        }
    }

    /// Corrects what `caller` was charged: its work took `took`, and it had paid `paid`.
    pub fn charge(&mut self, class: Class, caller: &CallerId, end: Charge, costs: &Costs) {
        if self.fair {
            self.give(class, end.took, end.paid);
            self.fair(class).charge(caller, end.took, end.paid, costs);
        }
    }

    /// The slot time of what is served before the next request of `caller`.
    pub fn ahead(&self, class: Class, caller: &CallerId, costs: &Costs) -> Span {
        let count = match class {
            _ if !self.fair => self.arrivals.len(),
            Class::Long => self.long.ahead(class, caller),
            _ => self.short.ahead(class, caller),
        };
        Span(count as u64 * costs.mean(class).0)
    }

    /// The slot time of what is served before a read of a caller that has none waiting.
    pub fn ahead_of_newcomer(&self, class: Class, costs: &Costs) -> Span {
        let count = match class {
            _ if !self.fair => self.arrivals.len(),
            Class::Long => self.long.ahead_of_newcomer(class),
            _ => self.short.ahead_of_newcomer(class),
        };
        Span(count as u64 * costs.mean(class).0)
    }
}

/// What work took, and what its caller had paid when it started.
#[derive(Debug, Clone, Copy)]
pub struct Charge {
    /// The time in its slot.
    pub took: Span,
    /// The time charged at its start.
    pub paid: Span,
}
