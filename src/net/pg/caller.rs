//! A caller's connection after its login.

use super::batch::{self, Batch, Session};
use super::end::{End, close, send};
use super::fault::Fault;
use super::gather::{Inbox, Next};
use super::prepared::Names;
use super::settings::Settings;
use super::startup::{self, Cancel, Login};
use super::{READ_AHEAD, Signal, Slot, reply};
use crate::clock::Span;
use crate::core::request::{Cause, Done, Kind, NotRun, Outcome, Request, Status};
use crate::net::frame::{self, Frame, kind, put};
use crate::net::splice::{is_unchanged, splice};
use crate::sql::Statement;
use crate::types::{Link, Position};
use bytes::{Bytes, BytesMut};
use pgwire::messages::startup::ParameterStatus;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;

/// If more bytes of answers than this are buffered, they are sent before the next batch is run.
const FLUSH_THRESHOLD: usize = 16 * 1024;
/// A transaction that was aborted before the caller ended it.
///
/// If a transaction's connection is lost, statements that the caller has already pipelined would
/// run outside any transaction and be committed. So nothing is run until the caller ends the
/// transaction, which is answered with a rollback.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Aborted {
    /// The transaction may still be open in the database and must be rolled back there.
    Open,
    /// The transaction no longer exists in the database.
    Gone,
}

struct Caller {
    stream: TcpStream,
    slot: Slot,
    inbox: Inbox,
    out: BytesMut,
    login: Login,
    link: Link,
    signals: UnboundedReceiver<Signal>,
    cancel: Cancel,
    session: Session,
    status: Status,
    aborted: Option<Aborted>,
    /// A batch that ended in Flush failed: everything up to the next Sync is ignored.
    skipping: bool,
    dismissed: bool,
}

/// Serves a caller that has logged in, until its connection ends.
pub(super) async fn start(mut stream: TcpStream, slot: Slot, inbox: Inbox, login: Box<Login>) {
    let mut settings = Settings::new(slot.shared.rules.key.clone());
    let served = (slot.shared.core.pool)(&login.caller, &login.group).is_some();
    let checked = if served {
        startup::apply(&login, &mut settings)
    } else {
        Err(Fault::NoPool)
    };
    if let Err(fault) = checked {
        return close(&mut stream, &End::Fault(fault)).await;
    }
    let (link, signals) = (slot.shared.core.open)();
    let mut caller = Box::new(Caller {
        cancel: cancel_key(link),
        stream,
        inbox,
        out: BytesMut::new(),
        login: *login,
        link,
        signals,
        session: Session {
            names: Names::default(),
            settings,
        },
        status: Status::Idle,
        aborted: None,
        skipping: false,
        dismissed: false,
        slot,
    });
    let end = caller.serve().await;
    let _ = caller.flush().await;
    close(&mut caller.stream, &end).await;
}

/// The key that a caller sends to cancel its request. The number identifies the connection in this
/// proxy; the random secret keeps others from guessing the key.
fn cancel_key(link: Link) -> Cancel {
    Cancel {
        process: link.0 as u32 & u32::MAX >> 1,
        secret: rand::random(),
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.slot
            .shared
            .cancel_keys
            .borrow_mut()
            .remove(&self.cancel);
        (self.slot.shared.core.depart)(self.link);
    }
}

impl Caller {
    async fn serve(&mut self) -> End {
        let shared = Rc::clone(&self.slot.shared);
        shared
            .cancel_keys
            .borrow_mut()
            .insert(self.cancel, self.link);
        startup::accept(&mut self.out, &self.login, self.cancel);
        self.ready();
        loop {
            if let Err(end) = self.step().await {
                return end;
            }
        }
    }

    /// Answers the next batch, or waits until more of it arrives.
    async fn step(&mut self) -> Result<(), End> {
        match self.inbox.next()? {
            Next::Leave => Err(End::Gone),
            Next::More if self.dismissed && self.status == Status::Idle => {
                Err(End::Fault(Fault::Dismissed))
            }
            Next::More => self.wait().await,
            Next::Batch(frames) => {
                self.answer(&frames).await?;
                if self.out.len() > FLUSH_THRESHOLD {
                    self.flush().await?;
                }
                Ok(())
            }
        }
    }

