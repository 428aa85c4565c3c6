//! One VM's view of who leads, held by the production `direct::lead`, and what it does with it.

use super::store::{Age, LeadRow, MemberRow, Rows, Write};
use super::vm::{Call, Reading, Update, Vm};
use super::{CANDIDATES, LEASE_TICKS, REPLACED, Safeguard, Spec, State, VMS, abandon, with_vm};
use crate::clock::{Span, Time};
use crate::direct::lead::{self, Lead, Leases};

const TICK: Span = Span(lead::TERM.0 / LEASE_TICKS as u64);
/// Late enough that subtracting any age gives a valid time.
const NOW: Time = Time(2 * lead::LEASE.0);

impl Spec {
    /// Rebuilds the VM's production leases.
    fn leases(&self, vm: &Vm) -> Leases {
        let mut leases = Leases::default();
        // A VM that has read nothing receives the drop before its first reading.
        if vm.reading.is_none() {
            leases.drop_epoch(&self.group, vm.dropped.into());
        }
        if let Some(reading) = vm.reading {
            leases.learn(&self.group, self.lead(reading.lead), asked(reading.age));
            leases.drop_epoch(&self.group, vm.dropped.into());
        }
        leases
    }

    fn lead(&self, row: LeadRow) -> Lead {
        Lead {
            epoch: row.epoch.into(),
            primary: self.databases[usize::from(row.primary)].clone(),
            born: None,
            changing: row.changing,
            continues: None,
        }
    }

    /// Returns the epoch and primary on which the VM holds a lease.
    pub(super) fn lease(&self, vm: &Vm) -> Option<(u8, u8)> {
        self.leases(vm).lease(&self.group, NOW)?;
        let lead = vm.reading?.lead;
        Some((lead.epoch, lead.primary))
    }

    /// Returns the primary whose running work may still be acknowledged.
    pub(super) fn holds(&self, vm: &Vm) -> Option<u8> {
        let lead = vm.reading?.lead;
        let holds = self.leases(vm).holds(&self.group, lead.epoch.into(), NOW);
        (holds && vm.leased_epoch == lead.epoch).then_some(lead.primary)
    }

    /// Updates the VM with `lead` from a reading of the given age.
    pub(super) fn learn(&self, vm: &mut Vm, lead: LeadRow, age: Age, shows: u8) {
        self.note(vm, lead, age, shows);
        if let Some((epoch, _)) = self.lease(vm) {
            vm.leased_epoch = epoch;
        }
    }

    fn note(&self, vm: &mut Vm, lead: LeadRow, age: Age, shows: u8) {
        let (mut leases, read) = (self.leases(vm), asked(age));
        leases.learn(&self.group, self.lead(lead), read);
        if vm.reading.is_none() && leases.lease(&self.group, NOW).is_some() {
            // The production leases have not kept a drop from before the first reading.
            vm.dropped = 0;
        }
        let Some((known, at)) = leases.known(&self.group) else {
            return;
        };
        let age = (NOW.since(at).0 / TICK.0) as Age;
        let taken = *known == self.lead(lead) || !self.enforces(Safeguard::NeverBack);
        let reading = vm.reading.get_or_insert(Reading { lead, age, shows });
        if taken {
            reading.lead = lead;
            reading.shows = if at == read { shows } else { 0 };
            reading.age = age;
        }
    }

    pub(super) fn read(&self, state: &State, v: usize) -> Option<State> {
        let rows = state.rows;
        if state.vms[v].call.is_some() || state.vms[v].is_up_to_date(v, &rows) {
            return None;
        }
        Some(with_vm(state, v, |vm| {
            vm.call = Some(Call::Read { rows, age: 0 })
        }))
    }

    pub(super) fn receive(&self, state: &State, v: usize) -> Option<State> {
        match state.vms[v].call? {
            Call::Read { rows, age } => Some(self.receive_rows(state, v, &rows, age)),
            Call::Applied { write, age } => Some(self.receive_duty_answer(state, v, write, age)),
            Call::Sent { .. } => None,
        }
    }

