//! One caller's connection, from its login on.

use super::batch::{self, Batch, Session};
use super::end::{End, say, send};
use super::fault::Fault;
use super::gather::{Inbox, Next};
use super::prepared::Names;
use super::settings::Settings;
use super::startup::{self, Cancel, Login};
use super::{Place, READ_AHEAD, Told, reply};
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

/// Answers larger than this are sent before the next batch is looked at, in bytes.
const COALESCE: usize = 16 * 1024;
/// A transaction that is over while the caller does not know it yet.
///
/// Failure: the transaction's connection is lost, and the caller has pipelined more of it.
/// Symptom: the rest would run outside any transaction, and be kept. Enough, because nothing is
/// run until the caller ends the transaction, and that is answered with a rollback.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Over {
    /// The database's side may still be open and has to be rolled back.
    Open,
    /// Nothing is left of it.
    Gone,
}

struct Caller {
    stream: TcpStream,
    place: Place,
    inbox: Inbox,
    out: BytesMut,
    login: Login,
    link: Link,
    told: UnboundedReceiver<Told>,
    cancel: Cancel,
    session: Session,
    status: Status,
    over: Option<Over>,
    /// A batch that ended in Flush failed: everything up to the next Sync is ignored.
    skipping: bool,
    dismissed: bool,
}

/// Serves a caller that has logged in, until its end.
pub(super) async fn start(mut stream: TcpStream, place: Place, inbox: Inbox, login: Box<Login>) {
    let mut settings = Settings::new(place.door.rules.key.clone());
    let served = (place.door.core.pool)(&login.caller, &login.group).is_some();
    let checked = if served {
        startup::apply(&login, &mut settings)
    } else {
        Err(Fault::NoPool)
    };
    if let Err(fault) = checked {
        return say(&mut stream, &End::Fault(fault)).await;
    }
    let (link, told) = (place.door.core.open)();
    let mut caller = Box::new(Caller {
        cancel: secret(link),
        stream,
        inbox,
        out: BytesMut::new(),
        login: *login,
        link,
        told,
        session: Session {
            names: Names::default(),
            settings,
        },
        status: Status::Idle,
        over: None,
        skipping: false,
        dismissed: false,
        place,
    });
    let end = caller.serve().await;
    let _ = caller.flush().await;
    say(&mut caller.stream, &end).await;
}

/// What a caller shows to cancel its request: the number tells connections of this proxy apart,
/// the secret keeps others from guessing it.
fn secret(link: Link) -> Cancel {
    Cancel {
        process: link.0 as u32 & u32::MAX >> 1,
        secret: rand::random(),
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.place.door.secrets.borrow_mut().remove(&self.cancel);
        (self.place.door.core.depart)(self.link);
    }
}

impl Caller {
    async fn serve(&mut self) -> End {
        let door = Rc::clone(&self.place.door);
        door.secrets.borrow_mut().insert(self.cancel, self.link);
        startup::welcome(&mut self.out, &self.login, self.cancel);
        self.ready();
        loop {
            if let Err(end) = self.step().await {
                return end;
            }
        }
    }

    /// Answers the next batch, or waits for more of it.
    async fn step(&mut self) -> Result<(), End> {
        match self.inbox.next()? {
            Next::Leave => Err(End::Gone),
            Next::More if self.dismissed && self.status == Status::Idle => {
                Err(End::Fault(Fault::Dismissed))
            }
            Next::More => self.wait().await,
            Next::Batch(frames) => {
                self.answer(&frames).await?;
                if self.out.len() > COALESCE {
                    self.flush().await?;
                }
                Ok(())
            }
        }
    }

