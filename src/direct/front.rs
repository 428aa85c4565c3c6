//! Serves callers' sessions.

use crate::clock::{Span, Time};
use crate::direct::adapter::{Adapter, Stream};
use crate::direct::caller::Caller;
use crate::direct::config::Config;
use crate::direct::run::Runner;
use crate::direct::view::Shared;
use crate::types::Domain;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, watch};

/// How long the balancer may take to send no more callers after a stop has begun: it asks each
/// second, and believes the second answer.
const BALANCED: Span = Span::from_millis(2_200);

/// What is left of a stop's grace for the last answers to go out.
const LAST_ANSWERS: Span = Span::from_millis(400);

/// How long a caller whose key is not known waits for a newer configuration: a heartbeat's round trip
/// between regions, and a long configuration had from a VM near by.
const CONFIG_WAIT: Span = Span::from_millis(250);

/// How often one is asked for on behalf of such callers.
const CONFIG_WANTED_EVERY: Span = Span::from_secs(1);

/// Where this VM stands.
#[derive(Debug, Clone)]
pub struct Place {
    /// Its failure domain.
    pub domain: Domain,
    /// Where it relays other VMs' statements, if it does.
    pub relay: Option<SocketAddr>,
    /// The region of each failure domain.
    pub regions: BTreeMap<Domain, Box<str>>,
}

impl Place {
    /// Whether a failure domain lies in this VM's region.
    pub fn is_near(&self, domain: &Domain) -> bool {
        self.are_near(domain, &self.domain)
    }

    /// Whether two failure domains lie in one region.
    pub fn are_near(&self, one: &Domain, other: &Domain) -> bool {
        if one == other {
            return true;
        }
        let region = self.regions.get(one);
        region.is_some() && region == self.regions.get(other)
    }
}

/// How far a stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stopping {
    /// There is none.
    No,
    /// Sessions that do nothing are closed.
    Idle,
    /// Transactions are rolled back.
    Transactions,
}

/// Serves callers.
pub struct Front {
    /// The platform.
    pub adapter: Adapter,
    /// What this VM knows.
    pub shared: Rc<Shared>,
    /// Runs statements.
    pub runner: Runner,
    stopping: watch::Sender<Stopping>,
    sessions: Cell<u32>,
    ended: Notify,
    /// When a newer configuration was last asked for.
    config_wanted: Cell<Time>,
}

impl fmt::Debug for Front {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Front").finish_non_exhaustive()
    }
}

impl Front {
    /// A front without sessions.
    pub fn new(adapter: Adapter, shared: Rc<Shared>, place: Place) -> Rc<Self> {
        Rc::new(Self {
            runner: Runner::new(adapter.clone(), shared.clone(), place),
            adapter,
            shared,
            stopping: watch::Sender::new(Stopping::No),
            config_wanted: Cell::default(),
            sessions: Cell::new(0),
            ended: Notify::new(),
        })
    }

    /// Serves one caller's session to its end.
    pub async fn serve_stream(self: Rc<Self>, stream: Box<dyn Stream>) {
        self.sessions.set(self.sessions.get() + 1);
        let stopping = self.stopping.subscribe();
        Caller::new(self.clone(), stream, stopping).serve().await;
        self.sessions.set(self.sessions.get() - 1);
        self.ended.notify_one();
    }

    /// Ends a planned stop's sessions within `grace`: those that do nothing once the balancer
    /// sends no more, open transactions after half of it.
    pub async fn stop(&self, grace: Span) {
        let half = grace.percent(50);
        tokio::time::sleep(BALANCED.min(half).into()).await;
        self.stopping.send_replace(Stopping::Idle);
        let rest = half.0.saturating_sub(BALANCED.0);
        if self.is_over(Span(rest)).await {
            return;
        }
        self.stopping.send_replace(Stopping::Transactions);
        let rest = half.0.saturating_sub(LAST_ANSWERS.0);
        self.is_over(Span(rest)).await;
    }

    async fn is_over(&self, span: Span) -> bool {
        let all_ended = async {
            while self.sessions.get() > 0 {
                self.ended.notified().await;
            }
        };
        tokio::time::timeout(span.into(), all_ended).await.is_ok()
    }

    /// Waits for a newer configuration, if one may be there: a caller's key is not known.
    ///
    /// **Pattern answered.** A key is used as soon as the operator has given it out, at a VM that is told
    /// of it half a second later; and floods of keys that nobody holds. **Without it** the first is refused,
    /// or each of the second asks the steward. One question a second serves all that wait.
    pub async fn wait_for_newer_config(&self) {
        let mut configs = self.shared.configs();
        let now = self.now();
        let asked = self.config_wanted.get();
        let since = match asked > Time::default() && now < asked + CONFIG_WANTED_EVERY {
            true => asked,
            false => {
                self.config_wanted.set(now);
                self.shared.wants_config.notify_one();
                now
            }
        };
        let left = (since + CONFIG_WAIT).since(now);
        if left > Span::ZERO {
            let _ = tokio::time::timeout(left.into(), configs.changed()).await;
        }
    }

    /// The time.
    pub fn now(&self) -> Time {
        (self.adapter.clock)()
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.shared.get().config.clone()
    }
}
