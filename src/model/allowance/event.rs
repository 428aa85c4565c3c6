//! The events of the specifications, and their text in traces.

use std::fmt;

/// An event; allocators and asking VMs by index.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// Time passes.
    Tick,
    /// Time passes while an asking VM is paused.
    TickWhilePaused(usize),
    /// An allocator restarts.
    Restart(usize),
    /// An allocator receives a configuration with half the allowance.
    Lower(usize),
    /// An asking VM requests a token for each of many operations, and the allocator grants what it has.
    Ask(usize, usize),
    /// An asking VM requests one token, and as many in advance as the allocator grants.
    AskAhead(usize, usize),
    /// An asking VM receives an answer.
    Receive(usize, usize),
    /// An asking VM runs an operation for each token that it has.
    Spend(usize),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Event::Tick => write!(f, "time passes"),
            Event::TickWhilePaused(v) => write!(f, "time passes while vm{v} is paused"),
            Event::Restart(a) => write!(f, "allocator{a} restarts"),
            Event::Lower(a) => write!(f, "allocator{a} halves the allowance"),
            Event::Ask(v, a) => write!(f, "vm{v} needs many tokens of allocator{a}"),
            Event::AskAhead(v, a) => {
                write!(
                    f,
                    "vm{v} needs one token of allocator{a}, and more in advance"
                )
            }
            Event::Receive(v, a) => write!(f, "vm{v} receives the answer of allocator{a}"),
            Event::Spend(v) => write!(f, "vm{v} spends its tokens"),
        }
    }
}
