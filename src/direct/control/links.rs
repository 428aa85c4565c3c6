//! The steward's sessions at databases: it asks them for their state, tries whether they are reached, and
//! orders old primaries to step down.

use crate::direct::config::Database;
use crate::direct::control::evidence::Probe;
use crate::direct::control::promotion::Reply;
use crate::direct::control::{Control, probe};
use crate::direct::statement::Order;
use crate::types::{DatabaseId, GroupId};
use std::time::Duration;

/// With more databases than this, no session is kept open to each of them, because every session
/// takes a connection of the database, and a descriptor and memory on this VM.
const MAX_LINKS: usize = 512;

/// The pause after an order to step down, whether it was sent or not.
const STEP_DOWN_INTERVAL: Duration = Duration::from_millis(500);

impl Control {
    /// The register's entry of a database.
    pub(super) fn registered(&self, id: &DatabaseId) -> Option<Database> {
        self.setup.shared.get().databases.get(id).cloned()
    }

    /// Asks a database for its state, by the session that is kept open to it.
    pub(super) async fn standing(&self, database: &Database) -> Reply {
        let mut link = self.links.borrow_mut().remove(&database.id);
        let kept = link.is_some();
        let mut reply = probe::standing(&self.setup.adapter, database, &mut link).await;
        if kept && link.is_none() {
            // A broken session does not show that the database fails, so a new one is tried.
            reply = probe::standing(&self.setup.adapter, database, &mut link).await;
        }
        if let Some(link) = link {
            self.links.borrow_mut().insert(database.id.clone(), link);
        }
        reply
    }

    /// Opens a session to each database that has none, and closes those to databases that are gone.
    ///
    /// When a primary is lost, its load falls on the replicas, and they may have no connection left
    /// for the steward's question of how far their logs are. Without an open session nothing would
    /// be promoted until the load falls, which it does not before a promotion.
    pub(super) async fn keep_links(&self) {
        if self.setup.shared.get().databases.len() > MAX_LINKS {
            return;
        }
        let databases: Vec<_> = {
            let view = self.setup.shared.get();
            let mut links = self.links.borrow_mut();
            links.retain(|id, _| view.databases.contains_key(id));
            let config = view.config.as_ref();
            let known =
                |d: &&Database| config.is_some_and(|config| config.groups.contains_key(&d.group));
            let lacking = view
                .databases
                .values()
                .filter(known)
                .filter(|d| !links.contains_key(&d.id));
            lacking.cloned().collect()
        };
        let opened = databases.iter().map(async |database| {
            if let probe::Opened::Link(link) = probe::open(&self.setup.adapter, database).await {
                let mut links = self.links.borrow_mut();
                links.entry(database.id.clone()).or_insert(link);
            }
        });
        futures_util::future::join_all(opened).await;
    }

    pub(super) async fn try_database(&self, id: &DatabaseId) {
        let Some(database) = self.registered(id) else {
            return;
        };
        let began = self.now();
        let attempt = probe::open(&self.setup.adapter, &database).await.attempt();
        let ended = self.now();
        let tried = Probe {
            began,
            ended,
            attempt,
        };
        let known = self.state.borrow_mut().tried.insert(id.clone(), tried);
        if known.is_none_or(|known| known.attempt != attempt) {
            log::info!(
                database:% = id, attempt:?, took_ms = ended.since(began).0 / 1_000;
                "tried to reach a database that is reported to fail"
            );
        }
    }

    /// Orders an old primary to step down, giving the term of the current one.
    pub(super) async fn step_down(&self, group: &GroupId, old: &DatabaseId) {
        let (leader, database) = {
            let view = self.setup.shared.get();
            let known = view.leases.known(group).map(|(lead, _)| lead.clone());
            let lead = known.filter(|lead| !lead.changing && lead.primary != *old);
            let leader = lead.and_then(|lead| view.databases.get(&lead.primary).cloned());
            (leader, view.databases.get(old).cloned())
        };
        if let (Some(leader), Some(database)) = (leader, database) {
            let adapter = &self.setup.adapter;
            if let probe::Opened::Link(mut link) = probe::open(adapter, &database).await
                && let Reply::Stands(standing) = self.standing(&leader).await
                && standing.primary
            {
                let answer = link.ask(&Order::StepDown(standing.term)).await;
                log::info!(
                    group:%, database:% = old, term:% = standing.term, answered = answer.is_some();
                    "an old primary was ordered to step down"
                );
            }
        }
        tokio::time::sleep(STEP_DOWN_INTERVAL).await;
    }
}
