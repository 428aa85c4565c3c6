//! A steward that has opened its term: probes, writes, acknowledgement, handover.

use super::database::{Database, Item};
use super::{
    Acknowledgement, DATABASES, NOW, REPLACED, Role, Safeguard, Spec, State, TICKS, WINDOW,
    with_role,
};
use crate::clock::Span;
use crate::core::term::{Confirmations, majority, required_position};
use crate::types::{Position, Term};

/// A write that the primary has answered and that is not acknowledged yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Pending {
    pub(super) write: u8,
    /// Its position in the log.
    position: Position,
    /// The position that a majority has to hold.
    binding: Position,
    /// The databases known to hold it, one bit each.
    holders: u8,
    /// Whether the term was confirmed before the answer was read.
    confirmed_before: bool,
}

/// A steward that has opened its term. Ages count in ticks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Lead {
    pub(super) term: u8,
    primary: usize,
    /// For each database, ticks since the probe behind its last received answer.
    pub(super) answered: [Option<u8>; DATABASES],
    /// For each database, ticks since the probe behind an answer in flight.
    pub(super) in_flight: [Option<u8>; DATABASES],
    pub(super) pending: Option<Pending>,
}

impl Lead {
    pub(super) fn new(term: u8, primary: usize) -> Self {
        Self {
            term,
            primary,
            answered: [None; DATABASES],
            in_flight: [None; DATABASES],
            pending: None,
        }
    }
}

impl Spec {
    /// Receives a database's answer at once. Delay would add no behaviour, because a confirmation counts
    /// from its probe; only with `SentTime` disabled does the answer stay in flight first.
    pub(super) fn probe(&self, state: &State, s: usize, mut lead: Lead, d: usize) -> Option<State> {
        if state.databases[d].term != lead.term {
            return None;
        }
        match self.enforces(Safeguard::SentTime) {
            true => lead.answered[d] = Some(0),
            false => lead.in_flight[d] = Some(lead.in_flight[d].unwrap_or(0)),
        }
        let next = with_role(state, s, Role::Lead(lead));
        (next != *state).then_some(next)
    }

    pub(super) fn receive(
        &self,
        state: &State,
        s: usize,
        mut lead: Lead,
        d: usize,
    ) -> Option<State> {
        lead.in_flight[d].take()?;
        lead.answered[d] = Some(0);
        Some(with_role(state, s, Role::Lead(lead)))
    }

    fn confirmations(&self, s: usize, lead: &Lead) -> Confirmations {
        let term = Term(lead.term.into());
        let primary = &self.names[lead.primary];
        let mut confirmations = Confirmations::new(term, primary.clone(), DATABASES);
        for (name, age) in self.names.iter().zip(lead.answered) {
            let Some(age) = age else { continue };
            let sent = NOW - Span(TICKS[s] * u64::from(age));
            confirmations.confirm(name, sent, WINDOW);
            if name == primary && !self.enforces(Safeguard::OthersConfirm) {
                let others = self.names.iter().filter(|name| *name != primary);
                others.for_each(|other| confirmations.confirm(other, sent, WINDOW));
            }
        }
        if !self.enforces(Safeguard::PrimaryConfirms) {
            confirmations.confirm(primary, NOW, WINDOW);
        }
        confirmations
    }

    /// Returns whether the steward may acknowledge now.
    fn holds(&self, state: &State, s: usize, lead: &Lead) -> bool {
        if self.scope.clock {
            return self.confirmations(s, lead).hold(NOW);
        }
        let current = |d: &&Database| d.term == lead.term;
        let count = state.databases.iter().filter(current).count();
        count >= majority(DATABASES) && state.databases[lead.primary].term == lead.term
    }

    pub(super) fn write(&self, state: &State, s: usize, mut lead: Lead) -> Option<State> {
        let primary = &state.databases[lead.primary];
        let fenced = primary.term != lead.term && self.enforces(Safeguard::Fence);
        if fenced || !primary.open || state.written == self.scope.writes {
            return None;
        }
        let write = state.written;
        let confirmed_before = self.holds(state, s, &lead);
        let mut next = state.clone();
        let log = &mut next.databases[lead.primary].log;
        log.push(Item::Write {
            term: lead.term,
            write,
        });
        next.written += 1;
        let position = next.databases[lead.primary].find(write)?;
        lead.pending = Some(Pending {
            write,
            position,
            binding: position,
            holders: 1 << lead.primary,
            confirmed_before,
        });
        next.stewards[s] = Role::Lead(lead);
        Some(next)
    }

    pub(super) fn repeat(
        &self,
        state: &State,
        s: usize,
        mut lead: Lead,
        write: u8,
    ) -> Option<State> {
        let primary = &state.databases[lead.primary];
        let position = primary.find(write)?;
        let answers = primary.term == lead.term && position.term < Term(lead.term.into());
        if !answers || lead.pending.is_some() {
            return None;
        }
        let term = match self.enforces(Safeguard::OwnTerm) {
            true => Term(lead.term.into()),
            false => position.term,
        };
        lead.pending = Some(Pending {
            write,
            position,
            binding: required_position(term, position),
            holders: 1 << lead.primary,
            confirmed_before: false,
        });
        Some(with_role(state, s, Role::Lead(lead)))
    }

    pub(super) fn report_held(
        &self,
        state: &State,
        s: usize,
        mut lead: Lead,
        d: usize,
    ) -> Option<State> {
        let pending = lead.pending.as_mut().filter(|_| self.scope.majority)?;
        let database = &state.databases[d];
        let known = pending.holders & (1 << d) != 0;
        if known || !database.lineage().holds(database.end(), pending.binding) {
            return None;
        }
        pending.holders |= 1 << d;
        Some(with_role(state, s, Role::Lead(lead)))
    }

    pub(super) fn acknowledge(
        &self,
        state: &State,
        s: usize,
        mut lead: Lead,
        write: Pending,
    ) -> Option<State> {
        let held = write.holders.count_ones() as usize >= majority(DATABASES);
        let durable = held || !self.scope.majority || !self.enforces(Safeguard::MajorityHolds);
        let confirmed = match self.enforces(Safeguard::ClockAfterAnswer) {
            true => self.holds(state, s, &lead),
            false => write.confirmed_before,
        };
        if !durable || !confirmed {
            return None;
        }
        lead.pending = None;
        let mut next = with_role(state, s, Role::Lead(lead));
        next.acknowledged.push(Acknowledgement {
            write: write.write,
            term: lead.term,
            position: write.position,
        });
        next.acknowledged.sort_unstable();
        next.acknowledged.dedup();
        let latest = state.opened.last().map_or(0, |(term, _)| *term);
        if latest > lead.term && self.scope.clock {
            next.broken = Some(REPLACED);
        }
        Some(next)
    }

    pub(super) fn hand_over(&self, state: &State, s: usize, lead: Lead) -> Option<State> {
        if !self.scope.clock || state.handover.is_some() {
            return None;
        }
        let mut next = with_role(state, s, Role::Idle);
        next.handover = Some(lead.term);
        Some(next)
    }
}
