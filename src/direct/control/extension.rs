//! Extends leases by a quorum of peers while the store or the steward does not answer.
//!
//! While the store is away for 4 to 9 s, every reading of the lead rows becomes old. Without
//! extensions, either all writes stop for some seconds, or a replacement waits as long as an outage
//! lasts for a VM that fell silent. Readings are up to 1.6 s old while nothing fails, so no peer is
//! asked before [`MIN_READING_AGE`]; from then on two rounds fit before the lease ends, and three
//! into the term of each round that succeeds.

use crate::clock::{Span, Time};
use crate::direct::control::Control;
use crate::direct::lead::{Epoch, QUORUM};
use crate::direct::mesh::{Answer, Question};
use crate::direct::view::Peer;
use crate::types::GroupId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The age of a reading from which on peers are asked.
const MIN_READING_AGE: Span = Span::from_millis(1_700);

/// How long to wait for their answers.
const ANSWER_TIMEOUT: Span = Span::from_millis(300);

/// How many peers are asked in a round. This is all of them on a site of eight VMs; on a large site
/// it is more than twice as many as needed, so that the load of an outage does not grow with the
/// square of the site's size.
const MAX_ASKED: usize = 7;

/// The delay after a round in which a quorum confirmed all leases, and after any other round.
const SUCCESS_DELAY: Span = Span::from_millis(700);
const RETRY_DELAY: Span = Span::from_millis(100);

/// The interval between checks while no group is known.
const IDLE_INTERVAL: Span = Span::from_secs(1);

/// Asks peers whenever a reading is old, until the process ends.
pub(super) async fn run(control: Rc<Control>) {
    let mut last = BTreeMap::new();
    while !control.state.borrow().stopped {
        let now = control.now();
        let delay = match control.next_round_at() {
            Some(at) if at <= now => control.run_round(&mut last).await,
            Some(at) => at.since(now),
            None => {
                control.forget(&[], &mut last);
                IDLE_INTERVAL
            }
        };
        tokio::time::sleep(Duration::from(delay)).await;
    }
}

impl Control {
    /// When the first reading becomes old among those of groups whose leases may be extended.
    fn next_round_at(&self) -> Option<Time> {
        let view = self.setup.shared.get();
        let open = view.leases.extendable(self.now());
        let asked =
            |(group, _): &(GroupId, Epoch)| Some(view.leases.known(group)?.1 + MIN_READING_AGE);
        open.iter().filter_map(asked).min()
    }

    /// Asks some peers once; returns the delay until the next round. `last` holds each lease's
    /// status after the previous round.
    async fn run_round(&self, last: &mut BTreeMap<GroupId, (Epoch, Status)>) -> Span {
        let asked = self.now();
        let wanted = self.setup.shared.get().leases.extendable(asked);
        let confirmed = self.ask_confirmations().await;
        let mut all = !wanted.is_empty();
        for (group, epoch) in &wanted {
            let lease = (group.clone(), *epoch);
            let confirmations = 1 + confirmed
                .iter()
                .filter(|leases| leases.contains(&lease))
                .count();
            let enough = confirmations >= QUORUM;
            if enough {
                let shared = &self.setup.shared;
                let lapsed = shared.get().leases.until(group) <= Some(self.now());
                shared.modify_silently().leases.extend(group, *epoch, asked);
                if lapsed {
                    // Wakes what waits for a lease.
                    shared.modify(|_| ());
                }
            }
            all &= enough;
            self.log_status(group, *epoch, confirmations, last);
        }
        self.forget(&wanted, last);
        if all { SUCCESS_DELAY } else { RETRY_DELAY }
    }

    /// Removes leases that may not be extended any more, and logs those that have lapsed.
    fn forget(&self, wanted: &[(GroupId, Epoch)], last: &mut BTreeMap<GroupId, (Epoch, Status)>) {
        let now = self.now();
        last.retain(|group, &mut (epoch, status)| {
            if wanted.iter().any(|(wanted, _)| wanted == group) {
                return true;
            }
            let lapsed = self.setup.shared.get().leases.until(group) <= Some(now);
            if lapsed && status == Status::Extended {
                log::warn!(group:%, epoch; "a lease has lapsed");
            }
            false
        });
    }

    /// Returns the leases that some peers confirm, a list for each peer. Where there are many, a
    /// random choice of them is asked, those of the same failure domain first. It does not matter
    /// which ones, and a round of all VMs would be 1,400 questions among 195.
    async fn ask_confirmations(&self) -> Vec<Vec<(GroupId, Epoch)>> {
        let mut peers: Vec<(bool, SocketAddr)> = {
            let view = self.setup.shared.get();
            let peers = view.peers.list().iter();
            let place = |peer: &Peer| (peer.domain != self.setup.domain, peer.address);
            peers.map(place).collect()
        };
        peers.sort();
        peers.dedup();
        peers.retain(|(_, address)| *address != self.setup.address);
        let start = self.random() * peers.len() as f64;
        peers.rotate_left(start as usize);
        peers.sort_by_key(|(far, _)| *far);
        let calls = peers
            .into_iter()
            .take(MAX_ASKED)
            .map(|(_, address)| (self.setup.call)(address, Question::Confirm, ANSWER_TIMEOUT));
        let answers = futures_util::future::join_all(calls).await;
        let confirmed = answers.into_iter().filter_map(|answer| match answer {
            Some(Answer::Confirmed(life, confirmed)) if life != self.setup.life => Some(confirmed),
            _ => None,
        });
        confirmed.collect()
    }

    fn log_status(
        &self,
        group: &GroupId,
        epoch: Epoch,
        confirmations: usize,
        last: &mut BTreeMap<GroupId, (Epoch, Status)>,
    ) {
        let now = self.now();
        let (holds, until) = {
            let view = self.setup.shared.get();
            (
                view.leases.holds(group, epoch, now),
                view.leases.until(group),
            )
        };
        let status = match (holds, confirmations >= QUORUM) {
            (false, _) => Status::Lapsed,
            (true, true) => Status::Extended,
            (true, false) => return,
        };
        if last.insert(group.clone(), (epoch, status)) == Some((epoch, status)) {
            return;
        }
        let lease_ms = until.map_or(0, |until| until.since(now).0 / 1_000);
        match status {
            Status::Extended => log::info!(
                group:%, epoch, stand = confirmations, lease_ms; "a lease is extended by a quorum of peers"
            ),
            Status::Lapsed => {
                log::warn!(group:%, epoch, stand = confirmations; "a lease has lapsed")
            }
        }
    }
}

/// The status of a lease after a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Status {
    Extended,
    Lapsed,
}
