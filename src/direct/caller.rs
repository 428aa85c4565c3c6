//! One caller's session: reads its messages, and answers each before reading the next. `admission` decides
//! whether it may begin and continue.

mod admission;

use crate::admission::queue::Order;
use crate::clock::{Span, Time};
use crate::direct::adapter::{Garbled, Stream};
use crate::direct::config::{Config, Route};
use crate::direct::departure::Departure;
use crate::direct::front::{Front, Stopping};
use crate::direct::identity::{Identity, Key};
use crate::direct::job::{Job, Part};
use crate::direct::line::{self, Ended};
use crate::direct::session::{Begun, Phase, Session, Shape, Step, error};
use crate::direct::statement::{Answer, Code, End, Message, Query};
use crate::direct::trace::{Completion, Operation, Trace};
use crate::direct::transaction::Transaction;
use bytes::BytesMut;
use futures_util::FutureExt;
use std::fmt;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

/// Buffer space reserved for each read from a caller; small, because most sessions are mostly idle.
const READ_SIZE: usize = 512;

/// Maximum number of bytes that are read ahead while an operation waits. The end of a caller's stream behind
/// more than this is noticed after the operation.
const MAX_READ_AHEAD: usize = 64 << 10;

/// Time limit for a new session's start message.
const START_TIMEOUT: Span = Span::from_secs(5);

/// Time limit for closing a session's stream.
const CLOSE_TIMEOUT: Span = Span::from_millis(200);

/// How long a session must have been idle before a planned stop closes it.
///
/// A caller that has just opened its session or prepared a statement may have its next message in
/// flight. If the session were closed, the message would get no answer, and a single write could not
/// be repeated safely. Active callers send their next message within a round trip and their own
/// processing time. Sessions that never pause are closed when transactions are rolled back.
const MIN_IDLE_TIME: Span = Span::from_millis(150);

/// Time limit for a caller to read an answer, after which its session is closed.
const WRITE_TIMEOUT: Span = Span::from_secs(15);

/// If a caller closes its session this soon after an answer, it did so before it could read the answer:
/// the round trip to any caller takes longer.
const UNREAD_WINDOW: Span = Span::from_millis(2);

/// Why a session ends.
#[derive(Debug)]
enum Exit {
    /// The caller disconnected, or sent something that is not a message.
    Left,
    /// The caller did not take an answer.
    Unread,
    /// It was closed by a planned stop.
    Stopped,
    /// Its key is no longer in the configuration.
    KeyRemoved,
}

impl From<std::io::Error> for Exit {
    fn from(_: std::io::Error) -> Self {
        Exit::Left
    }
}

/// A caller's session and its stream.
pub struct Caller {
    front: Rc<Front>,
    stream: Box<dyn Stream>,
    input: BytesMut,
    session: Session,
    transaction: Option<Transaction>,
    database: Box<str>,
    /// The key that it presented.
    key: Option<Key>,
    /// The route of `database`, and the configuration that it was looked up in.
    routed: Option<(Rc<Config>, Rc<Route>)>,
    /// The caller's identity, and the configuration that it was looked up in.
    known: Option<(Rc<Config>, Identity)>,
    /// Notified of each new configuration.
    configs: watch::Receiver<()>,
    stopping: watch::Receiver<Stopping>,
    /// When output was last sent to it.
    last_sent: Time,
    operation: Operation,
}

impl fmt::Debug for Caller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Caller").finish_non_exhaustive()
    }
}

