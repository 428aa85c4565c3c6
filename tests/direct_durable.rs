//! Changes of primary in groups whose commits are acknowledged once a replica has received them.

mod scene;

use lentilspoke::clock::{Span, Time};
use lentilspoke::direct::control::promotion::{Choice, Part, Pick, Reply};
use lentilspoke::direct::statement::Standing;
use lentilspoke::standin::direct::check;
use lentilspoke::standin::direct::fault::Fault;
use lentilspoke::standin::direct::network::Node;
use lentilspoke::standin::direct::said::Said;
use lentilspoke::standin::direct::setup::Setup;
use lentilspoke::types::{Offset, Position, Term};
use quickcheck::QuickCheck;
use scene::{Scene, db, play};
use std::time::Duration;

/// The databases of a group as the choice knows them.
const NAMES: [&str; 5] = ["old", "a", "b", "c", "d"];

/// The objective for a change of primary.
const MAX_CHANGE_TIME: Duration = Duration::from_secs(10);

fn durable() -> Setup {
    Setup {
        durable: true,
        ..Setup::default()
    }
}

fn dark(id: &str) -> Fault {
    Fault::Dark(Node::Database(db(id)))
}

/// Lets `db0c` fall behind from 4 s on while `db0b` is about to shut down, and partitions the
/// primary from 5.5 s up to `until`. So only `db0b` has the acknowledged commits.
async fn lose_primary_before_the_handover(scene: &Scene, until: u64) {
    scene.until(3_000).await;
    Fault::Leave(db("db0b"), Span::from_secs(12)).begin(&scene.world);
    scene.until(4_000).await;
    Fault::Deaf(db("db0c")).begin(&scene.world);
    scene.fault(dark("db0a"), 5_500, until).await;
    scene.until(until + 1_500).await;
    Fault::Deaf(db("db0c")).end(&scene.world);
}

/// Guards against the promotion of a replica that lacks acknowledged commits before one that has
/// them but is about to shut down.
#[test]
fn leaving_replica_with_the_log_is_promoted() {
    play(durable(), |scene| async move {
        lose_primary_before_the_handover(&scene, 9_000).await;
        scene.passes().await;
        assert_eq!(scene.events().failovers[0].database, db("db0b"));
        assert!(scene.gap(9_000) < MAX_CHANGE_TIME, "{:?}", scene.gap(9_000));
    });
}

/// Guards against a planned replacement by a replica that did not catch up in time.
#[test]
fn leaving_primary_is_not_replaced_by_one_behind() {
    play(durable(), |scene| async move {
        lose_primary_before_the_handover(&scene, 13_000).await;
        scene.passes().await;
        let events = scene.events();
        let order: Vec<_> = events.failovers.iter().map(|f| &f.database).collect();
        assert_eq!(order, [&db("db0b"), &db("db0a")]);
    });
}

/// Guards against the promotion of the only replica that answers, which lacks acknowledged commits.
#[test]
fn only_replica_that_answers_is_behind() {
    play(durable(), |scene| async move {
        scene.until(4_000).await;
        Fault::Deaf(db("db0c")).begin(&scene.world);
        scene.until(5_500).await;
        dark("db0b").begin(&scene.world);
        scene.fault(dark("db0a"), 5_500, 9_000).await;
        dark("db0b").end(&scene.world);
        scene.until(10_500).await;
        Fault::Deaf(db("db0c")).end(&scene.world);
        scene.passes().await;
        assert_ne!(scene.events().failovers[0].database, db("db0c"));
        assert!(scene.gap(9_000) < MAX_CHANGE_TIME, "{:?}", scene.gap(9_000));
    });
}

/// Guards against a replica that lost the log and counts as behind, although its former life had
/// commits that only the old primary has now.
#[test]
fn replica_without_its_log_proves_nothing() {
    play(durable(), |scene| async move {
        scene.until(4_000).await;
        Fault::Deaf(db("db0c")).begin(&scene.world);
        scene.until(5_500).await;
        dark("db0a").begin(&scene.world);
        scene.fault(Fault::Reborn(db("db0b")), 5_500, 5_600).await;
        scene.until(10_500).await;
        Fault::Deaf(db("db0c")).end(&scene.world);
        scene.until(12_500).await;
        dark("db0a").end(&scene.world);
        scene.passes().await;
        assert!(
            scene.gap(12_500) < MAX_CHANGE_TIME,
            "{:?}",
            scene.gap(12_500)
        );
    });
}

