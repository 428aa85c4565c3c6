//! Faults of a simulated world, as values that can be drawn at random, printed, begun and ended.

use crate::clock::Span;
use crate::standin::direct::database::Database;
use crate::standin::direct::group::Group;
use crate::standin::direct::network::Node;
use crate::standin::direct::orders;
use crate::standin::direct::store::{self, Losing};
use crate::standin::direct::world::{Turns, World};
use crate::types::{DatabaseId, VmId};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long a VM takes to start again after its stop in a rolling restart.
const RESTART: Duration = Duration::from_millis(500);

/// A fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A database crashes; when the fault ends, it restarts with its log.
    Crash(DatabaseId),
    /// A database crashes; when the fault ends, it restarts under the same id without its data.
    Reborn(DatabaseId),
    /// A node is partitioned from all others.
    Dark(Node),
    /// Two nodes are partitioned from each other.
    Cut(Node, Node),
    /// A database is decommissioned, and replaced by a new one after the span.
    Leave(DatabaseId, Span),
    /// A database receives no log entries.
    Deaf(DatabaseId),
    /// A replica applies entries this much later.
    Lag(DatabaseId, Span),
    /// Each statement of a database takes this much longer.
    Slow(DatabaseId, Span),
    /// This many answers of a database are lost after the statements took effect.
    LoseAnswers(DatabaseId, u32),
    /// This many statements of a database fail after they ran.
    Fail(DatabaseId, u32),
    /// A VM is killed, and started when the fault ends.
    Kill(VmId),
    /// A VM is asked to stop within the span, and started when the fault ends.
    Stop(VmId, Span),
    /// A VM's process is suspended.
    Freeze(VmId),
    /// A VM's clock jumps forward by this much, which its timers don't count.
    Jump(VmId, Span),
    /// The store does not serve the named VMs; without names, it serves none.
    Store(store::Health, Option<BTreeSet<VmId>>),
    /// Each call of the store takes this much longer.
    StoreSlow(Span),
    /// The store loses the answers of writes.
    StoreLosing(Losing),
    /// The store discards its history of changes.
    Forget,
    /// The store is unavailable and is then restored from a backup as old as the first span. What
    /// the operator and the databases wrote since is written again after the second span.
    Restore(Span, Span),
    /// The platform refuses orders, or loses their answers.
    Orders(orders::Health),
    /// The configuration gains a route and loses the one that an earlier such fault added.
    Configure,
    /// All open connections of VMs are reset.
    Reset,
    /// All open connections of VMs stop carrying data for good; new ones work.
    Silence,
    /// All open connections between VMs stop carrying data for good; new ones work.
    SilencePeers,
    /// This many of a hundred statements of a database fail, while it is healthy otherwise.
    Grey(DatabaseId, u32),
    /// A database crashes and restarts alternately, once per span.
    Flap(DatabaseId, Span),
    /// A node is partitioned from several others.
    Sever(Node, Vec<Node>),
    /// Some nodes are partitioned from some others.
    Split(Vec<Node>, Vec<Node>),
    /// Bytes from and to a node take this much longer.
    SlowLink(Node, Span),
    /// A VM is suspended and resumed in turns.
    Starve(VmId, Turns),
    /// VMs are killed at the same time, and started when the fault ends.
    KillAll(Vec<VmId>),
    /// VMs are restarted one after the other. The first span is the grace of each stop, the second
    /// the interval between stops.
    Roll(Vec<VmId>, Span, Span),
    /// A VM is removed for good and replaced by a new one at another address.
    Replace(VmId),
    /// This many new configurations come into force, this long after each other.
    Storm(u32, Span),
}

impl Fault {
    /// Starts the fault.
    pub fn begin(&self, world: &Rc<World>) {
        match self {
            Self::Crash(id) | Self::Reborn(id) => with_database(world, id, Group::crash),
            Self::Dark(node) => world.network.set_isolated(node, true),
            Self::Cut(a, b) => world.network.cut(a, b),
            Self::Leave(id, drain) => with_database(world, id, |group, database| {
                if database.life().is_some() {
                    group.leave(database, *drain);
                }
            }),
            Self::Kill(vm) => world.kill_vm(vm),
            Self::Stop(vm, grace) => world.stop_vm(vm, *grace),
            Self::Freeze(vm) => world.freeze_vm(vm, true),
            Self::Jump(vm, span) => world.jump_clock(vm, *span),
            Self::Store(health, only) => world.store.set_health(*health, only.clone()),
            Self::StoreSlow(span) => world.store.set_slow(*span),
            Self::StoreLosing(losing) => world.store.set_losing(*losing),
            Self::Forget => world.store.forget(),
            Self::Restore(..) => world.store.set_health(store::Health::Refusing, None),
            Self::Orders(health) => world.orders.set_health(*health),
            Self::Configure => world.reconfigure(),
            Self::Reset => world.network.reset(|a, _| matches!(a, Node::Vm(_))),
            Self::Silence => world.network.silence(|a, _| matches!(a, Node::Vm(_))),
            _ => self.begin_more(world),
        }
    }

