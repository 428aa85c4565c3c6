//! Jobs: work at its database's holder, and its result.

use crate::clock::Time;
use crate::config::Timing;
use crate::core::database::{Refusal, Reply};
use crate::core::message::Work;
use crate::core::request::{Class, Kind, NotRun, Unknown};
use crate::types::{Link, RequestId, Term, VmId};

/// Work at its database's holder.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// The holder's own number for the job.
    pub id: RequestId,
    /// The VM of the entry that sent it.
    pub origin: VmId,
    pub work: Work,
    pub deadline: Time,
    /// The term in which it runs, on a primary.
    pub term: Option<Term>,
    /// Whether the entry or its caller is gone, so that no answer is sent.
    pub abandoned: bool,
}

/// The result of a job at its database.
#[derive(Debug)]
pub(crate) enum End {
    Answered(Reply),
    NotRun(NotRun, Option<Refusal>),
    Unknown(Unknown),
}

/// A job that has ended, with its result.
#[derive(Debug)]
pub(crate) struct Ended {
    pub job: Job,
    pub end: End,
}

impl Job {
    /// Whether it belongs to the transaction that its link has open.
    pub fn continues(&self) -> bool {
        self.work.kind == Kind::Continue
    }

    pub fn owner(&self) -> (VmId, Link) {
        (self.origin.clone(), self.work.link)
    }

    /// When its connection counts as silent, if the job starts at `now`.
    pub fn silent_at(&self, now: Time, timing: Timing) -> Time {
        let answer = now + timing.answer;
        if self.work.class == Class::Long {
            return answer.max(self.deadline);
        }
        answer
    }
}
