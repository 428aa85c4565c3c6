//! The inputs and outputs of one proxy's core.

use crate::config::Accepted;
use crate::core::database::{Command, Event};
use crate::core::member::Member;
use crate::core::message::Message;
use crate::core::request::{Outcome, Request};
use crate::types::{Link, Position, VmId};
use std::sync::Arc;

/// What happens to a proxy.
#[derive(Debug, Clone)]
pub enum Input {
    /// A caller sends a request.
    Submit(Request),
    /// A caller's connection is gone.
    Depart(Link),
    /// A caller asks to cancel what its connection has under way.
    Cancel(Link),
    /// Another proxy's message arrived.
    Message {
        /// The sender.
        from: VmId,
        /// What it says.
        message: Message,
    },
    /// The stream to another proxy is open.
    PeerUp(VmId),
    /// The stream to another proxy broke, or could not be opened.
    PeerDown(VmId),
    /// A database or a connection to it did something.
    Database(Event),
    /// The platform's list of VMs was read.
    Members(Vec<Member>),
    /// A configuration was read or received.
    Accepted(Arc<Accepted>),
    /// The process was asked to stop.
    Stop,
    /// Time has passed.
    Tick,
}

/// What a proxy does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Tells a caller what came of its request.
    Reply {
        /// The caller's connection.
        link: Link,
        /// What came of it.
        outcome: Outcome,
        /// The session's floor, for the token that the caller is shown.
        floor: Option<Position>,
    },
    /// Ends an idle caller's connection, with the advice to connect again.
    Dismiss(Link),
    /// Sends a message to another proxy, opening the stream if there is none.
    Send {
        /// The receiver.
        to: VmId,
        /// What to say.
        message: Message,
    },
    /// Tells a database something.
    Database(Command),
    /// Nothing is left to do: the process may end.
    Stopped,
}
