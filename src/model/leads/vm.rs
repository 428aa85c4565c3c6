//! One VM: what it knows of who leads, and of its duty if it is the steward.

use super::store::{Age, LeadRow, Rows, Write};
use super::{CANDIDATES, LEASE, VMS};

/// What a reading showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Notes {
    pub lead: LeadRow,
    /// Since it was asked for.
    pub age: Age,
    /// The VMs whose present lives the reading showed, one bit each.
    pub shows: u8,
}

/// What the steward told, on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct News {
    pub lead: LeadRow,
    pub age: Age,
}

/// A call of the store whose answer was not heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Call {
    /// The rows as they were when the call was made.
    Read { rows: Rows, age: Age },
    /// A write of the duty's row that was done when the call was made.
    Done { write: Write, age: Age },
    /// A write that is not done.
    Sent { write: Write, age: Age },
}

/// How the duty's row was last seen to change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Watch {
    pub version: u8,
    pub token: u8,
    /// Since the first answer that showed this version.
    pub age: Age,
}

/// Which VMs had a row, one bit each.
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

/// A change of primary that the steward has under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Intent {
    /// Since the intent's answer, or what counts in its place.
    pub age: Age,
    /// The lead row's version that the intent wrote.
    pub lead: u8,
    /// The VMs as read after the intent.
    pub members: Option<Members>,
    /// The VMs that dropped the epoch, one bit each.
    pub confirmed: u8,
    /// The database that was ordered to lead, and whether the order was done.
    pub ordered: Option<u8>,
    pub done: bool,
}

/// A row that this steward has marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Evicted {
    /// Since the answer to that write.
    pub age: Age,
    pub version: u8,
}

/// The duty, as its holder has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Duty {
    pub token: u8,
    pub version: u8,
    /// Since the renewal that wrote this version was asked.
    pub asked: Age,
    pub intent: Option<Intent>,
    pub evicted: [Option<Evicted>; VMS],
    /// The VMs as read before the intent, where that is taken for enough.
    pub before: Option<Members>,
    /// Since each VM last spoke to this steward, where the wait counts from that.
    pub spoke: Option<[Age; VMS]>,
}

impl Duty {
    /// Whether every VM that may hold a lease has dropped it, or it must have lapsed.
    pub fn all_dropped(&self, intent: &Intent, lapsed: impl Fn(usize) -> bool) -> bool {
        let Some(members) = intent.members else {
            return false;
        };
        let done = |vm: usize| {
            let bit = 1 << vm;
            let evicted = members.evicted & bit != 0
                && self.evicted[vm].is_some_and(|evicted| evicted.age >= LEASE);
            members.registered & bit == 0 || intent.confirmed & bit != 0 || evicted || lapsed(vm)
        };
        (0..VMS).all(done)
    }
}

/// One VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Vm {
    pub life: u8,
    pub notes: Option<Notes>,
    /// The epoch that was given up on the steward's word, and all before it.
    pub dropped: u8,
    pub news: Option<News>,
    pub call: Option<Call>,
    pub watch: Option<Watch>,
    /// The duty as it was offered, on its way: its row's version and token.
    pub offer: Option<(u8, u8)>,
    /// The highest epoch on which this life has held a lease, so that something may be under way.
    pub began: u8,
    pub duty: Option<Duty>,
    /// A request that was sent to a database under a lease, where the lease is not looked at again.
    pub work: Option<u8>,
}

impl Vm {
    /// Whether a reading could tell this VM nothing. Such readings are no steps.
    pub fn knows(&self, v: usize, rows: &Rows) -> bool {
        let lead = |notes: Notes| notes.lead == rows.lead && notes.age == 0;
        let watched = |watch: Watch| watch.version == rows.duty.version;
        let held = |duty: Duty| {
            let waits = duty.intent.is_some_and(|intent| intent.members.is_none());
            duty.version == rows.duty.version && !waits
        };
        let duty =
            v >= CANDIDATES || self.watch.is_some_and(watched) || self.duty.is_some_and(held);
        self.notes.is_some_and(lead) && duty
    }

    /// All ages a tick older. `asked` says whether time on the way counts.
    pub fn tick(&mut self, asked: bool, told: bool) {
        if let Some(notes) = &mut self.notes {
            older(&mut notes.age);
        }
        if let Some(news) = self.news.as_mut().filter(|_| told) {
            older(&mut news.age);
        }
        match &mut self.call {
            Some(Call::Read { age, .. }) if !asked => *age = 0,
            Some(Call::Read { age, .. } | Call::Done { age, .. } | Call::Sent { age, .. }) => {
                older(age);
            }
            None => {}
        }
        if let Some(watch) = &mut self.watch {
            older(&mut watch.age);
        }
        if let Some(duty) = &mut self.duty {
            duty.tick();
        }
    }
}

impl Duty {
    fn tick(&mut self) {
        older(&mut self.asked);
        self.spoke.iter_mut().flatten().for_each(older);
        for evicted in self.evicted.iter_mut().flatten() {
            older(&mut evicted.age);
        }
        if let Some(intent) = &mut self.intent {
            older(&mut intent.age);
        }
    }
}

/// Ages from [`LEASE`] on are all alike.
pub fn older(age: &mut Age) {
    *age = LEASE.min(*age + 1);
}
