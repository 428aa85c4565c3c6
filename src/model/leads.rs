//! How each VM knows who leads, and how a primary is replaced, as a specification to search.
//!
//! Some VMs, of which two may be steward, the rows in the store, one group of three databases, and
//! the platform that is ordered to promote. What a VM believes is the real `direct::lead::Leases`.
//! Nothing at a database fences anyone: a replaced primary goes on for ever.
//!
//! Leases are those of one reading, of [`lead::TERM`](crate::direct::lead::TERM); that they go on by
//! the word of other VMs is searched in [`vouch`](crate::model::vouch).
//!
//! A step that does not happen was lost, cut off, or asleep, so loss, delay, partition and pause
//! need no event of their own. The end of a process, a write that the store does long after it was
//! given up, and a clock that misses a pause have theirs. An order leaves in the same step in which
//! the clock was looked at: a pause between the two is beyond what any clock can guard against,
//! where the platform checks no token.

mod belief;
mod event;
mod steward;
mod store;
mod vm;

use crate::model::search::{Report, Step, search};
use crate::types::{DatabaseId, GroupId, Invalid};
pub use event::Event;
use store::{Age, DutyRow, LeadRow, MemberRow, Rows, Write};
use vm::{Intent, Members, Notes, Vm, Watch, older};

const VMS: usize = 3;
/// The VMs that may be steward.
const CANDIDATES: usize = 2;
const DATABASES: [&str; 3] = ["a", "b", "c"];
/// How long a lease is without the word of other VMs, in ticks.
const LEASE: Age = 2;
/// How long a renewal of the duty counts, in ticks.
const DUTY: Age = 1;
/// A rule that keeps a property; the search can be run with one of them taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A reading counts from when it was asked, not from its answer.
    AskedTime,
    /// What the steward tells counts from when it was asked, so that time on the way is in it.
    ToldAge,
    /// The clock counts pauses.
    PauseCounted,
    /// The lease is looked at again after the database's answer was read.
    CheckAfter,
    /// A reading is a lease only for a VM whose row it shows.
    RowInReading,
    /// The steward tells a VM only what shows that VM's row.
    RowInNews,
    /// The steward reads the VMs' rows after its intent is written.
    RowsAfterIntent,
    /// A VM that drops an epoch says so.
    DropConfirmed,
    /// A drop counts also for a VM that has read nothing yet.
    DropBeforeReading,
    /// A VM that does not answer is waited for.
    WaitOut,
    /// The wait counts from the answer to the intent, not from when that was asked.
    WaitFromAnswer,
    /// The wait counts from the intent, not from when the VM last spoke to the steward.
    WaitFromIntent,
    /// A new steward waits anew.
    WaitAgain,
    /// A newer epoch is never gone back from.
    NeverBack,
    /// The order follows a renewal of the duty.
    RenewBeforeOrder,
    /// The renewal counts from when it was asked, not from its answer.
    RenewalAsked,
    /// An order that has not arrived by its deadline is reset.
    Deadline,
    /// The end of a process resets its order.
    EndResets,
    /// The duty is taken over only from a holder that has ended, or whose row has not changed.
    TakeOverWaits,
    /// The duty's row changes by compare-and-set.
    CompareAndSet,
    /// The fencing token rises when the duty is taken over.
    TokenRises,
    /// Who offered the duty renews it before the next order.
    OfferEnds,
    /// Who is offered the duty takes it only as it was then.
    OfferCompared,
    /// The new primary is named only by who still has the duty.
    PublishUnderDuty,
    /// A row is removed only as it was.
    RemoveCompared,
    /// A row is removed, or passed over, only once a lease is over since it was marked.
    EvictionWaits,
}

