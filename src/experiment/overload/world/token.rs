//! The allowances' part of the simulation: VMs ask allocators for tokens.

use super::{DOMAINS, Event, Question, Wake, World};
use crate::clock::Time;
use crate::experiment::overload::Policy;
use crate::experiment::overload::load::OBJECTIVES;
use crate::experiment::overload::tokens::{Need, Next, Reply, Search};

impl World {
    pub(super) fn allocator_vm(&self, question: Question) -> usize {
        let organisation = self.arrival(question.request).organisation;
        self.allowances[organisation].vms[question.allocator]
    }

    /// Obtains a token for an operation, and sends it to an owner then.
    pub(super) fn admit(&mut self, id: u64) {
        let Some(op) = self.ops.get(&id) else {
            return;
        };
        if op.gone && self.policy.notices_leaving() {
            self.ops.remove(&id);
            return;
        }
        let arrival = self.arrival(op.request);
        let (vm, organisation, rank) = (arrival.vm, arrival.organisation, arrival.rank);
        if self.policy == Policy::Naive {
            self.record.spent(organisation, self.now);
            self.send(id);
            return;
        }
        let vms = &self.allowances[organisation].vms;
        let mut order: Vec<usize> = (0..vms.len()).collect();
        order.sort_by_key(|allocator| vms[*allocator] % DOMAINS != vm % DOMAINS);
        let useful_until = op.sent_at + OBJECTIVES[usize::from(rank.0)].percent(25);
        let asker = self.askers.entry((vm, organisation)).or_default();
        let search = Search {
            order: &order,
            tried: &op.tried,
            waited: &op.waited,
            rank,
            until: useful_until,
        };
        match asker.next(self.policy, search, self.now) {
            Next::Spent => {
                self.record.spent(organisation, self.now);
                self.send(id);
            }
            Next::Refuse(retry) => self.refuse(id, retry),
            Next::Ask(allocator, waits) => self.ask(id, allocator, waits),
        }
    }

    fn ask(&mut self, id: u64, allocator: usize, until: Time) {
        let Some(op) = self.ops.get_mut(&id) else {
            return;
        };
        op.tried.push(allocator);
        if until > self.now {
            op.waited.push(allocator);
        }
        let question = Question {
            op: id,
            request: op.request,
            allocator,
            until,
            asked: self.now,
        };
        let vm = self.arrival(question.request).vm;
        let delay = self.delay(vm, self.allocator_vm(question));
        self.schedule(self.now + delay, Event::AtAllocator(question));
    }

    /// An allocator decides on a question.
    pub(super) fn allocate(&mut self, question: Question) {
        let Some(op) = self.ops.get_mut(&question.op) else {
            return;
        };
        let arrival = &self.plan.arrivals[question.request];
        let organisation = arrival.organisation;
        let asker = self.askers.entry((arrival.vm, organisation)).or_default();
        let need = Need {
            id: question.op,
            rank: arrival.rank,
            until: question.until,
            prefetch: asker.prefetch(),
        };
        let allocator = &mut self.allowances[organisation].allocators[question.allocator];
        let reply = allocator.offer(need, self.now);
        op.waits_at = reply.is_none().then_some(question.allocator);
        if let Some(reply) = reply {
            self.reply(question, reply);
        }
        self.wake_allocator(organisation, question.allocator);
    }

    fn reply(&mut self, question: Question, reply: Reply) {
        let vm = self.arrival(question.request).vm;
        let delay = self.delay(vm, self.allocator_vm(question));
        self.schedule(self.now + delay, Event::Answer(question, reply));
    }

    /// The asking VM receives an answer.
    pub(super) fn answer(&mut self, question: Question, reply: Reply) {
        if question.op < self.first_op {
            return;
        }
        let arrival = &self.plan.arrivals[question.request];
        let key = (arrival.vm, arrival.organisation);
        let asker = self.askers.entry(key).or_default();
        asker.receive(
            question.allocator,
            arrival.rank,
            reply,
            question.asked,
            self.now,
        );
        self.admit(question.op);
    }

    pub(super) fn advance_allocator(&mut self, organisation: usize, allocator: usize) {
        let (ops, arrivals) = (&self.ops, &self.plan.arrivals);
        let rank = |id: u64| Some(arrivals[ops.get(&id)?.request].rank);
        let allocators = &mut self.allowances[organisation].allocators;
        let replies = allocators[allocator].advance(rank, self.now);
        for (id, reply) in replies {
            let Some(op) = self.ops.get_mut(&id) else {
                continue;
            };
            op.waits_at = None;
            let question = Question {
                op: id,
                request: op.request,
                allocator,
                until: self.now,
                asked: self.now,
            };
            self.reply(question, reply);
        }
        self.wake_allocator(organisation, allocator);
    }

    fn wake_allocator(&mut self, organisation: usize, allocator: usize) {
        let at = self.allowances[organisation].allocators[allocator].wake();
        self.wake_at(at, Wake::Allocator(organisation, allocator));
    }
}
