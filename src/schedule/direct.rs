//! Runs random schedules over whole simulated deployments of direct access.
//!
//! Callers on every kind of route use the VMs while a few faults, drawn from the seed, begin and end;
//! faults often hit the VM that last wrote to the store. Then all faults end, and after a recovery time
//! callers must be served again.

use crate::clock::Span;
use crate::direct::table::Era;
use crate::schedule::{Error, pressure};
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

/// Time for the VMs to start.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Milliseconds after the start in which faults begin.
const FAULT_WINDOW: u64 = 20_000;

/// The time after the start by which all faults have ended.
const FAULTS_END: Duration = Duration::from_secs(30);

/// Time that the system has to recover once all faults have ended.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// When the flood of a pressed schedule begins, how long it goes on once all faults have ended, and how long
/// after their end its callers are checked: a new allocator's bucket has filled by then.
const FLOOD_BEGINS: Duration = Duration::from_secs(5);
const FLOOD_AFTER_FAULTS: Duration = Duration::from_secs(10);
const CALM_AFTER_FAULTS: Duration = Duration::from_secs(5);

/// Duration of the final check, in which callers must be served.
const CHECK_TIME: Duration = Duration::from_secs(4);

/// Longest pause of a caller between statements.
const MAX_PAUSE: Duration = Duration::from_millis(160);

/// Longest time to an answer: the route's timeout of 5 s and a margin.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(5_500);

/// Largest number of faults in a schedule.
const MAX_FAULTS: u64 = 5;

/// Additional VMs of a fleet: six of its 20 to 22 VMs in three failure domains read the store for all.
const EXTRA_FLEET_VMS: usize = 18;

/// Additional VMs, and connections per database, of a crowded schedule, in which some VMs have no
/// connections of their own.
const EXTRA_VMS: usize = 3;
const CROWDED_CONNECTIONS: u32 = 8;

/// The result of one seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Faults, promotion orders and changes of primary, each with its milliseconds since the start.
    pub script: Vec<Box<str>>,
    /// The number of statements by outcome.
    pub outcomes: Count,
    /// Descriptions of the broken properties.
    pub broken: Vec<Box<str>>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}: {}", self.seed, self.outcomes)?;
        for broken in &self.broken {
            write!(f, "\n  BROKEN: {broken}")?;
        }
        Ok(())
    }
}

/// A fault with its begin and end, both since the start of the faults.
#[derive(Debug, Clone)]
struct Planned {
    begins: Duration,
    ends: Duration,
    fault: Option<Fault>,
}

/// Options of a schedule beside its seed; the same faults come at the same moments with each of them.
#[derive(Debug, Clone, Copy, Default)]
pub struct Variant {
    /// More VMs than have connections, so most reach databases through other VMs.
    pub crowded: bool,
    /// A database that crashes starts again without its data.
    pub reborn: bool,
    /// Enough VMs that a few of them read the store for all.
    pub fleet: bool,
    /// Faults of the store or of promotion orders become a restore of the store from an older copy.
    pub drill: bool,
    /// Commits wait until a replica has received them, and replicas more often fall behind or leave.
    pub durable: bool,
    /// Partitions end connections and refuse new ones.
    pub resets: bool,
    /// Organisations have allowances, and one of them sends many times its own for a while.
    pub pressed: bool,
}

/// Plays the schedule of `seed` and checks it.
///
/// Fails with [`Error::Setup`] if the simulated deployment cannot be set up.
pub fn play(seed: u64, variant: Variant) -> Result<Report, Error> {
    host::simulate(run(seed, variant)).map_err(|_| Error::Setup)?
}

