//! The events of the specification, and their text in traces.

use std::fmt;

/// An event; VMs by index, 0 being the steward at the start.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// Time passes: half a term.
    Tick,
    /// Half a term passes while a VM is paused.
    TickWhilePaused(usize),
    /// A VM requests the rows, and the store reads them.
    Read(usize),
    /// A VM receives the store's answer.
    Receive(usize),
    /// A VM writes its own row.
    Register(usize),
    /// A VM asks the others for confirmation and receives the first one.
    AskPeers(usize, usize),
    /// A VM receives another confirmation.
    Confirm(usize, usize),
    /// A VM ends, and starts again.
    Restart(usize),
    /// A VM starts a planned stop, and drops all epochs.
    Stop(usize),
    /// A stopped VM removes its row.
    Unregister(usize),
    /// A VM takes the duty over.
    TakeOver(usize),
    /// The steward writes its intent.
    Intend(usize),
    /// A VM drops the epoch, and the steward receives the confirmation.
    Drop(usize, usize),
    /// The steward stops waiting for a VM whose lease has expired.
    Lapse(usize, usize),
    /// The steward marks the row of a VM as evicted; if true, it abandons that write.
    Evict(usize, usize, bool),
    /// The steward removes an evicted row; if true, it abandons that write.
    Remove(usize, usize, bool),
    /// The store applies an abandoned write.
    ApplyLate,
    /// The steward renews the duty, and another primary leads by its order.
    Order(usize),
    /// The steward publishes the new primary.
    Publish(usize),
}

fn abandoned_suffix(abandoned: bool) -> &'static str {
    if abandoned {
        ", and gives that write up"
    } else {
        ""
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Event::Tick => write!(f, "half a term passes"),
            Event::TickWhilePaused(v) => write!(f, "half a term passes while vm{v} is paused"),
            Event::Read(v) => write!(f, "vm{v} asks for the rows, the store reads them"),
            Event::Receive(v) => write!(f, "vm{v} hears the store's answer"),
            Event::Register(v) => write!(f, "vm{v} writes its row"),
            Event::AskPeers(v, u) => {
                write!(f, "vm{v} asks the others to vouch, hears that vm{u} does")
            }
            Event::Confirm(v, u) => write!(f, "vm{v} hears that vm{u} vouches too"),
            Event::Restart(v) => write!(f, "vm{v} ends and starts again"),
            Event::Stop(v) => write!(f, "vm{v} stops"),
            Event::Unregister(v) => write!(f, "vm{v} removes its row"),
            Event::TakeOver(s) => write!(f, "vm{s} takes the duty over"),
            Event::Intend(s) => write!(f, "vm{s} writes its intent"),
            Event::Drop(s, v) => write!(f, "vm{v} drops the epoch for vm{s}"),
            Event::Lapse(s, v) => write!(f, "vm{s} waits for vm{v} no more"),
            Event::Evict(s, v, abandoned) => {
                write!(
                    f,
                    "vm{s} marks the row of vm{v}{}",
                    abandoned_suffix(abandoned)
                )
            }
            Event::Remove(s, v, abandoned) => {
                write!(
                    f,
                    "vm{s} removes the row of vm{v}{}",
                    abandoned_suffix(abandoned)
                )
            }
            Event::ApplyLate => write!(f, "the store does a write that was given up"),
            Event::Order(s) => write!(f, "vm{s} orders that another database leads"),
            Event::Publish(s) => write!(f, "vm{s} names the new primary"),
        }
    }
}
