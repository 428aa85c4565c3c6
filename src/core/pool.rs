//! The size of a holder's connection pool to a database.
//!
//! This handles a burst after quiet (a new connection takes about 10 ms, longer than most
//! statements), transactions that hold connections, and a second holder that uses the same
//! database's connection limit while the list of VMs lags. Without it the first statements of each
//! burst wait for connections, a holder that lost its database leaves no connections for the next
//! one, and a holder that is refused asks again in a tight loop, which costs the database more than
//! the statements would.

use crate::clock::{Span, Time};
use serde::Serialize;

/// How long an idle connection above the spare ones is kept: in working hours bursts are seconds
/// apart, and an unused connection costs the database memory.
const IDLE_TIMEOUT: Span = Span::from_secs(30);

/// The first pause after a refusal: a few times as long as opening a connection takes.
const MIN_PAUSE: Span = Span::from_millis(50);

/// The longest pause after repeated refusals: the other holder learns within seconds that it no
/// longer holds the database, and its connections should be available soon after.
const MAX_PAUSE: Span = Span::from_secs(1);

/// A holder's open connections, and its waiting work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Demand {
    /// Work that has a slot and waits for a connection.
    pub waiting: u32,
    /// Connections that are open and idle.
    pub idle: u32,
    /// Connections that run a statement or hold a transaction.
    pub busy: u32,
    /// Connections being opened.
    pub opening: u32,
}

impl Demand {
    fn held(&self) -> u32 {
        self.idle + self.busy + self.opening
    }
}

/// The rules of a pool; [`Policy::naive`] is the baseline of measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Policy {
    /// Idle connections kept open for the next burst.
    pub spare: u32,
    /// Connections of the database's limit that are left for another holder.
    pub left: u32,
    /// Whether a refusal is followed by a pause.
    pub pauses: bool,
}

impl Policy {
    /// Opens on demand, up to the database's limit, and asks again at once when refused.
    pub fn naive() -> Self {
        Self {
            spare: 0,
            left: 0,
            pauses: false,
        }
    }

    /// Keeps as many spare connections as the database runs statements, and leaves as many to the
    /// next holder, so that it can run a full load at once.
    pub fn for_slots(slots: u32) -> Self {
        Self {
            spare: slots,
            left: slots,
            pauses: true,
        }
    }
}

/// The growth and shrinking of one pool.
#[derive(Debug, Clone, Serialize)]
pub struct Pool {
    limit: u32,
    policy: Policy,
    pause: Span,
    opens_at: Option<Time>,
    needed_at: Time,
    shrinks_at: Option<Time>,
}

impl Pool {
    /// A pool for a database that accepts `limit` connections in all and runs `slots` statements at
    /// once.
    pub fn new(limit: u32, slots: u32) -> Self {
        Self::with(limit, Policy::for_slots(slots))
    }

    /// A pool of a stated policy.
    pub fn with(limit: u32, policy: Policy) -> Self {
        Self {
            limit,
            policy,
            pause: Span::ZERO,
            opens_at: None,
            needed_at: Time::default(),
            shrinks_at: None,
        }
    }

    /// The number of connections to open now.
    pub fn grow(&mut self, now: Time, demand: Demand) -> u32 {
        if self.opens_at.is_some_and(|opens| now < opens) {
            return 0;
        }
        self.opens_at = None;
        let free = demand.idle + demand.opening;
        let wanted = (demand.waiting + self.policy.spare).saturating_sub(free);
        wanted.min(self.cap().saturating_sub(demand.held()))
    }

    /// The number of idle connections to close now.
    pub fn shrink(&mut self, now: Time, demand: Demand) -> u32 {
        let surplus = demand.idle.saturating_sub(self.policy.spare);
        if surplus == 0 || demand.waiting > 0 || self.policy.spare == 0 {
            self.needed_at = now;
            self.shrinks_at = None;
            return 0;
        }
        let due = self.needed_at + IDLE_TIMEOUT;
        if now < due {
            self.shrinks_at = Some(due);
            return 0;
        }
        self.needed_at = now;
        self.shrinks_at = None;
        surplus
    }

    /// Records that the database refused a connection because another holder uses its limit, or
    /// could not be reached.
    pub fn refused(&mut self, now: Time) {
        if !self.policy.pauses {
            return;
        }
        self.pause = Span((self.pause.0 * 2).clamp(MIN_PAUSE.0, MAX_PAUSE.0));
        self.opens_at = Some(now + self.pause);
    }

    /// Records that a connection was opened.
    pub fn opened(&mut self, _now: Time) {
        self.pause = Span::ZERO;
    }

    /// When `grow` or `shrink` may return another number without any event.
    pub fn wake(&self) -> Option<Time> {
        [self.opens_at, self.shrinks_at].into_iter().flatten().min()
    }

    fn cap(&self) -> u32 {
        self.limit
            .saturating_sub(self.policy.left)
            .max(1)
            .min(self.limit)
    }
}
