//! Replaces a group's primary, step by step. docs/PLATFORM.md explains the order of the steps.

use crate::clock::{Span, Time};
use crate::direct::config::Database;
use crate::direct::control::Control;
use crate::direct::control::backoff::Backoff;
use crate::direct::control::duty::{Extra, Renewed};
use crate::direct::control::evidence;
use crate::direct::control::order::Successor;
use crate::direct::control::promotion::Reply;
use crate::direct::control::revocation::Revocation;
use crate::direct::control::rows::{Member, MemberId, encode, lead_row};
use crate::direct::control::steward::Cause;
use crate::direct::lead::{Epoch, Lead};
use crate::direct::mesh::{Answer, Question};
use crate::direct::table::Version;
use crate::types::{Birth, DatabaseId, GroupId, Position};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long work on a primary that still runs may take to end in a planned replacement.
pub(super) const WORK_TIMEOUT: Span = Span::from_secs(1);

/// How long a VM may take to answer, in addition to the time given to its work.
const ANSWER_MARGIN: Span = Span::from_millis(400);

/// The delay before a VM or a database is asked again.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(30);

/// The delay before a VM that refused a connection is asked again: the refusal takes no time, and the
/// VM may refuse for as long as its lease lasts.
const REFUSED_DELAY: Duration = Duration::from_millis(150);

/// The pause after a planned replacement was put off.
const DEFER_DELAY: Duration = Duration::from_millis(250);

/// The minimum interval between replacements of a primary that still runs.
const MIN_CHANGE_INTERVAL: Span = Span::from_secs(10);

/// A replacement in progress.
#[derive(Debug, Clone)]
pub(super) struct Replacement {
    pub token: u64,
    pub group: GroupId,
    pub epoch: Epoch,
    pub old: DatabaseId,
    /// The start of the old primary's process.
    pub born: Option<Birth>,
    pub cause: Cause,
    /// The version of the lead row that holds the intent.
    pub version: Version,
    /// A time at which the intent was certainly written.
    pub intent: Time,
}

impl Replacement {
    /// Whether a database is the old primary, restarted without its data.
    pub fn is_reborn(&self, database: &Database) -> bool {
        database.id == self.old && database.born != self.born
    }
}

/// A replacement ended early because another VM holds the duty or changed the row.
pub(super) struct Lost;

