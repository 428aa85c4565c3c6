//! Work under a request key: run at most once, and answered again as the first time.
//!
//! The key is inserted in the same transaction as the work, ahead of it, so that a second run
//! meets the first one's row or waits for its end; the answer is stored before the commit. Where
//! the row exists, the work is skipped by the database itself, because the transaction has
//! failed by then. This costs one round trip more than the work alone.
//!
//! The row holds a fingerprint of the work. Failure: a caller forgets to change its key. Symptom:
//! another booking is answered with the first one's result, and never made. Enough, because work
//! with another fingerprint is answered with an error.

use super::conn::{Ended, Ran, Session};
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

/// The longest answer that is stored, in bytes. A booking's answer is a few dozen.
const STORED_LIMIT: usize = 64 * 1024;

/// Work under a key.
pub(super) struct Work {
    caller: CallerId,
    key: RequestKey,
    fingerprint: String,
}

impl Work {
    /// The work of these messages.
    pub fn new(caller: &CallerId, key: &RequestKey, body: &Bytes) -> Self {
        Self {
            caller: caller.clone(),
            key: key.clone(),
            fingerprint: STANDARD.encode(Sha256::digest(body)),
        }
    }

    /// Appends what comes ahead of the work. Names and base64 hold no quotes.
    pub fn open(&self, out: &mut BytesMut) {
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
    pub async fn run(&self, session: &mut Session, rewritten: &Rewritten) -> Result<Ran, Broken> {
        let inserted = session.take().await?;
        if let Some(error) = inserted.error()? {
            let skipped = session.take().await?;
            if skipped.error()?.is_none() {
                return Err(Malformed::Order.into());
            }
            session.own("ROLLBACK").await?;
            return match dialect::decode_refusal(&error.code, error.detail.as_deref()) {
                Some(refusal) => Ok(Ran::Refused(refusal)),
                None if *error.code == *dialect::DUPLICATE_KEY => self.first(session).await,
                None => Err(Broken::Own(error.code)),
            };
        }
        let ended = match session.receive(rewritten).await? {
            Ran::Answered(ended) => ended,
            refused @ Ran::Refused(_) => return Ok(refused),
        };
        if ended.failed || session.status != Status::Open {
            return Self::abandon(session, ended).await;
        }
        if ended.body.len() > STORED_LIMIT {
            let ended = failed(&too_long());
            return Self::abandon(session, ended).await;
        }
        self.commit(session, ended).await
    }

    /// Rolls back work that failed: its key is free again.
    async fn abandon(session: &mut Session, ended: Ended) -> Result<Ran, Broken> {
        if session.status != Status::Idle {
            session.own("ROLLBACK").await?;
        }
        Ok(Ran::Answered(ended))
    }

    async fn commit(&self, session: &mut Session, ended: Ended) -> Result<Ran, Broken> {
        let stored = STANDARD.encode(&ended.body);
        let row = self.row();
        let text =
            format!("UPDATE lentilspoke_requests SET answer = '{stored}' WHERE {row}; COMMIT");
        let mut out = BytesMut::new();
        query(&mut out, &text);
        session.wire.send(&out);
        let answer = session.take().await?;
        let Some(error) = answer.error()? else {
            return Ok(Ran::Answered(Ended {
                wrote: answer.wrote,
                ..ended
            }));
        };
        if session.status != Status::Idle {
            session.own("ROLLBACK").await?;
        }
        match dialect::decode_refusal(&error.code, error.detail.as_deref()) {
            Some(refusal) => Ok(Ran::Refused(refusal)),
            None => Ok(Ran::Answered(Ended {
                body: first_error(&answer),
                failed: true,
                wrote: None,
            })),
        }
    }

    /// The result of the first run. It counts as a write up to the log's end as it is now, which
    /// holds the first run's write.
    async fn first(&self, session: &mut Session) -> Result<Ran, Broken> {
        let row = self.row();
        let text = format!("SELECT work, answer FROM lentilspoke_requests WHERE {row}");
        let found = session.own(&text).await?;
        let Some([work, answer]) = columns(&found)? else {
            return Ok(Ran::Refused(Refusal::KeyBusy));
        };
        if work != self.fingerprint {
            return Ok(Ran::Answered(failed(&other_work())));
        }
        let body = STANDARD.decode(answer).map_err(|_| Malformed::Field)?;
        let body = Bytes::from(body);
        split(body.clone())?;
        Ok(Ran::Answered(Ended {
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

/// The two columns of the one row of an answer, if there is a row.
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

fn failed(error: &ErrorResponse) -> Ended {
    Ended {
        body: encode(error),
        failed: true,
        wrote: None,
    }
}

fn other_work() -> ErrorResponse {
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
