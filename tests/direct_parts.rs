//! A configuration as VMs tell it to each other, in parts.

use lentilspoke::clock::Span;
use lentilspoke::direct::config::{Config, Group, Kind, Route};
use lentilspoke::direct::identity::{Allowance, Key, Organisations, Rate};
use lentilspoke::direct::parts::{Changes, Gathering, Limit};
use lentilspoke::types::Version;
use quickcheck::quickcheck;
use std::collections::BTreeMap;

/// A configuration of a version, with entries by the bits of a seed.
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

/// A VM that has followed these configurations, the last of which is in force.
fn teller(seeds: &[u64]) -> (Config, Changes) {
    let mut changes = Changes::default();
    let configs: Vec<Config> = (1..).zip(seeds).map(|(v, seed)| config(v, *seed)).collect();
    for pair in configs.windows(2) {
        changes.note(&pair[0], &pair[1]);
    }
    (configs.last().unwrap().clone(), changes)
}

quickcheck! {
    // Whatever a VM has in force, and whichever VMs tell it the parts by turns, one that knows what has changed since and
    // one that does not, what it puts together is the configuration. No part is longer than it may be.
    fn parts_make_the_configuration(seeds: (u64, u64, u64), known: u8, turns: Vec<bool>) -> bool {
        let seeds = [seeds.0, seeds.1, seeds.2];
        let (newest, changes) = teller(&seeds);
        let fresh = Changes::default();
        let place = usize::from(known % 3);
        let mine = (place > 0).then(|| config(place as u64, seeds[place - 1]));
        let in_force = mine.as_ref().map_or_else(Version::default, |config| config.version);
        let mut gathering = Gathering::default();
        // However often the one that tells changes, one of them goes on to the end.
        for knows in turns.into_iter().take(6).chain([true; 30]) {
            let teller = if knows { &changes } else { &fresh };
            let gathered = gathering.gathered();
            let part = teller.part(&newest, in_force, gathered.as_ref(), Limit::Portion(3)).unwrap();
            if part.entries.len() > 3 {
                return false;
            }
            // One that arrives twice changes nothing.
            let twice = part.clone();
            if let Some(made) = gathering.take(part, mine.as_ref()) {
                return made == newest;
            }
            if twice.after.is_some() && gathering.take(twice, mine.as_ref()).is_some() {
                return false;
            }
        }
        false
    }
}

/// Guards against parts of two versions, or of two ways to tell one, that are put together.
#[test]
fn parts_that_do_not_follow_are_left_out() {
    let (second, changes) = teller(&[u64::MAX, 0]);
    let (third, later) = teller(&[u64::MAX, 0, 5]);
    let limit = Limit::Portion(3);
    let mut gathering = Gathering::default();
    let known = config(1, u64::MAX);
    let first = changes.part(&second, Version(1), None, limit).unwrap();
    assert!(gathering.take(first, Some(&known)).is_none());
    let gathered = gathering.gathered();
    let next = changes.part(&second, Version(1), gathered.as_ref(), limit);
    // The first part of the next version comes before it.
    let newer = later
        .part(&third, Version(1), gathered.as_ref(), limit)
        .unwrap();
    assert_eq!(newer.after, None);
    gathering.take(newer, Some(&known));
    let before = gathering.length();
    assert!(gathering.take(next.unwrap(), Some(&known)).is_none());
    assert_eq!(gathering.length(), before);
}

/// Guards against a heartbeat's answer with thousands of entries, and against one that leaves out what is short.
#[test]
fn a_heartbeat_tells_what_is_short() {
    let (newest, changes) = teller(&[0, u64::MAX]);
    let told = |known, limit| changes.part(&newest, Version(known), None, Limit::Rest(limit));
    assert_eq!(told(1, 10), None);
    assert_eq!(told(2, 100), None, "it has it already");
    let all = told(1, 100).unwrap();
    let mut gathering = Gathering::default();
    assert_eq!(gathering.take(all, Some(&config(1, 0))), Some(newest));
    assert_eq!(gathering.length().1, 0);
}

/// Guards against a change of few entries that is told as all entries of a long configuration.
#[test]
fn what_changed_is_told_alone() {
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
