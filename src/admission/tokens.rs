//! Which waiting operation gets the next token of an allowance, at one of its allocators.
//!
//! This handles an organisation that sends many times its allowance, or whose least urgent class does. If
//! tokens were granted in order of arrival, the flood would use them up, and urgent operations beside it would
//! be refused. So operations wait in order of urgency, as long as a token is of use to them, and those that are
//! known to get none in time are refused at once.
//!
//! Less urgent operations leave a reserve in the bucket. With the order alone, an urgent operation would wait
//! for the next token, which takes 200 ms at five operations a second. One token in [`TURN`] that is granted
//! while less urgent work is passed over goes to the least urgent rank, so that none is starved.

use crate::admission::Rank;
use crate::admission::bucket::{Bucket, Grant, Share, UNITS_PER_TOKEN};
use crate::admission::comeback::{MAX_RETRY, Promises};
use crate::clock::{Span, Time};
use serde::Serialize;
use std::collections::BTreeMap;

pub use crate::admission::comeback::Comeback;

/// One in this many of the tokens that are granted while less urgent work is passed over goes to the least
/// urgent rank.
pub const TURN: u32 = 16;

/// The tokens that pass over less urgent work before its turn.
const PASSES: u32 = TURN - 1;

/// The most turns that are kept for a rank that was passed over and has no operation at the moment.
const MAX_TURNS: u32 = 2;

/// The highest rank with a reserve of its own: less urgent ranks would otherwise leave most of the bucket
/// unused.
const MAX_RESERVE_RANK: u8 = 2;

/// The reserve of one rank is what the bucket may hold, divided by this.
const RESERVE_DIVISOR: u64 = 8;

/// From this capacity on, the reserve is also at least one whole token for each rank. In a smaller bucket it
/// would leave nothing to the least urgent rank.
const WHOLE_RESERVE_CAPACITY: u64 = 4 * UNITS_PER_TOKEN;

/// The most operations that wait at once: each holds a stream of the VM that asks.
const MAX_WAITING: usize = 1_024;

/// An operation that asks for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Identifies it in the queue.
    pub id: u64,
    /// Its rank.
    pub rank: Rank,
    /// How many tokens beyond its own may be granted in advance.
    pub prefetch: u32,
    /// Until when a token is of use to it. A claim for which this is not in the future does not wait. If it is
    /// refused, it counts as not refused for good: the asking VM goes on to ask another allocator.
    pub until: Time,
}

/// What happens to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// It gets a token.
    Granted(Grant),
    /// It waits, and is expected to get a token then.
    Waits(Time),
    /// It gets none in time.
    Refused(Comeback),
}

/// The place of a claim in the order of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    rank: Rank,
    until: Time,
    arrival: u64,
}

/// A claim that waits.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    id: u64,
    prefetch: u32,
}

/// The state of a queue, as a dump shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct State {
    /// Whole tokens in the bucket.
    pub tokens: u64,
    /// How many claims wait, by rank.
    pub waiting: BTreeMap<Rank, usize>,
}

/// One allocator's share of one allowance, and the claims that wait for its tokens.
#[derive(Debug, Clone)]
pub struct Queue {
    share: Share,
    bucket: Bucket,
    waiting: BTreeMap<Place, Waiting>,
    places: BTreeMap<u64, Place>,
    /// Claims that waited and were granted or refused since the last [`Queue::advance`].
    decided: Vec<(u64, Offer)>,
    arrivals: u64,
    promises: Promises,
    /// Tokens that were granted while less urgent work was passed over, since the last turn of that work.
    passes: u32,
    /// Ranks that were refused lately, and until when they count as passed over: until the last of the refused
    /// callers may have returned.
    passed_over: BTreeMap<Rank, Time>,
    /// Whether waiting claims may have been delayed since they were last evaluated.
    delayed: bool,
    /// The claim whose turn it was when they were last evaluated.
    evaluated_turn: Option<Place>,
}

impl Queue {
    /// An empty bucket without claims.
    pub fn new(share: Share, now: Time) -> Self {
        Self {
            share,
            bucket: Bucket::new(share, now),
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
            decided: Vec::new(),
            arrivals: 0,
            promises: Promises::default(),
            passes: 0,
            passed_over: BTreeMap::new(),
            delayed: false,
            evaluated_turn: None,
        }
    }

    /// Applies a changed share, and evaluates the waiting claims again.
    pub fn resize(&mut self, share: Share, now: Time) {
        if share == self.share {
            return;
        }
        self.bucket.resize(share, now);
        self.share = share;
        self.delayed = true;
        self.settle(now);
    }

