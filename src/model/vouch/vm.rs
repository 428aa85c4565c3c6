//! The rows in the store, and what one VM knows.

use super::{OLD, TERM, VMS};

/// A moment as its age in ticks.
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

/// All rows, which are read as of one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rows {
    pub lead: LeadRow,
    /// The token of whoever has the duty.
    pub token: u8,
    pub members: [Option<Row>; VMS],
    /// The versions of the members' rows, which rise also where a row is removed.
    pub versions: [u8; VMS],
}

/// A change of a VM's row, with the version that it asks for; none asks for nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Write {
    Register { vm: u8, life: u8 },
    Evict { vm: u8, over: u8 },
    Remove { vm: u8, over: Option<u8> },
}

impl Write {
    pub fn vm(&mut self) -> &mut u8 {
        match self {
            Write::Register { vm, .. } | Write::Evict { vm, .. } | Write::Remove { vm, .. } => vm,
        }
    }
}

impl Rows {
    /// Does the write if its condition holds.
    pub fn apply(&mut self, write: Write) {
        match write {
            Write::Register { vm, life } => {
                let evicted = false;
                self.set(vm.into(), Some(Row { life, evicted }));
            }
            Write::Evict { vm, over } if self.is(vm, Some(over)) => {
                let evicted = true;
                let row = self.members[usize::from(vm)];
                self.set(vm.into(), row.map(|row| Row { evicted, ..row }));
            }
            Write::Remove { vm, over } if self.is(vm, over) => self.remove(vm.into()),
            Write::Evict { .. } | Write::Remove { .. } => {}
        }
    }

    pub fn remove(&mut self, v: usize) {
        self.set(v, None);
    }

    fn is(&self, vm: u8, over: Option<u8>) -> bool {
        let vm = usize::from(vm);
        self.members[vm].is_some() && over.is_none_or(|over| over == self.versions[vm])
    }

    fn set(&mut self, v: usize, row: Option<Row>) {
        self.members[v] = row;
        self.versions[v] += 1;
    }
}

/// What a VM read of who leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Notes {
    pub lead: LeadRow,
    /// Since the reading was asked.
    pub age: Age,
    /// Since a quorum was asked that vouched, where that makes the lease longer.
    pub vouched: Option<Age>,
}

/// A reading whose answer was not heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call {
    pub rows: Rows,
    pub age: Age,
}

/// Others are asked to vouch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Round {
    pub epoch: u8,
    pub age: Age,
    /// Who stands by the epoch, one bit each.
    pub stand: u8,
}

/// Who is still waited for, one bit each, since when for each, and since when few are left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Waits {
    pub rest: u8,
    pub since: [Age; VMS],
    pub few: Option<Age>,
}

/// A change of primary that the steward has under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Intent {
    pub epoch: u8,
    /// Since it was certainly there.
    pub age: Age,
    pub waits: Option<Waits>,
    pub ordered: bool,
}

impl Intent {
    pub fn new(epoch: u8) -> Self {
        Self {
            epoch,
            age: 0,
            waits: None,
            ordered: false,
        }
    }
}

/// The duty, as its holder has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Duty {
    pub token: u8,
    pub intent: Option<Intent>,
    /// Rows that were seen to be marked: their versions, and since when.
    pub seen: [Option<(u8, Age)>; VMS],
}

impl Duty {
    pub fn new(token: u8) -> Self {
        Self {
            token,
            intent: None,
            seen: [None; VMS],
        }
    }

    fn tick(&mut self) {
        for (_, age) in self.seen.iter_mut().flatten() {
            older(age, OLD);
        }
        let Some(intent) = &mut self.intent else {
            return;
        };
        older(&mut intent.age, OLD);
        if let Some(waits) = &mut intent.waits {
            waits.since.iter_mut().for_each(|age| older(age, OLD));
            waits.few.iter_mut().for_each(|age| older(age, TERM));
        }
    }
}

/// One VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Vm {
    pub life: u8,
    pub notes: Option<Notes>,
    /// The epoch that was given up on somebody's word, and all before it.
    pub dropped: u8,
    /// The highest epoch on which this life has held a lease, so that something may be under way.
    pub began: u8,
    pub call: Option<Call>,
    pub round: Option<Round>,
    pub duty: Option<Duty>,
    /// Whether it has dropped all, and is about to end.
    pub stopped: bool,
}

impl Vm {
    pub fn tick(&mut self) {
        if let Some(notes) = &mut self.notes {
            older(&mut notes.age, OLD);
            if let Some(age) = &mut notes.vouched {
                older(age, TERM);
            }
            notes.vouched = notes.vouched.filter(|age| *age < TERM);
        }
        if let Some(call) = &mut self.call {
            older(&mut call.age, OLD);
        }
        if let Some(round) = &mut self.round {
            older(&mut round.age, TERM);
        }
        // What a quorum said a term ago makes no lease longer.
        self.round = self.round.filter(|round| round.age < TERM);
        if let Some(duty) = &mut self.duty {
            duty.tick();
        }
    }
}

fn older(age: &mut Age, most: Age) {
    *age = most.min(*age + 1);
}
