//! `lentilspoke apply` and `show`: their output, for one operator and for two concurrent ones.

mod command;

use command::{DOCUMENT, File, lentilspoke};
use lentilspoke::standin::platform::{Handle, Health, Platform};

fn start() -> (Handle, String) {
    let platform = Platform::start("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = platform.address().to_string();
    (platform, address)
}

fn apply(address: &str, text: &str, rest: &[&str]) -> String {
    let file = File::new(text);
    let arguments = ["apply", file.path(), "--platform", address];
    let printed = lentilspoke(&[&arguments, rest].concat());
    file.anonymous(&printed)
}

/// Operators A and B both edit version 1. A's file is accepted. B's is refused with the new version
/// and its changes; after B has included them, it is accepted.
#[test]
fn a_file_based_on_an_older_version_is_refused_with_the_changes() {
    let (_platform, address) = start();
    let first = apply(&address, DOCUMENT, &["--base", "0"]);
    insta::assert_snapshot!(first, @r#"
    exit 0
    accepted: version 1 is in force
    "#);
    let a = DOCUMENT.replace("\"slots\": 3", "\"slots\": 4");
    insta::assert_snapshot!(apply(&address, &a, &["--base", "1"]), @r#"
    exit 0
    accepted: version 2 is in force
    "#);
    let b = DOCUMENT.replace("25}", "30}");
    insta::assert_snapshot!(apply(&address, &b, &["--base", "1"]), @r#"
    exit 1
    lentilspoke: not applied: version 2 is in force, and the file was based on 1; take these changes in and apply it with base 2
      groups.ledger1.databases.a.slots: 3 -> 4
    "#);
    let both = a.replace("25}", "30}");
    insta::assert_snapshot!(apply(&address, &both, &["--base", "2"]), @r#"
    exit 0
    accepted: version 3 is in force
    "#);
}

#[test]
fn what_is_shown_can_be_edited_and_applied() {
    let (_platform, address) = start();
    let nothing = lentilspoke(&["show", "--platform", &address]);
    insta::assert_snapshot!(nothing, @r#"
    exit 1
    lentilspoke: nothing is in force yet: apply a first document with --base 0
    "#);
    apply(&address, DOCUMENT, &["--base", "0"]);
    let shown = lentilspoke(&["show", "--platform", &address]);
    insta::assert_snapshot!(shown, @r#"
    exit 0
    {
      "base": 1,
      "groups": {
        "ledger1": {
          "databases": {
            "a": {
              "address": "10.0.1.1:5432",
              "domain": "mombasa",
              "slots": 3,
              "connections": 25,
              "leaving": false
            }
          }
        }
      },
      "pools": {
        "brokers": {
          "groups": [
            "ledger1"
          ],
          "callers": [],
          "durability": "majority",
          "max_age": null,
          "patience": "5s",
          "long": false
        }
      },
      "timing": {
        "probe": "200ms",
        "window": "600ms",
        "suspicion": "800ms",
        "damping": "10s",
        "catch_up": "50ms",
        "answer": "5s",
        "idle_transaction": "30s"
      }
    }
    "#);
    let edited = shown
        .trim_start_matches("exit 0")
        .replace("\"slots\": 3", "\"slots\": 5");
    insta::assert_snapshot!(apply(&address, &edited, &[]), @r#"
    exit 0
    accepted: version 2 is in force
    "#);
    let clash = apply(&address, &edited, &["--base", "2"]);
    insta::assert_snapshot!(clash, @r#"
    exit 2
    lentilspoke: --base 2 clashes with `base` 1 in FILE: leave one out
    "#);
}

/// The platform's answer is lost after the write took effect: the operator still gets "accepted".
#[test]
fn a_lost_answer_is_settled() {
    let (platform, address) = start();
    platform.lose_answers(1);
    insta::assert_snapshot!(apply(&address, DOCUMENT, &["--base", "0"]), @r#"
    exit 0
    accepted: version 1 is in force
    "#);
}

#[test]
fn nothing_is_sent_for_an_invalid_file_or_wrong_usage() {
    let (platform, address) = start();
    let wrong = DOCUMENT.replace("\"ledger1\"]", "\"ledger2\"]");
    insta::assert_snapshot!(apply(&address, &wrong, &["--base", "0"]), @r#"
    exit 1
    lentilspoke: FILE:9:46: pools.brokers.groups.0: there is no group ledger2: correct the name or add the group
    "#);
    insta::assert_snapshot!(apply(&address, DOCUMENT, &[]), @r#"
    exit 2
    lentilspoke: the version that the file was based on is missing: see `lentilspoke show`, and give --base VERSION, 0 for the first document
    "#);
    insta::assert_snapshot!(apply(&address, DOCUMENT, &["--proxy", "10.0.0.4:9100"]), @r#"
    exit 2
    lentilspoke: give one of --proxy and --platform
    "#);
    assert_eq!(platform.count().writes, 0);
}

#[test]
fn an_outage_is_reported() {
    let (platform, address) = start();
    platform.set_health(Health::Down);
    insta::assert_snapshot!(apply(&address, DOCUMENT, &["--base", "0"]), @r#"
    exit 1
    lentilspoke: not applied: the platform does not answer (the platform is down): ask again once it does
    "#);
}
