//! Registered databases, for tests of the control path.

use lentilspoke::clock::Time;
use lentilspoke::direct::config::Database;
use lentilspoke::types::DatabaseId;
use std::collections::BTreeMap;

pub fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

pub fn id(text: &str) -> DatabaseId {
    text.parse().unwrap()
}

fn database(name: &str) -> Database {
    Database {
        id: id(name),
        born: None,
        group: "g".parse().unwrap(),
        address: "10.0.0.1:1".parse().unwrap(),
        domain: "d".parse().unwrap(),
        slots: 3,
        leaving: false,
        primary: name == "a",
    }
}

pub fn databases(names: &[&str]) -> BTreeMap<DatabaseId, Database> {
    names
        .iter()
        .map(|name| (id(name), database(name)))
        .collect()
}
