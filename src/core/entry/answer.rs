//! Handles holders' answers: passes them to the caller or tries the request again.

use super::{Entry, Location, Pending, Sent};
use crate::clock::{Span, Time};
use crate::core::database::Refusal;
use crate::core::message::{Answer, Hint, Message};
use crate::core::request::{Cause, Done, Kind, NotRun, Outcome, Request, Status, Unknown};
use crate::core::world::Turn;
use crate::types::VmId;

impl Entry {
    /// Handles an answer from a holder.
    ///
    /// An answer may be late, repeated or from a VM that was not asked, and must not reach another
    /// request's caller. Each attempt therefore has its own id, which is dropped once the attempt
    /// was answered or abandoned, and an answer counts only if it comes from the VM to which that
    /// attempt was sent.
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
            turn.world.record_leader(&group, primary);
            self.leader_reported(turn, &group);
        }
        match answer.outcome {
            Outcome::Done(done) => self.done(turn, sent, done, answer.lease, &answer.hint),
            Outcome::NotRun(not_run) => {
                self.rejected(turn, sent, not_run, answer.refused, &answer.hint);
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
                Status::Open | Status::Failed => Some(Location {
                    vm: sent.vm.clone(),
                    database: sent.database.clone(),
                }),
            };
        }
        if let Some(wrote) = done.wrote {
            let until = lease.map_or(Time::default(), |span| sent.at + span);
            self.raise_floor(&sent.pending.request, wrote, until);
        }
        self.respond(turn, sent.pending, Outcome::Done(done));
    }

    fn rejected(
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
            return self.respond(turn, sent.pending, Outcome::NotRun(not_run));
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
            // A request classified as a read turned out to write: the primary runs it as a write.
            (_, Some(Refusal::ReadOnly)) if kind == Kind::Read => {
                self.resend_as_write(turn, sent.pending)
            }
            (_, Some(Refusal::KeyBusy)) => {
                // The key's earlier request may still commit, so "not run" could turn out false.
                self.respond(turn, sent.pending, Outcome::Unknown(Unknown::KeyBusy));
            }
            (Cause::Lost, _) => {
                self.forget_floor(&sent.pending.request, hint.position);
                self.respond(turn, sent.pending, Outcome::NotRun(not_run));
            }
            (Cause::NoPrimary, _) => self.leader_gone(turn, sent),
            // The database did no work, and each database is tried once, so this adds no load.
            (Cause::Behind | Cause::Refused | Cause::Stopping, _) if reads && !sent.primary => {
                self.send_to_replica(turn, sent.pending);
            }
            (Cause::Busy, _) if reads => self.retry(turn, sent, Outcome::NotRun(not_run)),
            _ => self.respond(turn, sent.pending, Outcome::NotRun(not_run)),
        }
    }

    fn resend_as_write(&mut self, turn: &mut Turn, mut pending: Pending) {
        pending.request.kind = Kind::Write;
        pending.floor = None;
        self.dispatch(turn, pending);
    }

    /// Handles an answer from a VM that does not lead the group, or no longer does. Nothing was
    /// run.
    fn leader_gone(&mut self, turn: &mut Turn, sent: Sent) {
        let group = sent.pending.request.group.clone();
        let current = turn.world.leaders.get(&group);
        if current.is_some_and(|leader| leader.steward == sent.vm) {
            self.suspect_leader(turn, &group);
        }
        if sent.pending.request.deadline <= turn.now {
            let retry_after = turn.timing().probe;
            return self.not_run(turn, sent.pending, Cause::NoPrimary, retry_after);
        }
        self.dispatch(turn, sent.pending);
    }

    /// Handles a request for which it is not known whether it was run.
    pub(super) fn unknown(&mut self, turn: &mut Turn, mut sent: Sent, cause: Unknown) {
        sent.pending.earlier_unknown = Some(cause);
        let request = &sent.pending.request;
        if let Some(view) = self.groups.get_mut(&request.group) {
            view.router.failed(turn.now, &sent.database);
        }
        let idempotent = match request.kind {
            // A replica can't write. On a primary, what looked like a read may call a function that
            // writes, and a second run would write twice.
            Kind::Read => !sent.primary,
            Kind::Write => request.key.is_some(),
            Kind::BeginRead | Kind::Begin | Kind::Continue => false,
        };
        if idempotent {
            return self.retry(turn, sent, Outcome::Unknown(cause));
        }
        self.release(turn, &sent.pending.request, &sent.vm);
        self.respond(turn, sent.pending, Outcome::Unknown(cause));
    }

    /// Retries the request while its deadline and the retry budget allow; otherwise sends `outcome`
    /// to the caller.
    ///
    /// When a database is down and every failed read is retried, the other databases would get
    /// twice the load and fail too. The budget limits retries to a share of first attempts.
    fn retry(&mut self, turn: &mut Turn, sent: Sent, outcome: Outcome) {
        let pending = sent.pending;
        let exhausted = sent.primary && pending.request.kind != Kind::Write;
        let in_time = pending.request.deadline > turn.now;
        if exhausted || !in_time || !self.budget.withdraw(turn.now) {
            return self.respond(turn, pending, outcome);
        }
        turn.world.counters.retries += 1;
        match pending.request.kind {
            Kind::Write => self.send_to_primary(turn, pending),
            _ => self.send_to_replica(turn, pending),
        }
    }

    /// Ends a transaction that its caller did not end, and notifies its holder, which may still
    /// keep the connection.
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
