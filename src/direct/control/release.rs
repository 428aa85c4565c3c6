//! Releases epochs by way of the store, where a VM and the steward do not reach each other.
//!
//! In a partition that the store is not part of, the steward would wait until the leases of the VMs
//! on the other side have expired, 2.5 to 8 s, while these read that the primary is being replaced.
//! Their own word ends the wait: a VM that the steward does not answer writes into its row which
//! epochs it has released, and the steward reads the rows while it waits.

use crate::clock::Span;
use crate::direct::control::Control;
use crate::direct::control::change::{Replacement, WORK_TIMEOUT};
use crate::direct::control::rows::{MemberId, Reading, encode, member_row};
use crate::direct::lead::Epoch;
use crate::direct::table::Change;
use crate::types::{GroupId, Life};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How often the steward reads the rows while VMs have not answered. VMs without a steward read them
/// every second.
const POLL_INTERVAL: Span = Span::from_millis(200);

/// Returns the epochs being replaced that a life of a VM has not yet released in its row. None if the
/// reading does not show that life.
pub fn unreleased(
    reading: &Reading,
    id: &MemberId,
    life: Life,
) -> Option<BTreeMap<GroupId, Epoch>> {
    let (member, _) = reading.members.get(id)?;
    let lacks = |group: &GroupId, epoch: Epoch| member.released.get(group) < Some(&epoch);
    let changing = reading.leads.iter().filter(|(_, (lead, _))| lead.changing);
    let epochs = changing.map(|(group, (lead, _))| (group.clone(), lead.epoch));
    (member.life == life).then(|| {
        epochs
            .filter(|(group, epoch)| lacks(group, *epoch))
            .collect()
    })
}

/// Whether a reading requested after the intent shows that a life of a VM holds no lease on an epoch:
/// it has released the epoch, or has ended. A row is removed at the stop of its VM, or once it can hold
/// no lease.
pub fn is_over(
    reading: &Reading,
    id: &MemberId,
    life: Life,
    group: &GroupId,
    epoch: Epoch,
) -> bool {
    let Some((member, _)) = reading.members.get(id) else {
        return true;
    };
    member.life != life || member.released.get(group) >= Some(&epoch)
}

impl Control {
    /// Releases the epochs that are being replaced and writes that to this VM's row, unless the steward
    /// answers, and so can ask for it.
    pub(super) fn release_by_store(self: &Rc<Self>) {
        let Some(released) = self.released_at.get() else {
            return;
        };
        let epochs = {
            let state = self.state.borrow();
            let reading = state.reading.as_ref().filter(|r| r.asked >= released);
            reading.and_then(|reading| unreleased(reading, &self.id, self.setup.life))
        };
        let is_asked = self.is_steward() || self.steward_answers();
        let Some(epochs) = epochs.filter(|epochs| !epochs.is_empty() && !is_asked) else {
            return;
        };
        self.released_at.set(None);
        let control = self.clone();
        actix_rt::spawn(async move {
            control.release(epochs).await;
            control.released_at.set(Some(control.now()));
        });
    }

    async fn release(&self, epochs: BTreeMap<GroupId, Epoch>) {
        let dropped = epochs
            .iter()
            .map(|(group, epoch)| self.drop_epoch(group.clone(), *epoch, WORK_TIMEOUT));
        futures_util::future::join_all(dropped).await;
        let known = {
            let state = self.state.borrow();
            let reading = state.reading.as_ref();
            reading.and_then(|reading| reading.members.get(&self.id).cloned())
        };
        let Some((mut member, version)) = known.filter(|(m, _)| m.life == self.setup.life) else {
            return;
        };
        log::info!(vm:% = self.id, groups = epochs.len(); "epochs are released by way of the store");
        member.released.extend(epochs);
        let row = member_row(&self.id);
        let change = Change {
            expect: vec![(row.clone(), version)],
            writes: vec![(row, encode(&member))],
            remove: Vec::new(),
        };
        // If the row has changed, the next reading shows what is still to be released.
        let _ = self.store.write(change).await;
    }

    /// Waits until the rows show that some of these lives hold no lease on the old primary any more;
    /// returns their VMs.
    pub(super) async fn released_by_store(
        self: &Rc<Self>,
        replacement: &Replacement,
        lives: &[(MemberId, Life)],
    ) -> Vec<MemberId> {
        loop {
            tokio::time::sleep(Duration::from(POLL_INTERVAL)).await;
            if self.read_rows().await.is_err() {
                continue;
            }
            let state = self.state.borrow();
            let reading = state.reading.as_ref();
            let Some(reading) = reading.filter(|reading| reading.asked >= replacement.intent)
            else {
                continue;
            };
            let (group, epoch) = (&replacement.group, replacement.epoch);
            let over = lives
                .iter()
                .filter(|(id, life)| is_over(reading, id, *life, group, epoch));
            let over: Vec<_> = over.map(|(id, _)| id.clone()).collect();
            if !over.is_empty() {
                return over;
            }
        }
    }
}
