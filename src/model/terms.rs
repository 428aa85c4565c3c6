//! Specification of terms: raising, promotion and acknowledgement.
//!
//! It has three databases and two stewards. The production `core::term` and `core::lineage` make
//! the decisions; this module simulates the databases and the order of events. Any step may fail to
//! happen or happen at any later time, so loss, delay, reordering, partition and pause need no event
//! of their own. An answer lost after its effect and a restart that loses all state have one.

mod attempt;
mod database;
mod event;
mod lead;

use crate::clock::{Span, Time};
use crate::core::lineage::Relation;
use crate::model::search::{Report, Step, search};
use crate::types::{DatabaseId, Invalid, Position};
use attempt::Attempt;
use database::{Database, Item};
pub use event::Event;
use lead::Lead;

const DATABASES: usize = 3;
const DATABASE_NAMES: [&str; DATABASES] = ["a", "b", "c"];
const STEWARDS: usize = 2;
/// The window W.
const WINDOW: Span = Span(100);
/// One tick on each steward's clock; the first steward's is slower by the maximum drift.
const TICKS: [u64; STEWARDS] = [49, 50];
/// Late enough that subtracting any age gives a valid time.
const NOW: Time = Time(10_000);
/// Ages of this many ticks are past every deadline, and equivalent to all greater ages.
const MAX_AGE: u8 = 4;

/// A rule that a property depends on; a search can disable one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A database accepts only a strictly higher term.
    StrictRaise,
    /// A promotion requires that a majority of the databases is raised.
    MajorityRaised,
    /// The new primary opens only after the former term's window.
    WaitOut,
    /// The wait allows for clocks that run at different speeds.
    Drift,
    /// A confirmation counts from when its probe was sent, not from its answer.
    SentTime,
    /// The clock is read after the database's answer is read.
    ClockAfterAnswer,
    /// The primary itself has to confirm its term.
    PrimaryConfirms,
    /// Other databases besides the primary have to confirm the term.
    OthersConfirm,
    /// The database with the furthest log is opened.
    FurthestLog,
    /// A steward orders only one database to open in its term.
    OneChoice,
    /// A handover removes the wait only for the very next term.
    YieldOfFormer,
    /// A majority holds a write before it is acknowledged.
    MajorityHolds,
    /// A database keeps its term across a restart.
    TermKept,
    /// A database runs no statement of another term.
    Fence,
    /// A raised database applies no log of an older primary.
    NoOlderLog,
    /// The start of a term counts as a log's end even with nothing written after it.
    StartCounts,
    /// A write is acknowledged in a term only if a majority holds it as part of that term.
    OwnTerm,
}

/// The bounds of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scope {
    /// The highest term attempted.
    pub terms: u8,
    /// Number of writes that callers send.
    pub writes: u8,
    /// Maximum number of process restarts.
    pub restarts: u8,
    /// Whether time passes. Without it confirmations are assumed always current, which makes longer
    /// histories of terms searchable.
    pub clock: bool,
    /// Whether callers repeat a write of a former term, by its key.
    pub repeats: bool,
    /// Whether an acknowledgement waits until a majority holds the write.
    pub majority: bool,
    /// Whether to start where the primaries of terms 1 and 2 have each written something that no other
    /// database holds, instead of from empty logs.
    pub diverged: bool,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Spec {
    names: [DatabaseId; DATABASES],
    scope: Scope,
    disabled: Option<Safeguard>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Role {
    Idle,
    Attempt(Attempt),
    Lead(Lead),
}

/// A write that was acknowledged to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Acknowledgement {
    write: u8,
    /// The term of the steward that acknowledged it.
    term: u8,
    /// The floor that the session received.
    position: Position,
}

/// A state of the group, its stewards and the messages in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    databases: [Database; DATABASES],
    stewards: [Role; STEWARDS],
    /// Orders to open that are in flight: the term and the database.
    orders: Vec<(u8, usize)>,
    /// The former term of a handover in flight to the other steward.
    handover: Option<u8>,
    written: u8,
    acknowledged: Vec<Acknowledgement>,
    /// The database opened in each term so far, lowest term first.
    opened: Vec<(u8, usize)>,
    restarts: u8,
    broken: Option<&'static str>,
}

/// A higher term was open when a write was acknowledged.
pub const REPLACED: &str = "a replaced primary's write was acknowledged";
/// An acknowledged write is not in a later term's log.
pub const LOST_WRITE: &str = "an acknowledged write is missing from a later term";
/// One term has two primaries.
pub const SPLIT: &str = "two databases were opened in one term";
/// The lineage claims that a log holds a write which it does not hold.
pub const FALSE_LINEAGE: &str = "the lineage vouches for a write that the log does not hold";
/// A later term lacks an acknowledged write, and its lineage does not report the write as lost.
pub const UNREPORTED_LOSS: &str = "a lost write's floor is not known as lost";

