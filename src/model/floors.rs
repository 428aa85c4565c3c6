//! Floors and leases of one session that is alive on two proxies, across a change of steward.
//!
//! The session writes by way of its group's steward and reads at another entry, from a replica
//! that has applied no more than the floor asks for. The steward's memory is the real
//! `core::session`; this module plays the messages, the entry and the time.

use crate::clock::{Span, Time};
use crate::core::session::Sessions;
use crate::model::search::{Report, Step, search};
use crate::types::{Invalid, Offset, Position, SessionId, Term, VmId};
use std::fmt;

/// The window W in ticks; a lease is never longer.
const WINDOW: u8 = 2;
const TICK: Span = Span(100);
const NOW: Time = Time(10_000);

/// A rule that keeps a session's reads from going back; one can be taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A write waits until other entries' leases were given back or have lapsed.
    Revoke,
    /// A lease ends with the confirmations of its term.
    WithinConfirmations,
    /// A lease counts from when it was asked for.
    FromQuestion,
    /// A grant that was given before a revocation is not used after it.
    StaleGrant,
    /// A lease is ended only by the answer to a revocation that came after it.
    LateRelease,
    /// A term is handed over only once no lease is left.
    LeasesBeforeYield,
    /// The floor of all sessions starts at the base of the new term.
    Horizon,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Spec {
    session: SessionId,
    /// The steward's own entry, and the other one.
    vms: [VmId; 2],
    writes: u8,
    out: Option<Safeguard>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Steward {
    leads: bool,
    /// The session's floor, and what is below it for all.
    floor: u8,
    horizon: u8,
    /// The lease of the other entry: its floor, and the ticks until it has lapsed.
    lease: Option<Grant>,
    /// Ticks until the confirmations lapse.
    confirmed: u8,
    /// A write that waits for its acknowledgement.
    pending: Option<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Grant {
    floor: u8,
    span: u8,
}

impl Grant {
    /// A tick later, unless it has lapsed.
    fn older(self) -> Option<Self> {
        let span = self.span.checked_sub(1).filter(|span| *span > 0)?;
        Some(Self { span, ..self })
    }
}

/// A state of both stewards, the other entry, and what is on its way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    stewards: [Steward; 2],
    /// Ticks until the second steward may open, once the majority was raised.
    opens: Option<u8>,
    /// How long ago the entry asked, and whom.
    asked: Option<(u8, usize)>,
    /// A grant under way, and how long ago it was asked for.
    grant: Option<(Grant, u8)>,
    /// A revocation and its answer: the steward, and the write that revoked.
    revoke: Option<(usize, u8)>,
    revoked: Option<(usize, u8)>,
    /// The entry's lease: its floor, and the ticks left.
    lease: Option<Grant>,
    written: u8,
    acknowledged: u8,
    broken: Option<&'static str>,
}

/// What happens in one step; stewards by index.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// Time passes.
    Tick,
    /// The entry asks for the floor.
    Ask(usize),
    /// A steward grants a lease.
    Grant(usize),
    /// The grant arrives.
    Hear,
    /// A steward's confirmations are renewed.
    Confirm(usize),
    /// The session writes by way of a steward.
    Write(usize),
    /// The entry gives its lease back.
    Revoke(usize),
    /// The steward hears of that.
    Revoked(usize),
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
            Event::Hear => write!(f, "the entry hears the grant"),
            Event::Confirm(s) => write!(f, "vm{}'s term is confirmed", vm(s)),
            Event::Write(s) => write!(f, "the session writes by way of vm{}", vm(s)),
            Event::Revoke(s) => write!(f, "the entry gives the lease of vm{} back", vm(s)),
            Event::Revoked(s) => write!(f, "vm{} hears that the lease is given back", vm(s)),
            Event::Acknowledge(s) => write!(f, "vm{} acknowledges the write", vm(s)),
            Event::Raise => write!(f, "vm2 has raised a majority"),
            Event::Yield => write!(f, "vm1 hands over"),
            Event::Open => write!(f, "vm2 opens its term"),
            Event::Read => write!(f, "the session reads at the entry, from a replica"),
        }
    }
}

/// A session read less than it had been told was done.
pub const STALE: &str = "a session did not read its acknowledged write";

fn position(floor: u8) -> Position {
    Position::new(Term(1), Offset(floor.into()))
}

fn after(ticks: u8) -> Time {
    NOW + Span(TICK.0 * u64::from(ticks))
}

impl Spec {
    /// A search with one safeguard taken `out`, or none.
    pub fn new(writes: u8, out: Option<Safeguard>) -> Result<Self, Invalid> {
        Ok(Self {
            session: "broker".parse()?,
            vms: ["vm1".parse()?, "vm3".parse()?],
            writes,
            out,
        })
    }

    fn kept(&self, safeguard: Safeguard) -> bool {
        self.out != Some(safeguard)
    }

