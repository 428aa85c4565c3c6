//! A caller's connections, and the mapping from errors to request outcomes.

use super::Plan;
use crate::clock::Span;
use crate::types::GroupId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio_postgres::types::{ToSql, Type};
use tokio_postgres::{Client, Config, NoTls, Row};

/// The outcome of one request as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    Done,
    /// Not run; the caller may retry after this time.
    NotRun(Span),
    Unknown,
    /// A database error; the request had no effect.
    Failed,
    /// Not run, and an earlier write of the session was declared lost.
    DeclaredLost,
}

/// The consistency mode of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Mode {
    /// Within the session, under its floor.
    Session,
    /// With a maximum age and no session.
    Aged,
}

/// Identifies one connection: address index, group and mode.
type Key = (usize, GroupId, Mode);

/// One caller's connections, opened on demand.
pub(super) struct Connections {
    name: String,
    addresses: Vec<SocketAddr>,
    max_age: Span,
    timeout: Duration,
    open: HashMap<Key, Client>,
}

impl Connections {
    pub(super) fn new(plan: &Plan, name: String) -> Self {
        Self {
            name,
            addresses: plan.addresses.clone(),
            max_age: plan.max_age,
            timeout: plan.timeout.into(),
            open: HashMap::new(),
        }
    }

    /// Runs one statement at the address with index `at`.
    pub(super) async fn query(
        &mut self,
        (at, group, mode): (usize, &GroupId, Mode),
        sql: &str,
        params: &[&str],
    ) -> Result<Vec<Row>, Outcome> {
        let key = (at, group.clone(), mode);
        if self.open.get(&key).is_none_or(Client::is_closed) {
            let client = self.connect(&key).await?;
            self.open.insert(key.clone(), client);
        }
        let Some(client) = self.open.get(&key) else {
            return Err(Outcome::NotRun(Span::ZERO));
        };
        let typed: Vec<(&(dyn ToSql + Sync), Type)> = params
            .iter()
            .map(|text| (text as &(dyn ToSql + Sync), Type::TEXT))
            .collect();
        let answer = tokio::time::timeout(self.timeout, client.query_typed(sql, &typed)).await;
        match answer {
            Ok(Ok(rows)) => Ok(rows),
            Ok(Err(error)) => {
                if client.is_closed() {
                    self.open.remove(&key);
                }
                Err(outcome_of(&error))
            }
            Err(_) => {
                self.open.remove(&key);
                Err(Outcome::Unknown)
            }
        }
    }

    /// Opens a connection. A failure means that nothing ran.
    async fn connect(&self, (at, group, mode): &Key) -> Result<Client, Outcome> {
        const PAUSE: Span = Span::from_millis(20);
        let refused = Outcome::NotRun(PAUSE);
        let address = self.addresses.get(*at).ok_or(refused)?;
        let setting = match mode {
            Mode::Session => format!("-c lentilspoke.session={}", self.name),
            Mode::Aged => format!("-c lentilspoke.max_age={}", self.max_age),
        };
        let mut config = Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user(&self.name)
            .dbname(group.as_str())
            .options(setting)
            .connect_timeout(self.timeout);
        let opened = tokio::time::timeout(self.timeout, config.connect(NoTls)).await;
        let (client, connection) = opened.map_err(|_| refused)?.map_err(|_| refused)?;
        actix_rt::spawn(async move {
            // The client reports the end of the connection.
            let _ = connection.await;
        });
        Ok(client)
    }
}

/// Maps a SQLSTATE to an outcome: the proxy's own class states what became of the request; any other
/// code comes from the database, which rolled the statement back.
fn outcome_of(error: &tokio_postgres::Error) -> Outcome {
    let Some(error) = error.as_db_error() else {
        return Outcome::Unknown;
    };
    let code = error.code().code();
    if code == "LS301" {
        return Outcome::DeclaredLost;
    }
    if code.starts_with("LS2") {
        return Outcome::Unknown;
    }
    // PostgreSQL's own "too many connections", "shutting down" and "starting up".
    if code.starts_with("LS1") || ["53300", "57P01", "57P03"].contains(&code) {
        return Outcome::NotRun(pause(error.hint()));
    }
    Outcome::Failed
}

/// Parses the hint `Retry after 20ms.`
fn pause(hint: Option<&str>) -> Span {
    const MAX_PAUSE: Span = Span::from_secs(1);
    let text = hint.and_then(|hint| hint.strip_prefix("Retry after "));
    let span = text.and_then(|text| text.trim_end_matches('.').parse().ok());
    span.unwrap_or(Span::ZERO).min(MAX_PAUSE)
}
