//! Specification of leases extended by a quorum of other VMs, and of the wait before a replacement.
//!
//! It has up to five VMs, of which two may be steward, their rows and the lead row in the store, and
//! one group. The production `direct::lead` holds a VM's leases and decides which ones it confirms to
//! others; the production `direct::control::promotion::Revocation` decides how long a steward waits.
//!
//! Any step may fail to happen, as in [`leads`](crate::model::leads). That specification covers what
//! is simplified here: the duty may be taken over at any time, an order is sent and arrives in the
//! step in which the duty is renewed, and a steward's update is modelled as a VM's own reading whose
//! answer arrives late.

mod event;
mod lease;
mod steward;
mod symmetry;
mod vm;

use crate::clock::{Span, Time};
use crate::direct::lead;
use crate::model::search::{Report, Step, search};
use crate::types::{DatabaseId, GroupId, Invalid};
pub use event::Event;
use vm::{Age, Call, Duty, Intent, LeadRow, Reading, Row, Rows, Vm, Write};

/// The maximum number of VMs.
const VMS: usize = 5;
/// Half a term: a term ends with the second tick, a long lease with the seventh.
const TICK: Span = Span(lead::TERM.0 / TERM_TICKS as u64);
const TERM_TICKS: Age = 2;
/// From this age on a reading gives no lease, even with a quorum's confirmation.
const LEASE_TICKS: Age = lead::LEASE.0.div_ceil(TICK.0) as Age;
/// Late enough that subtracting any age gives a valid time.
const NOW: Time = Time(4 * lead::LEASE.0);

/// A rule that keeps a replaced primary from being acted on; a search can disable one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A quorum is three VMs, not two.
    Quorum,
    /// A confirmation by others counts from when they were asked.
    WordAsked,
    /// A VM that dropped the epoch does not confirm it.
    WordOpen,
    /// A VM confirms an epoch only by a recent reading of its own.
    WordYoung,
    /// Confirmations extend no lease beyond the long lease.
    LongLease,
    /// The clock counts pauses.
    PauseCounted,
    /// The short wait counts from the reading of the rows, not from the intent.
    FewFromReading,
    /// The short wait begins only once no more than two VMs are pending.
    FewLeft,
    /// The steward reads the VMs' rows after its intent is written.
    RowsAfterIntent,
    /// A new steward starts the wait again.
    WaitAgain,
    /// A reading gives a lease only to a life whose row it shows.
    RowInReading,
    /// A VM that stops drops all epochs before its row is removed.
    DropFirst,
    /// A VM that has dropped all epochs to stop accepts no more readings.
    Deaf,
    /// An evicted row is removed only once no reading from before the eviction is recent.
    EvictionWaits,
    /// A row is removed only if its version is unchanged.
    RemoveCompared,
}

/// The progress of a change of primary in the initial state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// All VMs know who leads, and no change has started.
    NotStarted,
    /// The steward wrote its intent half a term ago, and has not read the VMs' rows.
    Written,
    /// The steward has just written its intent, and read the rows.
    Waiting,
    /// As `Waiting`, but another VM has taken the duty over.
    TakenOver,
}

/// The last VM's condition in the initial state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Last {
    /// Like the others.
    Known,
    /// It is new: its row is written, and its first reading is in flight.
    New,
    /// It was marked as evicted a lease ago, and has read nothing since.
    Marked,
    /// As `Marked`, and its row is removed.
    Removed,
}

/// The bounds of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scope {
    /// Number of VMs.
    pub vms: usize,
    /// Number of VMs that may be steward.
    pub candidates: usize,
    /// The VM that asks others for confirmation. One is enough: what a VM confirms does not depend on
    /// the confirmations it received.
    pub asker: usize,
    /// The progress of the change of primary in the initial state.
    pub change: Change,
    /// The last VM's condition in the initial state.
    pub last: Last,
    /// The age of all readings at the start, in ticks.
    pub age: u8,
    /// Maximum number of changes of primary.
    pub changes: u8,
    /// Maximum number of process restarts.
    pub restarts: u8,
    /// Maximum number of planned stops.
    pub stops: u8,
    /// Maximum number of abandoned writes that are applied late.
    pub late: u8,
    /// Maximum number of rows that the steward marks as evicted.
    pub evictions: u8,
    /// Whether VMs keep reading who leads, besides the readings that a steward needs.
    pub reads: bool,
    /// Whether states that differ only by a permutation of VMs count as one.
    pub symmetry: bool,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Spec {
    scope: Scope,
    disabled: Option<Safeguard>,
    group: GroupId,
    database: DatabaseId,
}

