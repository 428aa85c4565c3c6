//! Configuration documents and settings: which are refused, with which location and remedy.

use lentilspoke::config::Document;
use lentilspoke::settings::Settings;

const DOCUMENT: &str = r#"{
    // The association's trade ledger.
    "groups": {
        "ledger1": {
            "databases": {
                "a": {"address": "10.0.1.1:5432", "domain": "mombasa", "slots": 3, "connections": 25},
                "b": {"address": "10.0.2.1:5432", "domain": "nairobi", "slots": 3, "connections": 25},
                "c": {"address": "10.0.3.1:5432", "domain": "kisumu", "slots": 3, "connections": 25}
            }
        }
    },
    /* Brokers book all day;
       reports run at night. */
    "pools": {
        "brokers": {"groups": ["ledger1"], "max_age": "5s"},
        "reports": {"groups": ["ledger1"], "callers": ["night"], "long": true}
    },
    "timing": {"window": "1s"}
}
"#;

const SETTINGS: &str = r#"{
    "vm": "mombasa-1", # as in the platform's list
    "domain": "mombasa",
    "callers": "10.0.0.4:5432",
    "peers": "10.0.0.4:7000",
    "admin": "10.0.0.4:9100",
    "platform": ["10.0.9.1:7100"],
    "token_key": "0123456789abcdef"
}
"#;

