//! A steward that moves the group to its term: raising databases, choosing one, ordering it to open.

use super::database::Database;
use super::{DATABASES, NOW, Role, Safeguard, Spec, State, TICKS, WINDOW, with_role};
use crate::clock::Span;
use crate::core::term::{Promotion, majority, may_raise};
use crate::types::{DatabaseId, Position, Term};
use std::collections::BTreeSet;

/// A steward's attempt to move the group to its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Attempt {
    pub(super) term: u8,
    raised: [Option<Position>; DATABASES],
    pub(super) majority_raised: Option<u8>,
    /// The term that was handed over to this steward.
    yielded: Option<u8>,
    pub(super) ordered: Option<usize>,
}

impl Spec {
    pub(super) fn attempt(&self, state: &State, s: usize, term: u8) -> Option<State> {
        let mut next = state.clone();
        next.stewards[s] = Role::Attempt(Attempt {
            term,
            raised: [None; DATABASES],
            majority_raised: None,
            yielded: None,
            ordered: None,
        });
        Some(next)
    }

    fn raises(&self, database: &Database, term: u8) -> bool {
        let (current, wanted) = (Term(database.term.into()), Term(term.into()));
        may_raise(current, wanted) || (!self.enforces(Safeguard::StrictRaise) && current == wanted)
    }

    pub(super) fn raise(
        &self,
        state: &State,
        s: usize,
        mut attempt: Attempt,
        d: usize,
    ) -> Option<State> {
        if attempt.raised[d].is_some() {
            return None;
        }
        let mut next = self.raise_answer_lost(state, attempt, d)?;
        let database = &next.databases[d];
        attempt.raised[d] = Some(match self.enforces(Safeguard::StartCounts) {
            true => database.end(),
            false => database.end_of_writes(),
        });
        let needed = match self.enforces(Safeguard::MajorityRaised) {
            true => majority(DATABASES),
            false => 1,
        };
        if attempt.raised.iter().flatten().count() == needed {
            attempt.majority_raised = Some(0);
        }
        next.stewards[s] = Role::Attempt(attempt);
        Some(next)
    }

    pub(super) fn raise_answer_lost(
        &self,
        state: &State,
        attempt: Attempt,
        d: usize,
    ) -> Option<State> {
        if !self.raises(&state.databases[d], attempt.term) {
            return None;
        }
        let mut next = state.clone();
        next.databases[d].term = attempt.term;
        next.databases[d].open &= !self.enforces(Safeguard::Fence);
        if self.enforces(Safeguard::TermKept) {
            next.orders
                .retain(|order| order.1 != d || order.0 >= attempt.term);
        }
        Some(next)
    }

    pub(super) fn take_over(
        &self,
        state: &State,
        s: usize,
        mut attempt: Attempt,
        former: u8,
    ) -> Option<State> {
        let relevant = attempt.yielded.is_none() && attempt.ordered.is_none();
        attempt.yielded = Some(former);
        relevant.then(|| with_role(state, s, Role::Attempt(attempt)))
    }

    /// Rebuilds the production promotion from the attempt.
    fn promotion(&self, s: usize, attempt: &Attempt) -> Promotion {
        let raised = self.names.iter().zip(attempt.raised);
        let raised = raised.filter_map(|(name, end)| Some((name, end?)));
        let members: BTreeSet<DatabaseId> = match self.enforces(Safeguard::MajorityRaised) {
            true => self.names.iter().cloned().collect(),
            false => raised.clone().map(|(name, _)| name.clone()).collect(),
        };
        let mut promotion = Promotion::new(Term(attempt.term.into()), members);
        let age = u64::from(attempt.majority_raised.unwrap_or(0));
        let majority_raised = NOW - Span(TICKS[s] * age);
        let window = match self.disabled {
            _ if !self.scope.clock => Span::ZERO,
            Some(Safeguard::WaitOut) => Span::ZERO,
            Some(Safeguard::Drift) => Span(WINDOW.0 - 1),
            _ => WINDOW,
        };
        for (name, end) in raised {
            promotion.raised(name, end, majority_raised, window);
        }
        if let Some(former) = attempt.yielded {
            let former = match self.enforces(Safeguard::YieldOfFormer) {
                true => former,
                false => attempt.term - 1,
            };
            promotion.yielded(Term(former.into()));
        }
        promotion
    }

    pub(super) fn order(
        &self,
        state: &State,
        s: usize,
        mut attempt: Attempt,
    ) -> Option<(usize, State)> {
        if attempt.ordered.is_some() && self.enforces(Safeguard::OneChoice) {
            return None;
        }
        let mut promotion = self.promotion(s, &attempt);
        let choice = promotion.order(NOW)?;
        let d = match self.enforces(Safeguard::FurthestLog) {
            true => self.names.iter().position(|name| name == choice)?,
            false => attempt.raised.iter().rposition(Option::is_some)?,
        };
        if attempt.ordered == Some(d) {
            return None;
        }
        attempt.ordered = Some(d);
        let mut next = with_role(state, s, Role::Attempt(attempt));
        next.orders.push((attempt.term, d));
        next.orders.sort_unstable();
        Some((d, next))
    }
}
