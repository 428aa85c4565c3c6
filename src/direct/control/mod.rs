//! The control path: which configuration is in force, which databases there are, who leads, and
//! who replaces a primary that is lost.

pub mod backoff;
pub mod rows;
pub mod store;
mod watch;

use crate::clock::{Span, Time};
use crate::direct::adapter::{Adapter, Later};
use crate::direct::control::backoff::Backoff;
use crate::direct::control::rows::{Member, MemberId, Reading, encode, lead_row, member_row};
use crate::direct::control::store::{Counts, Store};
use crate::direct::lead::{LEASE, Lead};
use crate::direct::mesh::{Answer, Call, News, Question};
use crate::direct::table::{Change, Fault};
use crate::direct::view::Shared;
use crate::types::{Domain, GroupId, Life, VmId};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How often the rows and the register are read.
const READ_EVERY: Span = Span::from_secs(1);

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
    /// Where it listens for other VMs. It has to listen before it starts the control path.
    pub address: SocketAddr,
    /// Addresses of some other VMs, perhaps stale.
    pub seeds: Vec<SocketAddr>,
}

impl fmt::Debug for Setup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Setup").finish_non_exhaustive()
    }
}

/// The control path of one VM.
#[derive(Debug)]
pub struct Control {
    setup: Setup,
    id: MemberId,
    store: Store,
}

impl Control {
    /// Starts it, with its tasks on this thread.
    pub fn start(setup: Setup) -> Rc<Self> {
        let control = Rc::new(Self {
            id: MemberId::new(&setup.vm, setup.address.ip()),
            store: Store::new(setup.adapter.clone()),
            setup,
        });
        actix_rt::spawn(watch::run(control.clone()));
        actix_rt::spawn(read_rows(control.clone()));
        control
    }

    /// Answers a question of another VM.
    pub fn answer(&self, question: Question) -> Later<Answer> {
        let answer = match question {
            Question::Beat(_) => Answer::News(Box::new(News {
                life: self.setup.life,
                steward: false,
                duty: None,
                leads: Vec::new(),
                config: None,
                register: None,
            })),
            Question::Drop { group, epoch, .. } => {
                let book = |view: &mut crate::direct::view::View| {
                    view.book.drop_epoch(&group, epoch);
                };
                self.setup.shared.change(book);
                Answer::Dropped(self.setup.life)
            }
            Question::HandOver { .. } => Answer::Taken(false),
            Question::Nudge => Answer::Noted,
        };
        Box::pin(std::future::ready(answer))
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let now = self.now();
        let view = self.setup.shared.look();
        let fresh = |group: &GroupId| {
            let known = view.book.known(group);
            known.is_some_and(|(_, asked)| now < asked + LEASE)
        };
        view.config.is_some() && !view.stopping && view.book.groups().any(fresh)
    }

    /// Ends it: nothing may be acted on afterwards.
    pub async fn stop(&self) {
        self.setup.shared.change(|view| view.stopping = true);
    }

    /// How often the store was asked.
    pub fn counts(&self) -> Counts {
        self.store.counts()
    }

    fn now(&self) -> Time {
        (self.setup.adapter.clock)()
    }
}

async fn read_rows(control: Rc<Control>) {
    let mut backoff = Backoff::default();
    loop {
        match step(&control).await {
            Ok(wait) => {
                backoff.reset();
                tokio::time::sleep(Duration::from(wait)).await;
            }
            Err(_) => backoff.wait().await,
        }
    }
}

async fn step(control: &Control) -> Result<Span, Fault> {
    let reading = control.store.reading().await?;
    if !reading.is_lease_for(&control.id, control.setup.life) {
        register(control, &reading).await?;
        return Ok(Span::ZERO);
    }
    control.setup.shared.change(|view| {
        for (group, (lead, _)) in &reading.leads {
            view.book.learn(group, lead.clone(), reading.asked);
        }
    });
    read_register(control).await?;
    create_leads(control, &reading).await?;
    Ok(READ_EVERY)
}

async fn register(control: &Control, reading: &Reading) -> Result<(), Fault> {
    let known = reading.members.get(&control.id);
    let row = member_row(&control.id);
    let member = Member {
        life: control.setup.life,
        address: control.setup.address,
        domain: control.setup.domain.clone(),
        evicted: false,
    };
    let change = Change {
        expect: vec![(row.clone(), known.map_or(0, |(_, version)| *version))],
        writes: vec![(row, encode(&member))],
        remove: Vec::new(),
    };
    let _ = control.store.write(change).await?;
    Ok(())
}

async fn read_register(control: &Control) -> Result<(), Fault> {
    let documents = &control.setup.adapter.documents;
    let (rows, _) = control.store.read(&documents.register).await?;
    let mut databases = BTreeMap::new();
    for row in &rows {
        let Some(value) = &row.value else { continue };
        match (documents.read_database)(&row.id.key, value) {
            Ok(database) => {
                databases.insert(database.id.clone(), database);
            }
            Err(reason) => log::warn!(row:% = row.id, reason:%; "an entry is not understood"),
        }
    }
    if control.setup.shared.look().databases != databases {
        control
            .setup
            .shared
            .change(|view| view.databases = databases);
    }
    Ok(())
}

async fn create_leads(control: &Control, reading: &Reading) -> Result<(), Fault> {
    let primaries: Vec<_> = {
        let view = control.setup.shared.look();
        let unled = |group: &GroupId| !reading.leads.contains_key(group);
        let primaries = view
            .databases
            .values()
            .filter(|d| d.primary && unled(&d.group));
        primaries.map(|d| (d.group.clone(), d.id.clone())).collect()
    };
    for (group, primary) in primaries {
        let row = lead_row(&group);
        let lead = Lead {
            epoch: 1,
            primary,
            changing: false,
        };
        log::info!(group:%, primary:% = lead.primary, epoch = 1; "a new group's primary is written");
        let change = Change {
            expect: vec![(row.clone(), 0)],
            writes: vec![(row, encode(&lead))],
            remove: Vec::new(),
        };
        let _ = control.store.write(change).await?;
    }
    Ok(())
}
