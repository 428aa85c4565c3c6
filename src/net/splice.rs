//! What a caller expects in answer to a batch, against what a database answers.
//!
//! A batch is not always sent as the caller wrote it: a statement is prepared again on another
//! connection, or is there already, or the proxy answers a message itself. The answer is put
//! right here, message by message; anything in it that no message of the batch accounts for is
//! an error, and the connection is not used again.

use crate::net::frame::{Frame, Malformed, kind};
use bytes::{Bytes, BytesMut};

/// A message of a batch, by what a database answers to it.
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
    /// The database's answer goes on to the caller.
    Pass(Expect),
    /// The database's answer is for the proxy only.
    Drop(Expect),
    /// The proxy answers with these messages itself.
    Insert(Bytes),
}

impl Expect {
    /// Whether a message of this type belongs to the answer, and whether it ends it.
    fn takes(self, byte: u8) -> Option<bool> {
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

/// Whether the answer to these steps is the caller's as it stands.
pub fn plain(steps: &[Step]) -> bool {
    steps.iter().all(|step| matches!(step, Step::Pass(_)))
}

/// Puts an answer right. After an error message the rest of the steps has no answer.
pub fn splice(steps: &[Step], answer: &[Frame]) -> Result<Bytes, Malformed> {
    let mut out = BytesMut::new();
    let mut steps = steps.iter();
    let mut step = insert(&mut steps, &mut out);
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
        let ends = expect.takes(frame.kind()).ok_or(Malformed::Order)?;
        if passes {
            out.extend_from_slice(frame.bytes());
        }
        if ends {
            step = insert(&mut steps, &mut out);
        }
    }
    match step {
        None | Some(Step::Pass(Expect::Query)) => Ok(out.freeze()),
        _ => Err(Malformed::Order),
    }
}

/// Appends the proxy's own answers that come next, and gives the step after them.
fn insert<'a>(steps: &mut std::slice::Iter<'a, Step>, out: &mut BytesMut) -> Option<&'a Step> {
    for step in steps {
        let Step::Insert(bytes) = step else {
            return Some(step);
        };
        out.extend_from_slice(bytes);
    }
    None
}
