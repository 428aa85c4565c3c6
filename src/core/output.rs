//! The outputs of a proxy's core.

use crate::core::database::Command;
use crate::core::message::Message;
use crate::core::request::Outcome;
use crate::types::{Link, Position, VmId};

/// An action that the core requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Answers a caller's request.
    Reply {
        /// The caller's connection.
        link: Link,
        /// The outcome.
        outcome: Outcome,
        /// The session's floor, for the token that the caller receives.
        floor: Option<Position>,
    },
    /// Closes an idle caller's connection and advises it to connect again.
    Dismiss(Link),
    /// Sends a message to another proxy, opening the stream if there is none.
    Send {
        /// The receiver.
        to: VmId,
        /// The message.
        message: Message,
    },
    /// Sends a command to a database.
    Database(Command),
    /// Nothing is left to do, and the process may exit.
    Stopped,
}
