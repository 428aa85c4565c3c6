//! The protocol handling of one connection: startup, simple and extended queries, orders.

use super::Shared;
use super::link::{Inbox, Outbox};
use super::reply::{Column, Reply, format_of};
use super::sql::{Action, Plan};
use super::store::{Failure, Rows};
use super::transaction::Transaction;
use super::value::{self, Oid};
use super::world::Node;
use crate::core::database::Order;
use crate::core::request::Status;
use crate::net::dialect::{self, Mark, Statement};
use crate::types::{DatabaseId, Position};
use bytes::Bytes;
use pgwire::messages::PgWireFrontendMessage as Message;
use pgwire::messages::extendedquery::{Bind, Close, Describe, Execute, Parse};
use rusqlite::types::Value;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// How long `LENTIL REACH` waits for its position before it answers with the current state.
const REACH_TIMEOUT: Duration = Duration::from_secs(1);
const STATEMENT_TARGET: u8 = b'S';

/// A connection after its startup.
pub(super) struct Session {
    shared: Arc<Shared>,
    database: DatabaseId,
    outbox: Outbox,
    reply: Reply,
    transaction: Transaction,
    statements: HashMap<Box<str>, Prepared>,
    portals: HashMap<Box<str>, Portal>,
    /// Whether a message of an extended batch failed, so that all messages up to Sync are skipped.
    skipping: bool,
}

#[derive(Clone)]
struct Prepared {
    /// `None` for an empty query.
    plan: Option<Plan>,
    params: Vec<Oid>,
    columns: Vec<Column>,
}

struct Portal {
    prepared: Prepared,
    params: Vec<Value>,
    formats: Vec<i16>,
}

/// What the session does after a message: read the next one, or end.
enum Next {
    Message,
    End,
}

impl Session {
    pub(super) fn new(
        shared: Arc<Shared>,
        database: DatabaseId,
        outbox: Outbox,
        cancel: Arc<Notify>,
    ) -> Self {
        Self {
            transaction: Transaction::new(shared.clone(), database.clone(), cancel),
            shared,
            database,
            outbox,
            reply: Reply::default(),
            statements: HashMap::new(),
            portals: HashMap::new(),
            skipping: false,
        }
    }

    /// Reports that the connection is ready, and serves it until it ends.
    pub(super) async fn serve(&mut self, inbox: &mut Inbox, pid: i32, secret: i32) {
        self.reply.authenticated(pid, secret);
        if let Next::End = self.ready() {
            return;
        }
        while let Some(message) = inbox.next().await {
            if let Next::End = self.handle(message).await {
                return;
            }
        }
    }

    async fn handle(&mut self, message: Message) -> Next {
        match message {
            Message::Query(query) => return self.simple_query(&query.query).await,
            Message::Sync(_) => return self.sync(),
            Message::Flush(_) => self.flush(),
            Message::Terminate(_) => return Next::End,
            Message::Parse(parse) => self.run_step(|session| session.parse(parse)),
            Message::Bind(bind) => self.run_step(|session| session.bind(bind)),
            Message::Describe(describe) => self.run_step(|session| session.describe(&describe)),
            Message::Close(close) => self.run_step(|session| session.close(&close)),
            Message::Execute(execute) if !self.skipping => {
                let result = self.execute(&execute).await;
                self.run_step(|_| result);
            }
            _ => {}
        }
        Next::Message
    }

    /// Runs a step of an extended batch unless an earlier step failed.
    fn run_step(&mut self, step: impl FnOnce(&mut Self) -> Result<(), Failure>) {
        if self.skipping {
            return;
        }
        if let Err(failure) = step(self) {
            self.transaction.fail();
            self.reply.failure(&failure);
            self.skipping = true;
        }
    }

    fn sync(&mut self) -> Next {
        if !self.skipping
            && let Err(failure) = self.transaction.commit_implicit()
        {
            self.reply.failure(&failure);
        }
        self.skipping = false;
        self.ready()
    }

    fn flush(&mut self) {
        self.outbox.send(self.reply.take());
    }

