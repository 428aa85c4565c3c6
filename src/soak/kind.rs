//! The named kinds of trouble, and how one is drawn.

use crate::clock::Span;
use crate::standin::direct::fault::Fault;
use crate::standin::direct::group::Group;
use crate::standin::direct::network::Node;
use crate::standin::direct::orders;
use crate::standin::direct::store::{self, Losing};
use crate::standin::direct::world::{Turns, World};
use crate::types::{DatabaseId, VmId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::rc::Rc;

/// A disturbance that is played for a while: a fault, or additional callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Trouble {
    /// A fault of the simulated deployment.
    World(Fault),
    /// This number of additional callers.
    Burst(usize),
    /// This number of callers that write in a transaction and leave it open.
    Rest(usize),
}

/// The names of all kinds, but those of [`CONNECTIONS`].
pub const KINDS: [&str; 44] = [
    "primary-crash",
    "primary-dark",
    "primary-cut-replicas",
    "primary-cut-vms",
    "primary-cut-store",
    "primary-leave",
    "primary-flap",
    "replica-crash",
    "replica-dark",
    "replica-deaf",
    "replica-lag",
    "replica-leave",
    "database-slow",
    "database-grey",
    "database-loses-answers",
    "database-fails",
    "database-cut-vm",
    "vm-kill",
    "vm-freeze",
    "vm-starve",
    "vm-slow-link",
    "vm-dark",
    "vm-stop",
    "vm-replace",
    "vm-jump",
    "vm-cut-store",
    "vm-cut-orders",
    "vm-cut-vm",
    "steward-kill",
    "steward-freeze",
    "steward-cut-store",
    "vms-roll",
    "vms-some",
    "vms-region",
    "vms-all",
    "store-down",
    "store-down-for-some",
    "store-slow",
    "store-loses",
    "store-forgets",
    "orders-fail",
    "config-storm",
    "callers-burst",
    "callers-rest",
];

/// Kinds that affect connections themselves.
pub const CONNECTIONS: [&str; 3] = ["connections-reset", "connections-silent", "peers-silent"];

/// The random numbers from which troubles are drawn.
#[derive(Debug)]
pub struct Generator(ChaCha8Rng);

