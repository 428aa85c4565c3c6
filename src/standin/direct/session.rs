//! The database's side of a session.

use crate::direct::adapter::Garbled;
use crate::direct::statement::{Answer, Code, End, State, Statement};
use crate::standin::direct::database::Database;
use crate::standin::direct::group::Group;
use crate::standin::direct::journal::{Run, Write};
use crate::standin::direct::link::Stream;
use crate::standin::direct::wire::{self, OWN, Request};
use crate::types::{Offset, Position, Term};
use bytes::{Bytes, BytesMut};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, sleep};

/// The database's side of a session.
#[derive(Debug)]
pub struct Session {
    group: Rc<Group>,
    database: Rc<Database>,
    connection: u64,
    /// The organisation for which it was opened.
    organisation: Box<str>,
    transaction: Option<Transaction>,
    values: BTreeMap<Box<str>, Box<str>>,
    prepared: BTreeMap<Box<str>, (bool, Box<str>)>,
}

#[derive(Debug)]
struct Transaction {
    number: u64,
    read: bool,
    failed: bool,
    writes: Vec<Write>,
}

/// A statement being executed.
#[derive(Debug)]
struct Work<'a> {
    id: &'a str,
    text: &'a str,
    after: Option<Position>,
}

/// The result of a statement: its rows and signature, or an error.
type Outcome = Result<(Vec<Bytes>, Option<Box<str>>), Code>;

/// Counts a connection of a database's run while it is open.
#[derive(Debug)]
struct OpenConnection(Rc<Database>, u64);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        if self.0.life() == Some(self.1) {
            self.0.state.borrow_mut().connections -= 1;
        }
    }
}

/// Serves a connection until it closes or the database stops.
pub async fn serve(group: Rc<Group>, database: Rc<Database>, stream: Stream) {
    let Some(life) = database.life() else {
        return;
    };
    let open = database.state.borrow().connections;
    database.state.borrow_mut().connections += 1;
    let counted = OpenConnection(database.clone(), life);
    let full = open >= database.spec.connections;
    let connection = group.journal.borrow_mut().next_number();
    let session = Session {
        group,
        database: database.clone(),
        connection,
        organisation: OWN.into(),
        transaction: None,
        values: BTreeMap::new(),
        prepared: BTreeMap::new(),
    };
    tokio::select! {
        biased;
        () = database.ended(life) => {}
        () = session.run(stream, full) => {}
    }
    drop(counted);
}

fn refused(code: Code) -> Answer {
    Answer {
        rows: Vec::new(),
        end: End::Error {
            code,
            text: "here".into(),
        },
        state: State::Idle,
        position: None,
    }
}

impl Session {
    async fn run(mut self, mut stream: Stream, full: bool) {
        let mut input = BytesMut::new();
        let mut output = BytesMut::new();
        let Some(start) = next(&mut stream, &mut input).await else {
            return;
        };
        if let Request::Start { organisation, .. } = &start {
            self.organisation = organisation.clone();
        }
        let answer = self.start(start, full).await;
        let ends = matches!(answer.end, End::Error { .. });
        wire::write_answer(&mut output, &answer, false);
        if stream.write_all(&output).await.is_err() || ends {
            return;
        }
        while let Some(request) = next(&mut stream, &mut input).await {
            let Request::Ask { id, after, text } = request else {
                return;
            };
            let work = Work {
                id: &id,
                text: &text,
                after,
            };
            let answer = self.answer(&work).await;
            if id.as_ref() != OWN && self.loses_answer() {
                return;
            }
            output.clear();
            wire::write_answer(&mut output, &answer, true);
            if stream.write_all(&output).await.is_err() {
                return;
            }
        }
    }

    async fn start(&self, start: Request, full: bool) -> Answer {
        let spec = &self.database.spec;
        let expected = (spec.group.as_str(), spec.id.as_str());
        let is_expected = matches!(&start, Request::Start { group, database, .. } if (&**group, &**database) == expected);
        if !is_expected {
            return refused(Code::OtherDatabase);
        }
        if full {
            return refused(Code::Full);
        }
        if let Ok(_slot) = self.database.slots.acquire().await {
            sleep(spec.cold).await;
        }
        self.finish(Ok((Vec::new(), None)))
    }

    fn loses_answer(&self) -> bool {
        let losing = &self.database.faults.losing;
        let loses = losing.get() > 0;
        losing.set(losing.get().saturating_sub(1));
        loses
    }

