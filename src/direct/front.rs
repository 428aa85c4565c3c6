//! Serves callers' sessions.

use crate::clock::{Span, Time};
use crate::direct::adapter::{Adapter, Garbled, Stream};
use crate::direct::config::Route;
use crate::direct::run::{Job, Runner, Transaction};
use crate::direct::session::{Begun, Phase, Session, Shape, Step, error};
use crate::direct::statement::{Answer, Code, End, Message, Query, State};
use crate::direct::view::Shared;
use crate::types::Domain;
use bytes::BytesMut;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{Notify, watch};

/// Room made for each reading of a caller's input; most sessions are idle most of the time.
const READ_SIZE: usize = 512;

/// How long a new session may take to say what it wants.
const GREETING: Span = Span::from_secs(5);

/// How long a new session waits for the first configuration: callers give up after 2 s.
const CONFIGURED: Span = Span::from_millis(1_500);

/// How long the balancer may take to send no more callers after a stop has begun: it asks each
/// second, and believes the second answer.
const BALANCED: Span = Span::from_millis(2_200);

/// What is left of a stop's grace for the last answers to go out.
const LAST_ANSWERS: Span = Span::from_millis(400);

/// How long an answer may take to be read by its caller before the session is given up.
const SLOW_CALLER: Span = Span::from_secs(15);

/// Where this VM stands.
#[derive(Debug, Clone)]
pub struct Place {
    /// Its failure domain.
    pub domain: Domain,
    /// The region of each failure domain.
    pub regions: BTreeMap<Domain, Box<str>>,
}

impl Place {
    /// Whether a failure domain lies in this VM's region.
    pub fn is_near(&self, domain: &Domain) -> bool {
        if *domain == self.domain {
            return true;
        }
        let region = self.regions.get(domain);
        region.is_some() && region == self.regions.get(&self.domain)
    }
}

/// How far a stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stopping {
    No,
    /// Sessions that do nothing are closed.
    Idle,
    /// Transactions are rolled back.
    Transactions,
}

/// Serves callers.
pub struct Front {
    adapter: Adapter,
    shared: Rc<Shared>,
    runner: Runner,
    stopping: watch::Sender<Stopping>,
    sessions: Cell<u32>,
    ended: Notify,
}

impl fmt::Debug for Front {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Front").finish_non_exhaustive()
    }
}

impl Front {
    /// A front without sessions.
    pub fn new(adapter: Adapter, shared: Rc<Shared>, place: Place) -> Rc<Self> {
        Rc::new(Self {
            runner: Runner::new(adapter.clone(), shared.clone(), place),
            adapter,
            shared,
            stopping: watch::Sender::new(Stopping::No),
            sessions: Cell::new(0),
            ended: Notify::new(),
        })
    }

    /// Serves one caller's session to its end.
    pub async fn serve_stream(self: Rc<Self>, stream: Box<dyn Stream>) {
        self.sessions.set(self.sessions.get() + 1);
        let mut caller = Caller {
            stopping: self.stopping.subscribe(),
            front: self.clone(),
            stream,
            input: BytesMut::new(),
            session: Session::default(),
            transaction: None,
            database: Box::default(),
        };
        let _ = caller.serve().await;
        if let Some(transaction) = caller.transaction.take() {
            self.runner.roll_back(transaction);
        }
        drop(caller);
        self.sessions.set(self.sessions.get() - 1);
        self.ended.notify_one();
    }

    /// Ends a planned stop's sessions within `grace`: those that do nothing once the balancer
    /// sends no more, open transactions after half of it.
    pub async fn stop(&self, grace: Span) {
        let half = grace.percent(50);
        tokio::time::sleep(BALANCED.min(half).into()).await;
        self.stopping.send_replace(Stopping::Idle);
        let rest = half.0.saturating_sub(BALANCED.0);
        if self.is_over(Span(rest)).await {
            return;
        }
        self.stopping.send_replace(Stopping::Transactions);
        let rest = half.0.saturating_sub(LAST_ANSWERS.0);
        self.is_over(Span(rest)).await;
    }

