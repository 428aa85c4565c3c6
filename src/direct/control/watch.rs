//! Follows the configuration by a long poll, or by the word of VMs that do.
//!
//! **Pattern answered.** The operator changes the configuration, or the store forgets its history, and
//! every poll of hundreds of VMs ends at one moment. **Without it** each change is a call and 250 KB
//! for every VM of 195, a dozen times where changes come in quick succession. **Why it suffices.** The
//! VMs that read for others, and the steward, poll. A heartbeat's answer tells of what they have
//! within half a second, and whoever is told nothing for 2 s polls for itself.

use crate::clock::Span;
use crate::direct::config::Config;
use crate::direct::control::Control;
use crate::direct::control::backoff::Backoff;
use crate::direct::table::{Fault, Row, Version};
use crate::types::Version as ConfigVersion;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a poll may wait at the steward, and at a VM that hears none: a connection that fell
/// silent for good is noticed only when the poll's time is over, and a configuration has to be in
/// force 3 s after it was accepted.
const SHORT: Span = Span::from_secs(2);

/// How long a poll may wait at a VM that hears the steward, which tells it of a configuration
/// with each heartbeat. Calls are priced; the poll is the second way to the same.
const LONG: Span = Span::from_secs(20);

/// How often a VM that is told looks whether it still is.
const LOOK: Span = Span::from_millis(250);

/// How long a VM that starts waits for the word of another one before it reads the configuration.
const START: Span = Span::from_millis(800);

/// Follows the configuration until the process ends.
pub(super) async fn run(control: Rc<Control>) {
    let mut backoff = Backoff::default();
    let mut after = None;
    control.wait_for_first_word().await;
    while !control.state.borrow().stopped {
        if !control.polls() {
            after = None;
            tokio::time::sleep(Duration::from(LOOK)).await;
            continue;
        }
        match step(&control, after).await {
            Ok(version) => {
                after = version;
                backoff.reset();
            }
            Err(_) => {
                if !control.hears_steward() {
                    // Nobody tells this VM of a configuration, and a poll takes the own way only.
                    after = None;
                }
                backoff.wait(control.chance()).await;
            }
        }
    }
}

impl Control {
    /// Whether this VM polls the store for the configuration.
    fn polls(&self) -> bool {
        self.is_steward() || self.reads() || !self.is_told()
    }

    /// Waits until another VM has told what it knows, or none does; not where others ask this one.
    async fn wait_for_first_word(&self) {
        if self.setup.seeds.contains(&self.setup.address) {
            return;
        }
        let _ = tokio::time::timeout(Duration::from(START), self.joined.notified()).await;
    }

    /// Reads the configuration.
    pub(super) async fn read_config(&self) -> Result<(), Fault> {
        let id = &self.setup.adapter.documents.config;
        let (rows, _) = self.read_table(&id.table).await?;
        learn(self, &rows);
        Ok(())
    }

    /// Reads the configuration or the register, which may be long.
    pub(super) async fn read_table(&self, table: &str) -> Result<(Vec<Row>, Version), Fault> {
        let (is_large, have_readers) = (self.is_large(), self.have_readers());
        match (is_large, have_readers) {
            (true, _) => self.store.read_long(table).await,
            (false, true) => self.store.read_here(table).await,
            // Each VM reads for itself, or by way of another one while the store turns it away.
            (false, false) => self.store.read(table).await,
        }
    }

    pub(super) fn config_version(&self) -> ConfigVersion {
        let view = self.setup.shared.get();
        let config = view.config.as_ref();
        config.map_or_else(Default::default, |config| config.version)
    }

    /// The VM that listens at an address has this configuration in force.
    pub(super) fn hear_of_config(&self, version: ConfigVersion, at: SocketAddr) {
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
        self.lacking.notify_one();
    }
}

async fn step(control: &Control, after: Option<Version>) -> Result<Option<Version>, Fault> {
    let id = &control.setup.adapter.documents.config;
    let Some(after) = after else {
        let (rows, version) = control.read_table(&id.table).await?;
        learn(control, &rows);
        return Ok(Some(version));
    };
    let wait = if control.hears_steward() { LONG } else { SHORT };
    let polled = tokio::select! {
        biased;
        polled = control.store.follow(&id.table, after, wait) => polled?,
        // The steward is not heard any more: a poll that may be dead is no second way.
        () = control.lost.notified(), if wait == LONG => return Ok(Some(after)),
    };
    let Some((rows, version)) = polled else {
        log::info!(after:%; "the history of the configuration is gone: reading it anew");
        return Ok(None);
    };
    learn(control, &rows);
    Ok(Some(version))
}

fn learn(control: &Control, rows: &[Row]) {
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

/// Takes a configuration over if it is newer than the one in force. One that is older is never
/// gone back to: callers have seen the newer one's effects.
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
