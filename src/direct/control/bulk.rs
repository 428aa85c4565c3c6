//! How a VM has the register and the configuration where these are too long to be told to all.
//!
//! A heartbeat's answer says that there is something newer. A VM that reads for others has it from the store;
//! all others have it from their parent in a tree of their failure domain ([`reader::ancestors`]), and from the store
//! if that takes too long.

use crate::clock::{Span, Time};
use crate::direct::control::{Control, reader};
use crate::direct::mesh::Question;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a VM waits at most before it asks for a configuration that it knows to be there: by
/// chance, so that not all ask at once. Those that poll have it by then.
const SPREAD: Span = Span::from_millis(300);

/// How often a VM reads a long register that it is told to differ. While entries are missing, a VM that started
/// in between shows fewer than the steward keeps for some seconds, and would read 900 KB with each heartbeat.
/// A database that leaves goes on for 7 s.
const REGISTER_EVERY: Span = Span::from_secs(3);

/// How long a VM has nothing more of a register, or of a configuration, from its ancestors before it reads the
/// store; and how long it has it from them at all. A configuration has to be in force within some seconds, half of which
/// are left then.
const REGISTER_WITHIN: Span = Span::from_millis(2_500);
const CONFIG_WITHIN: Span = Span::from_millis(1_500);
const LONGEST: Span = Span::from_millis(2_500);

/// The pause before a VM that does not have it either is asked again, half by chance.
const ASK_AGAIN: Span = Span::from_millis(200);

/// How long one answer is waited for: a register of 400 KB over a small link.
const ANSWER: Span = Span::from_millis(1_500);

/// Has each register and configuration that is known to be there and was not told.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        control.lacking.notified().await;
        control.fetch_register().await;
        control.fetch_config().await;
    }
}

impl Control {
    /// Has the register that another VM has and did not tell in full, being long.
    async fn fetch_register(&self) {
        if !self.is_register_due() {
            return;
        }
        let before = self.state.borrow().register.digest();
        self.pause_of(SPREAD.percent((self.chance() * 100.0) as u64))
            .await;
        let lacks = |control: &Self| control.state.borrow().register.digest() == before;
        if self.ask_ancestors(REGISTER_WITHIN, lacks).await {
            return;
        }
        if self.read_register().await.is_err() {
            // The store may turn this VM away: VMs that read for others tell all of it.
            self.ask_readers(true).await;
        }
    }

    fn is_register_due(&self) -> bool {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let due = state
            .register_read
            .is_none_or(|at| at + REGISTER_EVERY <= now);
        if !std::mem::take(&mut state.lacks_register) || !due {
            return false;
        }
        state.register_read = Some(now);
        true
    }

    /// Has the configuration that another VM has.
    async fn fetch_config(&self) {
        let mut before = None;
        while self.lacks_config() {
            let gathered = self.state.borrow().gathering.length();
            // One that is coming in parts goes on to come.
            if before.replace(gathered) != Some(gathered) && gathered.1 > 0 {
                tokio::task::yield_now().await;
            } else {
                self.pause_up_to(SPREAD).await;
            }
            if !self.lacks_config() {
                break;
            }
            match self.have_readers() {
                true => self.have_config_from_above().await,
                false => self.have_config_from_others().await,
            }
        }
    }

    /// Has it from the ancestors of this VM, else from the store. The store may turn away this VM and all that are
    /// above it: then from the VM that told of it, else from those that read for others.
    async fn have_config_from_above(&self) {
        let above = async {
            self.ask_ancestors(CONFIG_WITHIN, Self::lacks_config).await;
        };
        let _ = self.try_config("ancestors", above).await
            || self.try_config_at_store().await
            || self.try_config_of_its_teller().await
            || self.try_config_of_readers().await;
    }

    /// Has it from other VMs, each of which reads the store, else from the store.
    async fn have_config_from_others(&self) {
        let before = self.state.borrow().gathering.length();
        let had = self.try_config_of_readers().await;
        let more = self.state.borrow().gathering.length() > before;
        if had || more {
            return;
        }
        let _ = self.try_config_at_store().await || self.try_config_of_its_teller().await;
    }

    async fn try_config_of_its_teller(&self) -> bool {
        let Some(teller) = self.state.borrow().newest_at else {
            return false;
        };
        let parts = async {
            let end = self.now() + LONGEST;
            self.ask_one(teller, CONFIG_WITHIN, end, &Self::lacks_config)
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

    /// Tries to get a newer configuration by one way; whether this VM has it then.
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

    /// Asks the ancestors of this VM for what it lacks, as long as they are reached and have had something to tell
    /// `within`; whether it lacks nothing then.
    async fn ask_ancestors(&self, within: Span, lacks: impl Fn(&Self) -> bool) -> bool {
        let began = self.now();
        let end = began + LONGEST;
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

    /// Asks one VM, as long as it is reached and has had something to tell `within`, until `end` at most.
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
            let question = Question::Heartbeat(self.beat_for(true));
            let told = self.hear(address, question, ANSWER).await;
            if !lacks(self) {
                let took_ms = self.now().since(began).0 / 1_000;
                log::info!(from:% = address, took_ms; "a long list was told by another VM");
                return true;
            }
            if told.is_none() {
                break;
            }
            if self.state.borrow().gathering.length() > before {
                until = self.now() + within;
                continue;
            }
            self.pause_up_to(ASK_AGAIN).await;
        }
        false
    }

    /// Pauses for the span, half of it by chance.
    async fn pause_up_to(&self, span: Span) {
        let chance = 50 + (self.chance() * 50.0) as u64;
        self.pause_of(span.percent(chance)).await;
    }

    async fn pause_of(&self, pause: Span) {
        tokio::time::sleep(Duration::from(pause)).await;
    }

    /// Whether some VMs read the store for the others.
    pub(super) fn have_readers(&self) -> bool {
        self.setup.shared.get().peers.list().len() > reader::FEW
    }

    fn lacks_config(&self) -> bool {
        self.config_version() < self.state.borrow().newest
    }
}
