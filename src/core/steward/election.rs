//! Takeover of a group: collects evidence from the holders of a majority, raises the term at a
//! majority of its databases, and waits until the former term's confirmations have expired.

use super::{Evidence, Opening, Phase, Raising, Steward};
use crate::clock::{Span, Time};
use crate::core::database::{Order, Refusal, State};
use crate::core::detect::Detector;
use crate::core::message::{Control, Controlled, Message, Primary, Suspect, Suspected, Yield};
use crate::core::term::{Promotion, majority};
use crate::core::world::Turn;
use crate::types::{DatabaseId, RequestId, Term, VmId};
use std::collections::{BTreeMap, BTreeSet};

/// A VM that receives no answer from any other one takes over only after the steward has been
/// silent for this many suspicion spans.
const SOLE_FACTOR: u64 = 3;

/// The number of raises to higher terms before this VM backs off for another one.
const MAX_RAISES: u32 = 3;

impl Steward {
    /// Starts a takeover once the steward has been silent for long enough. VMs wait according to
    /// their rank, so that two rarely raise the term at once; if they do, the higher term wins.
    pub(super) fn watch_steward(&mut self, turn: &mut Turn) {
        if turn.world.stopping || turn.now < self.takeover_after || !self.watch.suspects(turn.now) {
            return;
        }
        let Some(rank) = self.rank(turn) else {
            self.takeover_after = turn.now + turn.timing().suspicion;
            return;
        };
        let interval = turn.timing().probe;
        let starts_at = self.watch.suspects_at() + Span(interval.0 * rank);
        if turn.now < starts_at {
            self.takeover_after = starts_at;
            return;
        }
        self.gather(turn);
    }

    /// This VM's rank among the holders of the group's databases, the primary's holder first;
    /// `None` if it holds none of them.
    fn rank(&self, turn: &mut Turn) -> Option<u64> {
        let primary = self.leader(turn).map(|leader| leader.database);
        let first = primary.iter().filter(|id| self.members.contains(*id));
        let others = self
            .members
            .iter()
            .filter(|id| Some(*id) != primary.as_ref());
        let mut databases = first.chain(others);
        let place = databases.position(|id| turn.world.holds(turn.now, id))?;
        Some(place as u64)
    }

    /// Asks the holders of the other databases whether they suspect the steward too.
    ///
    /// A serving steward probes a majority of the databases, whose holders then contradict. One VM
    /// that is cut off from it therefore causes no needless promotion, which would interrupt all
    /// callers.
    fn gather(&mut self, turn: &mut Turn) {
        let mut silent = BTreeSet::new();
        let mut asked = BTreeMap::new();
        let leader = self.leader(turn);
        for (vm, databases) in self.holders(turn) {
            if vm == turn.world.me.vm {
                silent.extend(databases);
                continue;
            }
            let request = turn.id();
            let suspect = Suspect {
                request,
                group: self.group.clone(),
                primary: leader.clone(),
            };
            turn.send(&vm, Message::Suspect(suspect));
            asked.insert(request, vm);
        }
        let until = turn.now + turn.timing().probe;
        let alone = asked.is_empty();
        self.phase = Phase::Gather(Evidence {
            silent,
            witnesses: 0,
            asked,
            until,
        });
        if alone {
            self.decide_alone(turn);
        }
    }

    /// Decides without enough answers. This VM takes over alone once the steward has been silent for
    /// several suspicion spans, since it may be the last VM and the list of VMs may be outdated.
    pub(super) fn decide_alone(&mut self, turn: &mut Turn) {
        let suspicion = turn.timing().suspicion;
        let alone_at = self.watch.suspects_at() + Span(suspicion.0 * (SOLE_FACTOR - 1));
        let Phase::Gather(evidence) = &self.phase else {
            return;
        };
        let enough = evidence.silent.len() >= majority(self.members.len());
        let others = turn.world.members.len() > 1;
        if enough && (turn.now >= alone_at || !others) {
            return self.raise(turn, self.term.next(), None, 0);
        }
        self.back_off(turn);
    }

    fn holders(&self, turn: &mut Turn) -> BTreeMap<VmId, Vec<DatabaseId>> {
        let mut holders: BTreeMap<VmId, Vec<DatabaseId>> = BTreeMap::new();
        for id in &self.members {
            let vm = turn.world.holder(turn.now, id);
            holders.entry(vm).or_default().push(id.clone());
        }
        holders
    }

