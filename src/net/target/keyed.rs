//! Work under a request key: it is run at most once, and a retry gets the stored first answer.
//!
//! The key is inserted before the work, in the same transaction, so that a second run finds the
//! first one's row or waits for its transaction to end. The answer is stored before the commit. If
//! the row exists, the insert fails the transaction and the database skips the work. This costs
//! one round trip more than the work alone.
//!
//! The row holds a fingerprint of the work, and other work under the same key is answered with an
//! error. Otherwise a caller that forgot to change its key would receive the first booking's
//! result for another booking, which would never be made.

use super::conn::{Execution, Response, Session};
use super::rewrite::Rewritten;
use super::wire::{Answer, Broken, query};
use crate::core::database::Refusal;
use crate::core::request::Status;
use crate::net::dialect;
use crate::net::frame::{Malformed, encode, kind, split};
use crate::types::{CallerId, RequestKey};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Bytes, BytesMut};
use pgwire::error::ErrorInfo;
use pgwire::messages::response::ErrorResponse;
use sha2::{Digest, Sha256};

/// The longest answer that is stored, in bytes. A booking's answer is a few dozen bytes long.
const STORED_LIMIT: usize = 64 * 1024;

/// Work under a key.
pub(super) struct Work {
    caller: CallerId,
    key: RequestKey,
    fingerprint: String,
}

impl Work {
    /// The work that the messages in `body` run.
    pub fn new(caller: &CallerId, key: &RequestKey, body: &Bytes) -> Self {
        Self {
            caller: caller.clone(),
            key: key.clone(),
            fingerprint: STANDARD.encode(Sha256::digest(body)),
        }
    }

    /// Appends the query that is sent before the work. Names and base64 contain no quotes.
    pub fn begin(&self, out: &mut BytesMut) {
        let Self {
            caller,
            key,
            fingerprint,
        } = self;
        query(
            out,
            &format!(
                "BEGIN; INSERT INTO lentilspoke_requests (caller, request_key, work) \
                 VALUES ('{caller}', '{key}', '{fingerprint}')"
            ),
        );
    }

    fn row(&self) -> String {
        format!(
            "caller = '{}' AND request_key = '{}'",
            self.caller, self.key
        )
    }

    /// Receives the answers to what was sent, and ends the transaction.
    pub async fn run(
        &self,
        session: &mut Session,
        rewritten: &Rewritten,
    ) -> Result<Execution, Broken> {
        let inserted = session.receive_answer().await?;
        if let Some(error) = inserted.error()? {
            let skipped = session.receive_answer().await?;
            if skipped.error()?.is_none() {
                return Err(Malformed::Order.into());
            }
            session.run_internal("ROLLBACK").await?;
            return match dialect::decode_refusal(&error.code, error.detail.as_deref()) {
                Some(refusal) => Ok(Execution::Refused(refusal)),
                None if *error.code == *dialect::DUPLICATE_KEY => self.stored_answer(session).await,
                None => Err(Broken::Internal(error.code)),
            };
        }
        let response = match session.receive(rewritten).await? {
            Execution::Answered(response) => response,
            refused @ Execution::Refused(_) => return Ok(refused),
        };
        if response.failed || session.status != Status::Open {
            return Self::roll_back(session, response).await;
        }
        if response.body.len() > STORED_LIMIT {
            let response = failed(&too_long());
            return Self::roll_back(session, response).await;
        }
        self.commit(session, response).await
    }

    /// Rolls back failed work, so that its key can be used again.
    async fn roll_back(session: &mut Session, response: Response) -> Result<Execution, Broken> {
        if session.status != Status::Idle {
            session.run_internal("ROLLBACK").await?;
        }
        Ok(Execution::Answered(response))
    }

    async fn commit(&self, session: &mut Session, response: Response) -> Result<Execution, Broken> {
        let stored = STANDARD.encode(&response.body);
        let row = self.row();
        let text =
            format!("UPDATE lentilspoke_requests SET answer = '{stored}' WHERE {row}; COMMIT");
        let mut out = BytesMut::new();
        query(&mut out, &text);
        session.wire.send(&out);
        let answer = session.receive_answer().await?;
        let Some(error) = answer.error()? else {
            return Ok(Execution::Answered(Response {
                wrote: answer.wrote,
                ..response
            }));
        };
        if session.status != Status::Idle {
            session.run_internal("ROLLBACK").await?;
        }
        match dialect::decode_refusal(&error.code, error.detail.as_deref()) {
            Some(refusal) => Ok(Execution::Refused(refusal)),
            None => Ok(Execution::Answered(Response {
                body: first_error(&answer),
                failed: true,
                wrote: None,
            })),
        }
    }

    /// Returns the stored answer of the first run. Its reported write position is the log's current
    /// end, which includes the first run's write.
    async fn stored_answer(&self, session: &mut Session) -> Result<Execution, Broken> {
        let row = self.row();
        let text = format!("SELECT work, answer FROM lentilspoke_requests WHERE {row}");
        let found = session.run_internal(&text).await?;
        let Some([work, answer]) = columns(&found)? else {
            return Ok(Execution::Refused(Refusal::KeyBusy));
        };
        if work != self.fingerprint {
            return Ok(Execution::Answered(failed(&key_reused())));
        }
        let body = STANDARD.decode(answer).map_err(|_| Malformed::Field)?;
        let body = Bytes::from(body);
        split(body.clone())?;
        Ok(Execution::Answered(Response {
            body,
            failed: false,
            wrote: Some(session.applied),
        }))
    }
}

fn first_error(answer: &Answer) -> Bytes {
    let error = answer
        .frames
        .iter()
        .find(|frame| frame.kind() == kind::ERROR);
    error.map(|frame| frame.bytes().clone()).unwrap_or_default()
}

/// The two columns of the answer's row, if there is a row.
fn columns(answer: &Answer) -> Result<Option<[String; 2]>, Malformed> {
    let row = answer
        .frames
        .iter()
        .find(|frame| frame.kind() == kind::DATA_ROW);
    let Some(row) = row else {
        return Ok(None);
    };
    let mut fields = row.fields();
    if fields.short()? != 2 {
        return Err(Malformed::Field);
    }
    let mut column = || -> Result<String, Malformed> {
        let value = fields.value()?.ok_or(Malformed::Field)?;
        String::from_utf8(value.to_vec()).map_err(|_| Malformed::Field)
    };
    Ok(Some([column()?, column()?]))
}

fn failed(error: &ErrorResponse) -> Response {
    Response {
        body: encode(error),
        failed: true,
        wrote: None,
    }
}

fn key_reused() -> ErrorResponse {
    let message = "the request key was used for other work: SET lentilspoke.request to a new one";
    let mut info = ErrorInfo::new("ERROR".into(), "22023".into(), message.into());
    info.detail = Some("Nothing was run.".into());
    info.into()
}

fn too_long() -> ErrorResponse {
    let message = "the answer is longer than 64 KiB, too long for a request key: return less";
    let mut info = ErrorInfo::new("ERROR".into(), "54000".into(), message.into());
    info.detail = Some("The work was rolled back.".into());
    info.into()
}
