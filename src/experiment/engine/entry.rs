//! The entry's side of an experiment: requests arrive, are sent on, and end.

use super::{Engine, Event, Place, Reply, STICKY, WARM, Work};
use crate::clock::{Span, Time};
use crate::core::request::{Cause, Class, NotRun};
use crate::experiment::source::Arrival;
use crate::experiment::stats::{End, Ended};
use crate::types::Position;

impl Engine {
    pub(super) fn arrive(&mut self, source: usize) {
        if self.now >= self.ends {
            return;
        }
        let drawn = self.sources[source].next(self.now);
        self.schedule(drawn.next, Event::Arrive(source));
        for (at, arrival) in drawn.follows {
            self.schedule(at, Event::Follow(arrival));
        }
        if let Some(arrival) = drawn.arrival {
            self.begin(arrival);
        }
    }

    /// A caller sends a new request; it reaches its entry a way later.
    pub(super) fn begin(&mut self, arrival: Arrival) {
        self.next_work += 1;
        let id = self.next_work;
        let work = Work {
            entry: arrival.entry,
            deadline: arrival.born + arrival.patience,
            floor: None,
            order: Vec::new(),
            sent: self.now,
            attempt: 0,
            at: None,
            replica: false,
            stale: false,
            arrival,
        };
        self.works.insert(id, work);
        let at = self.now + self.size.to_caller;
        self.schedule(at, Event::Return(id));
    }

    /// The entry chooses a database.
    pub(super) fn submit(&mut self, id: u64) {
        let now = self.now;
        let Some(mut work) = self.works.remove(&id) else {
            return;
        };
        let group = &self.groups[work.arrival.group];
        if work.arrival.kind.class == Class::Session {
            work.floor = group.last_write.get(&work.arrival.session).copied();
        }
        let entry = &mut self.entries[work.entry];
        work.order = match work.arrival.kind.class {
            Class::Confirm => group.primary.into_iter().collect(),
            _ if self.policy.sticky && sticks(now, work.floor) => {
                group.primary.into_iter().collect()
            }
            _ => group.order(now, &work, &mut entry.routers[work.arrival.group]),
        };
        entry.budget.deposit(now);
        self.works.insert(id, work);
        self.dispatch(id);
    }

    /// Sends work to the first database that is left in its order.
    pub(super) fn dispatch(&mut self, id: u64) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        if work.order.is_empty() {
            let not_run = NotRun {
                cause: Cause::NoPrimary,
                retry_after: Span::from_millis(500),
            };
            self.not_run(id, not_run);
            return;
        }
        let place = Place {
            group: work.arrival.group,
            index: work.order.remove(0),
        };
        work.sent = self.now;
        work.attempt += 1;
        work.at = Some(place.index);
        let group = &self.groups[place.group];
        let router = &mut self.entries[work.entry].routers[place.group];
        router.sent(self.now, &group.names[place.index]);
        let way = self.way(id, place);
        let life = self.holder(place).life;
        let at = self.now + way;
        let event = Event::AtHolder {
            work: id,
            place,
            life,
        };
        self.schedule(at, event);
    }

    pub(super) fn at_entry(&mut self, id: u64, place: Place, reply: Reply) {
        let now = self.now;
        let Some(work) = self.works.get(&id) else {
            return;
        };
        let entry = &mut self.entries[work.entry];
        let router = &mut entry.routers[place.group];
        let name = &self.groups[place.group].names[place.index];
        let mut not_run = NotRun {
            cause: Cause::Refused,
            retry_after: Span::from_millis(500),
        };
        let write = work.arrival.kind.class == Class::Confirm;
        match reply {
            Reply::Done(hint) => {
                router.answered(now, name, now.since(work.sent), &hint);
                self.end(id, End::Done);
                return;
            }
            Reply::NotRun(told, hint) => {
                router.refused(now, name, &hint);
                not_run = told;
            }
            Reply::Broken => {
                router.failed(now, name);
                if write {
                    self.end(id, End::Unknown);
                    return;
                }
            }
        }
        let again = not_run.cause != Cause::Expired && !work.order.is_empty();
        let free = not_run.cause == Cause::Behind;
        if again && now < work.deadline && (free || entry.budget.withdraw(now)) {
            self.dispatch(id);
            return;
        }
        self.not_run(id, not_run);
    }

    /// Tells a caller that its request was not run; it may come back.
    pub(super) fn not_run(&mut self, id: u64, not_run: NotRun) {
        let back = self.now + self.size.to_caller + not_run.retry_after + self.size.to_caller;
        let returns = self.returns && not_run.cause != Cause::Expired;
        if returns && self.works.get(&id).is_some_and(|work| back < work.deadline) {
            self.schedule(back, Event::Return(id));
            return;
        }
        self.end(id, End::NotRun);
    }

    pub(super) fn end(&mut self, id: u64, end: End) {
        let Some(work) = self.works.remove(&id) else {
            return;
        };
        if work.arrival.born < WARM {
            return;
        }
        let heard = self.now + self.size.to_caller;
        let late = end == End::Done && heard > work.deadline;
        self.stats.record(&Ended {
            kind: work.arrival.kind,
            caller: work.arrival.caller.as_str(),
            end: if late { End::Late } else { end },
            born: work.arrival.born,
            heard,
            service: work.arrival.service,
            replica: work.replica,
            stale: work.stale,
        });
    }
}

fn sticks(now: Time, floor: Option<(Position, Time)>) -> bool {
    floor.is_some_and(|(_, written)| now.since(written) < STICKY)
}
