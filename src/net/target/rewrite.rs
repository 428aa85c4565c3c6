//! Adapts a batch to a connection: statements that it already holds are not prepared again.

use super::names::Names;
use crate::net::frame::{Frame, Malformed, encode, kind, put_raw, split};
use crate::net::splice::{Expect, Step};
use bytes::{Bytes, BytesMut};
use pgwire::messages::extendedquery::ParseComplete;
use std::collections::HashSet;

/// A batch adapted to one connection.
#[derive(Debug, PartialEq, Eq)]
pub struct Rewritten {
    /// The messages to send.
    pub body: Bytes,
    /// The parts of the answer.
    pub steps: Vec<Step>,
    /// The names of the statements that the batch prepares, in order; empty for an unnamed one.
    pub prepares: Vec<Box<str>>,
}

/// Rewrites a batch for a connection that has `names` prepared. The batch must end in its only
/// Query or Sync, so that its answer has exactly one ReadyForQuery.
pub fn rewrite(body: &Bytes, names: &mut Names) -> Result<Rewritten, Malformed> {
    let frames = split(body.clone())?;
    let (last, rest) = frames.split_last().ok_or(Malformed::Order)?;
    if last.kind() == kind::QUERY && rest.is_empty() {
        return Ok(Rewritten {
            body: body.clone(),
            steps: vec![Step::Pass(Expect::Query)],
            prepares: Vec::new(),
        });
    }
    if last.kind() != kind::SYNC {
        return Err(Malformed::Order);
    }
    let mut rewriter = Rewriter::default();
    for frame in rest {
        rewriter.add(frame, names)?;
    }
    rewriter.finish(names)
}

#[derive(Default)]
struct Rewriter {
    body: BytesMut,
    steps: Vec<Step>,
    prepares: Vec<Box<str>>,
    prepared_here: HashSet<Box<str>>,
}

impl Rewriter {
    fn add(&mut self, frame: &Frame, names: &mut Names) -> Result<(), Malformed> {
        let expect = match frame.kind() {
            kind::PARSE => return self.parse(frame, names),
            kind::BIND => Expect::Bind,
            kind::DESCRIBE if frame.fields().byte()? == kind::PORTAL => Expect::DescribePortal,
            kind::DESCRIBE => Expect::Describe,
            kind::EXECUTE => Expect::Execute,
            kind::CLOSE if frame.fields().byte()? == kind::PORTAL => Expect::Close,
            _ => return Err(Malformed::Order),
        };
        self.pass(frame, expect);
        Ok(())
    }

    fn parse(&mut self, frame: &Frame, names: &mut Names) -> Result<(), Malformed> {
        let name = frame.fields().text()?;
        let held = !name.is_empty() && (names.touch(name) || self.prepared_here.contains(name));
        if held {
            self.steps.push(Step::Insert(encode(&ParseComplete::new())));
            return Ok(());
        }
        self.prepared_here.insert(name.into());
        self.prepares.push(name.into());
        self.pass(frame, Expect::Parse);
        Ok(())
    }

    fn pass(&mut self, frame: &Frame, expect: Expect) {
        self.body.extend_from_slice(frame.bytes());
        self.steps.push(Step::Pass(expect));
    }

    /// Ends the batch with a Sync, and starts it with the Close messages that make room for new
    /// statements.
    fn finish(self, names: &mut Names) -> Result<Rewritten, Malformed> {
        let named = self.prepares.iter().filter(|name| !name.is_empty()).count();
        let mut body = BytesMut::new();
        let mut steps = Vec::new();
        for name in names.evict(named) {
            let parts = [&[kind::STATEMENT], name.as_bytes(), &[0]];
            put_raw(&mut body, kind::CLOSE, &parts);
            steps.push(Step::Drop(Expect::Close));
        }
        body.extend_from_slice(&self.body);
        put_raw(&mut body, kind::SYNC, &[]);
        steps.extend(self.steps);
        Ok(Rewritten {
            body: body.freeze(),
            steps,
            prepares: self.prepares,
        })
    }
}
