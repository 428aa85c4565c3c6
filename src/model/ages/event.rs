//! What happens in one step.

use std::fmt;

/// An event.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// Time passes: half of what reads may be old.
    Tick,
    /// A commit is acknowledged.
    Commit,
    /// The first VM's lease ends.
    Lapse,
    /// Another primary leads.
    Replace,
    /// The same, and it lacks the last commit.
    Roll,
    /// The first VM has a lease on the new primary.
    Renew,
    /// The first VM asks the primary.
    Ask,
    /// The leader answers, or the old primary.
    Answer(bool),
    /// The first VM hears the answer.
    Hear,
    /// The second VM asks the first.
    Tell,
    /// The first VM answers.
    Told,
    /// The second VM hears that.
    HearOther,
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
            Event::Roll => write!(f, "another primary leads, without the last commit"),
            Event::Renew => write!(f, "vm0 has a lease on the new primary"),
            Event::Ask => write!(f, "vm0 asks the primary"),
            Event::Answer(false) => write!(f, "the primary answers how far it is"),
            Event::Answer(true) => write!(f, "the old primary answers how far it is"),
            Event::Hear => write!(f, "vm0 hears it"),
            Event::Tell => write!(f, "vm1 asks vm0"),
            Event::Told => write!(f, "vm0 tells what it learned"),
            Event::HearOther => write!(f, "vm1 hears it"),
            Event::Read(v) => write!(f, "a read of vm{v} runs on a replica"),
        }
    }
}
