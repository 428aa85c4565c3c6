//! A group of databases: replication, promotion, crashes and planned changes.

use crate::clock::Span;
use crate::direct::adapter::Promoted;
use crate::direct::statement::Code;
use crate::direct::table::RowId;
use crate::standin::direct::database::Database;
use crate::standin::direct::journal::{Commit, Failover, Journal, Write};
use crate::standin::direct::network::{Network, Node};
use crate::standin::direct::store::Store;
use crate::types::{DatabaseId, GroupId, Position};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

/// The store's table in which databases register.
pub const REGISTER: &str = "databases";

/// How long a database takes to report a change to the store.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// How long after a database's crash its entry is removed from the register.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3_600);

/// How long a replaced primary goes on as primary after its successor reaches it.
const STEP_DOWN_DELAY: Duration = Duration::from_secs(1);

/// A group of databases that replicate one log.
pub struct Group {
    /// The group's id.
    pub id: GroupId,
    /// Whether a commit waits until a replica has received it.
    pub durable: bool,
    /// How long a promotion takes.
    pub promotion: Duration,
    network: Rc<Network>,
    store: Rc<Store>,
    /// The events of all databases.
    pub journal: Journal,
    members: RefCell<Vec<Rc<Database>>>,
    leader: RefCell<DatabaseId>,
    promoting: RefCell<Option<DatabaseId>>,
    received: Notify,
    replacements: Cell<u32>,
}