async fn run(seed: u64, variant: Variant) -> Result<Report, Error> {
    let started = Instant::now();
    let mut generator = Generator {
        random: ChaCha8Rng::seed_from_u64(seed),
        reborn: variant.reborn,
        drill: variant.drill,
        durable: variant.durable,
        resets: variant.resets,
    };
    let mut setup = generator.setup();
    if variant.crowded {
        setup.vms += EXTRA_VMS;
        setup.connections = CROWDED_CONNECTIONS;
    }
    if variant.fleet {
        setup.vms += EXTRA_FLEET_VMS;
    }
    if variant.drill {
        setup.era = Era(1);
    }
    if variant.pressed {
        setup.organisations = Some(pressure::organisations(setup.groups)?);
    }
    let world = World::start(setup, program()).map_err(|_| Error::Setup)?;
    world.network.set_refusing(variant.resets);
    let record = Record::default();
    sleep(STARTUP_TIME).await;
    let begun = Instant::now();
    let end = begun + FAULTS_END + RECOVERY_TIME + CHECK_TIME;
    spawn_callers(&world, &record, seed, end);
    let flood_ends = begun + FAULTS_END + FLOOD_AFTER_FAULTS;
    if variant.pressed {
        pressure::spawn_flood(&world, &record, begun + FLOOD_BEGINS, flood_ends);
    }
    let (mut events, faults) = generator.play(&world, begun).await;
    sleep_until(end).await;
    // Statements in progress end.
    sleep(Duration::from_secs(11)).await;
    let mut report = check_run(&world, &record.borrow(), started, begun, &faults);
    if variant.pressed {
        let calm = begun + FAULTS_END + CALM_AFTER_FAULTS;
        let broken = pressure::check(&world, &record.borrow(), calm, flood_ends);
        report.broken.extend(broken);
    }
    report
        .broken
        .extend(check_configuration(&world, &record).await);
    events.extend(promotion_events(&world));
    events.sort_by_key(|(at, _)| *at);
    let script = events.iter().map(|(at, what)| {
        let at = at.duration_since(started).as_millis();
        format!("{at} ms: {what}").into()
    });
    Ok(Report {
        seed,
        script: script.collect(),
        outcomes: report.counts,
        broken: report.broken,
    })
}

/// The time and the description of an event.
type Event = (Instant, String);

