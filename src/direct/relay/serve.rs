//! Answers other VMs' requests, as one of the owners of a database.

use crate::clock::{Span, Time};
use crate::direct::adapter::Stream;
use crate::direct::exchange::{self, Failed, Ran, Statement};
use crate::direct::pool::Lent;
use crate::direct::relay::{Ask, Frames, Reply, Request, Start, Told};
use crate::direct::session::Shape;
use crate::direct::statement::{Answer, Code, Message, Order, Query, State};
use crate::direct::targets::{Target, Targets};
use bytes::BytesMut;
use std::cell::Cell;
use std::fmt;
use std::io;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{Notify, watch};

/// Room made for each reading; a usual request fits.
const READ_SIZE: usize = 1024;

/// How long a stream without a request is kept: three times as long as the other end keeps it, so
/// that only streams which nobody remembers end here.
const UNUSED: Span = Span::from_secs(30);

/// How much longer than callers may a transaction stays idle here: the VM of its caller ends it.
const IDLE_MARGIN: Span = Span::from_secs(2);

/// How long a reply may take to be taken off before the stream is given up.
const SLOW_PEER: Span = Span::from_secs(5);

/// Relays statements of other VMs.
pub struct Relay {
    targets: Rc<Targets>,
    /// Statements and transactions under way.
    busy: Cell<u32>,
    ended: Notify,
    /// Whether open transactions are rolled back.
    ending: watch::Sender<bool>,
}

impl fmt::Debug for Relay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay").finish_non_exhaustive()
    }
}

/// Something under way, which a planned stop waits for; over when dropped.
#[derive(Debug)]
struct Busy(Rc<Relay>);

impl Drop for Busy {
    fn drop(&mut self) {
        let left = self.0.busy.get() - 1;
        self.0.busy.set(left);
        if left == 0 {
            self.0.ended.notify_one();
        }
    }
}

/// A transaction that is open.
#[derive(Debug)]
struct Open {
    lent: Box<Lent>,
    target: Target,
    busy: Busy,
}

/// One stream of another VM.
struct Session {
    relay: Rc<Relay>,
    stream: Box<dyn Stream>,
    frames: Frames,
    input: BytesMut,
    open: Option<Open>,
}

impl Relay {
    /// Relays to these databases, by the connections that this VM's own callers use.
    pub fn new(targets: Rc<Targets>) -> Rc<Self> {
        Rc::new(Self {
            targets,
            busy: Cell::default(),
            ended: Notify::new(),
            ending: watch::Sender::new(false),
        })
    }

    /// Serves one stream to its end.
    pub async fn serve_stream(self: Rc<Self>, stream: Box<dyn Stream>) {
        let mut session = Session {
            relay: self,
            stream,
            frames: Frames::default(),
            input: BytesMut::new(),
            open: None,
        };
        let _ = session.talk().await;
        session.roll_back();
    }

    /// Waits for what is under way: transactions as long as callers' own ones, and then as long as
    /// their statements take. New work is refused from when the stop began.
    pub async fn stop(&self, grace: Span) {
        let half = grace.percent(50);
        if self.is_over(half).await {
            return;
        }
        self.ending.send_replace(true);
        self.is_over(half).await;
    }

    async fn is_over(&self, span: Span) -> bool {
        let over = async {
            while self.busy.get() > 0 {
                self.ended.notified().await;
            }
        };
        tokio::time::timeout(span.into(), over).await.is_ok()
    }

    fn begin(self: &Rc<Self>) -> Busy {
        self.busy.set(self.busy.get() + 1);
        Busy(self.clone())
    }

    fn is_stopping(&self) -> bool {
        self.targets.shared.look().stopping
    }

    fn now(&self) -> Time {
        self.targets.now()
    }
}

impl Session {
    async fn talk(&mut self) -> io::Result<()> {
        let mut ending = self.relay.ending.subscribe();
        loop {
            let limit = self.limit();
            let request = tokio::select! {
                biased;
                request = tokio::time::timeout(limit.into(), self.next()) => request,
                _ = ending.wait_for(|ending| *ending), if self.open.is_some() => {
                    self.roll_back();
                    continue;
                }
            };
            let Ok(request) = request else {
                return Ok(());
            };
            let Some(request) = request? else {
                return Ok(());
            };
            let told = self.answer(request).await;
            self.tell(&told).await?;
        }
    }

    /// How long to wait for the next request.
    fn limit(&self) -> Span {
        if self.open.is_none() {
            return UNUSED;
        }
        let view = self.relay.targets.shared.look();
        let idle = view.config.as_ref().map_or(UNUSED, |config| config.idle);
        idle + IDLE_MARGIN
    }

