//! A steward that has opened its term: probes, writes, acknowledgement, handover.

use super::database::{Database, Item};
use super::{DATABASES, NOW, REPLACED, Role, Safeguard, Spec, State, TICKS, Told, WINDOW, with};
use crate::clock::Span;
use crate::core::term::{Confirmations, majority, required_position};
use crate::types::{Position, Term};

/// A write that the primary has answered and that is not acknowledged yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Pending {
    pub(super) write: u8,
    /// Where it is in the log.
    position: Position,
    /// What a majority has to hold.
    binding: Position,
    /// The databases known to hold it.
    holders: u8,
    /// What the clock said before the answer was read.
    early: bool,
}

/// A steward that has opened its term. Ages count in ticks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Lead {
    pub(super) term: u8,
    primary: usize,
    /// Since when each database's last answer that was heard had been asked for.
    pub(super) heard: [Option<u8>; DATABASES],
    /// The same of an answer that is still on its way.
    pub(super) coming: [Option<u8>; DATABASES],
    pub(super) pending: Option<Pending>,
}

impl Lead {
    pub(super) fn new(term: u8, primary: usize) -> Self {
        Self {
            term,
            primary,
            heard: [None; DATABASES],
            coming: [None; DATABASES],
            pending: None,
        }
    }
}

impl Spec {
    /// A database's answer counts at once. That it may come later allows nothing more, as long
    /// as it counts from when it was asked for: only without that rule is it kept back.
    pub(super) fn probe(&self, state: &State, s: usize, mut lead: Lead, d: usize) -> Option<State> {
        if state.databases[d].term != lead.term {
            return None;
        }
        match self.kept(Safeguard::SentTime) {
            true => lead.heard[d] = Some(0),
            false => lead.coming[d] = Some(lead.coming[d].unwrap_or(0)),
        }
        let next = with(state, s, Role::Lead(lead));
        (next != *state).then_some(next)
    }

    pub(super) fn hear(&self, state: &State, s: usize, mut lead: Lead, d: usize) -> Option<State> {
        lead.coming[d].take()?;
        lead.heard[d] = Some(0);
        Some(with(state, s, Role::Lead(lead)))
    }

    fn confirmations(&self, s: usize, lead: &Lead) -> Confirmations {
        let term = Term(lead.term.into());
        let primary = &self.names[lead.primary];
        let mut confirmations = Confirmations::new(term, primary.clone(), DATABASES);
        for (name, age) in self.names.iter().zip(lead.heard) {
            let Some(age) = age else { continue };
            let sent = NOW - Span(TICKS[s] * u64::from(age));
            confirmations.confirm(name, sent, WINDOW);
            if name == primary && !self.kept(Safeguard::OthersConfirm) {
                let others = self.names.iter().filter(|name| *name != primary);
                others.for_each(|other| confirmations.confirm(other, sent, WINDOW));
            }
        }
        if !self.kept(Safeguard::PrimaryConfirms) {
            confirmations.confirm(primary, NOW, WINDOW);
        }
        confirmations
    }

    /// Whether the steward may pass an answer on now.
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
        let fenced = primary.term != lead.term && self.kept(Safeguard::Fence);
        if fenced || !primary.open || state.written == self.scope.writes {
            return None;
        }
        let write = state.written;
        let early = self.holds(state, s, &lead);
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
            early,
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
        let term = match self.kept(Safeguard::OwnTerm) {
            true => Term(lead.term.into()),
            false => position.term,
        };
        lead.pending = Some(Pending {
            write,
            position,
            binding: required_position(term, position),
            holders: 1 << lead.primary,
            early: false,
        });
        Some(with(state, s, Role::Lead(lead)))
    }

    pub(super) fn reach(&self, state: &State, s: usize, mut lead: Lead, d: usize) -> Option<State> {
        let pending = lead.pending.as_mut().filter(|_| self.scope.majority)?;
        let database = &state.databases[d];
        let known = pending.holders & (1 << d) != 0;
        if known || !database.lineage().holds(database.end(), pending.binding) {
            return None;
        }
        pending.holders |= 1 << d;
        Some(with(state, s, Role::Lead(lead)))
    }

    pub(super) fn acknowledge(
        &self,
        state: &State,
        s: usize,
        mut lead: Lead,
        write: Pending,
    ) -> Option<State> {
        let held = write.holders.count_ones() as usize >= majority(DATABASES);
        let durable = held || !self.scope.majority || !self.kept(Safeguard::MajorityHolds);
        let confirmed = match self.kept(Safeguard::ClockAfterAnswer) {
            true => self.holds(state, s, &lead),
            false => write.early,
        };
        if !durable || !confirmed {
            return None;
        }
        lead.pending = None;
        let mut next = with(state, s, Role::Lead(lead));
        next.told.push(Told {
            write: write.write,
            term: lead.term,
            position: write.position,
        });
        next.told.sort_unstable();
        next.told.dedup();
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
        let mut next = with(state, s, Role::Idle);
        next.handover = Some(lead.term);
        Some(next)
    }
}
