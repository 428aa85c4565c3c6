//! Serves other VMs' requests, as one of the owners of a database.

use crate::clock::{Span, Time};
use crate::direct::adapter::Stream;
use crate::direct::exchange::{self, Failed, Ran, Statement};
use crate::direct::front::Stopping;
use crate::direct::gate::Urgency;
use crate::direct::pool::Checkout;
use crate::direct::quota::{Claimed, Decision};
use crate::direct::relay::{Channel, Execute, Reply, Request, Response, Spend, Start, Trailer};
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

/// How long a stream without a request is kept: three times as long as at the other end, so that only
/// abandoned streams time out here.
const IDLE_TIMEOUT: Span = Span::from_secs(30);

/// How much longer a transaction may stay idle here than at the caller's VM, which normally ends it.
const IDLE_MARGIN: Span = Span::from_secs(2);

/// How long sending a reply may take before the stream is closed.
const SEND_TIMEOUT: Span = Span::from_secs(5);

/// Runs statements for other VMs.
pub struct Relay {
    targets: Rc<Targets>,
    /// Statements and transactions in progress.
    active: Cell<u32>,
    ended: Notify,
    /// The stage of a planned stop.
    stopping: watch::Sender<Stopping>,
}

impl fmt::Debug for Relay {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Relay").finish_non_exhaustive()
    }
}

/// Counts a statement or transaction as in progress until dropped; a planned stop waits for it.
#[derive(Debug)]
struct Active(Rc<Relay>);

impl Drop for Active {
    fn drop(&mut self) {
        let left = self.0.active.get() - 1;
        self.0.active.set(left);
        if left == 0 {
            self.0.ended.notify_one();
        }
    }
}

/// An open transaction, and its connection.
#[derive(Debug)]
struct Open {
    checkout: Box<Checkout>,
    target: Target,
    active: Active,
}

/// One stream from another VM.
struct Session {
    relay: Rc<Relay>,
    channel: Channel,
    open: Option<Open>,
}

impl Relay {
    /// A relay to these databases, over the connections that this VM's own callers use.
    pub fn new(targets: Rc<Targets>) -> Rc<Self> {
        Rc::new(Self {
            targets,
            active: Cell::default(),
            ended: Notify::new(),
            stopping: watch::Sender::new(Stopping::No),
        })
    }

    /// Serves one stream until it ends.
    pub async fn serve_stream(self: Rc<Self>, stream: Box<dyn Stream>) {
        let mut session = Session {
            relay: self,
            channel: Channel::new(stream),
            open: None,
        };
        let _ = session.run().await;
        session.roll_back();
    }

    /// Waits for the work in progress: half of `grace` for transactions, as for this VM's own callers, and
    /// the other half for running statements. New work is refused since the stop began.
    pub async fn stop(&self, grace: Span) {
        self.stopping.send_replace(Stopping::Idle);
        let half = grace.percent(50);
        if self.drain(half).await {
            return;
        }
        self.stopping.send_replace(Stopping::Transactions);
        self.drain(half).await;
    }

    /// Waits until no work is in progress; returns whether that was so within the span.
    async fn drain(&self, span: Span) -> bool {
        let drained = async {
            while self.active.get() > 0 {
                self.ended.notified().await;
            }
        };
        tokio::time::timeout(span.into(), drained).await.is_ok()
    }

    fn begin(self: &Rc<Self>) -> Active {
        self.active.set(self.active.get() + 1);
        Active(self.clone())
    }

    fn is_stopping(&self) -> bool {
        self.targets.shared.get().stopping
    }

    fn now(&self) -> Time {
        self.targets.now()
    }
}

/// Waits until a stop has reached a stage.
///
/// A function of its own, so that the guard that `wait_for` returns is dropped here. If the caller held it
/// while writing to its peer, the next stage of the stop would wait for that lock on the only thread, and the
/// process would hang until it is killed.
async fn wait_for_stage(stopping: &mut watch::Receiver<Stopping>, stage: Stopping) {
    // The sender lives as long as the relay, which every session holds.
    let _ = stopping.wait_for(|stopping| *stopping >= stage).await;
}