/// Promotion orders and changes of primary.
fn promotion_events(world: &World) -> Vec<Event> {
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

fn spawn_callers(world: &Rc<World>, record: &Record, seed: u64, until: Instant) {
    let mut number = seed.wrapping_mul(1_000);
    for group in 0..world.setup.groups {
        for kind in ["primary", "bounded", "session"] {
            for domain in 0..3 {
                number += 1;
                let route = format!("{kind}{group}");
                let caller = Caller::new(world, record, domain, &route, number, MAX_PAUSE);
                tokio::task::spawn_local(caller.run(until));
            }
        }
    }
}

/// Checks the answers that callers got against what happened.
fn check_run(
    world: &World,
    statements: &[Said],
    started: Instant,
    begun: Instant,
    faults: &[Fault],
) -> check::Report {
    let mut report = check(world, started, statements);
    let last = begun + FAULTS_END + RECOVERY_TIME;
    report
        .broken
        .extend(check_recovered(world, statements, last));
    report.broken.extend(check_answer_times(statements, faults));
    report
}

/// After the recovery time each VM is ready and nine of ten statements are served.
fn check_recovered(world: &World, statements: &[Said], since: Instant) -> Vec<Box<str>> {
    let mut broken: Vec<Box<str>> = Vec::new();
    for number in 0..world.setup.vms {
        let Ok(vm) = World::vm(number) else { continue };
        if !world.is_ready(&vm) {
            broken.push(format!("{vm} is not ready in the end").into());
        }
    }
    let last = statements.iter().filter(|statement| statement.sent > since);
    let (all, done) = last.fold((0, 0), |(all, done), statement| {
        (all + 1, done + usize::from(statement.is_done()))
    });
    if done * 10 < all * 9 || all == 0 {
        broken.push(format!("{done} of {all} served in the end").into());
    }
    broken
}

/// Every statement ends within its route's timeout and a margin, unless a fault stopped its VM or its
/// connections.
fn check_answer_times(statements: &[Said], faults: &[Fault]) -> Vec<Box<str>> {
    let is_excused = |vm: &VmId| {
        faults.iter().any(|fault| match fault {
            Fault::Freeze(affected) | Fault::Kill(affected) | Fault::Stop(affected, _) => {
                affected == vm
            }
            Fault::Dark(Node::Vm(affected)) => affected == vm,
            Fault::Reset | Fault::Silence => true,
            _ => false,
        })
    };
    let late = statements.iter().filter(|statement| {
        let answered = statement.told.as_ref().map(|(at, _)| *at);
        let ended = answered.or(statement.broke);
        ended.is_some_and(|ended| ended - statement.sent > MAX_ANSWER_TIME)
            && !is_excused(&statement.vm)
    });
    late.map(|statement| format!("answered late or never: {statement:?}").into())
        .collect()
}

/// Each VM uses the last configuration and none before it.
async fn check_configuration(world: &Rc<World>, record: &Record) -> Vec<Box<str>> {
    let configs: Vec<_> = {
        let configs = world.configs.borrow();
        let configs = configs.iter().rev().take(2);
        configs.map(|(_, config)| config.clone()).collect()
    };
    let mut broken: Vec<Box<str>> = Vec::new();
    let [last, previous] = &configs[..] else {
        return broken;
    };
    for number in 0..world.setup.vms {
        let Ok(vm) = World::vm(number) else { continue };
        for route in last.routes.keys().chain(previous.routes.keys()) {
            let expected = last.routes.contains_key(route);
            let opened = Session::open(world, record, 0, &vm, route).await.is_ok();
            if opened != expected {
                let text = format!("{vm} opens {route}: {opened}, and should: {expected}");
                broken.push(text.into());
            }
        }
    }
    broken
}

struct Generator {
    random: ChaCha8Rng,
    reborn: bool,
    drill: bool,
    durable: bool,
    resets: bool,
}

impl Generator {
    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound.max(1)
    }

    fn choose<T: Clone>(&mut self, from: &[T]) -> Option<T> {
        let index = self.below(from.len() as u64) as usize;
        from.get(index).cloned()
    }

    fn setup(&mut self) -> Setup {
        Setup {
            vms: 2 + self.below(3) as usize,
            durable: self.durable,
            groups: 1 + usize::from(self.below(4) == 0),
            promotion: Duration::from_millis([300, 1_000][self.below(2) as usize]),
            ..Setup::default()
        }
    }

    /// Begins the drawn faults and ends all of them.
    async fn play(&mut self, world: &Rc<World>, begun: Instant) -> (Vec<Event>, Vec<Fault>) {
        let mut events = Vec::new();
        let mut faults = Vec::new();
        let mut fault_times = self.fault_times();
        let mut open: Vec<(Duration, Fault)> = Vec::new();
        loop {
            let begins = fault_times.first().map(|planned| planned.begins);
            let ends = open.iter().map(|(ends, _)| *ends).min();
            let Some(next) = begins.into_iter().chain(ends).min() else {
                break;
            };
            sleep_until(begun + next).await;
            let mut record_event = |what: &str, fault: &Fault| {
                events.push((begun + next, format!("{what} {fault:?}")));
            };
            if let Some(index) = open.iter().position(|(ends, _)| *ends <= next) {
                let (_, fault) = open.remove(index);
                fault.end(world);
                record_event("end", &fault);
                continue;
            }
            let mut planned = fault_times.remove(0);
            planned.fault = self.fault(world);
            if let Some(fault) = planned.fault {
                fault.begin(world);
                record_event("begin", &fault);
                faults.push(fault.clone());
                open.push((planned.ends, fault));
            }
        }
        sleep_until(begun + FAULTS_END).await;
        (events, faults)
    }

    fn fault_times(&mut self) -> Vec<Planned> {
        let count = 1 + self.below(MAX_FAULTS);
        // Faults in a short window find more errors.
        let window = [150, 1_500, 6_000, FAULT_WINDOW][self.below(4) as usize];
        let first = self.below(FAULT_WINDOW - window + 1);
        let mut fault_times: Vec<_> = (0..count)
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
        fault_times.sort_by_key(|planned| planned.begins);
        fault_times
    }

    /// Draws a running VM, often the one that last wrote to the store.
    fn vm(&mut self, world: &World) -> Option<VmId> {
        let running = world.running();
        let writers = world.store.log();
        let mut writers = writers.iter().rev();
        let last = writers.find_map(|written| written.by.clone());
        match last {
            Some(last) if self.below(2) == 0 && running.contains(&last) => Some(last),
            _ => self.choose(&running),
        }
    }

    /// Draws a database, often the primary.
    fn database(&mut self, world: &World) -> Option<DatabaseId> {
        let group = self.choose(&world.groups)?;
        if self.below(2) == 0 {
            return Some(group.leader());
        }
        let members = group.members();
        Some(self.choose(&members)?.spec.id.clone())
    }

    fn span(&mut self, bound: u64) -> Span {
        Span::from_millis(1 + self.below(bound))
    }

    fn fault(&mut self, world: &World) -> Option<Fault> {
        let (vm, database) = (self.vm(world)?, self.database(world)?);
        let (node, at) = (Node::Vm(vm.clone()), Node::Database(database.clone()));
        let fault = match self.draw_fault(world, vm, database, node, at)? {
            Fault::Crash(database) if self.reborn => Fault::Reborn(database),
            Fault::Store(..) | Fault::StoreSlow(_) | Fault::Forget | Fault::Orders(_)
                if self.drill =>
            {
                Fault::Restore(self.span(8_000), self.span(2_000))
            }
            fault => fault,
        };
        // A VM or database always reaches itself.
        (!matches!(&fault, Fault::Cut(a, b) if a == b)).then_some(fault)
    }

    fn draw_fault(
        &mut self,
        world: &World,
        vm: VmId,
        database: DatabaseId,
        node: Node,
        at: Node,
    ) -> Option<Fault> {
        if self.resets && self.below(3) == 0 {
            return self.split(world, at);
        }
        if self.durable && self.below(2) == 0 {
            return Some(match self.below(6) {
                0 => Fault::Leave(database, Span::from_millis(7_000 + self.below(3_000))),
                1 | 2 => Fault::Deaf(database),
                3 => Fault::Crash(database),
                4 => Fault::Dark(at),
                _ => Fault::Cut(at, Node::Database(self.database(world)?)),
            });
        }
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
            21 => self.store_fault(world)?,
            22 => Fault::StoreSlow(self.span(600)),
            23 => self.store_losing_fault(),
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

    /// Partitions a database from some VMs and all other databases of its group, together with a VM
    /// that goes on reaching it.
    fn split(&mut self, world: &World, at: Node) -> Option<Fault> {
        let beside = Node::Vm(self.choose(&world.running())?);
        let mut far: Vec<Node> = world.running().into_iter().map(Node::Vm).collect();
        far.retain(|node| *node != beside);
        let members = world.groups.iter().flat_map(|group| group.members());
        far.extend(
            members
                .map(|member| member.node())
                .filter(|node| *node != at),
        );
        Some(Fault::Split(vec![at, beside], far))
    }

    fn store_fault(&mut self, world: &World) -> Option<Fault> {
        use store::Health::{Refusing, Reset, Silent};
        let health = [Refusing, Silent, Reset][self.below(3) as usize];
        let only = match self.below(2) {
            0 => None,
            _ => Some([self.vm(world)?].into()),
        };
        Some(Fault::Store(health, only))
    }

    fn store_losing_fault(&mut self) -> Fault {
        let later = Span::from_millis(1_000 + self.below(5_000));
        let losing = [Losing::Now, Losing::Later(later)][self.below(2) as usize];
        Fault::StoreLosing(losing)
    }
}
