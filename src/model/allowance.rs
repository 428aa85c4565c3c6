//! The bound of an organisation's allowance over all VMs.
//!
//! Two allocators, each with the production `admission::bucket::Bucket`, and two asking VMs, whose cached
//! tokens expire by the production `direct::quota::cache::Cache`. Answers are lost, late and duplicated,
//! allocators restart, an asking VM is paused, and the limit is lowered. A request that is lost, late or
//! duplicated only loses tokens, like an answer that is lost, and has no step of its own.
//!
//! [`handover`] has an allocator and its successor after an eviction. Not modelled: VMs whose lists differ
//! because a VM joined, and an operation that is paused between its token and its statement.

mod event;
pub mod handover;

use crate::admission::bucket::{Bucket, Grant, Share, TOKEN_VALIDITY};
use crate::clock::{Span, Time};
use crate::direct::identity::{Allowance, Rate};
use crate::direct::quota::cache::Cache;
use crate::model::search::{Report, Step, search};
pub use event::Event;

/// A rule that keeps an organisation within its allowance; a search can disable one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// Each allocator has a part of the allowance.
    Split,
    /// A new bucket is empty.
    EmptyBucket,
    /// A new bucket leaves room for tokens that were granted in advance before it.
    RoomForFormer,
    /// Tokens that are granted in advance count against the burst.
    OutstandingCounts,
    /// Tokens expire.
    Expiry,
    /// A token that is needed now is not kept for later.
    NeededExpires,
    /// Validity counts from the request, not from the answer.
    FromRequest,
    /// A second answer to a request is not read.
    OneAnswer,
    /// A lowered limit applies to the bucket at once.
    LowerAtOnce,
    /// A successor grants nothing while its predecessor may grant its whole share.
    Succession,
    /// A successor grants half while its predecessor may grant the other half.
    HalfToSuccessor,
    /// An allocator grants half while its registration is in doubt.
    HalfInDoubt,
    /// An allocator's tenure ends.
    TenureEnds,
    /// A successor grants its whole share only after its predecessor's last tokens have expired.
    LastTokensExpire,
    /// A share is reduced at the time at which it changes, not at the next request.
    HalvedInTime,
}

/// The bounds of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scope {
    /// Number of restarts of an allocator.
    pub restarts: u8,
    /// Number of ticks that pass while an asking VM is paused.
    pub pauses: u8,
    /// Whether the limit may be lowered.
    pub lowered: bool,
    /// Number of ticks.
    pub ticks: u8,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Spec {
    scope: Scope,
    disabled: Option<Safeguard>,
}

/// Half of the time for which tokens are valid; a bucket fills within one tick.
const TICK: Span = Span(TOKEN_VALIDITY.0 / 2);
const VALID_TICKS: u8 = 2;
const START: Time = Time(1_000_000_000);
/// The number of allocators and of asking VMs.
const VMS: usize = 2;
/// More than a bucket has.
const ALL: u32 = 64;

const ALLOWANCE: Allowance = Allowance {
    rate: Rate(16_000),
    burst: 16,
};
/// The allowance after the limit was lowered.
const LOWERED: Allowance = Allowance {
    rate: Rate(8_000),
    burst: 8,
};

/// A span in which more operations run than the rate and the burst allow.
pub const EXCEEDED: &str = "more operations run than the allowance permits";

/// Measures the operations of all spans that end now: how many the worst of them has beyond its rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Excess(u32);

impl Excess {
    fn tick(&mut self, allowance: Allowance, tick: Span) {
        let accrued = allowance.rate.0 * tick.0 / 1_000_000_000;
        self.0 = self.0.saturating_sub(accrued as u32);
    }

    /// Counts operations; returns whether a span has more than the allowance permits.
    fn run(&mut self, operations: u32, allowance: Allowance) -> bool {
        self.0 += operations;
        self.0 > allowance.burst
    }
}

/// Tokens that a VM has, by the tick of their request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Held {
    asked: u8,
    /// Tokens that were needed.
    needed: u32,
    /// Tokens that were granted in advance.
    extra: u32,
}

impl Held {
    fn count(&self) -> u32 {
        self.needed + self.extra
    }
}

/// An answer on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Answer {
    vm: usize,
    allocator: usize,
    asked: u8,
    needed: u32,
    extra: u32,
}

