//! The sizes and places of a deployment.

use crate::clock::Span;
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// A text names none of the known things.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("`{given}` is not known: use one of {known}")]
pub struct Unknown {
    /// What was given.
    pub given: Box<str>,
    /// What may be given.
    pub known: &'static str,
}

/// A deployment whose sizes an experiment uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// The traders' association.
    Association,
    /// The permit desk.
    Permits,
}

/// What a deployment consists of.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Groups, each over all failure domains.
    pub groups: usize,
    /// Databases of a group, one in each failure domain.
    pub databases: usize,
    /// Statements that a database runs at once.
    pub slots: u32,
    /// Connections that a database accepts.
    pub connections: u32,
    /// Entries, spread over the failure domains.
    pub entries: usize,
    /// One way between a caller and an entry.
    pub to_caller: Span,
    /// One way between failure domains.
    pub between_domains: Span,
    /// What opening a connection takes.
    pub connect: Span,
    /// Of a hundred requests, how many write.
    pub writes: u32,
    /// Of a hundred requests, how many read under a session's floor; the rest reads by age.
    pub session_reads: u32,
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Deployment; 2] = [Deployment::Association, Deployment::Permits];

    /// Its sizes. Mixes of requests are assumptions: brokers book and read their lots all day;
    /// status checks by phone are most of the permit desk's load.
    pub fn size(self) -> Size {
        let association = Size {
            groups: 3,
            databases: 3,
            slots: 3,
            connections: 25,
            entries: 8,
            to_caller: Span::from_millis(1),
            between_domains: Span(500),
            connect: Span::from_millis(10),
            writes: 20,
            session_reads: 50,
        };
        match self {
            Deployment::Association => association,
            Deployment::Permits => Size {
                slots: 2,
                connections: 30,
                to_caller: Span::from_millis(3),
                writes: 10,
                session_reads: 20,
                ..association
            },
        }
    }
}

impl fmt::Display for Deployment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Deployment::Association => "association",
            Deployment::Permits => "permits",
        })
    }
}

impl FromStr for Deployment {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Unknown> {
        let mut all = Self::ALL.into_iter();
        all.find(|deployment| deployment.to_string() == text)
            .ok_or_else(|| Unknown {
                given: text.into(),
                known: "association, permits",
            })
    }
}
