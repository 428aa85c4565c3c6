//! Checks the answers that callers received against what the databases ran.

use crate::direct::statement::Statement;
use crate::standin::direct::journal::{Events, Run};
use crate::standin::direct::known::{Acknowledged, Known};
use crate::standin::direct::said::Said;
use crate::standin::direct::wire::{self, OWN};
use crate::standin::direct::world::World;
use crate::types::GroupId;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use tokio::time::Instant;

/// How many statements had each result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Statements that succeeded.
    pub done: u64,
    /// Statements answered by an error that guarantees that they had no effect.
    pub not_run: u64,
    /// Statements answered by another error.
    pub failed: u64,
    /// Statements that got no answer.
    pub unanswered: u64,
}

/// The result of a check.
#[derive(Debug, Default)]
pub struct Report {
    /// A description of each violation.
    pub broken: Vec<Box<str>>,
    /// How many statements had each result.
    pub counts: Count,
}

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            done,
            not_run,
            failed,
            unanswered,
        } = self;
        write!(
            f,
            "{done} done, {not_run} not run, {failed} failed, {unanswered} untold"
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.counts)?;
        for broken in &self.broken {
            write!(f, "\n  {broken}")?;
        }
        Ok(())
    }
}

struct Check<'a> {
    started: Instant,
    said: &'a [Said],
    events: &'a Events,
    by_id: BTreeMap<&'a str, &'a Said>,
    by_signature: BTreeMap<&'a str, &'a Run>,
    routes: &'a Routes,
    known: &'a mut Known,
    report: Report,
}

/// The routes of all configurations so far, each with its group.
pub type Routes = BTreeSet<(Box<str>, GroupId)>;

/// Checks the statements recorded in a world against its journal.
pub fn check(world: &World, started: Instant, said: &[Said]) -> Report {
    let configs = world.configs.borrow();
    let routes = configs.iter().flat_map(|(_, config)| &config.routes);
    let routes = routes.map(|(name, route)| (name.clone(), route.group.clone()));
    compare(&world.journal.borrow(), &routes.collect(), started, said)
}

/// Checks recorded statements against what happened at the databases.
pub fn compare(events: &Events, routes: &Routes, started: Instant, said: &[Said]) -> Report {
    compare_on(&mut Known::default(), events, routes, started, said)
}

/// Checks one batch of recorded statements, made of whole operations, against the events of the
/// same time. `known` carries the state from the batches before.
pub fn compare_on(
    known: &mut Known,
    events: &Events,
    routes: &Routes,
    started: Instant,
    said: &[Said],
) -> Report {
    let mut check = Check {
        started,
        said,
        events,
        by_id: said.iter().map(|said| (&*said.id, said)).collect(),
        by_signature: events
            .runs
            .iter()
            .map(|run| (&*run.signature, run))
            .collect(),
        routes,
        known,
        report: Report::default(),
    };
    check.count();
    check.answers();
    check.runs();
    check.transactions();
    check.writes();
    check.reads();
    check.orders();
    check.report
}

