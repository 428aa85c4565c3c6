//! What a leading steward does with time: probes, a silent primary, and giving its lead up in
//! an orderly way.

use super::lead::Doubt;
use super::{Phase, Quiet, Steward};
use crate::clock::Time;
use crate::core::message::{Message, Suspect, Suspected, Yield};
use crate::core::world::Turn;
use crate::types::VmId;
use serde::Serialize;
use std::collections::BTreeMap;

/// An orderly end of a lead: on a planned stop another VM takes over, and where only the
/// primary has to go, this VM raises the next term itself.
#[derive(Debug, Serialize)]
pub(crate) struct Handover {
    /// Transactions are waited for until then.
    drain_until: Time,
    /// Nothing starts any more.
    pub frozen: bool,
}

impl Steward {
    pub(super) fn tick_lead(&mut self, turn: &mut Turn, quiet: Quiet) {
        self.flush(turn);
        if self.lead().is_some_and(|lead| lead.probe_at <= turn.now) {
            self.probe(turn);
        }
        self.check_terms(turn);
        self.check_primary(turn);
        self.check_handover(turn, quiet);
    }

    /// Without confirmations, and with a higher term about, the lead is over.
    fn check_terms(&mut self, turn: &mut Turn) {
        let (now, known) = (turn.now, self.term);
        let over =
            |lead: &mut super::Lead| known > lead.leader.term && !lead.confirmations.hold(now);
        if self.lead().is_some_and(over) {
            self.step_down(turn);
        }
    }

    /// Failure: the primary is silent here although others reach it, or it is dead. Symptom: a
    /// promotion for nothing, or none at all. Enough, because others are asked first, and the
    /// one that reaches it gets the group; if none does in time, another primary is promoted.
    fn check_primary(&mut self, turn: &mut Turn) {
        let (now, allowed) = (turn.now, self.damper.allows_at());
        let Some(lead) = self.lead() else {
            return;
        };
        if !lead.primary_watch.suspects(now) || lead.handover.is_some() {
            lead.doubt = None;
            return;
        }
        match &lead.doubt {
            None => self.ask_others(turn),
            Some(doubt) if doubt.until > now && !doubt.asked.is_empty() => {}
            Some(_) if allowed > now => {}
            Some(_) => self.replace_primary(turn),
        }
    }

    fn ask_others(&mut self, turn: &mut Turn) {
        let group = self.group.clone();
        let mut asked = BTreeMap::new();
        let now = turn.now;
        let Some(lead) = self.lead() else {
            return;
        };
        for id in lead.replicas.keys() {
            let vm = turn.world.holder(now, id);
            if vm == turn.world.me.vm || asked.values().any(|known| *known == vm) {
                continue;
            }
            let request = turn.id();
            let suspect = Suspect {
                request,
                group: group.clone(),
                primary: Some(lead.leader.clone()),
            };
            turn.send(&vm, Message::Suspect(suspect));
            asked.insert(request, vm);
        }
        let until = now + turn.timing().probe;
        lead.doubt = Some(Doubt { asked, until });
    }

    /// Another holder says whether it reaches the primary.
    pub(super) fn reachable(&mut self, turn: &mut Turn, from: &VmId, suspected: Suspected) {
        let now = turn.now;
        let Some(lead) = self.lead() else {
            return;
        };
        let Some(doubt) = &mut lead.doubt else {
            return;
        };
        if doubt.asked.get(&suspected.request) != Some(from) {
            return;
        }
        doubt.asked.remove(&suspected.request);
        // Leases that are out would outlive a term that ends without its window.
        if suspected.reached == Some(true) && lead.sessions.leased_until() <= now {
            return self.yield_to(turn, from.clone());
        }
        self.check_primary(turn);
    }

    fn replace_primary(&mut self, turn: &mut Turn) {
        self.step_down(turn);
        self.raise(turn, self.term.next(), None, 0);
    }

    /// The planned stop, or a primary that is to leave, in steps.
    fn check_handover(&mut self, turn: &mut Turn, quiet: Quiet) {
        let leaving = self.has_to_go(turn);
        let now = turn.now;
        let patience = turn.timing().idle_transaction;
        let Some(lead) = self.lead() else {
            return;
        };
        let Some(handover) = &mut lead.handover else {
            if leaving {
                let drain_until = now + patience;
                lead.handover = Some(Handover {
                    drain_until,
                    frozen: false,
                });
            }
            return;
        };
        let drained = quiet.transactions || handover.drain_until <= now;
        if !handover.frozen {
            handover.frozen = drained && lead.sessions.leased_until() <= now;
            return;
        }
        if quiet.work && lead.acks.is_empty() {
            self.hand_over(turn);
        }
    }

    /// Whether this VM or its primary is to go, and there is something to move to; or whether
    /// the term is to go.
    ///
    /// Failure: a raise that reached one database was abandoned. Symptom: that database follows
    /// nobody, and the group goes on with one less until the next loss stops it. Enough,
    /// because this VM moves the whole group to a term above, in the orderly way of a handover,
    /// once the stray has been one for long enough not to be a takeover under way.
    fn has_to_go(&mut self, turn: &Turn) -> bool {
        if turn.world.stopping {
            return true;
        }
        let allowed = self.damper.allows_at();
        let Some(lead) = self.lead() else {
            return false;
        };
        if lead.has_stray(turn.now, turn.timing().suspicion) && allowed <= turn.now {
            return true;
        }
        let leaving = |id| turn.world.database(id).is_some_and(|found| found.leaving);
        leaving(&lead.leader.database) && lead.replicas.keys().any(|id| !leaving(id))
    }

    fn hand_over(&mut self, turn: &mut Turn) {
        if !turn.world.stopping {
            let former = self.lead().map(|lead| lead.leader.term);
            self.step_down(turn);
            return self.raise(turn, self.term.next(), former, 0);
        }
        match self.successor(turn) {
            Some(vm) => self.yield_to(turn, vm),
            None => self.step_down(turn),
        }
    }

    /// Another VM that is to lead: the next in the primary's order, else another holder.
    fn successor(&mut self, turn: &mut Turn) -> Option<VmId> {
        let now = turn.now;
        let lead = self.lead()?;
        let order = turn.world.order(&lead.leader.database);
        let me = &turn.world.me.vm;
        let next = order
            .iter()
            .find(|vm| *vm != me && turn.world.usable(now, vm));
        if let Some(next) = next {
            return Some(next.clone());
        }
        let me = turn.world.me.vm.clone();
        let replicas = lead.replicas.keys();
        let mut holders = replicas.map(|id| turn.world.holder(now, id));
        holders.find(|vm| *vm != me)
    }

    fn yield_to(&mut self, turn: &mut Turn, vm: VmId) {
        let Some(lead) = self.lead() else {
            return;
        };
        let primary = lead.leader.clone();
        self.step_down(turn);
        debug_assert!(matches!(self.phase, Phase::Follow));
        let handover = Yield {
            group: self.group.clone(),
            primary,
        };
        turn.send(&vm, Message::Yield(handover));
    }
}