/// Guards against a replica that lost the log long ago and holds up each later choice.
#[test]
fn replica_that_has_the_log_again_is_promoted_soon() {
    play(durable(), |scene| async move {
        scene.fault(Fault::Reborn(db("db0b")), 3_000, 3_300).await;
        scene.until(8_000).await;
        scene.fault(Fault::Crash(db("db0a")), 8_000, 20_000).await;
        scene.passes().await;
        assert!(scene.gap(8_000) < MAX_CHANGE_TIME, "{:?}", scene.gap(8_000));
    });
}

/// Guards against a choice that waits for ever for a database that is lost for good.
#[test]
fn lost_databases_are_waited_for_until_they_are_unregistered() {
    play(durable(), |scene| async move {
        scene.until(4_000).await;
        Fault::Crash(db("db0b")).begin(&scene.world);
        scene.fault(Fault::Crash(db("db0a")), 5_000, 30_000).await;
        scene.passes().await;
        let events = scene.events();
        assert_eq!(events.failovers[0].database, db("db0c"));
        assert!(events.failovers[0].at < scene.at(5_000) + MAX_CHANGE_TIME);
    });
}

/// Guards against a replacement that revokes leases although no replica can take over, which stops
/// writes again and again until the primary ends.
#[test]
fn leaving_primary_serves_while_no_replica_has_caught_up() {
    play(durable(), |scene| async move {
        Fault::Deaf(db("db0c")).begin(&scene.world);
        scene.until(4_000).await;
        Fault::Leave(db("db0a"), Span::from_secs(12)).begin(&scene.world);
        scene.fault(dark("db0b"), 4_000, 9_000).await;
        scene.passes().await;
        let reads = scene.said(4_000, 8_000);
        let on_primary = |said: &&Said| &*said.route == "primary0" && check::is_read(said);
        let reads: Vec<_> = reads.iter().filter(on_primary).collect();
        assert!(!reads.is_empty() && reads.iter().all(|said| said.is_done()));
        assert_eq!(scene.events().failovers[0].database, db("db0b"));
        assert!(scene.gap(9_000) < MAX_CHANGE_TIME, "{:?}", scene.gap(9_000));
    });
}

/// One database of a group: how many commits it has received, whether it answers, and whether it
/// is about to shut down.
type Replica = (u8, bool, bool);

/// Guards against a choice that loses acknowledged commits, whichever databases answer.
#[test]
fn chosen_database_has_every_acknowledged_commit() {
    fn property(primary: (u8, bool), replicas: Vec<Replica>, planned: bool, waited: u16) -> bool {
        let (written, answers) = primary;
        let part = if planned { Part::Running } else { Part::Lost };
        let old = (written, answers, part);
        let replicas = replicas
            .into_iter()
            .take(4)
            .map(|(received, answers, leaves)| {
                let part = if leaves { Part::Leaving } else { Part::Replica };
                (received.min(written), answers, part)
            });
        let all: Vec<_> = std::iter::once(old).chain(replicas).collect();
        let mut received: Vec<u8> = all.iter().map(|(received, ..)| *received).collect();
        received.sort_unstable();
        let acknowledged = received.iter().rev().nth(1).copied().unwrap_or(0);

        let named = all.iter().zip(NAMES);
        let named = named.map(|((.., part), name)| (db(name), None, *part));
        let mut choice = Choice::new(Time::default(), None, None, true, named);
        for ((received, answers, part), name) in all.iter().zip(NAMES) {
            let standing = Standing {
                primary: matches!(part, Part::Running | Part::Lost),
                term: Term(1),
                received: Position::new(Term(1), Offset((*received).into())),
            };
            let reply = match answers {
                true => Reply::Stands(standing),
                false => Reply::Absent,
            };
            choice.record(&db(name), reply);
        }
        match choice.pick(Time::default() + Span::from_millis(waited.into())) {
            Pick::Take(_, position) => position.offset.0 >= acknowledged.into(),
            Pick::Wait(_) | Pick::Nobody => true,
        }
    }
    let property = property as fn((u8, bool), Vec<Replica>, bool, u16) -> bool;
    QuickCheck::new().tests(20_000).quickcheck(property);
}

