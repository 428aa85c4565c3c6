//! What proxies tell each other, over one stream a pair.
//!
//! Spans, not moments, cross the network: clocks of two VMs are not comparable.

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
    /// An entry's work for a database's holder.
    Work(Work),
    /// The holder's answer.
    Answer(Answer),
    /// The entry has no more use for the answer.
    Cancel(RequestId),
    /// The caller's connection is gone: what it has open at the holder is rolled back.
    Depart(Link),
    /// An entry asks a steward for a session's floor.
    Ask(Ask),
    /// The steward's answer, a lease on the floor.
    Grant(Grant),
    /// The steward takes a lease back, because the session wrote elsewhere.
    Revoke(Revoke),
    /// The entry uses the lease no more.
    Revoked(Revoke),
    /// A steward's probe of a database, through its holder.
    Probe(Probe),
    /// What the holder's probe found.
    Report(Report),
    /// A steward's order to a database, through its holder.
    Control(Control),
    /// The database's answer.
    Controlled(Controlled),
    /// A steward that stops hands its group over; it acknowledges nothing more.
    Yield(Yield),
    /// Asks whether the group's steward has been heard lately.
    Suspect(Suspect),
    /// The answer.
    Suspected(Suspected),
    /// Tells a VM which configuration and members its sender knows of.
    Hello(Hello),
    /// Asks for the configuration in force.
    Want(Version),
    /// The configuration: compressed JSON of `config::Accepted`.
    Document(Bytes),
}

impl Message {
    /// Whether it is sent for the system's own sake rather than for one statement.
    pub fn is_control(&self) -> bool {
        match self {
            Message::Work(_) | Message::Answer(_) | Message::Cancel(_) | Message::Depart(_) => {
                false
            }
            Message::Ask(_) | Message::Grant(_) | Message::Revoke(_) | Message::Revoked(_) => false,
            Message::Control(control) => !matches!(control.order, Order::Reach(_)),
            _ => true,
        }
    }

    /// The size of its encoding in bytes.
    pub fn size(&self) -> usize {
        postcard::experimental::serialized_size(self).unwrap_or_default()
    }
}

/// Work for a database's holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Work {
    /// Names the answer.
    pub request: RequestId,
    /// The caller's connection at the entry; a transaction belongs to it.
    pub link: Link,
    /// The named session, if it has one.
    pub session: Option<SessionId>,
    /// The caller, for fair shares.
    pub caller: CallerId,
    /// The pool whose rules apply.
    pub pool: PoolId,
    /// The group.
    pub group: GroupId,
    /// The database.
    pub database: DatabaseId,
    /// What it does.
    pub kind: Kind,
    /// Only the group's primary may run it, under its steward's confirmations.
    pub primary: bool,
    /// Its place among other work.
    pub class: Class,
    /// The database has to hold this, for a read that must see it.
    pub floor: Option<Position>,
    /// The database's proven age has to be below this, for a read of a stated age.
    pub max_age: Option<Span>,
    /// Written with the work.
    pub key: Option<RequestKey>,
    /// How much of the caller's patience was left when it was sent.
    pub patience: Span,
    /// The highest term of the group that the entry knows a leader of, so that the answer
    /// names a leader only where that is news.
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
    /// What came of it.
    pub outcome: Outcome,
    /// The database's own refusal, if that is why the work was not run.
    pub refused: Option<Refusal>,
    /// The entry may go on using the session's floor, which is the position just written, for
    /// this long since it sent the work.
    pub lease: Option<Span>,
    /// What the holder knows of its database, for the entry's next choice.
    pub hint: Hint,
}

/// What an answer tells about its database in passing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Hint {
    /// How far it has applied its log.
    pub position: Position,
    /// Its proven age; `None` if nothing is proven.
    pub age: Option<Span>,
    /// How long newly queued work would wait.
    pub wait: Span,
    /// What short work takes of late once it runs.
    pub run: Span,
    /// The group's leader, where the holder knows of a later one than the entry did.
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

/// An entry's question for a session's floor.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Ask {
    /// Names the answer.
    pub request: RequestId,
    /// The group.
    pub group: GroupId,
    /// The session; absent where only the leader is asked for.
    pub session: Option<SessionId>,
}

/// A lease on a session's floor. It counts from when the question was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Grant {
    /// The question.
    pub request: RequestId,
    /// The group.
    pub group: GroupId,
    /// The floor and how long it may be used; `None` if the VM asked is not the steward or
    /// can't vouch for it now.
    pub floor: Option<Leased>,
    /// Who is the steward, as far as the VM asked knows.
    pub primary: Option<Primary>,
}

/// A floor under lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Leased {
    /// The session's floor in the group; zero if it wrote nothing.
    pub floor: Position,
    /// How long it may be used.
    pub span: Span,
    /// The terms by which the floor is to be read.
    pub lineage: Lineage,
}

/// A lease that is taken back or given up.
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
    /// Counts the steward's probes; the report names it.
    pub round: RequestId,
    /// The leader, as the steward has it.
    pub primary: Primary,
    /// Whether writes are acknowledged just now.
    pub serving: bool,
    /// The primary's log, as last read.
    pub fresh: Option<Fresh>,
    /// The configuration's version at the steward.
    pub version: Version,
}

/// How far the primary's log was, at a time that the holder can place on its own clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Fresh {
    /// The end of the primary's log.
    pub position: Position,
    /// The holder's last report that had reached the steward, by its round.
    pub round: RequestId,
    /// How long before that report's arrival the primary was asked; zero if it was after.
    /// The primary's log was therefore at `position` no earlier than this long before the
    /// holder sent the report.
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
    /// What the database said; `None` if it did not answer.
    pub found: Option<Found>,
    /// The configuration's version at the holder.
    pub version: Version,
}

/// What a probe found: a database's state without its lineage, which grows with each
/// promotion and which a steward needs only when it raises a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Found {
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
    /// Names the answer.
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
    /// What it said; `None` if it did not answer.
    pub result: Option<Result<State, Refusal>>,
}

/// A steward's handover of its group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Yield {
    /// The group.
    pub group: GroupId,
    /// The leader that ends; its steward acknowledges and grants nothing more.
    pub primary: Primary,
}

/// Asks another holder of the group's databases for its evidence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Suspect {
    /// Names the answer.
    pub request: RequestId,
    /// The group.
    pub group: GroupId,
    /// The leader suspected.
    pub primary: Option<Primary>,
}

/// Evidence about a leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Suspected {
    /// The question.
    pub request: RequestId,
    /// The group.
    pub group: GroupId,
    /// Whether the VM asked has heard the steward serve the group lately.
    pub heard: bool,
    /// Whether the VM asked can reach the primary itself; `None` if it did not try.
    pub reached: Option<bool>,
    /// The leader as the VM asked knows it.
    pub primary: Option<Primary>,
}

/// What a VM tells of itself when a stream opens and when its configuration changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Hello {
    /// The process's life.
    pub life: Life,
    /// The configuration's version.
    pub version: Version,
    /// It is stopping: it takes over nothing and gets no new work.
    pub stopping: bool,
}
