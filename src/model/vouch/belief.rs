//! What one VM believes of who leads and vouches for, by the real book.

use super::vm::{Age, Call, LeadRow, Notes, Round, Vm};
use super::{NOW, OLD, Safeguard, Spec, State, TERM, TICK, VMS, with};
use crate::clock::{Span, Time};
use crate::direct::lead::{self, Lead, Leases, QUORUM};

/// The epoch that each VM vouches for.
pub(super) type Words = [Option<u8>; VMS];

/// The moment that is so old.
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

    /// What the VM's real book would hold.
    fn book(&self, vm: &Vm) -> Leases {
        let mut book = Leases::default();
        if let Some(notes) = vm.notes {
            let open = LeadRow {
                changing: false,
                ..notes.lead
            };
            let age = match notes.vouched {
                Some(vouched) if !self.kept(Safeguard::LongLease) => vouched,
                _ => notes.age,
            };
            book.learn(&self.group, self.lead(open), ago(age));
            if let Some(vouched) = notes.vouched {
                book.extend(&self.group, open.epoch.into(), ago(vouched));
            }
            book.learn(&self.group, self.lead(notes.lead), ago(OLD));
        }
        book.drop_epoch(&self.group, vm.dropped.into());
        book
    }

    /// Whether something that began under this VM's lease may still be acknowledged. A VM stops
    /// only once its work is over.
    pub(super) fn acts(&self, vm: &Vm) -> bool {
        let began = |notes: &Notes| notes.lead.epoch == vm.began && !vm.stopped;
        let epoch = vm.notes.filter(began).map(|notes| notes.lead.epoch);
        epoch.is_some_and(|epoch| self.book(vm).holds(&self.group, epoch.into(), NOW))
    }

    /// What the VM knows after a reading that old showed `lead`.
    fn learn(&self, vm: &mut Vm, lead: LeadRow, age: Age) {
        let mut book = self.book(vm);
        book.learn(&self.group, self.lead(lead), ago(age));
        let Some((known, asked)) = book.known(&self.group) else {
            return;
        };
        let longer = book.until(&self.group) > Some(asked + lead::TERM);
        let vouched = vm.notes.and_then(|notes| notes.vouched);
        let taken = *known == self.lead(lead);
        let before = vm.notes.map_or(lead, |notes| notes.lead);
        vm.notes = Some(Notes {
            lead: if taken { lead } else { before },
            age: (NOW.since(asked).0 / TICK.0) as Age,
            vouched: vouched.filter(|_| longer),
        });
        if let Some(lease) = book.lease(&self.group, NOW) {
            vm.began = lease.epoch as u8;
        }
    }

    pub(super) fn read(&self, state: &State, v: usize) -> Option<State> {
        let (vm, rows) = (&state.vms[v], state.rows);
        let own = rows.members[v].is_some_and(|row| row.life == vm.life && !row.evicted);
        let shows = own || !self.kept(Safeguard::RowInReading);
        let news = |notes: Notes| notes.lead != rows.lead || notes.age > 0;
        let learns = self.scope.reads && !vm.stopped && shows && vm.notes.is_none_or(news);
        let useful = learns || self.steward_reads(state, v);
        (useful && vm.call.is_none())
            .then(|| with(state, v, |vm| vm.call = Some(Call { rows, age: 0 })))
    }

    pub(super) fn hear(&self, state: &State, v: usize) -> Option<State> {
        let Call { rows, age } = state.vms[v].call?;
        Some(with(state, v, |vm| {
            vm.call = None;
            let own = rows.members[v].is_some_and(|row| row.life == vm.life && !row.evicted);
            let shows = own || !self.kept(Safeguard::RowInReading);
            let deaf = vm.stopped && self.kept(Safeguard::Deaf);
            if shows && !deaf {
                self.learn(vm, rows.lead, age);
            }
            self.hear_as_steward(vm, &rows);
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
        if self.kept(Safeguard::DropFirst) {
            let mut book = self.book(vm);
            book.drop_all();
            let all = vm.notes.map_or(0, |notes| notes.lead.epoch);
            let held = book.holds(&self.group, all.into(), NOW);
            vm.dropped = if held {
                vm.dropped
            } else {
                vm.dropped.max(all)
            };
        }
        Some(next)
    }

    /// The epoch that each VM vouches for.
    pub(super) fn words(&self, state: &State) -> Words {
        let mut words = [None; VMS];
        for (word, vm) in words.iter_mut().zip(&state.vms) {
            *word = self.vouches(vm);
        }
        words
    }

    /// The asker asks the others, and one of them vouches: the first answer that is heard. Others are asked
    /// once a reading is 1.7 s old: here from 1.25 s on.
    pub(super) fn ask(&self, state: &State, u: usize, words: &Words) -> Option<State> {
        let v = self.scope.asker;
        let vm = &state.vms[v];
        let notes = vm.notes.filter(|notes| notes.age > 0)?;
        let epoch = notes.lead.epoch;
        let again = vm.round.is_some_and(|round| round.age == 0);
        let newest = notes.vouched == Some(0);
        let wants = words[v] == Some(epoch) || !self.kept(Safeguard::LongLease);
        if !wants || again || newest || vm.stopped {
            return None;
        }
        let round = Round {
            epoch,
            age: 0,
            stand: 1 << v,
        };
        self.add_word(state, round, u, words)
    }

    /// Another VM is asked and vouches, and the answer is heard. With the last one of a quorum the
    /// lease goes on; that it does so later makes it no longer.
    pub(super) fn word(&self, state: &State, u: usize, words: &Words) -> Option<State> {
        let round = state.vms[self.scope.asker].round?;
        self.add_word(state, round, u, words)
    }

    fn add_word(&self, state: &State, round: Round, u: usize, words: &Words) -> Option<State> {
        let stands = round.stand & (1 << u) != 0;
        if stands || words[u] != Some(round.epoch) {
            return None;
        }
        let round = Round {
            stand: round.stand | 1 << u,
            ..round
        };
        let quorum = match self.kept(Safeguard::Quorum) {
            true => QUORUM,
            false => QUORUM - 1,
        };
        let enough = round.stand.count_ones() as usize >= quorum;
        Some(with(state, self.scope.asker, |vm| match enough {
            true => self.go_on(vm, round),
            false => vm.round = Some(round),
        }))
    }

    fn go_on(&self, vm: &mut Vm, round: Round) {
        vm.round = None;
        let age = match self.kept(Safeguard::WordAsked) {
            true => round.age,
            false => 0,
        };
        let mut book = self.book(vm);
        let longer = book.extend(&self.group, round.epoch.into(), ago(age));
        if let Some(notes) = &mut vm.notes {
            let newer = notes.vouched.is_none_or(|known| age < known);
            // Nor is it lost where the long lease ends first: a newer reading makes that one longer.
            let capped = notes.vouched.is_some() && !notes.lead.changing;
            let same = notes.lead.epoch == round.epoch;
            if longer || (capped && newer && same) {
                notes.vouched = Some(age);
            }
        }
    }

    fn vouches(&self, vm: &Vm) -> Option<u8> {
        let mut vm = *vm;
        let notes = vm.notes.as_mut()?;
        if !self.kept(Safeguard::WordYoung) {
            notes.age = notes.age.min(TERM);
        }
        let epoch = notes.lead.epoch;
        if !self.kept(Safeguard::WordOpen) {
            vm.dropped = 0;
        }
        let word = (self.group.clone(), epoch.into());
        let vouched = self.book(&vm).extendable(NOW);
        vouched.contains(&word).then_some(epoch)
    }
}
