//! Floors and leases of one session that uses two proxies, across a change of steward.
//!
//! The session writes through its group's steward and reads at another entry, from a replica that
//! has applied nothing beyond the floor. The steward's session state is the production
//! `core::session`; this module simulates the messages, the entry and the clock.

use crate::clock::{Span, Time};
use crate::core::session::Sessions;
use crate::model::search::{Report, Step, search};
use crate::types::{Invalid, Offset, Position, SessionId, Term, VmId};
use std::fmt;

/// The window W in ticks, which is the maximum length of a lease.
const WINDOW: u8 = 2;
const TICK: Span = Span(100);
const NOW: Time = Time(10_000);

/// A rule that keeps a session's reads from going back in time; a search can disable one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A write is acknowledged only once other entries' leases are released or have expired.
    Revoke,
    /// A lease ends no later than the confirmations of its term.
    WithinConfirmations,
    /// A lease counts from when the entry asked for it.
    FromQuestion,
    /// A grant given before a revocation is not used after it.
    StaleGrant,
    /// A lease is ended only by the answer to a revocation sent after its grant.
    LateRelease,
    /// A term is handed over only once no lease is left.
    LeasesBeforeYield,
    /// In a new term every session's floor starts at the base of that term.
    Horizon,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Spec {
    session: SessionId,
    /// The steward's own entry, and the other one.
    vms: [VmId; 2],
    writes: u8,
    disabled: Option<Safeguard>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Steward {
    leads: bool,
    /// The session's floor, and the horizon that bounds all floors from below.
    floor: u8,
    horizon: u8,
    /// The lease of the other entry: its floor, and the ticks until it expires.
    lease: Option<Grant>,
    /// Ticks until the confirmations expire.
    confirmed: u8,
    /// A write that is not acknowledged yet.
    pending: Option<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Grant {
    floor: u8,
    span: u8,
}

impl Grant {
    /// Returns the grant a tick later, or none if it has expired.
    fn after_tick(self) -> Option<Self> {
        let span = self.span.checked_sub(1).filter(|span| *span > 0)?;
        Some(Self { span, ..self })
    }
}

/// A state of both stewards, the other entry, and the messages in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    stewards: [Steward; 2],
    /// Ticks until the second steward may open its term, once a majority is raised.
    opens_in: Option<u8>,
    /// Ticks since the entry asked for a floor, and the steward it asked.
    question: Option<(u8, usize)>,
    /// A grant in flight, and the ticks since the entry asked for it.
    grant: Option<(Grant, u8)>,
    /// A revocation and its answer, in flight: the steward, and the write that caused it.
    revocation: Option<(usize, u8)>,
    release: Option<(usize, u8)>,
    /// The entry's lease: its floor, and the ticks left.
    lease: Option<Grant>,
    written: u8,
    acknowledged: u8,
    broken: Option<&'static str>,
}

/// An event; stewards by index.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// Time passes.
    Tick,
    /// The entry asks for the floor.
    Ask(usize),
    /// A steward grants a lease.
    Grant(usize),
    /// The entry receives the grant.
    Receive,
    /// A steward's confirmations are renewed.
    Confirm(usize),
    /// The session writes through a steward.
    Write(usize),
    /// The entry releases its lease.
    Release(usize),
    /// The steward receives the release.
    ReceiveRelease(usize),
    /// The write is acknowledged.
    Acknowledge(usize),
    /// The second steward has raised a majority.
    Raise,
    /// The first steward hands over.
    Yield,
    /// The second steward opens its term.
    Open,
    /// The session reads at the entry.
    Read,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let vm = |s: &usize| s + 1;
        match self {
            Event::Tick => write!(f, "half a window passes"),
            Event::Ask(s) => write!(f, "the entry asks vm{} for the floor", vm(s)),
            Event::Grant(s) => write!(f, "vm{} grants a lease", vm(s)),
            Event::Receive => write!(f, "the entry hears the grant"),
            Event::Confirm(s) => write!(f, "vm{}'s term is confirmed", vm(s)),
            Event::Write(s) => write!(f, "the session writes by way of vm{}", vm(s)),
            Event::Release(s) => write!(f, "the entry gives the lease of vm{} back", vm(s)),
            Event::ReceiveRelease(s) => write!(f, "vm{} hears that the lease is given back", vm(s)),
            Event::Acknowledge(s) => write!(f, "vm{} acknowledges the write", vm(s)),
            Event::Raise => write!(f, "vm2 has raised a majority"),
            Event::Yield => write!(f, "vm1 hands over"),
            Event::Open => write!(f, "vm2 opens its term"),
            Event::Read => write!(f, "the session reads at the entry, from a replica"),
        }
    }
}

