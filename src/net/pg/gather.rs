//! Buffers a caller's bytes until a batch is complete.

use super::fault::Fault;
use super::{BATCH_LIMIT, Slot};
use crate::net::frame::{self, Frame, Malformed, kind};
use bytes::BytesMut;
use std::io::{Error, ErrorKind};
use tokio::net::TcpStream;

/// The minimum buffer space for one read, in bytes.
const MIN_RESERVE: usize = 4 * 1024;
/// The maximum buffer space for one read, in bytes. The length that a message states allocates
/// nothing by itself.
const MAX_RESERVE: usize = 64 * 1024;

/// Bytes that are charged for a message in addition to its length. Otherwise a flood of the
/// shortest messages would take twenty times their charged size in memory.
const MESSAGE_COST: usize = 96;

/// Received bytes that are not part of a completed batch yet.
#[derive(Debug, Default)]
pub struct Inbox {
    buffer: BytesMut,
    frames: Vec<Frame>,
    /// The bytes charged for `frames`.
    charged: usize,
}

/// The result of looking for the next batch.
#[derive(Debug)]
pub enum Next {
    /// A complete batch.
    Batch(Vec<Frame>),
    /// The batch is not complete yet.
    More,
    /// The caller sent Terminate.
    Leave,
}

impl Inbox {
    /// The received bytes that are not parsed yet.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// The number of bytes charged for everything buffered.
    pub fn len(&self) -> usize {
        self.buffer.len() + self.charged
    }

    /// Frees the memory if nothing is buffered.
    pub fn release_buffers(&mut self) {
        if self.len() == 0 {
            *self = Self::default();
        }
    }

    /// Removes the next batch, if it is complete.
    pub fn next(&mut self) -> Result<Next, Fault> {
        while let Some(frame) = self.take()? {
            match frame.kind() {
                kind::TERMINATE => return Ok(Next::Leave),
                // The data of a COPY that failed is ignored, as in PostgreSQL.
                kind::COPY_DATA | kind::COPY_DONE | kind::COPY_FAIL => {}
                kind::QUERY if !self.frames.is_empty() => return Err(Malformed::Order.into()),
                kind::QUERY | kind::SYNC | kind::FLUSH => {
                    self.frames.push(frame);
                    self.charged = 0;
                    return Ok(Next::Batch(std::mem::take(&mut self.frames)));
                }
                kind::PARSE | kind::BIND | kind::DESCRIBE | kind::EXECUTE | kind::CLOSE => {
                    self.charged += frame.bytes().len() + MESSAGE_COST;
                    self.frames.push(frame);
                }
                _ => return Err(Malformed::Order.into()),
            }
        }
        Ok(Next::More)
    }

    fn take(&mut self) -> Result<Option<Frame>, Fault> {
        if self.charged > BATCH_LIMIT {
            return Err(Fault::TooLarge);
        }
        match frame::take(&mut self.buffer, BATCH_LIMIT) {
            Err(Malformed::Long(_)) => Err(Fault::TooLarge),
            other => Ok(other?),
        }
    }

    /// Reads available bytes without waiting; false at the end of the stream.
    pub fn read(&mut self, stream: &TcpStream, slot: &Slot) -> Result<bool, Fault> {
        self.buffer
            .reserve(self.buffer.len().clamp(MIN_RESERVE, MAX_RESERVE));
        match stream.try_read_buf(&mut self.buffer) {
            Ok(0) => Ok(false),
            Ok(_) if slot.charge(self.len()) => Ok(true),
            Ok(_) => Err(Fault::Memory),
            Err(error) => Ok(is_transient(&error)),
        }
    }
}

fn is_transient(error: &Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}
