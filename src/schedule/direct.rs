//! Random schedules over whole worlds of direct access.
//!
//! Callers of all kinds call on all VMs while a few faults, drawn from the seed, come and go,
//! often aimed at the VM that last wrote to the store. Then all is mended, and after a while
//! every caller has to be served again.

use crate::clock::Span;
use crate::direct::table::Era;
use crate::schedule::Error;
use crate::standin::direct::caller::{Caller, Session};
use crate::standin::direct::check::{self, Count, check};
use crate::standin::direct::fault::Fault;
use crate::standin::direct::host;
use crate::standin::direct::network::Node;
use crate::standin::direct::orders;
use crate::standin::direct::program::program;
use crate::standin::direct::said::{Record, Said};
use crate::standin::direct::setup::Setup;
use crate::standin::direct::store::{self, Losing};
use crate::standin::direct::world::World;
use crate::types::{DatabaseId, VmId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// How long the VMs have to start.
const WARM: Duration = Duration::from_secs(4);

/// For how long faults begin.
const FAULTS: u64 = 20_000;

/// When all is mended.
const MENDED: Duration = Duration::from_secs(30);

/// How long the system has until it has to serve again.
const RECOVERY: Duration = Duration::from_secs(15);

/// For how long it is looked at then.
const AFTERWARDS: Duration = Duration::from_secs(4);

/// How long callers pause between statements at most.
const PAUSE: Duration = Duration::from_millis(160);

/// How long an answer may take: a route's time, which is 5 s, and a little.
const ANSWERED: Duration = Duration::from_millis(5_500);

/// The most faults of a schedule.
const MOST: u64 = 5;

/// How many VMs more a fleet has: of 20 to 22 in three failure domains six read the store for all.
const FLEET_VMS: usize = 18;

/// VMs more than usual, and connections that a database takes, where not all VMs have their own.
const MORE_VMS: usize = 3;
const FEW_CONNECTIONS: u32 = 8;

/// What came of one seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// What was played and who came to lead, after its milliseconds since the world began.
    pub script: Vec<Box<str>>,
    /// What callers were told.
    pub told: Count,
    /// Properties that were broken.
    pub broken: Vec<Box<str>>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}: {}", self.seed, self.told)?;
        for broken in &self.broken {
            write!(f, "\n  BROKEN: {broken}")?;
        }
        Ok(())
    }
}

/// A fault, when it begins and when it ends.
#[derive(Debug, Clone)]
struct Planned {
    begins: Duration,
    ends: Duration,
    fault: Option<Fault>,
}

/// What a schedule has beyond its seed; the same faults come at the same moments with each.
#[derive(Debug, Clone, Copy, Default)]
pub struct Variant {
    /// More VMs than have connections, so that most reach databases through others.
    pub crowded: bool,
    /// A database that crashes starts again with nothing of before.
    pub reborn: bool,
    /// As many VMs as let a few read the store for all.
    pub fleet: bool,
    /// A store that would be down comes back from an older copy instead.
    pub drill: bool,
}

/// Plays the schedule of `seed`.
pub fn play(seed: u64, variant: Variant) -> Result<Report, Error> {
    host::simulate(run(seed, variant)).map_err(|_| Error::Setup)?
}

async fn run(seed: u64, variant: Variant) -> Result<Report, Error> {
    let started = Instant::now();
    let mut draw = Draw {
        random: ChaCha8Rng::seed_from_u64(seed),
        reborn: variant.reborn,
        drill: variant.drill,
    };
    let mut setup = draw.setup();
    if variant.crowded {
        setup.vms += MORE_VMS;
        setup.connections = FEW_CONNECTIONS;
    }
    if variant.fleet {
        setup.vms += FLEET_VMS;
    }
    if variant.drill {
        setup.era = Era(1);
    }
    let world = World::start(setup, program()).map_err(|_| Error::Setup)?;
    let record = Record::default();
    sleep(WARM).await;
    let begun = Instant::now();
    let over = begun + MENDED + RECOVERY + AFTERWARDS;
    call(&world, &record, seed, over);
    let (mut events, faults) = draw.play(&world, begun).await;
    sleep_until(over).await;
    // What is under way ends.
    sleep(Duration::from_secs(11)).await;
    let mut report = judge(&world, &record.borrow(), started, begun, &faults);
    report.broken.extend(configured(&world, &record).await);
    events.extend(changes(&world));
    events.sort_by_key(|(at, _)| *at);
    let script = events.iter().map(|(at, what)| {
        let at = at.duration_since(started).as_millis();
        format!("{at} ms: {what}").into()
    });
    Ok(Report {
        seed,
        script: script.collect(),
        told: report.counts,
        broken: report.broken,
    })
}

/// What happened, and when.
type Event = (Instant, String);

/// Orders and changes of primary.
fn changes(world: &World) -> Vec<Event> {
    let journal = world.journal.borrow();
    let orders = journal.orders.iter().map(|order| {
        let (holder, token, database) = (&order.holder, order.token, &order.database);
        let text = format!("{holder} orders {database} to lead, token {token}");
        (order.at, text)
    });
    let failovers = journal.failovers.iter();
    let failovers = failovers.map(|failover| (failover.at, format!("{} leads", failover.database)));
    orders.chain(failovers).collect()
}

