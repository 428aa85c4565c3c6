//! Reads all rows back from the primaries after the load.

use super::Plan;
use super::caller::Rows;
use super::record::{Fault, Row};
use crate::clock::Time;
use crate::types::GroupId;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;
use tokio_postgres::{Config, NoTls};

/// How long to retry while a group has no primary.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The results of reading back.
#[derive(Debug, Default)]
pub(super) struct Findings {
    /// The sum of the faults of all rows.
    pub(super) fault: Fault,
    /// Number of rows that could not be read and are therefore unchecked.
    pub(super) unread: u64,
}

/// A locking read in a transaction that is rolled back, so that the primary serves it.
const READ: &str = "SELECT id, body FROM ledger WHERE id LIKE $1 FOR UPDATE";

pub(super) async fn run(plan: &Plan, callers: &[Rows]) -> Findings {
    let mut findings = Findings::default();
    for (group, rows) in callers.iter().flatten() {
        let Some(first) = rows.first() else { continue };
        // Ids have the form NAME-NUMBER.
        let name = first
            .id
            .rsplit_once('-')
            .map_or(&*first.id, |(name, _)| name);
        match bodies(plan, group, name).await {
            Some(bodies) => rows.iter().for_each(|row| findings.add(row, &bodies)),
            None => findings.unread += rows.len() as u64,
        }
    }
    findings
}

impl Findings {
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
    let deadline = Instant::now() + READ_BACK_TIMEOUT;
    let mut tries = 0;
    loop {
        let address = plan.addresses.get(tries % plan.addresses.len().max(1))?;
        let attempt = tokio::time::timeout(plan.timeout.into(), read(address, group, name));
        match attempt.await {
            Ok(Ok(bodies)) => return Some(bodies),
            Ok(Err(error)) => log::debug!(error:% = error; "could not read back yet"),
            Err(_) => log::debug!("no answer in time to reading back"),
        }
        if Instant::now() >= deadline {
            return None;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
        tries += 1;
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
