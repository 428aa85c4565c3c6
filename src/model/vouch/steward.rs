//! What the steward does: its wait is the real one.

use super::belief::ago;
use super::vm::{Age, Duty, Intent, Rows, Vm, Waits, Write};
use super::{Event, NOW, OLD, Safeguard, Spec, State, TERM, TICK, VMS, give_up, with};
use crate::clock::{Span, Time};
use crate::direct::control::promotion::{Revocation, lapsed_at};
use crate::direct::control::rows::MemberId;
use crate::direct::lead::{self, MAX_SILENT};
use std::net::{IpAddr, Ipv4Addr};

/// The margin for clocks that run unlike. The steward's is taken to be ahead by all of it.
fn margin() -> Span {
    lapsed_at(NOW).since(NOW + lead::LEASE)
}

impl Spec {
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
        take(Event::Intend(s), self.intend(state, s, duty));
        for v in 0..self.scope.vms {
            take(Event::Drop(s, v), self.drop_epoch(state, s, duty, v));
            take(Event::Lapse(s, v), self.lapse(state, s, duty, v));
            for late in [false, true] {
                let evicted = self.evict(state, s, v, late);
                take(Event::Evict(s, v, late), evicted);
                let removed = self.remove(state, s, duty, v, late);
                take(Event::Remove(s, v, late), removed);
            }
        }
        take(Event::Order(s), self.order(state, s, duty));
        take(Event::Publish(s), self.publish(state, s, duty));
    }

    /// Whether a reading may tell this VM something as the steward.
    pub(super) fn steward_reads(&self, state: &State, s: usize) -> bool {
        let (rows, Some(duty)) = (&state.rows, state.vms[s].duty) else {
            return false;
        };
        let waits = duty.intent.is_some_and(|intent| intent.waits.is_none());
        let begun = duty.intent.is_some();
        let marked = |v: usize| rows.members[v].is_some_and(|row| row.evicted);
        let unseen = |v: usize| marked(v) != duty.seen[v].is_some();
        let members = (0..self.scope.vms).any(unseen);
        waits || (rows.lead.changing && !begun) || rows.token != duty.token || members
    }

    /// What a reading tells the steward.
    pub(super) fn hear_as_steward(&self, vm: &mut Vm, rows: &Rows) {
        let Some(mut duty) = vm.duty else { return };
        if rows.token > duty.token {
            vm.duty = None;
            return;
        }
        for (v, seen) in duty.seen.iter_mut().enumerate() {
            let version = rows.versions[v];
            let marked = rows.members[v].is_some_and(|row| row.evicted);
            let same = seen.filter(|(known, _)| *known == version);
            *seen = same.or(Some((version, 0))).filter(|_| marked);
        }
        match duty.intent {
            None if rows.lead.changing => {
                duty.intent = Some(Intent::new(rows.lead.epoch));
                if !self.kept(Safeguard::WaitAgain) {
                    self.begin_to_wait(&mut duty, rows);
                    let waits = duty.intent.as_mut().and_then(|i| i.waits.as_mut());
                    waits.into_iter().for_each(|waits| waits.since = [OLD; VMS]);
                }
            }
            Some(Intent { waits: None, .. }) => {
                let after = rows.lead.changing || !self.kept(Safeguard::RowsAfterIntent);
                if after {
                    self.begin_to_wait(&mut duty, rows);
                }
            }
            _ => {}
        }
        vm.duty = Some(duty);
    }

    /// Waits for all whose rows a reading shows that is there now.
    pub(super) fn begin_to_wait(&self, duty: &mut Duty, rows: &Rows) {
        let Some(intent) = &mut duty.intent else {
            return;
        };
        let mut since = [intent.age; VMS];
        let mut rest = 0_u8;
        for (v, row) in rows.members.iter().enumerate() {
            let Some(row) = row else { continue };
            let all = self.kept(Safeguard::FewLeft) || rest.count_ones() < MAX_SILENT as u32;
            rest |= u8::from(all) << v;
            let marked = duty.seen[v].filter(|_| row.evicted);
            since[v] = marked.map_or(intent.age, |(_, age)| age.max(intent.age));
        }
        let read = match self.kept(Safeguard::FewFromReading) {
            true => 0,
            false => intent.age,
        };
        let begun = Waits {
            rest,
            since,
            few: None,
        };
        let drops = drops(&begun, ago(read));
        intent.waits = Some(noted(begun, &drops));
    }

    fn take_over(&self, state: &State, s: usize) -> Option<State> {
        let vm = &state.vms[s];
        let token = state.rows.token + 1;
        let may = vm.duty.is_none() && !vm.stopped && usize::from(token) <= self.scope.candidates;
        let mut next = with(state, s, |vm| vm.duty = Some(Duty::new(token)));
        next.rows.token = token;
        may.then_some(next)
    }

    fn holds(&self, state: &State, duty: &Duty) -> bool {
        duty.token == state.rows.token
    }

    fn intend(&self, state: &State, s: usize, duty: Duty) -> Option<State> {
        let lead = state.rows.lead;
        let known = state.vms[s].notes.is_some_and(|notes| notes.lead == lead);
        let may = known && duty.intent.is_none() && !lead.changing;
        if !may || !self.holds(state, &duty) || lead.epoch > self.scope.changes {
            return None;
        }
        let mut next = state.clone();
        next.rows.lead.changing = true;
        let intent = Some(Intent::new(lead.epoch));
        next.vms[s].duty = Some(Duty { intent, ..duty });
        Some(next)
    }

    fn drop_epoch(&self, state: &State, s: usize, duty: Duty, v: usize) -> Option<State> {
        let mut next = self.done(state, s, duty, v)?;
        let epoch = duty.intent?.epoch;
        let vm = &mut next.vms[v];
        vm.dropped = vm.dropped.max(epoch);
        Some(next)
    }

    fn lapse(&self, state: &State, s: usize, duty: Duty, v: usize) -> Option<State> {
        let waits = duty.intent?.waits?;
        let until = drops(&waits, NOW).until(&member(v))?;
        (until <= NOW).then(|| self.done(state, s, duty, v))?
    }

    fn done(&self, state: &State, s: usize, mut duty: Duty, v: usize) -> Option<State> {
        let intent = duty.intent.as_mut().filter(|intent| !intent.ordered)?;
        let waits = intent.waits.filter(|waits| waits.rest & (1 << v) != 0)?;
        let mut drops = drops(&waits, ago(waits.few.unwrap_or_default()));
        drops.done(&member(v), NOW);
        let rest = waits.rest & !(1 << v);
        intent.waits = Some(noted(Waits { rest, ..waits }, &drops));
        Some(with(state, s, |vm| vm.duty = Some(duty)))
    }

    fn evict(&self, state: &State, s: usize, v: usize, late: bool) -> Option<State> {
        let mut next = state.clone();
        next.evictions = state.evictions.checked_sub(1)?;
        let row = state.rows.members[v].filter(|row| !row.evicted && v != s);
        let over = state.rows.versions[v];
        let write = Write::Evict { vm: v as u8, over };
        row?;
        if late {
            return give_up(&next, write);
        }
        next.rows.apply(write);
        Some(next)
    }

    fn remove(&self, state: &State, s: usize, duty: Duty, v: usize, late: bool) -> Option<State> {
        let waits = self.kept(Safeguard::EvictionWaits);
        let (version, age) = duty.seen[v]?;
        let over = self.kept(Safeguard::RemoveCompared).then_some(version);
        let write = Write::Remove { vm: v as u8, over };
        if waits && lapsed_at(ago(age)) > NOW {
            return None;
        }
        let mut next = with(state, s, |vm| {
            if let Some(duty) = &mut vm.duty {
                duty.seen[v] = None;
            }
        });
        if late {
            return give_up(&next, write);
        }
        next.rows.apply(write);
        Some(next)
    }

    fn order(&self, state: &State, s: usize, duty: Duty) -> Option<State> {
        let intent = duty.intent.filter(|intent| !intent.ordered)?;
        let waits = intent.waits?;
        let end = drops(&waits, ago(waits.few.unwrap_or_default())).end();
        let over = end.is_none_or(|end| end <= NOW + margin());
        let current = state.rows.lead.changing && state.rows.lead.epoch == intent.epoch;
        if !over || !current || !self.holds(state, &duty) {
            return None;
        }
        let ordered = Intent {
            ordered: true,
            waits: None,
            ..intent
        };
        let intent = Some(ordered);
        let duty = Duty { intent, ..duty };
        let mut next = with(state, s, |vm| vm.duty = Some(duty));
        next.leader = state.leader.max(ordered.epoch + 1);
        Some(next)
    }

    fn publish(&self, state: &State, s: usize, duty: Duty) -> Option<State> {
        let intent = duty.intent.filter(|intent| intent.ordered)?;
        let last = intent.epoch >= self.scope.changes;
        if last || !self.holds(state, &duty) {
            return None;
        }
        let over = Duty {
            intent: None,
            ..duty
        };
        let mut next = with(state, s, |vm| vm.duty = Some(over));
        next.rows.lead.epoch = intent.epoch + 1;
        next.rows.lead.changing = false;
        Some(next)
    }
}

