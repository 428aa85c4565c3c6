//! A transaction that is open on a database connection.

use crate::clock::Time;
use crate::direct::attempt::{self, Channel, Held};
use crate::direct::config::Route;
use crate::direct::exchange::{self, Failed};
use crate::direct::job::Job;
use crate::direct::outcome::{self, Loss};
use crate::direct::relay::line::Line;
use crate::direct::relay::{Reply, Request};
use crate::direct::session::Session;
use crate::direct::statement::{Answer, Code, End, State};
use crate::direct::targets::Targets;
use crate::types::DatabaseId;
use std::rc::Rc;

/// An open transaction.
#[derive(Debug)]
pub struct Transaction {
    held: Box<Held>,
    route: Rc<Route>,
    wrote: bool,
}

/// The result of a statement of a transaction.
#[derive(Debug)]
pub enum Next {
    /// The answer; the transaction has ended unless it is returned too.
    Answered(Answer, Option<Transaction>),
    /// The error for the caller; the transaction has ended.
    Failed(Code, &'static str),
}

impl Transaction {
    /// Creates it after its first statement was answered.
    pub fn new(held: Box<Held>, route: Rc<Route>, wrote: bool) -> Self {
        Self { held, route, wrote }
    }

    /// The route that it began with.
    pub fn route(&self) -> &Rc<Route> {
        &self.route
    }

    /// The database that it is open on.
    pub fn database(&self) -> &DatabaseId {
        &self.held.target.database.id
    }

    /// Rolls it back.
    pub fn roll_back(self, targets: &Targets) {
        self.held.release(targets);
    }

    fn holds(&self, targets: &Targets) -> bool {
        let Some(epoch) = self.held.epoch else {
            return true;
        };
        targets.holds(&self.route.group, epoch)
    }

    /// Runs its next statement.
    pub async fn next(mut self, targets: &Targets, session: &mut Session, job: &Job<'_>) -> Next {
        let (answer, asked) = match self.exchange(targets, session, job).await {
            Ok(answered) => answered,
            Err((code, text)) => return self.fail(targets, code, text),
        };
        job.trace.ended("answered");
        if let Channel::Own(_) = self.held.channel {
            targets.responded(&self.held.target.database);
        }
        let code = match &answer.end {
            End::Done(_) => None,
            End::Error { code, .. } => Some(*code),
        };
        if let Some(code) = code.filter(|code| code.is_not_run()) {
            exchange::note_refusal(targets, job.trace, &self.held.target, code);
        }
        if code.is_some_and(Code::is_not_run) {
            targets.refused(&self.held.target, answer.position, code == Some(Code::Busy));
            return self.refused(targets, job, answer);
        }
        targets.answered(&self.held.target, asked, &answer, job.urgency());
        if !self.holds(targets) {
            job.trace.ended("lease");
            let (code, text) = outcome::lost(job, self.wrote, Loss::Lapsed);
            return self.fail(targets, code, text);
        }
        self.learn(targets, session, job, asked, &answer);
        self.wrote |= job.writes;
        if job.commit || answer.state != State::Open {
            self.roll_back(targets);
            return Next::Answered(answer, None);
        }
        Next::Answered(answer, Some(self))
    }

    fn fail(self, targets: &Targets, code: Code, text: &'static str) -> Next {
        self.roll_back(targets);
        Next::Failed(code, text)
    }

    /// Ends the transaction after a statement was reported as not run, whatever state the database
    /// reports.
    fn refused(self, targets: &Targets, job: &Job<'_>, mut answer: Answer) -> Next {
        self.roll_back(targets);
        answer.state = match job.commit {
            true => State::Idle,
            false => State::Failed,
        };
        Next::Answered(answer, None)
    }

    fn learn(
        &self,
        targets: &Targets,
        session: &mut Session,
        job: &Job<'_>,
        asked: Time,
        answer: &Answer,
    ) {
        let (Some(epoch), Some(position)) = (self.held.epoch, answer.position) else {
            return;
        };
        let group = &job.route.group;
        targets.learn(group, epoch, asked, position);
        session.primary_has(group, position);
        if job.commit && self.wrote && matches!(answer.end, End::Done(_)) {
            session.committed(group, position);
        }
    }

    /// Sends the statement on the connection or to the owner where the transaction is open.
    async fn exchange(
        &mut self,
        targets: &Targets,
        session: &Session,
        job: &Job<'_>,
    ) -> Result<(Answer, Time), (Code, &'static str)> {
        job.trace
            .tries(&self.held.target.database.id, self.held.epoch);
        let holds = || {
            self.held
                .epoch
                .is_none_or(|e| targets.holds(&self.route.group, e))
        };
        let target = &self.held.target;
        let ran = match &mut self.held.channel {
            Channel::Own(checkout) => {
                let statement = job.statement(&session.values);
                exchange::next(targets, target, checkout.connection(), &statement, holds).await
            }
            Channel::Through(_) if !holds() => {
                job.trace.ended("lease");
                Err(Failed::Ended)
            }
            Channel::Through(line) => through(targets, session, job, line).await,
        };
        if let Ok((answer, _)) = &ran {
            self.held.open &= answer.state == State::Open;
        }
        ran.map_err(|failed| self.failed(job, failed))
    }

    fn failed(&mut self, job: &Job<'_>, failed: Failed) -> (Code, &'static str) {
        match failed {
            Failed::Busy => (Code::Busy, "the database is busy"),
            Failed::Ended => (Code::RolledBack, "the primary is being replaced"),
            Failed::Broken => {
                let text = "the connection to the database broke";
                (Code::RolledBack, text)
            }
            Failed::Lost(loss) => outcome::lost(job, self.wrote, loss),
        }
    }
}

/// Sends the next statement to the owner on which the transaction is open.
async fn through(
    targets: &Targets,
    session: &Session,
    job: &Job<'_>,
    line: &mut Line,
) -> Result<(Answer, Time), Failed> {
    let asked = targets.now();
    let request = Request::Next(attempt::ask(targets, session, job, asked));
    let limit = job.deadline().since(asked);
    job.trace.through(line.owner());
    job.trace.ended("owner");
    let lines = &targets.lines;
    let response = lines.ask_unless_left(line, &request, limit, job.departure);
    let response = response.await.map_err(Failed::Lost)?;
    match response.reply {
        Reply::Answered(answer) => Ok((answer, asked)),
        Reply::NotRun(Code::Busy) => {
            job.trace.ended("queue");
            Err(Failed::Busy)
        }
        Reply::NotRun(_) | Reply::Unreached | Reply::Unknown | Reply::Stopping => {
            Err(Failed::Broken)
        }
        Reply::Granted(_) | Reply::Load(_) => Err(Failed::Lost(Loss::Broken)),
        Reply::Lost(loss) => {
            job.trace.ended("lost");
            Err(Failed::Lost(loss))
        }
    }
}
