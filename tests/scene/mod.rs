//! A simulated world with callers, run for some seconds while faults begin and end.

#![allow(dead_code, reason = "each test file uses a part")]

use lentilspoke::standin::direct::caller::{Caller, Session};
use lentilspoke::standin::direct::check::{Report, check};
use lentilspoke::standin::direct::fault::Fault;
use lentilspoke::standin::direct::host;
use lentilspoke::standin::direct::journal::Events;
use lentilspoke::standin::direct::program::program;
use lentilspoke::standin::direct::said::{Record, Said};
use lentilspoke::standin::direct::setup::Setup;
use lentilspoke::standin::direct::world::World;
use lentilspoke::types::{DatabaseId, VmId};
use std::cell::Ref;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// How long a world runs before callers start.
const WARM_UP: Duration = Duration::from_secs(5);

/// How long callers run.
const RUN_TIME: Duration = Duration::from_secs(30);

/// The longest pause of callers between statements.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// A world, its callers' record and the moment at which callers started.
pub struct Scene {
    pub world: Rc<World>,
    record: Record,
    begun: Instant,
}

/// Runs a scene.
pub fn play<F: Future<Output = ()>>(setup: Setup, scene: impl FnOnce(Scene) -> F) {
    host::simulate(async { scene(Scene::start(setup).await).await }).unwrap();
}

impl Scene {
    /// A world with a caller of each kind in each failure domain.
    async fn start(setup: Setup) -> Self {
        let world = World::start(setup, program()).unwrap();
        sleep(WARM_UP).await;
        let scene = Self {
            world,
            record: Record::default(),
            begun: Instant::now(),
        };
        for (seed, route) in (1..).zip(["primary0", "bounded0", "session0"].repeat(3)) {
            let domain = (seed as usize - 1) / 3;
            let caller = Caller::new(&scene.world, &scene.record, domain, route, seed, MAX_PAUSE);
            tokio::task::spawn_local(caller.run(scene.begun + RUN_TIME));
        }
        scene
    }

    /// The moment `millis` milliseconds after callers started.
    pub fn at(&self, millis: u64) -> Instant {
        self.begun + Duration::from_millis(millis)
    }

    /// Waits until `millis` milliseconds after callers started.
    pub async fn until(&self, millis: u64) {
        sleep_until(self.at(millis)).await;
    }

    /// Begins a fault at `from` and ends it at `to`, in milliseconds after callers started.
    pub async fn fault(&self, fault: Fault, from: u64, to: u64) {
        self.until(from).await;
        fault.begin(&self.world);
        self.until(to).await;
        fault.end(&self.world);
    }

    /// Waits until all callers have ended, and checks their answers.
    pub async fn check(&self) -> Report {
        sleep_until(self.begun + RUN_TIME + Duration::from_secs(11)).await;
        check(&self.world, self.begun, &self.record.borrow())
    }

    /// Waits until all callers have ended, and asserts that no rule was broken.
    pub async fn passes(&self) -> Report {
        let report = self.check().await;
        assert!(report.broken.is_empty(), "{report}");
        report
    }

    /// All statements that callers sent from one moment up to another.
    pub fn said(&self, from: u64, to: u64) -> Vec<Said> {
        let record = self.record.borrow();
        let span = self.at(from)..self.at(to);
        let said = record.iter().filter(|said| span.contains(&said.sent));
        said.cloned().collect()
    }

    /// How many statements on a route succeeded that were sent between two moments.
    pub fn done(&self, route: &str, from: u64, to: u64) -> usize {
        let said = self.said(from, to);
        let done = said.iter().filter(|s| &*s.route == route && s.is_done());
        done.count()
    }

    /// How long after `since` the first write was acknowledged that was sent since.
    pub fn gap(&self, since: u64) -> Duration {
        let record = self.record.borrow();
        let writes = record.iter().filter(|said| said.text.starts_with("write "));
        let acknowledged = writes.filter(|said| said.sent >= self.at(since));
        let first = acknowledged.filter_map(Said::acknowledged).min();
        first.map_or(RUN_TIME, |first| first - self.at(since))
    }

    /// Opens sessions at all VMs but one, each with an idle transaction that has run one statement.
    pub async fn rest_in_transactions(&self, route: &str, but: &VmId) -> Vec<Session> {
        let mut resting = Vec::new();
        for vm in self.world.running().iter().filter(|vm| *vm != but) {
            let opened = Session::open(&self.world, &self.record, 0, vm, route).await;
            let Ok(mut session) = opened else { continue };
            let begun = session.begin(false).await.is_ok();
            if begun && session.execute("read i1").await.is_ok() {
                resting.push(session);
            }
        }
        resting
    }

    /// Whether a VM opens a session on a route.
    pub async fn opens(&self, route: &str, vm: &VmId) -> bool {
        let session = Session::open(&self.world, &self.record, 0, vm, route).await;
        session.is_ok()
    }

    /// Opens a session with a key.
    pub async fn session(&self, route: &str, vm: &VmId, key: &str) -> Session {
        let opened = Session::open_with(&self.world, &self.record, 0, vm, route, Some(key));
        opened.await.unwrap()
    }

    /// Whether a VM opens a session for a caller with a key.
    pub async fn opens_with(&self, route: &str, vm: &VmId, key: &str) -> bool {
        let opened = Session::open_with(&self.world, &self.record, 0, vm, route, Some(key));
        opened.await.is_ok()
    }

    /// The VM that last wrote to the store.
    pub fn steward(&self) -> VmId {
        let log = self.world.store.log();
        let mut writers = log.iter().rev();
        writers.find_map(|written| written.by.clone()).unwrap()
    }

    /// The events at the databases.
    pub fn events(&self) -> Ref<'_, Events> {
        self.world.journal.borrow()
    }

    /// How often each VM connected to a database.
    pub fn openings(&self, id: &DatabaseId) -> BTreeMap<VmId, u64> {
        let events = self.events();
        let openings = events.openings.iter().filter(|((of, _), _)| of == id);
        openings
            .map(|((_, vm), count)| (vm.clone(), *count))
            .collect()
    }

    /// The current primary of the first group.
    pub fn leader(&self) -> DatabaseId {
        self.world.groups[0].leader()
    }
}

/// A database's id.
pub fn db(id: &str) -> DatabaseId {
    id.parse().unwrap()
}

/// A VM's id.
pub fn vm(id: &str) -> VmId {
    id.parse().unwrap()
}
