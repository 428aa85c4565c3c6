//! What happens in one step.

use std::fmt;

/// An event; VMs by index, 0 being the steward at the start.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// Time passes: half a lease, and as long as the steward's row counts.
    Tick,
    /// The same, while a VM is paused.
    TickWhilePaused(usize),
    /// A VM asks for the rows, and the store reads them.
    Read(usize),
    /// A VM hears the answer to its call.
    Hear(usize),
    /// A VM gives its call up; what was asked may still be done.
    GiveUp(usize),
    /// The store does what was given up.
    Late,
    /// A VM writes its own row.
    Register(usize),
    /// The steward tells a VM who leads.
    Tell(usize, usize),
    /// That arrives.
    HearNews(usize),
    /// A VM ends, and starts again.
    Restart(usize),
    /// A VM stops as planned, its row is to be removed, and it starts again.
    StopAndStart(usize),
    /// A VM takes the duty over.
    TakeOver(usize),
    /// The steward renews its duty.
    Renew(usize),
    /// The steward asks to write its intent.
    Intend(usize),
    /// The store writes it, and the steward hears so.
    Intended(usize),
    /// A VM drops the epoch, and the steward hears so.
    Drop(usize, usize),
    /// The steward marks the row of a VM that it does not hear.
    Evict(usize, usize),
    /// The steward removes such a row.
    Remove(usize, usize),
    /// The steward orders a database to lead.
    Order(usize, u8),
    /// An order arrives, and is done.
    Arrive(u8, u8),
    /// The steward hears that it is done, and names the new primary.
    Publish(usize),
    /// The same, and the answer to that write is lost.
    PublishUnheard(usize),
    /// The steward offers its duty to another VM.
    HandOver(usize, usize),
    /// That arrives.
    HearOffer(usize),
    /// A VM sends a request to the primary of its lease.
    Send(usize),
    /// A VM acknowledges a write of the primary of its lease.
    Acknowledge(usize, u8),
}

fn database(index: u8) -> char {
    char::from(b'a' + index)
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Event::Tick => write!(f, "time passes"),
            Event::TickWhilePaused(v) => write!(f, "time passes while vm{v} is paused"),
            Event::Read(v) => write!(f, "vm{v} asks for the rows, the store reads them"),
            Event::Hear(v) => write!(f, "vm{v} hears the store's answer"),
            Event::GiveUp(v) => write!(f, "vm{v} gives its call of the store up"),
            Event::Late => write!(f, "the store does a write that was given up"),
            Event::Register(v) => write!(f, "vm{v} writes its row"),
            Event::Tell(s, v) => write!(f, "vm{s} tells vm{v} what it read"),
            Event::HearNews(v) => write!(f, "vm{v} hears it"),
            Event::Restart(v) => write!(f, "vm{v} ends and starts again"),
            Event::StopAndStart(v) => {
                write!(
                    f,
                    "vm{v} stops, gives the removal of its row up, and starts again"
                )
            }
            Event::TakeOver(v) => write!(f, "vm{v} takes the duty over, unheard as yet"),
            Event::Renew(v) => write!(f, "vm{v} renews its duty, unheard as yet"),
            Event::Intend(v) => write!(f, "vm{v} asks to write its intent"),
            Event::Intended(v) => write!(f, "vm{v}'s intent is written, and it hears so"),
            Event::Drop(s, v) => write!(f, "vm{v} drops the epoch for vm{s}"),
            Event::Evict(s, v) => write!(f, "vm{s} marks the row of vm{v}"),
            Event::Remove(s, v) => write!(f, "vm{s} removes the row of vm{v}"),
            Event::Order(v, d) => write!(f, "vm{v} orders {} to lead", database(d)),
            Event::Arrive(token, d) => {
                write!(
                    f,
                    "the order of token {token} arrives: {} leads",
                    database(d)
                )
            }
            Event::Publish(v) => write!(f, "vm{v} hears of it, and names the new primary"),
            Event::PublishUnheard(v) => {
                write!(
                    f,
                    "vm{v} hears of it, and gives the naming of the new primary up"
                )
            }
            Event::HandOver(s, v) => write!(f, "vm{s} offers its duty to vm{v}"),
            Event::HearOffer(v) => write!(f, "vm{v} hears the offer"),
            Event::Send(v) => write!(f, "vm{v} sends a request under its lease"),
            Event::Acknowledge(v, d) => {
                write!(f, "vm{v} acknowledges a write of {}", database(d))
            }
        }
    }
}
