//! Writes the rows of many VMs together.
//!
//! **Pattern answered.** All VMs start at one moment, at first or after a loss of power, and each has to
//! be registered before it may act on a lease. All rows are in one part of the store, which takes
//! 150 transactions a second, one after another.
//! **Without it** the last of 195 writes is done after 1.3 s, answers are given up after 0.3 s and asked
//! for again, and callers are refused for as long; from some 300 VMs on the store refuses the
//! queue. **Thresholds.** A round gathers for [`GATHER`], less than a write takes. [`MOST`] rows fill
//! what one call may hold.
//!
//! **Failure answered.** Who writes for another is frozen meanwhile, and that one has started again and
//! registered its new life. **Symptom without it.** The row of a life that has ended takes the place of
//! the one that holds a lease, and a replacement does not wait for it. **Why it suffices.** The version
//! under which a row is written is one that its VM knew while that life ran: the new life's row has
//! another. A round whose answer is lost, or that the store does late, is under the same condition.

use crate::clock::Span;
use crate::direct::control::Control;
use crate::direct::control::rows::{Member, MemberId, Reading, encode, member_row};
use crate::direct::table::{self, Change, Fault, Row, Version};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long VMs are waited for that start at the same moment.
const GATHER: Span = Span::from_millis(20);

/// How many rows are written in one call: one condition and one row each, of the 100 entries that it
/// may hold.
const MOST: usize = 48;

/// How often the rows are written that are left once others were not as expected.
const TRIES: usize = 3;

/// A reading this young is a lease for whoever it shows.
const YOUNG: Span = Span::from_secs(1);

/// A VM that wants its row written.
#[derive(Debug)]
pub(super) struct Applicant {
    /// Which.
    pub id: MemberId,
    /// What its row shall hold.
    pub member: Member,
    /// The version that the row must have.
    pub expect: Version,
}

/// One that waits.
#[derive(Debug)]
pub(super) struct Waiting {
    applicant: Applicant,
    done: oneshot::Sender<Result<(), Fault>>,
}

impl Control {
    /// Writes a VM's row, with those of others that want the same now, and reads the rows after that.
    /// Only that reading tells whether the row is there.
    pub(super) async fn enroll(self: &Rc<Self>, applicant: Applicant) -> Result<(), Fault> {
        if self.is_written(&applicant) {
            return Ok(());
        }
        let (done, told) = oneshot::channel();
        let first = {
            let waiting = &mut self.state.borrow_mut().waiting;
            waiting.push(Waiting { applicant, done });
            waiting.len() == 1
        };
        if first {
            let control = self.clone();
            actix_rt::spawn(async move { control.enroll_all().await });
        }
        let stopped = |_| Fault::Refused("the VM that was asked stops".into());
        told.await.map_err(stopped)?
    }

    /// Whether a VM asks again whose answer was late: the newest reading shows its row.
    fn is_written(&self, applicant: &Applicant) -> bool {
        let state = self.state.borrow();
        let reading = state.reading.as_ref();
        let shown = |reading: &&Reading| reading.is_lease_for(&applicant.id, applicant.member.life);
        let young = |reading: &Reading| self.now() < reading.asked + YOUNG;
        reading.filter(shown).is_some_and(young)
    }

    async fn enroll_all(self: Rc<Self>) {
        tokio::time::sleep(Duration::from(GATHER)).await;
        let mut round = std::mem::take(&mut self.state.borrow_mut().waiting);
        while !round.is_empty() {
            let later = round.split_off(round.len().min(MOST));
            let applicants = round.iter().map(|waiting| &waiting.applicant);
            let read = match self.write_members(applicants.collect()).await {
                Ok(()) => self.read_all().await,
                Err(fault) => Err(fault),
            };
            if let Some(first) = round.first() {
                log::info!(
                    vms = round.len(), first:% = first.applicant.id, outcome:? = read;
                    "rows of VMs were written"
                );
            }
            for waiting in round {
                // Whoever asked may have given up.
                let _ = waiting.done.send(read.clone());
            }
            round = later;
        }
    }

    /// Reads the rows, and the register and the configuration if they are not known yet. In a large fleet
    /// those two are had by way of VMs near by, so that not each VM that writes rows reads them.
    async fn read_all(self: &Rc<Self>) -> Result<(), Fault> {
        if self.is_large() {
            self.learn(self.store.reading().await?);
            return Ok(());
        }
        let lacks_register = self.state.borrow().register.asked().is_none();
        let lacks_config = self.setup.shared.get().config.is_none();
        let register = async {
            match lacks_register {
                true => self.read_register().await,
                false => Ok(()),
            }
        };
        let config = async {
            match lacks_config {
                true => self.read_config().await,
                false => Ok(()),
            }
        };
        let (reading, register, config) = tokio::join!(self.store.reading(), register, config);
        self.learn(reading?);
        register.and(config)
    }

    /// Writes rows in one change; those that are not as expected are left as they are.
    async fn write_members(&self, mut round: Vec<&Applicant>) -> Result<(), Fault> {
        for _ in 0..TRIES {
            match self.store.write(change(&round)).await? {
                Ok(_) => return Ok(()),
                Err(rows) => {
                    round.retain(|applicant| applicant.version_in(&rows) == applicant.expect)
                }
            }
            if round.is_empty() {
                return Ok(());
            }
        }
        Err(Fault::Refused("the rows of VMs change all the time".into()))
    }
}

impl Applicant {
    /// The version of its row among these.
    fn version_in(&self, rows: &[Row]) -> Version {
        table::version_in(rows, &member_row(&self.id))
    }
}

fn change(round: &[&Applicant]) -> Change {
    // A VM may have asked twice; the last one stands.
    let by_id: BTreeMap<_, _> = round
        .iter()
        .map(|applicant| (&applicant.id, applicant))
        .collect();
    let mut change = Change::default();
    for (id, applicant) in by_id {
        let row = member_row(id);
        change.expect.push((row.clone(), applicant.expect));
        change.writes.push((row, encode(&applicant.member)));
    }
    change
}
