//! Decisions in the replacement of a primary: which database to choose, and until when an order may
//! be sent.

use crate::clock::{Span, Time};
use crate::direct::control::takeover::ORDER_TIMEOUT;
use crate::direct::statement::Standing;
use crate::types::{DatabaseId, Domain, Offset, Position, Term};

/// The time an order needs to arrive and be answered. With less time left, the duty is renewed
/// first.
const MIN_ORDER_TIME: Span = Span::from_millis(300);

/// How long before its deadline an order is cancelled.
const ORDER_MARGIN: Span = Span::from_millis(100);

/// How long to wait for replicas that do not answer once another one did.
///
/// Without the wait, a replica that has received nothing and answers at once would be chosen over
/// one that has more of the log but is slow for a moment, and the difference would be lost. 900 ms
/// covers five slow answers from a database that is five times as slow; more would add to the gap
/// in service. A crashed replica refuses the connection, which ends the wait at once.
const ANSWER_TIMEOUT: Span = Span::from_millis(900);

/// How long to wait for the old primary. If it is back, or was only cut off, it has everything that
/// was acknowledged; but it is usually the reason for the replacement, and each wait prolongs the
/// gap in service.
const OLD_PRIMARY_TIMEOUT: Span = Span::from_millis(150);

/// How long a replica may take to catch up with an old primary that still runs.
const CATCH_UP_TIMEOUT: Span = Span::from_millis(2_500);

/// How many databases of a durable group have a commit once it is acknowledged: the primary and a
/// replica.
const COPIES: usize = 2;

/// Permission to send an order, which a renewal of the duty gives for a limited time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    asked: Time,
}

impl Permit {
    /// Creates a permit from a renewal that was requested at `asked`.
    pub fn new(asked: Time) -> Self {
        Self { asked }
    }

    /// The deadline of an order, or none if too little time is left.
    pub fn deadline(&self, now: Time) -> Option<Time> {
        let deadline = self.asked + ORDER_TIMEOUT - ORDER_MARGIN;
        (now + MIN_ORDER_TIME <= deadline).then_some(deadline)
    }
}

/// The answer of a database that was asked for its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// No answer yet.
    Pending,
    /// It cannot be reached, or is no longer a candidate.
    Absent,
    /// Its state.
    Stands(Standing),
}

/// The part of a database in a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// A replica that may be promoted.
    Replica,
    /// A replica that is about to shut down: it may be promoted, but would soon be replaced.
    Leaving,
    /// The old primary after its loss, which may be promoted if it soon answers.
    Lost,
    /// The old primary of a planned or unfinished replacement, which remains the primary if no
    /// replica can be promoted without a loss.
    Running,
    /// A database that can't be promoted, but whose log counts.
    Witness,
}

impl Part {
    fn may_be_promoted(self) -> bool {
        matches!(self, Self::Replica | Self::Leaving | Self::Lost)
    }
}

/// A database that takes part in a choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its id.
    pub id: DatabaseId,
    /// Its failure domain, if known.
    pub domain: Option<Domain>,
    /// Its answer.
    pub reply: Reply,
    /// Its part in the choice.
    pub part: Part,
    /// If it started again without its data: a position up to which its former life may have had
    /// more than another log.
    pub former: Option<Position>,
}

impl Candidate {
    fn standing(&self) -> Option<Standing> {
        match self.reply {
            Reply::Stands(standing) => Some(standing),
            Reply::Pending | Reply::Absent => None,
        }
    }
}

/// The choice of the next primary.
#[derive(Debug)]
pub struct Choice {
    began: Time,
    /// The failure domain of the old primary, if known: most callers are near it.
    near: Option<Domain>,
    /// The old primary's log position once nothing more could be written there.
    target: Option<Position>,
    /// Whether the group's commits wait until a replica has received them.
    durable: bool,
    /// Whether to wait for the old primary if a replica that started again may have had commits.
    awaits_old: bool,
    candidates: Vec<Candidate>,
}

