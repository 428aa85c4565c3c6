//! One try to run a statement on one database: on a connection of this VM, or through an owner.

use crate::clock::{Span, Time};
use crate::direct::exchange::{self, Ran, SILENT, Statement};
use crate::direct::job::{Job, Part};
use crate::direct::lead::{Epoch, Lease};
use crate::direct::outcome::{self, Why};
use crate::direct::owner::Way;
use crate::direct::pool::Lent;
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

/// How much sooner than a statement is given up here its owner gives it up, so that what the owner
/// knows of it still arrives: a round trip between regions and a little.
const OWNER_MARGIN: Span = Span::from_millis(30);

/// Where to send a statement, and with what.
#[derive(Debug)]
pub struct Plan {
    /// The database.
    pub target: Target,
    /// The lease, if it is sent to the primary.
    pub lease: Option<Lease>,
    /// A position that the log must have.
    pub after: Option<Position>,
}

/// How a try ended.
#[derive(Debug)]
pub enum Attempt {
    /// The database answered, and the answer may be passed on.
    Answered(Answer, Box<Held>),
    /// It has not run.
    NotRun(Code),
    /// It has not run: the database was not reached.
    Unreached,
    /// It may have run.
    Lost(Why),
}

/// Where a transaction goes on.
#[derive(Debug)]
pub enum Seat {
    /// On a connection of this VM.
    Own(Box<Lent>),
    /// On a connection of an owner.
    Through(Line),
}

/// What a statement that was answered leaves behind.
#[derive(Debug)]
pub struct Held {
    /// Its connection.
    pub seat: Seat,
    /// The database.
    pub target: Target,
    /// The epoch, on a primary.
    pub epoch: Option<Epoch>,
    under_way: Option<UnderWay>,
    /// Whether a transaction may be open at the owner.
    pub open: bool,
}

/// Work on a primary, which a planned change waits for; over when dropped.
#[derive(Debug)]
struct UnderWay {
    shared: Rc<Shared>,
    group: GroupId,
    epoch: Epoch,
}

impl UnderWay {
    fn start(shared: &Rc<Shared>, group: &GroupId, epoch: Epoch) -> Self {
        shared.modify_silently().work.start(group, epoch);
        Self {
            shared: shared.clone(),
            group: group.clone(),
            epoch,
        }
    }
}

impl Drop for UnderWay {
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

/// One try: what it is about.
struct Try<'a> {
    targets: &'a Targets,
    session: &'a Session,
    job: &'a Job<'a>,
    plan: &'a Plan,
}

/// Tries to run a statement that stands alone or opens a transaction.
pub async fn run(targets: &Targets, session: &Session, job: &Job<'_>, plan: &Plan) -> Attempt {
    let epoch = plan.lease.as_ref().map(|lease| lease.epoch);
    job.trace.tries(&plan.target.database.id, epoch);
    let one = Try {
        targets,
        session,
        job,
        plan,
    };
    if let Way::Through(owners) = &*targets.way(&plan.target.database, job.organisation)
        && let Some(attempt) = one.through(owners).await
    {
        return attempt;
    }
    one.own().await
}