    async fn is_over(&self, span: Span) -> bool {
        let all_ended = async {
            while self.sessions.get() > 0 {
                self.ended.notified().await;
            }
        };
        tokio::time::timeout(span.into(), all_ended).await.is_ok()
    }

    fn now(&self) -> Time {
        (self.adapter.clock)()
    }

    fn route(&self, database: &str) -> Option<Rc<Route>> {
        let view = self.shared.look();
        view.route(database).map(|route| Rc::new(route.clone()))
    }
}

/// Why a session ends.
#[derive(Debug)]
enum Gone {
    /// The caller left, or sent what is no message.
    Left,
    /// A planned stop closes it.
    Stopped,
}

impl From<std::io::Error> for Gone {
    fn from(_: std::io::Error) -> Self {
        Gone::Left
    }
}

/// One caller.
struct Caller {
    front: Rc<Front>,
    stream: Box<dyn Stream>,
    input: BytesMut,
    session: Session,
    transaction: Option<Transaction>,
    database: Box<str>,
    stopping: watch::Receiver<Stopping>,
}

impl Caller {
    async fn serve(&mut self) -> Result<(), Gone> {
        self.greet().await?;
        loop {
            match self.next().await? {
                Ok(Message::Query(query)) => {
                    let answer = self.answer(&query).await;
                    self.write(&answer).await?;
                }
                Ok(Message::Bye) => return Ok(()),
                Ok(Message::Start { .. }) | Err(Garbled::Long(_)) => {
                    let text = "not allowed within a session";
                    let answer = self.session.answer(error(Code::Malformed, text));
                    return self.write(&answer).await;
                }
                Err(Garbled::Unclear(_)) => {
                    let answer = self.session.answer(error(Code::Malformed, "not a message"));
                    self.write(&answer).await?;
                }
            }
        }
    }

    async fn greet(&mut self) -> Result<(), Gone> {
        let first = tokio::time::timeout(GREETING.into(), self.next()).await;
        let Ok(Ok(Message::Start { database, .. })) = first.map_err(|_| Gone::Left)? else {
            return Err(Gone::Left);
        };
        self.database = database;
        self.wait_for_config().await;
        let known = self.front.route(&self.database).is_some();
        let end = match known {
            true => End::Done(None),
            false => error(Code::NoDatabase, "no route has that name"),
        };
        let answer = self.session.answer(end);
        let mut output = BytesMut::new();
        (self.front.adapter.wire.write_answer)(&mut output, &answer, false);
        self.send(&output).await?;
        match known {
            true => Ok(()),
            false => Err(Gone::Left),
        }
    }

    async fn wait_for_config(&self) {
        let shared = &self.front.shared;
        let configured = async {
            loop {
                let changed = shared.changed();
                if shared.look().config.is_some() {
                    return;
                }
                changed.await;
            }
        };
        let _ = tokio::time::timeout(CONFIGURED.into(), configured).await;
    }

    /// The caller's next message.
    async fn next(&mut self) -> Result<Result<Message, Garbled>, Gone> {
        loop {
            match (self.front.adapter.wire.read_message)(&mut self.input) {
                Ok(Some(message)) => return Ok(Ok(message)),
                Ok(None) => {}
                Err(garbled) => return Ok(Err(garbled)),
            }
            self.input.reserve(READ_SIZE);
            self.receive().await?;
        }
    }

