//! Grants tokens to operations of this VM and of others, where this VM is an allocator.
//!
//! An operation that states its rank may wait for its token. One task wakes when the next token is due, and
//! hands it to the first operation that waits.

use crate::admission::Rank;
use crate::admission::bucket::{Grant, Share};
use crate::admission::tokens::{Claim, Comeback, Offer, Queue};
use crate::clock::{Span, Time};
use crate::direct::identity::Allowance;
use crate::direct::quota::Quotas;
use crate::direct::quota::allocator;
use crate::direct::quota::spend::allowance;
use crate::direct::relay::{Reply, Response, Spend, Trailer};
use crate::direct::tenure::Entry;
use crate::types::OrganisationId;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use tokio::sync::oneshot;

/// How long a VM is skipped that is not an allocator of the organisation, or may not grant at the moment:
/// its list of VMs and that of the asking VM differ for about this long.
const NOT_ALLOCATOR_RETRY: Span = Span::from_millis(100);

/// The longest time between two looks at operations that wait: a tenure ends, and a configuration changes,
/// without a token being due.
const MAX_SLEEP: Span = Span::from_millis(50);

/// The shortest time between two such looks, which is the resolution of timers.
const MIN_SLEEP: Span = Span::from_millis(1);

/// The answer to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// The tokens, or when to ask again.
    pub grant: Grant,
    /// If none was granted, when the caller of a further operation of the same rank would be told to retry; zero
    /// from a VM that may not grant.
    pub wait: Span,
}

/// What becomes of a request for a token.
#[derive(Debug)]
pub enum Claimed {
    /// It is answered at once.
    Decided(Decision),
    /// It waits.
    Waits(Waiting),
}

/// A request that waits for a token. If it is dropped, it gives up its place.
pub struct Waiting {
    quotas: Rc<Quotas>,
    organisation: OrganisationId,
    id: u64,
    decision: oneshot::Receiver<Decision>,
}

/// A waiting request as the allocator keeps it.
#[derive(Debug)]
struct Waiter {
    rank: Rank,
    since: Time,
    decision: oneshot::Sender<Decision>,
}

/// The tokens and the waiting requests of one organisation, and the start of the tenure in which its bucket was
/// created.
#[derive(Debug)]
pub(super) struct Allocation {
    since: Time,
    entry: Entry,
    queue: Queue,
    waiters: BTreeMap<u64, Waiter>,
}

impl Decision {
    /// No token: this VM is no allocator of the organisation, or may not grant now.
    pub const NOT_HERE: Self = Self {
        grant: Grant {
            count: 0,
            validity: Span::ZERO,
            retry: NOT_ALLOCATOR_RETRY,
        },
        wait: Span::ZERO,
    };

    fn granted(grant: Grant) -> Self {
        Self {
            grant,
            wait: Span::ZERO,
        }
    }

    /// No token for `none_for`.
    fn refused(comeback: Comeback, none_for: Span) -> Self {
        let grant = Grant {
            count: 0,
            validity: none_for,
            retry: comeback.after,
        };
        Self {
            grant,
            wait: comeback.after + comeback.spacing,
        }
    }
}

impl From<Decision> for Response {
    fn from(decision: Decision) -> Self {
        Self {
            reply: Reply::Granted(decision.grant),
            wait: decision.wait,
            position: None,
        }
    }
}

impl fmt::Debug for Waiting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Waiting")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl Waiting {
    /// Completes when the request is granted or refused.
    pub async fn decision(&mut self) -> Decision {
        // Without an answer, this VM is no longer the allocator.
        let decision = (&mut self.decision).await;
        decision.unwrap_or(Decision::NOT_HERE)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut allocations = self.quotas.allocations.borrow_mut();
        if let Some(allocation) = allocations.get_mut(&self.organisation) {
            allocation.queue.remove(self.id);
            allocation.waiters.remove(&self.id);
        }
    }
}

