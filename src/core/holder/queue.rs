//! The path of work to a connection: checks, the queue, and the ways in which it can end without
//! having been run.

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

/// Maximum number of reads that wait for one replica to catch up. More would end up waiting for the
/// primary and reach it all at once.
const MAX_LAGGING: usize = 256;

impl Holder {
    /// Accepts work from an entry.
    pub fn offer(&mut self, turn: &mut Turn, origin: VmId, work: Work) {
        let job = Job {
            id: turn.id(),
            origin,
            deadline: turn.now + work.timeout,
            term: self.role.term(),
            abandoned: false,
            work,
        };
        if job.continues() {
            return self.offer_continued(turn, job);
        }
        if let Some(cause) = self.rejection(turn, &job) {
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

    /// Why `job` may not start here, if so.
    ///
    /// When a database is being removed or its primary role has moved, work must not be cut off or
    /// written where it would be lost. No new work starts then, and running work keeps its
    /// connection until it ends.
    fn rejection(&self, turn: &Turn, job: &Job) -> Option<Cause> {
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
        if self.lagging.len() >= MAX_LAGGING {
            return self.end_behind(turn, job);
        }
        let until = job.deadline.min(turn.now + catch_up);
        self.lagging.push(Lagging { job, until });
        self.refresh(turn);
    }

    /// Checks the reads that wait for the log: runs those that the replica can serve now, and ends
    /// those that have waited too long.
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

    /// Gives free slots and connections to waiting jobs.
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

    /// Removes a job from the queue and its slot.
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

    /// Ends a job. If a statement of a transaction was not run and its caller went on to commit,
    /// half of a booking would be stored; so the whole transaction is rolled back.
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

    /// Ends jobs that waited too long, and closes connections that stopped answering.
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

    /// Handles the end of the primary role: jobs that have not started end, and open transactions,
    /// whose commits the database now refuses, are rolled back.
    pub(super) fn end_primary_role(&mut self, turn: &mut Turn) {
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

    /// Cancels a request for an entry's caller.
    pub fn cancel(&mut self, turn: &mut Turn, origin: &VmId, request: RequestId) {
        let is_requested = |job: &Job| job.work.request == request && job.origin == *origin;
        if let Some(index) = self
            .lagging
            .iter()
            .position(|lagging| is_requested(&lagging.job))
        {
            let job = self.lagging.swap_remove(index).job;
            return self.end_not_run(turn, job, Cause::Expired, None);
        }
        let Some(id) = self
            .jobs
            .values()
            .find(|job| is_requested(job))
            .map(|job| job.id)
        else {
            return;
        };
        if self.is_running(id) {
            self.cancel_running(turn, id);
        } else {
            self.drop_job(turn, id, Cause::Expired, None);
        }
        self.pump(turn);
    }

    /// Handles the end of a caller's connection, or without `link` the loss of a whole VM.
    pub fn depart(&mut self, turn: &mut Turn, vm: &VmId, link: Option<Link>) {
        let gone = |job: &Job| job.origin == *vm && link.is_none_or(|link| link == job.work.link);
        self.lagging.retain(|lagging| !gone(&lagging.job));
        let departed = self.jobs.values().filter(|job| gone(job));
        let departed: Vec<RequestId> = departed.map(|job| job.id).collect();
        for id in departed {
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

    /// Ends a running job whose connection broke or stopped answering.
    pub(super) fn end_unknown(&mut self, turn: &mut Turn, id: RequestId) {
        if let Some(job) = self.release(turn.now, id) {
            self.end(turn, job, End::Unknown(Unknown::Broken));
        }
    }
}
