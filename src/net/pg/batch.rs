//! Translates a caller's messages up to Query, Sync or Flush into work for a database.

use super::fault::Fault;
use super::prepared::{Cache, Names, Prepared};
use super::reply;
use super::settings::Settings;
use crate::core::request::Kind;
use crate::net::frame::{Fields, Frame, Malformed, kind, put_raw};
use crate::net::splice::{Expect, Step};
use crate::sql::{Script, Setting, Statement};
use bytes::{Bytes, BytesMut};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// Work for a database, and how the caller's answer is made from the database's answer.
#[derive(Debug)]
pub struct Batch {
    /// The messages for the database; empty if the proxy answers everything itself.
    pub body: Bytes,
    /// The parts of the answer.
    pub steps: Vec<Step>,
    /// The statements that the database executes.
    pub statements: Vec<Statement>,
    /// Whether every statement in the batch ends a transaction.
    pub ending: bool,
    /// Whether the caller expects ReadyForQuery: it does unless the batch ends in Flush.
    pub ready: bool,
}

/// The state of a caller's connection that lasts between batches.
#[derive(Debug)]
pub struct Session {
    /// Its prepared statements.
    pub names: Names,
    /// Its settings.
    pub settings: Settings,
}

/// The kind of a batch, derived from the statements that it executes.
///
/// Several statements outside a transaction count as one that may write if one of them does.
pub fn kind(statements: &[Statement], idle: bool) -> Kind {
    let has = |wanted: Statement| statements.contains(&wanted);
    if !idle {
        Kind::Continue
    } else if has(Statement::Begin) || (has(Statement::BeginRead) && has(Statement::Write)) {
        Kind::Begin
    } else if statements.first() == Some(&Statement::BeginRead) {
        Kind::BeginRead
    } else if has(Statement::BeginRead) {
        Kind::Begin
    } else if has(Statement::Write) {
        Kind::Write
    } else {
        Kind::Read
    }
}

/// Builds a batch from the messages up to Query, Sync or Flush. `idle` is true if the caller has
/// no transaction open.
pub fn build(
    frames: &[Frame],
    session: &mut Session,
    cache: &Cache,
    idle: bool,
) -> Result<Batch, Fault> {
    if let [query] = frames
        && query.kind() == kind::QUERY
    {
        return simple(query, session, idle);
    }
    let mut builder = Builder {
        session,
        cache,
        idle,
        prefix: BytesMut::new(),
        injected: 0,
        body: BytesMut::new(),
        steps: Vec::new(),
        statements: Vec::new(),
        ending: true,
        present: HashSet::new(),
        portals: HashMap::new(),
    };
    let (last, frames) = frames.split_last().ok_or(Malformed::Order)?;
    for frame in frames {
        builder.add(frame)?;
    }
    builder.finish(last)
}

fn simple(query: &Frame, session: &mut Session, idle: bool) -> Result<Batch, Fault> {
    let mut fields = query.fields();
    let script = Script::read(fields.text()?);
    if !fields.0.is_empty() {
        return Err(Malformed::Field.into());
    }
    if let Some(refused) = script.refused() {
        return Err(Fault::Refused(refused));
    }
    let local = is_all_local(&script)?;
    let ending = script.statements == [Statement::End];
    let mut batch = Batch {
        body: query.bytes().clone(),
        steps: vec![Step::Pass(Expect::Query)],
        statements: script.statements,
        ending,
        ready: true,
    };
    if local {
        check_key(&batch.statements, idle)?;
        let answer = reply::simple(&batch.statements, &mut session.settings)?;
        batch.body = Bytes::new();
        batch.steps = vec![Step::Insert(answer)];
    }
    Ok(batch)
}

/// Refuses a request key that is set inside a transaction: the statements that follow would run
/// without the key, but the caller would assume that they are safe to repeat.
fn check_key(statements: &[Statement], idle: bool) -> Result<(), Fault> {
    let key = |statement| matches!(statement, &Statement::Set(Setting::Request, Some(_)));
    if !idle && statements.iter().any(key) {
        return Err(Fault::KeyInTransaction);
    }
    Ok(())
}

/// Whether the proxy answers the whole script itself. Returns an error if only part of it is local.
fn is_all_local(script: &Script) -> Result<bool, Fault> {
    let local = script.local();
    if !local && script.statements.iter().any(Statement::local) {
        return Err(Fault::Mixed);
    }
    Ok(local)
}

struct Builder<'a> {
    session: &'a mut Session,
    cache: &'a Cache,
    idle: bool,
    /// Parse messages of statements that this batch uses and earlier batches prepared.
    prefix: BytesMut,
    /// The number of messages in `prefix`.
    injected: usize,
    body: BytesMut,
    steps: Vec<Step>,
    statements: Vec<Statement>,
    ending: bool,
    /// The statements that the batch prepares, `prefix` included, by their names on databases.
    present: HashSet<Box<str>>,
    portals: HashMap<Box<str>, Rc<Prepared>>,
}

