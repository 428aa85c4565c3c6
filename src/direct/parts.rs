//! Transfers a configuration between VMs: only the entries that differ from the receiver's, in parts of
//! bounded length.
//!
//! If a configuration of thousands of routes were sent to VMs with small links in one answer, the answer
//! would time out, and each retry would fill the same link again. A part is as short as any other answer, and
//! parts that have arrived are not sent again while the version stays the same.

use crate::clock::Span;
use crate::direct::config::{Config, Group, Route};
use crate::direct::history::History;
use crate::direct::identity::{Allowance, Key, Organisations};
use crate::types::{GroupId, OrganisationId, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Identifies an entry of a configuration. Parts are sent in this order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Name {
    /// A group.
    Group(GroupId),
    /// An organisation's allowance.
    Allowance(OrganisationId),
    /// A key.
    Key(Key),
    /// A route.
    Route(Box<str>),
}

/// The value of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// A group's limits.
    Group(Group),
    /// An organisation's allowance.
    Allowance(Allowance),
    /// The organisation that holds a key.
    Holder(OrganisationId),
    /// The route that callers of a name use.
    Route(Route),
}

/// An entry; `None` if it was removed.
pub type Entry = (Name, Option<Value>);

/// How much of a newer configuration a VM has received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gathered {
    /// The newer configuration's version.
    pub version: Version,
    /// The version that the entries change; `None` if they are a complete configuration.
    pub from: Option<Version>,
    /// The last entry that it has received.
    pub last: Name,
}

/// Some of the entries of a configuration, or of its differences from another version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The configuration's version.
    pub version: Version,
    /// The version that the entries change; `None` if they are a complete configuration.
    pub from: Option<Version>,
    /// The last entry of the previous part; `None` for the first part.
    pub after: Option<Name>,
    /// The entries, in order.
    pub entries: Vec<Entry>,
    /// Whether more parts follow.
    pub more: bool,
    /// How long a transaction may stay idle.
    pub idle: Span,
    /// Whether callers need a key.
    pub keyed: bool,
}

/// The length limit of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// All remaining entries, if they are no more than this many; otherwise no part.
    Rest(usize),
    /// Up to this many of the remaining entries.
    Portion(usize),
}

/// The recent changes to the configuration.
#[derive(Debug, Default)]
pub struct Changes(History<Name>);

impl Changes {
    /// Records the replacement of a configuration by another.
    pub fn note(&mut self, before: &Config, after: &Config) {
        let names: BTreeSet<Name> = names(before).chain(names(after)).collect();
        let changed = names.into_iter();
        let changed = changed.filter(|name| value(before, name) != value(after, name));
        self.0.note(before.version.0, changed.collect());
    }

    /// The next part for a VM that has version `known` in force and has `gathered` of a newer one; `None` if
    /// it is up to date or the limit allows no part.
    pub fn part(
        &self,
        config: &Config,
        known: Version,
        gathered: Option<&Gathered>,
        limit: Limit,
    ) -> Option<Part> {
        if config.version <= known {
            return None;
        }
        let (Limit::Rest(max) | Limit::Portion(max)) = limit;
        let changed = self.0.since(known.0);
        let from = changed.is_some().then_some(known);
        let gathered = gathered.filter(|has| has.version == config.version && has.from == from);
        let after = gathered.map(|has| has.last.clone());
        let mut names: Vec<Name> = match changed {
            Some(changed) => {
                let first = after.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
                let rest = changed.range::<Name, _>((first, Bound::Unbounded));
                rest.take(max + 1).cloned().collect()
            }
            None => names_after(config, after.as_ref()).take(max + 1).collect(),
        };
        let more = names.len() > max;
        if more && matches!(limit, Limit::Rest(_)) {
            return None;
        }
        names.truncate(max);
        let entries = names.into_iter().map(|name| {
            let value = value(config, &name);
            (name, value)
        });
        Some(Part {
            version: config.version,
            from,
            after,
            entries: entries.collect(),
            more,
            idle: config.idle,
            keyed: config.organisations.is_some(),
        })
    }
}

/// The received parts of a configuration.
#[derive(Debug, Default)]
pub struct Gathering {
    parts: Vec<Part>,
}

impl Gathering {
    /// What has been received, for the request of the next part.
    pub fn gathered(&self) -> Option<Gathered> {
        let part = self.parts.last()?;
        Some(Gathered {
            version: part.version,
            from: part.from,
            last: part.entries.last()?.0.clone(),
        })
    }

    /// The version and number of entries received; rises with each part that is accepted.
    pub fn length(&self) -> (Version, usize) {
        let version = self.parts.last().map(|part| part.version);
        let entries = self.parts.iter().map(|part| part.entries.len());
        (version.unwrap_or_default(), entries.sum())
    }

    /// Drops the parts of the configuration that is now in force, or of an earlier one.
    pub fn forget(&mut self, in_force: Version) {
        if self.length().0 <= in_force {
            self.parts.clear();
        }
    }