    async fn answer(&mut self, work: &Work<'_>) -> Answer {
        let outcome = self.execute(work).await;
        if outcome.is_err()
            && let Some(transaction) = &mut self.transaction
        {
            transaction.failed = true;
        }
        self.finish(outcome)
    }

    fn finish(&self, outcome: Outcome) -> Answer {
        let state = match &self.transaction {
            None => State::Idle,
            Some(transaction) if transaction.failed => State::Failed,
            Some(_) => State::Open,
        };
        let (rows, end) = match outcome {
            Ok((rows, signature)) => (rows, End::Done(signature)),
            Err(code) => {
                let text = self.database.spec.id.as_str().into();
                (Vec::new(), End::Error { code, text })
            }
        };
        Answer {
            rows,
            end,
            state,
            position: Some(self.database.position()),
        }
    }

    async fn execute(&mut self, work: &Work<'_>) -> Outcome {
        if let Some(outcome) = self.proxy_statement(work) {
            return outcome;
        }
        match wire::statement(work.text) {
            Statement::Begin { read } => self.begin(work, read),
            Statement::Rollback => {
                self.transaction = None;
                Ok((Vec::new(), None))
            }
            Statement::Commit => self.commit(work).await,
            Statement::Read => self.read(work, None).await,
            Statement::Write => self.write(work, None).await,
            Statement::Set { name, value } => {
                self.values.insert(name, value);
                Ok((Vec::new(), None))
            }
            Statement::Prepare {
                name,
                writes,
                shape,
            } => {
                self.prepared.insert(name, (writes, shape));
                Ok((Vec::new(), None))
            }
            Statement::Deallocate { name } => {
                let known = self.prepared.remove(&name);
                known.map_or(Err(Code::NoStatement), |_| Ok((Vec::new(), None)))
            }
            Statement::Execute { name, .. } => match self.prepared.get(&name).cloned() {
                None => Err(Code::NoStatement),
                Some((true, shape)) => self.write(work, Some(shape)).await,
                Some((false, shape)) => self.read(work, Some(shape)).await,
            },
            Statement::Unknown => self.status(work).await,
        }
    }

    /// Executes a statement that only the proxy itself sends.
    fn proxy_statement(&mut self, work: &Work<'_>) -> Option<Outcome> {
        if work.text == "reset" {
            self.values.clear();
            self.prepared.clear();
            return Some(Ok((Vec::new(), None)));
        }
        let term: Term = work.text.strip_prefix("step-down ")?.parse().ok()?;
        if self.database.step_down(term.0) {
            self.group.report(&self.database);
        }
        Some(Ok((vec![self.status_row()], None)))
    }

    async fn status(&self, work: &Work<'_>) -> Outcome {
        if work.text != "standing" {
            return Err(Code::Malformed);
        }
        self.occupy_slot().await?;
        Ok((vec![self.status_row()], None))
    }

    fn status_row(&self) -> Bytes {
        let state = self.database.state.borrow();
        let role = if state.primary { "primary" } else { "replica" };
        let term = state.term;
        drop(state);
        format!("{role} {term} {}", self.database.received()).into()
    }

    fn begin(&mut self, work: &Work<'_>, read: bool) -> Outcome {
        if self.transaction.is_some() {
            return Err(Code::Malformed);
        }
        self.check_position(work)?;
        if !read && !self.database.state.borrow().primary {
            return Err(Code::NotPrimary);
        }
        self.transaction = Some(Transaction {
            number: self.group.journal.borrow_mut().next_number(),
            read,
            failed: false,
            writes: Vec::new(),
        });
        Ok((Vec::new(), None))
    }

    fn check_position(&self, work: &Work<'_>) -> Result<(), Code> {
        match work.after {
            Some(after) if !self.database.has(after) => Err(Code::Behind),
            _ => Ok(()),
        }
    }

    /// Whether a statement may run in the transaction that is open.
    fn may_run(&self, writes: bool) -> Result<(), Code> {
        let primary = self.database.state.borrow().primary;
        match &self.transaction {
            Some(transaction) if transaction.failed => Err(Code::Malformed),
            Some(transaction) if transaction.read && writes => Err(Code::Malformed),
            Some(transaction) if !transaction.read && !primary => Err(Code::NotPrimary),
            None if writes && !primary => Err(Code::NotPrimary),
            _ => Ok(()),
        }
    }

