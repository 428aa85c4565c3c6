//! What the steward does, and who takes the duty over.

use super::store::{Age, DutyRow, LeadRow, Rows, Write};
use super::vm::{Call, Duty, Evicted, Intent, Members, News, Vm, Watch};
use super::{
    CANDIDATES, DATABASES, DUTY, Event, LEASE, Order, SHARED, Safeguard, Spec, State, VMS,
};
use super::{give_up, with};

impl Spec {
    pub(super) fn duty(&self, token: u8, version: u8, asked: Age) -> Duty {
        let spoken = !self.kept(Safeguard::WaitFromIntent);
        Duty {
            token,
            version,
            asked,
            intent: None,
            evicted: [None; VMS],
            before: None,
            spoke: spoken.then_some([0; VMS]),
        }
    }

    pub(super) fn steward_steps(
        &self,
        state: &State,
        s: usize,
        take: &mut impl FnMut(Event, Option<State>),
    ) {
        take(Event::TakeOver(s), self.take_over(state, s));
        let Some(duty) = state.vms[s].duty else {
            return;
        };
        take(Event::Renew(s), self.renew(state, s, duty));
        take(Event::Intend(s), self.intend(state, s, duty));
        take(Event::Intended(s), self.intended(state, s, duty));
        for v in 0..self.scope.vms {
            take(Event::Tell(s, v), self.tell(state, s, v));
            take(Event::Drop(s, v), self.drop_epoch(state, s, duty, v));
            take(Event::Evict(s, v), self.evict(state, s, duty, v));
            take(Event::Remove(s, v), self.remove(state, s, duty, v));
        }
        if let Some((database, next)) = self.order(state, s, duty) {
            take(Event::Order(s, database), Some(next));
        }
        take(Event::Publish(s), self.publish(state, s, duty));
        let unheard = self.publish_unheard(state, s, duty);
        take(Event::PublishUnheard(s), unheard);
        for c in (0..CANDIDATES.min(self.scope.vms)).filter(|c| *c != s) {
            take(Event::HandOver(s, c), self.hand_over(state, s, duty, c));
        }
    }

    fn take_over(&self, state: &State, s: usize) -> Option<State> {
        let vm = &state.vms[s];
        let watch = vm
            .watch
            .filter(|_| vm.call.is_none() && vm.duty.is_none())?;
        let holder = state.rows.duty;
        let ended = state.vms[usize::from(holder.vm)].life != holder.life;
        let quiet = watch.age >= DUTY || !self.kept(Safeguard::TakeOverWaits);
        let rises = u8::from(self.kept(Safeguard::TokenRises));
        let token = watch.token + rises;
        let may = (ended && watch.version == holder.version) || quiet;
        if !may || token > self.scope.tokens || self.spent(state) {
            return None;
        }
        let compared = self.kept(Safeguard::CompareAndSet);
        let write = Write::Take {
            row: DutyRow {
                vm: s as u8,
                life: vm.life,
                token,
                version: 0,
            },
            over: compared.then_some(watch.version),
        };
        done(state, s, write)
    }

    fn spent(&self, state: &State) -> bool {
        state.rows.duty.version > self.scope.renewals
    }

    pub(super) fn hear_duty(&self, state: &State, s: usize, write: Write, age: Age) -> State {
        let asked = match self.kept(Safeguard::RenewalAsked) {
            true => age,
            false => 0,
        };
        let mut next = with(state, s, |vm| {
            vm.call = None;
            match write {
                Write::Take { row, over } => {
                    let version = over.map_or(state.rows.duty.version, |over| over + 1);
                    vm.watch = None;
                    vm.duty = Some(self.duty(row.token, version, asked));
                }
                Write::Renew { over } => {
                    if let Some(duty) = &mut vm.duty {
                        (duty.version, duty.asked) = (over + 1, asked);
                    }
                }
                _ => {}
            }
        });
        let token = next.vms[s].duty.map(|duty| duty.token);
        let others = (0..self.scope.vms).filter(|o| *o != s);
        let mut tokens = others.filter_map(|o| next.vms[o].duty.map(|duty| duty.token));
        if tokens.any(|other| Some(other) == token) {
            next.broken = Some(SHARED);
        }
        next
    }

