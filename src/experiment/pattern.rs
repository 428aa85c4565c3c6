//! The patterns of load, as streams of requests and faults on virtual time.

use crate::clock::{Span, Time};
use crate::core::request::Class;
use crate::experiment::deployment::{Size, Unknown};
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// What a short statement takes on average. Times are exponential, so some take five times that.
pub const SHORT: Span = Span::from_millis(4);

/// What a long statement takes on average.
pub const LONG: Span = Span::from_millis(800);

/// What a caller waits at the most, the configuration's default.
pub const PATIENCE: Span = Span::from_secs(5);

/// What a caller of long work waits at the most.
pub const LONG_PATIENCE: Span = Span::from_secs(60);

/// The age that aged reads accept.
pub const MAX_AGE: Span = Span::from_secs(5);

/// Ordinary callers of each group.
const CALLERS: usize = 40;

/// Greedy callers of each group.
const GREEDY_CALLERS: usize = 2;

/// The moment when a pattern's trouble begins, and when it ends.
const TROUBLE: (Time, Time) = (Time(12_000_000), Time(19_000_000));

/// A pattern of load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Pattern {
    /// Half of the slots' rate, nothing else.
    Calm,
    /// Half of the slots' rate, and four times it for a second in every five; those who are
    /// turned away come back when they were told to.
    Burst,
    /// Two callers a group ask for four times the slots' rate, beside forty who ask for 0.3.
    Greedy,
    /// One replica of each group is ten times slower for seven seconds.
    Slow,
    /// Long statements that would take all slots, beside short ones.
    Long,
    /// A multiple of the slots' rate.
    Saturation,
    /// A failure domain is lost for seven seconds and returns with cold caches.
    Domain,
}

impl Pattern {
    /// All patterns.
    pub const ALL: [Pattern; 7] = [
        Pattern::Calm,
        Pattern::Burst,
        Pattern::Greedy,
        Pattern::Slow,
        Pattern::Long,
        Pattern::Saturation,
        Pattern::Domain,
    ];
}

impl fmt::Display for Pattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Pattern::Calm => "calm",
            Pattern::Burst => "burst",
            Pattern::Greedy => "greedy",
            Pattern::Slow => "slow",
            Pattern::Long => "long",
            Pattern::Saturation => "saturation",
            Pattern::Domain => "domain",
        })
    }
}

impl FromStr for Pattern {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Unknown> {
        let mut all = Self::ALL.into_iter();
        all.find(|pattern| pattern.to_string() == text)
            .ok_or_else(|| Unknown {
                given: text.into(),
                known: "calm, burst, greedy, slow, long, saturation, domain",
            })
    }
}

/// What the requests of a stream do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// The deployment's mix of writes, session reads and aged reads.
    Usual,
    /// Long reads.
    Long,
}

/// Requests of some callers to one group.
#[derive(Debug, Clone)]
pub struct Stream {
    /// The group.
    pub group: usize,
    /// The part of the names of its callers that they have in common.
    pub prefix: &'static str,
    /// How many callers there are; each request is of one of them at random.
    pub callers: usize,
    /// What they do.
    pub mix: Mix,
    /// Requests a second.
    pub rate: f64,
    /// The multiple of the rate in the first second of every five.
    pub burst: f64,
}

/// A change of a database or a domain.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The last replica of each group runs statements this many times slower.
    Slow(f64),
    /// The first failure domain is lost.
    Lost,
    /// The first failure domain is back, with cold caches.
    Back,
}

/// A pattern as laid out for a deployment.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The streams of requests.
    pub streams: Vec<Stream>,
    /// The faults and their times.
    pub faults: Vec<(Time, Fault)>,
    /// Whether callers who are turned away come back when they were told to.
    pub returns: bool,
}

/// Lays `pattern` out; `load` multiplies the rate of saturation, `alone` leaves out the greedy
/// callers or the long work.
pub fn plan(pattern: Pattern, size: &Size, load: f64, alone: bool) -> Plan {
    let slots = size.databases as f64 * f64::from(size.slots);
    let full = slots / seconds(SHORT);
    let base = match pattern {
        Pattern::Calm | Pattern::Burst | Pattern::Slow | Pattern::Domain => 0.5,
        Pattern::Greedy | Pattern::Long => 0.3,
        Pattern::Saturation => load,
    };
    let mut streams = Vec::new();
    for group in 0..size.groups {
        let usual = Stream {
            group,
            prefix: "caller",
            callers: CALLERS,
            mix: Mix::Usual,
            rate: base * full,
            burst: 1.0,
        };
        streams.push(Stream {
            burst: if pattern == Pattern::Burst { 8.0 } else { 1.0 },
            ..usual.clone()
        });
        if pattern == Pattern::Greedy && !alone {
            streams.push(Stream {
                prefix: "greedy",
                callers: GREEDY_CALLERS,
                rate: 4.0 * full,
                ..usual.clone()
            });
        }
        if pattern == Pattern::Long && !alone {
            streams.push(Stream {
                prefix: "report",
                callers: GREEDY_CALLERS,
                mix: Mix::Long,
                rate: slots / seconds(LONG),
                ..usual
            });
        }
    }
    Plan {
        streams,
        faults: faults(pattern),
        returns: pattern == Pattern::Burst,
    }
}

fn faults(pattern: Pattern) -> Vec<(Time, Fault)> {
    let (from, to) = TROUBLE;
    match pattern {
        Pattern::Slow => vec![(from, Fault::Slow(10.0)), (to, Fault::Slow(1.0))],
        Pattern::Domain => vec![(from, Fault::Lost), (to, Fault::Back)],
        _ => Vec::new(),
    }
}

/// A span in seconds.
pub fn seconds(span: Span) -> f64 {
    span.0 as f64 / 1e6
}

/// What is reported apart: classes, and within them callers that differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// The class.
    pub class: Class,
    /// The common part of the callers' names.
    pub prefix: &'static str,
}
