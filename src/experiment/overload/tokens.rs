//! How VMs obtain the tokens of an organisation's allowance, by policy.

use crate::admission::Rank;
use crate::admission::bucket::{Bucket, Grant, Share};
use crate::admission::tokens::{Claim, Comeback, Offer, Queue};
use crate::clock::{Span, Time};
use crate::direct::identity::Allowance;
use crate::direct::quota::allocator::{self, MAX_ALLOCATORS};
use crate::direct::quota::cache::{Cache, Known};
use crate::experiment::overload::Policy;
use std::net::{Ipv4Addr, SocketAddr};

/// An operation that needs a token.
#[derive(Debug, Clone, Copy)]
pub struct Need {
    /// Its id.
    pub id: u64,
    /// Its rank.
    pub rank: Rank,
    /// Until when it may wait at this allocator.
    pub until: Time,
    /// How many further tokens the asking VM is likely to spend.
    pub prefetch: u32,
}

/// An allocator's answer.
#[derive(Debug, Clone, Copy)]
pub enum Reply {
    /// Tokens.
    Granted(Grant),
    /// No token.
    Refused {
        /// When the caller is to return.
        comeback: Comeback,
        /// How long a further operation of the rank would wait.
        wait: Span,
    },
}

/// One allocator of an allowance.
#[derive(Debug)]
pub enum Allocator {
    /// First come, first served; a refusal names the time of the next token.
    Former(Bucket),
    /// [`crate::admission::tokens`].
    Full(Queue),
}

impl Allocator {
    /// One of so many allocators of an allowance.
    pub fn new(policy: Policy, allowance: Allowance, allocators: usize, now: Time) -> Self {
        let share = Share::of(allowance, allocators);
        match policy {
            Policy::Full => Self::Full(Queue::new(share, now)),
            _ => Self::Former(Bucket::new(share, now)),
        }
    }

    /// Asks for a token; `None` if the operation waits.
    pub fn offer(&mut self, need: Need, now: Time) -> Option<Reply> {
        match self {
            Self::Former(bucket) => Some(match bucket.grant(1, need.prefetch, now) {
                grant if grant.count > 0 => Reply::Granted(grant),
                grant => Reply::Refused {
                    comeback: Comeback {
                        after: grant.retry,
                        spacing: Span::ZERO,
                    },
                    wait: grant.retry,
                },
            }),
            Self::Full(queue) => {
                let claim = Claim {
                    id: need.id,
                    rank: need.rank,
                    prefetch: need.prefetch,
                    until: need.until,
                };
                let offer = queue.offer(claim, now);
                reply(queue, offer, need.rank, now)
            }
        }
    }

    /// The operations that waited and are answered now; `rank` returns the rank of one, if it is still known.
    pub fn advance(&mut self, rank: impl Fn(u64) -> Option<Rank>, now: Time) -> Vec<(u64, Reply)> {
        let Self::Full(queue) = self else {
            return Vec::new();
        };
        let mut replies = Vec::new();
        for (id, offer) in queue.advance(now) {
            let reply = rank(id).and_then(|rank| reply(queue, offer, rank, now));
            replies.extend(reply.map(|reply| (id, reply)));
        }
        replies
    }

    /// Removes an operation whose caller has left.
    pub fn remove(&mut self, id: u64) {
        if let Self::Full(queue) = self {
            queue.remove(id);
        }
    }

    /// When to call `advance` next.
    pub fn wake(&self) -> Option<Time> {
        match self {
            Self::Former(_) => None,
            Self::Full(queue) => queue.wake(),
        }
    }
}

fn reply(queue: &Queue, offer: Offer, rank: Rank, now: Time) -> Option<Reply> {
    match offer {
        Offer::Granted(grant) => Some(Reply::Granted(grant)),
        Offer::Waits(_) => None,
        Offer::Refused(comeback) => Some(Reply::Refused {
            comeback,
            wait: queue.wait(rank, now),
        }),
    }
}

/// How many allocators an allowance has.
pub fn allocators(policy: Policy, allowance: Allowance) -> usize {
    let most = match policy {
        Policy::Naive => 0,
        Policy::Former => allowance.burst as usize,
        Policy::Full => allocator::limit(allowance.burst),
    };
    most.min(MAX_ALLOCATORS)
}

