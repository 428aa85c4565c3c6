//! Specification of leases on a group's primary, and of how a primary is replaced.
//!
//! It has up to three VMs, of which two may be steward, the rows in the store, one group of three
//! databases, and the platform that carries out promotions. A VM's leases are held by the production
//! code of `direct::lead`. Databases fence nobody: a replaced primary goes on working for ever.
//!
//! A lease comes from one reading of the rows and lasts [`lead::TERM`](crate::direct::lead::TERM).
//! Its extension by a quorum of other VMs is specified in [`vouch`](crate::model::vouch).
//!
//! Any step may fail to happen, so loss, delay, partition and pause need no event of their own.
//! The end of a process, a write that the store applies after its sender abandoned it, and a clock
//! that misses a pause have one. An order is sent in the same step in which the clock is read: no
//! clock guards against a pause between the two if the platform checks no token.

mod event;
mod lease;
mod steward;
mod store;
mod vm;

use crate::model::search::{Report, Step, search};
use crate::types::{DatabaseId, GroupId, Invalid};
pub use event::Event;
use store::{Age, DutyRow, LeadRow, MemberRow, Rows, Write};
use vm::{Intent, Members, Reading, Vm, Watch, increment};

const VMS: usize = 3;
/// Number of VMs that may be steward.
const CANDIDATES: usize = 2;
const DATABASES: [&str; 3] = ["a", "b", "c"];
/// Length of a lease that no peers extend, in ticks.
const LEASE_TICKS: Age = 2;
/// How long a renewal of the duty is valid, in ticks.
const DUTY_TICKS: Age = 1;

/// A rule that a property depends on; a search can disable one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A reading's age counts from the question, not from its answer.
    AskedTime,
    /// The age of a steward's update counts from the reading, and includes the time in flight.
    ToldAge,
    /// The clock counts pauses.
    PauseCounted,
    /// The lease is checked again after the database's answer was read.
    CheckAfter,
    /// A reading gives a lease only to a VM whose row it shows.
    RowInReading,
    /// The steward sends a VM only readings that show that VM's row.
    RowInNews,
    /// The steward reads the VMs' rows after its intent is written.
    RowsAfterIntent,
    /// A VM that confirms the drop of an epoch has dropped it.
    DropConfirmed,
    /// A drop also takes effect at a VM that has read nothing yet.
    DropBeforeReading,
    /// The steward waits until the lease of a VM that does not answer has expired.
    WaitOut,
    /// The wait counts from the answer to the write of the intent, not from its request.
    WaitFromAnswer,
    /// The wait counts from the intent, not from the VM's last contact with the steward.
    WaitFromIntent,
    /// A new steward starts the wait again.
    WaitAgain,
    /// A VM never goes back to an older epoch.
    NeverBack,
    /// The order follows a renewal of the duty.
    RenewBeforeOrder,
    /// The renewal counts from its request, not from its answer.
    RenewalAsked,
    /// An order that has not arrived by its deadline is cancelled.
    Deadline,
    /// The end of a process cancels its order.
    EndResets,
    /// The duty is taken over only from a holder that has ended, or whose row has stayed unchanged.
    TakeOverWaits,
    /// The duty's row changes by compare-and-set.
    CompareAndSet,
    /// The fencing token rises when the duty is taken over.
    TokenRises,
    /// A steward that has offered its duty renews it before its next order.
    OfferEnds,
    /// An offered duty is taken over only if its row is unchanged since the offer.
    OfferCompared,
    /// The new primary is published only by the VM that still holds the duty.
    PublishUnderDuty,
    /// A row is removed only if its version is unchanged.
    RemoveCompared,
    /// A row is removed, or ignored, only a lease's length after it was marked as evicted.
    EvictionWaits,
}

/// The bounds of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scope {
    /// Number of VMs.
    pub vms: usize,
    /// Number of VMs that have a row and a lease at the start.
    pub known: usize,
    /// Maximum number of changes of primary.
    pub changes: u8,
    /// The highest fencing token.
    pub tokens: u8,
    /// Maximum number of writes of the duty's row.
    pub renewals: u8,
    /// Maximum number of process restarts.
    pub restarts: u8,
    /// Maximum number of abandoned writes that are applied late.
    pub late: u8,
    /// Maximum number of rows that the steward marks as evicted.
    pub evictions: u8,
    /// Whether to start right after the platform carried out the steward's order, where all VMs have
    /// dropped the epoch and another VM has long seen the duty's row unchanged.
    pub ordered: bool,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Spec {
    scope: Scope,
    disabled: Option<Safeguard>,
    group: GroupId,
    databases: [DatabaseId; DATABASES.len()],
}

