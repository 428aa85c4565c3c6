//! State that the checker carries from one batch of recorded statements to the next.

use crate::direct::config::Kind;
use crate::standin::direct::journal::{Events, Run};
use crate::standin::direct::said::Said;
use crate::types::{GroupId, Position, VmId};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The longest that a session lasts after its last write: a few operations with their pauses.
const MAX_SESSION: Duration = Duration::from_secs(180);

/// A commit that was acknowledged to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acknowledged {
    /// The commit's number.
    pub commit: u64,
    /// Its log position.
    pub position: Position,
    /// When it was acknowledged.
    pub at: Instant,
}

/// State of the checker across batches.
#[derive(Debug, Default)]
pub struct Known {
    /// The token and holder of the last order.
    pub order: Option<(u64, VmId)>,
    /// The operation that each transaction belongs to, and when its first statement was sent.
    owners: BTreeMap<u64, (u64, Instant)>,
    groups: BTreeMap<GroupId, Commits>,
    sessions: BTreeMap<(u64, GroupId), Commits>,
}

/// Commits that were not lost, ordered by when they were acknowledged, and for each the furthest
/// one so far. They are all on one log, so a log that contains the furthest contains them all.
#[derive(Debug, Default)]
struct Commits {
    list: Vec<Acknowledged>,
    furthest: Vec<Acknowledged>,
}

impl Commits {
    fn sort(&mut self, events: &Events) {
        self.list.retain(|commit| {
            events
                .commit(commit.commit)
                .is_none_or(|c| c.lost.is_none())
        });
        self.list.sort_by_key(|commit| commit.at);
        self.furthest.clear();
        for commit in &self.list {
            let last = self.furthest.last().copied().unwrap_or(*commit);
            let further = commit.position > last.position;
            self.furthest.push(if further { *commit } else { last });
        }
    }

    /// The furthest commit acknowledged before a moment.
    fn before(&self, moment: Instant) -> Option<Acknowledged> {
        let count = self.list.partition_point(|commit| commit.at < moment);
        self.furthest.get(count.checked_sub(1)?).copied()
    }

    /// Keeps only the furthest of the commits acknowledged before a moment.
    fn forget(&mut self, before: Instant) {
        if let Some(furthest) = self.before(before) {
            self.list.retain(|commit| commit.at >= before);
            self.list.insert(0, furthest);
        }
    }
}

impl Known {
    /// Records a commit that was acknowledged to a session.
    pub fn acknowledge(&mut self, group: &GroupId, session: u64, commit: Acknowledged) {
        let commits = self.groups.entry(group.clone()).or_default();
        commits.list.push(commit);
        let own = self.sessions.entry((session, group.clone()));
        own.or_default().list.push(commit);
    }

    /// Removes lost commits and orders the rest by time.
    pub fn sort(&mut self, events: &Events) {
        let all = self.groups.values_mut().chain(self.sessions.values_mut());
        all.for_each(|commits| commits.sort(events));
    }

    /// Returns a commit that a read had to see and did not.
    pub fn missed_commit(&self, events: &Events, said: &Said, run: &Run) -> Option<Acknowledged> {
        let (age, own) = match said.kind {
            Kind::Primary => (Duration::ZERO, false),
            Kind::Bounded(span) => (span.into(), false),
            Kind::Session(span) => (span.into(), true),
        };
        let has = |commit: &Acknowledged| events.contains(&run.group, run.saw, commit.position);
        let old = said.since.checked_sub(age);
        let commits = self.groups.get(&run.group);
        let all = commits.and_then(|commits| commits.before(old?));
        let session = (said.session, run.group.clone());
        let commits = own.then(|| self.sessions.get(&session)).flatten();
        let own = commits.and_then(|commits| commits.before(said.since));
        all.into_iter().chain(own).find(|commit| !has(commit))
    }

    /// The operation that a transaction belongs to: that of the first statement found in it.
    pub fn owner(&mut self, transaction: u64, said: &Said) -> u64 {
        let new = (said.operation, said.sent);
        self.owners.entry(transaction).or_insert(new).0
    }

    /// Discards state that is not needed to check operations that begin after a moment.
    pub fn forget(&mut self, before: Instant) {
        self.owners.retain(|_, (_, sent)| *sent >= before);
        self.groups
            .values_mut()
            .for_each(|commits| commits.forget(before));
        self.sessions.retain(|_, commits| {
            commits
                .list
                .last()
                .is_some_and(|commit| commit.at + MAX_SESSION >= before)
        });
    }
}
