//! Decides when this VM takes over the duty (the steward's lease in the store).
//!
//! A steward that was replaced may be frozen, cut off or slow, and order a promotion after its
//! successor did. Two databases would be made primary in turn, and the platform would see a fencing
//! token lower than an earlier one. Therefore a steward renews its row before each order, and
//! orders within [`ORDER_TIMEOUT`] of the request of that renewal. If the row still has the version
//! that was read at some time, no order can be sent by it from [`ORDER_TIMEOUT`] after that time
//! on; the takeover is written under the condition that the version is unchanged. A steward whose
//! process was replaced by a new one, or that handed over, sends no orders, so there is no wait for
//! it. A refused connection proves neither: it only makes the suspicion come sooner.

use crate::clock::{Span, Time};
use crate::direct::control::heartbeat::HEARTBEAT_INTERVAL;
use crate::direct::table::Version;

/// The time after the request of a renewal within which an order may be sent and has to arrive.
pub const ORDER_TIMEOUT: Span = Span::from_millis(1_500);

/// A VM that sent a heartbeat less than this long ago is heard: an interval and half of one for a late
/// heartbeat.
const HEARD_TIMEOUT: Span = Span::from_millis(750);

/// A VM that sent no heartbeat for this long is missed. All VMs behind one partition count as not heard
/// by then, as they send heartbeats at different moments of an interval.
const MISSED_TIMEOUT: Span = Span(HEARD_TIMEOUT.0 + HEARTBEAT_INTERVAL.0);

/// How often the steward checks whether to renew the duty because it misses VMs.
pub const SHOW_INTERVAL: Span = Span::from_millis(250);

/// A VM that knows of too few others that miss the steward leaves it this long, so that a steward that
/// runs has renewed the duty: its timeout, the interval, and a margin for a slow store.
const CONTEST_TIMEOUT: Span = Span(MISSED_TIMEOUT.0 + 2 * SHOW_INTERVAL.0);

/// Allows for clocks that run at different rates, and for the time an order needs to arrive.
const MARGIN: Span = Span::from_millis(300);

/// How long the duty's row has to be unchanged before no order can be in flight.
pub const ORDER_EXPIRY: Span = Span(ORDER_TIMEOUT.0 + MARGIN.0);

/// A steward that has not answered for this long, to several calls, is replaced.
pub const SILENCE_TIMEOUT: Span = Span::from_secs(1);

/// A steward that has refused connections for this long is replaced. Each other VM has sent it a
/// heartbeat meanwhile, so that they know whether it refuses them too.
const REFUSAL_TIMEOUT: Span = HEARTBEAT_INTERVAL;

/// The number of consecutive unanswered calls before a steward counts as silent. A VM that was
/// itself paused has received nothing for long, and has to call once before it suspects the
/// steward.
const MIN_MISSED_CALLS: u32 = 2;

/// How long each VM waits for the one before it in rank: the time of a write in the store and of
/// the ping after it. Only the first [`RANKED_VMS`] wait for each other; see [`rank_delay`].
const RANK_DELAY: Span = Span::from_millis(150);
const RANKED_VMS: u64 = 4;

/// The delay between VMs of a higher rank, and the number of such delays before they repeat. It is
/// a third of the time of a write, so that two or three attempts may overlap.
const HIGH_RANK_DELAY: Span = Span::from_millis(5);
const HIGH_RANKS: u64 = 80;

/// This VM's contact with the steward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Contact {
    /// When the last answered call was sent, or when this VM began to call it.
    pub since: Time,
    /// Calls without an answer since then.
    pub missed: u32,
    /// Since when it has refused connections: it has ended, or a partition refuses them.
    pub refused: Option<Time>,
    /// Since when it is known to have ended or handed over.
    pub ended: Option<Time>,
}

impl Contact {
    /// The contact with a steward that has not been called yet.
    pub fn new(now: Time) -> Self {
        Self {
            since: now,
            missed: 0,
            refused: None,
            ended: None,
        }
    }

    /// Records an answer to a call sent at `asked`.
    pub fn answered(&mut self, asked: Time) {
        self.since = self.since.max(asked);
        self.missed = 0;
        self.refused = None;
    }

    /// Records that a connection to the steward was refused.
    pub fn refuse(&mut self, now: Time) {
        self.refused.get_or_insert(now);
        self.missed += 1;
    }

    /// Records that the steward is known to have ended since `now`.
    pub fn end(&mut self, now: Time) {
        self.ended.get_or_insert(now);
    }

    /// Whether the steward counts as silent.
    pub fn is_silent(&self, now: Time) -> bool {
        self.ended.is_some() || (self.missed >= MIN_MISSED_CALLS && now >= self.suspected_at())
    }

