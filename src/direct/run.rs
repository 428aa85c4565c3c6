//! Runs callers' statements: on which database, how often, and how long it waits for one.
//!
//! **Pattern answered.** A copy that is busy, behind, full or gone beside one that is not; a group
//! whose primary is being replaced while its callers go on.
//! **Without it** each such moment is an error to callers whose statement another copy could have
//! run, or that a new primary runs a second later; and where all copies are full, tries multiply the load.
//!
//! What was not run is tried on the next copy at once, and a primary that is only busy again, for a
//! quarter of the objective. A primary that is being replaced is waited for. Repeating a read whose
//! answer was lost is paid from a budget.

use crate::clock::Span;
use crate::core::retry::Budget;
use crate::direct::adapter::Adapter;
use crate::direct::attempt::{self, Attempt, Held, Plan};
use crate::direct::config::Kind;
use crate::direct::front::Location;
use crate::direct::identity::Allowance;
use crate::direct::job::{Job, Part};
use crate::direct::meter::Meter;
use crate::direct::outcome::{self, Loss};
use crate::direct::quota::Refusal;
use crate::direct::session::{Phase, Session, error};
use crate::direct::statement::{Answer, Code, End, State};
use crate::direct::targets::Targets;
use crate::direct::transaction::{Next, Transaction};
use crate::direct::view::Shared;
use crate::types::{OrganisationId, Position};
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

/// How long to wait for news of who leads before a primary that refused is asked again.
const ASK_AGAIN: Span = Span::from_millis(150);

/// A statement that waits for a primary looks this often whether another VM has told how far the
/// log is, so that a replica may serve it.
const LOOK_AGAIN: Span = Span::from_millis(250);

/// Between two tries at a busy primary: about a short statement's time.
const BUSY_PAUSE: Span = Span::from_millis(15);

/// When to come back while a group has no primary: a change takes about this much longer.
const NO_PRIMARY_RETRY: Span = Span::from_millis(500);

type Ran = (Answer, Option<Transaction>);

/// Runs statements.
pub struct Runner {
    targets: Rc<Targets>,
    budget: RefCell<Budget>,
}

impl fmt::Debug for Runner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Runner").finish_non_exhaustive()
    }
}

/// How a read ended on copies.
enum OnCopies {
    Answered(Answer, Box<Held>),
    /// No copy ran it.
    NotRun,
    /// It may have run. The first statement of a transaction is not run again then: it would be
    /// on another connection than before.
    Lost(Loss),
}

/// What to do after a try at the primary.
enum Then {
    Answer(Ran),
    Again,
}

impl Runner {
    /// A runner without connections.
    pub fn new(adapter: Adapter, shared: Rc<Shared>, place: Location) -> Self {
        Self {
            targets: Targets::new(adapter, shared, place),
            budget: RefCell::default(),
        }
    }

    /// The databases, which other VMs' statements reach too.
    pub fn targets(&self) -> &Rc<Targets> {
        &self.targets
    }

    /// Rolls an open transaction back.
    pub fn roll_back(&self, transaction: Transaction) {
        transaction.roll_back(&self.targets);
    }

    /// Runs a statement that stands alone, or the first one of a transaction, if its organisation may
    /// ask for one more operation.
    pub async fn spend_and_start(&self, session: &mut Session, job: &Job<'_>) -> Ran {
        let Some(organisation) = job.organisation else {
            return self.start(session, job).await;
        };
        let quotas = &self.targets.quotas;
        let token = match quotas.spend(organisation).await {
            Ok(token) => token,
            Err(refusal) => return self.over(session, job, organisation, &refusal),
        };
        let ran = self.start(session, job).await;
        if let (Some(token), true) = (token, never_ran(&ran.0)) {
            quotas.put_back(organisation, token);
        }
        ran
    }

    /// An answer that says that the organisation may not ask for more now.
    fn over(
        &self,
        session: &mut Session,
        job: &Job<'_>,
        organisation: &OrganisationId,
        refusal: &Refusal,
    ) -> Ran {
        match refusal {
            Refusal::Spent { allowance, retry } => {
                job.trace.ended("allowance");
                let Allowance { rate, burst } = allowance;
                let text =
                    format!("{organisation} is over its allowance of {rate}, {burst} at once");
                self.busy(session, job, *retry, &text)
            }
            Refusal::Unkept { retry } => {
                job.trace.ended("unkept");
                let text = format!("no VM that keeps the allowance of {organisation} answers");
                self.busy(session, job, *retry, &text)
            }
        }
    }

