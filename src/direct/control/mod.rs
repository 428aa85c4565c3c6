//! The control path: which configuration is in force, which databases there are, who leads, and
//! who replaces a primary that is lost.
//!
//! A VM that starts has its row written with those of others (`enroll`); of many VMs a few read the
//! store for all ([`reader`]), and pass on what is long (`bulk`). Every VM beats to the steward (`heartbeat`, `news`), follows the configuration (`watch`), and
//! reads the store itself while it hears no steward (`own`); meanwhile its leases go on by the word
//! of others (`vouch`). One VM at a time is the steward: it
//! takes and renews the duty in the store (`duty`, [`takeover`]), reads for the others and looks
//! what has to be done (`errands`, [`steward`], [`evidence`]), and replaces primaries (`change`,
//! `order`, [`promotion`], [`probe`]). What is kept in the store is in [`rows`].

pub mod backoff;
mod bulk;
mod change;
pub mod detour;
mod duty;
mod enroll;
pub mod era;
mod errands;
pub mod evidence;
mod heartbeat;
mod join;
pub mod lateness;
pub mod news;
pub mod nudge;
mod order;
mod own;
pub mod probe;
pub mod promotion;
pub mod reader;
pub mod register;
pub mod resume;
pub mod rows;
mod state;
pub mod steward;
pub mod store;
pub mod takeover;
mod vouch;
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

/// How often it is looked whether work on a primary is over, while something waits for that.
const WORK_ENDS: Duration = Duration::from_millis(10);

/// From this many VMs on, bulk is read from the store by each, and calls of the store go by way of readers
/// alone: a dozen readers serve ten VMs each.
const LARGE: usize = 128;

/// What the control path is made from.
pub struct Setup {
    /// The platform.
    pub adapter: Adapter,
    /// What this VM knows, shared with the sessions.
    pub shared: Rc<Shared>,
    /// Calls of other VMs.
    pub call: Call,
    /// This VM.
    pub vm: VmId,
    /// This life of its process.
    pub life: Life,
    /// Its failure domain.
    pub domain: Domain,
    /// The processor that it has.
    pub cores: Cores,
    /// Where it listens for other VMs. It has to listen before it starts the control path: a
    /// refused connection tells others that the life which is registered there has ended.
    pub address: SocketAddr,
    /// Where it relays other VMs' statements to databases, if it does.
    pub relay: Option<SocketAddr>,
    /// Addresses of some other VMs, perhaps stale.
    pub seeds: Vec<SocketAddr>,
}

impl fmt::Debug for Setup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Setup").finish_non_exhaustive()
    }
}

/// What one VM knows of the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Knowledge {
    /// Whether it is the steward.
    pub steward: bool,
    /// The token of the steward that it follows, or is.
    pub token: u64,
    /// How long ago the steward that it follows was asked last of what it answered.
    pub heard: Option<Span>,
    /// How many VMs it knows to be registered.
    pub members: usize,
    /// How old the newest reading of the register is that was told here.
    pub register_age: Option<Span>,
    /// The newest configuration that is known to be there, in force here or not.
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
    /// Whether the newest reading known here, or at the steward, shows this VM's row.
    member: Cell<bool>,
    /// What this VM draws by chance. Seeded by its life, so that a world whose lives come from a seed
    /// plays the same again.
    chance: RefCell<ChaCha8Rng>,
    /// When the rows were last read for others. One reading at a time: those that ask meanwhile are
    /// told the same.
    reading: Mutex<Option<Time>>,
    /// One renewal of the duty at a time: each needs the version that the one before left.
    writing: Mutex<()>,
    /// Something for the steward to look at.
    wake: Notify,
    /// A reason to send a heartbeat at once.
    nudged: Notify,
    /// The steward did not answer.
    lost: Notify,
    /// The first word of another VM has come, or none is waited for any more.
    joined: Notify,
    /// There is a configuration that this VM was not told.
    lacking: Notify,
    /// How late this VM does what is due.
    lateness: lateness::Lateness,
}

impl Control {
    /// Starts it, with its tasks on this thread.
    pub fn start(setup: Setup) -> Rc<Self> {
        let control = Rc::new(Self {
            id: MemberId::new(&setup.vm, setup.address.ip()),
            store: Store::new(setup.adapter.clone()),
            state: RefCell::default(),
            links: RefCell::default(),
            dampers: RefCell::default(),
            member: Cell::new(false),
            chance: RefCell::new(ChaCha8Rng::seed_from_u64(setup.life.0)),
            reading: Mutex::new(None),
            writing: Mutex::new(()),
            wake: Notify::new(),
            nudged: Notify::new(),
            lost: Notify::new(),
            joined: Notify::new(),
            lacking: Notify::new(),
            lateness: lateness::Lateness::default(),
            setup,
        });
        control.store.set_detour(detour::by_others(&control));
        actix_rt::spawn(watch::run(control.clone()));
        actix_rt::spawn(bulk::run(control.clone()));
        actix_rt::spawn(heartbeat::run(control.clone()));
        actix_rt::spawn(vouch::run(control.clone()));
        control
    }

