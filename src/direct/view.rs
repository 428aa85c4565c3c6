//! The state of this VM and its work in progress, shared by its tasks on one thread.

use crate::admission::Ranks;
use crate::admission::queue::Order;
use crate::clock::{Span, Time};
use crate::direct::config::{Config, Database, Route};
use crate::direct::fresh::Fresh;
use crate::direct::history::History;
use crate::direct::lead::{Epoch, Lease, Leases};
use crate::direct::meter::Meter;
use crate::direct::tenure::Tenure;
use crate::direct::watermark::Watermarks;
use crate::types::{Cores, DatabaseId, Domain, GroupId};
use serde::{Deserialize, Serialize};
use std::cell::{Ref, RefCell, RefMut};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, watch};
use xxhash_rust::xxh3::xxh3_64;

/// The state at one moment.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub config: Option<Rc<Config>>,
    /// The ranks of the priorities of its routes.
    pub ranks: Ranks,
    /// The registered databases.
    pub databases: BTreeMap<DatabaseId, Database>,
    /// Who leads each group, and this VM's leases.
    pub leases: Leases,
    /// The registered VMs, including this one.
    pub peers: Peers,
    /// How long this VM may grant tokens as an allocator.
    pub tenure: Tenure,
    /// How far the logs of primaries had come at known times.
    pub fresh: Fresh,
    /// The highest known log position of each primary.
    pub watermarks: Watermarks,
    /// When databases last answered this VM or failed.
    pub reports: Reports,
    /// Statements and transactions on primaries that have not ended.
    pub work: Work,
    /// Whether the last attempt to read who leads failed: neither the steward nor the store answered.
    pub refresh_failed: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
}

impl View {
    /// The route for callers that name `database`.
    pub fn route(&self, database: &str) -> Option<&Route> {
        self.config.as_ref()?.routes.get(database)
    }

    /// The order of the queues in front of databases. Without allowances and with one priority it is that of
    /// arrival.
    pub fn queue_order(&self) -> Order {
        let config = self.config.as_ref();
        let organisations = config.and_then(|config| config.organisations.as_ref());
        let limited = organisations.is_some_and(|one| !one.allowances.is_empty());
        match limited || self.ranks.differ() {
            true => Order::Fair,
            false => Order::Priority,
        }
    }

    /// The lease on a group's primary, and the database's registration.
    ///
    /// A primary may lose all its data and start again under its id. Reads there would miss acknowledged
    /// commits, and writes there would be lost with the next promotion. The lease names the birth of the
    /// database that was promoted; until the register shows the new one, [`Watermarks`] detects the lost log.
    pub fn primary(&self, group: &GroupId, now: Time) -> Option<(Lease, &Database)> {
        let lease = self.leases.lease(group, now)?;
        let database = self.databases.get(&lease.primary)?;
        (lease.born == database.born).then_some((lease, database))
    }

    /// Whether a group that has no usable primary now is likely to have one soon, so that callers wait.
    ///
    /// A replacement takes some hundred milliseconds, and the first reading of a VM that starts some ten, but
    /// the store may be unreachable for seconds. Without this check, either each replacement is an error to
    /// all callers of the group, or callers of a VM that can't serve them wait in vain at each try.
    pub fn expects_primary(&self, group: &GroupId) -> bool {
        !self.refresh_failed || self.leases.is_changing(group)
    }

    /// The registered databases of a group.
    pub fn members<'a>(&'a self, group: &'a GroupId) -> impl Iterator<Item = &'a Database> {
        self.databases.values().filter(move |d| d.group == *group)
    }
}

/// The view as tasks share it, with notifications of changes.
#[derive(Debug, Default)]
pub struct Shared {
    /// The metrics of this VM.
    pub meter: Meter,
    /// Notified when a caller presents a key that is not in this VM's configuration; a newer one may have it.
    pub wants_config: Notify,
    view: RefCell<View>,
    changed: Notify,
    configured: watch::Sender<()>,
}

