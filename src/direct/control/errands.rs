//! The steward's tasks: it reads the store for all, looks what has to be done, and does it.

use crate::clock::{Span, Time};
use crate::direct::config::Database;
use crate::direct::control::backoff::Backoff;
use crate::direct::control::evidence::Tried;
use crate::direct::control::probe;
use crate::direct::control::promotion::Word;
use crate::direct::control::rows::{MemberId, duty_row, encode, lead_row, member_row};
use crate::direct::control::state::{Beaten, Topic};
use crate::direct::control::steward::{Errand, Scene, Told, survey};
use crate::direct::control::{Control, resume};
use crate::direct::lead::Lead;
use crate::direct::mesh::{Answer, Question};
use crate::direct::statement::Order;
use crate::direct::table::{Change, Era, Version};
use crate::types::{DatabaseId, GroupId};
use std::rc::Rc;
use std::time::Duration;

/// How often the rows and the register are read: a database that leaves, or a new configuration
/// of the VMs, is known to all within this and a beat. Each reading is two calls of the store.
const READ_EVERY: Span = Span::from_secs(1);

/// A steward that the store has not answered for this long offers the duty to others: it may be
/// turned away where they are not. One reading may be late without that.
const TURNED_AWAY: Span = Span::from_millis(1_200);

/// The pause between two such offers.
const OFFER_EVERY: Span = Span::from_secs(2);

/// The longest pause of a steward between readings that fail.
///
/// **Pattern answered.** The store is away for 6 s. **Without it** the steward reads again up to a second after
/// it is back, and a VM that hears of it half a second later has lost the lease of its last reading by then.
const STORE_AWAY: Span = Span::from_millis(300);

/// How long a silent VM may take to answer.
const CALL: Span = Span::from_millis(500);

/// The pause after an order to step down, given or not.
const STEP_DOWN_EVERY: Duration = Duration::from_millis(500);

/// First lead rows in one call of the store: a condition and a row each, and the duty's, of the 100
/// entries that it may hold.
const MOST_LEADS: usize = 48;

/// Replacements at once: each asks every VM to give an epoch up, so that with 300 VMs these are some 10,000
/// questions within a second.
const MOST_CHANGES: usize = 32;

/// With more databases than this no session is kept open to each of them: these take a connection of
/// every database, and a descriptor and memory each here.
const MOST_LINKS: usize = 512;

/// How often a steward looks how late it is.
const LATENESS_EVERY: Span = Span::from_millis(100);

/// Starts the steward's tasks, which end with its duty.
pub(super) fn start(control: &Rc<Control>, token: u64) {
    actix_rt::spawn(read(control.clone(), token));
    actix_rt::spawn(look(control.clone(), token));
    actix_rt::spawn(watch_lateness(control.clone(), token));
}

/// Finds out how late this VM is, as long as it is the steward.
async fn watch_lateness(control: Rc<Control>, token: u64) {
    while holds(&control, token) {
        let due = control.now() + LATENESS_EVERY;
        tokio::time::sleep(LATENESS_EVERY.into()).await;
        control.lateness.note(due, control.now());
    }
}

fn holds(control: &Control, token: u64) -> bool {
    let mut state = control.state.borrow_mut();
    !state.stopped && state.held(token).is_some()
}

async fn read(control: Rc<Control>, token: u64) {
    let mut backoff = Backoff::up_to(STORE_AWAY);
    let mut offered = Time::default();
    while holds(&control, token) {
        let began = control.now();
        let (rows, register) = tokio::join!(control.read_rows(), control.read_register());
        control.wake.notify_one();
        if rows.is_ok() && register.is_ok() {
            backoff.reset();
            control.keep_links().await;
            control.store.say_quiet().await;
            if offered + OFFER_EVERY <= began && control.yield_to_stronger().await {
                offered = control.now();
            }
            let rest = READ_EVERY.0.saturating_sub(control.now().since(began).0);
            tokio::time::sleep(Duration::from(Span(rest))).await;
            continue;
        }
        let now = control.now();
        let answered = control.store.health().answered;
        let turned_away = answered.is_none_or(|at| at + TURNED_AWAY <= now);
        if turned_away && offered + OFFER_EVERY <= now {
            control.hand_over("the store does not answer here").await;
            offered = control.now();
        }
        backoff.wait(control.chance()).await;
    }
}

