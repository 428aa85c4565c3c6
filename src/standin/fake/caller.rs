//! Callers: their requests and the answers they receive.

use super::{REQUEST_TIMEOUT, System, name};
use crate::clock::{Span, Time};
use crate::core::node::Input;
use crate::core::request::{Kind, Outcome, Request};
use crate::types::{CallerId, GroupId, Link, PoolId, Position, RequestKey, SessionId, VmId};

/// One request of a caller and its answer.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// The session that sent it.
    pub session: Box<str>,
    /// The VM of the proxy that received it.
    pub vm: VmId,
    /// The statement.
    pub body: Box<str>,
    /// Whether a write is acknowledged as soon as the primary alone has it.
    pub fast: bool,
    /// When it was sent.
    pub asked: Time,
    /// The answer and when it arrived; `None` while the request is pending.
    pub told: Option<(Time, Answer)>,
    /// The floor (the lowest log position that later reads must see) in the answer's session token.
    pub(super) floor: Option<Position>,
    link: Link,
}

/// The final result of a request, as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The proxy answered with this outcome.
    Outcome(Outcome),
    /// The connection broke before an answer arrived.
    Cut,
}

/// A request to be sent by a caller.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The session that sends it.
    pub session: Box<str>,
    /// The VM of the proxy that receives it.
    pub vm: VmId,
    /// The kind of its batch.
    pub kind: Kind,
    /// The statement: `write KEY=VALUE`, `read KEY`, `begin`, `commit` or `rollback`.
    pub body: Box<str>,
    /// The maximum age of the data that a read accepts.
    pub max_age: Option<Span>,
    /// Its request key.
    pub key: Option<RequestKey>,
    /// Whether it uses the pool whose writes are acknowledged once the primary alone has them.
    pub fast: bool,
}

impl System {
    /// Sends a request. Returns the index of its ticket, which receives the answer.
    pub fn submit(&mut self, submission: Submission) -> usize {
        let link = self.link_of(&submission);
        // A caller needs its token only where a write may be lost, to be notified of the loss.
        let last = self
            .tickets
            .iter()
            .rev()
            .filter(|t| t.session == submission.session);
        let token_floor = last
            .filter(|_| submission.fast)
            .find_map(|ticket| ticket.floor);
        let number = self.tickets.len();
        let gone = !self.machines.contains_key(&submission.vm);
        self.tickets.push(Ticket {
            session: submission.session.clone(),
            vm: submission.vm.clone(),
            body: submission.body.clone(),
            fast: submission.fast,
            asked: self.now,
            told: gone.then_some((self.now, Answer::Cut)),
            floor: None,
            link,
        });
        let names = (name::<GroupId>("ledger"), name::<CallerId>("broker"));
        let pool = name::<PoolId>(if submission.fast { "fast" } else { "safe" });
        let ((Some(group), Some(caller)), Some(pool)) = (names, pool) else {
            return number;
        };
        let request = Request {
            link,
            session: name::<SessionId>(&submission.session),
            caller,
            pool,
            group,
            kind: submission.kind,
            max_age: submission.max_age,
            key: submission.key,
            token_floor,
            deadline: self.now + REQUEST_TIMEOUT,
            body: submission.body.to_string().into(),
        };
        self.input(&submission.vm, Span::ZERO, Input::Submit(request));
        number
    }

    /// Returns the session's connection to the proxy, or a new one while that is busy or lost.
    fn link_of(&mut self, submission: &Submission) -> Link {
        let same = |t: &&Ticket| t.session == submission.session && t.vm == submission.vm;
        let last = self.tickets.iter().rev().find(same);
        let reusable = last.filter(|t| matches!(t.told, Some((_, Answer::Outcome(_)))));
        match reusable {
            Some(ticket) => ticket.link,
            None => {
                self.links += 1;
                Link(self.links)
            }
        }
    }

    pub(super) fn reply(
        &mut self,
        vm: &VmId,
        link: Link,
        outcome: Outcome,
        floor: Option<Position>,
    ) {
        let now = self.now;
        let is_pending = |t: &&mut Ticket| t.link == link && t.vm == *vm && t.told.is_none();
        match self.tickets.iter_mut().rev().find(is_pending) {
            Some(ticket) => {
                ticket.told = Some((now, Answer::Outcome(outcome)));
                ticket.floor = floor;
            }
            None => self
                .violations
                .push("an answer that nobody waits for".into()),
        }
    }
}
