//! Replaces a group's primary, step by step. docs/PLATFORM.md gives the reasons for the order.

use crate::clock::{Span, Time};
use crate::direct::adapter::{Promoted, Promotion};
use crate::direct::config::Database;
use crate::direct::control::Control;
use crate::direct::control::backoff::Backoff;
use crate::direct::control::duty::{Extra, Renewed};
use crate::direct::control::evidence;
use crate::direct::control::promotion::{Choice, Drops, Permit, Pick, Word};
use crate::direct::control::rows::{Member, MemberId, encode, lead_row};
use crate::direct::control::steward::Cause;
use crate::direct::lead::{Epoch, Lead};
use crate::direct::mesh::{Answer, Question};
use crate::direct::table::Version;
use crate::types::{DatabaseId, Domain, GroupId, Position};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long work on a primary that still runs may take to end.
const PATIENCE: Span = Span::from_secs(1);

/// How long a VM may take to answer beyond that.
const CALL: Span = Span::from_millis(400);

/// The pause before a VM or a database is asked again.
const AGAIN: Duration = Duration::from_millis(30);

/// Changes of a primary that still runs are this far apart at least.
const DAMPING: Span = Span::from_secs(10);

/// How long a promotion may take before it is ordered again: a second as a rule.
const LEADS_WITHIN: Span = Span::from_secs(3);

/// How long a database may refuse to be promoted before another one is chosen.
const REFUSES: Span = Span::from_secs(3);

/// A replacement under way.
#[derive(Debug, Clone)]
struct Work {
    token: u64,
    group: GroupId,
    epoch: Epoch,
    old: DatabaseId,
    cause: Cause,
    /// The version of the lead row with the intent.
    version: Version,
    /// When the intent was certainly there.
    intent: Time,
}

/// Why a replacement ended early: the duty or the row is somebody else's.
struct Lost;

impl Control {
    /// Replaces a group's primary.
    pub(super) async fn change_primary(self: &Rc<Self>, token: u64, group: &GroupId, cause: Cause) {
        let began = self.now();
        self.log_cause(group, cause);
        match self.try_change(token, group, cause).await {
            Ok(Some(primary)) => log::warn!(
                group:%, primary:%, cause:?, took_ms = self.now().since(began).0 / 1_000;
                "the primary is replaced"
            ),
            Ok(None) => {}
            Err(Lost) => log::warn!(group:%, token; "a replacement is left to another VM"),
        }
        // The next look must not work with rows from before.
        let _ = self.read_rows().await;
    }

    fn log_cause(&self, group: &GroupId, cause: Cause) {
        let state = self.state.borrow();
        let lead = state.reading.as_ref().and_then(|r| r.leads.get(group));
        let Some((lead, _)) = lead else { return };
        let now = self.now();
        let witnesses = state.heard.values().map(|heard| evidence::Witness {
            heard: heard.at,
            report: heard
                .reports
                .get(&lead.primary)
                .copied()
                .unwrap_or_default(),
        });
        let votes = evidence::count(witnesses, now);
        let ago = |at: Option<Time>| at.map(|at| now.since(at).0 / 1_000);
        let tried = state.tried.get(&lead.primary);
        log::warn!(
            group:%, primary:% = lead.primary, epoch = lead.epoch, cause:?, silent = votes.silent,
            long = votes.long, fine = votes.fine, failing_ms:? = ago(votes.since),
            answered_ms:? = ago(votes.answered), tried:? = tried.map(|tried| tried.attempt),
            tried_ms:? = ago(tried.map(|tried| tried.ended)),
            registered = state.register.databases().contains_key(&lead.primary);
            "the primary is to be replaced"
        );
    }

    async fn try_change(
        self: &Rc<Self>,
        token: u64,
        group: &GroupId,
        cause: Cause,
    ) -> Result<Option<DatabaseId>, Lost> {
        let Some(work) = self.intend(token, group, cause).await? else {
            return Ok(None);
        };
        self.drop_everywhere(&work).await;
        log::info!(
            group:%, epoch = work.epoch, took_ms = self.now().since(work.intent).0 / 1_000;
            "no VM acts on the old primary any more"
        );
        let target = self.old_position(&work).await;
        let primary = self.order(&work, target).await?;
        self.publish_lead(&work, primary.clone()).await?;
        Ok(Some(primary))
    }

