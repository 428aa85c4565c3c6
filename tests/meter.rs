//! The metrics as a scraper reads them.

use lentilspoke::admission::Rank;
use lentilspoke::clock::Span;
use lentilspoke::direct::config::Kind;
use lentilspoke::direct::gate::Reason;
use lentilspoke::direct::meter::{LeadLevel, Levels, Meter};
use lentilspoke::direct::statement::Code;
use lentilspoke::direct::table::{Command, Era, Fault, Response, Row, RowId, Version};

/// Each metric appears once, under its name and labels.
#[test]
fn each_count_shows() {
    let meter = Meter::new();
    let group = "ledger1".parse().unwrap();
    let (kept, gone) = ("a".parse().unwrap(), "b".parse().unwrap());
    meter.refused(&group, Code::Busy);
    meter.served(Kind::Primary, Span::from_millis(30));
    meter.read(true);
    meter.queue_wait(Span::from_millis(3));
    meter.token_wait(Rank(1), Span::from_millis(30));
    meter.token_refused(Rank(2), "known");
    meter.queue_refused(Reason::Wait, Some(Rank(1)));
    meter.cancelled("slot");
    meter.connection_opened(&kept);
    meter.connection_failed(&gone);
    meter.connection_withheld(&kept);
    meter.slots(&kept, Some(3), 2);
    meter.answered(&kept, Span::from_millis(20));
    meter.answered(&gone, Span::from_millis(20));
    meter.database_refused(&kept, Code::Full);
    meter.database_refused(&gone, Code::Busy);
    meter.forget(&gone);
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
    meter.config_try("readers", false);
    meter.lease_lapsed(&group);
    meter.promoted(&group, Span::from_millis(400));
    meter.promotion_held_up(&group);
    let levels = Levels {
        callers: 7,
        steward: true,
        token: 3,
        heard: Span::from_millis(400),
        members: 8,
        register_age: Span::from_millis(900),
        leads: vec![LeadLevel {
            group,
            epoch: 2,
            age: Span::from_millis(700),
            lease: Span::from_millis(1_800),
        }],
        ..Levels::default()
    };
    // The order of one metric's labels is not defined.
    let text = meter.text(&levels);
    let mut lines: Vec<&str> = text.lines().collect();
    lines.sort_unstable();
    insta::assert_snapshot!(lines.join("\n"));
}

/// A scraper may keep only the first 4 KB of a VM's metrics. With many databases, it must still get the
/// configuration's version and the calls to the store.
#[test]
fn the_most_informative_metrics_come_first() {
    let meter = Meter::new();
    for number in 0..200 {
        let database = format!("db{number}").parse().unwrap();
        meter.answered(&database, Span::from_millis(20));
    }
    meter.store_call(
        &Command::Read("lead".into()),
        &Err(Fault::Refused("down".into())),
    );
    meter.config_try("store", true);
    let text = meter.text(&Levels::default());
    let first = &text[..4_000];
    for name in [
        "config_version",
        "config_known_version",
        "store_relayed",
        "store_calls_total",
        "config_tries_total",
    ] {
        let line = format!("\nlentilspoke_{name}");
        assert!(first.contains(&line), "{name} comes too late");
    }
}
