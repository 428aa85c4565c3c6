//! The order of waiting requests: short work by fair shares, and long work beside it.
//!
//! This handles long work that waits beside short work at a busy database. Without it either long
//! work occupies its slot all the time, and a saturated database serves half as much short work, or
//! it never gets a slot and a nightly reconciliation does not end.
//!
//! Short and long work are weighted by slot time, three to one; time that one of them does not use
//! goes to the other. Long work has fair shares of its own by caller, so that a firm's report does
//! not delay its confirmations.

use crate::admission::fair::{self, Fair, Taken};
use crate::clock::Span;
use crate::core::gate::cost::Costs;
use crate::core::request::Class;
use crate::types::{CallerId, RequestId};
use serde::Serialize;
use std::collections::VecDeque;

/// The slot time of short work for each unit of long work, while both wait. A quarter of the time,
/// which is half of one slot where there are two, is enough to finish nightly work by the morning.
const SHORT_WEIGHT: u64 = 3;

impl fair::Entry for RequestId {}

/// The waiting requests of one database.
#[derive(Debug, Clone, Serialize)]
pub struct Queue {
    fair: bool,
    arrivals: VecDeque<RequestId>,
    short: Fair<CallerId, RequestId>,
    long: Fair<CallerId, RequestId>,
    /// Slot time given to short work, in microseconds.
    short_given: u64,
    /// Slot time given to long work, in microseconds, times `SHORT_WEIGHT`.
    long_given: u64,
}

impl Queue {
    /// An empty queue; without `fair` it serves requests in order of arrival.
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

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.arrivals.len() + self.short.len() + self.long.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn fair(&mut self, class: Class) -> &mut Fair<CallerId, RequestId> {
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
        // A kind of work that had nothing waiting must not have saved up time meanwhile.
        if class == Class::Long && self.long.is_empty() {
            self.long_given = self.long_given.max(self.short_given);
        }
        if class != Class::Long && self.short.is_empty() {
            self.short_given = self.short_given.max(self.long_given);
        }
        self.fair(class).push(class, caller, request, costs);
    }

    /// Takes the next request to serve; long work only if `long`.
    pub fn pop(&mut self, long: bool, costs: &Costs) -> Option<Taken<RequestId>> {
        if !self.fair {
            let request = self.arrivals.pop_front()?;
            return Some(Taken {
                entry: request,
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
        self.account(class, taken.paid, Span::ZERO);
        Some(taken)
    }

    fn account(&mut self, class: Class, more: Span, less: Span) {
        let (given, parts) = match class {
            Class::Long => (&mut self.long_given, SHORT_WEIGHT),
            _ => (&mut self.short_given, 1),
        };
        *given = given
            .saturating_add(more.0 * parts)
            .saturating_sub(less.0 * parts);
    }

    /// Removes one request.
    pub fn remove(&mut self, class: Class, caller: &CallerId, request: RequestId, costs: &Costs) {
        if self.fair {
            self.fair(class).remove(class, caller, request, costs);
            return;
        }
        if let Some(index) = self.arrivals.iter().position(|&waiting| waiting == request) {
            self.arrivals.remove(index);
        }
    }

    /// Corrects the charge of `caller` from the expected to the actual time.
    pub fn charge(&mut self, class: Class, caller: &CallerId, end: Charge, costs: &Costs) {
        if self.fair {
            self.account(class, end.took, end.paid);
            self.fair(class).charge(caller, end.took, end.paid, costs);
        }
    }

    /// The slot time of the work served before the next request of `caller`.
    pub fn ahead(&self, class: Class, caller: &CallerId, costs: &Costs) -> Span {
        let count = match class {
            _ if !self.fair => self.arrivals.len(),
            Class::Long => self.long.ahead(class, caller),
            _ => self.short.ahead(class, caller),
        };
        Span(count as u64 * costs.mean(class).0)
    }

    /// The slot time of the work served before a read of a caller that has none waiting.
    pub fn ahead_of_newcomer(&self, class: Class, costs: &Costs) -> Span {
        let count = match class {
            _ if !self.fair => self.arrivals.len(),
            Class::Long => self.long.ahead_of_newcomer(class),
            _ => self.short.ahead_of_newcomer(class),
        };
        Span(count as u64 * costs.mean(class).0)
    }
}

/// The time that work took, and the time that its caller was charged when it started.
#[derive(Debug, Clone, Copy)]
pub struct Charge {
    /// The time in its slot.
    pub took: Span,
    /// The time charged at its start.
    pub paid: Span,
}
