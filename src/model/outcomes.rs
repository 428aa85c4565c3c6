//! One booking's way from its entry through a holder to a database, and what its caller is told.
//!
//! Streams and connections may break at any point, with what they carried or without; answers
//! may be lost after their effect. The rules are those of `core::entry`, `core::holder` and
//! `net::target`, which scenarios and random schedules run for real.

use crate::model::search::{Report, Step, search};
use std::fmt;

/// A rule that keeps what a caller is told true; one can be taken out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// What was sent to a holder that is lost is told as unknown, not as not run.
    UnknownOnceSent,
    /// What was sent is sent again only under a request key.
    KeyForRetry,
    /// The key is written in the same transaction as the work.
    OneTransaction,
    /// Work that its holder turned away is not run later.
    TurnedAwayIsGone,
}

/// The specification: a booking with a request key, or without.
#[derive(Debug, Clone, Copy)]
pub struct Spec {
    keyed: bool,
    tries: u8,
    out: Option<Safeguard>,
}

/// Where one try of the booking is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Place {
    /// On its way to the holder.
    Sent,
    /// In the holder's queue.
    Queued,
    /// On its way to the database.
    Issued,
    /// The work ran, and its key is not written yet.
    Half,
    /// It ran, or its key was found: the answer is on its way.
    Answered,
    /// The holder turned it away: that answer is on its way.
    TurnedAway,
}

/// What a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Told {
    Done,
    NotRun,
    Unknown,
}

/// A state of the booking's tries, the log, and its caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// The tries that are still somewhere; the entry listens to the last one sent.
    tries: Vec<(u8, Place)>,
    sent: u8,
    /// How often the booking is in the log, and whether its key is.
    log: u8,
    key: bool,
    told: Option<Told>,
}

/// What happens in one step, to a try of a number.
#[derive(Debug, Clone, Copy)]
pub enum Event {
    /// The entry sends the booking.
    Send(u8),
    /// It arrives at the holder.
    Arrive(u8),
    /// The holder turns it away.
    TurnAway(u8),
    /// The holder hands it to a connection.
    Issue(u8),
    /// The database runs it.
    Run(u8),
    /// The database writes its key.
    WriteKey(u8),
    /// The database finds its key and gives the first answer.
    FindKey(u8),
    /// What carries it breaks.
    Lose(u8),
    /// The entry hears the answer.
    Hear(u8),
    /// The entry sees its stream break, or its deadline pass.
    GiveUp(u8),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::Send(n) => write!(f, "the entry sends try {n}"),
            Event::Arrive(n) => write!(f, "try {n} arrives at the holder"),
            Event::TurnAway(n) => write!(f, "the holder turns try {n} away"),
            Event::Issue(n) => write!(f, "the holder issues try {n}"),
            Event::Run(n) => write!(f, "the database runs try {n}"),
            Event::WriteKey(n) => write!(f, "the database writes the key of try {n}"),
            Event::FindKey(n) => write!(f, "the database finds the key of try {n}"),
            Event::Lose(n) => write!(f, "try {n} is lost with its connection"),
            Event::Hear(n) => write!(f, "the entry hears of try {n}"),
            Event::GiveUp(n) => write!(f, "the entry loses sight of try {n}"),
        }
    }
}

/// The booking is in the log twice.
pub const DOUBLED: &str = "a booking was run twice";
/// The caller was told that nothing was run.
pub const RAN: &str = "a booking was told not run, and it ran";
/// The caller was told that it is done.
pub const MISSING: &str = "a booking was told done, and it did not run";

impl Spec {
    /// A search of a booking that is sent up to `tries` times.
    pub fn new(keyed: bool, tries: u8, out: Option<Safeguard>) -> Self {
        Self { keyed, tries, out }
    }

    fn kept(&self, safeguard: Safeguard) -> bool {
        self.out != Some(safeguard)
    }

    /// Nothing has been sent.
    pub fn start(&self) -> State {
        State {
            tries: Vec::new(),
            sent: 0,
            log: 0,
            key: false,
            told: None,
        }
    }

    /// Searches all states within `limit` events.
    pub fn search(&self, limit: usize) -> Report {
        search(self.start(), limit, |s| self.next(s), broken)
    }

    /// The steps out of `state`.
    pub fn next(&self, state: &State) -> Vec<Step<State, Event>> {
        let mut steps = Vec::new();
        let mut take = |event, state| steps.push(Step { event, state });
        if state.sent == 0 {
            take(Event::Send(1), sent(state));
        }
        for (index, &(number, place)) in state.tries.iter().enumerate() {
            let moved = |to: Place| {
                let mut next = state.clone();
                next.tries[index].1 = to;
                next
            };
            let mut gone = state.clone();
            gone.tries.remove(index);
            let listens = number == state.sent && state.told.is_none();
            match place {
                Place::Sent => take(Event::Arrive(number), moved(Place::Queued)),
                Place::Queued => {
                    take(Event::TurnAway(number), moved(Place::TurnedAway));
                    take(Event::Issue(number), moved(Place::Issued));
                }
                Place::Issued if self.keyed && state.key => {
                    take(Event::FindKey(number), moved(Place::Answered));
                }
                Place::Issued => {
                    let whole = self.kept(Safeguard::OneTransaction);
                    let mut next = moved(match self.keyed && !whole {
                        true => Place::Half,
                        false => Place::Answered,
                    });
                    next.log += 1;
                    next.key = self.keyed && whole;
                    take(Event::Run(number), next);
                }
                Place::Half => {
                    let mut next = moved(Place::Answered);
                    next.key = true;
                    take(Event::WriteKey(number), next);
                }
                Place::Answered if listens => {
                    let mut next = gone.clone();
                    next.told = Some(Told::Done);
                    take(Event::Hear(number), next);
                }
                Place::TurnedAway => {
                    if listens {
                        let mut next = gone.clone();
                        next.told = Some(Told::NotRun);
                        if state.sent > 1 {
                            // An earlier try may still run.
                            next.told = Some(Told::Unknown);
                        }
                        take(Event::Hear(number), next);
                    }
                    if !self.kept(Safeguard::TurnedAwayIsGone) {
                        let mut next = state.clone();
                        next.tries.push((number, Place::Issued));
                        next.tries.sort_unstable();
                        next.tries.dedup();
                        take(Event::Issue(number), next);
                    }
                }
                Place::Answered => {}
            }
            take(Event::Lose(number), gone);
        }
        if state.sent > 0 && state.told.is_none() {
            take(Event::GiveUp(state.sent), self.give_up(state));
        }
        steps
    }

    /// The entry can't know how far its last try came.
    fn give_up(&self, state: &State) -> State {
        let again = self.keyed || !self.kept(Safeguard::KeyForRetry);
        if again && state.sent < self.tries {
            return sent(state);
        }
        let mut next = state.clone();
        next.told = Some(match self.kept(Safeguard::UnknownOnceSent) {
            true => Told::Unknown,
            false => Told::NotRun,
        });
        next
    }
}

fn sent(state: &State) -> State {
    let mut next = state.clone();
    next.sent += 1;
    next.tries.push((next.sent, Place::Sent));
    next
}

fn broken(state: &State) -> Option<&'static str> {
    match (state.told, state.log) {
        (_, 2..) => Some(DOUBLED),
        (Some(Told::NotRun), 1) => Some(RAN),
        (Some(Told::Done), 0) => Some(MISSING),
        _ => None,
    }
}
