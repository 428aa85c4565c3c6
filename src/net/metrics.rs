//! The counters and gauges of one process, for a Prometheus scraper.

use crate::core::counters::Counters;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, MetricEncoder, NoLabelSet};
use prometheus_client::metrics::MetricType;
use prometheus_client::registry::Registry;

/// Values that rise and fall.
#[derive(Debug, Clone, Copy, Default)]
pub struct Gauges {
    /// Callers connected.
    pub callers: u64,
    /// Other proxies that this one has a stream to.
    pub peers: u64,
    /// The version of the configuration in force.
    pub version: u64,
    /// Resident memory in bytes.
    pub resident: u64,
    /// Processor time since the process started, in microseconds.
    pub processor: u64,
}

#[derive(Debug)]
struct Snapshot {
    counters: Counters,
    gauges: Gauges,
}

struct Count(u64);

struct Gauge(u64);

impl EncodeMetric for Count {
    fn encode(&self, mut encoder: MetricEncoder<'_>) -> Result<(), std::fmt::Error> {
        encoder.encode_counter::<NoLabelSet, u64, u64>(&self.0, None)
    }

    fn metric_type(&self) -> MetricType {
        MetricType::Counter
    }
}

impl EncodeMetric for Gauge {
    fn encode(&self, mut encoder: MetricEncoder<'_>) -> Result<(), std::fmt::Error> {
        encoder.encode_gauge(&self.0)
    }

    fn metric_type(&self) -> MetricType {
        MetricType::Gauge
    }
}

/// Encodes the counters and gauges in the Prometheus text format.
pub fn text(counters: Counters, gauges: Gauges) -> Box<str> {
    let mut registry = Registry::with_prefix("lentilspoke");
    registry.register_collector(Box::new(Snapshot { counters, gauges }));
    let mut text = String::new();
    // Writing to a String does not fail.
    let _ = encode(&mut text, &registry);
    text.into()
}

impl Collector for Snapshot {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        self.totals(&mut encoder)?;
        self.outcomes(&mut encoder)?;
        self.levels(&mut encoder)
    }
}

impl Snapshot {
    fn totals(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let counters = &self.counters;
        let totals = [
            ("writes", "Writes answered", counters.writes),
            (
                "retries",
                "Retries made under the retry budget",
                counters.retries,
            ),
            (
                "dropped_answers",
                "Answers that nobody waited for any more",
                counters.dropped_answers,
            ),
            (
                "promotions",
                "Terms opened by this process as steward",
                counters.promotions,
            ),
            (
                "promotions_abandoned",
                "Attempts at a new term that were given up",
                counters.promotions_abandoned,
            ),
            (
                "failover_gap_microseconds",
                "Time during which groups led from here took no writes",
                counters.failover_gap_micros,
            ),
            ("probes", "Probes of databases", counters.probes),
            (
                "grants",
                "Leases on session floors granted",
                counters.grants,
            ),
            (
                "grants_refused",
                "Leases on session floors refused",
                counters.grants_refused,
            ),
            (
                "revokes",
                "Leases on session floors taken back",
                counters.revokes,
            ),
            (
                "silent_connections",
                "Database connections closed because they fell silent",
                counters.silent_connections,
            ),
            (
                "rollbacks",
                "Transactions rolled back by closing their connection",
                counters.rollbacks,
            ),
            (
                "control_messages",
                "Control messages sent to other proxies",
                counters.control_messages,
            ),
            (
                "control_bytes",
                "Bytes of control messages sent",
                counters.control_bytes,
            ),
            (
                "nonsense",
                "Messages of peers that made no sense",
                counters.nonsense,
            ),
        ];
        for (name, help, value) in totals {
            let metric = Count(value);
            let family = encoder.encode_descriptor(name, help, None, metric.metric_type())?;
            metric.encode(family)?;
        }
        Ok(())
    }

    fn outcomes(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let counters = &self.counters;
        let reads = [
            ("replica", counters.reads_by_replica),
            ("primary", counters.reads_by_primary),
        ];
        labelled(
            encoder,
            "reads",
            "Reads answered, by the database's role",
            "by",
            &reads,
        )?;
        let causes = &counters.not_run;
        let not_run = [
            ("busy", causes.busy),
            ("no_primary", causes.no_primary),
            ("behind", causes.behind),
            ("expired", causes.expired),
            ("stopping", causes.stopping),
            ("no_pool", causes.no_pool),
            ("refused", causes.refused),
            ("rolled_back", causes.rolled_back),
            ("lost", causes.lost),
        ];
        labelled(
            encoder,
            "not_run",
            "Requests told not run, by cause",
            "cause",
            &not_run,
        )?;
        let causes = &counters.unknown;
        let unknown = [
            ("broken", causes.broken),
            ("unconfirmed", causes.unconfirmed),
            ("unreplicated", causes.unreplicated),
            ("peer_lost", causes.peer_lost),
            ("key_busy", causes.key_busy),
        ];
        labelled(
            encoder,
            "unknown",
            "Requests told outcome unknown, by cause",
            "cause",
            &unknown,
        )
    }

    fn levels(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        let gauges = [
            ("callers", "Callers connected", self.gauges.callers),
            ("peers", "Other proxies with a stream", self.gauges.peers),
            (
                "config_version",
                "Version of the configuration in force",
                self.gauges.version,
            ),
            (
                "resident_bytes",
                "Resident memory of this process",
                self.gauges.resident,
            ),
            (
                "processor_microseconds",
                "Processor time of this process since its start",
                self.gauges.processor,
            ),
        ];
        for (name, help, value) in gauges {
            let metric = Gauge(value);
            let family = encoder.encode_descriptor(name, help, None, metric.metric_type())?;
            metric.encode(family)?;
        }
        Ok(())
    }
}

fn labelled(
    encoder: &mut DescriptorEncoder<'_>,
    name: &str,
    help: &str,
    label: &str,
    values: &[(&str, u64)],
) -> Result<(), std::fmt::Error> {
    let mut family = encoder.encode_descriptor(name, help, None, MetricType::Counter)?;
    for (value, count) in values {
        Count(*count).encode(family.encode_family(&[(label, *value)])?)?;
    }
    Ok(())
}
