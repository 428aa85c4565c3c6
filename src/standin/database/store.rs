//! One database's tables and log: committed data, the one writing transaction, and replay.
//!
//! Two in-memory SQLite databases hold the tables: `committed`, which readers see, and `draft`,
//! on which the one writing transaction runs. If readers shared the writer's connection, they would
//! see uncommitted data; this way a transaction reaches `committed` only through its log entry.

use super::sql::{self, Action, Plan, Schema};
use super::value;
use crate::types::{Offset, Position, Term};
use rusqlite::types::Value;
use rusqlite::{Connection, ffi};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::time::Instant;

/// A statement that changed data, in the form that replicas replay.
#[derive(Debug, Clone)]
pub(super) struct Change {
    pub(super) text: Box<str>,
    pub(super) params: Vec<Value>,
}

/// A committed transaction in the log.
#[derive(Debug)]
pub(super) struct Entry {
    /// The term, and the entry's index in the log, counted from 1.
    pub(super) position: Position,
    /// When it was committed.
    pub(super) at: Instant,
    pub(super) changes: Vec<Change>,
}

/// The result of a statement.
#[derive(Debug, Default)]
pub(super) struct Rows {
    pub(super) names: Vec<Box<str>>,
    pub(super) rows: Vec<Vec<Value>>,
    /// The number of rows returned, or of rows changed if the statement returns none.
    pub(super) count: usize,
}

/// An error with its SQLSTATE.
#[derive(Debug, Clone)]
pub(super) struct Failure {
    pub(super) code: &'static str,
    pub(super) message: Box<str>,
    pub(super) detail: Option<Box<str>>,
}

impl Failure {
    pub(super) fn new(code: &'static str, message: impl Into<Box<str>>) -> Self {
        Self {
            code,
            message: message.into(),
            detail: None,
        }
    }
}

impl From<rusqlite::Error> for Failure {
    fn from(error: rusqlite::Error) -> Self {
        Self::new(sqlstate(&error), error.to_string())
    }
}

fn sqlstate(error: &rusqlite::Error) -> &'static str {
    let extended = error.sqlite_error().map(|cause| cause.extended_code);
    match extended {
        Some(ffi::SQLITE_CONSTRAINT_PRIMARYKEY | ffi::SQLITE_CONSTRAINT_UNIQUE) => "23505",
        Some(ffi::SQLITE_CONSTRAINT_NOTNULL) => "23502",
        Some(ffi::SQLITE_CONSTRAINT_CHECK) => "23514",
        _ if error.to_string().contains("no such table") => "42P01",
        _ if error.to_string().contains("no such column") => "42703",
        _ if error.to_string().contains("no such function") => "42883",
        Some(ffi::SQLITE_ERROR) => "42601",
        _ => "XX000",
    }
}

/// The tables and the log of one database, with a cache of parsed statements.
#[derive(Debug)]
pub(super) struct Store {
    schema: Box<str>,
    committed: Connection,
    draft: Connection,
    log: Vec<Arc<Entry>>,
    applied: usize,
    pending: Vec<Change>,
    /// The tables' columns, as of `schema_version`.
    columns: Schema,
    schema_version: i64,
    plans: HashMap<Box<str>, Arc<[Plan]>>,
}

const MAX_CACHED_STATEMENTS: usize = 128;
const MAX_CACHED_PLANS: usize = 1_024;

impl Store {
    /// Returns a database with the tables of `schema` and an empty log.
    pub(super) fn new(schema: &str) -> Result<Self, Failure> {
        let mut store = Self {
            schema: schema.into(),
            committed: connect(schema)?,
            draft: connect(schema)?,
            log: Vec::new(),
            applied: 0,
            pending: Vec::new(),
            columns: Schema::new(),
            schema_version: -1,
            plans: HashMap::new(),
        };
        store.read_columns()?;
        Ok(store)
    }

    /// Returns the position of the last log entry.
    pub(super) fn end(&self) -> Position {
        self.position(self.log.len())
    }

    /// Returns the position of the last applied entry.
    pub(super) fn applied(&self) -> Position {
        self.position(self.applied)
    }

    fn position(&self, length: usize) -> Position {
        let last = length.checked_sub(1).and_then(|index| self.log.get(index));
        last.map(|entry| entry.position).unwrap_or_default()
    }

    pub(super) fn log(&self) -> &[Arc<Entry>] {
        &self.log
    }

    /// Returns the first entry that is not applied yet.
    pub(super) fn next_unapplied(&self) -> Option<&Arc<Entry>> {
        self.log.get(self.applied)
    }

    /// Parses the statements of `text`, or returns them from the cache.
    pub(super) fn plan(&mut self, text: &str) -> Result<Arc<[Plan]>, Failure> {
        if let Some(plans) = self.plans.get(text) {
            return Ok(plans.clone());
        }
        let plans: Arc<[Plan]> = sql::parse(text, &self.columns)
            .map_err(|message| Failure::new("42601", message))?
            .into();
        if self.plans.len() >= MAX_CACHED_PLANS {
            self.plans.clear();
        }
        self.plans.insert(text.into(), plans.clone());
        Ok(plans)
    }

    /// Returns the type of a table column by its name, for the result columns of `*`.
    pub(super) fn column_type(&self, name: &str) -> value::Oid {
        self.columns.get(name).copied().unwrap_or(value::TEXT)
    }

