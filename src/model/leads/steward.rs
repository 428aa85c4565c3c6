//! The steward's steps, and takeover of its duty.

use super::store::{Age, DutyRow, LeadRow, Rows, Write};
use super::vm::{Call, Duty, Evicted, Intent, Members, Update, Vm, Watch};
use super::{
    CANDIDATES, DATABASES, DUTY_TICKS, Event, LEASE_TICKS, Order, SHARED_TOKEN, Safeguard, Spec,
    State, VMS,
};
use super::{abandon, with_vm};

impl Spec {
    pub(super) fn duty(&self, token: u8, version: u8, asked: Age) -> Duty {
        let tracked = !self.enforces(Safeguard::WaitFromIntent);
        Duty {
            token,
            version,
            asked,
            intent: None,
            evicted: [None; VMS],
            before: None,
            last_contact: tracked.then_some([0; VMS]),
        }
    }

    pub(super) fn steward_steps(
        &self,
        state: &State,
        s: usize,
        add: &mut impl FnMut(Event, Option<State>),
    ) {
        add(Event::TakeOver(s), self.take_over(state, s));
        let Some(duty) = state.vms[s].duty else {
            return;
        };
        add(Event::Renew(s), self.renew(state, s, duty));
        add(Event::Intend(s), self.intend(state, s, duty));
        add(Event::Intended(s), self.intended(state, s, duty));
        for v in 0..self.scope.vms {
            add(Event::SendUpdate(s, v), self.send_update(state, s, v));
            add(Event::Drop(s, v), self.drop_epoch(state, s, duty, v));
            add(Event::Evict(s, v), self.evict(state, s, duty, v));
            add(Event::Remove(s, v), self.remove(state, s, duty, v));
        }
        if let Some((database, next)) = self.order(state, s, duty) {
            add(Event::Order(s, database), Some(next));
        }
        add(Event::Publish(s), self.publish(state, s, duty));
        let abandoned = self.abandon_publish(state, s, duty);
        add(Event::AbandonPublish(s), abandoned);
        for c in (0..CANDIDATES.min(self.scope.vms)).filter(|c| *c != s) {
            add(Event::HandOver(s, c), self.hand_over(state, s, duty, c));
        }
    }

    fn take_over(&self, state: &State, s: usize) -> Option<State> {
        let vm = &state.vms[s];
        let watch = vm
            .watch
            .filter(|_| vm.call.is_none() && vm.duty.is_none())?;
        let holder = state.rows.duty;
        let ended = state.vms[usize::from(holder.vm)].life != holder.life;
        let unchanged = watch.age >= DUTY_TICKS || !self.enforces(Safeguard::TakeOverWaits);
        let rises = u8::from(self.enforces(Safeguard::TokenRises));
        let token = watch.token + rises;
        let allowed = (ended && watch.version == holder.version) || unchanged;
        if !allowed || token > self.scope.tokens || self.renewals_exhausted(state) {
            return None;
        }
        let compared = self.enforces(Safeguard::CompareAndSet);
        let write = Write::Take {
            row: DutyRow {
                vm: s as u8,
                life: vm.life,
                token,
                version: 0,
            },
            expected: compared.then_some(watch.version),
        };
        apply_now(state, s, write)
    }

    fn renewals_exhausted(&self, state: &State) -> bool {
        state.rows.duty.version > self.scope.renewals
    }

