//! What an entry does with a holder's answer: tell the caller, or try again.

use super::{Bound, Entry, Pending, Sent};
use crate::clock::{Span, Time};
use crate::core::database::Refusal;
use crate::core::message::{Answer, Hint, Message};
use crate::core::request::{Cause, Done, Kind, NotRun, Outcome, Request, Status, Unknown};
use crate::core::world::Turn;
use crate::types::VmId;

impl Entry {
    /// A holder answered.
    ///
    /// Failure: an answer is late, repeated or not from the VM that was asked. Symptom: a
    /// caller gets another request's rows. Enough, because each try has its own id, which is
    /// forgotten once it was answered or given up.
    pub fn answered(&mut self, turn: &mut Turn, from: &VmId, answer: Answer) {
        if self
            .sent
            .get(&answer.request)
            .is_none_or(|sent| sent.vm != *from)
        {
            turn.world.counters.dropped_answers += 1;
            return;
        }
        let Some(sent) = self.sent.remove(&answer.request) else {
            return;
        };
        if let Some(primary) = &answer.hint.primary {
            let group = sent.pending.request.group.clone();
            turn.world.learn(&group, primary);
            self.heard_leader(turn, &group);
        }
        match answer.outcome {
            Outcome::Done(done) => self.done(turn, sent, done, answer.lease, &answer.hint),
            Outcome::NotRun(not_run) => {
                self.turned_away(turn, sent, not_run, answer.refused, &answer.hint);
            }
            Outcome::Unknown(cause) => self.unknown(turn, sent, cause),
        }
    }

    fn done(&mut self, turn: &mut Turn, sent: Sent, done: Done, lease: Option<Span>, hint: &Hint) {
        let request = &sent.pending.request;
        let counters = &mut turn.world.counters;
        match request.kind {
            Kind::Read | Kind::BeginRead if done.replica => counters.reads_by_replica += 1,
            Kind::Read | Kind::BeginRead => counters.reads_by_primary += 1,
            _ => counters.writes += 1,
        }
        if let Some(view) = self.groups.get_mut(&request.group) {
            let took = turn.now.since(sent.at);
            view.router.answered(turn.now, &sent.database, took, hint);
        }
        if let Some(caller) = self.links.get_mut(&request.link) {
            caller.transaction = match done.status {
                Status::Idle => None,
                Status::Open | Status::Failed => Some(Bound {
                    vm: sent.vm.clone(),
                    database: sent.database.clone(),
                }),
            };
        }
        if let Some(wrote) = done.wrote {
            let until = lease.map_or(Time::default(), |span| sent.at + span);
            self.raise_floor(&sent.pending.request, wrote, until);
        }
        self.tell(turn, sent.pending, Outcome::Done(done));
    }

    fn turned_away(
        &mut self,
        turn: &mut Turn,
        sent: Sent,
        not_run: NotRun,
        refused: Option<Refusal>,
        hint: &Hint,
    ) {
        let kind = sent.pending.request.kind;
        if kind == Kind::Continue {
            self.release(turn, &sent.pending.request, &sent.vm);
            return self.tell(turn, sent.pending, Outcome::NotRun(not_run));
        }
        if let Some(view) = self.groups.get_mut(&sent.pending.request.group) {
            match not_run.cause {
                Cause::Busy | Cause::Behind | Cause::Expired => {
                    view.router.refused(turn.now, &sent.database, hint);
                }
                _ => view.router.failed(turn.now, &sent.database),
            }
        }
        let reads = matches!(kind, Kind::Read | Kind::BeginRead);
        match (not_run.cause, refused) {
            // What looked like a read writes: the primary runs it, and it is a write from here on.
            (_, Some(Refusal::ReadOnly)) if kind == Kind::Read => self.as_write(turn, sent.pending),
            (_, Some(Refusal::KeyBusy)) => {
                // The key's earlier request may yet commit, so that "not run" could turn out false.
                self.tell(turn, sent.pending, Outcome::Unknown(Unknown::KeyBusy));
            }
            (Cause::Lost, _) => {
                self.forget_floor(&sent.pending.request, hint.position);
                self.tell(turn, sent.pending, Outcome::NotRun(not_run));
            }
            (Cause::NoPrimary, _) => self.leader_gone(turn, sent),
            // Nothing was asked of the database, and each is tried once: this adds no load.
            (Cause::Behind | Cause::Refused | Cause::Stopping, _) if reads && !sent.primary => {
                self.send_to_replica(turn, sent.pending);
            }
            (Cause::Busy, _) if reads => self.next(turn, sent, Outcome::NotRun(not_run)),
            _ => self.tell(turn, sent.pending, Outcome::NotRun(not_run)),
        }
    }

    fn as_write(&mut self, turn: &mut Turn, mut pending: Pending) {
        pending.request.kind = Kind::Write;
        pending.floor = None;
        self.dispatch(turn, pending);
    }

    /// The VM asked does not lead the group, or not any more; nothing was run.
    fn leader_gone(&mut self, turn: &mut Turn, sent: Sent) {
        let group = sent.pending.request.group.clone();
        let current = turn.world.leaders.get(&group);
        if current.is_some_and(|leader| leader.steward == sent.vm) {
            self.doubt(turn, &group);
        }
        if sent.pending.request.deadline <= turn.now {
            let gap = turn.timing().probe;
            return self.not_run(turn, sent.pending, Cause::NoPrimary, gap);
        }
        self.dispatch(turn, sent.pending);
    }

    /// It is not known whether the work was run.
    pub(super) fn unknown(&mut self, turn: &mut Turn, mut sent: Sent, cause: Unknown) {
        sent.pending.doubt = Some(cause);
        let request = &sent.pending.request;
        if let Some(view) = self.groups.get_mut(&request.group) {
            view.router.failed(turn.now, &sent.database);
        }
        let idempotent = match request.kind {
            // A replica can't write. A primary can, if what looked like a read calls a function
            // that does: run twice, it would be doubled.
            Kind::Read => !sent.primary,
            Kind::Write => request.key.is_some(),
            Kind::BeginRead | Kind::Begin | Kind::Continue => false,
        };
        if idempotent {
            return self.next(turn, sent, Outcome::Unknown(cause));
        }
        self.release(turn, &sent.pending.request, &sent.vm);
        self.tell(turn, sent.pending, Outcome::Unknown(cause));
    }

    /// Tries again what may be tried again, while the budget allows; else tells `outcome`.
    ///
    /// Failure: a database is down and each caller's read is tried again. Symptom: the others
    /// get twice the load and fail too. Enough, because retries are a share of first tries.
    fn next(&mut self, turn: &mut Turn, sent: Sent, outcome: Outcome) {
        let pending = sent.pending;
        let exhausted = sent.primary && pending.request.kind != Kind::Write;
        let in_time = pending.request.deadline > turn.now;
        if exhausted || !in_time || !self.budget.withdraw(turn.now) {
            return self.tell(turn, pending, outcome);
        }
        turn.world.counters.retries += 1;
        match pending.request.kind {
            Kind::Write => self.send_to_primary(turn, pending),
            _ => self.send_to_replica(turn, pending),
        }
    }

    /// A transaction is over although its caller did not end it. Its holder is told, in case
    /// it still has the connection.
    pub(super) fn release(&mut self, turn: &mut Turn, request: &Request, vm: &VmId) {
        if let Some(caller) = self.links.get_mut(&request.link) {
            caller.transaction = None;
        }
        let transactional = matches!(request.kind, Kind::Continue | Kind::Begin | Kind::BeginRead);
        if transactional {
            turn.send(vm, Message::Depart(request.link));
        }
    }
}