impl Session {
    async fn run(&mut self) -> io::Result<()> {
        let mut stopping = self.relay.stopping.subscribe();
        loop {
            let limit = self.limit();
            // The stage of a stop at which this session ends.
            let stage = match self.open {
                Some(_) => Stopping::Transactions,
                None => Stopping::Idle,
            };
            let request = tokio::select! {
                biased;
                request = tokio::time::timeout(limit.into(), self.channel.receive_with_rest()) => request,
                () = wait_for_stage(&mut stopping, stage) => match stage {
                    Stopping::Transactions => {
                        self.roll_back();
                        continue;
                    }
                    _ => return self.close().await,
                },
            };
            let Ok(request) = request else {
                return Ok(());
            };
            let Some((request, rest)) = request? else {
                return Ok(());
            };
            let response = match &request {
                Request::Spend(spend) => self.spend(spend, &rest).await?,
                _ => self.answer(request).await,
            };
            self.send(&response).await?;
        }
    }

    /// Informs the other end that this stream takes no more requests, and waits until it closes the stream.
    ///
    /// If the stream were closed at once, a request on its way would count as lost, and a write's caller
    /// would get an unknown outcome. This way the asking VM takes the message as the reply to a request that
    /// was sent before, and does not use an idle stream on which something has arrived.
    async fn close(&mut self) -> io::Result<()> {
        self.send(&Response::bare(Reply::Stopping)).await?;
        let drained = async {
            let Channel { stream, input, .. } = &mut self.channel;
            while stream.read_buf(input).await? > 0 {
                input.clear();
            }
            io::Result::Ok(())
        };
        let drained = tokio::time::timeout(IDLE_TIMEOUT.into(), drained).await;
        drained.unwrap_or(Ok(()))
    }

    /// How long to wait for the next request.
    fn limit(&self) -> Span {
        if self.open.is_none() {
            return IDLE_TIMEOUT;
        }
        let view = self.relay.targets.shared.get();
        let idle = view
            .config
            .as_ref()
            .map_or(IDLE_TIMEOUT, |config| config.idle);
        idle + IDLE_MARGIN
    }

