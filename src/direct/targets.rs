//! This VM's connections to each database, and what it has learned about each from answers.

use crate::admission::connection::{self, Role};
use crate::clock::{Span, Time};
use crate::core::message::Hint;
use crate::core::route::{Candidate, Need, Router};
use crate::direct::adapter::Adapter;
use crate::direct::config::Database;
use crate::direct::front::Location;
use crate::direct::gate::Urgency;
use crate::direct::lead::{Epoch, Lease};
use crate::direct::outcome;
use crate::direct::owner::{self, Access, Destination, Way};
use crate::direct::pool::Pool;
use crate::direct::quota::Quotas;
use crate::direct::relay::line::Lines;
use crate::direct::statement::{Answer, Code, End};
use crate::direct::view::Shared;
use crate::types::{Birth, DatabaseId, GroupId, OrganisationId, Position};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

/// While a database is failing, one read per this interval is sent to it, to detect its recovery;
/// all others avoid it.
const PROBE_INTERVAL: Span = Span::from_millis(500);

/// How long a primary that is about to stop is still sent new work. It serves for at least 7 s after
/// it announced that, and the register is up to 2 s behind.
const LEAVING_GRACE: Span = Span::from_millis(4_500);

/// The criteria by which copies are ordered for a read.
///
/// Without regard to distance, two of three reads would cross regions, which costs an extra round
/// trip and is billed per byte. By distance alone, a slow copy would keep all reads of its region.
///
/// The router's share of a copy falls with its latency relative to the fastest copy. A copy in this
/// region is preferred unless it takes over twice as long, or this VM's limit of statements in
/// flight there is reached.
#[derive(Debug, Clone, Copy)]
pub struct Preference {
    /// Whether it is failing and was probed within [`PROBE_INTERVAL`].
    pub left_out: bool,
    /// Whether a statement would have to queue.
    pub waits: bool,
    /// Whether it is in this VM's region.
    pub near: bool,
    /// Its relative share of the load according to the router.
    pub share: f64,
}

/// Below this share a near copy is not preferred. The round trip between regions alone lowers the
/// share of a far copy to one half.
const NEAR_SHARE: f64 = 0.45;

impl Preference {
    /// The sort key; copies with equal keys keep the router's order.
    pub fn rank(&self) -> (bool, bool, bool) {
        let preferred = self.near && self.share >= NEAR_SHARE;
        (self.left_out, self.waits, !preferred)
    }
}

/// A database, and this VM's connections to it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its entry in the register.
    pub database: Rc<Database>,
    /// The connections to it.
    pub pool: Rc<Pool>,
}

/// All databases, and this VM's connections to them.
pub struct Targets {
    /// The platform.
    pub adapter: Adapter,
    /// The state shared by all tasks of this VM.
    pub shared: Rc<Shared>,
    /// Streams to the VMs that own connections.
    pub lines: Rc<Lines>,
    /// The quotas of the organisations.
    pub quotas: Rc<Quotas>,
    location: Location,
    pools: RefCell<BTreeMap<DatabaseId, Instance>>,
    routers: RefCell<BTreeMap<GroupId, Router>>,
    probed: RefCell<BTreeMap<DatabaseId, Time>>,
    /// Since when each leaving primary is known to be about to stop.
    leaving: RefCell<BTreeMap<DatabaseId, Time>>,
    access_cache: RefCell<BTreeMap<DatabaseId, CachedAccess>>,
}

/// The connections to one incarnation (life) of a database.
#[derive(Debug)]
struct Instance {
    born: Option<Birth>,
    pool: Rc<Pool>,
}

/// How a database is reached, and the inputs that this was computed from.
#[derive(Debug, Clone)]
struct CachedAccess {
    access: Rc<Access>,
    /// How it is reached for no particular organisation.
    way: Rc<Way>,
    peers_digest: u64,
    connections: u32,
    /// Whether the configuration has organisations, and whether it has priorities.
    rules: (bool, bool),
    /// The other owners, if this VM is one and they divide the slots.
    others: Rc<[SocketAddr]>,
    /// The number of connections that this VM may keep open to it.
    max_kept: u32,
    /// The number of connections that it may open, if there is a bound.
    bound: Option<u32>,
}

impl fmt::Debug for Targets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Targets").finish_non_exhaustive()
    }
}