    /// Reads more input, or does what is due while none comes.
    async fn receive(&mut self) -> Result<(), Gone> {
        let stopping = *self.stopping.borrow_and_update();
        self.end_for(stopping)?;
        let idle = self.idle_span();
        let limit = idle.unwrap_or(Span::from_secs(86_400));
        tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.input) => match read? {
                0 => Err(Gone::Left),
                _ => Ok(()),
            },
            _ = self.stopping.changed() => Ok(()),
            () = tokio::time::sleep(limit.into()), if idle.is_some() => {
                self.break_off("the transaction was idle for too long");
                Ok(())
            }
        }
    }

    /// How long the open transaction may stay idle.
    fn idle_span(&self) -> Option<Span> {
        self.transaction.as_ref()?;
        let view = self.front.shared.look();
        Some(view.config.as_ref()?.idle)
    }

    fn end_for(&mut self, stopping: Stopping) -> Result<(), Gone> {
        if stopping == Stopping::Transactions {
            self.break_off("this VM is stopping");
        }
        let idle = self.session.phase == Phase::Idle && self.input.is_empty();
        match stopping != Stopping::No && idle {
            true => Err(Gone::Stopped),
            false => Ok(()),
        }
    }

    /// Rolls the open transaction back; its caller learns so with its next statement.
    fn break_off(&mut self, reason: &str) {
        let Some(transaction) = self.transaction.take() else {
            return;
        };
        log::info!(group:% = transaction.route().group; "a transaction is rolled back: {reason}");
        self.front.runner.roll_back(transaction);
        self.session.phase = Phase::Failed;
    }

    async fn answer(&mut self, query: &Query) -> Answer {
        let now = self.front.now();
        let Some(route) = self.front.route(&self.database) else {
            return self.without_route();
        };
        match self.session.step(now, &query.statement, &route) {
            Step::Answer(answer) => answer,
            Step::Break(answer) => {
                self.roll_back();
                answer
            }
            Step::Rollback => {
                self.roll_back();
                self.session.phase = Phase::Idle;
                self.session.answer(End::Done(None))
            }
            Step::Run { writes, shape } => self.run(query, &route, now, writes, shape, false).await,
            Step::Commit => self.run(query, &route, now, false, None, true).await,
        }
    }

    fn without_route(&mut self) -> Answer {
        self.roll_back();
        if self.session.state() != State::Idle {
            self.session.phase = Phase::Failed;
        }
        let end = error(Code::NoDatabase, "no route has that name any more");
        self.session.answer(end)
    }

    fn roll_back(&mut self) {
        if let Some(transaction) = self.transaction.take() {
            self.front.runner.roll_back(transaction);
        }
    }

    async fn run(
        &mut self,
        query: &Query,
        route: &Rc<Route>,
        now: Time,
        writes: bool,
        shape: Option<Rc<Shape>>,
        commit: bool,
    ) -> Answer {
        let begun = match &self.session.phase {
            Phase::Begun(begun) => Some(begun.clone()),
            _ => None,
        };
        let open = self.transaction.take();
        let kept = open.as_ref().map(|open| open.route().clone());
        let (begin, since, route) = match begun {
            Some(Begun { read, at, route }) => (Some(read), at, route),
            None => (None, now, kept.unwrap_or_else(|| route.clone())),
        };
        let job = Job {
            route: &route,
            query,
            shape: shape.as_ref(),
            writes,
            begin,
            commit,
            since,
            came: now,
        };
        let runner = &self.front.runner;
        let (answer, transaction) = match open {
            Some(open) => runner.next(&mut self.session, open, &job).await,
            None => runner.start(&mut self.session, &job).await,
        };
        self.transaction = transaction;
        answer
    }

    async fn write(&mut self, answer: &Answer) -> Result<(), Gone> {
        let mut output = BytesMut::new();
        (self.front.adapter.wire.write_answer)(&mut output, answer, true);
        self.send(&output).await
    }

    async fn send(&mut self, output: &[u8]) -> Result<(), Gone> {
        let written = async {
            self.stream.write_all(output).await?;
            self.stream.flush().await
        };
        match tokio::time::timeout(SLOW_CALLER.into(), written).await {
            Ok(result) => Ok(result?),
            Err(_) => Err(Gone::Left),
        }
    }
}