impl Caller {
    /// Creates the session of a caller that has just connected.
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
            last_sent: Time::default(),
            operation: Operation::default(),
        }
    }

    /// Serves the session to its end.
    pub async fn serve(mut self) {
        let exit = self.serve_messages().await;
        self.log_exit(&exit);
        self.roll_back();
        if let Ok(()) | Err(Exit::Stopped | Exit::KeyRemoved) = exit {
            let _ = tokio::time::timeout(CLOSE_TIMEOUT.into(), self.stream.shutdown()).await;
        }
    }

    /// Logs the end of the session unless the caller ended it normally.
    fn log_exit(&self, exit: &Result<(), Exit>) {
        let open = matches!(self.session.phase, Phase::Begun(_) | Phase::Open { .. });
        let why = match exit {
            Err(Exit::Unread) => "an answer was not taken by its caller",
            Err(Exit::Stopped) => "a planned stop closes an idle session",
            Err(Exit::KeyRemoved) => "nobody holds a session's key any more",
            Ok(()) | Err(Exit::Left) if open => "a caller left in the middle of a transaction",
            Ok(()) | Err(Exit::Left) => return,
        };
        line::session_ends(&self.front, why, &self.database, &self.operation);
    }

    async fn serve_messages(&mut self) -> Result<(), Exit> {
        self.start().await?;
        loop {
            match self.next().await? {
                Ok(Message::Query(query)) => {
                    let answer = self.answer_unless_left(&query).await;
                    self.write(&answer).await?;
                    if admission::ends_session(&answer) {
                        return Err(Exit::KeyRemoved);
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

    async fn start(&mut self) -> Result<(), Exit> {
        let first = tokio::time::timeout(START_TIMEOUT.into(), self.next()).await;
        let Ok(Ok(Message::Start { database, key })) = first.map_err(|_| Exit::Left)? else {
            return Err(Exit::Left);
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
                self.log_refusal(code);
                Err(Exit::Left)
            }
        }
    }

    /// The caller's next message.
    async fn next(&mut self) -> Result<Result<Message, Garbled>, Exit> {
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

    /// Reads more input, or handles what is due in the meantime: an idle timeout, a planned stop or a new
    /// configuration.
    async fn receive(&mut self) -> Result<(), Exit> {
        let stopping = *self.stopping.borrow_and_update();
        let idle_left = self.idle_time_left(stopping);
        if stopping != Stopping::No && idle_left.is_none() && self.close_for_stop(stopping).await? {
            return Ok(());
        }
        let idle = self.idle_timeout();
        let limit = idle.or(idle_left);
        let rest = limit.unwrap_or(Span::from_secs(86_400));
        tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.input) => match read? {
                0 if self.front.now() < self.last_sent + UNREAD_WINDOW => Err(Exit::Unread),
                0 => Err(Exit::Left),
                _ => Ok(()),
            },
            _ = self.stopping.changed() => Ok(()),
            _ = self.configs.changed() => {
                // Closing an idle session costs its caller nothing; a transaction is ended with its
                // next statement.
                match self.session.phase == Phase::Idle && self.is_key_unknown() {
                    true => Err(Exit::KeyRemoved),
                    false => Ok(()),
                }
            }
            () = tokio::time::sleep(rest.into()), if limit.is_some() => {
                if idle.is_some() {
                    self.abort_transaction("the transaction was idle for too long");
                }
                Ok(())
            }
        }
    }

    /// How much longer a session must stay idle before a planned stop closes it.
    fn idle_time_left(&self, stopping: Stopping) -> Option<Span> {
        let now = self.front.now();
        let closes_at = self.last_sent + MIN_IDLE_TIME;
        let goes_on = stopping == Stopping::Idle && self.transaction.is_none() && now < closes_at;
        goes_on.then(|| closes_at.since(now))
    }

    /// How long an open transaction may stay idle.
    fn idle_timeout(&self) -> Option<Span> {
        self.transaction.as_ref()?;
        let view = self.front.shared.get();
        Some(view.config.as_ref()?.idle)
    }

    /// Ends the session or its transaction for a planned stop, unless more input has arrived; returns
    /// whether it has.
    ///
    /// A message that has arrived is answered: the caller sent it before it could notice the end.
    async fn close_for_stop(&mut self, stopping: Stopping) -> Result<bool, Exit> {
        match self.stream.read_buf(&mut self.input).now_or_never() {
            Some(read) => {
                return if read? == 0 {
                    Err(Exit::Left)
                } else {
                    Ok(true)
                };
            }
            None if stopping == Stopping::Transactions => {
                self.abort_transaction("this VM is stopping")
            }
            None => {}
        }
        let idle = matches!(self.session.phase, Phase::Idle) && self.input.is_empty();
        match idle {
            true => Err(Exit::Stopped),
            false => Ok(false),
        }
    }

    /// Rolls back the open transaction; the caller is informed by the answer to its next statement.
    fn abort_transaction(&mut self, reason: &str) {
        if let Phase::Begun(_) = self.session.phase {
            self.session.phase = Phase::Broken;
        }
        let Some(transaction) = self.transaction.take() else {
            return;
        };
        log::info!(
            request:% = self.operation.request, operation:% = self.operation.id,
            group:% = transaction.route().group, database:% = transaction.database(),
            since_ms = self.front.now().since(self.operation.arrived).0 / 1_000;
            "a transaction is rolled back: {reason}"
        );
        self.front.runner.roll_back(transaction);
        self.session.phase = Phase::Broken;
    }

    /// Answers a statement. If the caller leaves while it waits for a token or a slot, it is not run.
    async fn answer_unless_left(&mut self, query: &Query) -> Answer {
        let departure = Departure::default();
        let order = self.front.shared.get().queue_order();
        if order == Order::Priority {
            return self.answer(query, &departure).await;
        }
        let no_stream: Box<dyn Stream> = Box::new(tokio::io::empty());
        let mut stream = std::mem::replace(&mut self.stream, no_stream);
        let mut input = std::mem::take(&mut self.input);
        let answer = self.answer(query, &departure);
        let answer = departure
            .watch(answer, leaves(&mut *stream, &mut input))
            .await;
        (self.stream, self.input) = (stream, input);
        answer
    }

    async fn answer(&mut self, query: &Query, departure: &Departure) -> Answer {
        let now = self.front.now();
        let begins = matches!(self.session.phase, Phase::Idle | Phase::Begun(_));
        self.operation.begin(&query.id, now, begins);
        let Some(route) = self.route() else {
            let end = error(Code::NoDatabase, "no route has that name any more");
            let answer = self.session.answer(end);
            self.log_request(None, Trace::default(), &answer);
            return answer;
        };
        let trace = Trace::default();
        let answer = match self.identity(&route) {
            Identity::Unknown => self.reject(),
            Identity::Anyone | Identity::Of(_) => {
                self.step(query, &route, now, (&trace, departure)).await
            }
        };
        self.log_request(Some(&route), trace, &answer);
        answer
    }

    /// Counts an answered request in the metrics, and writes its log line if it gets one.
    fn log_request(&mut self, route: Option<&Route>, trace: Trace, answer: &Answer) {
        let steps = trace.into_steps();
        let now = self.front.now();
        let meter = &self.front.shared.meter;
        let completion = match (&answer.end, route) {
            (End::Done(_), Some(route)) => {
                if steps.tries > 0 {
                    meter.served(route.kind, now.since(self.operation.arrived));
                }
                Completion::Served {
                    objective: route.objective,
                }
            }
            (End::Error { code, .. }, Some(route)) => {
                meter.refused(&route.group, *code);
                Completion::NotServed
            }
            (_, None) => Completion::NotServed,
        };
        if let Some(reason) = self.operation.end(now, completion, &meter.sampler) {
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

    async fn step(
        &mut self,
        query: &Query,
        route: &Rc<Route>,
        now: Time,
        watched: (&Trace, &Departure),
    ) -> Answer {
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
                self.run(query, route, watched, writes, shape, false).await
            }
            Step::Commit => self.run(query, route, watched, false, None, true).await,
        }
    }

    /// The route of the current transaction, or else the one in force.
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
        (trace, departure): (&Trace, &Departure),
        writes: bool,
        shape: Option<Rc<Shape>>,
        commit: bool,
    ) -> Answer {
        let now = self.operation.arrived;
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
            arrived: now,
            trace,
            departure,
        };
        let runner = &self.front.runner;
        let (answer, transaction) = match open {
            Some(open) => runner.next(&mut self.session, open, &job).await,
            None => runner.spend_and_start(&mut self.session, &job).await,
        };
        self.transaction = transaction;
        answer
    }

    async fn write(&mut self, answer: &Answer) -> Result<(), Exit> {
        let mut output = BytesMut::new();
        (self.front.adapter.wire.write_answer)(&mut output, answer, true);
        self.send(&output).await
    }

    async fn send(&mut self, output: &[u8]) -> Result<(), Exit> {
        let written = async {
            self.stream.write_all(output).await?;
            self.stream.flush().await
        };
        let written = tokio::time::timeout(WRITE_TIMEOUT.into(), written).await;
        self.last_sent = self.front.now();
        match written {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Exit::Unread),
        }
    }
}

/// Reads what a caller sends while an operation waits; returns whether its stream has ended.
async fn leaves(stream: &mut dyn Stream, input: &mut BytesMut) -> bool {
    while input.len() < MAX_READ_AHEAD {
        input.reserve(READ_SIZE);
        match stream.read_buf(input).await {
            Ok(0) | Err(_) => return true,
            Ok(_) => {}
        }
    }
    false
}