    /// Occupies a slot for as long as a statement takes. Fails with `Busy` if the queue is full.
    async fn occupy_slot(&self) -> Result<(), Code> {
        let database = &self.database;
        let waiting = database.state.borrow().waiting;
        if database.slots.available_permits() == 0 && waiting >= database.spec.queue {
            return Err(Code::Busy);
        }
        database.state.borrow_mut().waiting += 1;
        let waits = QueuedStatement(database);
        let slot = database.slots.acquire().await;
        drop(waits);
        sleep(database.spec.work + database.faults.slow.get()).await;
        drop(slot);
        Ok(())
    }

    fn fails(&self) -> bool {
        let faults = &self.database.faults;
        let fails = faults.failing.get() > 0;
        faults.failing.set(faults.failing.get().saturating_sub(1));
        fails || self.is_grey()
    }

    /// Whether this statement is in the share that fails under `grey`, spread evenly over
    /// statements.
    fn is_grey(&self) -> bool {
        let faults = &self.database.faults;
        let count = faults.counted.get().wrapping_add(1) % 100;
        faults.counted.set(count);
        (count * 37) % 100 < faults.grey.get()
    }

    async fn read(&mut self, work: &Work<'_>, shape: Option<Box<str>>) -> Outcome {
        self.may_run(false)?;
        self.check_position(work)?;
        let mut run = self.new_run(work, shape);
        run.saw = self.database.position();
        self.occupy_slot().await?;
        if self.fails() {
            return Err(Code::Failed);
        }
        let item = work.text.rsplit(' ').next().unwrap_or_default();
        run.rows = vec![
            format!("{item} in {} commits", run.saw.offset).into(),
            format!("for {}", work.id).into(),
        ];
        Ok(self.finish_run(run))
    }

    async fn write(&mut self, work: &Work<'_>, shape: Option<Box<str>>) -> Outcome {
        self.may_run(true)?;
        let mut run = self.new_run(work, shape);
        self.occupy_slot().await?;
        self.may_run(true)?;
        if self.fails() {
            return Err(Code::Failed);
        }
        let mut words = work.text.rsplitn(3, ' ');
        let data = words.next().unwrap_or_default().into();
        let item = words.next().unwrap_or_default().into();
        let id = work.id.into();
        let write = Write { id, item, data };
        if let Some(transaction) = &mut self.transaction {
            transaction.writes.push(write);
            return Ok(self.finish_run(run));
        }
        run.commit = Some(self.group.commit(&self.database, vec![write]).await?);
        Ok(self.finish_run(run))
    }

    async fn commit(&mut self, work: &Work<'_>) -> Outcome {
        let Some(transaction) = &self.transaction else {
            return Err(Code::Malformed);
        };
        if transaction.failed {
            self.transaction = None;
            return Err(Code::RolledBack);
        }
        let mut run = self.new_run(work, None);
        self.occupy_slot().await?;
        let Some(transaction) = self.transaction.take() else {
            return Err(Code::Malformed);
        };
        if !transaction.writes.is_empty() {
            let commit = self.group.commit(&self.database, transaction.writes);
            run.commit = Some(commit.await?);
        }
        Ok(self.finish_run(run))
    }

    fn new_run(&self, work: &Work<'_>, shape: Option<Box<str>>) -> Run {
        Run {
            id: work.id.into(),
            text: work.text.into(),
            database: self.database.spec.id.clone(),
            group: self.group.id.clone(),
            connection: self.connection,
            organisation: self.organisation.clone(),
            transaction: self.transaction.as_ref().map(|t| t.number),
            values: self.values.clone(),
            shape,
            saw: Position::new(Term(1), Offset(0)),
            primary: self.database.state.borrow().primary,
            at: Instant::now(),
            signature: "".into(),
            rows: Vec::new(),
            commit: None,
        }
    }

    fn finish_run(&self, mut run: Run) -> (Vec<Bytes>, Option<Box<str>>) {
        let mut journal = self.group.journal.borrow_mut();
        let number = journal.next_number();
        run.signature = format!("{}.{number}", self.database.spec.id).into();
        let done = (run.rows.clone(), Some(run.signature.clone()));
        journal.runs.push(run);
        done
    }
}

/// Counts a statement that waits for a slot.
struct QueuedStatement<'a>(&'a Database);

impl Drop for QueuedStatement<'_> {
    fn drop(&mut self) {
        self.0.state.borrow_mut().waiting -= 1;
    }
}

async fn next(stream: &mut Stream, input: &mut BytesMut) -> Option<Request> {
    loop {
        let read: Result<_, Garbled> = wire::read_request(input);
        if let Some(request) = read.ok()? {
            return Some(request);
        }
        if stream.read_buf(input).await.ok()? == 0 {
            return None;
        }
    }
}