async fn look(control: Rc<Control>, token: u64) {
    while holds(&control, token) {
        let (errands, again) = control.survey();
        let (new, errands): (Vec<_>, Vec<_>) = errands
            .into_iter()
            .partition(|errand| matches!(errand, Errand::Create(..)));
        for errand in errands {
            control.begin(errand, token);
        }
        control.begin_leads(&new, token);
        let now = control.now();
        let again = again.map_or(Span::from_secs(60), |again| again.since(now));
        tokio::select! {
            biased;
            () = control.wake.notified() => {}
            () = tokio::time::sleep(Duration::from(again)) => {}
        }
    }
}

impl Control {
    fn survey(&self) -> (Vec<Errand>, Option<Time>) {
        let now = self.now();
        self.note_own(now);
        let state = self.state.borrow();
        let (Some(reading), Some(held)) = (&state.reading, &state.held) else {
            return (Vec::new(), None);
        };
        let config = self.setup.shared.get().config.clone();
        let told = state.heard.iter().map(|(id, heard)| {
            let told = Told {
                life: heard.life,
                at: heard.at,
                reports: &heard.reports,
            };
            (id.clone(), told)
        });
        survey(&Scene {
            now,
            since: held.since,
            own: &self.id,
            reading,
            databases: state.register.databases(),
            config: config.as_deref(),
            began: state.register.began(),
            up: self.store.health().up,
            told: &told.collect(),
            tried: &state.tried,
            evicted: &state.evicted,
            epochs: &state.epochs,
            dampers: &self.dampers.borrow(),
            margin: self.lateness.margin(),
        })
    }

    /// What this VM itself saw counts like what the others told.
    fn note_own(&self, now: Time) {
        let reports = self.setup.shared.get().reports.all(now);
        let own = Beaten {
            life: self.setup.life,
            at: now,
            reports: reports.into_iter().collect(),
        };
        self.state.borrow_mut().heard.insert(self.id.clone(), own);
    }

    fn changes_under_way(&self) -> usize {
        let state = self.state.borrow();
        let groups = state
            .busy
            .iter()
            .filter(|topic| matches!(topic, Topic::Group(_)));
        groups.count()
    }

    /// Writes new groups' first lead rows, many in a call: of hundreds that come at once, written one by one,
    /// the last would be led seconds later, and each write is news for all VMs.
    fn begin_leads(self: &Rc<Self>, errands: &[Errand], token: u64) {
        let mut new = Vec::new();
        for errand in errands {
            if let Errand::Create(group, primary) = errand
                && self.state.borrow_mut().busy.insert(errand.topic())
            {
                new.push((group.clone(), primary.clone()));
            }
        }
        if new.is_empty() {
            return;
        }
        let control = self.clone();
        actix_rt::spawn(async move {
            for some in new.chunks(MOST_LEADS) {
                control.create_leads(token, some).await;
            }
            control.nudge_all();
            let mut state = control.state.borrow_mut();
            for (group, _) in new {
                state.busy.remove(&Topic::Group(group));
            }
            drop(state);
            control.wake.notify_one();
        });
    }

    /// Does an errand in a task of its own, unless one about the same is under way.
    fn begin(self: &Rc<Self>, errand: Errand, token: u64) {
        let topic = errand.topic();
        if let Errand::Change(..) = errand
            && self.changes_under_way() >= MOST_CHANGES
        {
            // The next survey finds it again, as each change that ends wakes this VM.
            return;
        }
        if !self.state.borrow_mut().busy.insert(topic.clone()) {
            return;
        }
        let control = self.clone();
        actix_rt::spawn(async move {
            control.run(errand, token).await;
            control.state.borrow_mut().busy.remove(&topic);
            control.wake.notify_one();
        });
    }

    async fn run(self: &Rc<Self>, errand: Errand, token: u64) {
        match errand {
            Errand::Create(group, primary) => self.create_leads(token, &[(group, primary)]).await,
            Errand::Change(group, cause) => self.change_primary(token, &group, cause).await,
            Errand::Try(database) => self.try_database(&database).await,
            Errand::StepDown(group, old) => self.step_down(&group, &old).await,
            Errand::Call(member) => self.call_member(&member).await,
            Errand::Remove(member, version) => self.remove_member(&member, version).await,
        }
    }

