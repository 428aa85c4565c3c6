//! Sending a primary's answers to the entries, once its term is confirmed, a majority has the
//! write, and no other entry reads under an older floor of the session.

use super::lead::Reach;
use super::lease::revoke;
use super::{Completion, Steward};
use crate::clock::Time;
use crate::config::Durability;
use crate::core::acknowledge::Waiting;
use crate::core::database::{Order, Reply};
use crate::core::job::Job;
use crate::core::message::{Control, Message};
use crate::core::request::{Done, Outcome, Unknown};
use crate::core::world::Turn;
use crate::types::{Link, Position, Term, VmId};

impl Steward {
    /// Handles the primary's answer to `job`, which ran under `term`.
    pub fn answered(&mut self, turn: &mut Turn, term: Term, job: Job, reply: Reply) {
        let now = turn.now;
        let durability = turn.world.pool(&job.work.pool).map(|pool| pool.durability);
        let group = self.group.clone();
        let Some(lead) = self.lead().filter(|lead| lead.leader.term == term) else {
            self.completions.push(Completion::unconfirmed(job));
            return;
        };
        let mut waiting = Waiting {
            job,
            reply,
            durable: None,
            leases: Vec::new(),
        };
        if let Some(wrote) = waiting.reply.wrote {
            if durability != Some(Durability::Primary) {
                waiting.durable = Some(wrote.offset);
            }
            if let Some(session) = &waiting.job.work.session {
                let vm = &waiting.job.origin;
                waiting.leases = lead.sessions.wrote(session, vm, wrote, now);
                revoke(turn, &group, session, wrote, &waiting);
            }
        }
        lead.acks.push(waiting);
        self.flush(turn);
    }

    /// Drops the answers for an entry, or for one of its callers, that disconnected.
    pub fn departed(&mut self, vm: &VmId, link: Option<Link>) {
        if let Some(lead) = self.lead() {
            lead.acks.depart(vm, link);
        }
    }

    /// Sends the answers that are ready, ends those past their deadline, and asks the replicas to
    /// report their progress for the rest.
    pub(super) fn flush(&mut self, turn: &mut Turn) {
        let now = turn.now;
        let Some(lead) = self.lead() else {
            return;
        };
        if lead.acks.is_empty() {
            return;
        }
        let ready = lead.acks.ready(now, &lead.confirmations);
        let late = lead.acks.expire(now, &lead.confirmations);
        let until = lead.lease_end(now);
        let mut completions = Vec::with_capacity(ready.len() + late.len());
        for waiting in ready {
            let lease = until.and_then(|until| lead.renew(&waiting, now, until));
            completions.push(Completion::done(waiting, lease));
        }
        completions.extend(late.into_iter().map(|(waiting, cause)| Completion {
            job: waiting.job,
            outcome: Outcome::Unknown(cause),
            lease: None,
        }));
        self.completions.append(&mut completions);
        self.ask_replicas(turn);
    }

    /// Asks each replica to report when it holds all waiting writes, one order at a time.
    fn ask_replicas(&mut self, turn: &mut Turn) {
        let now = turn.now;
        let Some(lead) = self.lead() else {
            return;
        };
        let term = lead.leader.term;
        let timeout = turn.timing().answer;
        for (id, replica) in &mut lead.replicas {
            if replica
                .reach
                .as_ref()
                .is_some_and(|reach| reach.until > now)
            {
                continue;
            }
            let Some(wanted) = lead.acks.wanted(id) else {
                replica.reach = None;
                continue;
            };
            let request = turn.id();
            replica.reach = Some(Reach {
                request,
                wanted,
                until: now + timeout,
            });
            let control = Control {
                request,
                database: id.clone(),
                order: Order::Reach(Position::new(term, wanted)),
            };
            let holder = turn.world.holder(now, id);
            turn.send(&holder, Message::Control(control));
        }
    }
}

impl Completion {
    fn done(waiting: Waiting, lease: Option<Time>) -> Self {
        let reply = waiting.reply;
        let done = Done {
            body: reply.body,
            status: reply.status,
            wrote: reply.wrote,
            replica: false,
        };
        Self {
            job: waiting.job,
            outcome: Outcome::Done(done),
            lease,
        }
    }

    fn unconfirmed(job: Job) -> Self {
        Self {
            job,
            outcome: Outcome::Unknown(Unknown::Unconfirmed),
            lease: None,
        }
    }
}
