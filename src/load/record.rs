//! The answers to the writes of one row, and the check of the row's body against them.

use crate::clock::Time;

/// The answer to one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It was done and acknowledged at this time.
    Done(Time),
    /// It was not run.
    NotRun,
    /// Its outcome is unknown.
    Unknown,
    /// It was done, and the proxy later declared it lost.
    DeclaredLost,
}

/// One row and its writes, which are numbered from 0.
#[derive(Debug, Clone)]
pub struct Row {
    /// The row's id.
    pub id: Box<str>,
    /// The answer to each write, by its number.
    pub answers: Vec<Answer>,
}

/// Faults in a row's body.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fault {
    /// Acknowledged writes that are missing.
    pub missing: u64,
    /// Writes that were applied more than once.
    pub doubled: u64,
    /// Writes that were answered "not run" but are present.
    pub not_run_but_there: u64,
    /// Entries that this caller never wrote.
    pub foreign: u64,
}

impl Fault {
    /// Whether there is any fault.
    pub fn any(self) -> bool {
        self != Self::default()
    }
}

/// Separator before each entry in a body.
const SEPARATOR: char = ';';

/// The text that the write `number` appends.
pub fn entry(number: usize) -> String {
    format!("{SEPARATOR}{number}")
}

impl Row {
    /// Checks a body; `None` if the row does not exist. Writes acknowledged before `since` must be
    /// in it.
    pub fn check(&self, body: Option<&str>, since: Time) -> Fault {
        let mut times = vec![0u64; self.answers.len()];
        let mut fault = Fault::default();
        for text in body.unwrap_or_default().split(SEPARATOR).skip(1) {
            let number: Option<usize> = text.parse().ok();
            match number.and_then(|number| times.get_mut(number)) {
                Some(count) => *count += 1,
                None => fault.foreign += 1,
            }
        }
        for (answer, count) in self.answers.iter().zip(times) {
            fault.doubled += u64::from(count > 1);
            match answer {
                Answer::Done(at) if *at < since => fault.missing += u64::from(count == 0),
                Answer::NotRun => fault.not_run_but_there += u64::from(count > 0),
                _ => {}
            }
        }
        fault
    }
}
