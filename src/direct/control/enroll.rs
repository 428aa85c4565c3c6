//! Writes the rows of many VMs together.
//!
//! All VMs may start at one moment, at first or after a loss of power, and each has to be
//! registered before it may act on a lease. All rows are in one partition of the store, which does
//! 150 transactions a second, one after another. If each VM wrote its own row, the last of 195
//! writes would be done after 1.3 s, while answers time out after 0.3 s and are requested again,
//! and callers would be refused for that long; from some 300 VMs on the store would refuse the
//! queue. A round collects requests for [`COLLECT_DELAY`], less than a write takes. [`MAX_ROWS`] rows
//! fill what one call may hold.
//!
//! The VM that writes for another may be frozen meanwhile, while the other starts again and
//! registers its new life. If the row of the ended life then replaced the one that holds a lease, a
//! change of primary would not wait for that lease. This can't happen: a row is written on
//! condition of a version that its VM knew during the same life, and the row of the new life has
//! another version. The same condition covers a round whose answer is lost, or that the store does
//! late.

use crate::clock::Span;
use crate::direct::control::Control;
use crate::direct::control::rows::{Member, MemberId, Reading, encode, member_row};
use crate::direct::table::{self, Change, Fault, Row, Version};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long requests of VMs that start at the same moment are collected.
const COLLECT_DELAY: Span = Span::from_millis(20);

/// How many rows are written in one call: each takes one condition and one row of the 100 entries
/// that a call may hold.
const MAX_ROWS: usize = 48;

/// How often a round is written, each time without the rows whose version was not as expected.
const MAX_ATTEMPTS: usize = 3;

/// Up to this age, a reading that shows a VM's row is taken as the answer to its request.
const MAX_AGE: Span = Span::from_secs(1);

/// A request to write a VM's row.
#[derive(Debug)]
pub(super) struct Applicant {
    /// The VM.
    pub id: MemberId,
    /// The new content of the row.
    pub member: Member,
    /// The version that the row must have.
    pub expect: Version,
}

/// A queued request and the channel for its result.
#[derive(Debug)]
pub(super) struct Waiting {
    applicant: Applicant,
    done: oneshot::Sender<Result<(), Fault>>,
}

impl Control {
    /// Writes a VM's row, together with those of other VMs that ask now, and then reads the rows.
    /// Only that reading shows whether the row was written.
    pub(super) async fn enroll(self: &Rc<Self>, applicant: Applicant) -> Result<(), Fault> {
        if self.is_written(&applicant) {
            return Ok(());
        }
        let (done, result) = oneshot::channel();
        let first = {
            let waiting = &mut self.state.borrow_mut().waiting;
            waiting.push(Waiting { applicant, done });
            waiting.len() == 1
        };
        if first {
            let control = self.clone();
            actix_rt::spawn(async move { control.run_rounds().await });
        }
        let stopped = |_| Fault::Refused("the VM that was asked stops".into());
        result.await.map_err(stopped)?
    }

    /// Returns whether the newest reading shows the row already: the VM may ask again if its answer
    /// was late.
    fn is_written(&self, applicant: &Applicant) -> bool {
        let state = self.state.borrow();
        let reading = state.reading.as_ref();
        let shown = |reading: &&Reading| reading.is_lease_for(&applicant.id, applicant.member.life);
        let is_recent = |reading: &Reading| self.now() < reading.asked + MAX_AGE;
        reading.filter(shown).is_some_and(is_recent)
    }

    async fn run_rounds(self: Rc<Self>) {
        tokio::time::sleep(Duration::from(COLLECT_DELAY)).await;
        let mut round = std::mem::take(&mut self.state.borrow_mut().waiting);
        while !round.is_empty() {
            let later = round.split_off(round.len().min(MAX_ROWS));
            let applicants = round.iter().map(|waiting| &waiting.applicant);
            let read = match self.write_members(applicants.collect()).await {
                Ok(()) => self.read_after_round().await,
                Err(fault) => Err(fault),
            };
            if let Some(first) = round.first() {
                log::info!(
                    vms = round.len(), first:% = first.applicant.id, outcome:? = read;
                    "rows of VMs were written"
                );
            }
            for waiting in round {
                // The request may have timed out.
                let _ = waiting.done.send(read.clone());
            }
            round = later;
        }
    }

    /// Reads the rows, and the register and the configuration if they are not known yet. In a large
    /// fleet the latter two are fetched from nearby VMs, so that not every VM that writes rows
    /// reads them.
    async fn read_after_round(self: &Rc<Self>) -> Result<(), Fault> {
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

    /// Writes rows in one change; rows whose version is not as expected are left unchanged.
    async fn write_members(&self, mut round: Vec<&Applicant>) -> Result<(), Fault> {
        for _ in 0..MAX_ATTEMPTS {
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
        Err(Fault::Refused(
            "the VMs' rows changed during each attempt".into(),
        ))
    }
}

impl Applicant {
    /// Returns the version of its row among these.
    fn version_in(&self, rows: &[Row]) -> Version {
        table::version_in(rows, &member_row(&self.id))
    }
}

fn change(round: &[&Applicant]) -> Change {
    // A VM may have asked twice; the last request is used.
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
