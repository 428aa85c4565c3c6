//! What this VM has open to each database, and what it has learned of it.

use crate::clock::{Span, Time};
use crate::core::message::Hint;
use crate::core::route::{Candidate, Need, Router};
use crate::direct::adapter::Adapter;
use crate::direct::config::Database;
use crate::direct::fresh::Fresh;
use crate::direct::front::Place;
use crate::direct::gate::Urgency;
use crate::direct::lead::{Epoch, Lease};
use crate::direct::pool::Pool;
use crate::direct::statement::Answer;
use crate::direct::view::Shared;
use crate::types::{DatabaseId, GroupId, Position};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// A database that failed and has answered nothing since is left out by all but one read in this
/// time, which finds out whether it is back.
const PROBE: Span = Span::from_millis(500);

/// A database, and this VM's connections to it.
#[derive(Debug, Clone)]
pub struct Target {
    /// What the register says of it.
    pub database: Rc<Database>,
    /// The connections.
    pub pool: Rc<Pool>,
}

/// All databases.
pub struct Targets {
    /// The platform.
    pub adapter: Adapter,
    /// What this VM knows.
    pub shared: Rc<Shared>,
    place: Place,
    fresh: RefCell<Fresh>,
    pools: RefCell<BTreeMap<DatabaseId, Rc<Pool>>>,
    routers: RefCell<BTreeMap<GroupId, Router>>,
    probed: RefCell<BTreeMap<DatabaseId, Time>>,
}

impl fmt::Debug for Targets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Targets").finish_non_exhaustive()
    }
}

impl Targets {
    /// Nothing is open.
    pub fn new(adapter: Adapter, shared: Rc<Shared>, place: Place) -> Rc<Self> {
        Rc::new(Self {
            adapter,
            shared,
            place,
            fresh: RefCell::default(),
            pools: RefCell::default(),
            routers: RefCell::default(),
            probed: RefCell::default(),
        })
    }

    /// The time.
    pub fn now(&self) -> Time {
        (self.adapter.clock)()
    }

    /// Whether the lease on a group's primary of `epoch` holds now.
    pub fn holds(&self, group: &GroupId, epoch: Epoch) -> bool {
        self.shared.look().book.holds(group, epoch, self.now())
    }

    /// A group's primary, and the lease on it.
    pub fn primary(&self, group: &GroupId) -> Option<(Lease, Target)> {
        let (lease, database) = {
            let view = self.shared.look();
            let (lease, database) = view.primary(group, self.now())?;
            (lease, Rc::new(database.clone()))
        };
        Some((lease, self.target(database)))
    }

    /// Waits until the primary that may be used is not that of `epoch` any more (none, if there
    /// was none); tells whether that came within `span`.
    ///
    /// A lease on a database that is not registered is no use: taken for news, it would let
    /// whoever waits ask again at once and for ever.
    pub async fn wait_for_news(&self, group: &GroupId, epoch: Option<Epoch>, span: Span) -> bool {
        let news = async {
            loop {
                let changed = self.shared.changed();
                let view = self.shared.look();
                let usable = view.primary(group, self.now());
                if usable.map(|(lease, _)| lease.epoch) != epoch {
                    return;
                }
                drop(view);
                changed.await;
            }
        };
        tokio::time::timeout(span.into(), news).await.is_ok()
    }

    /// The least position that holds all commits acknowledged before `since`.
    pub fn position_at(&self, group: &GroupId, since: Time) -> Option<Position> {
        let epoch = self.shared.look().book.known(group)?.0.epoch;
        let mut fresh = self.fresh.borrow_mut();
        fresh.forget_before(group, epoch);
        fresh.oldest_allowed(group, since)
    }

    /// The primary of `epoch`, asked at `asked`, has come to `position`; the lease held after it
    /// had answered.
    pub fn learn(&self, group: &GroupId, epoch: Epoch, asked: Time, position: Position) {
        let mut fresh = self.fresh.borrow_mut();
        fresh.learn(group, epoch, asked, position);
    }

