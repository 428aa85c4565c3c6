//! Runs callers' statements: chooses the database, retries, and waits for a database that can run them.
//!
//! A database may be busy, behind, full or gone while another one of its group is not, and a group's primary
//! may be replaced while its callers go on. Without retries, callers would get errors for statements that
//! another database could have run, or a new primary a second later; with unlimited retries, the load would
//! multiply when all databases are full.
//!
//! A statement that was not run is tried on the next database at once. A busy primary is tried again for a
//! quarter of the objective, and a primary that is being replaced is waited for. A retry budget limits how
//! often reads whose answer was lost are repeated.

use crate::admission::absence::{Absences, Decision};
use crate::clock::{Span, Time};
use crate::core::retry::Budget;
use crate::direct::adapter::Adapter;
use crate::direct::attempt::{self, Attempt, Held, Plan};
use crate::direct::config::{Kind, Route};
use crate::direct::front::Location;
use crate::direct::identity::Allowance;
use crate::direct::job::{Job, Part};
use crate::direct::meter::Meter;
use crate::direct::outcome::{self, Loss};
use crate::direct::quota::{Demand, Refusal};
use crate::direct::session::{Phase, Session, error};
use crate::direct::statement::{Answer, Code, End, State};
use crate::direct::targets::Targets;
use crate::direct::transaction::{Next, Transaction};
use crate::direct::view::Shared;
use crate::types::{OrganisationId, Position};
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

/// How long to wait for an update of who leads before a primary that refused is tried again.
const PRIMARY_RETRY_DELAY: Span = Span::from_millis(150);

/// How often a statement that waits for a primary checks whether a position from another VM allows a replica
/// to serve it.
const POSITION_CHECK_INTERVAL: Span = Span::from_millis(250);

/// The delay between two tries at a busy primary: about the time of a short statement.
const BUSY_RETRY_DELAY: Span = Span::from_millis(15);

/// The retry time stated to callers while a group has no primary: a change takes about this much longer.
const NO_PRIMARY_RETRY: Span = Span::from_millis(500);

type Ran = (Answer, Option<Transaction>);

/// Runs statements.
pub struct Runner {
    targets: Rc<Targets>,
    budget: RefCell<Budget>,
    absences: RefCell<Absences>,
}

impl fmt::Debug for Runner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Runner").finish_non_exhaustive()
    }
}

/// The outcome of a read on replicas.
enum ReplicaOutcome {
    Answered(Answer, Box<Held>),
    /// No replica ran it.
    NotRun,
    /// It may have run. The first statement of a transaction is then not repeated, as that would be on
    /// another connection.
    Lost(Loss),
}

/// What to do after a try at the primary.
enum Step {
    Answer(Ran),
    Retry,
}

impl Runner {
    /// A runner without connections.
    pub fn new(adapter: Adapter, shared: Rc<Shared>, place: Location) -> Self {
        Self {
            targets: Targets::new(adapter, shared, place),
            budget: RefCell::default(),
            absences: RefCell::default(),
        }
    }

    /// The databases; statements of other VMs use them too.
    pub fn targets(&self) -> &Rc<Targets> {
        &self.targets
    }

    /// Rolls back an open transaction.
    pub fn roll_back(&self, transaction: Transaction) {
        transaction.roll_back(&self.targets);
    }

    /// Runs a single statement, or the first one of a transaction, if its organisation's allowance has a
    /// token for it.
    pub async fn spend_and_start(&self, session: &mut Session, job: &Job<'_>) -> Ran {
        let Some(organisation) = job.organisation else {
            return self.start(session, job).await;
        };
        let quotas = &self.targets.quotas;
        let token = match quotas.spend(organisation, self.demand(job)).await {
            Ok(token) => token,
            Err(refusal) => return self.over_allowance(session, job, organisation, &refusal),
        };
        let ran = self.start(session, job).await;
        if let (Some(token), true) = (token, never_ran(&ran.0)) {
            quotas.put_back(organisation, token);
        }
        ran
    }

