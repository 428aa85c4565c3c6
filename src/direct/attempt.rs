//! One attempt to run a statement on one database: on a connection of this VM, or through an owner.

use crate::clock::{Span, Time};
use crate::direct::exchange::{self, Ran, SILENCE_TIMEOUT, Statement};
use crate::direct::job::{Job, Part};
use crate::direct::lead::{Epoch, Lease};
use crate::direct::outcome::{self, Loss};
use crate::direct::owner::Way;
use crate::direct::pool::Checkout;
use crate::direct::relay::line::Line;
use crate::direct::relay::{Execute, Opening, Reply, Request, Response, Start};
use crate::direct::session::Session;
use crate::direct::statement::{Answer, Code, End, Order, State};
use crate::direct::targets::{Target, Targets};
use crate::direct::view::Shared;
use crate::types::{GroupId, Position};
use bytes::BytesMut;
use std::net::SocketAddr;
use std::rc::Rc;

/// How much earlier the owner's deadline for a statement is than ours, so that its report of a timeout
/// still arrives: slightly more than a round trip between regions.
const OWNER_MARGIN: Span = Span::from_millis(30);

/// Where to send a statement, and with what.
#[derive(Debug)]
pub struct Plan {
    /// The database.
    pub target: Target,
    /// The lease, if it is sent to the group's primary.
    pub lease: Option<Lease>,
    /// A position that the database's log must have reached.
    pub after: Option<Position>,
}

/// The result of an attempt.
#[derive(Debug)]
pub enum Attempt {
    /// The database answered, and the answer may be returned to the caller.
    Answered(Answer, Box<Held>),
    /// The statement has not run.
    NotRun(Code),
    /// The statement has not run: the database was not reached.
    Unreached,
    /// The statement may have run.
    Lost(Loss),
}

/// Where the next statement of a transaction is sent.
#[derive(Debug)]
pub enum Channel {
    /// On a connection of this VM.
    Own(Box<Checkout>),
    /// On a connection of an owner.
    Through(Line),
}

/// What remains in use after a statement was answered.
#[derive(Debug)]
pub struct Held {
    /// Where its connection is.
    pub channel: Channel,
    /// The database.
    pub target: Target,
    /// The epoch, if the database is a primary.
    pub epoch: Option<Epoch>,
    work_guard: Option<WorkGuard>,
    /// Whether a transaction may be open on the owner's connection.
    pub open: bool,
}

/// Work in progress on a primary, which a planned change waits for; it ends when dropped.
#[derive(Debug)]
struct WorkGuard {
    shared: Rc<Shared>,
    group: GroupId,
    epoch: Epoch,
}

impl WorkGuard {
    fn start(shared: &Rc<Shared>, group: &GroupId, epoch: Epoch) -> Self {
        shared.modify_silently().work.start(group, epoch);
        Self {
            shared: shared.clone(),
            group: group.clone(),
            epoch,
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let last = {
            let mut view = self.shared.modify_silently();
            view.work.end(&self.group, self.epoch);
            !view.work.is_under_way(&self.group, self.epoch)
        };
        if last {
            self.shared.modify(|_| ());
        }
    }
}

/// The parameters of one attempt.
struct Run<'a> {
    targets: &'a Targets,
    session: &'a Session,
    job: &'a Job<'a>,
    plan: &'a Plan,
}

/// Runs a single statement, or the first one of a transaction, through an owner or directly.
pub async fn run(targets: &Targets, session: &Session, job: &Job<'_>, plan: &Plan) -> Attempt {
    let epoch = plan.lease.as_ref().map(|lease| lease.epoch);
    job.trace.tries(&plan.target.database.id, epoch);
    let run = Run {
        targets,
        session,
        job,
        plan,
    };
    if let Way::Through(owners) = &*targets.way(&plan.target.database, job.organisation)
        && let Some(attempt) = run.run_through_others(owners).await
    {
        return attempt;
    }
    match run.run_directly().await {
        Attempt::NotRun(Code::Full) if run.is_bounded_owner() => {
            let full = Attempt::NotRun(Code::Full);
            run.run_through(&run.fallbacks()).await.unwrap_or(full)
        }
        attempt => attempt,
    }
}

