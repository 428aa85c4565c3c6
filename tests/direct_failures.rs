//! Failures of databases, each in a simulated deployment.

mod scene;

use lentilspoke::clock::Span;
use lentilspoke::direct::statement::Code;
use lentilspoke::standin::direct::fault::Fault;
use lentilspoke::standin::direct::network::Node;
use lentilspoke::standin::direct::setup::Setup;
use scene::{db, play, vm};
use std::time::Duration;

/// Nothing fails, and every statement is done.
#[test]
fn no_failures() {
    play(Setup::default(), |scene| async move {
        let told = scene.passes().await.counts;
        assert_eq!(told.not_run + told.failed + told.unanswered, 0, "{told:?}");
    });
}

/// Writes stop for as long as the promotion takes (1 s) and little more, because a refused
/// connection shows each VM at once that the primary is gone, and each releases it when asked.
#[test]
fn primary_crashes() {
    play(Setup::default(), |scene| async move {
        scene.fault(Fault::Crash(db("db0a")), 5_000, 15_000).await;
        scene.passes().await;
        assert_ne!(scene.leader(), db("db0a"));
        assert!(scene.gap(5_000) < Duration::from_millis(2_500));
    });
}

/// The primary does not answer any VM. Statements on it end without an answer; it is replaced once
/// several VMs have waited in vain, and stays out of use when it is back and still reports that it
/// is primary.
#[test]
fn primary_goes_dark_and_returns() {
    play(Setup::default(), |scene| async move {
        let dark = Fault::Dark(Node::Database(db("db0a")));
        scene.fault(dark, 5_000, 14_000).await;
        scene.passes().await;
        assert_ne!(scene.leader(), db("db0a"));
        assert!(scene.gap(5_000) < Duration::from_secs(6));
    });
}

/// The primary announces that it will end. It is replaced before, once the transactions on it are
/// over; the only effect on callers is that a statement may have to be repeated.
#[test]
fn primary_leaves() {
    play(Setup::default(), |scene| async move {
        let leave = Fault::Leave(db("db0a"), Span::from_secs(7));
        scene.fault(leave, 5_000, 5_001).await;
        let told = scene.passes().await.counts;
        assert_ne!(scene.leader(), db("db0a"));
        assert_eq!((told.failed, told.unanswered), (0, 0), "{told:?}");
        assert!(scene.events().commits.iter().all(|c| c.lost.is_none()));
    });
}

/// A replica receives nothing for a while, and the primary crashes. The other replica is promoted,
/// and no acknowledged write is lost, because the one that is furthest in the log is chosen.
#[test]
fn replica_that_receives_nothing_is_not_promoted() {
    play(Setup::default(), |scene| async move {
        scene.until(4_000).await;
        Fault::Deaf(db("db0b")).begin(&scene.world);
        scene.fault(Fault::Crash(db("db0a")), 6_000, 20_000).await;
        Fault::Deaf(db("db0b")).end(&scene.world);
        scene.passes().await;
        assert_eq!(scene.events().failovers[0].database, db("db0c"));
    });
}

/// One VM does not reach the primary, the others do. Callers of that VM are served again soon,
/// whether the primary is replaced or not, and no rule is broken.
#[test]
fn primary_cut_from_one_vm() {
    play(Setup::default(), |scene| async move {
        let cut = Fault::Cut(Node::Vm(vm("vm1")), Node::Database(db("db0a")));
        scene.fault(cut, 5_000, 20_000).await;
        scene.passes().await;
        let late = scene.said(22_000, 30_000);
        let done = late.iter().filter(|said| said.is_done()).count();
        assert!(done * 10 > late.len() * 9, "{done} of {}", late.len());
    });
}

/// The primary is cut from its replicas and from two of three VMs. The third still reaches it, and
/// must not have a write acknowledged there once another database leads.
#[test]
fn primary_cut_with_one_vm_beside_it() {
    play(Setup::default(), |scene| async move {
        let primary = Node::Database(db("db0a"));
        let others = [
            Node::Vm(vm("vm2")),
            Node::Vm(vm("vm3")),
            Node::Database(db("db0b")),
            Node::Database(db("db0c")),
        ];
        scene.until(5_000).await;
        let cuts = others.map(|other| Fault::Cut(primary.clone(), other));
        cuts.iter().for_each(|cut| cut.begin(&scene.world));
        scene.until(17_000).await;
        cuts.iter().for_each(|cut| cut.end(&scene.world));
        scene.passes().await;
    });
}

/// Two primaries are lost within a second, the second one while it is promoted. The first is back
/// by then and still reports that it is primary. Guards against a write acknowledged on it in its
/// old term (seen in schedule 239).
#[test]
fn replaced_primary_is_promoted_again() {
    play(Setup::default(), |scene| async move {
        scene.fault(Fault::Crash(db("db0a")), 5_000, 5_240).await;
        scene.fault(Fault::Crash(db("db0b")), 6_111, 20_000).await;
        scene.passes().await;
    });
}

/// A database runs statements and its answers are lost. Reads are sent again and done; writes are
/// not, and their callers are informed that they may have run.
#[test]
fn answers_are_lost() {
    play(Setup::default(), |scene| async move {
        for start in 0..10 {
            let lose = Fault::LoseAnswers(db("db0a"), 2);
            let from = 5_000 + start * 500;
            scene.fault(lose, from, from + 400).await;
        }
        scene.passes().await;
        let mut unknown = 0;
        for said in scene.said(0, 30_000) {
            match said.code() {
                None => assert!(said.is_done(), "{said:?}"),
                Some(Code::Unknown) if !said.text.starts_with("read") => unknown += 1,
                Some(code) => assert_eq!(code, Code::RolledBack, "{said:?}"),
            }
        }
        assert!(unknown > 0);
    });
}

/// Open connections stop answering for good, while new ones work. Statements on them end in time,
/// and callers are served by new ones.
#[test]
fn connections_go_silent() {
    play(Setup::default(), |scene| async move {
        scene.fault(Fault::Silence, 5_000, 5_001).await;
        scene.passes().await;
        let late = scene.said(12_000, 30_000);
        let done = late.iter().filter(|said| said.is_done()).count();
        assert!(done * 10 > late.len() * 9, "{done} of {}", late.len());
    });
}

/// Databases accept few connections and work slowly. Statements beyond their capacity are refused
/// as not run; no outcome is unknown.
#[test]
fn too_much_to_do() {
    let setup = Setup {
        slots: 1,
        connections: 4,
        ..Setup::default()
    };
    play(setup, |scene| async move {
        for id in ["db0a", "db0b", "db0c"] {
            Fault::Slow(db(id), Span::from_millis(120)).begin(&scene.world);
        }
        let told = scene.passes().await.counts;
        assert_eq!(told.failed, 0, "{told:?}");
        assert!(told.done > 300, "{told:?}");
    });
}

/// A replica applies what it receives 5 s later. Reads that may be old still see the writes that
/// they have to see, or are done elsewhere.
#[test]
fn replica_is_far_behind() {
    play(Setup::default(), |scene| async move {
        let lag = Fault::Lag(db("db0b"), Span::from_secs(5));
        scene.fault(lag, 2_000, 20_000).await;
        let told = scene.passes().await.counts;
        assert_eq!(told.not_run + told.failed + told.unanswered, 0, "{told:?}");
    });
}
