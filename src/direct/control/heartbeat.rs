//! Sends this VM's heartbeats to the steward, and applies its answers.

use crate::clock::Span;
use crate::direct::control::backoff::Backoff;
use crate::direct::control::refresh::{MAX_READING_AGE, READ_INTERVAL};
use crate::direct::control::state::FollowedSteward;
use crate::direct::control::takeover::Poll;
use crate::direct::control::{Control, reader};
use crate::direct::mesh::{Answer, Question};
use crate::direct::table::Fault;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How often a VM sends a heartbeat. A lease of 8 s needs far fewer, and a lost primary raises its
/// own alarm; this bounds how long a dead steward goes unnoticed.
pub(super) const HEARTBEAT_INTERVAL: Span = Span::from_millis(500);

/// The minimum interval between two heartbeats, whatever the number of alarms.
const MIN_INTERVAL: Span = Span::from_millis(50);

/// How long to wait for the answer to a heartbeat: two round trips and a slow VM's processing.
const ANSWER_TIMEOUT: Span = Span::from_millis(400);

/// After this long without an answer the rows are read in parallel, to know since when the duty's
/// row has had its version.
const LATE_ANSWER_DELAY: Span = Span::from_millis(150);

/// How long to wait for the answer once the steward has missed more than one heartbeat: the VM has
/// to refresh its own state meanwhile.
const SHORT_TIMEOUT: Span = Span::from_millis(150);

/// How often a VM checks whether it may take over the duty.
const TAKEOVER_CHECK_INTERVAL: Span = Span::from_millis(100);

/// How many peers a VM asks while the steward does not answer.
const MAX_PEERS_ASKED: usize = 4;

/// Sends heartbeats until the process ends.
pub(super) async fn run(control: Rc<Control>) {
    let alarm = control.setup.shared.get().reports.alarm();
    let mut backoff = Backoff::default();
    while !control.state.borrow().stopped {
        let outcome = control.heartbeat_once().await;
        control.setup.shared.modify_silently().refresh_failed = outcome.is_err();
        let wait = match outcome {
            Ok(wait) => {
                backoff.reset();
                wait
            }
            Err(_) => control.back_off(&mut backoff).await,
        };
        tokio::time::sleep(Duration::from(MIN_INTERVAL.min(wait))).await;
        tokio::select! {
            biased;
            () = tokio::time::sleep(Duration::from(Span(wait.0.saturating_sub(MIN_INTERVAL.0)))) => {}
            () = alarm.notified() => {}
            () = control.pinged.notified() => {}
            () = control.setup.shared.wants_config.notified() => {}
        }
    }
}

/// The longest delay between two readings of a VM that holds no lease.
///
/// If all VMs lose power while the store is down, they have no state until the store is back.
/// Because of delays that have grown to 0.8 s and peers that do not answer, they would reach it up
/// to a second after it is back. Four readings a second of every VM are a tenth of the store's
/// capacity.
const MAX_DELAY_WITHOUT_LEASE: Span = Span::from_millis(250);

impl Control {
    /// Asks peers for updates after a failed reading, for as long as the retry delay lasts. Returns
    /// what is left of the delay.
    async fn back_off(&self, backoff: &mut Backoff) -> Span {
        let pause = backoff.step(self.random());
        if self.is_member() {
            self.ask_peers().await;
            return pause;
        }
        let began = self.now();
        let pause = pause.min(MAX_DELAY_WITHOUT_LEASE);
        let _ = tokio::time::timeout(Duration::from(pause), self.ask_peers()).await;
        Span(pause.0.saturating_sub(self.now().since(began).0))
    }