impl Run<'_> {
    /// The order that opens the transaction, if this is its first statement.
    fn begin(&self) -> Option<Order> {
        match self.job.part {
            Part::First { read } => Some(Order::Begin {
                read,
                after: self.plan.after,
            }),
            Part::Single | Part::Next => None,
        }
    }

    /// Starts work under the plan's lease: none if the lease no longer allows it. Work on a replica needs
    /// no lease and always starts.
    fn start(&self) -> Option<Option<WorkGuard>> {
        let Some(lease) = &self.plan.lease else {
            return Some(None);
        };
        let group = &self.job.route.group;
        let may_start = self.targets.may_start(group, lease.epoch);
        may_start.then(|| Some(WorkGuard::start(&self.targets.shared, group, lease.epoch)))
    }

    /// Whether the plan's lease is still valid; always true on a replica.
    fn holds(&self) -> bool {
        let Some(lease) = &self.plan.lease else {
            return true;
        };
        self.targets.holds(&self.job.route.group, lease.epoch)
    }

    fn held(&self, channel: Channel, work_guard: Option<WorkGuard>, open: bool) -> Held {
        Held {
            channel,
            target: self.plan.target.clone(),
            epoch: self.plan.lease.as_ref().map(|lease| lease.epoch),
            work_guard,
            open,
        }
    }

    async fn run_directly(&self) -> Attempt {
        let begin = self.begin();
        let statement = Statement {
            begin: begin.as_ref(),
            after: self.plan.after,
            ..self.job.statement(&self.session.values)
        };
        let target = &self.plan.target;
        let (start, holds) = (|| self.start(), || self.holds());
        match exchange::start(self.targets, target, &statement, start, holds).await {
            Ran::Answered(answer, checkout, work_guard, asked) => {
                let held = self.held(Channel::Own(checkout), work_guard, false);
                self.check(held, asked, answer)
            }
            Ran::NotRun(code) => Attempt::NotRun(code),
            Ran::Unreached => Attempt::Unreached,
            Ran::Lost(loss) => Attempt::Lost(loss),
        }
    }

    /// Decides whether an answer may be returned to the caller.
    fn check(&self, held: Held, asked: Time, answer: Answer) -> Attempt {
        let (targets, target) = (self.targets, &self.plan.target);
        if let Channel::Own(_) = held.channel {
            targets.responded(&target.database);
        }
        if let End::Error { code, .. } = answer.end
            && outcome::may_succeed_elsewhere(code)
        {
            exchange::note_refusal(targets, self.job.trace, target, code);
            targets.refused(target, answer.position, code == Code::Busy);
            held.release(targets);
            return Attempt::NotRun(code);
        }
        targets.answered(target, asked, &answer, self.job.urgency());
        if !self.holds() {
            self.job.trace.ended("lease");
            return Attempt::Lost(Loss::Lapsed);
        }
        if let (Some(epoch), Some(position)) = (held.epoch, answer.position)
            && targets.has_lost_log(target, epoch, asked, position)
        {
            self.job.trace.ended("log lost");
            return Attempt::Lost(Loss::Lapsed);
        }
        self.job.trace.ended("answered");
        if let (Some(epoch), Some(position)) = (held.epoch, answer.position) {
            targets.learn(&self.job.route.group, epoch, asked, position);
        }
        Attempt::Answered(answer, Box::new(held))
    }

    /// Sends the statement through the owners, or through the VMs that take their place if none is reached. None
    /// if it is to run on this VM's own connection: no VM took it, or this VM is an owner and the others have
    /// no connection left.
    async fn run_through_others(&self, owners: &[SocketAddr]) -> Option<Attempt> {
        match self.run_through(owners).await {
            Some(Attempt::NotRun(Code::Full)) if self.is_bounded_owner() => None,
            Some(attempt) => Some(attempt),
            None if self.is_bounded_owner() => None,
            None => self.run_through(&self.fallbacks()).await,
        }
    }

    fn fallbacks(&self) -> Vec<SocketAddr> {
        let database = &self.plan.target.database;
        self.targets.fallbacks(database, self.job.organisation)
    }

    /// Whether this VM is an owner, and the number of its connections has a bound.
    fn is_bounded_owner(&self) -> bool {
        let database = &self.plan.target.database;
        self.targets.is_bounded_owner(database)
    }

    /// Sends the statement through the first owner that takes it; none if no owner does.
    async fn run_through(&self, owners: &[SocketAddr]) -> Option<Attempt> {
        let lines = &self.targets.lines;
        let mut last = None;
        for owner in owners.iter().filter(|owner| !lines.avoids(**owner)) {
            let Ok(line) = lines.take(*owner).await else {
                continue;
            };
            match self.relay(line).await {
                Relayed::Final(attempt) => return Some(attempt),
                Relayed::TryNext(attempt) => last = Some(attempt),
                Relayed::NotTaken => {}
            }
            if self.targets.now() >= self.job.queue_until() {
                break;
            }
        }
        last
    }

    async fn relay(&self, mut line: Line) -> Relayed {
        let Some(work_guard) = self.start() else {
            self.job.trace.ended("lease");
            self.targets.lines.give_back(line);
            return Relayed::Final(Attempt::NotRun(Code::NotPrimary));
        };
        let request = Request::Start(self.request());
        let asked = self.targets.now();
        self.targets.sent(&self.plan.target.database);
        let mut limit = self.job.deadline().since(asked);
        if self.job.keeps_nothing() {
            // A frozen owner or a dead stream is given up after the same time as a silent database:
            // nothing of the statement is kept, so its caller can safely retry.
            limit = limit.min(SILENCE_TIMEOUT);
        }
        self.job.trace.through(line.owner());
        let lines = &self.targets.lines;
        let asked_owner = lines.ask_unless_left(&mut line, &request, limit, self.job.departure);
        let response = match asked_owner.await {
            Ok(response) => response,
            Err(loss) => {
                self.job.trace.ended("owner");
                let late = loss == Loss::Silent && self.targets.now() >= self.job.deadline();
                let loss = if late { Loss::Silent } else { Loss::Broken };
                return Relayed::Final(Attempt::Lost(loss));
            }
        };
        let pool = &self.plan.target.pool;
        match response.reply {
            // The time to retry of this organisation's work, which is not the wait of others.
            Reply::NotRun(Code::Busy) if pool.gate.is_fair() => {
                self.job.trace.retry(response.wait);
            }
            _ => pool.owner_waits(self.targets.now() + response.wait),
        }
        self.handle_reply(line, work_guard, asked, response)
    }

    fn request(&self) -> Start {
        let now = self.targets.now();
        Start {
            database: self.plan.target.database.id.clone(),
            begin: match self.job.part {
                Part::First { read } => Some(Opening { read }),
                Part::Single | Part::Next => None,
            },
            after: self.plan.after,
            statement: ask(self.targets, self.session, self.job, now),
        }
    }

    fn handle_reply(
        &self,
        line: Line,
        work_guard: Option<WorkGuard>,
        asked: Time,
        response: Response,
    ) -> Relayed {
        let (targets, target) = (self.targets, &self.plan.target);
        let lines = &targets.lines;
        match response.reply {
            Reply::Answered(answer) => {
                let first = matches!(self.job.part, Part::First { .. });
                let opened = first && answer.state == State::Open;
                let held = self.held(Channel::Through(line), work_guard, opened);
                Relayed::Final(self.check(held, asked, answer))
            }
            Reply::Stopping => {
                lines.avoid_stopping(line.owner());
                Relayed::NotTaken
            }
            Reply::Unknown => {
                // The owner may have just started: this says nothing about the database.
                self.job.trace.ended("unknown");
                lines.give_back(line);
                Relayed::NotTaken
            }
            Reply::NotRun(code) => {
                lines.give_back(line);
                exchange::note_refusal(targets, self.job.trace, target, code);
                if self.job.departure.has_left() {
                    self.job.trace.ended("left");
                }
                targets.refused(target, response.position, false);
                let attempt = Attempt::NotRun(code);
                match code {
                    Code::Full | Code::OtherDatabase => Relayed::TryNext(attempt),
                    _ => Relayed::Final(attempt),
                }
            }
            Reply::Unreached => {
                self.job.trace.ended("unreached");
                lines.give_back(line);
                targets.suspect(&target.database);
                Relayed::TryNext(Attempt::Unreached)
            }
            Reply::Granted(_) | Reply::Load(_) => {
                // Not a valid reply to a statement: the stream is out of step and is closed.
                self.job.trace.ended("owner");
                Relayed::Final(Attempt::Lost(Loss::Broken))
            }
            Reply::Lost(loss) => {
                self.job.trace.ended("lost");
                lines.give_back(line);
                targets.suspect(&target.database);
                Relayed::Final(Attempt::Lost(loss))
            }
        }
    }
}