    /// Writes that a replacement is under way, unless that is written already.
    async fn intend(
        self: &Rc<Self>,
        token: u64,
        group: &GroupId,
        cause: Cause,
    ) -> Result<Option<Work>, Lost> {
        let known = {
            let state = self.state.borrow();
            let reading = state.reading.as_ref();
            reading.and_then(|r| Some((r.leads.get(group)?.clone(), r.answered)))
        };
        let Some(((lead, mut version), mut intent)) = known else {
            return Ok(None);
        };
        if cause.is_planned() {
            let damper = &mut *self.dampers.borrow_mut();
            damper
                .entry(group.clone())
                .or_default()
                .promoted(self.now(), DAMPING);
        }
        if !lead.changing {
            let changing = Lead {
                changing: true,
                ..lead.clone()
            };
            let extra = Extra {
                row: lead_row(group),
                expect: version,
                value: encode(&changing),
            };
            match self.renew(token, Some(&extra)).await {
                Renewed::Done { version: new, .. } => version = new,
                Renewed::Conflict => return Ok(None),
                Renewed::Lost => return Err(Lost),
            }
            intent = self.now();
        }
        Ok(Some(Work {
            token,
            group: group.clone(),
            epoch: lead.epoch,
            old: lead.primary,
            cause,
            version,
            intent,
        }))
    }

    /// Has every VM that may hold a lease give the epoch up, or waits until its lease has lapsed.
    async fn drop_everywhere(self: &Rc<Self>, work: &Work) {
        let members = self.members_after(work.intent).await;
        let mut drops = Drops::default();
        let mut calls = FuturesUnordered::new();
        for (id, member) in members {
            let marked = self.state.borrow().evicted.get(&id).map(|(_, seen)| *seen);
            let since = marked.filter(|_| member.evicted).unwrap_or(work.intent);
            drops.expect(id.clone(), since.min(work.intent));
            let until = drops.until(&id).unwrap_or(work.intent);
            calls.push(self.drop_at(work, id, member.address, until));
        }
        while let Some((id, how)) = calls.next().await {
            drops.done(&id);
            if how != "given up" {
                log::info!(vm:% = id, group:% = work.group, epoch = work.epoch, how; "a VM holds no lease");
            }
        }
    }

    /// The VMs' rows, read after the intent was there.
    async fn members_after(self: &Rc<Self>, intent: Time) -> BTreeMap<MemberId, Member> {
        let mut backoff = Backoff::default();
        loop {
            if let Ok(reading) = self.store.reading().await
                && reading.asked >= intent
            {
                self.learn(reading.clone());
                let members = reading.members.into_iter();
                return members.map(|(id, (member, _))| (id, member)).collect();
            }
            backoff.wait().await;
        }
    }

    async fn drop_at(
        self: &Rc<Self>,
        work: &Work,
        id: MemberId,
        address: SocketAddr,
        until: Time,
    ) -> (MemberId, &'static str) {
        let patience = if work.cause.is_planned() {
            PATIENCE
        } else {
            Span::ZERO
        };
        if id == self.id {
            self.drop_epoch(work.group.clone(), work.epoch, patience)
                .await;
            return (id, "given up");
        }
        while self.now() < until {
            let question = Question::Drop {
                group: work.group.clone(),
                epoch: work.epoch,
                patience,
            };
            let left = until.since(self.now());
            match (self.setup.call)(address, question, left.min(patience + CALL)).await {
                Some(Answer::Dropped(_)) => return (id, "given up"),
                Some(Answer::Absent) => return (id, "ended"),
                _ => tokio::time::sleep(AGAIN).await,
            }
        }
        (id, "lapsed")
    }

