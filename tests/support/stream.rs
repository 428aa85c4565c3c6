//! The streams between VMs, which open with the first message; a break is detected after a delay.

use super::{Coming, LATENCY, NOTICE, World};
use lentilspoke::core::message::Message;
use lentilspoke::core::node::Input;
use lentilspoke::types::VmId;

/// The stream between two VMs.
#[derive(Debug, Default)]
pub struct Stream {
    pub number: u64,
    pub open: bool,
    /// Whether messages are lost because the stream broke, which is not detected yet.
    pub broken: bool,
}

impl World {
    pub(super) fn stream(&mut self, one: &VmId, other: &VmId) -> &mut Stream {
        let pair = if one < other {
            (one, other)
        } else {
            (other, one)
        };
        self.streams
            .entry((pair.0.clone(), pair.1.clone()))
            .or_default()
    }

    pub(super) fn open(&mut self, one: &VmId, other: &VmId) {
        let stream = self.stream(one, other);
        stream.number += 1;
        (stream.open, stream.broken) = (true, false);
        for (vm, peer) in [(one, other), (other, one)] {
            // A pending notification about an earlier stream is delivered first.
            if self.down.get(&(vm.clone(), peer.clone())) == Some(&false) {
                self.tell_down(vm, peer);
            }
            self.input(vm, Input::PeerUp(peer.clone()));
        }
    }

    pub(super) fn tell_down(&mut self, vm: &VmId, peer: &VmId) {
        self.down.insert((vm.clone(), peer.clone()), true);
        self.input(vm, Input::PeerDown(peer.clone()));
    }

    /// Breaks the stream between two VMs if it is open; this is detected after a delay.
    pub(super) fn sever(&mut self, one: &VmId, other: &VmId) {
        let stream = self.stream(one, other);
        if stream.open && !stream.broken {
            stream.broken = true;
            let number = stream.number;
            self.later(NOTICE, Coming::Break(one.clone(), other.clone(), number));
        }
    }

    pub(super) fn post(&mut self, from: &VmId, to: VmId, message: Message) {
        if self.down.contains_key(&(from.clone(), to.clone())) {
            return;
        }
        let unreachable = self.is_cut(from.as_str(), to.as_str()) || !self.nodes.contains_key(&to);
        if !self.stream(from, &to).open {
            if unreachable {
                self.down.insert((from.clone(), to.clone()), false);
                return self.later(NOTICE, Coming::Down(from.clone(), to));
            }
            self.open(from, &to);
        }
        let number = self.stream(from, &to).number;
        self.later(LATENCY, Coming::Message(from.clone(), to, number, message));
    }
}
