//! Refreshes what this VM knows of the store while the steward does not answer, or what it sends is
//! old.
//!
//! A steward or reader that the store does not answer still answers other VMs. Therefore each
//! update carries the age of the readings that it rests on, and a VM judges its sources by that age:
//! beyond [`MAX_READING_AGE`] it asks the VMs that read for others, and if these have nothing newer
//! it reads the store itself.

use crate::clock::{Span, Time};
use crate::direct::control::Control;
use crate::direct::control::join::Source;
use crate::direct::mesh::Question;
use crate::direct::table::Fault;
use futures_util::future::join_all;
use std::rc::Rc;

/// How often a VM without recent updates refreshes its state.
pub(super) const READ_INTERVAL: Span = Span::from_secs(1);

/// The age from which on a reading is too old to be relied on: the steward reads each second, and
/// its calls may take a second.
pub(super) const MAX_READING_AGE: Span = Span::from_secs(3);

/// How often a VM reads the rows itself while the VMs that read for it cannot.
const FALLBACK_READ_INTERVAL: Span = Span::from_secs(4);

/// The timeout of a question for the register: a call of the store and a round trip between regions.
const REGISTER_TIMEOUT: Span = Span::from_millis(400);

/// The maximum age of a register that another VM has just been asked for.
const MAX_ASKED_AGE: Span = Span::from_secs(1);

/// The maximum age of a register that is sent to other VMs without reading again.
const MAX_SHARED_AGE: Span = Span::from_millis(500);

impl Control {
    /// Whether enough time has passed since the last refresh.
    pub(super) fn may_refresh(&self) -> bool {
        let refreshed = self.state.borrow().refreshed;
        refreshed.is_none_or(|at| at + READ_INTERVAL <= self.now())
    }

    /// Whether the leads or the register rest on a reading that is too old.
    pub(super) fn is_stale(&self) -> bool {
        let now = self.now();
        self.has_old_leads(now) || self.has_old_register(now)
    }

    fn has_old_leads(&self, now: Time) -> bool {
        let view = self.setup.shared.get();
        let is_old = |group| {
            let known = view.leases.known(group);
            known.is_some_and(|(lead, asked)| !lead.changing && asked + MAX_READING_AGE < now)
        };
        view.leases.groups().any(is_old)
    }

    /// Whether the newest register that this VM has heard of is too old. One that it has heard of
    /// and not received is fetched in other ways.
    pub(super) fn has_old_register(&self, now: Time) -> bool {
        let state = self.state.borrow();
        let newest = state.register.asked().max(state.register_told);
        newest.is_some_and(|asked| asked + MAX_READING_AGE < now)
    }

    /// Returns when this VM last read the rows itself, if that is recent.
    pub(super) fn recent_reading(&self, now: Time) -> Option<Time> {
        let asked = self.state.borrow().reading.as_ref()?.asked;
        (now < asked + MAX_READING_AGE).then_some(asked)
    }

    /// Gets the leads and the register from nearby VMs, or reads the rows and, if due, the register
    /// and the configuration from the store; then checks whether to take the duty.
    pub(super) async fn refresh(self: &Rc<Self>) -> Result<Span, Fault> {
        let first = self.state.borrow().refreshed.is_none();
        self.state.borrow_mut().refreshed = Some(self.now());
        if first && self.join().await {
            return self.consider_takeover();
        }
        if !first && !self.reads() && !self.has_to_read().await {
            return self.consider_takeover();
        }
        self.state.borrow_mut().read_at = Some(self.now());
        self.read_rows().await?;
        if first || self.steward_is_silent() || self.has_old_register(self.now()) {
            self.read_register().await?;
        }
        if !first && !self.polls() {
            // No VM with a recent reading was found: the polls of those that poll may fail too. The
            // steward learns of a newer configuration by this VM's heartbeats.
            let _ = self.read_config().await;
        }
        self.consider_takeover()
    }

    /// Whether a VM that receives the store's rows from others has to read them itself.
    ///
    /// While the store is away for all, each of 195 VMs would otherwise try it every second for up
    /// to 9 s, and ask others to try. The VMs that read for others go on trying; a VM for which
    /// they have nothing tries too, but seldom.
    async fn has_to_read(&self) -> bool {
        let whole = !self.is_large() && self.is_uninitialised();
        let mut source = self.ask_readers(whole).await;
        if source == Source::Fresh
            && self.has_old_register(self.now())
            && !self.ask_for_register().await
        {
            source = Source::Stale;
        }
        match source {
            Source::Fresh => false,
            Source::Unreached => true,
            Source::Stale => {
                let last = self.state.borrow().read_at;
                last.is_none_or(|at| at + FALLBACK_READ_INTERVAL <= self.now())
            }
        }
    }

    /// Whether this VM has no configuration or no register yet.
    pub(super) fn is_uninitialised(&self) -> bool {
        let view = self.setup.shared.get();
        view.config.is_none() || view.databases.is_empty()
    }

    /// Reads the register as the steward, by way of the VMs that read for others while the store
    /// does not answer this one. A long register is not forwarded like other answers of the store:
    /// those VMs read it themselves and send its changes.
    pub(super) async fn refresh_register(&self) -> Result<(), Fault> {
        let relays = self.has_readers();
        if relays && self.store.avoids_direct() && self.ask_for_register().await {
            return Ok(());
        }
        let read = self.read_register().await;
        if read.is_ok() {
            if std::mem::take(&mut self.state.borrow_mut().register_relayed) {
                log::info!("the register is read from the store again");
            }
            return read;
        }
        if !relays || !self.ask_for_register().await {
            return read;
        }
        if !std::mem::replace(&mut self.state.borrow_mut().register_relayed, true) {
            log::info!("the register is read by way of other VMs");
        }
        Ok(())
    }

    /// Asks VMs that read the store for others for the register, those of this failure domain first.
    /// Returns whether this VM knows of a recent one then.
    async fn ask_for_register(&self) -> bool {
        for readers in self.readers_to_ask() {
            let calls = readers.into_iter().map(|reader| {
                let question = Question::ReadRegister(self.heartbeat());
                self.request_update(reader, question, REGISTER_TIMEOUT)
            });
            join_all(calls).await;
            let told = self.state.borrow().register_told;
            if told.is_some_and(|at| self.now() < at + MAX_ASKED_AGE) {
                return true;
            }
        }
        false
    }

    /// Reads the register on behalf of VMs that ask, unless that was done or tried less than
    /// [`MAX_SHARED_AGE`] ago.
    pub(super) async fn read_register_for_others(&self) {
        let mut last = self.reading_register.lock().await;
        let known = self.state.borrow().register.asked();
        let now = self.now();
        if known
            .max(*last)
            .is_some_and(|asked| now < asked + MAX_SHARED_AGE)
        {
            return;
        }
        *last = Some(now);
        // If this fails, the earlier reading is sent, with its age.
        let _ = self.read_register().await;
    }
}
