//! Symmetry reduction over the VMs that are never steward.

use super::vm::Rows;
use super::{Spec, State, VMS};

/// The new index of each VM.
type Permutation = [usize; VMS];

impl Spec {
    /// Returns one representative, with sorted VMs, of the states that differ only by a permutation of
    /// VMs. More than one may remain if two VMs differ only in what others record of them.
    pub(super) fn canonical(&self, state: State) -> State {
        let from = self.scope.candidates.max(self.scope.asker + 1);
        let to = self.scope.vms;
        let key = |v: &usize| {
            (
                state.vms[*v],
                state.rows.members[*v],
                state.rows.versions[*v],
            )
        };
        let mut order = [0, 1, 2, 3, 4];
        if from >= to {
            return state;
        }
        if order[from..to].is_sorted_by_key(key) {
            return state;
        }
        order[from..to].sort_by_key(key);
        let mut permutation = [0; VMS];
        for (index, v) in order.iter().enumerate() {
            permutation[*v] = index;
        }
        permuted(&state, &permutation)
    }
}

fn permuted(state: &State, permutation: &Permutation) -> State {
    let mut next = state.clone();
    for (v, index) in permutation.iter().enumerate() {
        next.vms[*index] = state.vms[v];
    }
    next.rows = permuted_rows(&state.rows, permutation);
    for vm in &mut next.vms {
        if let Some(call) = &mut vm.call {
            call.rows = permuted_rows(&call.rows, permutation);
        }
        if let Some(round) = &mut vm.round {
            round.confirmed = permuted_bits(round.confirmed, permutation);
        }
        let Some(duty) = &mut vm.duty else { continue };
        duty.evicted_rows = permuted_each(&duty.evicted_rows, permutation);
        if let Some(wait) = duty.intent.as_mut().and_then(|i| i.wait.as_mut()) {
            wait.pending = permuted_bits(wait.pending, permutation);
            wait.since = permuted_each(&wait.since, permutation);
        }
    }
    for write in &mut next.late {
        let vm = write.vm();
        *vm = permutation[usize::from(*vm)] as u8;
    }
    next.late.sort_unstable();
    next
}

fn permuted_rows(rows: &Rows, permutation: &Permutation) -> Rows {
    Rows {
        members: permuted_each(&rows.members, permutation),
        versions: permuted_each(&rows.versions, permutation),
        ..*rows
    }
}

fn permuted_each<T: Copy>(each: &[T; VMS], permutation: &Permutation) -> [T; VMS] {
    let mut next = *each;
    for (v, index) in permutation.iter().enumerate() {
        next[*index] = each[v];
    }
    next
}

fn permuted_bits(bits: u8, permutation: &Permutation) -> u8 {
    let each = permutation.iter().enumerate();
    each.fold(0, |next, (v, index)| next | (bits >> v & 1) << index)
}