/// A promotion order in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Order {
    vm: u8,
    life: u8,
    token: u8,
    database: u8,
    /// Ticks since the request of the renewal under which the order was given.
    age: Age,
}

/// A state of the VMs, the store and the platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    rows: Rows,
    vms: [Vm; VMS],
    orders: Vec<Order>,
    /// Abandoned writes that are not applied yet.
    late: Vec<Write>,
    /// The primary according to the platform.
    leader: u8,
    /// Token, holder and life of the last order that arrived; at first those of the first steward.
    last_order: (u8, u8, u8),
    restarts: u8,
    late_left: u8,
    evictions: u8,
    broken: Option<&'static str>,
}

/// A write is acknowledged, or a read returned, from a primary that was replaced.
pub const REPLACED: &str = "a replaced primary is acted on";
/// Two holders have the same token.
pub const SHARED_TOKEN: &str = "two holders share a token";
/// The platform receives a token lower than an earlier one.
pub const LOWER_TOKEN: &str = "the platform sees a lower token after a higher one";
/// A holder orders a promotion while another VM holds the duty.
pub const OUTSIDE_DUTY: &str = "a holder promotes within the other's term";
/// Not a fault: the last change of primary within the scope is complete, and all VMs hold a lease.
pub const CHANGE_COMPLETE: &str = "all VMs have a lease on the last primary";

impl Spec {
    /// Creates a specification bounded by `scope`, with one safeguard `disabled` or none.
    pub fn new(scope: Scope, disabled: Option<Safeguard>) -> Result<Self, Invalid> {
        let [a, b, c] = DATABASES;
        Ok(Self {
            scope,
            disabled,
            group: "ledger".parse()?,
            databases: [a.parse()?, b.parse()?, c.parse()?],
        })
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.disabled != Some(safeguard)
    }

    /// The initial state: the first VM is steward, and the first `known` VMs have just read that the
    /// first database leads.
    pub fn start(&self) -> State {
        let lead = LeadRow {
            epoch: 1,
            primary: 0,
            changing: false,
            version: 1,
        };
        let duty = DutyRow {
            vm: 0,
            life: 0,
            token: 1,
            version: 1,
        };
        let mut rows = Rows {
            lead,
            duty,
            members: [None; VMS],
            versions: [0; VMS],
        };
        let mut vms = [Vm::default(); VMS];
        let known = self.scope.known;
        for (vm, row) in vms.iter_mut().zip(&mut rows.members).take(known) {
            *row = Some(MemberRow {
                life: 0,
                evicted: false,
            });
            vm.leased_epoch = lead.epoch;
            vm.reading = Some(Reading {
                lead,
                age: 0,
                shows: (1 << known) - 1,
            });
        }
        vms[0].duty = Some(self.duty(1, 1, LEASE_TICKS));
        let state = State {
            rows,
            vms,
            orders: Vec::new(),
            late: Vec::new(),
            leader: 0,
            last_order: (1, 0, 0),
            restarts: self.scope.restarts,
            late_left: self.scope.late,
            evictions: self.scope.evictions,
            broken: None,
        };
        match self.scope.ordered {
            true => ordered(state),
            false => state,
        }
    }

    /// Searches all states within `limit` events.
    pub fn search(&self, limit: usize) -> Report {
        let next = |state: &State| self.next(state);
        search(self.start(), limit, next, |state| state.broken)
    }

    /// Searches for the end of the last change of primary, which has to be reachable.
    pub fn search_change(&self, limit: usize) -> Report {
        let last = self.scope.changes + 1;
        let next = |state: &State| self.next(state);
        search(self.start(), limit, next, |state| {
            let holds = |vm: &Vm| self.lease(vm).is_some_and(|(epoch, _)| epoch == last);
            let all = state.vms[..self.scope.vms].iter().all(holds);
            state.broken.or(all.then_some(CHANGE_COMPLETE))
        })
    }

