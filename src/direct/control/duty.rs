//! The duty (the steward's lease in the store), which is taken and renewed by compare-and-set.

use crate::clock::{Span, Time};
use crate::direct::control::backoff::Backoff;
use crate::direct::control::offer::OFFER_TIMEOUT;
use crate::direct::control::rows::{Duty, MemberId, Reading, duty_row, encode};
use crate::direct::control::state::{Held, LastHeartbeat, State};
use crate::direct::control::{Control, reader, resume, tasks};
use crate::direct::mesh::Question;
use crate::direct::table::{Change, Era, Fault, Row, RowId, Version};
use crate::types::Cores;
use bytes::Bytes;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// At a first start, a VM with less than [`MIN_STRONG_CORES`] leaves the duty to others for
/// [`WEAK_DELAY`]: VMs start within 0.3 s of each other, and read the rows half a second later at
/// the latest.
pub(super) const MIN_STRONG_CORES: Cores = Cores::from_thousandths(250);
const WEAK_DELAY: Span = Span::from_millis(600);

/// A renewal that took this long without an answer is repeated without a pause.
const SLOW_RENEWAL: Span = Span::from_millis(200);

/// A row to write together with the duty's.
#[derive(Debug, Clone)]
pub(super) struct Extra {
    /// Its id.
    pub row: RowId,
    /// The version that it must have.
    pub expect: Version,
    /// What to write.
    pub value: Bytes,
}

/// How a renewal of the duty ended.
#[derive(Debug)]
pub(super) enum Renewed {
    /// The store accepted it, so the duty was still held.
    Done {
        /// When it was requested.
        asked: Time,
        /// The version of the rows written.
        version: Version,
    },
    /// The other row does not have the expected version.
    Conflict,
    /// This VM does not hold the duty any more.
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

    /// When this VM may take the duty. None if it may not at present.
    pub(super) fn takes_at(&self, now: Time) -> Option<Time> {
        if self.setup.shared.get().stopping || !self.is_member() {
            return None;
        }
        let state = self.state.borrow();
        let reading = state.reading.as_ref()?;
        let holder = reading.duty.as_ref().map(|(duty, _)| duty.address);
        let members = reading.members.iter();
        let others = members.filter(|(_, (m, _))| !m.evicted && Some(m.address) != holder);
        // VMs with the most cores come first, because all others send their heartbeats to the
        // steward; among equals those that read for others, because they know the row's version.
        let readers = reader::all(self.setup.shared.get().peers.list());
        let place = |id, cores, address| (Reverse(cores), !readers.contains(address), id);
        let own = place(&self.id, self.setup.cores, &self.setup.address);
        let rank = others
            .filter(|(id, (m, _))| place(id, m.cores, &m.address) < own)
            .count();
        let contact = state.followed.as_ref().map(|followed| &followed.contact);
        let at = state.watch.takes_at(contact, rank, now)?;
        let is_first = state.watch.version().is_none();
        Some(if is_first { at + self.weak_delay() } else { at })
    }

    /// How long a weak VM leaves the duty to stronger ones that it may not know yet, if no VM ever
    /// held it.
    ///
    /// When all VMs start for the first time at once, the first one that reads the rows finds
    /// hardly any. Without the delay a VM with an eighth of a core could become the steward of
    /// hundreds, answer late, and lose the duty to another in the middle of the start.
    fn weak_delay(&self) -> Span {
        let cores = self.setup.cores;
        match cores != Cores::default() && cores < MIN_STRONG_CORES {
            true => WEAK_DELAY,
            false => Span::ZERO,
        }
    }

    /// Takes the duty, unless at least half of the other VMs that answer are in contact with the
    /// steward: then only this VM's path to it is broken. If too few others miss it, the steward first
    /// has the time to show that it uses the duty.
    pub(super) async fn take_unless_followed(self: &Rc<Self>) {
        let contact = {
            let state = self.state.borrow();
            state.followed.as_ref().map(|followed| followed.contact)
        };
        if let Some(contact) = contact.filter(|contact| contact.ended.is_none()) {
            let poll = self.ask_peers().await;
            let (answered, hear) = (poll.answered, poll.in_contact);
            if poll.is_followed() {
                log::info!(answered, hear; "the steward is silent to this VM only: not replacing it");
                return;
            }
            if !poll.is_missed_by_most() && !contact.is_contestable(self.now()) {
                log::info!(asked = poll.asked, answered, hear; "too few VMs miss the steward: not replacing it yet");
                return;
            }
        }
        if self.steward_is_silent() {
            self.take().await;
        }
    }

