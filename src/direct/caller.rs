//! One caller's session: reads its messages, and answers each before the next. Whether it may begin, and go
//! on, is in `admission`.

mod admission;

use crate::clock::{Span, Time};
use crate::direct::adapter::{Garbled, Stream};
use crate::direct::config::{Config, Route};
use crate::direct::front::{Front, Stopping};
use crate::direct::identity::{Identity, Key};
use crate::direct::job::{Job, Part};
use crate::direct::line::{self, Ended};
use crate::direct::session::{Begun, Phase, Session, Shape, Step, error};
use crate::direct::statement::{Answer, Code, End, Message, Query};
use crate::direct::trace::{Fate, Operation, Trace};
use crate::direct::transaction::Transaction;
use bytes::BytesMut;
use futures_util::FutureExt;
use std::fmt;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

/// Room made for each reading of a caller's input; most sessions are idle most of the time.
const READ_SIZE: usize = 512;

/// How long a new session may take to say what it wants.
const GREETING: Span = Span::from_secs(5);

/// How long the end of a session may take to be sent.
const FAREWELL: Span = Span::from_millis(200);

/// How long a session has to have been quiet before a planned stop closes it.
///
/// **Failure answered.** A caller that has just opened its session, or prepared a statement, has
/// its next message on the way when the session is closed.
/// **Symptom without it.** The message gets no answer; a single write may then not be repeated.
/// **Why it suffices.** Callers that go on do so within a round trip and the time they take.
/// Whoever never rests is closed when transactions are rolled back.
const QUIET: Span = Span::from_millis(150);

/// How long an answer may take to be read by its caller before the session is given up.
const SLOW_CALLER: Span = Span::from_secs(15);

/// An end that follows an answer this closely was sent before the answer could be read: a caller
/// is further away than that, there and back.
const UNREAD: Span = Span::from_millis(2);

/// Why a session ends.
#[derive(Debug)]
enum Gone {
    /// The caller left, or sent what is no message.
    Left,
    /// The caller did not take an answer.
    Unread,
    /// A planned stop closes it.
    Stopped,
    /// Nobody holds its key any more.
    Barred,
}

impl From<std::io::Error> for Gone {
    fn from(_: std::io::Error) -> Self {
        Gone::Left
    }
}

/// One caller.
pub struct Caller {
    front: Rc<Front>,
    stream: Box<dyn Stream>,
    input: BytesMut,
    session: Session,
    transaction: Option<Transaction>,
    database: Box<str>,
    /// The key that it showed.
    key: Option<Key>,
    /// The route of `database` in a configuration.
    routed: Option<(Rc<Config>, Rc<Route>)>,
    /// Whose it is, by a configuration.
    known: Option<(Rc<Config>, Identity)>,
    /// Changes with each configuration.
    configs: watch::Receiver<()>,
    stopping: watch::Receiver<Stopping>,
    /// When it was last sent anything.
    told: Time,
    operation: Operation,
}

impl fmt::Debug for Caller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Caller").finish_non_exhaustive()
    }
}

impl Caller {
    /// A caller that has just connected.
    pub fn new(
        front: Rc<Front>,
        stream: Box<dyn Stream>,
        stopping: watch::Receiver<Stopping>,
    ) -> Self {
        let configs = front.shared.configs();
        Self {
            front,
            stream,
            input: BytesMut::new(),
            session: Session::default(),
            transaction: None,
            database: Box::default(),
            key: None,
            routed: None,
            known: None,
            configs,
            stopping,
            told: Time::default(),
            operation: Operation::default(),
        }
    }

    /// Serves the session to its end.
    pub async fn serve(mut self) {
        let gone = self.talk().await;
        self.tell_end(&gone);
        self.roll_back();
        if let Ok(()) | Err(Gone::Stopped | Gone::Barred) = gone {
            let _ = tokio::time::timeout(FAREWELL.into(), self.stream.shutdown()).await;
        }
    }

