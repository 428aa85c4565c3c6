//! The deployment that a soak simulates: a named profile, or a file of JSON with comments.

use crate::clock::Span;
use crate::direct::config::Kind;
use crate::direct::table::Era;
use crate::jsonc::{self, Fault};
use crate::standin::direct::setup::{Place, RouteKind, Setup};
use crate::types::Cores;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The names and texts of the built-in profiles.
pub const NAMED: [(&str, &str); 2] = [
    ("association", include_str!("profiles/association.jsonc")),
    ("permits", include_str!("profiles/permits.jsonc")),
];

/// The kinds of route that every profile describes; steady writers use the settings of the first.
const ROUTES: [&str; 3] = ["primary", "bounded", "session"];

/// The prefix of the names of steady writers' routes.
pub const WRITER: &str = "writer";

/// Number of regions with databases; each has one database of each group.
const REGIONS: usize = 3;

/// Approximate duration of a statement, which shortens the pause of its caller.
const ANSWER_TIME: Duration = Duration::from_millis(30);

/// The settings of a kind of route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Relative share of the callers that use it.
    pub share: u32,
    /// Number of single writes in twelve operations.
    pub writes: u64,
    /// The time within which an answer meets the objective.
    pub objective: Span,
    /// The timeout of a statement.
    pub timeout: Span,
    /// The largest age of its reads; not used for routes of the primary.
    #[serde(default)]
    pub age: Span,
}

/// The size, timing and load of a simulated deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Number of VMs.
    pub vms: usize,
    /// Failure domains with their regions, in the order of the file.
    #[serde(with = "ordered")]
    pub places: Vec<(Box<str>, Box<str>)>,
    /// One-way delay between failure domains.
    pub domain_delay: Span,
    /// One-way delay between regions.
    pub region_delay: Span,
    /// Number of groups.
    pub groups: usize,
    /// Number of statements that a database runs at once.
    pub slots: u32,
    /// Largest number of connections of a database.
    pub connections: u32,
    /// Duration of a statement at a database.
    pub work: Span,
    /// The lag of a replica.
    pub lag: Span,
    /// Duration of a promotion.
    pub promotion: Span,
    /// Number of callers.
    pub callers: usize,
    /// Number of additional callers per group that write all the time, so that gaps can be measured.
    pub writers: usize,
    /// Statements per second of all callers but the steady writers.
    pub rate: u32,
    /// Time without faults after which callers must be served.
    pub recovery: Span,
    /// The settings of the kinds of route, by name.
    pub routes: BTreeMap<Box<str>, Route>,
}

impl Profile {
    /// Reads and checks a profile.
    ///
    /// Fails with the place of the error if the text is malformed or a value is not allowed.
    pub fn read(text: &str) -> Result<Self, jsonc::Error> {
        jsonc::read(text, Self::check)
    }

    /// Reads a built-in profile; `None` if there is none of that name.
    pub fn named(name: &str) -> Option<Result<Self, jsonc::Error>> {
        let text = NAMED.iter().find(|(known, _)| *known == name);
        text.map(|(_, text)| Self::read(text))
    }

    /// Checks that a deployment can be set up from it; fails with the wrong key.
    pub fn check(&self) -> Result<(), Fault> {
        let fault = |key: &str, text: &str| Err(Fault::new([key], text));
        if !(1..=999).contains(&self.vms) {
            return fault("vms", "write 1 to 999");
        }
        if !(1..=99).contains(&self.groups) {
            return fault("groups", "write 1 to 99");
        }
        if self.callers == 0 || self.rate == 0 || self.slots == 0 || self.connections == 0 {
            return fault(
                "rate",
                "write at least 1, also for callers, slots and connections",
            );
        }
        if self.places.len() < REGIONS {
            return fault("places", "name three failure domains or more");
        }
        if !ROUTES.iter().all(|name| self.routes.contains_key(*name)) || self.routes.len() != 3 {
            return fault("routes", "describe primary, bounded and session");
        }
        Ok(())
    }

