//! Callers: what they ask, and what they are told.

use super::{PATIENCE, System, name};
use crate::clock::{Span, Time};
use crate::core::node::Input;
use crate::core::request::{Kind, Outcome, Request};
use crate::types::{CallerId, GroupId, Link, PoolId, Position, RequestKey, SessionId, VmId};

/// One request of a caller and what it was told.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// The session that asked.
    pub session: Box<str>,
    /// The proxy that it asked.
    pub vm: VmId,
    /// What it asked for.
    pub body: Box<str>,
    /// Whether it is acknowledged as soon as the primary alone has it.
    pub fast: bool,
    /// When it asked.
    pub asked: Time,
    /// What it was told, and when; `None` while it waits.
    pub told: Option<(Time, Answer)>,
    /// The floor in the token that it was shown with the answer.
    pub(super) floor: Option<Position>,
    link: Link,
}

/// What a caller sees in the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It was told this.
    Outcome(Outcome),
    /// Its connection broke without an answer.
    Cut,
}

/// What a caller asks for.
#[derive(Debug, Clone)]
pub struct Ask {
    /// The session.
    pub session: Box<str>,
    /// The proxy.
    pub vm: VmId,
    /// What its batch does.
    pub kind: Kind,
    /// The statement: `write KEY=VALUE`, `read KEY`, `begin`, `commit` or `rollback`.
    pub body: Box<str>,
    /// The age that it accepts.
    pub max_age: Option<Span>,
    /// Its request key.
    pub key: Option<RequestKey>,
    /// Whether it uses the pool whose writes are done once the primary has them.
    pub fast: bool,
}

impl System {
    /// A caller asks; the answer comes to the ticket of the number returned.
    pub fn ask(&mut self, ask: Ask) -> usize {
        let link = self.link_of(&ask);
        // Only where a write may be lost does a caller need its token, to hear of that.
        let last = self
            .tickets
            .iter()
            .rev()
            .filter(|t| t.session == ask.session);
        let token_floor = last.filter(|_| ask.fast).find_map(|ticket| ticket.floor);
        let number = self.tickets.len();
        let gone = !self.machines.contains_key(&ask.vm);
        self.tickets.push(Ticket {
            session: ask.session.clone(),
            vm: ask.vm.clone(),
            body: ask.body.clone(),
            fast: ask.fast,
            asked: self.now,
            told: gone.then_some((self.now, Answer::Cut)),
            floor: None,
            link,
        });
        let names = (name::<GroupId>("ledger"), name::<CallerId>("broker"));
        let pool = name::<PoolId>(if ask.fast { "fast" } else { "safe" });
        let ((Some(group), Some(caller)), Some(pool)) = (names, pool) else {
            return number;
        };
        let request = Request {
            link,
            session: name::<SessionId>(&ask.session),
            caller,
            pool,
            group,
            kind: ask.kind,
            max_age: ask.max_age,
            key: ask.key,
            token_floor,
            deadline: self.now + PATIENCE,
            body: ask.body.to_string().into(),
        };
        self.input(&ask.vm, Span::ZERO, Input::Submit(request));
        number
    }

    /// The session's connection to the proxy, or a new one while that is busy.
    fn link_of(&mut self, ask: &Ask) -> Link {
        let same = |t: &&Ticket| t.session == ask.session && t.vm == ask.vm;
        let last = self.tickets.iter().rev().find(same);
        let usable = last.filter(|t| matches!(t.told, Some((_, Answer::Outcome(_)))));
        match usable {
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
        let waits = |t: &&mut Ticket| t.link == link && t.vm == *vm && t.told.is_none();
        match self.tickets.iter_mut().rev().find(waits) {
            Some(ticket) => {
                ticket.told = Some((now, Answer::Outcome(outcome)));
                ticket.floor = floor;
            }
            None => self.wrong.push("an answer that nobody waits for".into()),
        }
    }
}
