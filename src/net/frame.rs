//! Framing of PostgreSQL protocol messages, and access to their fields.
//!
//! The decoders of `pgwire` index without checking lengths and would abort the process on a
//! malformed message. So received bytes are parsed here, with every length checked; `pgwire` is
//! used for encoding and for the names of the message types.

pub mod kind;

use bytes::{Bytes, BytesMut};
use pgwire::messages::Message;

/// Why bytes are not a valid message of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// The stated length is impossible.
    #[error("a message of impossible length: check that the peer speaks PostgreSQL's protocol")]
    Length,
    /// The stated length is above the limit.
    #[error("a message of {0} bytes: send at most 4 MiB at once")]
    Long(usize),
    /// A field is missing, too short, or not UTF-8.
    #[error("a message with a malformed field: check that the peer speaks PostgreSQL's protocol")]
    Field,
    /// A message of a type that is not allowed at this point.
    #[error("a message out of place: check that the peer speaks PostgreSQL's protocol")]
    Order,
}

/// The length of a message's type byte and length field together, in bytes.
pub const HEADER: usize = 5;
const LENGTH_FIELD: usize = 4;

/// A whole message, header included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    bytes: Bytes,
}

impl Frame {
    /// The type byte.
    pub fn kind(&self) -> u8 {
        self.bytes.first().copied().unwrap_or_default()
    }

    /// The whole message.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// The fields.
    pub fn fields(&self) -> Fields<'_> {
        Fields(self.bytes.get(HEADER..).unwrap_or_default())
    }
}

/// The length in bytes of the message at the start of `bytes`, header included; `None` if the
/// header has not arrived whole.
pub fn length(bytes: &[u8], limit: usize) -> Result<Option<usize>, Malformed> {
    let Some(field) = bytes.get(1..).and_then(<[u8]>::first_chunk::<LENGTH_FIELD>) else {
        return Ok(None);
    };
    let stated = u32::from_be_bytes(*field) as usize;
    if stated < LENGTH_FIELD || stated > i32::MAX as usize {
        return Err(Malformed::Length);
    }
    if stated > limit {
        return Err(Malformed::Long(stated));
    }
    Ok(Some(stated + 1))
}

/// Removes the first message from `buffer`; `None` if it has not arrived whole.
pub fn take(buffer: &mut BytesMut, limit: usize) -> Result<Option<Frame>, Malformed> {
    match length(buffer, limit)? {
        Some(length) if buffer.len() >= length => Ok(Some(Frame {
            bytes: buffer.split_to(length).freeze(),
        })),
        _ => Ok(None),
    }
}

/// Splits a whole batch or answer into its messages.
pub fn split(mut bytes: Bytes) -> Result<Vec<Frame>, Malformed> {
    let mut frames = Vec::new();
    while !bytes.is_empty() {
        let length = length(&bytes, bytes.len())?.ok_or(Malformed::Length)?;
        if length > bytes.len() {
            return Err(Malformed::Length);
        }
        frames.push(Frame {
            bytes: bytes.split_to(length),
        });
    }
    Ok(frames)
}

/// The fields of a message, read from the front.
#[derive(Debug, Clone, Copy)]
pub struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    /// A UTF-8 text that ends in a zero byte.
    pub fn text(&mut self) -> Result<&'a str, Malformed> {
        let end = self.0.iter().position(|byte| *byte == 0);
        let end = end.ok_or(Malformed::Field)?;
        let text = std::str::from_utf8(&self.0[..end]).map_err(|_| Malformed::Field)?;
        self.0 = &self.0[end + 1..];
        Ok(text)
    }

    /// One byte.
    pub fn byte(&mut self) -> Result<u8, Malformed> {
        let (byte, rest) = self.0.split_first().ok_or(Malformed::Field)?;
        self.0 = rest;
        Ok(*byte)
    }

    /// A two-byte unsigned number.
    pub fn short(&mut self) -> Result<u16, Malformed> {
        let (bytes, rest) = self.0.split_first_chunk().ok_or(Malformed::Field)?;
        self.0 = rest;
        Ok(u16::from_be_bytes(*bytes))
    }

    /// A four-byte unsigned number.
    pub fn long(&mut self) -> Result<u32, Malformed> {
        let (bytes, rest) = self.0.split_first_chunk().ok_or(Malformed::Field)?;
        self.0 = rest;
        Ok(u32::from_be_bytes(*bytes))
    }

    /// A value of a row; `None` for NULL.
    pub fn value(&mut self) -> Result<Option<&'a [u8]>, Malformed> {
        let length = self.long()?;
        if length == u32::MAX {
            return Ok(None);
        }
        let (value, rest) = self
            .0
            .split_at_checked(length as usize)
            .ok_or(Malformed::Field)?;
        self.0 = rest;
        Ok(Some(value))
    }
}

/// Appends a message, or nothing if it can't be encoded.
pub fn put(out: &mut BytesMut, message: &impl Message) {
    let start = out.len();
    if message.encode(out).is_err() {
        out.truncate(start);
    }
}

/// A message as bytes.
pub fn encode(message: &impl Message) -> Bytes {
    let mut out = BytesMut::new();
    put(&mut out, message);
    out.freeze()
}

/// Appends a message with the type byte `kind` and the concatenated `parts` as its fields.
pub fn put_raw(out: &mut BytesMut, kind: u8, parts: &[&[u8]]) {
    let length: usize = parts.iter().map(|part| part.len()).sum();
    let stated = u32::try_from(length + LENGTH_FIELD).unwrap_or(u32::MAX);
    out.extend_from_slice(&[kind]);
    out.extend_from_slice(&stated.to_be_bytes());
    for part in parts {
        out.extend_from_slice(part);
    }
}
