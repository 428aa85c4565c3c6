//! The messages between proxies, sent over one stream for each pair.
//!
//! Messages carry spans, never times, because the clocks of two VMs are not comparable.

use crate::clock::Span;
use crate::core::database::{Order, Refusal, State};
use crate::core::lineage::Lineage;
use crate::core::request::{Class, Kind, Outcome};
use crate::types::{
    CallerId, DatabaseId, GroupId, Life, Link, PoolId, Position, RequestId, RequestKey, SessionId,
    Term, Version, VmId,
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One message between two proxies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Work that an entry sends to a database's holder.
    Work(Work),
    /// The holder's answer.
    Answer(Answer),
    /// The entry no longer needs the answer.
    Cancel(RequestId),
    /// The caller's connection was closed: the holder rolls back its open transaction.
    Depart(Link),
    /// An entry asks a steward for a session's floor.
    FloorRequest(FloorRequest),
    /// The steward's answer, a lease on the floor.
    Grant(Grant),
    /// The steward revokes a lease because the session wrote by way of another entry.
    Revoke(Revoke),
    /// The entry has released the lease.
    Revoked(Revoke),
    /// A steward's probe of a database, through its holder.
    Probe(Probe),
    /// The result of a probe.
    Report(Report),
    /// A steward's order to a database, through its holder.
    Control(Control),
    /// The database's answer.
    Controlled(Controlled),
    /// A stopping steward hands over its group; it acknowledges nothing after this.
    Yield(Yield),
    /// Asks whether the group's steward has sent probes recently.
    Suspect(Suspect),
    /// The answer to `Suspect`.
    Suspected(Suspected),
    /// Announces the sender's life, configuration version and state.
    Hello(Hello),
    /// Asks for a configuration newer than this version.
    Fetch(Version),
    /// The configuration: compressed JSON of `config::Accepted`.
    Document(Bytes),
}

impl Message {
    /// Whether it belongs to the control of the system rather than to one statement.
    pub fn is_control(&self) -> bool {
        match self {
            Message::Work(_) | Message::Answer(_) | Message::Cancel(_) | Message::Depart(_) => {
                false
            }
            Message::FloorRequest(_)
            | Message::Grant(_)
            | Message::Revoke(_)
            | Message::Revoked(_) => false,
            Message::Control(control) => !matches!(control.order, Order::Reach(_)),
            _ => true,
        }
    }

    /// The size of its encoding, in bytes.
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or_default()
    }
}

/// Work for a database's holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Work {
    /// Identifies the answer.
    pub request: RequestId,
    /// The caller's connection at the entry, which owns its transaction.
    pub link: Link,
    /// The named session, if it has one.
    pub session: Option<SessionId>,
    /// The caller, for fair queueing.
    pub caller: CallerId,
    /// The pool whose rules apply.
    pub pool: PoolId,
    /// The group.
    pub group: GroupId,
    /// The database.
    pub database: DatabaseId,
    /// What the work does.
    pub kind: Kind,
    /// Whether only the group's primary may run it, under its steward's confirmations.
    pub primary: bool,
    /// Its priority class.
    pub class: Class,
    /// The position that the database must have applied, for a read that must see it.
    pub floor: Option<Position>,
    /// The maximum proven age of the database, for a read with a maximum age.
    pub max_age: Option<Span>,
    /// The request key, which is stored with the work.
    pub key: Option<RequestKey>,
    /// How much of the caller's timeout was left when the work was sent.
    pub timeout: Span,
    /// The highest term whose leader the entry knows, so that the answer names a leader only if
    /// it is a later one.
    pub leader: Option<Term>,
    /// The frontend messages.
    pub body: Bytes,
}

/// A holder's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Answer {
    /// The work that it answers.
    pub request: RequestId,
    /// The outcome.
    pub outcome: Outcome,
    /// The database's refusal, if that is why the work was not run.
    pub refused: Option<Refusal>,
    /// How long, counted from when it sent the work, the entry may use the session's floor, which
    /// is the position just written.
    pub lease: Option<Span>,
    /// The holder's data on its database, for the entry's next choice.
    pub hint: Hint,
}

/// The state of a database, sent with each answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Hint {
    /// How far it has applied its log.
    pub position: Position,
    /// Its proven age; `None` if there is no proof.
    pub age: Option<Span>,
    /// The expected waiting time of newly queued work.
    pub wait: Span,
    /// The recent run time of short work.
    pub run: Span,
    /// The group's leader, if the holder knows a later one than the entry.
    pub primary: Option<Primary>,
}

