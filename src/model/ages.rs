//! Reads of bounded staleness, by log positions that one VM reports to another.
//!
//! The first VM asks the primary for its log position under a lease, the second VM asks the first,
//! and both send reads to replicas with the position that the production `direct::fresh::Fresh`
//! returns. A replica has applied that position and nothing more. The primary may be replaced, with
//! or without a commit that its successor lacks, and the old one goes on answering. Not modelled: a
//! newer epoch discards older pairs. That keeps replicas from refusing reads for ever, and prevents
//! no stale read.

mod event;

use crate::clock::{Span, Time};
use crate::direct::fresh::{Fresh, Progress};
use crate::model::search::{Report, Step, search};
use crate::types::{GroupId, Invalid, Offset, Position, Term};
pub use event::Event;

/// The maximum age of reads, in ticks.
const MAX_STALENESS: u8 = 2;
/// Shorter than the interval to which `Fresh` thins out its pairs.
const TICK: Span = Span::from_millis(60);
const NOW: Time = Time(10_000_000);
/// Pairs of this age or older are too old for any read, with a margin, and are dropped.
const MAX_AGE: u8 = MAX_STALENESS + 3;

/// A rule that keeps reads within their maximum age; a search can disable one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A pair's age counts from the question to the primary, not from its answer.
    AskedTime,
    /// A pair is accepted only if the lease still holds after the answer was read.
    LeaseAfter,
    /// A pair is reported to the other VM with its age.
    ToldAge,
    /// The time that the report takes to arrive counts as age.
    AskedOther,
}

/// The bounds of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scope {
    /// Number of acknowledged commits.
    pub commits: u8,
    /// Number of questions to a primary.
    pub primary_questions: u8,
    /// Number of questions from the second VM to the first.
    pub peer_questions: u8,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Spec {
    scope: Scope,
    disabled: Option<Safeguard>,
    group: GroupId,
}

/// A point in the log: its term and offset.
type Point = (u8, u8);

/// A primary's log position and its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Pair {
    epoch: u8,
    point: Point,
    /// Its age in ticks when the first VM reported it.
    reported_age: u8,
    /// Ticks since the question that it answers.
    age: u8,
}

/// A pending question, and its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Call {
    age: u8,
    answer: Option<Pair>,
}

/// A state of the primaries and both VMs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The end of the leader's log; its term is the epoch.
    log: Point,
    /// The end of the old primary's log, once it is replaced.
    old_log: Option<Point>,
    /// The last acknowledged commit as of each number of ticks ago.
    acknowledged: [Point; MAX_STALENESS as usize + 2],
    /// The epoch on which the first VM holds a lease.
    lease: Option<u8>,
    /// The first VM's question to a primary, and the second VM's question to the first.
    calls: [Option<Call>; 2],
    /// The pairs that each VM has accepted.
    pairs: [Vec<Pair>; 2],
    commits: u8,
    primary_questions: u8,
    peer_questions: u8,
    broken: Option<&'static str>,
}

/// A read misses a commit that was acknowledged longer ago than the maximum age.
pub const STALE_READ: &str = "a read is older than it may be";

fn ago(age: u8) -> Time {
    NOW - Span(TICK.0 * u64::from(age))
}

fn position((term, offset): Point) -> Position {
    Position::new(Term(term.into()), Offset(offset.into()))
}

impl Spec {
    /// Creates a specification bounded by `scope`, with one safeguard `disabled` or none.
    pub fn new(scope: Scope, disabled: Option<Safeguard>) -> Result<Self, Invalid> {
        let group = "board".parse()?;
        Ok(Self {
            scope,
            disabled,
            group,
        })
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.disabled != Some(safeguard)
    }

    /// The initial state: the first VM holds a lease, and nothing is written.
    pub fn start(&self) -> State {
        State {
            log: (1, 0),
            old_log: None,
            acknowledged: [(1, 0); MAX_STALENESS as usize + 2],
            lease: Some(1),
            calls: [None; 2],
            pairs: [Vec::new(), Vec::new()],
            commits: self.scope.commits,
            primary_questions: self.scope.primary_questions,
            peer_questions: self.scope.peer_questions,
            broken: None,
        }
    }

    /// Searches all states within `limit` events.
    pub fn search(&self, limit: usize) -> Report {
        search(self.start(), limit, |s| self.next(s), |s| s.broken)
    }

    /// Rebuilds the production `Fresh` of a VM.
    fn fresh(&self, state: &State, v: usize) -> Fresh {
        let mut fresh = Fresh::default();
        for pair in &state.pairs[v] {
            if v == 0 {
                let (epoch, position) = (pair.epoch.into(), position(pair.point));
                fresh.learn(&self.group, epoch, ago(pair.age), position);
                continue;
            }
            let progress = Progress {
                group: self.group.clone(),
                epoch: pair.epoch.into(),
                position: position(pair.point),
                age: Span(TICK.0 * u64::from(pair.reported_age)),
            };
            fresh.receive(&progress, ago(pair.age));
        }
        fresh
    }

