//! Whether a session may begin, and whether it may continue under the configuration in force.

use super::Caller;
use crate::clock::Span;
use crate::direct::config::Route;
use crate::direct::identity::{Identity, identify};
use crate::direct::line;
use crate::direct::session::{Phase, error};
use crate::direct::statement::{Answer, Code, End};
use std::rc::Rc;

/// How long a new session waits for the first configuration; callers give up after 2 s.
const CONFIG_TIMEOUT: Span = Span::from_millis(1_500);

impl Caller {
    /// Waits for the first configuration.
    pub(super) async fn wait_for_config(&self) {
        let shared = &self.front.shared;
        let configured = async {
            loop {
                let changed = shared.changed();
                if shared.get().config.is_some() {
                    return;
                }
                changed.await;
            }
        };
        let _ = tokio::time::timeout(CONFIG_TIMEOUT.into(), configured).await;
    }

    /// The answer to a new session's start message.
    pub(super) async fn admit(&mut self) -> End {
        let no_route = || error(Code::NoDatabase, "no route has that name");
        if self.front.config().is_none() {
            // A caller that is refused for a missing route would not retry.
            let text = "no configuration is known here yet; retry_ms=500";
            return error(Code::Busy, text);
        }
        let Some(route) = self.route() else {
            return no_route();
        };
        if self.identity(&route) != Identity::Unknown {
            return End::Done(None);
        }
        self.front.wait_for_newer_config().await;
        let Some(route) = self.route() else {
            return no_route();
        };
        match self.identity(&route) {
            Identity::Unknown => no_key(),
            Identity::Anyone | Identity::Of(_) => End::Done(None),
        }
    }

    /// The caller's identity by the configuration in force.
    pub(super) fn identity(&mut self, route: &Route) -> Identity {
        let (Some(config), Some(key)) = (self.front.config(), &self.key) else {
            return Identity::Unknown;
        };
        if let Some((known, identity)) = &self.known
            && Rc::ptr_eq(known, &config)
        {
            return identity.clone();
        }
        let identity = identify(&config, route, key);
        self.known = Some((config, identity.clone()));
        identity
    }

    /// Whether the session's key is no longer in the configuration.
    pub(super) fn is_key_unknown(&mut self) -> bool {
        let route = self.route();
        route.is_some_and(|route| self.identity(&route) == Identity::Unknown)
    }

    /// Rolls back the transaction of a caller whose key is no longer in the configuration, and returns the
    /// answer that ends its session.
    pub(super) fn reject(&mut self) -> Answer {
        self.roll_back();
        self.session.phase = Phase::Idle;
        self.session.answer(no_key())
    }

    /// Logs the refusal of a session.
    pub(super) fn log_refusal(&self, code: Code) {
        match code {
            Code::NoKey => line::no_key(&self.front, &self.database, self.key.as_ref()),
            Code::Busy => line::no_config(&self.database),
            _ => line::no_route(&self.front, &self.database),
        }
    }
}

fn no_key() -> End {
    error(Code::NoKey, "nobody holds this key")
}

/// Whether an answer ends its session.
pub(super) fn ends_session(answer: &Answer) -> bool {
    matches!(answer.end, End::Error { code, .. } if code == Code::NoKey)
}
