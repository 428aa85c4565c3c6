//! What this VM knows and has under way, shared by its tasks on one thread.

use crate::clock::{Span, Time};
use crate::direct::config::{Config, Database, Route};
use crate::direct::fresh::Fresh;
use crate::direct::history::History;
use crate::direct::lead::{Epoch, Lease, Leases};
use crate::direct::meter::Meter;
use crate::direct::reached::Reached;
use crate::direct::tenure::Tenure;
use crate::types::{Cores, DatabaseId, Domain, GroupId};
use serde::{Deserialize, Serialize};
use std::cell::{Ref, RefCell, RefMut};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, watch};
use xxhash_rust::xxh3::xxh3_64;

/// What is known at one moment.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration in force.
    pub config: Option<Rc<Config>>,
    /// The databases that are registered.
    pub databases: BTreeMap<DatabaseId, Database>,
    /// Who leads.
    pub book: Leases,
    /// The VMs that are registered, this one among them.
    pub fellows: Fellows,
    /// How long this VM may hand out what it keeps for others.
    pub tenure: Tenure,
    /// How far primaries have come.
    pub fresh: Fresh,
    /// How far primaries are known to have come at least.
    pub reached: Reached,
    /// How databases have answered this VM.
    pub reports: Reports,
    /// Statements and transactions on primaries that are not over.
    pub work: Work,
    /// Whether the last attempt to learn who leads failed: neither the steward nor the store answered.
    pub blind: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
}

impl View {
    /// The route for callers that name `database`.
    pub fn route(&self, database: &str) -> Option<&Route> {
        self.config.as_ref()?.routes.get(database)
    }

    /// The lease on a group's primary, and where that database is.
    ///
    /// **Failure answered.** The primary ended with all that it had, and started again under its id.
    /// **Symptom without it.** Reads miss acknowledged commits, and what is written there vanishes
    /// with the next promotion. **Why it suffices.** The lease names the birth of the database that
    /// was made primary; until the register shows the new one, positions tell ([`Reached`]).
    pub fn primary(&self, group: &GroupId, now: Time) -> Option<(Lease, &Database)> {
        let lease = self.book.lease(group, now)?;
        let database = self.databases.get(&lease.primary)?;
        (lease.born == database.born).then_some((lease, database))
    }

    /// Whether a group that has no usable primary now may have one within moments.
    ///
    /// **Pattern answered.** A replacement takes some hundred milliseconds, and the first reading of a
    /// VM that starts some ten; the store may be away for seconds. **Without it** either each
    /// replacement is an error to all callers of the group, or callers of a VM that can't serve
    /// them wait at each try for what is known not to come.
    pub fn expects_primary(&self, group: &GroupId) -> bool {
        !self.blind || self.book.is_changing(group)
    }

    /// The databases of a group that are registered.
    pub fn members<'a>(&'a self, group: &'a GroupId) -> impl Iterator<Item = &'a Database> {
        self.databases.values().filter(move |d| d.group == *group)
    }
}

/// The view as tasks share it; whoever changes it wakes those that wait for a change.
#[derive(Debug, Default)]
pub struct Shared {
    /// What is counted for the scraper.
    pub meter: Meter,
    /// A caller shows a key that this VM's configuration does not know: a newer one may.
    pub wants_config: Notify,
    view: RefCell<View>,
    changed: Notify,
    configured: watch::Sender<()>,
}

impl Shared {
    /// Looks at the view. Not to be held over an await.
    pub fn look(&self) -> Ref<'_, View> {
        self.view.borrow()
    }

    /// Changes the view without waking anyone. Not to be held over an await.
    pub fn quietly(&self) -> RefMut<'_, View> {
        self.view.borrow_mut()
    }

    /// Changes the view, and wakes all that wait for a change.
    pub fn change<T>(&self, change: impl FnOnce(&mut View) -> T) -> T {
        let result = change(&mut self.view.borrow_mut());
        self.changed.notify_waiters();
        result
    }

    /// A configuration is in force.
    pub fn configure(&self, config: Config) {
        self.change(|view| view.config = Some(Rc::new(config)));
        self.configured.send_replace(());
    }

    /// Changes with each configuration.
    pub fn configs(&self) -> watch::Receiver<()> {
        self.configured.subscribe()
    }

    /// Completes with the next change after this call.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }
}

/// A VM as the rows show it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fellow {
    /// Where it listens for other VMs.
    pub address: SocketAddr,
    /// Where it relays other VMs' statements to databases, if it does.
    pub relay: Option<SocketAddr>,
    /// Its failure domain.
    pub domain: Domain,
    /// The processor that it has.
    pub cores: Cores,
    /// Whether a steward that does not hear it has marked it.
    pub evicted: bool,
}

impl Fellow {
    /// Where it relays, unless it is evicted.
    pub fn serves(&self) -> Option<SocketAddr> {
        self.relay.filter(|_| !self.evicted)
    }
}

/// The VMs, or what changed of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FellowNews {
    /// What stands for the list that it changes; none if it is a whole list.
    pub base: Option<u64>,
    /// VMs of that list that are not there any more, or are otherwise.
    pub gone: Vec<SocketAddr>,
    /// VMs that are there now.
    pub came: Vec<Fellow>,
}

