//! Periodic work of a leading steward: probes, detection of a lost primary, and planned handover.

use super::lead::{Inquiry, Replica};
use super::{Phase, Quiet, Steward};
use crate::clock::Time;
use crate::core::message::{Message, Suspect, Suspected, Yield};
use crate::core::term::majority;
use crate::core::world::Turn;
use crate::types::VmId;
use serde::Serialize;
use std::collections::BTreeMap;

/// A planned end of a lead. On a planned stop another VM takes over; if only the primary must be
/// replaced, this VM raises the next term itself.
#[derive(Debug, Serialize)]
pub(crate) struct Handover {
    /// Until when open transactions may finish.
    drain_until: Time,
    /// Whether no new work is started.
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
        self.check_replication(turn);
        self.check_handover(turn, quiet);
    }

    /// Ends the lead if its confirmations have expired and a higher term is known.
    fn check_terms(&mut self, turn: &mut Turn) {
        let (now, known) = (turn.now, self.term);
        let over =
            |lead: &mut super::Lead| known > lead.leader.term && !lead.confirmations.hold(now);
        if self.lead().is_some_and(over) {
            self.step_down(turn);
        }
    }

    /// Handles a primary that does not respond to this VM. Others are asked first, because it may
    /// only be unreachable from here: a VM that reaches it gets the group. If none does in time,
    /// another primary is promoted.
    fn check_primary(&mut self, turn: &mut Turn) {
        let (now, allowed) = (turn.now, self.damper.allows_at());
        let Some(lead) = self.lead() else {
            return;
        };
        if !lead.primary_watch.suspects(now) || lead.handover.is_some() {
            lead.inquiry = None;
            return;
        }
        match &lead.inquiry {
            None => self.ask_others(turn),
            Some(inquiry) if inquiry.until > now && !inquiry.asked.is_empty() => {}
            Some(_) if allowed > now => {}
            Some(_) => self.replace_primary(turn),
        }
    }

    /// Replaces a primary that responds here but is cut off from its replicas, because writes
    /// would wait for a majority that never receives them. This needs a majority of replicas that
    /// respond while their logs make no progress. A primary that alone has an acknowledged write
    /// (`durability: primary`) is kept: a waiting write is better than a lost acknowledged one.
    fn check_replication(&mut self, turn: &mut Turn) {
        let (now, allowed) = (turn.now, self.damper.allows_at());
        let suspicion = turn.timing().suspicion;
        let needed = majority(self.members.len());
        let Some(lead) = self.lead() else {
            return;
        };
        let waiting = lead.acks.is_short();
        let progress = lead
            .replicas
            .values()
            .map(|replica| replica.end.offset.0)
            .sum();
        let stalled = lead.stall.update(now, waiting, progress, suspicion);
        let alive = |replica: &&Replica| replica.answered_since(now - suspicion);
        let enough = lead.replicas.values().filter(alive).count() >= needed;
        let replaceable = lead.handover.is_none() && !lead.acks.has_unshared();
        if stalled && enough && replaceable && allowed <= now {
            let primary = lead.leader.database.clone();
            log::warn!(group:% = self.group, primary:%; "its log reaches no replica: replacing it");
            self.step_down(turn);
            self.raise_without(turn, primary);
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
        lead.inquiry = Some(Inquiry { asked, until });
    }

    /// Handles another holder's answer on whether it reaches the primary.
    pub(super) fn reachable(&mut self, turn: &mut Turn, from: &VmId, suspected: Suspected) {
        let now = turn.now;
        let Some(lead) = self.lead() else {
            return;
        };
        let Some(inquiry) = &mut lead.inquiry else {
            return;
        };
        if inquiry.asked.get(&suspected.request) != Some(from) {
            return;
        }
        inquiry.asked.remove(&suspected.request);
        // A handover skips the window, so granted leases would outlive the term.
        if suspected.reached == Some(true) && lead.sessions.leased_until() <= now {
            return self.yield_to(turn, from.clone());
        }
        self.check_primary(turn);
    }

    fn replace_primary(&mut self, turn: &mut Turn) {
        self.step_down(turn);
        self.raise(turn, self.term.next(), None, 0);
    }

    /// Advances a planned stop or the planned replacement of a primary by one step.
    fn check_handover(&mut self, turn: &mut Turn, quiet: Quiet) {
        let leaving = self.must_end(turn);
        let now = turn.now;
        let timeout = turn.timing().idle_transaction;
        let Some(lead) = self.lead() else {
            return;
        };
        let Some(handover) = &mut lead.handover else {
            if leaving {
                let drain_until = now + timeout;
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

    /// Whether the lead must end because this VM stops, because the primary leaves and another
    /// database can replace it, or because a replica stays in a higher term.
    ///
    /// An abandoned raise may leave one database in a higher term, where it follows no primary and
    /// the group has one database less until the next loss stops it. A planned handover moves the
    /// whole group to a term above, once this has lasted too long to be a takeover under way.
    fn must_end(&mut self, turn: &Turn) -> bool {
        if turn.world.stopping {
            return true;
        }
        let allowed = self.damper.allows_at();
        let Some(lead) = self.lead() else {
            return false;
        };
        if lead.has_higher_term(turn.now, turn.timing().suspicion) && allowed <= turn.now {
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

    /// The VM that leads next: the next one in the primary's order, or else another holder.
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
