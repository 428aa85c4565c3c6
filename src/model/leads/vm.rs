//! The state of one VM: who leads, and its duty if it is the steward.

use super::store::{Age, LeadRow, Rows, Write};
use super::{CANDIDATES, LEASE_TICKS, VMS};

/// The lead row as a VM last read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Reading {
    pub lead: LeadRow,
    /// Ticks since the rows were requested.
    pub age: Age,
    /// The VMs whose current life had a row in the reading, one bit each.
    pub shows: u8,
}

/// A steward's update in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Update {
    pub lead: LeadRow,
    pub age: Age,
}

/// A call of the store whose answer is not received yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Call {
    /// The rows as they were when the call was made.
    Read { rows: Rows, age: Age },
    /// A write of the duty's row that was applied when the call was made.
    Applied { write: Write, age: Age },
    /// A write that is not applied yet.
    Sent { write: Write, age: Age },
}

/// The duty's row as a candidate last saw it change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Watch {
    pub version: u8,
    pub token: u8,
    /// Ticks since the first answer that showed this version.
    pub age: Age,
}

/// The VMs that had a row, and those whose row was marked as evicted, one bit each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Members {
    pub registered: u8,
    pub evicted: u8,
}

impl Members {
    pub fn of(rows: &Rows) -> Self {
        let mut members = Self {
            registered: 0,
            evicted: 0,
        };
        for (vm, row) in rows.members.iter().enumerate() {
            if let Some(row) = row {
                members.registered |= 1 << vm;
                members.evicted |= u8::from(row.evicted) << vm;
            }
        }
        members
    }
}

/// A change of primary that the steward has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Intent {
    /// Ticks since the answer to the intent, or since the reading that found it.
    pub age: Age,
    /// The lead row's version that the intent wrote.
    pub lead: u8,
    /// The VMs' rows as read after the intent.
    pub members: Option<Members>,
    /// The VMs that confirmed that they dropped the epoch, one bit each.
    pub confirmed: u8,
    /// The database that was ordered to lead, and whether the order was carried out.
    pub ordered: Option<u8>,
    pub carried_out: bool,
}

/// A row that this steward has marked as evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Evicted {
    /// Ticks since the answer to that write.
    pub age: Age,
    pub version: u8,
}

/// The duty as recorded by its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Duty {
    pub token: u8,
    pub version: u8,
    /// Ticks since the request of the renewal that wrote this version.
    pub asked: Age,
    pub intent: Option<Intent>,
    pub evicted: [Option<Evicted>; VMS],
    /// The VMs' rows as read before the intent, if `RowsAfterIntent` is disabled.
    pub before: Option<Members>,
    /// Ticks since each VM's last contact with this steward, if `WaitFromIntent` is disabled.
    pub last_contact: Option<[Age; VMS]>,
}

impl Duty {
    /// Returns whether every VM that may hold a lease has dropped it, or its lease has expired.
    pub fn all_dropped(&self, intent: &Intent, lapsed: impl Fn(usize) -> bool) -> bool {
        let Some(members) = intent.members else {
            return false;
        };
        let done = |vm: usize| {
            let bit = 1 << vm;
            let evicted = members.evicted & bit != 0
                && self.evicted[vm].is_some_and(|evicted| evicted.age >= LEASE_TICKS);
            members.registered & bit == 0 || intent.confirmed & bit != 0 || evicted || lapsed(vm)
        };
        (0..VMS).all(done)
    }
}

/// The state of one VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Vm {
    pub life: u8,
    pub reading: Option<Reading>,
    /// The newest epoch that was dropped on the steward's request; all older ones are dropped too.
    pub dropped: u8,
    pub update: Option<Update>,
    pub call: Option<Call>,
    pub watch: Option<Watch>,
    /// An offer of the duty in flight: the version and token of its row.
    pub offer: Option<(u8, u8)>,
    /// The highest epoch on which this life has held a lease, and may still have work running.
    pub leased_epoch: u8,
    pub duty: Option<Duty>,
    /// The database of a request sent under a lease, if `CheckAfter` is disabled.
    pub work: Option<u8>,
}

impl Vm {
    /// Returns whether a reading would change nothing at this VM; such readings are not steps.
    pub fn is_up_to_date(&self, v: usize, rows: &Rows) -> bool {
        let lead = |reading: Reading| reading.lead == rows.lead && reading.age == 0;
        let watched = |watch: Watch| watch.version == rows.duty.version;
        let held = |duty: Duty| {
            let waits = duty.intent.is_some_and(|intent| intent.members.is_none());
            duty.version == rows.duty.version && !waits
        };
        let duty =
            v >= CANDIDATES || self.watch.is_some_and(watched) || self.duty.is_some_and(held);
        self.reading.is_some_and(lead) && duty
    }

    /// Advances all ages by a tick; those of readings and updates in flight only if `age_readings` and
    /// `age_updates` are set.
    pub fn tick(&mut self, age_readings: bool, age_updates: bool) {
        if let Some(reading) = &mut self.reading {
            increment(&mut reading.age);
        }
        if let Some(update) = self.update.as_mut().filter(|_| age_updates) {
            increment(&mut update.age);
        }
        match &mut self.call {
            Some(Call::Read { age, .. }) if !age_readings => *age = 0,
            Some(Call::Read { age, .. } | Call::Applied { age, .. } | Call::Sent { age, .. }) => {
                increment(age);
            }
            None => {}
        }
        if let Some(watch) = &mut self.watch {
            increment(&mut watch.age);
        }
        if let Some(duty) = &mut self.duty {
            duty.tick();
        }
    }
}

impl Duty {
    fn tick(&mut self) {
        increment(&mut self.asked);
        self.last_contact.iter_mut().flatten().for_each(increment);
        for evicted in self.evicted.iter_mut().flatten() {
            increment(&mut evicted.age);
        }
        if let Some(intent) = &mut self.intent {
            increment(&mut intent.age);
        }
    }
}

/// Increments an age; ages from [`LEASE_TICKS`] on are equivalent.
pub fn increment(age: &mut Age) {
    *age = LEASE_TICKS.min(*age + 1);
}
