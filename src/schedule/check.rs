//! The properties that hold after a schedule, from what callers were told and what is left.

use super::Told;
use crate::clock::{Span, Time};
use crate::core::request::{Cause, Outcome};
use crate::standin::fake::{Answer, System, Ticket};
use std::collections::{BTreeMap, BTreeSet};

/// Checks a system that has been mended and given time.
pub(super) fn check(system: &System) -> (Told, Vec<Box<str>>) {
    let mut history = History::new(system);
    history.told_once();
    history.writes();
    history.transactions();
    history.reads();
    history.databases();
    history.versions();
    (history.told, history.broken)
}

struct History<'a> {
    system: &'a System,
    told: Told,
    broken: Vec<Box<str>>,
    /// How often each value of each key is in the log that is left.
    left: BTreeMap<(&'a str, &'a str), usize>,
    ran: BTreeSet<(&'a str, &'a str)>,
}

impl<'a> History<'a> {
    fn new(system: &'a System) -> Self {
        let mut left = BTreeMap::new();
        let log = system.primary().map(|base| &base.log.rows);
        for row in log.into_iter().flatten() {
            *left.entry((&*row.key, &*row.value)).or_insert(0) += 1;
        }
        Self {
            system,
            told: Told::default(),
            broken: system.violations.clone(),
            left,
            ran: system.ran().map(|row| (&*row.key, &*row.value)).collect(),
        }
    }

    fn breaks(&mut self, property: &str, ticket: &Ticket) {
        let text = format!(
            "{property}: {} of {} at {}, asked at {} us, told {:?}",
            ticket.body, ticket.session, ticket.vm, ticket.asked.0, ticket.told
        );
        self.broken.push(text.into());
    }

    /// Everybody is told something, by a proxy that lives.
    fn told_once(&mut self) {
        for ticket in &self.system.tickets {
            match &ticket.told {
                Some((_, Answer::Outcome(Outcome::Done(_)))) => self.told.done += 1,
                Some((_, Answer::Outcome(Outcome::NotRun(_)))) => self.told.not_run += 1,
                Some(_) => self.told.unknown += 1,
                None => self.breaks("never told", ticket),
            }
        }
    }

    fn writes(&mut self) {
        let mut attempts: BTreeMap<(&str, &str), Vec<&Ticket>> = BTreeMap::new();
        for ticket in &self.system.tickets {
            if let Some(what) = plain_write(ticket) {
                attempts.entry(what).or_default().push(ticket);
            }
        }
        for (what, tickets) in attempts {
            let left = self.left.get(&what).copied().unwrap_or(0);
            let Some(last) = tickets.last() else { continue };
            if left > 1 {
                self.breaks("doubled", last);
            }
            let done = tickets.iter().find(|ticket| is_done(ticket));
            if let Some(done) = done
                && left == 0
                && !self.told_of_loss(done)
            {
                self.breaks("lost", done);
            }
            let none_ran = tickets.iter().all(|ticket| is_not_run(ticket));
            if none_ran && self.ran.contains(&what) {
                self.breaks("told not run, and run", last);
            }
        }
    }

    /// Whether the session of a write that only its primary had was told of a loss later.
    fn told_of_loss(&self, write: &Ticket) -> bool {
        let lost = |ticket: &&Ticket| match &ticket.told {
            Some((at, Answer::Outcome(Outcome::NotRun(not_run)))) => {
                not_run.cause == Cause::Lost && *at >= told_at(write)
            }
            _ => false,
        };
        let mut same = self.system.tickets.iter();
        write.fast && same.any(|ticket| ticket.session == write.session && lost(&ticket))
    }

    /// Both rows of a transaction are left, or neither, as its commit was told.
    fn transactions(&mut self) {
        for ticket in &self.system.tickets {
            let Some(value) = ticket.session.strip_prefix("t-") else {
                continue;
            };
            if !matches!(&*ticket.body, "commit" | "rollback") {
                continue;
            }
            let count = |key| self.left.get(&(key, value)).copied().unwrap_or(0);
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
                self.breaks(wrong, ticket);
            }
        }
    }

    /// A session sees its own writes, a phone what is older than the age that it accepts, and
    /// both get the answer to what they asked.
    fn reads(&mut self) {
        for ticket in &self.system.tickets {
            let Some((body, values)) = answer_to_read(ticket) else {
                continue;
            };
            let Some(key) = ticket.body.strip_prefix("read ") else {
                continue;
            };
            if !body.starts_with(&format!("{key}:")) {
                self.breaks("another caller's answer", ticket);
            }
            let since = match ticket.session.as_ref() {
                "phone" => ticket.asked - PHONE_AGE,
                _ => ticket.asked,
            };
            let known = |write: &&Ticket| {
                let value = plain_write(write).filter(|(of, _)| *of == key);
                let kept = value.is_some_and(|what| self.left.contains_key(&what));
                kept && is_done(write) && told_at(write) < since
            };
            let writes = self.system.tickets.iter().filter(known);
            let missed = writes.filter_map(plain_write);
            let missed = missed.filter(|(_, value)| !values.contains(value)).count();
            if missed > 0 {
                self.breaks("stale", ticket);
            }
        }
    }

    /// All databases have come to one log.
    fn databases(&mut self) {
        let logs: BTreeSet<usize> = self.system.logs().map(|log| log.len()).collect();
        if logs.len() > 1 {
            self.broken
                .push("the databases' logs differ in the end".into());
        }
    }

    /// Every proxy has the last version that was accepted.
    fn versions(&mut self) {
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

/// The age that phones accept.
const PHONE_AGE: Span = Span::from_millis(500);

fn told_at(ticket: &Ticket) -> Time {
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
    let what = ticket.body.strip_prefix("write ")?;
    what.split_once('=')
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