/// A state of the allocators and the asking VMs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    now: u8,
    buckets: [Bucket; VMS],
    lowered: [bool; VMS],
    answers: Vec<Answer>,
    held: [Vec<Held>; VMS],
    excess: Excess,
    /// The same under the lowered limit, from when all allocators have it and earlier tokens have expired.
    lowered_excess: Option<Excess>,
    lowered_at: u8,
    restarts: u8,
    pauses: u8,
    broken: Option<&'static str>,
}

/// The moment of a tick.
fn at(now: u8, tick: Span) -> Time {
    START + Span(tick.0 * u64::from(now))
}

/// What is left of tokens, by the production cache.
fn valid(held: Held, now: u8, tick: Span) -> Held {
    let mut cache = Cache::default();
    let one_of_each = Grant {
        count: 2,
        validity: TOKEN_VALIDITY,
        retry: Span::ZERO,
    };
    cache.add(one_of_each, at(held.asked, tick));
    let left = std::iter::from_fn(|| cache.take(at(now, tick))).count();
    Held {
        needed: if left == 2 { held.needed } else { 0 },
        extra: if left > 0 { held.extra } else { 0 },
        ..held
    }
}

/// Drops the tokens that have expired.
fn expire(held: &mut Vec<Held>, now: u8, tick: Span) {
    held.iter_mut()
        .for_each(|held| *held = valid(*held, now, tick));
    held.retain(|held| held.count() > 0);
}

impl Spec {
    /// Creates a specification bounded by `scope`, with one safeguard `disabled` or none.
    pub fn new(scope: Scope, disabled: Option<Safeguard>) -> Self {
        Self { scope, disabled }
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.disabled != Some(safeguard)
    }

    fn share(&self, lowered: bool) -> Share {
        let allowance = if lowered { LOWERED } else { ALLOWANCE };
        let allocators = if self.enforces(Safeguard::Split) {
            VMS
        } else {
            1
        };
        Share::of(allowance, allocators)
    }

