//! Heartbeats and what VMs tell each other with them.

use crate::clock::{Span, Time};
use crate::direct::config::Database;
use crate::direct::control::register::Changes;
use crate::direct::control::rows::{MemberId, Reading};
use crate::direct::control::state::{Beaten, Shown};
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

/// What was told this long ago at the latest has been heard by all that beat: two beats.
const NEWS: Span = Span::from_secs(1);

/// How many routes, keys and databases are told a second to VMs that ask for what is long, of 40 bytes each: a
/// link of 10 Mbit/s carries 1.2 MB, and heartbeats have to be answered in time meanwhile.
const TOLD_MOST: usize = 32_768;
const TOLD_EVERY: Span = Span::from_secs(1);

/// From this many databases on no more than four registers are told a second: each is one answer, which is held in
/// memory until a small link has taken it, and a crowd asks at a start.
const LONG_REGISTER: usize = 512;
const REGISTER_COST: usize = TOLD_MOST / 4;

/// How many entries a part of a configuration has: 20 KB, 16 ms on a small link.
const PART: usize = 512;

/// How often the VMs are counted that are heard: a heartbeat's answer must not cost more with more of them.
const COUNT_EVERY: Span = Span::from_millis(250);

/// How many words on how far primaries are a heartbeat's answer has, times the VMs that ask: 25 bytes
/// each, twice a second, are 200 KB a second. Without it VMs times groups of them go out: 300 VMs
/// and 700 groups are 10 MB a second, of 1.2 that the link of a small VM carries. A VM that is not told
/// learns by a read of its own.
const MOST_FRESH: usize = 4_000;

/// Up to this many entries in which a configuration differs are told with the answer to a heartbeat: 20 KB at
/// most. The steward has a link of 20 Mbit/s for some hundred VMs, so more are had from a VM near by, or from
/// the store.
const SHORT_CONFIG: usize = 256;

/// What a heartbeat tells of how databases answered.
///
/// **Pattern answered.** Hundreds of databases, nearly all of which are well, and a word on each of
/// them from every VM twice a second. **Without it** the steward of 99 VMs moves 3 MB a second.
/// **Why it suffices.** The steward judges primaries only: every VM that they answered says so.
/// Replicas are weighed by whoever sees something of their group fail.
pub fn telling(view: &View, now: Time) -> Vec<(DatabaseId, Report)> {
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
        let told = |group| failing.contains(group) || leads(group);
        report.failing.is_some() || group(id).is_some_and(told)
    });
    reports
}

impl Control {
    /// This VM's heartbeat.
    pub(super) fn beat(&self) -> Heartbeat {
        self.beat_for(false)
    }