impl Generator {
    /// Creates the generator of a seed.
    pub fn new(seed: u64) -> Self {
        Self(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Draws a number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound.max(1)
    }

    /// Draws a span of `from` to `to` milliseconds, both included.
    pub fn span(&mut self, from: u64, to: u64) -> Span {
        Span::from_millis(from + self.below(to - from + 1))
    }

    /// Draws one of the elements; none if there are none.
    pub fn choose<T: Clone>(&mut self, from: &[T]) -> Option<T> {
        let index = self.below(from.len() as u64) as usize;
        from.get(index).cloned()
    }

    /// Draws about `percent` of the elements, in their order, and at least one.
    fn choose_share<T: Clone>(&mut self, from: &[T], percent: u64) -> Vec<T> {
        let mut chosen: Vec<T> = from
            .iter()
            .filter(|_| self.below(100) < percent)
            .cloned()
            .collect();
        if chosen.is_empty() {
            chosen.extend(self.choose(from));
        }
        chosen
    }

    fn primary(&mut self, world: &World) -> Option<(Rc<Group>, DatabaseId)> {
        let group = self.choose(&world.groups)?;
        let leader = group.leader();
        Some((group, leader))
    }

    fn replicas(&mut self, world: &World) -> Option<Vec<DatabaseId>> {
        let (group, primary) = self.primary(world)?;
        let members = group.members();
        let ids = members.iter().map(|member| member.spec.id.clone());
        Some(ids.filter(|id| *id != primary).collect())
    }

    fn replica(&mut self, world: &World) -> Option<DatabaseId> {
        let replicas = self.replicas(world)?;
        self.choose(&replicas)
    }

    fn database(&mut self, world: &World) -> Option<DatabaseId> {
        match self.below(2) {
            0 => Some(self.primary(world)?.1),
            _ => self.replica(world),
        }
    }

    /// Draws a trouble of a kind; none if nothing can be affected by it.
    pub fn trouble(&mut self, world: &World, kind: &str) -> Option<Trouble> {
        let (family, _) = kind.split_once('-')?;
        let fault = match family {
            "callers" => return Some(self.caller_trouble(world, kind)),
            "primary" => self.primary_fault(world, kind)?,
            "replica" => self.replica_fault(world, kind)?,
            "database" => self.database_fault(world, kind)?,
            "vm" | "steward" => self.vm_fault(world, kind)?,
            "vms" => self.vms_fault(world, kind)?,
            _ => self.other_fault(world, kind)?,
        };
        Some(Trouble::World(fault))
    }

    fn caller_trouble(&mut self, world: &World, kind: &str) -> Trouble {
        let groups = world.setup.groups as u64;
        match kind {
            "callers-burst" => Trouble::Burst((20 * groups + self.below(60 * groups)) as usize),
            _ => Trouble::Rest((groups + self.below(14 * groups)) as usize),
        }
    }

    fn primary_fault(&mut self, world: &World, kind: &str) -> Option<Fault> {
        let (group, id) = self.primary(world)?;
        let node = Node::Database(id.clone());
        Some(match kind {
            "primary-crash" => Fault::Crash(id),
            "primary-dark" => Fault::Dark(node),
            "primary-cut-replicas" => {
                let members = group.members();
                let others = members.iter().filter(|member| member.spec.id != id);
                Fault::Sever(node, others.map(|member| member.node()).collect())
            }
            "primary-cut-vms" => {
                let vms = self.choose_share(&world.running(), 45);
                Fault::Sever(node, vms.into_iter().map(Node::Vm).collect())
            }
            "primary-cut-store" => Fault::Cut(node, Node::Store),
            "primary-leave" => Fault::Leave(id, self.span(9_500, 10_500)),
            _ => Fault::Flap(id, self.span(900, 2_000)),
        })
    }

    fn replica_fault(&mut self, world: &World, kind: &str) -> Option<Fault> {
        let id = self.replica(world)?;
        Some(match kind {
            "replica-crash" => Fault::Crash(id),
            "replica-dark" => Fault::Dark(Node::Database(id)),
            "replica-deaf" => Fault::Deaf(id),
            "replica-lag" => Fault::Lag(id, self.span(300, 4_000)),
            _ => Fault::Leave(id, self.span(9_500, 10_500)),
        })
    }

    fn database_fault(&mut self, world: &World, kind: &str) -> Option<Fault> {
        let id = self.database(world)?;
        Some(match kind {
            "database-slow" => Fault::Slow(id, self.span(20, 400)),
            "database-grey" => Fault::Grey(id, 15 + self.below(40) as u32),
            "database-loses-answers" => Fault::LoseAnswers(id, 1 + self.below(20) as u32),
            "database-fails" => Fault::Fail(id, 1 + self.below(10) as u32),
            _ => {
                let vm = self.choose(&world.running())?;
                Fault::Cut(Node::Vm(vm), Node::Database(id))
            }
        })
    }

    fn vm(&mut self, world: &World, kind: &str) -> Option<VmId> {
        let running = world.running();
        let last = world.store.last_writer();
        match last.filter(|last| kind.starts_with("steward") && running.contains(last)) {
            Some(last) => Some(last),
            None => self.choose(&running),
        }
    }

    fn vm_fault(&mut self, world: &World, kind: &str) -> Option<Fault> {
        let vm = self.vm(world, kind)?;
        let node = Node::Vm(vm.clone());
        Some(match kind {
            "vm-kill" | "steward-kill" => Fault::Kill(vm),
            "vm-freeze" | "steward-freeze" => Fault::Freeze(vm),
            "vm-starve" => {
                let (stops, runs) = (self.span(40, 700), self.span(40, 400));
                Fault::Starve(vm, Turns { stops, runs })
            }
            "vm-slow-link" => Fault::SlowLink(node, self.span(5, 150)),
            "vm-dark" => Fault::Dark(node),
            "vm-stop" => Fault::Stop(vm, Span::from_secs(6)),
            "vm-replace" => Fault::Replace(vm),
            "vm-jump" => Fault::Jump(vm, self.span(1, 5_000)),
            "vm-cut-store" | "steward-cut-store" => Fault::Cut(node, Node::Store),
            "vm-cut-orders" => Fault::Cut(node, Node::Orders),
            _ => {
                let other = self.choose(&world.running())?;
                (other != vm).then_some(Fault::Cut(node, Node::Vm(other)))?
            }
        })
    }

    fn vms_fault(&mut self, world: &World, kind: &str) -> Option<Fault> {
        let running = world.running();
        let chosen = match kind {
            "vms-roll" => self.choose_share(&running, 25),
            "vms-some" => self.choose_share(&running, 50),
            "vms-all" => running,
            _ => {
                let regions = world.setup.places.iter().map(|place| place.region).max()?;
                let region = self.below(regions as u64 + 1) as usize;
                let is_in_region = |vm: &VmId| {
                    let place = world.domain_of_vm(vm);
                    place.is_some_and(|place| world.setup.region(place) == region)
                };
                running.into_iter().filter(is_in_region).collect()
            }
        };
        Some(match kind {
            "vms-roll" => Fault::Roll(chosen, Span::from_secs(6), self.span(300, 1_300)),
            _ => Fault::KillAll(chosen),
        })
    }

    fn other_fault(&mut self, world: &World, kind: &str) -> Option<Fault> {
        use store::Health::{Refusing, Reset, Silent};
        let health = [Refusing, Silent, Reset][self.below(3) as usize];
        Some(match kind {
            "store-down" => Fault::Store(health, None),
            "store-down-for-some" => {
                let some_vms = self.choose_share(&world.running(), 33);
                Fault::Store(health, Some(some_vms.into_iter().collect()))
            }
            "store-slow" => Fault::StoreSlow(self.span(50, 600)),
            "store-loses" => match self.below(2) {
                0 => Fault::StoreLosing(Losing::Now),
                _ => Fault::StoreLosing(Losing::Later(self.span(1_000, 6_000))),
            },
            "store-forgets" => Fault::Forget,
            "orders-fail" => match self.below(2) {
                0 => Fault::Orders(orders::Health::Losing),
                _ => Fault::Orders(orders::Health::Refusing),
            },
            "config-storm" => Fault::Storm(1 + self.below(6) as u32, self.span(100, 900)),
            "connections-reset" => Fault::Reset,
            "connections-silent" => Fault::Silence,
            "peers-silent" => Fault::SilencePeers,
            _ => return None,
        })
    }
}
