//! Heartbeats, and the updates with which VMs answer them.

use crate::clock::{Span, Time};
use crate::direct::config::Database;
use crate::direct::control::register::Changes;
use crate::direct::control::rows::{MemberId, Reading};
use crate::direct::control::state::{LastHeartbeat, LeadHistory};
use crate::direct::control::{Control, watch};
use crate::direct::fresh::Progress;
use crate::direct::lead::Lead;
use crate::direct::mesh::{Heartbeat, Leads, Listed, RegisterUpdate, Steward, Update};
use crate::direct::parts::Limit;
use crate::direct::table::Version;
use crate::direct::view::PeerUpdate;
use crate::direct::view::{Report, View};
use crate::types::{DatabaseId, GroupId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The maximum age of progress that is sent on: after two heartbeats all VMs have received it.
const MAX_PROGRESS_AGE: Span = Span::from_secs(1);

/// How many entries (routes, keys and databases) of long lists are sent per [`LONG_INTERVAL`]. An
/// entry has 40 bytes, a link of 10 Mbit/s carries 1.2 MB a second, and heartbeats have to be
/// answered in time meanwhile.
const MAX_LONG_ENTRIES: usize = 32_768;
const LONG_INTERVAL: Span = Span::from_secs(1);

/// From this many databases on, at most four registers are sent a second: each is one answer that
/// stays in memory until a small link has carried it, and many VMs ask at a start.
const LONG_REGISTER: usize = 512;
const MIN_REGISTER_COST: usize = MAX_LONG_ENTRIES / 4;

/// The number of entries in a part of a configuration: 20 KB, 16 ms on a small link.
const PART_ENTRIES: usize = 512;

/// How often the VMs with a recent heartbeat are counted, so that the cost of answering a heartbeat
/// does not grow with their number.
const MAJORITY_INTERVAL: Span = Span::from_millis(250);

/// The limit for progress entries in a heartbeat's answer, multiplied by the number of VMs. An
/// entry has 25 bytes and is sent twice a second, which makes 200 KB a second. Without a limit, 300
/// VMs and 700 groups would need 10 MB a second, while the link of a small VM carries 1.2 MB. A VM
/// that does not receive a group's progress learns it by a read of its own.
const MAX_PROGRESS: usize = 4_000;

/// Up to this many changed entries of a configuration are sent with the answer to a heartbeat: 20
/// KB at most. The steward has a link of 20 Mbit/s for some hundred VMs, so larger changes are
/// fetched from a VM of the same failure domain, or from the store.
const MAX_SHORT_CONFIG: usize = 256;

/// Returns the reports on databases that a heartbeat contains.
///
/// There are hundreds of databases, nearly all of them healthy. With a report on each of them from
/// every VM twice a second, the steward of 99 VMs would receive 3 MB a second. The steward judges
/// only primaries, so every VM reports those that answered it. Reports on replicas are needed, to
/// choose among them, only from VMs that see a failure in their group.
pub fn selected_reports(view: &View, now: Time) -> Vec<(DatabaseId, Report)> {
    let mut reports = view.reports.all(now);
    let group = |id: &DatabaseId| view.databases.get(id).map(|database| &database.group);
    let failing = reports
        .iter()
        .filter(|(_, report)| report.failing.is_some());
    let failing: BTreeSet<&GroupId> = failing.filter_map(|(id, _)| group(id)).collect();
    reports.retain(|(id, report)| {
        let leads = |group| {
            view.leases
                .known(group)
                .is_some_and(|(lead, _)| lead.primary == *id)
        };
        let is_selected = |group| failing.contains(group) || leads(group);
        report.failing.is_some() || group(id).is_some_and(is_selected)
    });
    reports
}

impl Control {
    /// Makes this VM's heartbeat.
    pub(super) fn heartbeat(&self) -> Heartbeat {
        self.heartbeat_for(false)
    }

    /// Makes this VM's heartbeat; `whole` asks for long lists as well.
    pub(super) fn heartbeat_for(&self, whole: bool) -> Heartbeat {
        let now = self.now();
        let view = self.setup.shared.get();
        Heartbeat {
            vm: self.setup.vm.clone(),
            life: self.setup.life,
            address: self.setup.address,
            config: view
                .config
                .as_ref()
                .map_or_else(Default::default, |c| c.version),
            gathered: self.state.borrow().gathering.gathered(),
            accepts_long: whole,
            register: self.state.borrow().register.digest(),
            reading_age: self.recent_reading(now).map(|asked| now.since(asked)),
            peers: view.peers.digest(),
            leads: view.leases.digest(),
            reports: selected_reports(&view, now),
        }
    }

    /// Answers a heartbeat; the steward also keeps it.
    pub(super) fn answer_heartbeat(&self, beat: Heartbeat) -> Update {
        let now = self.now();
        let id = MemberId::new(&beat.vm, beat.address.ip());
        let steward = self.is_steward();
        if steward {
            self.record_heartbeat(&id, &beat, now);
        }
        let hears_most = steward && self.has_majority(now);
        let whole = beat.accepts_long && self.may_send_long(&beat, now);
        let state = self.state.borrow();
        let read = state.reading.as_ref();
        let listed = read.map(|reading| Listed {
            version: reading
                .members
                .get(&id)
                .map_or(Version::NONE, |member| member.1),
            age: now.since(reading.asked),
        });
        let reading = read.filter(|reading| reading.is_lease_for(&id, beat.life));
        let config = self.setup.shared.get().config.clone();
        let newest = config.as_ref().map_or_else(Default::default, |c| c.version);
        let limit = match whole {
            true => Limit::Portion(PART_ENTRIES),
            false => Limit::Rest(MAX_SHORT_CONFIG),
        };
        let part = config.and_then(|config| {
            let gathered = beat.gathered.as_ref();
            state
                .config_changes
                .part(&config, beat.config, gathered, limit)
        });
        let (era, since) = self.store.era();
        Update {
            life: self.setup.life,
            era: since.map(|since| (era, now.since(since))),
            steward,
            has_majority: hears_most,
            duty: self.known_duty(now),
            member: reading.is_some(),
            listed,
            leads: reading.map(|reading| leads_update(reading, &state.leads, beat.leads, now)),
            fresh: self.progress_update(now),
            peers: reading.and_then(|_| self.peers_update(beat.peers)),
            newest,
            config: part,
            register: self.register_update(beat.register, whole, now),
        }
    }

    /// Returns whether long lists may be sent to one more VM. VMs beyond the limit are only
    /// informed that there is something newer, and ask again, so that heartbeats are answered in
    /// time meanwhile.
    fn may_send_long(&self, beat: &Heartbeat, now: Time) -> bool {
        let newer = self.config_version() > beat.config;
        let mut state = self.state.borrow_mut();
        let register = &state.register;
        let differs = register.asked().is_some() && register.digest() != beat.register;
        let databases = match register.databases().len() {
            _ if !differs => 0,
            many if many >= LONG_REGISTER => many.max(MIN_REGISTER_COST),
            few => few,
        };
        if now.since(state.long_sent.0) >= LONG_INTERVAL {
            state.long_sent = (now, 0);
        }
        if state.long_sent.1 >= MAX_LONG_ENTRIES {
            return false;
        }
        state.long_sent.1 += databases + if newer { PART_ENTRIES } else { 0 };
        true
    }

    /// Returns the recent progress of primaries, at most as many entries as [`MAX_PROGRESS`]
    /// allows.
    fn progress_update(&self, now: Time) -> Vec<Progress> {
        let view = self.setup.shared.get();
        let max = MAX_PROGRESS / view.peers.list().len().max(1);
        let mut recent = view.fresh.progress(now);
        recent.retain(|progress| progress.age < MAX_PROGRESS_AGE);
        if recent.len() > max {
            // Starts at a random group, so that VMs receive different groups.
            let start = (self.random() * recent.len() as f64) as usize;
            recent.rotate_left(start);
            recent.truncate(max);
        }
        recent
    }

    fn known_duty(&self, now: Time) -> Option<Steward> {
        let state = self.state.borrow();
        if let Some(held) = &state.held {
            return Some(Steward {
                address: self.setup.address,
                token: held.token,
                version: Some(held.version),
                age: Span::ZERO,
            });
        }
        let followed = state
            .followed
            .as_ref()
            .filter(|f| f.contact.ended.is_none() && f.contact.refused.is_none())?;
        Some(Steward {
            address: followed.address,
            token: followed.token,
            version: None,
            age: now.since(followed.contact.since),
        })
    }

    /// Returns the VMs, or their changes, unless the asking VM has them.
    fn peers_update(&self, known: u64) -> Option<PeerUpdate> {
        self.setup.shared.get().peers.update_for(known)
    }

    fn register_update(&self, known: u64, whole: bool, now: Time) -> Option<RegisterUpdate> {
        let state = self.state.borrow();
        let register = &state.register;
        let asked = register.asked()?;
        let differs = register.digest() != known;
        Some(RegisterUpdate {
            age: now.since(asked),
            digest: register.digest(),
            content: differs
                .then(|| register.content_for(known, whole))
                .flatten(),
        })
    }

    /// Whether more than half of the registered VMs have sent this one a heartbeat within
    /// [`HEARTBEAT_AGE`](crate::direct::tenure::HEARTBEAT_AGE).
    pub(super) fn has_majority(&self, now: Time) -> bool {
        let mut state = self.state.borrow_mut();
        let (at, known) = state.majority;
        if now < at + MAJORITY_INTERVAL {
            return known;
        }
        let counted = state.has_majority(&self.id, now + MAJORITY_INTERVAL);
        state.majority = (now, counted);
        counted
    }

    fn record_heartbeat(&self, id: &MemberId, beat: &Heartbeat, now: Time) {
        let mut state = self.state.borrow_mut();
        let failing = beat
            .reports
            .iter()
            .any(|(_, report)| report.failing.is_some());
        let known = state.heartbeats.insert(
            id.clone(),
            LastHeartbeat {
                life: beat.life,
                at: now,
                read: beat.reading_age.map(|age| now - age),
                reports: beat.reports.iter().cloned().collect(),
            },
        );
        drop(state);
        if known.is_none_or(|known| known.life != beat.life) {
            log::info!(vm:% = id, life:% = beat.life; "received the first heartbeat of a VM's life");
        }
        if failing {
            self.wake.notify_one();
        }
        self.record_config_version(beat.config, beat.address);
    }

    /// Applies the update of the VM at `from` to a question sent at `asked`.
    pub(super) fn apply_update(&self, update: Update, from: SocketAddr, asked: Time) {
        if let Some((era, age)) = update.era {
            self.store.record_era(era, asked - age);
        }
        if let Some(part) = update.config {
            let known = self.setup.shared.get().config.clone();
            let taken = self
                .state
                .borrow_mut()
                .gathering
                .take(part, known.as_deref());
            if let Some(config) = taken {
                watch::apply(self, config, "another VM");
            }
        }
        self.record_config_version(update.newest, from);
        if let Some(update) = update.register {
            self.apply_register(update, asked);
        }
        for progress in &update.fresh {
            let now = self.now();
            let mut view = self.setup.shared.modify_silently();
            view.fresh.receive(progress, asked);
            view.watermarks
                .note(&progress.group, progress.epoch, progress.position, now);
        }
        if let Some(peers) = update.peers {
            let now = self.now();
            self.setup.shared.modify_silently().peers.apply(peers, now);
        }
        if update.has_majority {
            self.setup.shared.modify_silently().tenure.confirm(asked);
        }
        if let Some(leads) = update.leads {
            let read = asked - leads.age;
            self.extend_tenure(read);
            self.apply_leads(leads, asked);
        }
    }

    /// Extends the tenure: a reading requested at `asked` shows this VM as registered.
    pub(super) fn extend_tenure(&self, asked: Time) {
        let now = self.now();
        let begins = self.setup.shared.modify_silently().tenure.read(asked, now);
        if begins {
            log::info!(vm:% = self.id; "this VM may hand out what it keeps, from now on");
        }
    }

    /// Applies an update of the register. If its content differs and is not included, it is to be
    /// fetched.
    fn apply_register(&self, update: RegisterUpdate, asked: Time) {
        let at = asked - update.age;
        {
            let mut state = self.state.borrow_mut();
            state.register_told = state.register_told.max(Some(at));
            let register = &mut state.register;
            if register.asked().is_some_and(|known| known > at) {
                return;
            }
            if register.asked().is_some() && register.digest() == update.digest {
                register.confirm(at);
                return;
            }
        }
        let content = update.content.map(|content| {
            let state = self.state.borrow();
            state.register.resolve(content, update.digest)
        });
        match content {
            Some(Some(found)) => {
                let mut state = self.state.borrow_mut();
                let changes = state.register.apply(found, at);
                state.lacks_register = false;
                drop(state);
                self.publish(&changes, update.age);
            }
            // The changes do not apply to the register that is known here now.
            Some(None) => {}
            None => {
                self.state.borrow_mut().lacks_register = true;
                self.config_missing.notify_one();
            }
        }
    }

    /// Applies the leads of an update. An unchanged digest confirms the known leads, unless this VM
    /// has learned of a change since it asked: then the reading was older than what is known here.
    /// The same holds for unchanged groups in an update that contains only changes.
    fn apply_leads(&self, leads: Leads, asked: Time) {
        let at = asked - leads.age;
        for (group, lead) in leads.rows.into_iter().flatten() {
            self.learn_lead(&group, lead, at);
        }
        let shown = self.setup.shared.get().leases.shown(leads.digest);
        for (group, lead) in shown.unwrap_or_default() {
            self.learn_lead(&group, lead, at);
        }
    }

    /// Applies the lead of a group from a reading that is a lease for this VM.
    pub(super) fn learn_lead(&self, group: &GroupId, lead: Lead, asked: Time) {
        if self.state.borrow().stopped {
            return;
        }
        let shared = &self.setup.shared;
        let known = shared
            .get()
            .leases
            .known(group)
            .map(|(known, _)| known.clone());
        let lapsed = shared.get().leases.until(group) <= Some(self.now());
        if known.as_ref() == Some(&lead) && !lapsed {
            // This only extends the lease, for which no task waits.
            return shared.modify_silently().leases.learn(group, lead, asked);
        }
        shared.modify(|view| view.leases.learn(group, lead.clone(), asked));
        if known.as_ref() == Some(&lead) {
            return;
        }
        if known.is_some_and(|known| (known.epoch, known.changing) > (lead.epoch, lead.changing)) {
            return;
        }
        log::info!(
            group:%, primary:% = lead.primary, epoch = lead.epoch, changing = lead.changing,
            age_ms = self.now().since(asked).0 / 1_000;
            "who leads a group is known anew"
        );
    }

    /// Publishes the databases to the sessions, if they changed.
    pub(super) fn publish(&self, changes: &Changes, age: Span) {
        if !changes.any {
            return;
        }
        let state = self.state.borrow();
        let databases: BTreeMap<DatabaseId, Database> = state.register.databases().clone();
        drop(state);
        log::info!(
            came:% = list(&changes.came), gone:% = list(&changes.gone),
            leaving:% = list(&changes.leaving), reborn:% = list(&changes.reborn),
            role:% = list(&changes.role),
            databases = databases.len(), age_ms = age.0 / 1_000;
            "the register changed"
        );
        self.setup.shared.modify(|view| {
            let same = |id: &DatabaseId| !changes.reborn.contains(id);
            view.reports
                .retain(|id| databases.contains_key(id) && same(id));
            view.databases = databases;
        });
        self.wake.notify_one();
    }
}

/// Returns the leads that the asking VM lacks.
fn leads_update(reading: &Reading, own: &LeadHistory, known: u64, now: Time) -> Leads {
    let rows = || match own.history.since(known) {
        Some(changed) => reading.leads_of(&changed),
        None => reading.all_leads(),
    };
    Leads {
        age: now.since(reading.asked),
        digest: own.digest,
        rows: (own.digest != known).then(rows),
    }
}

/// Joins ids to one value of a log line.
pub(super) fn list(ids: &[DatabaseId]) -> String {
    let ids: Vec<&str> = ids.iter().map(DatabaseId::as_str).collect();
    ids.join(",")
}