    /// Writes a line if the session ends otherwise than its caller meant it to.
    fn tell_end(&self, gone: &Result<(), Gone>) {
        let open = matches!(self.session.phase, Phase::Begun(_) | Phase::Open { .. });
        let why = match gone {
            Err(Gone::Unread) => "an answer was not taken by its caller",
            Err(Gone::Stopped) => "a planned stop closes an idle session",
            Err(Gone::Barred) => "nobody holds a session's key any more",
            Ok(()) | Err(Gone::Left) if open => "a caller left in the middle of a transaction",
            Ok(()) | Err(Gone::Left) => return,
        };
        line::session_ends(&self.front, why, &self.database, &self.operation);
    }

    async fn talk(&mut self) -> Result<(), Gone> {
        self.greet().await?;
        loop {
            match self.next().await? {
                Ok(Message::Query(query)) => {
                    let answer = self.answer(&query).await;
                    self.write(&answer).await?;
                    if admission::is_barred(&answer) {
                        return Err(Gone::Barred);
                    }
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
        let Ok(Ok(Message::Start { database, key })) = first.map_err(|_| Gone::Left)? else {
            return Err(Gone::Left);
        };
        self.database = database;
        self.key = Some(key);
        self.wait_for_config().await;
        let end = self.admit().await;
        let answer = self.session.answer(end.clone());
        let mut output = BytesMut::new();
        (self.front.adapter.wire.write_answer)(&mut output, &answer, false);
        self.send(&output).await?;
        match end {
            End::Done(_) => Ok(()),
            End::Error { code, .. } => {
                self.tell_refusal(code);
                Err(Gone::Left)
            }
        }
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
        let quiet = self.quiet_span(stopping);
        if stopping != Stopping::No && quiet.is_none() && self.end_for(stopping).await? {
            return Ok(());
        }
        let idle = self.idle_span();
        let limit = idle.or(quiet);
        let rest = limit.unwrap_or(Span::from_secs(86_400));
        tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.input) => match read? {
                0 if self.front.now() < self.told + UNREAD => Err(Gone::Unread),
                0 => Err(Gone::Left),
                _ => Ok(()),
            },
            _ = self.stopping.changed() => Ok(()),
            _ = self.configs.changed() => {
                // A close at rest costs its caller nothing; a transaction ends with its next statement.
                match self.session.phase == Phase::Idle && self.is_unknown() {
                    true => Err(Gone::Barred),
                    false => Ok(()),
                }
            }
            () = tokio::time::sleep(rest.into()), if limit.is_some() => {
                if idle.is_some() {
                    self.break_off("the transaction was idle for too long");
                }
                Ok(())
            }
        }
    }

    /// How long a session that a planned stop is about to close may still go on.
    fn quiet_span(&self, stopping: Stopping) -> Option<Span> {
        let now = self.front.now();
        let quiet = self.told + QUIET;
        let goes_on = stopping == Stopping::Idle && self.transaction.is_none() && now < quiet;
        goes_on.then(|| quiet.since(now))
    }

    /// How long the open transaction may stay idle.
    fn idle_span(&self) -> Option<Span> {
        self.transaction.as_ref()?;
        let view = self.front.shared.get();
        Some(view.config.as_ref()?.idle)
    }

    /// Ends what a planned stop ends, unless more input has come just now.
    ///
    /// A message that has come is answered: the caller sent it before it could see the end.
    async fn end_for(&mut self, stopping: Stopping) -> Result<bool, Gone> {
        match self.stream.read_buf(&mut self.input).now_or_never() {
            Some(read) => {
                return if read? == 0 {
                    Err(Gone::Left)
                } else {
                    Ok(true)
                };
            }
            None if stopping == Stopping::Transactions => self.break_off("this VM is stopping"),
            None => {}
        }
        let idle = matches!(self.session.phase, Phase::Idle) && self.input.is_empty();
        match idle {
            true => Err(Gone::Stopped),
            false => Ok(false),
        }
    }

    /// Rolls the open transaction back; its caller learns so with its next statement.
    fn break_off(&mut self, reason: &str) {
        if let Phase::Begun(_) = self.session.phase {
            self.session.phase = Phase::Broken;
        }
        let Some(transaction) = self.transaction.take() else {
            return;
        };
        log::info!(
            request:% = self.operation.request, operation:% = self.operation.id,
            group:% = transaction.route().group, database:% = transaction.database(),
            since_ms = self.front.now().since(self.operation.came).0 / 1_000;
            "a transaction is rolled back: {reason}"
        );
        self.front.runner.roll_back(transaction);
        self.session.phase = Phase::Broken;
    }

    async fn answer(&mut self, query: &Query) -> Answer {
        let now = self.front.now();
        let begins = matches!(self.session.phase, Phase::Idle | Phase::Begun(_));
        self.operation.begin(&query.id, now, begins);
        let Some(route) = self.route() else {
            let end = error(Code::NoDatabase, "no route has that name any more");
            let answer = self.session.answer(end);
            self.tell(None, Trace::default(), &answer);
            return answer;
        };
        let trace = Trace::default();
        let answer = match self.identity(&route) {
            Identity::Unknown => self.bar(),
            Identity::Anyone | Identity::Of(_) => self.step(query, &route, now, &trace).await,
        };
        self.tell(Some(&route), trace, &answer);
        answer
    }

    /// Counts a request that was answered, and writes its line if it gets one.
    fn tell(&mut self, route: Option<&Route>, trace: Trace, answer: &Answer) {
        let steps = trace.into_steps();
        let now = self.front.now();
        let meter = &self.front.shared.meter;
        let fate = match (&answer.end, route) {
            (End::Done(_), Some(route)) => {
                if steps.tries > 0 {
                    meter.served(route.kind, now.since(self.operation.came));
                }
                Fate::Served {
                    objective: route.objective,
                }
            }
            (End::Error { code, .. }, Some(route)) => {
                meter.refused(&route.group, *code);
                Fate::NotServed
            }
            (_, None) => Fate::NotServed,
        };
        if let Some(reason) = self.operation.end(now, fate, &meter.sampler) {
            let ended = Ended {
                host: &self.database,
                route,
                operation: &self.operation,
                steps: &steps,
                answer,
            };
            line::ended(&self.front, reason, &ended);
        }
    }

    async fn step(&mut self, query: &Query, route: &Rc<Route>, now: Time, trace: &Trace) -> Answer {
        match self.session.step(now, &query.statement, route) {
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
            Step::Run { writes, shape } => {
                self.run(query, route, trace, writes, shape, false).await
            }
            Step::Commit => self.run(query, route, trace, false, None, true).await,
        }
    }

    /// The route of the transaction, which it keeps, or else the one in force.
    fn route(&mut self) -> Option<Rc<Route>> {
        if let Some(open) = &self.transaction {
            return Some(open.route().clone());
        }
        if let Phase::Begun(begun) = &self.session.phase {
            return Some(begun.route.clone());
        }
        let config = self.front.config()?;
        if let Some((known, route)) = &self.routed
            && Rc::ptr_eq(known, &config)
        {
            return Some(route.clone());
        }
        let found = config.routes.get(&self.database);
        let route = found.map(|route| Rc::new(route.clone()));
        if let Some(route) = &route {
            self.routed = Some((config, route.clone()));
        } else if self.session.phase != Phase::Idle {
            return self.routed.as_ref().map(|(_, route)| route.clone());
        }
        route
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
        trace: &Trace,
        writes: bool,
        shape: Option<Rc<Shape>>,
        commit: bool,
    ) -> Answer {
        let now = self.operation.came;
        let known = self.known.as_ref();
        let organisation = known.and_then(|(_, identity)| identity.organisation().cloned());
        let open = self.transaction.take();
        let (part, since) = match &self.session.phase {
            Phase::Begun(Begun { read, at, .. }) => (Part::First { read: *read }, *at),
            Phase::Open { .. } => (Part::Next, now),
            Phase::Idle | Phase::Broken | Phase::Failed => (Part::Single, now),
        };
        let job = Job {
            route,
            query,
            organisation: organisation.as_ref(),
            shape: shape.as_ref(),
            writes,
            commit,
            part,
            since,
            came: now,
            trace,
        };
        let runner = &self.front.runner;
        let (answer, transaction) = match open {
            Some(open) => runner.next(&mut self.session, open, &job).await,
            None => runner.spend_and_start(&mut self.session, &job).await,
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
        let written = tokio::time::timeout(SLOW_CALLER.into(), written).await;
        self.told = self.front.now();
        match written {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Gone::Unread),
        }
    }
}