    fn demand(&self, job: &Job<'_>) -> Demand {
        let ranks = &self.targets.shared.get().ranks;
        Demand {
            rank: ranks.rank(job.route.priority),
            until: job.token_until(),
        }
    }

    /// Answers that the organisation's allowance permits no operation now.
    fn over_allowance(
        &self,
        session: &mut Session,
        job: &Job<'_>,
        organisation: &OrganisationId,
        refusal: &Refusal,
    ) -> Ran {
        match refusal {
            Refusal::Spent {
                allowance,
                retry,
                standing,
            } => {
                job.trace.ended("allowance");
                job.trace.without_token(*standing);
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

    /// Runs a single statement, or the first one of a transaction, which is left open.
    pub async fn start(&self, session: &mut Session, job: &Job<'_>) -> Ran {
        self.budget.borrow_mut().deposit(self.targets.now());
        let mut tried_replicas = false;
        loop {
            if !tried_replicas && let Some(after) = self.required_position(session, job) {
                tried_replicas = true;
                match self.on_replicas(session, job, after).await {
                    ReplicaOutcome::Answered(answer, held) => {
                        return self.settle(session, job, answer, held);
                    }
                    ReplicaOutcome::Lost(why) => {
                        let (code, text) = outcome::lost(job, false, why);
                        return self.fail(session, job, code, text);
                    }
                    ReplicaOutcome::NotRun => {}
                }
            }
            if let Step::Answer(ran) = self.on_primary(session, job).await {
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

    /// The position that a replica's log must have reached to serve the job, if one is known.
    fn required_position(&self, session: &Session, job: &Job<'_>) -> Option<Position> {
        let staleness = job.staleness()?;
        let group = &job.route.group;
        let position = self.targets.position_at(group, job.since - staleness)?;
        let floor = match job.route.kind {
            Kind::Session(_) => session.floor(group),
            Kind::Bounded(_) | Kind::Primary => None,
        };
        Some(floor.map_or(position, |floor| floor.max(position)))
    }

    /// Tries replicas that are new enough, the best first.
    async fn on_replicas(
        &self,
        session: &Session,
        job: &Job<'_>,
        after: Position,
    ) -> ReplicaOutcome {
        let urgency = job.urgency();
        for target in self.targets.copies(&job.route.group, after, urgency) {
            if self.targets.now() >= job.deadline() {
                return ReplicaOutcome::NotRun;
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
                Attempt::Answered(answer, held) => return ReplicaOutcome::Answered(answer, held),
                Attempt::NotRun(_) | Attempt::Unreached => {}
                Attempt::Lost(_) if job.is_repeatable() && self.may_repeat() => {}
                Attempt::Lost(why) => return ReplicaOutcome::Lost(why),
            }
        }
        ReplicaOutcome::NotRun
    }

    /// Whether a read that failed on one replica is run on the next one.
    ///
    /// A database may fail some of its statements and be healthy otherwise; its share of the reads would get
    /// errors, or come back as new requests. A read changes nothing, so it may run again. The budget limits
    /// repeats of statements that fail everywhere.
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
    async fn on_primary(&self, session: &mut Session, job: &Job<'_>) -> Step {
        if self.targets.now() >= job.deadline() {
            // Any earlier try was answered or was a read, so no change was made.
            let text = "no copy could run it in time";
            return Step::Answer(self.busy(session, job, NO_PRIMARY_RETRY, text));
        }
        let group = &job.route.group;
        let Some((lease, target)) = self.targets.primary(group) else {
            self.meter().lease_lapsed(group);
            let text = "no primary is known";
            if !self.targets.shared.get().expects_primary(group) {
                return Step::Answer(self.busy(session, job, NO_PRIMARY_RETRY, text));
            }
            let started = self.targets.now();
            if let Decision::Refuse(retry) = self.decide_absence(job, started) {
                return Step::Answer(self.busy(session, job, retry, text));
            }
            let left = job.primary_wait_until().since(started);
            let update = self.targets.wait_for_primary_change(
                group,
                None,
                left.min(POSITION_CHECK_INTERVAL),
            );
            let updated = update.await;
            let now = self.targets.now();
            job.trace.without_primary(now.since(started));
            if updated || now < job.primary_wait_until() {
                return Step::Retry;
            }
            return Step::Answer(self.busy(session, job, NO_PRIMARY_RETRY, text));
        };
        self.absences.borrow_mut().end(group);
        let plan = Plan {
            target,
            lease: Some(lease),
            after: None,
        };
        let attempt = attempt::run(&self.targets, session, job, &plan).await;
        self.next_step(session, job, &plan, attempt).await
    }

    /// Whether a request waits for its group's next primary. Where all routes have the same priority, it does.
    fn decide_absence(&self, job: &Job<'_>, now: Time) -> Decision {
        if !self.targets.shared.get().ranks.differ() {
            return Decision::Wait;
        }
        let Route { group, timeout, .. } = &**job.route;
        let mut absences = self.absences.borrow_mut();
        absences.decide(group, job.arrived, *timeout, now)
    }

    /// Decides what to do after a try at the primary.
    async fn next_step(
        &self,
        session: &mut Session,
        job: &Job<'_>,
        plan: &Plan,
        attempt: Attempt,
    ) -> Step {
        let now = self.targets.now();
        match attempt {
            Attempt::Answered(answer, held) => {
                Step::Answer(self.settle(session, job, answer, held))
            }
            Attempt::NotRun(Code::Busy | Code::Full | Code::NoStatement)
                if now + BUSY_RETRY_DELAY >= job.queue_until() =>
            {
                let retry = plan.target.pool.retry(now);
                Step::Answer(self.busy(session, job, retry, "the primary is busy"))
            }
            Attempt::NotRun(Code::Busy | Code::NoStatement) => {
                tokio::time::sleep(BUSY_RETRY_DELAY.into()).await;
                Step::Retry
            }
            Attempt::NotRun(Code::Full) => {
                plan.target.pool.wait().await;
                Step::Retry
            }
            Attempt::NotRun(code) if !outcome::may_succeed_elsewhere(code) => {
                Step::Answer(self.fail(session, job, code, "refused by the database"))
            }
            Attempt::NotRun(_) | Attempt::Unreached => {
                if now + PRIMARY_RETRY_DELAY >= job.primary_wait_until() {
                    let text = "the primary does not serve";
                    return Step::Answer(self.busy(session, job, NO_PRIMARY_RETRY, text));
                }
                let group = &job.route.group;
                let epoch = plan.lease.as_ref().map(|lease| lease.epoch);
                self.targets
                    .wait_for_primary_change(group, epoch, PRIMARY_RETRY_DELAY)
                    .await;
                job.trace.without_primary(self.targets.now().since(now));
                Step::Retry
            }
            Attempt::Lost(why) => {
                let repeats = why != Loss::Silent && job.is_repeatable() && self.may_repeat();
                if repeats && now < job.primary_wait_until() {
                    return Step::Retry;
                }
                let (code, text) = outcome::lost(job, false, why);
                Step::Answer(self.fail(session, job, code, text))
            }
        }
    }

    /// Makes the caller's answer from a database's answer, and keeps or returns the connection.
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

    /// Answers that nothing was run, and after which time to retry.
    fn busy(&self, session: &mut Session, job: &Job<'_>, retry: Span, text: &str) -> Ran {
        let retry_ms = retry.0 / 1_000;
        let text = format!("{text}; retry_ms={retry_ms}");
        self.fail(session, job, Code::Busy, &text)
    }

    /// Answers that the statement failed, and with it its transaction.
    fn fail(&self, session: &mut Session, job: &Job<'_>, code: Code, text: &str) -> Ran {
        session.phase = match job.part == Part::Single || job.commit {
            true => Phase::Idle,
            false => Phase::Failed,
        };
        (session.answer(error(code, text)), None)
    }
}

/// Whether an answer means that no database ran the statement.
fn never_ran(answer: &Answer) -> bool {
    matches!(answer.end, End::Error { code, .. } if outcome::may_succeed_elsewhere(code))
}