    /// The first steward leads, and nobody has asked.
    pub fn start(&self) -> State {
        let first = Steward {
            leads: true,
            ..Steward::default()
        };
        State {
            stewards: [first, Steward::default()],
            opens: None,
            asked: None,
            grant: None,
            revoke: None,
            revoked: None,
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

    /// The real memory of a steward, rebuilt.
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

    /// The steps out of `state`.
    pub fn next(&self, state: &State) -> Vec<Step<State, Event>> {
        let mut steps = Vec::new();
        let mut take = |event, next: Option<State>| {
            steps.extend(next.map(|state| Step { event, state }));
        };
        take(Event::Tick, self.tick(state));
        for s in 0..state.stewards.len() {
            take(Event::Ask(s), self.ask(state, s));
            take(Event::Grant(s), self.grant(state, s));
            take(Event::Confirm(s), self.confirm(state, s));
            take(Event::Write(s), self.write(state, s));
            take(Event::Revoke(s), self.revoke(state, s));
            take(Event::Revoked(s), self.revoked(state, s));
            take(Event::Acknowledge(s), self.acknowledge(state, s));
        }
        take(Event::Hear, self.hear(state));
        take(Event::Raise, self.raise(state));
        take(Event::Yield, self.hand_over(state));
        take(Event::Open, self.open(state));
        take(Event::Read, self.read(state));
        steps
    }

    fn tick(&self, state: &State) -> Option<State> {
        let mut next = state.clone();
        for steward in &mut next.stewards {
            steward.confirmed = steward.confirmed.saturating_sub(1);
            steward.lease = steward.lease.and_then(Grant::older);
        }
        next.opens = next.opens.map(|left| left.saturating_sub(1));
        next.asked = next.asked.map(|(age, s)| (WINDOW.min(age + 1), s));
        next.grant = next.grant.map(|(grant, age)| (grant, WINDOW.min(age + 1)));
        next.lease = next.lease.and_then(Grant::older);
        (next != *state).then_some(next)
    }

    fn ask(&self, state: &State, s: usize) -> Option<State> {
        let mut next = state.clone();
        next.asked = Some((0, s));
        next.grant = None;
        (state.asked.is_none() && state.stewards[s].leads).then_some(next)
    }

    fn grant(&self, state: &State, s: usize) -> Option<State> {
        let (age, asked) = state.asked?;
        let steward = state.stewards[s];
        let span = match self.kept(Safeguard::WithinConfirmations) {
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

    fn hear(&self, state: &State) -> Option<State> {
        let (grant, age) = state.grant?;
        let mut next = state.clone();
        next.grant = None;
        let asked = next.asked.take().is_some();
        let age = match self.kept(Safeguard::FromQuestion) {
            true => age,
            false => 0,
        };
        let span = grant.span.saturating_sub(age);
        let used = asked || !self.kept(Safeguard::StaleGrant);
        next.lease = (used && span > 0).then_some(Grant { span, ..grant });
        Some(next)
    }

    /// Only a term that no majority was raised over is confirmed.
    fn confirm(&self, state: &State, s: usize) -> Option<State> {
        let current = s == 1 || state.opens.is_none();
        let mut next = state.clone();
        next.stewards[s].confirmed = WINDOW;
        (state.stewards[s].leads && current && next != *state).then_some(next)
    }

    fn write(&self, state: &State, s: usize) -> Option<State> {
        let steward = state.stewards[s];
        let current = s == 1 || state.opens.is_none();
        let may = steward.leads && current && steward.pending.is_none();
        if !may || state.written == self.writes {
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
            next.revoke = Some((s, next.written));
        }
        Some(next)
    }

    fn revoke(&self, state: &State, s: usize) -> Option<State> {
        let (_, write) = state.revoke.filter(|(by, _)| *by == s)?;
        let mut next = state.clone();
        next.revoke = None;
        next.revoked = Some((s, write));
        next.lease = None;
        if self.kept(Safeguard::StaleGrant) {
            next.asked = None;
        }
        Some(next)
    }

    fn revoked(&self, state: &State, s: usize) -> Option<State> {
        let (_, write) = state.revoked.filter(|(by, _)| *by == s)?;
        let mut next = state.clone();
        next.revoked = None;
        let floor = match self.kept(Safeguard::LateRelease) {
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
        let free = steward.lease.is_none() || !self.kept(Safeguard::Revoke);
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
        next.opens = Some(WINDOW);
        state.opens.is_none().then_some(next)
    }

    fn hand_over(&self, state: &State) -> Option<State> {
        let first = state.stewards[0];
        let free = first.lease.is_none() || !self.kept(Safeguard::LeasesBeforeYield);
        if !first.leads || !free || state.opens.is_some() {
            return None;
        }
        let mut next = state.clone();
        next.stewards[0].leads = false;
        next.opens = Some(0);
        Some(next)
    }

    fn open(&self, state: &State) -> Option<State> {
        if state.opens != Some(0) || state.stewards[1].leads {
            return None;
        }
        let mut next = state.clone();
        next.stewards[1].leads = true;
        if self.kept(Safeguard::Horizon) {
            next.stewards[1].horizon = state.written;
        }
        Some(next)
    }

    fn read(&self, state: &State) -> Option<State> {
        let lease = state.lease?;
        let mut next = state.clone();
        next.broken = (lease.floor < state.acknowledged).then_some(STALE);
        next.broken.is_some().then_some(next)
    }
}
