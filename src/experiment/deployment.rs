//! The sizes and network delays of a deployment.

use crate::clock::Span;
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// The name is not one of the accepted ones.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("`{given}` is not known: use one of {known}")]
pub struct Unknown {
    /// The given name.
    pub given: Box<str>,
    /// The accepted names.
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

/// The sizes and network delays of a deployment, and its mix of requests.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Number of groups, each spread over all failure domains.
    pub groups: usize,
    /// Number of databases in a group, one in each failure domain.
    pub databases: usize,
    /// Number of statements that a database runs at once.
    pub slots: u32,
    /// Number of connections that a database accepts.
    pub connections: u32,
    /// Number of entries, spread over the failure domains.
    pub entries: usize,
    /// One-way delay between a caller and an entry.
    pub to_caller: Span,
    /// One-way delay between failure domains.
    pub between_domains: Span,
    /// Time to open a connection.
    pub connect: Span,
    /// Share of requests that write, in percent.
    pub writes: u32,
    /// Share of requests that read under a session's floor, in percent; the rest are reads by age.
    pub session_reads: u32,
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Deployment; 2] = [Deployment::Association, Deployment::Permits];

    /// Its sizes. The mixes of requests are assumptions: brokers book and read their lots all day;
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