impl Try<'_> {
    /// The order that opens the transaction.
    fn begin(&self) -> Option<Order> {
        match self.job.part {
            Part::First { read } => Some(Order::Begin {
                read,
                after: self.plan.after,
            }),
            Part::Single | Part::Next => None,
        }
    }

    /// Begins work on a primary, if that may start; on a replica it always may.
    fn start(&self) -> Option<Option<UnderWay>> {
        let Some(lease) = &self.plan.lease else {
            return Some(None);
        };
        let group = &self.job.route.group;
        let may_start = self.targets.may_start(group, lease.epoch);
        may_start.then(|| Some(UnderWay::start(&self.targets.shared, group, lease.epoch)))
    }

    /// Whether the plan still holds: on a primary, its lease.
    fn holds(&self) -> bool {
        let Some(lease) = &self.plan.lease else {
            return true;
        };
        self.targets.holds(&self.job.route.group, lease.epoch)
    }

    fn held(&self, seat: Seat, under_way: Option<UnderWay>, open: bool) -> Held {
        Held {
            seat,
            target: self.plan.target.clone(),
            epoch: self.plan.lease.as_ref().map(|lease| lease.epoch),
            under_way,
            open,
        }
    }

    async fn own(&self) -> Attempt {
        let begin = self.begin();
        let statement = Statement {
            begin: begin.as_ref(),
            after: self.plan.after,
            ..self.job.statement(&self.session.values)
        };
        let target = &self.plan.target;
        let (start, holds) = (|| self.start(), || self.holds());
        match exchange::start(self.targets, target, &statement, start, holds).await {
            Ran::Answered(answer, lent, under_way, asked) => {
                let held = self.held(Seat::Own(lent), under_way, false);
                self.judge(held, asked, answer)
            }
            Ran::NotRun(code) => Attempt::NotRun(code),
            Ran::Unreached => Attempt::Unreached,
            Ran::Lost(why) => Attempt::Lost(why),
        }
    }

    /// Decides whether an answer may be passed on.
    fn judge(&self, held: Held, asked: Time, answer: Answer) -> Attempt {
        let (targets, target) = (self.targets, &self.plan.target);
        if let Seat::Own(_) = held.seat {
            targets.answers(&target.database);
        }
        if let End::Error { code, .. } = answer.end
            && outcome::may_do_elsewhere(code)
        {
            exchange::note_refusal(targets, self.job.trace, target, code);
            targets.refused(target, answer.position, code == Code::Busy);
            held.release(targets);
            return Attempt::NotRun(code);
        }
        targets.answered(target, asked, &answer, self.job.urgency());
        if !self.holds() {
            self.job.trace.ended("lease");
            return Attempt::Lost(Why::Lapsed);
        }
        if let (Some(epoch), Some(position)) = (held.epoch, answer.position)
            && targets.has_lost_log(target, epoch, asked, position)
        {
            self.job.trace.ended("log lost");
            return Attempt::Lost(Why::Lapsed);
        }
        self.job.trace.ended("answered");
        if let (Some(epoch), Some(position)) = (held.epoch, answer.position) {
            targets.learn(&self.job.route.group, epoch, asked, position);
        }
        Attempt::Answered(answer, Box::new(held))
    }

    /// Asks the owners in turn; none if none of them took the statement.
    async fn through(&self, owners: &[SocketAddr]) -> Option<Attempt> {
        let lines = &self.targets.lines;
        let mut last = None;
        for owner in owners.iter().filter(|owner| !lines.avoids(**owner)) {
            let Ok(line) = lines.take(*owner).await else {
                continue;
            };
            match self.by(line).await {
                Passed::Attempt(attempt) => return Some(attempt),
                Passed::Elsewhere(attempt) => last = Some(attempt),
                Passed::Away => {}
            }
            if self.targets.now() >= self.job.queue_until() {
                break;
            }
        }
        last
    }

    async fn by(&self, mut line: Line) -> Passed {
        let Some(under_way) = self.start() else {
            self.job.trace.ended("lease");
            self.targets.lines.give_back(line);
            return Passed::Attempt(Attempt::NotRun(Code::NotPrimary));
        };
        let request = Request::Start(self.request());
        let asked = self.targets.now();
        self.targets.sent(&self.plan.target.database);
        let mut limit = self.job.deadline().since(asked);
        if self.job.is_kept_by_nobody() {
            // A frozen owner, or one whose stream fell silent for good, is left as soon as a silent
            // database is reported: a caller that is promised that nothing is kept can ask again.
            limit = limit.min(SILENT);
        }
        self.job.trace.through(line.owner());
        let told = match self.targets.lines.ask(&mut line, &request, limit).await {
            Ok(told) => told,
            Err(why) => {
                self.job.trace.ended("owner");
                let late = why == Why::Silent && self.targets.now() >= self.job.deadline();
                let why = if late { Why::Silent } else { Why::Broken };
                return Passed::Attempt(Attempt::Lost(why));
            }
        };
        let pool = &self.plan.target.pool;
        pool.owner_waits(self.targets.now() + told.wait);
        self.passed(line, under_way, asked, told)
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

    fn passed(
        &self,
        line: Line,
        under_way: Option<UnderWay>,
        asked: Time,
        told: Response,
    ) -> Passed {
        let (targets, target) = (self.targets, &self.plan.target);
        let lines = &targets.lines;
        match told.reply {
            Reply::Answered(answer) => {
                let first = matches!(self.job.part, Part::First { .. });
                let opened = first && answer.state == State::Open;
                let held = self.held(Seat::Through(line), under_way, opened);
                Passed::Attempt(self.judge(held, asked, answer))
            }
            Reply::Stopping => {
                lines.avoid_stopping(line.owner());
                Passed::Away
            }
            Reply::Unknown => {
                // It may have started a moment ago: that is no word of the database.
                self.job.trace.ended("unknown");
                lines.give_back(line);
                Passed::Away
            }
            Reply::NotRun(code) => {
                lines.give_back(line);
                exchange::note_refusal(targets, self.job.trace, target, code);
                targets.refused(target, told.position, false);
                let attempt = Attempt::NotRun(code);
                match code {
                    Code::Full | Code::OtherDatabase => Passed::Elsewhere(attempt),
                    _ => Passed::Attempt(attempt),
                }
            }
            Reply::Unreached => {
                self.job.trace.ended("unreached");
                lines.give_back(line);
                targets.doubt(&target.database);
                Passed::Elsewhere(Attempt::Unreached)
            }
            Reply::Granted(_) => {
                // No reply to a statement: the stream is of no use any more.
                self.job.trace.ended("owner");
                Passed::Attempt(Attempt::Lost(Why::Broken))
            }
            Reply::Lost(why) => {
                self.job.trace.ended("lost");
                lines.give_back(line);
                targets.doubt(&target.database);
                Passed::Attempt(Attempt::Lost(why))
            }
        }
    }
}

/// How a try through one owner ended.
enum Passed {
    /// As the try at the database did.
    Attempt(Attempt),
    /// The same, unless another owner can do better.
    Elsewhere(Attempt),
    /// The owner took nothing.
    Away,
}

/// A statement as an owner is asked for it.
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
    /// Gives the connection back; an open transaction is rolled back first.
    pub fn release(self, targets: &Targets) {
        match self.seat {
            Seat::Own(lent) => exchange::give_back(targets, lent, self.under_way),
            Seat::Through(line) if !self.open => targets.lines.give_back(line),
            Seat::Through(line) => end(targets, line, self.under_way),
        }
    }
}

/// Has an owner roll a transaction back.
fn end(targets: &Targets, mut line: Line, under_way: Option<UnderWay>) {
    let lines = targets.lines.clone();
    actix_rt::spawn(async move {
        let ended = line.ask(&Request::End);
        if let Ok(Ok(_)) = tokio::time::timeout(SILENT.into(), ended).await {
            lines.give_back(line);
        }
        drop(under_way);
    });
}
