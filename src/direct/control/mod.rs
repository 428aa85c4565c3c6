//! The control path: which configuration is in force, which databases exist, who leads each group,
//! and the replacement of a lost primary.
//!
//! A VM that starts has its row written together with those of others (`enroll`). Of many VMs a few
//! read the store for all ([`reader`]) and pass on large contents (`bulk`). Every VM sends
//! heartbeats to the steward (`heartbeat`, `update`), follows the configuration (`watch`), and gets
//! newer readings elsewhere while the steward does not answer or what it sends is old (`refresh`,
//! `own`); meanwhile a quorum of peers extends its leases (`extension`). One VM at a time is the steward: it takes and renews the duty in the
//! store (`duty`, `offer`, [`takeover`]), reads for the others and decides what has to be done (`tasks`,
//! [`steward`], [`evidence`]), and replaces primaries (`change`, [`revocation`], `candidates`, [`promotion`], `order`,
//! [`probe`]). [`rows`] defines what is kept in the store.

pub mod backoff;
mod bulk;
mod candidates;
mod change;
pub mod delay;
mod duty;
mod enroll;
pub mod era;
pub mod evidence;
mod extension;
pub mod health;
mod heartbeat;
pub mod indirect;
mod join;
mod links;
mod offer;
mod order;
mod own;
pub mod ping;
pub mod probe;
pub mod promotion;
pub mod reader;
mod refresh;
pub mod register;
pub mod release;
pub mod resume;
pub mod revocation;
pub mod rows;
mod state;
pub mod steward;
pub mod store;
pub mod takeover;
mod tasks;
pub mod update;
mod watch;

pub use state::Topic;

use crate::clock::{Span, Time};
use crate::core::detect::Damper;
use crate::direct::adapter::{Adapter, LocalFuture};
use crate::direct::control::enroll::Applicant;
use crate::direct::control::probe::Link;
use crate::direct::control::rows::{Member, MemberId};
use crate::direct::control::state::State;
use crate::direct::control::store::{Counts, Store};
use crate::direct::lead::{Epoch, LEASE};
use crate::direct::mesh::{Answer, Call, Question};
use crate::direct::view::Shared;
use crate::types::{Cores, DatabaseId, Domain, GroupId, Life, Version, VmId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, Notify};

/// How often to check whether work on a primary has ended, while something waits for that.
const WORK_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Above this many VMs, each reads large contents from the store itself, and calls of the store are
/// relayed by readers alone: a dozen readers serve ten VMs each.
const MIN_LARGE_VMS: usize = 128;

/// The parameters of the control path.
pub struct Setup {
    /// The platform.
    pub adapter: Adapter,
    /// This VM's view, shared with the sessions.
    pub shared: Rc<Shared>,
    /// Calls of other VMs.
    pub call: Call,
    /// This VM.
    pub vm: VmId,
    /// The life, that is the incarnation, of its process.
    pub life: Life,
    /// Its failure domain.
    pub domain: Domain,
    /// The processor cores that it has.
    pub cores: Cores,
    /// The address at which it listens for other VMs. It has to listen before it starts the control
    /// path: other VMs suspect a VM that refuses connections.
    pub address: SocketAddr,
    /// The address at which it relays other VMs' statements to databases, if it does.
    pub relay: Option<SocketAddr>,
    /// Addresses of some other VMs, perhaps stale.
    pub seeds: Vec<SocketAddr>,
}

impl fmt::Debug for Setup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Setup").finish_non_exhaustive()
    }
}

/// A VM's state of the cluster, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    /// Whether it is the steward.
    pub steward: bool,
    /// The token of the steward that it follows, or is.
    pub token: u64,
    /// How long ago the last call that its steward answered was sent.
    pub steward_age: Option<Span>,
    /// How many VMs it knows to be registered.
    pub members: usize,
    /// The age of the newest reading of the register that this VM received.
    pub register_age: Option<Span>,
    /// The newest configuration version known to exist, in force on this VM or not.
    pub config: Version,
}

