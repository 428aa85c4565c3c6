//! Replaces a group's primary, step by step. docs/PLATFORM.md gives the reasons for the order.

use crate::clock::{Span, Time};
use crate::direct::config::Database;
use crate::direct::control::Control;
use crate::direct::control::backoff::Backoff;
use crate::direct::control::duty::{Extra, Renewed};
use crate::direct::control::evidence;
use crate::direct::control::order::Chosen;
use crate::direct::control::promotion::{Drops, Word};
use crate::direct::control::rows::{Member, MemberId, encode, lead_row};
use crate::direct::control::steward::Cause;
use crate::direct::lead::{Epoch, Lead};
use crate::direct::mesh::{Answer, Question};
use crate::direct::table::Version;
use crate::types::{Birth, DatabaseId, GroupId, Position};
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
pub(super) const AGAIN: Duration = Duration::from_millis(30);

/// Changes of a primary that still runs are this far apart at least.
const DAMPING: Span = Span::from_secs(10);

/// A replacement under way.
#[derive(Debug, Clone)]
pub(super) struct Work {
    pub token: u64,
    pub group: GroupId,
    pub epoch: Epoch,
    pub old: DatabaseId,
    /// When the old primary had started.
    pub born: Option<Birth>,
    pub cause: Cause,
    /// The version of the lead row with the intent.
    pub version: Version,
    /// When the intent was certainly there.
    pub intent: Time,
}

impl Work {
    /// Whether a database is the old primary, started again with nothing.
    pub fn is_reborn(&self, database: &Database) -> bool {
        database.id == self.old && database.born != self.born
    }
}

/// Why a replacement ended early: the duty or the row is somebody else's.
pub(super) struct Lost;

impl Control {
    /// Replaces a group's primary.
    pub(super) async fn change_primary(self: &Rc<Self>, token: u64, group: &GroupId, cause: Cause) {
        let began = self.now();
        self.log_cause(group, cause);
        match self.try_change(token, group, cause).await {
            Ok(Some(primary)) => {
                let took = self.now().since(began);
                self.setup.shared.meter.promoted(group, took);
                log::warn!(
                    group:%, primary:%, cause:?, took_ms = took.0 / 1_000;
                    "the primary is replaced"
                );
            }
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
        self.wait_for_strangers().await;
        log::info!(
            group:%, epoch = work.epoch, took_ms = self.now().since(work.intent).0 / 1_000;
            "no VM acts on the old primary any more"
        );
        let target = self.old_position(&work).await;
        let primary = self.order(&work, target).await?;
        let id = primary.id.clone();
        self.publish_lead(&work, primary).await?;
        Ok(Some(id))
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
            born: lead.born,
            cause,
            version,
            intent,
        }))
    }

    /// Has every VM that may hold a lease give the epoch up, or waits until its lease has lapsed.
    async fn drop_everywhere(self: &Rc<Self>, work: &Work) {
        let (members, read) = self.members_after(work.intent).await;
        let since = |id: &MemberId, member: &Member| {
            let marked = self.state.borrow().evicted.get(id).map(|(_, seen)| *seen);
            let since = marked.filter(|_| member.evicted).unwrap_or(work.intent);
            since.min(work.intent)
        };
        let waited = members.iter().map(|(id, m)| (id.clone(), since(id, m)));
        let mut drops = Drops::new(waited, read);
        let mut calls = FuturesUnordered::new();
        for (id, member) in members {
            let until = drops.until(&id).unwrap_or(work.intent);
            calls.push(self.drop_at(work, id, member.address, until));
        }
        while let Some(end) = drops.end() {
            let left = Duration::from(end.since(self.now()));
            tokio::select! {
                biased;
                Some((id, how)) = calls.next() => {
                    drops.done(&id, self.now());
                    if how != "given up" {
                        log::info!(vm:% = id, group:% = work.group, epoch = work.epoch, how; "a VM holds no lease");
                    }
                }
                () = tokio::time::sleep(left) => {
                    let now = self.now();
                    for id in drops.waited() {
                        let lapsed = drops.until(id).is_none_or(|until| until <= now);
                        let how = if lapsed { "lapsed" } else { "nobody left to vouch" };
                        log::info!(vm:% = id, group:% = work.group, epoch = work.epoch, how; "a VM holds no lease");
                    }
                    return;
                }
            }
        }
    }

    /// Waits until no VM holds a lease that was registered in an earlier era of the store and is in no row of this one.
    async fn wait_for_strangers(&self) {
        let Some(until) = self.store.strangers_until() else {
            return;
        };
        let left = until.since(self.now());
        if left > Span::ZERO {
            log::info!(left_ms = left.0 / 1_000; "VMs of an earlier era of the store may hold leases");
            tokio::time::sleep(left.into()).await;
        }
    }

    /// The VMs' rows, read after the intent was there, and by when.
    async fn members_after(self: &Rc<Self>, intent: Time) -> (BTreeMap<MemberId, Member>, Time) {
        let mut backoff = Backoff::default();
        loop {
            if let Ok(reading) = self.store.reading().await
                && reading.asked >= intent
            {
                self.learn(reading.clone());
                let members = reading.members.into_iter();
                let members = members.map(|(id, (member, _))| (id, member)).collect();
                return (members, reading.answered);
            }
            backoff.wait(self.chance()).await;
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
                timeout: patience,
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
        let old = self.registered(&work.old)?;
        for _ in 0..5 {
            let word = self.standing(&old).await;
            if let Word::Stands(standing) = word {
                return Some(standing.received);
            }
            tokio::time::sleep(AGAIN).await;
        }
        None
    }

    /// Writes who leads now, and tells every VM.
    async fn publish_lead(self: &Rc<Self>, work: &Work, primary: Chosen) -> Result<(), Lost> {
        let lead = Lead {
            epoch: work.epoch + 1,
            primary: primary.id,
            born: primary.born,
            changing: false,
            continues: None,
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
    pub(super) fn learn_written(&self, group: &GroupId, lead: Lead, version: Version) {
        let mut state = self.state.borrow_mut();
        state.note_written(group, lead.clone(), version);
        let Some(reading) = &state.reading else {
            return;
        };
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