    /// Returns all steps from `state`.
    pub fn next(&self, state: &State) -> Vec<Step<State, Event>> {
        let mut steps = Vec::new();
        let mut add = |event, next: Option<State>| {
            let changed = next.filter(|next| next != state);
            steps.extend(changed.map(|state| Step { event, state }));
        };
        add(Event::Tick, Some(self.tick(state, None)));
        for v in 0..self.scope.vms {
            if !self.enforces(Safeguard::PauseCounted) {
                add(Event::TickWhilePaused(v), Some(self.tick(state, Some(v))));
            }
            add(Event::Read(v), self.read(state, v));
            add(Event::Receive(v), self.receive(state, v));
            add(Event::Abandon(v), self.abandon(state, v));
            add(Event::Register(v), self.register(state, v));
            add(Event::ReceiveUpdate(v), self.receive_update(state, v));
            add(Event::ReceiveOffer(v), self.receive_offer(state, v));
            add(Event::Restart(v), self.restart(state, v));
            add(Event::StopAndStart(v), self.stop_and_start(state, v));
            add(Event::Send(v), self.send(state, v));
            if let Some((database, next)) = self.acknowledge(state, v) {
                add(Event::Acknowledge(v, database), Some(next));
            }
        }
        for s in 0..CANDIDATES.min(self.scope.vms) {
            self.steward_steps(state, s, &mut add);
        }
        for order in &state.orders {
            let event = Event::Arrive(order.token, order.database);
            add(event, Some(self.arrive(state, *order)));
        }
        for n in 0..state.late.len() {
            add(Event::ApplyLate, Some(apply_late(state, n)));
        }
        steps
    }

    fn tick(&self, state: &State, paused: Option<usize>) -> State {
        let mut next = state.clone();
        let (age_readings, age_updates) = (
            self.enforces(Safeguard::AskedTime),
            self.enforces(Safeguard::ToldAge),
        );
        for (v, vm) in next.vms.iter_mut().enumerate() {
            if paused != Some(v) {
                vm.tick(age_readings, age_updates);
            }
        }
        for order in &mut next.orders {
            if paused != Some(order.vm.into()) {
                increment(&mut order.age);
            }
        }
        if self.enforces(Safeguard::Deadline) {
            next.orders.retain(|order| order.age < DUTY_TICKS);
        }
        next
    }

    fn arrive(&self, state: &State, order: Order) -> State {
        let mut next = state.clone();
        next.orders.retain(|other| *other != order);
        let (token, vm, life) = state.last_order;
        let same = (order.vm, order.life) == (vm, life);
        next.broken = match order.token.cmp(&token) {
            std::cmp::Ordering::Less => Some(LOWER_TOKEN),
            std::cmp::Ordering::Equal if !same => Some(SHARED_TOKEN),
            _ if order.token < state.rows.duty.token => Some(OUTSIDE_DUTY),
            _ => None,
        };
        next.last_order = (order.token, order.vm, order.life);
        next.leader = order.database;
        let sender = &mut next.vms[usize::from(order.vm)];
        let duty = sender.duty.as_mut().filter(|_| sender.life == order.life);
        let intent = duty.and_then(|duty| duty.intent.as_mut());
        if let Some(intent) = intent.filter(|i| i.ordered == Some(order.database)) {
            intent.carried_out = true;
        }
        next
    }
}

fn ordered(mut state: State) -> State {
    let (duty, lead) = (state.rows.duty.version, state.rows.lead.version);
    state.rows.apply(Write::Intend { duty, lead });
    state.leader = 1;
    let row = state.rows.duty;
    for vm in &mut state.vms {
        vm.dropped = vm.leased_epoch;
    }
    state.vms[1].watch = Some(Watch {
        version: row.version,
        token: row.token,
        age: LEASE_TICKS,
    });
    if let Some(duty) = &mut state.vms[0].duty {
        duty.version = row.version;
        duty.intent = Some(Intent {
            age: 0,
            lead: state.rows.lead.version,
            members: Some(Members::of(&state.rows)),
            confirmed: u8::MAX,
            ordered: Some(state.leader),
            carried_out: true,
        });
    }
    state
}

fn with_vm(state: &State, v: usize, change: impl FnOnce(&mut Vm)) -> State {
    let mut next = state.clone();
    change(&mut next.vms[v]);
    next
}

/// Keeps an abandoned write to be applied late, unless the scope's maximum is reached.
fn abandon(state: &mut State, write: Write) -> bool {
    let Some(late_left) = state.late_left.checked_sub(1) else {
        return false;
    };
    state.late_left = late_left;
    state.late.push(write);
    state.late.sort_unstable();
    true
}

fn apply_late(state: &State, n: usize) -> State {
    let mut next = state.clone();
    let write = next.late.remove(n);
    next.rows.apply(write);
    next
}
