//! Store calls through other VMs, while the store refuses this VM's own.
//!
//! The store at times serves most VMs and refuses the calls of some for many seconds, such as of a
//! VM that starts, or of the steward. A VM that starts then could not register, would hold no lease
//! and would refuse all its callers: on one day 3 of 7 VMs did so for 5 s, which failed 456 of
//! 22,000 requests. Forwarding is safe: the other VM passes a call on and decides nothing. The time
//! at which a reading was requested is taken here, before the call is sent, so the longer way only
//! shortens the lease; every write is conditional, and has no further effect if it is done late or
//! twice. [`Route`] avoids direct calls for longer with each failure in a row, since an unanswered
//! one costs the whole timeout of [`super::store`].

use crate::clock::{Span, Time};
use crate::direct::adapter::LocalFuture;
use crate::direct::control::Control;
use crate::direct::control::rows::{Reading, TABLE};
use crate::direct::control::store::FIRST_ROWS;
use crate::direct::mesh::{Answer, Question};
use crate::direct::table::{Command, Response};
use std::net::SocketAddr;
use std::rc::Rc;

/// The timeout of the forwarding VM's call: two round trips between regions and a write of the
/// store.
const CALL_TIMEOUT: Span = Span::from_millis(300);

/// How much longer to wait for the forwarding VM's answer.
const ANSWER_MARGIN: Span = Span::from_millis(100);

/// How many VMs are asked to forward one call. Of seven VMs a third may be refused as well.
const MAX_ASKED: usize = 3;

/// After this many VMs that get no answer either, the store counts as down for all. Each further
/// attempt would delay the next direct call.
const MAX_REFUSALS: u32 = 2;

/// How long direct calls are avoided after the first failure, and at most. The store's faults last
/// 4 to 9 s, and a direct call is a round trip shorter.
const FIRST_AVOIDANCE: Span = Span::from_secs(2);
const MAX_AVOIDANCE: Span = Span::from_secs(8);

/// Makes a call through other VMs; `None` if the store answered none of them.
pub type Forwarder = Rc<dyn Fn(Command) -> LocalFuture<Option<Response>>>;

/// Whether calls are first made directly or through other VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    avoided_until: Time,
    avoid: Span,
}

impl Default for Route {
    fn default() -> Self {
        Self {
            avoided_until: Time::default(),
            avoid: FIRST_AVOIDANCE,
        }
    }
}

impl Route {
    /// Returns whether direct calls are avoided now.
    pub fn avoids_direct(&self, now: Time) -> bool {
        now < self.avoided_until
    }

    /// Records that a direct call failed, while one through another VM succeeded.
    pub fn failed(&mut self, now: Time) {
        self.avoided_until = now + self.avoid;
        self.avoid = MAX_AVOIDANCE.min(self.avoid.percent(200));
    }

    /// Records that a direct call succeeded, or that none through other VMs did.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Makes the function that forwards a VM's calls.
pub(super) fn forwarder(control: &Rc<Control>) -> Forwarder {
    let control = Rc::downgrade(control);
    Rc::new(move |ask| {
        let control = control.clone();
        Box::pin(async move { control.upgrade()?.forward(ask).await })
    })
}

impl Control {
    /// Asks other VMs in turn to make a call, until the store answers one of them.
    async fn forward(&self, ask: Command) -> Option<Response> {
        if let Command::Read(table) = &ask
            && self.is_long(table)
        {
            // The VMs that read for others send it in parts, or its changes.
            return None;
        }
        let mut refusals = 0;
        for address in self.forwarders() {
            let question = Question::Store {
                command: ask.clone(),
                timeout: CALL_TIMEOUT,
            };
            let answer = (self.setup.call)(address, question, CALL_TIMEOUT + ANSWER_MARGIN).await;
            match answer {
                Some(Answer::Stored(Ok(told))) => return Some(told),
                Some(Answer::Stored(Err(_))) => refusals += 1,
                _ => {}
            }
            if refusals >= MAX_REFUSALS {
                break;
            }
        }
        None
    }

    /// Returns whether a table may be too long for another VM to pass on within [`CALL_TIMEOUT`]
    /// over a small link.
    fn is_long(&self, table: &str) -> bool {
        if table != TABLE {
            return self.has_readers();
        }
        let state = self.state.borrow();
        let rows = |reading: &Reading| reading.leads.len() + reading.members.len();
        state.many_rows || state.reading.as_ref().map_or(0, rows) > FIRST_ROWS as usize
    }

    /// Returns the VMs to ask: first the steward, whose last answer from the store is usually a
    /// second old, then the readers, which know by then whether the store answers them. The steward
    /// of many VMs is not asked.
    fn forwarders(&self) -> Vec<SocketAddr> {
        let steward = {
            let state = self.state.borrow();
            let followed = state.followed.as_ref();
            followed
                .filter(|followed| followed.contact.is_answered())
                .filter(|_| !self.is_large())
                .map(|followed| followed.address)
        };
        let mut forwarders: Vec<_> = steward.into_iter().chain(self.other_readers()).collect();
        forwarders.truncate(MAX_ASKED);
        forwarders
    }
}