/// A replica that started again without its data: how many commits its former life had received, how
/// many it has now, and a later position of the primary, if that was asked.
type Reborn = (u8, u8, Option<u8>);

/// Guards against a choice that takes a replica which lost its data for one that never had it.
#[test]
fn chosen_database_has_what_former_lives_acknowledged() {
    fn property(written: u8, answers: bool, replicas: Vec<(u8, Option<Reborn>)>) -> bool {
        let replicas: Vec<_> = replicas.into_iter().take(4).collect();
        let named = ["old", "a", "b", "c", "d"].into_iter().enumerate();
        let named = named.take(replicas.len() + 1).map(|(index, name)| {
            let part = if index == 0 {
                Part::Lost
            } else {
                Part::Replica
            };
            (db(name), None, part)
        });
        let mut choice = Choice::new(Time::default(), None, None, true, named);
        let position = |offset: u8| Position::new(Term(1), Offset(offset.into()));
        let standing = |primary, offset| {
            Reply::Stands(Standing {
                primary,
                term: Term(1),
                received: position(offset),
            })
        };
        if answers {
            choice.record(&db("old"), standing(true, written));
        }
        let mut had = vec![written];
        for ((received, reborn), name) in replicas.into_iter().zip(["a", "b", "c", "d"]) {
            let received = received.min(written);
            let Some((former, now, asked)) = reborn else {
                choice.record(&db(name), standing(false, received));
                had.push(received);
                continue;
            };
            let former = former.min(written);
            let now = now.min(written);
            let asked = asked.map(|asked| position(asked.clamp(former, written)));
            choice.record_rebirth(&db(name), asked);
            choice.record(&db(name), standing(false, now));
            had.push(former.max(now));
        }
        had.sort_unstable();
        let acknowledged = had.iter().rev().nth(1).copied().unwrap_or(0);
        match choice.pick(Time::default() + Span::from_secs(10)) {
            Pick::Take(_, position) => position.offset.0 >= acknowledged.into(),
            Pick::Wait(_) => !answers,
            Pick::Nobody => false,
        }
    }
    let property = property as fn(u8, bool, Vec<(u8, Option<Reborn>)>) -> bool;
    QuickCheck::new().tests(20_000).quickcheck(property);
}

/// Guards against a wait although no acknowledged commit can be missing: with all positions but one
/// known the furthest replica is promoted, and a replica that stays before one that leaves.
#[test]
fn complete_replica_is_promoted_without_a_wait() {
    let standing = |offset| {
        Reply::Stands(Standing {
            primary: false,
            term: Term(1),
            received: Position::new(Term(1), Offset(offset)),
        })
    };
    let cases = [
        ("the furthest", [9, 8], [Part::Replica, Part::Replica], "a"),
        (
            "one that leaves",
            [9, 8],
            [Part::Leaving, Part::Replica],
            "a",
        ),
        (
            "one that stays",
            [9, 9],
            [Part::Leaving, Part::Replica],
            "b",
        ),
    ];
    for (name, positions, parts, chosen) in cases {
        let [first, second] = parts;
        let named = [("a", first), ("b", second), ("old", Part::Lost)];
        let named = named.map(|(name, part)| (db(name), None, part));
        let mut choice = Choice::new(Time::default(), None, None, true, named);
        choice.record(&db("a"), standing(positions[0]));
        assert!(
            matches!(choice.pick(Time::default()), Pick::Wait(_)),
            "{name}"
        );
        choice.record(&db("b"), standing(positions[1]));
        let picked = choice.pick(Time::default());
        assert!(
            matches!(&picked, Pick::Take(id, _) if *id == db(chosen)),
            "{name}: {picked:?}"
        );
    }
}