/// A session's read misses a write that was acknowledged to it.
pub const STALE_READ: &str = "a session did not read its acknowledged write";

fn position(floor: u8) -> Position {
    Position::new(Term(1), Offset(floor.into()))
}

fn after(ticks: u8) -> Time {
    NOW + Span(TICK.0 * u64::from(ticks))
}

impl Spec {
    /// Creates a specification with one safeguard `disabled` or none.
    pub fn new(writes: u8, disabled: Option<Safeguard>) -> Result<Self, Invalid> {
        Ok(Self {
            session: "broker".parse()?,
            vms: ["vm1".parse()?, "vm3".parse()?],
            writes,
            disabled,
        })
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.disabled != Some(safeguard)
    }

    /// The initial state: the first steward leads, and no lease is requested.
    pub fn start(&self) -> State {
        let first = Steward {
            leads: true,
            ..Steward::default()
        };
        State {
            stewards: [first, Steward::default()],
            opens_in: None,
            question: None,
            grant: None,
            revocation: None,
            release: None,
            lease: None,
            written: 0,
            acknowledged: 0,
            broken: None,
        }
    }

    /// Searches all states within `limit` events.
    pub fn search(&self, limit: usize) -> Report {
        search(self.start(), limit, |s| self.next(s), |s| s.broken)
    }

    /// Rebuilds the production session state of a steward.
    fn sessions(&self, steward: &Steward) -> Sessions {
        let mut sessions = Sessions::new(position(steward.horizon));
        let [own, other] = &self.vms;
        let known = steward.lease.map_or(steward.floor, |lease| lease.floor);
        if known > steward.horizon {
            sessions.wrote(&self.session, own, position(known), NOW);
        }
        if let Some(lease) = steward.lease {
            sessions.grant(&self.session, other, NOW, after(lease.span));
        }
        if steward.floor > known {
            sessions.wrote(&self.session, own, position(steward.floor), NOW);
        }
        sessions
    }

    /// Returns all steps from `state`.
    pub fn next(&self, state: &State) -> Vec<Step<State, Event>> {
        let mut steps = Vec::new();
        let mut add = |event, next: Option<State>| {
            steps.extend(next.map(|state| Step { event, state }));
        };
        add(Event::Tick, self.tick(state));
        for s in 0..state.stewards.len() {
            add(Event::Ask(s), self.ask(state, s));
            add(Event::Grant(s), self.grant(state, s));
            add(Event::Confirm(s), self.confirm(state, s));
            add(Event::Write(s), self.write(state, s));
            add(Event::Release(s), self.release(state, s));
            add(Event::ReceiveRelease(s), self.receive_release(state, s));
            add(Event::Acknowledge(s), self.acknowledge(state, s));
        }
        add(Event::Receive, self.receive(state));
        add(Event::Raise, self.raise(state));
        add(Event::Yield, self.hand_over(state));
        add(Event::Open, self.open(state));
        add(Event::Read, self.read(state));
        steps
    }

    fn tick(&self, state: &State) -> Option<State> {
        let mut next = state.clone();
        for steward in &mut next.stewards {
            steward.confirmed = steward.confirmed.saturating_sub(1);
            steward.lease = steward.lease.and_then(Grant::after_tick);
        }
        next.opens_in = next.opens_in.map(|left| left.saturating_sub(1));
        next.question = next.question.map(|(age, s)| (WINDOW.min(age + 1), s));
        next.grant = next.grant.map(|(grant, age)| (grant, WINDOW.min(age + 1)));
        next.lease = next.lease.and_then(Grant::after_tick);
        (next != *state).then_some(next)
    }

    fn ask(&self, state: &State, s: usize) -> Option<State> {
        let mut next = state.clone();
        next.question = Some((0, s));
        next.grant = None;
        (state.question.is_none() && state.stewards[s].leads).then_some(next)
    }

    fn grant(&self, state: &State, s: usize) -> Option<State> {
        let (age, asked) = state.question?;
        let steward = state.stewards[s];
        let span = match self.enforces(Safeguard::WithinConfirmations) {
            true => steward.confirmed,
            false => WINDOW,
        };
        if asked != s || state.grant.is_some() || !steward.leads || span == 0 {
            return None;
        }
        let other = &self.vms[1];
        let mut sessions = self.sessions(&steward);
        let floor = sessions.grant(&self.session, other, NOW, after(span));
        let floor = u8::try_from(floor.offset.0).ok()?;
        let mut next = state.clone();
        let held = steward.lease.map_or(span, |lease| lease.span.max(span));
        next.stewards[s].lease = Some(Grant { floor, span: held });
        next.grant = Some((Grant { floor, span }, age));
        Some(next)
    }

