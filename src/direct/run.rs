//! Runs callers' statements on databases.
//!
//! What is told to a caller follows from what can have happened. A statement that was not sent
//! has not run. Nothing is passed on from a primary unless the lease under which it was sent still
//! holds once the answer was read.

use crate::clock::{Span, Time};
use crate::core::message::Hint;
use crate::core::route::{Candidate, Need, Router};
use crate::direct::adapter::Adapter;
use crate::direct::config::{Database, Kind, Route};
use crate::direct::connection::{Closed, Lost};
use crate::direct::fresh::Fresh;
use crate::direct::front::Place;
use crate::direct::gate::{self, Urgency};
use crate::direct::lead::{Epoch, Lease};
use crate::direct::pool::{Lent, Pool};
use crate::direct::session::{Phase, Session, Shape, error};
use crate::direct::statement::{Answer, Code, End, Order, Query, State};
use crate::direct::view::Shared;
use crate::types::{DatabaseId, GroupId, Position};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::pin::pin;
use std::rc::Rc;

/// How long a statement waits for a primary at most: a planned change takes less, and one after a
/// crash little more, whereas a caller that waits longer has missed its objective anyway.
const NEWS: Span = Span::from_millis(2_500);

/// How long to wait for news of who leads before a primary that refused is asked again.
const ASK_AGAIN: Span = Span::from_millis(150);

/// Between two tries at a busy primary: about a short statement's time.
const BUSY_PAUSE: Span = Span::from_millis(15);

/// When to come back while a group has no primary: a change takes about this much longer.
const NO_PRIMARY_RETRY: Span = Span::from_millis(500);

/// A database that has not answered for this long is reported, although its answer may still
/// come: slow databases answer sooner, and a replacement should not wait for a route's timeout.
const SILENT: Span = Span::from_millis(400);

/// One statement, and what it is part of.
#[derive(Debug)]
pub struct Job<'a> {
    /// The route.
    pub route: &'a Route,
    /// The statement.
    pub query: &'a Query,
    /// The prepared statement that it runs.
    pub shape: Option<&'a Rc<Shape>>,
    /// Whether it writes.
    pub writes: bool,
    /// Whether a transaction is to be opened first, and if so, whether it only reads.
    pub begin: Option<bool>,
    /// Whether it is the transaction's commit.
    pub commit: bool,
    /// When it, or its transaction, first came.
    pub since: Time,
    /// When it came.
    pub came: Time,
}

impl Job<'_> {
    fn deadline(&self) -> Time {
        self.came + self.route.timeout
    }

    /// Until when it may wait for a busy database.
    fn queue_until(&self) -> Time {
        self.came + self.route.objective.percent(25)
    }

    fn news_until(&self) -> Time {
        self.came + self.route.timeout.min(NEWS)
    }

    fn urgency(&self) -> Urgency {
        self.route.priority.saturating_add(gate::OPEN + 1)
    }

    /// How old the data may be, if it need not be the newest.
    fn staleness(&self) -> Option<Span> {
        let reads = self.begin.unwrap_or(!self.writes && !self.commit);
        match self.route.kind {
            Kind::Bounded(span) | Kind::Session(span) if reads => Some(span),
            _ => None,
        }
    }

    /// Whether it may be run again after it was lost.
    fn is_repeatable(&self) -> bool {
        !self.writes && !self.commit && self.begin.is_none()
    }
}

/// A transaction that runs on a connection.
#[derive(Debug)]
pub struct Transaction {
    lent: Lent,
    pool: Rc<Pool>,
    database: Rc<Database>,
    route: Rc<Route>,
    epoch: Option<Epoch>,
    wrote: bool,
    _under_way: Option<UnderWay>,
}

impl Transaction {
    /// The route that it began with.
    pub fn route(&self) -> &Rc<Route> {
        &self.route
    }
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
        shared.quietly().work.start(group, epoch);
        Self {
            shared: shared.clone(),
            group: group.clone(),
            epoch,
        }
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.shared.quietly().work.end(&self.group, self.epoch);
        let more = self
            .shared
            .look()
            .work
            .is_under_way(&self.group, self.epoch);
        if !more {
            self.shared.change(|_| ());
        }
    }
}

/// How one try at one database ended.
enum Attempt {
    Answered(Answer, Held),
    /// It has not run.
    NotRun(Code),
    /// It has not run: the database was not reached.
    Unreached,
    /// It may have run, and its answer is lost.
    Lost,
    /// It may have run, and time is up.
    Late,
    /// It may have run, and the lease lapsed meanwhile.
    Lapsed,
}

