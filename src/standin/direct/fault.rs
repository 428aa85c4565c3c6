//! Troubles of a world, as values that can be drawn, printed and ended.

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

/// How long a VM that was stopped in turn takes to start again.
const RESTART: Duration = Duration::from_millis(500);

/// A trouble.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A database crashes; at the end it comes back.
    Crash(DatabaseId),
    /// A database crashes; at the end it starts again under its id, with nothing of before.
    Reborn(DatabaseId),
    /// A machine is cut from all others.
    Dark(Node),
    /// Two machines are cut from each other.
    Cut(Node, Node),
    /// A database is about to end, and is replaced after the span.
    Leave(DatabaseId, Span),
    /// A database receives nothing.
    Deaf(DatabaseId),
    /// A database applies this much later.
    Lag(DatabaseId, Span),
    /// A database takes this much longer for a statement.
    Slow(DatabaseId, Span),
    /// So many answers of a database are lost after their effect.
    LoseAnswers(DatabaseId, u32),
    /// So many statements of a database fail after they ran.
    Fail(DatabaseId, u32),
    /// A VM is killed; at the end it is started.
    Kill(VmId),
    /// A VM is asked to stop; at the end it is started.
    Stop(VmId, Span),
    /// A VM is frozen.
    Freeze(VmId),
    /// A VM's clock goes on by this much that its timers don't count.
    Jump(VmId, Span),
    /// The store does not serve some VMs, or none.
    Store(store::Health, Option<BTreeSet<VmId>>),
    /// The store is slow.
    StoreSlow(Span),
    /// The store loses the answers of writes.
    StoreLosing(Losing),
    /// The store forgets its history.
    Forget,
    /// The store is away, and comes back from a copy that is so old; what the operator and the databases wrote is
    /// written again after so long.
    Restore(Span, Span),
    /// Orders are not taken as they should be.
    Orders(orders::Health),
    /// The configuration gains a route and loses the one that it gained before.
    Configure,
    /// All open connections of VMs break.
    Reset,
    /// All open connections of VMs go silent for good; new ones work.
    Silence,
    /// The connections between VMs go silent for good; new ones work.
    SilencePeers,
    /// So many of a hundred statements of a database fail, while it is well otherwise.
    Grey(DatabaseId, u32),
    /// A database crashes and comes back by turns of this length.
    Flap(DatabaseId, Span),
    /// A machine is cut from several others.
    Sever(Node, Vec<Node>),
    /// Bytes from and to a machine take this much longer.
    SlowLink(Node, Span),
    /// A VM gets no processor time for a while, by turns.
    Starve(VmId, Turns),
    /// VMs are killed at once; at the end they are started.
    KillAll(Vec<VmId>),
    /// VMs are stopped and started one after the other: how long they may take, and how long
    /// after one the next is stopped.
    Roll(Vec<VmId>, Span, Span),
    /// A VM is removed for good, and a new one comes at another address.
    Replace(VmId),
    /// So many configurations, one after the other after this long.
    Storm(u32, Span),
}

impl Fault {
    /// Begins it.
    pub fn begin(&self, world: &Rc<World>) {
        match self {
            Self::Crash(id) | Self::Reborn(id) => with(world, id, Group::crash),
            Self::Dark(node) => world.network.darken(node, true),
            Self::Cut(a, b) => world.network.cut(a, b),
            Self::Leave(id, drain) => with(world, id, |group, database| {
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

    /// Ends it.
    pub fn end(&self, world: &Rc<World>) {
        match self {
            Self::Crash(id) => with(world, id, |group, database| {
                if database.life().is_none() {
                    group.restart(database);
                }
            }),
            Self::Reborn(id) => with(world, id, |group, database| {
                if database.life().is_none() {
                    group.rebear(database);
                }
            }),
            Self::Dark(node) => world.network.darken(node, false),
            Self::Cut(a, b) => world.network.mend(a, b),
            Self::Kill(vm) | Self::Stop(vm, _) => start(world, vm),
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
            Self::Flap(id, turn) => with(world, id, |group, database| {
                database.trouble.flapping.set(true);
                let flap = flap(group.clone(), database.clone(), *turn);
                world.network.spawn(flap);
            }),
            Self::Sever(node, others) => {
                for other in others {
                    world.network.cut(node, other);
                }
            }
            Self::SlowLink(node, more) => world.network.slow(node, (*more).into()),
            Self::Starve(vm, turns) => world.starve_vm(vm, Some(*turns)),
            Self::KillAll(vms) => vms.iter().for_each(|vm| world.kill_vm(vm)),
            Self::Roll(vms, grace, gap) => {
                let roll = roll(world.clone(), vms.clone(), *grace, *gap);
                world.network.spawn(roll);
            }
            Self::Replace(vm) => {
                // The name of a new VM is valid like the first ones'.
                let _ = world.replace_vm(vm);
            }
            Self::Storm(count, gap) => {
                let storm = storm(world.clone(), *count, *gap);
                world.network.spawn(storm);
            }
            _ => self.trouble(world, true),
        }
    }

    fn end_more(&self, world: &Rc<World>) {
        match self {
            Self::Flap(id, _) => with(world, id, |group, database| {
                database.trouble.flapping.set(false);
                if database.life().is_none() {
                    group.restart(database);
                }
            }),
            Self::Sever(node, others) => {
                for other in others {
                    world.network.mend(node, other);
                }
            }
            Self::SlowLink(node, _) => world.network.slow(node, Duration::ZERO),
            Self::Starve(vm, _) => world.starve_vm(vm, None),
            Self::KillAll(vms) => vms.iter().for_each(|vm| start(world, vm)),
            Self::SilencePeers | Self::Roll(..) | Self::Replace(_) | Self::Storm(..) => {}
            _ => self.trouble(world, false),
        }
    }

    fn trouble(&self, world: &Rc<World>, begins: bool) {
        let span = |span: &Span| match begins {
            true => Duration::from(*span),
            false => Duration::ZERO,
        };
        let count = |count: &u32| if begins { *count } else { 0 };
        match self {
            Self::Deaf(id) => with(world, id, |_, database| {
                database.trouble.deaf.set(begins);
                database.changed.notify_waiters();
            }),
            Self::Lag(id, lag) => with(world, id, |_, d| d.trouble.lag.set(span(lag))),
            Self::Slow(id, slow) => with(world, id, |_, d| d.trouble.slow.set(span(slow))),
            Self::LoseAnswers(id, n) => with(world, id, |_, d| d.trouble.losing.set(count(n))),
            Self::Grey(id, n) => with(world, id, |_, d| d.trouble.grey.set(count(n))),
            Self::Fail(id, n) => with(world, id, |_, d| d.trouble.failing.set(count(n))),
            _ => {}
        }
    }
}

fn with(world: &World, id: &DatabaseId, what: impl FnOnce(&Rc<Group>, &Rc<Database>)) {
    if let Some((group, database)) = world.database(id) {
        what(&group, &database);
    }
}

fn start(world: &Rc<World>, vm: &VmId) {
    world.kill_vm(vm);
    if let Some(number) = World::number_of(vm) {
        // A VM's name that was valid once stays so.
        let _ = world.start_vm(number);
    }
}

async fn flap(group: Rc<Group>, database: Rc<Database>, turn: Span) {
    while database.trouble.flapping.get() {
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
            start(&world, &vm);
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
