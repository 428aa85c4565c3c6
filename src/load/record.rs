//! What a caller was told about the writes of one row, and what the row may therefore hold.

use crate::clock::Time;

/// What a caller was told about one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// It was done; acknowledged at this time.
    Done(Time),
    /// It was not run.
    NotRun,
    /// Its outcome is unknown.
    Unknown,
    /// It was done, and later declared lost by the proxy.
    Disclaimed,
}

/// One row and its writes, which are numbered from 0.
#[derive(Debug, Clone)]
pub struct Row {
    /// The row's id.
    pub id: Box<str>,
    /// What was told about each write, by its number.
    pub told: Vec<Told>,
}

/// What is wrong with a row's body.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fault {
    /// Writes that had to be there and were not.
    pub missing: u64,
    /// Writes that were there more than once.
    pub doubled: u64,
    /// Writes that were told not to be run, and were there.
    pub not_run_but_there: u64,
    /// Entries that this caller never wrote.
    pub foreign: u64,
}

impl Fault {
    /// Whether anything is wrong.
    pub fn any(self) -> bool {
        self != Self::default()
    }
}

/// Marks the start of each entry in a body.
const MARK: char = ';';

/// The text that write `number` appends.
pub fn entry(number: usize) -> String {
    format!("{MARK}{number}")
}

impl Row {
    /// Checks a body that was read; `None` if there is no such row. Writes acknowledged before
    /// `since` have to be in it.
    pub fn check(&self, body: Option<&str>, since: Time) -> Fault {
        let mut times = vec![0u64; self.told.len()];
        let mut fault = Fault::default();
        for text in body.unwrap_or_default().split(MARK).skip(1) {
            let number: Option<usize> = text.parse().ok();
            match number.and_then(|number| times.get_mut(number)) {
                Some(count) => *count += 1,
                None => fault.foreign += 1,
            }
        }
        for (told, count) in self.told.iter().zip(times) {
            fault.doubled += u64::from(count > 1);
            match told {
                Told::Done(at) if *at < since => fault.missing += u64::from(count == 0),
                Told::NotRun => fault.not_run_but_there += u64::from(count > 0),
                _ => {}
            }
        }
        fault
    }
}
