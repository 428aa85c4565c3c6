//! What this VM has open to each database, and what it has learned of it.

use crate::clock::{Span, Time};
use crate::core::message::Hint;
use crate::core::route::{Candidate, Need, Router};
use crate::direct::adapter::Adapter;
use crate::direct::config::Database;
use crate::direct::front::Place;
use crate::direct::gate::Urgency;
use crate::direct::lead::{Epoch, Lease};
use crate::direct::outcome;
use crate::direct::owner::{self, Access, Goal, Way};
use crate::direct::pool::Pool;
use crate::direct::quota::Quotas;
use crate::direct::relay::line::Lines;
use crate::direct::statement::{Answer, Code, End};
use crate::direct::view::Shared;
use crate::types::{Birth, DatabaseId, GroupId, OrganisationId, Position};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

/// A database that failed and has answered nothing since is left out by all but one read in this
/// time, which finds out whether it is back.
const PROBE: Span = Span::from_millis(500);

/// How long a primary that is about to end still takes new work: it serves for at least 7 s after it
/// said so, and the register is up to 2 s behind.
const LEAVING: Span = Span::from_millis(4_500);

/// What decides which copy serves a read.
///
/// **Pattern answered.** Copies in other regions beside one near by, which is as good unless it is
/// slow or full.
/// **Without it** two reads of three cross regions, which takes a round trip more and is paid by
/// the byte; with distance alone a slow copy keeps the reads of its whole region.
///
/// The router's share falls with the time that a copy takes against the fastest. A near copy goes
/// first unless it takes over twice as long, or this VM has as much under way there as it may.
#[derive(Debug, Clone, Copy)]
pub struct Standing {
    /// Whether it failed, and was tried lately.
    pub left_out: bool,
    /// Whether a statement would wait here for others to end.
    pub waits: bool,
    /// Whether it is in this VM's region.
    pub near: bool,
    /// Its share of a fair load, by the router.
    pub share: f64,
}

/// A near copy below this share is a copy like others: a round trip between regions alone takes
/// a far one to a half.
const NEAR_SHARE: f64 = 0.45;

impl Standing {
    /// What to sort copies by, which the router has put in order.
    pub fn rank(&self) -> (bool, bool, bool) {
        let preferred = self.near && self.share >= NEAR_SHARE;
        (self.left_out, self.waits, !preferred)
    }
}

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
    /// Streams to owners of databases.
    pub lines: Rc<Lines>,
    /// What organisations may ask for.
    pub quotas: Rc<Quotas>,
    place: Place,
    pools: RefCell<BTreeMap<DatabaseId, Opened>>,
    routers: RefCell<BTreeMap<GroupId, Router>>,
    probed: RefCell<BTreeMap<DatabaseId, Time>>,
    /// Since when primaries are known to be about to end.
    leaving: RefCell<BTreeMap<DatabaseId, Time>>,
    ways: RefCell<BTreeMap<DatabaseId, Known>>,
}

/// Connections to one life of a database.
#[derive(Debug)]
struct Opened {
    born: Option<Birth>,
    pool: Rc<Pool>,
}

/// How a database is reached, and what that was found from.
#[derive(Debug, Clone)]
struct Known {
    access: Rc<Access>,
    /// For whoever asks on nobody's behalf.
    way: Rc<Way>,
    fellows: u64,
    connections: u32,
    /// Connections that this VM may keep open there.
    places: u32,
}

impl fmt::Debug for Targets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Targets").finish_non_exhaustive()
    }
}

impl Targets {
    /// Nothing is open.
    pub fn new(adapter: Adapter, shared: Rc<Shared>, place: Place) -> Rc<Self> {
        let lines = Lines::new(adapter.clone());
        Rc::new(Self {
            quotas: Quotas::new(shared.clone(), lines.clone(), place.clone()),
            lines,
            adapter,
            shared,
            place,
            pools: RefCell::default(),
            routers: RefCell::default(),
            probed: RefCell::default(),
            leaving: RefCell::default(),
            ways: RefCell::default(),
        })
    }

