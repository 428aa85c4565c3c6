//! Leases that go on by the word of other VMs, while the store or the steward is not heard.
//!
//! **Pattern answered.** The store is away for 4 to 9 s, and every reading of the lead rows grows
//! old. **Without it** either all writes stop for some seconds, or a replacement waits as long as
//! an outage lasts for a VM that fell silent. **Thresholds.** Readings are up to 1.6 s old while
//! nothing fails, so nothing is asked before [`OLD`]; from there two rounds fit before the lease
//! ends, and three into the term of each one that succeeds.

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

/// From which age of a reading on others are asked.
const OLD: Span = Span::from_millis(1_700);

/// How long their answers are waited for.
const CALL: Span = Span::from_millis(300);

/// How many others are asked in a round: all on a site of eight VMs; on a large one more than twice
/// as many as are needed, so that the load of an outage does not grow with the square of the site.
const MOST_ASKED: usize = 7;

/// The pause after a round: in which a quorum vouched for all, or not.
const AGAIN: Span = Span::from_millis(700);
const FAILED: Span = Span::from_millis(100);

/// How long nothing is looked at while no group is known.
const IDLE: Span = Span::from_secs(1);

/// Asks others whenever a reading is old, until the process ends.
pub(super) async fn run(control: Rc<Control>) {
    let mut last = BTreeMap::new();
    while !control.state.borrow().stopped {
        let now = control.now();
        let rest = match control.ages_at() {
            Some(at) if at <= now => control.round(&mut last).await,
            Some(at) => at.since(now),
            None => {
                control.forget(&[], &mut last);
                IDLE
            }
        };
        tokio::time::sleep(Duration::from(rest)).await;
    }
}

impl Control {
    /// When the first reading gets old of the groups whose leases may go on.
    fn ages_at(&self) -> Option<Time> {
        let view = self.setup.shared.get();
        let open = view.leases.vouches(self.now());
        let asked = |(group, _): &(GroupId, Epoch)| Some(view.leases.known(group)?.1 + OLD);
        open.iter().filter_map(asked).min()
    }

    /// Asks all others once; returns how long to rest. `last` has how each lease stood after the
    /// round before.
    async fn round(&self, last: &mut BTreeMap<GroupId, (Epoch, Standing)>) -> Span {
        let asked = self.now();
        let wanted = self.setup.shared.get().leases.vouches(asked);
        let words = self.ask_fellows().await;
        let mut all = !wanted.is_empty();
        for (group, epoch) in &wanted {
            let word = (group.clone(), *epoch);
            let stand = 1 + words.iter().filter(|words| words.contains(&word)).count();
            let enough = stand >= QUORUM;
            if enough {
                let shared = &self.setup.shared;
                let lapsed = shared.get().leases.until(group) <= Some(self.now());
                shared.modify_silently().leases.vouch(group, *epoch, asked);
                if lapsed {
                    // Whatever waits for a lease may go on.
                    shared.modify(|_| ());
                }
            }
            all &= enough;
            self.note_standing(group, *epoch, stand, last);
        }
        self.forget(&wanted, last);
        if all { AGAIN } else { FAILED }
    }

    /// Forgets leases that may not go on any more.
    fn forget(&self, wanted: &[(GroupId, Epoch)], last: &mut BTreeMap<GroupId, (Epoch, Standing)>) {
        let now = self.now();
        last.retain(|group, &mut (epoch, standing)| {
            if wanted.iter().any(|(wanted, _)| wanted == group) {
                return true;
            }
            let lapsed = self.setup.shared.get().leases.until(group) <= Some(now);
            if lapsed && standing == Standing::Vouched {
                log::warn!(group:%, epoch; "a lease has lapsed");
            }
            false
        });
    }

    /// What some others vouch for: some by chance where there are many, those near by first. It does not
    /// matter which ones they are, and a round of all VMs is 1,400 questions among 195.
    async fn ask_fellows(&self) -> Vec<Vec<(GroupId, Epoch)>> {
        let mut fellows: Vec<(bool, SocketAddr)> = {
            let view = self.setup.shared.get();
            let fellows = view.peers.list().iter();
            let place = |f: &Peer| (f.domain != self.setup.domain, f.address);
            fellows.map(place).collect()
        };
        fellows.sort();
        fellows.dedup();
        fellows.retain(|(_, address)| *address != self.setup.address);
        let start = self.chance() * fellows.len() as f64;
        fellows.rotate_left(start as usize);
        fellows.sort_by_key(|(far, _)| *far);
        let calls = fellows
            .into_iter()
            .take(MOST_ASKED)
            .map(|(_, address)| (self.setup.call)(address, Question::Confirm, CALL));
        let answers = futures_util::future::join_all(calls).await;
        let words = answers.into_iter().filter_map(|answer| match answer {
            Some(Answer::Confirmed(life, words)) if life != self.setup.life => Some(words),
            _ => None,
        });
        words.collect()
    }

    fn note_standing(
        &self,
        group: &GroupId,
        epoch: Epoch,
        stand: usize,
        last: &mut BTreeMap<GroupId, (Epoch, Standing)>,
    ) {
        let now = self.now();
        let (holds, until) = {
            let view = self.setup.shared.get();
            (
                view.leases.holds(group, epoch, now),
                view.leases.until(group),
            )
        };
        let standing = match (holds, stand >= QUORUM) {
            (false, _) => Standing::Lapsed,
            (true, true) => Standing::Vouched,
            (true, false) => return,
        };
        if last.insert(group.clone(), (epoch, standing)) == Some((epoch, standing)) {
            return;
        }
        let lease_ms = until.map_or(0, |until| until.since(now).0 / 1_000);
        match standing {
            Standing::Vouched => log::info!(
                group:%, epoch, stand, lease_ms; "a lease goes on by the word of other VMs"
            ),
            Standing::Lapsed => log::warn!(group:%, epoch, stand; "a lease has lapsed"),
        }
    }
}

/// How a lease stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    Vouched,
    Lapsed,
}
