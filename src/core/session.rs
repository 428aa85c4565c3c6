//! The floors of a group's sessions and the leases granted on them, kept by the group's steward.

use crate::clock::Time;
use crate::core::recent::Recent;
use crate::types::{Position, SessionId, VmId};

/// The number of sessions kept for each group, about 200 bytes each. An evicted session loses
/// reads on replicas until these have passed the horizon; one evicted while its lease of at most
/// one second is in use makes writes wait for that lease. A group at full size gets some 3,000
/// statements a second, so five times as many sessions are never active within one.
const MAX_SESSIONS: usize = 16_384;

/// The floors of a group's sessions under one term.
#[derive(Debug)]
pub(crate) struct Sessions {
    /// The floor of every session without a record.
    horizon: Position,
    records: Recent<SessionId, Record>,
    /// Until when leases of evicted sessions may be in use.
    evicted_until: Time,
}

#[derive(Debug)]
struct Record {
    floor: Position,
    leases: Vec<Lease>,
}

/// A lease that an entry may be using.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Lease {
    /// The entry; `None` if it was evicted, so that it cannot be asked to release the lease.
    pub vm: Option<VmId>,
    /// When it expires.
    pub until: Time,
    /// The session's floor when it was granted.
    pub floor: Position,
}

impl Lease {
    /// Whether the lease ends when `vm` reports that it released the lease that a write up to
    /// `floor` revoked.
    ///
    /// The report may arrive after `vm` was granted another lease, which the next write must still
    /// wait for, or the session would read older data. A lease granted after a write has that
    /// write's floor, so comparing floors tells the two apart.
    pub fn ends_by(&self, vm: &VmId, floor: Position) -> bool {
        self.vm.as_ref() == Some(vm) && self.floor.offset < floor.offset
    }
}

impl Sessions {
    /// Creates the sessions of a term whose log starts at `base`.
    ///
    /// A new steward has no sessions, so every floor starts at `base`: every acknowledged write of
    /// a former term that was kept lies at or below it. With a lower floor a session could be
    /// served by a replica that lacks its write.
    pub fn new(base: Position) -> Self {
        Self {
            horizon: base,
            records: Recent::new(MAX_SESSIONS),
            evicted_until: Time::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn horizon(&self) -> Position {
        self.horizon
    }

    /// The floor of a session that has a record.
    pub fn floor(&self, session: &SessionId) -> Option<Position> {
        self.records.get(session).map(|record| record.floor)
    }

    /// Leases the floor of `session` to `vm` until `until`.
    pub fn grant(&mut self, session: &SessionId, vm: &VmId, now: Time, until: Time) -> Position {
        let record = self.record(session);
        record.leases.retain(|lease| lease.until > now);
        match record.leases.iter_mut().find(|l| l.vm.as_ref() == Some(vm)) {
            Some(lease) => {
                lease.until = lease.until.max(until);
                lease.floor = record.floor;
            }
            None => record.leases.push(Lease {
                vm: Some(vm.clone()),
                until,
                floor: record.floor,
            }),
        }
        record.floor
    }

    /// Records that `session` wrote up to `position` by way of `vm`. Returns the leases of other
    /// entries, which must end before the write is acknowledged.
    pub fn wrote(
        &mut self,
        session: &SessionId,
        vm: &VmId,
        position: Position,
        now: Time,
    ) -> Vec<Lease> {
        let record = self.record(session);
        if position.offset > record.floor.offset {
            record.floor = position;
        }
        let other = |lease: &&Lease| lease.until > now && lease.vm.as_ref() != Some(vm);
        record.leases.iter().filter(other).cloned().collect()
    }

    /// Records that `vm` released the lease that a write up to `floor` revoked.
    pub fn released(&mut self, session: &SessionId, vm: &VmId, floor: Position) {
        if let Some(record) = self.records.get_mut(session) {
            record.leases.retain(|lease| !lease.ends_by(vm, floor));
        }
    }

    /// Until when any lease may be in use.
    pub fn leased_until(&self) -> Time {
        let leases = self.records.iter().flat_map(|(_, record)| &record.leases);
        let last = leases.map(|lease| lease.until).max().unwrap_or_default();
        last.max(self.evicted_until)
    }

    /// Returns the record of `session` and evicts the least recently used one if there are too
    /// many, which bounds memory. The horizon rises to the evicted floor, so that no older row is
    /// served, and writes wait for the evicted leases.
    fn record(&mut self, session: &SessionId) -> &mut Record {
        let horizon = self.horizon;
        let evicted_leases = Lease {
            vm: None,
            until: self.evicted_until,
            floor: horizon,
        };
        let make = || Record {
            floor: horizon,
            leases: vec![evicted_leases],
        };
        let (record, evicted) = self.records.touch(session, make);
        let Some((_, old)) = evicted else {
            return record;
        };
        if old.floor.offset > self.horizon.offset {
            self.horizon = old.floor;
            record.floor = old.floor;
        }
        let lapse = old.leases.iter().map(|lease| lease.until).max();
        self.evicted_until = self.evicted_until.max(lapse.unwrap_or_default());
        record
    }
}
