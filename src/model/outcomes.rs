//! A booking, which is one write, sent from its entry through a holder to a database, and the
//! outcome reported to its caller.
//!
//! Streams and connections may break at any point, before or after delivery; an answer may be lost
//! after the work took effect. The rules are those of `core::entry`, `core::holder` and
//! `net::target`, whose own code is tested by scenarios and random schedules.

use crate::model::search::{Report, Step, search};
use std::fmt;

/// A rule that keeps the reported outcome correct; a search can disable one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// Work sent to a holder that was then lost is reported as unknown, not as not run.
    UnknownOnceSent,
    /// Work that was sent is retried only under a request key.
    KeyForRetry,
    /// The key is written in the same transaction as the work.
    OneTransaction,
    /// Work that its holder rejected is not run later.
    TurnedAwayIsGone,
}

/// The specification of a booking with or without a request key.
#[derive(Debug, Clone, Copy)]
pub struct Spec {
    keyed: bool,
    tries: u8,
    disabled: Option<Safeguard>,
}

/// The stage that one try of the booking has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Stage {
    /// In flight to the holder.
    Sent,
    /// In the holder's queue.
    Queued,
    /// In flight to the database.
    Issued,
    /// The work ran, but its key is not written yet.
    KeyPending,
    /// It ran, or its key was found; the answer is in flight.
    Answered,
    /// The holder rejected it; that answer is in flight.
    Rejected,
}

/// The outcome reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Outcome {
    Done,
    NotRun,
    Unknown,
}

/// A state of the booking's tries, the log and the caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Tries in progress, by number; the entry accepts an answer only to the last one sent.
    tries: Vec<(u8, Stage)>,
    sent: u8,
    /// How often the booking is in the log, and whether its key is written.
    log: u8,
    key: bool,
    outcome: Option<Outcome>,
}

/// An event, with the number of the try.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// The entry sends the booking.
    Send(u8),
    /// The try arrives at the holder.
    Arrive(u8),
    /// The holder rejects the try.
    Reject(u8),
    /// The holder sends the try on a database connection.
    Issue(u8),
    /// The database runs the try.
    Run(u8),
    /// The database writes the try's key.
    WriteKey(u8),
    /// The database finds the key and returns the first try's answer.
    FindKey(u8),
    /// The stream or connection that carries the try breaks.
    Lose(u8),
    /// The entry receives the answer.
    Receive(u8),
    /// The entry's stream breaks, or its deadline passes.
    Abandon(u8),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::Send(n) => write!(f, "the entry sends try {n}"),
            Event::Arrive(n) => write!(f, "try {n} arrives at the holder"),
            Event::Reject(n) => write!(f, "the holder turns try {n} away"),
            Event::Issue(n) => write!(f, "the holder issues try {n}"),
            Event::Run(n) => write!(f, "the database runs try {n}"),
            Event::WriteKey(n) => write!(f, "the database writes the key of try {n}"),
            Event::FindKey(n) => write!(f, "the database finds the key of try {n}"),
            Event::Lose(n) => write!(f, "try {n} is lost with its connection"),
            Event::Receive(n) => write!(f, "the entry hears of try {n}"),
            Event::Abandon(n) => write!(f, "the entry loses sight of try {n}"),
        }
    }
}

/// The booking is in the log twice.
pub const DUPLICATE: &str = "a booking was run twice";
/// The caller was told that the booking did not run, but it ran.
pub const FALSE_NOT_RUN: &str = "a booking was told not run, and it ran";
/// The caller was told that the booking is done, but it did not run.
pub const FALSE_DONE: &str = "a booking was told done, and it did not run";

impl Spec {
    /// Creates a specification of a booking sent up to `tries` times, with one safeguard `disabled` or none.
    pub fn new(keyed: bool, tries: u8, disabled: Option<Safeguard>) -> Self {
        Self {
            keyed,
            tries,
            disabled,
        }
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.disabled != Some(safeguard)
    }

