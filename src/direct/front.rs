//! Serves callers' sessions, and ends them in a planned stop.

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

/// How long the load balancer may still send callers after a stop has begun: it probes every second
/// and acts on the second answer.
const BALANCER_DELAY: Span = Span::from_millis(2_200);

/// The part of a stop's grace period that is reserved for sending the last answers.
const ANSWER_RESERVE: Span = Span::from_millis(400);

/// How long a caller with an unknown key waits for a newer configuration: a heartbeat's round trip
/// between regions plus the transfer of a long configuration from a near VM.
const CONFIG_TIMEOUT: Span = Span::from_millis(250);

/// The shortest interval between two requests for a newer configuration on behalf of such callers.
const CONFIG_REQUEST_INTERVAL: Span = Span::from_secs(1);

/// The location of this VM.
#[derive(Debug, Clone)]
pub struct Location {
    /// Its failure domain.
    pub domain: Domain,
    /// The address where it accepts other VMs' statements, if it relays any.
    pub relay: Option<SocketAddr>,
    /// The region of each failure domain.
    pub regions: BTreeMap<Domain, Box<str>>,
}

impl Location {
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

/// The progress of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stopping {
    /// No stop has begun.
    No,
    /// Idle sessions are closed.
    Idle,
    /// Open transactions are rolled back.
    Transactions,
}

/// Serves callers' sessions.
pub struct Front {
    /// The platform.
    pub adapter: Adapter,
    /// The state shared by all tasks of this VM.
    pub shared: Rc<Shared>,
    /// Runs statements.
    pub runner: Runner,
    stopping: watch::Sender<Stopping>,
    sessions: Cell<u32>,
    ended: Notify,
    /// When a newer configuration was last asked for.
    config_requested: Cell<Time>,
}

impl fmt::Debug for Front {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Front").finish_non_exhaustive()
    }
}

impl Front {
    /// Creates a front without sessions.
    pub fn new(adapter: Adapter, shared: Rc<Shared>, location: Location) -> Rc<Self> {
        Rc::new(Self {
            runner: Runner::new(adapter.clone(), shared.clone(), location),
            adapter,
            shared,
            stopping: watch::Sender::new(Stopping::No),
            config_requested: Cell::default(),
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

    /// Ends all sessions within `grace` for a planned stop: idle sessions once the load balancer sends
    /// no more callers, open transactions after half of `grace`.
    pub async fn stop(&self, grace: Span) {
        let half = grace.percent(50);
        tokio::time::sleep(BALANCER_DELAY.min(half).into()).await;
        self.stopping.send_replace(Stopping::Idle);
        let rest = half.0.saturating_sub(BALANCER_DELAY.0);
        if self.all_ended_within(Span(rest)).await {
            return;
        }
        self.stopping.send_replace(Stopping::Transactions);
        let rest = half.0.saturating_sub(ANSWER_RESERVE.0);
        self.all_ended_within(Span(rest)).await;
    }

    async fn all_ended_within(&self, span: Span) -> bool {
        let all_ended = async {
            while self.sessions.get() > 0 {
                self.ended.notified().await;
            }
        };
        tokio::time::timeout(span.into(), all_ended).await.is_ok()
    }

    /// Waits for a newer configuration on behalf of a caller whose key is unknown.
    ///
    /// A key may be used as soon as the operator has issued it, but a VM receives it up to half a second
    /// later. To withstand floods of invalid keys, the steward is asked at most once per second for all
    /// waiting callers.
    pub async fn wait_for_newer_config(&self) {
        let mut configs = self.shared.configs();
        let now = self.now();
        let requested = self.config_requested.get();
        let since = match requested > Time::default() && now < requested + CONFIG_REQUEST_INTERVAL {
            true => requested,
            false => {
                self.config_requested.set(now);
                self.shared.wants_config.notify_one();
                now
            }
        };
        let left = (since + CONFIG_TIMEOUT).since(now);
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
