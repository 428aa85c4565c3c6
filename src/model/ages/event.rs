//! The events of the specification, and their text in traces.

use std::fmt;

/// An event.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// Time passes: half of the maximum age of reads.
    Tick,
    /// A commit is acknowledged.
    Commit,
    /// The first VM's lease ends.
    Lapse,
    /// The primary is replaced.
    Replace,
    /// The primary is replaced by one that lacks the last commit.
    RollBack,
    /// The first VM acquires a lease on the new primary.
    Renew,
    /// The first VM asks the primary for its log position.
    Ask,
    /// The leader answers, or the old primary if true.
    Answer(bool),
    /// The first VM receives the answer.
    Receive,
    /// The second VM asks the first for its newest pair.
    AskPeer,
    /// The first VM answers the second.
    AnswerPeer,
    /// The second VM receives that answer.
    ReceiveFromPeer,
    /// A VM's read runs on a replica.
    Read(usize),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Event::Tick => write!(f, "time passes: half of what reads may be old"),
            Event::Commit => write!(f, "a commit is acknowledged"),
            Event::Lapse => write!(f, "vm0's lease ends"),
            Event::Replace => write!(f, "another primary leads"),
            Event::RollBack => write!(f, "another primary leads, without the last commit"),
            Event::Renew => write!(f, "vm0 has a lease on the new primary"),
            Event::Ask => write!(f, "vm0 asks the primary"),
            Event::Answer(false) => write!(f, "the primary answers how far it is"),
            Event::Answer(true) => write!(f, "the old primary answers how far it is"),
            Event::Receive => write!(f, "vm0 hears it"),
            Event::AskPeer => write!(f, "vm1 asks vm0"),
            Event::AnswerPeer => write!(f, "vm0 tells what it learned"),
            Event::ReceiveFromPeer => write!(f, "vm1 hears it"),
            Event::Read(v) => write!(f, "a read of vm{v} runs on a replica"),
        }
    }
}
