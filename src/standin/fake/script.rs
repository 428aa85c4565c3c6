//! The language of the scenarios: one step per line, run on a [`System`].
//!
//! Callers: `write SESSION at VM KEY=VALUE [key REQUEST] [fast]`,
//! `read SESSION at VM KEY [age SPAN]`, `begin`, `commit` and `rollback SESSION at VM`, and
//! `put SESSION at VM KEY=VALUE`, which writes within the transaction. Time: `run SPAN`.
//! Faults: `cut NAME from NAME`, `heal`, `freeze VM|DATABASE for SPAN`, `kill VM|DATABASE`,
//! `start VM|DATABASE`, `silence DATABASE`, `lag DATABASE SPAN`, `stall DATABASE`,
//! `flow DATABASE`, `limit DATABASE N`, `lose DATABASE`, `store down|up|loses`,
//! `list lags SPAN`, `leave VM`, `stop VM`, `apply VERSION leaving|staying DATABASE`. Queries:
//! `log`, `versions`, `primary`. `DATABASE` may be `primary`, and `VM` may be `steward`.

use super::{Answer, Applied, Submission, System, name};
use crate::clock::Span;
use crate::core::request::{Kind, Outcome};
use crate::types::{DatabaseId, Version, VmId};
use std::fmt::Write;

/// The error for a step that can't be parsed or names an unknown VM or database.
#[derive(Debug, thiserror::Error)]
#[error("can't play `{0}`: see the list of steps in `standin::fake::script`")]
pub struct UnknownStep(Box<str>);

/// Runs the steps of a scenario.
#[derive(Debug)]
pub struct Player {
    system: System,
    reported: Vec<bool>,
    reported_violations: usize,
    text: String,
}

impl Player {
    /// Starts a system with `vms` proxies and runs it for 5 s, so that they elect a steward. `None` if
    /// the built-in configuration does not parse.
    pub fn new(vms: usize) -> Option<Self> {
        let mut system = System::new(vms)?;
        system.run(Span::from_secs(5));
        Some(Self {
            system,
            reported: Vec::new(),
            reported_violations: 0,
            text: String::new(),
        })
    }

    /// Returns the system that the scenario runs on.
    pub fn system(&self) -> &System {
        &self.system
    }

    /// Runs the steps. Returns their output and the answers that callers received meanwhile, or an error
    /// that quotes the first step that can't be run.
    pub fn play(&mut self, steps: &str) -> Result<String, UnknownStep> {
        for line in steps.lines().map(str::trim) {
            if !line.is_empty() && !line.starts_with('#') {
                self.step(line).ok_or_else(|| UnknownStep(line.into()))?;
                self.report_new();
            }
        }
        Ok(std::mem::take(&mut self.text))
    }

