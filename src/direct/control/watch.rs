//! Follows the configuration by a long poll.

use crate::clock::Span;
use crate::direct::config::Config;
use crate::direct::control::Control;
use crate::direct::control::backoff::Backoff;
use crate::direct::table::{Fault, Row, Version};
use std::rc::Rc;

/// How long a poll may wait at the steward, and at a VM that hears none: a connection that fell
/// silent for good is noticed only when the poll's time is over, and a configuration has to be in
/// force 3 s after it was accepted.
const SHORT: Span = Span::from_secs(2);

/// How long a poll may wait at a VM that hears the steward, which tells it of a configuration
/// with each heartbeat. Calls are priced; the poll is the second way to the same.
const LONG: Span = Span::from_secs(20);

/// Follows the configuration until the process ends.
pub(super) async fn run(control: Rc<Control>) {
    let mut backoff = Backoff::default();
    let mut after = None;
    while !control.state.borrow().stopped {
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

async fn step(control: &Control, after: Option<Version>) -> Result<Option<Version>, Fault> {
    let id = &control.setup.adapter.documents.config;
    let Some(after) = after else {
        let (rows, version) = control.store.read(&id.table).await?;
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
        log::info!(after; "the history of the configuration is gone: reading it anew");
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
    let known = shared.look().config.as_ref().map(|known| known.version);
    if known.is_some_and(|known| known >= config.version) {
        return;
    }
    log::info!(
        version:% = config.version, before:? = known.map(|v| v.0), routes = config.routes.len(),
        groups = config.groups.len(), source;
        "a configuration is in force"
    );
    shared.change(|view| view.config = Some(Rc::new(config)));
}
