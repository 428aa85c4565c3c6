//! Event counts of a proxy, for its metrics.

use crate::core::request::{Cause, Outcome, Unknown};
use serde::Serialize;

/// Counts since the process started. All of them only increase, except `failover_gap_micros`, which
/// holds the last measured value.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Counters {
    /// Reads answered by a replica, counted at the entry.
    pub reads_by_replica: u64,
    /// Reads answered by a primary, counted at the entry.
    pub reads_by_primary: u64,
    /// Writes and transaction statements answered, counted at the entry.
    pub writes: u64,
    /// Requests that were not run, by cause.
    pub not_run: NotRunCounters,
    /// Requests whose outcome is unknown, by cause.
    pub unknown: UnknownCounters,
    /// Second and later attempts of a request.
    pub retries: u64,
    /// Answers dropped because no request waits for them any more.
    pub dropped_answers: u64,
    /// Promotions that this proxy completed.
    pub promotions: u64,
    /// Promotions abandoned because of a higher term or a missing majority.
    pub promotions_abandoned: u64,
    /// The last failover gap in microseconds: from the last confirmed service known to this proxy
    /// to the opening of the next term.
    pub failover_gap_micros: u64,
    /// Probes that this proxy sent to databases as a steward.
    pub probes: u64,
    /// Leases granted on sessions' floors.
    pub grants: u64,
    /// Requests for a floor that were answered without a lease.
    pub grants_refused: u64,
    /// Leases revoked because the session wrote through another proxy.
    pub revokes: u64,
    /// Connections closed because the database stopped answering on them.
    pub silent_connections: u64,
    /// Transactions rolled back because their caller or entry was gone or their time had run out.
    pub rollbacks: u64,
    /// Control messages sent to other proxies.
    pub control_messages: u64,
    /// The encoded size of those messages in bytes, without the transport's framing.
    pub control_bytes: u64,
    /// Invalid messages from peers, callers and databases that were dropped.
    pub nonsense: u64,
}

/// Requests not run, by cause.
#[derive(Debug, Clone, Default, Serialize)]
pub struct NotRunCounters {
    /// [`Cause::Busy`].
    pub busy: u64,
    /// [`Cause::NoPrimary`].
    pub no_primary: u64,
    /// [`Cause::Behind`].
    pub behind: u64,
    /// [`Cause::Expired`].
    pub expired: u64,
    /// [`Cause::Stopping`].
    pub stopping: u64,
    /// [`Cause::NoPool`].
    pub no_pool: u64,
    /// [`Cause::Refused`].
    pub refused: u64,
    /// [`Cause::RolledBack`].
    pub rolled_back: u64,
    /// [`Cause::Lost`].
    pub lost: u64,
}

/// Requests with an unknown outcome, by cause.
#[derive(Debug, Clone, Default, Serialize)]
pub struct UnknownCounters {
    /// [`Unknown::Broken`].
    pub broken: u64,
    /// [`Unknown::Unconfirmed`].
    pub unconfirmed: u64,
    /// [`Unknown::Unreplicated`].
    pub unreplicated: u64,
    /// [`Unknown::PeerLost`].
    pub peer_lost: u64,
    /// [`Unknown::KeyBusy`].
    pub key_busy: u64,
}

impl Counters {
    /// Counts the outcome sent to a caller by its cause. Answers are not counted here.
    pub(crate) fn record(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Done(_) => {}
            Outcome::NotRun(not_run) => *self.not_run.counter_mut(not_run.cause) += 1,
            Outcome::Unknown(unknown) => *self.unknown.counter_mut(*unknown) += 1,
        }
    }
}

impl NotRunCounters {
    fn counter_mut(&mut self, cause: Cause) -> &mut u64 {
        match cause {
            Cause::Busy => &mut self.busy,
            Cause::NoPrimary => &mut self.no_primary,
            Cause::Behind => &mut self.behind,
            Cause::Expired => &mut self.expired,
            Cause::Stopping => &mut self.stopping,
            Cause::NoPool => &mut self.no_pool,
            Cause::Refused => &mut self.refused,
            Cause::RolledBack => &mut self.rolled_back,
            Cause::Lost => &mut self.lost,
        }
    }
}

impl UnknownCounters {
    fn counter_mut(&mut self, cause: Unknown) -> &mut u64 {
        match cause {
            Unknown::Broken => &mut self.broken,
            Unknown::Unconfirmed => &mut self.unconfirmed,
            Unknown::Unreplicated => &mut self.unreplicated,
            Unknown::PeerLost => &mut self.peer_lost,
            Unknown::KeyBusy => &mut self.key_busy,
        }
    }
}
