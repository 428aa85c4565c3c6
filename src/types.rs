//! Identifiers, log positions and sizes used by all parts of the proxy.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Why a text is not a valid value of one of these types.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Invalid {
    /// The text is empty or too long for an identifier.
    #[error("`{0}` is not a name: use 1 to 63 letters, digits, `-`, `_` or `.`")]
    Name(Box<str>),
    /// The text is not a whole number.
    #[error("`{0}` is not a whole number")]
    Number(Box<str>),
    /// The text is not a log position.
    #[error("`{0}` is not a log position: write it as TERM/OFFSET, such as 3/128")]
    Position(Box<str>),
    /// The text is not a number of cores.
    #[error("`{0}` is not a number of cores: write one such as 0.25, from 0 to 65536")]
    Cores(Box<str>),
    /// The text is not a span of time.
    #[error("`{0}` is not a span of time: write a number and a unit, such as 250ms or 5s")]
    Span(Box<str>),
}

const NAME_LIMIT: usize = 63;

fn check_name(text: &str) -> Result<Box<str>, Invalid> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if text.is_empty() || text.len() > NAME_LIMIT || !text.chars().all(is_allowed) {
        return Err(Invalid::Name(text.chars().take(NAME_LIMIT).collect()));
    }
    Ok(text.into())
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Box<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Invalid;

            fn from_str(text: &str) -> Result<Self, Invalid> {
                check_name(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = Invalid;

            fn try_from(text: String) -> Result<Self, Invalid> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.into()
            }
        }
    };
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The value that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = Invalid;

            fn from_str(text: &str) -> Result<Self, Invalid> {
                text.parse().map(Self).map_err(|_| Invalid::Number(text.into()))
            }
        }
    };
}

name!(
    /// The name of a VM, which runs one proxy, in the platform's list.
    VmId
);
name!(
    /// A failure domain.
    Domain
);
name!(
    /// A group of databases that replicate one log; callers name it as their database.
    GroupId
);
name!(
    /// One database of a group.
    DatabaseId
);
name!(
    /// A connection pool: the rules under which some callers use some groups.
    PoolId
);
name!(
    /// A caller, identified by the user name of its connection.
    CallerId
);
name!(
    /// An organisation, whose callers share an allowance.
    OrganisationId
);
name!(
    /// A session, which may move between proxies and be open on several at once.
    SessionId
);
name!(
    /// A key that a caller sends with a write so that it can ask for the outcome later.
    RequestKey
);

number!(
    /// When a database started, as it reports itself, in milliseconds of Unix time. It distinguishes
    /// the lives of databases with the same id.
    Birth
);
number!(
    /// A group's ballot number: it only increases, and belongs to the one steward that raised it.
    Term
);
number!(
    /// An index in a group's log, counted in entries. Comparable only within one lineage.
    Offset
);
number!(
    /// The version of the configuration; 0 before the first one.
    Version
);
number!(
    /// The random id of an operator's attempt to apply a document. If the answer is lost, the id
    /// shows whether the attempt succeeded.
    ApplyId
);
number!(
    /// One caller's connection to this proxy.
    Link
);
number!(
    /// One request between two proxies, unique within the sender's life.
    RequestId
);
number!(
    /// One connection from this proxy to a database.
    ConnId
);
number!(
    /// One life (incarnation) of a VM's process: a random number drawn at its start, so that a
    /// restarted process is not mistaken for its predecessor.
    Life
);

/// A log position: the term that wrote the entry, and its offset.
///
/// The derived order is the order of promotion (term first). This order alone does not show whether
/// a replica holds a position; its lineage does.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The term in which the entry was written.
    pub term: Term,
    /// How many entries the log holds up to and with this one.
    pub offset: Offset,
}

impl Position {
    /// A position that no log reaches.
    pub const MAX: Self = Self {
        term: Term(u64::MAX),
        offset: Offset(u64::MAX),
    };

    /// The position of entry `offset` written in `term`.
    pub fn new(term: Term, offset: Offset) -> Self {
        Self { term, offset }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.offset)
    }
}

impl FromStr for Position {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let invalid = || Invalid::Position(text.into());
        let (term, offset) = text.split_once('/').ok_or_else(invalid)?;
        Ok(Self::new(
            term.parse().map_err(|_| invalid())?,
            offset.parse().map_err(|_| invalid())?,
        ))
    }
}

/// The processor cores of a VM, in thousandths of a core; 0 if it is not known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Cores(u32);

impl Cores {
    /// The value of `thousandths` of a core.
    pub const fn from_thousandths(thousandths: u32) -> Self {
        Self(thousandths)
    }

    /// The number of thousandths of a core.
    pub const fn thousandths(self) -> u32 {
        self.0
    }
}

impl TryFrom<f64> for Cores {
    type Error = Invalid;

    fn try_from(cores: f64) -> Result<Self, Invalid> {
        /// More cores than any machine has.
        const MAX_CORES: f64 = 65_536.0;
        if !(0.0..=MAX_CORES).contains(&cores) {
            return Err(Invalid::Cores(cores.to_string().into()));
        }
        Ok(Self((cores * 1e3).round() as u32))
    }
}

impl From<Cores> for f64 {
    fn from(cores: Cores) -> f64 {
        f64::from(cores.0) / 1e3
    }
}

impl fmt::Display for Cores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f64::from(*self).fmt(f)
    }
}

impl FromStr for Cores {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let cores = text.parse::<f64>();
        let cores = cores.map_err(|_| Invalid::Cores(text.into()))?;
        Self::try_from(cores)
    }
}
