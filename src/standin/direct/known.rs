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
pub struct Seen {
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
    seen: Vec<Seen>,
    furthest: Vec<Seen>,
}

impl Commits {
    fn sort(&mut self, events: &Events) {
        self.seen
            .retain(|seen| events.commit(seen.commit).is_none_or(|c| c.lost.is_none()));
        self.seen.sort_by_key(|seen| seen.at);
        self.furthest.clear();
        for seen in &self.seen {
            let last = self.furthest.last().copied().unwrap_or(*seen);
            let further = seen.position > last.position;
            self.furthest.push(if further { *seen } else { last });
        }
    }

    /// The furthest commit acknowledged before a moment.
    fn before(&self, moment: Instant) -> Option<Seen> {
        let count = self.seen.partition_point(|seen| seen.at < moment);
        self.furthest.get(count.checked_sub(1)?).copied()
    }

    /// Keeps only the furthest of the commits acknowledged before a moment.
    fn forget(&mut self, before: Instant) {
        if let Some(furthest) = self.before(before) {
            self.seen.retain(|seen| seen.at >= before);
            self.seen.insert(0, furthest);
        }
    }
}

impl Known {
    /// Records a commit that was acknowledged to a session.
    pub fn note(&mut self, group: &GroupId, session: u64, seen: Seen) {
        let line = self.groups.entry(group.clone()).or_default();
        line.seen.push(seen);
        let own = self.sessions.entry((session, group.clone()));
        own.or_default().seen.push(seen);
    }

    /// Removes lost commits and orders the rest by time.
    pub fn sort(&mut self, events: &Events) {
        let lines = self.groups.values_mut().chain(self.sessions.values_mut());
        lines.for_each(|line| line.sort(events));
    }

    /// Returns a commit that a read had to see and did not.
    pub fn missed(&self, events: &Events, said: &Said, run: &Run) -> Option<Seen> {
        let (age, own) = match said.kind {
            Kind::Primary => (Duration::ZERO, false),
            Kind::Bounded(span) => (span.into(), false),
            Kind::Session(span) => (span.into(), true),
        };
        let has = |seen: &Seen| events.contains(&run.group, run.saw, seen.position);
        let old = said.since.checked_sub(age);
        let line = self.groups.get(&run.group);
        let all = line.and_then(|line| line.before(old?));
        let session = (said.session, run.group.clone());
        let line = own.then(|| self.sessions.get(&session)).flatten();
        let own = line.and_then(|line| line.before(said.since));
        all.into_iter().chain(own).find(|seen| !has(seen))
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
            .for_each(|line| line.forget(before));
        self.sessions.retain(|_, line| {
            line.seen
                .last()
                .is_some_and(|seen| seen.at + MAX_SESSION >= before)
        });
    }
}