    /// Returns the names of a statement's result columns without running it.
    pub(super) fn describe(&self, text: &str) -> Result<Vec<Box<str>>, Failure> {
        let statement = self.committed.prepare_cached(text)?;
        Ok(statement
            .column_names()
            .into_iter()
            .map(Box::from)
            .collect())
    }

    /// Runs a read on the committed data.
    pub(super) fn read(&self, plan: &Plan, params: &[Value]) -> Result<Rows, Failure> {
        run(&self.committed, &plan.text, params)
    }

    /// Runs a statement in the writing transaction, which it opens if none is open.
    pub(super) fn write(&mut self, plan: &Plan, params: &[Value]) -> Result<Rows, Failure> {
        if self.draft.is_autocommit() {
            self.draft.execute_batch("BEGIN")?;
        }
        let rows = run(&self.draft, &plan.text, params)?;
        if plan.action == Action::Write {
            self.pending.push(Change {
                text: plan.text.clone(),
                params: params.to_vec(),
            });
        }
        Ok(rows)
    }

    /// Rolls back the writing transaction, if one is open.
    pub(super) fn rollback(&mut self) -> Result<(), Failure> {
        self.pending.clear();
        if !self.draft.is_autocommit() {
            self.draft.execute_batch("ROLLBACK")?;
        }
        Ok(())
    }

    /// Commits the writing transaction in `term`. Returns its position if it changed anything.
    pub(super) fn commit(&mut self, term: Term, at: Instant) -> Result<Option<Position>, Failure> {
        if !self.draft.is_autocommit() {
            self.draft.execute_batch("COMMIT")?;
        }
        if self.pending.is_empty() {
            return Ok(None);
        }
        let changes = std::mem::take(&mut self.pending);
        replay(&self.committed, &changes)?;
        let position = Position::new(term, Offset(self.log.len() as u64 + 1));
        self.log.push(Arc::new(Entry {
            position,
            at,
            changes,
        }));
        self.applied = self.log.len();
        self.read_columns()?;
        Ok(Some(position))
    }

    /// Appends an entry received from the primary's log.
    pub(super) fn receive(&mut self, entry: Arc<Entry>) {
        self.log.push(entry);
    }

    /// Applies the next entry of the log.
    pub(super) fn apply_next(&mut self) -> Result<(), Failure> {
        let Some(entry) = self.log.get(self.applied).cloned() else {
            return Ok(());
        };
        self.rollback()?;
        replay(&self.committed, &entry.changes)?;
        replay(&self.draft, &entry.changes)?;
        self.applied += 1;
        self.read_columns()
    }

    /// Truncates the log to its first `length` entries. If later ones were applied, rebuilds the
    /// tables from the start of the log.
    pub(super) fn truncate(&mut self, length: usize) -> Result<(), Failure> {
        self.rollback()?;
        self.log.truncate(length);
        if self.applied <= length {
            return Ok(());
        }
        self.committed = connect(&self.schema)?;
        self.draft = connect(&self.schema)?;
        self.applied = 0;
        while self.applied < length {
            self.apply_next()?;
        }
        Ok(())
    }

    fn read_columns(&mut self) -> Result<(), Failure> {
        let version: i64 = self
            .committed
            .query_row("PRAGMA schema_version", [], |row| row.get(0))?;
        if version == self.schema_version {
            return Ok(());
        }
        let mut statement = self.committed.prepare(
            "SELECT c.name, c.type FROM sqlite_master t, pragma_table_info(t.name) c \
             WHERE t.type = 'table'",
        )?;
        let rows = statement.query_map([], |row| {
            Ok((row.get::<_, String>(0)?, row.get::<_, String>(1)?))
        })?;
        self.plans.clear();
        self.columns.clear();
        for row in rows {
            let (name, kind) = row?;
            self.columns.insert(name.into(), value::oid_of(&kind));
        }
        self.schema_version = version;
        Ok(())
    }
}

fn connect(schema: &str) -> rusqlite::Result<Connection> {
    let connection = Connection::open_in_memory()?;
    connection.set_prepared_statement_cache_capacity(MAX_CACHED_STATEMENTS);
    connection.execute_batch(schema)?;
    Ok(connection)
}

fn replay(connection: &Connection, changes: &[Change]) -> Result<(), Failure> {
    connection.execute_batch("BEGIN")?;
    for change in changes {
        run(connection, &change.text, &change.params)?;
    }
    connection.execute_batch("COMMIT")?;
    Ok(())
}

fn run(connection: &Connection, text: &str, params: &[Value]) -> Result<Rows, Failure> {
    let mut statement = connection.prepare_cached(text)?;
    for (index, value) in params.iter().enumerate() {
        statement.raw_bind_parameter(index + 1, value)?;
    }
    let columns = statement.column_count();
    if columns == 0 {
        let count = statement.raw_execute()?;
        return Ok(Rows {
            count,
            ..Rows::default()
        });
    }
    let names = statement
        .column_names()
        .into_iter()
        .map(Box::from)
        .collect();
    let mut rows = Vec::new();
    let mut cursor = statement.raw_query();
    while let Some(row) = cursor.next()? {
        let values: rusqlite::Result<Vec<Value>> = (0..columns).map(|i| row.get(i)).collect();
        rows.push(values?);
    }
    let count = rows.len();
    Ok(Rows { names, rows, count })
}
