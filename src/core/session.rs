//! The floors of a group's sessions and the leases granted on them, kept by the group's steward.

use crate::clock::Time;
use crate::core::recent::Recent;
use crate::types::{Position, SessionId, VmId};

/// The number of sessions kept for each group, about 200 bytes each. An evicted session loses
/// reads on replicas until these have passed the horizon; one evicted while its lease of at most
/// one second is in use makes writes wait for that lease. A group at full size gets some 3,000
/// statements a second, so five times as many sessions are never active within one.
const SESSIONS_KEPT: usize = 16_384;

/// The floors of a group's sessions under one term.
#[derive(Debug)]
pub(crate) struct Sessions {
    /// The floor of every session without a record.
    horizon: Position,
    seats: Recent<SessionId, Seat>,
    /// Until when leases of evicted sessions may be in use.
    forgotten_until: Time,
}

#[derive(Debug)]
struct Seat {
    floor: Position,
    leases: Vec<Holding>,
}

/// A lease that an entry may be using.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Holding {
    /// The entry; `None` if it was evicted, so that it cannot be asked to release the lease.
    pub vm: Option<VmId>,
    /// When it expires.
    pub until: Time,
    /// The session's floor when it was granted.
    pub floor: Position,
}

impl Holding {
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
            seats: Recent::new(SESSIONS_KEPT),
            forgotten_until: Time::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.seats.len()
    }

    pub fn horizon(&self) -> Position {
        self.horizon
    }

    /// The floor of a session that has a record.
    pub fn floor(&self, session: &SessionId) -> Option<Position> {
        self.seats.get(session).map(|seat| seat.floor)
    }

    /// Leases the floor of `session` to `vm` until `until`.
    pub fn grant(&mut self, session: &SessionId, vm: &VmId, now: Time, until: Time) -> Position {
        let seat = self.seat(session);
        seat.leases.retain(|lease| lease.until > now);
        match seat.leases.iter_mut().find(|l| l.vm.as_ref() == Some(vm)) {
            Some(lease) => {
                lease.until = lease.until.max(until);
                lease.floor = seat.floor;
            }
            None => seat.leases.push(Holding {
                vm: Some(vm.clone()),
                until,
                floor: seat.floor,
            }),
        }
        seat.floor
    }

    /// Records that `session` wrote up to `position` by way of `vm`. Returns the leases of other
    /// entries, which must end before the write is acknowledged.
    pub fn wrote(
        &mut self,
        session: &SessionId,
        vm: &VmId,
        position: Position,
        now: Time,
    ) -> Vec<Holding> {
        let seat = self.seat(session);
        if position.offset > seat.floor.offset {
            seat.floor = position;
        }
        let other = |lease: &&Holding| lease.until > now && lease.vm.as_ref() != Some(vm);
        seat.leases.iter().filter(other).cloned().collect()
    }

    /// Records that `vm` released the lease that a write up to `floor` revoked.
    pub fn released(&mut self, session: &SessionId, vm: &VmId, floor: Position) {
        if let Some(seat) = self.seats.get_mut(session) {
            seat.leases.retain(|lease| !lease.ends_by(vm, floor));
        }
    }

    /// Until when any lease may be in use.
    pub fn leased_until(&self) -> Time {
        let leases = self.seats.iter().flat_map(|(_, seat)| &seat.leases);
        let last = leases.map(|lease| lease.until).max().unwrap_or_default();
        last.max(self.forgotten_until)
    }

    /// Returns the record of `session` and evicts the least recently used one if there are too
    /// many, which bounds memory. The horizon rises to the evicted floor, so that no older row is
    /// served, and writes wait for the evicted leases.
    fn seat(&mut self, session: &SessionId) -> &mut Seat {
        let horizon = self.horizon;
        let forgotten = Holding {
            vm: None,
            until: self.forgotten_until,
            floor: horizon,
        };
        let make = || Seat {
            floor: horizon,
            leases: vec![forgotten],
        };
        let (seat, evicted) = self.seats.touch(session, make);
        let Some((_, old)) = evicted else {
            return seat;
        };
        if old.floor.offset > self.horizon.offset {
            self.horizon = old.floor;
            seat.floor = old.floor;
        }
        let lapse = old.leases.iter().map(|lease| lease.until).max();
        self.forgotten_until = self.forgotten_until.max(lapse.unwrap_or_default());
        seat
    }
}
