//! What one caller's session holds, and which of its statements are answered here.
//!
//! `BEGIN`, session values and prepared names are answered at once and made true on a connection
//! before the first statement that needs them, so that an idle session holds no connection.

use crate::clock::Time;
use crate::direct::config::Route;
use crate::direct::statement::{Answer, Code, End, State, Statement};
use crate::types::{GroupId, Position};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Bytes that a session's values and prepared statements may take together: far above any honest
/// session, and small enough that hundreds of greedy ones fit a VM.
const MOST_BYTES: usize = 64 * 1024;

/// Session values by their names.
pub type Values = BTreeMap<Box<str>, Box<str>>;

/// What a prepared statement does.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Shape {
    /// Whether it writes.
    pub writes: bool,
    /// The rest of its text.
    pub text: Box<str>,
}

/// How a transaction stands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Phase {
    /// There is none.
    #[default]
    Idle,
    /// One was begun, and nothing of it ran yet.
    Begun(Begun),
    /// One runs on a connection.
    Open {
        /// Whether it may only read.
        read: bool,
    },
    /// One was rolled back between two statements, and its caller does not know yet.
    Broken,
    /// One failed, and waits for its end; nothing of it is kept.
    Failed,
}

/// A transaction of which nothing ran yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Begun {
    /// Whether it may only read.
    pub read: bool,
    /// When its first statement came.
    pub at: Time,
    /// The route that it began with, and keeps.
    pub route: Rc<Route>,
}

/// What to do with a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// It was answered here.
    Answer(Answer),
    /// It failed the transaction that is open: roll that back, and answer.
    Break(Answer),
    /// It has to run, outside a transaction or as the transaction's next one.
    Run {
        /// Whether it writes.
        writes: bool,
        /// The prepared statement that it runs.
        shape: Option<Rc<Shape>>,
    },
    /// Commits the transaction that is begun or open.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
}

/// The state of one session.
#[derive(Debug, Clone, Default)]
pub struct Session {
    /// The session values.
    pub values: Values,
    /// The transaction.
    pub phase: Phase,
    prepared: BTreeMap<Box<str>, Rc<Shape>>,
    bytes: usize,
    floors: BTreeMap<GroupId, Position>,
}

impl Session {
    /// Takes the next statement, which came at `now`; `route` is the one in force.
    pub fn step(&mut self, now: Time, statement: &Statement, route: &Rc<Route>) -> Step {
        match (&self.phase, statement) {
            (Phase::Broken, Statement::Commit) => self.end(rolled_back()),
            (Phase::Broken | Phase::Failed, Statement::Rollback) => self.end(End::Done(None)),
            (Phase::Failed, Statement::Commit) => {
                self.end(error(Code::RolledBack, "the transaction had failed"))
            }
            (Phase::Broken, _) => {
                self.phase = Phase::Failed;
                Step::Answer(self.answer(rolled_back()))
            }
            (Phase::Failed, _) => {
                let end = error(Code::Malformed, "end the failed transaction first");
                Step::Answer(self.answer(end))
            }
            (Phase::Idle, Statement::Begin { read }) => {
                self.phase = Phase::Begun(Begun {
                    read: *read,
                    at: now,
                    route: route.clone(),
                });
                self.done()
            }
            (Phase::Idle, Statement::Commit | Statement::Rollback) => {
                self.refuse(Code::Malformed, "no transaction is open")
            }
            (Phase::Begun(_), Statement::Rollback) => self.end(End::Done(None)),
            (Phase::Open { .. }, Statement::Rollback) => Step::Rollback,
            (_, Statement::Commit) => Step::Commit,
            (_, Statement::Begin { .. }) => {
                self.refuse(Code::Malformed, "a transaction is open already")
            }
            (_, Statement::Read) => self.run(false, None),
            (_, Statement::Write) => self.run(true, None),
            (_, Statement::Set { name, value }) => self.set(name, value),
            (
                _,
                Statement::Prepare {
                    name,
                    writes,
                    shape,
                },
            ) => self.prepare(name, *writes, shape),
            (_, Statement::Execute { name, .. }) => self.execute(name),
            (_, Statement::Deallocate { name }) => self.deallocate(name),
            (_, Statement::Unknown) => self.refuse(Code::Malformed, "not a statement"),
        }
    }

    /// The position that the session's reads of a group must see.
    pub fn floor(&self, group: &GroupId) -> Option<Position> {
        self.floors.get(group).copied()
    }

