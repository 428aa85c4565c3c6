//! Checks the properties that must hold after a schedule, from the answers that callers got and from the
//! final log.

use super::Outcomes;
use crate::clock::{Span, Time};
use crate::core::request::{Cause, Outcome};
use crate::standin::fake::{Answer, System, Ticket};
use std::collections::{BTreeMap, BTreeSet};

/// Checks a system whose faults were ended and that had time to recover.
pub(super) fn check(system: &System) -> (Outcomes, Vec<Box<str>>) {
    let mut history = History::new(system);
    history.check_answers();
    history.check_writes();
    history.check_transactions();
    history.check_reads();
    history.check_logs();
    history.check_versions();
    (history.outcomes, history.broken)
}

struct History<'a> {
    system: &'a System,
    outcomes: Outcomes,
    broken: Vec<Box<str>>,
    /// How many rows of the final log hold each pair of key and value.
    remaining: BTreeMap<(&'a str, &'a str), usize>,
    executed: BTreeSet<(&'a str, &'a str)>,
}

impl<'a> History<'a> {
    fn new(system: &'a System) -> Self {
        let mut remaining = BTreeMap::new();
        let log = system.primary().map(|base| &base.log.rows);
        for row in log.into_iter().flatten() {
            *remaining.entry((&*row.key, &*row.value)).or_insert(0) += 1;
        }
        Self {
            system,
            outcomes: Outcomes::default(),
            broken: system.violations.clone(),
            remaining,
            executed: system.ran().map(|row| (&*row.key, &*row.value)).collect(),
        }
    }

    fn add_broken(&mut self, property: &str, ticket: &Ticket) {
        let text = format!(
            "{property}: {} of {} at {}, asked at {} us, told {:?}",
            ticket.body, ticket.session, ticket.vm, ticket.asked.0, ticket.told
        );
        self.broken.push(text.into());
    }

    /// Every request ends with an answer or a cut connection; counts requests by outcome.
    fn check_answers(&mut self) {
        for ticket in &self.system.tickets {
            match &ticket.told {
                Some((_, Answer::Outcome(Outcome::Done(_)))) => self.outcomes.done += 1,
                Some((_, Answer::Outcome(Outcome::NotRun(_)))) => self.outcomes.not_run += 1,
                Some(_) => self.outcomes.unknown += 1,
                None => self.add_broken("never told", ticket),
            }
        }
    }

    fn check_writes(&mut self) {
        let mut attempts: BTreeMap<(&str, &str), Vec<&Ticket>> = BTreeMap::new();
        for ticket in &self.system.tickets {
            if let Some(row) = plain_write(ticket) {
                attempts.entry(row).or_default().push(ticket);
            }
        }
        for (row, tickets) in attempts {
            let copies = self.remaining.get(&row).copied().unwrap_or(0);
            let Some(last) = tickets.last() else { continue };
            if copies > 1 {
                self.add_broken("doubled", last);
            }
            let done = tickets.iter().find(|ticket| is_done(ticket));
            if let Some(done) = done
                && copies == 0
                && !self.loss_reported(done)
            {
                self.add_broken("lost", done);
            }
            let all_not_run = tickets.iter().all(|ticket| is_not_run(ticket));
            if all_not_run && self.executed.contains(&row) {
                self.add_broken("told not run, and run", last);
            }
        }
    }

    /// Whether the session of a write that only its primary had was later told that a write was lost.
    fn loss_reported(&self, write: &Ticket) -> bool {
        let lost = |ticket: &&Ticket| match &ticket.told {
            Some((at, Answer::Outcome(Outcome::NotRun(not_run)))) => {
                not_run.cause == Cause::Lost && *at >= answered_at(write)
            }
            _ => false,
        };
        let mut same = self.system.tickets.iter();
        write.fast && same.any(|ticket| ticket.session == write.session && lost(&ticket))
    }

