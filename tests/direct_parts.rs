//! The transfer of a configuration between VMs, in parts.

use lentilspoke::clock::Span;
use lentilspoke::direct::config::{Config, Group, Kind, Route};
use lentilspoke::direct::identity::{Allowance, Key, Organisations, Rate};
use lentilspoke::direct::parts::{Changes, Gathering, Limit};
use lentilspoke::types::Version;
use quickcheck::quickcheck;
use std::collections::BTreeMap;

/// A configuration whose entries are derived from the bits of a seed.
fn config(version: u64, seed: u64) -> Config {
    let bit = |number: u64| seed >> (number % 64) & 1 == 1;
    let group = |number: u64| format!("group{number}").parse().unwrap();
    let organisation = |number: u64| format!("org{number}").parse().unwrap();
    let route = |number: u64| Route {
        group: group(0),
        kind: Kind::Primary,
        timeout: Span::from_millis(if bit(number + 7) { 100 } else { 200 }),
        objective: Span::from_millis(100),
        priority: 0,
        public: false,
    };
    let routes = (0..12).filter(|number| bit(*number));
    let routes = routes.map(|number| (format!("route{number}").into(), route(number)));
    let groups = (0..3).filter(|number| bit(number + 20)).map(|number| {
        let connections = if bit(number + 23) { 8 } else { 9 };
        let durable = false;
        (
            group(number),
            Group {
                connections,
                durable,
            },
        )
    });
    let keys = (0..5).filter(|number| bit(number + 30));
    let allowance = Allowance {
        rate: Rate(1_000),
        burst: u32::from(bit(40)),
    };
    let organisations = Organisations {
        keys: keys
            .map(|n| (Key::of(&format!("key{n}")), organisation(n)))
            .collect(),
        allowances: (0..2)
            .filter(|number| bit(number + 41))
            .map(|n| (organisation(n), allowance))
            .collect(),
    };
    Config {
        version: Version(version),
        routes: routes.collect(),
        groups: groups.collect(),
        idle: Span::from_secs(1 + (seed & 3)),
        organisations: bit(50).then_some(organisations),
    }
}

/// A VM that had these configurations in force one after another: the last one, and the changes.
fn sender(seeds: &[u64]) -> (Config, Changes) {
    let mut changes = Changes::default();
    let configs: Vec<Config> = (1..).zip(seeds).map(|(v, seed)| config(v, *seed)).collect();
    for pair in configs.windows(2) {
        changes.note(&pair[0], &pair[1]);
    }
    (configs.last().unwrap().clone(), changes)
}

quickcheck! {
    // A VM assembles the configuration whatever it has in force, and in whichever turns it receives parts
    // from a VM that knows the changes since then and one that does not. No part exceeds the limit.
    fn parts_make_the_configuration(seeds: (u64, u64, u64), known: u8, turns: Vec<bool>) -> bool {
        let seeds = [seeds.0, seeds.1, seeds.2];
        let (newest, changes) = sender(&seeds);
        let fresh = Changes::default();
        let place = usize::from(known % 3);
        let mine = (place > 0).then(|| config(place as u64, seeds[place - 1]));
        let in_force = mine.as_ref().map_or_else(Version::default, |config| config.version);
        let mut gathering = Gathering::default();
        // After some changes of the sender, one of them sends all remaining parts.
        for knows in turns.into_iter().take(6).chain([true; 30]) {
            let sender = if knows { &changes } else { &fresh };
            let gathered = gathering.gathered();
            let part = sender.part(&newest, in_force, gathered.as_ref(), Limit::Portion(3)).unwrap();
            if part.entries.len() > 3 {
                return false;
            }
            // A duplicate has no effect.
            let duplicate = part.clone();
            if let Some(made) = gathering.take(part, mine.as_ref()) {
                return made == newest;
            }
            if duplicate.after.is_some() && gathering.take(duplicate, mine.as_ref()).is_some() {
                return false;
            }
        }
        false
    }
}

/// Guards against combining parts of two versions, or of a complete transfer and a differential one.
#[test]
fn parts_that_do_not_follow_are_left_out() {
    let (second, changes) = sender(&[u64::MAX, 0]);
    let (third, later) = sender(&[u64::MAX, 0, 5]);
    let limit = Limit::Portion(3);
    let mut gathering = Gathering::default();
    let known = config(1, u64::MAX);
    let first = changes.part(&second, Version(1), None, limit).unwrap();
    assert!(gathering.take(first, Some(&known)).is_none());
    let gathered = gathering.gathered();
    let next = changes.part(&second, Version(1), gathered.as_ref(), limit);
    // The first part of the next version arrives before it.
    let newer = later
        .part(&third, Version(1), gathered.as_ref(), limit)
        .unwrap();
    assert_eq!(newer.after, None);
    gathering.take(newer, Some(&known));
    let before = gathering.length();
    assert!(gathering.take(next.unwrap(), Some(&known)).is_none());
    assert_eq!(gathering.length(), before);
}

/// Guards against a heartbeat's answer with thousands of entries, and against one that omits a few.
#[test]
fn a_heartbeat_carries_short_changes() {
    let (newest, changes) = sender(&[0, u64::MAX]);
    let part = |known, limit| changes.part(&newest, Version(known), None, Limit::Rest(limit));
    assert_eq!(part(1, 10), None);
    assert_eq!(part(2, 100), None, "already in force");
    let all = part(1, 100).unwrap();
    let mut gathering = Gathering::default();
    assert_eq!(gathering.take(all, Some(&config(1, 0))), Some(newest));
    assert_eq!(gathering.length().1, 0);
}

/// Guards against sending all entries of a long configuration when few have changed.
#[test]
fn only_changes_are_sent() {
    let mut before = config(1, u64::MAX);
    let route = before.routes.values().next().unwrap().clone();
    let names = (0..5_000).map(|number| format!("long{number}").into());
    before.routes = BTreeMap::from_iter(names.map(|name| (name, route.clone())));
    let mut after = before.clone();
    after.version = Version(2);
    after.routes.remove("long17");
    after.routes.insert("long5000".into(), route);
    let mut changes = Changes::default();
    changes.note(&before, &after);
    let part = changes.part(&after, Version(1), None, Limit::Rest(2));
    assert_eq!(part.map(|part| part.entries.len()), Some(2));
}
