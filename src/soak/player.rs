//! Plays troubles, one to three at a time, with calms between.

use crate::clock::Span;
use crate::soak::history::{Calm, History, Incident, all_groups};
use crate::soak::kind::{Generator, Trouble};
use crate::soak::{Plan, callers};
use crate::standin::direct::fault::Fault;
use crate::standin::direct::network::Node;
use crate::standin::direct::said::Record;
use crate::standin::direct::world::World;
use crate::types::{DatabaseId, GroupId, VmId};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Duration of a trouble that ends by itself.
const TRANSIENT_DURATION: Duration = Duration::from_secs(3);

/// Duration of a trouble with silent connections: the time that callers may wait on them, beside their
/// pauses.
const SILENCE_DURATION: Duration = Duration::from_secs(15);

/// Largest number of characters of a trouble in an event.
const MAX_EVENT_CHARS: usize = 160;

/// Plays the troubles of a soak.
pub struct Player {
    /// The simulated deployment.
    pub world: Rc<World>,
    /// The statements of callers.
    pub record: Record,
    /// The troubles that were played.
    pub history: Rc<RefCell<History>>,
    /// The parameters of the soak.
    pub plan: Rc<Plan>,
    /// The source of random numbers.
    pub generator: Generator,
}

impl std::fmt::Debug for Player {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Player").finish_non_exhaustive()
    }
}

/// A trouble that has not begun.
#[derive(Debug, Clone)]
struct Planned {
    begins: Instant,
    duration: Duration,
    kind: Box<str>,
}

/// A trouble that has begun.
#[derive(Debug)]
struct Open {
    ends: Instant,
    trouble: Trouble,
}

impl Player {
    /// Plays troubles until the given time; the last round ends before it.
    pub async fn run(mut self, until: Instant) {
        loop {
            let begin = Instant::now();
            self.history
                .borrow_mut()
                .calms
                .push(Calm { begin, end: None });
            let calm = self.plan.calm.0;
            let next = begin + Span(calm / 2 + self.generator.below(calm + 1)).into();
            // The longest round, a rolling restart, must end in time.
            if next + Duration::from_secs(30) > until {
                return;
            }
            sleep_until(next).await;
            self.check_ready(begin);
            if let Some(calm) = self.history.borrow_mut().calms.last_mut() {
                calm.end = Some(Instant::now());
            }
            self.play_round().await;
        }
    }

    /// After a calm of at least the recovery time each VM must be ready.
    fn check_ready(&self, since: Instant) {
        let now = Instant::now();
        if now < since + self.plan.profile.recovery.into() {
            return;
        }
        for vm in self.world.all_vms() {
            if !self.world.is_ready(&vm) {
                let text = format!("{vm} is not ready in a calm");
                self.history.borrow_mut().broken.push((now, text.into()));
            }
        }
    }

    /// Plays one to three troubles that begin close together.
    async fn play_round(&mut self) {
        let mut planned = self.planned();
        let mut open: Vec<Open> = Vec::new();
        loop {
            let begins = planned.first().map(|planned| planned.begins);
            let ends = open.iter().map(|open| open.ends).min();
            let Some(next) = begins.into_iter().chain(ends).min() else {
                return;
            };
            sleep_until(next).await;
            if let Some(index) = open.iter().position(|open| open.ends <= next) {
                self.end(open.remove(index));
                continue;
            }
            let planned = planned.remove(0);
            open.extend(self.begin(&planned, &open));
        }
    }

    fn planned(&mut self) -> Vec<Planned> {
        let now = Instant::now();
        let window = [1, 150, 1_500, 5_000][self.generator.below(4) as usize];
        let mut planned = Vec::new();
        for _ in 0..1 + self.generator.below(3) {
            let begins = now + Duration::from_millis(self.generator.below(window));
            let most = [600, 2_500, 8_000][self.generator.below(3) as usize];
            let duration = self.generator.span(100, most).into();
            let Some(kind) = self.generator.choose(&self.plan.kinds) else {
                break;
            };
            planned.push(Planned {
                begins,
                duration,
                kind,
            });
        }
        planned.sort_by_key(|planned| planned.begins);
        planned
    }

    fn begin(&mut self, planned: &Planned, open: &[Open]) -> Option<Open> {
        let trouble = self.generator.trouble(&self.world, &planned.kind)?;
        if open.iter().any(|open| conflicts(&open.trouble, &trouble)) {
            return None;
        }
        let begin = Instant::now();
        let ends = begin + duration(&trouble, planned.duration);
        match &trouble {
            Trouble::World(fault) => fault.begin(&self.world),
            Trouble::Burst(count) => {
                let seed = self.generator.below(u64::MAX);
                callers::spawn_burst(&self.world, &self.record, &self.plan, *count, seed, ends);
            }
            Trouble::Rest(count) => {
                callers::spawn_idle_transactions(&self.world, &self.record, *count, ends)
            }
        }
        let mut history = self.history.borrow_mut();
        history.event(begin, describe("begin", &trouble));
        history.add_incident(Incident {
            kind: planned.kind.clone(),
            groups: groups_of(&self.world, &trouble),
            vms: vms_of(&trouble),
            begin,
            end: ends,
            counted: false,
        });
        Some(Open { ends, trouble })
    }

