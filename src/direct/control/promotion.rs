//! The steps of replacing a primary, as decisions: who is still waited for, which database is
//! chosen, and until when the order may be sent.

use crate::clock::{Span, Time};
use crate::direct::control::rows::MemberId;
use crate::direct::control::takeover::ORDER_WITHIN;
use crate::direct::lead::{LEASE, MAX_SILENT, TERM};
use crate::direct::statement::Status;
use crate::types::{DatabaseId, Domain, Position, Term};
use std::collections::BTreeMap;

/// For clocks that run unlike.
const MARGIN: Span = Span::from_millis(250);

/// What an order needs to arrive and be answered; with less time left the duty is renewed first.
const ORDER_NEEDS: Span = Span::from_millis(300);

/// How much sooner than it has to be an order is broken off.
const ORDER_MARGIN: Span = Span::from_millis(100);

/// How long a replica that does not answer is waited for once another did.
///
/// **Pattern answered.** The replica with the most of the log is slow for a moment, and one that
/// has received nothing answers at once. **Without it** the one that is behind wins, and what the
/// other had is lost. **Threshold.** Five slow answers at a database that is five times as slow;
/// longer would add to the gap more than a crashed replica's refusal, which ends the wait at once.
const ANSWERS_WITHIN: Span = Span::from_millis(900);

/// How long the old primary is waited for. If it is back, or was only cut off, it has all that
/// was acknowledged; but as a rule it is why this happens, and each wait is a gap in service.
const OLD_WITHIN: Span = Span::from_millis(150);

/// How long a replica may take to get what the old primary has, when that one still runs.
const CATCH_UP: Span = Span::from_millis(2_500);

/// Until when VMs that may hold a lease of the old epoch are waited for.
///
/// **Failure answered.** A VM that is frozen or cut off goes on acting on the old primary.
/// **Symptom without it.** It acknowledges what the new primary lacks. **Why it suffices.** Every
/// reading that shows the old lead was asked before the intent was there, so its lease ends
/// [`LEASE`] after that at the latest. For a VM that was evicted the same holds of that moment,
/// as later readings are no leases for it. Its own word, or its end, makes it sooner.
///
/// Once no more than [`MAX_SILENT`] are left, [`TERM`] from there is enough: beyond [`TERM`] since
/// the intent a lease needs a voucher that is not among these. That one has dropped the epoch, or
/// has ended, or has no young reading any more, so it was asked before. A VM that was no member
/// any more when the rows were read had stopped to vouch by then.
#[derive(Debug, Default)]
pub struct Drops {
    waited: BTreeMap<MemberId, Time>,
    /// When few enough were left.
    few: Option<Time>,
}

impl Drops {
    /// Waits for VMs, each by when the intent, or its eviction if that was sooner, was there. The
    /// reading that showed them was asked after the intent, and was there at `read`.
    pub fn new(members: impl IntoIterator<Item = (MemberId, Time)>, read: Time) -> Self {
        let members = members.into_iter();
        let mut drops = Self {
            waited: members.map(|(id, since)| (id, lapsed_at(since))).collect(),
            few: None,
        };
        drops.count(read);
        drops
    }

    /// A VM gave the epoch up, or ended, or its time is over, as is known at `now`.
    pub fn done(&mut self, member: &MemberId, now: Time) {
        self.waited.remove(member);
        self.count(now);
    }

    /// Until when a VM is waited for if nothing is heard of the others.
    pub fn until(&self, member: &MemberId) -> Option<Time> {
        self.waited.get(member).copied()
    }

    /// Until when any is waited for.
    pub fn end(&self) -> Option<Time> {
        let last = self.waited.values().max().copied()?;
        let short = self.few.map(|few| few + TERM + MARGIN);
        Some(short.map_or(last, |short| short.min(last)))
    }

    /// The VMs that are waited for.
    pub fn waited(&self) -> impl Iterator<Item = &MemberId> {
        self.waited.keys()
    }

    fn count(&mut self, now: Time) {
        if self.waited.len() <= MAX_SILENT {
            self.few.get_or_insert(now);
        }
    }
}

/// From when on a VM that was evicted, as seen in a reading there at `seen`, holds no lease.
pub fn lapsed_at(seen: Time) -> Time {
    seen + LEASE + MARGIN
}

/// A right to order: the duty was renewed, asked at this moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    asked: Time,
}

impl Permit {
    /// The duty was renewed by a call asked at `asked`.
    pub fn new(asked: Time) -> Self {
        Self { asked }
    }

