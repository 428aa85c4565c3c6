//! Applies settings that change while the process runs: on SIGHUP, and when the file has changed
//! without one.

use super::{Startup, Vm, callers_limit};
use crate::settings::Settings;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// How often the file is checked for changes without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Applies changes until it is dropped.
pub async fn watch(vm: Rc<Vm>, startup: Startup) {
    let Startup {
        mut settings, read, ..
    } = startup;
    let mut refused: Option<Box<str>> = None;
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::warn!("SIGHUP can't be caught: {error}; changed settings are not applied");
            return;
        }
    };
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        match read() {
            Ok(new) if new == settings => {}
            Ok(new) => {
                refused = None;
                apply(&vm, &settings, &new);
                settings = new;
            }
            // An invalid file is logged once, not at each poll.
            Err(error) if signalled || refused.as_ref() != Some(&error) => {
                log::warn!("settings refused, the old ones stay: {error}");
                refused = Some(error);
            }
            Err(_) => {}
        }
    }
}

fn apply(vm: &Vm, old: &Settings, new: &Settings) {
    let (Some(before), Some(direct)) = (&old.direct, &new.direct) else {
        log::warn!("`direct` was added or removed: restart the process to change how it serves");
        return;
    };
    log::set_max_level(new.log.into());
    vm.limit.set(callers_limit(new, direct));
    vm.grace.set(direct.grace);
    let is_same_location = old.vm == new.vm
        && old.domain == new.domain
        && old.callers == new.callers
        && old.peers == new.peers
        && old.admin == new.admin
        && old.platform == new.platform
        && before.ready == direct.ready
        && before.orders == direct.orders
        && before.regions == direct.regions;
    if !is_same_location {
        log::warn!("names or addresses changed: restart the process to apply them");
    }
    log::info!("settings taken up");
}
