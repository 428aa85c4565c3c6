//! Gauges, set when the scraper reads them.

use super::GroupLabel;
use crate::clock::Span;
use crate::types::GroupId;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The values of the gauges at one moment.
#[derive(Debug, Clone, Default)]
pub struct Levels {
    /// Whether this VM accepts callers.
    pub ready: bool,
    /// Connected callers.
    pub callers: u64,
    /// The version of the configuration in force.
    pub config: u64,
    /// The newest version of the configuration that this VM knows to exist.
    pub config_known: u64,
    /// Calls to the store made for other VMs.
    pub relayed: u64,
    /// Groups on whose primary a lease is held.
    pub leases: u64,
    /// Whether this VM is the steward.
    pub steward: bool,
    /// The fencing token of the steward that this VM follows, or is.
    pub token: u64,
    /// How long ago the last question to that steward was asked that it answered.
    pub heard: Span,
    /// VMs known to be registered.
    pub members: u64,
    /// The age of the newest reading of the register.
    pub register_age: Span,
    /// Who leads, for each group.
    pub leads: Vec<LeadLevel>,
    /// Resident memory in bytes.
    pub resident: u64,
    /// Processor time since the process started, in microseconds.
    pub processor: u64,
    /// Statements that wait before databases.
    pub queued: u64,
    /// How long the statement has waited that has waited longest.
    pub queued_longest: Span,
    /// Log lines dropped because their buffer was full, since the process started.
    pub logs_dropped: u64,
}

/// Who leads one group, as this VM knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeadLevel {
    /// The group.
    pub group: GroupId,
    /// The epoch.
    pub epoch: u64,
    /// The age of the reading from which a lease would be counted.
    pub age: Span,
    /// The remaining time of the lease; zero without one.
    pub lease: Span,
}

/// Selects the value of a gauge.
type Level = fn(&Levels) -> u64;

const LEVELS: [(&str, &str, Level); 16] = [
    ("ready", "Whether callers may come", |l| l.ready.into()),
    ("callers", "Callers connected", |l| l.callers),
    (
        "config_version",
        "Version of the configuration in force",
        |l| l.config,
    ),
    (
        "config_known_version",
        "Newest version of the configuration that this VM knows to be there",
        |l| l.config_known,
    ),
    (
        "store_relayed",
        "Calls of the platform's store made for other VMs",
        |l| l.relayed,
    ),
    ("leases", "Groups on whose primary a lease is held", |l| {
        l.leases
    }),
    ("steward", "Whether this VM is the steward", |l| {
        l.steward.into()
    }),
    (
        "steward_token",
        "Token of the steward that is followed",
        |l| l.token,
    ),
    (
        "steward_heard_milliseconds",
        "How long ago the steward was asked last of what it answered",
        |l| millis(l.heard),
    ),
    ("members", "VMs that are known to be registered", |l| {
        l.members
    }),
    (
        "register_age_milliseconds",
        "Age of the newest reading of the register of databases",
        |l| millis(l.register_age),
    ),
    ("resident_bytes", "Resident memory of this process", |l| {
        l.resident
    }),
    (
        "processor_microseconds",
        "Processor time of this process since its start",
        |l| l.processor,
    ),
    (
        "queue_length",
        "Statements that wait before databases",
        |l| l.queued,
    ),
    (
        "queue_oldest_milliseconds",
        "How long the statement has waited that has waited longest",
        |l| millis(l.queued_longest),
    ),
    (
        "logs_dropped",
        "Log lines that found no room since the start",
        |l| l.logs_dropped,
    ),
];

/// The gauges of one process.
#[derive(Debug, Default)]
pub struct Gauges {
    levels: Vec<(Gauge, Level)>,
    epochs: Family<GroupLabel, Gauge>,
    lead_ages: Family<GroupLabel, Gauge>,
    lease_left: Family<GroupLabel, Gauge>,
}

impl Gauges {
    /// Registers the gauges of the whole process.
    pub fn register(&mut self, registry: &mut Registry) {
        for (name, help, level) in LEVELS {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            self.levels.push((gauge, level));
        }
    }

    /// Registers the gauges of each group.
    pub fn register_leads(&self, registry: &mut Registry) {
        registry.register(
            "lead_epoch",
            "Epoch of a group's primary, as this VM knows it",
            self.epochs.clone(),
        );
        registry.register(
            "lead_age_milliseconds",
            "Age of the reading on which a lease on a group's primary counts",
            self.lead_ages.clone(),
        );
        registry.register(
            "lease_left_milliseconds",
            "How long the lease on a group's primary still lasts; 0 without one",
            self.lease_left.clone(),
        );
    }

    /// Sets all gauges.
    pub fn set(&self, levels: &Levels) {
        for (gauge, level) in &self.levels {
            gauge.set(i64::try_from(level(levels)).unwrap_or(i64::MAX));
        }
        for lead in &levels.leads {
            set_group(&self.epochs, &lead.group, lead.epoch);
            set_group(&self.lead_ages, &lead.group, millis(lead.age));
            set_group(&self.lease_left, &lead.group, millis(lead.lease));
        }
    }
}

fn millis(span: Span) -> u64 {
    span.0 / 1_000
}

fn set_group(gauges: &Family<GroupLabel, Gauge>, group: &GroupId, value: u64) {
    let labels = GroupLabel {
        group: group.into(),
    };
    let value = i64::try_from(value).unwrap_or(i64::MAX);
    gauges.get_or_create(&labels).set(value);
}
