//! States that differ only in which VM is which, among those that are never steward.

use super::vm::Rows;
use super::{Spec, State, VMS};

/// Where each VM goes.
type Places = [usize; VMS];

impl Spec {
    /// One state in place of those that differ only in which VM is which: its VMs are in order. Where
    /// two are alike but for what others hold of them, more than one state may be left.
    pub(super) fn in_order(&self, state: State) -> State {
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
        let mut places = [0; VMS];
        for (place, v) in order.iter().enumerate() {
            places[*v] = place;
        }
        moved(&state, &places)
    }
}

fn moved(state: &State, places: &Places) -> State {
    let mut next = state.clone();
    for (v, place) in places.iter().enumerate() {
        next.vms[*place] = state.vms[v];
    }
    next.rows = moved_rows(&state.rows, places);
    for vm in &mut next.vms {
        if let Some(call) = &mut vm.call {
            call.rows = moved_rows(&call.rows, places);
        }
        if let Some(round) = &mut vm.round {
            round.stand = moved_bits(round.stand, places);
        }
        let Some(duty) = &mut vm.duty else { continue };
        duty.seen = moved_each(&duty.seen, places);
        if let Some(waits) = duty.intent.as_mut().and_then(|i| i.waits.as_mut()) {
            waits.rest = moved_bits(waits.rest, places);
            waits.since = moved_each(&waits.since, places);
        }
    }
    for write in &mut next.late {
        let vm = write.vm();
        *vm = places[usize::from(*vm)] as u8;
    }
    next.late.sort_unstable();
    next
}

fn moved_rows(rows: &Rows, places: &Places) -> Rows {
    Rows {
        members: moved_each(&rows.members, places),
        versions: moved_each(&rows.versions, places),
        ..*rows
    }
}

fn moved_each<T: Copy>(each: &[T; VMS], places: &Places) -> [T; VMS] {
    let mut next = *each;
    for (v, place) in places.iter().enumerate() {
        next[*place] = each[v];
    }
    next
}

fn moved_bits(bits: u8, places: &Places) -> u8 {
    let each = places.iter().enumerate();
    each.fold(0, |next, (v, place)| next | (bits >> v & 1) << place)
}