/// The bounds of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scope {
    /// How many VMs there are.
    pub vms: usize,
    /// How many of them have a row and a lease at the start.
    pub known: usize,
    /// How often the primary is replaced.
    pub changes: u8,
    /// The highest token.
    pub tokens: u8,
    /// How often the duty's row is written.
    pub renewals: u8,
    /// How many processes may end and start again.
    pub restarts: u8,
    /// How many writes may be done after they were given up.
    pub late: u8,
    /// How many rows the steward may mark.
    pub evictions: u8,
    /// Whether to start where the steward's order was just done, all VMs having dropped the epoch,
    /// and another VM has long seen the duty's row unchanged.
    pub ordered: bool,
}

/// The specification.
#[derive(Debug, Clone)]
pub struct Spec {
    scope: Scope,
    out: Option<Safeguard>,
    group: GroupId,
    databases: [DatabaseId; DATABASES.len()],
}

/// An order to promote that has not arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Order {
    vm: u8,
    life: u8,
    token: u8,
    database: u8,
    /// Since the renewal under which it was given was asked.
    age: Age,
}

/// A state of the VMs, the store and the platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    rows: Rows,
    vms: [Vm; VMS],
    orders: Vec<Order>,
    /// Writes that were given up and are not done.
    late: Vec<Write>,
    /// Who leads, as the platform has it.
    leader: u8,
    /// The highest token that the platform has seen, with its holder and that one's life.
    seen: (u8, u8, u8),
    restarts: u8,
    lates: u8,
    evictions: u8,
    broken: Option<&'static str>,
}

/// A write is acknowledged, or a read passed on, by way of a primary that was replaced.
pub const REPLACED: &str = "a replaced primary is acted on";
/// Two holders have the same token.
pub const SHARED: &str = "two holders share a token";
/// The platform sees a lower token than it has seen.
pub const LOWER: &str = "the platform sees a lower token after a higher one";
/// A holder orders a promotion while another has the duty.
pub const TURN: &str = "a holder promotes within the other's term";
/// Not a fault: the last change of primary within the scope is over, and all VMs know.
pub const CHANGED: &str = "all VMs have a lease on the last primary";

impl Spec {
    /// A search within `scope`, with one safeguard taken `out`, or none.
    pub fn new(scope: Scope, out: Option<Safeguard>) -> Result<Self, Invalid> {
        let [a, b, c] = DATABASES;
        Ok(Self {
            scope,
            out,
            group: "ledger".parse()?,
            databases: [a.parse()?, b.parse()?, c.parse()?],
        })
    }

    fn kept(&self, safeguard: Safeguard) -> bool {
        self.out != Some(safeguard)
    }