impl Builder<'_> {
    fn add(&mut self, frame: &Frame) -> Result<(), Fault> {
        match frame.kind() {
            kind::PARSE => self.parse(frame.fields()),
            kind::BIND => self.bind(frame.fields()),
            kind::DESCRIBE => self.describe(frame),
            kind::EXECUTE => self.execute(frame),
            kind::CLOSE => self.close(frame),
            _ => Err(Malformed::Order.into()),
        }
    }

    fn parse(&mut self, fields: Fields<'_>) -> Result<(), Fault> {
        let (name, prepared) = self.cache.prepare(fields)?;
        if let Some(refused) = prepared.script.refused() {
            return Err(Fault::Refused(refused));
        }
        is_all_local(&prepared.script)?;
        self.update_ending(&prepared);
        if local(&prepared) {
            self.insert(reply::parse_complete());
        } else {
            self.body.extend_from_slice(&prepared.parse);
            self.steps.push(Step::Pass(Expect::Parse));
            self.present.insert(prepared.name.clone());
        }
        if !self.session.names.insert(name, prepared) {
            return Err(Fault::Statements);
        }
        Ok(())
    }

    fn bind(&mut self, mut fields: Fields<'_>) -> Result<(), Fault> {
        let portal = fields.text()?;
        let prepared = self.lookup(fields.text()?)?;
        if local(&prepared) {
            self.insert(reply::bind_complete());
        } else {
            let name = prepared.name.as_bytes();
            let parts = [portal.as_bytes(), &[0], name, &[0], fields.0];
            put_raw(&mut self.body, kind::BIND, &parts);
            self.steps.push(Step::Pass(Expect::Bind));
        }
        self.portals.insert(portal.into(), prepared);
        Ok(())
    }

    fn describe(&mut self, frame: &Frame) -> Result<(), Fault> {
        let mut fields = frame.fields();
        let target = fields.byte()?;
        let name = fields.text()?;
        if target == kind::PORTAL {
            match self.portals.get(name).filter(|prepared| local(prepared)) {
                Some(prepared) => self.insert(reply::describe_portal(&prepared.script)),
                None => self.pass(frame, Expect::DescribePortal),
            }
            return Ok(());
        }
        let prepared = self.lookup(name)?;
        if local(&prepared) {
            self.insert(reply::describe_statement(&prepared.script));
            return Ok(());
        }
        let parts = [&[kind::STATEMENT], prepared.name.as_bytes(), &[0]];
        put_raw(&mut self.body, kind::DESCRIBE, &parts);
        self.steps.push(Step::Pass(Expect::Describe));
        Ok(())
    }

    fn execute(&mut self, frame: &Frame) -> Result<(), Fault> {
        let portal = frame.fields().text()?;
        let prepared = self.portals.get(portal).cloned();
        match prepared {
            Some(prepared) if local(&prepared) => {
                let statements = &prepared.script.statements;
                check_key(statements, self.idle)?;
                let answer = reply::execute(statements, &mut self.session.settings)?;
                self.insert(answer);
            }
            Some(prepared) => {
                self.statements
                    .extend(prepared.script.statements.iter().cloned());
                self.pass(frame, Expect::Execute);
            }
            None => self.pass(frame, Expect::Execute),
        }
        Ok(())
    }

    fn close(&mut self, frame: &Frame) -> Result<(), Fault> {
        let mut fields = frame.fields();
        let target = fields.byte()?;
        let name = fields.text()?;
        if target == kind::STATEMENT {
            self.session.names.remove(name);
        } else if !self.idle || self.portals.contains_key(name) {
            self.pass(frame, Expect::Close);
            return Ok(());
        }
        self.insert(reply::close_complete());
        Ok(())
    }

    /// The statement prepared as `name`. Adds its Parse message unless the batch has one already.
    fn lookup(&mut self, name: &str) -> Result<Rc<Prepared>, Fault> {
        let prepared = self.session.names.get(name).cloned();
        let prepared = prepared.ok_or_else(|| Fault::NoStatement(name.into()))?;
        self.update_ending(&prepared);
        if !local(&prepared) && self.present.insert(prepared.name.clone()) {
            self.prefix.extend_from_slice(&prepared.parse);
            self.injected += 1;
        }
        Ok(prepared)
    }

    fn update_ending(&mut self, prepared: &Prepared) {
        self.ending &= prepared.script.statements == [Statement::End];
    }

    fn pass(&mut self, frame: &Frame, expect: Expect) {
        self.body.extend_from_slice(frame.bytes());
        self.steps.push(Step::Pass(expect));
    }

    fn insert(&mut self, answer: Bytes) {
        self.steps.push(Step::Insert(answer));
    }

    /// Ends the batch. The database receives a Sync even if the caller sent a Flush. Inside a
    /// transaction that makes no difference; outside one, statements before a Flush are refused,
    /// because the Sync would commit them without the statements that follow.
    fn finish(self, last: &Frame) -> Result<Batch, Fault> {
        let ready = match last.kind() {
            kind::SYNC => true,
            kind::FLUSH => false,
            _ => return Err(Malformed::Order.into()),
        };
        let binds = !self.portals.values().all(|prepared| local(prepared));
        let begins = matches!(
            self.statements.first(),
            Some(Statement::Begin | Statement::BeginRead)
        );
        if !ready && self.idle && binds && !begins {
            return Err(Fault::Flush);
        }
        let mut steps = vec![Step::Drop(Expect::Parse); self.injected];
        steps.extend(self.steps);
        let mut body = self.prefix;
        body.extend_from_slice(&self.body);
        if !body.is_empty() {
            put_raw(&mut body, kind::SYNC, &[]);
        }
        Ok(Batch {
            body: body.freeze(),
            ending: self.ending && !steps.is_empty(),
            steps,
            statements: self.statements,
            ready,
        })
    }
}

/// Whether the proxy executes the statement itself. An empty statement goes to a database.
fn local(prepared: &Prepared) -> bool {
    !prepared.script.statements.is_empty() && prepared.script.local()
}