    fn end(&mut self, open: Open) {
        if let Trouble::World(fault) = &open.trouble {
            fault.end(&self.world);
        }
        let now = Instant::now();
        let text = describe("end", &open.trouble);
        self.history.borrow_mut().event(now, text);
    }
}

/// Describes a trouble in an event; a long list of VMs is truncated.
fn describe(what: &str, trouble: &Trouble) -> Box<str> {
    let text = match trouble {
        Trouble::World(fault) => format!("{what} {fault:?}"),
        trouble => format!("{what} {trouble:?}"),
    };
    match text.chars().count() > MAX_EVENT_CHARS {
        true => {
            let short: String = text.chars().take(MAX_EVENT_CHARS).collect();
            format!("{short}...").into()
        }
        false => text.into(),
    }
}

/// The duration of a trouble, given the drawn one.
fn duration(trouble: &Trouble, drawn: Duration) -> Duration {
    let Trouble::World(fault) = trouble else {
        return drawn.max(Duration::from_secs(1));
    };
    match fault {
        Fault::Leave(_, drain) => Duration::from(*drain) + TRANSIENT_DURATION,
        Fault::Roll(vms, grace, gap) => {
            Duration::from(*gap) * vms.len() as u32 + Duration::from(*grace) + TRANSIENT_DURATION
        }
        Fault::Stop(_, grace) => Duration::from(*grace) + drawn / 4,
        Fault::Storm(count, gap) => Duration::from(*gap) * *count,
        Fault::Flap(..) | Fault::Starve(..) => drawn.max(TRANSIENT_DURATION),
        Fault::StoreLosing(_) => drawn.max(TRANSIENT_DURATION),
        Fault::Replace(_) | Fault::Forget | Fault::Jump(..) => TRANSIENT_DURATION,
        Fault::Reset => TRANSIENT_DURATION,
        // Long enough for callers that pause to send the next statement on their silent connection.
        Fault::Silence | Fault::SilencePeers => SILENCE_DURATION,
        _ => drawn,
    }
}

/// Whether two troubles can't be played at once, because the end of one would end the other.
fn conflicts(a: &Trouble, b: &Trouble) -> bool {
    let (Trouble::World(a), Trouble::World(b)) = (a, b) else {
        return false;
    };
    let many = |fault: &Fault| matches!(fault, Fault::KillAll(_) | Fault::Roll(..));
    let vms = |fault: &Fault| vm_of(fault).is_some();
    if (many(a) && (many(b) || vms(b))) || (many(b) && vms(a)) {
        return true;
    }
    let same_vm = vm_of(a).is_some() && vm_of(a) == vm_of(b);
    let same_database = database_of(a).is_some() && database_of(a) == database_of(b);
    let same_kind = std::mem::discriminant(a) == std::mem::discriminant(b);
    let single = |fault: &Fault| {
        matches!(
            fault,
            Fault::Store(..) | Fault::StoreSlow(_) | Fault::StoreLosing(_) | Fault::Orders(_)
        )
    };
    same_vm || same_database || (same_kind && single(a))
}

fn vm_of(fault: &Fault) -> Option<&VmId> {
    match fault {
        Fault::Kill(vm) | Fault::Stop(vm, _) | Fault::Freeze(vm) | Fault::Jump(vm, _) => Some(vm),
        Fault::Starve(vm, _) | Fault::Replace(vm) => Some(vm),
        Fault::Dark(Node::Vm(vm)) | Fault::SlowLink(Node::Vm(vm), _) => Some(vm),
        Fault::Cut(Node::Vm(vm), _) => Some(vm),
        _ => None,
    }
}

fn database_of(fault: &Fault) -> Option<&DatabaseId> {
    match fault {
        Fault::Crash(id) | Fault::Leave(id, _) | Fault::Deaf(id) | Fault::Lag(id, _) => Some(id),
        Fault::Slow(id, _) | Fault::LoseAnswers(id, _) | Fault::Fail(id, _) => Some(id),
        Fault::Grey(id, _) | Fault::Flap(id, _) => Some(id),
        Fault::Dark(Node::Database(id)) | Fault::Sever(Node::Database(id), _) => Some(id),
        Fault::Cut(Node::Database(id), _) => Some(id),
        _ => None,
    }
}

fn groups_of(world: &Rc<World>, trouble: &Trouble) -> Vec<GroupId> {
    let Trouble::World(fault) = trouble else {
        return all_groups(world);
    };
    match database_of(fault).and_then(|id| world.database(id)) {
        Some((group, _)) => vec![group.id.clone()],
        None => all_groups(world),
    }
}

/// The VMs that a trouble affects directly; `None` means all.
fn vms_of(trouble: &Trouble) -> Option<Vec<VmId>> {
    let Trouble::World(fault) = trouble else {
        return Some(Vec::new());
    };
    match fault {
        Fault::KillAll(vms) | Fault::Roll(vms, _, _) => Some(vms.clone()),
        Fault::Reset | Fault::Silence | Fault::SilencePeers => None,
        Fault::Cut(Node::Vm(a), Node::Vm(b)) => Some(vec![a.clone(), b.clone()]),
        fault => Some(vm_of(fault).cloned().into_iter().collect()),
    }
}
