//! The order of classes.
//!
//! **Pattern answered.** Confirmations and submissions that arrive while reads, or a night's
//! reconciliation, fill the queue.
//! **Without it** a late lot confirmation waits behind status checks that would have been as good a
//! second later.
//!
//! The most urgent class goes first, but each class below it that waits is owed one start in a
//! stated number. Strict order alone would starve: a flood of confirmations on a primary would
//! stop the reads that must see them, and those callers would send their writes again. Weighted
//! shares alone would make confirmations wait although few of them are there. The shares
//! owed add up to 7/16, so that confirmations keep more than half of a database in any case.

use crate::clock::Span;
use crate::core::gate::Item;
use crate::core::gate::cost::{BY_URGENCY, CLASSES, Costs};
use crate::core::gate::fair::Fair;
use crate::core::request::Class;
use crate::types::{CallerId, RequestId};
use serde::Serialize;
use std::collections::VecDeque;

/// Of how many starts each class is owed one while it waits, by urgency. Sessions have
/// callers who look at a screen; aged reads were promised only an age; long work runs as long as
/// sixteen others, and has a slot's worth of time at one start in sixteen.
const OWED_ONE_IN: [u32; CLASSES] = [1, 4, 8, 16];

/// The waiting requests of one database.
#[derive(Debug, Clone, Serialize)]
pub struct Queue {
    fair: bool,
    arrivals: VecDeque<RequestId>,
    classes: [Fair; CLASSES],
    passed: [u32; CLASSES],
}

impl Queue {
    /// An empty queue; without `fair`, first come is first served.
    pub fn new(fair: bool) -> Self {
        Self {
            fair,
            arrivals: VecDeque::new(),
            classes: Default::default(),
            passed: [0; CLASSES],
        }
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.arrivals.len() + self.classes.iter().map(Fair::len).sum::<usize>()
    }

    /// Whether none wait.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request.
    pub fn push(&mut self, class: Class, caller: &CallerId, request: RequestId) {
        if self.fair {
            self.classes[class as usize].push(caller, request);
        } else {
            self.arrivals.push_back(request);
        }
    }

    /// Takes the request that is to be served next; long work only if `long`.
    pub fn pop(&mut self, long: bool, costs: &Costs) -> Option<RequestId> {
        if !self.fair {
            return self.arrivals.pop_front();
        }
        let class = self.choose(long)?;
        self.count(class, long);
        self.classes[class as usize].pop(costs.mean(class))
    }

    fn waits(&self, class: Class, long: bool) -> bool {
        (long || class != Class::Long) && !self.classes[class as usize].is_empty()
    }

    /// The class that has been passed over as often as it may be, the most urgent of several;
    /// else the most urgent that waits.
    fn choose(&self, long: bool) -> Option<Class> {
        let mut waiting = BY_URGENCY
            .into_iter()
            .filter(|&class| self.waits(class, long));
        let owed = waiting
            .clone()
            .skip(1)
            .find(|&class| self.passed[class as usize] + 1 >= OWED_ONE_IN[class as usize]);
        owed.or_else(|| waiting.next())
    }

    fn count(&mut self, chosen: Class, long: bool) {
        for class in BY_URGENCY {
            if class == chosen || !self.waits(class, long) {
                self.passed[class as usize] = 0;
            } else {
                self.passed[class as usize] += 1;
            }
        }
    }

    /// Takes out one request.
    pub fn remove(&mut self, class: Class, caller: &CallerId, request: RequestId) {
        if self.fair {
            self.classes[class as usize].remove(caller, request);
            return;
        }
        if let Some(index) = self.arrivals.iter().position(|&waiting| waiting == request) {
            self.arrivals.remove(index);
        }
    }

    /// Corrects what `caller` was charged, after its work ended.
    pub fn charge(&mut self, class: Class, caller: &CallerId, took: Span, paid: Span) {
        if self.fair {
            self.classes[class as usize].charge(caller, took, paid);
        }
    }

    /// Gives back what was charged for work that was taken but not run.
    pub fn give_back(&mut self, item: &Item, costs: &Costs) {
        self.charge(item.class, &item.caller, Span::ZERO, costs.mean(item.class));
    }

    /// The slot time of what is served before the next request of `caller`.
    pub fn ahead(&self, class: Class, caller: &CallerId, costs: &Costs) -> Span {
        if !self.fair {
            return Span(self.arrivals.len() as u64 * costs.mean(class).0);
        }
        let same = self.classes[class as usize].ahead(caller);
        self.time_ahead(class, same, costs)
    }

    /// The slot time of what is served before a request of a caller that has none waiting.
    pub fn ahead_of_newcomer(&self, class: Class, costs: &Costs) -> Span {
        if !self.fair {
            return Span(self.arrivals.len() as u64 * costs.mean(class).0);
        }
        let same = self.classes[class as usize].ahead_of_newcomer();
        self.time_ahead(class, same, costs)
    }

    fn time_ahead(&self, class: Class, same: usize, costs: &Costs) -> Span {
        let starts = self.starts_ahead(class, same);
        let mut time = 0u64;
        for other in BY_URGENCY {
            let count = if other < class {
                self.more_urgent_ahead(other, class, same)
            } else if other == class {
                same
            } else {
                self.owed_among(other, starts)
            };
            time += count as u64 * costs.mean(other).0;
        }
        Span(time)
    }

    /// The starts of more urgent classes and of the same one before a request's.
    fn starts_ahead(&self, class: Class, same: usize) -> usize {
        let urgent = BY_URGENCY.into_iter().filter(|&other| other < class);
        same + urgent
            .map(|other| self.more_urgent_ahead(other, class, same))
            .sum::<usize>()
    }

    /// What a class is owed bounds how many of a more urgent one come before its turn.
    fn more_urgent_ahead(&self, other: Class, class: Class, same: usize) -> usize {
        let most = (same + 1) * OWED_ONE_IN[class as usize] as usize;
        self.classes[other as usize].len().min(most)
    }

    fn owed_among(&self, other: Class, starts: usize) -> usize {
        let owed = starts / OWED_ONE_IN[other as usize] as usize;
        self.classes[other as usize].len().min(owed)
    }
}
