//! Checks of a document's values, and of the step from one document to the next.

use super::{Document, Group, Pool, Timing};
use crate::clock::Span;
use crate::jsonc::Fault;
use crate::types::{DatabaseId, GroupId, PoolId};
use std::collections::{BTreeMap, BTreeSet};

/// The fewest probes in a window, so that one lost probe does not stop acknowledgements.
const MIN_PROBES: u64 = 2;

/// The longest change of primary; half of it is reserved to raise the term and open the new primary.
const FAILOVER_LIMIT: Span = Span::from_secs(10);

/// Checks a whole document and returns the first fault found.
pub(super) fn document(document: &Document) -> Result<(), Fault> {
    if document.groups.is_empty() {
        return Err(Fault::new(
            ["groups"],
            "there is no group: add at least one",
        ));
    }
    for (id, one) in &document.groups {
        group(id, one)?;
    }
    unique_databases(document)?;
    for (id, one) in &document.pools {
        pool(id, one, document)?;
    }
    pool_assignment(document)?;
    timing(&document.timing)
}

fn group(id: &GroupId, group: &Group) -> Result<(), Fault> {
    let path = ["groups", id.as_str(), "databases"];
    if group.databases.is_empty() {
        return Err(Fault::new(path, "the group has no database: add one"));
    }
    if group.databases.values().all(|database| database.leaving) {
        let message = "all of the group's databases are leaving: add one that stays first";
        return Err(Fault::new(path, message));
    }
    for (name, database) in &group.databases {
        let fault = |key, message: &str| {
            let path = ["groups", id.as_str(), "databases", name.as_str(), key];
            Err(Fault::new(path, message))
        };
        if database.slots == 0 {
            return fault("slots", "a database runs at least 1 statement at once");
        }
        if database.connections < database.slots {
            let message = "fewer connections than slots: raise connections or lower slots";
            return fault("connections", message);
        }
        if database.address.ip().is_unspecified() || database.address.port() == 0 {
            return fault("address", "not an address to connect to: write IP:PORT");
        }
    }
    Ok(())
}

/// Checks that each name and address belongs to only one database of the document.
fn unique_databases(document: &Document) -> Result<(), Fault> {
    let mut names = BTreeMap::new();
    let mut addresses = BTreeMap::new();
    for (group, id, database) in document.databases() {
        let path = ["groups", group.as_str(), "databases", id.as_str()];
        if let Some(other) = names.insert(id, group) {
            let message = format!("group {other} has a database of this name: rename one of them");
            return Err(Fault::new(path, message));
        }
        if let Some(other) = addresses.insert(database.address, id) {
            let path = path.into_iter().chain(["address"]);
            let message = format!("database {other} has this address: correct one of them");
            return Err(Fault::new(path, message));
        }
    }
    Ok(())
}

fn pool(id: &PoolId, pool: &Pool, document: &Document) -> Result<(), Fault> {
    let fault = |key, message: String| Err(Fault::new(["pools", id.as_str(), key], message));
    if pool.groups.is_empty() {
        return fault("groups", "the pool reaches no group: name one".into());
    }
    for (index, group) in pool.groups.iter().enumerate() {
        let fault = |message| {
            let path = ["pools", id.as_str(), "groups", &index.to_string()];
            Err(Fault::new(path, message))
        };
        if !document.groups.contains_key(group) {
            return fault(format!(
                "there is no group {group}: correct the name or add the group"
            ));
        }
        if pool.groups[..index].contains(group) {
            return fault(format!("group {group} stands twice: remove one"));
        }
    }
    if pool.patience <= document.timing.catch_up {
        return fault(
            "patience",
            format!(
                "not longer than timing.catch_up ({}): a request would expire while it waits for \
                 a replica; raise patience",
                document.timing.catch_up
            ),
        );
    }
    if pool.max_age.is_some_and(|age| age < document.timing.probe) {
        return fault(
            "max_age",
            format!(
                "shorter than timing.probe ({}): no replica could prove to be that new; raise \
                 max_age, or leave it out to read as new as the session's writes",
                document.timing.probe
            ),
        );
    }
    Ok(())
}

