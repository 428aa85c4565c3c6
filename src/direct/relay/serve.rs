//! Answers other VMs' requests, as one of the owners of a database.

use crate::clock::{Span, Time};
use crate::direct::adapter::Stream;
use crate::direct::exchange::{self, Failed, Ran, Statement};
use crate::direct::front::Stopping;
use crate::direct::gate::Urgency;
use crate::direct::pool::Checkout;
use crate::direct::relay::{Ask, Channel, Reply, Request, Start, Told};
use crate::direct::session::Shape;
use crate::direct::statement::{Answer, Code, Message, Order, Query, State};
use crate::direct::targets::{Target, Targets};
use crate::direct::trace::Trace;
use crate::types::Position;
use bytes::BytesMut;
use std::cell::Cell;
use std::fmt;
use std::io;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::sync::{Notify, watch};

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
    /// How far a planned stop has come.
    stopping: watch::Sender<Stopping>,
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
    checkout: Box<Checkout>,
    target: Target,
    busy: Busy,
}

/// One stream of another VM.
struct Session {
    relay: Rc<Relay>,
    channel: Channel,
    open: Option<Open>,
}

impl Relay {
    /// Relays to these databases, by the connections that this VM's own callers use.
    pub fn new(targets: Rc<Targets>) -> Rc<Self> {
        Rc::new(Self {
            targets,
            busy: Cell::default(),
            ended: Notify::new(),
            stopping: watch::Sender::new(Stopping::No),
        })
    }

    /// Serves one stream to its end.
    pub async fn serve_stream(self: Rc<Self>, stream: Box<dyn Stream>) {
        let mut session = Session {
            relay: self,
            channel: Channel::new(stream),
            open: None,
        };
        let _ = session.talk().await;
        session.roll_back();
    }

