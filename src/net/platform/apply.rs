//! Applies a document completely or not at all, and reports the true outcome even if the platform's
//! answers are lost.

use super::{
    Answer, CONFIG_ROW, Call, Client, Error, Head, MAX_PAST_VERSIONS, Past, jittered, unexpected,
};
use crate::clock::Span;
use crate::config::{Accepted, Document, diff};
use crate::net::http;
use crate::types::{ApplyId, Version};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// How long new tries are started while the platform does not answer. Together with the calls of the
/// last try, this is less than [`http::EXCHANGE_TIMEOUT`], so that the answer still reaches the operator.
pub const RETRY_TIMEOUT: Span = Span::from_secs(5);

/// The average pause between two tries.
const RETRY_DELAY: Span = Span::from_millis(200);

/// The path of the admin address that takes a [`Proposal`] as JSON.
pub const PATH: &str = "/apply";

/// The path of the admin address that shows the configuration in force, as JSON of [`Accepted`] or
/// `null`.
pub const CONFIG_PATH: &str = "/config";

/// A document to apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Identifies the attempt; the same when a request is repeated.
    pub id: ApplyId,
    /// The version that the document was based on.
    pub base: Version,
    /// The document.
    pub document: Document,
}

/// The outcome of a proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It is in force until a newer one is accepted.
    Accepted(Version),
    /// Another document is in force; nothing was changed.
    Outrun(Outrun),
    /// It is no valid successor of the one in force; nothing was changed.
    Refused(Box<str>),
    /// The platform did not answer; nothing was changed.
    NotApplied(Box<str>),
    /// The platform did not answer a write: the proposal may or may not be in force.
    Unsettled,
}

/// The winner of a race between operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outrun {
    /// The version in force.
    pub version: Version,
    /// What changed since the proposal's base; empty if the base is no longer known.
    pub changes: Vec<Box<str>>,
}

/// The outcome of one try.
enum Step {
    Settled(Verdict),
    /// Another try may succeed; the error is the cause.
    Retry(Error),
}

/// Applies `proposal` by compare-and-set.
///
/// The answer to a write can be lost after the write took effect. The operator must then not see a
/// failure and apply again, nor see no outcome while the document is in force. So each try first reads
/// the row, which records the accepted attempts. A write that arrives late finds another version than
/// it expects, unless no other write came before it.
///
/// No new try starts after `deadline`.
pub async fn settle(client: &Client, proposal: &Proposal, deadline: Instant) -> Verdict {
    let mut written = false;
    loop {
        let error = match attempt(client, proposal, &mut written).await {
            Ok(Step::Settled(verdict)) => return verdict,
            Ok(Step::Retry(error)) | Err(error) => error,
        };
        let pause = jittered(RETRY_DELAY);
        if Instant::now() + pause >= deadline {
            return match written {
                true => Verdict::Unsettled,
                false => Verdict::NotApplied(error.to_string().into()),
            };
        }
        tokio::time::sleep(pause).await;
    }
}

async fn attempt(client: &Client, proposal: &Proposal, written: &mut bool) -> Result<Step, Error> {
    let head = client.head(Version(u64::MAX)).await?.unwrap_or_default();
    let won = head.past.iter().find(|past| past.apply == proposal.id);
    if let Some(past) = won {
        return Ok(Step::Settled(Verdict::Accepted(past.version)));
    }
    if head.version() != proposal.base {
        let outrun = outrun(client, &head, proposal.base).await;
        return Ok(Step::Settled(Verdict::Outrun(outrun)));
    }
    if let Some(past) = head.last() {
        let before = client.document(past).await?;
        if let Err(fault) = proposal.document.check_step(&before.document) {
            return Ok(Step::Settled(Verdict::Refused(fault.to_string().into())));
        }
    }
    write(client, proposal, head, written).await
}