    async fn send(&mut self, response: &Response) -> io::Result<()> {
        let sent = self.channel.send(response);
        let sent = tokio::time::timeout(SEND_TIMEOUT.into(), sent).await;
        sent.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    async fn answer(&mut self, request: Request) -> Response {
        match request {
            Request::Start(start) => self.start(start).await,
            Request::Next(ask) => self.next(ask).await,
            Request::End => {
                self.roll_back();
                Response::bare(Reply::NotRun(Code::RolledBack))
            }
            Request::Spend(spend) => self.grant(&spend),
        }
    }

    /// Grants tokens at once, or none.
    fn grant(&self, spend: &Spend) -> Response {
        let grant = self.relay.targets.quotas.grant(spend);
        Response::bare(Reply::Granted(grant))
    }

    /// Answers a request for tokens, which may wait for one if it has a trailer.
    ///
    /// The stream is watched meanwhile: if the asking VM closes it, the claim is removed, and the token goes to
    /// another one.
    async fn spend(&mut self, spend: &Spend, trailer: &[u8]) -> io::Result<Response> {
        let targets = self.relay.targets.clone();
        let trailer = match Trailer::read(trailer) {
            Ok(Some(trailer)) => trailer,
            Ok(None) => return Ok(self.grant(spend)),
            Err(error) => {
                log::debug!(error:%; "a request for tokens is refused");
                targets.shared.meter.trailer_rejected();
                return Ok(Decision::NOT_HERE.into());
            }
        };
        let mut waiting = match targets.quotas.claim(spend, trailer) {
            Claimed::Decided(decision) => return Ok(decision.into()),
            Claimed::Waits(waiting) => waiting,
        };
        let mut stopping = self.relay.stopping.subscribe();
        tokio::select! {
            biased;
            decision = waiting.decision() => Ok(decision.into()),
            () = wait_for_stage(&mut stopping, Stopping::Idle) => {
                Ok(Response::bare(Reply::Stopping))
            }
            () = self.channel.closed() => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    /// A reply with the state of the database.
    fn response(&self, reply: Reply, target: &Target, urgency: Urgency) -> Response {
        Response {
            reply,
            wait: target.pool.gate.wait(urgency),
            position: target.pool.position(self.relay.now()),
        }
    }

    async fn start(&mut self, start: Start) -> Response {
        self.roll_back();
        if self.relay.is_stopping() {
            return Response::bare(Reply::Stopping);
        }
        let targets = self.relay.targets.clone();
        let Some(target) = targets.find(&start.database) else {
            return Response::bare(Reply::Unknown);
        };
        if self.is_behind(&target, start.after) {
            return self.response(
                Reply::NotRun(Code::Behind),
                &target,
                start.statement.urgency,
            );
        }
        let Some((query, shape)) = self.read(&start.statement) else {
            return Response::bare(Reply::NotRun(Code::Malformed));
        };
        let begin = start.begin.map(|opening| Order::Begin {
            read: opening.read,
            after: start.after,
        });
        let trace = Trace::default();
        let statement = Statement {
            begin: begin.as_ref(),
            after: start.after,
            ..self.statement(&start.statement, &query, shape.as_ref(), &trace)
        };
        let active = self.relay.begin();
        let ran = exchange::start(&targets, &target, &statement, || Some(active), || true).await;
        let reply = match ran {
            Ran::Answered(answer, checkout, active, asked) => {
                let open = Open {
                    checkout,
                    target: target.clone(),
                    active,
                };
                let in_transaction = statement.begin.is_some();
                self.forward(
                    &targets,
                    open,
                    in_transaction,
                    answer,
                    asked,
                    start.statement.urgency,
                )
            }
            Ran::NotRun(code) => Reply::NotRun(code),
            Ran::Unreached => Reply::Unreached,
            Ran::Lost(why) => Reply::Lost(why),
        };
        self.response(reply, &target, start.statement.urgency)
    }

    async fn next(&mut self, ask: Execute) -> Response {
        let Some(mut open) = self.open.take() else {
            // The transaction was idle for too long, or this VM is stopping.
            return Response::bare(Reply::NotRun(Code::RolledBack));
        };
        let Some((query, shape)) = self.read(&ask) else {
            return Response::bare(Reply::NotRun(Code::Malformed));
        };
        let targets = self.relay.targets.clone();
        // The asking VM writes the log line of the request.
        let trace = Trace::default();
        let statement = self.statement(&ask, &query, shape.as_ref(), &trace);
        let (target, connection) = (open.target.clone(), open.checkout.connection());
        let ran = exchange::next(&targets, &target, connection, &statement, || true).await;
        let reply = match ran {
            Ok((answer, asked)) => self.forward(&targets, open, true, answer, asked, ask.urgency),
            Err(failed) => {
                exchange::give_back(&targets, open.checkout, open.active);
                match failed {
                    Failed::Busy => Reply::NotRun(Code::Busy),
                    Failed::Ended | Failed::Broken => Reply::NotRun(Code::RolledBack),
                    Failed::Lost(why) => Reply::Lost(why),
                }
            }
        };
        self.response(reply, &target, ask.urgency)
    }

    /// Whether the database's log is known not to have reached a position.
    ///
    /// VMs that seldom receive the position of a lagging replica go on sending it reads. Without this check,
    /// each of them would take a slot only to be refused (4,500 of 80,000 statements on a day of high load).
    /// The owner has a recent position.
    fn is_behind(&self, target: &Target, after: Option<Position>) -> bool {
        let known = target.pool.position(self.relay.now());
        let (Some(after), Some(known)) = (after, known) else {
            return false;
        };
        known.term == after.term && known < after
    }

    /// Makes the reply from a database's answer. Keeps the transaction open if the statement belongs to one,
    /// and otherwise returns the connection, with a rollback if needed.
    fn forward(
        &mut self,
        targets: &Targets,
        open: Open,
        in_transaction: bool,
        answer: Answer,
        asked: Time,
        urgency: Urgency,
    ) -> Reply {
        targets.answered_for_peer(&open.target, asked, &answer, urgency);
        match in_transaction && answer.state == State::Open {
            true => self.open = Some(open),
            false => exchange::give_back(targets, open.checkout, open.active),
        }
        Reply::Answered(answer)
    }

    /// Decodes the caller's statement and its prepared statement.
    fn read(&self, ask: &Execute) -> Option<(Query, Option<Rc<Shape>>)> {
        let mut message = BytesMut::from(&ask.query[..]);
        let read = (self.relay.targets.adapter.wire.read_message)(&mut message);
        let Ok(Some(Message::Query(query))) = read else {
            return None;
        };
        Some((query, ask.shape.clone().map(Rc::new)))
    }

    fn statement<'a>(
        &self,
        ask: &'a Execute,
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
            queue_until: now + ask.queue_timeout,
            deadline: now + ask.timeout,
            trace,
        }
    }

    fn roll_back(&mut self) {
        if let Some(open) = self.open.take() {
            exchange::give_back(&self.relay.targets, open.checkout, open.active);
        }
    }
}