    fn receive(&self, state: &State) -> Option<State> {
        let (grant, age) = state.grant?;
        let mut next = state.clone();
        next.grant = None;
        let asked = next.question.take().is_some();
        let age = match self.enforces(Safeguard::FromQuestion) {
            true => age,
            false => 0,
        };
        let span = grant.span.saturating_sub(age);
        let used = asked || !self.enforces(Safeguard::StaleGrant);
        next.lease = (used && span > 0).then_some(Grant { span, ..grant });
        Some(next)
    }

    /// A term is confirmed only while no majority is raised to a newer one.
    fn confirm(&self, state: &State, s: usize) -> Option<State> {
        let current = s == 1 || state.opens_in.is_none();
        let mut next = state.clone();
        next.stewards[s].confirmed = WINDOW;
        (state.stewards[s].leads && current && next != *state).then_some(next)
    }

    fn write(&self, state: &State, s: usize) -> Option<State> {
        let steward = state.stewards[s];
        let current = s == 1 || state.opens_in.is_none();
        let allowed = steward.leads && current && steward.pending.is_none();
        if !allowed || state.written == self.writes {
            return None;
        }
        let mut next = state.clone();
        next.written += 1;
        let [own, _] = &self.vms;
        let mut sessions = self.sessions(&steward);
        let holders = sessions.wrote(&self.session, own, position(next.written), NOW);
        next.stewards[s].floor = next.written;
        next.stewards[s].pending = Some(next.written);
        if !holders.is_empty() {
            next.revocation = Some((s, next.written));
        }
        Some(next)
    }

    fn release(&self, state: &State, s: usize) -> Option<State> {
        let (_, write) = state.revocation.filter(|(by, _)| *by == s)?;
        let mut next = state.clone();
        next.revocation = None;
        next.release = Some((s, write));
        next.lease = None;
        if self.enforces(Safeguard::StaleGrant) {
            next.question = None;
        }
        Some(next)
    }

    fn receive_release(&self, state: &State, s: usize) -> Option<State> {
        let (_, write) = state.release.filter(|(by, _)| *by == s)?;
        let mut next = state.clone();
        next.release = None;
        let floor = match self.enforces(Safeguard::LateRelease) {
            true => position(write),
            false => position(u8::MAX),
        };
        let mut sessions = self.sessions(&state.stewards[s]);
        sessions.released(&self.session, &self.vms[1], floor);
        if sessions.leased_until() <= NOW {
            next.stewards[s].lease = None;
        }
        Some(next)
    }

    fn acknowledge(&self, state: &State, s: usize) -> Option<State> {
        let steward = state.stewards[s];
        let write = steward.pending?;
        let free = steward.lease.is_none() || !self.enforces(Safeguard::Revoke);
        if !free || steward.confirmed == 0 || !steward.leads {
            return None;
        }
        let mut next = state.clone();
        next.stewards[s].pending = None;
        next.acknowledged = next.acknowledged.max(write);
        Some(next)
    }

    fn raise(&self, state: &State) -> Option<State> {
        let mut next = state.clone();
        next.opens_in = Some(WINDOW);
        state.opens_in.is_none().then_some(next)
    }

    fn hand_over(&self, state: &State) -> Option<State> {
        let first = state.stewards[0];
        let free = first.lease.is_none() || !self.enforces(Safeguard::LeasesBeforeYield);
        if !first.leads || !free || state.opens_in.is_some() {
            return None;
        }
        let mut next = state.clone();
        next.stewards[0].leads = false;
        next.opens_in = Some(0);
        Some(next)
    }

    fn open(&self, state: &State) -> Option<State> {
        if state.opens_in != Some(0) || state.stewards[1].leads {
            return None;
        }
        let mut next = state.clone();
        next.stewards[1].leads = true;
        if self.enforces(Safeguard::Horizon) {
            next.stewards[1].horizon = state.written;
        }
        Some(next)
    }

    fn read(&self, state: &State) -> Option<State> {
        let lease = state.lease?;
        let mut next = state.clone();
        next.broken = (lease.floor < state.acknowledged).then_some(STALE_READ);
        next.broken.is_some().then_some(next)
    }
}
