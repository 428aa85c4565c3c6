//! Reading all rows back from the primaries once the load is over.

use super::Plan;
use super::caller::Rows;
use super::record::{Fault, Row};
use crate::clock::Time;
use crate::types::GroupId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;
use tokio_postgres::{Config, NoTls};

/// How long a primary may take to come back.
const PATIENCE: Duration = Duration::from_secs(30);
const RETRY: Duration = Duration::from_millis(200);

/// What reading back found.
#[derive(Debug, Default)]
pub(super) struct Found {
    /// The faults of all rows together.
    pub(super) fault: Fault,
    /// Rows that could not be read, so that nothing is known of them.
    pub(super) unread: u64,
}

/// A locking read in a transaction that is rolled back: the primary answers it.
const READ: &str = "SELECT id, body FROM ledger WHERE id LIKE $1 FOR UPDATE";

pub(super) async fn run(plan: &Plan, callers: &[Rows]) -> Found {
    let mut found = Found::default();
    for (group, rows) in callers.iter().flatten() {
        let Some(first) = rows.first() else { continue };
        // Ids are NAME-NUMBER.
        let name = first
            .id
            .rsplit_once('-')
            .map_or(&*first.id, |(name, _)| name);
        match bodies(plan, group, name).await {
            Some(bodies) => rows.iter().for_each(|row| found.add(row, &bodies)),
            None => found.unread += rows.len() as u64,
        }
    }
    found
}

impl Found {
    fn add(&mut self, row: &Row, bodies: &HashMap<String, String>) {
        let body = bodies.get(&*row.id).map(String::as_str);
        let fault = row.check(body, Time(u64::MAX));
        self.fault.missing += fault.missing;
        self.fault.doubled += fault.doubled;
        self.fault.not_run_but_there += fault.not_run_but_there;
        self.fault.foreign += fault.foreign;
    }
}

async fn bodies(plan: &Plan, group: &GroupId, name: &str) -> Option<HashMap<String, String>> {
    let deadline = Instant::now() + PATIENCE;
    let mut turn = 0;
    loop {
        let address = plan.addresses.get(turn % plan.addresses.len().max(1))?;
        let attempt = tokio::time::timeout(plan.timeout.into(), read(address, group, name));
        match attempt.await {
            Ok(Ok(bodies)) => return Some(bodies),
            Ok(Err(error)) => log::debug!(error:% = error; "could not read back yet"),
            Err(_) => log::debug!("no answer in time to reading back"),
        }
        if Instant::now() >= deadline {
            return None;
        }
        tokio::time::sleep(RETRY).await;
        turn += 1;
    }
}

async fn read(
    address: &std::net::SocketAddr,
    group: &GroupId,
    name: &str,
) -> Result<HashMap<String, String>, tokio_postgres::Error> {
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("load-readback")
        .dbname(group.as_str());
    let (mut client, connection) = config.connect(NoTls).await?;
    let connection = actix_rt::spawn(connection);
    let transaction = client.transaction().await?;
    let pattern = format!("{name}-%");
    let rows = transaction.query(READ, &[&pattern]).await?;
    let mut bodies = HashMap::new();
    for row in rows {
        bodies.insert(row.try_get(0)?, row.try_get(1)?);
    }
    transaction.rollback().await?;
    drop(client);
    let _ = connection.await;
    Ok(bodies)
}