/// The control path of one VM.
#[derive(Debug)]
pub struct Control {
    setup: Setup,
    id: MemberId,
    store: Store,
    state: RefCell<State>,
    /// The steward's sessions at databases.
    links: RefCell<BTreeMap<DatabaseId, Link>>,
    dampers: RefCell<BTreeMap<GroupId, Damper>>,
    /// Whether the newest reading, of this VM or of the steward, shows this VM's row.
    member: Cell<bool>,
    /// When epochs were last released by way of the store, as earlier readings do not show it; none
    /// while that is under way.
    released_at: Cell<Option<Time>>,
    /// The random number generator. Its seed is the process's life, so that a simulation whose
    /// lives come from a seed can be replayed.
    rng: RefCell<ChaCha8Rng>,
    /// When the rows were last read for others. Only one reading runs at a time; requests that
    /// arrive meanwhile share its result.
    reading: Mutex<Option<Time>>,
    /// When the register was last read for others, likewise.
    reading_register: Mutex<Option<Time>>,
    /// Allows one renewal of the duty at a time, because each needs the version that the one before
    /// wrote.
    writing: Mutex<()>,
    /// Wakes the steward's tasks.
    wake: Notify,
    /// Requests a heartbeat at once.
    pinged: Notify,
    /// Signals that the steward did not answer.
    steward_lost: Notify,
    /// Signals that the first answer of another VM has arrived, or that none is awaited any more.
    joined: Notify,
    /// Signals that there is a configuration that this VM has not received.
    config_missing: Notify,
    /// This VM's scheduling delay.
    delay: delay::Delay,
}

