//! Load patterns: streams of requests and faults on virtual time.

use crate::clock::{Span, Time};
use crate::core::request::Class;
use crate::experiment::deployment::{Size, Unknown};
use serde::Serialize;
use std::fmt;
use std::str::FromStr;

/// Mean time of a short statement. Times are exponential, so some take five times that.
pub const SHORT_STATEMENT_TIME: Span = Span::from_millis(4);

/// Mean time of a long statement.
pub const LONG_STATEMENT_TIME: Span = Span::from_millis(800);

/// How long a caller waits for an answer: the configuration's default.
pub const REQUEST_TIMEOUT: Span = Span::from_secs(5);

/// How long a caller of long work waits for an answer.
pub const LONG_REQUEST_TIMEOUT: Span = Span::from_secs(60);

/// The maximum age that aged reads accept.
pub const MAX_AGE: Span = Span::from_secs(5);

/// Number of ordinary callers per group.
const CALLERS: usize = 40;

/// Number of greedy callers per group.
const GREEDY_CALLERS: usize = 2;

/// When a pattern's fault begins and ends.
const FAULT_PERIOD: (Time, Time) = (Time(12_000_000), Time(19_000_000));

/// A load pattern.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Pattern {
    /// Half of the slots' rate, without faults.
    Calm,
    /// Half of the slots' rate, and four times it for a second in every five; refused callers
    /// retry after the time in the refusal.
    Burst,
    /// Two callers per group send four times the slots' rate, beside forty who send 0.3 times it.
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

/// The kinds of request in a stream.
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
    /// The common prefix of its callers' names.
    pub prefix: &'static str,
    /// Number of callers; each request comes from one of them at random.
    pub callers: usize,
    /// The kinds of request.
    pub mix: Mix,
    /// Requests per second.
    pub rate: f64,
    /// The multiple of the rate in the first second of every five.
    pub burst: f64,
}

/// A fault of a database or a failure domain, or the end of one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The last replica of each group runs statements slower by this factor.
    Slow(f64),
    /// The first failure domain is lost.
    Lost,
    /// The first failure domain is back, with cold caches.
    Back,
}

/// The streams and faults of a pattern in a deployment.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The streams of requests.
    pub streams: Vec<Stream>,
    /// The faults and their times.
    pub faults: Vec<(Time, Fault)>,
    /// Whether refused callers retry after the time in the refusal.
    pub retries: bool,
}

/// Builds the plan of `pattern`; `load` multiplies the rate of saturation, `alone` omits the greedy
/// callers or the long work.
pub fn plan(pattern: Pattern, size: &Size, load: f64, alone: bool) -> Plan {
    let slots = size.databases as f64 * f64::from(size.slots);
    let full = slots / seconds(SHORT_STATEMENT_TIME);
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
                rate: slots / seconds(LONG_STATEMENT_TIME),
                ..usual
            });
        }
    }
    Plan {
        streams,
        faults: faults(pattern),
        retries: pattern == Pattern::Burst,
    }
}

fn faults(pattern: Pattern) -> Vec<(Time, Fault)> {
    let (from, to) = FAULT_PERIOD;
    match pattern {
        Pattern::Slow => vec![(from, Fault::Slow(10.0)), (to, Fault::Slow(1.0))],
        Pattern::Domain => vec![(from, Fault::Lost), (to, Fault::Back)],
        _ => Vec::new(),
    }
}

/// Converts a span to seconds.
pub fn seconds(span: Span) -> f64 {
    span.0 as f64 / 1e6
}

/// The key of a row in reports: the class, and the callers' prefix within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// The class.
    pub class: Class,
    /// The common prefix of the callers' names.
    pub prefix: &'static str,
}