    /// Waits for more to arrive. Sends the output and frees empty buffers first, to save memory.
    async fn wait(&mut self) -> Result<(), End> {
        self.flush().await?;
        self.inbox.release_buffers();
        self.slot.charge(self.inbox.len());
        tokio::select! {
            signal = self.signals.recv() => match signal {
                Some(Signal::Dismiss) => self.dismissed = true,
                Some(Signal::Outcome { .. }) => log::error!("an outcome without a request"),
                None => return Err(End::Fault(Fault::Dismissed)),
            },
            readable = self.stream.readable() => {
                readable?;
                if !self.inbox.read(&self.stream, &self.slot)? {
                    return Err(End::Gone);
                }
            }
        }
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), End> {
        let out = std::mem::take(&mut self.out);
        if out.is_empty() {
            return Ok(());
        }
        send(&mut self.stream, &out).await
    }

    async fn answer(&mut self, frames: &[Frame]) -> Result<(), End> {
        let syncs = frames.last().is_some_and(|last| last.kind() == kind::SYNC);
        if self.skipping {
            if syncs {
                self.skipping = false;
                self.ready();
            }
            return Ok(());
        }
        let idle = self.status == Status::Idle;
        let shared = Rc::clone(&self.slot.shared);
        match batch::build(frames, &mut self.session, &shared.cache, idle) {
            Ok(batch) => self.run(batch).await,
            Err(Fault::Malformed(malformed)) => Err(End::Fault(malformed.into())),
            Err(fault) => {
                let flushes = frames.last().is_some_and(|last| last.kind() == kind::FLUSH);
                self.fail(&fault, !flushes);
                Ok(())
            }
        }
    }

    async fn run(&mut self, batch: Batch) -> Result<(), End> {
        if batch.body.is_empty() {
            let answer = splice(&batch.steps, &[]).map_err(Fault::from)?;
            self.out.extend_from_slice(&answer);
            if batch.ready {
                self.ready();
            }
            return Ok(());
        }
        if self.aborted.is_some() {
            return self.answer_aborted(batch).await;
        }
        let request = match self.request(&batch) {
            Ok(request) => request,
            Err(fault) => {
                self.fail(&fault, batch.ready);
                return Ok(());
            }
        };
        let kind = request.kind;
        match self.submit(request).await? {
            (Outcome::Done(done), floor) => self.done(&batch, done, floor),
            (Outcome::NotRun(not_run), _) => {
                self.not_run(kind, not_run, batch.ready);
                Ok(())
            }
            (Outcome::Unknown(unknown), _) => {
                if kind == Kind::Continue {
                    self.status = Status::Failed;
                    self.aborted = Some(Aborted::Gone);
                }
                self.fail(&Fault::Unknown(unknown), batch.ready);
                Ok(())
            }
        }
    }

    /// Answers a batch of an aborted transaction.
    async fn answer_aborted(&mut self, batch: Batch) -> Result<(), End> {
        if !batch.ending {
            self.fail(&Fault::Aborted, batch.ready);
            return Ok(());
        }
        if !batch.statements.is_empty() {
            if self.aborted == Some(Aborted::Open) {
                self.roll_back().await?;
            }
            self.aborted = None;
            self.status = Status::Idle;
        }
        self.out
            .extend_from_slice(&reply::rolled_back(&batch.steps));
        if batch.ready {
            self.ready();
        }
        Ok(())
    }

    /// Rolls back a transaction in the database after one of its requests was not run.
    async fn roll_back(&mut self) -> Result<(), End> {
        let mut body = BytesMut::new();
        frame::put_raw(&mut body, kind::QUERY, &[b"ROLLBACK\0"]);
        if let Ok(request) = self.request_of(Kind::Continue, body.freeze()) {
            self.submit(request).await?;
        }
        Ok(())
    }

    fn request(&self, batch: &Batch) -> Result<Request, Fault> {
        let kind = batch::kind(&batch.statements, self.status == Status::Idle);
        // A COMMIT in the batch would end the transaction that holds the key, and the statements
        // after it would run again with each retry.
        let ends = batch.statements.contains(&Statement::End);
        if kind == Kind::Write && ends && self.session.settings.request.is_some() {
            return Err(Fault::KeyInTransaction);
        }
        self.request_of(kind, batch.body.clone())
    }

