//! Offers of the duty: to whom the steward offers it, and whether a VM takes it.

use crate::clock::Span;
use crate::direct::control::duty::MIN_STRONG_CORES;
use crate::direct::control::rows::MemberId;
use crate::direct::control::takeover::ORDER_EXPIRY;
use crate::direct::control::{Control, reader};
use crate::direct::mesh::{Answer, Question};
use crate::direct::table::Version;
use crate::direct::tenure::HEARTBEAT_AGE;
use crate::types::Cores;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a VM may take to answer an offer of the duty: two calls of the store.
pub(super) const OFFER_TIMEOUT: Span = Span::from_millis(700);

/// How many VMs are offered the duty as they have newer readings than the steward.
const MAX_NEWER: usize = 4;

/// How much later the duty is offered to VMs that do not read for others: two calls of the store by a
/// reader, which takes it first if it can.
const LATE_OFFER_DELAY: Span = Span::from_millis(300);

/// How often to check whether an order in flight has ended.
const ORDER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A VM that the duty is offered to.
struct Candidate {
    id: MemberId,
    address: SocketAddr,
    /// How much later than the first ones it is asked.
    delay: Span,
}

impl Control {
    /// The VMs that the duty is offered to: those that read the store for others, or have read it
    /// after this VM did, and later one more of each failure domain.
    ///
    /// While the store is away for all, the steward offers the duty every two seconds. Each offer
    /// to all VMs would cause a reading by every VM and by those that it asks for help: by
    /// calculation up to 780 calls of 195 VMs.
    fn handover_candidates(&self) -> Vec<Candidate> {
        let newer = self.with_newer_readings();
        let (readers, more) = {
            let view = self.setup.shared.get();
            let peers = view.peers.list();
            let choose = |len: usize| (self.random() * len as f64) as usize;
            (reader::all(peers), reader::one_more_each(peers, choose))
        };
        let candidates = self.others().into_iter().filter_map(|(id, address)| {
            let delay = if readers.contains(&address) || newer.contains(&id) {
                Span::ZERO
            } else if more.contains(&address) {
                LATE_OFFER_DELAY
            } else {
                return None;
            };
            Some(Candidate { id, address, delay })
        });
        candidates.collect()
    }

    /// The VMs that have read the store's rows after this one last did, the latest first, and
    /// [`MAX_NEWER`] at most.
    fn with_newer_readings(&self) -> Vec<MemberId> {
        let state = self.state.borrow();
        let own = state.reading.as_ref().map(|reading| reading.asked);
        let read = state.heartbeats.iter().map(|(id, heard)| (heard.read, id));
        let mut newer: Vec<_> = read.filter(|(read, _)| *read > own).collect();
        newer.sort_by_key(|(read, _)| Reverse(*read));
        newer.truncate(MAX_NEWER);
        newer.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Offers the duty to the VM with the most cores that sends heartbeats, if this one has less
    /// than [`MIN_STRONG_CORES`]. Returns whether there is such a VM.
    ///
    /// A weak steward of a large fleet answers late and evicts VMs because of its own delay. The
    /// duty does not come back, because it goes to a VM that never offers it for this reason.
    pub(super) async fn yield_to_stronger(self: &Rc<Self>) -> bool {
        let own = self.setup.cores;
        if own == Cores::default() || own >= MIN_STRONG_CORES {
            return false;
        }
        let now = self.now();
        let stronger = {
            let state = self.state.borrow();
            let members = state.reading.iter().flat_map(|reading| &reading.members);
            let heard = members.filter(|(id, (member, _))| {
                let heard = state
                    .heartbeats
                    .get(*id)
                    .filter(|heard| heard.life == member.life);
                !member.evicted && heard.is_some_and(|heard| now < heard.at + HEARTBEAT_AGE)
            });
            let strong = heard.filter(|(_, (member, _))| member.cores >= MIN_STRONG_CORES);
            let strongest = strong.max_by_key(|(_, (member, _))| member.cores);
            strongest.map(|(id, (member, _))| Candidate {
                id: id.clone(),
                address: member.address,
                delay: Span::ZERO,
            })
        };
        let Some(stronger) = stronger else {
            return false;
        };
        self.offer("another VM has more processor", vec![stronger])
            .await;
        true
    }

    /// Offers the duty to VMs that read for others, and to some more.
    pub(super) async fn hand_over(self: &Rc<Self>, reason: &str) -> bool {
        self.offer(reason, self.handover_candidates()).await
    }

    /// Offers the duty to other VMs. No order is sent meanwhile, so the VM that takes it has no
    /// wait.
    async fn offer(self: &Rc<Self>, reason: &str, to: Vec<Candidate>) -> bool {
        let token = self.state.borrow().held.as_ref().map(|held| held.token);
        let Some(token) = token else { return true };
        if let Some(held) = self.state.borrow_mut().held(token) {
            held.handing_over = true;
        }
        while self
            .state
            .borrow_mut()
            .held(token)
            .is_some_and(|held| held.running_orders > 0)
        {
            tokio::time::sleep(ORDER_POLL_INTERVAL).await;
        }
        let version = self.state.borrow_mut().held(token).map(|held| held.version);
        let Some(version) = version else { return true };
        let calls = to
            .into_iter()
            .map(async |Candidate { id, address, delay }| {
                tokio::time::sleep(delay.into()).await;
                let question = Question::HandOver { token, version };
                let answer = (self.setup.call)(address, question, OFFER_TIMEOUT).await;
                (id, address, answer)
            });
        // All are asked at once: if the store refuses all of them, asking one after the other would
        // take seconds.
        let mut calls: FuturesUnordered<_> = calls.collect();
        while let Some((vm, address, answer)) = calls.next().await {
            if answer == Some(Answer::Taken(true)) {
                log::info!(to:% = vm, token, reason; "the duty is handed over");
                self.resign(reason);
                let now = self.now();
                self.follow(address, token + 1, now);
                return true;
            }
        }
        let now = self.now();
        if let Some(held) = self.state.borrow_mut().held(token) {
            held.handing_over = false;
            held.orders_from = now;
        }
        log::warn!(token, reason; "no VM accepts the duty");
        false
    }

    /// Takes the duty that the steward offers, with this token and version. The steward sends no
    /// order under this version any more.
    ///
    /// The offer may arrive late, after the steward that made it went on, renewed the duty and sent
    /// orders; two VMs would then promote in turn. Since an order needs a renewal, which changes
    /// the version, a version other than the offered one is taken over only once no order by it can
    /// be in flight.
    pub(super) async fn take_offer(self: &Rc<Self>, token: u64, version: Version) -> bool {
        let refuses = self.is_steward() || self.setup.shared.get().stopping;
        if refuses || self.read_rows().await.is_err() || !self.is_member() {
            return false;
        }
        if !self.store.is_reached() {
            // The rows came by way of another VM: the register and the configuration would not.
            return false;
        }
        let Some(found) = self.duty_version(token) else {
            return false;
        };
        if found != version {
            log::info!(token, version:%, found:%; "the offered duty has changed: waiting until its orders have expired");
            tokio::time::sleep(ORDER_EXPIRY.into()).await;
            if self.read_rows().await.is_err() || self.duty_version(token) != Some(found) {
                return false;
            }
        }
        self.take().await
    }

    /// The version of the duty's row as last read, if it still has this token.
    fn duty_version(&self, token: u64) -> Option<Version> {
        let state = self.state.borrow();
        let (duty, version) = state.reading.as_ref()?.duty.as_ref()?;
        (duty.token == token).then_some(*version)
    }
}
