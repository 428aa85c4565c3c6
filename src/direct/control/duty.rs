//! The duty of promotions: taken, renewed and handed over by compare-and-set.

use crate::clock::{Span, Time};
use crate::direct::control::backoff::Backoff;
use crate::direct::control::rows::{Duty, MemberId, Reading, duty_row, encode};
use crate::direct::control::state::{Beaten, Held, State};
use crate::direct::control::takeover::ORDERS_END;
use crate::direct::control::{Control, errands, reader, resume};
use crate::direct::mesh::{Answer, Question};
use crate::direct::table::{Change, Era, Fault, Row, RowId, Version};
use crate::direct::tenure::HEARTBEAT_AGE;
use crate::types::Cores;
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a VM that is offered the duty may take to answer: two calls of the store.
const OFFER: Span = Span::from_millis(700);

/// A VM with less than this leaves the duty to others for [`MODESTY`] at a first start: VMs start within
/// 0.3 s of each other, and read the rows half a second later at the latest.
const STRONG: Cores = Cores::from_thousandths(250);
const MODESTY: Span = Span::from_millis(600);

/// A renewal without an answer that took this long is asked again without a pause.
const WAITED: Span = Span::from_millis(200);

/// How often it is looked whether an order that is under way has ended.
const ORDER_ENDS: Duration = Duration::from_millis(20);

/// A row to write beside the duty's.
#[derive(Debug, Clone)]
pub(super) struct Extra {
    /// Which.
    pub row: RowId,
    /// The version that it must have.
    pub expect: Version,
    /// What to write.
    pub value: Bytes,
}

/// How a renewal of the duty ended.
#[derive(Debug)]
pub(super) enum Renewed {
    /// The duty was still held when the store took it.
    Done {
        /// When that was asked.
        asked: Time,
        /// The version of the rows written.
        version: Version,
    },
    /// The other row is not as expected.
    Conflict,
    /// The duty is not held here any more.
    Lost,
}

impl Control {
    /// Whether this VM is the steward.
    pub fn is_steward(&self) -> bool {
        self.state.borrow().held.is_some()
    }

    /// The duty's row as this VM writes it.
    fn duty(&self, token: u64, number: u64) -> Bytes {
        encode(&Duty {
            vm: self.setup.vm.clone(),
            life: self.setup.life,
            address: self.setup.address,
            token,
            number,
        })
    }

    /// From when on this VM may take the duty.
    pub(super) fn takes_at(&self, now: Time) -> Option<Time> {
        if self.setup.shared.get().stopping || !self.is_member() {
            return None;
        }
        let state = self.state.borrow();
        let reading = state.reading.as_ref()?;
        let holder = reading.duty.as_ref().map(|(duty, _)| duty.address);
        let members = reading.members.iter();
        let others = members.filter(|(_, (m, _))| !m.evicted && Some(m.address) != holder);
        // Those that have most processor, as all others beat to whoever holds the duty; and of these the
        // ones that read for others, as they know the row's version.
        let readers = reader::all(self.setup.shared.get().peers.list());
        let place = |id, cores, address| (Reverse(cores), !readers.contains(address), id);
        let own = place(&self.id, self.setup.cores, &self.setup.address);
        let rank = others
            .filter(|(id, (m, _))| place(id, m.cores, &m.address) < own)
            .count();
        let hearing = state.post.as_ref().map(|post| &post.hearing);
        let at = state.watch.takes_at(hearing, rank, now)?;
        let is_first = state.watch.version().is_none();
        Some(if is_first { at + self.modesty() } else { at })
    }

    /// How long a VM leaves the duty to stronger ones that it may not know of yet, when nobody ever held it.
    ///
    /// **Pattern answered.** All VMs start for the first time at one moment, and the first one that reads
    /// the rows finds hardly any. **Without it** a VM with an eighth of a core becomes steward of hundreds,
    /// answers late, and another takes the duty in the middle of the start.
    fn modesty(&self) -> Span {
        let cores = self.setup.cores;
        match cores != Cores::default() && cores < STRONG {
            true => MODESTY,
            false => Span::ZERO,
        }
    }

    /// Takes the duty, unless most other VMs that answer hear the steward: then it is this VM's
    /// path that is broken.
    pub(super) async fn take_if_alone(self: &Rc<Self>) {
        let ended = {
            let state = self.state.borrow();
            let post = state.post.as_ref();
            post.is_none_or(|post| post.hearing.ended.is_some())
        };
        if !ended {
            let (answered, hear) = self.ask_peers().await;
            if hear > 0 && hear * 2 >= answered {
                log::info!(answered, hear; "the steward is silent here only: it stays");
                return;
            }
        }
        if self.misses_steward() {
            self.take().await;
        }
    }

