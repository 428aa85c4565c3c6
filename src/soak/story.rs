//! What was played and what came of it, as far as it still matters.

use crate::standin::direct::world::World;
use crate::types::{GroupId, VmId};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use tokio::time::Instant;

/// How many events are kept.
const EVENTS: usize = 200;

/// A trouble that was played.
#[derive(Debug, Clone)]
pub struct Struck {
    /// Its kind.
    pub kind: Box<str>,
    /// The groups that it hit.
    pub groups: Vec<GroupId>,
    /// The VMs that it hit; none stands for all.
    pub vms: Option<Vec<VmId>>,
    /// Since when.
    pub begin: Instant,
    /// Until when.
    pub end: Instant,
    /// Whether its gaps were counted.
    pub counted: bool,
}

/// A while without troubles.
#[derive(Debug, Clone, Copy)]
pub struct Calm {
    /// Since when.
    pub begin: Instant,
    /// Until when, once it is over.
    pub end: Option<Instant>,
}

/// The story.
#[derive(Debug, Default)]
pub struct Story {
    /// Troubles, in order.
    pub struck: Vec<Struck>,
    /// Calms, in order.
    pub calms: Vec<Calm>,
    /// How often each kind was played.
    pub played: BTreeMap<Box<str>, u64>,
    /// What was found besides what callers were told.
    pub found: Vec<(Instant, Box<str>)>,
    events: VecDeque<(Instant, Box<str>)>,
}

impl Story {
    /// Notes an event.
    pub fn event(&mut self, at: Instant, text: impl Into<Box<str>>) {
        let place = self.events.partition_point(|(other, _)| *other <= at);
        self.events.insert(place, (at, text.into()));
        while self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }

    /// The last events, each after its milliseconds since a moment.
    pub fn events(&self, since: Instant) -> Vec<Box<str>> {
        let lines = self.events.iter().map(|(at, text)| {
            let at = at.duration_since(since).as_millis();
            format!("{at} ms: {text}").into()
        });
        lines.collect()
    }

    /// Notes a trouble that begins.
    pub fn strikes(&mut self, struck: Struck) {
        *self.played.entry(struck.kind.clone()).or_default() += 1;
        self.struck.push(struck);
    }

    /// Whether a moment is in a calm that has lasted for a while already.
    pub fn is_calm(&self, at: Instant, lasted: std::time::Duration) -> bool {
        self.calm_at(at)
            .is_some_and(|calm| calm.begin + lasted <= at)
    }

    /// The calm of a moment.
    pub fn calm_at(&self, at: Instant) -> Option<Calm> {
        let mut calms = self.calms.iter().rev();
        let calm = calms.find(|calm| calm.begin <= at)?;
        calm.end.is_none_or(|end| at < end).then_some(*calm)
    }

    /// Whether a trouble that hit a VM overlaps a while.
    pub fn has_hit(&self, vm: &VmId, from: Instant, to: Instant) -> bool {
        self.struck.iter().any(|struck| {
            let hit = struck.vms.as_ref().is_none_or(|vms| vms.contains(vm));
            hit && struck.begin <= to && from <= struck.end
        })
    }

    /// Forgets what was over before a moment.
    pub fn forget(&mut self, before: Instant) {
        self.struck
            .retain(|struck| !struck.counted || struck.end >= before);
        self.calms
            .retain(|calm| calm.end.is_none_or(|end| end >= before));
    }
}

/// All groups of a world.
pub fn all_groups(world: &Rc<World>) -> Vec<GroupId> {
    world.groups.iter().map(|group| group.id.clone()).collect()
}