    /// Adds a part while `known` is in force; returns the configuration once it is complete. Ignores a part
    /// that does not continue the received ones: it was requested earlier, or from another VM.
    pub fn take(&mut self, part: Part, known: Option<&Config>) -> Option<Config> {
        let in_force = known.map(|config| config.version);
        let newer = in_force.is_none_or(|version| part.version > version);
        let applies = part.from.is_none() || part.from == in_force;
        if !newer || !applies {
            return None;
        }
        match &part.after {
            None => self.parts.clear(),
            Some(after) => {
                let follows = self.gathered().is_some_and(|has| {
                    (has.version, has.from) == (part.version, part.from) && has.last == *after
                });
                if !follows {
                    return None;
                }
            }
        }
        let more = part.more;
        self.parts.push(part);
        if more {
            return None;
        }
        assemble(std::mem::take(&mut self.parts), known)
    }
}

/// Applies the parts of a complete transfer to the configuration in force.
fn assemble(parts: Vec<Part>, known: Option<&Config>) -> Option<Config> {
    let last = parts.last()?;
    let mut config = match last.from {
        Some(_) => known?.clone(),
        None => Config {
            version: last.version,
            routes: BTreeMap::new(),
            groups: BTreeMap::new(),
            idle: last.idle,
            organisations: None,
        },
    };
    config.version = last.version;
    config.idle = last.idle;
    let mut organisations = config.organisations.take().unwrap_or_default();
    let keyed = last.keyed;
    for (name, value) in parts.into_iter().flat_map(|part| part.entries) {
        match (name, value) {
            (Name::Group(id), Some(Value::Group(group))) => {
                config.groups.insert(id, group);
            }
            (Name::Allowance(id), Some(Value::Allowance(allowance))) => {
                organisations.allowances.insert(id, allowance);
            }
            (Name::Key(key), Some(Value::Holder(id))) => {
                organisations.keys.insert(key, id);
            }
            (Name::Route(name), Some(Value::Route(route))) => {
                config.routes.insert(name, route);
            }
            (name, None) => remove(&mut config, &mut organisations, &name),
            // Another release may send entries that this one does not support.
            (_, Some(_)) => return None,
        }
    }
    config.organisations = keyed.then_some(organisations);
    Some(config)
}

fn remove(config: &mut Config, organisations: &mut Organisations, name: &Name) {
    match name {
        Name::Group(id) => drop(config.groups.remove(id)),
        Name::Allowance(id) => drop(organisations.allowances.remove(id)),
        Name::Key(key) => drop(organisations.keys.remove(key)),
        Name::Route(name) => drop(config.routes.remove(name)),
    }
}

/// The names of all entries, in order.
fn names(config: &Config) -> impl Iterator<Item = Name> {
    names_after(config, None)
}

/// The names of the entries after one of them, in order.
fn names_after<'a>(config: &'a Config, after: Option<&'a Name>) -> impl Iterator<Item = Name> + 'a {
    let organisations = config.organisations.as_ref();
    let groups = match after {
        None => Some(Bound::Unbounded),
        Some(Name::Group(id)) => Some(Bound::Excluded(id)),
        Some(_) => None,
    };
    let allowances = match after {
        None | Some(Name::Group(_)) => Some(Bound::Unbounded),
        Some(Name::Allowance(id)) => Some(Bound::Excluded(id)),
        Some(_) => None,
    };
    let keys = match after {
        Some(Name::Key(key)) => Some(Bound::Excluded(key)),
        Some(Name::Route(_)) => None,
        _ => Some(Bound::Unbounded),
    };
    let routes = match after {
        Some(Name::Route(name)) => Bound::Excluded(name),
        _ => Bound::Unbounded,
    };
    let groups = rest(Some(&config.groups), groups).map(Name::Group);
    let allowances = rest(organisations.map(|o| &o.allowances), allowances).map(Name::Allowance);
    let keys = rest(organisations.map(|o| &o.keys), keys).map(Name::Key);
    let routes = rest(Some(&config.routes), Some(routes)).map(Name::Route);
    groups.chain(allowances).chain(keys).chain(routes)
}

/// The keys of a map from a bound on; none if there is no bound.
fn rest<'a, K: Ord + Clone, V>(
    map: Option<&'a BTreeMap<K, V>>,
    bound: Option<Bound<&'a K>>,
) -> impl Iterator<Item = K> + 'a {
    let ranges = map.zip(bound).into_iter();
    ranges.flat_map(|(map, first)| {
        let rest = map.range::<K, _>((first, Bound::Unbounded));
        rest.map(|(key, _)| key.clone())
    })
}

fn value(config: &Config, name: &Name) -> Option<Value> {
    let organisations = config.organisations.as_ref();
    match name {
        Name::Group(id) => config.groups.get(id).cloned().map(Value::Group),
        Name::Allowance(id) => {
            let allowances = &organisations?.allowances;
            allowances.get(id).copied().map(Value::Allowance)
        }
        Name::Key(key) => organisations?.keys.get(key).cloned().map(Value::Holder),
        Name::Route(name) => config.routes.get(name).cloned().map(Value::Route),
    }
}