    /// Handles a holder's evidence.
    pub fn evidence(&mut self, turn: &mut Turn, from: &VmId, suspected: Suspected) {
        if self.leads() {
            return self.reachable(turn, from, suspected);
        }
        let Phase::Gather(evidence) = &mut self.phase else {
            return;
        };
        if evidence.asked.get(&suspected.request) != Some(from) {
            return;
        }
        evidence.asked.remove(&suspected.request);
        if suspected.steward_responds {
            return self.back_off(turn);
        }
        let held = self.holders(turn).remove(from).unwrap_or_default();
        if let Phase::Gather(evidence) = &mut self.phase {
            evidence.silent.extend(held);
            evidence.witnesses += 1;
        }
        self.check_evidence(turn);
    }

    fn check_evidence(&mut self, turn: &mut Turn) {
        let Phase::Gather(evidence) = &self.phase else {
            return;
        };
        if evidence.witnesses > 0 && evidence.silent.len() >= majority(self.members.len()) {
            self.raise(turn, self.term.next(), None, 0);
        }
    }

    /// Backs off, because others receive the steward's probes or there is not enough evidence.
    pub(super) fn back_off(&mut self, turn: &mut Turn) {
        let spread = turn.timing().probe;
        let jitter = turn.world.random(spread.0.max(1) as usize) as u64;
        self.takeover_after = turn.now + spread + Span(jitter);
        self.phase = Phase::Follow;
    }

    /// Raises the term at every database of the group.
    pub(super) fn raise(&mut self, turn: &mut Turn, term: Term, yielded: Option<Term>, tries: u32) {
        let mut asked = BTreeMap::new();
        for id in &self.members {
            let request = self.order(turn, id, Order::Raise(term));
            asked.insert(request, id.clone());
        }
        self.phase = Phase::Raise(Raising {
            promotion: Promotion::new(term, self.members.clone()),
            asked,
            yielded,
            tries,
            choose_at: Time::default(),
            until: turn.now + turn.timing().suspicion,
        });
    }

    /// Raises the term to replace `primary`, whose log does not reach the replicas.
    pub(super) fn raise_without(&mut self, turn: &mut Turn, primary: DatabaseId) {
        self.raise(turn, self.term.next(), None, 0);
        if let Phase::Raise(raising) = &mut self.phase {
            raising.promotion.leave_out(primary);
        }
    }

    /// Sends an order to a database by way of its holder, or directly if the holder is the group's
    /// steward, which is suspected.
    pub(super) fn order(&self, turn: &mut Turn, id: &DatabaseId, order: Order) -> RequestId {
        let request = turn.id();
        let holder = turn.world.holder(turn.now, id);
        let suspect = self
            .leader(turn)
            .is_some_and(|leader| leader.steward == holder);
        let to = if suspect {
            turn.world.me.vm.clone()
        } else {
            holder
        };
        self.send_order(turn, &to, request, id, order);
        request
    }

    pub(super) fn send_order(
        &self,
        turn: &mut Turn,
        to: &VmId,
        request: RequestId,
        id: &DatabaseId,
        order: Order,
    ) {
        let control = Control {
            request,
            database: id.clone(),
            order,
        };
        turn.send(to, Message::Control(control));
    }

    /// Handles a database's answer to an order of this steward.
    pub fn controlled(&mut self, turn: &mut Turn, controlled: Controlled) {
        match &self.phase {
            Phase::Raise(_) => self.raised(turn, controlled),
            Phase::Open(opening) if opening.request == controlled.request => {
                self.opened(turn, controlled.result);
            }
            Phase::Lead(_) => self.lead_controlled(turn, controlled),
            _ => {}
        }
    }

    fn raised(&mut self, turn: &mut Turn, controlled: Controlled) {
        let window = turn.timing().window;
        let Phase::Raise(raising) = &mut self.phase else {
            return;
        };
        let Some(database) = raising.asked.remove(&controlled.request) else {
            return;
        };
        let term = raising.promotion.term();
        match controlled.result {
            Some(Ok(state)) if state.term == term => {
                let end = state.end();
                raising.promotion.raised(&database, end, turn.now, window);
                if let Some(former) = raising.yielded {
                    raising.promotion.yielded(former);
                }
                if raising.choose_at == Time::default() && raising.promotion.settled().is_some() {
                    raising.choose_at = turn.now + turn.timing().probe;
                }
                self.tick_raise(turn);
            }
            Some(Ok(_)) | None => {}
            Some(Err(Refusal::Term(higher))) => self.retry_higher(turn, higher),
            Some(Err(_)) => {}
        }
    }

    /// Handles a database that is in a higher term, or in this one by another steward or by an order
    /// whose answer was lost. A term may be opened only if this VM alone raised it, so a higher
    /// one is tried, up to a few times.
    fn retry_higher(&mut self, turn: &mut Turn, higher: Term) {
        let Phase::Raise(raising) = &self.phase else {
            return;
        };
        if raising.promotion.settled().is_some() {
            return;
        }
        let tries = raising.tries + 1;
        let left_out = raising.promotion.left_out().cloned();
        turn.world.counters.promotions_abandoned += 1;
        self.term = self.term.max(higher);
        if tries >= MAX_RAISES {
            return self.back_off(turn);
        }
        // A term above the one handed over may have confirmations of its own to wait for.
        self.raise(turn, self.term.next(), None, tries);
        if let (Phase::Raise(raising), Some(primary)) = (&mut self.phase, left_out) {
            raising.promotion.leave_out(primary);
        }
    }