    /// The initial state: nothing has been sent.
    pub fn start(&self) -> State {
        State {
            tries: Vec::new(),
            sent: 0,
            log: 0,
            key: false,
            outcome: None,
        }
    }

    /// Searches all states within `limit` events.
    pub fn search(&self, limit: usize) -> Report {
        search(self.start(), limit, |s| self.next(s), broken)
    }

    /// Returns all steps from `state`.
    pub fn next(&self, state: &State) -> Vec<Step<State, Event>> {
        let mut steps = Vec::new();
        let mut add = |event, state| steps.push(Step { event, state });
        if state.sent == 0 {
            add(Event::Send(1), send(state));
        }
        for (index, &(number, stage)) in state.tries.iter().enumerate() {
            let advanced = |to: Stage| {
                let mut next = state.clone();
                next.tries[index].1 = to;
                next
            };
            let mut removed = state.clone();
            removed.tries.remove(index);
            let awaited = number == state.sent && state.outcome.is_none();
            match stage {
                Stage::Sent => add(Event::Arrive(number), advanced(Stage::Queued)),
                Stage::Queued => {
                    add(Event::Reject(number), advanced(Stage::Rejected));
                    add(Event::Issue(number), advanced(Stage::Issued));
                }
                Stage::Issued if self.keyed && state.key => {
                    add(Event::FindKey(number), advanced(Stage::Answered));
                }
                Stage::Issued => {
                    let one_transaction = self.enforces(Safeguard::OneTransaction);
                    let mut next = advanced(match self.keyed && !one_transaction {
                        true => Stage::KeyPending,
                        false => Stage::Answered,
                    });
                    next.log += 1;
                    next.key = self.keyed && one_transaction;
                    add(Event::Run(number), next);
                }
                Stage::KeyPending => {
                    let mut next = advanced(Stage::Answered);
                    next.key = true;
                    add(Event::WriteKey(number), next);
                }
                Stage::Answered if awaited => {
                    let mut next = removed.clone();
                    next.outcome = Some(Outcome::Done);
                    add(Event::Receive(number), next);
                }
                Stage::Rejected => {
                    if awaited {
                        let mut next = removed.clone();
                        next.outcome = Some(Outcome::NotRun);
                        if state.sent > 1 {
                            // An earlier try may still run.
                            next.outcome = Some(Outcome::Unknown);
                        }
                        add(Event::Receive(number), next);
                    }
                    if !self.enforces(Safeguard::TurnedAwayIsGone) {
                        let mut next = state.clone();
                        next.tries.push((number, Stage::Issued));
                        next.tries.sort_unstable();
                        next.tries.dedup();
                        add(Event::Issue(number), next);
                    }
                }
                Stage::Answered => {}
            }
            add(Event::Lose(number), removed);
        }
        if state.sent > 0 && state.outcome.is_none() {
            add(Event::Abandon(state.sent), self.abandon(state));
        }
        steps
    }

    /// Abandons the last try, whose progress the entry can't know: retries, or reports an outcome.
    fn abandon(&self, state: &State) -> State {
        let again = self.keyed || !self.enforces(Safeguard::KeyForRetry);
        if again && state.sent < self.tries {
            return send(state);
        }
        let mut next = state.clone();
        next.outcome = Some(match self.enforces(Safeguard::UnknownOnceSent) {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        });
        next
    }
}

fn send(state: &State) -> State {
    let mut next = state.clone();
    next.sent += 1;
    next.tries.push((next.sent, Stage::Sent));
    next
}

fn broken(state: &State) -> Option<&'static str> {
    match (state.outcome, state.log) {
        (_, 2..) => Some(DUPLICATE),
        (Some(Outcome::NotRun), 1) => Some(FALSE_NOT_RUN),
        (Some(Outcome::Done), 0) => Some(FALSE_DONE),
        _ => None,
    }
}