    fn receive_rows(&self, state: &State, v: usize, rows: &Rows, age: Age) -> State {
        let shows = shown(rows, &state.vms);
        with_vm(state, v, |vm| {
            vm.call = None;
            if !self.enforces(Safeguard::RowInReading) || shows & (1 << v) != 0 {
                self.learn(vm, rows.lead, age, shows);
            }
            if v < CANDIDATES {
                self.resume(vm, v, rows);
            }
        })
    }

    pub(super) fn abandon(&self, state: &State, v: usize) -> Option<State> {
        match state.vms[v].call? {
            Call::Read { .. } => None,
            Call::Applied { .. } if self.scope.late == 0 => None,
            Call::Applied { .. } => Some(with_vm(state, v, |vm| vm.call = None)),
            Call::Sent { write, .. } => {
                let mut next = with_vm(state, v, |vm| vm.call = None);
                abandon(&mut next, write).then_some(next)
            }
        }
    }

    pub(super) fn register(&self, state: &State, v: usize) -> Option<State> {
        let row = MemberRow {
            life: state.vms[v].life,
            evicted: false,
        };
        if state.rows.members[v] == Some(row) {
            return None;
        }
        let mut next = state.clone();
        let (vm, life) = (v as u8, row.life);
        next.rows.apply(Write::Register { vm, life });
        Some(next)
    }

    pub(super) fn receive_update(&self, state: &State, v: usize) -> Option<State> {
        let Update { lead, age } = state.vms[v].update?;
        Some(with_vm(state, v, |vm| {
            vm.update = None;
            self.learn(vm, lead, age, 0);
        }))
    }

    pub(super) fn restart(&self, state: &State, v: usize) -> Option<State> {
        let mut next = state.clone();
        next.restarts = state.restarts.checked_sub(1)?;
        if let Some(Call::Sent { write, .. }) = state.vms[v].call {
            // A write in flight may still be applied, unless the scope's maximum is reached.
            abandon(&mut next, write);
        }
        next.vms[v] = Vm {
            life: state.vms[v].life + 1,
            ..Vm::default()
        };
        for reading in next.vms.iter_mut().filter_map(|vm| vm.reading.as_mut()) {
            reading.shows &= !(1 << v);
        }
        if self.enforces(Safeguard::EndResets) {
            next.orders.retain(|order| usize::from(order.vm) != v);
        }
        Some(next)
    }

    pub(super) fn stop_and_start(&self, state: &State, v: usize) -> Option<State> {
        state.rows.members[v]?;
        let mut next = self.restart(state, v)?;
        let compared = self.enforces(Safeguard::RemoveCompared);
        let expected = compared.then_some(state.rows.versions[v]);
        abandon(
            &mut next,
            Write::Remove {
                vm: v as u8,
                expected,
            },
        )
        .then_some(next)
    }

    pub(super) fn send(&self, state: &State, v: usize) -> Option<State> {
        if self.enforces(Safeguard::CheckAfter) || state.vms[v].work.is_some() {
            return None;
        }
        let (_, primary) = self.lease(&state.vms[v])?;
        Some(with_vm(state, v, |vm| vm.work = Some(primary)))
    }

    /// Returns a step only if the acknowledgement breaks a property; others change no state.
    pub(super) fn acknowledge(&self, state: &State, v: usize) -> Option<(u8, State)> {
        let vm = &state.vms[v];
        let held = || self.holds(vm);
        let replaced = |d: &u8| *d != state.leader;
        // Cheap checks first: the leases are rebuilt only if the result depends on them.
        let known = vm
            .reading
            .map(|reading| reading.lead.primary)
            .filter(replaced);
        let primary = vm
            .work
            .filter(replaced)
            .or_else(|| known.and_then(|_| held()))?;
        let mut next = state.clone();
        next.broken = Some(REPLACED);
        Some((primary, next))
    }
}

fn asked(age: Age) -> Time {
    NOW - Span(TICK.0 * u64::from(age))
}

/// Returns the VMs whose current life has a row that is not evicted, one bit each.
fn shown(rows: &Rows, vms: &[Vm; VMS]) -> u8 {
    let mut shows = 0;
    for (v, row) in rows.members.iter().enumerate() {
        let registered = row.is_some_and(|row| row.life == vms[v].life && !row.evicted);
        shows |= u8::from(registered) << v;
    }
    shows
}
