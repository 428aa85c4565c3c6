//! Times and durations. The core reads no clock: its driver passes the time in.

use crate::types::Invalid;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

/// A moment on one process's own monotonic clock, in microseconds since it started.
///
/// Times of two processes are not comparable; only a [`Span`] is sent over the network.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

/// A duration in microseconds, as settings give it. State holds deadlines instead.
///
/// It is text such as `250ms` in files, and a number in messages between proxies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(pub u64);

const MICROS_PER_MILLI: u64 = 1_000;

impl Time {
    /// The time since `earlier`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// A span of zero.
    pub const ZERO: Span = Span(0);

    /// A span of whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * MICROS_PER_MILLI)
    }

    /// A span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self::from_millis(secs * 1_000)
    }

    /// The span `percent` hundredths as long.
    pub fn percent(self, percent: u64) -> Self {
        Self(self.0.saturating_mul(percent) / 100)
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;

    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;

    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Duration {
        Duration::from_micros(span.0)
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Span {
        Span(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(Duration::from(*self)).fmt(f)
    }
}

impl FromStr for Span {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        humantime::parse_duration(text)
            .map(Span::from)
            .map_err(|_| Invalid::Span(text.into()))
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        serializer.serialize_u64(self.0)
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            return deserializer.deserialize_str(SpanText);
        }
        u64::deserialize(deserializer).map(Span)
    }
}

/// Parses a span from text; the error for a bare number names the missing unit.
struct SpanText;

impl Visitor<'_> for SpanText {
    type Value = Span;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a span of time in quotes with its unit, such as \"250ms\" or \"5s\"")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Span, E> {
        text.parse().map_err(E::custom)
    }
}