    /// The initial state: full buckets, and no token outstanding.
    pub fn start(&self) -> State {
        let bucket = full(self.share(false), START);
        State {
            now: 0,
            buckets: [bucket.clone(), bucket],
            lowered: [false; VMS],
            answers: Vec::new(),
            held: Default::default(),
            excess: Excess::default(),
            lowered_excess: None,
            lowered_at: 0,
            restarts: self.scope.restarts,
            pauses: self.scope.pauses,
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
        add(Event::Tick, self.tick(state, None));
        // Of two allocators or two asking VMs in the same state, only the first takes a step.
        let allocators = if state.is_same_without_allocators_order() {
            0..1
        } else {
            0..VMS
        };
        let vms = if state.is_same_without_vms_order() {
            0..1
        } else {
            0..VMS
        };
        for a in allocators.clone() {
            add(Event::Restart(a), self.restart(state, a));
            add(Event::Lower(a), self.lower(state, a));
        }
        for v in vms {
            add(Event::TickWhilePaused(v), self.tick(state, Some(v)));
            add(Event::Spend(v), Some(self.spend(state, v)));
            for a in allocators.clone() {
                add(Event::Ask(v, a), self.ask(state, v, a, ALL, 0));
                add(Event::AskAhead(v, a), self.ask(state, v, a, 1, ALL));
                add(Event::Receive(v, a), self.receive(state, v, a));
            }
        }
        steps
    }

    /// Time passes. Answers that are on their way are lost, except those to a VM that was paused with its
    /// timer: it reads them before it looks at the timer.
    fn tick(&self, state: &State, paused: Option<usize>) -> Option<State> {
        let mut next = state.clone();
        next.now += 1;
        if paused.is_some() {
            next.pauses = state.pauses.checked_sub(1)?;
        }
        next.answers.retain(|answer| paused == Some(answer.vm));
        next.excess.tick(ALLOWANCE, TICK);
        if let Some(excess) = &mut next.lowered_excess {
            excess.tick(LOWERED, TICK);
        }
        if next.lowered == [true; VMS] && next.now == next.lowered_at + VALID_TICKS {
            next.lowered_excess = Some(Excess::default());
        }
        if self.enforces(Safeguard::Expiry) {
            for held in &mut next.held {
                expire(held, next.now, TICK);
            }
        }
        for bucket in &mut next.buckets {
            // Only adds what has accrued, so that equal states are equal.
            bucket.grant(0, 0, at(next.now, TICK));
        }
        (next.now <= self.scope.ticks).then_some(next)
    }

    fn restart(&self, state: &State, a: usize) -> Option<State> {
        let mut next = state.clone();
        next.restarts = state.restarts.checked_sub(1)?;
        let now = at(state.now, TICK);
        let share = self.share(state.lowered[a]);
        next.buckets[a] = match self.disabled {
            Some(Safeguard::EmptyBucket) => full(share, now),
            Some(Safeguard::RoomForFormer) => without_room(share, now),
            _ => Bucket::new(share, now),
        };
        Some(next)
    }

    fn lower(&self, state: &State, a: usize) -> Option<State> {
        let mut next = state.clone();
        next.lowered[a] = true;
        next.lowered_at = state.now;
        if self.enforces(Safeguard::LowerAtOnce) {
            next.buckets[a].resize(self.share(true), at(state.now, TICK));
        }
        (self.scope.lowered && !state.lowered[a]).then_some(next)
    }

    /// The allocator receives a request and sends its answer.
    fn ask(&self, state: &State, v: usize, a: usize, need: u32, ahead: u32) -> Option<State> {
        let is_pending = |answer: &Answer| (answer.vm, answer.allocator) == (v, a);
        if state.answers.iter().any(is_pending) {
            return None;
        }
        let mut next = state.clone();
        let now = at(state.now, TICK);
        let bucket = &mut next.buckets[a];
        let grant = match self.enforces(Safeguard::OutstandingCounts) || ahead == 0 {
            true => bucket.grant(need, ahead, now),
            false => bucket.grant(ALL, 0, now),
        };
        let needed = grant.count.min(need);
        next.answers.push(Answer {
            vm: v,
            allocator: a,
            asked: state.now,
            needed,
            extra: grant.count - needed,
        });
        next.answers.sort_unstable();
        (grant.count > 0).then_some(next)
    }

    /// A VM receives an answer.
    fn receive(&self, state: &State, v: usize, a: usize) -> Option<State> {
        let is_for = |answer: &Answer| (answer.vm, answer.allocator) == (v, a);
        let position = state.answers.iter().position(is_for)?;
        let Answer {
            asked,
            needed,
            extra,
            ..
        } = state.answers[position];
        let mut next = state.clone();
        if self.enforces(Safeguard::OneAnswer) {
            next.answers.remove(position);
        }
        let asked = match self.enforces(Safeguard::FromRequest) {
            true => asked,
            false => state.now,
        };
        let (needed, extra) = match self.enforces(Safeguard::NeededExpires) {
            true => (needed, extra),
            false => (0, needed + extra),
        };
        next.held[v].push(Held {
            asked,
            needed,
            extra,
        });
        if self.enforces(Safeguard::Expiry) {
            expire(&mut next.held[v], state.now, TICK);
        }
        next.held[v].sort_unstable();
        Some(next)
    }

    /// A VM spends all the tokens that it has.
    fn spend(&self, state: &State, v: usize) -> State {
        let mut next = state.clone();
        let held = std::mem::take(&mut next.held[v]);
        next.run(held.iter().map(Held::count).sum());
        next
    }
}

impl State {
    /// Whether the state stays the same if the allocators are exchanged.
    fn is_same_without_allocators_order(&self) -> bool {
        let exchange = |answer: &Answer| Answer {
            allocator: 1 - answer.allocator,
            ..*answer
        };
        self.buckets[0] == self.buckets[1]
            && self.lowered[0] == self.lowered[1]
            && self.is_same_with(exchange)
    }

    /// Whether the state stays the same if the asking VMs are exchanged.
    fn is_same_without_vms_order(&self) -> bool {
        let exchange = |answer: &Answer| Answer {
            vm: 1 - answer.vm,
            ..*answer
        };
        self.held[0] == self.held[1] && self.is_same_with(exchange)
    }

    fn is_same_with(&self, exchange: impl Fn(&Answer) -> Answer) -> bool {
        let mut answers: Vec<Answer> = self.answers.iter().map(exchange).collect();
        answers.sort_unstable();
        answers == self.answers
    }

    fn run(&mut self, operations: u32) {
        let mut exceeded = self.excess.run(operations, ALLOWANCE);
        if let Some(excess) = &mut self.lowered_excess {
            exceeded |= excess.run(operations, LOWERED);
        }
        self.broken = exceeded.then_some(EXCEEDED);
    }
}

/// A bucket that has not been used for long.
fn full(share: Share, now: Time) -> Bucket {
    let mut bucket = Bucket::new(share, now - Span::from_secs(60));
    bucket.grant(0, 0, now);
    bucket
}

/// An empty bucket that may fill up at once.
fn without_room(share: Share, now: Time) -> Bucket {
    let mut bucket = full(share, now);
    bucket.grant(ALL, 0, now);
    bucket
}
