//! One stream's two counts: what was sent and what the other end has taken.

use crate::core::message::Message;
use crate::core::request::Outcome;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// How long a frame may go unacknowledged before its stream is in doubt. Far above a round trip
/// between regions (20 ms), and short enough that a silent stream costs a caller one wait.
pub const DOUBT: Duration = Duration::from_secs(2);

/// Bytes of work and answers that may be unacknowledged on one stream. A peer that reads too
/// slowly would otherwise fill this process's memory; past it the stream counts as in doubt.
pub const UNREAD_LIMIT: usize = 64 << 20;

/// What travels on a stream.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Frame {
    /// How many messages the sender has taken from this stream so far.
    pub(super) taken: u64,
    /// What it says; `None` if it only acknowledges.
    pub(super) message: Option<Message>,
}

/// What was sent on a stream, and what came back.
#[derive(Debug)]
pub(super) struct Stream {
    pub serial: u64,
    frames: mpsc::UnboundedSender<Frame>,
    pub sent: u64,
    pub acknowledged: u64,
    unread: usize,
    doubtful: Option<Instant>,
    pub taken: u64,
    pub told: u64,
}

impl Stream {
    pub fn new(serial: u64, frames: mpsc::UnboundedSender<Frame>) -> Self {
        Self {
            serial,
            frames,
            sent: 0,
            acknowledged: 0,
            unread: 0,
            doubtful: None,
            taken: 0,
            told: 0,
        }
    }

    pub fn send(&mut self, message: Message) {
        self.sent += 1;
        self.unread += size(&message);
        self.doubtful.get_or_insert_with(|| Instant::now() + DOUBT);
        self.push(Some(message));
    }

    pub fn push(&mut self, message: Option<Message>) {
        self.told = self.taken;
        // A closed channel shows as the end of the stream's reader, which reports it.
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
        self.doubtful = (rest > 0).then(|| Instant::now() + DOUBT);
        if rest == 0 {
            self.unread = 0;
        }
    }

    pub fn in_doubt(&self, now: Instant) -> bool {
        self.unread > UNREAD_LIMIT || self.doubtful.is_some_and(|deadline| deadline <= now)
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