    /// What the old primary has, now that nobody writes there: a replica that has it loses
    /// nothing.
    async fn old_position(&self, work: &Work) -> Option<Position> {
        if !work.cause.is_planned() {
            return None;
        }
        let old = self.setup.shared.look().databases.get(&work.old).cloned()?;
        for _ in 0..5 {
            let word = self.standing(&old).await;
            if let Word::Stands(standing) = word {
                return Some(standing.received);
            }
            tokio::time::sleep(AGAIN).await;
        }
        None
    }

    /// Chooses a database and has it promoted; returns it once it leads, or will in a moment.
    async fn order(
        self: &Rc<Self>,
        work: &Work,
        target: Option<Position>,
    ) -> Result<DatabaseId, Lost> {
        let mut not_running = Vec::new();
        loop {
            let began = self.now();
            let (id, position) = self.choose(work, target, &not_running).await?;
            log::info!(
                group:% = work.group, database:% = id, position:%,
                target:? = target.map(|t| t.to_string()),
                took_ms = self.now().since(began).0 / 1_000; "a database is chosen to lead"
            );
            match self.order_one(work, &id).await? {
                true => return Ok(id),
                false => not_running = vec![id],
            }
        }
    }

    /// Orders one database to lead until that is certain; false if another has to be chosen.
    async fn order_one(self: &Rc<Self>, work: &Work, id: &DatabaseId) -> Result<bool, Lost> {
        let mut backoff = Backoff::default();
        let mut unknown = false;
        let began = self.now();
        loop {
            let asked = match self.renew(work.token, None).await {
                Renewed::Done { asked, .. } => asked,
                Renewed::Conflict | Renewed::Lost => return Err(Lost),
            };
            let Some(promoted) = self.order_once(work, id, asked).await else {
                // The renewal took too long, or the duty is being handed over.
                tokio::time::sleep(AGAIN).await;
                continue;
            };
            log::info!(
                group:% = work.group, database:% = id, token = work.token, outcome:? = promoted,
                renewed_ms = self.now().since(asked).0 / 1_000; "a promotion was ordered"
            );
            match promoted {
                Promoted::Done => {
                    if let Some(leads) = self.leads(work, id).await {
                        return Ok(leads);
                    }
                    unknown = true;
                }
                Promoted::NotRunning => return Ok(false),
                Promoted::Refused if !unknown && began + REFUSES <= self.now() => return Ok(false),
                Promoted::Refused => {}
                Promoted::Unknown => unknown = true,
            }
            backoff.wait().await;
        }
    }

    /// Waits until a database that was ordered to lead does; false if it has ended, none if it
    /// takes too long.
    ///
    /// **Failure answered.** A promotion takes up to a second. Until then the database is a
    /// replica: it answers reads by what it has applied, and if another replacement began now and
    /// ordered the old primary, the platform would say that nothing has to be done.
    /// **Symptom without it.** Reads that lack what was acknowledged; two databases that count as
    /// primary in turn. **Why it suffices.** The new lead is written, and another replacement
    /// begun, only once the database itself says that it leads.
    async fn leads(&self, work: &Work, id: &DatabaseId) -> Option<bool> {
        let until = self.now() + LEADS_WITHIN;
        while self.now() < until {
            let known = self.setup.shared.look().databases.get(id).cloned();
            let Some(database) = known else {
                return Some(false);
            };
            match self.standing(&database).await {
                Word::Stands(standing) if standing.primary => {
                    log::info!(group:% = work.group, database:% = id, term:% = standing.term; "it leads");
                    return Some(true);
                }
                Word::Absent => return Some(false),
                _ => tokio::time::sleep(AGAIN).await,
            }
        }
        None
    }

    async fn order_once(&self, work: &Work, id: &DatabaseId, asked: Time) -> Option<Promoted> {
        let now = self.now();
        let deadline = Permit::new(asked).deadline(now)?;
        {
            let mut state = self.state.borrow_mut();
            let held = state.held(work.token)?;
            if held.handing || asked < held.valid {
                return None;
            }
            held.ordering += 1;
        }
        let order = Promotion {
            group: work.group.clone(),
            database: id.clone(),
            holder: self.setup.vm.clone(),
            token: work.token,
            deadline,
        };
        let promoted = (self.setup.adapter.promote)(order).await;
        if let Some(held) = self.state.borrow_mut().held(work.token) {
            held.ordering -= 1;
        }
        Some(promoted)
    }

