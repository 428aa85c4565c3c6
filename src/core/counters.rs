//! What a proxy has done since it started, as plain numbers for metrics.

use crate::core::request::{Cause, Outcome, Unknown};
use serde::Serialize;

/// Counts since the process started. Every one only rises, but for the gap last measured.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Counters {
    /// Reads answered by a replica, at the entry.
    pub reads_by_replica: u64,
    /// Reads answered by a primary, at the entry.
    pub reads_by_primary: u64,
    /// Writes and transaction statements answered, at the entry.
    pub writes: u64,
    /// Requests that were not run, by cause.
    pub not_run: NotRunCounters,
    /// Requests whose outcome is unknown, by cause.
    pub unknown: UnknownCounters,
    /// Second and later tries of a request.
    pub retries: u64,
    /// Answers dropped because nothing waits for them any more.
    pub dropped_answers: u64,
    /// Promotions that this proxy brought to an end.
    pub promotions: u64,
    /// Promotions that were given up for a higher term or for want of a majority.
    pub promotions_abandoned: u64,
    /// The last failover gap in microseconds: from the last confirmed service that was heard of
    /// to the opening of the next term.
    pub failover_gap_micros: u64,
    /// Probes of databases sent as a steward.
    pub probes: u64,
    /// Leases granted on sessions' floors.
    pub grants: u64,
    /// Questions for a floor that got no lease.
    pub grants_refused: u64,
    /// Leases taken back because the session wrote elsewhere.
    pub revokes: u64,
    /// Connections closed because they fell silent.
    pub silent_connections: u64,
    /// Transactions rolled back because their caller, entry or time was gone.
    pub rollbacks: u64,
    /// Control messages sent to other proxies.
    pub control_messages: u64,
    /// Their encoded size in bytes, without the transport's framing.
    pub control_bytes: u64,
    /// Messages of peers that made no sense and were dropped.
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
    /// Counts what a caller was told, unless it is an answer.
    pub(crate) fn told(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Done(_) => {}
            Outcome::NotRun(not_run) => *self.not_run.of(not_run.cause) += 1,
            Outcome::Unknown(unknown) => *self.unknown.of(*unknown) += 1,
        }
    }
}

impl NotRunCounters {
    fn of(&mut self, cause: Cause) -> &mut u64 {
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
    fn of(&mut self, cause: Unknown) -> &mut u64 {
        match cause {
            Unknown::Broken => &mut self.broken,
            Unknown::Unconfirmed => &mut self.unconfirmed,
            Unknown::Unreplicated => &mut self.unreplicated,
            Unknown::PeerLost => &mut self.peer_lost,
            Unknown::KeyBusy => &mut self.key_busy,
        }
    }
}