fn member(v: usize) -> MemberId {
    let ip = IpAddr::V4(Ipv4Addr::new(10, 0, 0, v as u8));
    // Names of letters and digits are always valid.
    let name = format!("vm{v}").parse();
    name.map_or_else(
        |_| unreachable!("vm{v} is a name"),
        |name| MemberId::new(&name, ip),
    )
}

/// The real wait for those that are left, of which few have been left since `few`.
fn drops(waits: &Waits, few: Time) -> Revocation {
    let left = (0..VMS).filter(|v| waits.rest & (1 << v) != 0);
    let left = left.map(|v| (member(v), ago(waits.since[v])));
    Revocation::new(left, few)
}

/// What there is to remember of the real wait: since when few are left, where that ends it.
fn noted(waits: Waits, drops: &Revocation) -> Waits {
    let mut since = [0; VMS];
    for (v, age) in since.iter_mut().enumerate() {
        *age = waits.since[v] * (waits.rest >> v & 1);
    }
    let last = drops.pending().filter_map(|id| drops.until(id)).max();
    let short = drops.end().filter(|end| Some(*end) < last);
    let few = short.map(|end| {
        let began = end - lead::TERM - margin();
        TERM.min((NOW.since(began).0 / TICK.0) as Age)
    });
    Waits {
        since,
        few,
        ..waits
    }
}