    /// The databases that may lead now.
    fn candidates(&self, work: &Work, not: &[DatabaseId]) -> Vec<Database> {
        let view = self.setup.shared.look();
        let stays = |d: &&Database| {
            // The old primary is one only if it was lost. A steward before may have ordered another
            // database to lead, which takes effect whatever the old one says now.
            let out = work.cause.is_planned() || work.cause == Cause::Unfinished;
            !(not.contains(&d.id) || out && d.id == work.old)
        };
        let members: Vec<_> = view.members(&work.group).filter(stays).cloned().collect();
        let staying: Vec<_> = members.iter().filter(|d| !d.leaving).cloned().collect();
        if staying.is_empty() { members } else { staying }
    }

    fn domain(&self, work: &Work) -> Option<Domain> {
        let view = self.setup.shared.look();
        view.databases.get(&work.old).map(|d| d.domain.clone())
    }

    async fn choose(
        &self,
        work: &Work,
        target: Option<Position>,
        not: &[DatabaseId],
    ) -> Result<(DatabaseId, Position), Lost> {
        let mut asked: Vec<DatabaseId> = Vec::new();
        let mut choice = Choice::new(self.now(), None, None, []);
        loop {
            if self.state.borrow_mut().held(work.token).is_none() {
                return Err(Lost);
            }
            let candidates = self.candidates(work, not);
            let ids: Vec<_> = candidates.iter().map(|d| d.id.clone()).collect();
            if ids != asked || choice.pick(self.now()) == Pick::Nobody {
                let named = candidates.iter();
                let named = named.map(|d| (d.id.clone(), d.domain.clone(), d.id == work.old));
                choice = Choice::new(self.now(), self.domain(work), target, named);
                asked = ids;
            }
            if let Some(taken) = self.ask_round(&candidates, &mut choice).await {
                return Ok(taken);
            }
            tokio::time::sleep(AGAIN).await;
        }
    }

    /// Asks the candidates once how they stand, until the choice can be made.
    async fn ask_round(
        &self,
        candidates: &[Database],
        choice: &mut Choice,
    ) -> Option<(DatabaseId, Position)> {
        let mut asks = FuturesUnordered::new();
        for database in candidates {
            asks.push(async move { (database.id.clone(), self.standing(database).await) });
        }
        while let Some((id, word)) = asks.next().await {
            if choice.say(&id, word) {
                log::info!(database:% = id, word:?; "a candidate says how it stands");
            }
            if let Pick::Take(id, position) = choice.pick(self.now()) {
                return Some((id, position));
            }
        }
        None
    }

    /// Writes who leads now, and tells every VM.
    async fn publish_lead(self: &Rc<Self>, work: &Work, primary: DatabaseId) -> Result<(), Lost> {
        let lead = Lead {
            epoch: work.epoch + 1,
            primary,
            changing: false,
        };
        let extra = Extra {
            row: lead_row(&work.group),
            expect: work.version,
            value: encode(&lead),
        };
        match self.renew(work.token, Some(&extra)).await {
            Renewed::Done { version, .. } => self.learn_written(&work.group, lead, version),
            Renewed::Conflict | Renewed::Lost => return Err(Lost),
        }
        self.nudge_all();
        Ok(())
    }

    /// Learns what was written here, as if the last reading had shown it. Its time stays: it is
    /// when the VMs' rows were seen.
    fn learn_written(&self, group: &GroupId, lead: Lead, version: Version) {
        let mut state = self.state.borrow_mut();
        let Some(reading) = &mut state.reading else {
            return;
        };
        reading.leads.insert(group.clone(), (lead.clone(), version));
        let epoch = (lead.epoch, self.now());
        let asked = reading.asked;
        let lease = reading.is_lease_for(&self.id, self.setup.life);
        state.epochs.insert(group.clone(), epoch);
        drop(state);
        if lease {
            self.learn_lead(group, lead, asked);
        }
    }
}
