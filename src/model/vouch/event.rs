//! What happens in one step.

use std::fmt;

/// An event; VMs by index, 0 being the steward at the start.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// Time passes: half a term.
    Tick,
    /// The same, while a VM is paused.
    TickWhilePaused(usize),
    /// A VM asks for the rows, and the store reads them.
    Read(usize),
    /// A VM hears the store's answer.
    Hear(usize),
    /// A VM writes its own row.
    Register(usize),
    /// A VM asks the others to vouch, and one does.
    Ask(usize, usize),
    /// Another one does.
    Word(usize, usize),
    /// A VM ends, and starts again.
    Restart(usize),
    /// A VM stops, and drops all.
    Stop(usize),
    /// It removes its row.
    Unregister(usize),
    /// A VM takes the duty over.
    TakeOver(usize),
    /// The steward writes its intent.
    Intend(usize),
    /// A VM drops the epoch, and the steward hears so.
    Drop(usize, usize),
    /// The steward need not wait for a VM any more.
    Lapse(usize, usize),
    /// The steward marks the row of a VM; at once, or as a write that is given up.
    Evict(usize, usize, bool),
    /// The steward removes such a row.
    Remove(usize, usize, bool),
    /// The store does a write that was given up.
    Late,
    /// The steward renews the duty, and another primary leads by its order.
    Order(usize),
    /// The steward names the new primary.
    Publish(usize),
}

fn given_up(late: bool) -> &'static str {
    if late {
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
            Event::Hear(v) => write!(f, "vm{v} hears the store's answer"),
            Event::Register(v) => write!(f, "vm{v} writes its row"),
            Event::Ask(v, u) => write!(f, "vm{v} asks the others to vouch, hears that vm{u} does"),
            Event::Word(v, u) => write!(f, "vm{v} hears that vm{u} vouches too"),
            Event::Restart(v) => write!(f, "vm{v} ends and starts again"),
            Event::Stop(v) => write!(f, "vm{v} stops"),
            Event::Unregister(v) => write!(f, "vm{v} removes its row"),
            Event::TakeOver(s) => write!(f, "vm{s} takes the duty over"),
            Event::Intend(s) => write!(f, "vm{s} writes its intent"),
            Event::Drop(s, v) => write!(f, "vm{v} drops the epoch for vm{s}"),
            Event::Lapse(s, v) => write!(f, "vm{s} waits for vm{v} no more"),
            Event::Evict(s, v, late) => {
                write!(f, "vm{s} marks the row of vm{v}{}", given_up(late))
            }
            Event::Remove(s, v, late) => {
                write!(f, "vm{s} removes the row of vm{v}{}", given_up(late))
            }
            Event::Late => write!(f, "the store does a write that was given up"),
            Event::Order(s) => write!(f, "vm{s} orders that another database leads"),
            Event::Publish(s) => write!(f, "vm{s} names the new primary"),
        }
    }
}