/// The state of the choice.
#[derive(Debug, PartialEq, Eq)]
pub enum Pick {
    /// Ask the candidates again, and decide again at this time at the latest.
    Wait(Time),
    /// Promote this database, which has the log up to this position.
    Take(DatabaseId, Position),
    /// There is no candidate.
    Nobody,
}

impl Choice {
    /// Starts a choice at `now`. If the group is durable, the candidates are all its databases,
    /// the old primary included.
    pub fn new(
        now: Time,
        near: Option<Domain>,
        target: Option<Position>,
        durable: bool,
        candidates: impl IntoIterator<Item = (DatabaseId, Option<Domain>, Part)>,
    ) -> Self {
        let candidate = |(id, domain, part)| Candidate {
            id,
            domain,
            reply: Reply::Pending,
            part,
            former: None,
        };
        Self {
            began: now,
            near,
            target,
            durable,
            awaits_old: true,
            candidates: candidates.into_iter().map(candidate).collect(),
        }
    }

    /// Records that a database started again without its data. Its former life had received no more
    /// than `position`; `None` if nothing is known.
    pub fn record_rebirth(&mut self, id: &DatabaseId, position: Option<Position>) {
        let mut candidates = self.candidates.iter_mut();
        if let Some(candidate) = candidates.find(|c| c.id == *id) {
            candidate.former = Some(position.unwrap_or(Position::MAX));
        }
    }

    /// No longer waits for commits that only the old primary and the former life of a replica may
    /// have had.
    pub fn give_up_former_lives(&mut self) {
        self.awaits_old = false;
    }

    /// The candidates and their answers.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// The state that a database reported, if any.
    pub fn standing(&self, id: &DatabaseId) -> Option<Standing> {
        let candidate = self.candidates.iter().find(|c| c.id == *id)?;
        candidate.standing()
    }

    /// Records a database's answer; returns whether it is new. A database that is too busy to
    /// answer again keeps the state that it reported before.
    pub fn record(&mut self, id: &DatabaseId, reply: Reply) -> bool {
        let mut candidates = self.candidates.iter_mut();
        let Some(candidate) = candidates.find(|c| c.id == *id) else {
            return false;
        };
        if reply == Reply::Pending || reply == candidate.reply {
            return false;
        }
        candidate.reply = reply;
        true
    }

    /// Returns the choice, or until when to wait for more answers.
    pub fn pick(&self, now: Time) -> Pick {
        if self.durable {
            return self.pick_complete(now);
        }
        let pending = |old: bool| {
            let mut candidates = self.candidates.iter();
            candidates.any(|c| c.reply == Reply::Pending && (c.part == Part::Lost) == old)
        };
        let Some((id, position)) = self.best() else {
            return match self.candidates.iter().any(|c| c.reply == Reply::Pending) {
                true => Pick::Wait(now + ANSWER_TIMEOUT),
                false => Pick::Nobody,
            };
        };
        let answers = self.began + ANSWER_TIMEOUT;
        if pending(false) && now < answers {
            return Pick::Wait(answers);
        }
        let old = self.began + OLD_PRIMARY_TIMEOUT;
        if pending(true) && now < old {
            return Pick::Wait(old);
        }
        let behind = self.target.is_some_and(|target| position < target);
        let catch_up = self.began + CATCH_UP_TIMEOUT;
        if behind && now < catch_up {
            return Pick::Wait(catch_up);
        }
        Pick::Take(id, position)
    }

    /// The same for a durable group: only a candidate with every acknowledged commit is promoted,
    /// however long that takes. Meanwhile a primary that still runs remains the primary.
    fn pick_complete(&self, now: Time) -> Pick {
        let catch_up = self.began + CATCH_UP_TIMEOUT;
        match self.best().filter(|(_, at)| self.is_complete(*at)) {
            Some((id, _)) if self.has_alternative(&id) && now < catch_up => Pick::Wait(catch_up),
            Some((id, position)) => Pick::Take(id, position),
            None => match self.running_primary() {
                Some((id, standing)) if catch_up <= now => Pick::Take(id, standing.received),
                _ => Pick::Wait(now + ANSWER_TIMEOUT),
            },
        }
    }

