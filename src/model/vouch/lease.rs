//! One VM's view of who leads and what it confirms to others, held by the production `direct::lead`.

use super::vm::{Age, Call, LeadRow, Reading, Round, Vm};
use super::{LEASE_TICKS, NOW, Safeguard, Spec, State, TERM_TICKS, TICK, VMS, with_vm};
use crate::clock::{Span, Time};
use crate::direct::lead::{self, Lead, Leases, QUORUM};

/// For each VM, the epoch that it confirms when asked.
pub(super) type Epochs = [Option<u8>; VMS];

/// Returns the time that was `age` ticks before [`NOW`].
pub(super) fn ago(age: Age) -> Time {
    NOW - Span(TICK.0 * u64::from(age))
}

impl Spec {
    fn lead(&self, row: LeadRow) -> Lead {
        Lead {
            epoch: row.epoch.into(),
            primary: self.database.clone(),
            born: None,
            changing: row.changing,
            continues: None,
        }
    }

    /// Rebuilds the VM's production leases.
    fn leases(&self, vm: &Vm) -> Leases {
        let mut leases = Leases::default();
        if let Some(reading) = vm.reading {
            let open = LeadRow {
                changing: false,
                ..reading.lead
            };
            let age = match reading.extended {
                Some(extended) if !self.enforces(Safeguard::LongLease) => extended,
                _ => reading.age,
            };
            leases.learn(&self.group, self.lead(open), ago(age));
            if let Some(extended) = reading.extended {
                leases.extend(&self.group, open.epoch.into(), ago(extended));
            }
            leases.learn(&self.group, self.lead(reading.lead), ago(LEASE_TICKS));
        }
        leases.drop_epoch(&self.group, vm.dropped.into());
        leases
    }

    /// Returns whether work that began under this VM's lease may still be acknowledged. A VM stops
    /// only once its work is complete.
    pub(super) fn may_act(&self, vm: &Vm) -> bool {
        let began = |reading: &Reading| reading.lead.epoch == vm.leased_epoch && !vm.stopped;
        let epoch = vm.reading.filter(began).map(|reading| reading.lead.epoch);
        epoch.is_some_and(|epoch| self.leases(vm).holds(&self.group, epoch.into(), NOW))
    }

    /// Updates the VM with `lead` from a reading of the given age.
    fn learn(&self, vm: &mut Vm, lead: LeadRow, age: Age) {
        let mut leases = self.leases(vm);
        leases.learn(&self.group, self.lead(lead), ago(age));
        let Some((known, asked)) = leases.known(&self.group) else {
            return;
        };
        let longer = leases.until(&self.group) > Some(asked + lead::TERM);
        let extended = vm.reading.and_then(|reading| reading.extended);
        let taken = *known == self.lead(lead);
        let before = vm.reading.map_or(lead, |reading| reading.lead);
        vm.reading = Some(Reading {
            lead: if taken { lead } else { before },
            age: (NOW.since(asked).0 / TICK.0) as Age,
            extended: extended.filter(|_| longer),
        });
        if let Some(lease) = leases.lease(&self.group, NOW) {
            vm.leased_epoch = lease.epoch as u8;
        }
    }

    pub(super) fn read(&self, state: &State, v: usize) -> Option<State> {
        let (vm, rows) = (&state.vms[v], state.rows);
        let own = rows.members[v].is_some_and(|row| row.life == vm.life && !row.evicted);
        let shows = own || !self.enforces(Safeguard::RowInReading);
        let is_new = |reading: Reading| reading.lead != rows.lead || reading.age > 0;
        let learns = self.scope.reads && !vm.stopped && shows && vm.reading.is_none_or(is_new);
        let useful = learns || self.steward_reads(state, v);
        (useful && vm.call.is_none())
            .then(|| with_vm(state, v, |vm| vm.call = Some(Call { rows, age: 0 })))
    }

    pub(super) fn receive(&self, state: &State, v: usize) -> Option<State> {
        let Call { rows, age } = state.vms[v].call?;
        Some(with_vm(state, v, |vm| {
            vm.call = None;
            let own = rows.members[v].is_some_and(|row| row.life == vm.life && !row.evicted);
            let shows = own || !self.enforces(Safeguard::RowInReading);
            let ignores = vm.stopped && self.enforces(Safeguard::Deaf);
            if shows && !ignores {
                self.learn(vm, rows.lead, age);
            }
            self.receive_as_steward(vm, &rows);
        }))
    }