    /// The time.
    pub fn now(&self) -> Time {
        (self.adapter.clock)()
    }

    /// Whether new work may go to a primary that may be about to end.
    ///
    /// It goes on to serve until it is replaced, which takes milliseconds as a rule. Where that is held
    /// up, it may end at any moment, and what it was sent last would be lost with it.
    fn takes_new_work(&self, database: &Database) -> bool {
        let now = self.now();
        let mut leaving = self.leaving.borrow_mut();
        if !database.leaving {
            leaving.remove(&database.id);
            return true;
        }
        let since = leaving.entry(database.id.clone()).or_insert(now);
        now < *since + LEAVING
    }

    /// Whether something new may start on a group's primary of `epoch`.
    pub fn may_start(&self, group: &GroupId, epoch: Epoch) -> bool {
        let lease = self.shared.get().leases.lease(group, self.now());
        lease.is_some_and(|lease| lease.epoch == epoch)
    }

    /// Whether what started on a group's primary of `epoch` may go on, or be passed on.
    pub fn holds(&self, group: &GroupId, epoch: Epoch) -> bool {
        self.shared.get().leases.holds(group, epoch, self.now())
    }

    /// A group's primary, and the lease on it.
    pub fn primary(&self, group: &GroupId) -> Option<(Lease, Target)> {
        let (lease, database) = {
            let view = self.shared.get();
            let (lease, database) = view.primary(group, self.now())?;
            (lease, Rc::new(database.clone()))
        };
        if !self.takes_new_work(&database) {
            return None;
        }
        Some((lease, self.target(database)))
    }

    /// Waits until the primary that may be used is not that of `epoch` any more (none, if there
    /// was none); tells whether that came within `span`.
    ///
    /// A lease on a database that is not registered, or is about to end, is no use: taken for
    /// news, it would let whoever waits ask again at once and for ever.
    pub async fn wait_for_news(&self, group: &GroupId, epoch: Option<Epoch>, span: Span) -> bool {
        let news = async {
            loop {
                let changed = self.shared.changed();
                if self.usable_epoch(group) != epoch {
                    return;
                }
                changed.await;
            }
        };
        tokio::time::timeout(span.into(), news).await.is_ok()
    }

    /// The epoch of the primary that may be used now.
    fn usable_epoch(&self, group: &GroupId) -> Option<Epoch> {
        let (lease, _) = self.primary(group)?;
        Some(lease.epoch)
    }

    /// A database that is registered.
    pub fn find(&self, id: &DatabaseId) -> Option<Target> {
        let database = self.shared.get().databases.get(id).cloned()?;
        Some(self.target(Rc::new(database)))
    }

    /// How a database is reached on behalf of an organisation, or of nobody in particular.
    pub fn way(&self, database: &Database, organisation: Option<&OrganisationId>) -> Rc<Way> {
        let known = self.access(database);
        let Some(organisation) = organisation else {
            return known.way;
        };
        let relay = self.place.relay;
        Rc::new(known.access.way_for(relay, &database.id, organisation))
    }

    /// Who connects to a database: found anew when the VMs or its connections have changed.
    fn access(&self, database: &Database) -> Known {
        let view = self.shared.get();
        let config = view.config.as_ref();
        let group = config.and_then(|config| config.groups.get(&database.group));
        let connections = group.map_or(u32::MAX, |group| group.connections);
        let fellows = view.peers.digest();
        let mut ways = self.ways.borrow_mut();
        if let Some(known) = ways.get(&database.id)
            && (known.fellows, known.connections) == (fellows, connections)
        {
            return known.clone();
        }
        let list = view.peers.list();
        let goal = Goal {
            id: &database.id,
            connections,
        };
        let is_near = |domain: &_| self.place.are_near(domain, &database.domain);
        let access = owner::access(list, goal, is_near);
        let known = Known {
            way: Rc::new(access.way(self.place.relay, &database.id)),
            places: access.places(connections, list.len()),
            access: Rc::new(access),
            fellows,
            connections,
        };
        ways.retain(|id, _| view.databases.contains_key(id));
        ways.insert(database.id.clone(), known.clone());
        known
    }

