//! A budget for the retries that a proxy adds to its callers' load.
//!
//! This handles a database or a domain that is lost, or saturation, where many requests fail at
//! once. Without it each failed request is sent again while the cause of the failure lasts: the
//! load doubles or triples exactly where it can't be served, and stays so after the cause is gone.
//!
//! Each first attempt deposits a tenth of a retry, so over time retries add at most a tenth to the
//! load. A full budget covers the requests that are lost with one connection or holder. A slow
//! refill by time lets a proxy with few callers retry too.

use crate::clock::{Span, Time};
use serde::Serialize;

/// Deposit of a first attempt in thousandths: a tenth of a retry. Retries then increase an overload
/// by at most 10%, which admission control rejects without harm.
const DEPOSIT_PER_TRY: u64 = 100;

/// Cost of one retry in thousandths.
const RETRY_COST: u64 = 1_000;

/// Maximum balance in thousandths: a hundred retries, about the reads that one entry has in flight
/// to a domain in the second until its loss is detected.
const MAX_BALANCE: u64 = 100 * RETRY_COST;

/// Time in which the balance grows by one retry: an idle proxy can make one a second.
const REFILL_INTERVAL: Span = Span::from_secs(1);

/// A budget of retries, filled by first attempts.
#[derive(Debug, Clone, Serialize)]
pub struct Budget {
    limited: bool,
    thousandths: u64,
    paid_until: Time,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            limited: true,
            thousandths: MAX_BALANCE,
            paid_until: Time::default(),
        }
    }
}

impl Budget {
    /// No limit on retries. This is the baseline of measurements.
    pub fn naive() -> Self {
        Self {
            limited: false,
            ..Self::default()
        }
    }

    /// Records a first attempt.
    pub fn deposit(&mut self, _now: Time) {
        self.credit(DEPOSIT_PER_TRY);
    }

    /// Whether one retry may be made now; its cost is deducted if so.
    pub fn withdraw(&mut self, now: Time) -> bool {
        self.refill(now);
        if !self.limited {
            return true;
        }
        match self.thousandths.checked_sub(RETRY_COST) {
            Some(rest) => {
                self.thousandths = rest;
                true
            }
            None => false,
        }
    }

    fn refill(&mut self, now: Time) {
        let passed = now.since(self.paid_until).0;
        self.paid_until = now.max(self.paid_until);
        self.credit(passed.saturating_mul(RETRY_COST) / REFILL_INTERVAL.0);
    }

    fn credit(&mut self, thousandths: u64) {
        self.thousandths = self
            .thousandths
            .saturating_add(thousandths)
            .min(MAX_BALANCE);
    }
}