    /// The same, for a VM that may tell a long configuration in full or not.
    pub(super) fn beat_for(&self, whole: bool) -> Heartbeat {
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
            peers: view.peers.digest(),
            leads: view.leases.digest(),
            reports: telling(&view, now),
        }
    }

    /// Answers a heartbeat; the steward remembers what it told.
    pub(super) fn answer_beat(&self, beat: Heartbeat) -> Update {
        let now = self.now();
        let id = MemberId::new(&beat.vm, beat.address.ip());
        let steward = self.is_steward();
        if steward {
            self.note_beat(&id, &beat, now);
        }
        let hears_most = steward && self.hears_most(now);
        let whole = beat.accepts_long && self.may_tell_long(&beat, now);
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
            true => Limit::Portion(PART),
            false => Limit::Rest(SHORT_CONFIG),
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
            duty: self.duty_heard(now),
            member: reading.is_some(),
            listed,
            leads: reading.map(|reading| leads_news(reading, &state.leads, beat.leads, now)),
            fresh: self.fresh_news(now),
            peers: reading.and_then(|_| self.fellows_news(beat.peers)),
            newest,
            config: part,
            register: self.register_news(beat.register, whole, now),
        }
    }

    /// Whether one more VM may be told what is long. Those beyond the bound are told that there is
    /// something newer, and ask again: their heartbeats are answered in time meanwhile.
    fn may_tell_long(&self, beat: &Heartbeat, now: Time) -> bool {
        let newer = self.config_version() > beat.config;
        let mut state = self.state.borrow_mut();
        let register = &state.register;
        let differs = register.asked().is_some() && register.digest() != beat.register;
        let databases = match register.databases().len() {
            _ if !differs => 0,
            many if many >= LONG_REGISTER => many.max(REGISTER_COST),
            few => few,
        };
        if now.since(state.told_long.0) >= TOLD_EVERY {
            state.told_long = (now, 0);
        }
        if state.told_long.1 >= TOLD_MOST {
            return false;
        }
        state.told_long.1 += databases + if newer { PART } else { 0 };
        true
    }

    /// How far primaries have come, as far as that was not told before.
    fn fresh_news(&self, now: Time) -> Vec<Progress> {
        let view = self.setup.shared.get();
        let most = MOST_FRESH / view.peers.list().len().max(1);
        let mut told = view.fresh.told(now);
        told.retain(|progress| progress.age < NEWS);
        if told.len() > most {
            // Others are told of other groups.
            let start = (self.chance() * told.len() as f64) as usize;
            told.rotate_left(start);
            told.truncate(most);
        }
        told
    }

    fn duty_heard(&self, now: Time) -> Option<Steward> {
        let state = self.state.borrow();
        if let Some(held) = &state.held {
            return Some(Steward {
                address: self.setup.address,
                token: held.token,
                version: Some(held.version),
                age: Span::ZERO,
            });
        }
        let post = state
            .post
            .as_ref()
            .filter(|post| post.hearing.ended.is_none())?;
        Some(Steward {
            address: post.address,
            token: post.token,
            version: None,
            age: now.since(post.hearing.since),
        })
    }

    /// The VMs, or what changed of them, unless whoever asks knows them.
    fn fellows_news(&self, known: u64) -> Option<PeerUpdate> {
        self.setup.shared.get().peers.update_for(known)
    }

    fn register_news(&self, known: u64, whole: bool, now: Time) -> Option<RegisterUpdate> {
        let state = self.state.borrow();
        let register = &state.register;
        let asked = register.asked()?;
        let differs = register.digest() != known;
        differs.then(|| RegisterUpdate {
            age: now.since(asked),
            digest: register.digest(),
            content: register.content_for(known, whole),
        })
    }

    /// Whether more than half of the registered VMs have sent this one a heartbeat within [`HEARTBEAT_AGE`].
    pub(super) fn hears_most(&self, now: Time) -> bool {
        let mut state = self.state.borrow_mut();
        let (at, hears) = state.hears_most;
        if now < at + COUNT_EVERY {
            return hears;
        }
        let hears = state.count_heard(&self.id, now + COUNT_EVERY);
        state.hears_most = (now, hears);
        hears
    }

    fn note_beat(&self, id: &MemberId, beat: &Heartbeat, now: Time) {
        let mut state = self.state.borrow_mut();
        let failing = beat
            .reports
            .iter()
            .any(|(_, report)| report.failing.is_some());
        let known = state.heard.insert(
            id.clone(),
            Beaten {
                life: beat.life,
                at: now,
                reports: beat.reports.iter().cloned().collect(),
            },
        );
        drop(state);
        if known.is_none_or(|known| known.life != beat.life) {
            log::info!(vm:% = id, life:% = beat.life; "a VM is heard");
        }
        if failing {
            self.wake.notify_one();
        }
        self.hear_of_config(beat.config, beat.address);
    }

    /// Takes over what the VM that listens at `from` told, which was asked at `asked`.
    pub(super) fn take_news(&self, news: Update, from: SocketAddr, asked: Time) {
        if let Some((era, age)) = news.era {
            self.store.hear_era(era, asked - age);
        }
        if let Some(part) = news.config {
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
        self.hear_of_config(news.newest, from);
        if let Some(news) = news.register {
            self.take_register(news, asked);
        }
        for progress in &news.fresh {
            let now = self.now();
            let mut view = self.setup.shared.modify_silently();
            view.fresh.hear(progress, asked);
            view.watermarks
                .note(&progress.group, progress.epoch, progress.position, now);
        }
        if let Some(fellows) = news.peers {
            let now = self.now();
            self.setup
                .shared
                .modify_silently()
                .peers
                .apply(fellows, now);
        }
        if news.has_majority {
            self.setup.shared.modify_silently().tenure.confirm(asked);
        }
        if let Some(leads) = news.leads {
            let read = asked - leads.age;
            self.prolong_tenure(read);
            self.take_leads(leads, asked);
        }
    }

    /// A reading asked at `asked` shows this VM as registered.
    pub(super) fn prolong_tenure(&self, asked: Time) {
        let now = self.now();
        let begins = self.setup.shared.modify_silently().tenure.read(asked, now);
        if begins {
            log::info!(vm:% = self.id; "this VM may hand out what it keeps, from now on");
        }
    }

    /// Takes over the register, or what changed of it. One that is only said to differ is read from the
    /// store.
    fn take_register(&self, news: RegisterUpdate, asked: Time) {
        let at = asked - news.age;
        let known = self.state.borrow().register.asked();
        if known.is_some_and(|known| known > at) {
            return;
        }
        let content = news.content.map(|content| {
            let state = self.state.borrow();
            state.register.with(content, news.digest)
        });
        match content {
            Some(Some(found)) => {
                let mut state = self.state.borrow_mut();
                let changes = state.register.told(found, at);
                state.lacks_register = false;
                drop(state);
                self.publish(&changes, news.age);
            }
            // About another register than the one that is known here by now.
            Some(None) => {}
            None => {
                self.state.borrow_mut().lacks_register = true;
                self.lacking.notify_one();
            }
        }
    }

    /// Learns who leads. That nothing changed is as good as the rows, unless this VM has learned of
    /// a change since it asked: then the reading showed less than is known here. The same holds for
    /// what did not change where only changes are told.
    fn take_leads(&self, leads: Leads, asked: Time) {
        let at = asked - leads.age;
        for (group, lead) in leads.rows.into_iter().flatten() {
            self.learn_lead(&group, lead, at);
        }
        let shown = self.setup.shared.get().leases.shown(leads.digest);
        for (group, lead) in shown.unwrap_or_default() {
            self.learn_lead(&group, lead, at);
        }
    }

    /// Learns who leads a group, by a reading that is a lease for this VM.
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
            // Only the lease grows longer: nobody waits for that.
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

    /// Shows the sessions the databases, if they changed.
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

/// Who leads, as far as the asking VM does not know it.
fn leads_news(reading: &Reading, shown: &Shown, known: u64, now: Time) -> Leads {
    let rows = || match shown.history.since(known) {
        Some(changed) => reading.rows_of(&changed),
        None => reading.rows(),
    };
    Leads {
        age: now.since(reading.asked),
        digest: shown.digest,
        rows: (shown.digest != known).then(rows),
    }
}

/// Ids as one word of a log line.
pub(super) fn list(ids: &[DatabaseId]) -> String {
    let ids: Vec<&str> = ids.iter().map(DatabaseId::as_str).collect();
    ids.join(",")
}