/// What a statement that was answered leaves behind.
struct Held {
    lent: Lent,
    pool: Rc<Pool>,
    under_way: Option<UnderWay>,
}

/// What a statement is sent with.
struct Plan {
    database: Rc<Database>,
    lease: Option<Lease>,
    after: Option<Position>,
    patience: Span,
}

/// Runs statements.
pub struct Runner {
    adapter: Adapter,
    shared: Rc<Shared>,
    place: Place,
    fresh: RefCell<Fresh>,
    pools: RefCell<BTreeMap<DatabaseId, Rc<Pool>>>,
    routers: RefCell<BTreeMap<GroupId, Router>>,
}

impl fmt::Debug for Runner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Runner").finish_non_exhaustive()
    }
}

impl Runner {
    /// A runner without connections.
    pub fn new(adapter: Adapter, shared: Rc<Shared>, place: Place) -> Self {
        Self {
            adapter,
            shared,
            place,
            fresh: RefCell::default(),
            pools: RefCell::default(),
            routers: RefCell::default(),
        }
    }

    /// Runs a statement outside a transaction, or the first one of a transaction, which is left
    /// open then.
    pub async fn start(
        &self,
        session: &mut Session,
        job: &Job<'_>,
    ) -> (Answer, Option<Transaction>) {
        if let Some(after) = self.needed(session, job)
            && let Some((answer, held, database)) = self.on_replicas(session, job, after).await
        {
            return self.settle(session, job, answer, held, database, None);
        }
        self.on_primary(session, job).await
    }

    /// The position that makes a replica's log new enough, if one is known.
    fn needed(&self, session: &Session, job: &Job<'_>) -> Option<Position> {
        let staleness = job.staleness()?;
        let group = &job.route.group;
        let fresh = self.fresh.borrow();
        let position = fresh.oldest_allowed(group, job.since - staleness)?;
        let floor = match job.route.kind {
            Kind::Session(_) => session.floor(group),
            _ => None,
        };
        Some(floor.map_or(position, |floor| floor.max(position)))
    }

    async fn on_replicas(
        &self,
        session: &Session,
        job: &Job<'_>,
        after: Position,
    ) -> Option<(Answer, Held, Rc<Database>)> {
        for database in self.order(job, after) {
            let now = self.now();
            let plan = Plan {
                patience: job.queue_until().since(now),
                database,
                lease: None,
                after: Some(after),
            };
            let attempt = self.attempt(session, job, &plan).await;
            let Attempt::Answered(answer, held) = attempt else {
                if self.now() >= job.deadline() {
                    return None;
                }
                continue;
            };
            return Some((answer, held, plan.database));
        }
        None
    }

    /// The replicas to try, best first, as far as they come before the primary.
    fn order(&self, job: &Job<'_>, after: Position) -> Vec<Rc<Database>> {
        let now = self.now();
        let view = self.shared.look();
        let group = &job.route.group;
        let lead = view.book.known(group).map(|(lead, _)| &lead.primary);
        let members: Vec<&Database> = view.members(group).filter(|d| !d.leaving).collect();
        let candidates: Vec<Candidate> = members
            .iter()
            .map(|database| Candidate {
                database: database.id.clone(),
                primary: Some(&database.id) == lead,
                near: self.place.is_near(&database.domain),
            })
            .collect();
        let need = Need {
            floor: Some(after),
            max_age: None,
        };
        let mut routers = self.routers.borrow_mut();
        let router = routers.entry(group.clone()).or_default();
        let order = router.order(now, &need, &candidates);
        let replicas = order.iter().take_while(|id| Some(*id) != lead);
        let found = replicas.filter_map(|id| members.iter().find(|d| d.id == *id));
        let mut found: Vec<Rc<Database>> = found.map(|d| Rc::new((*d).clone())).collect();
        let urgency = job.urgency();
        found.sort_by_key(|database| self.pool(database).gate.wait(urgency) > Span::ZERO);
        found
    }