impl Control {
    /// Starts the control path, with its tasks on this thread.
    pub fn start(setup: Setup) -> Rc<Self> {
        let control = Rc::new(Self {
            id: MemberId::new(&setup.vm, setup.address.ip()),
            store: Store::new(setup.adapter.clone()),
            state: RefCell::default(),
            links: RefCell::default(),
            dampers: RefCell::default(),
            member: Cell::new(false),
            released_at: Cell::new(Some(Time::default())),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(setup.life.0)),
            reading: Mutex::new(None),
            reading_register: Mutex::new(None),
            writing: Mutex::new(()),
            wake: Notify::new(),
            pinged: Notify::new(),
            steward_lost: Notify::new(),
            joined: Notify::new(),
            config_missing: Notify::new(),
            delay: delay::Delay::default(),
            setup,
        });
        control.store.set_forwarder(indirect::forwarder(&control));
        actix_rt::spawn(watch::run(control.clone()));
        actix_rt::spawn(bulk::run(control.clone()));
        actix_rt::spawn(heartbeat::run(control.clone()));
        actix_rt::spawn(extension::run(control.clone()));
        control
    }

    /// Answers a question of another VM.
    pub fn answer(self: &Rc<Self>, question: Question) -> LocalFuture<Answer> {
        let control = self.clone();
        Box::pin(async move {
            match question {
                Question::Heartbeat(beat) => {
                    Answer::Update(Box::new(control.answer_heartbeat(beat)))
                }
                Question::Read(beat) => {
                    control.read_for_others().await;
                    Answer::Update(Box::new(control.answer_heartbeat(beat)))
                }
                Question::ReadRegister(beat) => {
                    control.read_register_for_others().await;
                    Answer::Update(Box::new(control.answer_heartbeat(beat)))
                }
                Question::Enroll {
                    heartbeat: beat,
                    relay,
                    domain,
                    cores,
                    expect,
                } => {
                    let member = Member {
                        life: beat.life,
                        address: beat.address,
                        relay,
                        domain,
                        cores,
                        evicted: false,
                        released: BTreeMap::new(),
                    };
                    let id = MemberId::new(&beat.vm, beat.address.ip());
                    let applicant = Applicant { id, member, expect };
                    // The reading that follows shows the result.
                    let _ = control.enroll(applicant).await;
                    Answer::Update(Box::new(control.answer_heartbeat(beat)))
                }
                Question::Drop {
                    group,
                    epoch,
                    timeout: patience,
                } => {
                    control.drop_epoch(group, epoch, patience).await;
                    Answer::Dropped(control.setup.life)
                }
                Question::HandOver { token, version } => {
                    Answer::Taken(control.take_offer(token, version).await)
                }
                Question::Confirm => {
                    let vouched = control.setup.shared.get().leases.extendable(control.now());
                    Answer::Confirmed(control.setup.life, vouched)
                }
                Question::Store {
                    command: ask,
                    timeout: within,
                } => Answer::Stored(control.store.call_for_another(ask, within).await),
                Question::Ping { address, token } => {
                    control.follow(address, token, control.now());
                    control.pinged.notify_one();
                    Answer::Noted
                }
            }
        })
    }

    /// Starts no new work on an epoch, and releases it once the work under way has ended or
    /// `timeout` has passed.
    async fn drop_epoch(&self, group: GroupId, epoch: Epoch, timeout: Span) {
        let shared = &self.setup.shared;
        shared.modify(|view| view.leases.close_epoch(&group, epoch));
        let deadline = self.now() + timeout;
        while self.now() < deadline && shared.get().work.is_under_way(&group, epoch) {
            tokio::time::sleep(WORK_POLL_INTERVAL).await;
        }
        let cut = shared.get().work.is_under_way(&group, epoch);
        shared.modify(|view| view.leases.drop_epoch(&group, epoch));
        log::info!(group:%, epoch, patience_ms = timeout.0 / 1_000, cut; "an epoch is given up");
    }

    /// Whether this VM is ready for callers: it has a configuration and knows who leads.
    pub fn is_ready(&self) -> bool {
        let now = self.now();
        let view = self.setup.shared.get();
        let fresh = |group: &GroupId| {
            let known = view.leases.known(group);
            known.is_some_and(|(_, asked)| now < asked + LEASE)
        };
        view.config.is_some() && !view.stopping && view.leases.groups().any(fresh)
    }

    /// Stops the control path: hands the duty over, waits until the callers are `served` and the
    /// last work on a primary has ended, and removes this VM's row. No lease may be used
    /// afterwards.
    ///
    /// Between two statements there is no work for a moment. If the leases were dropped then, every
    /// caller that the balancer still sends here would wait in vain for a primary.
    pub async fn stop(self: &Rc<Self>, served: impl Future<Output = ()>) {
        self.setup.shared.modify(|view| view.stopping = true);
        tokio::join!(self.hand_over("this VM stops"), served);
        while self.setup.shared.get().work.is_any() {
            tokio::time::sleep(WORK_POLL_INTERVAL).await;
        }
        self.resign("this VM stops");
        self.state.borrow_mut().stopped = true;
        // This precedes the removal of the row, because without the row no VM asks this one to
        // release an epoch.
        self.setup.shared.modify(|view| view.leases.drop_all());
        self.wake.notify_one();
        self.pinged.notify_one();
        if let Err(reason) = self.unregister().await {
            log::warn!(vm:% = self.id, reason:%; "could not remove this VM's row: the steward will remove it");
        }
    }

    /// This VM's state of the cluster, for metrics.
    pub fn summary(&self) -> Summary {
        let state = self.state.borrow();
        let now = self.now();
        let followed = state.followed.as_ref();
        let held = state.held.as_ref().map(|held| held.token);
        Summary {
            steward: held.is_some(),
            token: held
                .max(followed.map(|followed| followed.token))
                .unwrap_or_default(),
            steward_age: followed.map(|followed| now.since(followed.contact.since)),
            members: self.setup.shared.get().peers.list().len(),
            register_age: state.register.asked().map(|asked| now.since(asked)),
            config: state.newest.max(self.config_version()),
        }
    }

    /// The numbers of calls of the store.
    pub fn counts(&self) -> Counts {
        self.store.counts()
    }

    /// Whether there are so many VMs that a few cannot do the work for all of them.
    fn is_large(&self) -> bool {
        let state = self.state.borrow();
        let read = state.reading.as_ref().map_or(0, |r| r.members.len());
        let known = self.setup.shared.get().peers.list().len();
        state.many_rows || read.max(known) > MIN_LARGE_VMS
    }

    /// Whether this VM is registered, as far as it knows.
    fn is_member(&self) -> bool {
        self.member.get()
    }

    /// A random number from 0 to below 1.
    fn random(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    fn now(&self) -> Time {
        (self.setup.adapter.clock)()
    }
}
