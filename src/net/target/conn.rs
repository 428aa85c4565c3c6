//! One connection for callers' work.

use super::names::Names;
use super::rewrite::{Rewritten, rewrite};
use super::wire::{Answer, Broken, End, Key, Wire, full, query};
use super::{keyed, wire};
use crate::core::database::{Event, Refusal, Reply, Run};
use crate::core::request::Status;
use crate::net::dialect::{self, Statement};
use crate::net::frame::{Malformed, encode, kind};
use crate::net::splice::splice;
use crate::types::{ConnId, Position, RequestId, Term};
use bytes::{Bytes, BytesMut};
use pgwire::error::ErrorInfo;
use pgwire::messages::response::ErrorResponse;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

/// An open connection and what it holds.
#[derive(Debug)]
pub(super) struct Session {
    pub wire: Wire,
    names: Names,
    /// The term declared last.
    declared: Option<Term>,
    pub status: Status,
    pub applied: Position,
}

/// What came of a batch.
#[derive(Debug)]
pub(super) enum Ran {
    /// It was answered.
    Answered(Ended),
    /// It was refused before any of it was run.
    Refused(Refusal),
}

/// A whole answer.
#[derive(Debug)]
pub(super) struct Ended {
    /// The messages for the caller.
    pub body: Bytes,
    /// Whether there is an error among them.
    pub failed: bool,
    /// The end of a write, if one was committed.
    pub wrote: Option<Position>,
}

/// Opens a connection and runs work on it until it ends. The event given back is the last one;
/// there is none if the core closed the connection.
pub(super) async fn serve(
    id: ConnId,
    end: End,
    key: Rc<Cell<Option<Key>>>,
    mut runs: UnboundedReceiver<Run>,
    events: &UnboundedSender<Event>,
) -> Option<Event> {
    let opened = tokio::select! {
        opened = Wire::open(&end, dialect::WORK_USER) => opened,
        () = closed(&mut runs) => return None,
    };
    let wire = match opened {
        Ok(wire) => wire,
        Err(error) => {
            let full = full(&error);
            log::info!(database:% = end.database, error:%; "could not open a connection");
            return Some(Event::ConnectFailed { conn: id, full });
        }
    };
    key.set(wire.key);
    let mut session = Session {
        wire,
        names: Names::default(),
        declared: None,
        status: Status::Idle,
        applied: Position::default(),
    };
    let _ = events.send(Event::Connected { conn: id });
    match session.work(id, &mut runs, events).await {
        Ok(()) => None,
        Err(error) => {
            log::info!(database:% = end.database, error:%; "closing a connection");
            Some(Event::Closed { conn: id })
        }
    }
}

/// Waits until the core has closed the connection. It sends no work to one that is not open.
async fn closed(runs: &mut UnboundedReceiver<Run>) {
    while runs.recv().await.is_some() {}
}

impl Session {
    /// Runs work until the core closes the connection.
    async fn work(
        &mut self,
        id: ConnId,
        runs: &mut UnboundedReceiver<Run>,
        events: &UnboundedSender<Event>,
    ) -> Result<(), Broken> {
        loop {
            self.wire.rest();
            let run = tokio::select! {
                biased;
                frame = self.wire.frame() => {
                    aside(frame?.kind())?;
                    continue;
                }
                run = runs.recv() => run,
            };
            let Some(run) = run else {
                return Ok(());
            };
            let request = run.request;
            let event = tokio::select! {
                ran = self.run(run) => self.event(id, request, ran?),
                // A second run before the first has ended would mix two callers' answers.
                second = runs.recv() => {
                    return second.map_or(Ok(()), |_| Err(Malformed::Order.into()));
                }
            };
            let _ = events.send(event);
        }
    }

    fn event(&self, conn: ConnId, request: RequestId, ran: Ran) -> Event {
        match ran {
            Ran::Refused(refusal) => Event::Refused {
                conn,
                request,
                refusal,
            },
            Ran::Answered(ended) => Event::Answered {
                conn,
                reply: Reply {
                    request,
                    body: ended.body,
                    status: self.status,
                    applied: self.applied,
                    wrote: ended.wrote,
                },
            },
        }
    }