    async fn on_primary(
        &self,
        session: &mut Session,
        job: &Job<'_>,
    ) -> (Answer, Option<Transaction>) {
        loop {
            let now = self.now();
            let changed = self.shared.changed();
            let known = self.primary(&job.route.group, now);
            let Some((lease, database)) = known else {
                if now >= job.news_until() {
                    let text = "no primary is known";
                    return self.busy(session, job, NO_PRIMARY_RETRY, text);
                }
                let wait = job.news_until().since(now);
                let _ = tokio::time::timeout(wait.into(), changed).await;
                continue;
            };
            let plan = Plan {
                database,
                lease: Some(lease),
                after: None,
                patience: job.queue_until().since(now),
            };
            let attempt = self.attempt(session, job, &plan).await;
            let now = self.now();
            match attempt {
                Attempt::Answered(answer, held) => {
                    let epoch = plan.lease.map(|lease| lease.epoch);
                    return self.settle(session, job, answer, held, plan.database, epoch);
                }
                Attempt::NotRun(Code::Busy | Code::Full) => {
                    let gate = &self.pool(&plan.database).gate;
                    if now + BUSY_PAUSE >= job.queue_until() {
                        return self.busy(session, job, gate.retry(), "the primary is busy");
                    }
                    tokio::time::sleep(BUSY_PAUSE.into()).await;
                }
                Attempt::NotRun(Code::NoStatement) => {}
                Attempt::NotRun(code) if !is_about_the_primary(code) => {
                    return self.fail(session, job, code, "refused by the database");
                }
                Attempt::NotRun(_) | Attempt::Unreached => {
                    if now + ASK_AGAIN >= job.news_until() {
                        let text = "the primary does not serve";
                        return self.busy(session, job, NO_PRIMARY_RETRY, text);
                    }
                    let _ = tokio::time::timeout(ASK_AGAIN.into(), changed).await;
                }
                Attempt::Late => {
                    return self.fail(session, job, Code::Late, "the route's timeout is over");
                }
                Attempt::Lost | Attempt::Lapsed
                    if job.is_repeatable() && now < job.news_until() => {}
                Attempt::Lost | Attempt::Lapsed => {
                    let code = match job.writes && job.begin.is_none() {
                        true => Code::Unknown,
                        false => Code::RolledBack,
                    };
                    return self.fail(session, job, code, "the primary was lost");
                }
            }
        }
    }

    fn primary(&self, group: &GroupId, now: Time) -> Option<(Lease, Rc<Database>)> {
        let view = self.shared.look();
        let (lease, database) = view.primary(group, now)?;
        Some((lease, Rc::new(database.clone())))
    }

    /// Tries one database.
    async fn attempt(&self, session: &Session, job: &Job<'_>, plan: &Plan) -> Attempt {
        let pool = self.pool(&plan.database);
        let Ok(permit) = pool.gate.enter(job.urgency(), plan.patience).await else {
            return Attempt::NotRun(Code::Busy);
        };
        let taken = pool.take(&self.adapter, &plan.database, session, plan.patience);
        let mut lent = match taken.await {
            Ok(lent) => lent,
            Err(closed) => return self.not_opened(&plan.database, closed),
        };
        if !self.holds(job, plan) {
            lent.give_back(&self.adapter);
            return Attempt::NotRun(Code::NotPrimary);
        }
        let lease = plan.lease.as_ref();
        let group = &job.route.group;
        let under_way = lease.map(|lease| UnderWay::start(&self.shared, group, lease.epoch));
        let Some(connection) = lent.connection() else {
            return Attempt::Unreached;
        };
        let after = plan.after;
        let begin = job.begin.map(|read| Order::Begin { read, after });
        let left = job.deadline().since(self.now());
        let prepared = connection.prepare(session, begin);
        match tokio::time::timeout(left.into(), prepared).await {
            Ok(Ok(None)) => {}
            Ok(Ok(Some(code))) => {
                self.refused(job, &plan.database, code);
                lent.give_back(&self.adapter);
                return Attempt::NotRun(code);
            }
            Ok(Err(_)) | Err(_) => {
                self.failed(&plan.database);
                return Attempt::Unreached;
            }
        }
        if !self.holds(job, plan) {
            return Attempt::NotRun(Code::NotPrimary);
        }
        let asked = self.now();
        let after = plan.after.filter(|_| job.begin.is_none());
        let sent = self.send(&mut lent, &plan.database, job, after).await;
        drop(permit);
        let answer = match sent {
            Ok(answer) => answer,
            Err(lost) => return self.lost(job, &plan.database, &pool, asked, &lost),
        };
        self.answered(job, &plan.database, &pool, asked, &answer);
        if let End::Error { code, .. } = answer.end
            && is_elsewhere(code)
        {
            self.refused(job, &plan.database, code);
            self.discard(lent);
            return Attempt::NotRun(code);
        }
        if !self.holds(job, plan) {
            return Attempt::Lapsed;
        }
        if let (Some(lease), Some(position)) = (&plan.lease, answer.position) {
            let mut fresh = self.fresh.borrow_mut();
            fresh.learn(group, lease.epoch, asked, position);
        }
        let held = Held {
            lent,
            pool,
            under_way,
        };
        Attempt::Answered(answer, held)
    }