    fn step(&mut self, line: &str) -> Option<()> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["run", span] => self.run(span.parse().ok()?),
            [verb, session, "at", vm, rest @ ..] => self.call(verb, session, vm, rest)?,
            ["cut", one, "from", other] => {
                let (one, other) = (self.resolve(one)?, self.resolve(other)?);
                self.system.cut(&one, &other);
            }
            ["heal"] => self.system.heal(),
            ["freeze", what, "for", span] => self.freeze(what, span.parse().ok()?)?,
            ["kill", what] => match self.vm(what) {
                Some(vm) => self.system.kill(&vm),
                None => {
                    let id = self.database(what)?;
                    self.system.kill_database(&id);
                }
            },
            ["start", what] => match name::<DatabaseId>(what).filter(|id| self.has(id)) {
                Some(id) => self.system.revive_database(&id),
                None => self.system.start(&what.parse().ok()?),
            },
            ["leave", vm] => {
                let vm = self.vm(vm)?;
                self.system.leave(&vm);
            }
            ["stop", vm] => {
                let vm = self.vm(vm)?;
                self.system.stop(&vm);
            }
            ["store", "down"] => self.system.store_down(true),
            ["store", "up"] => self.system.store_down(false),
            ["store", "loses"] => self.system.store_loses_answer(),
            ["list", "lags", span] => self.system.lag_list(span.parse().ok()?),
            ["apply", version, "leaving", id] => self.apply(version.parse().ok()?, id, true)?,
            ["apply", version, "staying", id] => self.apply(version.parse().ok()?, id, false)?,
            ["log"] => self.log(),
            ["versions"] => self.versions(),
            ["primary"] => self.primary(),
            [fault, id, rest @ ..] => self.fault(fault, id, rest)?,
            _ => return None,
        }
        Some(())
    }

    fn run(&mut self, span: Span) {
        // Runs in steps of 1 ms, so that the answers are reported in the order they arrive.
        let end = self.system.now() + span;
        while self.system.now() < end {
            let step_span = end.since(self.system.now()).0.min(1_000);
            self.system.run(Span(step_span));
            self.report_new();
        }
    }

    fn call(&mut self, verb: &str, session: &str, vm: &str, rest: &[&str]) -> Option<()> {
        let mut submission = Submission {
            session: session.into(),
            vm: self.vm(vm).or_else(|| vm.parse().ok())?,
            kind: Kind::Read,
            body: verb.into(),
            max_age: None,
            key: None,
            fast: false,
        };
        let words = match (verb, rest) {
            ("write", [what, words @ ..]) => {
                submission.kind = Kind::Write;
                submission.body = format!("write {what}").into();
                words
            }
            ("put", [what, words @ ..]) => {
                submission.kind = Kind::Continue;
                submission.body = format!("write {what}").into();
                words
            }
            ("read", [what, words @ ..]) => {
                submission.body = format!("read {what}").into();
                words
            }
            ("begin", words) => {
                submission.kind = Kind::Begin;
                words
            }
            ("commit" | "rollback", words) => {
                submission.kind = Kind::Continue;
                words
            }
            _ => return None,
        };
        match words {
            [] => {}
            ["fast"] => submission.fast = true,
            ["key", key] => submission.key = Some(key.parse().ok()?),
            ["age", age] => submission.max_age = Some(age.parse().ok()?),
            _ => return None,
        }
        self.system.submit(submission);
        self.reported.push(false);
        Some(())
    }

    fn freeze(&mut self, what: &str, span: Span) -> Option<()> {
        match self.vm(what) {
            Some(vm) => self.system.freeze(&vm, span),
            None => {
                let id = self.database(what)?;
                self.system.freeze_database(&id, span);
            }
        }
        Some(())
    }

    fn fault(&mut self, fault: &str, id: &str, rest: &[&str]) -> Option<()> {
        let id = self.database(id)?;
        let base = self.system.base(&id)?;
        match (fault, rest) {
            ("silence", []) => base.silence(),
            ("lag", [span]) => base.lag = span.parse().ok()?,
            ("stall", []) => base.stalled = true,
            ("flow", []) => base.stalled = false,
            ("limit", [count]) => base.limit = count.parse().ok()?,
            ("lose", []) => base.lose_answers += 1,
            _ => return None,
        }
        Some(())
    }

    fn apply(&mut self, base: Version, id: &str, leaving: bool) -> Option<()> {
        let id = self.database(id)?;
        let applied = self.system.apply(base, |document| {
            for group in document.groups.values_mut() {
                for (_, database) in group
                    .databases
                    .iter_mut()
                    .filter(|(known, _)| **known == id)
                {
                    database.leaving = leaving;
                }
            }
        });
        let text = match applied {
            Applied::Accepted(version) => format!("accepted as version {version}"),
            Applied::Lost(version) => format!("refused: version {version} came first"),
            Applied::Refused => "refused: the store does not answer".into(),
            Applied::Unknown => "no answer".into(),
        };
        self.print(&format!("operator: {text}"));
        Some(())
    }

    /// Reports the primary's log.
    fn log(&mut self) {
        let rows = self.system.primary().map(|base| &base.log.rows);
        let rows = rows.into_iter().flatten();
        let texts: Vec<String> = rows.map(|r| format!("{}={}", r.key, r.value)).collect();
        self.print(&format!("log: {}", texts.join(" ")));
    }

    fn versions(&mut self) {
        let vms = self.system.vms();
        let shown = |vm: VmId| {
            let version = self.system.version(&vm);
            format!("{vm}: {}", version.unwrap_or_default())
        };
        let texts: Vec<String> = vms.into_iter().map(shown).collect();
        self.print(&format!("versions: {}", texts.join(", ")));
    }

    fn primary(&mut self) {
        let primary = self.system.primary().map(|base| base.id.to_string());
        let primary = primary.unwrap_or_else(|| "none".into());
        self.print(&format!("primary: {primary}"));
    }

    /// Reports the answers and violations since the last call.
    fn report_new(&mut self) {
        for (ticket, reported) in self.system.tickets.iter().zip(&mut self.reported) {
            let Some((_, answer)) = &ticket.told else {
                continue;
            };
            if !std::mem::replace(reported, true) {
                let answer = words(answer);
                let _ = writeln!(
                    self.text,
                    "{} at {}: {} -> {answer}",
                    ticket.session, ticket.vm, ticket.body
                );
            }
        }
        for violation in self.system.violations.iter().skip(self.reported_violations) {
            let _ = writeln!(self.text, "WRONG: {violation}");
        }
        self.reported_violations = self.system.violations.len();
    }

    fn print(&mut self, text: &str) {
        self.text.push_str(text);
        self.text.push('\n');
    }

    fn resolve(&self, text: &str) -> Option<String> {
        match text {
            "steward" => self.vm(text).map(|vm| vm.to_string()),
            "primary" => self.database(text).map(|id| id.to_string()),
            _ => Some(text.into()),
        }
    }

    fn vm(&self, text: &str) -> Option<VmId> {
        if text == "steward" {
            return self.system.steward();
        }
        name::<VmId>(text).filter(|vm| self.system.vms().contains(vm))
    }

    fn database(&self, text: &str) -> Option<DatabaseId> {
        if text == "primary" {
            return self.system.primary().map(|base| base.id.clone());
        }
        name::<DatabaseId>(text).filter(|id| self.has(id))
    }

    fn has(&self, id: &DatabaseId) -> bool {
        self.system.databases().contains(id)
    }
}

/// Describes an answer briefly.
pub fn words(answer: &Answer) -> String {
    match answer {
        Answer::Cut => "connection lost".into(),
        Answer::Outcome(Outcome::Done(done)) => {
            let by = if done.replica { "replica" } else { "primary" };
            format!("{} (by {by})", String::from_utf8_lossy(&done.body))
        }
        Answer::Outcome(Outcome::NotRun(not_run)) => format!("not run: {}", not_run.cause),
        Answer::Outcome(Outcome::Unknown(unknown)) => format!("outcome unknown: {unknown}"),
    }
}
