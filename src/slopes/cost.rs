//! The cost of the control protocol for a fleet's nodes.

use crate::clock::Span;
use std::time::Duration;

/// Work of a fleet's nodes during a span, per node and second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cost {
    /// Control messages sent, on average.
    pub messages: f64,
    /// Control bytes sent, on average.
    pub bytes: f64,
    /// Control bytes sent by the node that sent the most.
    pub most_bytes: f64,
    /// Processor time in microseconds, on average.
    pub micros: f64,
    /// Processor time in microseconds of the busiest node.
    pub most_micros: f64,
    /// Streams to other nodes, on average.
    pub streams: f64,
}

/// Totals of one node since it started.
#[derive(Debug, Clone, Copy)]
pub(super) struct Usage {
    pub messages: u64,
    pub bytes: u64,
    pub busy: Duration,
}

impl Cost {
    /// The cost for live nodes between two samples of their totals, `span` apart.
    pub(super) fn of(
        nodes: impl Iterator<Item = (Usage, Usage)>,
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