    pub(super) fn tick_raise(&mut self, turn: &mut Turn) {
        let Phase::Raise(raising) = &self.phase else {
            return;
        };
        if raising.promotion.settled().is_none() {
            if raising.until <= turn.now {
                let term = raising.promotion.term();
                turn.world.counters.promotions_abandoned += 1;
                self.term = self.term.max(term);
                self.back_off(turn);
            }
            return;
        }
        if raising.opens().is_some_and(|at| at <= turn.now) {
            self.open(turn);
        }
    }

    fn open(&mut self, turn: &mut Turn) {
        let Phase::Raise(raising) = &self.phase else {
            return;
        };
        let leaving = |id: &DatabaseId| turn.world.database(id).is_none_or(|found| found.leaving);
        let Some((primary, base)) = raising.promotion.choice_avoiding(leaving) else {
            return;
        };
        let (term, primary) = (raising.promotion.term(), primary.clone());
        let request = turn.id();
        let me = turn.world.me.vm.clone();
        self.send_order(turn, &me, request, &primary, Order::Open(term));
        self.phase = Phase::Open(Opening {
            term,
            primary,
            base,
            request,
            retry_at: turn.now + turn.timing().probe,
            until: turn.now + turn.timing().suspicion,
        });
    }

    pub(super) fn tick_open(&mut self, turn: &mut Turn) {
        let Phase::Open(opening) = &self.phase else {
            return;
        };
        if opening.until <= turn.now {
            // The chosen database has failed, or only another VM reaches it.
            self.term = self.term.max(opening.term);
            turn.world.counters.promotions_abandoned += 1;
            return self.back_off(turn);
        }
        if opening.retry_at > turn.now {
            return;
        }
        let (primary, term) = (opening.primary.clone(), opening.term);
        let request = turn.id();
        let me = turn.world.me.vm.clone();
        self.send_order(turn, &me, request, &primary, Order::Open(term));
        let retry_at = turn.now + turn.timing().probe;
        if let Phase::Open(opening) = &mut self.phase {
            (opening.request, opening.retry_at) = (request, retry_at);
        }
    }

    fn opened(&mut self, turn: &mut Turn, result: Option<Result<State, Refusal>>) {
        let Phase::Open(opening) = &self.phase else {
            return;
        };
        let (term, base) = (opening.term, opening.base);
        match result {
            Some(Ok(state)) if state.open && state.term == term => {
                let primary = Primary {
                    term,
                    database: opening.primary.clone(),
                    steward: turn.world.me.vm.clone(),
                };
                self.take_lead(turn, primary, base, state);
            }
            Some(Err(Refusal::Term(higher))) => {
                self.term = self.term.max(higher).max(term);
                turn.world.counters.promotions_abandoned += 1;
                self.back_off(turn);
            }
            _ => {}
        }
    }

    /// Takes over a group from a steward that handed it over, without waiting for a window.
    ///
    /// The message may be late, and a steward of another term may still acknowledge. So a handover
    /// of a term below the highest known one is ignored, and the raise to the very next term fails
    /// at databases that are in a later one.
    pub fn yielded(&mut self, turn: &mut Turn, from: &VmId, handover: Yield) {
        let term = handover.primary.term;
        if turn.world.stopping || handover.primary.steward != *from || term < self.term {
            return;
        }
        if self.is_active() {
            return;
        }
        self.term = term;
        self.watch = Detector::new(turn.now, turn.timing().suspicion);
        self.raise(turn, term.next(), Some(term), 0);
    }

    /// Stops waiting for answers of a VM whose stream broke.
    pub fn peer_down(&mut self, turn: &mut Turn, vm: &VmId) {
        let Phase::Gather(evidence) = &mut self.phase else {
            return;
        };
        evidence.asked.retain(|_, asked| asked != vm);
        if evidence.asked.is_empty() {
            self.decide_alone(turn);
        }
    }
}

impl Raising {
    /// When the primary is chosen: after the former term's confirmations have expired, and after
    /// every database has answered or had time to. A log that goes further than the majority's
    /// holds writes whose outcome callers may still query.
    fn opens(&self) -> Option<Time> {
        let opens = self.promotion.opens()?;
        if self.promotion.complete() {
            return Some(opens);
        }
        Some(opens.max(self.choose_at))
    }

    pub(super) fn wake(&self) -> Time {
        self.opens().unwrap_or(self.until)
    }
}
