//! What a proxy does in answer to an input.

use crate::core::database::Command;
use crate::core::message::Message;
use crate::core::request::Outcome;
use crate::types::{Link, Position, VmId};

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
