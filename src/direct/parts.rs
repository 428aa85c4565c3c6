//! A configuration as VMs tell it to each other: what differs from the one that the asking VM has, in parts of a
//! bounded length.
//!
//! **Pattern answered.** A configuration of thousands of routes changes in some of them, before VMs with small
//! links. **Without it** each is sent all of it in one answer, which takes longer than an answer is waited for; it is
//! asked for again, and each try fills the same link. **Why it suffices.** An answer is as short as any other,
//! and what has come is never sent again while the version stays the same.

use crate::clock::Span;
use crate::direct::config::{Config, Group, Route};
use crate::direct::history::History;
use crate::direct::identity::{Allowance, Key, Organisations};
use crate::types::{GroupId, OrganisationId, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Which entry of a configuration. Parts go by this order.
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

/// An entry's content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Value {
    /// A group's limits.
    Group(Group),
    /// What an organisation may ask for.
    Allowance(Allowance),
    /// Who holds a key.
    Holder(OrganisationId),
    /// What callers of a name get.
    Route(Route),
}

/// An entry; without a value it is there no more.
pub type Entry = (Name, Option<Value>);

/// What a VM has of a configuration that it lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gathered {
    /// Of which version.
    pub version: Version,
    /// The version from which it differs in these entries; none if they are all of it.
    pub from: Option<Version>,
    /// The last entry that it has.
    pub last: Name,
}

/// Some entries in which a configuration differs from another, or that it consists of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The configuration's version.
    pub version: Version,
    /// The version from which it differs in these entries; none if they are all of it.
    pub from: Option<Version>,
    /// The entry after which this part goes on; none for the first part.
    pub after: Option<Name>,
    /// The entries, in order.
    pub entries: Vec<Entry>,
    /// Whether others follow.
    pub more: bool,
    /// How long a transaction may stay idle.
    pub idle: Span,
    /// Whether callers need a key.
    pub keyed: bool,
}

/// How much a part may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// All that is left, if it is no more than so many entries.
    Rest(usize),
    /// So many entries of what is left.
    Portion(usize),
}

/// What changed of the configuration of late.
#[derive(Debug, Default)]
pub struct Changes(History<Name>);

impl Changes {
    /// One configuration has taken the place of another.
    pub fn note(&mut self, before: &Config, after: &Config) {
        let names: BTreeSet<Name> = names(before).chain(names(after)).collect();
        let changed = names.into_iter();
        let changed = changed.filter(|name| value(before, name) != value(after, name));
        self.0.note(before.version.0, changed.collect());
    }

    /// What a VM is told that has the version `known` in force and has `gathered` of a newer one: the entries
    /// that follow, if the limit lets any be told.
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
        let (Limit::Rest(most) | Limit::Portion(most)) = limit;
        let changed = self.0.since(known.0);
        let from = changed.is_some().then_some(known);
        let gathered = gathered.filter(|has| has.version == config.version && has.from == from);
        let after = gathered.map(|has| has.last.clone());
        let mut names: Vec<Name> = match changed {
            Some(changed) => {
                let first = after.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
                let rest = changed.range::<Name, _>((first, Bound::Unbounded));
                rest.take(most + 1).cloned().collect()
            }
            None => names_after(config, after.as_ref()).take(most + 1).collect(),
        };
        let more = names.len() > most;
        if more && matches!(limit, Limit::Rest(_)) {
            return None;
        }
        names.truncate(most);
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

/// The parts that have come of a configuration.
#[derive(Debug, Default)]
pub struct Gathering {
    parts: Vec<Part>,
}

impl Gathering {
    /// What has come, to be told to whoever tells the next part.
    pub fn gathered(&self) -> Option<Gathered> {
        let part = self.parts.last()?;
        Some(Gathered {
            version: part.version,
            from: part.from,
            last: part.entries.last()?.0.clone(),
        })
    }

    /// How much has come: rises with each part that is taken.
    pub fn length(&self) -> (Version, usize) {
        let version = self.parts.last().map(|part| part.version);
        let entries = self.parts.iter().map(|part| part.entries.len());
        (version.unwrap_or_default(), entries.sum())
    }

    /// A configuration is in force: what has come of it, or of one before, is needed no more.
    pub fn forget(&mut self, in_force: Version) {
        if self.length().0 <= in_force {
            self.parts.clear();
        }
    }

    /// Takes a part where `known` is in force; the configuration once all of it has come. A part that does
    /// not follow what has come is left out: it was asked for before, or of another VM.
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

/// The configuration that parts make of the one in force.
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
            // Another release may tell what this one does not know.
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

/// The keys of a map from a bound on; none without one.
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
