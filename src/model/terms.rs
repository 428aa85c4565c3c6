//! Terms, raise, promotion and acknowledgement, as a specification to search.
//!
//! Three databases and two stewards. What decides is the real `core::term` and
//! `core::lineage`; this module plays the databases and the order of events. Any process may
//! stay silent for as long as the search likes, so loss, delay, reordering, partition and
//! pause need no event of their own: a step that does not happen was lost. An answer lost
//! after its effect and a restart that forgets everything have theirs.

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
/// What a steward's clock shows for one tick: the first one's runs slower by the full drift.
const TICKS: [u64; STEWARDS] = [49, 50];
/// A moment late enough that every age below it is a valid time.
const NOW: Time = Time(10_000);
/// Ages of this many ticks are beyond every deadline and count as one.
const OLD: u8 = 4;

/// A rule that keeps a property; the search can be run with one of them taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A database takes only a strictly higher term.
    StrictRaise,
    /// A promotion needs a majority of the databases raised.
    MajorityRaised,
    /// The new primary opens only after the former term's window.
    WaitOut,
    /// The wait allows for clocks that run at different speeds.
    Drift,
    /// A confirmation counts from when its probe was sent, not from when its answer came.
    SentTime,
    /// The clock is read after the answer was.
    ClockAfterAnswer,
    /// The primary itself has to confirm its term.
    PrimaryConfirms,
    /// Other databases have to confirm the term beside the primary.
    OthersConfirm,
    /// The database with the furthest log is opened.
    FurthestLog,
    /// A steward orders one database only to open in its term.
    OneChoice,
    /// A handover spares the wait only to the very next term.
    YieldOfFormer,
    /// A majority holds a write before it is acknowledged.
    MajorityHolds,
    /// A database keeps its term through a restart.
    TermKept,
    /// A database runs no statement of another term.
    Fence,
    /// A raised database applies no log of an older primary.
    NoOlderLog,
    /// The start of a term counts as the end of a log, also with nothing written after it.
    StartCounts,
    /// What is acknowledged in a term is held by a majority as part of that term.
    OwnTerm,
}

/// The bounds of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scope {
    /// The highest term attempted.
    pub terms: u8,
    /// How many writes callers send.
    pub writes: u8,
    /// How many processes may restart.
    pub restarts: u8,
    /// Whether time passes. Without it confirmations are taken as kept perfectly, and longer
    /// histories of terms come within reach.
    pub clock: bool,
    /// Whether callers ask again for a write of a former term, by its key.
    pub repeats: bool,
    /// Whether an acknowledgement waits until a majority holds the write.
    pub majority: bool,
    /// Whether to start where terms 1 and 2 have each written something that no other database
    /// holds, rather than at the beginning.
    pub divided: bool,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Spec {
    names: [DatabaseId; DATABASES],
    scope: Scope,
    out: Option<Safeguard>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Role {
    Idle,
    Attempt(Attempt),
    Lead(Lead),
}

/// A write that its caller was told is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Told {
    write: u8,
    /// The term of the steward that said so.
    term: u8,
    /// The floor that the session got.
    position: Position,
}

/// A state of the group, its stewards, and what is on its way between them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    databases: [Database; DATABASES],
    stewards: [Role; STEWARDS],
    /// Orders to open that have not arrived: the term and the database.
    orders: Vec<(u8, usize)>,
    /// The former term in a handover, under way to the other steward.
    handover: Option<u8>,
    written: u8,
    told: Vec<Told>,
    /// Which database was opened in each term so far, lowest term first.
    opened: Vec<(u8, usize)>,
    restarts: u8,
    broken: Option<&'static str>,
}

/// A higher term was open when a write was acknowledged.
pub const REPLACED: &str = "a replaced primary's write was acknowledged";
/// An acknowledged write is not in a later term's log.
pub const LOST: &str = "an acknowledged write is missing from a later term";
/// One term has two primaries.
pub const SPLIT: &str = "two databases were opened in one term";
/// The lineage says that a log holds a write which it does not.
pub const MISTAKEN: &str = "the lineage vouches for a write that the log does not hold";
/// A later term lacks an acknowledged write, and its lineage does not say so.
pub const UNTOLD: &str = "a lost write's floor is not known as lost";

impl Spec {
    /// A search within `scope`, with one safeguard taken `out`, or none.
    pub fn new(scope: Scope, out: Option<Safeguard>) -> Result<Self, Invalid> {
        let [a, b, c] = DATABASE_NAMES;
        Ok(Self {
            names: [a.parse()?, b.parse()?, c.parse()?],
            scope,
            out,
        })
    }

    fn kept(&self, safeguard: Safeguard) -> bool {
        self.out != Some(safeguard)
    }