/// The messages for the text, each after one edit, in which `from` is replaced by `to`.
fn errors<T: std::str::FromStr<Err = lentilspoke::jsonc::Error>>(
    text: &str,
    edits: &[(&str, &str)],
) -> String {
    let lines = edits.iter().map(|(from, to)| {
        assert!(text.contains(from), "`{from}` is not in the text");
        let edited = text.replacen(from, to, 1);
        match edited.parse::<T>() {
            Ok(_) => format!("{to}: accepted"),
            Err(error) => error.to_string(),
        }
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[test]
fn a_complete_document_parses() {
    let document: Document = DOCUMENT.parse().unwrap();
    assert_eq!(document.databases().count(), 3);
    let again: Document = serde_json::to_string(&document).unwrap().parse().unwrap();
    assert_eq!(document, again);
}

#[test]
fn syntax_errors_are_reported_with_their_location() {
    let edits = [
        ("\"slots\": 3", "\"slot\": 3"),
        ("\"slots\": 3", "\"slots\": \"3\""),
        ("\"slots\": 3", "\"slots\": -3"),
        ("\"slots\": 3, ", ""),
        ("\"1s\"", "1"),
        ("\"1s\"", "\"1 parsec\""),
        ("10.0.1.1:5432", "db.example:5432"),
        ("\"ledger1\": {", "\"ledger 1\": {"),
        ("\"b\": {", "\"a\": {"),
        ("\"window\"", "\"windw\""),
        ("\"pools\"", "pools"),
        ("reports run at night. */", "reports run at night."),
        ("\"long\": true", "\"long\": true,"),
    ];
    insta::assert_snapshot!(errors::<Document>(DOCUMENT, &edits), @r#"
    6:77: unknown field `slot`, expected one of `address`, `domain`, `slots`, `connections`, `leaving`: correct or remove it
    6:83: invalid type: string "3", expected a whole number
    6:82: invalid value: integer `-3`, expected a whole number
    6:89: missing field `slots`: add it
    18:26: invalid type: integer `1`, expected a span of time in quotes with its unit, such as "250ms" or "5s"
    18:35: `1 parsec` is not a span of time: write a number and a unit, such as 250ms or 5s
    6:50: invalid socket address syntax: write IP:PORT, such as 10.0.0.4:5432
    4:18: `ledger 1` is not a name: use 1 to 63 letters, digits, `-`, `_` or `.`
    7:19: `a` stands twice: keep one of them
    18:22: unknown field `windw`, expected one of `probe`, `window`, `suspicion`, `damping`, `catch_up`, `answer`, `idle_transaction`: correct or remove it
    14:5: key must be a string: put it in double quotes
    20:1: a string or a comment does not end: close it
    16:79: trailing comma: remove it
    "#);
}

#[test]
fn conflicts_are_reported_with_path_and_location() {
    let edits = [
        ("\"slots\": 3", "\"slots\": 0"),
        ("\"slots\": 3", "\"slots\": 30"),
        ("10.0.2.1", "10.0.1.1"),
        ("10.0.2.1:5432", "0.0.0.0:5432"),
        ("[\"ledger1\"], \"max_age\"", "[\"ledger2\"], \"max_age\""),
        ("[\"ledger1\"], \"max_age\"", "[], \"max_age\""),
        (
            "[\"ledger1\"], \"max_age\"",
            "[\"ledger1\", \"ledger1\"], \"max_age\"",
        ),
        ("\"callers\": [\"night\"]", "\"callers\": []"),
        ("\"max_age\": \"5s\"", "\"callers\": [\"day\", \"night\"]"),
        ("\"5s\"", "\"10ms\""),
        ("\"max_age\": \"5s\"", "\"patience\": \"20ms\""),
        ("\"1s\"", "\"300ms\""),
        ("\"1s\"", "\"5s\""),
        ("\"window\": \"1s\"", "\"damping\": \"1s\""),
        ("\"window\": \"1s\"", "\"probe\": \"0s\""),
    ];
    insta::assert_snapshot!(errors::<Document>(DOCUMENT, &edits), @r#"
    6:81: groups.ledger1.databases.a.slots: a database runs at least 1 statement at once
    6:101: groups.ledger1.databases.a.connections: fewer connections than slots: raise connections or lower slots
    7:48: groups.ledger1.databases.b.address: database a has this address: correct one of them
    7:47: groups.ledger1.databases.b.address: not an address to connect to: write IP:PORT
    15:40: pools.brokers.groups.0: there is no group ledger2: correct the name or add the group
    15:32: pools.brokers.groups: the pool reaches no group: name one
    15:51: pools.brokers.groups.1: group ledger1 stands twice: remove one
    16:20: pools.reports: pool brokers serves the rest of group ledger1's callers already: list the callers of one of the two
    16:62: pools.reports.callers.0: caller night has pool brokers in group ledger1: remove it from one
    15:60: pools.brokers.max_age: shorter than timing.probe (200ms): no replica could prove to be that new; raise max_age, or leave it out to read as new as the session's writes
    15:61: pools.brokers.patience: not longer than timing.catch_up (50ms): a request would expire while it waits for a replica; raise patience
    18:32: timing.window: shorter than 2 probes (400ms): raise window or lower probe
    18:29: timing.window: window and suspicion take 5s 800ms of a change of primary, which is to be over within 10s: lower them to 5s together
    18:30: timing.damping: shorter than window and suspicion together (1s 400ms): raise damping
    18:28: timing.probe: has to be longer than zero: raise it
    "#);
}

/// An operator replaces a database by another one in a single document: an old majority (a, c) and a
/// new one (b, d) would share no database.
#[test]
fn members_change_one_at_a_time() {
    let before: Document = DOCUMENT.parse().unwrap();
    let swapped = DOCUMENT.replace(
        "\"c\": {\"address\": \"10.0.3.1",
        "\"d\": {\"address\": \"10.0.3.2",
    );
    let after: Document = swapped.parse().unwrap();
    insta::assert_snapshot!(after.check_step(&before).unwrap_err(), @"groups.ledger1.databases: c, d come and go at once: apply one of them at a time, so that each majority meets the one before");
    let moved: Document = DOCUMENT.replace("10.0.3.1", "10.0.3.2").parse().unwrap();
    assert_eq!(moved.check_step(&before), Ok(()));
}

#[test]
fn settings_are_checked() {
    assert!(SETTINGS.parse::<Settings>().unwrap().key().is_some());
    let edits = [
        ("\"vm\"", "\"name\""),
        ("\"mombasa-1\"", "\"mombasa 1\""),
        ("10.0.0.4:7000", "10.0.0.4:5432"),
        ("10.0.0.4:7000", "0.0.0.0:7000"),
        ("[\"10.0.9.1:7100\"]", "[]"),
        ("0123456789abcdef", "short"),
        ("\"token_key\": \"0123456789abcdef\"", "\"log\": \"loud\""),
        (
            "\"token_key\": \"0123456789abcdef\"",
            "\"limits\": {\"connections\": 0}",
        ),
    ];
    insta::assert_snapshot!(errors::<Settings>(SETTINGS, &edits), @r#"
    2:10: unknown field `name`, expected one of `vm`, `domain`, `callers`, `peers`, `admin`, `platform`, `log`, `token_key`, `limits`, `direct`: correct or remove it
    2:21: `mombasa 1` is not a name: use 1 to 63 letters, digits, `-`, `_` or `.`
    5:28: peers: `callers` listens on 10.0.0.4:5432 too: give each its own port
    5:27: peers: other proxies connect from this address, too: write the VM's own IP
    7:18: platform: there is no address of the platform: write at least one IP:PORT
    8:24: token_key: the token key is too short: use at least 16 bytes of random text
    8:17: unknown variant `loud`, expected one of `error`, `warn`, `info`, `debug`, `trace`
    8:31: limits.connections: 0 would turn everyone away: leave it out for the default
    "#);
}

#[test]
fn settings_of_direct_access_are_checked() {
    let direct = "\"direct\": {\"ready\": \"10.0.0.4:8785\", \"orders\": \"10.0.9.3:1\",
        \"seeds\": [\"10.0.0.4:7000\"], \"regions\": {\"mombasa-1\": \"coast\"},
        \"grace\": \"6s\", \"descriptors\": 4200}";
    let settings = SETTINGS.replace("\"token_key\": \"0123456789abcdef\"", direct);
    assert!(settings.parse::<Settings>().unwrap().direct.is_some());
    let edits = [
        ("10.0.0.4:8785", "10.0.0.4:7000"),
        ("\"6s\"", "\"2s\""),
        ("\"6s\"", "6"),
        ("\"descriptors\": 4200", "\"descriptors\": -1"),
        (
            "\"descriptors\": 4200",
            "\"descriptors\": 4200, \"cores\": -0.1",
        ),
        ("mombasa-1\": \"coast", "mombasa 1\": \"coast"),
        ("\"orders\"", "\"order\""),
    ];
    insta::assert_snapshot!(errors::<Settings>(&settings, &edits), @r#"
    8:39: direct.ready: `peers` listens on 10.0.0.4:7000 too: give each its own port
    10:21: direct.grace: a planned stop takes 3s at least: write more
    10:18: invalid type: integer `6`, expected a span of time in quotes with its unit, such as "250ms" or "5s"
    10:40: invalid value: integer `-1`, expected a whole number
    10:58: `-0.1` is not a number of cores: write one such as 0.25, from 0 to 65536
    9:59: `mombasa 1` is not a name: use 1 to 63 letters, digits, `-`, `_` or `.`
    8:48: unknown field `order`, expected one of `ready`, `relay`, `orders`, `seeds`, `regions`, `grace`, `descriptors`, `cores`: correct or remove it
    "#);
}