/// Checks that each caller of a group has one pool, and each group at least one.
fn pool_assignment(document: &Document) -> Result<(), Fault> {
    let mut taken = BTreeMap::new();
    let mut catch_all = BTreeMap::new();
    for (id, pool) in &document.pools {
        for group in &pool.groups {
            if pool.callers.is_empty()
                && let Some(other) = catch_all.insert(group, id)
            {
                let message = format!(
                    "pool {other} serves the rest of group {group}'s callers already: list the \
                     callers of one of the two"
                );
                return Err(Fault::new(["pools", id.as_str()], message));
            }
        }
        for (index, caller) in pool.callers.iter().enumerate() {
            for group in &pool.groups {
                if let Some(other) = taken.insert((group, caller), id) {
                    let path = ["pools", id.as_str(), "callers", &index.to_string()];
                    let message = format!(
                        "caller {caller} has pool {other} in group {group}: remove it from one"
                    );
                    return Err(Fault::new(path, message));
                }
            }
        }
    }
    let reached: BTreeSet<&GroupId> = document.pools.values().flat_map(|p| &p.groups).collect();
    match document.groups.keys().find(|id| !reached.contains(id)) {
        Some(id) => Err(Fault::new(
            ["groups", id.as_str()],
            "no pool reaches this group: name it in a pool's groups",
        )),
        None => Ok(()),
    }
}

fn timing(timing: &Timing) -> Result<(), Fault> {
    let fault = |key, message: String| Err(Fault::new(["timing", key], message));
    let positive = [
        ("probe", timing.probe),
        ("answer", timing.answer),
        ("idle_transaction", timing.idle_transaction),
    ];
    for (key, span) in positive {
        if span == Span::ZERO {
            return fault(key, "has to be longer than zero: raise it".into());
        }
    }
    let least = Span(timing.probe.0.saturating_mul(MIN_PROBES));
    for (key, span) in [("window", timing.window), ("suspicion", timing.suspicion)] {
        if span < least {
            return fault(
                key,
                format!("shorter than {MIN_PROBES} probes ({least}): raise {key} or lower probe"),
            );
        }
    }
    let change = timing.window + timing.suspicion;
    if change.percent(200) > FAILOVER_LIMIT {
        return fault(
            "window",
            format!(
                "window and suspicion take {change} of a change of primary, which is to be over \
                 within {FAILOVER_LIMIT}: lower them to {} together",
                FAILOVER_LIMIT.percent(50)
            ),
        );
    }
    if timing.damping < change {
        return fault(
            "damping",
            format!("shorter than window and suspicion together ({change}): raise damping"),
        );
    }
    Ok(())
}

/// Checks that `after` may follow `before` in one step.
///
/// A group's members may change by one database at a time. If two changed at once, a majority of
/// the old members and one of the new might share no database, and two primaries could acknowledge
/// writes. Majorities of two sets that differ by one database always share a member.
pub(super) fn step(before: &Document, after: &Document) -> Result<(), Fault> {
    for (id, group) in &after.groups {
        let Some(former) = before.groups.get(id) else {
            continue;
        };
        let changed = changed_databases(former, group);
        if changed.len() > 1 {
            let names: Vec<&str> = changed.iter().map(|id| id.as_str()).collect();
            let message = format!(
                "{} come and go at once: apply one of them at a time, so that each majority \
                 meets the one before",
                names.join(", ")
            );
            let path = ["groups", id.as_str(), "databases"];
            return Err(Fault::new(path, message));
        }
    }
    Ok(())
}

/// The databases that are in only one of the two groups, or have another address in each.
fn changed_databases<'a>(before: &'a Group, after: &'a Group) -> Vec<&'a DatabaseId> {
    let names: BTreeSet<&DatabaseId> = before
        .databases
        .keys()
        .chain(after.databases.keys())
        .collect();
    let address = |group: &Group, id| group.databases.get(id).map(|database| database.address);
    names
        .into_iter()
        .filter(|id| address(before, id) != address(after, id))
        .collect()
}
