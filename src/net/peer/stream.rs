//! The counts of one stream: messages sent, and messages that the peer has acknowledged.

use crate::core::message::Message;
use crate::core::request::Outcome;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// How long a message may go unacknowledged before its stream counts as stalled. This is far above
/// a round trip between regions (20 ms), and short enough that a stalled stream delays a caller
/// only once.
pub const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of work and answers that may be unacknowledged on one stream. Above it the stream counts
/// as stalled; otherwise a peer that reads too slowly would fill this process's memory.
pub const MAX_UNACKNOWLEDGED: usize = 64 << 20;

/// A message of a stream, with the acknowledgement of the other direction.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Frame {
    /// The number of messages that the sender has received on this stream.
    pub(super) taken: u64,
    /// The message; `None` if the frame only acknowledges.
    pub(super) message: Option<Message>,
}

/// The sending half of a stream and its counts.
#[derive(Debug)]
pub(super) struct Stream {
    pub serial: u64,
    frames: mpsc::UnboundedSender<Frame>,
    pub sent: u64,
    pub acknowledged: u64,
    /// Bytes that were sent since everything was last acknowledged.
    unacknowledged: usize,
    /// When the next acknowledgement is due.
    acknowledgement_due: Option<Instant>,
    /// Messages received.
    pub taken: u64,
    /// Messages received that were acknowledged to the peer.
    pub reported: u64,
}

impl Stream {
    pub fn new(serial: u64, frames: mpsc::UnboundedSender<Frame>) -> Self {
        Self {
            serial,
            frames,
            sent: 0,
            acknowledged: 0,
            unacknowledged: 0,
            acknowledgement_due: None,
            taken: 0,
            reported: 0,
        }
    }

    pub fn send(&mut self, message: Message) {
        self.sent += 1;
        self.unacknowledged += size(&message);
        self.acknowledgement_due
            .get_or_insert_with(|| Instant::now() + ACKNOWLEDGEMENT_TIMEOUT);
        self.push(Some(message));
    }

    pub fn push(&mut self, message: Option<Message>) {
        self.reported = self.taken;
        // If the channel is closed, the stream's reader ends too and reports it.
        let _ = self.frames.send(Frame {
            taken: self.taken,
            message,
        });
    }

    pub fn acknowledge(&mut self, taken: u64) {
        if taken <= self.acknowledged {
            return;
        }
        self.acknowledged = taken;
        let rest = self.sent.saturating_sub(taken);
        self.acknowledgement_due = (rest > 0).then(|| Instant::now() + ACKNOWLEDGEMENT_TIMEOUT);
        if rest == 0 {
            self.unacknowledged = 0;
        }
    }

    pub fn is_stalled(&self, now: Instant) -> bool {
        self.unacknowledged > MAX_UNACKNOWLEDGED
            || self
                .acknowledgement_due
                .is_some_and(|deadline| deadline <= now)
    }
}

fn size(message: &Message) -> usize {
    match message {
        Message::Work(work) => work.body.len(),
        Message::Answer(answer) => match &answer.outcome {
            Outcome::Done(done) => done.body.len(),
            _ => 0,
        },
        Message::Document(bytes) => bytes.len(),
        _ => 0,
    }
}
