//! Runs statements: checks terms, holds slots, takes the writing transaction, and rolls back after
//! a failure.

use super::Shared;
use super::sql::{Action, Mode, Plan};
use super::store::{Failure, Rows};
use super::world::Node;
use crate::core::database::Refusal;
use crate::core::request::Status;
use crate::types::{DatabaseId, Position, Term};
use rusqlite::types::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedMutexGuard};
use tokio::time::Instant;

/// One session's transaction, variables and declared term.
pub(super) struct Transaction {
    shared: Arc<Shared>,
    database: DatabaseId,
    cancel: Arc<Notify>,
    /// The term that the session declared; its statements fail in any other term.
    pub(super) term: Option<Term>,
    variables: BTreeMap<Box<str>, Box<str>>,
    /// The mode of the transaction block that `BEGIN` opened.
    block: Option<Mode>,
    failed: bool,
    writer_permit: Option<WriterPermit>,
    /// The position of the last committed write that was not reported yet.
    pub(super) wrote: Option<Position>,
}

/// The exclusive right to write, valid until the database's epoch changes.
struct WriterPermit {
    epoch: u64,
    _guard: OwnedMutexGuard<()>,
}

impl Transaction {
    pub(super) fn new(shared: Arc<Shared>, database: DatabaseId, cancel: Arc<Notify>) -> Self {
        Self {
            shared,
            database,
            cancel,
            term: None,
            variables: BTreeMap::new(),
            block: None,
            failed: false,
            writer_permit: None,
            wrote: None,
        }
    }

    /// Returns the transaction status for ReadyForQuery.
    pub(super) fn status(&self) -> Status {
        match (self.failed, self.block) {
            (true, _) => Status::Failed,
            (false, Some(_)) => Status::Open,
            (false, None) => Status::Idle,
        }
    }

    /// Runs one statement. Its effects are committed by `commit_implicit` or by a `COMMIT`.
    pub(super) async fn run(&mut self, plan: &Plan, params: &[Value]) -> Result<Rows, Failure> {
        let result = self.try_run(plan, params).await;
        if result.is_err() {
            self.fail();
        }
        result
    }

    /// Commits the implicit transaction of a batch, unless a block is open.
    pub(super) fn commit_implicit(&mut self) -> Result<(), Failure> {
        if self.block.is_some() || self.failed {
            return Ok(());
        }
        self.commit()
    }

    /// Rolls back uncommitted work after the batch failed or the connection ended.
    pub(super) fn fail(&mut self) {
        self.failed = self.block.is_some() || self.failed;
        if let Some(writer_permit) = self.writer_permit.take() {
            let _ = self.node(|node| {
                node.rollback(writer_permit.epoch);
                Ok(())
            });
        }
    }

    async fn try_run(&mut self, plan: &Plan, params: &[Value]) -> Result<Rows, Failure> {
        if self.failed && !matches!(plan.action, Action::Commit | Action::Rollback) {
            return Err(Failure::new(
                "25P02",
                "current transaction is aborted: roll it back",
            ));
        }
        if plan.action == Action::Rollback || self.failed {
            return self.handle_rollback();
        }
        self.check_term()?;
        match &plan.action {
            Action::Begin(mode) => self.begin(*mode).await,
            Action::Commit => {
                self.block = None;
                self.commit()?;
                Ok(Rows::default())
            }
            Action::Rollback => self.handle_rollback(),
            Action::Reset => {
                self.variables.clear();
                Ok(Rows::default())
            }
            Action::Set(assignment) => {
                self.variables.extend(assignment.clone());
                Ok(Rows::default())
            }
            Action::Show(name) => Ok(self.show(name)),
            Action::Read => self.read(plan, params).await,
            Action::Lock | Action::Write => self.write(plan, params).await,
        }
    }

    async fn begin(&mut self, mode: Mode) -> Result<Rows, Failure> {
        if self.block.is_none() {
            if mode.exclusive && !mode.read_only {
                self.take_writer_permit().await?;
            }
            self.block = Some(mode);
        }
        Ok(Rows::default())
    }

    fn handle_rollback(&mut self) -> Result<Rows, Failure> {
        self.fail();
        self.block = None;
        self.failed = false;
        Ok(Rows::default())
    }