    /// The replicas to try for a read that needs `after`, best first, as far as they come before
    /// the primary.
    pub fn replicas(&self, group: &GroupId, after: Position, urgency: Urgency) -> Vec<Target> {
        let members = self.members(group);
        let order = self.order(group, after, &members);
        let found = order.iter().filter_map(|id| {
            let found = members.iter().find(|database| database.id == *id)?;
            Some(self.target(found.clone()))
        });
        let mut targets: Vec<Target> = found.collect();
        let now = self.now();
        targets.sort_by_cached_key(|target| {
            let waits = target.pool.gate.wait(urgency) > Span::ZERO;
            (self.is_left_out(&target.database.id, now), waits)
        });
        targets
    }

    fn members(&self, group: &GroupId) -> Vec<Rc<Database>> {
        let view = self.shared.look();
        let members = view.members(group).filter(|database| !database.leaving);
        members.cloned().map(Rc::new).collect()
    }

    fn order(&self, group: &GroupId, after: Position, members: &[Rc<Database>]) -> Vec<DatabaseId> {
        let view = self.shared.look();
        let lead = view.book.known(group).map(|(lead, _)| &lead.primary);
        let candidate = |database: &Rc<Database>| Candidate {
            database: database.id.clone(),
            primary: Some(&database.id) == lead,
            near: self.place.is_near(&database.domain),
        };
        let candidates: Vec<Candidate> = members.iter().map(candidate).collect();
        let need = Need {
            floor: Some(after),
            max_age: None,
        };
        let mut routers = self.routers.borrow_mut();
        let router = routers.entry(group.clone()).or_default();
        let mut order = router.order(self.now(), &need, &candidates);
        let replicas = order.iter().take_while(|id| Some(*id) != lead).count();
        order.truncate(replicas);
        order
    }

    /// Whether a database failed, has not answered since, and was tried lately.
    fn is_left_out(&self, database: &DatabaseId, now: Time) -> bool {
        let report = self.shared.look().reports.report(database, now);
        if report.failing.is_none() {
            return false;
        }
        let mut probed = self.probed.borrow_mut();
        match probed.get(database) {
            Some(last) if now.since(*last) < PROBE => true,
            _ => {
                probed.insert(database.clone(), now);
                false
            }
        }
    }

    /// A statement is sent to a database.
    pub fn sent(&self, database: &Database) {
        if let Some(router) = self.routers.borrow_mut().get_mut(&database.group) {
            router.sent(self.now(), &database.id);
        }
    }

    /// A database ran a statement that was sent at `asked`.
    pub fn answered(&self, target: &Target, asked: Time, answer: &Answer, urgency: Urgency) {
        let now = self.now();
        let database = &target.database;
        self.shared.quietly().reports.answered(&database.id, now);
        let took = now.since(asked);
        target.pool.gate.answered(took);
        let hint = hint(&target.pool, answer.position, urgency);
        if let Some(router) = self.routers.borrow_mut().get_mut(&database.group) {
            router.answered(now, &database.id, took, &hint);
        }
    }

    /// A database answered that it did not run a statement.
    pub fn refused(&self, target: &Target, position: Option<Position>, busy: bool) {
        let now = self.now();
        let database = &target.database;
        self.shared.quietly().reports.answered(&database.id, now);
        if busy {
            target.pool.gate.refused(now);
        }
        let hint = hint(&target.pool, position, Urgency::MAX);
        if let Some(router) = self.routers.borrow_mut().get_mut(&database.group) {
            router.refused(now, &database.id, &hint);
        }
    }

    /// A database could not be reached, broke off or stays silent.
    pub fn failed(&self, database: &Database) {
        let now = self.now();
        self.shared.quietly().reports.failed(&database.id, now);
        if let Some(router) = self.routers.borrow_mut().get_mut(&database.group) {
            router.failed(now, &database.id);
        }
    }

    fn target(&self, database: Rc<Database>) -> Target {
        let pool = self.pool(&database);
        Target { database, pool }
    }

    fn pool(&self, database: &Database) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        if let Some(pool) = pools.get(&database.id) {
            pool.gate.resize(database.slots);
            return pool.clone();
        }
        let view = self.shared.look();
        pools.retain(|id, _| view.databases.contains_key(id));
        let pool = Pool::new(database.slots);
        pools.insert(database.id.clone(), pool.clone());
        pool
    }
}

fn hint(pool: &Pool, position: Option<Position>, urgency: Urgency) -> Hint {
    Hint {
        position: position.unwrap_or_default(),
        wait: pool.gate.wait(urgency),
        run: pool.gate.typical(),
        ..Hint::default()
    }
}