impl Control {
    /// Replaces a group's primary.
    pub(super) async fn change_primary(self: &Rc<Self>, token: u64, group: &GroupId, cause: Cause) {
        let began = self.now();
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
            Err(Lost) => {
                log::warn!(group:%, token; "a replacement ended: another VM holds the duty or changed the row")
            }
        }
        // The next check must not work with rows from before the replacement.
        let _ = self.read_rows().await;
    }

    fn log_cause(&self, group: &GroupId, cause: Cause) {
        let state = self.state.borrow();
        let lead = state.reading.as_ref().and_then(|r| r.leads.get(group));
        let Some((lead, _)) = lead else { return };
        let now = self.now();
        let observations = state
            .heartbeats
            .values()
            .map(|heard| evidence::Observation {
                received: heard.at,
                report: heard
                    .reports
                    .get(&lead.primary)
                    .copied()
                    .unwrap_or_default(),
            });
        let votes = evidence::count(observations, now);
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
        let Some(replacement) = self.write_intent(token, group, cause).await? else {
            return Ok(None);
        };
        self.revoke_leases(&replacement).await;
        self.wait_for_earlier_era().await;
        log::info!(
            group:%, epoch = replacement.epoch, took_ms = self.now().since(replacement.intent).0 / 1_000;
            "no VM acts on the old primary any more"
        );
        let target = self.old_position(&replacement).await;
        let primary = self.order(&replacement, target).await?;
        let id = primary.id.clone();
        self.publish_lead(&replacement, primary).await?;
        Ok(Some(id))
    }

    /// Writes the intent to replace the primary, unless it is written already.
    async fn write_intent(
        self: &Rc<Self>,
        token: u64,
        group: &GroupId,
        cause: Cause,
    ) -> Result<Option<Replacement>, Lost> {
        let known = {
            let state = self.state.borrow();
            let reading = state.reading.as_ref();
            reading.and_then(|r| Some((r.leads.get(group)?.clone(), r.answered)))
        };
        let Some(((lead, version), intent)) = known else {
            return Ok(None);
        };
        let mut replacement = Replacement {
            token,
            group: group.clone(),
            epoch: lead.epoch,
            old: lead.primary.clone(),
            born: lead.born,
            cause,
            version,
            intent,
        };
        if cause.is_planned() {
            if self.is_durable(group) && !self.has_successor(&replacement).await {
                self.defer(&replacement).await;
                return Ok(None);
            }
            let mut dampers = self.dampers.borrow_mut();
            dampers
                .entry(group.clone())
                .or_default()
                .promoted(self.now(), MIN_CHANGE_INTERVAL);
        }
        self.log_cause(group, cause);
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
                Renewed::Done { version: new, .. } => replacement.version = new,
                Renewed::Conflict => return Ok(None),
                Renewed::Lost => return Err(Lost),
            }
            replacement.intent = self.now();
        }
        Ok(Some(replacement))
    }

    /// Puts off a planned replacement for which no replica has caught up.
    async fn defer(&self, replacement: &Replacement) {
        let Replacement { group, epoch, .. } = replacement;
        let known = self
            .state
            .borrow_mut()
            .deferred
            .insert(group.clone(), *epoch);
        if known != Some(*epoch) {
            log::warn!(
                group:%, epoch, primary:% = replacement.old, cause:? = replacement.cause;
                "a planned replacement is put off: no replica has every acknowledged commit"
            );
        }
        tokio::time::sleep(DEFER_DELAY).await;
    }

    /// Asks every VM that may hold a lease to release the epoch, and waits for those that do not
    /// answer until their lease has expired.
    async fn revoke_leases(self: &Rc<Self>, replacement: &Replacement) {
        let (members, read) = self.members_after(replacement.intent).await;
        let since = |id: &MemberId, member: &Member| {
            let marked = self.state.borrow().evicted.get(id).map(|(_, seen)| *seen);
            let since = marked
                .filter(|_| member.evicted)
                .unwrap_or(replacement.intent);
            since.min(replacement.intent)
        };
        let pending = members.iter().map(|(id, m)| (id.clone(), since(id, m)));
        let mut revocation = Revocation::new(pending, read);
        let mut lives: Vec<_> = members.iter().map(|(id, m)| (id.clone(), m.life)).collect();
        let mut calls = FuturesUnordered::new();
        for (id, member) in members {
            let until = revocation.until(&id).unwrap_or(replacement.intent);
            calls.push(self.revoke_at(replacement, id, member, until));
        }
        while let Some(end) = revocation.end() {
            let left = Duration::from(end.since(self.now()));
            lives.retain(|(id, _)| revocation.until(id).is_some());
            tokio::select! {
                biased;
                Some((id, how)) = calls.next() => {
                    revocation.done(&id, self.now());
                    if how != "released" {
                        log::info!(vm:% = id, group:% = replacement.group, epoch = replacement.epoch, how; "a VM holds no lease");
                    }
                }
                over = self.released_by_store(replacement, &lives) => {
                    for id in over {
                        revocation.done(&id, self.now());
                        log::info!(vm:% = id, group:% = replacement.group, epoch = replacement.epoch, how = "its row"; "a VM holds no lease");
                    }
                }
                () = tokio::time::sleep(left) => {
                    let now = self.now();
                    for id in revocation.pending() {
                        let lapsed = revocation.until(id).is_none_or(|until| until <= now);
                        let how = if lapsed { "lapsed" } else { "nobody left to vouch" };
                        log::info!(vm:% = id, group:% = replacement.group, epoch = replacement.epoch, how; "a VM holds no lease");
                    }
                    return;
                }
            }
        }
    }

    /// Waits until no VM can hold a lease from an earlier era of the store, whose row this era's
    /// store may lack.
    async fn wait_for_earlier_era(&self) {
        let Some(until) = self.store.unlisted_until() else {
            return;
        };
        let left = until.since(self.now());
        if left > Span::ZERO {
            log::info!(left_ms = left.0 / 1_000; "waiting for leases of an earlier era of the store");
            tokio::time::sleep(left.into()).await;
        }
    }

    /// Reads the VMs' rows after the intent was written; returns them and when the reading was
    /// complete.
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
            backoff.wait(self.random()).await;
        }
    }

    async fn revoke_at(
        self: &Rc<Self>,
        replacement: &Replacement,
        id: MemberId,
        member: Member,
        until: Time,
    ) -> (MemberId, &'static str) {
        let timeout = if replacement.cause.is_planned() {
            WORK_TIMEOUT
        } else {
            Span::ZERO
        };
        if id == self.id {
            self.drop_epoch(replacement.group.clone(), replacement.epoch, timeout)
                .await;
            return (id, "released");
        }
        while self.now() < until {
            let question = Question::Drop {
                group: replacement.group.clone(),
                epoch: replacement.epoch,
                timeout,
            };
            let left = until.since(self.now());
            let answer_timeout = left.min(timeout + ANSWER_MARGIN);
            match (self.setup.call)(member.address, question, answer_timeout).await {
                Some(Answer::Dropped(_)) => return (id, "released"),
                Some(Answer::Refused) => tokio::time::sleep(REFUSED_DELAY).await,
                _ => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
        (id, "lapsed")
    }

    /// The old primary's log position, now that no VM writes there: a replica that reaches it loses
    /// nothing.
    async fn old_position(&self, replacement: &Replacement) -> Option<Position> {
        if !replacement.cause.is_planned() {
            return None;
        }
        let old = self.registered(&replacement.old)?;
        for _ in 0..5 {
            let reply = self.standing(&old).await;
            if let Reply::Stands(standing) = reply {
                return Some(standing.received);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        None
    }

    /// Writes the new lead to the store and pings every VM.
    async fn publish_lead(
        self: &Rc<Self>,
        replacement: &Replacement,
        primary: Successor,
    ) -> Result<(), Lost> {
        let lead = Lead {
            epoch: replacement.epoch + 1,
            primary: primary.id,
            born: primary.born,
            changing: false,
            continues: None,
        };
        let extra = Extra {
            row: lead_row(&replacement.group),
            expect: replacement.version,
            value: encode(&lead),
        };
        match self.renew(replacement.token, Some(&extra)).await {
            Renewed::Done { version, .. } => self.learn_written(&replacement.group, lead, version),
            Renewed::Conflict | Renewed::Lost => return Err(Lost),
        }
        self.ping_all();
        Ok(())
    }

    /// Records a lead row that this VM wrote as if the last reading had shown it. The reading's
    /// time stays: it is when the VMs' rows were read.
    pub(super) fn learn_written(&self, group: &GroupId, lead: Lead, version: Version) {
        let mut state = self.state.borrow_mut();
        state.record_written(group, lead.clone(), version);
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