/// What a VM does next for an operation that needs a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// It has spent one.
    Spent,
    /// It asks this allocator, where the operation may wait until then.
    Ask(usize, Time),
    /// It refuses the operation, which may be tried again after this time.
    Refuse(Span),
}

/// What an operation asks for, and what it has asked.
#[derive(Debug, Clone, Copy)]
pub struct Search<'a> {
    /// All allocators, nearest first.
    pub order: &'a [usize],
    /// The allocators that it has asked.
    pub tried: &'a [usize],
    /// The allocators at which it was ready to wait.
    pub waited: &'a [usize],
    /// Its rank.
    pub rank: Rank,
    /// Until when a token is of use to it.
    pub until: Time,
}

/// A VM's tokens of one organisation, and what it knows of the allocators.
#[derive(Debug, Default)]
pub struct Asker {
    cache: Cache,
}

/// The address of an allocator by its index.
fn address(allocator: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, allocator as u16))
}

impl Asker {
    /// Decides for an operation.
    pub fn next(&mut self, policy: Policy, search: Search<'_>, now: Time) -> Next {
        if self.cache.take(now).is_some() {
            return Next::Spent;
        }
        match policy {
            Policy::Full => self.wait_or_ask(search, now),
            _ => self.ask_in_turn(search, now),
        }
    }

    /// Asks the allocators one after the other, without those that had no token lately.
    fn ask_in_turn(&self, search: Search<'_>, now: Time) -> Next {
        let untried = search.order.iter();
        let mut untried = untried.filter(|one| !search.tried.contains(one));
        let free = untried.find(|one| !self.cache.is_skipped(address(**one), now));
        if let Some(allocator) = free {
            return Next::Ask(*allocator, now);
        }
        let addresses: Vec<SocketAddr> = search.order.iter().map(|one| address(*one)).collect();
        let retry = self.cache.retry(&addresses, now);
        Next::Refuse(retry.unwrap_or(Span::ZERO))
    }

    /// Asks as `direct::quota::Quotas` does: allocators without a known wait first, and then the one with the
    /// shortest known wait, where the operation waits. Only at the last one that it asks it is ready to wait.
    fn wait_or_ask(&mut self, search: Search<'_>, now: Time) -> Next {
        let known = |one: usize| self.cache.known(address(one), search.rank, now);
        let waits = search.order.iter().copied();
        let waits = waits.filter(|one| !search.waited.contains(one));
        let waits = waits.filter_map(|one| Some((known(one)?.until, one)));
        let shortest = waits.min().filter(|(until, _)| *until <= search.until);
        let untried = search.order.iter().copied();
        let untried = untried.filter(|one| !search.tried.contains(one));
        let unknown: Vec<usize> = untried.filter(|one| known(*one).is_none()).collect();
        match (&unknown[..], shortest) {
            ([last], None) => return Next::Ask(*last, search.until),
            ([first, ..], _) => return Next::Ask(*first, now),
            ([], Some((_, allocator))) => return Next::Ask(allocator, search.until),
            ([], None) => {}
        }
        let addresses: Vec<SocketAddr> = search.order.iter().map(|one| address(*one)).collect();
        let comeback = self.cache.comeback(&addresses, search.rank, now);
        Next::Refuse(comeback.map_or(Span::ZERO, |comeback| comeback.after))
    }

    /// How many tokens beyond the need it is likely to spend.
    pub fn prefetch(&self) -> u32 {
        self.cache.prefetch()
    }

    /// Takes in the answer to a question for a rank that was asked at `asked`.
    pub fn receive(&mut self, allocator: usize, rank: Rank, reply: Reply, asked: Time, now: Time) {
        match reply {
            Reply::Granted(grant) => self.cache.add(grant, asked),
            // The former decisions know one time for all ranks.
            Reply::Refused { comeback, wait } if comeback.spacing == Span::ZERO => {
                self.cache.skip(address(allocator), now + wait);
            }
            Reply::Refused { comeback, wait } => {
                let known = Known {
                    until: now + wait,
                    retry: now + comeback.after,
                    spacing: comeback.spacing,
                };
                self.cache.learn(address(allocator), rank, known);
            }
        }
    }
}