impl Shared {
    /// Borrows the view. Must not be held across an await.
    pub fn get(&self) -> Ref<'_, View> {
        self.view.borrow()
    }

    /// Borrows the view mutably, without waking waiting tasks. Must not be held across an await.
    pub fn modify_silently(&self) -> RefMut<'_, View> {
        self.view.borrow_mut()
    }

    /// Changes the view, and wakes all tasks that wait for a change.
    pub fn modify<T>(&self, change: impl FnOnce(&mut View) -> T) -> T {
        let result = change(&mut self.view.borrow_mut());
        self.changed.notify_waiters();
        result
    }

    /// Puts a configuration in force.
    pub fn configure(&self, config: Config) {
        let ranks = Ranks::new(config.routes.values().map(|route| route.priority));
        self.modify(|view| {
            view.ranks = ranks;
            view.config = Some(Rc::new(config));
        });
        self.configured.send_replace(());
    }

    /// A receiver that is notified of each configuration.
    pub fn configs(&self) -> watch::Receiver<()> {
        self.configured.subscribe()
    }

    /// Completes with the next change after this call.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }
}

/// Another registered VM, or this one, as its row in the store shows it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// The address at which it listens for other VMs.
    pub address: SocketAddr,
    /// The address at which it relays other VMs' statements to databases, if it does.
    pub relay: Option<SocketAddr>,
    /// Its failure domain.
    pub domain: Domain,
    /// Its processor cores.
    pub cores: Cores,
    /// Whether a steward that received no heartbeats from it has evicted it.
    pub evicted: bool,
}

impl Peer {
    /// Its relay address, unless it is evicted.
    pub fn serves(&self) -> Option<SocketAddr> {
        self.relay.filter(|_| !self.evicted)
    }
}

/// The list of VMs, or the changes to a list that the receiver has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// The digest of the list that it changes; `None` if this is a complete list.
    pub base: Option<u64>,
    /// VMs of that list that were removed or have changed.
    pub removed: Vec<SocketAddr>,
    /// VMs that were added or have changed.
    pub added: Vec<Peer>,
}

/// The addresses of VMs that differ between two lists, or are in one of them only.
fn differing(before: &[Peer], after: &[Peer]) -> Vec<SocketAddr> {
    let (before, after) = (before.iter().collect(), after.iter().collect());
    let differing = BTreeSet::symmetric_difference(&before, &after);
    let addresses: BTreeSet<SocketAddr> = differing.map(|peer: &&Peer| peer.address).collect();
    addresses.into_iter().collect()
}

/// The VMs, in order, of the newest reading of the store that gave this VM a lease.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    list: Rc<[Peer]>,
    digest: u64,
    since: Time,
    history: History<SocketAddr>,
}

impl Peers {
    /// The VMs.
    pub fn list(&self) -> &Rc<[Peer]> {
        &self.list
    }

    /// The digest of this list; 0 while none is known.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Since when this list is known.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Replaces the list; returns whether it differs from the previous one.
    pub fn replace(&mut self, mut list: Vec<Peer>, now: Time) -> bool {
        list.sort();
        list.dedup();
        if *list == *self.list {
            return false;
        }
        let changed = differing(&self.list, &list);
        self.history.note(self.digest, changed);
        // Encoding plain structs of names and numbers does not fail.
        self.digest = xxh3_64(&postcard::to_stdvec(&list).unwrap_or_default());
        self.list = list.into();
        self.since = now;
        true
    }

    /// The update for a VM that has the list with the digest `known`; `None` if it is up to date.
    pub fn update_for(&self, known: u64) -> Option<PeerUpdate> {
        if known == self.digest && known != 0 {
            return None;
        }
        let Some(changed) = self.history.since(known) else {
            return Some(PeerUpdate {
                base: None,
                removed: Vec::new(),
                added: self.list.to_vec(),
            });
        };
        let added = self
            .list
            .iter()
            .filter(|peer| changed.contains(&peer.address));
        Some(PeerUpdate {
            base: Some(known),
            added: added.cloned().collect(),
            removed: changed.into_iter().collect(),
        })
    }

