//! The tokens of one organisation that a VM has at hand.
//!
//! **Pattern answered.** An organisation's callers send one operation a second through this VM, or
//! fifty. **Without it** each operation asks a keeper, or tokens that nobody uses here are missing
//! elsewhere. What is asked for beyond the need is what was spent within the last [`TERM`].

use crate::clock::{Span, Time};
use crate::direct::quota::bucket::{Grant, TERM};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The most tokens to ask for beyond the need; a VM has some hundred operations a second in all.
const MOST_SPARE: usize = 64;

/// Leave to run one operation until then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    until: Time,
}

/// The tokens at hand.
#[derive(Debug, Clone, Default)]
pub struct Purse {
    held: VecDeque<(Token, u32)>,
    /// When tokens were spent within the last [`TERM`].
    spent: VecDeque<Time>,
    /// Keepers that had nothing, or did not answer, until when they are passed over.
    passed_over: BTreeMap<SocketAddr, Time>,
}

impl Purse {
    /// Takes the token that ends first.
    pub fn take(&mut self, now: Time) -> Option<Token> {
        self.forget(now);
        let (token, left) = self.held.front_mut()?;
        let token = *token;
        *left -= 1;
        if *left == 0 {
            self.held.pop_front();
        }
        if self.spent.len() == MOST_SPARE {
            self.spent.pop_front();
        }
        self.spent.push_back(now);
        Some(token)
    }

    /// Puts a token back whose operation has not run.
    pub fn put_back(&mut self, token: Token) {
        self.held.push_front((token, 1));
    }

    /// Takes over what a keeper granted that was asked at `asked`.
    pub fn put(&mut self, grant: Grant, asked: Time) {
        if grant.count > 0 {
            let until = asked + grant.within;
            self.held.push_back((Token { until }, grant.count));
        }
    }

    /// How many tokens beyond the need are likely to be spent before they end.
    pub fn spare(&self) -> u32 {
        u32::try_from(self.spent.len()).unwrap_or(u32::MAX)
    }

    /// A keeper has nothing until then.
    pub fn pass_over(&mut self, keeper: SocketAddr, until: Time) {
        self.passed_over.insert(keeper, until);
    }

    /// Whether a keeper is passed over.
    pub fn passes_over(&self, keeper: SocketAddr, now: Time) -> bool {
        let until = self.passed_over.get(&keeper);
        until.is_some_and(|until| now < *until)
    }

    /// When the first of these keepers may be asked again.
    pub fn retry(&self, keepers: &[SocketAddr], now: Time) -> Option<Span> {
        let until = keepers.iter().map(|keeper| self.passed_over.get(keeper));
        until.flatten().min().map(|until| until.since(now))
    }

    fn forget(&mut self, now: Time) {
        self.held.retain(|(token, _)| now < token.until);
        while self.spent.front().is_some_and(|at| *at + TERM <= now) {
            self.spent.pop_front();
        }
        self.passed_over.retain(|_, until| now < *until);
    }
}
