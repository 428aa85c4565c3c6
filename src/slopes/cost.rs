//! What control costs a fleet's nodes.

use crate::clock::Span;
use std::time::Duration;

/// What a fleet's nodes did in a stretch of time, for each node and second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cost {
    /// Control messages sent, on average.
    pub messages: f64,
    /// Control bytes sent, on average.
    pub bytes: f64,
    /// Control bytes sent by the node that sent most.
    pub most_bytes: f64,
    /// Processor time in microseconds, on average.
    pub micros: f64,
    /// Processor time in microseconds of the busiest node.
    pub most_micros: f64,
    /// Streams to other nodes, on average.
    pub streams: f64,
}

/// What one node has done since it started.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spent {
    pub messages: u64,
    pub bytes: u64,
    pub busy: Duration,
}

impl Cost {
    /// What live nodes spent between two looks at them, `span` apart.
    pub(super) fn of(
        nodes: impl Iterator<Item = (Spent, Spent)>,
        span: Span,
        streams: usize,
    ) -> Self {
        let secs = span.0 as f64 / 1e6;
        let mut cost = Self::default();
        let mut live = 0.0;
        for (before, after) in nodes {
            let bytes = (after.bytes - before.bytes) as f64 / secs;
            let micros = (after.busy - before.busy).as_nanos() as f64 / 1e3 / secs;
            cost.messages += (after.messages - before.messages) as f64 / secs;
            cost.bytes += bytes;
            cost.micros += micros;
            cost.most_bytes = cost.most_bytes.max(bytes);
            cost.most_micros = cost.most_micros.max(micros);
            live += 1.0;
        }
        cost.messages /= live;
        cost.bytes /= live;
        cost.micros /= live;
        cost.streams = streams as f64 / live;
        cost
    }
}