    pub(super) fn receive_duty_answer(
        &self,
        state: &State,
        s: usize,
        write: Write,
        age: Age,
    ) -> State {
        let asked = match self.enforces(Safeguard::RenewalAsked) {
            true => age,
            false => 0,
        };
        let mut next = with_vm(state, s, |vm| {
            vm.call = None;
            match write {
                Write::Take { row, expected } => {
                    let version = expected.map_or(state.rows.duty.version, |expected| expected + 1);
                    vm.watch = None;
                    vm.duty = Some(self.duty(row.token, version, asked));
                }
                Write::Renew { expected } => {
                    if let Some(duty) = &mut vm.duty {
                        (duty.version, duty.asked) = (expected + 1, asked);
                    }
                }
                _ => {}
            }
        });
        let token = next.vms[s].duty.map(|duty| duty.token);
        let others = (0..self.scope.vms).filter(|o| *o != s);
        let mut tokens = others.filter_map(|o| next.vms[o].duty.map(|duty| duty.token));
        if tokens.any(|other| Some(other) == token) {
            next.broken = Some(SHARED_TOKEN);
        }
        next
    }

    /// Updates a candidate's state of the duty from a reading.
    pub(super) fn resume(&self, vm: &mut Vm, s: usize, rows: &Rows) {
        let row = rows.duty;
        let own = usize::from(row.vm) == s && row.life == vm.life;
        if !own {
            vm.duty = None;
            let same = vm.watch.filter(|watch| watch.version == row.version);
            vm.watch = same.or(Some(Watch {
                version: row.version,
                token: row.token,
                age: 0,
            }));
            return;
        }
        vm.watch = None;
        // A renewal whose answer was lost gives no valid duty.
        let fresh = || self.duty(row.token, row.version, LEASE_TICKS);
        let mut duty = vm
            .duty
            .filter(|d| d.token == row.token)
            .unwrap_or_else(fresh);
        if duty.version != row.version {
            (duty.version, duty.asked) = (row.version, LEASE_TICKS);
        }
        duty.intent = duty
            .intent
            .filter(|intent| intent.lead == rows.lead.version);
        if let Some(intent) = &mut duty.intent {
            intent.members = intent.members.or(Some(Members::of(rows)));
        } else if rows.lead.changing {
            duty.intent = Some(self.unfinished(rows));
        }
        vm.duty = Some(duty);
    }

    /// Rebuilds an intent found in the rows, perhaps written by an earlier steward.
    fn unfinished(&self, rows: &Rows) -> Intent {
        let again = self.enforces(Safeguard::WaitAgain);
        Intent {
            age: if again { 0 } else { LEASE_TICKS },
            lead: rows.lead.version,
            members: (!again).then(|| Members::of(rows)),
            confirmed: 0,
            ordered: None,
            carried_out: false,
        }
    }

    fn renew(&self, state: &State, s: usize, duty: Duty) -> Option<State> {
        duty.intent.filter(|intent| !intent.carried_out)?;
        let expected = duty.version;
        // A second renewal within the same tick changes nothing.
        if state.vms[s].call.is_some() || self.renewals_exhausted(state) || duty.asked == 0 {
            return None;
        }
        apply_now(state, s, Write::Renew { expected })
    }

    fn intend(&self, state: &State, s: usize, duty: Duty) -> Option<State> {
        let vm = &state.vms[s];
        let lead = vm.reading?.lead;
        let ordered = duty.intent.is_some();
        if vm.call.is_some()
            || ordered
            || self.renewals_exhausted(state)
            || lead.epoch > self.scope.changes
        {
            return None;
        }
        let write = Write::Intend {
            duty: duty.version,
            lead: lead.version,
        };
        let enough = !self.enforces(Safeguard::RowsAfterIntent);
        state.rows.allow(write).then(|| {
            with_vm(state, s, |vm| {
                vm.call = Some(Call::Sent { write, age: 0 });
                if let Some(duty) = &mut vm.duty {
                    duty.before = enough.then(|| Members::of(&state.rows));
                }
            })
        })
    }

