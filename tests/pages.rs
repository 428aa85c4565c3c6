//! Checks the operators' pages against the code: their examples parse, and their tables list every
//! setting, metric and SQLSTATE, and no others.

use lentilspoke::admission::Rank;
use lentilspoke::clock::Span;
use lentilspoke::config::{File, Timing};
use lentilspoke::core::counters::Counters;
use lentilspoke::direct::config::Kind;
use lentilspoke::direct::gate::Reason;
use lentilspoke::direct::meter::{LeadLevel, Levels, Meter};
use lentilspoke::direct::statement::Code;
use lentilspoke::direct::table::{Command, Era, Fault, Response, Row, RowId, Version};
use lentilspoke::net::dialect::REQUESTS_DDL;
use lentilspoke::net::metrics::{self, Gauges};
use lentilspoke::settings::{Limits, Settings};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeSet;

const PAGE: &str = include_str!("../docs/OPERATING.md");
const OPERATIONS: &str = include_str!("../docs/OPERATIONS.md");
const CODES: [&str; 3] = [
    include_str!("../src/net/pg/fault.rs"),
    include_str!("../src/sql.rs"),
    include_str!("../src/net/target/keyed.rs"),
];

/// The text of the section under this heading, up to the next heading of its level.
fn section(heading: &str) -> &'static str {
    let start = PAGE.find(&format!("\n## {heading}\n")).unwrap();
    let body = &PAGE[start + 4..];
    &body[..body.find("\n## ").unwrap_or(body.len())]
}

/// The example in a section.
fn example(heading: &str) -> &'static str {
    let (_, rest) = section(heading).split_once("```jsonc\n").unwrap();
    rest.split_once("```").unwrap().0
}

/// The first cells of the rows of a section's tables, without backquotes.
fn rows(heading: &str) -> BTreeSet<String> {
    let lines = section(heading).lines();
    let cells = lines.filter_map(|line| line.strip_prefix("| `")?.split_once("` |"));
    cells.map(|(cell, _)| cell.to_owned()).collect()
}

/// The paths of a value's keys; names that operators choose are replaced by NAME.
fn keys(value: &impl Serialize) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    walk(&serde_json::to_value(value).unwrap(), "", &mut found);
    found
}

fn walk(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    let Value::Object(fields) = value else {
        found.insert(path.to_owned());
        return;
    };
    let named = ["groups", "databases", "pools", "regions"]
        .iter()
        .any(|plural| path.rsplit('.').next() == Some(*plural));
    for (key, value) in fields {
        let key = if named { "NAME" } else { key };
        let dot = if path.is_empty() { "" } else { "." };
        walk(value, &format!("{path}{dot}{key}"), found);
    }
}

/// Checks that each default of `value` is in the row of its key.
fn check_defaults(heading: &str, prefix: &str, value: &impl Serialize) {
    let value = serde_json::to_value(value).unwrap();
    for (key, default) in value.as_object().unwrap() {
        let default = default.as_str().map_or(default.to_string(), str::to_owned);
        let start = format!("| `{prefix}.{key}` |");
        let row = section(heading)
            .lines()
            .find(|line| line.starts_with(&start));
        let cells: Vec<&str> = row.unwrap().split('|').map(str::trim).collect();
        assert_eq!(cells[3], default, "{prefix}.{key}");
    }
}

#[test]
fn settings_are_complete() {
    let settings: Settings = example("Settings").parse().unwrap();
    assert_eq!(rows("Settings"), keys(&settings));
    check_defaults("Settings", "limits", &Limits::default());
}

#[test]
fn configuration_is_complete() {
    let file: File = example("Configuration").parse().unwrap();
    assert_eq!(rows("Configuration"), keys(&file));
    check_defaults("Configuration", "timing", &Timing::default());
}

#[test]
fn metrics_are_complete() {
    let text = metrics::text(Counters::default(), Gauges::default());
    let samples = text.lines().filter(|line| !line.starts_with('#'));
    let names = samples.map(|line| line.split_once(' ').unwrap().0.to_owned());
    assert_eq!(rows("Metrics"), names.collect());
}

/// The same for direct access, which has its own page; names have their labels there.
#[test]
fn metrics_of_direct_access_are_complete() {
    let (group, database) = ("ledger".parse().unwrap(), "a".parse().unwrap());
    let meter = Meter::new();
    meter.refused(&group, Code::Busy);
    meter.served(Kind::Primary, Span::ZERO);
    meter.read(true);
    meter.queue_wait(Span::ZERO);
    meter.token_wait(Rank(1), Span::ZERO);
    meter.token_refused(Rank(2), "known");
    meter.queue_refused(Reason::Wait, Some(Rank(1)));
    meter.cancelled("slot");
    meter.connection_opened(&database);
    meter.connection_failed(&database);
    meter.connection_withheld(&database);
    meter.slots(&database, None, 1);
    meter.load_ignored();
    meter.answered(&database, Span::ZERO);
    meter.database_refused(&database, Code::Busy);
    meter.store_call(
        &Command::Read("lead".into()),
        &Err(Fault::Refused("down".into())),
    );
    let rows = Response::Rows {
        rows: vec![Row {
            id: RowId::new("lead", "a"),
            value: None,
            version: Version::new(Era(0), 1),
        }],
        version: Version::new(Era(0), 1),
    };
    meter.store_call(&Command::Read("lead".into()), &Ok(rows));
    meter.config_try("store", true);
    meter.lease_lapsed(&group);
    meter.promoted(&group, Span::ZERO);
    meter.promotion_held_up(&group);
    let lead = LeadLevel {
        group,
        epoch: 1,
        age: Span::ZERO,
        lease: Span::ZERO,
    };
    let text = meter.text(&Levels {
        leads: vec![lead],
        ..Levels::default()
    });
    let kinds = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names = kinds.map(|kind| match kind.split_once(' ').unwrap() {
        (name, "counter") => format!("{name}_total"),
        (name, _) => name.to_owned(),
    });
    let (_, table) = OPERATIONS.split_once("\n## Metrics\n").unwrap();
    let cells = table.lines().filter_map(|line| line.strip_prefix("| `"));
    let cells = cells.flat_map(|line| line.split(" | ").next().unwrap().split("`, `"));
    let named = cells.map(|cell| cell.split(['{', '`']).next().unwrap().to_owned());
    assert_eq!(named.collect::<BTreeSet<_>>(), names.collect());
}

#[test]
fn sqlstates_are_complete() {
    let quoted = CODES.iter().flat_map(|code| code.split('"'));
    let code = |text: &&str| {
        let plain = |c: char| c.is_ascii_digit() || c.is_ascii_uppercase();
        text.len() == 5 && text.chars().all(plain) && text.contains(|c: char| c.is_ascii_digit())
    };
    let codes = quoted.filter(code).map(str::to_owned).collect();
    assert_eq!(rows("Errors"), codes);
}

#[test]
fn table_of_request_keys_is_the_one_used() {
    let (_, rest) = section("What databases need")
        .split_once("```sql\n")
        .unwrap();
    let without_whitespace = |text: &str| text.split_whitespace().collect::<String>();
    let statement = without_whitespace(rest.split_once(';').unwrap().0);
    assert_eq!(statement, without_whitespace(REQUESTS_DDL));
}