    /// Whether the last call was answered.
    pub fn is_answered(&self) -> bool {
        self.missed == 0 && self.ended.is_none()
    }

    /// From when on the steward is suspected to have ended if it goes on not to answer.
    fn suspected_at(&self) -> Time {
        let silent = self.since + SILENCE_TIMEOUT;
        let refusing = self.refused.map(|refused| refused + REFUSAL_TIMEOUT);
        refusing.map_or(silent, |refusing| refusing.min(silent))
    }

    /// Whether a steward that runs, and hears enough VMs, has had the time to renew the duty since it
    /// last answered.
    pub fn is_contestable(&self, now: Time) -> bool {
        now >= self.since + CONTEST_TIMEOUT
    }

    /// The greatest age of another VM's contact with the steward that shows that the steward runs,
    /// and only this VM does not reach it.
    pub fn unanswered_for(&self, now: Time) -> Span {
        let unanswered = self
            .refused
            .map_or(SILENCE_TIMEOUT, |refused| now.since(refused));
        unanswered.min(SILENCE_TIMEOUT)
    }
}

/// What other VMs said of the steward that does not answer this one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Poll {
    /// How many were asked.
    pub asked: usize,
    /// How many of these answered.
    pub answered: usize,
    /// How many of these are in contact with the steward.
    pub in_contact: usize,
}

impl Poll {
    /// Whether the steward is silent to a lesser part of the VMs only.
    pub fn is_followed(&self) -> bool {
        self.in_contact > 0 && self.in_contact * 2 >= self.answered
    }

    /// Whether most VMs miss the steward, this one included, so that it could not show its use of the
    /// duty: see [`shows_use`].
    pub fn is_missed_by_most(&self) -> bool {
        (self.answered - self.in_contact + 1) * 2 > self.asked + 1
    }
}

/// Whether the steward renews the duty without a reason of its own, given when it last heard each of the
/// registered VMs, itself included.
///
/// In a partition that the store is not part of, a VM that does not hear the steward would take the
/// duty, lose it to the other side, and take it again, and no replacement would ever end. A steward that
/// hears at least half of the VMs keeps it: its row changes, and nobody takes the duty while it does. A
/// steward that hears fewer leaves the duty to the other side.
pub fn shows_use(heard: impl IntoIterator<Item = Option<Time>>, now: Time) -> bool {
    let ages: Vec<_> = heard
        .into_iter()
        .map(|at| at.map(|at| now.since(at)))
        .collect();
    let is_missed = |age: &Option<Span>| age.is_none_or(|age| age >= MISSED_TIMEOUT);
    let is_heard = |age: &&Option<Span>| age.is_some_and(|age| age < HEARD_TIMEOUT);
    let present = ages.iter().filter(is_heard).count();
    ages.iter().any(is_missed) && present * 2 >= ages.len()
}

/// The version of the duty's row, and since when the row is known to have it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Watch {
    version: Version,
    since: Option<Time>,
}

impl Watch {
    /// Records a reading that was complete at `answered`: the row's version, or none if no valid
    /// row exists.
    pub fn note(&mut self, version: Version, answered: Time) {
        if self.since.is_none() || self.version != version {
            *self = Self {
                version,
                since: Some(answered),
            };
        }
    }

    /// The recorded version, which is the condition for taking the duty.
    pub fn version(&self) -> Version {
        self.version
    }

    /// When the VM of this rank (0 is first) may take the duty, under the condition that the row
    /// still has the recorded version. None if it may not at present.
    pub fn takes_at(&self, contact: Option<&Contact>, rank: usize, now: Time) -> Option<Time> {
        let delay = rank_delay(rank as u64);
        let since = self.since?;
        if self.version.is_none() {
            return Some(since + delay);
        }
        let contact = contact?;
        if let Some(ended) = contact.ended {
            return Some(since.max(ended) + delay);
        }
        let silent = contact.is_silent(now);
        silent.then(|| (since + ORDER_EXPIRY).max(contact.suspected_at()) + delay)
    }
}

/// How long the VM of a rank leaves the duty to those before it.
///
/// Half of 63 VMs may end with the steward, or a whole region may be cut off, and the first in rank
/// with them. With 150 ms for each rank, the first VM left would wait up to 9 s, and no primary
/// would be replaced meanwhile. From the fifth on, all VMs try within 0.4 s, so one takes the duty
/// within a second. Those that try together waste a write each: only one meets the row's version.
fn rank_delay(rank: u64) -> Span {
    if rank < RANKED_VMS {
        return Span(RANK_DELAY.0 * rank);
    }
    Span(RANK_DELAY.0 * RANKED_VMS + HIGH_RANK_DELAY.0 * ((rank - RANKED_VMS) % HIGH_RANKS))
}
