//! The rows, and writes that are done after their answer was given up.

use super::VMS;

/// A moment as its age in ticks, up to [`super::OLD`].
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

/// All rows, which are read as of one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Rows {
    pub lead: LeadRow,
    pub duty: DutyRow,
    pub members: [Option<MemberRow>; VMS],
    /// The versions of the members' rows, which rise also where a row is removed.
    pub versions: [u8; VMS],
}

/// A change of the rows, with the versions that it asks for; none asks for nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Write {
    /// Takes the duty over.
    Take { row: DutyRow, over: Option<u8> },
    /// Renews the duty.
    Renew { over: u8 },
    /// Begins a change of primary, and renews the duty.
    Intend { duty: u8, lead: u8 },
    /// Names the new primary, and renews the duty.
    Publish {
        row: LeadRow,
        lead: u8,
        duty: Option<u8>,
    },
    /// A VM's own row.
    Register { vm: u8, life: u8 },
    /// Marks a silent VM's row.
    Evict { vm: u8, over: u8 },
    /// Removes a VM's row.
    Remove { vm: u8, over: Option<u8> },
}

impl Rows {
    /// Whether the write's conditions hold.
    pub fn allow(&self, write: Write) -> bool {
        let is = |version: Option<u8>, over: Option<u8>| over.is_none() || over == version;
        let member = |vm: u8| {
            let vm = usize::from(vm);
            self.members[vm].map(|_| self.versions[vm])
        };
        match write {
            Write::Take { over, .. } => is(Some(self.duty.version), over),
            Write::Renew { over } => self.duty.version == over,
            Write::Intend { duty, lead } => self.duty.version == duty && self.lead.version == lead,
            Write::Publish { lead, duty, .. } => {
                self.lead.version == lead && is(Some(self.duty.version), duty)
            }
            Write::Register { .. } => true,
            Write::Evict { vm, over } => member(vm) == Some(over),
            Write::Remove { vm, over } => member(vm).is_some() && is(member(vm), over),
        }
    }

    /// Does the write if its conditions hold; whether they did.
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