    /// The next request; none at the end of the stream.
    async fn next(&mut self) -> io::Result<Option<Request>> {
        loop {
            if let Some(request) = self.frames.read(&mut self.input)? {
                return Ok(Some(request));
            }
            self.input.reserve(READ_SIZE);
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }

    async fn tell(&mut self, told: &Told) -> io::Result<()> {
        let mut output = BytesMut::new();
        self.frames.write(told, &mut output)?;
        let written = async {
            self.stream.write_all(&output).await?;
            self.stream.flush().await
        };
        let written = tokio::time::timeout(SLOW_PEER.into(), written).await;
        written.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    async fn answer(&mut self, request: Request) -> Told {
        let (reply, wait) = match request {
            Request::Start(start) => self.start(start).await,
            Request::Next(ask) => self.proceed(ask).await,
            Request::End => {
                self.roll_back();
                (Reply::NotRun(Code::RolledBack), Span::ZERO)
            }
        };
        Told { reply, wait }
    }

    async fn start(&mut self, start: Start) -> (Reply, Span) {
        self.roll_back();
        if self.relay.is_stopping() {
            return (Reply::Away, Span::ZERO);
        }
        let targets = self.relay.targets.clone();
        let Some(target) = targets.find(&start.database) else {
            return (Reply::NotRun(Code::OtherDatabase), Span::ZERO);
        };
        let Some((query, shape)) = self.read(&start.ask) else {
            return (Reply::NotRun(Code::Malformed), Span::ZERO);
        };
        let begin = start.begin.map(|opening| Order::Begin {
            read: opening.read,
            after: start.after,
        });
        let statement = Statement {
            begin: begin.as_ref(),
            after: start.after,
            ..self.statement(&start.ask, &query, shape.as_ref())
        };
        let busy = self.relay.begin();
        let ran = exchange::start(&targets, &target, &statement, || Some(busy), || true).await;
        let wait = target.pool.gate.wait(start.ask.urgency);
        let reply = match ran {
            Ran::Answered(answer, lent, busy, asked) => {
                let urgency = statement.urgency;
                let open = answer.state == State::Open && statement.begin.is_some();
                targets.heard(&target, asked, &answer, urgency);
                match open {
                    true => self.open = Some(Open { lent, target, busy }),
                    false => exchange::give_back(&targets, lent, busy),
                }
                Reply::Answered(answer)
            }
            Ran::NotRun(code) => Reply::NotRun(code),
            Ran::Unreached => Reply::Unreached,
            Ran::Lost(why) => Reply::Lost(why),
        };
        (reply, wait)
    }

    async fn proceed(&mut self, ask: Ask) -> (Reply, Span) {
        let Some(mut open) = self.open.take() else {
            // It was idle for too long, or this VM stops.
            return (Reply::NotRun(Code::RolledBack), Span::ZERO);
        };
        let Some((query, shape)) = self.read(&ask) else {
            return (Reply::NotRun(Code::Malformed), Span::ZERO);
        };
        let targets = self.relay.targets.clone();
        let statement = self.statement(&ask, &query, shape.as_ref());
        let (target, connection) = (open.target.clone(), open.lent.connection());
        let ran = exchange::next(&targets, &target, connection, &statement, || true).await;
        let wait = target.pool.gate.wait(ask.urgency);
        let reply = match ran {
            Ok((answer, asked)) => self.passed_on(&targets, open, answer, asked, ask.urgency),
            Err(failed) => {
                exchange::give_back(&targets, open.lent, open.busy);
                match failed {
                    Failed::Busy => Reply::NotRun(Code::Busy),
                    Failed::Ended | Failed::Broken => Reply::NotRun(Code::RolledBack),
                    Failed::Lost(why) => Reply::Lost(why),
                }
            }
        };
        (reply, wait)
    }

    fn passed_on(
        &mut self,
        targets: &Targets,
        open: Open,
        answer: Answer,
        asked: Time,
        urgency: u8,
    ) -> Reply {
        targets.heard(&open.target, asked, &answer, urgency);
        match answer.state {
            State::Open => self.open = Some(open),
            State::Idle | State::Failed => exchange::give_back(targets, open.lent, open.busy),
        }
        Reply::Answered(answer)
    }

    /// The caller's statement out of its message.
    fn read(&self, ask: &Ask) -> Option<(Query, Option<Rc<Shape>>)> {
        let mut message = BytesMut::from(&ask.query[..]);
        let read = (self.relay.targets.adapter.wire.read_message)(&mut message);
        let Ok(Some(Message::Query(query))) = read else {
            return None;
        };
        Some((query, ask.shape.clone().map(Rc::new)))
    }

    fn statement<'a>(
        &self,
        ask: &'a Ask,
        query: &'a Query,
        shape: Option<&'a Rc<Shape>>,
    ) -> Statement<'a> {
        let now = self.relay.now();
        Statement {
            query,
            shape,
            values: &ask.values,
            begin: None,
            after: None,
            urgency: ask.urgency,
            queue_until: now + ask.patience,
            deadline: now + ask.within,
        }
    }

    fn roll_back(&mut self) {
        if let Some(open) = self.open.take() {
            exchange::give_back(&self.relay.targets, open.lent, open.busy);
        }
    }
}
