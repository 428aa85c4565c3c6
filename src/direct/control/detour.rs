//! Calls of the store by way of other VMs, while the store turns this one away.
//!
//! **Pattern answered.** The store serves most VMs and turns some away for many seconds; one of those
//! starts anew, or is the steward. **Without it** a VM that starts can't register, so it holds no lease
//! and refuses all its callers until the store takes its calls: 3 of 7 VMs for 5 s on one day, and 456
//! of 22,000 requests. **Why it is safe.** Another VM passes a call on and decides nothing. The moment at
//! which a reading was asked is taken here, before it leaves, so the way there and back shortens the
//! lease; every write is under a condition, and may be done late or twice to no effect.
//! **Thresholds.** [`Route`] avoids the store's own way for longer with each failure in a row, since
//! a try that is not answered at all costs [`super::store`]'s whole patience.

use crate::clock::{Span, Time};
use crate::direct::adapter::LocalFuture;
use crate::direct::control::Control;
use crate::direct::control::rows::{Reading, TABLE};
use crate::direct::control::store::FIRST_ROWS;
use crate::direct::mesh::{Answer, Question};
use crate::direct::table::{Command, Response};
use std::net::SocketAddr;
use std::rc::Rc;

/// How long another VM may take: two round trips between regions and a write of the store.
const WITHIN: Span = Span::from_millis(300);

/// How much longer its word is waited for.
const MARGIN: Span = Span::from_millis(100);

/// How many other VMs are asked for one call. Of seven VMs a third may be turned away as well.
const ASKED: usize = 3;

/// After how many that the store does not answer either it counts as away for all: each one more
/// asked in vain delays the next try by the own way.
const REFUSALS: u32 = 2;

/// How long the own way is avoided after a first failure, and at most: the store's troubles last
/// 4 to 9 s, and its own way is a round trip shorter.
const FIRST: Span = Span::from_secs(2);
const LONGEST: Span = Span::from_secs(8);

/// Makes a call by way of other VMs; none if none of them was answered.
pub type Detour = Rc<dyn Fn(Command) -> LocalFuture<Option<Response>>>;

/// Which way calls go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    avoided_until: Time,
    avoid: Span,
}

impl Default for Route {
    fn default() -> Self {
        Self {
            avoided_until: Time::default(),
            avoid: FIRST,
        }
    }
}

impl Route {
    /// Whether the own way is avoided now.
    pub fn avoids_own(&self, now: Time) -> bool {
        now < self.avoided_until
    }

    /// The own way failed, and another VM's did not.
    pub fn failed(&mut self, now: Time) {
        self.avoided_until = now + self.avoid;
        self.avoid = LONGEST.min(self.avoid.percent(200));
    }

    /// The own way works, or no other does.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

/// The detour of a VM.
pub(super) fn by_others(control: &Rc<Control>) -> Detour {
    let control = Rc::downgrade(control);
    Rc::new(move |ask| {
        let control = control.clone();
        Box::pin(async move { control.upgrade()?.ask_others(ask).await })
    })
}

impl Control {
    /// Has other VMs make a call in turn, until the store answers one of them.
    async fn ask_others(&self, ask: Command) -> Option<Response> {
        if let Command::Read(table) = &ask
            && self.is_long(table)
        {
            // VMs that read for others tell it in parts, or what changed of it.
            return None;
        }
        let mut refusals = 0;
        for address in self.helpers() {
            let question = Question::Store {
                command: ask.clone(),
                timeout: WITHIN,
            };
            let answer = (self.setup.call)(address, question, WITHIN + MARGIN).await;
            match answer {
                Some(Answer::Stored(Ok(told))) => return Some(told),
                Some(Answer::Stored(Err(_))) => refusals += 1,
                _ => {}
            }
            if refusals >= REFUSALS {
                break;
            }
        }
        None
    }

    /// Whether a table may be longer than another VM can pass on within [`WITHIN`] over a small link.
    fn is_long(&self, table: &str) -> bool {
        if table != TABLE {
            return self.have_readers();
        }
        let state = self.state.borrow();
        let rows = |reading: &Reading| reading.leads.len() + reading.members.len();
        state.many_rows || state.reading.as_ref().map_or(0, rows) > FIRST_ROWS as usize
    }

    /// The VMs to ask: first the steward, which the store answered a second ago as a rule, then those that
    /// read for others: they know by then whether it answers them. The steward of many VMs is left alone.
    fn helpers(&self) -> Vec<SocketAddr> {
        let steward = {
            let state = self.state.borrow();
            let post = state.post.as_ref();
            post.filter(|post| post.hearing.missed == 0 && post.hearing.ended.is_none())
                .filter(|_| !self.is_large())
                .map(|post| post.address)
        };
        let mut helpers: Vec<_> = steward.into_iter().chain(self.other_readers()).collect();
        helpers.truncate(ASKED);
        helpers
    }
}
