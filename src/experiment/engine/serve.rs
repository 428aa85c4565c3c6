//! The holder's part of the simulation: it admits work, runs it and answers.

use super::{CATCH_UP_TIMEOUT, DETECTION_DELAY, Engine, Event, Location, Reply};
use crate::clock::{Span, Time};
use crate::core::gate::Item;
use crate::core::message::Hint;
use crate::core::request::{Cause, Class, NotRun};
use crate::experiment::pattern::MAX_AGE;
use crate::experiment::target::Statement;
use crate::types::RequestId;

impl Engine {
    pub(super) fn at_holder(&mut self, id: u64, location: Location, life: u64) {
        let now = self.now;
        if self.holder(location).life != life || !self.holder(location).target.up {
            let noticed = self.lost_at.map_or(now, |lost| lost + DETECTION_DELAY);
            self.reply(noticed.max(now), id, location, Reply::Broken);
            return;
        }
        let hint = self.hint(location);
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let group = &mut self.groups[location.group];
        work.replica = group.primary != Some(location.index);
        let lag = group.holders[location.index].target.lag(now);
        let missing = match work.floor {
            Some((_, written)) if work.replica => (written + lag).since(now),
            _ => Span::ZERO,
        };
        work.stale = missing > Span::ZERO;
        let too_old = work.replica
            && matches!(work.arrival.kind.class, Class::Aged | Class::Long)
            && hint.age.is_some_and(|age| age > MAX_AGE);
        if !self.policy.sticky && (too_old || work.stale) {
            self.wait_for_log(id, location, life, missing);
            return;
        }
        let item = Item {
            request: RequestId(id),
            caller: work.arrival.caller.clone(),
            class: work.arrival.kind.class,
            deadline: work.deadline - self.size.to_caller - self.size.between_domains,
        };
        if let Err(not_run) = group.holders[location.index].offer(now, item) {
            self.reply(now, id, location, Reply::NotRun(not_run, hint));
        }
        self.advance(location);
    }

    /// Delays a read until the replica is new enough if that is soon, and refuses it otherwise.
    pub(super) fn wait_for_log(&mut self, id: u64, location: Location, life: u64, missing: Span) {
        let now = self.now;
        if missing > Span::ZERO && missing <= CATCH_UP_TIMEOUT {
            let event = Event::AtHolder {
                work: id,
                location,
                life,
            };
            self.schedule(now + missing, event);
            return;
        }
        let not_run = NotRun {
            cause: Cause::Behind,
            retry_after: CATCH_UP_TIMEOUT,
        };
        let hint = self.hint(location);
        self.reply(
            now + CATCH_UP_TIMEOUT,
            id,
            location,
            Reply::NotRun(not_run, hint),
        );
    }

    /// Carries out a holder's effects.
    pub(super) fn advance(&mut self, location: Location) {
        let now = self.now;
        let connect = self.size.connect;
        let effects = self.holder(location).advance(now);
        let life = self.holder(location).life;
        for item in effects.late {
            let not_run = NotRun {
                cause: Cause::Expired,
                retry_after: self.holder(location).gate.wait(now),
            };
            let hint = self.hint(location);
            self.reply(now, item.request.0, location, Reply::NotRun(not_run, hint));
        }
        for item in effects.start {
            let Some(work) = self.works.get(&item.request.0) else {
                continue;
            };
            let statement = Statement {
                work: item.request.0,
                service: work.arrival.service,
            };
            let runs = self.holder(location).target.start(now, statement);
            self.schedule_end(location, life, statement.work, runs);
        }
        for _ in 0..effects.open {
            self.schedule(now + connect, Event::Connected { location, life });
        }
        let holder = self.holder(location);
        let Some(wake) = holder.gate.wake() else {
            return;
        };
        if holder.wakes_at.is_none_or(|at| wake < at) {
            holder.wakes_at = Some(wake);
            self.schedule(wake.max(now), Event::Wake { location, life });
        }
    }

    pub(super) fn schedule_end(
        &mut self,
        location: Location,
        life: u64,
        work: u64,
        span: Option<Span>,
    ) {
        if let Some(span) = span {
            let at = self.now + span;
            self.schedule(
                at,
                Event::Ended {
                    location,
                    life,
                    work,
                },
            );
        }
    }

    pub(super) fn ended(&mut self, location: Location, id: u64) {
        let now = self.now;
        let life = self.holder(location).life;
        if let Some((next, span)) = self.holder(location).target.end(now) {
            self.schedule_end(location, life, next.work, Some(span));
        }
        let group = &mut self.groups[location.group];
        if let Some(work) = self.works.get(&id)
            && work.arrival.kind.class == Class::Confirm
        {
            let position = group.log.write(now);
            group
                .last_write
                .insert(work.arrival.session, (position, now));
        }
        self.holder(location).ended(now, RequestId(id));
        let hint = self.hint(location);
        self.reply(now, id, location, Reply::Done(hint));
        self.advance(location);
    }

    pub(super) fn hint(&mut self, location: Location) -> Hint {
        let now = self.now;
        let group = &self.groups[location.group];
        let holder = &group.holders[location.index];
        let (position, age) = if group.primary == Some(location.index) {
            (group.log.end(), Span::ZERO)
        } else {
            let target = &holder.target;
            (group.log.end_at(now - target.lag(now)), target.age(now))
        };
        Hint {
            position,
            age: Some(age),
            wait: holder.gate.wait(now),
            run: holder.gate.run_time(),
            primary: None,
        }
    }

    pub(super) fn reply(&mut self, at: Time, work: u64, location: Location, reply: Reply) {
        let Some(attempt) = self.works.get(&work).map(|work| work.attempt) else {
            return;
        };
        let at = at + self.network_delay(work, location);
        let event = Event::AtEntry {
            work,
            attempt,
            location,
            reply,
        };
        self.schedule(at, event);
    }

    pub(super) fn network_delay(&self, id: u64, location: Location) -> Span {
        let Some(work) = self.works.get(&id) else {
            return Span::ZERO;
        };
        let holder_domain = self.groups[location.group].holders[location.index].domain;
        if self.entries[work.entry].domain == holder_domain {
            return Span::ZERO;
        }
        self.size.between_domains
    }
}
