//! Tests of databases that start again under their ids with empty storage.

mod scene;

use lentilspoke::clock::Time;
use lentilspoke::direct::watermark::Watermarks;
use lentilspoke::standin::direct::fault::Fault;
use lentilspoke::standin::direct::setup::Setup;
use lentilspoke::types::{GroupId, Position};
use scene::{db, play};
use std::time::Duration;

/// The primary restarts within 0.3 s with an empty log, before any VM has noticed. Its answers are
/// not passed on, another database is promoted because the register shows another birth, and no
/// acknowledged write is lost. Callers see a gap of about one promotion.
#[test]
fn primary_starts_again_with_nothing() {
    play(Setup::default(), |scene| async move {
        scene.fault(Fault::Reborn(db("db0a")), 5_000, 5_300).await;
        scene.passes().await;
        assert_ne!(scene.leader(), db("db0a"));
        let gap = scene.gap(5_300);
        assert!(gap < Duration::from_millis(3_000), "{gap:?}");
    });
}

/// A replica restarts with an empty log, and the primary crashes while the replica receives the log
/// again. The other replica is promoted, since each is judged by its present position.
#[test]
fn replica_that_started_again_does_not_win() {
    play(Setup::default(), |scene| async move {
        scene.until(4_000).await;
        Fault::Deaf(db("db0b")).begin(&scene.world);
        scene.fault(Fault::Reborn(db("db0b")), 5_000, 5_500).await;
        scene.fault(Fault::Crash(db("db0a")), 6_000, 20_000).await;
        Fault::Deaf(db("db0b")).end(&scene.world);
        scene.passes().await;
        assert_eq!(scene.events().failovers[0].database, db("db0c"));
    });
}

/// A primary has lost its log if its answer shows a lower position than was known when it was
/// asked. An answer to an earlier question, or from a primary of another epoch, may show a lower
/// one.
#[test]
fn a_lost_log_is_distinguished_from_a_late_answer() {
    let group: GroupId = "g".parse().unwrap();
    let position = |text: &str| -> Position { text.parse().unwrap() };
    let at = |millis: u64| Time(millis * 1_000);
    let mut watermarks = Watermarks::default();
    watermarks.note(&group, 3, position("2/40"), at(100));
    watermarks.note(&group, 3, position("2/30"), at(200));
    let lost = |epoch, text, asked| watermarks.is_lost(&group, epoch, position(text), at(asked));
    assert!(lost(3, "2/39", 100) && lost(3, "1/90", 300));
    assert!(!lost(3, "2/39", 99), "asked before");
    assert!(!lost(3, "2/40", 300), "nothing was committed since");
    assert!(!lost(4, "2/10", 300), "another primary");
}

/// Guards against a newer position that hides a lost log from the statements in flight when it became
/// known.
#[test]
fn a_newer_position_does_not_hide_a_lost_log() {
    let group: GroupId = "g".parse().unwrap();
    let position = |text: &str| -> Position { text.parse().unwrap() };
    let at = |millis: u64| Time(millis * 1_000);
    let mut watermarks = Watermarks::default();
    watermarks.note(&group, 3, position("2/20"), at(100));
    watermarks.note(&group, 3, position("2/40"), at(200));
    let lost = |text, asked| watermarks.is_lost(&group, 3, position(text), at(asked));
    assert!(lost("0/0", 150), "a read in flight");
    assert!(
        !lost("2/30", 150),
        "asked before the newer position was known"
    );
    assert!(lost("2/30", 200));
    assert!(!lost("0/0", 99), "asked before any position was known");
    watermarks.note(&group, 4, position("3/5"), at(300));
    assert!(!watermarks.is_lost(&group, 4, position("3/0"), at(250)));
}
