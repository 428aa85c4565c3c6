//! The state of a proxy for the `dump` command.

use super::{Node, Stopping};
use crate::clock::Time;
use crate::core::counters::Counters;
use crate::core::member::Identity;
use crate::core::message::Primary;
use crate::core::{entry, holder, steward};
use crate::types::{DatabaseId, GroupId, Version, VmId};
use serde::Serialize;
use std::collections::BTreeMap;

#[derive(Debug, Serialize)]
struct Dump<'a> {
    identity: &'a Identity,
    now: Time,
    version: Version,
    members: usize,
    peers: BTreeMap<&'a VmId, Peer>,
    leaders: BTreeMap<&'a GroupId, &'a Primary>,
    entry: entry::Dump<'a>,
    holders: BTreeMap<&'a DatabaseId, holder::Dump<'a>>,
    stewards: BTreeMap<&'a GroupId, steward::Dump<'a>>,
    stopping: &'a Option<Stopping>,
    counters: &'a Counters,
}

#[derive(Debug, Serialize)]
struct Peer {
    up: bool,
    stopping: bool,
    suspect_until: Time,
}

impl Node {
    /// The complete state: floors, queues, slots, pools, terms, ownership, configuration version,
    /// peers and budgets.
    pub fn state(&self) -> impl Serialize + '_ {
        let world = &self.world;
        let config = world.config.as_ref();
        Dump {
            identity: &world.me,
            now: self.now,
            version: config.map_or(Version::default(), |accepted| accepted.version),
            members: world.members.len(),
            peers: world
                .peers
                .iter()
                .map(|(vm, peer)| (vm, Peer::of(peer)))
                .collect(),
            leaders: world.leaders.iter().collect(),
            entry: self.entry.dump(),
            holders: self.holders.iter().map(|(id, h)| (id, h.dump())).collect(),
            stewards: self.stewards.iter().map(|(id, s)| (id, s.dump())).collect(),
            stopping: &self.stopping,
            counters: &world.counters,
        }
    }
}

impl Peer {
    fn of(peer: &crate::core::world::Peer) -> Self {
        Self {
            up: peer.up,
            stopping: peer.stopping,
            suspect_until: peer.suspect_until,
        }
    }
}
