//! The rows in the store, and the state of one VM.

use super::{LEASE_TICKS, TERM_TICKS, VMS};

/// A point in time as its age in ticks.
pub type Age = u8;

/// The row of the group's primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeadRow {
    pub epoch: u8,
    pub changing: bool,
}

/// The row of a VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Row {
    pub life: u8,
    pub evicted: bool,
}

/// All rows, read atomically.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rows {
    pub lead: LeadRow,
    /// The token of the duty's holder.
    pub token: u8,
    pub members: [Option<Row>; VMS],
    /// The versions of the members' rows; removing a row increments its version too.
    pub versions: [u8; VMS],
}

/// A change of a VM's row, with the version it requires; `None` requires no version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Write {
    Register { vm: u8, life: u8 },
    Evict { vm: u8, expected: u8 },
    Remove { vm: u8, expected: Option<u8> },
}

impl Write {
    pub fn vm(&mut self) -> &mut u8 {
        match self {
            Write::Register { vm, .. } | Write::Evict { vm, .. } | Write::Remove { vm, .. } => vm,
        }
    }
}

impl Rows {
    /// Applies the write if its required version matches.
    pub fn apply(&mut self, write: Write) {
        match write {
            Write::Register { vm, life } => {
                let evicted = false;
                self.set(vm.into(), Some(Row { life, evicted }));
            }
            Write::Evict { vm, expected } if self.matches(vm, Some(expected)) => {
                let evicted = true;
                let row = self.members[usize::from(vm)];
                self.set(vm.into(), row.map(|row| Row { evicted, ..row }));
            }
            Write::Remove { vm, expected } if self.matches(vm, expected) => self.remove(vm.into()),
            Write::Evict { .. } | Write::Remove { .. } => {}
        }
    }

    pub fn remove(&mut self, v: usize) {
        self.set(v, None);
    }

    fn matches(&self, vm: u8, expected: Option<u8>) -> bool {
        let vm = usize::from(vm);
        self.members[vm].is_some() && expected.is_none_or(|expected| expected == self.versions[vm])
    }

    fn set(&mut self, v: usize, row: Option<Row>) {
        self.members[v] = row;
        self.versions[v] += 1;
    }
}

/// The lead row as a VM last read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Reading {
    pub lead: LeadRow,
    /// Ticks since the rows were requested.
    pub age: Age,
    /// Ticks since the request of a quorum's confirmation, if it extends the lease.
    pub extended: Option<Age>,
}

/// A reading whose answer is not received yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call {
    pub rows: Rows,
    pub age: Age,
}

/// A request to the other VMs for confirmation of an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Round {
    pub epoch: u8,
    pub age: Age,
    /// The VMs that confirmed the epoch, one bit each.
    pub confirmed: u8,
}

/// The VMs still waited for, one bit each, since when for each, and since when few are pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Wait {
    pub pending: u8,
    pub since: [Age; VMS],
    pub few_since: Option<Age>,
}

/// A change of primary that the steward has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Intent {
    pub epoch: u8,
    /// Ticks since the intent was certainly written.
    pub age: Age,
    pub wait: Option<Wait>,
    pub ordered: bool,
}

impl Intent {
    pub fn new(epoch: u8) -> Self {
        Self {
            epoch,
            age: 0,
            wait: None,
            ordered: false,
        }
    }
}

/// The duty as recorded by its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duty {
    pub token: u8,
    pub intent: Option<Intent>,
    /// Rows that were seen marked as evicted: their versions, and since when.
    pub evicted_rows: [Option<(u8, Age)>; VMS],
}

impl Duty {
    pub fn new(token: u8) -> Self {
        Self {
            token,
            intent: None,
            evicted_rows: [None; VMS],
        }
    }

    fn tick(&mut self) {
        for (_, age) in self.evicted_rows.iter_mut().flatten() {
            increment(age, LEASE_TICKS);
        }
        let Some(intent) = &mut self.intent else {
            return;
        };
        increment(&mut intent.age, LEASE_TICKS);
        if let Some(wait) = &mut intent.wait {
            wait.since
                .iter_mut()
                .for_each(|age| increment(age, LEASE_TICKS));
            wait.few_since
                .iter_mut()
                .for_each(|age| increment(age, TERM_TICKS));
        }
    }
}

/// The state of one VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Vm {
    pub life: u8,
    pub reading: Option<Reading>,
    /// The newest epoch that was dropped on request; all older ones are dropped too.
    pub dropped: u8,
    /// The highest epoch on which this life has held a lease, and may still have work running.
    pub leased_epoch: u8,
    pub call: Option<Call>,
    pub round: Option<Round>,
    pub duty: Option<Duty>,
    /// Whether it has dropped all epochs, and is about to end.
    pub stopped: bool,
}

impl Vm {
    pub fn tick(&mut self) {
        if let Some(reading) = &mut self.reading {
            increment(&mut reading.age, LEASE_TICKS);
            if let Some(age) = &mut reading.extended {
                increment(age, TERM_TICKS);
            }
            reading.extended = reading.extended.filter(|age| *age < TERM_TICKS);
        }
        if let Some(call) = &mut self.call {
            increment(&mut call.age, LEASE_TICKS);
        }
        if let Some(round) = &mut self.round {
            increment(&mut round.age, TERM_TICKS);
        }
        // A confirmation requested a term ago extends no lease.
        self.round = self.round.filter(|round| round.age < TERM_TICKS);
        if let Some(duty) = &mut self.duty {
            duty.tick();
        }
    }
}

fn increment(age: &mut Age, max: Age) {
    *age = max.min(*age + 1);
}
