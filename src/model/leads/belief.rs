//! What one VM believes of who leads, by the real book, and what it does with that.

use super::store::{Age, LeadRow, MemberRow, Rows, Write};
use super::vm::{Call, News, Notes, Vm};
use super::{CANDIDATES, LEASE, REPLACED, Safeguard, Spec, State, VMS, give_up, with};
use crate::clock::{Span, Time};
use crate::direct::lead::{self, Lead, Leases};

const TICK: Span = Span(lead::TERM.0 / LEASE as u64);
/// A moment late enough that every age below it is a valid time.
const NOW: Time = Time(2 * lead::LEASE.0);

impl Spec {
    /// What the VM's real book would hold.
    fn book(&self, vm: &Vm) -> Leases {
        let mut book = Leases::default();
        // A VM that has read nothing was told to drop before it learns.
        if vm.notes.is_none() {
            book.drop_epoch(&self.group, vm.dropped.into());
        }
        if let Some(notes) = vm.notes {
            book.learn(&self.group, self.lead(notes.lead), asked(notes.age));
            book.drop_epoch(&self.group, vm.dropped.into());
        }
        book
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

    /// The epoch and primary that the VM holds a lease on.
    pub(super) fn lease(&self, vm: &Vm) -> Option<(u8, u8)> {
        self.book(vm).lease(&self.group, NOW)?;
        let lead = vm.notes?.lead;
        Some((lead.epoch, lead.primary))
    }

    /// The primary for which what has begun may still be acknowledged.
    pub(super) fn holds(&self, vm: &Vm) -> Option<u8> {
        let lead = vm.notes?.lead;
        let holds = self.book(vm).holds(&self.group, lead.epoch.into(), NOW);
        (holds && vm.began == lead.epoch).then_some(lead.primary)
    }

    /// What the VM knows after it has learned of `lead`, from a reading that old.
    pub(super) fn learn(&self, vm: &mut Vm, lead: LeadRow, age: Age, shows: u8) {
        self.note(vm, lead, age, shows);
        if let Some((epoch, _)) = self.lease(vm) {
            vm.began = epoch;
        }
    }

    fn note(&self, vm: &mut Vm, lead: LeadRow, age: Age, shows: u8) {
        let (mut book, read) = (self.book(vm), asked(age));
        book.learn(&self.group, self.lead(lead), read);
        if vm.notes.is_none() && book.lease(&self.group, NOW).is_some() {
            // The real book has not kept a drop that came before the first reading.
            vm.dropped = 0;
        }
        let Some((known, at)) = book.known(&self.group) else {
            return;
        };
        let age = (NOW.since(at).0 / TICK.0) as Age;
        let taken = *known == self.lead(lead) || !self.kept(Safeguard::NeverBack);
        let notes = vm.notes.get_or_insert(Notes { lead, age, shows });
        if taken {
            notes.lead = lead;
            notes.shows = if at == read { shows } else { 0 };
            notes.age = age;
        }
    }

    pub(super) fn read(&self, state: &State, v: usize) -> Option<State> {
        let rows = state.rows;
        if state.vms[v].call.is_some() || state.vms[v].knows(v, &rows) {
            return None;
        }
        Some(with(state, v, |vm| {
            vm.call = Some(Call::Read { rows, age: 0 })
        }))
    }

    pub(super) fn hear(&self, state: &State, v: usize) -> Option<State> {
        match state.vms[v].call? {
            Call::Read { rows, age } => Some(self.hear_rows(state, v, &rows, age)),
            Call::Done { write, age } => Some(self.hear_duty(state, v, write, age)),
            Call::Sent { .. } => None,
        }
    }

    fn hear_rows(&self, state: &State, v: usize, rows: &Rows, age: Age) -> State {
        let shows = shown(rows, &state.vms);
        with(state, v, |vm| {
            vm.call = None;
            if !self.kept(Safeguard::RowInReading) || shows & (1 << v) != 0 {
                self.learn(vm, rows.lead, age, shows);
            }
            if v < CANDIDATES {
                self.resume(vm, v, rows);
            }
        })
    }

    pub(super) fn give_up(&self, state: &State, v: usize) -> Option<State> {
        match state.vms[v].call? {
            Call::Read { .. } => None,
            Call::Done { .. } if self.scope.late == 0 => None,
            Call::Done { .. } => Some(with(state, v, |vm| vm.call = None)),
            Call::Sent { write, .. } => {
                let mut next = with(state, v, |vm| vm.call = None);
                give_up(&mut next, write).then_some(next)
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

    pub(super) fn hear_news(&self, state: &State, v: usize) -> Option<State> {
        let News { lead, age } = state.vms[v].news?;
        Some(with(state, v, |vm| {
            vm.news = None;
            self.learn(vm, lead, age, 0);
        }))
    }

    pub(super) fn restart(&self, state: &State, v: usize) -> Option<State> {
        let mut next = state.clone();
        next.restarts = state.restarts.checked_sub(1)?;
        if let Some(Call::Sent { write, .. }) = state.vms[v].call {
            // What was on its way may be done, if the scope has room for it.
            give_up(&mut next, write);
        }
        next.vms[v] = Vm {
            life: state.vms[v].life + 1,
            ..Vm::default()
        };
        for notes in next.vms.iter_mut().filter_map(|vm| vm.notes.as_mut()) {
            notes.shows &= !(1 << v);
        }
        if self.kept(Safeguard::EndResets) {
            next.orders.retain(|order| usize::from(order.vm) != v);
        }
        Some(next)
    }

    pub(super) fn stop_and_start(&self, state: &State, v: usize) -> Option<State> {
        state.rows.members[v]?;
        let mut next = self.restart(state, v)?;
        let compared = self.kept(Safeguard::RemoveCompared);
        let over = compared.then_some(state.rows.versions[v]);
        give_up(&mut next, Write::Remove { vm: v as u8, over }).then_some(next)
    }

    pub(super) fn send(&self, state: &State, v: usize) -> Option<State> {
        if self.kept(Safeguard::CheckAfter) || state.vms[v].work.is_some() {
            return None;
        }
        let (_, primary) = self.lease(&state.vms[v])?;
        Some(with(state, v, |vm| vm.work = Some(primary)))
    }

    /// Only what breaks a property is a step: all else changes nothing.
    pub(super) fn acknowledge(&self, state: &State, v: usize) -> Option<(u8, State)> {
        let vm = &state.vms[v];
        let held = || self.holds(vm);
        let replaced = |d: &u8| *d != state.leader;
        // Cheap things first: the book is asked only where its answer matters.
        let known = vm.notes.map(|notes| notes.lead.primary).filter(replaced);
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

/// The VMs whose present lives the rows show, one bit each.
fn shown(rows: &Rows, vms: &[Vm; VMS]) -> u8 {
    let mut shows = 0;
    for (v, row) in rows.members.iter().enumerate() {
        let is = row.is_some_and(|row| row.life == vms[v].life && !row.evicted);
        shows |= u8::from(is) << v;
    }
    shows
}
