//! Work on its way to a connection: checks, the queue, and the ends that it can come to
//! without having been run.

use super::{Fit, Holder, Lagging};
use crate::clock::{Span, Time};
use crate::core::database::Refusal;
use crate::core::gate::Item;
use crate::core::job::{End, Ended, Job};
use crate::core::message::Work;
use crate::core::request::{Cause, Class, Kind, NotRun, Unknown};
use crate::core::role::Role;
use crate::core::world::Turn;
use crate::types::{Link, RequestId, VmId};

/// Reads that may wait for one replica to catch up. More would wait for the primary in the end
/// and reach it all at once.
const LAGGING_LIMIT: usize = 256;

impl Holder {
    /// An entry sends work.
    pub fn offer(&mut self, turn: &mut Turn, origin: VmId, work: Work) {
        let job = Job {
            id: turn.id(),
            origin,
            deadline: turn.now + work.patience,
            term: self.role.term(),
            abandoned: false,
            work,
        };
        if job.continues() {
            return self.offer_continued(turn, job);
        }
        if let Some(cause) = self.refuses(turn, &job) {
            return self.end_not_run(turn, job, cause, None);
        }
        match self.fit(turn.now, &job.work) {
            Fit::Ready => self.admit(turn, job),
            Fit::Soon => self.wait_for_log(turn, job),
            Fit::Behind => self.end_behind(turn, job),
            Fit::Lost => self.end_not_run(turn, job, Cause::Lost, None),
        }
        self.pump(turn);
    }

    /// Failure: a database is being taken away, or its primary's role has moved. Symptom: work
    /// is cut, or written where it will be lost. Enough, because nothing starts here any more
    /// and what did start keeps its connection to its end.
    fn refuses(&self, turn: &Turn, job: &Job) -> Option<Cause> {
        if let Some(cause) = self.role.forbids(&job.work) {
            return Some(cause);
        }
        match turn.world.database(&self.database) {
            Some(settings) if !settings.leaving || self.role != Role::Replica => None,
            _ => Some(Cause::Refused),
        }
    }

    fn offer_continued(&mut self, turn: &mut Turn, job: Job) {
        let owner = job.owner();
        let Some(transaction) = self.transactions.get_mut(&owner) else {
            return self.end_not_run(turn, job, Cause::RolledBack, None);
        };
        if transaction.running {
            turn.world.counters.nonsense += 1;
            return self.end_not_run(turn, job, Cause::Refused, None);
        }
        transaction.running = true;
        self.admit(turn, job);
        self.pump(turn);
    }

    fn wait_for_log(&mut self, turn: &mut Turn, job: Job) {
        let catch_up = turn.timing().catch_up;
        if self.lagging.len() >= LAGGING_LIMIT {
            return self.end_behind(turn, job);
        }
        let until = job.deadline.min(turn.now + catch_up);
        self.lagging.push(Lagging { job, until });
        self.refresh(turn);
    }

    /// Reads that wait for the log may go on now, or have waited long enough.
    pub(super) fn recheck(&mut self, turn: &mut Turn) {
        if self.lagging.is_empty() {
            return;
        }
        for Lagging { job, until } in std::mem::take(&mut self.lagging) {
            match self.fit(turn.now, &job.work) {
                Fit::Ready => self.admit(turn, job),
                Fit::Lost => self.end_not_run(turn, job, Cause::Lost, None),
                Fit::Soon if until > turn.now => self.lagging.push(Lagging { job, until }),
                Fit::Soon | Fit::Behind => self.end_behind(turn, job),
            }
        }
        if !self.lagging.is_empty() {
            self.refresh(turn);
        }
    }

    fn end_behind(&mut self, turn: &mut Turn, job: Job) {
        let cause = match self.role {
            Role::Replica => Cause::Behind,
            _ => Cause::NoPrimary,
        };
        self.end_not_run(turn, job, cause, None);
    }

    fn admit(&mut self, turn: &mut Turn, job: Job) {
        let item = Item {
            request: job.id,
            caller: job.work.caller.clone(),
            class: job.work.class,
            deadline: job.deadline,
        };
        match self.gate.offer(turn.now, item) {
            Ok(()) => {
                self.jobs.insert(job.id, job);
            }
            Err(not_run) => self.end(turn, job, End::NotRun(not_run, None)),
        }
    }

    /// Gives slots and connections to what waits, as far as there are any.
    pub(super) fn pump(&mut self, turn: &mut Turn) {
        while let Some(&id) = self.starved.front() {
            let Some(conn) = self.idle.pop() else { break };
            self.starved.pop_front();
            self.run(turn, id, conn);
        }
        while let Some(item) = self.gate.next(turn.now) {
            self.start(turn, item.request);
        }
        self.grow(turn);
    }

    fn start(&mut self, turn: &mut Turn, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else {
            return self.gate.finish(turn.now, id);
        };
        if job.continues() {
            let conn = self.transactions.get(&job.owner()).map(|t| t.conn);
            return match conn {
                Some(conn) => self.run(turn, id, conn),
                None => self.drop_job(turn, id, Cause::RolledBack, None),
            };
        }
        match self.idle.pop() {
            Some(conn) => self.run(turn, id, conn),
            None => self.starved.push_back(id),
        }
    }