    /// Takes the duty by compare-and-set from the known version of its row.
    pub(super) async fn take(self: &Rc<Self>) -> bool {
        if self.is_steward() {
            return false;
        }
        let (version, token) = {
            let state = self.state.borrow();
            let reading = state.reading.as_ref();
            let read = reading.and_then(Reading::last_duty);
            let read = read.map_or(0, |(duty, _)| duty.token);
            let followed = state.followed.as_ref().map_or(0, |followed| followed.token);
            let floor = resume::floor(reading.map_or(Era::default(), |r| r.era));
            // There is no valid row of the duty: the one of an earlier era is replaced.
            let version = match state.watch.version() {
                version if version.is_none() => {
                    reading.map_or(Version::NONE, Reading::duty_version)
                }
                version => version,
            };
            (version, read.max(followed).max(floor) + 1)
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
                    handing_over: false,
                    running_orders: 0,
                    orders_from: now,
                });
                true
            }
            // If an answer was lost, the next reading shows who holds the duty.
            Ok(Err(_)) | Err(_) => {
                self.state.borrow_mut().refreshed = None;
                false
            }
        }
    }

    /// Starts the steward's tasks, as this VM holds the duty from now on.
    pub(super) fn become_steward(self: &Rc<Self>, held: Held) {
        let stopping = self.setup.shared.get().stopping;
        if stopping || self.state.borrow().stopped {
            return;
        }
        let token = held.token;
        let mut state = self.state.borrow_mut();
        if let Some(known) = state.held(token) {
            // A reading showed the row before the answer to its write arrived: the tasks run
            // already.
            known.version = known.version.max(held.version);
            return;
        }
        let silent = state
            .followed
            .as_ref()
            .map(|followed| held.since.since(followed.contact.since).0 / 1_000);
        log::warn!(vm:% = self.id, token, version:% = held.version, silent_ms:? = silent; "this VM is the steward");
        state.heartbeats.clear();
        let before = former_steward(&state);
        state.heartbeats.extend(before);
        state.held = Some(held);
        state.followed = None;
        state.tried.clear();
        state.evictions.clear();
        drop(state);
        tasks::start(self, token);
        self.ping_all();
    }

    /// Releases the duty.
    pub(super) fn resign(&self, reason: &str) {
        let held = self.state.borrow_mut().held.take();
        self.links.borrow_mut().clear();
        if let Some(held) = held {
            log::warn!(vm:% = self.id, token = held.token, reason; "this VM is no longer the steward");
            self.wake.notify_one();
            self.pinged.notify_one();
        }
    }

    /// Asks every VM to send a heartbeat now, or after a delay if all were asked just before.
    pub(super) fn ping_all(self: &Rc<Self>) {
        let now = self.now();
        let vms = self.setup.shared.get().peers.list().len();
        let Some(at) = self.state.borrow_mut().pings.request(now, vms) else {
            return;
        };
        if at <= now {
            return self.send_pings();
        }
        let control = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(Duration::from(at.since(now))).await;
            control.send_pings();
        });
    }

    fn send_pings(&self) {
        let token = self.state.borrow().held.as_ref().map(|held| held.token);
        let Some(token) = token else { return };
        for (_, address) in self.others() {
            let address_here = self.setup.address;
            let question = Question::Ping {
                address: address_here,
                token,
            };
            let call = (self.setup.call)(address, question, OFFER_TIMEOUT);
            actix_rt::spawn(async move {
                let _ = call.await;
            });
        }
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

    /// Renews the duty, and with `extra` writes another row in the same transaction: both or
    /// neither. Repeats the call until the store's state is known.
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
                Ok(Err(rows)) => match self.resolve(&held, extra, &rows) {
                    Resolution::Retry => {}
                    Resolution::Applied(version) => return Renewed::Done { asked, version },
                    Resolution::Conflict => return Renewed::Conflict,
                    Resolution::Lost => {
                        self.resign("another VM has taken it");
                        return Renewed::Lost;
                    }
                },
                // The condition still holds if nothing was written, so the call may be repeated at
                // once.
                Err(Fault::Unknown(_)) if self.now() >= asked + SLOW_RENEWAL => {}
                Err(_) => backoff.wait(self.random()).await,
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

    /// Resolves a renewal that met rows with other versions than expected. An earlier attempt may
    /// have been applied while its answer was lost.
    fn resolve(&self, held: &Held, extra: Option<&Extra>, rows: &[Row]) -> Resolution {
        let found = |id: &RowId| rows.iter().find(|row| row.id == *id);
        let Some(row) = found(&duty_row()) else {
            return Resolution::Conflict;
        };
        let value = row.value.as_deref().unwrap_or_default();
        let duty = serde_json::from_slice::<Duty>(value).ok();
        let ours = duty.filter(|duty| duty.token == held.token && duty.life == self.setup.life);
        let Some(duty) = ours else {
            return Resolution::Lost;
        };
        self.note_renewal(held.token, row.version, duty.number);
        let Some(extra) = extra else {
            return Resolution::Retry;
        };
        match found(&extra.row) {
            Some(row) if row.version == extra.expect => Resolution::Retry,
            Some(row) if row.value.as_ref() == Some(&extra.value) => {
                Resolution::Applied(row.version)
            }
            Some(_) => Resolution::Conflict,
            None if extra.expect.is_none() => Resolution::Retry,
            None => Resolution::Conflict,
        }
    }
}

/// The former steward counts as silent since its last contact with this VM, not only from now on.
fn former_steward(state: &State) -> Option<(MemberId, LastHeartbeat)> {
    let followed = state.followed.as_ref()?;
    let mut members = state.reading.as_ref()?.members.iter();
    let (id, (member, _)) = members.find(|(_, (m, _))| m.address == followed.address)?;
    let beaten = LastHeartbeat {
        life: member.life,
        at: followed.contact.since,
        read: None,
        reports: BTreeMap::new(),
    };
    Some((id.clone(), beaten))
}

enum Resolution {
    /// Repeat the renewal: only the expected version was out of date.
    Retry,
    /// An earlier attempt was applied.
    Applied(Version),
    /// The other row does not have the expected version.
    Conflict,
    /// Another VM holds the duty.
    Lost,
}