    /// Ends an answer with the position marks and ReadyForQuery, unless a fault drops the answer.
    fn ready(&mut self) -> Next {
        let wrote = self.transaction.wrote.take();
        let lost = self.shared.node(&self.database, |node| {
            let lost = wrote.is_some() && node.faults.lost_answers > 0;
            node.faults.lost_answers -= u32::from(lost);
            (lost, node.store.applied())
        });
        let Some((false, applied)) = lost else {
            return Next::End;
        };
        self.reply.mark(Mark::Applied(applied));
        if let Some(position) = wrote {
            self.reply.mark(Mark::Wrote(position));
        }
        self.reply.ready(self.transaction.status());
        self.flush();
        Next::Message
    }

    async fn simple_query(&mut self, text: &str) -> Next {
        self.skipping = false;
        match text.trim_end_matches(';').parse() {
            Ok(Statement::Term(term)) => {
                self.transaction.term = term;
                self.reply.complete(dialect::TAG.into());
            }
            Ok(Statement::Order(order)) => self.handle_order(order).await,
            Err(_) => {
                if let Err(failure) = self.run_simple(text).await {
                    self.transaction.fail();
                    self.reply.failure(&failure);
                }
            }
        }
        self.ready()
    }

    async fn run_simple(&mut self, text: &str) -> Result<(), Failure> {
        let plans = self.plan(text)?;
        if plans.is_empty() {
            self.reply.empty_query();
        }
        for (index, plan) in plans.iter().enumerate() {
            let status_before = self.transaction.status();
            let rows = self.transaction.run(plan, &[]).await?;
            if index + 1 == plans.len() {
                self.transaction.commit_implicit()?;
            }
            let columns = columns(plan, &rows.names, |name| self.column_type(name));
            if !columns.is_empty() {
                self.reply.columns(&columns, &[]);
                self.reply.rows(&rows, &columns, &[]);
            }
            self.reply.complete(command_tag(plan, &rows, status_before));
        }
        Ok(())
    }

    async fn handle_order(&mut self, order: Order) {
        if let Order::Reach(position) = order {
            let _ = tokio::time::timeout(REACH_TIMEOUT, self.wait_until_held(position)).await;
        }
        let result = self.shared.node(&self.database, |node| node.order(order));
        self.shared.wake();
        match result {
            Some(Ok(state)) => self.reply.state(&state),
            Some(Err(refusal)) => self.reply.failure(&refusal.into()),
            None => {}
        }
    }

    async fn wait_until_held(&self, position: Position) {
        let mut changed = self.shared.changed.subscribe();
        let holds = || {
            self.shared
                .node(&self.database, |node| node.holds(position))
        };
        while holds() == Some(false) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    fn parse(&mut self, parse: Parse) -> Result<(), Failure> {
        let plans = self.plan(&parse.query)?;
        if plans.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(Failure::new("42601", message));
        }
        let prepared = match plans.first() {
            None => Prepared {
                plan: None,
                params: Vec::new(),
                columns: Vec::new(),
            },
            Some(plan) => self.prepare(plan, &parse.type_oids)?,
        };
        self.statements
            .insert(parse.name.unwrap_or_default().into(), prepared);
        self.reply.parse_complete();
        Ok(())
    }

    fn prepare(&self, plan: &Plan, declared: &[Oid]) -> Result<Prepared, Failure> {
        let runs_in_store = matches!(plan.action, Action::Read | Action::Lock | Action::Write);
        let names = match (runs_in_store, &plan.action) {
            (true, _) => self.node(|node| node.store.describe(&plan.text))?,
            (false, Action::Show(name)) => vec![name.clone()],
            (false, _) => Vec::new(),
        };
        let count = plan.params.len().max(declared.len());
        let oid = |index: usize| match declared.get(index) {
            Some(&oid) if oid != 0 => oid,
            _ => plan
                .params
                .get(index)
                .copied()
                .flatten()
                .unwrap_or(value::TEXT),
        };
        Ok(Prepared {
            columns: columns(plan, &names, |name| self.column_type(name)),
            params: (0..count).map(oid).collect(),
            plan: Some(plan.clone()),
        })
    }