/// The addresses of VMs that only one of two lists has, or that they show differently.
fn differing(before: &[Fellow], after: &[Fellow]) -> Vec<SocketAddr> {
    let (before, after) = (before.iter().collect(), after.iter().collect());
    let differing = BTreeSet::symmetric_difference(&before, &after);
    let addresses: BTreeSet<SocketAddr> = differing.map(|one: &&Fellow| one.address).collect();
    addresses.into_iter().collect()
}

/// The VMs of the newest reading that was a lease for this VM, in order.
#[derive(Debug, Clone, Default)]
pub struct Fellows {
    list: Rc<[Fellow]>,
    digest: u64,
    since: Time,
    history: History<SocketAddr>,
}

impl Fellows {
    /// The VMs.
    pub fn list(&self) -> &Rc<[Fellow]> {
        &self.list
    }

    /// Tells this list from others; 0 while none is known.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Since when this very list is known.
    pub fn since(&self) -> Time {
        self.since
    }

    /// Takes over a list; returns whether it differs from the one known.
    pub fn learn(&mut self, mut list: Vec<Fellow>, now: Time) -> bool {
        list.sort();
        list.dedup();
        if *list == *self.list {
            return false;
        }
        let changed = differing(&self.list, &list);
        self.history.note(self.digest, changed);
        // Plain structs of names and numbers always have an encoding.
        self.digest = xxh3_64(&postcard::to_stdvec(&list).unwrap_or_default());
        self.list = list.into();
        self.since = now;
        true
    }

    /// What a VM has to be told that knows the list for which `known` stands.
    pub fn news_for(&self, known: u64) -> Option<FellowNews> {
        if known == self.digest && known != 0 {
            return None;
        }
        let Some(changed) = self.history.since(known) else {
            return Some(FellowNews {
                base: None,
                gone: Vec::new(),
                came: self.list.to_vec(),
            });
        };
        let came = self
            .list
            .iter()
            .filter(|one| changed.contains(&one.address));
        Some(FellowNews {
            base: Some(known),
            came: came.cloned().collect(),
            gone: changed.into_iter().collect(),
        })
    }

    /// Takes over what another VM told; nothing, if it is about another list than this one.
    pub fn hear(&mut self, news: FellowNews, now: Time) {
        let Some(base) = news.base else {
            self.learn(news.came, now);
            return;
        };
        if base != self.digest {
            return;
        }
        let stays = |one: &&Fellow| !news.gone.contains(&one.address);
        let mut list: Vec<Fellow> = self.list.iter().filter(stays).cloned().collect();
        list.extend(news.came);
        self.learn(list, now);
    }
}

/// How one database has answered this VM of late.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// How long ago it last answered anything, if it ever did.
    pub answered: Option<Span>,
    /// How long ago the first failure since then was: a connection refused, broken or silent.
    pub failing: Option<Span>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    answered: Option<Time>,
    failing: Option<Time>,
}

/// How databases have answered this VM.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    seen: BTreeMap<DatabaseId, Seen>,
    alarm: Rc<Notify>,
}

impl Reports {
    /// A database answered, whatever it said.
    pub fn answered(&mut self, database: &DatabaseId, now: Time) {
        let seen = self.seen.entry(database.clone()).or_default();
        seen.answered = Some(now);
        seen.failing = None;
    }

    /// A connection to a database could not be opened, broke, or stayed silent past its deadline.
    pub fn failed(&mut self, database: &DatabaseId, now: Time) {
        let seen = self.seen.entry(database.clone()).or_default();
        if seen.failing.is_none() {
            seen.failing = Some(now);
            self.alarm.notify_one();
        }
    }

    /// How it answered, as of `now`.
    pub fn report(&self, database: &DatabaseId, now: Time) -> Report {
        let seen = self.seen.get(database).copied().unwrap_or_default();
        Report {
            answered: seen.answered.map(|at| now.since(at)),
            failing: seen.failing.map(|at| now.since(at)),
        }
    }

    /// Forgets databases that are not registered any more.
    pub fn retain(&mut self, keep: impl Fn(&DatabaseId) -> bool) {
        self.seen.retain(|database, _| keep(database));
    }

    /// Rings when a database that answered begins to fail, so that the steward is told at once.
    pub fn alarm(&self) -> Rc<Notify> {
        self.alarm.clone()
    }

    /// All databases that were tried, as of `now`.
    pub fn all(&self, now: Time) -> Vec<(DatabaseId, Report)> {
        let all = self.seen.keys();
        all.map(|id| (id.clone(), self.report(id, now))).collect()
    }
}

/// Work on primaries that has started and is not over, by group and epoch. A replacement that is
/// planned waits for it.
#[derive(Debug, Clone, Default)]
pub struct Work(BTreeMap<(GroupId, Epoch), u32>);

impl Work {
    /// Something starts.
    pub fn start(&mut self, group: &GroupId, epoch: Epoch) {
        *self.0.entry((group.clone(), epoch)).or_default() += 1;
    }

    /// Something is over.
    pub fn end(&mut self, group: &GroupId, epoch: Epoch) {
        let key = (group.clone(), epoch);
        if let Some(count) = self.0.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.0.remove(&key);
            }
        }
    }

    /// Whether anything is under way at all.
    pub fn is_any(&self) -> bool {
        !self.0.is_empty()
    }

    /// Whether anything is under way in this epoch, or in one before.
    pub fn is_under_way(&self, group: &GroupId, epoch: Epoch) -> bool {
        let up_to = (group.clone(), Epoch::MIN)..=(group.clone(), epoch);
        self.0.range(up_to).next().is_some()
    }
}
