//! Checks the answers that callers got, one window at a time, and then discards them.

use crate::direct::control::rows::TABLE;
use crate::soak::Plan;
use crate::soak::gap::Gaps;
use crate::soak::history::{History, all_groups};
use crate::soak::report::{Broken, Report};
use crate::soak::tally::Tally;
use crate::standin::direct::check::{Routes, compare_on};
use crate::standin::direct::host;
use crate::standin::direct::journal::{Events, Run};
use crate::standin::direct::known::Known;
use crate::standin::direct::said::{Record, Said};
use crate::standin::direct::world::World;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Age at which an operation is checked. By then no database works on it any more, as no connection
/// outlives a trouble by that much.
const SETTLED_AGE: Duration = Duration::from_secs(45);

/// Time for which commits are kept.
const COMMIT_RETENTION: Duration = Duration::from_secs(120);

/// Time for which the store keeps its history, as the platform's store does.
const STORE_RETENTION: Duration = Duration::from_secs(20);

/// Margin over its route's timeout within which a statement must be answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Time after a trouble in which a VM affected by it may answer late.
const RECOVERY_MARGIN: Duration = Duration::from_secs(2);

/// Largest number of broken properties whose texts are kept.
const MAX_BROKEN: usize = 20;

/// Largest number of configurations kept.
const MAX_CONFIGS: usize = 8;

/// Checks the operations of a soak and collects its report.
#[derive(Debug)]
pub struct Checker {
    started: Instant,
    known: Known,
    tally: Tally,
    gaps: Gaps,
    timeouts: BTreeMap<Box<str>, Duration>,
    broken: Vec<Broken>,
    count: u64,
    events: Vec<Box<str>>,
    last: Instant,
    panics: u64,
}

impl Checker {
    /// Creates one for a world that has just started.
    pub fn new(world: &Rc<World>, plan: &Plan, started: Instant) -> Self {
        let route_kinds = &world.setup.route_kinds;
        let timeouts = route_kinds
            .iter()
            .map(|m| (m.name.clone(), m.timeout.into()));
        Self {
            started,
            known: Known::default(),
            tally: Tally::new(plan),
            gaps: Gaps::new(all_groups(world), started),
            timeouts: timeouts.collect(),
            broken: Vec::new(),
            count: 0,
            events: Vec::new(),
            last: started,
            panics: host::panics(),
        }
    }

    /// Checks all operations that are old enough, or all operations when `last` is set.
    pub fn check_window(
        &mut self,
        world: &Rc<World>,
        record: &Record,
        history: &mut History,
        last: bool,
    ) {
        let now = Instant::now();
        let settled = match last {
            true => now,
            false => now.checked_sub(SETTLED_AGE).unwrap_or(self.started),
        };
        self.record_events(world, history, now);
        let statements = record.borrow_mut().take(settled);
        let mut journal = world.journal.borrow_mut();
        let rest = self.take_settled_runs(&mut journal, &statements, record, settled);
        let routes = routes(world);
        let report = compare_on(
            &mut self.known,
            &journal,
            &routes,
            self.started,
            &statements,
        );
        for text in report.broken {
            self.add_broken(settled, text, history);
        }
        self.check_answer_times(&statements, history);
        self.tally.count(&statements, &journal.runs, history);
        self.gaps.record_writes(&statements, &journal.runs);
        journal.runs = rest;
        // Orders were checked above and recorded as events.
        journal.orders.clear();
        journal.failovers.clear();
        journal.openings.clear();
        journal.forget(now.checked_sub(COMMIT_RETENTION).unwrap_or(self.started));
        drop(journal);
        for (at, text) in std::mem::take(&mut history.broken) {
            self.add_broken(at, text, history);
        }
        let panics = host::panics();
        if panics > self.panics {
            let text = format!("{} tasks panicked", panics - self.panics);
            self.add_broken(now, text.into(), history);
            self.panics = panics;
        }
        for text in self.tally.unserved(history, settled, last) {
            self.add_broken(settled, text, history);
        }
        self.gaps.count(history, settled, last);
        self.forget(world, history, now, settled);
    }

    /// Leaves the runs of the statements being checked in the journal and returns the others.
    fn take_settled_runs(
        &self,
        journal: &mut Events,
        statements: &[Said],
        record: &Record,
        settled: Instant,
    ) -> Vec<Run> {
        let ids: BTreeSet<&str> = statements.iter().map(|statement| &*statement.id).collect();
        let mut record = record.borrow_mut();
        let mut is_pending = |run: &Run| {
            let number = run.id.strip_prefix('q').and_then(|text| text.parse().ok());
            number.is_some_and(|number| record.find(number).is_some())
        };
        let runs = std::mem::take(&mut journal.runs);
        let (settled_runs, rest) = runs.into_iter().partition(|run| {
            // It belongs to no statement of a caller, or ran long after its statement was checked.
            ids.contains(&*run.id) || (run.at < settled && !is_pending(run))
        });
        journal.runs = settled_runs;
        rest
    }

