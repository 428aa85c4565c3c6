//! A transaction that is open on a connection.

use crate::clock::{Span, Time};
use crate::direct::attempt::{self, Held};
use crate::direct::config::Route;
use crate::direct::connection::Lost;
use crate::direct::gate;
use crate::direct::job::Job;
use crate::direct::outcome::{self, Why};
use crate::direct::session::Session;
use crate::direct::statement::{Answer, Code, End, State};
use crate::direct::targets::Targets;
use crate::types::DatabaseId;
use std::rc::Rc;

/// Between two tries at a busy database: about a short statement's time.
const BUSY_PAUSE: Span = Span::from_millis(15);

/// A transaction that is open.
#[derive(Debug)]
pub struct Transaction {
    held: Box<Held>,
    route: Rc<Route>,
    wrote: bool,
}

/// How a statement of a transaction ended.
#[derive(Debug)]
pub enum Next {
    /// The answer; the transaction is gone unless it is returned too.
    Answered(Answer, Option<Transaction>),
    /// What to tell; the transaction is gone.
    Failed(Code, &'static str),
}

impl Transaction {
    /// A transaction whose first statement was answered.
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
        let code = match &answer.end {
            End::Done(_) => None,
            End::Error { code, .. } => Some(*code),
        };
        if let Some(code) = code.filter(|code| code.is_not_run()) {
            attempt::note_refusal(targets, job, &self.held.target, code);
        }
        if code.is_some_and(Code::is_not_run) {
            targets.refused(&self.held.target, answer.position, code == Some(Code::Busy));
            return self.refused(targets, job, answer);
        }
        targets.answered(&self.held.target, asked, &answer, job.urgency());
        if !self.holds(targets) {
            job.trace.ended("lease");
            let (code, text) = outcome::lost(job, self.wrote, Why::Lapsed);
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

    /// A promise ends the transaction, whatever state the database left it in.
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

    /// Sends the statement, again while the database is too busy to run it, as long as it may wait.
    async fn exchange(
        &mut self,
        targets: &Targets,
        session: &Session,
        job: &Job<'_>,
    ) -> Result<(Answer, Time), (Code, &'static str)> {
        let gate = self.held.target.pool.gate.clone();
        job.trace
            .tries(&self.held.target.database.id, self.held.epoch);
        loop {
            let came = targets.now();
            let patience = job.queue_until().since(came);
            let entered = gate.enter(gate::OPEN, patience).await;
            job.trace.queued(targets.now().since(came));
            let Ok(_permit) = entered else {
                job.trace.ended("queue");
                return Err((Code::Busy, "the database is busy"));
            };
            self.prepare(targets, session, job).await?;
            if !self.holds(targets) {
                job.trace.ended("lease");
                return Err((Code::RolledBack, "the primary is being replaced"));
            }
            let asked = targets.now();
            let target = self.held.target.clone();
            let connection = self.held.lent.connection();
            let sent = attempt::send(targets, &target, job, connection, None).await;
            let answer = match sent {
                Ok(answer) => answer,
                Err(lost) => {
                    let why = attempt::why(targets, job, &target, asked, &lost);
                    return Err(outcome::lost(job, self.wrote, why));
                }
            };
            let busy = matches!(
                answer.end,
                End::Error {
                    code: Code::Busy,
                    ..
                }
            );
            let again = targets.now() + BUSY_PAUSE < job.queue_until();
            if !busy || answer.state != State::Open || !again {
                return Ok((answer, asked));
            }
            gate.refused(targets.now());
            drop(_permit);
            tokio::time::sleep(BUSY_PAUSE.into()).await;
        }
    }

    /// Makes session values true that were set since the transaction began.
    async fn prepare(
        &mut self,
        targets: &Targets,
        session: &Session,
        job: &Job<'_>,
    ) -> Result<(), (Code, &'static str)> {
        let left = job.deadline().since(targets.now());
        let prepared = self.held.lent.connection().prepare(session, None);
        let result = tokio::time::timeout(left.into(), prepared).await;
        let Err(lost) = result.unwrap_or(Err(Lost::Silent)) else {
            return Ok(());
        };
        let target = &self.held.target;
        attempt::why(targets, job, target, targets.now(), &lost);
        Err((Code::RolledBack, "the connection to the database broke"))
    }
}