    /// Ends the fault, where it has an end.
    pub fn end(&self, world: &Rc<World>) {
        match self {
            Self::Crash(id) => with_database(world, id, |group, database| {
                if database.life().is_none() {
                    group.restart(database);
                }
            }),
            Self::Reborn(id) => with_database(world, id, |group, database| {
                if database.life().is_none() {
                    group.restart_empty(database);
                }
            }),
            Self::Dark(node) => world.network.set_isolated(node, false),
            Self::Cut(a, b) => world.network.end_cut(a, b),
            Self::Kill(vm) | Self::Stop(vm, _) => restart_vm(world, vm),
            Self::Freeze(vm) => world.freeze_vm(vm, false),
            Self::Store(..) => world.store.set_health(store::Health::Well, None),
            Self::Restore(age, rewrites) => {
                world.store.restore(*age, *rewrites);
                world.store.set_health(store::Health::Well, None);
            }
            Self::StoreSlow(_) => world.store.set_slow(Span::ZERO),
            Self::StoreLosing(_) => world.store.set_losing(Losing::None),
            Self::Orders(_) => world.orders.set_health(orders::Health::Well),
            Self::Leave(..) | Self::Jump(..) | Self::Forget => {}
            Self::Configure | Self::Reset | Self::Silence => {}
            _ => self.end_more(world),
        }
    }

    fn begin_more(&self, world: &Rc<World>) {
        let is_vm = |node: &Node| matches!(node, Node::Vm(_));
        match self {
            Self::SilencePeers => world.network.silence(|a, b| is_vm(a) && is_vm(b)),
            Self::Flap(id, turn) => with_database(world, id, |group, database| {
                database.faults.flapping.set(true);
                let flap = flap(group.clone(), database.clone(), *turn);
                world.network.spawn(flap);
            }),
            Self::Sever(node, others) => {
                for other in others {
                    world.network.cut(node, other);
                }
            }
            Self::Split(near, far) => near.iter().for_each(|node| {
                Self::Sever(node.clone(), far.clone()).begin(world);
            }),
            Self::SlowLink(node, more) => world.network.set_extra_delay(node, (*more).into()),
            Self::Starve(vm, turns) => world.starve_vm(vm, Some(*turns)),
            Self::KillAll(vms) => vms.iter().for_each(|vm| world.kill_vm(vm)),
            Self::Roll(vms, grace, gap) => {
                let roll = roll(world.clone(), vms.clone(), *grace, *gap);
                world.network.spawn(roll);
            }
            Self::Replace(vm) => {
                // The generated name of a new VM is always valid.
                let _ = world.replace_vm(vm);
            }
            Self::Storm(count, gap) => {
                let storm = storm(world.clone(), *count, *gap);
                world.network.spawn(storm);
            }
            _ => self.set_database_fault(world, true),
        }
    }

    fn end_more(&self, world: &Rc<World>) {
        match self {
            Self::Flap(id, _) => with_database(world, id, |group, database| {
                database.faults.flapping.set(false);
                if database.life().is_none() {
                    group.restart(database);
                }
            }),
            Self::Sever(node, others) => {
                for other in others {
                    world.network.end_cut(node, other);
                }
            }
            Self::Split(near, far) => near.iter().for_each(|node| {
                Self::Sever(node.clone(), far.clone()).end(world);
            }),
            Self::SlowLink(node, _) => world.network.set_extra_delay(node, Duration::ZERO),
            Self::Starve(vm, _) => world.starve_vm(vm, None),
            Self::KillAll(vms) => vms.iter().for_each(|vm| restart_vm(world, vm)),
            Self::SilencePeers | Self::Roll(..) | Self::Replace(_) | Self::Storm(..) => {}
            _ => self.set_database_fault(world, false),
        }
    }

    fn set_database_fault(&self, world: &Rc<World>, begins: bool) {
        let span = |span: &Span| match begins {
            true => Duration::from(*span),
            false => Duration::ZERO,
        };
        let count = |count: &u32| if begins { *count } else { 0 };
        match self {
            Self::Deaf(id) => with_database(world, id, |_, database| {
                database.faults.deaf.set(begins);
                database.changed.notify_waiters();
            }),
            Self::Lag(id, lag) => with_database(world, id, |_, d| d.faults.lag.set(span(lag))),
            Self::Slow(id, slow) => with_database(world, id, |_, d| d.faults.slow.set(span(slow))),
            Self::LoseAnswers(id, n) => {
                with_database(world, id, |_, d| d.faults.losing.set(count(n)))
            }
            Self::Grey(id, n) => with_database(world, id, |_, d| d.faults.grey.set(count(n))),
            Self::Fail(id, n) => with_database(world, id, |_, d| d.faults.failing.set(count(n))),
            _ => {}
        }
    }
}

fn with_database(world: &World, id: &DatabaseId, what: impl FnOnce(&Rc<Group>, &Rc<Database>)) {
    if let Some((group, database)) = world.database(id) {
        what(&group, &database);
    }
}

fn restart_vm(world: &Rc<World>, vm: &VmId) {
    world.kill_vm(vm);
    if let Some(number) = World::number_of(vm) {
        // The name was valid when the VM was first started.
        let _ = world.start_vm(number);
    }
}

async fn flap(group: Rc<Group>, database: Rc<Database>, turn: Span) {
    while database.faults.flapping.get() {
        match database.life() {
            Some(_) => group.crash(&database),
            None => group.restart(&database),
        }
        sleep(turn.into()).await;
    }
}

async fn roll(world: Rc<World>, vms: Vec<VmId>, grace: Span, gap: Span) {
    for vm in vms {
        world.stop_vm(&vm, grace);
        let world = world.clone();
        world.clone().network.spawn(async move {
            sleep(Duration::from(grace) + RESTART).await;
            restart_vm(&world, &vm);
        });
        sleep(gap.into()).await;
    }
}

async fn storm(world: Rc<World>, count: u32, gap: Span) {
    for _ in 0..count {
        world.reconfigure();
        sleep(gap.into()).await;
    }
}
