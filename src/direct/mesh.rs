//! What VMs ask each other. Each question is one call and its answer; time on the way counts
//! against whoever asked, so no clock of another VM is ever trusted.

use crate::clock::Span;
use crate::direct::adapter::Later;
use crate::direct::config::Database;
use crate::direct::fresh::Progress;
use crate::direct::lead::{Epoch, Lead};
use crate::direct::parts::{Gathered, Part};
use crate::direct::table;
use crate::direct::view::{FellowNews, Report};
use crate::types::{Cores, DatabaseId, Domain, GroupId, Life, Version, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;

/// A question of one VM to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// A heartbeat to the steward, or to any VM while none is known.
    Beat(Beat),
    /// Tell what the store holds, as read a moment ago at most: asked of a VM that reads for others.
    Read(Beat),
    /// Write the asking VM's row together with others, and tell what a reading after that shows.
    Enroll {
        /// What it knows.
        beat: Beat,
        /// Where it relays other VMs' statements, if it does.
        relay: Option<SocketAddr>,
        /// Its failure domain.
        domain: Domain,
        /// The processor that it has.
        cores: Cores,
        /// The version that its row must have, as it was told.
        expect: table::Version,
    },
    /// Give up this epoch of a group, once work on its primary is over or `patience` is.
    Drop {
        /// The group.
        group: GroupId,
        /// The epoch, and all before it.
        epoch: Epoch,
        /// How long work under way may take to end.
        patience: Span,
    },
    /// The steward hands its duties over as it stops.
    HandOver {
        /// The fencing token that it held.
        token: u64,
        /// The version of the duty's row for which this counts.
        version: table::Version,
    },
    /// Which epochs do you vouch for: asked while the store or the steward is not heard.
    Vouch,
    /// Make a call of the store for a VM that the store turns away.
    Store {
        /// The call.
        ask: table::Ask,
        /// How long its answer may take.
        within: Span,
    },
    /// There is something new, or a new steward: send it a heartbeat at once.
    Nudge {
        /// Where the steward listens.
        address: SocketAddr,
        /// Its fencing token.
        token: u64,
    },
}

/// What a VM tells with a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Who asks.
    pub vm: VmId,
    /// Its life.
    pub life: Life,
    /// Where it listens for other VMs.
    pub address: SocketAddr,
    /// The configuration that it has in force.
    pub config: Version,
    /// What it has of a newer one.
    pub gathered: Option<Gathered>,
    /// Whether what is long may be told: a part of a newer configuration, all of the register. Asked of a VM
    /// near by.
    pub whole: bool,
    /// The digest of the register that it has.
    pub register: u64,
    /// The digest of the VMs that it knows.
    pub fellows: u64,
    /// The digest of who leads, as far as it knows.
    pub leads: u64,
    /// How databases have answered it.
    pub reports: Vec<(DatabaseId, Report)>,
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// To a heartbeat, and to a VM whose row was written.
    News(Box<News>),
    /// To a drop: it is given up, by this life of the VM.
    Dropped(Life),
    /// To a vouch: what this life of the VM has neither dropped nor sees being replaced.
    Vouched(Life, Vec<(GroupId, Epoch)>),
    /// To a hand-over: whether the duty was taken.
    Taken(bool),
    /// To a call of the store: what it answered the VM that was asked.
    Stored(Result<table::Told, table::Fault>),
    /// To a nudge.
    Noted,
    /// Made on the asking side, never sent: the connection was refused, so no process listens
    /// there. A VM listens before it registers, so the life that is registered has ended.
    Absent,
}

/// What a VM is told with the answer to its heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// The life of the VM that answers.
    pub life: Life,
    /// The store's era as it knows it, and for how long.
    pub era: Option<(table::Era, Span)>,
    /// Whether it is the steward.
    pub steward: bool,
    /// Whether it is the steward, and hears most of the VMs that are registered.
    pub hears_most: bool,
    /// Which steward it follows, if it knows one.
    pub duty: Option<Heard>,
    /// Whether the reading shows the asking VM's row. If not, no leads are told, and it has to
    /// register.
    pub member: bool,
    /// How the asking VM's row stands in the newest reading, if there is one.
    pub listed: Option<Listed>,
    /// Who leads, by a reading that shows the asking VM's row.
    pub leads: Option<Leads>,
    /// How far primaries have come, as this VM was last answered.
    pub fresh: Vec<Progress>,
    /// The VMs of that reading, if they differ from those told.
    pub fellows: Option<FellowNews>,
    /// Which configuration the answering VM has in force.
    pub newest: Version,
    /// What that configuration has and the asking VM does not, if that is short, or a part of it was asked for.
    pub config: Option<Part>,
    /// The register, if it differs from the one told.
    pub register: Option<RegisterNews>,
}

/// The register, or what changed of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterNews {
    /// How old the reading was when this answer was made.
    pub age: Span,
    /// What stands for it.
    pub digest: u64,
    /// What it holds; none where that is long: then it is read from the store.
    pub content: Option<Content>,
}

/// What a register holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// All databases.
    All(Vec<Database>),
    /// What differs from the one that the asking VM has.
    Changes {
        /// Databases that are not there any more.
        gone: Vec<DatabaseId>,
        /// Databases that came or changed.
        came: Vec<Database>,
    },
}

/// How a VM's row stands in a reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The row's version.
    pub version: table::Version,
    /// How old the reading was when this answer was made.
    pub age: Span,
}

/// What a reading of the store showed of who leads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leads {
    /// How old the reading was when this answer was made.
    pub age: Span,
    /// The digest of what it showed.
    pub digest: u64,
    /// What it showed, if that differs from what the asking VM knew: all of it, or what has changed
    /// since.
    pub rows: Option<Vec<(GroupId, Lead)>>,
}

/// A steward, as another VM knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// Where it listens for other VMs.
    pub address: SocketAddr,
    /// Its fencing token.
    pub token: u64,
    /// The version of the duty's row, if it is the answering VM that holds it.
    pub version: Option<crate::direct::table::Version>,
    /// How long ago it last answered.
    pub age: Span,
}

/// Asks the VM at an address; nothing comes back from one that is not reached within the span.
pub type Call = Rc<dyn Fn(SocketAddr, Question, Span) -> Later<Option<Answer>>>;