    /// What a reading tells a candidate of the duty.
    pub(super) fn resume(&self, vm: &mut Vm, s: usize, rows: &Rows) {
        let row = rows.duty;
        let mine = usize::from(row.vm) == s && row.life == vm.life;
        if !mine {
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
        // A renewal whose answer was lost counts for nothing.
        let fresh = || self.duty(row.token, row.version, LEASE);
        let mut duty = vm
            .duty
            .filter(|d| d.token == row.token)
            .unwrap_or_else(fresh);
        if duty.version != row.version {
            (duty.version, duty.asked) = (row.version, LEASE);
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

    /// An intent that is there already, perhaps of a steward before.
    fn unfinished(&self, rows: &Rows) -> Intent {
        let again = self.kept(Safeguard::WaitAgain);
        Intent {
            age: if again { 0 } else { LEASE },
            lead: rows.lead.version,
            members: (!again).then(|| Members::of(rows)),
            confirmed: 0,
            ordered: None,
            done: false,
        }
    }

    fn renew(&self, state: &State, s: usize, duty: Duty) -> Option<State> {
        duty.intent.filter(|intent| !intent.done)?;
        let over = duty.version;
        // A renewal that was asked within this tick is as good as another.
        if state.vms[s].call.is_some() || self.spent(state) || duty.asked == 0 {
            return None;
        }
        done(state, s, Write::Renew { over })
    }

    fn intend(&self, state: &State, s: usize, duty: Duty) -> Option<State> {
        let vm = &state.vms[s];
        let lead = vm.notes?.lead;
        let ordered = duty.intent.is_some();
        if vm.call.is_some() || ordered || self.spent(state) || lead.epoch > self.scope.changes {
            return None;
        }
        let write = Write::Intend {
            duty: duty.version,
            lead: lead.version,
        };
        let enough = !self.kept(Safeguard::RowsAfterIntent);
        state.rows.allow(write).then(|| {
            with(state, s, |vm| {
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
        let mut next = with(state, s, |vm| vm.call = None);
        if !next.rows.apply(write) {
            next.vms[s].duty = None;
            return Some(next);
        }
        let intent = Intent {
            age: match self.kept(Safeguard::WaitFromAnswer) {
                true => 0,
                false => age,
            },
            lead: next.rows.lead.version,
            members: duty.before,
            confirmed: 0,
            ordered: None,
            done: false,
        };
        let asked = match self.kept(Safeguard::RenewalAsked) {
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

    fn tell(&self, state: &State, s: usize, v: usize) -> Option<State> {
        let notes = state.vms[s].notes?;
        let shown = notes.shows & (1 << v) != 0 || !self.kept(Safeguard::RowInNews);
        let known = state.vms[v].notes;
        let new = known.is_none_or(|known| known.lead != notes.lead || known.age > notes.age);
        if v == s || !shown || !new || state.vms[v].news.is_some() {
            return None;
        }
        let news = News {
            lead: notes.lead,
            age: notes.age,
        };
        let mut next = with(state, v, |vm| vm.news = Some(news));
        let duty = next.vms[s].duty.as_mut();
        if let Some(spoke) = duty.and_then(|duty| duty.spoke.as_mut()) {
            spoke[v] = 0;
        }
        Some(next)
    }

    fn drop_epoch(&self, state: &State, s: usize, duty: Duty, v: usize) -> Option<State> {
        let intent = duty.intent?;
        let epoch = state.vms[s].notes?.lead.epoch;
        let mut next = state.clone();
        if self.kept(Safeguard::DropConfirmed) {
            let vm = &mut next.vms[v];
            let forgotten = vm.notes.is_none() && !self.kept(Safeguard::DropBeforeReading);
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
        let over = state.rows.versions[v];
        let marked = state.rows.members[v].is_none_or(|row| row.evicted);
        if v == s || marked || !next.rows.apply(Write::Evict { vm: v as u8, over }) {
            return None;
        }
        let mut duty = duty;
        duty.evicted[v] = Some(Evicted {
            age: if self.kept(Safeguard::EvictionWaits) {
                0
            } else {
                LEASE
            },
            version: next.rows.versions[v],
        });
        next.vms[s].duty = Some(duty);
        Some(next)
    }

    fn remove(&self, state: &State, s: usize, duty: Duty, v: usize) -> Option<State> {
        let evicted = duty.evicted[v].filter(|evicted| evicted.age >= LEASE)?;
        let compared = self.kept(Safeguard::RemoveCompared);
        let write = Write::Remove {
            vm: v as u8,
            over: compared.then_some(evicted.version),
        };
        let mut next = with(state, s, |vm| {
            if let Some(duty) = &mut vm.duty {
                duty.evicted[v] = None;
            }
        });
        give_up(&mut next, write).then_some(next)
    }

    fn order(&self, state: &State, s: usize, duty: Duty) -> Option<(u8, State)> {
        let intent = duty.intent.filter(|intent| !intent.done)?;
        let lapsed = |v: usize| match (self.out, duty.spoke) {
            (Some(Safeguard::WaitOut), _) => true,
            (_, Some(spoke)) => spoke[v] >= LEASE,
            (_, None) => intent.age >= LEASE,
        };
        let renewed = duty.asked < DUTY || !self.kept(Safeguard::RenewBeforeOrder);
        if !renewed || !duty.all_dropped(&intent, lapsed) {
            return None;
        }
        let primary = state.vms[s].notes?.lead.primary;
        let database = intent.ordered.unwrap_or_else(|| choice(s, primary));
        let order = Order {
            vm: s as u8,
            life: state.vms[s].life,
            token: duty.token,
            database,
            age: match self.kept(Safeguard::RenewBeforeOrder) {
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

    fn named(&self, state: &State, s: usize, duty: Duty) -> Option<Write> {
        let intent = duty.intent.filter(|intent| intent.done)?;
        let row = LeadRow {
            epoch: state.vms[s].notes?.lead.epoch + 1,
            primary: intent.ordered?,
            changing: false,
            version: 0,
        };
        let under = self.kept(Safeguard::PublishUnderDuty);
        Some(Write::Publish {
            row,
            lead: intent.lead,
            duty: under.then_some(duty.version),
        })
    }

    fn publish(&self, state: &State, s: usize, duty: Duty) -> Option<State> {
        let write = self.named(state, s, duty)?;
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

    fn publish_unheard(&self, state: &State, s: usize, duty: Duty) -> Option<State> {
        let write = self.named(state, s, duty)?;
        let mut next = state.clone();
        give_up(&mut next, write).then_some(next)
    }

    fn hand_over(&self, state: &State, s: usize, duty: Duty, c: usize) -> Option<State> {
        let under_way = state.orders.iter().any(|order| usize::from(order.vm) == s);
        let busy = under_way || state.vms[s].call.is_some();
        if busy || state.vms[c].offer.is_some() || duty.token >= self.scope.tokens {
            return None;
        }
        let mut next = with(state, c, |vm| vm.offer = Some((duty.version, duty.token)));
        if self.kept(Safeguard::OfferEnds) {
            next.vms[s].duty = Some(Duty {
                asked: LEASE,
                ..duty
            });
        }
        Some(next)
    }

    pub(super) fn hear_offer(&self, state: &State, c: usize) -> Option<State> {
        let (version, token) = state.vms[c].offer?;
        let row = state.rows.duty;
        let version = match self.kept(Safeguard::OfferCompared) {
            true => version,
            false if row.token == token => row.version,
            false => version,
        };
        let watch = Watch {
            version,
            token,
            age: LEASE,
        };
        Some(with(state, c, |vm| {
            vm.offer = None;
            if vm.duty.is_none() {
                vm.watch = Some(watch);
            }
        }))
    }
}

/// Which database a steward chooses: two stewards choose differently where they can.
fn choice(s: usize, primary: u8) -> u8 {
    let first = s as u8 + 1;
    match first == primary {
        true => DATABASES.len() as u8 - first,
        false => first,
    }
}

/// A write of the duty's row that is done at once, and whose answer is on its way.
fn done(state: &State, s: usize, write: Write) -> Option<State> {
    let mut next = state.clone();
    next.rows.apply(write).then_some(())?;
    next.vms[s].call = Some(Call::Done { write, age: 0 });
    Some(next)
}