    /// Sends a statement and reads its answer, until the statement's deadline.
    async fn send(
        &self,
        lent: &mut Lent,
        database: &Database,
        job: &Job<'_>,
        after: Option<Position>,
    ) -> Result<Answer, Lost> {
        let Some(connection) = lent.connection() else {
            return Err(Lost::Silent);
        };
        let mut run = pin!(connection.run(job.query, job.shape, after));
        let left = job.deadline().since(self.now());
        let first = left.min(SILENT);
        if let Ok(result) = tokio::time::timeout(first.into(), &mut run).await {
            return result;
        }
        self.failed(database);
        let rest = job.deadline().since(self.now());
        match tokio::time::timeout(rest.into(), run).await {
            Ok(result) => result,
            Err(_) => Err(Lost::Silent),
        }
    }

    /// Whether what was planned may go on: a statement on a primary needs the lease.
    fn holds(&self, job: &Job<'_>, plan: &Plan) -> bool {
        let Some(lease) = &plan.lease else {
            return true;
        };
        self.holds_epoch(&job.route.group, lease.epoch)
    }

    fn holds_epoch(&self, group: &GroupId, epoch: Epoch) -> bool {
        self.shared.look().book.holds(group, epoch, self.now())
    }

    /// Turns a database's answer into the caller's, and keeps or returns the connection.
    fn settle(
        &self,
        session: &mut Session,
        job: &Job<'_>,
        mut answer: Answer,
        held: Held,
        database: Rc<Database>,
        epoch: Option<Epoch>,
    ) -> (Answer, Option<Transaction>) {
        self.learn(
            session,
            job.route,
            &answer,
            epoch,
            job.writes && job.begin.is_none(),
        );
        if job.begin.is_some() && !job.commit && answer.state == State::Open {
            session.phase = Phase::Open;
            let transaction = Transaction {
                wrote: job.writes,
                lent: held.lent,
                pool: held.pool,
                database,
                route: Rc::new(job.route.clone()),
                epoch,
                _under_way: held.under_way,
            };
            return (answer, Some(transaction));
        }
        session.phase = match job.begin.is_some() && !job.commit {
            true => Phase::Failed,
            false => Phase::Idle,
        };
        answer.state = session.state();
        self.discard(held.lent);
        (answer, None)
    }

    /// Learns from an answer of the primary where the session's floor is.
    fn learn(
        &self,
        session: &mut Session,
        route: &Route,
        answer: &Answer,
        epoch: Option<Epoch>,
        committed: bool,
    ) {
        let (Some(_), Some(position)) = (epoch, answer.position) else {
            return;
        };
        session.primary_has(&route.group, position);
        if committed && matches!(answer.end, End::Done(_)) {
            session.committed(&route.group, position);
        }
    }

    /// Runs the next statement of an open transaction. The transaction is gone if it failed.
    pub async fn next(
        &self,
        session: &mut Session,
        mut transaction: Transaction,
        job: &Job<'_>,
    ) -> (Answer, Option<Transaction>) {
        if !self.still_leads(&transaction) {
            return self.fail(
                session,
                job,
                Code::RolledBack,
                "the primary is being replaced",
            );
        }
        let asked = self.now();
        let answer = match self.exchange(session, &mut transaction, job).await {
            Ok(answer) => answer,
            Err((code, text)) => return self.fail(session, job, code, text),
        };
        let (pool, database) = (transaction.pool.clone(), transaction.database.clone());
        self.answered(job, &database, &pool, asked, &answer);
        let promise = matches!(answer.end, End::Error { code, .. } if code.is_not_run());
        if !promise && !self.still_leads(&transaction) {
            let code = match job.commit && transaction.wrote {
                true => Code::Unknown,
                false => Code::RolledBack,
            };
            return self.fail(session, job, code, "the primary was replaced meanwhile");
        }
        self.went_on(session, transaction, job, answer, asked)
    }

