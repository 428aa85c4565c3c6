//! Turns a database's answer to a batch into the answer that the caller expects.
//!
//! A batch is not always sent as the caller wrote it: a statement may be prepared again on another
//! connection, or exist there already, or the proxy may answer a message itself. This module adapts
//! the answer message by message. A message in it that answers no message of the batch is an error,
//! and the connection is not used again.

use crate::net::frame::{Frame, Malformed, kind};
use bytes::{Bytes, BytesMut};

/// The kind of answer that a database gives to a message of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// ParseComplete.
    Parse,
    /// BindComplete.
    Bind,
    /// CloseComplete.
    Close,
    /// The description of a statement.
    Describe,
    /// The description of a portal.
    DescribePortal,
    /// Rows and their end.
    Execute,
    /// The answers to all statements of a simple query.
    Query,
}

/// One part of the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// The database's answer is passed on to the caller.
    Pass(Expect),
    /// The database's answer is dropped, because the proxy sent the message itself.
    Drop(Expect),
    /// The proxy inserts these messages as its own answer.
    Insert(Bytes),
}

impl Expect {
    /// Returns whether a message of this type ends the answer; none if it is no part of the answer.
    fn ends_answer(self, byte: u8) -> Option<bool> {
        match (self, byte) {
            (_, kind::NOTICE) => Some(false),
            (Self::Parse, kind::PARSE_COMPLETE) => Some(true),
            (Self::Bind, kind::BIND_COMPLETE) => Some(true),
            (Self::Close, kind::CLOSE_COMPLETE) => Some(true),
            (Self::Describe, kind::PARAMETER_DESCRIPTION) => Some(false),
            (Self::Describe | Self::DescribePortal, kind::ROW_DESCRIPTION | kind::NO_DATA) => {
                Some(true)
            }
            (Self::Execute | Self::Query, kind::DATA_ROW) => Some(false),
            (
                Self::Execute,
                kind::COMMAND_COMPLETE | kind::EMPTY_QUERY | kind::PORTAL_SUSPENDED,
            ) => Some(true),
            (Self::Query, kind::ROW_DESCRIPTION | kind::COMMAND_COMPLETE | kind::EMPTY_QUERY) => {
                Some(false)
            }
            _ => None,
        }
    }
}

/// Whether the answer to these steps can be passed on unchanged.
pub fn is_unchanged(steps: &[Step]) -> bool {
    steps.iter().all(|step| matches!(step, Step::Pass(_)))
}

/// Builds the caller's answer from the database's. An error message ends the answer; the remaining
/// steps have none.
pub fn splice(steps: &[Step], answer: &[Frame]) -> Result<Bytes, Malformed> {
    let mut out = BytesMut::new();
    let mut steps = steps.iter();
    let mut step = append_inserts(&mut steps, &mut out);
    for (index, frame) in answer.iter().enumerate() {
        if frame.kind() == kind::ERROR {
            out.extend_from_slice(frame.bytes());
            let last = index + 1 == answer.len();
            return last.then(|| out.freeze()).ok_or(Malformed::Order);
        }
        let (expect, passes) = match step {
            Some(Step::Pass(expect)) => (expect, true),
            Some(Step::Drop(expect)) => (expect, false),
            _ if frame.kind() == kind::NOTICE => (&Expect::Query, true),
            _ => return Err(Malformed::Order),
        };
        let ends = expect.ends_answer(frame.kind()).ok_or(Malformed::Order)?;
        if passes {
            out.extend_from_slice(frame.bytes());
        }
        if ends {
            step = append_inserts(&mut steps, &mut out);
        }
    }
    match step {
        None | Some(Step::Pass(Expect::Query)) => Ok(out.freeze()),
        _ => Err(Malformed::Order),
    }
}

/// Appends the proxy's own answers that come next, and returns the step after them.
fn append_inserts<'a>(
    steps: &mut std::slice::Iter<'a, Step>,
    out: &mut BytesMut,
) -> Option<&'a Step> {
    for step in steps {
        let Step::Insert(bytes) = step else {
            return Some(step);
        };
        out.extend_from_slice(bytes);
    }
    None
}