    /// A commit of this session was acknowledged at `position`.
    pub fn committed(&mut self, group: &GroupId, position: Position) {
        match self.floors.get_mut(group) {
            Some(floor) => *floor = position.max(*floor),
            None => {
                self.floors.insert(group.clone(), position);
            }
        }
    }

    /// The primary, under a lease, has come to `position`.
    ///
    /// A floor of a former term may have been lost with the primary that was replaced; replicas
    /// would refuse it for ever. Whatever of the session's commits is kept lies before
    /// `position`, so that a replica that has it will do.
    pub fn primary_has(&mut self, group: &GroupId, position: Position) {
        if let Some(floor) = self.floors.get_mut(group)
            && floor.term < position.term
        {
            *floor = position;
        }
    }

    /// The state that answers show.
    pub fn state(&self) -> State {
        match self.phase {
            Phase::Idle => State::Idle,
            Phase::Begun(_) | Phase::Open { .. } | Phase::Broken => State::Open,
            Phase::Failed => State::Failed,
        }
    }

    /// An answer of our own that ends in this way, in the state that the session is in.
    pub fn answer(&self, end: End) -> Answer {
        Answer {
            rows: Vec::new(),
            end,
            state: self.state(),
            position: None,
        }
    }

    fn done(&self) -> Step {
        Step::Answer(self.answer(End::Done(None)))
    }

    fn end(&mut self, end: End) -> Step {
        self.phase = Phase::Idle;
        Step::Answer(self.answer(end))
    }

    /// Refuses a statement; inside a transaction that fails the transaction.
    fn refuse(&mut self, code: Code, text: &str) -> Step {
        let open = matches!(self.phase, Phase::Open { .. });
        if self.phase != Phase::Idle {
            self.phase = Phase::Failed;
        }
        let answer = self.answer(error(code, text));
        if open {
            return Step::Break(answer);
        }
        Step::Answer(answer)
    }

    fn run(&mut self, writes: bool, shape: Option<Rc<Shape>>) -> Step {
        if writes && self.reads_only() {
            return self.refuse(Code::NotPrimary, "the transaction only reads");
        }
        Step::Run { writes, shape }
    }

    fn reads_only(&self) -> bool {
        match &self.phase {
            Phase::Begun(begun) => begun.read,
            Phase::Open { read } => *read,
            Phase::Idle | Phase::Broken | Phase::Failed => false,
        }
    }

    fn set(&mut self, name: &str, value: &str) -> Step {
        if !self.reserve(name.len() + value.len()) {
            return self.refuse(Code::Malformed, "the session holds too much: reconnect");
        }
        self.values.insert(name.into(), value.into());
        self.done()
    }

    fn prepare(&mut self, name: &str, writes: bool, text: &str) -> Step {
        if !self.reserve(name.len() + text.len()) {
            return self.refuse(Code::Malformed, "the session holds too much: reconnect");
        }
        let text = text.into();
        let shape = Rc::new(Shape { writes, text });
        self.prepared.insert(name.into(), shape);
        self.done()
    }

    fn execute(&mut self, name: &str) -> Step {
        match self.prepared.get(name) {
            Some(shape) => self.run(shape.writes, Some(shape.clone())),
            None => self.refuse(Code::NoStatement, "prepare it first"),
        }
    }

    fn deallocate(&mut self, name: &str) -> Step {
        match self.prepared.remove(name) {
            Some(shape) => {
                self.bytes = self.bytes.saturating_sub(name.len() + shape.text.len());
                self.done()
            }
            None => self.refuse(Code::NoStatement, "prepare it first"),
        }
    }

    /// Counts what a value or statement takes; one that replaces another counts again, which
    /// only a session that never stops replacing them notices.
    fn reserve(&mut self, bytes: usize) -> bool {
        if self.bytes + bytes <= MOST_BYTES {
            self.bytes += bytes;
            return true;
        }
        self.recount();
        self.bytes += bytes;
        self.bytes <= MOST_BYTES
    }

    fn recount(&mut self) {
        let values = self
            .values
            .iter()
            .map(|(name, value)| name.len() + value.len());
        let prepared = self.prepared.iter();
        let prepared = prepared.map(|(name, shape)| name.len() + shape.text.len());
        self.bytes = values.chain(prepared).sum();
    }
}

fn rolled_back() -> End {
    error(
        Code::RolledBack,
        "the transaction was idle for too long, or its VM stops",
    )
}

/// An end with an error.
pub fn error(code: Code, text: impl Into<Box<str>>) -> End {
    End::Error {
        code,
        text: text.into(),
    }
}