    /// Sends one heartbeat, and does what is due if the steward does not answer. Returns the delay
    /// until the next one.
    async fn heartbeat_once(self: &Rc<Self>) -> Result<Span, Fault> {
        if self.is_steward() {
            // The steward's own tasks check its reports.
            self.wake.notify_one();
            let now = self.now();
            if self.has_majority(now) {
                self.setup.shared.modify_silently().tenure.confirm(now);
            }
            return Ok(HEARTBEAT_INTERVAL);
        }
        let followed = self.state.borrow().followed.clone();
        let Some(followed) = followed.filter(|_| self.is_member()) else {
            return self.refresh().await;
        };
        let answered = self.heartbeat_or_refresh(&followed).await?;
        let silent = self.steward_is_silent();
        self.notify_if_lost(answered);
        if !answered {
            self.release_by_store();
        }
        let due = self.may_refresh() && (silent || !answered || self.is_stale());
        match (due || !self.is_member(), silent) {
            (true, _) => self.refresh().await,
            (false, true) => self.consider_takeover(),
            (false, false) if answered => Ok(HEARTBEAT_INTERVAL),
            (false, false) => Ok(TAKEOVER_CHECK_INTERVAL),
        }
    }

    /// Sends a heartbeat, and reads the rows in parallel if the answer is late.
    async fn heartbeat_or_refresh(
        self: &Rc<Self>,
        followed: &FollowedSteward,
    ) -> Result<bool, Fault> {
        let mut heartbeat = std::pin::pin!(self.send_heartbeat(followed));
        let answer = tokio::time::timeout(Duration::from(LATE_ANSWER_DELAY), &mut heartbeat).await;
        if let Ok(answered) = answer {
            return Ok(answered);
        }
        if !self.may_refresh() {
            return Ok(heartbeat.await);
        }
        let (answered, refreshed) = tokio::join!(heartbeat, self.refresh());
        refreshed.map(|_| answered)
    }

    async fn send_heartbeat(&self, steward: &FollowedSteward) -> bool {
        let timeout = if steward.contact.missed > 1 {
            SHORT_TIMEOUT
        } else {
            ANSWER_TIMEOUT
        };
        let asked = self.now();
        let question = Question::Heartbeat(self.heartbeat());
        let answer = (self.setup.call)(steward.address, question, timeout).await;
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let same = |followed: &&mut FollowedSteward| followed.token == steward.token;
        let Some(followed) = state.followed.as_mut().filter(same) else {
            // This VM follows another steward by now.
            return true;
        };
        match answer {
            Some(Answer::Update(update)) if update.steward => {
                followed.contact.answered(asked);
                followed.life = Some(update.life);
                state.updated = Some(now);
                if let Some(version) = update.duty.as_ref().and_then(|duty| duty.version) {
                    // Every order that this version allows was requested before now.
                    state.watch.note(version, now);
                }
                // The steward's reading may be older than this VM's row.
                let settled = state.refreshed.is_none_or(|at| at + MAX_READING_AGE < now);
                drop(state);
                if settled || update.member {
                    self.member.set(update.member);
                }
                self.apply_update(*update, steward.address, asked);
                true
            }
            Some(Answer::Update(update)) => {
                followed.contact.missed += 1;
                if followed.life.is_some_and(|life| life != update.life) {
                    followed.contact.end(now);
                }
                drop(state);
                self.follow_reported(update.duty.as_ref(), now);
                self.apply_update(*update, steward.address, asked);
                false
            }
            Some(Answer::Refused) => {
                if followed.contact.refused.is_none() {
                    log::warn!(address:% = steward.address, token = steward.token; "the steward refuses connections");
                }
                followed.contact.refuse(now);
                false
            }
            _ => {
                followed.contact.missed += 1;
                false
            }
        }
    }

    /// Follows the steward that another VM reports, if that report is recent.
    pub(super) fn follow_reported(
        &self,
        reported: Option<&crate::direct::mesh::Steward>,
        now: crate::clock::Time,
    ) {
        let fresh = reported.filter(|reported| reported.age < READ_INTERVAL);
        if let Some(reported) = fresh {
            self.follow(reported.address, reported.token, now);
        }
    }

    /// Follows a steward, unless this VM already follows a newer one.
    pub(super) fn follow(&self, address: SocketAddr, token: u64, now: crate::clock::Time) {
        if address == self.setup.address {
            return;
        }
        if self.state.borrow_mut().follow(address, token, now) {
            log::info!(address:%, token; "another steward is followed");
        }
    }

