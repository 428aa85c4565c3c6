//! A VM's local tokens of one organisation.
//!
//! Callers of an organisation send one operation a second through this VM, or fifty. Without prefetching,
//! each operation would request its own token; with too much, unused tokens would be missing at other VMs.
//! So the VM prefetches as many tokens as it spent within the last [`TOKEN_VALIDITY`].

use crate::admission::Rank;
use crate::admission::bucket::{Grant, TOKEN_VALIDITY};
use crate::admission::comeback::{Comeback, Promises};
use crate::clock::{Span, Time};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The most tokens to prefetch; a VM runs some hundred operations a second in all.
const MAX_PREFETCH: usize = 64;

/// Permission to run one operation until its expiry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    until: Time,
}

/// What an allocator said of its tokens for one rank.
#[derive(Debug, Clone, Copy)]
pub struct Known {
    /// Until when it has none.
    pub until: Time,
    /// When a refused caller is to retry.
    pub retry: Time,
    /// What each further refusal adds to that time.
    pub spacing: Span,
}

/// The local tokens, and the allocators that are skipped.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    held: VecDeque<(Token, u32)>,
    /// When tokens were spent within the last [`TOKEN_VALIDITY`].
    spent: VecDeque<Time>,
    /// Allocators that had no token or did not answer, and until when they are skipped.
    skipped: BTreeMap<SocketAddr, Time>,
    /// Allocators that had no token for a rank.
    known: BTreeMap<(SocketAddr, Rank), Known>,
    /// When this VM told refused callers to retry.
    promises: Promises,
}

impl Cache {
    /// Takes the token that expires first.
    pub fn take(&mut self, now: Time) -> Option<Token> {
        self.expire(now);
        let (token, left) = self.held.front_mut()?;
        let token = *token;
        *left -= 1;
        if *left == 0 {
            self.held.pop_front();
        }
        if self.spent.len() == MAX_PREFETCH {
            self.spent.pop_front();
        }
        self.spent.push_back(now);
        Some(token)
    }

    /// Returns a token whose operation has not run.
    pub fn put_back(&mut self, token: Token) {
        self.held.push_front((token, 1));
    }

    /// Adds the tokens of a grant that was requested at `asked`.
    pub fn add(&mut self, grant: Grant, asked: Time) {
        if grant.count > 0 {
            let until = asked + grant.validity;
            self.held.push_back((Token { until }, grant.count));
        }
    }

    /// How many tokens beyond the need are likely to be spent before they expire.
    pub fn prefetch(&self) -> u32 {
        u32::try_from(self.spent.len()).unwrap_or(u32::MAX)
    }

    /// Skips an allocator until then.
    pub fn skip(&mut self, allocator: SocketAddr, until: Time) {
        self.skipped.insert(allocator, until);
    }

    /// Whether an allocator is skipped at `now`.
    pub fn is_skipped(&self, allocator: SocketAddr, now: Time) -> bool {
        let until = self.skipped.get(&allocator);
        until.is_some_and(|until| now < *until)
    }

    /// Records what an allocator said of its tokens for a rank.
    pub fn learn(&mut self, allocator: SocketAddr, rank: Rank, known: Known) {
        self.known.insert((allocator, rank), known);
    }

    /// What an allocator said of its tokens for a rank, if it has none at `now`.
    pub fn known(&self, allocator: SocketAddr, rank: Rank, now: Time) -> Option<Known> {
        let known = self.known.get(&(allocator, rank)).copied();
        known.filter(|known| now < known.until)
    }

    /// When the next refused caller of a rank is to retry; `None` if no allocator said when it has a token.
    pub fn comeback(
        &mut self,
        allocators: &[SocketAddr],
        rank: Rank,
        now: Time,
    ) -> Option<Comeback> {
        let known = allocators.iter().filter_map(|allocator| {
            let known = self.known.get(&(*allocator, rank))?;
            (now < known.retry).then_some((known.retry, known.spacing))
        });
        let skipped = allocators.iter().filter_map(|allocator| {
            let until = self.skipped.get(allocator)?;
            (now < *until).then_some((*until, Span::ZERO))
        });
        let (earliest, spacing) = known.chain(skipped).min()?;
        Some(self.promises.promise(rank, earliest, spacing, now))
    }

    /// How long until the first of these allocators may be asked again.
    pub fn retry(&self, allocators: &[SocketAddr], now: Time) -> Option<Span> {
        let until = allocators
            .iter()
            .map(|allocator| self.skipped.get(allocator));
        until.flatten().min().map(|until| until.since(now))
    }

    fn expire(&mut self, now: Time) {
        self.held.retain(|(token, _)| now < token.until);
        while self
            .spent
            .front()
            .is_some_and(|at| *at + TOKEN_VALIDITY <= now)
        {
            self.spent.pop_front();
        }
        self.skipped.retain(|_, until| now < *until);
        self.known
            .retain(|_, known| now < known.until.max(known.retry));
    }
}