/// Who leads a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Primary {
    /// The term.
    pub term: Term,
    /// The database open for writes.
    pub database: DatabaseId,
    /// The VM that owns the term.
    pub steward: VmId,
}

/// An entry's request for a lease on a session's floor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct FloorRequest {
    /// Identifies the answer.
    pub request: RequestId,
    /// The group.
    pub group: GroupId,
    /// The session; `None` if only the leader is asked for.
    pub session: Option<SessionId>,
}

/// The answer to [`FloorRequest`]. Its lease on the floor counts from when the request was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Grant {
    /// The request that it answers.
    pub request: RequestId,
    /// The group.
    pub group: GroupId,
    /// The floor and how long it may be used; `None` if the VM asked is not the steward or
    /// cannot grant a lease now.
    pub floor: Option<Leased>,
    /// The leader, as far as the VM asked knows.
    pub primary: Option<Primary>,
}

/// A floor under lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Leased {
    /// The session's floor in the group; zero if the session wrote nothing.
    pub floor: Position,
    /// How long it may be used.
    pub span: Span,
    /// The lineage of the primary's log, by which the floor is interpreted.
    pub lineage: Lineage,
}

/// A lease that is revoked or released.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Revoke {
    /// The group.
    pub group: GroupId,
    /// The session.
    pub session: SessionId,
    /// The position of the write that raises the floor.
    pub floor: Position,
}

/// A steward's probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Probe {
    /// The group.
    pub group: GroupId,
    /// The database to probe.
    pub database: DatabaseId,
    /// Identifies the probe in its report.
    pub round: RequestId,
    /// The group's leader.
    pub primary: Primary,
    /// Whether writes are currently acknowledged.
    pub serving: bool,
    /// The primary's log, as last read.
    pub sample: Option<Sample>,
    /// The configuration's version at the steward.
    pub version: Version,
}

/// The end of the primary's log, at a time that the holder can place on its own clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Sample {
    /// The end of the primary's log.
    pub position: Position,
    /// The round of the holder's last report that reached the steward.
    pub round: RequestId,
    /// How long before that report's arrival the primary was asked; zero if it was asked after.
    /// Counted back from when the holder sent the report, this is the earliest time at which the
    /// primary's log can have been at `position`.
    pub before: Span,
}

/// A holder's answer to a probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Report {
    /// The group.
    pub group: GroupId,
    /// The database.
    pub database: DatabaseId,
    /// The probe.
    pub round: RequestId,
    /// The state found; `None` if the database did not answer.
    pub observation: Option<Observation>,
    /// The configuration's version at the holder.
    pub version: Version,
}

/// The state of a database found by a probe. It has no lineage, which grows with each promotion
/// and which a steward needs only when it raises a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Observation {
    /// The term that the database was raised to.
    pub term: Term,
    /// The end of its log.
    pub position: Position,
    /// Whether it takes writes in `term`.
    pub open: bool,
}

/// A steward's order through a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Control {
    /// Identifies the answer.
    pub request: RequestId,
    /// The database.
    pub database: DatabaseId,
    /// The order.
    pub order: Order,
}

/// The answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Controlled {
    /// The order.
    pub request: RequestId,
    /// The database.
    pub database: DatabaseId,
    /// The database's answer; `None` if it did not answer.
    pub result: Option<Result<State, Refusal>>,
}

/// A steward's handover of its group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Yield {
    /// The group.
    pub group: GroupId,
    /// The leader whose term ends; its steward acknowledges and grants nothing more.
    pub primary: Primary,
}

/// Asks another holder of the group's databases whether the leader responds to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Suspect {
    /// Identifies the answer.
    pub request: RequestId,
    /// The group.
    pub group: GroupId,
    /// The suspected leader.
    pub primary: Option<Primary>,
}

/// Evidence about a leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Suspected {
    /// The request that it answers.
    pub request: RequestId,
    /// The group.
    pub group: GroupId,
    /// Whether the VM asked has recently received a probe of a serving steward.
    pub steward_responds: bool,
    /// Whether the VM asked can reach the primary; `None` if it did not try.
    pub reached: Option<bool>,
    /// The leader, as far as the VM asked knows.
    pub primary: Option<Primary>,
}

/// A VM's announcement of its state, sent when a stream opens and when its configuration changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Hello {
    /// The process's life.
    pub life: Life,
    /// The configuration's version.
    pub version: Version,
    /// Whether it is stopping; it then takes over nothing and gets no new work.
    pub stopping: bool,
}