    /// Runs a statement that stands alone, or the first one of a transaction, which is left open.
    pub async fn start(&self, session: &mut Session, job: &Job<'_>) -> Ran {
        self.budget.borrow_mut().deposit(self.targets.now());
        let mut tried_copies = false;
        loop {
            if !tried_copies && let Some(after) = self.needed(session, job) {
                tried_copies = true;
                match self.on_copies(session, job, after).await {
                    OnCopies::Answered(answer, held) => {
                        return self.settle(session, job, answer, held);
                    }
                    OnCopies::Lost(why) => {
                        let (code, text) = outcome::lost(job, false, why);
                        return self.fail(session, job, code, text);
                    }
                    OnCopies::NotRun => {}
                }
            }
            if let Then::Answer(ran) = self.on_primary(session, job).await {
                return ran;
            }
        }
    }

    /// Runs the next statement of an open transaction.
    pub async fn next(&self, session: &mut Session, open: Transaction, job: &Job<'_>) -> Ran {
        match open.next(&self.targets, session, job).await {
            Next::Failed(code, text) => self.fail(session, job, code, text),
            Next::Answered(mut answer, Some(open)) => {
                answer.state = session.state();
                (answer, Some(open))
            }
            Next::Answered(mut answer, None) => {
                session.phase = match job.commit {
                    true => Phase::Idle,
                    false => Phase::Failed,
                };
                answer.state = session.state();
                (answer, None)
            }
        }
    }

    /// The position that makes a replica's log new enough, if one is known.
    fn needed(&self, session: &Session, job: &Job<'_>) -> Option<Position> {
        let staleness = job.staleness()?;
        let group = &job.route.group;
        let position = self.targets.position_at(group, job.since - staleness)?;
        let floor = match job.route.kind {
            Kind::Session(_) => session.floor(group),
            Kind::Bounded(_) | Kind::Primary => None,
        };
        Some(floor.map_or(position, |floor| floor.max(position)))
    }

    /// Tries copies that are new enough, the best first.
    async fn on_copies(&self, session: &Session, job: &Job<'_>, after: Position) -> OnCopies {
        let urgency = job.urgency();
        for target in self.targets.copies(&job.route.group, after, urgency) {
            if self.targets.now() >= job.deadline() {
                return OnCopies::NotRun;
            }
            let plan = Plan {
                target,
                lease: None,
                after: Some(after),
            };
            match attempt::run(&self.targets, session, job, &plan).await {
                Attempt::Answered(answer, held) if self.may_run_elsewhere(job, &answer) => {
                    self.targets.erred(&held.target.database);
                    held.release(&self.targets);
                }
                Attempt::Answered(answer, held) => return OnCopies::Answered(answer, held),
                Attempt::NotRun(_) | Attempt::Unreached => {}
                Attempt::Lost(_) if job.is_repeatable() && self.may_repeat() => {}
                Attempt::Lost(why) => return OnCopies::Lost(why),
            }
        }
        OnCopies::NotRun
    }

    /// Whether a read that failed on one copy is run on the next one.
    ///
    /// **Pattern answered.** A database fails part of what it runs, and is well otherwise. **Without
    /// it** its share of the reads is told an error, or comes back as new requests. A read changes
    /// nothing, so it may run again; the budget bounds how many do where the fault is the statement's.
    fn may_run_elsewhere(&self, job: &Job<'_>, answer: &Answer) -> bool {
        let failed = matches!(
            answer.end,
            End::Error {
                code: Code::Failed,
                ..
            }
        );
        failed && job.is_repeatable() && self.may_repeat()
    }

    fn may_repeat(&self) -> bool {
        let now = self.targets.now();
        self.budget.borrow_mut().withdraw(now)
    }

    /// Tries the primary once, or waits until there is one.
    async fn on_primary(&self, session: &mut Session, job: &Job<'_>) -> Then {
        if self.targets.now() >= job.deadline() {
            // What ran was answered, or was a read: nothing of it is kept.
            let text = "no copy could run it in time";
            return Then::Answer(self.busy(session, job, NO_PRIMARY_RETRY, text));
        }
        let group = &job.route.group;
        let Some((lease, target)) = self.targets.primary(group) else {
            self.meter().lease_lapsed(group);
            let text = "no primary is known";
            if !self.targets.shared.look().expects_primary(group) {
                return Then::Answer(self.busy(session, job, NO_PRIMARY_RETRY, text));
            }
            let came = self.targets.now();
            let left = job.primary_wait_until().since(came);
            let news = self
                .targets
                .wait_for_primary_change(group, None, left.min(LOOK_AGAIN));
            let came_news = news.await;
            let now = self.targets.now();
            job.trace.without_primary(now.since(came));
            if came_news || now < job.primary_wait_until() {
                return Then::Again;
            }
            return Then::Answer(self.busy(session, job, NO_PRIMARY_RETRY, text));
        };
        let plan = Plan {
            target,
            lease: Some(lease),
            after: None,
        };
        let attempt = attempt::run(&self.targets, session, job, &plan).await;
        self.after(session, job, &plan, attempt).await
    }