    /// Whether the steward counts as silent.
    pub(super) fn steward_is_silent(&self) -> bool {
        let state = self.state.borrow();
        let now = self.now();
        state
            .followed
            .as_ref()
            .is_none_or(|followed| followed.contact.is_silent(now))
    }

    /// Whether the steward answers, so that the configuration can be requested from it.
    pub(super) fn steward_answers(&self) -> bool {
        let state = self.state.borrow();
        let followed = state.followed.as_ref();
        followed.is_some_and(|followed| followed.contact.is_answered()) && state.held.is_none()
    }

    fn notify_if_lost(&self, answered: bool) {
        if !answered {
            self.steward_lost.notify_waiters();
        }
    }

    /// Takes the duty if this VM's turn has come. Returns the delay until the next check.
    pub(super) fn consider_takeover(self: &Rc<Self>) -> Result<Span, Fault> {
        if self.is_steward() || !self.steward_is_silent() {
            return Ok(TAKEOVER_CHECK_INTERVAL);
        }
        let now = self.now();
        let at = self.takes_at(now);
        match at {
            Some(at) if at <= now => {
                let control = self.clone();
                actix_rt::spawn(async move { control.take_unless_followed().await });
                Ok(HEARTBEAT_INTERVAL)
            }
            Some(at) => Ok(at.since(now).min(TAKEOVER_CHECK_INTERVAL)),
            None => Ok(TAKEOVER_CHECK_INTERVAL),
        }
    }

    /// Asks some peers for updates, and whether they are in contact with the steward that this VM
    /// follows.
    pub(super) async fn ask_peers(&self) -> Poll {
        let asked = self.now();
        let unanswered = {
            let state = self.state.borrow();
            let followed = state.followed.as_ref();
            followed.map_or(Span::ZERO, |followed| {
                followed.contact.unanswered_for(asked)
            })
        };
        let peers = self.peers();
        let mut poll = Poll {
            asked: peers.len(),
            ..Poll::default()
        };
        let calls = peers.into_iter().map(async |address| {
            let question = Question::Heartbeat(self.heartbeat());
            (
                address,
                (self.setup.call)(address, question, ANSWER_TIMEOUT).await,
            )
        });
        let answers = futures_util::future::join_all(calls).await;
        let token = self
            .state
            .borrow()
            .followed
            .as_ref()
            .map(|followed| followed.token);
        for (address, answer) in answers {
            let Some(Answer::Update(update)) = answer else {
                continue;
            };
            poll.answered += 1;
            let heard = update.duty.as_ref();
            let fresh = heard.is_some_and(|h| h.age < unanswered && Some(h.token) == token);
            poll.in_contact += usize::from(fresh);
            self.follow_reported(heard, self.now());
            self.apply_update(*update, address, asked);
        }
        poll
    }

    /// Some peers, without the steward.
    fn peers(&self) -> Vec<SocketAddr> {
        let peers = self.setup.shared.get().peers.list().clone();
        let addresses = peers.iter().map(|peer| peer.address);
        self.some_of(addresses.collect())
    }

    /// Some of the VMs that read for others, without the steward.
    pub(super) fn other_readers(&self) -> Vec<SocketAddr> {
        let readers = reader::all(self.setup.shared.get().peers.list());
        self.some_of(readers.into_iter().collect())
    }

    /// Some of these VMs and the seeds, without the steward.
    fn some_of(&self, mut peers: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let steward = self
            .state
            .borrow()
            .followed
            .as_ref()
            .map(|followed| followed.address);
        peers.extend(&self.setup.seeds);
        peers.sort();
        peers.dedup();
        peers.retain(|address| *address != self.setup.address && Some(*address) != steward);
        let start = self.random() * peers.len() as f64;
        peers.rotate_left(start as usize);
        peers.truncate(MAX_PEERS_ASKED);
        peers
    }
}