    /// The final log has both rows of a transaction or neither, in agreement with the answer to its commit.
    fn check_transactions(&mut self) {
        for ticket in &self.system.tickets {
            let Some(value) = ticket.session.strip_prefix("t-") else {
                continue;
            };
            if !matches!(&*ticket.body, "commit" | "rollback") {
                continue;
            }
            let count = |key| self.remaining.get(&(key, value)).copied().unwrap_or(0);
            let (left, right) = (count("left"), count("right"));
            let puts = self.system.tickets.iter();
            let puts = puts.filter(|t| t.session == ticket.session && is_done(t));
            let all = puts.count() == if is_done(ticket) { 4 } else { 3 };
            let wrong = match (&*ticket.body, is_done(ticket)) {
                _ if left > 1 || right > 1 => Some("a transaction was doubled"),
                _ if all && left != right => Some("a transaction was torn"),
                ("commit", true) if all && left == 0 => Some("a transaction was lost"),
                ("rollback", _) if left + right > 0 => Some("a rollback was not heeded"),
                ("commit", false) if is_not_run(ticket) && left + right > 0 => {
                    Some("a commit was told not run, and run")
                }
                _ => None,
            };
            if let Some(wrong) = wrong {
                self.add_broken(wrong, ticket);
            }
        }
    }

    /// A session reads its own writes, the session `phone` reads every write older than the age that it
    /// accepts, and each answer belongs to the key that was asked for.
    fn check_reads(&mut self) {
        for ticket in &self.system.tickets {
            let Some((body, values)) = answer_to_read(ticket) else {
                continue;
            };
            let Some(key) = ticket.body.strip_prefix("read ") else {
                continue;
            };
            if !body.starts_with(&format!("{key}:")) {
                self.add_broken("another caller's answer", ticket);
            }
            let since = match ticket.session.as_ref() {
                "phone" => ticket.asked - PHONE_AGE,
                _ => ticket.asked,
            };
            let expected = |write: &&Ticket| {
                let value = plain_write(write).filter(|(of, _)| *of == key);
                let kept = value.is_some_and(|row| self.remaining.contains_key(&row));
                kept && is_done(write) && answered_at(write) < since
            };
            let writes = self.system.tickets.iter().filter(expected);
            let missed = writes.filter_map(plain_write);
            let missed = missed.filter(|(_, value)| !values.contains(value)).count();
            if missed > 0 {
                self.add_broken("stale", ticket);
            }
        }
    }

    /// All databases end with logs of the same length.
    fn check_logs(&mut self) {
        let logs: BTreeSet<usize> = self.system.logs().map(|log| log.len()).collect();
        if logs.len() > 1 {
            self.broken
                .push("the databases' logs differ in the end".into());
        }
    }

    /// Every proxy has the last accepted configuration version.
    fn check_versions(&mut self) {
        let stored = self.system.stored();
        for vm in self.system.vms() {
            let version = self.system.version(&vm);
            if version != Some(stored) && self.system.serves(&vm) {
                let text = format!("{vm} has version {version:?}, {stored} was accepted");
                self.broken.push(text.into());
            }
        }
    }
}

/// The age of reads that the session `phone` accepts.
const PHONE_AGE: Span = Span::from_millis(500);

fn answered_at(ticket: &Ticket) -> Time {
    ticket.told.as_ref().map_or(Time(u64::MAX), |(at, _)| *at)
}

fn is_done(ticket: &Ticket) -> bool {
    matches!(ticket.told, Some((_, Answer::Outcome(Outcome::Done(_)))))
}

fn is_not_run(ticket: &Ticket) -> bool {
    matches!(ticket.told, Some((_, Answer::Outcome(Outcome::NotRun(_)))))
}

/// The key and value of a write outside a transaction.
fn plain_write(ticket: &Ticket) -> Option<(&str, &str)> {
    let row = ticket.body.strip_prefix("write ")?;
    row.split_once('=')
        .filter(|_| !ticket.session.starts_with("t-"))
}

fn answer_to_read(ticket: &Ticket) -> Option<(String, BTreeSet<&str>)> {
    let Some((_, Answer::Outcome(Outcome::Done(done)))) = &ticket.told else {
        return None;
    };
    ticket.body.strip_prefix("read ")?;
    let text = std::str::from_utf8(&done.body).ok()?;
    let values = text.split_once(": ").map_or("", |(_, values)| values);
    Some((text.to_owned(), values.split(',').collect()))
}
