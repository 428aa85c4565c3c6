//! Message streams between two proxies, and network partitions.

use super::{DETECTION_DELAY, LATENCY, Scheduled, System};
use crate::core::message::Message;
use crate::core::node::Input;
use crate::types::VmId;

/// The stream between two VMs. The epoch changes when it opens and closes; messages sent in an earlier
/// epoch are lost.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Stream {
    epoch: u64,
    state: State,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum State {
    #[default]
    Down,
    Up,
    /// Broken: messages are lost, and both ends are notified after a delay.
    Broken,
}

impl System {
    /// Drops all traffic between two VMs or databases, given by their names.
    pub fn cut(&mut self, one: &str, other: &str) {
        self.cuts.insert(pair(one.into(), other.into()));
        if let (Some(one), Some(other)) = (super::name(one), super::name(other)) {
            self.break_stream(&one, &other);
        }
    }

    /// Ends every partition.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub(super) fn is_cut(&self, one: &str, other: &str) -> bool {
        self.cuts.contains(&pair(one.into(), other.into()))
    }

    pub(super) fn break_stream(&mut self, one: &VmId, other: &VmId) {
        let key = pair(one.clone(), other.clone());
        let Some(stream) = self.streams.get_mut(&key) else {
            return;
        };
        if stream.state != State::Up {
            return;
        }
        stream.state = State::Broken;
        let epoch = stream.epoch;
        self.schedule(DETECTION_DELAY, Scheduled::Broken(key.0, key.1, epoch));
    }

    pub(super) fn broken(&mut self, one: VmId, other: VmId, epoch: u64) {
        let key = (one, other);
        let Some(stream) = self.streams.get_mut(&key) else {
            return;
        };
        if stream.epoch != epoch {
            return;
        }
        stream.state = State::Down;
        stream.epoch += 1;
        let (one, other) = key;
        self.input(
            &one,
            crate::clock::Span::ZERO,
            Input::PeerDown(other.clone()),
        );
        self.input(&other, crate::clock::Span::ZERO, Input::PeerDown(one));
    }

    /// Sends a message, and opens the stream first if it is closed.
    pub(super) fn send(&mut self, from: &VmId, to: &VmId, message: Message) {
        let reachable = self.machines.contains_key(to) && !self.is_cut(from.as_str(), to.as_str());
        let key = pair(from.clone(), to.clone());
        let stream = self.streams.entry(key).or_default();
        match (stream.state, reachable) {
            (State::Broken, _) => return,
            (State::Up, true) => {}
            (State::Up, false) => return self.break_stream(from, to),
            (State::Down, false) => {
                stream.state = State::Broken;
                let epoch = stream.epoch;
                let key = pair(from.clone(), to.clone());
                return self.schedule(DETECTION_DELAY, Scheduled::Broken(key.0, key.1, epoch));
            }
            (State::Down, true) => {
                stream.state = State::Up;
                stream.epoch += 1;
                self.input(from, LATENCY, Input::PeerUp(to.clone()));
                self.input(to, LATENCY, Input::PeerUp(from.clone()));
            }
        }
        let key = pair(from.clone(), to.clone());
        let epoch = self.streams.get(&key).map_or(0, |stream| stream.epoch);
        let scheduled = Scheduled::Message(from.clone(), to.clone(), epoch, message);
        self.schedule(LATENCY, scheduled);
    }

    pub(super) fn delivers(&self, from: &VmId, to: &VmId, epoch: u64) -> bool {
        let stream = self.streams.get(&pair(from.clone(), to.clone()));
        stream.is_some_and(|stream| stream.epoch == epoch && stream.state == State::Up)
    }
}

fn pair<T: Ord>(one: T, other: T) -> (T, T) {
    if one <= other {
        (one, other)
    } else {
        (other, one)
    }
}
