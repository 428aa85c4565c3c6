//! Takes up settings that change while the process runs: on SIGHUP, and when the file reads
//! differently without one.

use super::{Place, Vm, callers_limit};
use crate::settings::Settings;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// How often the file is read in case it changed without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// Takes up changes until it is dropped.
pub async fn watch(vm: Rc<Vm>, place: Place) {
    let Place {
        mut settings, read, ..
    } = place;
    let mut refused: Option<Box<str>> = None;
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::warn!("SIGHUP can't be caught: {error}; settings are not taken up");
            return;
        }
    };
    loop {
        let asked = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(LOOK) => false,
        };
        match read() {
            Ok(new) if new == settings => {}
            Ok(new) => {
                refused = None;
                take_up(&vm, &settings, &new);
                settings = new;
            }
            // A file that is wrong is told once, not at each look.
            Err(error) if asked || refused.as_ref() != Some(&error) => {
                log::warn!("settings refused, the old ones stay: {error}");
                refused = Some(error);
            }
            Err(_) => {}
        }
    }
}

fn take_up(vm: &Vm, old: &Settings, new: &Settings) {
    let (Some(before), Some(direct)) = (&old.direct, &new.direct) else {
        log::warn!("`direct` was added or removed: restart the process to change how it serves");
        return;
    };
    log::set_max_level(new.log.into());
    vm.limit.set(callers_limit(new, direct));
    vm.grace.set(direct.grace);
    let is_same_place = old.vm == new.vm
        && old.domain == new.domain
        && old.callers == new.callers
        && old.peers == new.peers
        && old.admin == new.admin
        && old.platform == new.platform
        && before.ready == direct.ready
        && before.orders == direct.orders
        && before.regions == direct.regions;
    if !is_same_place {
        log::warn!("names or addresses changed: they count from the next start");
    }
    log::info!("settings taken up");
}
