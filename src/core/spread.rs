//! How proxies bring a new configuration to each other, without the store.
//!
//! Load pattern: 1,200 changes a day to 580 VMs, and a store that may fail right after it has
//! accepted one. A VM with a new version tells a few others at random; whoever is behind asks
//! for the document, so that it crosses the network once for each VM. Versions also travel
//! with probes, and each VM tells one other each second, which finds those that were missed.

use crate::clock::{Span, Time};
use crate::config::Accepted;
use crate::core::message::{Hello, Message};
use crate::core::world::Turn;
use crate::types::{Version, VmId};
use bytes::Bytes;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use std::io::{Read, Write};
use std::sync::Arc;

/// VMs told at once of a new version. Three leave about 6 % of the VMs to the next seconds'
/// gossip.
const FANOUT: usize = 3;

/// Between two tellings of a VM's version to another: 580 VMs are reached in a few rounds, for
/// some 60 bytes a second.
const GOSSIP: Span = Span::from_secs(1);

/// How long a document asked for is waited for before another VM may be asked.
const WANT: Span = Span::from_millis(500);

/// How long a fresh VM with others beside it waits to hear of a later version than the store
/// showed it.
const PROBATION: Span = Span::from_secs(1);

/// The largest document taken, uncompressed: ten times that of 1,200 databases.
const DOCUMENT_LIMIT: u64 = 4 << 20;

/// What a VM does to have the latest configuration.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    /// The highest version heard of.
    heard: Version,
    /// Read already, but not in force while a later one is being fetched.
    candidate: Option<Arc<Accepted>>,
    probation: Option<Time>,
    met: bool,
    wanted_until: Time,
    gossip_at: Time,
    packed: Option<(Version, Bytes)>,
}

impl Spread {
    /// The next time at which it has something to say.
    pub fn wake(&self) -> Time {
        match self.probation {
            Some(until) if self.candidate.is_some() => until.min(self.gossip_at),
            _ => self.gossip_at,
        }
    }

    /// A configuration was read from the store or sent by another VM. It is returned if it is
    /// to be put in force now.
    ///
    /// Failure: the store shows an old version, or a message is late. Symptom: a configuration
    /// that was accepted is reverted. Enough, because only a higher version than the one in
    /// force is taken, and a fresh VM first asks the others for the highest.
    pub fn offered(&mut self, turn: &mut Turn, offered: Arc<Accepted>) -> Option<Arc<Accepted>> {
        let known = self.candidate.as_ref().map(|known| known.version);
        if offered.version <= turn.version() || known >= Some(offered.version) {
            return None;
        }
        self.heard = self.heard.max(offered.version);
        self.candidate = Some(offered);
        self.settle(turn)
    }

    /// The candidate, once nothing speaks against it.
    pub fn settle(&mut self, turn: &mut Turn) -> Option<Arc<Accepted>> {
        let fresh = turn.world.config.is_none();
        let others = turn.world.members.iter().any(|m| m.vm != turn.world.me.vm);
        let candidate = self.candidate.as_ref()?;
        if fresh && others && !self.met {
            let until = *self.probation.get_or_insert(turn.now + PROBATION);
            if until > turn.now {
                return None;
            }
        }
        if fresh && candidate.version < self.heard {
            return None;
        }
        self.candidate.take()
    }

    /// A configuration was put in force: others are told.
    pub fn accepted(&mut self, turn: &mut Turn) {
        self.packed = None;
        self.wanted_until = Time::default();
        for _ in 0..FANOUT {
            self.greet_one(turn);
        }
    }

    /// Another VM told its version.
    pub fn heard(&mut self, turn: &mut Turn, from: &VmId, version: Version) {
        self.heard = self.heard.max(version);
        let candidate = self.candidate.as_ref().map(|known| known.version);
        let have = candidate.max(Some(turn.version()));
        if Some(version) > have && self.wanted_until <= turn.now {
            self.wanted_until = turn.now + WANT;
            let mine = have.unwrap_or_default();
            turn.send(from, Message::Want(mine));
        }
    }

    /// Another VM said hello, or told an older version with a probe: it is told ours.
    pub fn answer(&mut self, turn: &mut Turn, from: &VmId, version: Version) {
        if version < turn.version() {
            self.greet(turn, from);
        }
    }

    /// At least one other VM has told its version.
    pub fn meet(&mut self) {
        self.met = true;
    }

    pub fn greet(&self, turn: &mut Turn, to: &VmId) {
        let hello = Hello {
            life: turn.world.me.life,
            version: turn.version(),
            stopping: turn.world.stopping,
        };
        turn.send(to, Message::Hello(hello));
    }

    /// Another VM asks for a later configuration than `version`.
    pub fn want(&mut self, turn: &mut Turn, from: &VmId, version: Version) {
        if version >= turn.version() {
            return;
        }
        if let Some(packed) = self.pack(turn) {
            turn.send(from, Message::Document(packed));
        }
    }

    fn pack(&mut self, turn: &Turn) -> Option<Bytes> {
        let accepted = turn.world.config.as_ref()?;
        let packed = self.packed.as_ref();
        if let Some((_, packed)) = packed.filter(|(version, _)| *version == accepted.version) {
            return Some(packed.clone());
        }
        let json = serde_json::to_vec(&**accepted).ok()?;
        let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
        encoder.write_all(&json).ok()?;
        let packed = Bytes::from(encoder.finish().ok()?);
        self.packed = Some((accepted.version, packed.clone()));
        Some(packed)
    }

    pub fn tick(&mut self, turn: &mut Turn) {
        if self.gossip_at <= turn.now {
            self.gossip_at = turn.now + GOSSIP;
            self.greet_one(turn);
        }
    }

    /// Tells one other VM at random; one with an open stream, where there is any.
    fn greet_one(&mut self, turn: &mut Turn) {
        let me = &turn.world.me.vm;
        let listed = turn.world.members.iter().map(|member| &member.vm);
        let others: Vec<&VmId> = listed.filter(|vm| *vm != me).collect();
        let up = |vm: &&&VmId| turn.world.peers.get(**vm).is_some_and(|peer| peer.up);
        let connected: Vec<&VmId> = others.iter().filter(up).copied().collect();
        let choice = if connected.is_empty() {
            others
        } else {
            connected
        };
        let choice: Vec<VmId> = choice.into_iter().cloned().collect();
        if choice.is_empty() {
            return;
        }
        let index = turn.world.random(choice.len());
        self.greet(turn, &choice[index]);
    }
}

/// Unpacks a document that another VM sent; `None` if it makes no sense.
pub(crate) fn unpack(packed: &Bytes) -> Option<Accepted> {
    let mut json = Vec::new();
    let mut decoder = GzDecoder::new(packed.as_ref()).take(DOCUMENT_LIMIT);
    decoder.read_to_end(&mut json).ok()?;
    serde_json::from_slice(&json).ok()
}
