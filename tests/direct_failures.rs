//! Failures of direct access, each played in a world of stand-ins.

use lentilspoke::standin::direct::caller::Caller;
use lentilspoke::standin::direct::check::{Report, check};
use lentilspoke::standin::direct::host::play;
use lentilspoke::standin::direct::program::program;
use lentilspoke::standin::direct::said::Record;
use lentilspoke::standin::direct::world::{Setup, World};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// How long a world takes to start.
const WARM: Duration = Duration::from_secs(5);

struct Scene {
    world: Rc<World>,
    record: Record,
    started: Instant,
}

impl Scene {
    /// A world with a caller of each route in each failure domain, until `length` is over.
    async fn start(setup: Setup, length: Duration) -> Self {
        let started = Instant::now();
        let scene = Self {
            world: World::start(setup, program()).unwrap(),
            record: Record::default(),
            started,
        };
        sleep(WARM).await;
        let mut seed = 0;
        for route in ["primary0", "bounded0", "session0"] {
            for domain in 0..3 {
                seed += 1;
                let pause = Duration::from_millis(100);
                let caller = Caller::new(&scene.world, &scene.record, domain, route, seed, pause);
                tokio::task::spawn_local(caller.run(started + WARM + length));
            }
        }
        scene
    }

    /// Runs to a moment since the callers began.
    async fn until(&self, millis: u64) {
        sleep_until(self.started + WARM + Duration::from_millis(millis)).await;
    }

    fn check(&self) -> Report {
        check(&self.world, self.started, &self.record.borrow())
    }
}

/// Nothing fails, and every caller is served.
#[test]
fn quiet_day() {
    play(async {
        let scene = Scene::start(Setup::default(), Duration::from_secs(10)).await;
        scene.until(12_000).await;
        let report = scene.check();
        println!("{report}");
        assert!(report.broken.is_empty(), "{report}");
        assert_eq!(report.told.promised + report.told.failed, 0, "{report}");
    })
    .unwrap();
}