    fn intended(&self, state: &State, s: usize, duty: Duty) -> Option<State> {
        let Some(Call::Sent { write, age }) = state.vms[s].call else {
            return None;
        };
        let mut next = with_vm(state, s, |vm| vm.call = None);
        if !next.rows.apply(write) {
            next.vms[s].duty = None;
            return Some(next);
        }
        let intent = Intent {
            age: match self.enforces(Safeguard::WaitFromAnswer) {
                true => 0,
                false => age,
            },
            lead: next.rows.lead.version,
            members: duty.before,
            confirmed: 0,
            ordered: None,
            carried_out: false,
        };
        let asked = match self.enforces(Safeguard::RenewalAsked) {
            true => age,
            false => 0,
        };
        next.vms[s].duty = Some(Duty {
            version: next.rows.duty.version,
            asked,
            intent: Some(intent),
            before: None,
            ..duty
        });
        Some(next)
    }

    fn send_update(&self, state: &State, s: usize, v: usize) -> Option<State> {
        let reading = state.vms[s].reading?;
        let shown = reading.shows & (1 << v) != 0 || !self.enforces(Safeguard::RowInNews);
        let known = state.vms[v].reading;
        let new = known.is_none_or(|known| known.lead != reading.lead || known.age > reading.age);
        if v == s || !shown || !new || state.vms[v].update.is_some() {
            return None;
        }
        let update = Update {
            lead: reading.lead,
            age: reading.age,
        };
        let mut next = with_vm(state, v, |vm| vm.update = Some(update));
        let duty = next.vms[s].duty.as_mut();
        if let Some(last_contact) = duty.and_then(|duty| duty.last_contact.as_mut()) {
            last_contact[v] = 0;
        }
        Some(next)
    }

    fn drop_epoch(&self, state: &State, s: usize, duty: Duty, v: usize) -> Option<State> {
        let intent = duty.intent?;
        let epoch = state.vms[s].reading?.lead.epoch;
        let mut next = state.clone();
        if self.enforces(Safeguard::DropConfirmed) {
            let vm = &mut next.vms[v];
            let forgotten = vm.reading.is_none() && !self.enforces(Safeguard::DropBeforeReading);
            if !forgotten {
                vm.dropped = vm.dropped.max(epoch);
            }
        }
        next.vms[s].duty = Some(Duty {
            intent: Some(Intent {
                confirmed: intent.confirmed | 1 << v,
                ..intent
            }),
            ..duty
        });
        Some(next)
    }

    fn evict(&self, state: &State, s: usize, duty: Duty, v: usize) -> Option<State> {
        let mut next = state.clone();
        next.evictions = state.evictions.checked_sub(1)?;
        let expected = state.rows.versions[v];
        let marked = state.rows.members[v].is_none_or(|row| row.evicted);
        if v == s
            || marked
            || !next.rows.apply(Write::Evict {
                vm: v as u8,
                expected,
            })
        {
            return None;
        }
        let mut duty = duty;
        duty.evicted[v] = Some(Evicted {
            age: if self.enforces(Safeguard::EvictionWaits) {
                0
            } else {
                LEASE_TICKS
            },
            version: next.rows.versions[v],
        });
        next.vms[s].duty = Some(duty);
        Some(next)
    }

    fn remove(&self, state: &State, s: usize, duty: Duty, v: usize) -> Option<State> {
        let evicted = duty.evicted[v].filter(|evicted| evicted.age >= LEASE_TICKS)?;
        let compared = self.enforces(Safeguard::RemoveCompared);
        let write = Write::Remove {
            vm: v as u8,
            expected: compared.then_some(evicted.version),
        };
        let mut next = with_vm(state, s, |vm| {
            if let Some(duty) = &mut vm.duty {
                duty.evicted[v] = None;
            }
        });
        abandon(&mut next, write).then_some(next)
    }

