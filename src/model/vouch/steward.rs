//! The steward's steps, with the production wait for leases to expire.

use super::lease::ago;
use super::vm::{Age, Duty, Intent, Rows, Vm, Wait, Write};
use super::{
    Event, LEASE_TICKS, NOW, Safeguard, Spec, State, TERM_TICKS, TICK, VMS, abandon, with_vm,
};
use crate::clock::{Span, Time};
use crate::direct::control::revocation::{Revocation, lapsed_at};
use crate::direct::control::rows::MemberId;
use crate::direct::lead::{self, MAX_SILENT};
use std::net::{IpAddr, Ipv4Addr};

/// The margin for clock drift. The steward's clock is assumed to be ahead by all of it.
fn margin() -> Span {
    lapsed_at(NOW).since(NOW + lead::LEASE)
}

impl Spec {
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
        add(Event::Intend(s), self.intend(state, s, duty));
        for v in 0..self.scope.vms {
            add(Event::Drop(s, v), self.drop_epoch(state, s, duty, v));
            add(Event::Lapse(s, v), self.lapse(state, s, duty, v));
            for abandoned in [false, true] {
                let evicted = self.evict(state, s, v, abandoned);
                add(Event::Evict(s, v, abandoned), evicted);
                let removed = self.remove(state, s, duty, v, abandoned);
                add(Event::Remove(s, v, abandoned), removed);
            }
        }
        add(Event::Order(s), self.order(state, s, duty));
        add(Event::Publish(s), self.publish(state, s, duty));
    }

    /// Returns whether a reading could change this VM's state as steward.
    pub(super) fn steward_reads(&self, state: &State, s: usize) -> bool {
        let (rows, Some(duty)) = (&state.rows, state.vms[s].duty) else {
            return false;
        };
        let wait = duty.intent.is_some_and(|intent| intent.wait.is_none());
        let begun = duty.intent.is_some();
        let marked = |v: usize| rows.members[v].is_some_and(|row| row.evicted);
        let unrecorded = |v: usize| marked(v) != duty.evicted_rows[v].is_some();
        let members = (0..self.scope.vms).any(unrecorded);
        wait || (rows.lead.changing && !begun) || rows.token != duty.token || members
    }

    /// Updates the steward's duty from a reading.
    pub(super) fn receive_as_steward(&self, vm: &mut Vm, rows: &Rows) {
        let Some(mut duty) = vm.duty else { return };
        if rows.token > duty.token {
            vm.duty = None;
            return;
        }
        for (v, seen) in duty.evicted_rows.iter_mut().enumerate() {
            let version = rows.versions[v];
            let marked = rows.members[v].is_some_and(|row| row.evicted);
            let same = seen.filter(|(known, _)| *known == version);
            *seen = same.or(Some((version, 0))).filter(|_| marked);
        }
        match duty.intent {
            None if rows.lead.changing => {
                duty.intent = Some(Intent::new(rows.lead.epoch));
                if !self.enforces(Safeguard::WaitAgain) {
                    self.start_wait(&mut duty, rows);
                    let wait = duty.intent.as_mut().and_then(|i| i.wait.as_mut());
                    wait.into_iter()
                        .for_each(|wait| wait.since = [LEASE_TICKS; VMS]);
                }
            }
            Some(Intent { wait: None, .. }) => {
                let after = rows.lead.changing || !self.enforces(Safeguard::RowsAfterIntent);
                if after {
                    self.start_wait(&mut duty, rows);
                }
            }
            _ => {}
        }
        vm.duty = Some(duty);
    }

    /// Starts to wait for all VMs whose rows a reading shows that has just arrived.
    pub(super) fn start_wait(&self, duty: &mut Duty, rows: &Rows) {
        let Some(intent) = &mut duty.intent else {
            return;
        };
        let mut since = [intent.age; VMS];
        let mut pending = 0_u8;
        for (v, row) in rows.members.iter().enumerate() {
            let Some(row) = row else { continue };
            let all = self.enforces(Safeguard::FewLeft) || pending.count_ones() < MAX_SILENT as u32;
            pending |= u8::from(all) << v;
            let marked = duty.evicted_rows[v].filter(|_| row.evicted);
            since[v] = marked.map_or(intent.age, |(_, age)| age.max(intent.age));
        }
        let read = match self.enforces(Safeguard::FewFromReading) {
            true => 0,
            false => intent.age,
        };
        let wait = Wait {
            pending,
            since,
            few_since: None,
        };
        let revocation = revocation(&wait, ago(read));
        intent.wait = Some(record(wait, &revocation));
    }

    fn take_over(&self, state: &State, s: usize) -> Option<State> {
        let vm = &state.vms[s];
        let token = state.rows.token + 1;
        let allowed =
            vm.duty.is_none() && !vm.stopped && usize::from(token) <= self.scope.candidates;
        let mut next = with_vm(state, s, |vm| vm.duty = Some(Duty::new(token)));
        next.rows.token = token;
        allowed.then_some(next)
    }

    fn holds(&self, state: &State, duty: &Duty) -> bool {
        duty.token == state.rows.token
    }

    fn intend(&self, state: &State, s: usize, duty: Duty) -> Option<State> {
        let lead = state.rows.lead;
        let known = state.vms[s]
            .reading
            .is_some_and(|reading| reading.lead == lead);
        let allowed = known && duty.intent.is_none() && !lead.changing;
        if !allowed || !self.holds(state, &duty) || lead.epoch > self.scope.changes {
            return None;
        }
        let mut next = state.clone();
        next.rows.lead.changing = true;
        let intent = Some(Intent::new(lead.epoch));
        next.vms[s].duty = Some(Duty { intent, ..duty });
        Some(next)
    }

    fn drop_epoch(&self, state: &State, s: usize, duty: Duty, v: usize) -> Option<State> {
        let mut next = self.stop_waiting(state, s, duty, v)?;
        let epoch = duty.intent?.epoch;
        let vm = &mut next.vms[v];
        vm.dropped = vm.dropped.max(epoch);
        Some(next)
    }

    fn lapse(&self, state: &State, s: usize, duty: Duty, v: usize) -> Option<State> {
        let wait = duty.intent?.wait?;
        let until = revocation(&wait, NOW).until(&member(v))?;
        (until <= NOW).then(|| self.stop_waiting(state, s, duty, v))?
    }

    fn stop_waiting(&self, state: &State, s: usize, mut duty: Duty, v: usize) -> Option<State> {
        let intent = duty.intent.as_mut().filter(|intent| !intent.ordered)?;
        let wait = intent.wait.filter(|wait| wait.pending & (1 << v) != 0)?;
        let mut revocation = revocation(&wait, ago(wait.few_since.unwrap_or_default()));
        revocation.done(&member(v), NOW);
        let pending = wait.pending & !(1 << v);
        intent.wait = Some(record(Wait { pending, ..wait }, &revocation));
        Some(with_vm(state, s, |vm| vm.duty = Some(duty)))
    }

    fn evict(&self, state: &State, s: usize, v: usize, abandoned: bool) -> Option<State> {
        let mut next = state.clone();
        next.evictions = state.evictions.checked_sub(1)?;
        let row = state.rows.members[v].filter(|row| !row.evicted && v != s);
        let expected = state.rows.versions[v];
        let write = Write::Evict {
            vm: v as u8,
            expected,
        };
        row?;
        if abandoned {
            return abandon(&next, write);
        }
        next.rows.apply(write);
        Some(next)
    }

    fn remove(
        &self,
        state: &State,
        s: usize,
        duty: Duty,
        v: usize,
        abandoned: bool,
    ) -> Option<State> {
        let waits = self.enforces(Safeguard::EvictionWaits);
        let (version, age) = duty.evicted_rows[v]?;
        let expected = self.enforces(Safeguard::RemoveCompared).then_some(version);
        let write = Write::Remove {
            vm: v as u8,
            expected,
        };
        if waits && lapsed_at(ago(age)) > NOW {
            return None;
        }
        let mut next = with_vm(state, s, |vm| {
            if let Some(duty) = &mut vm.duty {
                duty.evicted_rows[v] = None;
            }
        });
        if abandoned {
            return abandon(&next, write);
        }
        next.rows.apply(write);
        Some(next)
    }

    fn order(&self, state: &State, s: usize, duty: Duty) -> Option<State> {
        let intent = duty.intent.filter(|intent| !intent.ordered)?;
        let wait = intent.wait?;
        let end = revocation(&wait, ago(wait.few_since.unwrap_or_default())).end();
        let expired = end.is_none_or(|end| end <= NOW + margin());
        let current = state.rows.lead.changing && state.rows.lead.epoch == intent.epoch;
        if !expired || !current || !self.holds(state, &duty) {
            return None;
        }
        let ordered = Intent {
            ordered: true,
            wait: None,
            ..intent
        };
        let intent = Some(ordered);
        let duty = Duty { intent, ..duty };
        let mut next = with_vm(state, s, |vm| vm.duty = Some(duty));
        next.leader = state.leader.max(ordered.epoch + 1);
        Some(next)
    }

    fn publish(&self, state: &State, s: usize, duty: Duty) -> Option<State> {
        let intent = duty.intent.filter(|intent| intent.ordered)?;
        let last = intent.epoch >= self.scope.changes;
        if last || !self.holds(state, &duty) {
            return None;
        }
        let finished = Duty {
            intent: None,
            ..duty
        };
        let mut next = with_vm(state, s, |vm| vm.duty = Some(finished));
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

/// Rebuilds the production wait for the pending VMs, the last few pending since `few_since`.
fn revocation(wait: &Wait, few_since: Time) -> Revocation {
    let left = (0..VMS).filter(|v| wait.pending & (1 << v) != 0);
    let left = left.map(|v| (member(v), ago(wait.since[v])));
    Revocation::new(left, few_since)
}

/// Records the state of the production wait: since when few VMs are pending, if that ends it first.
fn record(wait: Wait, revocation: &Revocation) -> Wait {
    let mut since = [0; VMS];
    for (v, age) in since.iter_mut().enumerate() {
        *age = wait.since[v] * (wait.pending >> v & 1);
    }
    let last = revocation
        .pending()
        .filter_map(|id| revocation.until(id))
        .max();
    let short = revocation.end().filter(|end| Some(*end) < last);
    let few_since = short.map(|end| {
        let began = end - lead::TERM - margin();
        TERM_TICKS.min((NOW.since(began).0 / TICK.0) as Age)
    });
    Wait {
        since,
        few_since,
        ..wait
    }
}
