//! Leases that go on by the word of other VMs, and the wait of a replacement, as a specification.
//!
//! Four or five VMs, of which two may be steward, their rows and the lead's in the store, and one
//! group. What a VM believes, and what it vouches for, is the real `direct::lead::Leases`; how long a
//! steward waits is the real `direct::control::promotion::Drops`.
//!
//! A step that does not happen was lost, cut off, or asleep, as in [`leads`](crate::model::leads).
//! That specification has what is left out here: the duty is taken at any time, an order leaves and
//! arrives in the step in which the duty is renewed, and what the steward tells is a reading of one's
//! own that is heard late.

mod belief;
mod event;
mod steward;
mod twin;
mod vm;

use crate::clock::{Span, Time};
use crate::direct::lead;
use crate::model::search::{Report, Step, search};
use crate::types::{DatabaseId, GroupId, Invalid};
pub use event::Event;
use vm::{Age, Call, Duty, Intent, LeadRow, Notes, Row, Rows, Vm, Write};

/// The most VMs.
const VMS: usize = 5;
/// Half a term: what lasts a term ends with the second tick, what lasts a lease with the seventh.
const TICK: Span = Span(lead::TERM.0 / TERM as u64);
const TERM: Age = 2;
/// From this age on a reading is no lease, whoever vouches.
const OLD: Age = lead::LEASE.0.div_ceil(TICK.0) as Age;
/// A moment late enough that every age is a valid time.
const NOW: Time = Time(4 * lead::LEASE.0);

/// A rule that keeps a replaced primary from being acted on; one can be taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// Three VMs are a quorum, not two.
    Quorum,
    /// The word of others counts from when they were asked.
    WordAsked,
    /// A VM that dropped the epoch does not vouch for it.
    WordOpen,
    /// A VM vouches only by a reading of its own that is young.
    WordYoung,
    /// No word of others makes a lease longer than the long one.
    LongLease,
    /// The clock counts pauses.
    PauseCounted,
    /// The short wait counts from when the rows were there, not from the intent.
    FewFromReading,
    /// The short wait begins only once two are left.
    FewLeft,
    /// The steward reads the VMs' rows after its intent is written.
    RowsAfterIntent,
    /// A new steward waits anew.
    WaitAgain,
    /// A reading is a lease only for a life whose row it shows.
    RowInReading,
    /// A VM that stops drops all before its row goes.
    DropFirst,
    /// A VM that has dropped all to stop learns nothing more.
    Deaf,
    /// A marked row goes only once no reading from before the mark is young.
    EvictionWaits,
    /// A row is removed only as it was.
    RemoveCompared,
}

/// How far a change of primary is where a search begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// All VMs know who leads, and no change is under way.
    Quiet,
    /// The steward wrote its intent half a term ago, and has not read the VMs' rows.
    Written,
    /// The steward has just written its intent, and read the rows.
    Waiting,
    /// The same, and another VM has taken the duty over.
    TakenOver,
}

/// How the last VM stands where a search begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Last {
    /// Like the others.
    Known,
    /// It is new: its row is there, and its first reading is on its way.
    New,
    /// It was marked as evicted a lease ago, and has read nothing since.
    Marked,
    /// The same, and its row is removed.
    Removed,
}

/// The bounds of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scope {
    /// How many VMs there are.
    pub vms: usize,
    /// How many of them may be steward.
    pub candidates: usize,
    /// The VM that asks others to vouch. More need not: what a VM vouches for does not depend on
    /// what others vouched for it.
    pub asker: usize,
    /// Where it begins.
    pub change: Change,
    /// How the last VM stands there.
    pub last: Last,
    /// How old all readings are at the start, in ticks.
    pub age: u8,
    /// How often the primary is replaced.
    pub changes: u8,
    /// How many processes may end and start again.
    pub restarts: u8,
    /// How many VMs may stop as planned.
    pub stops: u8,
    /// How many writes may be done after they were given up.
    pub late: u8,
    /// How many rows the steward may mark.
    pub evictions: u8,
    /// Whether VMs go on to read who leads, beside what a steward reads for its work.
    pub reads: bool,
    /// Whether states that differ only in which VM is which count as one.
    pub twins: bool,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Spec {
    scope: Scope,
    out: Option<Safeguard>,
    group: GroupId,
    database: DatabaseId,
}

/// A state of the VMs and the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    rows: Rows,
    vms: [Vm; VMS],
    /// Writes that were given up and are not done.
    late: Vec<Write>,
    /// The epoch of whoever the platform was last ordered to promote.
    leader: u8,
    restarts: u8,
    stops: u8,
    lates: u8,
    evictions: u8,
}

/// A write is acknowledged, or a read passed on, by way of a primary that was replaced.
pub const REPLACED: &str = "a replaced primary is acted on";
/// Two holders have the same token.
pub const SHARED: &str = "two holders share a token";
/// Not a fault: the steward may order while a lease went on by the word of others.
pub const ORDERED: &str = "a primary is replaced after a lease went on by the word of others";