    /// Waits for what is under way: transactions as long as callers' own ones, and then as long as
    /// their statements take. New work is refused from when the stop began.
    pub async fn stop(&self, grace: Span) {
        self.stopping.send_replace(Stopping::Idle);
        let half = grace.percent(50);
        if self.is_over(half).await {
            return;
        }
        self.stopping.send_replace(Stopping::Transactions);
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

/// Waits until a stop has come so far.
///
/// **Failure answered.** What the channel returns holds a lock on it, and whoever waits goes on to
/// write to its peer. **Symptom without it.** The next step of the stop waits for that lock on the
/// only thread there is, and the process stands still until it is killed. **Why it suffices.** The
/// lock ends with this function.
async fn reached(stopping: &mut watch::Receiver<Stopping>, due: Stopping) {
    // The sender lives as long as the relay, which every session holds.
    let _ = stopping.wait_for(|stopping| *stopping >= due).await;
}

impl Session {
    async fn talk(&mut self) -> io::Result<()> {
        let mut stopping = self.relay.stopping.subscribe();
        loop {
            let limit = self.limit();
            // What a stop waits for: the end of the transaction, or nothing.
            let due = match self.open {
                Some(_) => Stopping::Transactions,
                None => Stopping::Idle,
            };
            let request = tokio::select! {
                biased;
                request = tokio::time::timeout(limit.into(), self.channel.receive()) => request,
                () = reached(&mut stopping, due) => match due {
                    Stopping::Transactions => {
                        self.roll_back();
                        continue;
                    }
                    _ => return self.leave().await,
                },
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

    /// Tells the other end that nothing is taken on this stream any more, and waits for its end.
    ///
    /// **Failure answered.** A request is on its way while the stream is closed by a stop. **Symptom
    /// without it.** It counts as lost, and a write's caller is told that its outcome is unknown.
    /// **Why it suffices.** A request that was sent before this was read takes it for its reply; an
    /// idle stream on which something has come is not used any more.
    async fn leave(&mut self) -> io::Result<()> {
        self.tell(&Told::only(Reply::Away)).await?;
        let drained = async {
            let Channel { stream, input, .. } = &mut self.channel;
            while stream.read_buf(input).await? > 0 {
                input.clear();
            }
            io::Result::Ok(())
        };
        let drained = tokio::time::timeout(UNUSED.into(), drained).await;
        drained.unwrap_or(Ok(()))
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

    async fn tell(&mut self, told: &Told) -> io::Result<()> {
        let written = self.channel.send(told);
        let written = tokio::time::timeout(SLOW_PEER.into(), written).await;
        written.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    async fn answer(&mut self, request: Request) -> Told {
        match request {
            Request::Start(start) => self.start(start).await,
            Request::Next(ask) => self.proceed(ask).await,
            Request::End => {
                self.roll_back();
                Told::only(Reply::NotRun(Code::RolledBack))
            }
            Request::Spend(spend) => {
                let grant = self.relay.targets.quotas.grant(&spend);
                Told::only(Reply::Granted(grant))
            }
        }
    }

    /// A reply, and how the database stands.
    fn of(&self, reply: Reply, target: &Target, urgency: Urgency) -> Told {
        Told {
            reply,
            wait: target.pool.gate.wait(urgency),
            position: target.pool.position(self.relay.now()),
        }
    }

    async fn start(&mut self, start: Start) -> Told {
        self.roll_back();
        if self.relay.is_stopping() {
            return Told::only(Reply::Away);
        }
        let targets = self.relay.targets.clone();
        let Some(target) = targets.find(&start.database) else {
            return Told::only(Reply::Unknown);
        };
        if self.is_behind(&target, start.after) {
            return self.of(Reply::NotRun(Code::Behind), &target, start.ask.urgency);
        }
        let Some((query, shape)) = self.read(&start.ask) else {
            return Told::only(Reply::NotRun(Code::Malformed));
        };
        let begin = start.begin.map(|opening| Order::Begin {
            read: opening.read,
            after: start.after,
        });
        let trace = Trace::default();
        let statement = Statement {
            begin: begin.as_ref(),
            after: start.after,
            ..self.statement(&start.ask, &query, shape.as_ref(), &trace)
        };
        let busy = self.relay.begin();
        let ran = exchange::start(&targets, &target, &statement, || Some(busy), || true).await;
        let reply = match ran {
            Ran::Answered(answer, checkout, busy, asked) => {
                let open = Open {
                    checkout,
                    target: target.clone(),
                    busy,
                };
                let stays = statement.begin.is_some();
                self.passed_on(&targets, open, stays, answer, asked, start.ask.urgency)
            }
            Ran::NotRun(code) => Reply::NotRun(code),
            Ran::Unreached => Reply::Unreached,
            Ran::Lost(why) => Reply::Lost(why),
        };
        self.of(reply, &target, start.ask.urgency)
    }

    async fn proceed(&mut self, ask: Ask) -> Told {
        let Some(mut open) = self.open.take() else {
            // It was idle for too long, or this VM stops.
            return Told::only(Reply::NotRun(Code::RolledBack));
        };
        let Some((query, shape)) = self.read(&ask) else {
            return Told::only(Reply::NotRun(Code::Malformed));
        };
        let targets = self.relay.targets.clone();
        // The VM that asks writes the request's line.
        let trace = Trace::default();
        let statement = self.statement(&ask, &query, shape.as_ref(), &trace);
        let (target, connection) = (open.target.clone(), open.checkout.connection());
        let ran = exchange::next(&targets, &target, connection, &statement, || true).await;
        let reply = match ran {
            Ok((answer, asked)) => self.passed_on(&targets, open, true, answer, asked, ask.urgency),
            Err(failed) => {
                exchange::give_back(&targets, open.checkout, open.busy);
                match failed {
                    Failed::Busy => Reply::NotRun(Code::Busy),
                    Failed::Ended | Failed::Broken => Reply::NotRun(Code::RolledBack),
                    Failed::Lost(why) => Reply::Lost(why),
                }
            }
        };
        self.of(reply, &target, ask.urgency)
    }

    /// Whether the database is known not to have a position.
    ///
    /// **Pattern answered.** A replica falls behind, and VMs that seldom hear of it go on to send it
    /// reads. **Without it** each such read takes a slot for being refused (4,500 of 80,000 statements
    /// on a day of high load); the owner has just heard how far it is.
    fn is_behind(&self, target: &Target, after: Option<Position>) -> bool {
        let known = target.pool.position(self.relay.now());
        let (Some(after), Some(known)) = (after, known) else {
            return false;
        };
        known.term == after.term && known < after
    }

    /// Passes an answer on. What it leaves open stays so if it is of a transaction, and else is
    /// rolled back.
    fn passed_on(
        &mut self,
        targets: &Targets,
        open: Open,
        stays: bool,
        answer: Answer,
        asked: Time,
        urgency: Urgency,
    ) -> Reply {
        targets.answered_for_peer(&open.target, asked, &answer, urgency);
        match stays && answer.state == State::Open {
            true => self.open = Some(open),
            false => exchange::give_back(targets, open.checkout, open.busy),
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
        trace: &'a Trace,
    ) -> Statement<'a> {
        let now = self.relay.now();
        Statement {
            query,
            shape,
            values: &ask.values,
            organisation: ask.organisation.as_ref(),
            begin: None,
            after: None,
            urgency: ask.urgency,
            queue_until: now + ask.patience,
            deadline: now + ask.within,
            trace,
        }
    }

    fn roll_back(&mut self) {
        if let Some(open) = self.open.take() {
            exchange::give_back(&self.relay.targets, open.checkout, open.busy);
        }
    }
}