    fn went_on(
        &self,
        session: &mut Session,
        mut transaction: Transaction,
        job: &Job<'_>,
        mut answer: Answer,
        asked: Time,
    ) -> (Answer, Option<Transaction>) {
        let committed = job.commit && transaction.wrote;
        self.learn(session, job.route, &answer, transaction.epoch, committed);
        if let (Some(epoch), Some(position)) = (transaction.epoch, answer.position)
            && self.still_leads(&transaction)
        {
            let mut fresh = self.fresh.borrow_mut();
            fresh.learn(&job.route.group, epoch, asked, position);
        }
        if !job.commit && answer.state == State::Open {
            transaction.wrote |= job.writes;
            return (answer, Some(transaction));
        }
        session.phase = match job.commit {
            true => Phase::Idle,
            false => Phase::Failed,
        };
        answer.state = session.state();
        self.roll_back(transaction);
        (answer, None)
    }

    async fn exchange(
        &self,
        session: &Session,
        transaction: &mut Transaction,
        job: &Job<'_>,
    ) -> Result<Answer, (Code, &'static str)> {
        let patience = job.route.objective.percent(50);
        let gate = transaction.pool.gate.clone();
        let busy_until = job.came + patience;
        loop {
            let Ok(_permit) = gate.enter(gate::OPEN, patience).await else {
                return Err((Code::Busy, "the database is busy"));
            };
            let Some(connection) = transaction.lent.connection() else {
                return Err((Code::RolledBack, "the connection is gone"));
            };
            let left = job.deadline().since(self.now());
            let prepared = connection.prepare(session, None);
            if !matches!(tokio::time::timeout(left.into(), prepared).await, Ok(Ok(_))) {
                self.failed(&transaction.database);
                return Err((Code::RolledBack, "the connection broke"));
            }
            if !self.still_leads(transaction) {
                return Err((Code::RolledBack, "the primary is being replaced"));
            }
            let asked = self.now();
            let database = transaction.database.clone();
            let sent = self.send(&mut transaction.lent, &database, job, None).await;
            let answer = match sent {
                Ok(answer) => answer,
                Err(lost) => {
                    self.lost(job, &database, &transaction.pool, asked, &lost);
                    return Err(lost_in_transaction(&lost, job, transaction.wrote));
                }
            };
            let busy = matches!(
                answer.end,
                End::Error {
                    code: Code::Busy,
                    ..
                }
            );
            if !busy || answer.state != State::Open || self.now() >= busy_until {
                return Ok(answer);
            }
            gate.refused(self.now());
            tokio::time::sleep(BUSY_PAUSE.into()).await;
        }
    }

    fn still_leads(&self, transaction: &Transaction) -> bool {
        let Some(epoch) = transaction.epoch else {
            return true;
        };
        self.holds_epoch(&transaction.route.group, epoch)
    }

    /// Rolls a transaction back in the background, and returns its connection.
    pub fn roll_back(&self, transaction: Transaction) {
        let Transaction {
            lent, _under_way, ..
        } = transaction;
        self.discard_after(lent, _under_way);
    }

    fn discard(&self, lent: Lent) {
        self.discard_after(lent, None);
    }

    /// Returns a connection, rolled back first if it stands in a transaction.
    fn discard_after(&self, mut lent: Lent, under_way: Option<UnderWay>) {
        let Some(connection) = lent.connection() else {
            return;
        };
        if connection.is_clean() {
            lent.give_back(&self.adapter);
            return;
        }
        let adapter = self.adapter.clone();
        actix_rt::spawn(async move {
            if let Some(connection) = lent.connection() {
                let rolled = connection.order(&Order::Rollback);
                let _ = tokio::time::timeout(SILENT.into(), rolled).await;
            }
            lent.give_back(&adapter);
            drop(under_way);
        });
    }

    /// An answer that says that nothing was run, and when to come back.
    fn busy(
        &self,
        session: &mut Session,
        job: &Job<'_>,
        retry: Span,
        text: &str,
    ) -> (Answer, Option<Transaction>) {
        let retry_ms = retry.0 / 1_000;
        let text = format!("{text}; retry_ms={retry_ms}");
        self.fail(session, job, Code::Busy, &text)
    }