impl Spec {
    /// A search within `scope`, with one safeguard taken `out`, or none.
    pub fn new(scope: Scope, out: Option<Safeguard>) -> Result<Self, Invalid> {
        Ok(Self {
            scope,
            out,
            group: "ledger".parse()?,
            database: "a".parse()?,
        })
    }

    fn kept(&self, safeguard: Safeguard) -> bool {
        self.out != Some(safeguard)
    }

    /// Where the search begins.
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
            lates: self.scope.late,
            evictions: self.scope.evictions,
        };
        for v in 0..self.scope.vms {
            state.rows.members[v] = Some(Row::default());
            state.vms[v].began = lead.epoch;
            state.vms[v].notes = Some(Notes {
                lead,
                age: self.scope.age,
                vouched: None,
            });
        }
        let mut duty = Duty::new(1);
        self.place_last(&mut state, &mut duty);
        self.begin_change(&mut state, &mut duty);
        state.vms[0].duty = Some(duty);
        state
    }

    fn place_last(&self, state: &mut State, duty: &mut Duty) {
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
                state.rows.apply(Write::Evict { vm, over: 0 });
                duty.seen[last] = Some((state.rows.versions[last], OLD));
            }
            Last::Removed => state.rows.remove(last),
        }
        if let Some(notes) = &mut state.vms[last].notes {
            notes.age = OLD;
        }
    }

    fn begin_change(&self, state: &mut State, duty: &mut Duty) {
        let change = self.scope.change;
        if change == Change::Quiet {
            return;
        }
        state.rows.lead.changing = true;
        let mut intent = Intent::new(state.rows.lead.epoch);
        intent.age = u8::from(change == Change::Written);
        duty.intent = Some(intent);
        if change != Change::Written {
            self.begin_to_wait(duty, &state.rows);
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

    /// Searches for an order that came after a lease had gone on, which has to be reached.
    pub fn search_order(&self, limit: usize) -> Report {
        let next = |state: &State| self.next(state);
        search(self.start(), limit, next, |state| {
            let vouched = |vm: &Vm| vm.notes.is_some_and(|notes| notes.vouched.is_some());
            let went_on = state.leader > 1 && state.vms.iter().any(vouched);
            self.broken(state).or(went_on.then_some(ORDERED))
        })
    }

    /// The property that `state` breaks.
    pub fn broken(&self, state: &State) -> Option<&'static str> {
        let replaced = |vm: &&Vm| vm.notes.is_some_and(|n| n.lead.epoch < state.leader);
        let mut behind = state.vms.iter().filter(replaced);
        if behind.any(|vm| self.acts(vm)) {
            return Some(REPLACED);
        }
        let tokens = || state.vms.iter().filter_map(|vm| Some(vm.duty?.token));
        let shared = tokens().any(|token| tokens().filter(|other| *other == token).count() > 1);
        shared.then_some(SHARED)
    }

    /// The steps out of `state`.
    pub fn next(&self, state: &State) -> Vec<Step<State, Event>> {
        let mut steps = Vec::new();
        let words = self.words(state);
        let mut take = |event, next: Option<State>| {
            let next = next.map(|next| match self.scope.twins {
                true => self.in_order(next),
                false => next,
            });
            let moved = next.filter(|next| next != state);
            steps.extend(moved.map(|state| Step { event, state }));
        };
        take(Event::Tick, Some(tick(state, None)));
        for v in 0..self.scope.vms {
            if !self.kept(Safeguard::PauseCounted) {
                take(Event::TickWhilePaused(v), Some(tick(state, Some(v))));
            }
            take(Event::Read(v), self.read(state, v));
            take(Event::Hear(v), self.hear(state, v));
            take(Event::Register(v), self.register(state, v));
            take(Event::Restart(v), self.restart(state, v));
            take(Event::Stop(v), self.stop(state, v));
            take(Event::Unregister(v), self.unregister(state, v));
        }
        let asker = self.scope.asker;
        for v in (0..self.scope.vms).filter(|v| *v != asker) {
            take(Event::Ask(asker, v), self.ask(state, v, &words));
            take(Event::Word(asker, v), self.word(state, v, &words));
        }
        for s in 0..self.scope.candidates {
            self.steward_steps(state, s, &mut take);
        }
        for n in 0..state.late.len() {
            take(Event::Late, Some(late(state, n)));
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

fn late(state: &State, n: usize) -> State {
    let mut next = state.clone();
    let write = next.late.remove(n);
    next.rows.apply(write);
    next
}

/// Keeps a write that nobody waits for any more, if the scope has room for it.
fn give_up(state: &State, write: Write) -> Option<State> {
    let mut next = state.clone();
    next.lates = state.lates.checked_sub(1)?;
    next.late.push(write);
    next.late.sort_unstable();
    Some(next)
}

fn with(state: &State, v: usize, change: impl FnOnce(&mut Vm)) -> State {
    let mut next = state.clone();
    change(&mut next.vms[v]);
    next
}