impl Targets {
    /// Creates the set without open connections.
    pub fn new(adapter: Adapter, shared: Rc<Shared>, location: Location) -> Rc<Self> {
        let lines = Lines::new(adapter.clone());
        Rc::new(Self {
            quotas: Quotas::new(shared.clone(), lines.clone(), location.clone()),
            lines,
            adapter,
            shared,
            location,
            pools: RefCell::default(),
            routers: RefCell::default(),
            probed: RefCell::default(),
            leaving: RefCell::default(),
            access_cache: RefCell::default(),
        })
    }

    /// The time.
    pub fn now(&self) -> Time {
        (self.adapter.clock)()
    }

    /// Whether new work may be sent to a primary, which may be about to stop.
    ///
    /// It serves until it is replaced, which usually takes milliseconds. If the replacement is delayed,
    /// it may stop at any moment and lose the work that it was sent last.
    fn takes_new_work(&self, database: &Database) -> bool {
        let now = self.now();
        let mut leaving = self.leaving.borrow_mut();
        if !database.leaving {
            leaving.remove(&database.id);
            return true;
        }
        let since = leaving.entry(database.id.clone()).or_insert(now);
        now < *since + LEAVING_GRACE
    }

    /// Whether new work may start on a group's primary of `epoch`.
    pub fn may_start(&self, group: &GroupId, epoch: Epoch) -> bool {
        let lease = self.shared.get().leases.lease(group, self.now());
        lease.is_some_and(|lease| lease.epoch == epoch)
    }

    /// Whether work on a group's primary of `epoch` may continue, and its answers be passed on.
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

    /// Waits until the epoch of the usable primary differs from `epoch` (none means that there was no
    /// usable primary). Returns whether that happened within `span`.
    ///
    /// A lease on a database that is not registered or is about to stop does not count as a change:
    /// the waiting caller would retry at once, in an endless loop.
    pub async fn wait_for_primary_change(
        &self,
        group: &GroupId,
        epoch: Option<Epoch>,
        span: Span,
    ) -> bool {
        let primary_changed = async {
            loop {
                let changed = self.shared.changed();
                if self.usable_epoch(group) != epoch {
                    return;
                }
                changed.await;
            }
        };
        tokio::time::timeout(span.into(), primary_changed)
            .await
            .is_ok()
    }

    /// The epoch of the primary that is usable now.
    fn usable_epoch(&self, group: &GroupId) -> Option<Epoch> {
        let (lease, _) = self.primary(group)?;
        Some(lease.epoch)
    }

    /// Looks up a registered database.
    pub fn find(&self, id: &DatabaseId) -> Option<Target> {
        let database = self.shared.get().databases.get(id).cloned()?;
        Some(self.target(Rc::new(database)))
    }

    /// How a database is reached on behalf of an organisation, or of no particular one.
    pub fn way(&self, database: &Database, organisation: Option<&OrganisationId>) -> Rc<Way> {
        let known = self.access(database);
        let Some(organisation) = organisation else {
            return known.way;
        };
        let relay = self.location.relay;
        Rc::new(known.access.way_for(relay, &database.id, organisation))
    }

    /// The VMs through which statements on behalf of an organisation go if [`Targets::way`] leads nowhere.
    pub fn fallbacks(
        &self,
        database: &Database,
        organisation: Option<&OrganisationId>,
    ) -> Vec<SocketAddr> {
        let known = self.access(database);
        let (Some(organisation), Some(_)) = (organisation, known.bound) else {
            return Vec::new();
        };
        let relay = self.location.relay;
        let access = known.access;
        access.fallbacks_for(relay, &database.id, organisation)
    }

    /// The address at which this VM relays statements, if it does.
    pub fn relay(&self) -> Option<SocketAddr> {
        self.location.relay
    }

    /// Whether this VM owns connections to a database whose number has a bound.
    pub fn is_bounded_owner(&self, database: &Database) -> bool {
        let known = self.access(database);
        known.bound.is_some() && known.access.is_owner(self.location.relay)
    }