    /// Returns the setup of the simulated deployment.
    pub fn setup(&self) -> Setup {
        let mut regions: Vec<&str> = Vec::new();
        let mut places = Vec::new();
        for (domain, region) in &self.places {
            let known = regions.iter().position(|known| **known == **region);
            let number = known.unwrap_or(regions.len());
            if known.is_none() {
                regions.push(region);
            }
            places.push(Place {
                domain: domain.clone(),
                region: number,
            });
        }
        Setup {
            places,
            route_kinds: self.route_kinds(),
            cores: |_| Cores::default(),
            link: |_| None,
            era: Era::default(),
            vms: self.vms,
            groups: self.groups,
            durable: false,
            slots: self.slots,
            connections: self.connections,
            organisations: None,
            promotion: self.promotion.into(),
            work: self.work.into(),
            lag: self.lag.into(),
            domain_delay: self.domain_delay.into(),
            region_delay: self.region_delay.into(),
        }
    }

    /// Returns the settings of each kind of route and of the steady writers, which have the primary's.
    pub fn route_kinds(&self) -> Vec<RouteKind> {
        let known = ROUTES.iter().filter_map(|name| self.route_kind(name));
        let writer = self.route_kind(ROUTES[0]).map(|route_kind| RouteKind {
            name: WRITER.into(),
            ..route_kind
        });
        known.chain(writer).collect()
    }

    fn route_kind(&self, name: &str) -> Option<RouteKind> {
        let route = self.routes.get(name)?;
        let kind = match name {
            "primary" => Kind::Primary,
            "bounded" => Kind::Bounded(route.age),
            _ => Kind::Session(route.age),
        };
        Some(RouteKind {
            name: name.into(),
            kind,
            timeout: route.timeout,
            objective: route.objective,
        })
    }

    /// Returns the longest pause of a caller with which all callers together reach the rate.
    pub fn pause(&self) -> Duration {
        let cycle = Duration::from_secs(self.callers as u64) / self.rate;
        2 * cycle
            .saturating_sub(ANSWER_TIME)
            .max(Duration::from_millis(1))
    }

    /// Returns kinds of route with their numbers of writes, interleaved by their shares; callers take them
    /// in turn.
    pub fn kinds(&self) -> Vec<(Box<str>, u64)> {
        let mut kinds = Vec::new();
        let all: i64 = self.routes.values().map(|r| i64::from(r.share)).sum();
        let mut owed: BTreeMap<&str, i64> = BTreeMap::new();
        for _ in 0..all.max(1) {
            for (name, route) in &self.routes {
                *owed.entry(name).or_default() += i64::from(route.share);
            }
            let next = owed.iter().max_by_key(|(_, owed)| **owed);
            let Some(name) = next.map(|(name, _)| *name) else {
                break;
            };
            if let Some(owed) = owed.get_mut(name) {
                *owed -= all;
            }
            kinds.push((name.into(), self.routes[name].writes));
        }
        kinds
    }
}

/// Serialises pairs as an object and keeps the order of its keys.
mod ordered {
    use serde::de::{MapAccess, Visitor};
    use serde::{Deserializer, Serializer};
    use std::fmt;

    type Pairs = Vec<(Box<str>, Box<str>)>;

    pub fn serialize<S: Serializer>(pairs: &Pairs, to: S) -> Result<S::Ok, S::Error> {
        to.collect_map(pairs.iter().map(|(key, value)| (key, value)))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Pairs, D::Error> {
        from.deserialize_map(Read)
    }

    struct Read;

    impl<'de> Visitor<'de> for Read {
        type Value = Pairs;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("failure domains with their regions")
        }

        fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Pairs, A::Error> {
            let mut pairs = Pairs::new();
            while let Some(pair) = map.next_entry()? {
                pairs.push(pair);
            }
            Ok(pairs)
        }
    }
}