    /// Until when the order may be under way, or none if too little is left of that.
    pub fn deadline(&self, now: Time) -> Option<Time> {
        let deadline = self.asked + ORDER_WITHIN - ORDER_MARGIN;
        (now + ORDER_NEEDS <= deadline).then_some(deadline)
    }
}

/// What a database said when asked how it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    /// Nothing yet.
    Pending,
    /// It can't be reached, or is no candidate any more.
    Absent,
    /// How it stands.
    Stands(Status),
}

/// A database that may lead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Which.
    pub id: DatabaseId,
    /// Its failure domain.
    pub domain: Domain,
    /// What it said.
    pub word: Word,
    /// Whether it is the old primary, which is hardly waited for.
    pub old: bool,
}

/// The choice of the next primary.
#[derive(Debug)]
pub struct Choice {
    began: Time,
    /// The failure domain of the old primary, if that is known: callers are near it.
    near: Option<Domain>,
    /// What the old primary had when nothing could be written there any more.
    target: Option<Position>,
    candidates: Vec<Candidate>,
}

/// What to do about the choice.
#[derive(Debug, PartialEq, Eq)]
pub enum Pick {
    /// Ask again, and look again then at the latest.
    Wait(Time),
    /// This one, which has the log up to there.
    Take(DatabaseId, Position),
    /// No candidate is there.
    Nobody,
}

impl Choice {
    /// Begins to choose.
    pub fn new(
        now: Time,
        near: Option<Domain>,
        target: Option<Position>,
        candidates: impl IntoIterator<Item = (DatabaseId, Domain, bool)>,
    ) -> Self {
        let candidate = |(id, domain, old)| Candidate {
            id,
            domain,
            word: Word::Pending,
            old,
        };
        Self {
            began: now,
            near,
            target,
            candidates: candidates.into_iter().map(candidate).collect(),
        }
    }

    /// The databases that may be chosen, and what they said.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// How a database stands, if it said so.
    pub fn standing(&self, id: &DatabaseId) -> Option<Status> {
        let candidate = self.candidates.iter().find(|c| c.id == *id)?;
        match candidate.word {
            Word::Stands(standing) => Some(standing),
            Word::Pending | Word::Absent => None,
        }
    }

    /// A database said how it stands; returns whether that is new. One that is too busy to say
    /// it once more still has what it had.
    pub fn say(&mut self, id: &DatabaseId, word: Word) -> bool {
        let mut candidates = self.candidates.iter_mut();
        let Some(candidate) = candidates.find(|c| c.id == *id) else {
            return false;
        };
        if word == Word::Pending || word == candidate.word {
            return false;
        }
        candidate.word = word;
        true
    }

    /// Whether the choice may be made.
    pub fn pick(&self, now: Time) -> Pick {
        let pending = |old: bool| {
            let mut candidates = self.candidates.iter();
            candidates.any(|c| c.word == Word::Pending && c.old == old)
        };
        let Some((id, position)) = self.best() else {
            return match self.candidates.iter().any(|c| c.word == Word::Pending) {
                true => Pick::Wait(now + ANSWERS_WITHIN),
                false => Pick::Nobody,
            };
        };
        let answers = self.began + ANSWERS_WITHIN;
        if pending(false) && now < answers {
            return Pick::Wait(answers);
        }
        let old = self.began + OLD_WITHIN;
        if pending(true) && now < old {
            return Pick::Wait(old);
        }
        let behind = self.target.is_some_and(|target| position < target);
        let catch_up = self.began + CATCH_UP;
        if behind && now < catch_up {
            return Pick::Wait(catch_up);
        }
        Pick::Take(id, position)
    }

    /// Whether the choice would lose what the old primary has.
    pub fn loses(&self, position: Position) -> bool {
        self.target.is_some_and(|target| position < target)
    }

    fn best(&self) -> Option<(DatabaseId, Position)> {
        let standing = |c: &Candidate| match c.word {
            Word::Stands(standing) => Some(standing),
            _ => None,
        };
        let ranked = self
            .candidates
            .iter()
            .filter_map(|c| Some((c, standing(c)?)));
        let best = ranked.max_by_key(|(c, standing)| {
            let near = self.near.as_ref() == Some(&c.domain);
            // A primary of the newest term needs no time to become one.
            let leads = if standing.primary {
                standing.term
            } else {
                Term(0)
            };
            (
                standing.received,
                leads,
                near,
                std::cmp::Reverse(c.id.clone()),
            )
        });
        best.map(|(c, standing)| (c.id.clone(), standing.received))
    }
}
