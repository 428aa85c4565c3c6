//! The token bucket of one allocator of an organisation's allowance.
//!
//! All VMs together must not run more than the allowance within a few seconds, even if granted tokens are
//! spent late and all at once, an allocator is killed and restarted, or a configuration lowers the limit.
//! Tokens that are needed now are spent at once. Prefetched tokens expire [`TOKEN_VALIDITY`] after they were
//! requested and count against the burst until then, so that every token spent within a span was outstanding
//! at its start, was in the bucket then, or accrued by the rate. A new bucket is empty, so that the bursts of
//! the previous life and of this one never add up, and for [`TOKEN_VALIDITY`] it leaves room for tokens that the
//! previous life may have prefetched.

use crate::clock::{Span, Time};
use crate::direct::identity::{Allowance, Rate};
use crate::direct::tenure::Fraction;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// How long after their request tokens may be spent. An organisation's callers at one VM send an operation
/// every second or two: with a shorter time, nearly every operation needs a request of its own.
pub const TOKEN_VALIDITY: Span = Span::from_secs(2);

/// Units in one token, each a billionth of an operation: the product of a rate in thousandths of an operation
/// a second and a time in microseconds.
pub(super) const UNITS_PER_TOKEN: u64 = 1_000_000_000;

/// One token in this many of those left beyond the need is granted in advance, and none while the bucket is
/// less than half full: outstanding tokens are not available to callers of other VMs.
const PREFETCH_DIVISOR: u64 = 4;

/// Bounds of the time after which a VM that received no token asks again.
const MIN_RETRY: Span = Span::from_millis(10);
const MAX_RETRY: Span = Span::from_secs(1);

/// One allocator's part of an allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Share {
    rate: Rate,
    /// Billionths of an operation.
    burst: u64,
}

impl Share {
    /// An equal part of an allowance that is split between this many allocators.
    pub fn of(allowance: Allowance, allocators: usize) -> Self {
        let allocators = allocators.max(1) as u64;
        Self {
            rate: Rate(allowance.rate.0 / allocators),
            burst: u64::from(allowance.burst) * UNITS_PER_TOKEN / allocators,
        }
    }

    /// This fraction of the share.
    pub fn scaled(self, fraction: Fraction) -> Self {
        match fraction {
            Fraction::Whole => self,
            Fraction::Half => Self {
                rate: Rate(self.rate.0 / 2),
                burst: self.burst / 2,
            },
        }
    }

    /// The most units that may be outstanding. Nothing is prefetched from fewer than five tokens. Otherwise, a
    /// bucket that is at least half full gives a quarter, so that three quarters of that half remain in it.
    fn max_outstanding(&self) -> u64 {
        match self.burst < (PREFETCH_DIVISOR + 1) * UNITS_PER_TOKEN {
            true => 0,
            false => self.burst - self.burst * 3 / 8,
        }
    }

    /// Billionths of an operation that are allowed at once.
    pub(super) fn burst(&self) -> u64 {
        self.burst
    }

    /// The time in which one token accrues; `None` if none ever does.
    pub(super) fn interval(&self) -> Option<Span> {
        (self.rate.0 > 0).then(|| Span(UNITS_PER_TOKEN.div_ceil(self.rate.0)))
    }

    /// The units that accrue within a span.
    fn accrued(&self, span: Span) -> u64 {
        self.rate.0.saturating_mul(span.0)
    }
}

/// An allocator's answer to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// How many operations may be run.
    pub count: u32,
    /// How long after the request the tokens may be spent. If none was granted to a request that names its
    /// rank, how long the allocator has none for that rank.
    pub validity: Span,
    /// If no token was granted, when to ask again; for a request that names its rank, when its caller is to
    /// retry.
    pub retry: Span,
}

impl Grant {
    /// No token for now.
    pub fn nothing(retry: Span) -> Self {
        Self {
            count: 0,
            validity: Span::ZERO,
            retry,
        }
    }
}

/// Prefetched tokens that may still be spent, and when they expire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Outstanding {
    until: Time,
    /// Billionths of an operation.
    amount: u64,
}

/// The tokens that are left of one allocator's share.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Bucket {
    share: Share,
    /// Billionths of an operation.
    level: u64,
    /// When `level` was last updated.
    updated: Time,
    outstanding: VecDeque<Outstanding>,
    /// Until when tokens of a previous life or of a predecessor may be spent.
    former_until: Option<Time>,
}

impl Bucket {
    /// An empty bucket.
    pub fn new(share: Share, now: Time) -> Self {
        Self {
            share,
            level: 0,
            updated: now,
            outstanding: VecDeque::new(),
            former_until: Some(now + TOKEN_VALIDITY),
        }
    }

    /// Applies a changed share; tokens that are outstanding already count against the new one.
    ///
    /// A lower rate applies since the last update: the share may have been reduced before this request.
    pub fn resize(&mut self, share: Share, now: Time) {
        if share == self.share {
            return;
        }
        let rate = self.share.rate.min(share.rate);
        self.share.rate = rate;
        self.refill(now);
        self.share = share;
        self.level = self.level.min(self.capacity());
    }