    /// Which VMs connect to a database; recomputed when the VMs or its connections have changed.
    fn access(&self, database: &Database) -> CachedAccess {
        let view = self.shared.get();
        let config = view.config.as_ref();
        let group = config.and_then(|config| config.groups.get(&database.group));
        let connections = group.map_or(u32::MAX, |group| group.connections);
        let has_organisations = config.is_some_and(|config| config.organisations.is_some());
        let rules = (has_organisations, view.ranks.differ());
        let peers_digest = view.peers.digest();
        let mut access_cache = self.access_cache.borrow_mut();
        if let Some(known) = access_cache.get(&database.id)
            && (known.peers_digest, known.connections) == (peers_digest, connections)
            && known.rules == rules
        {
            return known.clone();
        }
        let list = view.peers.list();
        let destination = Destination {
            id: &database.id,
            connections,
        };
        let is_near = |domain: &_| self.location.are_near(domain, &database.domain);
        let access = owner::access(list, destination, is_near);
        let relay = self.location.relay;
        let role = access.role(relay).filter(|_| has_organisations);
        let max_kept = match role {
            None | Some(Role::Owner(_)) => access.max_kept(connections, list.len()),
            Some(Role::Substitute(_) | Role::Other) => 0,
        };
        let known = CachedAccess {
            way: Rc::new(access.way(relay, &database.id)),
            max_kept,
            bound: role.map(|role| connection::bound(connections, role)),
            rules,
            others: match rules {
                (false, false) => Rc::default(),
                _ => access.other_owners(relay).into(),
            },
            access: Rc::new(access),
            peers_digest,
            connections,
        };
        access_cache.retain(|id, _| view.databases.contains_key(id));
        access_cache.insert(database.id.clone(), known.clone());
        known
    }

    /// The lowest position that includes all commits acknowledged before `since`.
    pub fn position_at(&self, group: &GroupId, since: Time) -> Option<Position> {
        let mut view = self.shared.modify_silently();
        let epoch = view.leases.known(group)?.0.epoch;
        view.fresh.forget_before(group, epoch);
        view.fresh.oldest_allowed(group, since)
    }

    /// Records that the primary of `epoch`, asked at `asked`, had reached `position`. The lease must
    /// still have been valid after the answer was read.
    pub fn learn(&self, group: &GroupId, epoch: Epoch, asked: Time, position: Position) {
        let now = self.now();
        let mut view = self.shared.modify_silently();
        view.fresh.learn(group, epoch, asked, position);
        view.watermarks.note(group, epoch, position, now);
    }

    /// Whether the answer of the primary of `epoch` to a statement sent at `asked` shows that it has
    /// lost its log. Such a primary is marked as failing.
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

    /// The copies to try before the primary for a read that needs position `after`, best first.
    pub fn copies(&self, group: &GroupId, after: Position, urgency: Urgency) -> Vec<Target> {
        let now = self.now();
        let mut copies: Vec<(Preference, Target)> = Vec::new();
        let members = self.members(group);
        let order = self.order(group, after, &members);
        for (id, near, share) in order {
            let Some(database) = members.iter().find(|database| database.id == id) else {
                continue;
            };
            let target = self.target(database.clone());
            let preference = Preference {
                left_out: self.is_left_out(&id, now),
                waits: target.pool.wait_at(now, urgency) > Span::ZERO,
                near,
                share,
            };
            copies.push((preference, target));
        }
        copies.sort_by_key(|(preference, _)| preference.rank());
        copies.into_iter().map(|(_, target)| target).collect()
    }

    fn members(&self, group: &GroupId) -> Vec<Rc<Database>> {
        let view = self.shared.get();
        let members = view.members(group).filter(|database| !database.leaving);
        members.cloned().map(Rc::new).collect()
    }

