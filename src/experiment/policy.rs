//! The policies that an experiment compares.

use crate::core::retry::Budget;
use crate::core::{gate, pool, route};
use crate::experiment::deployment::{Size, Unknown};
use crate::experiment::holder;
use std::str::FromStr;

/// The policy of each decision.
#[derive(Debug, Clone)]
pub struct Policy {
    /// The name in reports.
    pub name: Box<str>,
    /// Queueing and limits on running statements.
    pub gate: gate::Policy,
    /// Choice of database.
    pub route: route::Policy,
    /// Connections.
    pub pool: pool::Policy,
    /// Retries.
    pub budget: Budget,
    /// Whether a session's reads go to the primary for [`crate::experiment::engine::STICKY_PERIOD`]
    /// after its write, rather than to any database that has the write.
    pub sticky: bool,
}

impl Policy {
    /// The proxy's own policy, with all rules.
    pub fn full(size: &Size) -> Self {
        Self {
            name: "full".into(),
            gate: gate::Policy::full(),
            route: route::Policy::full(),
            pool: holder::full_pool(size),
            budget: Budget::default(),
            sticky: false,
        }
    }

    /// First come first served, limited only by connections, with round robin and time-based stickiness.
    pub fn naive() -> Self {
        Self {
            name: "naive".into(),
            gate: gate::Policy::naive(),
            route: route::Policy::naive(),
            pool: pool::Policy::naive(),
            budget: Budget::naive(),
            sticky: true,
        }
    }
}

/// A rule that a run can omit to measure its effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Admission by expected wait.
    Bounded,
    /// Shorter queues under a lasting overload.
    Short,
    /// Fair shares and classes.
    Fair,
    /// Slots reserved from long work.
    Reserve,
    /// The adaptive limit.
    Adaptive,
    /// Routing by the state of replicas.
    Informed,
    /// Gradual shifts of load between databases.
    Ramped,
    /// Spilling reads to the primary.
    Spills,
    /// Spare connections.
    Spare,
    /// The retry budget.
    Budget,
}

const RULES: [(&str, Rule); 10] = [
    ("bounded", Rule::Bounded),
    ("short", Rule::Short),
    ("fair", Rule::Fair),
    ("reserve", Rule::Reserve),
    ("adaptive", Rule::Adaptive),
    ("informed", Rule::Informed),
    ("ramped", Rule::Ramped),
    ("spills", Rule::Spills),
    ("spare", Rule::Spare),
    ("budget", Rule::Budget),
];

impl FromStr for Rule {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Unknown> {
        let known = RULES.iter().find(|(name, _)| *name == text);
        known.map(|(_, rule)| *rule).ok_or_else(|| Unknown {
            given: text.into(),
            known: "bounded, short, fair, reserve, adaptive, informed, ramped, spills, spare, \
                    budget",
        })
    }
}

impl Policy {
    /// This policy without `rule`.
    pub fn without(mut self, rule: Rule) -> Self {
        match rule {
            Rule::Bounded => self.gate.bounded = false,
            Rule::Short => self.gate.short = false,
            Rule::Fair => self.gate.fair = false,
            Rule::Reserve => self.gate.reserve = false,
            Rule::Adaptive => self.gate.adaptive = false,
            Rule::Informed => self.route.informed = false,
            Rule::Ramped => self.route.ramped = false,
            Rule::Spills => self.route.spills = false,
            Rule::Spare => self.pool = pool::Policy::naive(),
            Rule::Budget => self.budget = Budget::naive(),
        }
        self.name = format!("{} without {rule:?}", self.name)
            .to_lowercase()
            .into();
        self
    }
}