impl Spec {
    /// Creates a specification bounded by `scope`, with one safeguard `disabled` or none.
    pub fn new(scope: Scope, disabled: Option<Safeguard>) -> Result<Self, Invalid> {
        let [a, b, c] = DATABASE_NAMES;
        Ok(Self {
            names: [a.parse()?, b.parse()?, c.parse()?],
            scope,
            disabled,
        })
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.disabled != Some(safeguard)
    }

    /// The initial state: term 1 is open at the second database, under the first steward.
    pub fn start(&self) -> State {
        let database = |open| Database {
            term: 1,
            open,
            log: vec![Item::Start(1)],
        };
        let state = State {
            databases: [database(false), database(true), database(false)],
            stewards: [Role::Lead(Lead::new(1, 1)), Role::Idle],
            orders: Vec::new(),
            handover: None,
            written: 0,
            acknowledged: Vec::new(),
            opened: vec![(1, 1)],
            restarts: self.scope.restarts,
            broken: None,
        };
        match self.scope.diverged {
            true => diverged(state),
            false => state,
        }
    }

    /// Searches all states within `limit` events.
    pub fn search(&self, limit: usize) -> Report {
        let next = |state: &State| self.next(state);
        search(self.start(), limit, next, |state| self.broken(state))
    }

    /// Returns the property that `state` breaks.
    pub fn broken(&self, state: &State) -> Option<&'static str> {
        let contradicts = |database: &Database, ack: &Acknowledgement| {
            database.lineage().holds(database.end(), ack.position)
                && database.find(ack.write).is_none()
        };
        let mistaken =
            |ack: &Acknowledgement| state.databases.iter().any(|db| contradicts(db, ack));
        if state.acknowledged.iter().any(mistaken) {
            return Some(FALSE_LINEAGE);
        }
        state.broken
    }

    /// Returns all steps from `state`.
    pub fn next(&self, state: &State) -> Vec<Step<State, Event>> {
        let mut steps = Vec::new();
        let mut add = |event, next: Option<State>| {
            steps.extend(next.map(|state| Step { event, state }));
        };
        if self.scope.clock {
            add(Event::Tick, self.tick(state));
        }
        for s in 0..STEWARDS {
            match state.stewards[s] {
                Role::Lead(lead) => self.lead_steps(state, s, lead, &mut add),
                Role::Attempt(attempt) => self.attempt_steps(state, s, attempt, &mut add),
                Role::Idle => {}
            }
            let known = match state.stewards[s] {
                Role::Idle => 1,
                Role::Attempt(attempt) => attempt.term,
                Role::Lead(lead) => lead.term,
            };
            for term in known + 1..=self.scope.terms {
                add(Event::Attempt(s, term), self.attempt(state, s, term));
            }
            if state.restarts > 0 && state.stewards[s] != Role::Idle {
                add(Event::RestartSteward(s), self.restart_steward(state, s));
            }
        }
        for d in 0..DATABASES {
            for order in &state.orders {
                if order.1 == d {
                    add(Event::Open(d, order.0), self.open(state, *order));
                }
            }
            // Without waiting for replicas, only the timing of acknowledgements is searched.
            let replicas = if self.scope.majority || !self.scope.clock {
                DATABASES
            } else {
                0
            };
            for r in 0..replicas {
                add(Event::Replicate(d, r), self.replicate(state, d, r));
            }
            if !self.enforces(Safeguard::TermKept) && state.restarts > 0 {
                add(Event::RestartDatabase(d), self.restart_database(state, d));
            }
        }
        steps
    }

    fn lead_steps(
        &self,
        state: &State,
        s: usize,
        lead: Lead,
        add: &mut impl FnMut(Event, Option<State>),
    ) {
        for d in 0..DATABASES {
            if self.scope.clock {
                add(Event::Probe(s, d), self.probe(state, s, lead, d));
                add(Event::Receive(s, d), self.receive(state, s, lead, d));
            }
            add(Event::ReportHeld(s, d), self.report_held(state, s, lead, d));
        }
        let write = state.written;
        add(Event::Write(s, write), self.write(state, s, lead));
        if self.scope.repeats {
            for write in 0..state.written {
                add(Event::Repeat(s, write), self.repeat(state, s, lead, write));
            }
        }
        if let Some(pending) = lead.pending {
            let event = Event::Acknowledge(s, pending.write);
            add(event, self.acknowledge(state, s, lead, pending));
        }
        add(Event::Yield(s), self.hand_over(state, s, lead));
    }

    fn attempt_steps(
        &self,
        state: &State,
        s: usize,
        attempt: Attempt,
        add: &mut impl FnMut(Event, Option<State>),
    ) {
        for d in 0..DATABASES {
            add(Event::Raise(s, d), self.raise(state, s, attempt, d));
            let answer_lost = self.raise_answer_lost(state, attempt, d);
            add(Event::RaiseAnswerLost(s, d), answer_lost);
        }
        if let Some(former) = state.handover {
            let event = Event::TakeOver(s, former);
            add(event, self.take_over(state, s, attempt, former));
        }
        if let Some((d, next)) = self.order(state, s, attempt) {
            add(Event::Order(s, d), Some(next));
        }
    }

    fn tick(&self, state: &State) -> Option<State> {
        let mut next = state.clone();
        let increment =
            |age: &mut Option<u8>| *age = age.map(|age| age + 1).filter(|age| *age < MAX_AGE);
        for role in &mut next.stewards {
            match role {
                Role::Lead(lead) => {
                    lead.answered.iter_mut().for_each(increment);
                    lead.in_flight.iter_mut().for_each(increment);
                }
                Role::Attempt(attempt) => {
                    attempt.majority_raised =
                        attempt.majority_raised.map(|age| MAX_AGE.min(age + 1));
                }
                Role::Idle => {}
            }
        }
        (next != *state).then_some(next)
    }

    fn open(&self, state: &State, order: (u8, usize)) -> Option<State> {
        let (term, d) = order;
        let mut next = state.clone();
        next.orders.retain(|other| *other != order);
        let database = &mut next.databases[d];
        if database.term != term || database.open {
            return None;
        }
        database.open = true;
        database.log.push(Item::Start(term));
        if next.opened.iter().any(|(opened, _)| *opened == term) {
            next.broken = Some(SPLIT);
        }
        next.opened.push((term, d));
        next.opened.sort_unstable();
        let database = &next.databases[d];
        let before = state.acknowledged.iter().filter(|ack| ack.term < term);
        for ack in before.filter(|ack| database.find(ack.write).is_none()) {
            let known = database.lineage().relation(ack.position) == Relation::Lost;
            let broken = match (self.scope.majority, known) {
                (true, _) => Some(LOST_WRITE),
                (false, false) => Some(UNREPORTED_LOSS),
                (false, true) => None,
            };
            next.broken = next.broken.or(broken);
        }
        let owner = |role: &&mut Role| match role {
            Role::Attempt(attempt) => attempt.term == term && attempt.ordered == Some(d),
            Role::Idle | Role::Lead(_) => false,
        };
        if let Some(role) = next.stewards.iter_mut().find(owner) {
            *role = Role::Lead(Lead::new(term, d));
        }
        Some(next)
    }

    fn replicate(&self, state: &State, from: usize, to: usize) -> Option<State> {
        let (source, target) = (&state.databases[from], &state.databases[to]);
        let follows = match self.disabled {
            Some(Safeguard::NoOlderLog) => true,
            Some(Safeguard::Fence) => target.term <= source.term,
            _ => target.term == source.term,
        };
        if from == to || !source.open || target.open || !follows {
            return None;
        }
        let pairs = source.log.iter().zip(&target.log);
        let same = pairs.take_while(|(a, b)| a == b).count();
        let length = source.log.len().min(same + 1);
        if target.log == source.log[..length] {
            return None;
        }
        let mut next = state.clone();
        next.databases[to].log = source.log[..length].to_vec();
        Some(next)
    }

    fn restart_steward(&self, state: &State, s: usize) -> Option<State> {
        let mut next = with_role(state, s, Role::Idle);
        next.restarts -= 1;
        Some(next)
    }

    fn restart_database(&self, state: &State, d: usize) -> Option<State> {
        let mut next = state.clone();
        next.restarts -= 1;
        next.databases[d].term = state.databases[d].opened()?;
        Some(next)
    }
}

/// Diverges the logs: the second steward has opened term 2 at the first database, without the last
/// write of term 1, and has written there itself.
fn diverged(mut state: State) -> State {
    let [a, b, c] = &mut state.databases;
    b.log.push(Item::Write { term: 1, write: 0 });
    a.log.push(Item::Start(2));
    a.log.push(Item::Write { term: 2, write: 1 });
    (a.term, c.term) = (2, 2);
    a.open = true;
    state.stewards[1] = Role::Lead(Lead::new(2, 0));
    state.opened.push((2, 0));
    state.written = 2;
    state
}

fn with_role(state: &State, s: usize, role: Role) -> State {
    let mut next = state.clone();
    next.stewards[s] = role;
    next
}