    /// The copies before the primary in the router's order, each with whether it is near and its share.
    fn order(
        &self,
        group: &GroupId,
        after: Position,
        members: &[Rc<Database>],
    ) -> Vec<(DatabaseId, bool, f64)> {
        let view = self.shared.get();
        let lead = view.leases.known(group).map(|(lead, _)| &lead.primary);
        let is_near = |database: &Database| self.location.is_near(&database.domain);
        let candidate = |database: &Rc<Database>| Candidate {
            database: database.id.clone(),
            // A near primary is treated like any other copy; a far one comes last.
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

    /// Whether a database is failing and was probed within [`PROBE_INTERVAL`]. If it is failing and was
    /// not, this call counts as the probe.
    fn is_left_out(&self, database: &DatabaseId, now: Time) -> bool {
        let report = self.shared.get().reports.report(database, now);
        if report.failing.is_none() {
            return false;
        }
        let mut probed = self.probed.borrow_mut();
        match probed.get(database) {
            Some(last) if now.since(*last) < PROBE_INTERVAL => true,
            _ => {
                probed.insert(database.clone(), now);
                false
            }
        }
    }

    /// How many statements wait before databases, and how long the one that has waited longest.
    pub fn queued(&self) -> (u64, Span) {
        let pools = self.pools.borrow();
        let gates = pools.values().map(|instance| &instance.pool.gate);
        gates.fold((0, Span::ZERO), |(count, longest), gate| {
            let count = count + u64::from(gate.load().waiting);
            (count, longest.max(gate.oldest_wait()))
        })
    }

    /// Records that a statement is being sent to a database.
    pub fn sent(&self, database: &Database) {
        if let Some(router) = self.routers.borrow_mut().get_mut(&database.group) {
            router.sent(self.now(), &database.id);
        }
    }

    /// Records that a database responded to this VM directly.
    ///
    /// Only direct responses count as evidence that a database is alive. When relayed answers and
    /// owners' queue reports counted too, 67 VMs reported an unresponsive primary as alive, and one
    /// group was refused for 9 s.
    pub fn responded(&self, database: &Database) {
        let now = self.now();
        self.shared
            .modify_silently()
            .reports
            .answered(&database.id, now);
    }

    /// Whether a database has failed and has not responded to this VM since.
    pub fn is_failing(&self, database: &Database) -> bool {
        let report = self.shared.get().reports.report(&database.id, self.now());
        report.failing.is_some()
    }

    /// Records a database's answer to another VM's statement, which was sent at `asked`.
    pub fn answered_for_peer(
        &self,
        target: &Target,
        asked: Time,
        answer: &Answer,
        urgency: Urgency,
    ) {
        self.responded(&target.database);
        match answer.end {
            End::Error { code, .. } if outcome::may_succeed_elsewhere(code) => {
                self.refused(target, answer.position, code == Code::Busy);
            }
            _ => self.answered(target, asked, answer, urgency),
        }
    }

    /// Records that a database ran a statement, which was sent at `asked`.
    pub fn answered(&self, target: &Target, asked: Time, answer: &Answer, urgency: Urgency) {
        let now = self.now();
        let database = &target.database;
        let took = now.since(asked);
        target.pool.gate.answered(took);
        self.shared.meter.answered(&database.id, took);
        let Some(position) = answer.position else {
            return;
        };
        target.pool.note_position(position, now);
        let hint = hint(&target.pool, now, position, urgency);
        if let Some(router) = self.routers.borrow_mut().get_mut(&database.group) {
            router.answered(now, &database.id, took, &hint);
        }
    }

    /// Records that a database answered that it did not run a statement.
    pub fn refused(&self, target: &Target, position: Option<Position>, busy: bool) {
        let now = self.now();
        let database = &target.database;
        if busy {
            target.pool.gate.refused(now);
        }
        let Some(position) = position else {
            return;
        };
        target.pool.note_position(position, now);
        let hint = hint(&target.pool, now, position, Urgency::MAX);
        if let Some(router) = self.routers.borrow_mut().get_mut(&database.group) {
            router.refused(now, &database.id, &hint);
        }
    }

    /// Records that a database ran a read for a caller of this VM and failed.
    pub fn erred(&self, database: &Database) {
        if let Some(router) = self.routers.borrow_mut().get_mut(&database.group) {
            router.returned_error(self.now(), &database.id);
        }
    }

    /// Records that a database could not be reached, broke the connection or does not answer.
    pub fn failed(&self, database: &Database) {
        let now = self.now();
        self.shared
            .modify_silently()
            .reports
            .failed(&database.id, now);
        self.suspect(database);
    }

    /// Records that another VM could not reach a database, or got no answer from it.
    pub fn suspect(&self, database: &Database) {
        let now = self.now();
        if let Some(router) = self.routers.borrow_mut().get_mut(&database.group) {
            router.failed(now, &database.id);
        }
    }

    fn target(&self, database: Rc<Database>) -> Target {
        let pool = self.pool(&database);
        let access = self.access(&database);
        pool.resize(access.max_kept, access.bound);
        pool.set_others(&access.others);
        Target { database, pool }
    }

    fn pool(&self, database: &Database) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        let view = self.shared.get();
        if let Some(instance) = pools.get(&database.id)
            && instance.born == database.born
        {
            instance.pool.gate.resize(database.slots);
            instance.pool.gate.arrange(view.queue_order(), &view.ranks);
            return instance.pool.clone();
        }
        // A database that restarted gets a new pool: connections, queue and position belong to its
        // previous life.
        pools.retain(|id, _| view.databases.contains_key(id));
        let pool = Pool::new(database.slots);
        pool.gate.arrange(view.queue_order(), &view.ranks);
        let instance = Instance {
            born: database.born,
            pool: pool.clone(),
        };
        pools.insert(database.id.clone(), instance);
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
