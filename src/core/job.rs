//! Work at its database's holder, and what came of it.

use crate::clock::Time;
use crate::config::Timing;
use crate::core::database::{Refusal, Reply};
use crate::core::message::Work;
use crate::core::request::{Class, Kind, NotRun, Unknown};
use crate::types::{Link, RequestId, Term, VmId};

/// Work at its database's holder.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    /// The holder's own number for it.
    pub id: RequestId,
    /// The entry's VM.
    pub origin: VmId,
    pub work: Work,
    pub deadline: Time,
    /// The term under which it runs, on a primary.
    pub term: Option<Term>,
    /// The entry or its caller is gone: nobody is told.
    pub abandoned: bool,
}

/// What came of a job at its database.
#[derive(Debug)]
pub(crate) enum End {
    Answered(Reply),
    NotRun(NotRun, Option<Refusal>),
    Unknown(Unknown),
}

/// A job that has left the holder.
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

    /// When its connection counts as silent, if it is run at `now`.
    pub fn silent_at(&self, now: Time, timing: Timing) -> Time {
        let answer = now + timing.answer;
        if self.work.class == Class::Long {
            return answer.max(self.deadline);
        }
        answer
    }
}