    pub(super) fn stop(&self, state: &State, v: usize) -> Option<State> {
        let mut next = state.clone();
        next.stops = state.stops.checked_sub(1)?;
        let vm = &mut next.vms[v];
        if vm.stopped {
            return None;
        }
        (vm.stopped, vm.duty, vm.round) = (true, None, None);
        if self.enforces(Safeguard::DropFirst) {
            let mut leases = self.leases(vm);
            leases.drop_all();
            let all = vm.reading.map_or(0, |reading| reading.lead.epoch);
            let held = leases.holds(&self.group, all.into(), NOW);
            vm.dropped = if held {
                vm.dropped
            } else {
                vm.dropped.max(all)
            };
        }
        Some(next)
    }

    /// Returns the epoch that each VM confirms when asked.
    pub(super) fn confirmable(&self, state: &State) -> Epochs {
        let mut confirmable = [None; VMS];
        for (epoch, vm) in confirmable.iter_mut().zip(&state.vms) {
            *epoch = self.confirmable_epoch(vm);
        }
        confirmable
    }

    /// The asker asks the others and receives the first confirmation. Production asks once a reading is
    /// 1.7 s old; here any reading from 1.25 s on allows it.
    pub(super) fn ask_peers(&self, state: &State, u: usize, confirmable: &Epochs) -> Option<State> {
        let v = self.scope.asker;
        let vm = &state.vms[v];
        let reading = vm.reading.filter(|reading| reading.age > 0)?;
        let epoch = reading.lead.epoch;
        let again = vm.round.is_some_and(|round| round.age == 0);
        let newest = reading.extended == Some(0);
        let wants = confirmable[v] == Some(epoch) || !self.enforces(Safeguard::LongLease);
        if !wants || again || newest || vm.stopped {
            return None;
        }
        let round = Round {
            epoch,
            age: 0,
            confirmed: 1 << v,
        };
        self.add_confirmation(state, round, u, confirmable)
    }

    /// The asker receives another VM's confirmation. The one that completes a quorum extends the lease;
    /// a later extension would make it no longer.
    pub(super) fn confirm(&self, state: &State, u: usize, confirmable: &Epochs) -> Option<State> {
        let round = state.vms[self.scope.asker].round?;
        self.add_confirmation(state, round, u, confirmable)
    }

    fn add_confirmation(
        &self,
        state: &State,
        round: Round,
        u: usize,
        confirmable: &Epochs,
    ) -> Option<State> {
        let known = round.confirmed & (1 << u) != 0;
        if known || confirmable[u] != Some(round.epoch) {
            return None;
        }
        let round = Round {
            confirmed: round.confirmed | 1 << u,
            ..round
        };
        let quorum = match self.enforces(Safeguard::Quorum) {
            true => QUORUM,
            false => QUORUM - 1,
        };
        let enough = round.confirmed.count_ones() as usize >= quorum;
        Some(with_vm(state, self.scope.asker, |vm| match enough {
            true => self.extend(vm, round),
            false => vm.round = Some(round),
        }))
    }

    fn extend(&self, vm: &mut Vm, round: Round) {
        vm.round = None;
        let age = match self.enforces(Safeguard::WordAsked) {
            true => round.age,
            false => 0,
        };
        let mut leases = self.leases(vm);
        let longer = leases.extend(&self.group, round.epoch.into(), ago(age));
        if let Some(reading) = &mut vm.reading {
            let newer = reading.extended.is_none_or(|known| age < known);
            // An extension that the long lease caps is kept too: a newer reading lengthens the long lease.
            let capped = reading.extended.is_some() && !reading.lead.changing;
            let same = reading.lead.epoch == round.epoch;
            if longer || (capped && newer && same) {
                reading.extended = Some(age);
            }
        }
    }

    fn confirmable_epoch(&self, vm: &Vm) -> Option<u8> {
        let mut vm = *vm;
        let reading = vm.reading.as_mut()?;
        if !self.enforces(Safeguard::WordYoung) {
            reading.age = reading.age.min(TERM_TICKS);
        }
        let epoch = reading.lead.epoch;
        if !self.enforces(Safeguard::WordOpen) {
            vm.dropped = 0;
        }
        let lease = (self.group.clone(), epoch.into());
        let extendable = self.leases(&vm).extendable(NOW);
        extendable.contains(&lease).then_some(epoch)
    }
}