impl Check<'_> {
    fn report_violation(&mut self, rule: &str, said: &Said, run: Option<&Run>) {
        let at = |moment: Instant| (moment - self.started).as_millis();
        let told = said
            .told
            .as_ref()
            .map(|(moment, answer)| (at(*moment), &answer.end));
        let ran = run.map(|run| {
            let (connection, saw) = (run.connection, run.saw.to_string());
            (&run.database, connection, run.transaction, saw, run.commit)
        });
        let text = format!(
            "{rule}: {} `{}` of session {} at {} on {} sent at {}, told {told:?}, ran {ran:?}",
            said.id,
            said.text,
            said.session,
            said.vm,
            said.route,
            at(said.sent),
        );
        self.report.broken.push(text.into());
    }

    fn count(&mut self) {
        let counts = &mut self.report.counts;
        for said in self.said {
            match (said.is_done(), said.is_not_run(), said.told.is_some()) {
                (true, _, _) => counts.done += 1,
                (_, true, _) => counts.not_run += 1,
                (_, _, true) => counts.failed += 1,
                _ => counts.unanswered += 1,
            }
        }
    }

    /// Checks that each success is the complete answer of a database to this very statement.
    fn answers(&mut self) {
        for said in self.said {
            let Some((_, answer)) = &said.told else {
                continue;
            };
            if !said.is_done() || !is_forwarded(said) {
                continue;
            }
            let signature = said.signature().unwrap_or_default();
            let run = self.by_signature.get(signature).copied();
            match run {
                None => self.report_violation("done without a database", said, None),
                Some(run) if run.id != said.id => {
                    self.report_violation("another caller's answer", said, Some(run));
                }
                Some(run) if run.rows != answer.rows => {
                    self.report_violation("not the whole answer", said, Some(run));
                }
                Some(_) => {}
            }
        }
    }

    /// Checks that each statement that ran was sent by a caller, with the same text, organisation,
    /// session values and transaction, and ran in a group that its route names.
    fn runs(&mut self) {
        for run in &self.events.runs {
            if &*run.id == OWN {
                self.report
                    .broken
                    .push(format!("ran our own: {run:?}").into());
                continue;
            }
            let Some(said) = self.by_id.get(&*run.id).copied() else {
                self.report
                    .broken
                    .push(format!("nobody asked: {run:?}").into());
                continue;
            };
            if !same_text(said, run) {
                self.report_violation("another text or shape", said, Some(run));
            }
            if said.organisation != run.organisation {
                self.report_violation("on another's behalf", said, Some(run));
            }
            if said.values != run.values {
                self.report_violation("other session values", said, Some(run));
            }
            if said.transaction != run.transaction.is_some() {
                self.report_violation("inside or outside a transaction", said, Some(run));
            }
            if !self
                .routes
                .contains(&(said.route.clone(), run.group.clone()))
            {
                self.report_violation("a group that no route names", said, Some(run));
            }
        }
    }

    /// Checks that a caller's transaction is one transaction on one connection that no other caller
    /// shares. Its first statement may run again on another connection as long as nothing followed
    /// it; then only the last answer counts.
    fn transactions(&mut self) {
        let mut executions: BTreeMap<u64, Execution<'_>> = BTreeMap::new();
        for run in &self.events.runs {
            let Some(said) = self.by_id.get(&*run.id).copied() else {
                continue;
            };
            let Some(transaction) = run.transaction else {
                continue;
            };
            let execution = executions
                .entry(said.operation)
                .or_insert_with(|| Execution::of(run));
            if execution.run.id != run.id {
                execution.followed = true;
            }
            if execution.differs_from(run) {
                match execution.followed {
                    true => {
                        self.report_violation("a transaction on two connections", said, Some(run))
                    }
                    false => *execution = Execution::of(run),
                }
            }
            if self.known.owner(transaction, said) != said.operation {
                self.report_violation("inside another caller's transaction", said, Some(run));
            }
        }
        for execution in executions.into_values() {
            let Some(said) = self.by_id.get(&*execution.run.id).copied() else {
                continue;
            };
            if said
                .signature()
                .is_some_and(|told| told != &*execution.run.signature)
            {
                self.report_violation("told of a run that was given up", said, Some(execution.run));
            }
        }
    }

    fn writes(&mut self) {
        let mut commits: BTreeMap<&str, usize> = BTreeMap::new();
        for write in self.events.commits.iter().flat_map(|c| &c.writes) {
            *commits.entry(&write.id).or_default() += 1;
        }
        let not_run: BTreeSet<u64> = self
            .said
            .iter()
            .filter(|said| said.is_not_run())
            .map(|said| said.operation)
            .collect();
        for said in self.said {
            let kept = commits.get(&*said.id).copied().unwrap_or_default();
            if kept > 1 {
                self.report_violation("a write took effect twice", said, None);
            }
            if kept > 0 && not_run.contains(&said.operation) {
                self.report_violation("told not run, and run", said, None);
            }
            self.acknowledged(said);
        }
    }

    /// Checks that an acknowledged write was committed, and not by a primary that had been
    /// replaced. In a group whose commits wait for a replica no promotion may lose it.
    fn acknowledged(&mut self, said: &Said) {
        let Some(run) = said.signature().and_then(|s| self.by_signature.get(s)) else {
            return;
        };
        let run = *run;
        let Some(number) = run.commit else {
            if is_write(said) && !said.transaction {
                self.report_violation("acknowledged, and not committed", said, Some(run));
            }
            return;
        };
        let Some(commit) = self.events.commit(number) else {
            return;
        };
        if commit.replaced {
            self.report_violation("acknowledged by a replaced primary", said, Some(run));
        }
        if commit.durable && commit.lost.is_some() {
            self.report_violation("acknowledged, and lost by a promotion", said, Some(run));
        }
    }

    /// Checks that each answered read saw every commit that its route's freshness demands.
    fn reads(&mut self) {
        for said in self.said {
            self.acknowledges(said);
        }
        self.known.sort(self.events);
        for said in self.said {
            let Some(run) = said.signature().and_then(|s| self.by_signature.get(s)) else {
                continue;
            };
            if !is_read(said) {
                continue;
            }
            let run = *run;
            if let Some(missed) = self.known.missed_commit(self.events, said, run) {
                let age = (said.since - missed.at).as_millis();
                let rule = format!("stale, commit {} was {age} ms old", missed.commit);
                self.report_violation(&rule, said, Some(run));
            }
        }
    }

    /// Records the commit that a statement's answer acknowledged.
    fn acknowledges(&mut self, said: &Said) {
        let run = said.signature().and_then(|s| self.by_signature.get(s));
        let (Some(run), Some(at)) = (run, said.acknowledged()) else {
            return;
        };
        let commit = run.commit.and_then(|n| Some((n, self.events.commit(n)?)));
        if let Some((number, commit)) = commit {
            let commit = Acknowledged {
                commit: number,
                position: commit.position,
                at,
            };
            self.known.acknowledge(&run.group, said.session, commit);
        }
    }

    /// Checks that the fencing tokens of orders never fall, and that each token belongs to one VM.
    fn orders(&mut self) {
        let mut last = self.known.order.take();
        for order in &self.events.orders {
            let wrong = match &last {
                Some((token, holder)) if *token == order.token => *holder != order.holder,
                Some((token, _)) => *token > order.token,
                None => false,
            };
            if wrong {
                let at = (order.at - self.started).as_millis();
                let text = format!("orders: {order:?} at {at} after {last:?}");
                self.report.broken.push(text.into());
            }
            last = Some((order.token, order.holder.clone()));
        }
        self.known.order = last;
    }
}