    /// Applies an update from another VM; ignores it if it changes another list than this one.
    pub fn apply(&mut self, update: PeerUpdate, now: Time) {
        let Some(base) = update.base else {
            self.replace(update.added, now);
            return;
        };
        if base != self.digest {
            return;
        }
        let stays = |peer: &&Peer| !update.removed.contains(&peer.address);
        let mut list: Vec<Peer> = self.list.iter().filter(stays).cloned().collect();
        list.extend(update.added);
        self.replace(list, now);
    }
}

/// When one database last answered this VM, and since when it has failed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// How long ago it last answered, if it ever did.
    pub answered: Option<Span>,
    /// How long ago the first failure after that was: a connection refused, broken or timed out.
    pub failing: Option<Span>,
}

/// The times from which a [`Report`] is made.
#[derive(Debug, Clone, Copy, Default)]
struct Contact {
    answered: Option<Time>,
    failing: Option<Time>,
}

/// When each database last answered this VM or failed.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    contacts: BTreeMap<DatabaseId, Contact>,
    alarm: Rc<Notify>,
}

impl Reports {
    /// Records that a database answered, with success or not.
    pub fn answered(&mut self, database: &DatabaseId, now: Time) {
        let contact = self.contacts.entry(database.clone()).or_default();
        contact.answered = Some(now);
        contact.failing = None;
    }

    /// Records that a connection to a database could not be opened, broke, or timed out.
    pub fn failed(&mut self, database: &DatabaseId, now: Time) {
        let contact = self.contacts.entry(database.clone()).or_default();
        if contact.failing.is_none() {
            contact.failing = Some(now);
            self.alarm.notify_one();
        }
    }

    /// The report on one database as of `now`.
    pub fn report(&self, database: &DatabaseId, now: Time) -> Report {
        let contact = self.contacts.get(database).copied().unwrap_or_default();
        Report {
            answered: contact.answered.map(|at| now.since(at)),
            failing: contact.failing.map(|at| now.since(at)),
        }
    }

    /// Drops databases that are no longer registered.
    pub fn retain(&mut self, keep: impl Fn(&DatabaseId) -> bool) {
        self.contacts.retain(|database, _| keep(database));
    }

    /// Notified when a database begins to fail, so that it is reported to the steward at once.
    pub fn alarm(&self) -> Rc<Notify> {
        self.alarm.clone()
    }

    /// The reports on all databases that were tried, as of `now`.
    pub fn all(&self, now: Time) -> Vec<(DatabaseId, Report)> {
        let all = self.contacts.keys();
        all.map(|id| (id.clone(), self.report(id, now))).collect()
    }
}

/// Counts of statements and transactions in progress on primaries, by group and epoch. A planned
/// replacement waits for them.
#[derive(Debug, Clone, Default)]
pub struct Work(BTreeMap<(GroupId, Epoch), u32>);

impl Work {
    /// Records that a statement or transaction starts.
    pub fn start(&mut self, group: &GroupId, epoch: Epoch) {
        *self.0.entry((group.clone(), epoch)).or_default() += 1;
    }

    /// Records that a statement or transaction has ended.
    pub fn end(&mut self, group: &GroupId, epoch: Epoch) {
        let key = (group.clone(), epoch);
        if let Some(count) = self.0.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.0.remove(&key);
            }
        }
    }

    /// Whether any work is in progress.
    pub fn is_any(&self) -> bool {
        !self.0.is_empty()
    }

    /// Whether work is in progress in this epoch of a group, or in an earlier one.
    pub fn is_under_way(&self, group: &GroupId, epoch: Epoch) -> bool {
        let up_to = (group.clone(), Epoch::MIN)..=(group.clone(), epoch);
        self.0.range(up_to).next().is_some()
    }
}
