//! Distribution of configurations between proxies, without the store.
//!
//! Designed for 1,200 changes a day to 580 VMs and for a store that fails right after accepting
//! one. A VM with a new version announces it to a few random others. A VM with an older version
//! requests the document, so that each VM receives it once. Versions are also sent with probes,
//! and each VM sends its version to one other each second, which reaches those that were missed.

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

/// The number of VMs to which a new version is announced at once. With three, about 6 % of the
/// VMs learn of it only by the gossip of the next seconds.
const FANOUT: usize = 3;

/// The interval at which a VM sends its version to another one. This reaches 580 VMs in a few
/// rounds and costs some 60 bytes a second.
const GOSSIP_INTERVAL: Span = Span::from_secs(1);

/// How long to wait for a requested document before another VM may be asked.
const DOCUMENT_TIMEOUT: Span = Span::from_millis(500);

/// How long a VM that has just started waits for another VM to announce a later version than the
/// one it read from the store.
const FIRST_VERSION_TIMEOUT: Span = Span::from_secs(1);

/// The largest document accepted, in uncompressed bytes: ten times that of 1,200 databases.
const MAX_DOCUMENT_BYTES: u64 = 4 << 20;

/// Finds and distributes the latest configuration.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    /// The highest version that any VM has announced.
    highest: Version,
    /// A configuration that was received but not put in force yet, while a later one may exist.
    candidate: Option<Arc<Accepted>>,
    first_version_until: Option<Time>,
    has_answer: bool,
    requested_until: Time,
    gossip_at: Time,
    packed: Option<(Version, Bytes)>,
}

impl Spread {
    /// When the next tick is due.
    pub fn wake(&self) -> Time {
        match self.first_version_until {
            Some(until) if self.candidate.is_some() => until.min(self.gossip_at),
            _ => self.gossip_at,
        }
    }

    /// Takes a configuration from the store or another VM, and returns it if it is to be put in
    /// force now.
    ///
    /// Only a higher version than the one in force is taken, and a VM that has just started first
    /// waits for the versions of others, so that an outdated store or a late message never
    /// reverts an accepted configuration.
    pub fn offered(&mut self, turn: &mut Turn, offered: Arc<Accepted>) -> Option<Arc<Accepted>> {
        let known = self.candidate.as_ref().map(|known| known.version);
        if offered.version <= turn.version() || known >= Some(offered.version) {
            return None;
        }
        self.highest = self.highest.max(offered.version);
        self.candidate = Some(offered);
        self.settle(turn)
    }

    /// Removes and returns the candidate if it may be put in force now.
    pub fn settle(&mut self, turn: &mut Turn) -> Option<Arc<Accepted>> {
        let is_new = turn.world.config.is_none();
        let others = turn.world.members.iter().any(|m| m.vm != turn.world.me.vm);
        let candidate = self.candidate.as_ref()?;
        if is_new && others && !self.has_answer {
            let until = *self
                .first_version_until
                .get_or_insert(turn.now + FIRST_VERSION_TIMEOUT);
            if until > turn.now {
                return None;
            }
        }
        if is_new && candidate.version < self.highest {
            return None;
        }
        self.candidate.take()
    }

    /// Announces a configuration that was put in force.
    pub fn accepted(&mut self, turn: &mut Turn) {
        self.packed = None;
        self.requested_until = Time::default();
        for _ in 0..FANOUT {
            self.send_hello_to_random(turn);
        }
    }

    /// Records another VM's version and requests its document if it is newer.
    pub fn version_reported(&mut self, turn: &mut Turn, from: &VmId, version: Version) {
        self.highest = self.highest.max(version);
        let candidate = self.candidate.as_ref().map(|known| known.version);
        let have = candidate.max(Some(turn.version()));
        if Some(version) > have && self.requested_until <= turn.now {
            self.requested_until = turn.now + DOCUMENT_TIMEOUT;
            let mine = have.unwrap_or_default();
            turn.send(from, Message::Fetch(mine));
        }
    }

    /// Sends this VM's version to a VM that announced an older one.
    pub fn reply_if_newer(&mut self, turn: &mut Turn, from: &VmId, version: Version) {
        if version < turn.version() {
            self.send_hello(turn, from);
        }
    }

    /// Records that at least one other VM has announced its version.
    pub fn peer_answered(&mut self) {
        self.has_answer = true;
    }

    pub fn send_hello(&self, turn: &mut Turn, to: &VmId) {
        let hello = Hello {
            life: turn.world.me.life,
            version: turn.version(),
            stopping: turn.world.stopping,
        };
        turn.send(to, Message::Hello(hello));
    }

    /// Sends the configuration to a VM that asked for a later one than `version`.
    pub fn send_document(&mut self, turn: &mut Turn, from: &VmId, version: Version) {
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
            self.gossip_at = turn.now + GOSSIP_INTERVAL;
            self.send_hello_to_random(turn);
        }
    }

    /// Sends a hello to one other VM at random, preferably one with an open stream.
    fn send_hello_to_random(&mut self, turn: &mut Turn) {
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
        self.send_hello(turn, &choice[index]);
    }
}

/// Unpacks a document that another VM sent; `None` if it is malformed or too large.
pub(crate) fn unpack(packed: &Bytes) -> Option<Accepted> {
    let mut json = Vec::new();
    let mut decoder = GzDecoder::new(packed.as_ref()).take(MAX_DOCUMENT_BYTES);
    decoder.read_to_end(&mut json).ok()?;
    serde_json::from_slice(&json).ok()
}