impl fmt::Debug for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Group")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl Group {
    /// Creates a group whose first member is the primary, and registers its members.
    pub fn new(
        id: GroupId,
        durable: bool,
        promotion: Duration,
        network: Rc<Network>,
        store: Rc<Store>,
        journal: Journal,
        members: Vec<Rc<Database>>,
    ) -> Rc<Self> {
        let leader = members[0].spec.id.clone();
        let group = Rc::new(Self {
            id,
            durable,
            promotion,
            network,
            store,
            journal,
            members: RefCell::new(members),
            leader: RefCell::new(leader),
            promoting: RefCell::default(),
            received: Notify::new(),
            replacements: Cell::new(0),
        });
        for member in group.members() {
            group.write_entry(&member);
        }
        group
    }

    /// Its databases, including those that are down.
    pub fn members(&self) -> Vec<Rc<Database>> {
        self.members.borrow().clone()
    }

    /// A member by its id.
    pub fn member(&self, id: &DatabaseId) -> Option<Rc<Database>> {
        let members = self.members.borrow();
        members.iter().find(|m| m.spec.id == *id).cloned()
    }

    /// The database that was promoted last, whatever others consider themselves.
    pub fn leader(&self) -> DatabaseId {
        self.leader.borrow().clone()
    }

    /// Commits writes at a database and replicates them. Returns the commit's number. In a durable
    /// group this waits, for ever if need be, until a replica has received the commit.
    ///
    /// Fails with [`Code::NotPrimary`] if the database is not primary any more, and with
    /// [`Code::Late`] if it was replaced during the wait.
    pub async fn commit(
        self: &Rc<Self>,
        database: &Rc<Database>,
        writes: Vec<Write>,
    ) -> Result<u64, Code> {
        if !database.state.borrow().primary {
            return Err(Code::NotPrimary);
        }
        let replaced = self.leader() != database.spec.id;
        let now = Instant::now();
        let before = database.received();
        let commit = Commit {
            group: self.id.clone(),
            database: database.spec.id.clone(),
            position: database.append(),
            writes,
            at: now,
            durable: self.durable,
            replaced,
            lost: replaced.then_some(now),
        };
        let position = commit.position;
        let number = self.journal.borrow_mut().record_commit(commit, before);
        self.replicate_to_all(database);
        while self.durable && !self.is_received(database, position) {
            self.received.notified().await;
            if !database.has_received(position) {
                return Err(Code::Late);
            }
        }
        Ok(number)
    }

    /// Whether a replica of `primary` has received the entry at a position.
    fn is_received(&self, primary: &Rc<Database>, position: Position) -> bool {
        let members = self.members.borrow();
        let mut replicas = members.iter().filter(|m| !Rc::ptr_eq(m, primary));
        replicas.any(|replica| replica.has_received(position))
    }

    /// Replicates the log of a database to all other members.
    fn replicate_to_all(self: &Rc<Self>, from: &Rc<Database>) {
        for to in self.members() {
            if to.spec.id != from.spec.id {
                self.start_replication(from, &to);
            }
        }
    }

    fn start_replication(self: &Rc<Self>, from: &Rc<Database>, to: &Rc<Database>) {
        // A primary that restarts has nothing to receive from itself.
        if Rc::ptr_eq(from, to) {
            return;
        }
        let (group, from, to) = (self.clone(), from.clone(), to.clone());
        self.network.spawn(async move {
            group.replicate(&from, &to).await;
        });
    }

    async fn replicate(self: &Rc<Self>, from: &Rc<Database>, to: &Rc<Database>) {
        let life = from.life();
        let (term, count) = {
            let state = from.state.borrow();
            (state.term, state.log.len())
        };
        sleep(self.network.delay(&from.node(), &to.node())).await;
        if !self.can_replicate(from, to) {
            self.wait_until_replicating(from, to).await;
        }
        if to.state.borrow().primary && to.state.borrow().term < term {
            sleep(STEP_DOWN_DELAY).await;
            self.wait_until_replicating(from, to).await;
        }
        let demoted = {
            let state = from.state.borrow();
            if state.term != term || (from.life() != life) {
                return;
            }
            to.receive(&state.log, term, count)
        };
        if demoted {
            self.report(to);
        }
        self.received.notify_waiters();
        sleep(to.spec.lag + to.faults.lag.get()).await;
        to.apply(term, count);
    }

    fn can_replicate(&self, from: &Database, to: &Database) -> bool {
        let reaches = self.network.reaches(&from.node(), &to.node());
        reaches && to.life().is_some() && !to.faults.deaf.get()
    }

    async fn wait_until_replicating(&self, from: &Database, to: &Database) {
        loop {
            let changed = to.changed.notified();
            let network = self.network.change();
            if self.can_replicate(from, to) {
                return;
            }
            tokio::select! {
                biased;
                () = changed => {}
                () = network => {}
            }
        }
    }

    /// Executes an order to promote a database.
    pub fn promote(self: &Rc<Self>, id: &DatabaseId) -> Promoted {
        let Some(database) = self.member(id) else {
            return Promoted::NotRunning;
        };
        let life = database.life();
        if life.is_none() || !self.network.reaches(&Node::Orders, &database.node()) {
            return Promoted::NotRunning;
        }
        // As the platform defines: promoting the current primary succeeds, even during another
        // promotion.
        if self.leader() == *id {
            return Promoted::Done;
        }
        if let Some(promoting) = &*self.promoting.borrow() {
            return match promoting == id {
                true => Promoted::Done,
                false => Promoted::Refused,
            };
        }
        *self.promoting.borrow_mut() = Some(id.clone());
        let group = self.clone();
        self.network.spawn(async move {
            sleep(group.promotion).await;
            *group.promoting.borrow_mut() = None;
            if database.life() == life {
                group.lead(&database);
            }
        });
        Promoted::Done
    }

    fn lead(self: &Rc<Self>, database: &Rc<Database>) {
        let members = self.members();
        let terms = members.iter().map(|m| m.state.borrow().term);
        let term = terms.max().unwrap_or(0) + 1;
        database.lead(term);
        *self.leader.borrow_mut() = database.spec.id.clone();
        let now = Instant::now();
        let mut journal = self.journal.borrow_mut();
        let mut commits = std::mem::take(&mut journal.commits);
        for commit in commits.iter_mut().filter(|c| c.group == self.id) {
            if !database.has(commit.position) {
                commit.lost.get_or_insert(now);
            }
        }
        journal.commits = commits;
        journal.failovers.push(Failover {
            group: self.id.clone(),
            database: database.spec.id.clone(),
            at: now,
        });
        drop(journal);
        self.report(database);
        self.replicate_to_all(database);
    }

    /// Crashes a database. Its entry is removed from the register later, unless it is back by then.
    pub fn crash(self: &Rc<Self>, database: &Rc<Database>) {
        database.set_running(false);
        let node = database.node();
        self.network.reset(|_, to| *to == node);
        let (group, database) = (self.clone(), database.clone());
        self.network.spawn(async move {
            sleep(ENTRY_EXPIRY).await;
            if database.life().is_none() {
                group.remove_entry(&database);
            }
        });
    }

    /// Restarts a crashed database with its log, as a replica if another leads.
    pub fn restart(self: &Rc<Self>, database: &Rc<Database>) {
        database.set_running(true);
        if self.leader() != database.spec.id {
            database.state.borrow_mut().primary = false;
        }
        self.report(database);
        if let Some(leader) = self.member(&self.leader()) {
            self.start_replication(&leader, database);
        }
        self.replicate_to_all_if_primary(database);
    }

    /// Restarts a crashed database under the same id without its data.
    pub fn restart_empty(self: &Rc<Self>, database: &Rc<Database>) {
        database.forget();
        self.restart(database);
    }

    fn replicate_to_all_if_primary(self: &Rc<Self>, database: &Rc<Database>) {
        if database.state.borrow().primary {
            self.replicate_to_all(database);
        }
    }

    /// Decommissions a database and replaces it by a new one at its address.
    pub fn leave(self: &Rc<Self>, database: &Rc<Database>, drain: Span) {
        database.state.borrow_mut().leaving = true;
        self.report(database);
        let (group, database) = (self.clone(), database.clone());
        self.network.spawn(async move {
            sleep(Duration::from(drain) + REPORT_DELAY).await;
            group.replace(&database);
        });
    }

    fn replace(self: &Rc<Self>, old: &Rc<Database>) {
        old.set_running(false);
        let node = old.node();
        self.network.reset(|_, to| *to == node);
        self.remove_entry(old);
        self.replacements.set(self.replacements.get() + 1);
        let mut spec = old.spec.clone();
        let id = format!("{}.{}", spec.id, self.replacements.get());
        let Ok(id) = id.parse() else { return };
        spec.id = id;
        let (term, log) = {
            let state = old.state.borrow();
            (state.term, state.log.clone())
        };
        let new = Database::new(spec, false, term, log);
        self.network.place_like(&new.node(), &old.node());
        let mut members = self.members.borrow_mut();
        members.retain(|member| member.spec.id != old.spec.id);
        members.push(new.clone());
        drop(members);
        self.report(&new);
        if let Some(leader) = self.member(&self.leader()) {
            self.start_replication(&leader, &new);
        }
    }

    /// Writes a database's entry to the store, as soon as it reaches it.
    pub fn report(self: &Rc<Self>, database: &Rc<Database>) {
        let (group, database) = (self.clone(), database.clone());
        self.network.spawn(async move {
            sleep(REPORT_DELAY).await;
            group.network.reach(&database.node(), &Node::Store).await;
            if database.life().is_some() {
                group.write_entry(&database);
            }
        });
    }

    fn row(database: &Database) -> RowId {
        RowId::new(REGISTER, database.spec.id.as_str())
    }

    fn write_entry(&self, database: &Database) {
        let value = serde_json::to_vec(&database.entry()).unwrap_or_default();
        self.store
            .put(Self::row(database), Some(Bytes::from(value)));
    }

    fn remove_entry(&self, database: &Database) {
        self.store.put(Self::row(database), None);
    }
}
