//! Spends tokens for this VM's callers.

use crate::admission::Rank;
use crate::admission::bucket::TOKEN_VALIDITY;
use crate::admission::comeback::MAX_RETRY;
use crate::clock::{Span, Time};
use crate::direct::front::Location;
use crate::direct::identity::Allowance;
use crate::direct::quota::allocator;
use crate::direct::quota::cache::{Cache, Known, Token};
use crate::direct::quota::claim::{Allocation, Claimed, Decision};
use crate::direct::relay::line::Lines;
use crate::direct::relay::{Reply, Request, Spend, Trailer};
use crate::direct::view::{Peer, Shared, View};
use crate::types::OrganisationId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// How long to wait for an allocator's answer: a round trip between regions and a slow VM's processing.
const ANSWER_TIMEOUT: Span = Span::from_millis(150);

/// How long an allocator that does not answer is skipped.
const UNREACHABLE_RETRY: Span = Span::from_millis(500);

/// The longest time that an operation waits for a token. A token expires some time after it was requested
/// ([`TOKEN_VALIDITY`]), and must not have expired when it arrives.
const MAX_WAIT: Span = Span(TOKEN_VALIDITY.0 / 2);

/// What an operation asks of its organisation's allowance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Its rank.
    pub rank: Rank,
    /// Until when a token is of use to it.
    pub until: Time,
}

/// What stood before an operation that got no token in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// Its rank.
    pub rank: Rank,
    /// How many tokens would have been granted to others first, at the allocator where it would have waited
    /// least.
    pub ahead: u64,
    /// How long it would have waited there.
    pub wait: Span,
}

/// Why an operation is not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The organisation has used up its allowance.
    Spent {
        /// The allowance.
        allowance: Allowance,
        /// How long to wait before the next try.
        retry: Span,
        /// What stood before it; `None` where all operations have the same rank.
        standing: Option<Standing>,
    },
    /// No allocator of the organisation answers.
    Unkept {
        /// How long to wait before the next try.
        retry: Span,
    },
}

/// The token caches of this VM, and the buckets of organisations whose allocator it is.
pub struct Quotas {
    pub(super) shared: Rc<Shared>,
    pub(super) lines: Rc<Lines>,
    place: Location,
    caches: RefCell<BTreeMap<OrganisationId, Cache>>,
    pub(super) allocations: RefCell<BTreeMap<OrganisationId, Allocation>>,
    allocators: RefCell<Allocators>,
    /// The digest of the list of VMs for which buckets were last checked.
    pub(super) checked: Cell<u64>,
    /// The number of claims so far.
    pub(super) claims: Cell<u64>,
    /// Notified of each claim that waits.
    pub(super) claimed: Notify,
    /// Whether a task watches the claims that wait.
    pub(super) watching: Cell<bool>,
}

/// The allocators of organisations, computed from the list of VMs that has the digest `peers`.
#[derive(Debug, Default)]
struct Allocators {
    peers: u64,
    by_organisation: BTreeMap<(OrganisationId, usize), Rc<[SocketAddr]>>,
}

/// The search for one operation's token.
struct Search<'a> {
    organisation: &'a OrganisationId,
    rank: Rank,
    until: Time,
    /// Whether an allocator was asked.
    asked: bool,
    /// Whether an allocator answered, now or shortly before.
    answered: bool,
}

impl fmt::Debug for Quotas {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Quotas").finish_non_exhaustive()
    }
}

impl Quotas {
    /// No tokens and no buckets yet.
    pub fn new(shared: Rc<Shared>, lines: Rc<Lines>, place: Location) -> Rc<Self> {
        Rc::new(Self {
            shared,
            lines,
            place,
            caches: RefCell::default(),
            allocations: RefCell::default(),
            allocators: RefCell::default(),
            checked: Cell::default(),
            claims: Cell::default(),
            claimed: Notify::new(),
            watching: Cell::default(),
        })
    }