    fn commit(&mut self) -> Result<(), Failure> {
        let Some(writer_permit) = self.writer_permit.take() else {
            return Ok(());
        };
        let declared = self.term;
        let committed = self.node(|node| {
            if node.epoch != writer_permit.epoch
                || !node.open
                || declared.is_some_and(|t| t != node.term)
            {
                node.rollback(writer_permit.epoch);
                return Err(Refusal::Term(node.term).into());
            }
            node.store.commit(node.term, Instant::now())
        })?;
        self.wrote = committed.or(self.wrote);
        self.shared.wake();
        Ok(())
    }

    async fn read(&mut self, plan: &Plan, params: &[Value]) -> Result<Rows, Failure> {
        self.hold_slot(plan).await?;
        self.check_term()?;
        let epoch = self
            .writer_permit
            .as_ref()
            .map(|writer_permit| writer_permit.epoch);
        self.node(|node| match epoch {
            None => node.store.read(plan, params),
            Some(epoch) if epoch == node.epoch => node.store.write(plan, params),
            Some(_) => Err(Refusal::Term(node.term).into()),
        })
    }

    async fn write(&mut self, plan: &Plan, params: &[Value]) -> Result<Rows, Failure> {
        if self.block.is_some_and(|mode| mode.read_only) {
            return Err(Refusal::ReadOnly.into());
        }
        self.check_open()?;
        self.hold_slot(plan).await?;
        if self.writer_permit.is_none() {
            self.take_writer_permit().await?;
        }
        self.check_term()?;
        let epoch = self
            .writer_permit
            .as_ref()
            .map(|writer_permit| writer_permit.epoch);
        self.node(|node| {
            if epoch != Some(node.epoch) {
                return Err(Refusal::Term(node.term).into());
            }
            node.store.write(plan, params)
        })
    }

    /// Waits until no other transaction writes, and takes the right to write.
    async fn take_writer_permit(&mut self) -> Result<(), Failure> {
        self.check_open()?;
        let (writer, epoch) = self.node(|node| Ok((node.writer.clone(), node.epoch)))?;
        let guard = tokio::select! {
            guard = writer.lock_owned() => guard,
            () = self.cancel.notified() => return Err(cancelled()),
        };
        self.check_open()?;
        self.node(|node| match epoch == node.epoch {
            true => Ok(()),
            false => Err(Refusal::Term(node.term).into()),
        })?;
        self.writer_permit = Some(WriterPermit {
            epoch,
            _guard: guard,
        });
        Ok(())
    }

    /// Holds a slot for the statement's service time.
    async fn hold_slot(&self, plan: &Plan) -> Result<(), Failure> {
        let (slots, service) = self.node(|node| Ok((node.slots.clone(), node.service)))?;
        let hold = async {
            let _slot = slots.acquire_owned().await;
            let time = Duration::from(service) + Duration::from(plan.sleep);
            if !time.is_zero() {
                tokio::time::sleep(time).await;
            }
        };
        tokio::select! {
            () = hold => Ok(()),
            () = self.cancel.notified() => Err(cancelled()),
        }
    }

    fn check_term(&self) -> Result<(), Failure> {
        let declared = self.term;
        self.node(
            |node| match declared.is_some_and(|term| term != node.term) {
                true => Err(Refusal::Term(node.term).into()),
                false => Ok(()),
            },
        )
    }

    fn check_open(&self) -> Result<(), Failure> {
        self.node(|node| match node.open {
            true => Ok(()),
            false => Err(Refusal::ReadOnly.into()),
        })
    }

    fn show(&self, name: &str) -> Rows {
        let value = match self.variables.get(name) {
            Some(value) => value.to_string(),
            None => self.builtin_variable(name).into(),
        };
        Rows {
            names: vec![name.into()],
            rows: vec![vec![Value::Text(value)]],
            count: 1,
        }
    }

    fn builtin_variable(&self, name: &str) -> &'static str {
        match name {
            "transaction_read_only" => match self.check_open() {
                Ok(()) => "off",
                Err(_) => "on",
            },
            "server_version" => "16.0",
            "transaction.isolation.level" | "transaction_isolation" => "read committed",
            _ => "",
        }
    }

    fn node<T>(&self, act: impl FnOnce(&mut Node) -> Result<T, Failure>) -> Result<T, Failure> {
        let result = self.shared.node(&self.database, act);
        result.unwrap_or_else(|| Err(Failure::new("57P01", "the database is gone: connect again")))
    }
}

impl Drop for Transaction {
    fn drop(&mut self) {
        self.fail();
    }
}

fn cancelled() -> Failure {
    Failure::new("57014", "canceling statement due to user request")
}