    /// Writes first lead rows of new groups, as long as the duty is held.
    async fn create_leads(self: &Rc<Self>, token: u64, new: &[(GroupId, DatabaseId)]) {
        let first = |(group, named): &(GroupId, DatabaseId)| {
            let named = self.registered(named)?;
            let (lead, former) = self.first_lead(group, &named);
            log::info!(
                group:%, primary:% = lead.primary, epoch = lead.epoch, changing = lead.changing,
                continues:? = lead.continues;
                "a group's first primary is written"
            );
            Some((group.clone(), lead, former))
        };
        let leads: Vec<_> = new.iter().filter_map(first).collect();
        let written = {
            let _one = self.writing.lock().await;
            let held = self.state.borrow_mut().held(token).map(|held| held.version);
            let Some(held) = held else { return };
            let rows = leads.iter();
            let rows = rows.map(|(group, _, former)| (lead_row(group), *former));
            let writes = leads.iter();
            let writes = writes.map(|(group, lead, _)| (lead_row(group), encode(lead)));
            let change = Change {
                expect: rows.chain([(duty_row(), held)]).collect(),
                writes: writes.collect(),
                remove: Vec::new(),
            };
            self.store.write(change).await
        };
        let Ok(Ok(version)) = written else {
            // Another VM may have written some of them, or the answer was lost.
            let _ = self.read_rows().await;
            return;
        };
        for (group, lead, _) in leads {
            self.learn_written(&group, lead, version);
        }
    }

    /// The first lead of a group in the store's era, and the version that its row has by now.
    fn first_lead(&self, group: &GroupId, named: &Database) -> (Lead, Version) {
        let now = self.now();
        let state = self.state.borrow();
        let reading = state.reading.as_ref();
        let former = reading.and_then(|reading| reading.former.leads.get(group));
        let version = former.map_or(Version::NONE, |(_, version)| *version);
        let view = self.setup.shared.get();
        let known = view.leases.known(group).map(|(lead, _)| lead);
        let known = known.into_iter().chain(former.map(|(lead, _)| lead));
        let known = known.max_by_key(|lead| (lead.epoch, lead.changing));
        let held = view.leases.lease(group, now).map(|lease| lease.epoch);
        let era = reading.map_or(Era::default(), |reading| reading.era);
        (resume::first(era, known.cloned(), held, named), version)
    }

    /// A database as the register shows it.
    pub(super) fn registered(&self, id: &DatabaseId) -> Option<Database> {
        self.setup.shared.get().databases.get(id).cloned()
    }

    /// Asks a database how it stands, by the session that is kept open to it.
    pub(super) async fn standing(&self, database: &Database) -> Word {
        let mut link = self.links.borrow_mut().remove(&database.id);
        let kept = link.is_some();
        let mut word = probe::standing(&self.setup.adapter, database, &mut link).await;
        if kept && link.is_none() {
            // The session broke: that says nothing of the database.
            word = probe::standing(&self.setup.adapter, database, &mut link).await;
        }
        if let Some(link) = link {
            self.links.borrow_mut().insert(database.id.clone(), link);
        }
        word
    }

    /// Opens a session to each database that has none, and closes those to databases that are
    /// gone.
    ///
    /// **Pattern answered.** A primary is lost, its load falls on the replicas, and they have no
    /// connection left for whoever asks how far they are. **Without it** nothing is promoted until
    /// the load falls, which it does not before something is promoted.
    async fn keep_links(&self) {
        if self.setup.shared.get().databases.len() > MOST_LINKS {
            return;
        }
        let databases: Vec<_> = {
            let view = self.setup.shared.get();
            let mut links = self.links.borrow_mut();
            links.retain(|id, _| view.databases.contains_key(id));
            let config = view.config.as_ref();
            let known =
                |d: &&Database| config.is_some_and(|config| config.groups.contains_key(&d.group));
            let lacking = view
                .databases
                .values()
                .filter(known)
                .filter(|d| !links.contains_key(&d.id));
            lacking.cloned().collect()
        };
        let opened = databases.iter().map(async |database| {
            if let probe::Opened::Link(link) = probe::open(&self.setup.adapter, database).await {
                let mut links = self.links.borrow_mut();
                links.entry(database.id.clone()).or_insert(link);
            }
        });
        futures_util::future::join_all(opened).await;
    }

