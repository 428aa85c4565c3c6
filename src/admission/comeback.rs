//! When refused callers are to retry: one after the other, in the order in which they could be served.
//!
//! This handles a flood whose callers are refused within a short time. If each of them were given the time of
//! the next token, all of them would return for that one token, and all but one would be refused again.

use crate::admission::Rank;
use crate::clock::{Span, Time};
use std::collections::BTreeMap;

/// The shortest time after which a refused caller is to retry.
const MIN_RETRY: Span = Span::from_millis(10);

/// The longest time after which a refused caller is to retry: the load is not known further ahead.
pub const MAX_RETRY: Span = Span::from_secs(5);

/// The answer to a refused operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Comeback {
    /// After which time an operation of its rank would be served.
    pub after: Span,
    /// What each further refusal adds to that time.
    pub spacing: Span,
}

/// The latest times at which refused callers of each rank were told to retry.
#[derive(Debug, Clone, Default)]
pub struct Promises(BTreeMap<Rank, Time>);

impl Promises {
    /// The next time to retry for a caller of this rank, which could not be served before `earliest`: at least
    /// `spacing` after the retries of callers that are as urgent or more urgent.
    pub fn peek(&self, rank: Rank, earliest: Time, spacing: Span, now: Time) -> Comeback {
        let promised = self.0.range(..=rank).map(|(_, at)| *at).max();
        let promised = promised.filter(|at| now < *at).map(|at| at + spacing);
        let at = promised.map_or(earliest, |at| at.max(earliest));
        Comeback {
            after: at.since(now).clamp(MIN_RETRY, MAX_RETRY),
            spacing: spacing.min(MAX_RETRY),
        }
    }

    /// The same, and records that a caller was told this time.
    pub fn promise(&mut self, rank: Rank, earliest: Time, spacing: Span, now: Time) -> Comeback {
        let comeback = self.peek(rank, earliest, spacing, now);
        self.0.insert(rank, now + comeback.after);
        comeback
    }
}
