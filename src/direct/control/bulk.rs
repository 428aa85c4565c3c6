//! Fetches the register and the configuration where they are too long to be sent to every VM.
//!
//! A heartbeat's answer says that there is something newer. A VM that reads for others fetches it
//! from the store; all others fetch it from their parent in a tree of their failure domain
//! ([`reader::ancestors`]), or from the store if that takes too long.

use crate::clock::{Span, Time};
use crate::direct::control::{Control, reader};
use crate::direct::mesh::Question;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The maximum random delay before a VM asks for a configuration that it knows to exist, so that
/// not all VMs ask at once. Those that poll the store have it by then.
const MAX_SPREAD: Span = Span::from_millis(300);

/// How often a VM fetches a long register that differs from its own. While entries are missing, a
/// VM that started in between has fewer than the steward keeps for some seconds, and would read 900
/// KB with each heartbeat. A database that leaves keeps serving for 7 s.
const REGISTER_INTERVAL: Span = Span::from_secs(3);

/// How long a VM waits without progress on a register, or on a configuration, from its ancestors
/// before it reads the store, and how long it may fetch from them in all. A configuration has to be
/// in force within some seconds, half of which are left then.
const REGISTER_TIMEOUT: Span = Span::from_millis(2_500);
const CONFIG_TIMEOUT: Span = Span::from_millis(1_500);
const TOTAL_TIMEOUT: Span = Span::from_millis(2_500);

/// The delay before a VM that lacks it too is asked again; half of it is random.
const RETRY_DELAY: Span = Span::from_millis(200);

/// The timeout of one answer: a register of 400 KB over a small link.
const ANSWER_TIMEOUT: Span = Span::from_millis(1_500);

/// Fetches each register and configuration that is known to exist but was not received.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        control.config_missing.notified().await;
        control.fetch_register().await;
        control.fetch_config().await;
    }
}

impl Control {
    /// Fetches a long register, which another VM has and did not send.
    async fn fetch_register(&self) {
        if !self.is_register_due() {
            return;
        }
        let before = self.state.borrow().register.digest();
        self.pause_for(MAX_SPREAD.percent((self.random() * 100.0) as u64))
            .await;
        let lacks = |control: &Self| control.state.borrow().register.digest() == before;
        if self.ask_ancestors(REGISTER_TIMEOUT, lacks).await {
            return;
        }
        if self.read_register().await.is_err() {
            // The store may refuse this VM's calls: VMs that read for others send the whole
            // register.
            self.ask_readers(true).await;
        }
    }