/// A state of the VMs and the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    rows: Rows,
    vms: [Vm; VMS],
    /// Abandoned writes that are not applied yet.
    late: Vec<Write>,
    /// The epoch of the primary that the platform was last ordered to promote.
    leader: u8,
    restarts: u8,
    stops: u8,
    late_left: u8,
    evictions: u8,
}

/// A write is acknowledged, or a read returned, from a primary that was replaced.
pub const REPLACED: &str = "a replaced primary is acted on";
/// Two holders have the same token.
pub const SHARED_TOKEN: &str = "two holders share a token";
/// Not a fault: the steward may give an order after a lease was extended.
pub const ORDERED_AFTER_EXTENSION: &str =
    "a primary is replaced after a lease went on by the word of others";

impl Spec {
    /// Creates a specification bounded by `scope`, with one safeguard `disabled` or none.
    pub fn new(scope: Scope, disabled: Option<Safeguard>) -> Result<Self, Invalid> {
        Ok(Self {
            scope,
            disabled,
            group: "ledger".parse()?,
            database: "a".parse()?,
        })
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.disabled != Some(safeguard)
    }

    /// The initial state.
    pub fn start(&self) -> State {
        let lead = LeadRow {
            epoch: 1,
            changing: false,
        };
        let mut state = State {
            rows: Rows {
                lead,
                token: 1,
                members: [None; VMS],
                versions: [0; VMS],
            },
            vms: [Vm::default(); VMS],
            late: Vec::new(),
            leader: lead.epoch,
            restarts: self.scope.restarts,
            stops: self.scope.stops,
            late_left: self.scope.late,
            evictions: self.scope.evictions,
        };
        for v in 0..self.scope.vms {
            state.rows.members[v] = Some(Row::default());
            state.vms[v].leased_epoch = lead.epoch;
            state.vms[v].reading = Some(Reading {
                lead,
                age: self.scope.age,
                extended: None,
            });
        }
        let mut duty = Duty::new(1);
        self.set_up_last(&mut state, &mut duty);
        self.set_up_change(&mut state, &mut duty);
        state.vms[0].duty = Some(duty);
        state
    }

    fn set_up_last(&self, state: &mut State, duty: &mut Duty) {
        let last = self.scope.vms - 1;
        let vm = last as u8;
        match self.scope.last {
            Last::Known => return,
            Last::New => {
                let rows = state.rows;
                state.vms[last] = Vm {
                    call: Some(Call {
                        rows,
                        age: self.scope.age,
                    }),
                    ..Vm::default()
                };
                return;
            }
            Last::Marked => {
                state.rows.apply(Write::Evict { vm, expected: 0 });
                duty.evicted_rows[last] = Some((state.rows.versions[last], LEASE_TICKS));
            }
            Last::Removed => state.rows.remove(last),
        }
        if let Some(reading) = &mut state.vms[last].reading {
            reading.age = LEASE_TICKS;
        }
    }

    fn set_up_change(&self, state: &mut State, duty: &mut Duty) {
        let change = self.scope.change;
        if change == Change::NotStarted {
            return;
        }
        state.rows.lead.changing = true;
        let mut intent = Intent::new(state.rows.lead.epoch);
        intent.age = u8::from(change == Change::Written);
        duty.intent = Some(intent);
        if change != Change::Written {
            self.start_wait(duty, &state.rows);
        }
        if change == Change::TakenOver {
            state.rows.token = 2;
            state.vms[1].duty = Some(Duty::new(2));
        }
    }

    /// Searches all states within `limit` events.
    pub fn search(&self, limit: usize) -> Report {
        let next = |state: &State| self.next(state);
        search(self.start(), limit, next, |state| self.broken(state))
    }

    /// Searches for an order after the extension of a lease, which has to be reachable.
    pub fn search_order(&self, limit: usize) -> Report {
        let next = |state: &State| self.next(state);
        search(self.start(), limit, next, |state| {
            let extended = |vm: &Vm| vm.reading.is_some_and(|reading| reading.extended.is_some());
            let replaced = state.leader > 1 && state.vms.iter().any(extended);
            self.broken(state)
                .or(replaced.then_some(ORDERED_AFTER_EXTENSION))
        })
    }

