//! How far a group's log had come at a moment, told on from VM to VM, and reads by it.
//!
//! One VM asks the primary under its lease, another one is told by it, and both send reads that may
//! be so old to replicas, with the position that the real `direct::fresh::Fresh` names. A replica has
//! that position and nothing more. The primary may be replaced, with or without a commit that its
//! successor lacks; the old one goes on to answer. What is left out: that a newer epoch forgets the
//! older pairs, which keeps replicas from refusing for ever and no read from being stale.

mod event;

use crate::clock::{Span, Time};
use crate::direct::fresh::{Fresh, Progress};
use crate::model::search::{Report, Step, search};
use crate::types::{GroupId, Invalid, Offset, Position, Term};
pub use event::Event;

/// How old reads may be, in ticks.
const STALENESS: u8 = 2;
/// Less than the distance to which pairs are thinned out.
const TICK: Span = Span::from_millis(60);
const NOW: Time = Time(10_000_000);
/// From this age on nothing is of use, nor close to what is.
const OLD: u8 = STALENESS + 3;

/// A rule that keeps reads young enough; one can be taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A pair counts from when the primary was asked, not from its answer.
    AskedTime,
    /// It is learned only under a lease that holds after the answer was read.
    LeaseAfter,
    /// It is told on with its age.
    ToldAge,
    /// The time that this is on its way counts as age.
    AskedOther,
}

/// How much happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scope {
    /// Commits that are acknowledged.
    pub commits: u8,
    /// Questions to a primary.
    pub asks: u8,
    /// Questions of the other VM.
    pub tells: u8,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Spec {
    scope: Scope,
    out: Option<Safeguard>,
    group: GroupId,
}

/// A place in the log: its term and offset.
type Place = (u8, u8);

/// How far a primary had come, and when it was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Pair {
    epoch: u8,
    place: Place,
    /// How old it was when it was told.
    told: u8,
    /// Since that was asked for.
    age: u8,
}

/// A question under way, and its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Call {
    age: u8,
    answer: Option<Pair>,
}

/// A state of the primaries and both VMs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// How far the leader has come; its term is the epoch.
    log: Place,
    /// How far the old primary has come, once it is replaced.
    old: Option<Place>,
    /// How far commits were acknowledged so many ticks ago.
    acknowledged: [Place; STALENESS as usize + 2],
    /// The epoch on which the first VM has a lease.
    lease: Option<u8>,
    /// The first VM's question to a primary, and the second one's to the first.
    calls: [Option<Call>; 2],
    /// What both have learned.
    pairs: [Vec<Pair>; 2],
    commits: u8,
    asks: u8,
    tells: u8,
    broken: Option<&'static str>,
}

/// A read misses a commit that was acknowledged longer ago than it may be old.
pub const STALE: &str = "a read is older than it may be";

fn ago(age: u8) -> Time {
    NOW - Span(TICK.0 * u64::from(age))
}

fn position((term, offset): Place) -> Position {
    Position::new(Term(term.into()), Offset(offset.into()))
}

impl Spec {
    /// A search within `scope`, with one safeguard taken `out`, or none.
    pub fn new(scope: Scope, out: Option<Safeguard>) -> Result<Self, Invalid> {
        let group = "board".parse()?;
        Ok(Self { scope, out, group })
    }

    fn kept(&self, safeguard: Safeguard) -> bool {
        self.out != Some(safeguard)
    }

    /// The first VM has a lease, and nothing is written.
    pub fn start(&self) -> State {
        State {
            log: (1, 0),
            old: None,
            acknowledged: [(1, 0); STALENESS as usize + 2],
            lease: Some(1),
            calls: [None; 2],
            pairs: [Vec::new(), Vec::new()],
            commits: self.scope.commits,
            asks: self.scope.asks,
            tells: self.scope.tells,
            broken: None,
        }
    }

    /// Searches all states within `limit` events.
    pub fn search(&self, limit: usize) -> Report {
        search(self.start(), limit, |s| self.next(s), |s| s.broken)
    }

    /// What a VM's real memory holds.
    fn fresh(&self, state: &State, v: usize) -> Fresh {
        let mut fresh = Fresh::default();
        for pair in &state.pairs[v] {
            if v == 0 {
                let (epoch, place) = (pair.epoch.into(), position(pair.place));
                fresh.learn(&self.group, epoch, ago(pair.age), place);
                continue;
            }
            let progress = Progress {
                group: self.group.clone(),
                epoch: pair.epoch.into(),
                position: position(pair.place),
                age: Span(TICK.0 * u64::from(pair.told)),
            };
            fresh.receive(&progress, ago(pair.age));
        }
        fresh
    }

    /// The steps out of `state`.
    pub fn next(&self, state: &State) -> Vec<Step<State, Event>> {
        let mut steps = Vec::new();
        let mut take = |event, next: Option<State>| {
            let moved = next.filter(|next| next != state);
            steps.extend(moved.map(|state| Step { event, state }));
        };
        take(Event::Tick, Some(tick(state)));
        take(Event::Commit, commit(state));
        take(Event::Lapse, lapse(state));
        take(Event::Replace, replace(state, false));
        take(Event::Roll, replace(state, true));
        take(Event::Renew, renew(state));
        take(Event::Ask, self.ask(state));
        for old in [false, true] {
            take(Event::Answer(old), answer(state, old));
        }
        take(Event::Hear, self.hear(state));
        take(Event::Tell, tell(state));
        take(Event::Told, self.told(state));
        take(Event::HearOther, self.hear_other(state));
        for v in 0..state.pairs.len() {
            take(Event::Read(v), self.read(state, v));
        }
        steps
    }