    /// Grants as many of the needed tokens as the bucket has, and up to `prefetch` of the rest in advance.
    pub fn grant(&mut self, need: u32, prefetch: u32, now: Time) -> Grant {
        self.refill(now);
        let whole = self.level / UNITS_PER_TOKEN;
        let needed = whole.min(need.into());
        if needed == 0 {
            return Grant::nothing(self.retry());
        }
        let extra = self.extra(whole - needed, prefetch);
        self.withdraw(needed, extra, now)
    }

    /// Grants one token if the bucket has at least `required` units, and up to `prefetch` in advance, as long
    /// as what `required` holds beyond one token stays in the bucket.
    pub(super) fn take(&mut self, required: u64, prefetch: u32, now: Time) -> Option<Grant> {
        self.refill(now);
        let spare = self.level.checked_sub(required.max(UNITS_PER_TOKEN))?;
        let left = self.level / UNITS_PER_TOKEN - 1;
        let extra = self.extra(left, prefetch).min(spare / UNITS_PER_TOKEN);
        Some(self.withdraw(1, extra, now))
    }

    /// How many of the tokens that are left are granted in advance.
    fn extra(&self, left: u64, prefetch: u32) -> u64 {
        match self.level >= self.share.burst / 2 {
            true => (left / PREFETCH_DIVISOR).min(prefetch.into()),
            false => 0,
        }
    }

    fn withdraw(&mut self, needed: u64, extra: u64, now: Time) -> Grant {
        let count = needed + extra;
        self.level -= count * UNITS_PER_TOKEN;
        if extra > 0 {
            self.outstanding.push_back(Outstanding {
                until: now + TOKEN_VALIDITY,
                amount: extra * UNITS_PER_TOKEN,
            });
        }
        Grant {
            count: u32::try_from(count).unwrap_or(u32::MAX),
            validity: TOKEN_VALIDITY,
            retry: Span::ZERO,
        }
    }

    /// The units in the bucket when it was last updated.
    pub(super) fn level(&self) -> u64 {
        self.level
    }

    /// When the bucket was last updated.
    pub(super) fn updated(&self) -> Time {
        self.updated
    }

    /// When the bucket will have `required` units after it has granted `ahead` further tokens, if nothing else
    /// is granted; `None` if never.
    pub(super) fn time_of(&self, ahead: u64, required: u64) -> Option<Time> {
        if self.share.rate.0 == 0 || self.share.burst < required {
            return None;
        }
        let accrues = |units: u64| Span(units.div_ceil(self.share.rate.0));
        let needed = ahead
            .saturating_mul(UNITS_PER_TOKEN)
            .saturating_add(required);
        let by_rate = self.updated + accrues(needed.saturating_sub(self.level));
        let mut capacity = self.capacity();
        let mut by_capacity = self.updated;
        let former = self.former_until.map(|until| Outstanding {
            until,
            amount: self.share.max_outstanding(),
        });
        let reserved = || former.iter().chain(&self.outstanding);
        let mut outstanding: u64 = reserved().map(|tokens| tokens.amount).sum();
        for tokens in reserved() {
            if capacity >= required {
                break;
            }
            by_capacity = tokens.until + accrues(required - capacity);
            outstanding -= tokens.amount;
            capacity = self.share.burst.saturating_sub(outstanding);
        }
        Some(by_rate.max(by_capacity))
    }

    /// How many units the bucket may hold: the burst less the outstanding tokens.
    pub fn capacity(&self) -> u64 {
        let outstanding: u64 = self.outstanding.iter().map(|tokens| tokens.amount).sum();
        let former = self
            .former_until
            .map_or(0, |_| self.share.max_outstanding());
        self.share.burst.saturating_sub(outstanding + former)
    }

    /// Adds what has accrued since the last update, step by step as outstanding tokens expire: the capacity
    /// that they free fills by the rate and not at once.
    pub(super) fn refill(&mut self, now: Time) {
        // It is the first to expire, since the bucket's own tokens are granted later.
        if let Some(until) = self.former_until.filter(|until| *until <= now) {
            self.accrue(until);
            self.former_until = None;
        }
        while let Some(tokens) = self.outstanding.front().copied()
            && tokens.until <= now
        {
            self.accrue(tokens.until);
            self.outstanding.pop_front();
        }
        self.accrue(now);
    }

    fn accrue(&mut self, until: Time) {
        let accrued = self.share.accrued(until.since(self.updated));
        let capacity = self.capacity();
        self.level = self.level.saturating_add(accrued).min(capacity);
        self.updated = self.updated.max(until);
    }

    /// How long until the next token may be available.
    fn retry(&self) -> Span {
        let missing = UNITS_PER_TOKEN.saturating_sub(self.level);
        let accrues = missing.checked_div(self.share.rate.0);
        let by_rate = accrues.map_or(MAX_RETRY, Span);
        let expires = self
            .outstanding
            .front()
            .map(|tokens| tokens.until.since(self.updated));
        let by_capacity = match self.capacity() < UNITS_PER_TOKEN {
            true => expires.unwrap_or(MAX_RETRY),
            false => Span::ZERO,
        };
        by_rate.max(by_capacity).clamp(MIN_RETRY, MAX_RETRY)
    }
}