    async fn try_database(&self, id: &DatabaseId) {
        let Some(database) = self.registered(id) else {
            return;
        };
        let began = self.now();
        let attempt = probe::open(&self.setup.adapter, &database).await.attempt();
        let ended = self.now();
        let tried = Tried {
            began,
            ended,
            attempt,
        };
        let known = self.state.borrow_mut().tried.insert(id.clone(), tried);
        if known.is_none_or(|known| known.attempt != attempt) {
            log::info!(
                database:% = id, attempt:?, took_ms = ended.since(began).0 / 1_000;
                "a database that is said to fail was tried"
            );
        }
    }

    /// Tells a database that another one leads, by the term of that one.
    async fn step_down(&self, group: &GroupId, old: &DatabaseId) {
        let (leader, database) = {
            let view = self.setup.shared.get();
            let known = view.leases.known(group).map(|(lead, _)| lead.clone());
            let lead = known.filter(|lead| !lead.changing && lead.primary != *old);
            let leader = lead.and_then(|lead| view.databases.get(&lead.primary).cloned());
            (leader, view.databases.get(old).cloned())
        };
        if let (Some(leader), Some(database)) = (leader, database) {
            let adapter = &self.setup.adapter;
            if let probe::Opened::Link(mut link) = probe::open(adapter, &database).await
                && let Word::Stands(standing) = self.standing(&leader).await
                && standing.primary
            {
                let answer = link.ask(&Order::StepDown(standing.term)).await;
                log::info!(
                    group:%, database:% = old, term:% = standing.term, answered = answer.is_some();
                    "a primary of an old term was told to step down"
                );
            }
        }
        tokio::time::sleep(STEP_DOWN_EVERY).await;
    }

    /// Finds out why a VM is silent. One that has ended loses its row; one that does not answer
    /// is marked, so that after a lease no replacement waits for it.
    async fn call_member(&self, id: &MemberId) {
        let known = {
            let state = self.state.borrow();
            let reading = state.reading.as_ref();
            reading.and_then(|reading| reading.members.get(id).cloned())
        };
        let Some((mut member, version)) = known else {
            return;
        };
        let Some(token) = self.state.borrow().held.as_ref().map(|held| held.token) else {
            return;
        };
        let question = Question::Ping {
            address: self.setup.address,
            token,
        };
        let answer =
            (self.setup.call)(member.address, question, CALL + self.lateness.margin()).await;
        match answer {
            Some(Answer::Absent) => {
                log::info!(vm:% = id, life:% = member.life; "a VM has ended");
                self.remove_member(id, version).await;
            }
            Some(_) => {
                // It lives, and beats at once.
                if let Some(heard) = self.state.borrow_mut().heard.get_mut(id) {
                    heard.at = self.now();
                }
                tokio::time::sleep(Duration::from(CALL)).await;
            }
            None => {
                log::warn!(vm:% = id, life:% = member.life; "a VM is silent: evicting it");
                member.evicted = true;
                let row = member_row(id);
                let change = Change {
                    expect: vec![(row.clone(), version)],
                    writes: vec![(row, encode(&member))],
                    remove: Vec::new(),
                };
                self.write_member(change).await;
            }
        }
    }

    async fn remove_member(&self, id: &MemberId, version: Version) {
        log::info!(vm:% = id; "removing the row of a VM that can hold no lease");
        let row = member_row(id);
        let change = Change {
            expect: vec![(row.clone(), version)],
            writes: Vec::new(),
            remove: vec![row],
        };
        self.write_member(change).await;
    }

    /// Whatever became of the change, the next reading shows it; until then it is not asked again.
    async fn write_member(&self, change: Change) {
        let _ = self.store.write(change).await;
        tokio::time::sleep(Duration::from(READ_EVERY)).await;
    }
}
