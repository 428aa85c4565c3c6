//! The events of the specification, and their text in traces.

use std::fmt;

/// An event; VMs by index, 0 being the steward at the start.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// Time passes: half a lease, which is also how long a renewal of the duty is valid.
    Tick,
    /// Time passes while a VM is paused.
    TickWhilePaused(usize),
    /// A VM requests the rows, and the store reads them.
    Read(usize),
    /// A VM receives the answer to its call of the store.
    Receive(usize),
    /// A VM abandons its call; the store may still carry it out.
    Abandon(usize),
    /// The store applies an abandoned write.
    ApplyLate,
    /// A VM writes its own row.
    Register(usize),
    /// The steward sends a VM its reading of who leads.
    SendUpdate(usize, usize),
    /// The VM receives that update.
    ReceiveUpdate(usize),
    /// A VM ends, and starts again.
    Restart(usize),
    /// A VM stops as planned, abandons the removal of its row, and starts again.
    StopAndStart(usize),
    /// A VM takes the duty over.
    TakeOver(usize),
    /// The steward renews its duty.
    Renew(usize),
    /// The steward asks to write its intent.
    Intend(usize),
    /// The store writes the intent, and the steward receives the answer.
    Intended(usize),
    /// A VM drops the epoch, and the steward receives the confirmation.
    Drop(usize, usize),
    /// The steward marks the row of a silent VM as evicted.
    Evict(usize, usize),
    /// The steward removes an evicted row.
    Remove(usize, usize),
    /// The steward orders a database to lead.
    Order(usize, u8),
    /// An order arrives at the platform and is carried out.
    Arrive(u8, u8),
    /// The steward learns that the order was carried out, and publishes the new primary.
    Publish(usize),
    /// As `Publish`, but the steward abandons the write.
    AbandonPublish(usize),
    /// The steward offers its duty to another VM.
    HandOver(usize, usize),
    /// The other VM receives the offer.
    ReceiveOffer(usize),
    /// A VM sends a request to the primary under its lease.
    Send(usize),
    /// A VM acknowledges a write of the primary under its lease.
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
            Event::Receive(v) => write!(f, "vm{v} hears the store's answer"),
            Event::Abandon(v) => write!(f, "vm{v} gives its call of the store up"),
            Event::ApplyLate => write!(f, "the store does a write that was given up"),
            Event::Register(v) => write!(f, "vm{v} writes its row"),
            Event::SendUpdate(s, v) => write!(f, "vm{s} tells vm{v} what it read"),
            Event::ReceiveUpdate(v) => write!(f, "vm{v} hears it"),
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
            Event::AbandonPublish(v) => {
                write!(
                    f,
                    "vm{v} hears of it, and gives the naming of the new primary up"
                )
            }
            Event::HandOver(s, v) => write!(f, "vm{s} offers its duty to vm{v}"),
            Event::ReceiveOffer(v) => write!(f, "vm{v} hears the offer"),
            Event::Send(v) => write!(f, "vm{v} sends a request under its lease"),
            Event::Acknowledge(v, d) => {
                write!(f, "vm{v} acknowledges a write of {}", database(d))
            }
        }
    }
}