    fn ask(&self, state: &State) -> Option<State> {
        let may = state.lease.is_some() || !self.kept(Safeguard::LeaseAfter);
        let mut next = state.clone();
        next.asks = state.asks.checked_sub(1)?;
        next.calls[0] = Some(Call {
            age: 0,
            answer: None,
        });
        (may && state.calls[0].is_none()).then_some(next)
    }

    fn hear(&self, state: &State) -> Option<State> {
        let Call { age, answer } = state.calls[0]?;
        let pair = answer?;
        let holds = state.lease == Some(pair.epoch) || !self.kept(Safeguard::LeaseAfter);
        let age = if self.kept(Safeguard::AskedTime) {
            age
        } else {
            0
        };
        let mut next = state.clone();
        next.calls[0] = None;
        if holds {
            next.pairs[0].push(Pair { age, ..pair });
        }
        Some(next)
    }

    /// The first VM answers with its newest pair.
    fn told(&self, state: &State) -> Option<State> {
        let call = state.calls[1].filter(|call| call.answer.is_none())?;
        let told = self.fresh(state, 0).progress(NOW).into_iter().next()?;
        let age = (told.age.0 / TICK.0) as u8;
        let pair = Pair {
            epoch: told.epoch as u8,
            place: (told.position.term.0 as u8, told.position.offset.0 as u8),
            told: if self.kept(Safeguard::ToldAge) {
                age
            } else {
                0
            },
            age: 0,
        };
        let mut next = state.clone();
        next.calls[1] = Some(Call {
            answer: Some(pair),
            ..call
        });
        Some(next)
    }

    fn hear_other(&self, state: &State) -> Option<State> {
        let Call { age, answer } = state.calls[1]?;
        let pair = answer?;
        let age = if self.kept(Safeguard::AskedOther) {
            age
        } else {
            0
        };
        let mut next = state.clone();
        next.calls[1] = None;
        next.pairs[1].push(Pair { age, ..pair });
        Some(next)
    }

    /// Only what breaks the property is a step: all else changes nothing.
    fn read(&self, state: &State, v: usize) -> Option<State> {
        let fresh = self.fresh(state, v);
        let after = fresh.oldest_allowed(&self.group, ago(STALENESS))?;
        let [.., needed] = state.acknowledged;
        let mut next = state.clone();
        next.broken = Some(STALE);
        (after < position(needed)).then_some(next)
    }
}

fn tick(state: &State) -> State {
    let mut next = state.clone();
    let older = |age: &mut u8| *age = OLD.min(*age + 1);
    next.acknowledged.copy_within(..STALENESS as usize + 1, 1);
    for call in next.calls.iter_mut().flatten() {
        older(&mut call.age);
    }
    for pairs in &mut next.pairs {
        pairs.iter_mut().for_each(|pair| older(&mut pair.age));
        pairs.retain(|pair| pair.age + pair.told < OLD);
    }
    next
}

/// A commit at the leader, by way of any VM that has a lease on it, is acknowledged at once.
fn commit(state: &State) -> Option<State> {
    let mut next = state.clone();
    next.commits = state.commits.checked_sub(1)?;
    next.log.1 += 1;
    next.acknowledged[0] = next.log;
    Some(next)
}

fn lapse(state: &State) -> Option<State> {
    let mut next = state.clone();
    next.lease.take()?;
    Some(next)
}

/// Another primary leads, once no lease is left on the first.
fn replace(state: &State, rolled: bool) -> Option<State> {
    let (term, offset) = state.log;
    if state.old.is_some() || state.lease.is_some() {
        return None;
    }
    let base = if rolled {
        offset.checked_sub(1)?
    } else {
        offset
    };
    let mut next = state.clone();
    next.old = Some(state.log);
    next.log = (term + 1, base);
    for place in &mut next.acknowledged {
        // A commit that was rolled back does not count.
        *place = (*place).min((term, base));
    }
    Some(next)
}

fn renew(state: &State) -> Option<State> {
    let mut next = state.clone();
    next.lease = Some(state.log.0);
    (state.old.is_some() && state.lease.is_none()).then_some(next)
}

/// The leader answers, or the old primary, which the question may have gone to.
fn answer(state: &State, old: bool) -> Option<State> {
    let call = state.calls[0].filter(|call| call.answer.is_none())?;
    let place = if old { state.old? } else { state.log };
    let mut next = state.clone();
    let pair = Pair {
        epoch: place.0,
        place,
        told: 0,
        age: 0,
    };
    next.calls[0] = Some(Call {
        answer: Some(pair),
        ..call
    });
    Some(next)
}

fn tell(state: &State) -> Option<State> {
    let mut next = state.clone();
    next.tells = state.tells.checked_sub(1)?;
    next.calls[1] = Some(Call {
        age: 0,
        answer: None,
    });
    state.calls[1].is_none().then_some(next)
}