    /// The least position that holds all commits acknowledged before `since`.
    pub fn position_at(&self, group: &GroupId, since: Time) -> Option<Position> {
        let mut view = self.shared.modify_silently();
        let epoch = view.leases.known(group)?.0.epoch;
        view.fresh.forget_before(group, epoch);
        view.fresh.oldest_allowed(group, since)
    }

    /// The primary of `epoch`, asked at `asked`, has come to `position`; the lease held after it
    /// had answered.
    pub fn learn(&self, group: &GroupId, epoch: Epoch, asked: Time, position: Position) {
        let now = self.now();
        let mut view = self.shared.modify_silently();
        view.fresh.learn(group, epoch, asked, position);
        view.watermarks.note(group, epoch, position, now);
    }

    /// Whether an answer of the primary of `epoch` to a statement sent at `asked` shows that it has
    /// lost its log; such a primary counts as failing.
    pub fn has_lost_log(
        &self,
        target: &Target,
        epoch: Epoch,
        asked: Time,
        position: Position,
    ) -> bool {
        let database = &target.database;
        let view = self.shared.get();
        let lost = view
            .watermarks
            .is_lost(&database.group, epoch, position, asked);
        drop(view);
        if lost {
            log::warn!(
                group:% = database.group, database:% = database.id, epoch, position:%;
                "a primary has less than it had: its answer is not passed on"
            );
            self.failed(database);
        }
        lost
    }

    /// The copies to try for a read that needs `after`, best first, as far as they come before
    /// the primary.
    pub fn copies(&self, group: &GroupId, after: Position, urgency: Urgency) -> Vec<Target> {
        let now = self.now();
        let mut copies: Vec<(Standing, Target)> = Vec::new();
        let members = self.members(group);
        let order = self.order(group, after, &members);
        for (id, near, share) in order {
            let Some(database) = members.iter().find(|database| database.id == id) else {
                continue;
            };
            let target = self.target(database.clone());
            let standing = Standing {
                left_out: self.is_left_out(&id, now),
                waits: target.pool.wait_at(now, urgency) > Span::ZERO,
                near,
                share,
            };
            copies.push((standing, target));
        }
        copies.sort_by_key(|(standing, _)| standing.rank());
        copies.into_iter().map(|(_, target)| target).collect()
    }

    fn members(&self, group: &GroupId) -> Vec<Rc<Database>> {
        let view = self.shared.get();
        let members = view.members(group).filter(|database| !database.leaving);
        members.cloned().map(Rc::new).collect()
    }

    /// The copies in the router's order, with what decides about distance.
    fn order(
        &self,
        group: &GroupId,
        after: Position,
        members: &[Rc<Database>],
    ) -> Vec<(DatabaseId, bool, f64)> {
        let view = self.shared.get();
        let lead = view.leases.known(group).map(|(lead, _)| &lead.primary);
        let is_near = |database: &Database| self.place.is_near(&database.domain);
        let candidate = |database: &Rc<Database>| Candidate {
            database: database.id.clone(),
            // The primary near by is a copy like others; a far one comes last.
            primary: Some(&database.id) == lead && !is_near(database),
            near: is_near(database),
        };
        let candidates: Vec<Candidate> = members.iter().map(candidate).collect();
        let need = Need {
            floor: Some(after),
            max_age: None,
        };
        let mut routers = self.routers.borrow_mut();
        let router = routers.entry(group.clone()).or_default();
        let order = router.order(self.now(), &need, &candidates);
        let found = order.into_iter().map_while(|id| {
            let candidate = candidates.iter().find(|one| one.database == id)?;
            let share = router.share(&id);
            (!candidate.primary).then_some((id, candidate.near, share))
        });
        found.collect()
    }