/// The connection and transaction in which a caller's transaction runs.
struct Execution<'a> {
    run: &'a Run,
    followed: bool,
}

impl<'a> Execution<'a> {
    fn of(run: &'a Run) -> Self {
        Self {
            run,
            followed: false,
        }
    }

    fn differs_from(&self, run: &Run) -> bool {
        (self.run.connection, self.run.transaction) != (run.connection, run.transaction)
    }
}

fn is_write(said: &Said) -> bool {
    said.text.starts_with("write ") || (said.text.starts_with("exec ") && word_count(said) == 4)
}

/// Whether a statement is a read, in a transaction or not.
pub fn is_read(said: &Said) -> bool {
    said.text.starts_with("read ") || (said.text.starts_with("exec ") && word_count(said) == 3)
}

fn word_count(said: &Said) -> usize {
    said.text.split(' ').count()
}

/// Whether a statement can only be answered by a database.
fn is_forwarded(said: &Said) -> bool {
    matches!(
        wire::statement(&said.text),
        Statement::Read | Statement::Write | Statement::Execute { .. } | Statement::Commit
    )
}

fn same_text(said: &Said, run: &Run) -> bool {
    if said.shape != run.shape {
        return false;
    }
    match (wire::statement(&said.text), wire::statement(&run.text)) {
        (Statement::Execute { rest, .. }, Statement::Execute { rest: ran, .. }) => rest == ran,
        _ => said.text == run.text,
    }
}
