//! Running statements: terms, slots, the writing transaction, and what a failure undoes.

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

/// One session's transaction and what it declared.
pub(super) struct Transaction {
    shared: Arc<Shared>,
    database: DatabaseId,
    cancel: Arc<Notify>,
    /// The term that the session's work is of.
    pub(super) term: Option<Term>,
    variables: BTreeMap<Box<str>, Box<str>>,
    /// Opened by `BEGIN`, and not failed.
    block: Option<Mode>,
    failed: bool,
    draft: Option<Draft>,
    /// The end of the last write committed and not told of yet.
    pub(super) wrote: Option<Position>,
}

/// The right to write, until the database's epoch changes.
struct Draft {
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
            draft: None,
            wrote: None,
        }
    }

    /// What ReadyForQuery says.
    pub(super) fn status(&self) -> Status {
        match (self.failed, self.block) {
            (true, _) => Status::Failed,
            (false, Some(_)) => Status::Open,
            (false, None) => Status::Idle,
        }
    }

    /// Runs one statement. Its effects last once `settle` or a `COMMIT` says so.
    pub(super) async fn run(&mut self, plan: &Plan, params: &[Value]) -> Result<Rows, Failure> {
        let result = self.attempt(plan, params).await;
        if result.is_err() {
            self.fail();
        }
        result
    }

    /// Ends the implicit transaction of a batch, if no block is open.
    pub(super) fn settle(&mut self) -> Result<(), Failure> {
        if self.block.is_some() || self.failed {
            return Ok(());
        }
        self.commit()
    }

    /// Undoes what is not committed: the batch failed or the connection is gone.
    pub(super) fn fail(&mut self) {
        self.failed = self.block.is_some() || self.failed;
        if let Some(draft) = self.draft.take() {
            let _ = self.node(|node| {
                node.undo(draft.epoch);
                Ok(())
            });
        }
    }

    async fn attempt(&mut self, plan: &Plan, params: &[Value]) -> Result<Rows, Failure> {
        if self.failed && !matches!(plan.action, Action::Commit | Action::Rollback) {
            return Err(Failure::new(
                "25P02",
                "current transaction is aborted: roll it back",
            ));
        }
        if plan.action == Action::Rollback || self.failed {
            return self.roll_back();
        }
        self.check_term()?;
        match &plan.action {
            Action::Begin(mode) => self.begin(*mode).await,
            Action::Commit => {
                self.block = None;
                self.commit()?;
                Ok(Rows::default())
            }
            Action::Rollback => self.roll_back(),
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
            if mode.serial && !mode.read_only {
                self.take_draft().await?;
            }
            self.block = Some(mode);
        }
        Ok(Rows::default())
    }

    fn roll_back(&mut self) -> Result<Rows, Failure> {
        self.fail();
        self.block = None;
        self.failed = false;
        Ok(Rows::default())
    }

    fn commit(&mut self) -> Result<(), Failure> {
        let Some(draft) = self.draft.take() else {
            return Ok(());
        };
        let declared = self.term;
        let committed = self.node(|node| {
            if node.epoch != draft.epoch || !node.open || declared.is_some_and(|t| t != node.term) {
                node.undo(draft.epoch);
                return Err(Refusal::Term(node.term).into());
            }
            node.store.commit(node.term, Instant::now())
        })?;
        self.wrote = committed.or(self.wrote);
        self.shared.wake();
        Ok(())
    }

    async fn read(&mut self, plan: &Plan, params: &[Value]) -> Result<Rows, Failure> {
        self.occupy(plan).await?;
        self.check_term()?;
        let epoch = self.draft.as_ref().map(|draft| draft.epoch);
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
        self.occupy(plan).await?;
        if self.draft.is_none() {
            self.take_draft().await?;
        }
        self.check_term()?;
        let epoch = self.draft.as_ref().map(|draft| draft.epoch);
        self.node(|node| {
            if epoch != Some(node.epoch) {
                return Err(Refusal::Term(node.term).into());
            }
            node.store.write(plan, params)
        })
    }

    /// Waits for the transaction that writes now, and takes its place.
    async fn take_draft(&mut self) -> Result<(), Failure> {
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
        self.draft = Some(Draft {
            epoch,
            _guard: guard,
        });
        Ok(())
    }

    /// Holds a slot for the statement's service time.
    async fn occupy(&self, plan: &Plan) -> Result<(), Failure> {
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
            None => self.builtin(name).into(),
        };
        Rows {
            names: vec![name.into()],
            rows: vec![vec![Value::Text(value)]],
            count: 1,
        }
    }

    fn builtin(&self, name: &str) -> &'static str {
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
