//! The shape of a soak's world: a named deployment, or a file of JSON with comments.

use crate::clock::Span;
use crate::direct::config::Kind;
use crate::direct::table::Era;
use crate::jsonc::{self, Fault};
use crate::standin::direct::setup::{Place, RouteKind, Setup};
use crate::types::Cores;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The named profiles.
pub const NAMED: [(&str, &str); 2] = [
    ("association", include_str!("profiles/association.jsonc")),
    ("permits", include_str!("profiles/permits.jsonc")),
];

/// The kinds of route that there have to be, the one that goes first before the others.
const ROUTES: [&str; 3] = ["primary", "bounded", "session"];

/// What the routes of steady writers begin with.
pub const WRITER: &str = "writer";

/// How many regions have databases: one database of each group each.
const REGIONS: usize = 3;

/// About how long a statement takes, which its caller does not pause.
const ANSWER: Duration = Duration::from_millis(30);

/// A kind of route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// How many of all callers name it.
    pub share: u32,
    /// Of twelve operations, how many are single writes.
    pub writes: u64,
    /// Within what an answer is worth most.
    pub objective: Span,
    /// How long a statement may take.
    pub timeout: Span,
    /// How old its reads may be; none for those of the primary.
    #[serde(default)]
    pub age: Span,
}

/// A world's shape.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// VMs.
    pub vms: usize,
    /// Failure domains with their regions, in order.
    #[serde(with = "ordered")]
    pub places: Vec<(Box<str>, Box<str>)>,
    /// One way between failure domains.
    pub domain_delay: Span,
    /// One way between regions.
    pub region_delay: Span,
    /// Groups.
    pub groups: usize,
    /// Statements that run at once on a database.
    pub slots: u32,
    /// Connections that a database takes.
    pub connections: u32,
    /// How long a statement takes at a database.
    pub work: Span,
    /// How far readers of a replica are behind.
    pub lag: Span,
    /// How long a promotion takes.
    pub promotion: Span,
    /// Callers.
    pub callers: usize,
    /// Callers of each group beside those, which write all the time so that gaps show.
    pub writers: usize,
    /// Statements a second of all callers but the writers.
    pub rate: u32,
    /// After how long without faults callers have to be served.
    pub recovery: Span,
    /// The kinds of route.
    pub routes: BTreeMap<Box<str>, Route>,
}

impl Profile {
    /// Reads a profile's text.
    pub fn read(text: &str) -> Result<Self, jsonc::Error> {
        jsonc::read(text, Self::check)
    }

    /// A named one.
    pub fn named(name: &str) -> Option<Result<Self, jsonc::Error>> {
        let text = NAMED.iter().find(|(known, _)| *known == name);
        text.map(|(_, text)| Self::read(text))
    }

    /// Whether a world can be made of it.
    pub fn check(&self) -> Result<(), Fault> {
        let wrong = |key: &str, text: &str| Err(Fault::new([key], text));
        if !(1..=999).contains(&self.vms) {
            return wrong("vms", "write 1 to 999");
        }
        if !(1..=99).contains(&self.groups) {
            return wrong("groups", "write 1 to 99");
        }
        if self.callers == 0 || self.rate == 0 || self.slots == 0 || self.connections == 0 {
            return wrong(
                "rate",
                "write at least 1, also for callers, slots and connections",
            );
        }
        if self.places.len() < REGIONS {
            return wrong("places", "name three failure domains or more");
        }
        if !ROUTES.iter().all(|name| self.routes.contains_key(*name)) || self.routes.len() != 3 {
            return wrong("routes", "describe primary, bounded and session");
        }
        Ok(())
    }

    /// What the world is made of.
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
            route_kinds: self.manners(),
            cores: |_| Cores::default(),
            link: |_| None,
            era: Era::default(),
            vms: self.vms,
            groups: self.groups,
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

    /// How each kind of route serves, and that of the steady writers, like the primary's.
    pub fn manners(&self) -> Vec<RouteKind> {
        let known = ROUTES.iter().filter_map(|name| self.manner(name));
        let writer = self.manner(ROUTES[0]).map(|manner| RouteKind {
            name: WRITER.into(),
            ..manner
        });
        known.chain(writer).collect()
    }

    fn manner(&self, name: &str) -> Option<RouteKind> {
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

    /// How long a caller pauses at most, so that all together come to the rate.
    pub fn pause(&self) -> Duration {
        let cycle = Duration::from_secs(self.callers as u64) / self.rate;
        2 * cycle.saturating_sub(ANSWER).max(Duration::from_millis(1))
    }

    /// The kind of route that each caller names, in turns by their shares.
    pub fn kinds(&self) -> Vec<(Box<str>, u64)> {
        let mut kinds = Vec::new();
        let all: i64 = self.routes.values().map(|r| i64::from(r.share)).sum();
        let mut owed: BTreeMap<&str, i64> = BTreeMap::new();
        for _ in 0..all.max(1) {
            for (name, route) in &self.routes {
                *owed.entry(name).or_default() += i64::from(route.share);
            }
            let most = owed.iter().max_by_key(|(_, owed)| **owed);
            let Some(name) = most.map(|(name, _)| *name) else {
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

/// An object whose keys keep their order.
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