    /// Takes the duty by compare-and-set from the version of its row that is known.
    async fn take(self: &Rc<Self>) -> bool {
        if self.is_steward() {
            return false;
        }
        let (version, token) = {
            let state = self.state.borrow();
            let reading = state.reading.as_ref();
            let read = reading.and_then(Reading::last_duty);
            let read = read.map_or(0, |(duty, _)| duty.token);
            let told = state.post.as_ref().map_or(0, |post| post.token);
            let floor = resume::floor(reading.map_or(Era::default(), |r| r.era));
            // No row of the duty counts: the one of an earlier era is replaced.
            let version = match state.watch.version() {
                version if version.is_none() => {
                    reading.map_or(Version::NONE, Reading::duty_version)
                }
                version => version,
            };
            (version, read.max(told).max(floor) + 1)
        };
        let change = Change {
            expect: vec![(duty_row(), version)],
            writes: vec![(duty_row(), self.duty(token, 0))],
            remove: Vec::new(),
        };
        match self.store.write(change).await {
            Ok(Ok(version)) => {
                let now = self.now();
                self.become_steward(Held {
                    token,
                    version,
                    number: 0,
                    since: now,
                    handing: false,
                    ordering: 0,
                    valid: now,
                });
                true
            }
            // If an answer was lost, the next reading shows who holds the duty.
            Ok(Err(_)) | Err(_) => {
                self.state.borrow_mut().looked = None;
                false
            }
        }
    }

    /// This VM holds the duty from now on.
    pub(super) fn become_steward(self: &Rc<Self>, held: Held) {
        let stopping = self.setup.shared.get().stopping;
        if stopping || self.state.borrow().stopped {
            return;
        }
        let token = held.token;
        let mut state = self.state.borrow_mut();
        if let Some(known) = state.held(token) {
            // A reading showed the row before the answer to its write was there: the tasks run already.
            known.version = known.version.max(held.version);
            return;
        }
        let silent = state
            .post
            .as_ref()
            .map(|post| held.since.since(post.hearing.since).0 / 1_000);
        log::warn!(vm:% = self.id, token, version:% = held.version, silent_ms:? = silent; "this VM is the steward");
        state.heard.clear();
        let before = silent_before(&state);
        state.heard.extend(before);
        state.held = Some(held);
        state.post = None;
        state.tried.clear();
        drop(state);
        errands::start(self, token);
        self.nudge_all();
    }

    /// Gives the duty up.
    pub(super) fn resign(&self, reason: &str) {
        let held = self.state.borrow_mut().held.take();
        self.links.borrow_mut().clear();
        if let Some(held) = held {
            log::warn!(vm:% = self.id, token = held.token, reason; "this VM is no steward any more");
            self.wake.notify_one();
            self.nudged.notify_one();
        }
    }