    /// Waits for more to arrive, with as little memory as possible.
    async fn wait(&mut self) -> Result<(), End> {
        self.flush().await?;
        self.inbox.rest();
        self.place.charge(self.inbox.len());
        tokio::select! {
            told = self.told.recv() => match told {
                Some(Told::Dismiss) => self.dismissed = true,
                Some(Told::Outcome { .. }) => log::error!("an outcome without a request"),
                None => return Err(End::Fault(Fault::Dismissed)),
            },
            readable = self.stream.readable() => {
                readable?;
                if !self.inbox.read(&self.stream, &self.place)? {
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
        let door = Rc::clone(&self.place.door);
        match batch::build(frames, &mut self.session, &door.library, idle) {
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
        if self.over.is_some() {
            return self.run_over(batch).await;
        }
        let request = match self.request(&batch) {
            Ok(request) => request,
            Err(fault) => {
                self.fail(&fault, batch.ready);
                return Ok(());
            }
        };
        let kind = request.kind;
        match self.ask(request).await? {
            (Outcome::Done(done), floor) => self.done(&batch, done, floor),
            (Outcome::NotRun(not_run), _) => {
                self.not_run(kind, not_run, batch.ready);
                Ok(())
            }
            (Outcome::Unknown(unknown), _) => {
                if kind == Kind::Continue {
                    self.status = Status::Failed;
                    self.over = Some(Over::Gone);
                }
                self.fail(&Fault::Unknown(unknown), batch.ready);
                Ok(())
            }
        }
    }

    /// Answers a batch of a transaction that is over.
    async fn run_over(&mut self, batch: Batch) -> Result<(), End> {
        if !batch.ending {
            self.fail(&Fault::Aborted, batch.ready);
            return Ok(());
        }
        if !batch.statements.is_empty() {
            if self.over == Some(Over::Open) {
                self.roll_back().await?;
            }
            self.over = None;
            self.status = Status::Idle;
        }
        self.out
            .extend_from_slice(&reply::rolled_back(&batch.steps));
        if batch.ready {
            self.ready();
        }
        Ok(())
    }

    /// Ends the database's side of a transaction of which a request was not run.
    async fn roll_back(&mut self) -> Result<(), End> {
        let mut body = BytesMut::new();
        frame::put_raw(&mut body, kind::QUERY, &[b"ROLLBACK\0"]);
        if let Ok(request) = self.request_of(Kind::Continue, body.freeze()) {
            self.ask(request).await?;
        }
        Ok(())
    }

    fn request(&self, batch: &Batch) -> Result<Request, Fault> {
        let kind = batch::kind(&batch.statements, self.status == Status::Idle);
        // A COMMIT among the work would end the transaction that holds the key, and what follows
        // would run again with each retry.
        let ends = batch.statements.contains(&Statement::End);
        if kind == Kind::Write && ends && self.session.settings.request.is_some() {
            return Err(Fault::KeyInTransaction);
        }
        self.request_of(kind, batch.body.clone())
    }

    fn request_of(&self, kind: Kind, body: Bytes) -> Result<Request, Fault> {
        let core = &self.place.door.core;
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
            token_floor: settings.shown(&self.login.group),
            deadline: (core.now)() + pool.patience,
            body,
        })
    }

    /// Submits a request and waits for its outcome, reading ahead within bounds so that the
    /// caller's end is noticed.
    async fn ask(&mut self, request: Request) -> Result<(Outcome, Option<Position>), End> {
        self.flush().await?;
        (self.place.door.core.submit)(request);
        loop {
            let ahead = self.inbox.len() < READ_AHEAD;
            tokio::select! {
                biased;
                told = self.told.recv() => match told {
                    Some(Told::Outcome { outcome, floor }) => return Ok((outcome, floor)),
                    Some(Told::Dismiss) => self.dismissed = true,
                    None => return Err(End::Fault(Fault::Dismissed)),
                },
                readable = self.stream.readable(), if ahead => {
                    readable?;
                    if !self.inbox.read(&self.stream, &self.place)? {
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
            self.show(floor);
        }
        if batch.ready {
            self.ready();
        }
        Ok(())
    }

    /// Shows the caller a token that holds its write.
    fn show(&mut self, floor: Position) {
        let token = self.session.settings.issue(&self.login.group, floor);
        if let Some(token) = token {
            let name = crate::sql::Setting::Token.to_string();
            put(&mut self.out, &ParameterStatus::new(name, token));
        }
    }

    fn not_run(&mut self, kind: Kind, not_run: NotRun, ready: bool) {
        if not_run.cause == Cause::Lost {
            self.session.settings.forget();
        }
        let pipelined = self.inbox.len() > 0;
        let over = match kind {
            Kind::Continue if not_run.cause == Cause::RolledBack => Some(Over::Gone),
            Kind::Continue => Some(Over::Open),
            Kind::Begin | Kind::BeginRead if pipelined => Some(Over::Gone),
            _ => None,
        };
        if over.is_some() {
            self.status = Status::Failed;
            self.over = over;
        }
        self.fail(&Fault::NotRun(not_run), ready);
    }

    /// Answers a batch with an error, which ends the use of an open transaction as any error does.
    fn fail(&mut self, fault: &Fault, ready: bool) {
        if self.status == Status::Open {
            self.status = Status::Failed;
            self.over = Some(Over::Open);
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
