//! How the owners of a database divide its slots.
//!
//! This handles uneven demand at a database's owners. Each owner knows only its own work: if each uses all slots,
//! three times as many statements are in flight as the database runs at once, and its refusals halve the limit of all
//! organisations; with equal parts, idle owners waste slots.

use crate::clock::{Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The shortest time between two questions about the other owners' loads.
pub const ASK_INTERVAL: Span = Span::from_millis(50);

/// How long a load counts after it was asked for, and how long an owner that heard nothing keeps to an equal part.
const VALIDITY: Span = Span::from_secs(1);

/// How long an owner is not asked again that gave no usable answer: one of an older release closes the stream.
const SILENCE: Span = Span::from_secs(1);

/// The period in which refusals count, on average: some rounds of questions.
const UNMET_PERIOD: Span = Span::from_millis(200);

/// More statements than this can't wait at one VM, whose callers are fewer.
const MAX_WAITING: u32 = 1 << 20;

/// The statements of one owner for a database.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Those in flight at the database.
    pub running: u32,
    /// Those that wait for a slot, and those that would use one if they had not been refused.
    pub waiting: u32,
}

impl Load {
    /// Whether an owner of a database with this number of slots can have this load.
    pub fn is_plausible(self, slots: u32) -> bool {
        self.running <= slots && self.waiting <= MAX_WAITING
    }

    fn demand(self) -> u64 {
        u64::from(self.running) + u64::from(self.waiting)
    }
}

/// The demand of work that an owner has refused because it would have waited too long.
///
/// The more slots an owner has, the more work can wait for them in time. If only that counted, an owner that has most
/// of the slots would keep them, however much the others refuse.
#[derive(Debug, Clone, Copy, Default)]
pub struct Unmet {
    /// Recent refusals, each of which counts less as time passes.
    refused: f64,
    at: Time,
}

impl Unmet {
    /// Records a refusal.
    pub fn note(&mut self, now: Time) {
        self.refused = self.left(now) + 1.0;
        self.at = now;
    }

    /// How many slots the refused work would have used, if a statement takes `typical`.
    pub fn slots(&self, typical: Span, now: Time) -> u32 {
        let rate = self.left(now) / UNMET_PERIOD.0 as f64;
        (rate * typical.0 as f64).round() as u32
    }

    fn left(&self, now: Time) -> f64 {
        let periods = now.since(self.at).0 as f64 / UNMET_PERIOD.0 as f64;
        self.refused * (-periods).exp()
    }
}

/// How many of a database's slots an owner may use, by the loads of the other owners; `None` if one was not heard
/// from. Those have no part in the division; if none was heard from, the owner takes an equal part.
pub fn part(slots: u32, own: Load, others: &[Option<Load>]) -> u32 {
    let heard = || others.iter().flatten();
    if heard().next().is_none() {
        let owners = u32::try_from(others.len() + 1).unwrap_or(u32::MAX);
        return (slots / owners).max(1);
    }
    let all = own.demand() + heard().map(|load| load.demand()).sum::<u64>();
    if all == 0 {
        return slots.max(1);
    }
    let part = (u64::from(slots) * own.demand() + all / 2) / all;
    u32::try_from(part).unwrap_or(slots).max(1)
}

/// What an owner knows about one other.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    /// Its load, and when that was asked for.
    load: Option<(Load, Time)>,
    silent_until: Time,
}

/// What an owner knows about the others, each known by a K.
#[derive(Debug, Clone)]
pub struct Division<K> {
    known: BTreeMap<K, Known>,
    asked: Option<Time>,
    /// Until when an owner that asked in vain keeps to an equal part.
    alone_until: Time,
}

impl<K> Default for Division<K> {
    fn default() -> Self {
        Self {
            known: BTreeMap::new(),
            asked: None,
            alone_until: Time::default(),
        }
    }
}

impl<K: Ord + Clone> Division<K> {
    /// The owners to ask now; `None` if that was done within [`ASK_INTERVAL`].
    pub fn ask(&mut self, others: &[K], now: Time) -> Option<Vec<K>> {
        if self.asked.is_some_and(|asked| now < asked + ASK_INTERVAL) {
            return None;
        }
        self.asked = Some(now);
        let is_silent = |other: &&K| {
            let known = self.known.get(*other);
            known.is_some_and(|known| now < known.silent_until)
        };
        let to_ask = others.iter().filter(|one| !is_silent(one));
        Some(to_ask.cloned().collect())
    }

    /// Records the load of an owner at `at`, which is when it was asked for. A load that is older than the last one
    /// changes nothing. Returns whether the load is plausible.
    pub fn hear(&mut self, from: K, load: Load, slots: u32, at: Time) -> bool {
        if !load.is_plausible(slots) {
            return false;
        }
        let known = self.known.entry(from).or_default();
        if known.load.is_none_or(|(_, last)| last <= at) {
            known.load = Some((load, at));
        }
        true
    }

    /// Records that an owner gave no usable answer.
    pub fn fail(&mut self, from: K, now: Time) {
        self.known.entry(from).or_default().silent_until = now + SILENCE;
    }

    /// Records that all questions were answered, or are not going to be.
    pub fn end(&mut self, others: &[K], now: Time) {
        if !others.iter().any(|other| self.heard(other, now).is_some()) {
            self.alone_until = now + VALIDITY;
        }
        self.known.retain(|one, _| others.contains(one));
    }

    /// How many of the slots this owner may use; `None` if all, because nothing waits anywhere as far as is known.
    pub fn part(&self, slots: u32, own: Load, others: &[K], now: Time) -> Option<u32> {
        let loads: Vec<_> = others.iter().map(|other| self.heard(other, now)).collect();
        let knows = now < self.alone_until || loads.iter().any(Option::is_some);
        (knows && !others.is_empty()).then(|| part(slots, own, &loads))
    }

    fn heard(&self, other: &K, now: Time) -> Option<Load> {
        let (load, at) = self.known.get(other)?.load?;
        (now < at + VALIDITY).then_some(load)
    }
}