fn call(world: &Rc<World>, record: &Record, seed: u64, until: Instant) {
    let mut number = seed.wrapping_mul(1_000);
    for group in 0..world.setup.groups {
        for kind in ["primary", "bounded", "session"] {
            for domain in 0..3 {
                number += 1;
                let route = format!("{kind}{group}");
                let caller = Caller::new(world, record, domain, &route, number, PAUSE);
                tokio::task::spawn_local(caller.run(until));
            }
        }
    }
}

/// What the callers were told, against what happened.
fn judge(
    world: &World,
    said: &[Said],
    started: Instant,
    begun: Instant,
    faults: &[Fault],
) -> check::Report {
    let mut judged = check(world, started, said);
    let last = begun + MENDED + RECOVERY;
    judged.broken.extend(served(world, said, last));
    judged.broken.extend(held(said, faults));
    judged
}

/// Each VM is ready and serves almost all once all was mended for a while.
fn served(world: &World, said: &[Said], since: Instant) -> Vec<Box<str>> {
    let mut broken: Vec<Box<str>> = Vec::new();
    for number in 0..world.setup.vms {
        let Ok(vm) = World::vm(number) else { continue };
        if !world.is_ready(&vm) {
            broken.push(format!("{vm} is not ready in the end").into());
        }
    }
    let last = said.iter().filter(|said| said.sent > since);
    let (all, done) = last.fold((0, 0), |(all, done), said| {
        (all + 1, done + usize::from(said.is_done()))
    });
    if done * 10 < all * 9 || all == 0 {
        broken.push(format!("{done} of {all} served in the end").into());
    }
    broken
}

/// Every statement is answered about when its route's time is over, by a VM that ran all along
/// and was reached by its callers.
fn held(said: &[Said], faults: &[Fault]) -> Vec<Box<str>> {
    let excused = |vm: &VmId| {
        faults.iter().any(|fault| match fault {
            Fault::Freeze(struck) | Fault::Kill(struck) | Fault::Stop(struck, _) => struck == vm,
            Fault::Dark(Node::Vm(struck)) => struck == vm,
            Fault::Reset | Fault::Silence => true,
            _ => false,
        })
    };
    let late = said.iter().filter(|said| {
        let answered = said.told.as_ref().map(|(at, _)| *at);
        let ended = answered.or(said.broke);
        ended.is_some_and(|ended| ended - said.sent > ANSWERED) && !excused(&said.vm)
    });
    late.map(|said| format!("answered late or never: {said:?}").into())
        .collect()
}

/// Each VM has the last configuration in force, and no older one.
async fn configured(world: &Rc<World>, record: &Record) -> Vec<Box<str>> {
    let configs: Vec<_> = {
        let configs = world.configs.borrow();
        let configs = configs.iter().rev().take(2);
        configs.map(|(_, config)| config.clone()).collect()
    };
    let mut broken: Vec<Box<str>> = Vec::new();
    let [last, before] = &configs[..] else {
        return broken;
    };
    for number in 0..world.setup.vms {
        let Ok(vm) = World::vm(number) else { continue };
        for route in last.routes.keys().chain(before.routes.keys()) {
            let meant = last.routes.contains_key(route);
            let opened = Session::open(world, record, 0, &vm, route).await.is_ok();
            if opened != meant {
                let text = format!("{vm} opens {route}: {opened}, and should: {meant}");
                broken.push(text.into());
            }
        }
    }
    broken
}

