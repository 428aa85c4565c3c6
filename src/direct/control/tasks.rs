//! The steward's tasks: it reads the store for all VMs, decides what has to be done, and does it.

use crate::clock::{Span, Time};
use crate::direct::config::Database;
use crate::direct::control::backoff::Backoff;
use crate::direct::control::duty::Renewed;
use crate::direct::control::rows::{MemberId, duty_row, encode, lead_row, member_row};
use crate::direct::control::state::{LastHeartbeat, Topic};
use crate::direct::control::steward::{Action, Snapshot, Status, plan};
use crate::direct::control::takeover::{self, SHOW_INTERVAL};
use crate::direct::control::{Control, resume};
use crate::direct::lead::Lead;
use crate::direct::mesh::{Answer, Question};
use crate::direct::table::{Change, Era, Version};
use crate::types::{DatabaseId, GroupId};
use std::rc::Rc;
use std::time::Duration;

/// How often the rows and the register are read. All VMs learn of a leaving database, or of a new
/// configuration, within this interval and a heartbeat. Each reading is two calls of the store.
const READ_INTERVAL: Span = Span::from_secs(1);

/// After this long without an answer of the store, the steward offers the duty to other VMs, which
/// the store may still answer. A single late reading does not reach it.
const STORE_TIMEOUT: Span = Span::from_millis(1_200);

/// The minimum interval between two such offers.
const OFFER_INTERVAL: Span = Span::from_secs(2);

/// The longest interval between two offers to a stronger VM. No order is sent during an offer, and the
/// strongest VM may be one that the store does not answer for a while.
const MAX_YIELD_INTERVAL: Span = Span::from_secs(16);

/// The longest delay between the steward's readings while they fail.
///
/// After a store outage of 6 s, an unbounded delay would let the steward read up to a second after
/// the store is back, and a VM that learns of it half a second later would have lost the lease of
/// its last reading.
const MAX_READ_DELAY: Span = Span::from_millis(300);

/// How long a silent VM may take to answer a ping.
const PING_TIMEOUT: Span = Span::from_millis(500);

/// The number of first lead rows in one call of the store. Each takes a condition and a write, and
/// the duty's row is added, of the 100 entries that a call may hold.
const MAX_LEADS_PER_CALL: usize = 48;

/// The number of replacements in progress at once. Each asks every VM to release an epoch: with 300
/// VMs these are some 10,000 questions within a second.
const MAX_CHANGES: usize = 32;

/// How often the steward measures its scheduling delay.
const DELAY_INTERVAL: Span = Span::from_millis(100);

/// Starts the steward's tasks, which run until it loses the duty.
pub(super) fn start(control: &Rc<Control>, token: u64) {
    actix_rt::spawn(read_loop(control.clone(), token));
    actix_rt::spawn(action_loop(control.clone(), token));
    actix_rt::spawn(measure_delay(control.clone(), token));
    actix_rt::spawn(show_use(control.clone(), token));
}

/// Renews the duty while VMs are not heard that may see its row only.
async fn show_use(control: Rc<Control>, token: u64) {
    while holds(&control, token) {
        tokio::time::sleep(SHOW_INTERVAL.into()).await;
        if !control.is_use_shown() {
            continue;
        }
        if let Renewed::Lost = control.renew(token, None).await {
            return;
        }
        tokio::time::sleep(SHOW_INTERVAL.into()).await;
    }
}

/// Measures this VM's scheduling delay while it is the steward.
async fn measure_delay(control: Rc<Control>, token: u64) {
    while holds(&control, token) {
        let due = control.now() + DELAY_INTERVAL;
        tokio::time::sleep(DELAY_INTERVAL.into()).await;
        control.delay.record(due, control.now());
    }
}

fn holds(control: &Control, token: u64) -> bool {
    let mut state = control.state.borrow_mut();
    !state.stopped && state.held(token).is_some()
}

async fn read_loop(control: Rc<Control>, token: u64) {
    let mut backoff = Backoff::up_to(MAX_READ_DELAY);
    let mut offered = Time::default();
    let mut yield_interval = OFFER_INTERVAL;
    while holds(&control, token) {
        let began = control.now();
        let (rows, register) = tokio::join!(control.read_rows(), control.refresh_register());
        control.wake.notify_one();
        if rows.is_ok() && register.is_ok() {
            backoff.reset();
            control.keep_links().await;
            control.measure_rebirths().await;
            control.store.record_quiet().await;
            if offered + yield_interval <= began && control.yield_to_stronger().await {
                offered = control.now();
                yield_interval = MAX_YIELD_INTERVAL.min(yield_interval.percent(200));
            }
            let rest = READ_INTERVAL.0.saturating_sub(control.now().since(began).0);
            tokio::time::sleep(Duration::from(Span(rest))).await;
            continue;
        }
        let now = control.now();
        let answered = control.store.health().answered;
        let unanswered = answered.is_none_or(|at| at + STORE_TIMEOUT <= now);
        let lacks_readings = unanswered || control.has_old_register(now);
        if lacks_readings && offered + OFFER_INTERVAL <= now {
            control.hand_over("the store does not answer here").await;
            offered = control.now();
        }
        backoff.wait(control.random()).await;
    }
}