    /// Obtains a token for one operation of an organisation; `None` if it has no limit.
    pub async fn spend(
        self: &Rc<Self>,
        organisation: &OrganisationId,
        demand: Demand,
    ) -> Result<Option<Token>, Refusal> {
        let Some(allowance) = allowance(&self.shared.get(), organisation) else {
            return Ok(None);
        };
        if let Some(token) = self.take(organisation) {
            return Ok(Some(token));
        }
        let ordered = self.shared.get().ranks.differ();
        let token = match ordered {
            true => self.spend_in_order(organisation, allowance, demand).await,
            false => self.spend_at_once(organisation, allowance).await,
        };
        token.map(Some)
    }

    /// Obtains a token where all operations have the same rank. None of them waits.
    async fn spend_at_once(
        self: &Rc<Self>,
        organisation: &OrganisationId,
        allowance: Allowance,
    ) -> Result<Token, Refusal> {
        let allocators = self.allocators(organisation, allowance);
        let mut answered = false;
        for allocator in self.near_first(&allocators) {
            let now = self.lines.now();
            if self.cache(organisation, |cache| cache.is_skipped(allocator, now)) {
                answered = true;
                continue;
            }
            let prefetch = self.cache(organisation, |cache| cache.prefetch());
            let ask = Spend {
                organisation: organisation.clone(),
                need: 1,
                prefetch,
            };
            let decision = self.ask(allocator, ask, None).await;
            let grant = decision.map(|decision| decision.grant);
            let after = self.lines.now();
            answered |= grant.is_some();
            self.shared.meter.allowance_asked();
            self.cache(organisation, |cache| match grant {
                Some(grant) if grant.count > 0 => cache.add(grant, now),
                Some(grant) => cache.skip(allocator, after + grant.retry),
                None => cache.skip(allocator, after + UNREACHABLE_RETRY),
            });
            if let Some(token) = self.take(organisation) {
                return Ok(token);
            }
        }
        let now = self.lines.now();
        let retry = self.cache(organisation, |cache| cache.retry(&allocators, now));
        let retry = retry.unwrap_or(UNREACHABLE_RETRY);
        self.shared.meter.allowance_refused();
        Err(match answered {
            true => Refusal::Spent {
                allowance,
                retry,
                standing: None,
            },
            false => Refusal::Unkept { retry },
        })
    }

    /// Obtains a token where operations have different ranks.
    ///
    /// Allocators that are not known to have no token are asked first, without waiting. Then the operation waits
    /// at the one with the shortest known wait, if a token is still of use to it after that.
    async fn spend_in_order(
        self: &Rc<Self>,
        organisation: &OrganisationId,
        allowance: Allowance,
        demand: Demand,
    ) -> Result<Token, Refusal> {
        let allocators = self.near_first(&self.allocators(organisation, allowance));
        let mut search = Search {
            organisation,
            until: demand.until.min(self.lines.now() + MAX_WAIT),
            rank: demand.rank,
            asked: false,
            answered: false,
        };
        let now = self.lines.now();
        let unknown: Vec<SocketAddr> = self.cache(organisation, |cache| {
            let is_unknown = |allocator: &SocketAddr| {
                let known = cache.known(*allocator, demand.rank, now).is_some();
                !known && !cache.is_skipped(*allocator, now)
            };
            allocators.iter().copied().filter(is_unknown).collect()
        });
        search.answered = unknown.len() < allocators.len();
        let mut waited = Vec::new();
        for (index, allocator) in unknown.iter().enumerate() {
            let is_last = index + 1 == unknown.len();
            let waits = is_last && self.shortest_wait(&search, &allocators, &waited).is_none();
            if waits {
                waited.push(*allocator);
            }
            if let Some(token) = self.try_allocator(&mut search, *allocator, waits).await {
                return Ok(token);
            }
        }
        while let Some(allocator) = self.shortest_wait(&search, &allocators, &waited) {
            waited.push(allocator);
            if let Some(token) = self.try_allocator(&mut search, allocator, true).await {
                return Ok(token);
            }
        }
        Err(self.refusal(&search, allowance, &allocators))
    }