    fn request_of(&self, kind: Kind, body: Bytes) -> Result<Request, Fault> {
        let core = &self.slot.shared.core;
        let pool = (core.pool)(&self.login.caller, &self.login.group).ok_or(Fault::NoPool)?;
        let settings = &self.session.settings;
        let key = match kind {
            Kind::Write => settings.request.clone(),
            Kind::Begin if settings.request.is_some() => return Err(Fault::KeyInTransaction),
            _ => None,
        };
        let max_age = settings.max_age.or(pool.max_age);
        Ok(Request {
            link: self.link,
            session: settings.session.clone(),
            caller: self.login.caller.clone(),
            pool: pool.id,
            group: self.login.group.clone(),
            kind,
            max_age: max_age.filter(|age| *age > Span::ZERO),
            key,
            token_floor: settings.token_floor(&self.login.group),
            deadline: (core.now)() + pool.patience,
            body,
        })
    }

    /// Submits a request and waits for its outcome. Reads up to [`READ_AHEAD`] bytes meanwhile, so
    /// that the end of the caller's connection is noticed.
    async fn submit(&mut self, request: Request) -> Result<(Outcome, Option<Position>), End> {
        self.flush().await?;
        (self.slot.shared.core.submit)(request);
        loop {
            let ahead = self.inbox.len() < READ_AHEAD;
            tokio::select! {
                biased;
                signal = self.signals.recv() => match signal {
                    Some(Signal::Outcome { outcome, floor }) => return Ok((outcome, floor)),
                    Some(Signal::Dismiss) => self.dismissed = true,
                    None => return Err(End::Fault(Fault::Dismissed)),
                },
                readable = self.stream.readable(), if ahead => {
                    readable?;
                    if !self.inbox.read(&self.stream, &self.slot)? {
                        return Err(End::Gone);
                    }
                }
            }
        }
    }

    fn done(&mut self, batch: &Batch, done: Done, floor: Option<Position>) -> Result<(), End> {
        self.status = done.status;
        let flushed = !batch.ready;
        if is_unchanged(&batch.steps) && !flushed {
            self.out.extend_from_slice(&done.body);
        } else {
            let frames = frame::split(done.body).map_err(Fault::from)?;
            let answer = splice(&batch.steps, &frames).map_err(Fault::from)?;
            self.out.extend_from_slice(&answer);
            let failed = frames.last().is_some_and(|last| last.kind() == kind::ERROR);
            self.skipping = flushed && failed;
        }
        if let (Some(_), Some(floor)) = (done.wrote, floor) {
            self.send_token(floor);
        }
        if batch.ready {
            self.ready();
        }
        Ok(())
    }

    /// Sends the caller a session token that covers its write.
    fn send_token(&mut self, floor: Position) {
        let token = self.session.settings.issue(&self.login.group, floor);
        if let Some(token) = token {
            let name = crate::sql::Setting::Token.to_string();
            put(&mut self.out, &ParameterStatus::new(name, token));
        }
    }

    fn not_run(&mut self, kind: Kind, not_run: NotRun, ready: bool) {
        if not_run.cause == Cause::Lost {
            self.session.settings.clear_tokens();
        }
        let pipelined = self.inbox.len() > 0;
        let aborted = match kind {
            Kind::Continue if not_run.cause == Cause::RolledBack => Some(Aborted::Gone),
            Kind::Continue => Some(Aborted::Open),
            Kind::Begin | Kind::BeginRead if pipelined => Some(Aborted::Gone),
            _ => None,
        };
        if aborted.is_some() {
            self.status = Status::Failed;
            self.aborted = aborted;
        }
        self.fail(&Fault::NotRun(not_run), ready);
    }

    /// Answers a batch with an error, which aborts an open transaction.
    fn fail(&mut self, fault: &Fault, ready: bool) {
        if self.status == Status::Open {
            self.status = Status::Failed;
            self.aborted = Some(Aborted::Open);
        }
        put(&mut self.out, &fault.response(false));
        if ready {
            self.ready();
        } else {
            self.skipping = true;
        }
    }

    fn ready(&mut self) {
        put(&mut self.out, &reply::ready(self.status));
    }
}
