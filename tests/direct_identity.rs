//! Identification of callers by their keys, and that keys don't appear in output.

use lentilspoke::clock::Span;
use lentilspoke::direct::config::{Config, Kind, Route};
use lentilspoke::direct::identity::{Identity, Key, Organisations, identify};
use lentilspoke::types::Version;
use std::collections::BTreeMap;

fn route(public: bool) -> Route {
    Route {
        group: "ledger".parse().unwrap(),
        kind: Kind::Primary,
        timeout: Span::from_secs(1),
        objective: Span::from_secs(1),
        priority: 1,
        public,
    }
}

fn config(keys: Option<&[(&str, &str)]>) -> Config {
    let organisations = keys.map(|keys| Organisations {
        keys: keys
            .iter()
            .map(|(key, of)| (Key::of(key), of.parse().unwrap()))
            .collect(),
        allowances: BTreeMap::new(),
    });
    Config {
        version: Version(1),
        routes: BTreeMap::new(),
        groups: BTreeMap::new(),
        idle: Span::from_secs(1),
        organisations,
    }
}

#[test]
fn a_key_identifies_its_organisation() {
    let config = config(Some(&[("k1", "miny"), ("k2", "miny"), ("k3", "tuba")]));
    let of = |key, public| identify(&config, &route(public), &Key::of(key));
    assert_eq!(of("k2", false), Identity::Of("miny".parse().unwrap()));
    assert_eq!(of("k3", true), Identity::Of("tuba".parse().unwrap()));
    assert_eq!(of("k4", false), Identity::Unknown);
    assert_eq!(of("k4", true), Identity::Anyone);
    assert_eq!(of("K1", false), Identity::Unknown);
    assert_eq!(of("", false), Identity::Unknown);
}

/// All keys are revoked at once: the configuration has organisations, but no keys. This differs from a
/// configuration without organisations, which admits all callers.
#[test]
fn no_keys_at_all_admit_nobody() {
    let none = config(Some(&[]));
    assert_eq!(
        identify(&none, &route(false), &Key::of("k1")),
        Identity::Unknown
    );
    let open = config(None);
    assert_eq!(
        identify(&open, &route(false), &Key::of("k1")),
        Identity::Anyone
    );
}

/// A dump, a log line or an error that involves a key does not reveal it: the key is stored as a hash, of
/// which eight digits are shown.
#[test]
fn keys_are_not_shown() {
    let secret = "copper-cathode-7";
    let config = config(Some(&[(secret, "miny")]));
    let shown = format!("{config:?} {:?} {}", Key::of(secret), Key::of(secret));
    assert!(!shown.contains(secret));
    assert_eq!(format!("{:?}", Key::of(secret)), "Key(205a2741)");
    let refused = serde_json::from_str::<Key>(&format!("{secret:?}")).unwrap_err();
    assert!(!refused.to_string().contains(secret), "{refused}");
}