    fn bind(&mut self, bind: Bind) -> Result<(), Failure> {
        let prepared = self.prepared(bind.statement_name.as_deref())?.clone();
        if bind.parameters.len() != prepared.params.len() {
            return Err(Failure::new("08P01", "wrong number of parameters"));
        }
        let read = |(index, bytes): (usize, &Option<Bytes>)| {
            let format = format_of(&bind.parameter_format_codes, index);
            value::read(prepared.params[index], format, bytes.as_ref())
                .ok_or_else(|| Failure::new("22P03", "a parameter is not of its type"))
        };
        let params: Result<Vec<Value>, Failure> =
            bind.parameters.iter().enumerate().map(read).collect();
        let portal = Portal {
            params: params?,
            formats: bind.result_column_format_codes,
            prepared,
        };
        self.portals
            .insert(bind.portal_name.unwrap_or_default().into(), portal);
        self.reply.bind_complete();
        Ok(())
    }

    fn describe(&mut self, describe: &Describe) -> Result<(), Failure> {
        if describe.target_type == STATEMENT_TARGET {
            let prepared = self.prepared(describe.name.as_deref())?.clone();
            self.reply.parameters(prepared.params);
            self.reply.columns(&prepared.columns, &[]);
            return Ok(());
        }
        let name = describe.name.as_deref().unwrap_or_default();
        let portal = self.portals.get(name).ok_or_else(no_portal)?;
        self.reply
            .columns(&portal.prepared.columns, &portal.formats);
        Ok(())
    }

    fn close(&mut self, close: &Close) -> Result<(), Failure> {
        let name = close.name.as_deref().unwrap_or_default();
        if close.target_type == STATEMENT_TARGET {
            self.statements.remove(name);
        } else {
            self.portals.remove(name);
        }
        self.reply.close_complete();
        Ok(())
    }

    async fn execute(&mut self, execute: &Execute) -> Result<(), Failure> {
        let name = execute.name.as_deref().unwrap_or_default();
        let portal = self.portals.get(name).ok_or_else(no_portal)?;
        let Some(plan) = portal.prepared.plan.clone() else {
            self.reply.empty_query();
            return Ok(());
        };
        let status_before = self.transaction.status();
        let rows = self.transaction.run(&plan, &portal.params).await?;
        self.reply
            .rows(&rows, &portal.prepared.columns, &portal.formats);
        self.reply
            .complete(command_tag(&plan, &rows, status_before));
        if plan.verb == "DISCARD ALL" {
            self.statements.clear();
            self.portals.clear();
        }
        Ok(())
    }

    fn prepared(&self, name: Option<&str>) -> Result<&Prepared, Failure> {
        let prepared = self.statements.get(name.unwrap_or_default());
        prepared.ok_or_else(|| Failure::new("26000", "prepared statement does not exist"))
    }

    fn plan(&self, text: &str) -> Result<Arc<[Plan]>, Failure> {
        self.node(|node| node.store.plan(text))
    }

    fn column_type(&self, name: &str) -> Oid {
        self.node(|node| Ok(node.store.column_type(name)))
            .unwrap_or(value::TEXT)
    }

    fn node<T>(&self, act: impl FnOnce(&mut Node) -> Result<T, Failure>) -> Result<T, Failure> {
        let result = self.shared.node(&self.database, act);
        result.unwrap_or_else(|| Err(Failure::new("57P01", "the database is gone: connect again")))
    }
}

fn no_portal() -> Failure {
    Failure::new("34000", "portal does not exist")
}

fn columns(plan: &Plan, names: &[Box<str>], type_by_name: impl Fn(&str) -> Oid) -> Vec<Column> {
    let has_types = plan.columns.len() == names.len();
    let to_column = |(index, name): (usize, &str)| {
        let declared = if has_types { plan.columns[index] } else { None };
        Column {
            name: name.into(),
            oid: declared.unwrap_or_else(|| type_by_name(name)),
        }
    };
    names
        .iter()
        .map(|name| &**name)
        .enumerate()
        .map(to_column)
        .collect()
}

fn command_tag(plan: &Plan, rows: &Rows, before: Status) -> String {
    let failed = before == Status::Failed;
    match plan.verb {
        "INSERT" => format!("INSERT 0 {}", rows.count),
        "SELECT" | "UPDATE" | "DELETE" => format!("{} {}", plan.verb, rows.count),
        "COMMIT" if failed => "ROLLBACK".into(),
        verb => verb.into(),
    }
}