    /// Asks one allocator for a token.
    async fn try_allocator(
        self: &Rc<Self>,
        search: &mut Search<'_>,
        allocator: SocketAddr,
        waits: bool,
    ) -> Option<Token> {
        let Search {
            organisation,
            rank,
            until,
            ..
        } = *search;
        let prefetch = self.cache(organisation, |cache| cache.prefetch());
        let ask = Spend {
            organisation: organisation.clone(),
            need: 1,
            prefetch,
        };
        let now = self.lines.now();
        let wait = match waits {
            true => until.since(now),
            false => Span::ZERO,
        };
        let decision = self.ask(allocator, ask, Some(Trailer { rank, wait })).await;
        let after = self.lines.now();
        search.asked = true;
        search.answered |= decision.is_some();
        self.shared.meter.allowance_asked();
        self.cache(organisation, |cache| match decision {
            Some(Decision { grant, .. }) if grant.count > 0 => cache.add(grant, now),
            // A VM of an older version, or one that may not grant, does not say how long it has no token for
            // this rank.
            Some(Decision { grant, wait }) if wait == Span::ZERO => {
                cache.skip(allocator, after + grant.retry);
            }
            Some(Decision { grant, wait }) => {
                let known = Known {
                    until: after + grant.validity.min(MAX_RETRY),
                    retry: after + grant.retry.min(MAX_RETRY),
                    spacing: wait - grant.retry,
                };
                cache.learn(allocator, rank, known);
            }
            None => cache.skip(allocator, after + UNREACHABLE_RETRY),
        });
        self.take(organisation)
    }

    /// The allocator with the shortest known wait after which a token is still of use, without those at which
    /// the operation waited already.
    fn shortest_wait(
        &self,
        search: &Search<'_>,
        allocators: &[SocketAddr],
        waited: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let now = self.lines.now();
        let left = allocators.iter().filter(|one| !waited.contains(*one));
        let known = self.cache(search.organisation, |cache| {
            let known = left.filter_map(|allocator| {
                let known = cache.known(*allocator, search.rank, now)?;
                (!cache.is_skipped(*allocator, now)).then_some((known.until, *allocator))
            });
            known.min()
        });
        let (until, allocator) = known?;
        (until <= search.until).then_some(allocator)
    }

    /// The answer to an operation that gets no token in time.
    fn refusal(
        &self,
        search: &Search<'_>,
        allowance: Allowance,
        allocators: &[SocketAddr],
    ) -> Refusal {
        let now = self.lines.now();
        let rank = search.rank;
        let (comeback, shortest) = self.cache(search.organisation, |cache| {
            let known = allocators
                .iter()
                .filter_map(|one| cache.known(*one, rank, now));
            let shortest = known.min_by_key(|known| known.until);
            (cache.comeback(allocators, rank, now), shortest)
        });
        let retry = comeback.map_or(UNREACHABLE_RETRY, |comeback| comeback.after);
        let meter = &self.shared.meter;
        meter.allowance_refused();
        if !search.answered {
            meter.token_refused(rank, "unkept");
            return Refusal::Unkept { retry };
        }
        meter.token_refused(rank, if search.asked { "asked" } else { "known" });
        let standing = shortest.map(|known| {
            let wait = known.until.since(now);
            let ahead = wait.0.checked_div(known.spacing.0).unwrap_or(0);
            Standing { rank, ahead, wait }
        });
        let standing = standing.unwrap_or(Standing {
            rank,
            ahead: 0,
            wait: retry,
        });
        Refusal::Spent {
            allowance,
            retry,
            standing: Some(standing),
        }
    }

    /// Returns a token whose operation has not run.
    pub fn put_back(&self, organisation: &OrganisationId, token: Token) {
        self.cache(organisation, |cache| cache.put_back(token));
    }

    pub(super) fn is_among(&self, allocators: &[SocketAddr]) -> bool {
        let own = self.place.relay;
        allocators.iter().any(|allocator| Some(*allocator) == own)
    }

