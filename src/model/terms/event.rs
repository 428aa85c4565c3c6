//! The events of the specification, and their text in traces.

use crate::model::terms::DATABASE_NAMES;
use std::fmt;

/// An event; stewards and databases by index.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// Time passes.
    Tick,
    /// A database answers a steward's probe.
    Probe(usize, usize),
    /// The probe's answer arrives.
    Receive(usize, usize),
    /// The primary commits a write, and the steward receives its answer.
    Write(usize, u8),
    /// A caller repeats a write of a former term.
    Repeat(usize, u8),
    /// A database reports that its log holds the pending write.
    ReportHeld(usize, usize),
    /// A steward acknowledges a write to its caller.
    Acknowledge(usize, u8),
    /// A steward starts to raise databases to a term.
    Attempt(usize, u8),
    /// A database is raised, and the steward receives the answer.
    Raise(usize, usize),
    /// A database is raised, and its answer is lost.
    RaiseAnswerLost(usize, usize),
    /// A steward orders a database to open.
    Order(usize, usize),
    /// A database carries out an order to open in a term.
    Open(usize, u8),
    /// A steward hands its term over, and acknowledges nothing more.
    Yield(usize),
    /// The handover arrives at a steward that is raising.
    TakeOver(usize, u8),
    /// A database copies the next entry of a primary's log.
    Replicate(usize, usize),
    /// A steward's process restarts.
    RestartSteward(usize),
    /// A database restarts.
    RestartDatabase(usize),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let vm = |s: &usize| s + 1;
        let db = |d: &usize| DATABASE_NAMES[*d];
        match self {
            Event::Tick => write!(f, "half a window passes"),
            Event::Probe(s, d) => write!(f, "{} answers a probe of vm{}", db(d), vm(s)),
            Event::Receive(s, d) => write!(f, "vm{} hears {}'s answer", vm(s), db(d)),
            Event::Write(s, w) => write!(f, "vm{}'s primary commits write {w}", vm(s)),
            Event::Repeat(s, w) => write!(f, "vm{} is asked again for write {w}", vm(s)),
            Event::ReportHeld(s, d) => write!(f, "{} tells vm{} it holds the write", db(d), vm(s)),
            Event::Acknowledge(s, w) => write!(f, "vm{} acknowledges write {w}", vm(s)),
            Event::Attempt(s, t) => write!(f, "vm{} starts to raise to term {t}", vm(s)),
            Event::Raise(s, d) => write!(f, "vm{} raises {}", vm(s), db(d)),
            Event::RaiseAnswerLost(s, d) => {
                write!(f, "vm{} raises {}, the answer is lost", vm(s), db(d))
            }
            Event::Order(s, d) => write!(f, "vm{} orders {} to open", vm(s), db(d)),
            Event::Open(d, t) => write!(f, "{} opens in term {t}", db(d)),
            Event::Yield(s) => write!(f, "vm{} stops and hands over", vm(s)),
            Event::TakeOver(s, t) => write!(f, "vm{} hears that term {t} was handed over", vm(s)),
            Event::Replicate(p, r) => write!(f, "{} copies an entry from {}", db(r), db(p)),
            Event::RestartSteward(s) => write!(f, "vm{} restarts", vm(s)),
            Event::RestartDatabase(d) => write!(f, "{} restarts", db(d)),
        }
    }
}
