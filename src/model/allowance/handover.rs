//! The handover between an allocator and its successor after an eviction.
//!
//! The allowance has one allocator, which is cut off from the store and from the steward, but not from the
//! asking VM. Its last proof is as young as it can be at its eviction, and the successor knows of the eviction
//! at once. Both use the production `direct::tenure`.

use super::{ALL, START, VMS};
use super::{EXCEEDED, Event, Excess, Held, Safeguard, at, expire, full, without_room};
use crate::admission::bucket::{Bucket, Share, TOKEN_VALIDITY};
use crate::clock::{Span, Time};
use crate::direct::identity::{Allowance, Rate};
use crate::direct::lead::LEASE;
use crate::direct::tenure::{Entry, Fraction, HEARTBEAT_AGE, SUCCESSION, Tenure};
use crate::model::search::{Report, Step, search};

/// All times of a tenure are multiples of it.
const TICK: Span = Span::from_millis(500);
/// Longer than the search lasts.
const LONG: Span = Span::from_secs(60);

const ALLOWANCE: Allowance = Allowance {
    rate: Rate(8_000),
    burst: 16,
};

/// Which part of the handover is searched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// The predecessor begins to grant only half, and the successor the other half.
    Halves,
    /// The predecessor's tenure ends, and the successor grants its whole share.
    End,
}

impl Part {
    /// The first tick, before which nothing was spent for long, and the last.
    fn ticks(self) -> (u8, u8) {
        let tick = |span: Span| (span.0 / TICK.0) as u8;
        match self {
            Self::Halves => (tick(SUCCESSION) - 1, tick(SUCCESSION + TOKEN_VALIDITY) + 1),
            Self::End => (tick(LEASE) - 1, tick(LEASE + TOKEN_VALIDITY) + 2),
        }
    }
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Spec {
    part: Part,
    disabled: Option<Safeguard>,
    tenures: [Tenure; VMS],
    entries: [Entry; VMS],
}

/// A state of both allocators and an asking VM. The successor is allocator 1.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    now: u8,
    buckets: [Bucket; VMS],
    held: Vec<Held>,
    excess: Excess,
    broken: Option<&'static str>,
}

impl Spec {
    /// Creates a specification with one safeguard `disabled` or none.
    pub fn new(part: Part, disabled: Option<Safeguard>) -> Self {
        let mut tenures = [Tenure::default(); VMS];
        tenures[0].read(START, START);
        tenures[0].confirm(START + HEARTBEAT_AGE);
        tenures[1].read(START + LONG, START);
        let mut successor = Entry::successor(START, 1, 8);
        match disabled {
            Some(Safeguard::Succession) => successor.begins = START,
            Some(Safeguard::HalfToSuccessor) => successor.whole_from = successor.begins,
            Some(Safeguard::LastTokensExpire) => {
                successor.whole_from = successor.whole_from - TOKEN_VALIDITY;
            }
            _ => {}
        }
        Self {
            part,
            disabled,
            tenures,
            entries: [Entry::first(START - LONG), successor],
        }
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.disabled != Some(safeguard)
    }

    /// The initial state: what both allocators have if they were not asked for long.
    pub fn start(&self) -> State {
        let (first, _) = self.part.ticks();
        let now = at(first, TICK);
        let whole = Share::of(ALLOWANCE, 1);
        let begins = self.entries[1].begins;
        let successor = match self.disabled {
            Some(Safeguard::EmptyBucket) => full(whole, begins),
            Some(Safeguard::RoomForFormer) => without_room(whole, begins),
            _ => Bucket::new(whole, begins),
        };
        let mut buckets = [full(whole, now), successor];
        for (a, bucket) in buckets.iter_mut().enumerate() {
            if let Some(share) = self.share(a, now) {
                bucket.resize(share, now);
            }
        }
        State {
            now: first,
            buckets,
            held: Vec::new(),
            excess: Excess::default(),
            broken: None,
        }
    }

    /// Searches all states within `limit` events.
    pub fn search(&self, limit: usize) -> Report {
        search(self.start(), limit, |s| self.next(s), |s| s.broken)
    }

    /// Returns all steps from `state`.
    pub fn next(&self, state: &State) -> Vec<Step<State, Event>> {
        let mut steps = Vec::new();
        let mut add = |event, next: Option<State>| {
            let changed = next.filter(|next| next != state);
            steps.extend(changed.map(|state| Step { event, state }));
        };
        add(Event::Tick, self.tick(state));
        add(Event::Spend(0), Some(spend(state)));
        for a in 0..VMS {
            add(Event::Ask(0, a), self.ask(state, a, ALL, 0));
            add(Event::AskAhead(0, a), self.ask(state, a, 1, ALL));
        }
        steps
    }

    /// The share that an allocator may grant now.
    fn share(&self, a: usize, now: Time) -> Option<Share> {
        let fraction = match (a, self.disabled) {
            (0, Some(Safeguard::HalfInDoubt)) => {
                self.tenures[0].since(now).map(|_| Fraction::Whole)
            }
            (0, Some(Safeguard::TenureEnds)) => {
                let fraction = self.entries[0].fraction(&self.tenures[0], now);
                Some(fraction.unwrap_or(Fraction::Half))
            }
            _ => self.entries[a].fraction(&self.tenures[a], now),
        };
        let begun = self.entries[a].begins <= now;
        let fraction = fraction.filter(|_| begun)?;
        Some(Share::of(ALLOWANCE, 1).scaled(fraction))
    }

    fn tick(&self, state: &State) -> Option<State> {
        let (_, last) = self.part.ticks();
        let mut next = state.clone();
        next.now += 1;
        next.excess.tick(ALLOWANCE, TICK);
        expire(&mut next.held, next.now, TICK);
        (next.now <= last).then_some(next)
    }

    /// The asking VM requests tokens. It spends them at once, or keeps them if some are in advance.
    fn ask(&self, state: &State, a: usize, need: u32, ahead: u32) -> Option<State> {
        let now = at(state.now, TICK);
        let share = self.share(a, now)?;
        let mut next = state.clone();
        let bucket = &mut next.buckets[a];
        if !self.enforces(Safeguard::HalvedInTime) {
            // Adds what has accrued by the former rate.
            bucket.grant(0, 0, now);
        }
        bucket.resize(share, now);
        let grant = bucket.grant(need, ahead, now);
        let needed = grant.count.min(need);
        match grant.count - needed {
            0 => next.run(needed),
            extra => next.held.push(Held {
                asked: state.now,
                needed,
                extra,
            }),
        }
        next.held.sort_unstable();
        (grant.count > 0).then_some(next)
    }
}

impl State {
    fn run(&mut self, operations: u32) {
        let exceeded = self.excess.run(operations, ALLOWANCE);
        self.broken = exceeded.then_some(EXCEEDED);
    }
}

fn spend(state: &State) -> State {
    let mut next = state.clone();
    let held = std::mem::take(&mut next.held);
    next.run(held.iter().map(Held::count).sum());
    next
}
