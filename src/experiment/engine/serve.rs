//! The holder's side of an experiment: work is let in, run and answered.

use super::{CATCH_UP, Engine, Event, NOTICE, Place, Reply};
use crate::clock::{Span, Time};
use crate::core::gate::Item;
use crate::core::message::Hint;
use crate::core::request::{Cause, Class, NotRun};
use crate::experiment::pattern::MAX_AGE;
use crate::experiment::target::Statement;
use crate::types::RequestId;

impl Engine {
    pub(super) fn at_holder(&mut self, id: u64, place: Place, life: u64) {
        let now = self.now;
        if self.holder(place).life != life || !self.holder(place).target.up {
            let noticed = self.lost_at.map_or(now, |lost| lost + NOTICE);
            self.reply(noticed.max(now), id, place, Reply::Broken);
            return;
        }
        let hint = self.hint(place);
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        let group = &mut self.groups[place.group];
        work.replica = group.primary != Some(place.index);
        let lag = group.holders[place.index].target.lag(now);
        let missing = match work.floor {
            Some((_, written)) if work.replica => (written + lag).since(now),
            _ => Span::ZERO,
        };
        work.stale = missing > Span::ZERO;
        let too_old = work.replica
            && matches!(work.arrival.kind.class, Class::Aged | Class::Long)
            && hint.age.is_some_and(|age| age > MAX_AGE);
        if !self.policy.sticky && (too_old || work.stale) {
            self.wait_for_log(id, place, life, missing);
            return;
        }
        let item = Item {
            request: RequestId(id),
            caller: work.arrival.caller.clone(),
            class: work.arrival.kind.class,
            deadline: work.deadline - self.size.to_caller - self.size.between_domains,
        };
        if let Err(not_run) = group.holders[place.index].offer(now, item) {
            self.reply(now, id, place, Reply::NotRun(not_run, hint));
        }
        self.advance(place);
    }

    /// Holds a read back until the replica is new enough, if that is soon.
    pub(super) fn wait_for_log(&mut self, id: u64, place: Place, life: u64, missing: Span) {
        let now = self.now;
        if missing > Span::ZERO && missing <= CATCH_UP {
            let event = Event::AtHolder {
                work: id,
                place,
                life,
            };
            self.schedule(now + missing, event);
            return;
        }
        let not_run = NotRun {
            cause: Cause::Behind,
            retry_after: CATCH_UP,
        };
        let hint = self.hint(place);
        self.reply(now + CATCH_UP, id, place, Reply::NotRun(not_run, hint));
    }

    /// Carries out what a holder wants.
    pub(super) fn advance(&mut self, place: Place) {
        let now = self.now;
        let connect = self.size.connect;
        let effects = self.holder(place).advance(now);
        let life = self.holder(place).life;
        for item in effects.late {
            let not_run = NotRun {
                cause: Cause::Expired,
                retry_after: self.holder(place).gate.wait(now),
            };
            let hint = self.hint(place);
            self.reply(now, item.request.0, place, Reply::NotRun(not_run, hint));
        }
        for item in effects.start {
            let Some(work) = self.works.get(&item.request.0) else {
                continue;
            };
            let statement = Statement {
                work: item.request.0,
                service: work.arrival.service,
            };
            let runs = self.holder(place).target.start(now, statement);
            self.runs(place, life, statement.work, runs);
        }
        for _ in 0..effects.open {
            self.schedule(now + connect, Event::Connected { place, life });
        }
        let holder = self.holder(place);
        let Some(wake) = holder.gate.wake() else {
            return;
        };
        if holder.wakes_at.is_none_or(|at| wake < at) {
            holder.wakes_at = Some(wake);
            self.schedule(wake.max(now), Event::Wake { place, life });
        }
    }

    pub(super) fn runs(&mut self, place: Place, life: u64, work: u64, span: Option<Span>) {
        if let Some(span) = span {
            let at = self.now + span;
            self.schedule(at, Event::Ended { place, life, work });
        }
    }

    pub(super) fn ended(&mut self, place: Place, id: u64) {
        let now = self.now;
        let life = self.holder(place).life;
        if let Some((next, span)) = self.holder(place).target.end(now) {
            self.runs(place, life, next.work, Some(span));
        }
        let group = &mut self.groups[place.group];
        if let Some(work) = self.works.get(&id)
            && work.arrival.kind.class == Class::Confirm
        {
            let position = group.log.write(now);
            group
                .last_write
                .insert(work.arrival.session, (position, now));
        }
        self.holder(place).ended(now, RequestId(id));
        let hint = self.hint(place);
        self.reply(now, id, place, Reply::Done(hint));
        self.advance(place);
    }

    pub(super) fn hint(&mut self, place: Place) -> Hint {
        let now = self.now;
        let group = &self.groups[place.group];
        let holder = &group.holders[place.index];
        let (position, age) = if group.primary == Some(place.index) {
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

    pub(super) fn reply(&mut self, at: Time, work: u64, place: Place, reply: Reply) {
        let Some(attempt) = self.works.get(&work).map(|work| work.attempt) else {
            return;
        };
        let at = at + self.way(work, place);
        let event = Event::AtEntry {
            work,
            attempt,
            place,
            reply,
        };
        self.schedule(at, event);
    }

    pub(super) fn way(&self, id: u64, place: Place) -> Span {
        let Some(work) = self.works.get(&id) else {
            return Span::ZERO;
        };
        let there = self.groups[place.group].holders[place.index].domain;
        if self.entries[work.entry].domain == there {
            return Span::ZERO;
        }
        self.size.between_domains
    }
}