    /// Returns all steps from `state`.
    pub fn next(&self, state: &State) -> Vec<Step<State, Event>> {
        let mut steps = Vec::new();
        let mut add = |event, next: Option<State>| {
            let changed = next.filter(|next| next != state);
            steps.extend(changed.map(|state| Step { event, state }));
        };
        add(Event::Tick, Some(tick(state)));
        add(Event::Commit, commit(state));
        add(Event::Lapse, lapse(state));
        add(Event::Replace, replace(state, false));
        add(Event::RollBack, replace(state, true));
        add(Event::Renew, renew(state));
        add(Event::Ask, self.ask(state));
        for old in [false, true] {
            add(Event::Answer(old), answer(state, old));
        }
        add(Event::Receive, self.receive(state));
        add(Event::AskPeer, ask_peer(state));
        add(Event::AnswerPeer, self.answer_peer(state));
        add(Event::ReceiveFromPeer, self.receive_from_peer(state));
        for v in 0..state.pairs.len() {
            add(Event::Read(v), self.read(state, v));
        }
        steps
    }

    fn ask(&self, state: &State) -> Option<State> {
        let allowed = state.lease.is_some() || !self.enforces(Safeguard::LeaseAfter);
        let mut next = state.clone();
        next.primary_questions = state.primary_questions.checked_sub(1)?;
        next.calls[0] = Some(Call {
            age: 0,
            answer: None,
        });
        (allowed && state.calls[0].is_none()).then_some(next)
    }

    fn receive(&self, state: &State) -> Option<State> {
        let Call { age, answer } = state.calls[0]?;
        let pair = answer?;
        let holds = state.lease == Some(pair.epoch) || !self.enforces(Safeguard::LeaseAfter);
        let age = if self.enforces(Safeguard::AskedTime) {
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
    fn answer_peer(&self, state: &State) -> Option<State> {
        let call = state.calls[1].filter(|call| call.answer.is_none())?;
        let progress = self.fresh(state, 0).progress(NOW).into_iter().next()?;
        let age = (progress.age.0 / TICK.0) as u8;
        let pair = Pair {
            epoch: progress.epoch as u8,
            point: (
                progress.position.term.0 as u8,
                progress.position.offset.0 as u8,
            ),
            reported_age: if self.enforces(Safeguard::ToldAge) {
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

    fn receive_from_peer(&self, state: &State) -> Option<State> {
        let Call { age, answer } = state.calls[1]?;
        let pair = answer?;
        let age = if self.enforces(Safeguard::AskedOther) {
            age
        } else {
            0
        };
        let mut next = state.clone();
        next.calls[1] = None;
        next.pairs[1].push(Pair { age, ..pair });
        Some(next)
    }

    /// Adds a step only if the read breaks the property; other reads change no state.
    fn read(&self, state: &State, v: usize) -> Option<State> {
        let fresh = self.fresh(state, v);
        let after = fresh.oldest_allowed(&self.group, ago(MAX_STALENESS))?;
        let [.., needed] = state.acknowledged;
        let mut next = state.clone();
        next.broken = Some(STALE_READ);
        (after < position(needed)).then_some(next)
    }
}

fn tick(state: &State) -> State {
    let mut next = state.clone();
    let increment = |age: &mut u8| *age = MAX_AGE.min(*age + 1);
    next.acknowledged
        .copy_within(..MAX_STALENESS as usize + 1, 1);
    for call in next.calls.iter_mut().flatten() {
        increment(&mut call.age);
    }
    for pairs in &mut next.pairs {
        pairs.iter_mut().for_each(|pair| increment(&mut pair.age));
        pairs.retain(|pair| pair.age + pair.reported_age < MAX_AGE);
    }
    next
}

/// The leader commits a write of any VM with a lease on it; it is acknowledged at once.
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

/// Replaces the primary, once no lease on it is left.
fn replace(state: &State, rolled_back: bool) -> Option<State> {
    let (term, offset) = state.log;
    if state.old_log.is_some() || state.lease.is_some() {
        return None;
    }
    let base = if rolled_back {
        offset.checked_sub(1)?
    } else {
        offset
    };
    let mut next = state.clone();
    next.old_log = Some(state.log);
    next.log = (term + 1, base);
    for point in &mut next.acknowledged {
        // A commit that was rolled back does not count.
        *point = (*point).min((term, base));
    }
    Some(next)
}

fn renew(state: &State) -> Option<State> {
    let mut next = state.clone();
    next.lease = Some(state.log.0);
    (state.old_log.is_some() && state.lease.is_none()).then_some(next)
}

/// The leader answers, or the old primary, to which the question may have been sent.
fn answer(state: &State, old: bool) -> Option<State> {
    let call = state.calls[0].filter(|call| call.answer.is_none())?;
    let point = if old { state.old_log? } else { state.log };
    let mut next = state.clone();
    let pair = Pair {
        epoch: point.0,
        point,
        reported_age: 0,
        age: 0,
    };
    next.calls[0] = Some(Call {
        answer: Some(pair),
        ..call
    });
    Some(next)
}

fn ask_peer(state: &State) -> Option<State> {
    let mut next = state.clone();
    next.peer_questions = state.peer_questions.checked_sub(1)?;
    next.calls[1] = Some(Call {
        age: 0,
        answer: None,
    });
    state.calls[1].is_none().then_some(next)
}