    /// Term 1 is open at the second database, owned by the first steward.
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
            told: Vec::new(),
            opened: vec![(1, 1)],
            restarts: self.scope.restarts,
            broken: None,
        };
        match self.scope.divided {
            true => divided(state),
            false => state,
        }
    }

    /// Searches all states within `limit` events.
    pub fn search(&self, limit: usize) -> Report {
        let next = |state: &State| self.next(state);
        search(self.start(), limit, next, |state| self.broken(state))
    }

    /// The property that `state` breaks.
    pub fn broken(&self, state: &State) -> Option<&'static str> {
        let vouches = |database: &Database, told: &Told| {
            database.lineage().holds(database.end(), told.position)
                && database.find(told.write).is_none()
        };
        let mistaken = |told: &Told| state.databases.iter().any(|db| vouches(db, told));
        if state.told.iter().any(mistaken) {
            return Some(MISTAKEN);
        }
        state.broken
    }

    /// The steps out of `state`.
    pub fn next(&self, state: &State) -> Vec<Step<State, Event>> {
        let mut steps = Vec::new();
        let mut take = |event, next: Option<State>| {
            steps.extend(next.map(|state| Step { event, state }));
        };
        if self.scope.clock {
            take(Event::Tick, self.tick(state));
        }
        for s in 0..STEWARDS {
            match state.stewards[s] {
                Role::Lead(lead) => self.lead_steps(state, s, lead, &mut take),
                Role::Attempt(attempt) => self.attempt_steps(state, s, attempt, &mut take),
                Role::Idle => {}
            }
            let known = match state.stewards[s] {
                Role::Idle => 1,
                Role::Attempt(attempt) => attempt.term,
                Role::Lead(lead) => lead.term,
            };
            for term in known + 1..=self.scope.terms {
                take(Event::Attempt(s, term), self.attempt(state, s, term));
            }
            if state.restarts > 0 && state.stewards[s] != Role::Idle {
                take(Event::RestartSteward(s), self.restart_steward(state, s));
            }
        }
        for d in 0..DATABASES {
            for order in &state.orders {
                if order.1 == d {
                    take(Event::Open(d, order.0), self.open(state, *order));
                }
            }
            // Where nothing waits for replicas, only who acknowledges when is searched for.
            let replicas = if self.scope.majority || !self.scope.clock {
                DATABASES
            } else {
                0
            };
            for r in 0..replicas {
                take(Event::Replicate(d, r), self.replicate(state, d, r));
            }
            if !self.kept(Safeguard::TermKept) && state.restarts > 0 {
                take(Event::RestartDatabase(d), self.restart_database(state, d));
            }
        }
        steps
    }

    fn lead_steps(
        &self,
        state: &State,
        s: usize,
        lead: Lead,
        take: &mut impl FnMut(Event, Option<State>),
    ) {
        for d in 0..DATABASES {
            if self.scope.clock {
                take(Event::Probe(s, d), self.probe(state, s, lead, d));
                take(Event::Hear(s, d), self.hear(state, s, lead, d));
            }
            take(Event::Reach(s, d), self.reach(state, s, lead, d));
        }
        let write = state.written;
        take(Event::Write(s, write), self.write(state, s, lead));
        if self.scope.repeats {
            for write in 0..state.written {
                take(Event::Repeat(s, write), self.repeat(state, s, lead, write));
            }
        }
        if let Some(pending) = lead.pending {
            let event = Event::Acknowledge(s, pending.write);
            take(event, self.acknowledge(state, s, lead, pending));
        }
        take(Event::Yield(s), self.hand_over(state, s, lead));
    }

    fn attempt_steps(
        &self,
        state: &State,
        s: usize,
        attempt: Attempt,
        take: &mut impl FnMut(Event, Option<State>),
    ) {
        for d in 0..DATABASES {
            take(Event::Raise(s, d), self.raise(state, s, attempt, d));
            let unheard = self.raise_unheard(state, attempt, d);
            take(Event::RaiseUnheard(s, d), unheard);
        }
        if let Some(former) = state.handover {
            let event = Event::TakeOver(s, former);
            take(event, self.take_over(state, s, attempt, former));
        }
        if let Some((d, next)) = self.order(state, s, attempt) {
            take(Event::Order(s, d), Some(next));
        }
    }

    fn tick(&self, state: &State) -> Option<State> {
        let mut next = state.clone();
        let older = |age: &mut Option<u8>| *age = age.map(|age| age + 1).filter(|age| *age < OLD);
        for role in &mut next.stewards {
            match role {
                Role::Lead(lead) => {
                    lead.heard.iter_mut().for_each(older);
                    lead.coming.iter_mut().for_each(older);
                }
                Role::Attempt(attempt) => {
                    attempt.settled = attempt.settled.map(|age| OLD.min(age + 1));
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
        let before = state.told.iter().filter(|told| told.term < term);
        for told in before.filter(|told| database.find(told.write).is_none()) {
            let known = database.lineage().relation(told.position) == Relation::Lost;
            let broken = match (self.scope.majority, known) {
                (true, _) => Some(LOST),
                (false, false) => Some(UNTOLD),
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
        let follows = match self.out {
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
        let mut next = with(state, s, Role::Idle);
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

/// The second steward has opened term 2 at the first database, without the last write of term
/// 1, and has written there itself.
fn divided(mut state: State) -> State {
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

fn with(state: &State, s: usize, role: Role) -> State {
    let mut next = state.clone();
    next.stewards[s] = role;
    next
}