    /// Has every VM send a heartbeat now, or in a moment if all were asked just before.
    pub(super) fn nudge_all(self: &Rc<Self>) {
        let now = self.now();
        let vms = self.setup.shared.get().peers.list().len();
        let Some(at) = self.state.borrow_mut().nudge.ask(now, vms) else {
            return;
        };
        if at <= now {
            return self.nudge_each();
        }
        let control = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(Duration::from(at.since(now))).await;
            control.nudge_each();
        });
    }

    fn nudge_each(&self) {
        let token = self.state.borrow().held.as_ref().map(|held| held.token);
        let Some(token) = token else { return };
        for (_, address) in self.others() {
            let address_here = self.setup.address;
            let question = Question::Ping {
                address: address_here,
                token,
            };
            let call = (self.setup.call)(address, question, OFFER);
            actix_rt::spawn(async move {
                let _ = call.await;
            });
        }
    }

    /// The VMs that the duty is offered to.
    ///
    /// **Pattern answered.** The store is away for all, and the steward offers its duty every two
    /// seconds. **Without it** each offer is a reading by every VM and by those that it asks for help:
    /// up to 780 calls of 195 VMs, worked out. **Why it suffices.** Some that read for others are in each failure
    /// domain; where the store turns a third of the VMs away, one of twelve is answered.
    fn successors(&self) -> Vec<(MemberId, SocketAddr)> {
        let readers = reader::all(self.setup.shared.get().peers.list());
        let mut others = self.others();
        others.retain(|(_, address)| readers.contains(address));
        others
    }

    /// The other VMs that are registered.
    pub(super) fn others(&self) -> Vec<(MemberId, SocketAddr)> {
        let state = self.state.borrow();
        let members = state
            .reading
            .iter()
            .flat_map(|reading| reading.members.iter());
        let others = members.filter(|(id, _)| **id != self.id);
        others
            .map(|(id, (member, _))| (id.clone(), member.address))
            .collect()
    }

    /// Renews the duty, and changes a row with it if there is `extra`: both or none. Goes on until
    /// the store has said what holds.
    pub(super) async fn renew(self: &Rc<Self>, token: u64, extra: Option<&Extra>) -> Renewed {
        let _one = self.writing.lock().await;
        let mut backoff = Backoff::default();
        loop {
            let held = self.state.borrow_mut().held(token).cloned();
            let Some(held) = held else {
                return Renewed::Lost;
            };
            let asked = self.now();
            let change = self.renewal(&held, extra);
            match self.store.write(change).await {
                Ok(Ok(version)) => {
                    self.note_renewal(token, version, held.number + 1);
                    return Renewed::Done { asked, version };
                }
                Ok(Err(rows)) => match self.settle(&held, extra, &rows) {
                    Settled::Again => {}
                    Settled::Landed(version) => return Renewed::Done { asked, version },
                    Settled::Conflict => return Renewed::Conflict,
                    Settled::Lost => {
                        self.resign("another VM has taken it");
                        return Renewed::Lost;
                    }
                },
                // Its condition holds as long as nothing was done: it may be asked again at once.
                Err(Fault::Unknown(_)) if self.now() >= asked + WAITED => {}
                Err(_) => backoff.wait(self.chance()).await,
            }
        }
    }

    fn renewal(&self, held: &Held, extra: Option<&Extra>) -> Change {
        let duty = self.duty(held.token, held.number + 1);
        let mut change = Change {
            expect: vec![(duty_row(), held.version)],
            writes: vec![(duty_row(), duty)],
            remove: Vec::new(),
        };
        if let Some(extra) = extra {
            change.expect.push((extra.row.clone(), extra.expect));
            change.writes.push((extra.row.clone(), extra.value.clone()));
        }
        change
    }

    fn note_renewal(&self, token: u64, version: Version, number: u64) {
        if let Some(held) = self.state.borrow_mut().held(token) {
            held.version = held.version.max(version);
            held.number = held.number.max(number);
        }
    }

    /// A renewal met rows that are not as expected: perhaps it landed before, with its answer
    /// lost.
    fn settle(&self, held: &Held, extra: Option<&Extra>, rows: &[Row]) -> Settled {
        let found = |id: &RowId| rows.iter().find(|row| row.id == *id);
        let Some(row) = found(&duty_row()) else {
            return Settled::Conflict;
        };
        let value = row.value.as_deref().unwrap_or_default();
        let duty = serde_json::from_slice::<Duty>(value).ok();
        let ours = duty.filter(|duty| duty.token == held.token && duty.life == self.setup.life);
        let Some(duty) = ours else {
            return Settled::Lost;
        };
        self.note_renewal(held.token, row.version, duty.number);
        let Some(extra) = extra else {
            return Settled::Again;
        };
        match found(&extra.row) {
            Some(row) if row.version == extra.expect => Settled::Again,
            Some(row) if row.value.as_ref() == Some(&extra.value) => Settled::Landed(row.version),
            Some(_) => Settled::Conflict,
            None if extra.expect.is_none() => Settled::Again,
            None => Settled::Conflict,
        }
    }

    /// Offers the duty to the strongest VM that is heard, if this one is not [`STRONG`]; whether there is one.
    ///
    /// A weak steward of a large fleet answers late and evicts VMs for its own lateness. The duty does not come
    /// back: it goes to a VM that never offers it for this reason.
    pub(super) async fn yield_to_stronger(self: &Rc<Self>) -> bool {
        let own = self.setup.cores;
        if own == Cores::default() || own >= STRONG {
            return false;
        }
        let now = self.now();
        let stronger = {
            let state = self.state.borrow();
            let members = state.reading.iter().flat_map(|reading| &reading.members);
            let heard = members.filter(|(id, (member, _))| {
                let heard = state
                    .heard
                    .get(*id)
                    .filter(|heard| heard.life == member.life);
                !member.evicted && heard.is_some_and(|heard| now < heard.at + HEARTBEAT_AGE)
            });
            let strong = heard.filter(|(_, (member, _))| member.cores >= STRONG);
            let strongest = strong.max_by_key(|(_, (member, _))| member.cores);
            strongest.map(|(id, (member, _))| (id.clone(), member.address))
        };
        let Some(stronger) = stronger else {
            return false;
        };
        self.offer("another VM has more processor", vec![stronger])
            .await;
        true
    }

    /// Offers the duty to VMs that read for others.
    pub(super) async fn hand_over(self: &Rc<Self>, reason: &str) -> bool {
        self.offer(reason, self.successors()).await
    }

    /// Offers the duty to other VMs. While that lasts nothing is ordered,
    /// so the one that takes it need not wait.
    async fn offer(self: &Rc<Self>, reason: &str, to: Vec<(MemberId, SocketAddr)>) -> bool {
        let token = self.state.borrow().held.as_ref().map(|held| held.token);
        let Some(token) = token else { return true };
        if let Some(held) = self.state.borrow_mut().held(token) {
            held.handing = true;
        }
        while self
            .state
            .borrow_mut()
            .held(token)
            .is_some_and(|held| held.ordering > 0)
        {
            tokio::time::sleep(ORDER_ENDS).await;
        }
        let version = self.state.borrow_mut().held(token).map(|held| held.version);
        let Some(version) = version else { return true };
        let calls = to.into_iter().map(|(vm, address)| {
            let question = Question::HandOver { token, version };
            let call = (self.setup.call)(address, question, OFFER);
            async move { (vm, address, call.await) }
        });
        // All at once: where the store turns all away, one after the other would take seconds.
        let mut calls: FuturesUnordered<_> = calls.collect();
        while let Some((vm, address, answer)) = calls.next().await {
            if answer == Some(Answer::Taken(true)) {
                log::info!(to:% = vm, token, reason; "the duty is handed over");
                self.resign(reason);
                let now = self.now();
                self.follow(address, token + 1, now);
                return true;
            }
        }
        let now = self.now();
        if let Some(held) = self.state.borrow_mut().held(token) {
            held.handing = false;
            held.valid = now;
        }
        log::warn!(token, reason; "no VM takes the duty over");
        false
    }

    /// The steward offers the duty that it holds with this token and version, under which it orders
    /// nothing any more.
    ///
    /// **Failure answered.** The offer comes late: who made it went on, renewed the duty and orders.
    /// **Symptom without it.** Two VMs promote in turns. **Why it suffices.** The order needs a
    /// renewal, which changes the version; another version than the offered one is taken only
    /// once no order can be under way by it.
    pub(super) async fn take_offer(self: &Rc<Self>, token: u64, version: Version) -> bool {
        let refuses = self.is_steward() || self.setup.shared.get().stopping;
        if refuses || self.read_rows().await.is_err() || !self.is_member() {
            return false;
        }
        let Some(found) = self.duty_version(token) else {
            return false;
        };
        if found != version {
            log::info!(token, version:%, found:%; "the duty offered has changed: waiting for its orders to end");
            tokio::time::sleep(ORDERS_END.into()).await;
            if self.read_rows().await.is_err() || self.duty_version(token) != Some(found) {
                return false;
            }
        }
        self.take().await
    }

    /// The version of the duty's row as last read, if it still has this token.
    fn duty_version(&self, token: u64) -> Option<Version> {
        let state = self.state.borrow();
        let (duty, version) = state.reading.as_ref()?.duty.as_ref()?;
        (duty.token == token).then_some(*version)
    }
}

/// The steward before counts as silent since it was last heard here, not only since now.
fn silent_before(state: &State) -> Option<(MemberId, Beaten)> {
    let post = state.post.as_ref()?;
    let mut members = state.reading.as_ref()?.members.iter();
    let (id, (member, _)) = members.find(|(_, (m, _))| m.address == post.address)?;
    let beaten = Beaten {
        life: member.life,
        at: post.hearing.since,
        reports: BTreeMap::new(),
    };
    Some((id.clone(), beaten))
}

enum Settled {
    /// Ask again: only the version that was expected was old.
    Again,
    /// It was done before.
    Landed(Version),
    /// Another row is not as expected.
    Conflict,
    /// The duty is somebody else's.
    Lost,
}