    /// The first VM is steward, and those that are known have just read that the first database
    /// leads.
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
            vm.began = lead.epoch;
            vm.notes = Some(Notes {
                lead,
                age: 0,
                shows: (1 << known) - 1,
            });
        }
        vms[0].duty = Some(self.duty(1, 1, LEASE));
        let state = State {
            rows,
            vms,
            orders: Vec::new(),
            late: Vec::new(),
            leader: 0,
            seen: (1, 0, 0),
            restarts: self.scope.restarts,
            lates: self.scope.late,
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

    /// Searches for the end of the last change of primary, which has to be reached.
    pub fn search_change(&self, limit: usize) -> Report {
        let last = self.scope.changes + 1;
        let next = |state: &State| self.next(state);
        search(self.start(), limit, next, |state| {
            let holds = |vm: &Vm| self.lease(vm).is_some_and(|(epoch, _)| epoch == last);
            let all = state.vms[..self.scope.vms].iter().all(holds);
            state.broken.or(all.then_some(CHANGED))
        })
    }

    /// The steps out of `state`.
    pub fn next(&self, state: &State) -> Vec<Step<State, Event>> {
        let mut steps = Vec::new();
        let mut take = |event, next: Option<State>| {
            let moved = next.filter(|next| next != state);
            steps.extend(moved.map(|state| Step { event, state }));
        };
        take(Event::Tick, Some(self.tick(state, None)));
        for v in 0..self.scope.vms {
            if !self.kept(Safeguard::PauseCounted) {
                take(Event::TickWhilePaused(v), Some(self.tick(state, Some(v))));
            }
            take(Event::Read(v), self.read(state, v));
            take(Event::Hear(v), self.hear(state, v));
            take(Event::GiveUp(v), self.give_up(state, v));
            take(Event::Register(v), self.register(state, v));
            take(Event::HearNews(v), self.hear_news(state, v));
            take(Event::HearOffer(v), self.hear_offer(state, v));
            take(Event::Restart(v), self.restart(state, v));
            take(Event::StopAndStart(v), self.stop_and_start(state, v));
            take(Event::Send(v), self.send(state, v));
            if let Some((database, next)) = self.acknowledge(state, v) {
                take(Event::Acknowledge(v, database), Some(next));
            }
        }
        for s in 0..CANDIDATES.min(self.scope.vms) {
            self.steward_steps(state, s, &mut take);
        }
        for order in &state.orders {
            let event = Event::Arrive(order.token, order.database);
            take(event, Some(self.arrive(state, *order)));
        }
        for n in 0..state.late.len() {
            take(Event::Late, Some(late(state, n)));
        }
        steps
    }

    fn tick(&self, state: &State, paused: Option<usize>) -> State {
        let mut next = state.clone();
        let (asked, told) = (
            self.kept(Safeguard::AskedTime),
            self.kept(Safeguard::ToldAge),
        );
        for (v, vm) in next.vms.iter_mut().enumerate() {
            if paused != Some(v) {
                vm.tick(asked, told);
            }
        }
        for order in &mut next.orders {
            if paused != Some(order.vm.into()) {
                older(&mut order.age);
            }
        }
        if self.kept(Safeguard::Deadline) {
            next.orders.retain(|order| order.age < DUTY);
        }
        next
    }

    fn arrive(&self, state: &State, order: Order) -> State {
        let mut next = state.clone();
        next.orders.retain(|other| *other != order);
        let (token, vm, life) = state.seen;
        let same = (order.vm, order.life) == (vm, life);
        next.broken = match order.token.cmp(&token) {
            std::cmp::Ordering::Less => Some(LOWER),
            std::cmp::Ordering::Equal if !same => Some(SHARED),
            _ if order.token < state.rows.duty.token => Some(TURN),
            _ => None,
        };
        next.seen = (order.token, order.vm, order.life);
        next.leader = order.database;
        let sender = &mut next.vms[usize::from(order.vm)];
        let duty = sender.duty.as_mut().filter(|_| sender.life == order.life);
        let intent = duty.and_then(|duty| duty.intent.as_mut());
        if let Some(intent) = intent.filter(|i| i.ordered == Some(order.database)) {
            intent.done = true;
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
        vm.dropped = vm.began;
    }
    state.vms[1].watch = Some(Watch {
        version: row.version,
        token: row.token,
        age: LEASE,
    });
    if let Some(duty) = &mut state.vms[0].duty {
        duty.version = row.version;
        duty.intent = Some(Intent {
            age: 0,
            lead: state.rows.lead.version,
            members: Some(Members::of(&state.rows)),
            confirmed: u8::MAX,
            ordered: Some(state.leader),
            done: true,
        });
    }
    state
}

fn with(state: &State, v: usize, change: impl FnOnce(&mut Vm)) -> State {
    let mut next = state.clone();
    change(&mut next.vms[v]);
    next
}

/// Keeps a write that nobody waits for any more, if the scope has room for it.
fn give_up(state: &mut State, write: Write) -> bool {
    let Some(lates) = state.lates.checked_sub(1) else {
        return false;
    };
    state.lates = lates;
    state.late.push(write);
    state.late.sort_unstable();
    true
}

fn late(state: &State, n: usize) -> State {
    let mut next = state.clone();
    let write = next.late.remove(n);
    next.rows.apply(write);
    next
}
