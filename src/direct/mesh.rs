//! The questions that VMs ask each other, and their answers. Each question is one call. The asking VM counts
//! ages from the time of its call, so that it need not trust another VM's clock.

use crate::clock::Span;
use crate::direct::adapter::LocalFuture;
use crate::direct::config::Database;
use crate::direct::fresh::Progress;
use crate::direct::lead::{Epoch, Lead};
use crate::direct::parts::{Gathered, Part};
use crate::direct::table;
use crate::direct::view::{PeerUpdate, Report};
use crate::types::{Cores, DatabaseId, Domain, GroupId, Life, Version, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;

/// A question of one VM to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// A heartbeat to the steward, or to any VM while none is known.
    Heartbeat(Heartbeat),
    /// Asks a VM that reads the store for others for its content, as read a moment ago at most.
    Read(Heartbeat),
    /// Asks a VM that reads the store for others for the register, as read a moment ago at most.
    ReadRegister(Heartbeat),
    /// Asks to write the asking VM's row together with others, and for a reading made after that.
    Enroll {
        /// The asking VM's state.
        heartbeat: Heartbeat,
        /// The address at which it relays other VMs' statements, if it does.
        relay: Option<SocketAddr>,
        /// Its failure domain.
        domain: Domain,
        /// Its processor cores.
        cores: Cores,
        /// The version that its row must have, as known to the asking VM.
        expect: table::Version,
    },
    /// Asks to release an epoch of a group, once work on its primary has ended or the timeout has passed.
    Drop {
        /// The group.
        group: GroupId,
        /// The epoch; all before it are released too.
        epoch: Epoch,
        /// How long to wait for the end of work in progress.
        timeout: Span,
    },
    /// Sent by a steward that stops, to hand over its duty.
    HandOver {
        /// The fencing token that it held.
        token: u64,
        /// The version of the duty's row for which this is valid.
        version: table::Version,
    },
    /// Asks which epochs the VM confirms, to extend leases while the store or the steward does not answer.
    Confirm,
    /// Asks to call the store on behalf of a VM that the store refuses.
    Store {
        /// The command.
        command: table::Command,
        /// The timeout of the call.
        timeout: Span,
    },
    /// Asks to send a heartbeat to the steward at once: it is new, or has an update.
    Ping {
        /// The address at which the steward listens.
        address: SocketAddr,
        /// Its fencing token.
        token: u64,
    },
}

/// The state that a VM sends with a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The asking VM.
    pub vm: VmId,
    /// Its life.
    pub life: Life,
    /// The address at which it listens for other VMs.
    pub address: SocketAddr,
    /// The version of its configuration in force.
    pub config: Version,
    /// The parts of a newer configuration that it has received.
    pub gathered: Option<Gathered>,
    /// Whether the answer may be long: a part of a newer configuration, or the whole register. Set when the
    /// asked VM is near by.
    pub accepts_long: bool,
    /// The digest of the register that it has.
    pub register: u64,
    /// How long ago it read the store's rows itself, if that is recent.
    pub reading_age: Option<Span>,
    /// The digest of its list of VMs.
    pub peers: u64,
    /// The digest of the leads that it knows.
    pub leads: u64,
    /// When databases last answered it or failed.
    pub reports: Vec<(DatabaseId, Report)>,
}

/// The answer to a [`Question`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// To `Heartbeat`, `Read` and `Enroll`.
    Update(Box<Update>),
    /// To `Drop`: this life of the VM has released the epoch.
    Dropped(Life),
    /// To `Confirm`: the epochs that this life of the VM has not released and does not know to be replaced.
    Confirmed(Life, Vec<(GroupId, Epoch)>),
    /// To `HandOver`: whether the duty was taken.
    Taken(bool),
    /// To `Store`: what the store answered the VM that was asked.
    Stored(Result<table::Response, table::Fault>),
    /// To `Ping`.
    Noted,
    /// Never sent, but made by the asking VM: the connection was refused. A partition may refuse connections to a
    /// process that runs, so this is no proof of its end.
    Refused,
}

/// The content of the answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The life of the VM that answers.
    pub life: Life,
    /// The store's era as the answering VM knows it, and for how long it has known it.
    pub era: Option<(table::Era, Span)>,
    /// Whether it is the steward.
    pub steward: bool,
    /// Whether it is the steward, and receives heartbeats from a majority of the registered VMs.
    pub has_majority: bool,
    /// The steward that it follows, if it knows one.
    pub duty: Option<Steward>,
    /// Whether the reading shows the asking VM's row. If not, no leads are sent, and it has to register.
    pub member: bool,
    /// The asking VM's row in the newest reading, if there is one.
    pub listed: Option<Listed>,
    /// The leads, from a reading that shows the asking VM's row.
    pub leads: Option<Leads>,
    /// The log positions of primaries, as of their last answers to this VM.
    pub fresh: Vec<Progress>,
    /// The VMs of that reading, if they differ from those that the asking VM knows.
    pub peers: Option<PeerUpdate>,
    /// The version of the answering VM's configuration in force.
    pub newest: Version,
    /// The entries of that configuration that the asking VM lacks, if they are few or a part was asked for.
    pub config: Option<Part>,
    /// The register, if the answering VM has one.
    pub register: Option<RegisterUpdate>,
}

/// The register of databases, its changes, or only its age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterUpdate {
    /// How old the reading was when this answer was made.
    pub age: Span,
    /// Its digest.
    pub digest: u64,
    /// Its content; `None` if the asking VM has the same, or if it is long: then that VM fetches it.
    pub content: Option<Content>,
}

/// The content of a register.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// All databases.
    All(Vec<Database>),
    /// The changes to the one that the asking VM has.
    Changes {
        /// Databases that were removed.
        removed: Vec<DatabaseId>,
        /// Databases that were added or have changed.
        added: Vec<Database>,
    },
}

/// A VM's row in a reading of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The row's version.
    pub version: table::Version,
    /// How old the reading was when this answer was made.
    pub age: Span,
}

/// The leads that a reading of the store showed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leads {
    /// How old the reading was when this answer was made.
    pub age: Span,
    /// The digest of these leads.
    pub digest: u64,
    /// The leads, if they differ from those that the asking VM has: all of them, or those that have changed.
    pub rows: Option<Vec<(GroupId, Lead)>>,
}

/// A steward (a VM elected to coordinate promotions), as another VM knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Steward {
    /// The address at which it listens for other VMs.
    pub address: SocketAddr,
    /// Its fencing token.
    pub token: u64,
    /// The version of the duty's row, if the answering VM is the steward.
    pub version: Option<crate::direct::table::Version>,
    /// How long ago it last answered.
    pub age: Span,
}

/// Asks the VM at an address; returns `None` if it does not answer within the span.
pub type Call = Rc<dyn Fn(SocketAddr, Question, Span) -> LocalFuture<Option<Answer>>>;