    /// An answer that says that the statement failed, and with it its transaction.
    fn fail(
        &self,
        session: &mut Session,
        job: &Job<'_>,
        code: Code,
        text: &str,
    ) -> (Answer, Option<Transaction>) {
        let inside = job.begin.is_some() || session.phase == Phase::Open;
        session.phase = match inside && !job.commit {
            true => Phase::Failed,
            false => Phase::Idle,
        };
        log::info!(
            request:% = job.query.id,
            group:% = job.route.group,
            outcome:? = code,
            took_ms = self.now().since(job.came).0 / 1_000;
            "{text}"
        );
        (session.answer(error(code, text)), None)
    }

    fn answered(
        &self,
        job: &Job<'_>,
        database: &Database,
        pool: &Pool,
        asked: Time,
        answer: &Answer,
    ) {
        let now = self.now();
        self.shared.quietly().reports.answered(&database.id, now);
        if matches!(&answer.end, End::Error { code, .. } if code.is_not_run()) {
            return;
        }
        let took = now.since(asked);
        pool.gate.answered(took);
        let hint = Hint {
            position: answer.position.unwrap_or_default(),
            wait: pool.gate.wait(job.urgency()),
            run: pool.gate.typical(),
            ..Hint::default()
        };
        if let Some(router) = self.routers.borrow_mut().get_mut(&job.route.group) {
            router.answered(now, &database.id, took, &hint);
        }
    }

    fn refused(&self, job: &Job<'_>, database: &Database, code: Code) {
        let now = self.now();
        self.shared.quietly().reports.answered(&database.id, now);
        if code == Code::Busy {
            self.pool(database).gate.refused(now);
        }
        log::debug!(
            request:% = job.query.id, database:% = database.id, outcome:? = code;
            "refused by a database"
        );
    }

    fn not_opened(&self, database: &Database, closed: Closed) -> Attempt {
        match closed {
            Closed::Refused(code) => Attempt::NotRun(code),
            Closed::Lost(lost) => {
                log::debug!(database:% = database.id; "not opened: {lost}");
                self.failed(database);
                Attempt::Unreached
            }
        }
    }

    fn failed(&self, database: &Database) {
        let now = self.now();
        self.shared.quietly().reports.failed(&database.id, now);
        if let Some(router) = self.routers.borrow_mut().get_mut(&database.group) {
            router.failed(now, &database.id);
        }
    }

    fn lost(
        &self,
        job: &Job<'_>,
        database: &Database,
        pool: &Pool,
        asked: Time,
        lost: &Lost,
    ) -> Attempt {
        self.failed(database);
        log::info!(
            request:% = job.query.id, group:% = database.group, database:% = database.id;
            "a statement's answer was lost: {lost}"
        );
        match lost {
            Lost::Silent => {
                pool.distrust(asked);
                Attempt::Late
            }
            _ => Attempt::Lost,
        }
    }

    fn pool(&self, database: &Database) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get(&database.id) {
            pool.gate.resize(database.slots);
            return pool.clone();
        }
        self.forget_gone(&mut pools);
        let pool = Pool::new(database.slots);
        pools.insert(database.id.clone(), pool.clone());
        pool
    }

    /// Drops the pools of databases that are not registered any more.
    fn forget_gone(&self, pools: &mut BTreeMap<DatabaseId, Rc<Pool>>) {
        let view = self.shared.look();
        pools.retain(|id, _| view.databases.contains_key(id));
    }

    fn now(&self) -> Time {
        (self.adapter.clock)()
    }
}

/// Codes after which another copy, or the same a little later, may do.
fn is_elsewhere(code: Code) -> bool {
    matches!(
        code,
        Code::Busy
            | Code::Behind
            | Code::NotPrimary
            | Code::OtherDatabase
            | Code::Full
            | Code::NoStatement
    )
}

/// Codes that tell that the database is not the primary that it is taken for.
fn is_about_the_primary(code: Code) -> bool {
    matches!(code, Code::NotPrimary | Code::OtherDatabase | Code::Behind)
}

/// What to tell when a statement of an open transaction was lost. The connection is closed, which
/// rolls back, unless the database may have committed before.
fn lost_in_transaction(lost: &Lost, job: &Job<'_>, wrote: bool) -> (Code, &'static str) {
    match (lost, job.commit && wrote) {
        (Lost::Silent, _) => (Code::Late, "the route's timeout is over"),
        (_, true) => (Code::Unknown, "the commit's answer was lost"),
        (_, false) => (Code::RolledBack, "the connection broke"),
    }
}