    /// Ends a job that was not run.
    pub(super) fn drop_job(
        &mut self,
        turn: &mut Turn,
        id: RequestId,
        cause: Cause,
        refused: Option<Refusal>,
    ) {
        if let Some(job) = self.release(turn.now, id) {
            self.end_not_run(turn, job, cause, refused);
        }
    }

    /// Takes a job out of the queue and its slot.
    pub(super) fn release(&mut self, now: Time, id: RequestId) -> Option<Job> {
        self.gate.remove(id);
        self.gate.finish(now, id);
        self.starved.retain(|starved| *starved != id);
        self.jobs.remove(&id)
    }

    pub(super) fn end_not_run(
        &mut self,
        turn: &mut Turn,
        job: Job,
        cause: Cause,
        refused: Option<Refusal>,
    ) {
        let retry_after = self.retry_after(turn, cause);
        let not_run = NotRun { cause, retry_after };
        self.end(turn, job, End::NotRun(not_run, refused));
    }

    /// Failure: one statement of a transaction is not run, and its caller goes on to commit.
    /// Symptom: half a booking. Enough, because the whole transaction is rolled back with it.
    pub(super) fn end(&mut self, turn: &mut Turn, job: Job, mut end: End) {
        if job.continues() && !matches!(end, End::Answered(_)) {
            self.roll_back(turn, &job.owner());
            if let End::NotRun(not_run, _) = &mut end {
                not_run.cause = Cause::RolledBack;
            }
        }
        if !job.abandoned {
            self.ended.push(Ended { job, end });
        }
    }

    fn retry_after(&self, turn: &Turn, cause: Cause) -> Span {
        match cause {
            Cause::NoPrimary => turn.timing().probe,
            Cause::Behind => turn.timing().catch_up,
            Cause::Busy | Cause::Expired => self.gate.wait(turn.now),
            _ => Span::ZERO,
        }
    }

    /// Ends what waited too long, and connections that fell silent.
    pub fn tick(&mut self, turn: &mut Turn) {
        for item in self.gate.expire(turn.now) {
            if let Some(job) = self.jobs.remove(&item.request) {
                self.end_not_run(turn, job, Cause::Expired, None);
            }
        }
        let now = turn.now;
        let late = |id: &RequestId| self.jobs.get(id).is_none_or(|job| job.deadline <= now);
        let late: Vec<RequestId> = self.starved.iter().copied().filter(late).collect();
        for id in late {
            self.drop_job(turn, id, Cause::Expired, None);
        }
        self.recheck(turn);
        self.tick_connections(turn);
        self.pump(turn);
    }

    /// The role of primary is over: what has not started will not, and open transactions, whose
    /// commits the database now refuses, are rolled back.
    pub(super) fn depose(&mut self, turn: &mut Turn) {
        let waiting = |id: &RequestId| !self.is_running(*id);
        let waiting: Vec<RequestId> = self.jobs.keys().copied().filter(waiting).collect();
        for id in waiting {
            self.drop_job(turn, id, Cause::NoPrimary, None);
        }
        for Lagging { job, .. } in std::mem::take(&mut self.lagging) {
            self.end_not_run(turn, job, Cause::NoPrimary, None);
        }
        self.roll_back_idle(turn);
    }

    /// An entry's caller cancels its request.
    pub fn cancel(&mut self, turn: &mut Turn, origin: &VmId, request: RequestId) {
        let asked = |job: &Job| job.work.request == request && job.origin == *origin;
        if let Some(index) = self.lagging.iter().position(|lagging| asked(&lagging.job)) {
            let job = self.lagging.swap_remove(index).job;
            return self.end_not_run(turn, job, Cause::Expired, None);
        }
        let Some(id) = self.jobs.values().find(|job| asked(job)).map(|job| job.id) else {
            return;
        };
        if self.is_running(id) {
            self.cancel_running(turn, id);
        } else {
            self.drop_job(turn, id, Cause::Expired, None);
        }
        self.pump(turn);
    }

    /// A caller's connection is gone, or with no `link` a whole VM.
    pub fn depart(&mut self, turn: &mut Turn, vm: &VmId, link: Option<Link>) {
        let gone = |job: &Job| job.origin == *vm && link.is_none_or(|link| link == job.work.link);
        self.lagging.retain(|lagging| !gone(&lagging.job));
        let theirs = self.jobs.values().filter(|job| gone(job));
        let theirs: Vec<RequestId> = theirs.map(|job| job.id).collect();
        for id in theirs {
            self.abandon(turn, id);
        }
        self.roll_back_departed(turn, vm, link);
        self.pump(turn);
    }

    fn abandon(&mut self, turn: &mut Turn, id: RequestId) {
        if !self.is_running(id) {
            let released = self.release(turn.now, id);
            if let Some(job) = released.filter(Job::continues) {
                self.roll_back(turn, &job.owner());
            }
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.abandoned = true;
        if job.work.kind == Kind::Read || job.work.class == Class::Long {
            self.cancel_running(turn, id);
        }
    }

    /// A running job's connection broke or fell silent.
    pub(super) fn lose(&mut self, turn: &mut Turn, id: RequestId) {
        if let Some(job) = self.release(turn.now, id) {
            self.end(turn, job, End::Unknown(Unknown::Broken));
        }
    }
}
