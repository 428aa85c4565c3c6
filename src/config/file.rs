//! The file that operators write: a document, and the version that it was based on.

use super::{Accepted, Document, Group, Pool, Timing};
use crate::jsonc;
use crate::types::{GroupId, PoolId, Version};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::str::FromStr;

/// A configuration file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The version that was in force when the file was written; 0 before the first one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Version>,
    /// As in the document.
    pub groups: BTreeMap<GroupId, Group>,
    /// As in the document.
    pub pools: BTreeMap<PoolId, Pool>,
    /// As in the document.
    #[serde(default)]
    pub timing: Timing,
}

impl File {
    /// The document in the file.
    pub fn into_document(self) -> Document {
        Document {
            groups: self.groups,
            pools: self.pools,
            timing: self.timing,
        }
    }
}

impl From<Accepted> for File {
    /// The configuration in force, as a file to edit and apply.
    fn from(accepted: Accepted) -> Self {
        Self {
            base: Some(accepted.version),
            groups: accepted.document.groups,
            pools: accepted.document.pools,
            timing: accepted.document.timing,
        }
    }
}

impl FromStr for File {
    type Err = jsonc::Error;

    fn from_str(text: &str) -> Result<Self, jsonc::Error> {
        jsonc::read(text, |file: &File| file.clone().into_document().check())
    }
}
