//! What the scraper reads.

use lentilspoke::clock::Span;
use lentilspoke::direct::config::Kind;
use lentilspoke::direct::meter::{Levels, Meter};
use lentilspoke::direct::statement::Code;
use lentilspoke::direct::table::{Ask, Fault};

/// Each thing that is counted shows once, under its name and labels.
#[test]
fn each_count_shows() {
    let meter = Meter::new();
    let group = "ledger1".parse().unwrap();
    let (kept, gone) = ("a".parse().unwrap(), "b".parse().unwrap());
    meter.refused(&group, Code::Busy);
    meter.served(Kind::Primary, Span::from_millis(30));
    meter.read(true);
    meter.queue_wait(Span::from_millis(3));
    meter.connection_opened(&kept);
    meter.connection_failed(&gone);
    meter.forget(&gone);
    meter.store_call(
        &Ask::Read("lead".into()),
        &Err(Fault::Refused("down".into())),
    );
    meter.lease_lapsed(&group);
    meter.promoted(&group, Span::from_millis(400));
    let levels = Levels {
        callers: 7,
        steward: true,
        ..Levels::default()
    };
    insta::assert_snapshot!(meter.text(&levels));
}
