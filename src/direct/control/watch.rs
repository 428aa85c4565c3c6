//! Follows the configuration by long polls, or by updates from the VMs that poll.
//!
//! When the operator changes the configuration, or the store drops its history, the polls of
//! hundreds of VMs would end at one moment. Each change would be a call and 250 KB for each of 195
//! VMs, a dozen times where changes come in quick succession. Therefore only the steward and the
//! VMs that read for others poll. A heartbeat's answer informs other VMs within half a second, and
//! a VM that receives no update for 2 s polls for itself.

use crate::clock::Span;
use crate::direct::config::Config;
use crate::direct::control::Control;
use crate::direct::control::backoff::Backoff;
use crate::direct::table::{Fault, Row, Version};
use crate::types::Version as ConfigVersion;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The wait of a poll by the steward, or by a VM without contact to a steward. A connection that
/// has silently failed is noticed only when the poll's time is over, and a configuration has to be
/// in force 3 s after it was accepted.
const SHORT_WAIT: Span = Span::from_secs(2);

/// The wait of a poll by a VM in contact with the steward, which informs it of a configuration with
/// each heartbeat. Calls have a price, and the poll is only the second source.
const LONG_WAIT: Span = Span::from_secs(20);

/// How often a VM that does not poll checks whether it still receives updates.
const CHECK_INTERVAL: Span = Span::from_millis(250);

/// How long a starting VM waits for an update from another one before it reads the configuration.
const START_TIMEOUT: Span = Span::from_millis(800);

/// Follows the configuration until the process ends.
pub(super) async fn run(control: Rc<Control>) {
    let mut backoff = Backoff::default();
    let mut after = None;
    control.wait_for_first_update().await;
    while !control.state.borrow().stopped {
        if !control.polls() {
            after = None;
            tokio::time::sleep(Duration::from(CHECK_INTERVAL)).await;
            continue;
        }
        match poll_once(&control, after).await {
            Ok(version) => {
                after = version;
                backoff.reset();
            }
            Err(_) => {
                if !control.steward_answers() {
                    // No VM informs this one of a configuration, and polls are direct only: read
                    // the table instead.
                    after = None;
                }
                backoff.wait(control.random()).await;
            }
        }
    }
}

impl Control {
    /// Returns whether this VM polls the store for the configuration.
    pub(super) fn polls(&self) -> bool {
        self.is_steward() || self.reads() || !self.receives_updates()
    }

    /// Waits for the first update of another VM, or until joining has failed. Seeds don't wait, as
    /// others ask them.
    async fn wait_for_first_update(&self) {
        if self.setup.seeds.contains(&self.setup.address) {
            return;
        }
        let _ = tokio::time::timeout(Duration::from(START_TIMEOUT), self.joined.notified()).await;
    }

    /// Reads the configuration from the store.
    pub(super) async fn read_config(&self) -> Result<(), Fault> {
        let id = &self.setup.adapter.documents.config;
        let (rows, _) = self.read_table(&id.table).await?;
        apply_rows(self, &rows);
        Ok(())
    }

    /// Reads the table of the configuration or of the register, which may be long.
    pub(super) async fn read_table(&self, table: &str) -> Result<(Vec<Row>, Version), Fault> {
        let (is_large, has_readers) = (self.is_large(), self.has_readers());
        match (is_large, has_readers) {
            (true, _) => self.store.read_long(table).await,
            (false, true) => self.store.read_directly(table).await,
            // Each VM reads for itself, or through another one while the store refuses its calls.
            (false, false) => self.store.read(table).await,
        }
    }

    pub(super) fn config_version(&self) -> ConfigVersion {
        let view = self.setup.shared.get();
        let config = view.config.as_ref();
        config.map_or_else(Default::default, |config| config.version)
    }

    /// Records that the VM at an address has this configuration version in force.
    pub(super) fn record_config_version(&self, version: ConfigVersion, at: SocketAddr) {
        let in_force = self.config_version();
        let mut state = self.state.borrow_mut();
        if version <= state.newest {
            return;
        }
        state.newest = version;
        state.newest_at = Some(at);
        if version > in_force {
            log::info!(version:%, in_force:%; "a newer configuration is there");
        }
        self.config_missing.notify_one();
    }
}

async fn poll_once(control: &Control, after: Option<Version>) -> Result<Option<Version>, Fault> {
    let id = &control.setup.adapter.documents.config;
    let Some(after) = after else {
        let (rows, version) = control.read_table(&id.table).await?;
        apply_rows(control, &rows);
        return Ok(Some(version));
    };
    let wait = if control.steward_answers() {
        LONG_WAIT
    } else {
        SHORT_WAIT
    };
    let polled = tokio::select! {
        biased;
        polled = control.store.follow(&id.table, after, wait) => polled?,
        // Contact with the steward was lost: a poll on a failed connection is no second source.
        () = control.steward_lost.notified(), if wait == LONG_WAIT => return Ok(Some(after)),
    };
    let Some((rows, version)) = polled else {
        log::info!(after:%; "the configuration's history is gone from the store: reading the table");
        return Ok(None);
    };
    apply_rows(control, &rows);
    Ok(Some(version))
}

fn apply_rows(control: &Control, rows: &[Row]) {
    let documents = &control.setup.adapter.documents;
    let newest = rows.iter().rev().find(|row| row.id == documents.config);
    let Some(value) = newest.and_then(|row| row.value.as_ref()) else {
        return;
    };
    match (documents.read_config)(value) {
        Ok(config) => apply(control, config, "store"),
        Err(reason) => {
            log::error!(reason:%; "a configuration is refused as a whole; the one before stays");
        }
    }
}

/// Puts a configuration in force if it is newer than the present one. An older one is never
/// restored, as callers have seen the newer one's effects.
pub(super) fn apply(control: &Control, config: Config, source: &str) {
    let shared = &control.setup.shared;
    let known = shared.get().config.clone();
    let before = known.as_ref().map(|known| known.version);
    if before.is_some_and(|before| before >= config.version) {
        return;
    }
    {
        let mut state = control.state.borrow_mut();
        state.gathering.forget(config.version);
        if let Some(known) = &known {
            state.config_changes.note(known, &config);
        }
    }
    log::info!(
        version:% = config.version, before:? = before.map(|v| v.0), routes = config.routes.len(),
        groups = config.groups.len(), source;
        "a configuration is in force"
    );
    shared.configure(config);
}