struct Draw {
    random: ChaCha8Rng,
    reborn: bool,
    drill: bool,
}

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    fn one<T: Clone>(&mut self, from: &[T]) -> Option<T> {
        let index = self.below(from.len() as u64) as usize;
        from.get(index).cloned()
    }

    fn setup(&mut self) -> Setup {
        Setup {
            vms: 2 + self.below(3) as usize,
            groups: 1 + usize::from(self.below(4) == 0),
            promotion: Duration::from_millis([300, 1_000][self.below(2) as usize]),
            ..Setup::default()
        }
    }

    /// Plays the faults, and ends them all.
    async fn play(&mut self, world: &Rc<World>, begun: Instant) -> (Vec<Event>, Vec<Fault>) {
        let mut events = Vec::new();
        let mut faults = Vec::new();
        let mut moments = self.moments();
        let mut open: Vec<(Duration, Fault)> = Vec::new();
        loop {
            let begins = moments.first().map(|planned| planned.begins);
            let ends = open.iter().map(|(ends, _)| *ends).min();
            let Some(next) = begins.into_iter().chain(ends).min() else {
                break;
            };
            sleep_until(begun + next).await;
            let mut note = |what: &str, fault: &Fault| {
                events.push((begun + next, format!("{what} {fault:?}")));
            };
            if let Some(index) = open.iter().position(|(ends, _)| *ends <= next) {
                let (_, fault) = open.remove(index);
                fault.end(world);
                note("end", &fault);
                continue;
            }
            let mut planned = moments.remove(0);
            planned.fault = self.fault(world);
            if let Some(fault) = planned.fault {
                fault.begin(world);
                note("begin", &fault);
                faults.push(fault.clone());
                open.push((planned.ends, fault));
            }
        }
        sleep_until(begun + MENDED).await;
        (events, faults)
    }

    fn moments(&mut self) -> Vec<Planned> {
        let count = 1 + self.below(MOST);
        // Faults that come close together find more.
        let window = [150, 1_500, 6_000, FAULTS][self.below(4) as usize];
        let first = self.below(FAULTS - window + 1);
        let mut moments: Vec<_> = (0..count)
            .map(|_| {
                let begins = first + self.below(window);
                let lasts = [300, 2_000, 9_500][self.below(3) as usize];
                let lasts = 50 + self.below(lasts);
                Planned {
                    begins: Duration::from_millis(begins),
                    ends: Duration::from_millis(begins + lasts),
                    fault: None,
                }
            })
            .collect();
        moments.sort_by_key(|planned| planned.begins);
        moments
    }

    /// A VM; often the one that last wrote to the store.
    fn vm(&mut self, world: &World) -> Option<VmId> {
        let running = world.running();
        let writers = world.store.log();
        let mut writers = writers.iter().rev();
        let last = writers.find_map(|written| written.by.clone());
        match last {
            Some(last) if self.below(2) == 0 && running.contains(&last) => Some(last),
            _ => self.one(&running),
        }
    }

    /// A database; often the one that leads.
    fn database(&mut self, world: &World) -> Option<DatabaseId> {
        let group = self.one(&world.groups)?;
        if self.below(2) == 0 {
            return Some(group.leader());
        }
        let members = group.members();
        Some(self.one(&members)?.spec.id.clone())
    }

    fn span(&mut self, bound: u64) -> Span {
        Span::from_millis(1 + self.below(bound))
    }

    fn fault(&mut self, world: &World) -> Option<Fault> {
        let (vm, database) = (self.vm(world)?, self.database(world)?);
        let (node, at) = (Node::Vm(vm.clone()), Node::Database(database.clone()));
        let fault = match self.drawn(world, vm, database, node, at)? {
            Fault::Crash(database) if self.reborn => Fault::Reborn(database),
            Fault::Store(..) | Fault::StoreSlow(_) | Fault::Forget | Fault::Orders(_)
                if self.drill =>
            {
                Fault::Restore(self.span(8_000), self.span(2_000))
            }
            fault => fault,
        };
        // A machine reaches itself.
        (!matches!(&fault, Fault::Cut(a, b) if a == b)).then_some(fault)
    }

    fn drawn(
        &mut self,
        world: &World,
        vm: VmId,
        database: DatabaseId,
        node: Node,
        at: Node,
    ) -> Option<Fault> {
        Some(match self.below(27) {
            0 | 1 => Fault::Crash(database),
            2 => Fault::Dark(at),
            3 => Fault::Dark(node),
            4 => Fault::Cut(node, at),
            5 => Fault::Cut(node, Node::Store),
            6 => Fault::Cut(node, Node::Orders),
            7 => Fault::Cut(node, Node::Vm(self.vm(world)?)),
            8 => Fault::Cut(at, Node::Database(self.database(world)?)),
            9 => Fault::Cut(at, Node::Store),
            10 => Fault::Leave(database, Span::from_millis(7_000 + self.below(3_000))),
            11 => Fault::Deaf(database),
            12 => Fault::Lag(database, self.span(4_000)),
            13 => Fault::Slow(database, self.span(400)),
            14 => Fault::LoseAnswers(database, 1 + self.below(6) as u32),
            15 => Fault::Fail(database, 1 + self.below(3) as u32),
            16 | 17 => Fault::Kill(vm),
            18 => Fault::Stop(vm, Span::from_secs(6)),
            19 | 20 => Fault::Freeze(vm),
            21 => self.store(world)?,
            22 => Fault::StoreSlow(self.span(600)),
            23 => self.losing(),
            24 => match self.below(4) {
                0 => Fault::Forget,
                1 => Fault::Jump(vm, self.span(5_000)),
                2 => Fault::Orders(orders::Health::Losing),
                _ => Fault::Orders(orders::Health::Refusing),
            },
            25 => Fault::Configure,
            _ => match self.below(2) {
                0 => Fault::Reset,
                _ => Fault::Silence,
            },
        })
    }

    fn store(&mut self, world: &World) -> Option<Fault> {
        use store::Health::{Refusing, Reset, Silent};
        let health = [Refusing, Silent, Reset][self.below(3) as usize];
        let only = match self.below(2) {
            0 => None,
            _ => Some([self.vm(world)?].into()),
        };
        Some(Fault::Store(health, only))
    }

    fn losing(&mut self) -> Fault {
        let later = Span::from_millis(1_000 + self.below(5_000));
        let losing = [Losing::Now, Losing::Later(later)][self.below(2) as usize];
        Fault::StoreLosing(losing)
    }
}