    /// Whether a database is about to shut down, and a replica that stays may yet catch up with the
    /// old primary.
    fn has_alternative(&self, id: &DatabaseId) -> bool {
        let has = |part| move |c: &&Candidate| c.part == part && c.reply != Reply::Absent;
        let mut leaves = self.candidates.iter().filter(has(Part::Leaving));
        let mut stays = self.candidates.iter().filter(has(Part::Replica));
        self.target.is_some() && leaves.any(|c| c.id == *id) && stays.next().is_some()
    }

    fn running_primary(&self) -> Option<(DatabaseId, Standing)> {
        let mut candidates = self.candidates.iter();
        let running = candidates.find(|c| c.part == Part::Running)?;
        let standing = running.standing().filter(|standing| standing.primary)?;
        Some((running.id.clone(), standing))
    }

    /// Whether a log up to this position has every acknowledged commit.
    ///
    /// In a durable group an acknowledged commit is on [`COPIES`] databases. One that this log
    /// lacks can only be on databases that are further, or whose position is not known, or on
    /// former lives of databases that started again without their data.
    fn is_complete(&self, position: Position) -> bool {
        let has_more = |c: &Candidate| c.standing().is_none_or(|s| s.received > position);
        let had_more = |c: &Candidate| self.former(c).is_some_and(|former| position < former);
        let may_have_more = |c: &&Candidate| has_more(c) || had_more(c);
        !self.durable || self.candidates.iter().filter(may_have_more).count() < COPIES
    }

    /// The position up to which a former life of a database may have had commits, if it is to be
    /// counted. An empty log beside others that are not shows a new life before the register does.
    fn former(&self, candidate: &Candidate) -> Option<Position> {
        let is_empty = |c: &Candidate| c.standing().map(|s| s.received.offset == Offset(0));
        let is_new = is_empty(candidate) == Some(true)
            && self.candidates.iter().any(|c| is_empty(c) == Some(false));
        let former = candidate.former.or(is_new.then_some(Position::MAX));
        // All that a replica ever received came from the old primary.
        let is_old = |c: &&Candidate| matches!(c.part, Part::Lost | Part::Running);
        let old = self.candidates.iter().find(is_old);
        let sent = old.and_then(Candidate::standing).map(|s| s.received);
        let former = former.filter(|_| self.awaits_old)?;
        Some(sent.map_or(former, |sent| former.min(sent)))
    }

    /// Whether a replica that stays has every acknowledged commit.
    pub fn has_successor(&self) -> bool {
        let mut candidates = self.candidates.iter().filter(|c| c.part == Part::Replica);
        candidates.any(|c| c.standing().is_some_and(|s| self.is_complete(s.received)))
    }

    /// Whether the choice has waited for longer than slow answers take because no candidate is
    /// known to have every acknowledged commit.
    pub fn is_held_up(&self, now: Time) -> bool {
        let best = self.best();
        let has = best.is_some_and(|(_, position)| self.is_complete(position));
        self.durable && !has && self.began + ANSWER_TIMEOUT <= now
    }

    /// The databases whose position is not known.
    pub fn unknown(&self) -> impl Iterator<Item = &DatabaseId> {
        let unknown = self.candidates.iter().filter(|c| c.standing().is_none());
        unknown.map(|c| &c.id)
    }

    /// The best candidate that has answered, and its position.
    pub fn best(&self) -> Option<(DatabaseId, Position)> {
        let eligible = self.candidates.iter().filter(|c| c.part.may_be_promoted());
        let ranked = eligible.filter_map(|c| Some((c, c.standing()?)));
        let best = ranked.max_by_key(|(c, standing)| {
            let near = self.near.is_some() && self.near == c.domain;
            let complete = self.is_complete(standing.received);
            // A database that is primary already needs no promotion.
            let leads = if standing.primary {
                standing.term
            } else {
                Term(0)
            };
            (
                complete,
                c.part != Part::Leaving,
                standing.received,
                leads,
                near,
                std::cmp::Reverse(c.id.clone()),
            )
        });
        best.map(|(c, standing)| (c.id.clone(), standing.received))
    }
}