    async fn run(&mut self, run: Run) -> Result<Ran, Broken> {
        let mut out = BytesMut::new();
        let declares = run.term != self.declared;
        if declares {
            query(&mut out, &Statement::Term(run.term).to_string());
        }
        let rewritten = rewrite(&run.body, &mut self.names)?;
        match run.key {
            Some(key) if self.status == Status::Idle => {
                let work = keyed::Work::new(&run.caller, &key, &run.body);
                work.open(&mut out);
                out.extend_from_slice(&rewritten.body);
                self.wire.send(&out);
                self.declared(declares, run.term).await?;
                work.run(self, &rewritten).await
            }
            _ => {
                out.extend_from_slice(&rewritten.body);
                self.wire.send(&out);
                self.declared(declares, run.term).await?;
                self.receive(&rewritten).await
            }
        }
    }

    /// Receives the answer to the declaration of a term, if one was sent.
    async fn declared(&mut self, declares: bool, term: Option<Term>) -> Result<(), Broken> {
        if !declares {
            return Ok(());
        }
        let answer = self.wire.answer().await?;
        own(&answer)?;
        self.declared = term;
        Ok(())
    }

    /// Receives the answer to a batch.
    pub(super) async fn receive(&mut self, rewritten: &Rewritten) -> Result<Ran, Broken> {
        let answer = self.take().await?;
        if !self.wire.clear() {
            return Err(Malformed::Order.into());
        }
        self.remember(rewritten, &answer);
        if let Some(refusal) = self.refusal(&answer)? {
            if self.status != Status::Idle {
                self.own("ROLLBACK").await?;
            }
            return Ok(Ran::Refused(refusal));
        }
        let (body, failed) = if answer.cut {
            (encode(&too_long()), true)
        } else {
            let body = splice(&rewritten.steps, &answer.frames)?;
            (body, answer.error()?.is_some())
        };
        Ok(Ran::Answered(Ended {
            body,
            failed,
            wrote: answer.wrote,
        }))
    }

    /// Receives an answer and notes what it says of the connection.
    pub(super) async fn take(&mut self) -> Result<Answer, Broken> {
        let answer = self.wire.answer().await?;
        self.status = answer.status.unwrap_or(Status::Idle);
        self.applied = answer.applied.unwrap_or(self.applied);
        Ok(answer)
    }

    /// The statements that the answer confirms are held from now on.
    fn remember(&mut self, rewritten: &Rewritten, answer: &Answer) {
        let complete = answer
            .frames
            .iter()
            .filter(|frame| frame.kind() == kind::PARSE_COMPLETE);
        let prepared = complete.count();
        for name in rewritten.prepares.iter().take(prepared) {
            if !name.is_empty() {
                self.names.insert(name.clone());
            }
        }
    }

    /// The refusal that the answer is, if nothing was run.
    ///
    /// A read-only refusal in a transaction is an answer like any other: the transaction was
    /// opened to read only. After a completed statement it is too, because that one may stay.
    fn refusal(&self, answer: &Answer) -> Result<Option<Refusal>, Malformed> {
        let Some(error) = answer.error()? else {
            return Ok(None);
        };
        let ran = answer
            .frames
            .iter()
            .any(|frame| frame.kind() == kind::COMMAND_COMPLETE);
        let refusal = dialect::decode_refusal(&error.code, error.detail.as_deref());
        Ok(match refusal {
            Some(Refusal::Term(term)) if !ran => Some(Refusal::Term(term)),
            Some(Refusal::ReadOnly) if !ran && self.status == Status::Idle => {
                Some(Refusal::ReadOnly)
            }
            _ => None,
        })
    }

    /// Runs a statement of the proxy's own, after which no transaction may be open.
    pub(super) async fn own(&mut self, text: &str) -> Result<Answer, Broken> {
        let mut out = BytesMut::new();
        query(&mut out, text);
        self.wire.send(&out);
        let answer = self.take().await?;
        own(&answer)?;
        if self.status != Status::Idle || !self.wire.clear() {
            return Err(Malformed::Order.into());
        }
        Ok(answer)
    }
}

/// Checks the answer to a statement of the proxy's own.
fn own(answer: &Answer) -> Result<(), Broken> {
    match answer.error()? {
        Some(error) => Err(Broken::Own(error.code)),
        None => Ok(()),
    }
}

/// Checks a message that came while nothing was asked.
fn aside(byte: u8) -> Result<(), wire::Broken> {
    match byte {
        kind::PARAMETER | kind::NOTICE | kind::NOTIFICATION => Ok(()),
        _ => Err(Malformed::Order.into()),
    }
}

/// Stands for an answer that was too long to keep. The connection has read it to the end.
fn too_long() -> ErrorResponse {
    let message = "the answer is longer than 16 MiB, and was dropped: fetch it in parts";
    let mut info = ErrorInfo::new("ERROR".into(), "54000".into(), message.into());
    info.detail = Some("The work was run.".into());
    info.into()
}
