//! The state of one caller's session, and the statements that are answered without a database.
//!
//! `BEGIN`, session values and prepared statements are answered at once, and applied to a connection
//! before the first statement that needs them. So an idle session holds no connection.

use crate::clock::Time;
use crate::direct::config::Route;
use crate::direct::statement::{Answer, Code, End, State, Statement};
use crate::types::{GroupId, Position};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The most bytes of a session's values and prepared statements together: far more than a normal
/// session needs, and small enough that hundreds of sessions at the limit fit into a VM's memory.
const MAX_BYTES: usize = 64 * 1024;

/// Session values by name.
pub type Values = BTreeMap<Box<str>, Box<str>>;

/// A prepared statement's text and effect, independent of its name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Shape {
    /// Whether it writes.
    pub writes: bool,
    /// The rest of its text.
    pub text: Box<str>,
}

/// The state of a session's transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Phase {
    /// No transaction.
    #[default]
    Idle,
    /// Begun by the caller; nothing of it has run on a database yet.
    Begun(Begun),
    /// Open on a database connection.
    Open {
        /// Whether it may only read.
        read: bool,
    },
    /// Rolled back between two statements; the caller has not been informed yet.
    Broken,
    /// Failed, until the caller ends it; nothing of it is kept.
    Failed,
}

/// A transaction of which nothing has run on a database yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Begun {
    /// Whether it may only read.
    pub read: bool,
    /// When its `BEGIN` arrived.
    pub at: Time,
    /// The route in force when it began, which it keeps.
    pub route: Rc<Route>,
}

/// What to do with a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Return this answer; no database is needed.
    Answer(Answer),
    /// The statement failed the open transaction: roll it back, and return this answer.
    Break(Answer),
    /// Run it on a database, alone or as the transaction's next statement.
    Run {
        /// Whether it writes.
        writes: bool,
        /// The prepared statement that it runs.
        shape: Option<Rc<Shape>>,
    },
    /// Commit the transaction that is begun or open.
    Commit,
    /// Roll back the open transaction.
    Rollback,
}

/// The state of one session.
#[derive(Debug, Clone, Default)]
pub struct Session {
    /// The session values.
    pub values: Values,
    /// The state of the transaction.
    pub phase: Phase,
    prepared: BTreeMap<Box<str>, Rc<Shape>>,
    bytes: usize,
    floors: BTreeMap<GroupId, Position>,
}

impl Session {
    /// Decides what to do with the next statement, which arrived at `now`; `route` is the one in force.
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

    /// Records that a commit of this session was acknowledged at `position`.
    pub fn committed(&mut self, group: &GroupId, position: Position) {
        match self.floors.get_mut(group) {
            Some(floor) => *floor = position.max(*floor),
            None => {
                self.floors.insert(group.clone(), position);
            }
        }
    }

    /// Records that the primary, under a valid lease, has reached `position`.
    ///
    /// A floor of an earlier term may have been lost with the replaced primary, and replicas would
    /// refuse it forever. All commits of the session that survived lie before `position`, which
    /// becomes the new floor.
    pub fn primary_has(&mut self, group: &GroupId, position: Position) {
        if let Some(floor) = self.floors.get_mut(group)
            && floor.term < position.term
        {
            *floor = position;
        }
    }

    /// The transaction state that is reported in answers.
    pub fn state(&self) -> State {
        match self.phase {
            Phase::Idle => State::Idle,
            Phase::Begun(_) | Phase::Open { .. } | Phase::Broken => State::Open,
            Phase::Failed => State::Failed,
        }
    }

    /// An answer made by the proxy, with the session's current transaction state.
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

    /// Refuses a statement; within a transaction, this fails the transaction.
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

    /// Reserves the bytes of a value or prepared statement; returns whether they fit. Replaced ones stay
    /// counted until the limit is reached, and then everything is counted again.
    fn reserve(&mut self, bytes: usize) -> bool {
        if self.bytes + bytes <= MAX_BYTES {
            self.bytes += bytes;
            return true;
        }
        self.recount();
        self.bytes += bytes;
        self.bytes <= MAX_BYTES
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

/// An answer's end with an error.
pub fn error(code: Code, text: impl Into<Box<str>>) -> End {
    End::Error {
        code,
        text: text.into(),
    }
}
