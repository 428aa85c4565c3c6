//! A work connection to a database.

use super::names::Names;
use super::rewrite::{Rewritten, rewrite};
use super::wire::{Answer, Broken, Endpoints, Key, Wire, is_full, query};
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

/// An open connection and its state in the database.
#[derive(Debug)]
pub(super) struct Session {
    pub wire: Wire,
    names: Names,
    /// The term that was declared last.
    declared: Option<Term>,
    pub status: Status,
    pub applied: Position,
}

/// The result of running a batch.
#[derive(Debug)]
pub(super) enum Execution {
    /// The database answered it.
    Answered(Response),
    /// It was refused before any of it was run.
    Refused(Refusal),
}

/// The whole answer to a batch.
#[derive(Debug)]
pub(super) struct Response {
    /// The messages for the caller.
    pub body: Bytes,
    /// Whether they contain an error.
    pub failed: bool,
    /// The log position at the end of the committed write, if there was one.
    pub wrote: Option<Position>,
}

/// Opens a connection and runs work on it until it ends. Returns the connection's last event, or
/// `None` if the core closed the connection.
pub(super) async fn serve(
    id: ConnId,
    endpoints: Endpoints,
    key: Rc<Cell<Option<Key>>>,
    mut runs: UnboundedReceiver<Run>,
    events: &UnboundedSender<Event>,
) -> Option<Event> {
    let opened = tokio::select! {
        opened = Wire::open(&endpoints, dialect::WORK_USER) => opened,
        () = closed(&mut runs) => return None,
    };
    let wire = match opened {
        Ok(wire) => wire,
        Err(error) => {
            let full = is_full(&error);
            log::info!(database:% = endpoints.database, error:%; "could not open a connection");
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
            log::info!(database:% = endpoints.database, error:%; "closing a connection");
            Some(Event::Closed { conn: id })
        }
    }
}

/// Waits until the core closes a connection that is still being opened. The core sends no work
/// to it before `Connected`.
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
            self.wire.release_buffers();
            let run = tokio::select! {
                biased;
                frame = self.wire.frame() => {
                    check_unsolicited(frame?.kind())?;
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

    fn event(&self, conn: ConnId, request: RequestId, ran: Execution) -> Event {
        match ran {
            Execution::Refused(refusal) => Event::Refused {
                conn,
                request,
                refusal,
            },
            Execution::Answered(response) => Event::Answered {
                conn,
                reply: Reply {
                    request,
                    body: response.body,
                    status: self.status,
                    applied: self.applied,
                    wrote: response.wrote,
                },
            },
        }
    }

    async fn run(&mut self, run: Run) -> Result<Execution, Broken> {
        let mut out = BytesMut::new();
        let declares = run.term != self.declared;
        if declares {
            query(&mut out, &Statement::Term(run.term).to_string());
        }
        let rewritten = rewrite(&run.body, &mut self.names)?;
        match run.key {
            Some(key) if self.status == Status::Idle => {
                let work = keyed::Work::new(&run.caller, &key, &run.body);
                work.begin(&mut out);
                out.extend_from_slice(&rewritten.body);
                self.wire.send(&out);
                self.receive_declaration(declares, run.term).await?;
                work.run(self, &rewritten).await
            }
            _ => {
                out.extend_from_slice(&rewritten.body);
                self.wire.send(&out);
                self.receive_declaration(declares, run.term).await?;
                self.receive(&rewritten).await
            }
        }
    }

    /// Receives the answer to the declaration of a term, if one was sent.
    async fn receive_declaration(
        &mut self,
        declares: bool,
        term: Option<Term>,
    ) -> Result<(), Broken> {
        if !declares {
            return Ok(());
        }
        let answer = self.wire.answer().await?;
        check_internal(&answer)?;
        self.declared = term;
        Ok(())
    }

    /// Receives the answer to a batch.
    pub(super) async fn receive(&mut self, rewritten: &Rewritten) -> Result<Execution, Broken> {
        let answer = self.receive_answer().await?;
        if !self.wire.is_drained() {
            return Err(Malformed::Order.into());
        }
        self.record_prepared(rewritten, &answer);
        if let Some(refusal) = self.refusal(&answer)? {
            if self.status != Status::Idle {
                self.run_internal("ROLLBACK").await?;
            }
            return Ok(Execution::Refused(refusal));
        }
        let (body, failed) = if answer.cut {
            (encode(&too_long()), true)
        } else {
            let body = splice(&rewritten.steps, &answer.frames)?;
            (body, answer.error()?.is_some())
        };
        Ok(Execution::Answered(Response {
            body,
            failed,
            wrote: answer.wrote,
        }))
    }

    /// Receives an answer and updates the connection's state from it.
    pub(super) async fn receive_answer(&mut self) -> Result<Answer, Broken> {
        let answer = self.wire.answer().await?;
        self.status = answer.status.unwrap_or(Status::Idle);
        self.applied = answer.applied.unwrap_or(self.applied);
        Ok(answer)
    }

    /// Records the statements that the answer confirms as prepared.
    fn record_prepared(&mut self, rewritten: &Rewritten, answer: &Answer) {
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

    /// The refusal in the answer, if nothing was run.
    ///
    /// A read-only refusal inside a transaction is passed on as an ordinary answer, because the
    /// transaction was opened read-only. So is one after a completed statement, because that
    /// statement may have been committed.
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

    /// Runs a statement of the proxy itself. No transaction may be open after it.
    pub(super) async fn run_internal(&mut self, text: &str) -> Result<Answer, Broken> {
        let mut out = BytesMut::new();
        query(&mut out, text);
        self.wire.send(&out);
        let answer = self.receive_answer().await?;
        check_internal(&answer)?;
        if self.status != Status::Idle || !self.wire.is_drained() {
            return Err(Malformed::Order.into());
        }
        Ok(answer)
    }
}

/// Checks the answer to a statement of the proxy itself.
fn check_internal(answer: &Answer) -> Result<(), Broken> {
    match answer.error()? {
        Some(error) => Err(Broken::Internal(error.code)),
        None => Ok(()),
    }
}

/// Checks the type of a message that arrived while no request was in flight.
fn check_unsolicited(byte: u8) -> Result<(), wire::Broken> {
    match byte {
        kind::PARAMETER | kind::NOTICE | kind::NOTIFICATION => Ok(()),
        _ => Err(Malformed::Order.into()),
    }
}

/// The error that replaces an answer above the size limit. The connection has read the answer to
/// its end.
fn too_long() -> ErrorResponse {
    let message = "the answer is longer than 16 MiB, and was dropped: fetch it in parts";
    let mut info = ErrorInfo::new("ERROR".into(), "54000".into(), message.into());
    info.detail = Some("The work was run.".into());
    info.into()
}