async fn action_loop(control: Rc<Control>, token: u64) {
    while holds(&control, token) {
        let (actions, again) = control.plan();
        let (new, actions): (Vec<_>, Vec<_>) = actions
            .into_iter()
            .partition(|action| matches!(action, Action::Create(..)));
        for action in actions {
            control.spawn(action, token);
        }
        control.spawn_creates(&new, token);
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
    fn is_use_shown(&self) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        let is_handing_over = state.held.as_ref().is_none_or(|held| held.handing_over);
        let heard = |id: &MemberId| match *id == self.id {
            true => Some(now),
            false => state.heartbeats.get(id).map(|heard| heard.at),
        };
        let members = state
            .reading
            .iter()
            .flat_map(|reading| reading.members.keys());
        !is_handing_over && takeover::shows_use(members.map(heard), now)
    }

    fn plan(&self) -> (Vec<Action>, Option<Time>) {
        let now = self.now();
        self.record_own_reports(now);
        let state = self.state.borrow();
        let (Some(reading), Some(held)) = (&state.reading, &state.held) else {
            return (Vec::new(), None);
        };
        let config = self.setup.shared.get().config.clone();
        let statuses = state.heartbeats.iter().map(|(id, heard)| {
            let status = Status {
                life: heard.life,
                at: heard.at,
                reports: &heard.reports,
            };
            (id.clone(), status)
        });
        plan(&Snapshot {
            now,
            steward_since: held.since,
            own: &self.id,
            reading,
            databases: state.register.databases(),
            config: config.as_deref(),
            register_since: state.register.began(),
            store_up_since: self.store.health().up,
            statuses: &statuses.collect(),
            tried: &state.tried,
            evicted: &state.evicted,
            evictions: &state.evictions,
            epochs: &state.epochs,
            dampers: &self.dampers.borrow(),
            margin: self.delay.margin(),
        })
    }

    /// Records this VM's own reports like those of the other VMs.
    fn record_own_reports(&self, now: Time) {
        let reports = self.setup.shared.get().reports.all(now);
        let own = LastHeartbeat {
            life: self.setup.life,
            at: now,
            read: None,
            reports: reports.into_iter().collect(),
        };
        self.state
            .borrow_mut()
            .heartbeats
            .insert(self.id.clone(), own);
    }

    fn changes_under_way(&self) -> usize {
        let state = self.state.borrow();
        let groups = state
            .running
            .iter()
            .filter(|topic| matches!(topic, Topic::Group(_)));
        groups.count()
    }

    /// Writes the first lead rows of new groups, many in one call. Of hundreds of groups that
    /// appear at once, written one by one, the last would get its leader seconds later, and each
    /// write is an update for all VMs.
    fn spawn_creates(self: &Rc<Self>, actions: &[Action], token: u64) {
        let mut new = Vec::new();
        for action in actions {
            if let Action::Create(group, primary) = action
                && self.state.borrow_mut().running.insert(action.topic())
            {
                new.push((group.clone(), primary.clone()));
            }
        }
        if new.is_empty() {
            return;
        }
        let control = self.clone();
        actix_rt::spawn(async move {
            for some in new.chunks(MAX_LEADS_PER_CALL) {
                control.create_leads(token, some).await;
            }
            control.ping_all();
            let mut state = control.state.borrow_mut();
            for (group, _) in new {
                state.running.remove(&Topic::Group(group));
            }
            drop(state);
            control.wake.notify_one();
        });
    }

    /// Performs an action in its own task, unless one on the same topic is in progress.
    fn spawn(self: &Rc<Self>, action: Action, token: u64) {
        let topic = action.topic();
        if let Action::Change(..) = action
            && self.changes_under_way() >= MAX_CHANGES
        {
            // The next plan contains it again, because each change that ends wakes this VM.
            return;
        }
        if !self.state.borrow_mut().running.insert(topic.clone()) {
            return;
        }
        let control = self.clone();
        actix_rt::spawn(async move {
            control.run(action, token).await;
            control.state.borrow_mut().running.remove(&topic);
            control.wake.notify_one();
        });
    }

    async fn run(self: &Rc<Self>, action: Action, token: u64) {
        match action {
            Action::Create(group, primary) => self.create_leads(token, &[(group, primary)]).await,
            Action::Change(group, cause) => self.change_primary(token, &group, cause).await,
            Action::Try(database) => self.try_database(&database).await,
            Action::StepDown(group, old) => self.step_down(&group, &old).await,
            Action::Ping(member) => self.ping_member(&member).await,
            Action::Remove(member, version) => self.remove_member(&member, version).await,
        }
    }

    /// Writes the first lead rows of new groups if the duty is still held.
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

    /// The first lead of a group in the store's era, and the current version of its row.
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

    /// Pings a VM that is silent. If it does not answer, it is marked as evicted, so that once a
    /// lease has passed no replacement waits for it.
    async fn ping_member(&self, id: &MemberId) {
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
            (self.setup.call)(member.address, question, PING_TIMEOUT + self.delay.margin()).await;
        match answer {
            Some(answer) if answer != Answer::Refused => {
                // It runs, and sends a heartbeat at once.
                if let Some(heard) = self.state.borrow_mut().heartbeats.get_mut(id) {
                    heard.at = self.now();
                }
                tokio::time::sleep(Duration::from(PING_TIMEOUT)).await;
            }
            answer => {
                let refused = answer.is_some();
                log::warn!(vm:% = id, life:% = member.life, refused; "a VM is silent: evicting it");
                let evicted = (member.life, self.now());
                self.state
                    .borrow_mut()
                    .evictions
                    .insert(id.clone(), evicted);
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
        log::info!(vm:% = id; "removing the row of a VM that can no longer hold a lease");
        let row = member_row(id);
        let change = Change {
            expect: vec![(row.clone(), version)],
            writes: Vec::new(),
            remove: vec![row],
        };
        self.write_member(change).await;
    }

    /// The next reading shows whether the change was applied; until then it is not attempted again.
    async fn write_member(&self, change: Change) {
        let _ = self.store.write(change).await;
        tokio::time::sleep(Duration::from(READ_INTERVAL)).await;
    }
}
