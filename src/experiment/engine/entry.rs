//! The entry's part of the simulation: it receives requests, dispatches them and ends them.

use super::{Engine, Event, Location, Reply, STICKY_PERIOD, WARM_UP_END, Work};
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
        for (at, arrival) in drawn.follow_ups {
            self.schedule(at, Event::FollowUp(arrival));
        }
        if let Some(arrival) = drawn.arrival {
            self.begin(arrival);
        }
    }

    /// Sends a new request, which reaches its entry after the delay from the caller.
    pub(super) fn begin(&mut self, arrival: Arrival) {
        self.next_work += 1;
        let id = self.next_work;
        let work = Work {
            entry: arrival.entry,
            deadline: arrival.sent_at + arrival.timeout,
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
        self.schedule(at, Event::Submit(id));
    }

    /// Computes the order of databases to try and dispatches the request.
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
            _ if self.policy.sticky && is_sticky(now, work.floor) => {
                group.primary.into_iter().collect()
            }
            _ => group.order(now, &work, &mut entry.routers[work.arrival.group]),
        };
        entry.budget.deposit(now);
        self.works.insert(id, work);
        self.dispatch(id);
    }

    /// Sends a request to the next database in its order.
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
        let location = Location {
            group: work.arrival.group,
            index: work.order.remove(0),
        };
        work.sent = self.now;
        work.attempt += 1;
        work.at = Some(location.index);
        let group = &self.groups[location.group];
        let router = &mut self.entries[work.entry].routers[location.group];
        router.sent(self.now, &group.names[location.index]);
        let network_delay = self.network_delay(id, location);
        let life = self.holder(location).life;
        let at = self.now + network_delay;
        let event = Event::AtHolder {
            work: id,
            location,
            life,
        };
        self.schedule(at, event);
    }

    pub(super) fn at_entry(&mut self, id: u64, location: Location, reply: Reply) {
        let now = self.now;
        let Some(work) = self.works.get(&id) else {
            return;
        };
        let entry = &mut self.entries[work.entry];
        let router = &mut entry.routers[location.group];
        let name = &self.groups[location.group].names[location.index];
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
            Reply::NotRun(refusal, hint) => {
                router.refused(now, name, &hint);
                not_run = refusal;
            }
            Reply::Broken => {
                router.failed(now, name);
                if write {
                    self.end(id, End::Unknown);
                    return;
                }
            }
        }
        let may_retry = not_run.cause != Cause::Expired && !work.order.is_empty();
        let free = not_run.cause == Cause::Behind;
        if may_retry && now < work.deadline && (free || entry.budget.withdraw(now)) {
            self.dispatch(id);
            return;
        }
        self.not_run(id, not_run);
    }

    /// Ends a request as not run, or schedules its retry if the caller retries.
    pub(super) fn not_run(&mut self, id: u64, not_run: NotRun) {
        let retry_at = self.now + self.size.to_caller + not_run.retry_after + self.size.to_caller;
        let retries = self.retries && not_run.cause != Cause::Expired;
        if retries
            && self
                .works
                .get(&id)
                .is_some_and(|work| retry_at < work.deadline)
        {
            self.schedule(retry_at, Event::Submit(id));
            return;
        }
        self.end(id, End::NotRun);
    }

    pub(super) fn end(&mut self, id: u64, end: End) {
        let Some(work) = self.works.remove(&id) else {
            return;
        };
        if work.arrival.sent_at < WARM_UP_END {
            return;
        }
        let received = self.now + self.size.to_caller;
        let late = end == End::Done && received > work.deadline;
        self.stats.record(&Ended {
            kind: work.arrival.kind,
            caller: work.arrival.caller.as_str(),
            end: if late { End::Late } else { end },
            sent_at: work.arrival.sent_at,
            received,
            service: work.arrival.service,
            replica: work.replica,
            stale: work.stale,
        });
    }
}

fn is_sticky(now: Time, floor: Option<(Position, Time)>) -> bool {
    floor.is_some_and(|(_, written)| now.since(written) < STICKY_PERIOD)
}