    /// Records promotion orders, changes of primary and writes of the lead rows.
    fn record_events(&mut self, world: &World, history: &mut History, now: Instant) {
        let journal = world.journal.borrow();
        for order in &journal.orders {
            let (holder, token, database) = (&order.holder, order.token, &order.database);
            let text = format!("{holder} orders {database} to lead, token {token}");
            history.event(order.at, text);
            self.gaps.record_order(order);
        }
        for failover in &journal.failovers {
            history.event(failover.at, format!("{} leads", failover.database));
            self.gaps.record_takeover(failover);
        }
        for written in world.store.since(self.last) {
            for row in written.rows.iter().filter(|row| &*row.id.table == TABLE) {
                let by = written.by.as_ref().map_or("-", |by| by.as_str());
                if row.id.key.starts_with("lead.") {
                    let value = row.value.as_deref().unwrap_or_default();
                    let value = String::from_utf8_lossy(value);
                    history.event(written.at, format!("{by} writes {} {value}", row.id.key));
                    self.gaps.record_row(written.at, &row.id.key);
                }
            }
        }
        self.last = now;
    }

    fn add_broken(&mut self, at: Instant, text: Box<str>, history: &History) {
        if self.count == 0 {
            self.events = history.events(self.started);
        }
        self.count += 1;
        if self.broken.len() < MAX_BROKEN {
            let at = at.duration_since(self.started).as_millis() as u64;
            self.broken.push(Broken {
                judged_ms: at,
                text,
            });
        }
    }

    /// Every statement ends within its route's timeout and a margin, unless a trouble affected its VM.
    fn check_answer_times(&mut self, statements: &[Said], history: &History) {
        let late = statements.iter().filter(|statement| {
            let kind = statement
                .route
                .trim_end_matches(|c: char| c.is_ascii_digit());
            let Some(timeout) = self.timeouts.get(kind) else {
                return false;
            };
            let answered = statement.told.as_ref().map(|(at, _)| *at);
            let Some(ended) = answered.or(statement.broke) else {
                return false;
            };
            let affected =
                history.is_affected(&statement.vm, statement.sent - RECOVERY_MARGIN, ended);
            ended - statement.sent > *timeout + ANSWER_MARGIN && !affected
        });
        let texts: Vec<_> = late
            .map(|statement| {
                let at = |moment: Instant| (moment - self.started).as_millis();
                let told = statement
                    .told
                    .as_ref()
                    .map(|(when, answer)| (at(*when), &answer.end));
                let Said {
                    id,
                    text,
                    vm,
                    route,
                    ..
                } = statement;
                let (sent, since) = (at(statement.sent), at(statement.since));
                let broke = statement.broke.map(at);
                let text = format!(
                    "answered late or never: {id} `{text}` at {vm} on {route}, begun at {since}, \
                     sent at {sent}, told {told:?}, ended {broke:?}"
                );
                (statement.sent, text)
            })
            .collect();
        for (at, text) in texts {
            self.add_broken(at, text.into(), history);
        }
    }

    fn forget(&mut self, world: &World, history: &mut History, now: Instant, settled: Instant) {
        let before = |span| settled.checked_sub(span).unwrap_or(self.started);
        self.known.forget(before(SETTLED_AGE));
        self.gaps.forget(before(COMMIT_RETENTION));
        history.forget(before(COMMIT_RETENTION));
        let oldest = now.checked_sub(STORE_RETENTION).unwrap_or(self.started);
        world.store.forget_before(oldest);
        let mut configs = world.configs.borrow_mut();
        let old = configs.len().saturating_sub(MAX_CONFIGS);
        configs.drain(..old);
    }

    /// Returns the report of the soak.
    pub fn report(self, plan: &Plan, history: &History) -> Report {
        Report {
            profile: plan.name.clone(),
            seed: plan.seed,
            length: plan.length,
            vms: plan.profile.vms,
            groups: plan.profile.groups,
            callers: plan.profile.callers,
            rate: plan.profile.rate,
            played: history.played.clone(),
            routes: self.tally.rows(),
            gaps: self.gaps.rows(),
            count: self.count,
            broken: self.broken,
            events: self.events,
        }
    }
}

fn routes(world: &World) -> Routes {
    let configs = world.configs.borrow();
    let routes = configs.iter().flat_map(|(_, config)| &config.routes);
    let routes = routes.map(|(name, route)| (name.clone(), route.group.clone()));
    routes.collect()
}