    /// Decides about a new claim. Waiting claims that it delays too long are refused by the next
    /// [`Queue::advance`], which is due at once.
    pub fn offer(&mut self, claim: Claim, now: Time) -> Offer {
        self.remove(claim.id);
        self.settle(now);
        let place = Place {
            rank: claim.rank,
            until: claim.until,
            arrival: self.arrivals,
        };
        let turn = self.turn(now);
        let (ahead, required) = if turn == Some(claim.rank) && self.first_of(claim.rank).is_none() {
            (0, UNITS_PER_TOKEN)
        } else {
            let turn = turn.and_then(|rank| self.first_of(rank));
            let overtaken = usize::from(turn.is_some_and(|first| place < first));
            let ahead = self.waiting.range(..place).count() + overtaken;
            (ahead as u64, self.required(claim.rank))
        };
        if ahead == 0 && self.bucket.level() >= required {
            let prefetch = self.prefetch(claim.prefetch);
            if let Some(grant) = self.bucket.take(required, prefetch, now) {
                self.count(claim.rank, now);
                // Less urgent claims may wait for the reserve, which is now further from full.
                self.delayed = true;
                return Offer::Granted(grant);
            }
        }
        let expected = self.bucket.time_of(ahead, required);
        let expected = expected.filter(|at| *at <= claim.until && now < claim.until);
        let Some(at) = expected.filter(|_| self.waiting.len() < MAX_WAITING) else {
            return Offer::Refused(self.refuse(claim.rank, now < claim.until, now));
        };
        let Claim { id, prefetch, .. } = claim;
        self.arrivals += 1;
        let last = self.waiting.last_key_value();
        self.delayed |= last.is_some_and(|(last, _)| place < *last);
        self.waiting.insert(place, Waiting { id, prefetch });
        self.places.insert(id, place);
        self.refuse_late(now);
        Offer::Waits(at)
    }

    /// Grants tokens at once, in the manner of requests without a rank: they don't wait, and have no reserve
    /// to respect.
    pub fn grant(&mut self, need: u32, prefetch: u32, now: Time) -> Grant {
        self.settle(now);
        let prefetch = self.prefetch(prefetch);
        self.delayed = true;
        self.bucket.grant(need, prefetch, now)
    }

    /// Returns the claims that waited and are granted or refused now.
    pub fn advance(&mut self, now: Time) -> Vec<(u64, Offer)> {
        self.settle(now);
        std::mem::take(&mut self.decided)
    }

    /// Removes a claim whose asking VM is gone.
    pub fn remove(&mut self, id: u64) {
        if let Some(place) = self.places.remove(&id) {
            self.waiting.remove(&place);
        }
        self.decided.retain(|(decided, _)| *decided != id);
    }

    /// When to call [`Queue::advance`] next; `None` if nothing waits.
    pub fn wake(&self) -> Option<Time> {
        let updated = self.bucket.updated();
        if !self.decided.is_empty() {
            return Some(updated);
        }
        let (place, required) = self.next(updated)?;
        let granted = self.bucket.time_of(0, required);
        Some(granted.map_or(place.until, |at| at.min(place.until)))
    }

    /// How long a further claim of this rank would wait, at most [`MAX_RETRY`].
    ///
    /// The least urgent rank waits no longer than until its turn, if all tokens are granted to others until
    /// then. Otherwise its VMs would not ask when the turn has come.
    pub fn wait(&self, rank: Rank, now: Time) -> Span {
        let turn = (self.least_urgent(now) == Some(rank)).then(|| {
            let passes = PASSES.saturating_sub(self.passes);
            self.bucket.time_of(passes.into(), UNITS_PER_TOKEN)
        });
        let expected = self.expected(rank).into_iter().chain(turn.flatten()).min();
        expected.map_or(MAX_RETRY, |at| at.since(now).min(MAX_RETRY))
    }

    /// How many claims wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// The state at `now`, without granting or refusing anything.
    pub fn state(&self, now: Time) -> State {
        let mut bucket = self.bucket.clone();
        bucket.refill(now);
        let mut waiting = BTreeMap::new();
        for place in self.waiting.keys() {
            *waiting.entry(place.rank).or_default() += 1;
        }
        State {
            tokens: bucket.level() / UNITS_PER_TOKEN,
            waiting,
        }
    }

    /// Whether no claim waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Grants tokens to the waiting claims whose time has come, and refuses those that are too late.
    fn settle(&mut self, now: Time) {
        self.bucket.refill(now);
        while let Some((place, required)) = self.next(now) {
            if place.until < now {
                self.refuse_waiting(place, now);
                continue;
            }
            let Some(waiting) = self.waiting.get(&place).copied() else {
                break;
            };
            let prefetch = match self.waiting.len() {
                1 => waiting.prefetch,
                _ => 0,
            };
            let Some(grant) = self.bucket.take(required, prefetch, now) else {
                if place.until == now {
                    self.refuse_waiting(place, now);
                    continue;
                }
                break;
            };
            self.waiting.remove(&place);
            self.places.remove(&waiting.id);
            self.count(place.rank, now);
            self.decided.push((waiting.id, Offer::Granted(grant)));
        }
        self.refuse_late(now);
    }