    /// Answers a question of another VM.
    pub fn answer(self: &Rc<Self>, question: Question) -> LocalFuture<Answer> {
        let control = self.clone();
        Box::pin(async move {
            match question {
                Question::Heartbeat(beat) => Answer::Update(Box::new(control.answer_beat(beat))),
                Question::Read(beat) => {
                    control.read_for_others().await;
                    Answer::Update(Box::new(control.answer_beat(beat)))
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
                    };
                    let id = MemberId::new(&beat.vm, beat.address.ip());
                    let applicant = Applicant { id, member, expect };
                    // What became of it is told by the reading that follows.
                    let _ = control.enroll(applicant).await;
                    Answer::Update(Box::new(control.answer_beat(beat)))
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
                    let vouched = control.setup.shared.get().leases.vouches(control.now());
                    Answer::Confirmed(control.setup.life, vouched)
                }
                Question::Store {
                    command: ask,
                    timeout: within,
                } => Answer::Stored(control.store.call_for_another(ask, within).await),
                Question::Ping { address, token } => {
                    control.follow(address, token, control.now());
                    control.nudged.notify_one();
                    Answer::Noted
                }
            }
        })
    }

    /// Lets nothing new start on an epoch, and gives it up once what is under way is over, or
    /// `patience` is.
    async fn drop_epoch(&self, group: GroupId, epoch: Epoch, patience: Span) {
        let shared = &self.setup.shared;
        shared.modify(|view| view.leases.close_epoch(&group, epoch));
        let deadline = self.now() + patience;
        while self.now() < deadline && shared.get().work.is_under_way(&group, epoch) {
            tokio::time::sleep(WORK_ENDS).await;
        }
        let cut = shared.get().work.is_under_way(&group, epoch);
        shared.modify(|view| view.leases.drop_epoch(&group, epoch));
        log::info!(group:%, epoch, patience_ms = patience.0 / 1_000, cut; "an epoch is given up");
    }

    /// Whether callers may be sent here: it knows a configuration, and who leads.
    pub fn is_ready(&self) -> bool {
        let now = self.now();
        let view = self.setup.shared.get();
        let fresh = |group: &GroupId| {
            let known = view.leases.known(group);
            known.is_some_and(|(_, asked)| now < asked + LEASE)
        };
        view.config.is_some() && !view.stopping && view.leases.groups().any(fresh)
    }

    /// Ends it: hands the duty over, waits until the callers are `served` and the last work on a
    /// primary is over, and removes this VM's row. Nothing may be acted on afterwards.
    ///
    /// Between two statements there is no work for a moment. Were the leases dropped then, every
    /// caller that the balancer still sends here would wait for a primary in vain.
    pub async fn stop(self: &Rc<Self>, served: impl Future<Output = ()>) {
        self.setup.shared.modify(|view| view.stopping = true);
        tokio::join!(self.hand_over("this VM stops"), served);
        while self.setup.shared.get().work.is_any() {
            tokio::time::sleep(WORK_ENDS).await;
        }
        self.resign("this VM stops");
        self.state.borrow_mut().stopped = true;
        // Before the row goes: without it nobody asks this VM to give an epoch up.
        self.setup.shared.modify(|view| view.leases.drop_all());
        self.wake.notify_one();
        self.nudged.notify_one();
        if let Err(reason) = self.unregister().await {
            log::warn!(vm:% = self.id, reason:%; "this VM's row stays: the steward removes it");
        }
    }

    /// What this VM knows of the others, for the scraper.
    pub fn knowledge(&self) -> Knowledge {
        let state = self.state.borrow();
        let now = self.now();
        let post = state.post.as_ref();
        let held = state.held.as_ref().map(|held| held.token);
        Knowledge {
            steward: held.is_some(),
            token: held.max(post.map(|post| post.token)).unwrap_or_default(),
            heard: post.map(|post| now.since(post.hearing.since)),
            members: self.setup.shared.get().peers.list().len(),
            register_age: state.register.asked().map(|asked| now.since(asked)),
            config: state.newest.max(self.config_version()),
        }
    }

    /// How often the store was asked.
    pub fn counts(&self) -> Counts {
        self.store.counts()
    }

    /// Whether there are so many VMs that what each of them does by way of a few is too much for these.
    fn is_large(&self) -> bool {
        let state = self.state.borrow();
        let read = state.reading.as_ref().map_or(0, |r| r.members.len());
        let known = self.setup.shared.get().peers.list().len();
        state.many_rows || read.max(known) > LARGE
    }

    /// Whether this VM's row is there, as far as is known.
    fn is_member(&self) -> bool {
        self.member.get()
    }

    /// A number from 0 to below 1, by chance.
    fn chance(&self) -> f64 {
        self.chance.borrow_mut().random()
    }

    fn now(&self) -> Time {
        (self.setup.adapter.clock)()
    }
}