impl Allocation {
    /// Answers the waiting requests that are granted or refused at `now`, and returns when to do so next.
    fn answer_waiting(&mut self, quotas: &Quotas, now: Time) -> Option<Time> {
        for (id, offer) in self.queue.advance(now) {
            let Some(waiter) = self.waiters.remove(&id) else {
                continue;
            };
            let decision = match offer {
                Offer::Granted(grant) => {
                    let took = now.since(waiter.since);
                    quotas.shared.meter.token_wait(waiter.rank, took);
                    Decision::granted(grant)
                }
                Offer::Refused(comeback) => {
                    Decision::refused(comeback, self.queue.wait(waiter.rank, now))
                }
                Offer::Waits(_) => continue,
            };
            // If the asking VM is gone, the token is lost.
            let _ = waiter.decision.send(decision);
        }
        self.queue.wake()
    }

    /// Refuses all waiting requests, since this VM may not grant now.
    fn refuse_waiting(&mut self) {
        for id in std::mem::take(&mut self.waiters).into_keys() {
            self.queue.remove(id);
        }
    }
}

impl Quotas {
    /// Grants tokens at once, if this VM is an allocator of the organisation and may grant now.
    pub fn grant(&self, spend: &Spend) -> Grant {
        let granted = self.with_allocation(&spend.organisation, |allocation, now| {
            let grant = allocation.queue.grant(spend.need, spend.prefetch, now);
            allocation.answer_waiting(self, now);
            grant
        });
        granted.unwrap_or(Decision::NOT_HERE.grant)
    }

    /// Grants a token to an operation, or lets it wait for one.
    pub fn claim(self: &Rc<Self>, spend: &Spend, trailer: Trailer) -> Claimed {
        let id = self.claims.get();
        self.claims.set(id + 1);
        let rank = self.shared.get().ranks.clamp(trailer.rank);
        let organisation = &spend.organisation;
        let claimed = self.with_allocation(organisation, |allocation, now| {
            let claim = Claim {
                id,
                rank,
                prefetch: spend.prefetch,
                until: now + trailer.wait,
            };
            let offer = allocation.queue.offer(claim, now);
            let claimed = match offer {
                Offer::Granted(grant) => Err(Decision::granted(grant)),
                Offer::Refused(comeback) => Err(Decision::refused(
                    comeback,
                    allocation.queue.wait(rank, now),
                )),
                Offer::Waits(_) => {
                    let (sender, receiver) = oneshot::channel();
                    let waiter = Waiter {
                        rank,
                        since: now,
                        decision: sender,
                    };
                    allocation.waiters.insert(id, waiter);
                    Ok(receiver)
                }
            };
            allocation.answer_waiting(self, now);
            claimed
        });
        match claimed {
            None => Claimed::Decided(Decision::NOT_HERE),
            Some(Err(decision)) => Claimed::Decided(decision),
            Some(Ok(decision)) => {
                self.watch_waiting();
                Claimed::Waits(Waiting {
                    quotas: self.clone(),
                    organisation: organisation.clone(),
                    id,
                    decision,
                })
            }
        }
    }

    /// Starts a task, unless there is one, that answers waiting requests when their tokens are due, and ends
    /// when none wait.
    fn watch_waiting(self: &Rc<Self>) {
        self.claimed.notify_one();
        if self.watching.replace(true) {
            return;
        }
        let quotas = self.clone();
        actix_rt::spawn(async move {
            while let Some(wake) = quotas.answer_all_waiting() {
                let left = wake.since(quotas.lines.now()).clamp(MIN_SLEEP, MAX_SLEEP);
                tokio::select! {
                    () = tokio::time::sleep(left.into()) => {}
                    () = quotas.claimed.notified() => {}
                    () = quotas.shared.changed() => {}
                }
            }
            quotas.watching.set(false);
        });
    }