async fn write(
    client: &Client,
    proposal: &Proposal,
    mut head: Head,
    written: &mut bool,
) -> Result<Step, Error> {
    let next = Past {
        version: proposal.base.next(),
        apply: proposal.id,
    };
    let accepted = Accepted {
        version: next.version,
        document: proposal.document.clone(),
    };
    let (name, bytes) = (next.object(), accepted.pack());
    client.call(Call::Store { name, bytes }).await?;
    head.past.push(next);
    let surplus = head.past.len().saturating_sub(MAX_PAST_VERSIONS);
    let forgotten: Vec<Past> = head.past.drain(..surplus).collect();
    let call = Call::Write {
        key: CONFIG_ROW.into(),
        expected: proposal.base,
        value: serde_json::to_vec(&head).unwrap_or_default().into(),
    };
    *written = true;
    match client.call(call).await? {
        Answer::Written(version) => {
            for past in forgotten {
                // An object that is left over only costs a few kilobytes.
                let _ = client.call(Call::Remove(past.object())).await;
            }
            Ok(Step::Settled(Verdict::Accepted(version)))
        }
        Answer::Row(_) => Ok(Step::Retry(Error::Unavailable("the row changed".into()))),
        other => Err(unexpected(&other)),
    }
}

async fn outrun(client: &Client, head: &Head, base: Version) -> Outrun {
    let find = |version| {
        head.past
            .iter()
            .find(|past| past.version == version)
            .copied()
    };
    let mut changes = Vec::new();
    if let (Some(before), Some(after)) = (find(base), head.last())
        && let (Ok(before), Ok(after)) =
            (client.document(before).await, client.document(after).await)
    {
        changes = diff::changes(&before.document, &after.document);
    }
    Outrun {
        version: head.version(),
        changes,
    }
}

/// Answers a proposal that an operator posted to a proxy.
///
/// `enforce` puts the document in force on this proxy, unless it has a later one, and sends it to
/// others. It completes before the operator gets "accepted", so that an accepted document stays in
/// force even if the platform fails right after.
pub async fn serve<E, R>(client: &Client, body: &[u8], enforce: E) -> http::Reply
where
    E: FnOnce(Accepted) -> R,
    R: Future<Output = ()>,
{
    let proposal: Proposal = match serde_json::from_slice(body) {
        Ok(proposal) => proposal,
        Err(error) => return refusal(&error),
    };
    if let Err(fault) = proposal.document.check() {
        return refusal(&fault);
    }
    let deadline = Instant::now() + RETRY_TIMEOUT.into();
    let verdict = settle(client, &proposal, deadline).await;
    if let Verdict::Accepted(version) = &verdict {
        enforce(Accepted {
            version: *version,
            document: proposal.document,
        })
        .await;
    }
    let json = serde_json::to_vec(&verdict).unwrap_or_default();
    http::Reply::new(::http::StatusCode::OK, json)
}

fn refusal(error: &dyn std::fmt::Display) -> http::Reply {
    let text = format!("not a proposal: {error}; run the same version at both ends");
    http::Reply::new(::http::StatusCode::BAD_REQUEST, text)
}

/// Sends a proposal to the proxy at `address`, and repeats it under the same id if the answer is lost.
pub async fn propose(
    address: std::net::SocketAddr,
    proposal: &Proposal,
) -> Result<Verdict, http::Error> {
    const TRIES: usize = 3;
    let body = Bytes::from(serde_json::to_vec(proposal).unwrap_or_default());
    let mut tries = 0;
    loop {
        tries += 1;
        match http::post(address, PATH, body.clone()).await {
            Ok(reply) => return Ok(qualify(read(&reply), tries > 1)),
            Err(error @ http::Error::Connect(..)) if tries == 1 => return Err(error),
            Err(_) if tries < TRIES => tokio::time::sleep(jittered(RETRY_DELAY)).await,
            Err(http::Error::Connect(..) | http::Error::Broken(..) | http::Error::Late(_)) => {
                return Ok(Verdict::Unsettled);
            }
        }
    }
}

/// Turns "not applied" into "unsettled" after an earlier try, which may have written although its
/// answer was lost.
fn qualify(verdict: Verdict, tried_before: bool) -> Verdict {
    match verdict {
        Verdict::NotApplied(_) if tried_before => Verdict::Unsettled,
        other => other,
    }
}

fn read(reply: &http::Reply) -> Verdict {
    serde_json::from_slice(&reply.body)
        .unwrap_or_else(|_| Verdict::Refused(String::from_utf8_lossy(&reply.body).into()))
}