    /// Refuses the waiting claims that are expected to get a token too late. Time alone delays none of them, nor
    /// does a token that is granted in order.
    fn refuse_late(&mut self, now: Time) {
        let turn = self.turn(now).and_then(|rank| self.first_of(rank));
        if !self.delayed && turn == self.evaluated_turn {
            return;
        }
        (self.delayed, self.evaluated_turn) = (false, turn);
        let Some((first, required)) = self.next(now) else {
            return;
        };
        let mut late = Vec::new();
        let mut ahead = 0;
        let others = self.waiting.keys().filter(|place| **place != first);
        let others = others.map(|place| (*place, self.required(place.rank)));
        for (place, required) in std::iter::once((first, required)).chain(others) {
            let expected = self.bucket.time_of(ahead, required);
            match expected.is_some_and(|at| at <= place.until) {
                true => ahead += 1,
                false => late.push(place),
            }
        }
        for place in late {
            self.refuse_waiting(place, now);
        }
    }

    fn refuse_waiting(&mut self, place: Place, now: Time) {
        if let Some(waiting) = self.waiting.remove(&place) {
            self.places.remove(&waiting.id);
            let comeback = self.refuse(place.rank, true, now);
            self.decided.push((waiting.id, Offer::Refused(comeback)));
        }
    }

    /// The answer to a refused operation. If its caller is `told`, the next one is told a later time.
    fn refuse(&mut self, rank: Rank, told: bool, now: Time) -> Comeback {
        self.passed_over.retain(|_, until| now < *until);
        self.passed_over.insert(rank, now + MAX_RETRY);
        let earliest = self.expected(rank).unwrap_or(now + MAX_RETRY);
        let spacing = self.share.interval().unwrap_or(MAX_RETRY);
        match told {
            true => self.promises.promise(rank, earliest, spacing, now),
            false => self.promises.peek(rank, earliest, spacing, now),
        }
    }

    /// When a further claim of this rank is expected to get a token.
    fn expected(&self, rank: Rank) -> Option<Time> {
        let ahead = self.waiting.keys().take_while(|place| place.rank <= rank);
        let ahead = ahead.count() as u64;
        self.bucket.time_of(ahead, self.required(rank))
    }

    /// The claim that gets the next token, and the units that the bucket must have then.
    fn next(&self, now: Time) -> Option<(Place, u64)> {
        let turn = self.turn(now).and_then(|rank| self.first_of(rank));
        if let Some(place) = turn {
            return Some((place, UNITS_PER_TOKEN));
        }
        let (place, _) = self.waiting.first_key_value()?;
        Some((*place, self.required(place.rank)))
    }

    /// The first waiting claim of a rank.
    fn first_of(&self, rank: Rank) -> Option<Place> {
        let from = Place {
            rank,
            until: Time(0),
            arrival: 0,
        };
        let (place, _) = self.waiting.range(from..).next()?;
        (place.rank == rank).then_some(*place)
    }

    /// The rank whose turn it is, after enough tokens have passed it over.
    fn turn(&self, now: Time) -> Option<Rank> {
        self.least_urgent(now).filter(|_| self.passes >= PASSES)
    }

    /// The least urgent rank that waits or was refused lately.
    fn least_urgent(&self, now: Time) -> Option<Rank> {
        let waits = self.waiting.last_key_value().map(|(place, _)| place.rank);
        let refused = self.passed_over.iter().rev();
        let refused = refused
            .filter(|(_, until)| now < **until)
            .map(|(rank, _)| *rank);
        waits.max(refused.max())
    }

    /// Counts a token that was granted to a rank.
    fn count(&mut self, rank: Rank, now: Time) {
        match self.least_urgent(now) {
            Some(least) if rank < least => {
                self.passes = (self.passes + 1).min(MAX_TURNS * PASSES);
            }
            Some(least) if rank == least => self.passes = self.passes.saturating_sub(PASSES),
            _ => {}
        }
    }

    /// The units that the bucket must have before a token is granted to this rank. It is at most the burst,
    /// since a share of about one token could otherwise never serve the rank.
    fn required(&self, rank: Rank) -> u64 {
        let reserved = u64::from(rank.0.min(MAX_RESERVE_RANK));
        if reserved == 0 {
            return UNITS_PER_TOKEN;
        }
        // A new bucket holds less than the burst for some time. The reserve of a whole burst would be most of it.
        let capacity = self.bucket.capacity();
        // One unit more than the part, since more than the part must remain.
        let part = reserved.saturating_mul(capacity) / RESERVE_DIVISOR + 1;
        let whole = match capacity >= WHOLE_RESERVE_CAPACITY {
            true => reserved * UNITS_PER_TOKEN,
            false => 0,
        };
        let required = UNITS_PER_TOKEN + part.max(whole);
        required.min(self.share.burst()).max(UNITS_PER_TOKEN)
    }

    /// No token is granted in advance while claims wait.
    fn prefetch(&self, prefetch: u32) -> u32 {
        match self.waiting.is_empty() {
            true => prefetch,
            false => 0,
        }
    }
}
