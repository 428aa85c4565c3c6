//! The form in which a document is stored and sent: compressed JSON.

use super::Accepted;
use crate::jsonc;
use bytes::Bytes;
use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use std::io::{Read, Write};

/// The largest accepted document, unpacked, in bytes: about 60 times one of 1,200 databases.
pub const SIZE_LIMIT: u64 = 16 << 20;

/// Why stored bytes are not a document.
#[derive(Debug, thiserror::Error)]
pub enum Damaged {
    /// The bytes can't be unpacked.
    #[error("the configuration can't be unpacked ({0}): apply it again")]
    Packing(std::io::Error),
    /// The unpacked text is not a valid document.
    #[error("the configuration is not valid here ({0}): run the same version on all VMs")]
    Document(jsonc::Error),
}

impl Accepted {
    /// The packed form.
    pub fn pack(&self) -> Bytes {
        let json = serde_json::to_vec(self).unwrap_or_default();
        let mut encoder = GzEncoder::new(Vec::new(), Compression::default());
        // Writing to memory does not fail.
        let _ = encoder.write_all(&json);
        encoder.finish().unwrap_or_default().into()
    }

    /// Parses the packed form, with the same checks as for a document from an operator.
    pub fn unpack(bytes: &[u8]) -> Result<Self, Damaged> {
        let mut json = String::new();
        GzDecoder::new(bytes)
            .take(SIZE_LIMIT)
            .read_to_string(&mut json)
            .map_err(Damaged::Packing)?;
        let check = |accepted: &Accepted| accepted.document.check();
        jsonc::read(&json, check).map_err(Damaged::Document)
    }
}
