//! A caller's bytes as they arrive, until a batch is whole.

use super::fault::Fault;
use super::{BATCH_LIMIT, Place};
use crate::net::frame::{self, Frame, Malformed, kind};
use bytes::BytesMut;
use std::io::{Error, ErrorKind};
use tokio::net::TcpStream;

/// How much is read at least, in bytes.
const READ: usize = 4 * 1024;
/// How much room is made at most beyond what has arrived: a stated length alone gets no memory.
const GROWTH: usize = 64 * 1024;

/// What is charged for a message beside its bytes: a flood of the shortest ones would otherwise
/// take twenty times their size in memory.
const MESSAGE_COST: usize = 96;

/// Bytes that have arrived and are not yet answered.
#[derive(Debug, Default)]
pub struct Inbox {
    buffer: BytesMut,
    frames: Vec<Frame>,
    /// What is charged for `frames`, in bytes.
    held: usize,
}

/// What a caller wants next.
#[derive(Debug)]
pub enum Next {
    /// A batch is whole.
    Batch(Vec<Frame>),
    /// More has to arrive.
    More,
    /// The caller ends the connection.
    Leave,
}

impl Inbox {
    /// What has arrived and belongs to no batch yet.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// How many bytes are held.
    pub fn len(&self) -> usize {
        self.buffer.len() + self.held
    }

    /// Gives up the memory, if nothing is held.
    pub fn rest(&mut self) {
        if self.len() == 0 {
            *self = Self::default();
        }
    }

    /// Takes the next batch, if it is whole.
    pub fn next(&mut self) -> Result<Next, Fault> {
        while let Some(frame) = self.take()? {
            match frame.kind() {
                kind::TERMINATE => return Ok(Next::Leave),
                // What a caller sends of a COPY that failed is ignored, as in PostgreSQL.
                kind::COPY_DATA | kind::COPY_DONE | kind::COPY_FAIL => {}
                kind::QUERY if !self.frames.is_empty() => return Err(Malformed::Order.into()),
                kind::QUERY | kind::SYNC | kind::FLUSH => {
                    self.frames.push(frame);
                    self.held = 0;
                    return Ok(Next::Batch(std::mem::take(&mut self.frames)));
                }
                kind::PARSE | kind::BIND | kind::DESCRIBE | kind::EXECUTE | kind::CLOSE => {
                    self.held += frame.bytes().len() + MESSAGE_COST;
                    self.frames.push(frame);
                }
                _ => return Err(Malformed::Order.into()),
            }
        }
        Ok(Next::More)
    }

    fn take(&mut self) -> Result<Option<Frame>, Fault> {
        if self.held > BATCH_LIMIT {
            return Err(Fault::TooLarge);
        }
        match frame::take(&mut self.buffer, BATCH_LIMIT) {
            Err(Malformed::Long(_)) => Err(Fault::TooLarge),
            other => Ok(other?),
        }
    }

    /// Reads what is there, without waiting; false at the end of the stream.
    pub fn read(&mut self, stream: &TcpStream, place: &Place) -> Result<bool, Fault> {
        self.buffer.reserve(self.buffer.len().clamp(READ, GROWTH));
        match stream.try_read_buf(&mut self.buffer) {
            Ok(0) => Ok(false),
            Ok(_) if place.charge(self.len()) => Ok(true),
            Ok(_) => Err(Fault::Memory),
            Err(error) => Ok(passing(&error)),
        }
    }
}

fn passing(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}