/// The result of an attempt through one owner.
enum Relayed {
    /// The final result.
    Final(Attempt),
    /// The result, unless the next owner succeeds.
    TryNext(Attempt),
    /// The owner did not take the statement.
    NotTaken,
}

/// The request by which an owner is asked to run a statement.
pub fn ask(targets: &Targets, session: &Session, job: &Job<'_>, now: Time) -> Execute {
    let mut query = BytesMut::new();
    (targets.adapter.wire.write_query)(&mut query, job.query, None, None);
    let left = job.deadline().since(now);
    Execute {
        query: query.freeze(),
        shape: job.shape.map(|shape| (**shape).clone()),
        values: session.values.clone(),
        organisation: job.organisation.cloned(),
        urgency: job.urgency(),
        queue_timeout: job.queue_until().since(now),
        timeout: Span(left.0.saturating_sub(OWNER_MARGIN.0)),
    }
}

impl Held {
    /// Returns the connection; an open transaction is rolled back first.
    pub fn release(self, targets: &Targets) {
        match self.channel {
            Channel::Own(checkout) => exchange::give_back(targets, checkout, self.work_guard),
            Channel::Through(line) if !self.open => targets.lines.give_back(line),
            Channel::Through(line) => end_transaction(targets, line, self.work_guard),
        }
    }
}

/// Asks an owner to roll a transaction back, in a task of its own.
fn end_transaction(targets: &Targets, mut line: Line, work_guard: Option<WorkGuard>) {
    let lines = targets.lines.clone();
    actix_rt::spawn(async move {
        let ended = line.ask(&Request::End);
        if let Ok(Ok(_)) = tokio::time::timeout(SILENCE_TIMEOUT.into(), ended).await {
            lines.give_back(line);
        }
        drop(work_guard);
    });
}
