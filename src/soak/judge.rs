//! Judges what callers were told, a window at a time, and forgets it.

use crate::direct::control::rows::TABLE;
use crate::soak::Plan;
use crate::soak::gap::Gaps;
use crate::soak::report::{Broken, Report};
use crate::soak::story::{Story, all_groups};
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

/// How old an operation is when it is judged: all that a database may still do for it is done, as
/// no connection outlives a trouble by that much.
const SETTLED: Duration = Duration::from_secs(45);

/// How long commits are remembered.
const COMMITS: Duration = Duration::from_secs(120);

/// How long the store remembers, as the platform's does.
const HISTORY: Duration = Duration::from_secs(20);

/// How much later than its route's time a statement may be answered.
const LATE: Duration = Duration::from_millis(500);

/// How long after a trouble a VM that it hit may answer late.
const AFTERMATH: Duration = Duration::from_secs(2);

/// How many broken properties are kept in full.
const KEPT: usize = 20;

/// How many configurations are kept.
const CONFIGS: usize = 8;

/// The judge.
#[derive(Debug)]
pub struct Judge {
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

impl Judge {
    /// One that has seen nothing yet.
    pub fn new(world: &Rc<World>, plan: &Plan, started: Instant) -> Self {
        let manners = &world.setup.route_kinds;
        let timeouts = manners.iter().map(|m| (m.name.clone(), m.timeout.into()));
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

    /// Judges all operations that are old enough, or all that there are.
    pub fn window(&mut self, world: &Rc<World>, record: &Record, story: &mut Story, last: bool) {
        let now = Instant::now();
        let settled = match last {
            true => now,
            false => now.checked_sub(SETTLED).unwrap_or(self.started),
        };
        self.listen(world, story, now);
        let said = record.borrow_mut().take(settled);
        let mut events = world.journal.borrow_mut();
        let rest = self.part(&mut events, &said, record, settled);
        let routes = routes(world);
        let report = compare_on(&mut self.known, &events, &routes, self.started, &said);
        for text in report.broken {
            self.breaks(settled, text, story);
        }
        self.late(&said, story);
        self.tally.count(&said, &events.runs, story);
        self.gaps.acknowledged(&said, &events.runs);
        events.runs = rest;
        // Orders were judged, and noted as events.
        events.orders.clear();
        events.failovers.clear();
        events.openings.clear();
        events.forget(now.checked_sub(COMMITS).unwrap_or(self.started));
        drop(events);
        for (at, text) in std::mem::take(&mut story.found) {
            self.breaks(at, text, story);
        }
        let panics = host::panics();
        if panics > self.panics {
            let text = format!("{} tasks panicked", panics - self.panics);
            self.breaks(now, text.into(), story);
            self.panics = panics;
        }
        for text in self.tally.unserved(story, settled, last) {
            self.breaks(settled, text, story);
        }
        self.gaps.count(story, settled, last);
        self.forget(world, story, now, settled);
    }

    /// Puts the runs of what is judged into the events, and gives the others.
    fn part(
        &self,
        events: &mut Events,
        said: &[Said],
        record: &Record,
        settled: Instant,
    ) -> Vec<Run> {
        let ids: BTreeSet<&str> = said.iter().map(|said| &*said.id).collect();
        let mut record = record.borrow_mut();
        let mut is_asked = |run: &Run| {
            let number = run.id.strip_prefix('q').and_then(|text| text.parse().ok());
            number.is_some_and(|number| record.find(number).is_some())
        };
        let runs = std::mem::take(&mut events.runs);
        let (part, rest) = runs.into_iter().partition(|run| {
            // Nobody asked for it, or it ran long after its caller was judged.
            ids.contains(&*run.id) || (run.at < settled && !is_asked(run))
        });
        events.runs = part;
        rest
    }

    /// Notes what was ordered, who came to lead, and what was written about that.
    fn listen(&mut self, world: &World, story: &mut Story, now: Instant) {
        let events = world.journal.borrow();
        for order in &events.orders {
            let (holder, token, database) = (&order.holder, order.token, &order.database);
            let text = format!("{holder} orders {database} to lead, token {token}");
            story.event(order.at, text);
            self.gaps.ordered(order);
        }
        for reign in &events.failovers {
            story.event(reign.at, format!("{} leads", reign.database));
            self.gaps.reigns(reign);
        }
        for written in world.store.since(self.last) {
            for row in written.rows.iter().filter(|row| &*row.id.table == TABLE) {
                let by = written.by.as_ref().map_or("-", |by| by.as_str());
                if row.id.key.starts_with("lead.") {
                    let value = row.value.as_deref().unwrap_or_default();
                    let value = String::from_utf8_lossy(value);
                    story.event(written.at, format!("{by} writes {} {value}", row.id.key));
                    self.gaps.written(written.at, &row.id.key);
                }
            }
        }
        self.last = now;
    }

    fn breaks(&mut self, at: Instant, text: Box<str>, story: &Story) {
        if self.count == 0 {
            self.events = story.events(self.started);
        }
        self.count += 1;
        if self.broken.len() < KEPT {
            let at = at.duration_since(self.started).as_millis() as u64;
            self.broken.push(Broken {
                judged_ms: at,
                text,
            });
        }
    }

    /// Every statement is answered about when its route's time is over, by a VM that nothing hit.
    fn late(&mut self, said: &[Said], story: &Story) {
        let late = said.iter().filter(|said| {
            let kind = said.route.trim_end_matches(|c: char| c.is_ascii_digit());
            let Some(timeout) = self.timeouts.get(kind) else {
                return false;
            };
            let answered = said.told.as_ref().map(|(at, _)| *at);
            let Some(ended) = answered.or(said.broke) else {
                return false;
            };
            let hit = story.has_hit(&said.vm, said.sent - AFTERMATH, ended);
            ended - said.sent > *timeout + LATE && !hit
        });
        let texts: Vec<_> = late
            .map(|said| {
                let at = |moment: Instant| (moment - self.started).as_millis();
                let told = said
                    .told
                    .as_ref()
                    .map(|(when, answer)| (at(*when), &answer.end));
                let Said {
                    id,
                    text,
                    vm,
                    route,
                    ..
                } = said;
                let (sent, since) = (at(said.sent), at(said.since));
                let broke = said.broke.map(at);
                let text = format!(
                    "answered late or never: {id} `{text}` at {vm} on {route}, begun at {since}, \
                     sent at {sent}, told {told:?}, ended {broke:?}"
                );
                (said.sent, text)
            })
            .collect();
        for (at, text) in texts {
            self.breaks(at, text.into(), story);
        }
    }

    fn forget(&mut self, world: &World, story: &mut Story, now: Instant, settled: Instant) {
        let before = |span| settled.checked_sub(span).unwrap_or(self.started);
        self.known.forget(before(SETTLED));
        self.gaps.forget(before(COMMITS));
        story.forget(before(COMMITS));
        let history = now.checked_sub(HISTORY).unwrap_or(self.started);
        world.store.forget_before(history);
        let mut configs = world.configs.borrow_mut();
        let old = configs.len().saturating_sub(CONFIGS);
        configs.drain(..old);
    }

    /// What came of it all.
    pub fn report(self, plan: &Plan, story: &Story) -> Report {
        Report {
            profile: plan.name.clone(),
            seed: plan.seed,
            length: plan.length,
            vms: plan.profile.vms,
            groups: plan.profile.groups,
            callers: plan.profile.callers,
            rate: plan.profile.rate,
            played: story.played.clone(),
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