    /// Answers the waiting requests of all organisations whose time has come; returns when to do so next, if any
    /// still wait.
    fn answer_all_waiting(&self) -> Option<Time> {
        let waiting = {
            let allocations = self.allocations.borrow();
            let waiting = allocations.iter().filter(|(_, it)| !it.waiters.is_empty());
            let organisations = waiting.map(|(organisation, _)| organisation.clone());
            organisations.collect::<Vec<_>>()
        };
        let wakes = waiting.iter().filter_map(|organisation| {
            let wake = self.with_allocation(organisation, |allocation, now| {
                allocation.answer_waiting(self, now)
            });
            wake.flatten()
        });
        wakes.min()
    }

    /// Calls `with` for an organisation's allocation, if this VM is its allocator and may grant now. Otherwise
    /// its waiting requests are refused.
    ///
    /// A bucket that is older than this VM's tenure is replaced by an empty one, since another VM was the
    /// allocator meanwhile.
    fn with_allocation<T>(
        &self,
        organisation: &OrganisationId,
        with: impl FnOnce(&mut Allocation, Time) -> T,
    ) -> Option<T> {
        let now = self.lines.now();
        let (tenure, allowance) = {
            let view = self.shared.get();
            (view.tenure, allowance(&view, organisation))
        };
        self.drop_reassigned();
        let (Some(since), Some(allowance)) = (tenure.since(now), allowance) else {
            self.refuse_waiting(organisation);
            return None;
        };
        let allocators = self.allocators(organisation, allowance);
        if !self.is_among(&allocators) {
            self.refuse_waiting(organisation);
            return None;
        }
        let share = Share::of(allowance, allocators.len());
        let mut allocations = self.allocations.borrow_mut();
        if allocations
            .get(organisation)
            .is_some_and(|allocation| allocation.since < since)
        {
            allocations.remove(organisation);
        }
        let allocation = allocations.entry(organisation.clone()).or_insert_with(|| {
            let entry = self.entry(organisation, allowance);
            Allocation {
                since,
                entry,
                queue: Queue::new(share, entry.begins.max(since)),
                waiters: BTreeMap::new(),
            }
        });
        let Some(fraction) = allocation.entry.fraction(&tenure, now) else {
            allocation.refuse_waiting();
            return None;
        };
        allocation.queue.resize(share.scaled(fraction), now);
        Some(with(allocation, now))
    }

    fn refuse_waiting(&self, organisation: &OrganisationId) {
        let mut allocations = self.allocations.borrow_mut();
        if let Some(allocation) = allocations.get_mut(organisation) {
            allocation.refuse_waiting();
        }
    }

    /// Drops the buckets of organisations that have other allocators in a new list of VMs. If this VM becomes
    /// their allocator again, it starts with an empty bucket.
    fn drop_reassigned(&self) {
        let peers = self.shared.get().peers.digest();
        if self.checked.replace(peers) == peers {
            return;
        }
        let organisations: Vec<OrganisationId> =
            self.allocations.borrow().keys().cloned().collect();
        for organisation in organisations {
            let allowance = allowance(&self.shared.get(), &organisation);
            let stays = allowance
                .is_some_and(|allowance| self.is_among(&self.allocators(&organisation, allowance)));
            if !stays {
                self.allocations.borrow_mut().remove(&organisation);
            }
        }
    }

    /// When this VM, a new allocator, may start to grant: it is either an allocator in its own right, or the
    /// successor of an evicted VM.
    fn entry(&self, organisation: &OrganisationId, allowance: Allowance) -> Entry {
        let view = self.shared.get();
        let (peers, since) = (view.peers.list(), view.peers.since());
        let region = |peer| self.region(peer);
        let limit = allocator::limit(allowance.burst);
        let allocators = allocator::allocators(peers.iter(), organisation, limit, region);
        if self.is_among(&allocators) {
            return Entry::first(since);
        }
        let evicted = peers.iter().filter(|peer| peer.evicted).count();
        Entry::successor(since, evicted, peers.len())
    }
}