    fn is_register_due(&self) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let due = state
            .register_read
            .is_none_or(|at| at + REGISTER_INTERVAL <= now);
        if !std::mem::take(&mut state.lacks_register) || !due {
            return false;
        }
        state.register_read = Some(now);
        true
    }

    /// Fetches the newest configuration that another VM has.
    async fn fetch_config(&self) {
        let mut before = None;
        while self.lacks_config() {
            let gathered = self.state.borrow().gathering.length();
            // A configuration that arrives in parts is continued without a delay.
            if before.replace(gathered) != Some(gathered) && gathered.1 > 0 {
                tokio::task::yield_now().await;
            } else {
                self.pause_up_to(MAX_SPREAD).await;
            }
            if !self.lacks_config() {
                break;
            }
            match self.has_readers() {
                true => self.fetch_config_from_ancestors().await,
                false => self.fetch_config_from_peers().await,
            }
        }
    }

    /// Fetches the configuration from the ancestors of this VM, else from the store. The store may
    /// refuse this VM and all its ancestors: then from the VM that reported the configuration, else
    /// from the readers.
    async fn fetch_config_from_ancestors(&self) {
        let fetch = async {
            self.ask_ancestors(CONFIG_TIMEOUT, Self::lacks_config).await;
        };
        let _ = self.try_config("ancestors", fetch).await
            || self.try_config_at_store().await
            || self.try_config_of_reporter().await
            || self.try_config_of_readers().await;
    }

    /// Fetches the configuration from other VMs, each of which reads the store, else from the
    /// store.
    async fn fetch_config_from_peers(&self) {
        let before = self.state.borrow().gathering.length();
        let had = self.try_config_of_readers().await;
        let more = self.state.borrow().gathering.length() > before;
        if had || more {
            return;
        }
        let _ = self.try_config_at_store().await || self.try_config_of_reporter().await;
    }

    async fn try_config_of_reporter(&self) -> bool {
        let Some(reporter) = self.state.borrow().newest_at else {
            return false;
        };
        let parts = async {
            let end = self.now() + TOTAL_TIMEOUT;
            self.ask_one(reporter, CONFIG_TIMEOUT, end, &Self::lacks_config)
                .await;
        };
        self.try_config("teller", parts).await
    }

    async fn try_config_of_readers(&self) -> bool {
        let readers = async {
            let _ = self.ask_readers(true).await;
        };
        self.try_config("readers", readers).await
    }

    async fn try_config_at_store(&self) -> bool {
        let read = async {
            let _ = self.read_config().await;
        };
        self.try_config("store", read).await
    }

    /// Tries to fetch a newer configuration from one source; returns whether this VM has it then.
    async fn try_config(&self, way: &'static str, ask: impl Future<Output = ()>) -> bool {
        let began = self.now();
        ask.await;
        let had = !self.lacks_config();
        self.setup.shared.meter.config_try(way, had);
        let newest = self.state.borrow().newest;
        let took_ms = self.now().since(began).0 / 1_000;
        log::info!(way, had, version:% = newest, in_force:% = self.config_version(), took_ms; "a newer configuration was asked for");
        had
    }

    /// Asks the ancestors of this VM in turn for what it lacks, each as long as it answers and has
    /// sent something new `within`. Returns whether this VM lacks nothing then.
    async fn ask_ancestors(&self, within: Span, lacks: impl Fn(&Self) -> bool) -> bool {
        let began = self.now();
        let end = began + TOTAL_TIMEOUT;
        let ancestors = {
            let view = self.setup.shared.get();
            reader::ancestors(view.peers.list(), self.setup.address)
        };
        for ancestor in ancestors {
            if self.now() >= began + within {
                break;
            }
            if self.ask_one(ancestor, within, end, &lacks).await {
                return true;
            }
        }
        !lacks(self)
    }

    /// Asks one VM for what this VM lacks, as long as it answers and has sent something new
    /// `within`, until `end` at most. Returns whether this VM lacks nothing then.
    async fn ask_one(
        &self,
        address: SocketAddr,
        within: Span,
        end: Time,
        lacks: &impl Fn(&Self) -> bool,
    ) -> bool {
        let began = self.now();
        let mut until = began + within;
        while self.now() < until.min(end) {
            let before = self.state.borrow().gathering.length();
            let question = Question::Heartbeat(self.heartbeat_for(true));
            let answer = self.request_update(address, question, ANSWER_TIMEOUT).await;
            if !lacks(self) {
                let took_ms = self.now().since(began).0 / 1_000;
                log::info!(from:% = address, took_ms; "a long list was told by another VM");
                return true;
            }
            if answer.is_none() {
                break;
            }
            if self.state.borrow().gathering.length() > before {
                until = self.now() + within;
                continue;
            }
            self.pause_up_to(RETRY_DELAY).await;
        }
        false
    }

    /// Sleeps for the span, half of which is random.
    async fn pause_up_to(&self, span: Span) {
        let chance = 50 + (self.random() * 50.0) as u64;
        self.pause_for(span.percent(chance)).await;
    }

    async fn pause_for(&self, pause: Span) {
        tokio::time::sleep(Duration::from(pause)).await;
    }

    /// Returns whether some VMs read the store for the others.
    pub(super) fn has_readers(&self) -> bool {
        self.setup.shared.get().peers.list().len() > reader::MAX_ALL_READ
    }

    fn lacks_config(&self) -> bool {
        self.config_version() < self.state.borrow().newest
    }
}