    fn order(&self, state: &State, s: usize, duty: Duty) -> Option<(u8, State)> {
        let intent = duty.intent.filter(|intent| !intent.carried_out)?;
        let lapsed = |v: usize| match (self.disabled, duty.last_contact) {
            (Some(Safeguard::WaitOut), _) => true,
            (_, Some(last_contact)) => last_contact[v] >= LEASE_TICKS,
            (_, None) => intent.age >= LEASE_TICKS,
        };
        let renewed = duty.asked < DUTY_TICKS || !self.enforces(Safeguard::RenewBeforeOrder);
        if !renewed || !duty.all_dropped(&intent, lapsed) {
            return None;
        }
        let primary = state.vms[s].reading?.lead.primary;
        let database = intent.ordered.unwrap_or_else(|| choice(s, primary));
        let order = Order {
            vm: s as u8,
            life: state.vms[s].life,
            token: duty.token,
            database,
            age: match self.enforces(Safeguard::RenewBeforeOrder) {
                true => duty.asked,
                false => 0,
            },
        };
        if state.orders.iter().any(|other| other.vm == order.vm) {
            return None;
        }
        let mut next = state.clone();
        next.orders.push(order);
        next.orders.sort_unstable();
        next.vms[s].duty = Some(Duty {
            intent: Some(Intent {
                ordered: Some(database),
                ..intent
            }),
            ..duty
        });
        Some((database, next))
    }

    fn publish_write(&self, state: &State, s: usize, duty: Duty) -> Option<Write> {
        let intent = duty.intent.filter(|intent| intent.carried_out)?;
        let row = LeadRow {
            epoch: state.vms[s].reading?.lead.epoch + 1,
            primary: intent.ordered?,
            changing: false,
            version: 0,
        };
        let under = self.enforces(Safeguard::PublishUnderDuty);
        Some(Write::Publish {
            row,
            lead: intent.lead,
            duty: under.then_some(duty.version),
        })
    }

    fn publish(&self, state: &State, s: usize, duty: Duty) -> Option<State> {
        let write = self.publish_write(state, s, duty)?;
        let mut next = state.clone();
        let kept = next.rows.apply(write);
        next.vms[s].duty = kept.then_some(Duty {
            intent: None,
            version: next.rows.duty.version,
            asked: 0,
            ..duty
        });
        Some(next)
    }

    fn abandon_publish(&self, state: &State, s: usize, duty: Duty) -> Option<State> {
        let write = self.publish_write(state, s, duty)?;
        let mut next = state.clone();
        abandon(&mut next, write).then_some(next)
    }

    fn hand_over(&self, state: &State, s: usize, duty: Duty, c: usize) -> Option<State> {
        let under_way = state.orders.iter().any(|order| usize::from(order.vm) == s);
        let busy = under_way || state.vms[s].call.is_some();
        if busy || state.vms[c].offer.is_some() || duty.token >= self.scope.tokens {
            return None;
        }
        let mut next = with_vm(state, c, |vm| vm.offer = Some((duty.version, duty.token)));
        if self.enforces(Safeguard::OfferEnds) {
            next.vms[s].duty = Some(Duty {
                asked: LEASE_TICKS,
                ..duty
            });
        }
        Some(next)
    }

    pub(super) fn receive_offer(&self, state: &State, c: usize) -> Option<State> {
        let (version, token) = state.vms[c].offer?;
        let row = state.rows.duty;
        let version = match self.enforces(Safeguard::OfferCompared) {
            true => version,
            false if row.token == token => row.version,
            false => version,
        };
        let watch = Watch {
            version,
            token,
            age: LEASE_TICKS,
        };
        Some(with_vm(state, c, |vm| {
            vm.offer = None;
            if vm.duty.is_none() {
                vm.watch = Some(watch);
            }
        }))
    }
}

/// Returns the database that a steward promotes; the two stewards choose differently if possible.
fn choice(s: usize, primary: u8) -> u8 {
    let first = s as u8 + 1;
    match first == primary {
        true => DATABASES.len() as u8 - first,
        false => first,
    }
}

/// Applies a write of the duty's row at once and leaves its answer in flight.
fn apply_now(state: &State, s: usize, write: Write) -> Option<State> {
    let mut next = state.clone();
    next.rows.apply(write).then_some(())?;
    next.vms[s].call = Some(Call::Applied { write, age: 0 });
    Some(next)
}
