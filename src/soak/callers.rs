//! The callers of a soak.

use crate::soak::Plan;
use crate::soak::profile::WRITER;
use crate::standin::direct::caller::{Caller, Session};
use crate::standin::direct::said::Record;
use crate::standin::direct::world::World;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Longest pause of a steady writer.
const WRITER_MAX_PAUSE: Duration = Duration::from_millis(80);

/// Spawns the callers that run for the whole soak, and the steady writers.
pub fn spawn_callers(world: &Rc<World>, record: &Record, plan: &Plan, seed: u64, until: Instant) {
    spawn_by_kind(world, record, plan, plan.profile.callers, seed, until);
    for number in 0..plan.profile.writers * world.setup.groups {
        let route = format!("{WRITER}{}", number % world.setup.groups);
        let domain = number / world.setup.groups % world.setup.places.len();
        let seed = !seed.wrapping_add(number as u64);
        let mut caller = Caller::new(world, record, domain, &route, seed, WRITER_MAX_PAUSE);
        caller.writes = 12;
        tokio::task::spawn_local(caller.run(until));
    }
}

/// Spawns additional callers, which all end at `until`.
pub fn spawn_burst(
    world: &Rc<World>,
    record: &Record,
    plan: &Plan,
    count: usize,
    seed: u64,
    until: Instant,
) {
    spawn_by_kind(world, record, plan, count, seed, until);
}

fn spawn_by_kind(
    world: &Rc<World>,
    record: &Record,
    plan: &Plan,
    count: usize,
    seed: u64,
    until: Instant,
) {
    let kinds = plan.profile.kinds();
    let (groups, places) = (world.setup.groups, world.setup.places.len());
    for number in 0..count {
        let (kind, writes) = &kinds[number % kinds.len()];
        let route = format!("{kind}{}", number / kinds.len() % groups);
        // Consecutive callers are in different failure domains.
        let domain = (number + number / (kinds.len() * groups)) % places;
        let seed = seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
        let mut caller = Caller::new(world, record, domain, &route, seed, plan.profile.pause());
        caller.writes = *writes;
        tokio::task::spawn_local(caller.run(until));
    }
}

/// Spawns callers that write in a transaction and leave it open and idle until `until`.
pub fn spawn_idle_transactions(world: &Rc<World>, record: &Record, count: usize, until: Instant) {
    let vms = world.running();
    for number in 0..count {
        let (world, record) = (world.clone(), record.clone());
        let vm = vms.get(number % vms.len().max(1)).cloned();
        tokio::task::spawn_local(async move {
            let Some(vm) = vm else { return };
            let route = format!("session{}", number % world.setup.groups);
            let domain = world.domain_of_vm(&vm).unwrap_or_default();
            let opened = Session::open(&world, &record, domain, &vm, &route).await;
            let Ok(mut session) = opened else { return };
            if session.begin(false).await.is_ok() {
                let _ = session.execute(&format!("write i0 v{number}")).await;
                sleep_until(until).await;
            }
        });
    }
}