    fn cache<T>(&self, organisation: &OrganisationId, with: impl FnOnce(&mut Cache) -> T) -> T {
        let mut caches = self.caches.borrow_mut();
        if !caches.contains_key(organisation) {
            caches.insert(organisation.clone(), Cache::default());
        }
        let cache = caches.entry(organisation.clone()).or_default();
        with(cache)
    }

    fn take(&self, organisation: &OrganisationId) -> Option<Token> {
        let now = self.lines.now();
        self.cache(organisation, |cache| cache.take(now))
    }

    /// Requests tokens from an allocator; `None` if it does not answer.
    async fn ask(
        self: &Rc<Self>,
        allocator: SocketAddr,
        spend: Spend,
        trailer: Option<Trailer>,
    ) -> Option<Decision> {
        if Some(allocator) == self.place.relay {
            return Some(self.ask_here(&spend, trailer).await);
        }
        if self.lines.avoids(allocator) {
            return None;
        }
        let mut line = self.lines.take(allocator).await.ok()?;
        let request = Request::Spend(spend);
        let wait = trailer.map_or(Span::ZERO, |trailer| trailer.wait);
        let answer = async {
            match trailer {
                Some(trailer) => line.ask_with_trailer(&request, trailer).await,
                None => line.ask(&request).await,
            }
        };
        let answer = tokio::time::timeout((wait + ANSWER_TIMEOUT).into(), answer).await;
        let Ok(Ok(answer)) = answer else {
            return None;
        };
        match answer.reply {
            Reply::Granted(grant) => {
                self.lines.give_back(line);
                Some(Decision {
                    grant,
                    wait: answer.wait,
                })
            }
            Reply::Stopping => {
                self.lines.avoid_stopping(allocator);
                None
            }
            _ => None,
        }
    }

    /// Requests tokens from this VM itself.
    async fn ask_here(self: &Rc<Self>, spend: &Spend, trailer: Option<Trailer>) -> Decision {
        let Some(trailer) = trailer else {
            return Decision {
                grant: self.grant(spend),
                wait: Span::ZERO,
            };
        };
        match self.claim(spend, trailer) {
            Claimed::Decided(decision) => decision,
            Claimed::Waits(mut waiting) => waiting.decision().await,
        }
    }

    /// The allocators, those near this VM first.
    fn near_first(&self, allocators: &[SocketAddr]) -> Vec<SocketAddr> {
        let view = self.shared.get();
        let list = view.peers.list();
        let is_near = |allocator: &SocketAddr| {
            let mut peers = list.iter();
            let peer = peers.find(|peer| peer.relay == Some(*allocator));
            peer.is_some_and(|peer| self.place.is_near(&peer.domain))
        };
        let mut allocators = allocators.to_vec();
        allocators.sort_by_cached_key(|allocator| !is_near(allocator));
        allocators
    }

    pub(super) fn allocators(
        &self,
        organisation: &OrganisationId,
        allowance: Allowance,
    ) -> Rc<[SocketAddr]> {
        let limit = allocator::limit(allowance.burst);
        let view = self.shared.get();
        let mut known = self.allocators.borrow_mut();
        let peers = view.peers.digest();
        if known.peers != peers {
            known.peers = peers;
            known.by_organisation.clear();
        }
        let key = (organisation.clone(), limit);
        let found = known.by_organisation.entry(key).or_insert_with(|| {
            let region = |peer| self.region(peer);
            let peers = view.peers.list().iter().filter(|peer| !peer.evicted);
            allocator::allocators(peers, organisation, limit, region).into()
        });
        found.clone()
    }

    pub(super) fn region<'a>(&'a self, peer: &'a Peer) -> &'a str {
        let region = self.place.regions.get(&peer.domain);
        region.map_or(peer.domain.as_str(), |region| &**region)
    }
}

/// The allowance of an organisation in the configuration in force.
pub(super) fn allowance(view: &View, organisation: &OrganisationId) -> Option<Allowance> {
    let organisations = view.config.as_ref()?.organisations.as_ref()?;
    organisations.allowances.get(organisation).copied()
}
