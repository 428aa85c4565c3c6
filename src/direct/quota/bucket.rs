//! What one keeper of an organisation's allowance may still hand out.
//!
//! **Failure answered.** Tokens that were handed out are used later, all at once; the VM that kept the
//! bucket is killed and starts again; a configuration lowers the limit.
//! **Symptom without it.** More is run within a few seconds than the allowance says, over all VMs.
//! **Why it suffices.** What is needed now is spent at once. What is handed out for later ends [`TERM`]
//! after it was asked for, and counts against the burst until then: whatever is spent in any span was out
//! at its start, lay in the bucket then, or came in by the rate. A new bucket is empty, so that the former
//! life's burst and this one's never add up.

use crate::clock::{Span, Time};
use crate::direct::identity::{Allowance, Rate};
use crate::direct::tenure::Part;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// How long tokens may be spent after they were asked for. An organisation's callers at one VM have an
/// operation a second or two: with less, nearly each asks for its own.
pub const TERM: Span = Span::from_secs(2);

/// Billionths of an operation: thousandths of an operation a second, times microseconds.
const WHOLE: u64 = 1_000_000_000;

/// Of what is left beyond the need, one part in this many is handed out for what may come next, and
/// nothing while the bucket is less than half full: what is out is missing for callers of other VMs.
const SPARE_PART: u64 = 4;

/// When to come back at the least and at the most.
const SOONEST: Span = Span::from_millis(10);
const LATEST: Span = Span::from_secs(1);

/// One keeper's part of an allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    rate: Rate,
    /// Billionths of an operation.
    burst: u64,
}

impl Share {
    /// The part of one of `keepers` VMs.
    pub fn of(allowance: Allowance, keepers: usize) -> Self {
        let keepers = keepers.max(1) as u64;
        Self {
            rate: Rate(allowance.rate.0 / keepers),
            burst: u64::from(allowance.burst) * WHOLE / keepers,
        }
    }

    /// So much of it.
    pub fn part(self, part: Part) -> Self {
        match part {
            Part::Whole => self,
            Part::Half => Self {
                rate: Rate(self.rate.0 / 2),
                burst: self.burst / 2,
            },
        }
    }

    /// What comes in within a span.
    fn income(&self, span: Span) -> u64 {
        self.rate.0.saturating_mul(span.0)
    }
}

/// Tokens that were handed out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// How many operations may be run.
    pub count: u32,
    /// Within which time, from when they were asked for.
    pub within: Span,
    /// When to come back, if there were none.
    pub retry: Span,
}

impl Grant {
    /// Nothing, for now.
    pub fn nothing(retry: Span) -> Self {
        Self {
            count: 0,
            within: Span::ZERO,
            retry,
        }
    }
}

/// Tokens that are out, and when they end.
#[derive(Debug, Clone, Copy)]
struct Lot {
    until: Time,
    /// Billionths of an operation.
    amount: u64,
}

/// What is left of one keeper's share.
#[derive(Debug, Clone)]
pub struct Bucket {
    share: Share,
    /// Billionths of an operation.
    level: u64,
    /// As of when.
    at: Time,
    out: VecDeque<Lot>,
}

impl Bucket {
    /// An empty bucket.
    pub fn new(share: Share, now: Time) -> Self {
        Self {
            share,
            level: 0,
            at: now,
            out: VecDeque::new(),
        }
    }

    /// The share may have changed: what is out already counts against the new one.
    pub fn resize(&mut self, share: Share, now: Time) {
        if share == self.share {
            return;
        }
        self.refill(now);
        self.share = share;
        self.level = self.level.min(self.room());
    }

    /// Hands out what is needed as far as it is there, and a part of what is left for what may come
    /// next.
    pub fn grant(&mut self, need: u32, spare: u32, now: Time) -> Grant {
        self.refill(now);
        let whole = self.level / WHOLE;
        let needed = whole.min(need.into());
        if needed == 0 {
            return Grant::nothing(self.retry());
        }
        let more = match self.level >= self.share.burst / 2 {
            true => ((whole - needed) / SPARE_PART).min(spare.into()),
            false => 0,
        };
        let count = needed + more;
        self.level -= count * WHOLE;
        if more > 0 {
            self.out.push_back(Lot {
                until: now + TERM,
                amount: more * WHOLE,
            });
        }
        Grant {
            count: u32::try_from(count).unwrap_or(u32::MAX),
            within: TERM,
            retry: Span::ZERO,
        }
    }

    /// How much the bucket may hold beside what is out.
    fn room(&self) -> u64 {
        let out = self.out.iter().map(|lot| lot.amount).sum();
        self.share.burst.saturating_sub(out)
    }

    /// Takes in what has come since, step by step as tokens that were out end: the room that they
    /// leave fills by the rate and not at once.
    fn refill(&mut self, now: Time) {
        while let Some(lot) = self.out.front().copied()
            && lot.until <= now
        {
            self.take_in(lot.until);
            self.out.pop_front();
        }
        self.take_in(now);
    }

    fn take_in(&mut self, until: Time) {
        let income = self.share.income(until.since(self.at));
        let room = self.room();
        self.level = self.level.saturating_add(income).min(room);
        self.at = self.at.max(until);
    }

    /// When the next token may be there.
    fn retry(&self) -> Span {
        let missing = WHOLE.saturating_sub(self.level);
        let income = missing.checked_div(self.share.rate.0);
        let by_rate = income.map_or(LATEST, Span);
        let ends = self.out.front().map(|lot| lot.until.since(self.at));
        let by_room = match self.room() < WHOLE {
            true => ends.unwrap_or(LATEST),
            false => Span::ZERO,
        };
        by_rate.max(by_room).clamp(SOONEST, LATEST)
    }
}
