//! What a steward remembers of its group's sessions: floors, and the leases given on them.

use crate::clock::Time;
use crate::core::recent::Recent;
use crate::types::{Position, SessionId, VmId};

/// Sessions remembered for each group, about 200 bytes each. A session that is forgotten costs
/// replica reads until the replicas have passed the horizon; one that is forgotten within a
/// lease's second makes writes wait for that lease. At full size a group gets some 3,000
/// statements a second, so five times as many sessions are never met within one.
const SESSIONS_KEPT: usize = 16_384;

/// The floors of a group's sessions under one term.
#[derive(Debug)]
pub(crate) struct Sessions {
    /// The floor of every session without a seat.
    horizon: Position,
    seats: Recent<SessionId, Seat>,
    /// Until when leases may be in use whose session was forgotten.
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
    /// The entry; `None` where it was forgotten and cannot be asked to give it up.
    pub vm: Option<VmId>,
    /// When it lapses by itself.
    pub until: Time,
    /// The session's floor when it was granted.
    pub floor: Position,
}

impl Holding {
    /// Whether the lease ends when `vm` says that it gave up what a write up to `floor` revoked.
    ///
    /// Failure: the word arrives late, after `vm` asked anew and was granted another lease.
    /// Symptom: the next write does not wait for that lease, and the session reads what was
    /// before it. Enough, because a lease that was granted after a write has that write's floor.
    pub fn ends_by(&self, vm: &VmId, floor: Position) -> bool {
        self.vm.as_ref() == Some(vm) && self.floor.offset < floor.offset
    }
}

impl Sessions {
    /// The sessions of a term whose log starts at `base`.
    ///
    /// Failure: a steward that has just taken over knows no session. Symptom: a session's read
    /// is served by a replica that lacks its write. Enough, because every acknowledged write of
    /// a former term that was kept lies at or below the base.
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

    /// The floor of a session that is remembered.
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

    /// `session` wrote up to `position` by way of `vm`. Returns the leases of other entries,
    /// which have to end before the write is acknowledged.
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

    /// `vm` gave up the lease that a write up to `floor` revoked.
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

    /// Failure: sessions come and go without end. Symptom: the steward runs out of memory, or
    /// forgets a floor and serves an older row. Enough, because the horizon rises to the floor
    /// of whatever is forgotten, and a write waits for the leases forgotten with it.
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