    /// Whether a database failed, has not answered since, and was tried lately.
    fn is_left_out(&self, database: &DatabaseId, now: Time) -> bool {
        let report = self.shared.get().reports.report(database, now);
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

    /// A database said something to this VM itself, which is its word on whether it answers.
    ///
    /// **Failure answered.** A primary goes dark whose statements most VMs send by way of a few others.
    /// **Symptom without it.** What those others say of their queues, and answers from a second before,
    /// count as the word of 67 VMs for the primary, and one group is refused for 9 s. **Why it
    /// suffices.** Only those that talk to the database have an opinion of it.
    pub fn answers(&self, database: &Database) {
        let now = self.now();
        self.shared
            .modify_silently()
            .reports
            .answered(&database.id, now);
    }

    /// Whether a database has failed and answered nothing to this VM since.
    pub fn is_failing(&self, database: &Database) -> bool {
        let report = self.shared.get().reports.report(&database.id, self.now());
        report.failing.is_some()
    }

    /// A database answered a statement of another VM that was sent at `asked`.
    pub fn heard(&self, target: &Target, asked: Time, answer: &Answer, urgency: Urgency) {
        self.answers(&target.database);
        match answer.end {
            End::Error { code, .. } if outcome::may_do_elsewhere(code) => {
                self.refused(target, answer.position, code == Code::Busy);
            }
            _ => self.answered(target, asked, answer, urgency),
        }
    }

    /// A database ran a statement that was sent at `asked`.
    pub fn answered(&self, target: &Target, asked: Time, answer: &Answer, urgency: Urgency) {
        let now = self.now();
        let database = &target.database;
        let took = now.since(asked);
        target.pool.gate.answered(took);
        self.shared.meter.answered(&database.id, took);
        let Some(position) = answer.position else {
            return;
        };
        target.pool.has(position, now);
        let hint = hint(&target.pool, now, position, urgency);
        if let Some(router) = self.routers.borrow_mut().get_mut(&database.group) {
            router.answered(now, &database.id, took, &hint);
        }
    }

    /// A database answered that it did not run a statement.
    pub fn refused(&self, target: &Target, position: Option<Position>, busy: bool) {
        let now = self.now();
        let database = &target.database;
        if busy {
            target.pool.gate.refused(now);
        }
        let Some(position) = position else {
            return;
        };
        target.pool.has(position, now);
        let hint = hint(&target.pool, now, position, Urgency::MAX);
        if let Some(router) = self.routers.borrow_mut().get_mut(&database.group) {
            router.refused(now, &database.id, &hint);
        }
    }

    /// A database ran a read of this VM's caller and failed.
    pub fn erred(&self, database: &Database) {
        if let Some(router) = self.routers.borrow_mut().get_mut(&database.group) {
            router.erred(self.now(), &database.id);
        }
    }

    /// A database could not be reached, broke off or stays silent.
    pub fn failed(&self, database: &Database) {
        let now = self.now();
        self.shared
            .modify_silently()
            .reports
            .failed(&database.id, now);
        self.doubt(database);
    }

    /// Another VM could not reach a database, or had no answer of it.
    pub fn doubt(&self, database: &Database) {
        let now = self.now();
        if let Some(router) = self.routers.borrow_mut().get_mut(&database.group) {
            router.failed(now, &database.id);
        }
    }

    fn target(&self, database: Rc<Database>) -> Target {
        let pool = self.pool(&database);
        pool.resize(self.access(&database).places);
        Target { database, pool }
    }

    fn pool(&self, database: &Database) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        if let Some(opened) = pools.get(&database.id)
            && opened.born == database.born
        {
            opened.pool.gate.resize(database.slots);
            return opened.pool.clone();
        }
        // Also for one that started again: its connections, queue and position are of its life before.
        let view = self.shared.get();
        pools.retain(|id, _| view.databases.contains_key(id));
        let pool = Pool::new(database.slots);
        let opened = Opened {
            born: database.born,
            pool: pool.clone(),
        };
        pools.insert(database.id.clone(), opened);
        if let Some(router) = self.routers.borrow_mut().get_mut(&database.group) {
            router.forget(&database.id);
        }
        pool
    }
}

fn hint(pool: &Pool, now: Time, position: Position, urgency: Urgency) -> Hint {
    Hint {
        position,
        wait: pool.wait_at(now, urgency),
        run: pool.gate.typical(),
        ..Hint::default()
    }
}
