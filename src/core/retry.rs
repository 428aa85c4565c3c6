//! How many retries a proxy may add to its callers' load.
//!
//! **Pattern answered.** A database or a domain is lost, or everything is saturated, and many
//! requests fail at once.
//! **Without it** each failed request is sent again while what caused the failure lasts: the load
//! doubles or trebles exactly where it can't be served, and stays so after the cause is gone.
//!
//! First tries pay a tenth of a retry each, so retries add at most a tenth to the load for
//! longer than a moment. A full budget covers the requests that one lost connection or holder
//! takes along. A trickle lets a proxy with hardly any callers retry too.

use crate::clock::{Span, Time};
use serde::Serialize;

/// A tenth of a retry for each first try: an overload grows by 10% at most, which
/// admission turns away without harm.
const PAID_BY_TRY: u64 = 100;

/// What one retry costs, in thousandths.
const PRICE: u64 = 1_000;

/// A hundred retries at most are saved up: about the reads that one entry has under way to a
/// domain in the second until its loss is noticed.
const MOST: u64 = 100 * PRICE;

/// Time that pays for one retry: an idle proxy can afford one a second.
const TRICKLE: Span = Span::from_secs(1);

/// A budget of retries, paid in by first tries.
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
            thousandths: MOST,
            paid_until: Time::default(),
        }
    }
}

impl Budget {
    /// No limit on retries: the baseline of measurements.
    pub fn naive() -> Self {
        Self {
            limited: false,
            ..Self::default()
        }
    }

    /// A first try was made.
    pub fn deposit(&mut self, _now: Time) {
        self.pay(PAID_BY_TRY);
    }

    /// Whether one retry may be made now; it is paid for if so.
    pub fn withdraw(&mut self, now: Time) -> bool {
        self.trickle(now);
        if !self.limited {
            return true;
        }
        match self.thousandths.checked_sub(PRICE) {
            Some(rest) => {
                self.thousandths = rest;
                true
            }
            None => false,
        }
    }

    fn trickle(&mut self, now: Time) {
        let passed = now.since(self.paid_until).0;
        self.paid_until = now.max(self.paid_until);
        self.pay(passed.saturating_mul(PRICE) / TRICKLE.0);
    }

    fn pay(&mut self, thousandths: u64) {
        self.thousandths = self.thousandths.saturating_add(thousandths).min(MOST);
    }
}