    /// Decides what follows from a try at the primary.
    async fn after(
        &self,
        session: &mut Session,
        job: &Job<'_>,
        plan: &Plan,
        attempt: Attempt,
    ) -> Then {
        let now = self.targets.now();
        match attempt {
            Attempt::Answered(answer, held) => {
                Then::Answer(self.settle(session, job, answer, held))
            }
            Attempt::NotRun(Code::Busy | Code::Full | Code::NoStatement)
                if now + BUSY_PAUSE >= job.queue_until() =>
            {
                let retry = plan.target.pool.retry(now);
                Then::Answer(self.busy(session, job, retry, "the primary is busy"))
            }
            Attempt::NotRun(Code::Busy | Code::NoStatement) => {
                tokio::time::sleep(BUSY_PAUSE.into()).await;
                Then::Again
            }
            Attempt::NotRun(Code::Full) => {
                plan.target.pool.wait().await;
                Then::Again
            }
            Attempt::NotRun(code) if !outcome::may_succeed_elsewhere(code) => {
                Then::Answer(self.fail(session, job, code, "refused by the database"))
            }
            Attempt::NotRun(_) | Attempt::Unreached => {
                if now + ASK_AGAIN >= job.primary_wait_until() {
                    let text = "the primary does not serve";
                    return Then::Answer(self.busy(session, job, NO_PRIMARY_RETRY, text));
                }
                let group = &job.route.group;
                let epoch = plan.lease.as_ref().map(|lease| lease.epoch);
                self.targets
                    .wait_for_primary_change(group, epoch, ASK_AGAIN)
                    .await;
                job.trace.without_primary(self.targets.now().since(now));
                Then::Again
            }
            Attempt::Lost(why) => {
                let repeats = why != Loss::Silent && job.is_repeatable() && self.may_repeat();
                if repeats && now < job.primary_wait_until() {
                    return Then::Again;
                }
                let (code, text) = outcome::lost(job, false, why);
                Then::Answer(self.fail(session, job, code, text))
            }
        }
    }

    /// Turns a database's answer into the caller's, and keeps or returns the connection.
    fn settle(
        &self,
        session: &mut Session,
        job: &Job<'_>,
        mut answer: Answer,
        held: Box<Held>,
    ) -> Ran {
        if !job.writes && matches!(answer.end, End::Done(_)) {
            self.meter().read(held.epoch.is_none());
        }
        if let (Some(_), Some(position)) = (held.epoch, answer.position) {
            session.primary_has(&job.route.group, position);
            let wrote = job.part == Part::Single && job.writes;
            if wrote && matches!(answer.end, End::Done(_)) {
                session.committed(&job.route.group, position);
            }
        }
        let first = match job.part {
            Part::First { read } if !job.commit => Some(read),
            _ => None,
        };
        if let (Some(read), State::Open) = (first, answer.state) {
            session.phase = Phase::Open { read };
            let open = Transaction::new(held, job.route.clone(), job.writes);
            return (answer, Some(open));
        }
        session.phase = match first {
            Some(_) => Phase::Failed,
            None => Phase::Idle,
        };
        answer.state = session.state();
        held.release(&self.targets);
        (answer, None)
    }

    fn meter(&self) -> &Meter {
        &self.targets.shared.meter
    }

    /// An answer that says that nothing was run, and when to come back.
    fn busy(&self, session: &mut Session, job: &Job<'_>, retry: Span, text: &str) -> Ran {
        let retry_ms = retry.0 / 1_000;
        let text = format!("{text}; retry_ms={retry_ms}");
        self.fail(session, job, Code::Busy, &text)
    }

    /// An answer that says that the statement failed, and with it its transaction.
    fn fail(&self, session: &mut Session, job: &Job<'_>, code: Code, text: &str) -> Ran {
        session.phase = match job.part == Part::Single || job.commit {
            true => Phase::Idle,
            false => Phase::Failed,
        };
        (session.answer(error(code, text)), None)
    }
}

/// Whether an answer says that no database has run anything.
fn never_ran(answer: &Answer) -> bool {
    matches!(answer.end, End::Error { code, .. } if outcome::may_succeed_elsewhere(code))
}