    /// Returns the property that `state` breaks.
    pub fn broken(&self, state: &State) -> Option<&'static str> {
        let replaced = |vm: &&Vm| {
            vm.reading
                .is_some_and(|reading| reading.lead.epoch < state.leader)
        };
        let mut behind = state.vms.iter().filter(replaced);
        if behind.any(|vm| self.may_act(vm)) {
            return Some(REPLACED);
        }
        let tokens = || state.vms.iter().filter_map(|vm| Some(vm.duty?.token));
        let shared = tokens().any(|token| tokens().filter(|other| *other == token).count() > 1);
        shared.then_some(SHARED_TOKEN)
    }

    /// Returns all steps from `state`.
    pub fn next(&self, state: &State) -> Vec<Step<State, Event>> {
        let mut steps = Vec::new();
        let confirmable = self.confirmable(state);
        let mut add = |event, next: Option<State>| {
            let next = next.map(|next| match self.scope.symmetry {
                true => self.canonical(next),
                false => next,
            });
            let changed = next.filter(|next| next != state);
            steps.extend(changed.map(|state| Step { event, state }));
        };
        add(Event::Tick, Some(tick(state, None)));
        for v in 0..self.scope.vms {
            if !self.enforces(Safeguard::PauseCounted) {
                add(Event::TickWhilePaused(v), Some(tick(state, Some(v))));
            }
            add(Event::Read(v), self.read(state, v));
            add(Event::Receive(v), self.receive(state, v));
            add(Event::Register(v), self.register(state, v));
            add(Event::Restart(v), self.restart(state, v));
            add(Event::Stop(v), self.stop(state, v));
            add(Event::Unregister(v), self.unregister(state, v));
        }
        let asker = self.scope.asker;
        for v in (0..self.scope.vms).filter(|v| *v != asker) {
            add(
                Event::AskPeers(asker, v),
                self.ask_peers(state, v, &confirmable),
            );
            add(
                Event::Confirm(asker, v),
                self.confirm(state, v, &confirmable),
            );
        }
        for s in 0..self.scope.candidates {
            self.steward_steps(state, s, &mut add);
        }
        for n in 0..state.late.len() {
            add(Event::ApplyLate, Some(apply_late(state, n)));
        }
        steps
    }

    fn register(&self, state: &State, v: usize) -> Option<State> {
        let row = Row {
            life: state.vms[v].life,
            evicted: false,
        };
        let needed = state.rows.members[v] != Some(row) && !state.vms[v].stopped;
        let mut next = state.clone();
        let (vm, life) = (v as u8, row.life);
        next.rows.apply(Write::Register { vm, life });
        needed.then_some(next)
    }

    fn restart(&self, state: &State, v: usize) -> Option<State> {
        let mut next = state.clone();
        if !state.vms[v].stopped {
            next.restarts = state.restarts.checked_sub(1)?;
        }
        next.vms[v] = Vm {
            life: state.vms[v].life + 1,
            ..Vm::default()
        };
        Some(next)
    }

    fn unregister(&self, state: &State, v: usize) -> Option<State> {
        let vm = &state.vms[v];
        let own = state.rows.members[v].is_some_and(|row| row.life == vm.life);
        let mut next = state.clone();
        next.rows.remove(v);
        (vm.stopped && own).then_some(next)
    }
}

fn tick(state: &State, paused: Option<usize>) -> State {
    let mut next = state.clone();
    for (v, vm) in next.vms.iter_mut().enumerate() {
        if paused != Some(v) {
            vm.tick();
        }
    }
    next
}

fn apply_late(state: &State, n: usize) -> State {
    let mut next = state.clone();
    let write = next.late.remove(n);
    next.rows.apply(write);
    next
}

/// Keeps an abandoned write to be applied late, unless the scope's maximum is reached.
fn abandon(state: &State, write: Write) -> Option<State> {
    let mut next = state.clone();
    next.late_left = state.late_left.checked_sub(1)?;
    next.late.push(write);
    next.late.sort_unstable();
    Some(next)
}

fn with_vm(state: &State, v: usize, change: impl FnOnce(&mut Vm)) -> State {
    let mut next = state.clone();
    change(&mut next.vms[v]);
    next
}
