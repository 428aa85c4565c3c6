//! The troubles, calms and events of a soak that later checks still need.

use crate::standin::direct::world::World;
use crate::types::{GroupId, VmId};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use tokio::time::Instant;

/// Largest number of events kept.
const MAX_EVENTS: usize = 200;

/// A trouble that was played.
#[derive(Debug, Clone)]
pub struct Incident {
    /// The name of its kind.
    pub kind: Box<str>,
    /// The affected groups.
    pub groups: Vec<GroupId>,
    /// The affected VMs; `None` means all.
    pub vms: Option<Vec<VmId>>,
    /// Its begin.
    pub begin: Instant,
    /// Its end.
    pub end: Instant,
    /// Whether its gaps have been counted.
    pub counted: bool,
}

/// An interval without troubles.
#[derive(Debug, Clone, Copy)]
pub struct Calm {
    /// Its begin.
    pub begin: Instant,
    /// Its end, once it is over.
    pub end: Option<Instant>,
}

/// The recent past of a soak.
#[derive(Debug, Default)]
pub struct History {
    /// Troubles, in order.
    pub incidents: Vec<Incident>,
    /// Calms, in order.
    pub calms: Vec<Calm>,
    /// Number of troubles played, by kind.
    pub played: BTreeMap<Box<str>, u64>,
    /// Broken properties that do not show in the answers to callers, and when they were found.
    pub broken: Vec<(Instant, Box<str>)>,
    events: VecDeque<(Instant, Box<str>)>,
}

impl History {
    /// Records an event.
    pub fn event(&mut self, at: Instant, text: impl Into<Box<str>>) {
        let index = self.events.partition_point(|(other, _)| *other <= at);
        self.events.insert(index, (at, text.into()));
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the last events, each with its milliseconds after `since`.
    pub fn events(&self, since: Instant) -> Vec<Box<str>> {
        let lines = self.events.iter().map(|(at, text)| {
            let at = at.duration_since(since).as_millis();
            format!("{at} ms: {text}").into()
        });
        lines.collect()
    }

    /// Records a trouble that begins.
    pub fn add_incident(&mut self, incident: Incident) {
        *self.played.entry(incident.kind.clone()).or_default() += 1;
        self.incidents.push(incident);
    }

    /// Whether `at` is in a calm that began at least `lasted` before.
    pub fn is_calm(&self, at: Instant, lasted: std::time::Duration) -> bool {
        self.calm_at(at)
            .is_some_and(|calm| calm.begin + lasted <= at)
    }

    /// Returns the calm that `at` is in.
    pub fn calm_at(&self, at: Instant) -> Option<Calm> {
        let mut calms = self.calms.iter().rev();
        let calm = calms.find(|calm| calm.begin <= at)?;
        calm.end.is_none_or(|end| at < end).then_some(*calm)
    }

    /// Whether a trouble that affected a VM overlaps the interval.
    pub fn is_affected(&self, vm: &VmId, from: Instant, to: Instant) -> bool {
        self.incidents.iter().any(|incident| {
            let affected = incident.vms.as_ref().is_none_or(|vms| vms.contains(vm));
            affected && incident.begin <= to && from <= incident.end
        })
    }

    /// Discards calms, and troubles whose gaps were counted, that ended before the given time.
    pub fn forget(&mut self, before: Instant) {
        self.incidents
            .retain(|incident| !incident.counted || incident.end >= before);
        self.calms
            .retain(|calm| calm.end.is_none_or(|end| end >= before));
    }
}

/// Returns all groups of the simulated deployment.
pub fn all_groups(world: &Rc<World>) -> Vec<GroupId> {
    world.groups.iter().map(|group| group.id.clone()).collect()
}
