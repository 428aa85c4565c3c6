//! The store's rows and the writes that change them.

use super::VMS;

/// A point in time as its age in ticks, at most [`super::LEASE_TICKS`].
pub type Age = u8;

/// The row of a group's primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeadRow {
    pub epoch: u8,
    pub primary: u8,
    pub changing: bool,
    pub version: u8,
}

/// The row of the duty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DutyRow {
    pub vm: u8,
    pub life: u8,
    pub token: u8,
    pub version: u8,
}

/// The row of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberRow {
    pub life: u8,
    pub evicted: bool,
}

/// All rows, read atomically.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Rows {
    pub lead: LeadRow,
    pub duty: DutyRow,
    pub members: [Option<MemberRow>; VMS],
    /// The versions of the members' rows; removing a row increments its version too.
    pub versions: [u8; VMS],
}

/// A change of the rows, with the versions it requires; `None` requires no version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Write {
    /// Takes the duty over.
    Take { row: DutyRow, expected: Option<u8> },
    /// Renews the duty.
    Renew { expected: u8 },
    /// Begins a change of primary, and renews the duty.
    Intend { duty: u8, lead: u8 },
    /// Publishes the new primary, and renews the duty.
    Publish {
        row: LeadRow,
        lead: u8,
        duty: Option<u8>,
    },
    /// Writes a VM's own row.
    Register { vm: u8, life: u8 },
    /// Marks a silent VM's row as evicted.
    Evict { vm: u8, expected: u8 },
    /// Removes a VM's row.
    Remove { vm: u8, expected: Option<u8> },
}

impl Rows {
    /// Returns whether the write's required versions match.
    pub fn allow(&self, write: Write) -> bool {
        let matches =
            |version: Option<u8>, expected: Option<u8>| expected.is_none() || expected == version;
        let member = |vm: u8| {
            let vm = usize::from(vm);
            self.members[vm].map(|_| self.versions[vm])
        };
        match write {
            Write::Take { expected, .. } => matches(Some(self.duty.version), expected),
            Write::Renew { expected } => self.duty.version == expected,
            Write::Intend { duty, lead } => self.duty.version == duty && self.lead.version == lead,
            Write::Publish { lead, duty, .. } => {
                self.lead.version == lead && matches(Some(self.duty.version), duty)
            }
            Write::Register { .. } => true,
            Write::Evict { vm, expected } => member(vm) == Some(expected),
            Write::Remove { vm, expected } => member(vm).is_some() && matches(member(vm), expected),
        }
    }

    /// Applies the write if its required versions match, and returns whether they did.
    pub fn apply(&mut self, write: Write) -> bool {
        let allowed = self.allow(write);
        if allowed {
            self.change(write);
        }
        allowed
    }

    fn change(&mut self, write: Write) {
        match write {
            Write::Take { row, .. } => {
                let version = self.duty.version + 1;
                self.duty = DutyRow { version, ..row };
            }
            Write::Renew { .. } => self.duty.version += 1,
            Write::Intend { .. } => {
                self.duty.version += 1;
                self.lead.version += 1;
                self.lead.changing = true;
            }
            Write::Publish { row, .. } => {
                self.duty.version += 1;
                let version = self.lead.version + 1;
                self.lead = LeadRow { version, ..row };
            }
            Write::Register { vm, life } => {
                let evicted = false;
                self.set(vm, Some(MemberRow { life, evicted }));
            }
            Write::Evict { vm, .. } => {
                let row = self.members[usize::from(vm)];
                let evicted = true;
                self.set(vm, row.map(|row| MemberRow { evicted, ..row }));
            }
            Write::Remove { vm, .. } => self.set(vm, None),
        }
    }

    fn set(&mut self, vm: u8, row: Option<MemberRow>) {
        let vm = usize::from(vm);
        self.members[vm] = row;
        self.versions[vm] += 1;
    }
}
